#include "bud/bud.h"

#include <gtest/gtest.h>
#include <vector>

namespace
{

const int64_t SEC = 1000000;

int ChargeRetries(bud *b, int n, int64_t now)
{
	int charged = 0;
	for (int i = 0; i < n; i++)
		charged += bud_charge_retry(b, now);
	return charged;
}

/* Initializes the budget of a host that has a share of the fixed number from fixed_from on. */
void StartHost(bud *b, int hosts, int64_t fixed_from, double fixed = 198)
{
	bud_limits limits = {0.2, fixed, 10 * SEC, hosts, fixed_from};
	bud_init(b, &limits);
}

void SetHosts(bud *b, int hosts, int64_t now, double fixed)
{
	bud_limits limits = b->limits;
	limits.hosts = hosts;
	limits.fixed = fixed;
	bud_set_limits(b, &limits, now);
}

/* Runs one second in which every request fails and is retried; returns the number of retries. */
int RetryForOneSecond(bud *b, int per_s, int second)
{
	int charged = 0;
	for (int i = 0; i < per_s; i++) {
		int64_t now = second * SEC + i * SEC / per_s;
		bud_on_request(b, now);
		charged += ChargeRetries(b, 20, now);
	}
	return charged;
}

int Sum(const std::vector<int> &retries, int from)
{
	int sum = 0;
	for (int i = from; i < from + 10; i++)
		sum += retries[i];
	return sum;
}

TEST(BudTest, ShareOfTheFixedNumberWithoutRequests)
{
	const struct {
		double fixed;
		int hosts, charged;
	} cases[] = {{200, 1, 160}, {200, 7, 22}, {198, 66, 2}, {0, 1, 0}, {10, 0, 8}};

	for (const auto &c : cases) {
		bud b;
		bud_limits limits = {0.2, c.fixed, 10 * SEC, c.hosts, 0};
		bud_init(&b, &limits);
		EXPECT_EQ(ChargeRetries(&b, 1000, SEC), c.charged) << c.fixed << "/" << c.hosts;
	}
}

TEST(BudTest, TheBudgetGrowsWithRequestsAndIsRestoredByNewOnes)
{
	bud b;
	bud_limits limits = {0.2, 0, 10 * SEC, 1, 0};
	bud_init(&b, &limits);
	for (int i = 0; i < 100; i++)
		bud_on_request(&b, SEC);
	EXPECT_EQ(ChargeRetries(&b, 1000, SEC), 16);
	EXPECT_EQ(ChargeRetries(&b, 1000, 2 * SEC), 0);
	EXPECT_EQ(ChargeRetries(&b, 1000, 12 * SEC), 0);
	for (int i = 0; i < 100; i++)
		bud_on_request(&b, 12 * SEC);
	EXPECT_EQ(ChargeRetries(&b, 1000, 12 * SEC), 16);
}

TEST(BudTest, RequestRateIsMeasuredOverTheWindow)
{
	bud b;
	bud_limits limits = {0.2, 0, 10 * SEC, 1, 0};
	bud_init(&b, &limits);
	EXPECT_DOUBLE_EQ(bud_request_rate(&b, SEC), 0);
	for (int i = 0; i < 400; i++)
		bud_on_request(&b, 5 * SEC + i * SEC / 20);
	EXPECT_NEAR(bud_request_rate(&b, 25 * SEC), 20, 1.5);
	EXPECT_DOUBLE_EQ(bud_request_rate(&b, 60 * SEC), 0);
}

/*
 * All requests of seven hosts fail for 30 s and are retried. In any 10 s, all hosts together may
 * send a fifth of the requests plus 198 retries.
 */
TEST(BudTest, SevenHostsStayWithinTheBudgetInAnyWindow)
{
	const int hosts = 7, per_s = 13, seconds = 30;
	bud b[hosts];
	bud_limits limits = {0.2, 198, 10 * SEC, hosts, 0};
	std::vector<int> retries(seconds, 0);

	for (auto &host_bud : b)
		bud_init(&host_bud, &limits);
	for (int s = 0; s < seconds; s++) {
		for (auto &host_bud : b) {
			for (int i = 0; i < per_s; i++) {
				int64_t now = s * SEC + i * SEC / per_s;
				bud_on_request(&host_bud, now);
				retries[s] += bud_charge_retry(&host_bud, now);
			}
		}
	}
	for (int s = 0; s + 10 <= seconds; s++) {
		int sum = 0;
		for (int i = s; i < s + 10; i++)
			sum += retries[i];
		EXPECT_LE(sum, 0.2 * hosts * per_s * 10 + 198) << s;
	}
}

/*
 * Guards against exceeding the budget through restarts: 542 retries in 10 s where 498 were allowed.
 * An engine is lost and all hosts use their shares of the fixed number. All hosts lose power,
 * restart within the window and use their shares again, because the retries are counted in memory.
 */
TEST(BudTest, RestartsOfAllHostsInAWindowStayWithinTheBudget)
{
	const struct {
		const char *what;
		int starts[2]; /* Seconds at which all hosts restart; 0 if unused. */
	} cases[] = {{"once", {11, 0}}, {"at the end of a window", {19, 0}}, {"twice", {14, 18}}};
	const int hosts = 7, per_s = 13, seconds = 40;

	for (const auto &c : cases) {
		bud b[hosts];
		std::vector<int> retries(seconds, 0);

		for (int s = 0; s < seconds; s++) {
			bool starts = s == c.starts[0] || s == c.starts[1];

			for (auto &host_bud : b) {
				if (s == 0 || starts)
					StartHost(&host_bud, hosts,
						  s == 0 ? 0 : s * SEC + 10 * SEC);
				retries[s] += RetryForOneSecond(&host_bud, per_s, s);
			}
		}
		for (int s = 0; s + 10 <= seconds; s++)
			EXPECT_LE(Sum(retries, s), 0.2 * hosts * per_s * 10 + 198)
				<< c.what << " " << s;
	}
}

/*
 * Guards against exceeding the budget when the number of hosts changes. Each host uses its share;
 * then a third of the hosts end, or as many are added, and the shares are computed again while the
 * window still contains the retries of the previous shares. The shares must be computed from the
 * highest number of hosts within the window.
 */
TEST(BudTest, ChangesOfTheNumberOfHostsInAWindowStayWithinTheBudget)
{
	const struct {
		int before, after, at;
	} cases[] = {{195, 130, 12}, {195, 130, 14}, {130, 195, 12}, {7, 1, 15}, {1, 7, 15}};
	const int per_s = 3, seconds = 40;
	const double fixed = 574;

	for (const auto &c : cases) {
		std::vector<bud> b(MAX(c.before, c.after));
		std::vector<int> retries(seconds, 0);
		double requests = 0.2 * MAX(c.before, c.after) * per_s * 10;

		for (int s = 0; s < seconds; s++) {
			int now = s < c.at ? c.before : c.after;

			for (int i = 0; i < now; i++) {
				if (s == 0 || (s == c.at && i >= c.before))
					StartHost(&b[i], now, s == 0 ? 0 : s * SEC + 10 * SEC,
						  fixed);
				SetHosts(&b[i], now, s * SEC, fixed);
				retries[s] += RetryForOneSecond(&b[i], per_s, s);
			}
		}
		for (int s = 0; s + 10 <= seconds; s++)
			EXPECT_LE(Sum(retries, s), requests + fixed)
				<< c.before << " " << c.after << " " << s;
	}
}

TEST(BudTest, AHostHasNoShareOfTheFixedNumberBeforeItsTime)
{
	const struct {
		int64_t fixed_from, now;
		int charged;
	} cases[] = {{0, 0, 160}, {10, 0, 0}, {10, 9, 0}, {10, 10, 160}};

	for (const auto &c : cases) {
		bud b;
		bud_limits limits = {0.2, 200, 10 * SEC, 1, c.fixed_from * SEC};
		bud_init(&b, &limits);
		EXPECT_EQ(ChargeRetries(&b, 1000, c.now * SEC), c.charged)
			<< c.fixed_from << " " << c.now;
	}
}

} // namespace
