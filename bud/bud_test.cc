#include "bud/bud.h"

#include <gtest/gtest.h>
#include <vector>

namespace
{

const int64_t SEC = 1000000;

int Take(bud *b, int n, int64_t now)
{
	int taken = 0;
	for (int i = 0; i < n; i++)
		taken += bud_take(b, now);
	return taken;
}

TEST(BudTest, ShareOfTheFixedNumberWithoutRequests)
{
	const struct {
		double fixed;
		int hosts, taken;
	} cases[] = {{200, 1, 160}, {200, 7, 22}, {198, 66, 2}, {0, 1, 0}, {10, 0, 8}};

	for (const auto &c : cases) {
		bud b;
		bud_limits limits = {0.2, c.fixed, 10 * SEC, c.hosts};
		bud_init(&b, &limits);
		EXPECT_EQ(Take(&b, 1000, SEC), c.taken) << c.fixed << "/" << c.hosts;
	}
}

TEST(BudTest, GrowsWithRequestsAndComesBackWithTime)
{
	bud b;
	bud_limits limits = {0.2, 0, 10 * SEC, 1};
	bud_init(&b, &limits);
	for (int i = 0; i < 100; i++)
		bud_on_request(&b, SEC);
	EXPECT_EQ(Take(&b, 1000, SEC), 16);
	EXPECT_EQ(Take(&b, 1000, 2 * SEC), 0);
	EXPECT_EQ(Take(&b, 1000, 12 * SEC), 0);
	for (int i = 0; i < 100; i++)
		bud_on_request(&b, 12 * SEC);
	EXPECT_EQ(Take(&b, 1000, 12 * SEC), 16);
}

TEST(BudTest, Rate)
{
	bud b;
	bud_limits limits = {0.2, 0, 10 * SEC, 1};
	bud_init(&b, &limits);
	EXPECT_DOUBLE_EQ(bud_rate(&b, SEC), 0);
	for (int i = 0; i < 400; i++)
		bud_on_request(&b, 5 * SEC + i * SEC / 20);
	EXPECT_NEAR(bud_rate(&b, 25 * SEC), 20, 1.5);
	EXPECT_DOUBLE_EQ(bud_rate(&b, 60 * SEC), 0);
}

/*
 * Load: every request of seven hosts fails for 30 s and each host tries each again.
 * The bound: in any 10 s, over all hosts, a fifth of the requests plus 198.
 */
TEST(BudTest, SevenHostsTogetherKeepToTheBoundInAnyWindow)
{
	const int hosts = 7, per_s = 13, seconds = 30;
	bud b[hosts];
	bud_limits limits = {0.2, 198, 10 * SEC, hosts};
	std::vector<int> repeats(seconds, 0);

	for (auto &one : b)
		bud_init(&one, &limits);
	for (int s = 0; s < seconds; s++) {
		for (auto &one : b) {
			for (int i = 0; i < per_s; i++) {
				int64_t now = s * SEC + i * SEC / per_s;
				bud_on_request(&one, now);
				repeats[s] += bud_take(&one, now);
			}
		}
	}
	for (int s = 0; s + 10 <= seconds; s++) {
		int sum = 0;
		for (int i = s; i < s + 10; i++)
			sum += repeats[i];
		EXPECT_LE(sum, 0.2 * hosts * per_s * 10 + 198) << s;
	}
}

} // namespace
