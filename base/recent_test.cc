#include "base/recent.h"

#include <gtest/gtest.h>
#include <vector>

namespace
{

struct Change {
	int64_t at_us;
	uint64_t value;
};

struct RecentCase {
	const char *name;
	std::vector<Change> changes;
	int64_t since_us;
	uint64_t want;
};

const RecentCase cases[] = {
	{"no change", {}, 0, 5},
	{"it grows", {{10, 9}}, 0, 9},
	{"it grows, asked for later", {{10, 9}}, 20, 9},
	{"it falls after the time that is asked for", {{10, 2}}, 9, 5},
	{"it falls before", {{10, 2}}, 11, 2},
	{"it falls at that time", {{10, 2}}, 10, 2},
	{"there and back", {{10, 9}, {20, 5}}, 15, 9},
	{"there and back, before", {{10, 9}, {20, 5}}, 21, 5},
	{"the same value again", {{10, 5}, {20, 5}}, 15, 5},
	{"several at one time", {{10, 9}, {10, 3}, {10, 4}}, 10, 4},
};

/* Guards against limits that judge clients by a value that was not in force when they acted. */
TEST(RecentTest, LargestValueSinceATime)
{
	for (const RecentCase &c : cases) {
		struct recent recent;
		recent_init(&recent, 5);
		for (const Change &change : c.changes)
			recent_set(&recent, change.value, change.at_us);
		EXPECT_EQ(recent_largest(&recent, c.since_us), c.want) << c.name;
	}
}

/* Guards against a value that is forgotten too early since many changes came after it. */
TEST(RecentTest, ManyChangesForgetNoLargeValueEarly)
{
	struct recent recent;
	recent_init(&recent, 1);
	recent_set(&recent, 1000, 5);
	for (int64_t t = 10; t < 10 + 3 * RECENT_VALUES_MAX; t++) {
		recent_set(&recent, (uint64_t)t, t);
		EXPECT_EQ(recent_largest(&recent, 7), 1000U) << t;
		EXPECT_EQ(recent_largest(&recent, t), (uint64_t)t);
	}
	EXPECT_EQ(recent.count, RECENT_VALUES_MAX);
}

} // namespace
