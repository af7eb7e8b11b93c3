#include "ep/avoid.h"

#include <gtest/gtest.h>

namespace
{

constexpr int64_t MS = 1000;

/*
 * Symptom: one in ten requests was refused although most endpoints were idle.
 * Sequence: an endpoint dies behind a network partition while its entry stays in the store for 14
 * s; engines report it at fault for each request that passes through it. Cause: every host retried
 * it every 0.7 s, and sending the rejected requests again used up the retry budget.
 */
TEST(AvoidTest, ADeadEndpointIsTriedLessAndLessOften)
{
	avoid_period d{};
	int tries = 0;
	for (int64_t t = 0; t < 14000 * MS; t += 10 * MS) {
		if (!avoid_is_active(&d, t)) {
			tries++;
			EXPECT_GT(avoid_on_fault(&d, t), 0);
		}
	}
	EXPECT_EQ(tries, 6); /* at 0, 0.7, 2.1, 4.9, 8.9 and 12.9 s */
}

/* Several requests in flight may report the same fault. */
TEST(AvoidTest, AFaultDuringAPeriodIsNotCounted)
{
	avoid_period d{};
	EXPECT_EQ(avoid_on_fault(&d, 0), 700 * MS);
	EXPECT_EQ(avoid_on_fault(&d, 100 * MS), 0);
	EXPECT_FALSE(avoid_is_active(&d, 700 * MS));
	EXPECT_EQ(avoid_on_fault(&d, 700 * MS), 1400 * MS);
}

/* An endpoint whose memory is full at times serves in between, and is never avoided for long. */
TEST(AvoidTest, AServedRequestResetsTheLength)
{
	avoid_period d{};
	for (int64_t t = 0; t < 20000 * MS; t += 1000 * MS) {
		EXPECT_EQ(avoid_on_fault(&d, t), 700 * MS);
		avoid_on_served(&d, t + 800 * MS);
	}
}

/* A request that was sent before the fault doesn't show that the endpoint works again. */
TEST(AvoidTest, ARequestSentBeforeTheFaultDoesNotResetTheLength)
{
	avoid_period d{};
	avoid_on_fault(&d, 1000 * MS);
	avoid_on_served(&d, 900 * MS);
	EXPECT_EQ(avoid_on_fault(&d, 2000 * MS), 1400 * MS);
}

TEST(AvoidTest, OtherReasonsOnlyExtendThePeriod)
{
	avoid_period d{};
	EXPECT_TRUE(avoid_extend(&d, 1000 * MS, 0));
	EXPECT_FALSE(avoid_extend(&d, 700 * MS, 100 * MS)) << "less than the shortest extension";
	EXPECT_TRUE(avoid_extend(&d, 2000 * MS, 100 * MS));
	EXPECT_TRUE(avoid_is_active(&d, 2000 * MS));
	EXPECT_FALSE(avoid_is_active(&d, 2100 * MS));
}

} // namespace
