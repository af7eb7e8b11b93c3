#include "ep/failing.h"

#include <gtest/gtest.h>

namespace
{

const int64_t MS = 1000;
const int64_t SEC = 1000 * MS;

/*
 * Requests that a well endpoint gets of so many, where the one that costs least gets each: two
 * others are alike, and it has failed so often.
 */
int Gets(int failures, int per_s, double fails, int64_t from_us, int64_t to_us)
{
	flg failing{};
	int got = 0;
	uint32_t seed = 1;
	for (int i = 0; i < failures; i++)
		flg_on_failed(&failing, 0);
	for (int64_t t = 0; t < to_us; t += SEC / per_s) {
		bool chosen = flg_recent(&failing, t) == 0 ? (t / (SEC / per_s)) % 3 == 0
							   : flg_on_passed(&failing, t);
		if (!chosen)
			continue;
		flg_on_chosen(&failing);
		got += t >= from_us;
		seed = seed * 1664525U + 1013904223U;
		if ((seed >> 8) / (double)(1U << 24) < fails)
			flg_on_failed(&failing, t);
		else
			flg_on_served(&failing, t);
	}
	return got;
}

/* Guards against an endpoint that rejected one request, is well, and gets nothing for long. */
TEST(FailingTest, OneThatIsWellAgainGetsItsPart)
{
	const struct {
		int failures, per_s, after_s;
	} cases[] = {{1, 10, 4}, {3, 10, 8}, {1, 100, 1}, {1, 1, 9}, {3, 1, 17}, {10, 100, 3}};
	for (const auto &c : cases) {
		int64_t from = c.after_s * SEC, to = from + 30 * SEC;
		EXPECT_GE(Gets(c.failures, c.per_s, 0, from, to), 30 * c.per_s / 3 - 1)
			<< c.failures << " failures, " << c.per_s << " a second";
	}
}

/* One that fails half of its requests, or all, still gets few. */
TEST(FailingTest, OneThatGoesOnFailingGetsFew)
{
	EXPECT_LE(Gets(1, 100, 0.5, 0, 60 * SEC), 6000 / 6);
	EXPECT_LE(Gets(1, 100, 1, 0, 60 * SEC), 6000 / PENALTY_TRIAL_EVERY);
	EXPECT_LE(Gets(1, 10, 0.5, 0, 60 * SEC), 600 / 6);
}

/* Failures fade to nothing, and count together while they are recent. */
TEST(FailingTest, TheyFadeToNothing)
{
	flg failing{};
	flg_on_failed(&failing, 0);
	EXPECT_DOUBLE_EQ(flg_recent(&failing, 0), 1);
	EXPECT_DOUBLE_EQ(flg_recent(&failing, 4 * SEC), 0.5);
	EXPECT_EQ(flg_recent(&failing, 8 * SEC), 0);
	flg_on_failed(&failing, 4 * SEC);
	EXPECT_DOUBLE_EQ(flg_recent(&failing, 4 * SEC), 1.5);
	flg_on_served(&failing, 4 * SEC);
	EXPECT_DOUBLE_EQ(flg_recent(&failing, 4 * SEC), 0.75);
}

} // namespace
