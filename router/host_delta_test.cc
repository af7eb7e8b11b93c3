#include "router/host_delta.h"

#include <gtest/gtest.h>
#include <map>
#include <string>

namespace
{

/* A follower's copy of the list of hosts, and the number of entries that it was sent. */
struct Follower {
	guint since = 0;
	size_t sent = 0;
	std::map<std::string, bool> present; /* by host name; false: the host was removed */

	static void Add(void *ctx, const char *name, bool removed)
	{
		auto *self = static_cast<Follower *>(ctx);

		self->sent++;
		self->present.emplace(name, !removed);
	}
	/* The latest change of a host comes first, so an older entry does not replace it. */
	void Update(const hdelta &delta)
	{
		std::map<std::string, bool> before;

		before.swap(present);
		hdelta_each_since(&delta, hdelta_needs_full(&delta, since) ? 0 : since, Add, this);
		for (const auto &host : before)
			present.insert(host);
		since = delta.version;
	}
};

class HostDeltaTest : public ::testing::Test
{
      protected:
	HostDeltaTest()
	{
		hdelta_init(&delta_);
	}
	~HostDeltaTest() override
	{
		hdelta_finish(&delta_);
	}
	void Change(int host, bool removed = false)
	{
		hdelta_on_change(&delta_, ("host-" + std::to_string(host)).c_str(), removed);
	}
	hdelta delta_;
};

TEST_F(HostDeltaTest, EachChangeIsSentOnceAndTheLatestIsInForce)
{
	Follower early;
	Follower late;

	Change(1);
	early.Update(delta_);
	Change(2);
	Change(1, true);
	early.Update(delta_);
	late.Update(delta_);
	EXPECT_EQ(early.sent, 3U);
	EXPECT_EQ(late.sent, 2U);
	EXPECT_EQ(early.present, late.present);
	EXPECT_FALSE(late.present["host-1"]);
	early.Update(delta_);
	EXPECT_EQ(early.sent, 3U);
}

TEST_F(HostDeltaTest, AComparedListIsSentWhole)
{
	Follower follower;

	Change(1);
	Change(2);
	follower.Update(delta_);
	hdelta_on_compared(&delta_);
	EXPECT_TRUE(hdelta_needs_full(&delta_, follower.since));
	follower.Update(delta_);
	EXPECT_EQ(follower.sent, 4U);
	EXPECT_FALSE(hdelta_needs_full(&delta_, follower.since));
}

TEST_F(HostDeltaTest, TheNumberOfRemovedHostsIsLimited)
{
	for (int i = 0; i < 3 * HDELTA_REMOVED_MAX; i++) {
		Change(i);
		Change(i, true);
	}
	Change(0);
	EXPECT_EQ(delta_.n_removed, (guint)HDELTA_REMOVED_MAX);
	EXPECT_EQ(g_hash_table_size(delta_.links), (guint)HDELTA_REMOVED_MAX + 1);
}

/* All hosts register themselves over two seconds; a reader sends the changes to all its followers.
 */
TEST_F(HostDeltaTest, AStartOfManyHostsSendsEachHostOnceToAFollower)
{
	for (int hosts : {30, 300, 984, 1968}) {
		Follower follower;
		hdelta delta;

		hdelta_init(&delta);
		for (int i = 0; i < hosts; i++) {
			hdelta_on_change(&delta, ("host-" + std::to_string(i)).c_str(), false);
			if (i % (hosts / 20 + 1) == 0)
				follower.Update(delta);
		}
		follower.Update(delta);
		EXPECT_EQ(follower.sent, (size_t)hosts);
		EXPECT_EQ(follower.present.size(), (size_t)hosts);
		hdelta_finish(&delta);
	}
}

} // namespace
