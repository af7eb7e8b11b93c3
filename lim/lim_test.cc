#include "lim/fair.h"
#include "lim/home.h"
#include "lim/members.h"
#include "lim/permits.h"
#include "lim/retry.h"

#include <gtest/gtest.h>
#include <map>
#include <string>
#include <vector>

namespace
{

const int64_t MS = 1000;
const int64_t SECOND = 1000 * MS;

TEST(LimPermitsTest, TheNewestStatementOfTheLimitApplies)
{
	const struct {
		const char *name;
		lim_notice before, notice;
		bool changes, named;
		double rate;
	} cases[] = {
		{"first", {false, 0, 0}, {true, 3, 10}, true, true, 3},
		{"the same again", {true, 3, 10}, {true, 3, 20}, false, true, 3},
		{"lower", {true, 3, 10}, {true, 2, 20}, true, true, 2},
		{"higher", {true, 3, 10}, {true, 4, 20}, true, true, 4},
		{"older", {true, 3, 10}, {true, 4, 9}, false, true, 3},
		{"lifted", {true, 3, 10}, {false, 0, 20}, true, false, 3},
		{"lifted, older", {true, 3, 10}, {false, 0, 9}, false, true, 3},
		{"lifted, never stated", {false, 0, 0}, {false, 0, 20}, false, false, 0},
		{"lifted twice", {false, 3, 10}, {false, 0, 20}, false, false, 3},
		{"stated again", {false, 3, 10}, {true, 3, 20}, true, true, 3},
		{"zero", {true, 3, 10}, {true, 0, 20}, true, true, 0},
	};
	for (const auto &c : cases) {
		lim_permits held{};
		held.news = c.before;
		EXPECT_EQ(lim_permits_update_limit(&held, &c.notice), c.changes) << c.name;
		EXPECT_EQ(held.news.named, c.named) << c.name;
		EXPECT_DOUBLE_EQ(held.news.rate, c.rate) << c.name;
	}
}

TEST(LimPermitsTest, NoRequestIsSentToALimitedEndpointWithoutAPermit)
{
	const lim_notice notice = {true, 2.9, SECOND};
	lim_permits held{};
	int64_t now = SECOND;

	EXPECT_TRUE(lim_permits_may_send(&held, now));
	lim_permits_update_limit(&held, &notice);
	EXPECT_FALSE(lim_permits_may_send(&held, now));
	lim_permits_add(&held, 1, now, now);
	EXPECT_TRUE(lim_permits_may_send(&held, now));
	lim_permits_use(&held, now);
	EXPECT_FALSE(lim_permits_may_send(&held, now));
	EXPECT_EQ(held.returned, 0);
}

TEST(LimPermitsTest, ExpiredPermitsAreReturned)
{
	const lim_notice notice = {true, 2.9, 1};
	lim_permits held{};
	int64_t now = SECOND;

	lim_permits_update_limit(&held, &notice);
	lim_permits_add(&held, 2, now, now);
	EXPECT_FALSE(lim_permits_may_send(&held, now + 500 * MS));
	EXPECT_EQ(held.returned, 2);
	/* Repeated grants must not extend the validity of older permits without bound. */
	for (int i = 0; i < 5; i++)
		lim_permits_add(&held, 1, now + i * 300 * MS, now + i * 300 * MS);
	EXPECT_LE(held.permits, 4);
	EXPECT_GE(held.returned, 3);
	/* A permit that arrives after seconds is counted as expired. */
	int returned = held.returned;
	lim_permits_may_send(&held, now + 10 * SECOND);
	lim_permits_add(&held, 1, now, now + 10 * SECOND);
	EXPECT_FALSE(lim_permits_may_send(&held, now + 10 * SECOND));
	EXPECT_GT(held.returned, returned);
}

TEST(LimPermitsTest, ALiftedLimitGrowsBeforeItEnds)
{
	const lim_notice named = {true, 2, SECOND};
	const lim_notice lifted = {false, 0, 2 * SECOND};
	lim_permits held{};

	lim_permits_update_limit(&held, &named);
	lim_permits_update_limit(&held, &lifted);
	EXPECT_FALSE(lim_permits_may_send(&held, 2 * SECOND));
	EXPECT_DOUBLE_EQ(lim_current_rate(&held.news, 2 * SECOND), 2);
	EXPECT_DOUBLE_EQ(lim_current_rate(&held.news, 3 * SECOND), 8);
	EXPECT_FALSE(lim_permits_may_send(&held, 5 * SECOND));
	EXPECT_TRUE(lim_permits_may_send(&held, 6 * SECOND));
}

/*
 * Runs the home from one time to the other, with the given demand of each host every 100 ms.
 * Returns the number of permits granted to each host.
 */
std::map<std::string, int> GrantAll(lim_home *home, int64_t from, int64_t to, double part = 1,
				    const std::map<std::string, int> &demands = {})
{
	std::map<std::string, int> granted;

	for (int64_t now = from; now < to; now += 10 * MS) {
		const char *host;

		if ((now - from) % (100 * MS) == 0) {
			for (const auto &demand : demands)
				lim_home_report_demand(home, demand.first.c_str(), demand.second, 0,
						       now);
		}
		while ((host = lim_home_grant_next(home, part, now)))
			granted[host]++;
	}
	return granted;
}

int Sum(const std::map<std::string, int> &granted)
{
	int sum = 0;
	for (const auto &g : granted)
		sum += g.second;
	return sum;
}

TEST(LimHomeTest, GrantedPermitsMatchTheLimit)
{
	const struct {
		double rate, part;
		int least, most; /* Bounds for the number of permits granted in 100 s. */
	} cases[] = {
		{2.9, 1, 285, 291},  {0.3, 1, 28, 31}, {2.9, 0.5, 142, 146},
		{0, 1, 19, 21}, /* One probe every 5 s, to check whether the limit is still zero. */
		{40, 1, 3900, 4020}, {2.9, 0, 0, 1},
	};
	for (const auto &c : cases) {
		const lim_notice notice = {true, c.rate, 1};
		lim_home home;

		lim_home_init(&home, 0);
		lim_home_set_limit(&home, &notice, 0);
		int granted = Sum(GrantAll(&home, 0, 100 * SECOND, c.part, {{"a", 10}, {"b", 10}}));
		EXPECT_GE(granted, c.least) << c.rate << " " << c.part;
		EXPECT_LE(granted, c.most) << c.rate << " " << c.part;
		lim_home_finish(&home);
	}
}

TEST(LimHomeTest, HostsGetPermitsInProportionToDemand)
{
	const lim_notice notice = {true, 12, 1};
	lim_home home;

	lim_home_init(&home, 0);
	lim_home_set_limit(&home, &notice, 0);
	auto granted = GrantAll(&home, 0, 60 * SECOND, 1, {{"a", 20}, {"b", 10}, {"c", 0}});
	EXPECT_EQ(granted["c"], 0);
	EXPECT_NEAR((double)granted["a"] / granted["b"], 2, 0.2);
	/* A host without demand so far must not catch up on the permits of the others. */
	granted = GrantAll(&home, 60 * SECOND, 70 * SECOND, 1, {{"a", 10}, {"b", 10}, {"c", 10}});
	EXPECT_LE(granted["c"], granted["a"]);
	granted = GrantAll(&home, 70 * SECOND, 80 * SECOND, 1, {{"a", 10}, {"b", 10}, {"c", 10}});
	EXPECT_NEAR(granted["c"], granted["a"], 4);
	lim_home_finish(&home);
}

TEST(LimHomeTest, SavedPermitsAreBounded)
{
	const lim_notice high = {true, 40, 1};
	const lim_notice low = {true, 2, 2};
	lim_home home;

	lim_home_init(&home, 0);
	lim_home_set_limit(&home, &high, 0);
	EXPECT_LE(Sum(GrantAll(&home, 60 * SECOND, 60 * SECOND + 10 * MS, 1, {{"a", 100}})), 20);
	/* A lower limit applies immediately: permits saved at the higher limit are dropped. */
	GrantAll(&home, 70 * SECOND, 70 * SECOND + 10 * MS);
	lim_home_set_limit(&home, &low, 80 * SECOND);
	EXPECT_LE(Sum(GrantAll(&home, 80 * SECOND, 81 * SECOND, 1, {{"a", 100}})), 3);
	lim_home_finish(&home);
}

TEST(LimHomeTest, ReturnedPermitsAreGrantedAgain)
{
	const lim_notice notice = {true, 1, 1};
	lim_home home;
	int granted = 0;

	lim_home_init(&home, 0);
	lim_home_set_limit(&home, &notice, 0);
	for (int64_t now = 0; now < 10 * SECOND; now += 100 * MS) {
		lim_home_report_demand(&home, "a", 1, 0, now);
		while (lim_home_grant_next(&home, 1, now)) {
			granted++;
			lim_home_report_demand(&home, "a", 0, granted % 2, now);
		}
	}
	EXPECT_GE(granted, 18);
	EXPECT_LE(granted, 22);
	lim_home_finish(&home);
}

/* Several homes that have the same list of hosts. */
struct Homes {
	Homes(int n, int homes, int64_t now)
	{
		members_.resize((size_t)homes);
		for (int i = 0; i < n; i++)
			names_.push_back("host-" + std::to_string(i));
		for (auto &members : members_) {
			lim_members_init(&members);
			List(&members, now);
		}
	}
	~Homes()
	{
		for (auto &members : members_)
			lim_members_finish(&members);
	}
	void List(lim_members *members, int64_t now)
	{
		GPtrArray *names = g_ptr_array_new();

		for (auto &name : names_)
			g_ptr_array_add(names, (gpointer)name.c_str());
		lim_members_set_hosts(members, names, now);
		g_ptr_array_unref(names);
	}
	void Renew(int home, int from, int to, int64_t now)
	{
		for (int i = from; i < to; i++)
			lim_members_renew_lease(&members_[(size_t)home], names_[(size_t)i].c_str(),
						now);
	}
	double Part(int home, int64_t now)
	{
		return lim_members_limit_ratio(&members_[(size_t)home], now);
	}

	std::vector<std::string> names_;
	std::vector<lim_members> members_;
};

TEST(LimMembersTest, PartsOfTwoHomesAddUpToTheLimitUntilReclaimed)
{
	const struct {
		int n, first; /* Number of all hosts, and of those that use the first home. */
	} cases[] = {{7, 7}, {7, 5}, {7, 3}, {71, 40}, {370, 185}, {1, 1}};
	for (const auto &c : cases) {
		Homes homes(c.n, 2, SECOND);

		for (int64_t now = SECOND; now < 8 * SECOND; now += SECOND) {
			homes.Renew(0, 0, c.first, now);
			homes.Renew(1, c.first, c.n, now);
			EXPECT_NEAR(homes.Part(0, now) + homes.Part(1, now), 1, 1e-9)
				<< c.n << " " << c.first << " " << now;
		}
		/*
		 * A group that remains isolated keeps its part; the sum of all parts must stay
		 * below 1.5.
		 */
		for (int64_t now = 8 * SECOND; now < 60 * SECOND; now += SECOND) {
			homes.Renew(0, 0, c.first, now);
			homes.Renew(1, c.first, c.n, now);
			EXPECT_LT(homes.Part(0, now) + homes.Part(1, now), 1.5);
		}
	}
}

TEST(LimMembersTest, ThePartOfStoppedHostsIsReclaimed)
{
	Homes homes(7, 1, SECOND);

	homes.Renew(0, 0, 7, SECOND);
	EXPECT_DOUBLE_EQ(homes.Part(0, SECOND), 1);
	/* Two hosts stop: their leases end, and 8 s later their part is reclaimed. */
	for (int64_t now = SECOND; now <= 20 * SECOND; now += SECOND / 2) {
		homes.Renew(0, 0, 5, now);
		if (now > SECOND + LIM_LEASE_US && now < SECOND + LIM_LEASE_US + LIM_RECLAIM_US) {
			EXPECT_NEAR(homes.Part(0, now), 5.0 / 7, 1e-9) << now;
		}
		if (now > SECOND + LIM_LEASE_US + LIM_RECLAIM_US) {
			EXPECT_DOUBLE_EQ(homes.Part(0, now), 1) << now;
		}
	}
	/* The part of a host that is removed from the list is available immediately. */
	homes.names_.pop_back();
	homes.List(&homes.members_[0], 20 * SECOND);
	EXPECT_DOUBLE_EQ(homes.Part(0, 20 * SECOND), 1);
}

TEST(LimMembersTest, AHomeWithoutAListOfHostsGrantsNothing)
{
	lim_members members;

	lim_members_init(&members);
	lim_members_renew_lease(&members, "host-0", SECOND);
	EXPECT_EQ(lim_members_limit_ratio(&members, SECOND), 0);
	lim_members_finish(&members);
}

TEST(LimMembersTest, AHostThatChangesItsHomeIsCountedAtOneHome)
{
	Homes homes(4, 2, SECOND);
	int64_t now = SECOND;

	homes.Renew(0, 0, 4, now);
	/* The last host uses the second home as soon as its lease at the first one has ended. */
	now += LIM_LEASE_US;
	homes.Renew(0, 0, 3, now);
	homes.Renew(1, 3, 4, now);
	EXPECT_LE(homes.Part(0, now) + homes.Part(1, now), 1);
}

TEST(LimFairTest, AnAccountWaitsForAnotherThatUsedFewerPermits)
{
	lim_fair fair;
	int64_t now = SECOND;

	lim_fair_init(&fair);
	EXPECT_TRUE(lim_fair_may_use_permit(&fair, "flood", now));
	for (int i = 0; i < 5; i++)
		lim_fair_count_permit(&fair, "flood", now);
	EXPECT_TRUE(lim_fair_may_use_permit(&fair, "flood", now)) << "no account waits";
	lim_fair_count_shortage(&fair, "small", now);
	EXPECT_FALSE(lim_fair_may_use_permit(&fair, "flood", now));
	EXPECT_TRUE(lim_fair_may_use_permit(&fair, "small", now));
	EXPECT_TRUE(lim_fair_may_use_permit(&fair, "flood", now + SECOND))
		<< "the other account needs no permit any more";
	lim_fair_finish(&fair);
}

TEST(LimFairTest, AFloodingAccountGetsOnlyAnEqualShare)
{
	std::map<std::string, int> got;
	lim_fair fair;

	lim_fair_init(&fair);
	for (int64_t now = SECOND; now < 101 * SECOND; now += 100 * MS) {
		bool permit = now % SECOND == 0;

		/* The flooding account requests first each time, twice as often as the others. */
		for (const char *account : {"flood", "small", "other"}) {
			if (account[0] != 'f' && now % (200 * MS) != 0)
				continue;
			if (permit && lim_fair_may_use_permit(&fair, account, now)) {
				lim_fair_count_permit(&fair, account, now);
				got[account]++;
				permit = false;
			} else {
				lim_fair_count_shortage(&fair, account, now);
			}
		}
	}
	EXPECT_NEAR(got["small"], got["other"], 3);
	EXPECT_LE(got["flood"], got["small"] + 3);
	lim_fair_finish(&fair);
}

TEST(LimRetryTest, RetryDelaysAreSpacedAtTheRateOfTheLimits)
{
	lim_retry retry{};
	const int64_t now = 10 * SECOND;

	EXPECT_EQ(lim_retry_delay_us(&retry, 2, 6 * SECOND, now), 500 * MS);
	EXPECT_EQ(lim_retry_delay_us(&retry, 2, 6 * SECOND, now), SECOND);
	EXPECT_EQ(lim_retry_delay_us(&retry, 2, 6 * SECOND, now), 1500 * MS);
	for (int i = 0; i < 100; i++)
		EXPECT_LE(lim_retry_delay_us(&retry, 2, 6 * SECOND, now), 6 * SECOND);
	EXPECT_EQ(lim_retry_delay_us(&retry, 2, 450 * MS, now + 60 * SECOND), 450 * MS);
	EXPECT_EQ(lim_retry_delay_us(&retry, 0, SECOND, now + 90 * SECOND), SECOND);
}

} // namespace
