#include "router/host_news.h"

#include <gtest/gtest.h>
#include <map>
#include <string>

namespace
{

/* What a follower believes, and how many entries it was sent. */
struct Follower {
	guint since = 0;
	size_t sent = 0;
	std::map<std::string, bool> there; /* false: it has gone */

	static void Take(void *ctx, const char *name, bool gone)
	{
		auto *self = static_cast<Follower *>(ctx);

		self->sent++;
		self->there.emplace(name, !gone);
	}
	/* The newest change of a host comes first. */
	void Update(const hn &news)
	{
		std::map<std::string, bool> before;

		before.swap(there);
		hn_each_since(&news, hn_needs_whole(&news, since) ? 0 : since, Take, this);
		for (const auto &host : before)
			there.insert(host);
		since = news.version;
	}
};

class HostNewsTest : public ::testing::Test
{
      protected:
	HostNewsTest()
	{
		hn_init(&news_);
	}
	~HostNewsTest() override
	{
		hn_finish(&news_);
	}
	void Change(int host, bool gone = false)
	{
		hn_on_change(&news_, ("host-" + std::to_string(host)).c_str(), gone);
	}
	hn news_;
};

TEST_F(HostNewsTest, EachChangeIsToldOnceAndTheLastOneHolds)
{
	Follower early;
	Follower late;

	Change(1);
	early.Update(news_);
	Change(2);
	Change(1, true);
	early.Update(news_);
	late.Update(news_);
	EXPECT_EQ(early.sent, 3U);
	EXPECT_EQ(late.sent, 2U);
	EXPECT_EQ(early.there, late.there);
	EXPECT_FALSE(late.there["host-1"]);
	early.Update(news_);
	EXPECT_EQ(early.sent, 3U);
}

TEST_F(HostNewsTest, AComparedListIsToldWhole)
{
	Follower follower;

	Change(1);
	Change(2);
	follower.Update(news_);
	hn_on_compared(&news_);
	EXPECT_TRUE(hn_needs_whole(&news_, follower.since));
	follower.Update(news_);
	EXPECT_EQ(follower.sent, 4U);
	EXPECT_FALSE(hn_needs_whole(&news_, follower.since));
}

TEST_F(HostNewsTest, OnesThatHaveGoneAreForgottenInTheEnd)
{
	for (int i = 0; i < 3 * HN_GONE_MAX; i++) {
		Change(i);
		Change(i, true);
	}
	Change(0);
	EXPECT_EQ(news_.gone, (guint)HN_GONE_MAX);
	EXPECT_EQ(g_hash_table_size(news_.links), (guint)HN_GONE_MAX + 1);
}

/* The load: all hosts list themselves over two seconds, and a reader tells each of its followers.
 */
TEST_F(HostNewsTest, AStartOfManyHostsIsToldOnceAFollower)
{
	for (int hosts : {30, 300, 984, 1968}) {
		Follower follower;
		hn news;

		hn_init(&news);
		for (int i = 0; i < hosts; i++) {
			hn_on_change(&news, ("host-" + std::to_string(i)).c_str(), false);
			if (i % (hosts / 20 + 1) == 0)
				follower.Update(news);
		}
		follower.Update(news);
		EXPECT_EQ(follower.sent, (size_t)hosts);
		EXPECT_EQ(follower.there.size(), (size_t)hosts);
		hn_finish(&news);
	}
}

} // namespace
