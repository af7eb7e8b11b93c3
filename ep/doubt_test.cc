#include "ep/doubt.h"

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
	dbt d{};
	int tries = 0;
	for (int64_t t = 0; t < 14000 * MS; t += 10 * MS) {
		if (!dbt_is_set(&d, t)) {
			tries++;
			EXPECT_GT(dbt_on_fault(&d, t), 0);
		}
	}
	EXPECT_EQ(tries, 6); /* at 0, 0.7, 2.1, 4.9, 8.9 and 12.9 s */
}

/* Several requests in flight may report the same fault. */
TEST(AvoidTest, AFaultDuringAPeriodIsNotCounted)
{
	dbt d{};
	EXPECT_EQ(dbt_on_fault(&d, 0), 700 * MS);
	EXPECT_EQ(dbt_on_fault(&d, 100 * MS), 0);
	EXPECT_FALSE(dbt_is_set(&d, 700 * MS));
	EXPECT_EQ(dbt_on_fault(&d, 700 * MS), 1400 * MS);
}

/* An endpoint whose memory is full at times serves in between, and is never avoided for long. */
TEST(AvoidTest, AServedRequestResetsTheLength)
{
	dbt d{};
	for (int64_t t = 0; t < 20000 * MS; t += 1000 * MS) {
		EXPECT_EQ(dbt_on_fault(&d, t), 700 * MS);
		dbt_on_served(&d, t + 800 * MS);
	}
}

/* A request that was sent before the fault doesn't show that the endpoint works again. */
TEST(AvoidTest, ARequestSentBeforeTheFaultDoesNotResetTheLength)
{
	dbt d{};
	dbt_on_fault(&d, 1000 * MS);
	dbt_on_served(&d, 900 * MS);
	EXPECT_EQ(dbt_on_fault(&d, 2000 * MS), 1400 * MS);
}

TEST(AvoidTest, OtherReasonsOnlyExtendThePeriod)
{
	dbt d{};
	EXPECT_TRUE(dbt_set(&d, 1000 * MS, 0));
	EXPECT_FALSE(dbt_set(&d, 700 * MS, 100 * MS)) << "less than the shortest extension";
	EXPECT_TRUE(dbt_set(&d, 2000 * MS, 100 * MS));
	EXPECT_TRUE(dbt_is_set(&d, 2000 * MS));
	EXPECT_FALSE(dbt_is_set(&d, 2100 * MS));
}

} // namespace
