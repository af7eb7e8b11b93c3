#include "era/era.h"

#include <gtest/gtest.h>

namespace
{

TEST(EraTest, NumbersOfALaterEraAreGreater)
{
	const struct {
		int64_t era, number;
	} rising[] = {{0, 0}, {0, 1}, {0, 1000000}, {1, 0}, {1, 7}, {2, 3}, {ERA_MAX, 0}};
	int64_t place = ERA_NONE;
	int64_t fence = ERA_NONE;

	for (const auto &r : rising) {
		EXPECT_GT(era_make_place(r.era, r.number), place);
		EXPECT_GT(era_make_fence(r.era, r.number), fence);
		place = era_make_place(r.era, r.number);
		fence = era_make_fence(r.era, r.number);
		EXPECT_EQ(era_of_place(place), r.era);
		EXPECT_EQ(era_offset_of_place(place), r.number);
		EXPECT_EQ(era_of_fence(fence), r.era);
		EXPECT_EQ(era_generation_of_fence(fence), r.number);
	}
	EXPECT_LT(era_make_fence(ERA_MAX, UINT32_MAX), INT64_C(1) << 53);
}

/* With a store without eras, places equal offsets, as hosts of earlier versions use them. */
TEST(EraTest, InEraZeroAPlaceEqualsTheOffset)
{
	EXPECT_EQ(era_make_place(0, 4711), 4711);
	EXPECT_EQ(era_make_fence(0, 12), 12);
	EXPECT_EQ(era_make_place(3, ERA_NONE), ERA_NONE);
	EXPECT_EQ(era_offset_of_place(ERA_NONE), ERA_NONE);
	EXPECT_EQ(era_generation_of_fence(ERA_NONE), ERA_NONE);
}

TEST(EraTest, AReportedEraIsComparedWithTheLatestKnownOne)
{
	const struct {
		const char *what;
		bool known;
		int64_t now, told;
		era_change expected;
		int64_t after;
	} cases[] = {
		{"no era", true, 3, ERA_NONE, ERA_UNCHANGED, 3},
		{"no era so far", false, 0, ERA_NONE, ERA_UNCHANGED, 0},
		{"the first era", false, 0, 5, ERA_INITIAL, 5},
		{"the first era is 0", false, 0, 0, ERA_INITIAL, 0},
		{"the same era", true, 3, 3, ERA_UNCHANGED, 3},
		{"one restore", true, 3, 4, ERA_ADVANCED, 4},
		{"several restores", true, 3, 9, ERA_ADVANCED, 9},
		{"a delayed answer", true, 3, 2, ERA_OUTDATED, 3},
		{"more than the largest era", true, 3, ERA_MAX + 1, ERA_UNCHANGED, 3},
	};
	for (const auto &c : cases) {
		era e{c.now, c.known};
		EXPECT_EQ(era_update(&e, c.told), c.expected) << c.what;
		EXPECT_EQ(e.now, c.after) << c.what;
	}
}

} // namespace
