#include "back/back.h"
#include "base/rnd.h"

#include <gtest/gtest.h>
#include <queue>
#include <vector>

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t SEC = 1000 * MS;

TEST(BackTest, ARareRefusalGetsTheShortDelay)
{
	bk b{};
	uint32_t seed = 1;
	for (int i = 0; i < 10; i++)
		bk_on_served(&b, i * 100 * MS);
	bk_on_refused(&b, SEC);
	EXPECT_EQ(bk_retry_delay_us(&b, 20 * SEC, SEC, &seed), 300 * MS);
}

TEST(BackTest, DelaysAreSpreadWhileCapacityIsMissing)
{
	bk b{};
	uint32_t seed = 1;
	int64_t least = 20 * SEC, most = 0;
	for (int i = 0; i < 200; i++) {
		bk_on_refused(&b, i * 10 * MS);
		int64_t delay = bk_retry_delay_us(&b, 20 * SEC, i * 10 * MS, &seed);
		least = std::min(least, delay);
		most = std::max(most, delay);
	}
	EXPECT_GE(least, SEC);
	EXPECT_LT(least, SEC + 200 * MS);
	EXPECT_GT(most, 5800 * MS);
	EXPECT_LE(most, 6 * SEC);
}

/* Callers ignore a retry delay of more than a third of the time that they have left. */
TEST(BackTest, TheDelayIsAtMostAThirdOfTheTimeLeft)
{
	bk b{};
	uint32_t seed = 1;
	for (int i = 0; i < 20; i++)
		bk_on_refused(&b, 0);
	for (int64_t left : {300 * MS, 900 * MS, 4 * SEC, 10 * SEC})
		EXPECT_LE(bk_retry_delay_us(&b, left, 0, &seed), left / 3);
}

/*
 * Simulates 85 requests a second for 12 s. In the first 6 s there is capacity for a third of them,
 * as after the loss of two engines that serve layers with few other copies. Each refused caller
 * retries once. Returns the number of requests that were served.
 */
int CountServed(bool spread)
{
	struct Visit {
		int64_t at;
		bool is_retry;
		bool operator<(const Visit &v) const
		{
			return at > v.at;
		}
	};
	bk b{};
	uint32_t seed = 7;
	int served = 0;
	double capacity = 0;
	int64_t last = 0;
	std::priority_queue<Visit> visits;
	for (int i = 0; i < 85 * 12; i++)
		visits.push({i * SEC / 85, false});
	while (!visits.empty()) {
		Visit v = visits.top();
		visits.pop();
		double per_s = v.at < 6 * SEC ? 28 : 110;
		capacity = std::min(capacity + per_s * (double)(v.at - last) / 1e6, 5.0);
		last = v.at;
		if (capacity >= 1) {
			capacity--;
			served++;
			bk_on_served(&b, v.at);
			continue;
		}
		bk_on_refused(&b, v.at);
		if (!v.is_retry) {
			int64_t wait =
				spread ? bk_retry_delay_us(&b, 20 * SEC, v.at, &seed) : 400 * MS;
			visits.push({v.at + wait, true});
		}
	}
	return served;
}

TEST(BackTest, SpreadRetriesServeMoreRequestsAfterALossOfCapacity)
{
	int served_at_once = CountServed(false), served_spread = CountServed(true);
	RecordProperty("at_once", served_at_once);
	RecordProperty("spread", served_spread);
	printf("served of 1,020: retry after 0.4 s %d, spread %d\n", served_at_once, served_spread);
	EXPECT_GT(served_spread, served_at_once + 80);
}

/*
 * Guards against a wait that doesn't depend on the caller's deadline. All hosts start while the
 * store is unavailable; callers with 20 s left were refused 0.3 s before the host had its
 * configuration, and callers with 1.5 s left waited 1 s and had no time for a retry.
 */
TEST(BackTest, TheWaitForAConfigurationDependsOnTheDeadline)
{
	const struct {
		int64_t deadline_ms, wait_ms;
	} cases[] = {{-1, 1000}, {0, 0}, {800, 100}, {4000, 500}, {12000, 1500}, {20000, 1500}};
	for (const auto &c : cases)
		EXPECT_EQ(bk_wait_max_us(c.deadline_ms), c.wait_ms * MS) << c.deadline_ms;
}

} // namespace
