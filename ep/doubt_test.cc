#include "ep/doubt.h"

#include <gtest/gtest.h>

namespace
{

constexpr int64_t MS = 1000;

/*
 * Symptom: one in ten requests was refused although most endpoints were idle.
 * Sequence: an endpoint dies behind a cut while its entry stays in the store for 14 s; engines name
 * it at fault to each request that passes through it. Cause: it was tried anew every 0.7 s by every
 * host, and sending the rejected requests again spent the budget of repeats.
 */
TEST(DoubtTest, ADeadEndpointIsTriedLessAndLessOften)
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

/* Requests that were under way together are one finding. */
TEST(DoubtTest, WhatIsKnownAlreadyIsNotCounted)
{
	dbt d{};
	EXPECT_EQ(dbt_on_fault(&d, 0), 700 * MS);
	EXPECT_EQ(dbt_on_fault(&d, 100 * MS), 0);
	EXPECT_FALSE(dbt_is_set(&d, 700 * MS));
	EXPECT_EQ(dbt_on_fault(&d, 700 * MS), 1400 * MS);
}

/* One whose memory is full now and then serves in between; it is never passed over for long. */
TEST(DoubtTest, WhatServesInBetweenStartsAnew)
{
	dbt d{};
	for (int64_t t = 0; t < 20000 * MS; t += 1000 * MS) {
		EXPECT_EQ(dbt_on_fault(&d, t), 700 * MS);
		dbt_on_served(&d, t + 800 * MS);
	}
}

/* What was sent before it failed says nothing about it now. */
TEST(DoubtTest, WhatWasSentBeforeDoesNotCount)
{
	dbt d{};
	dbt_on_fault(&d, 1000 * MS);
	dbt_on_served(&d, 900 * MS);
	EXPECT_EQ(dbt_on_fault(&d, 2000 * MS), 1400 * MS);
}

TEST(DoubtTest, OtherReasonsLengthenOnly)
{
	dbt d{};
	EXPECT_TRUE(dbt_set(&d, 1000 * MS, 0));
	EXPECT_FALSE(dbt_set(&d, 700 * MS, 100 * MS)) << "little news";
	EXPECT_TRUE(dbt_set(&d, 2000 * MS, 100 * MS));
	EXPECT_TRUE(dbt_is_set(&d, 2000 * MS));
	EXPECT_FALSE(dbt_is_set(&d, 2100 * MS));
}

} // namespace
