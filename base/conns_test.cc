#include "base/conns.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <vector>

namespace
{

const int64_t S = 1000000;

struct Change {
	int64_t at_us;
	uint64_t limit_us;
};

struct IdleCase {
	const char *name;
	std::vector<Change> changes;
	int64_t idle_since_us;
	int64_t min_us, max_us; /* bounds of the time at which it is closed */
};

const IdleCase cases[] = {
	{"one limit", {{0, 2 * S}}, 100 * S, 102 * S, 110 * S},
	{"the limit grows while it is idle",
	 {{0, 2 * S}, {101 * S, 10 * S}},
	 100 * S,
	 110 * S,
	 116 * S},
	{"the limit falls while it is idle",
	 {{0, 10 * S}, {101 * S, 2 * S}},
	 100 * S,
	 110 * S,
	 116 * S},
	{"the limit fell just before", {{0, 10 * S}, {99 * S, 2 * S}}, 100 * S, 110 * S, 116 * S},
	{"the limit fell long before", {{0, 10 * S}, {80 * S, 2 * S}}, 100 * S, 102 * S, 110 * S},
	{"the limit grows and falls while it is idle",
	 {{0, 2 * S}, {101 * S, 10 * S}, {101 * S + 1, 3 * S}},
	 100 * S,
	 110 * S,
	 116 * S},
	{"a longer limit is on its way to this host when the older one has passed",
	 {{0, 2 * S}, {104 * S, 10 * S}},
	 100 * S,
	 110 * S,
	 116 * S},
};

/*
 * Guards against connections that are closed by an older, shorter timeout though their clients
 * still use them by one that was in force of late.
 */
TEST(ConnsTest, IdleConnectionStaysOpenByAnyLimitInForceOfLate)
{
	for (const IdleCase &c : cases) {
		struct recent limits;
		recent_init(&limits, 0);
		int64_t until_us = 0;
		for (const Change &change : c.changes) {
			/* A connection that was closed before a change does not come back. */
			if (change.at_us > c.idle_since_us) {
				EXPECT_GT(until_us, change.at_us) << c.name;
			}
			recent_set(&limits, change.limit_us, change.at_us);
			until_us = conns_until_us(&limits, c.idle_since_us);
		}
		EXPECT_GE(until_us, c.min_us) << c.name;
		EXPECT_LE(until_us, c.max_us) << c.name;
	}
}

TEST(ConnsTest, ConnectionWithoutALimitStaysOpen)
{
	struct recent limits;
	recent_init(&limits, 0);
	EXPECT_EQ(conns_until_us(&limits, 100 * S), 0);
}

/* Guards against requests that run though their connections were closed while their heads were
 * measured: nobody gets their answers. */
TEST(ConnsTest, ConnectionThatWasGivenUpIsNotServed)
{
	for (bool given_up : {false, true}) {
		struct conns conns;
		int fds[2];
		ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, fds), 0);
		conns_init(&conns);
		struct conn *first = conn_new(&conns, fds[0]);
		struct conn *second = conn_new(&conns, fds[1]);
		if (given_up)
			conns_close_all_idle(&conns);
		EXPECT_EQ(conn_offer(first), !given_up);
		EXPECT_EQ(conns_claim(&conns, fds[0]), given_up ? nullptr : first);
		EXPECT_EQ(conn_replace(first, second), !given_up);
		EXPECT_EQ(second->replaced, given_up ? nullptr : first);
		conn_drop(first);
		conn_drop(second);
		conns_finish(&conns);
	}
}

} // namespace
