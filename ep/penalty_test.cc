#include "ep/penalty.h"

#include <gtest/gtest.h>

namespace
{

const int64_t MS = 1000;
const int64_t SEC = 1000 * MS;

/*
 * Simulates per_s requests a second to three equal endpoints, of which the one of the lowest cost
 * gets each request. One has failed several times at first and fails later with probability fails.
 * Returns how many requests it gets between from_us and to_us.
 */
int CountRequests(int failures, int per_s, double fails, int64_t from_us, int64_t to_us)
{
	penalty failing{};
	int got = 0;
	uint32_t seed = 1;
	for (int i = 0; i < failures; i++)
		penalty_on_failed(&failing, 0);
	for (int64_t t = 0; t < to_us; t += SEC / per_s) {
		bool chosen = penalty_value(&failing, t) == 0 ? (t / (SEC / per_s)) % 3 == 0
							      : penalty_on_passed_over(&failing, t);
		if (!chosen)
			continue;
		penalty_on_chosen(&failing);
		got += t >= from_us;
		seed = seed * 1664525U + 1013904223U;
		if ((seed >> 8) / (double)(1U << 24) < fails)
			penalty_on_failed(&failing, t);
		else
			penalty_on_served(&failing, t);
	}
	return got;
}

/* Guards against a working endpoint that gets no requests for long after a few failures. */
TEST(PenaltyTest, ARecoveredEndpointGetsItsShare)
{
	const struct {
		int failures, per_s, after_s;
	} cases[] = {{1, 10, 4}, {3, 10, 8}, {1, 100, 1}, {1, 1, 9}, {3, 1, 17}, {10, 100, 3}};
	for (const auto &c : cases) {
		int64_t from = c.after_s * SEC, to = from + 30 * SEC;
		EXPECT_GE(CountRequests(c.failures, c.per_s, 0, from, to), 30 * c.per_s / 3 - 1)
			<< c.failures << " failures, " << c.per_s << " a second";
	}
}

/* Guards against many requests to an endpoint that fails half or all of them. */
TEST(PenaltyTest, AFailingEndpointGetsFewRequests)
{
	EXPECT_LE(CountRequests(1, 100, 0.5, 0, 60 * SEC), 6000 / 6);
	EXPECT_LE(CountRequests(1, 100, 1, 0, 60 * SEC), 6000 / PENALTY_TRIAL_EVERY);
	EXPECT_LE(CountRequests(1, 10, 0.5, 0, 60 * SEC), 600 / 6);
}

/* Penalties of several failures add up and decay to zero. */
TEST(PenaltyTest, ThePenaltyDecaysToZero)
{
	penalty failing{};
	penalty_on_failed(&failing, 0);
	EXPECT_DOUBLE_EQ(penalty_value(&failing, 0), 1);
	EXPECT_DOUBLE_EQ(penalty_value(&failing, 4 * SEC), 0.5);
	EXPECT_EQ(penalty_value(&failing, 8 * SEC), 0);
	penalty_on_failed(&failing, 4 * SEC);
	EXPECT_DOUBLE_EQ(penalty_value(&failing, 4 * SEC), 1.5);
	penalty_on_served(&failing, 4 * SEC);
	EXPECT_DOUBLE_EQ(penalty_value(&failing, 4 * SEC), 0.75);
}

} // namespace
