#include "fair/fair.h"

#include <gtest/gtest.h>
#include <map>
#include <string>
#include <vector>

namespace
{

constexpr int64_t kSecond = 1000000;
constexpr int64_t kNever = INT64_MAX / 2;

class FairTest : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		fair_init(&fair_);
		fair_set_rate(&fair_, 1000);
	}
	void TearDown() override
	{
		fair_finish(&fair_);
	}
	fair_account *Account(const char *name, uint32_t weight, uint32_t queue = 100000,
			      uint32_t inflight = 100000)
	{
		fair_limits limits = {weight, queue, inflight};
		return fair_get_account(&fair_, name, &limits);
	}
	int Push(fair_account *account, uint64_t cost, int64_t deadline = kNever)
	{
		fair_item item = {++id_, cost, deadline, 0, 0};
		return fair_push(&fair_, account, &item, now_, &retry_);
	}
	/* Starts and completes n items; returns the sum of their costs by account. */
	std::map<std::string, uint64_t> Serve(int n)
	{
		std::map<std::string, uint64_t> served;
		fair_item item;
		fair_account *account;
		for (int i = 0; i < n && fair_pop(&fair_, &item, &account); i++) {
			served[account->name] += item.cost;
			fair_complete(&fair_, account, item.cost, item.cost);
		}
		return served;
	}
	fair fair_;
	uint64_t id_ = 0;
	int64_t now_ = 0;
	int64_t retry_ = 0;
};

struct ShareCase {
	const char *name;
	uint32_t weight_a, weight_b;
	uint64_t cost_a, cost_b;
	double expected_share_of_a; /* share of all served tokens that account a must get */
};

const ShareCase kShareCases[] = {
	{"equal", 1, 1, 10, 10, 0.5},
	{"three to one", 3, 1, 10, 10, 0.75},
	{"tiny against huge answers", 1, 1, 1, 500, 0.5},
	{"weights and sizes", 4, 1, 200, 7, 0.8},
};

TEST_F(FairTest, BackloggedAccountsGetTheirShares)
{
	for (const auto &c : kShareCases) {
		fair_account *a = Account((std::string("a ") + c.name).c_str(), c.weight_a);
		fair_account *b = Account((std::string("b ") + c.name).c_str(), c.weight_b);
		for (int i = 0; i < 4000; i++) {
			Push(a, c.cost_a);
			Push(b, c.cost_b);
		}
		std::map<std::string, uint64_t> served_tokens;
		fair_item item;
		fair_account *account;
		while (!g_queue_is_empty(a->items) && !g_queue_is_empty(b->items) &&
		       fair_pop(&fair_, &item, &account)) {
			served_tokens[account == a ? "a" : "b"] += item.cost;
			fair_complete(&fair_, account, item.cost, item.cost);
		}
		double part = (double)served_tokens["a"] /
			      (double)(served_tokens["a"] + served_tokens["b"]);
		EXPECT_NEAR(part, c.expected_share_of_a, 0.05) << c.name;
		while (fair_pop(&fair_, &item, &account))
			fair_complete(&fair_, account, item.cost, item.cost);
	}
}

TEST_F(FairTest, IdleAccountAccumulatesNoCredit)
{
	/*
	 * Guards against an account that blocks all others after an idle hour. Account a is served
	 * alone for a long time, then b returns with a backlog; the start tags of b must not lag
	 * behind the virtual time.
	 */
	fair_account *a = Account("a", 1);
	fair_account *b = Account("b", 1);
	for (int i = 0; i < 2000; i++)
		Push(a, 10);
	Serve(1000);
	for (int i = 0; i < 1000; i++)
		Push(b, 10);
	auto served = Serve(200);
	EXPECT_NEAR((double)served["a"], (double)served["b"], 20);
}

TEST_F(FairTest, WorkConserving)
{
	fair_account *a = Account("a", 1);
	for (int i = 0; i < 10; i++)
		Push(a, 10);
	Account("b", 1000);
	EXPECT_EQ(Serve(100)["a"], 100u);
}

TEST_F(FairTest, EstimateIsCorrectedByActualCost)
{
	/*
	 * Guards against charging only the estimate: an account that announces 1 token and receives
	 * 100 would get a hundred times its share.
	 */
	fair_account *underestimating = Account("underestimating", 1);
	fair_account *accurate = Account("accurate", 1);
	for (int i = 0; i < 2000; i++) {
		Push(underestimating, 1);
		Push(accurate, 100);
	}
	std::map<std::string, uint64_t> served_tokens;
	fair_item item;
	fair_account *account;
	for (int i = 0; i < 1000 && fair_pop(&fair_, &item, &account); i++) {
		served_tokens[account->name] += 100;
		fair_complete(&fair_, account, item.cost, 100);
	}
	EXPECT_NEAR((double)served_tokens["underestimating"], (double)served_tokens["accurate"],
		    300);
}

TEST_F(FairTest, FloodDoesNotDelayTheLightAccount)
{
	fair_account *flood = Account("flood", 1);
	fair_account *light = Account("light", 1);
	for (int i = 0; i < 1000; i++)
		Push(flood, 100);
	Serve(10);
	Push(light, 100);
	auto served = Serve(2);
	EXPECT_EQ(served["light"], 100u);
}

TEST_F(FairTest, LimitsAreEnforced)
{
	fair_account *a = Account("a", 1, 2, 1);
	EXPECT_EQ(Push(a, 1000), 0);
	EXPECT_EQ(Push(a, 1000), 0);
	EXPECT_EQ(Push(a, 1000), FAIR_EFULL);
	EXPECT_EQ(retry_, 2 * kSecond);
	fair_item item;
	fair_account *account;
	ASSERT_TRUE(fair_pop(&fair_, &item, &account));
	EXPECT_FALSE(fair_pop(&fair_, &item, &account)) << "the limit is one item in flight";
	fair_complete(&fair_, a, 1000, 1000);
	EXPECT_TRUE(fair_pop(&fair_, &item, &account));

	fair_account *b = Account("b", 1);
	EXPECT_EQ(Push(b, 3000), 0);
	EXPECT_EQ(Push(b, 10, kSecond), FAIR_EDEADLINE);
	EXPECT_EQ(retry_, 3 * kSecond);
}

TEST_F(FairTest, WithdrawnAndExpiredItemsDoNotStart)
{
	fair_account *a = Account("a", 1);
	fair_item item;
	fair_account *account;
	Push(a, 10);
	EXPECT_EQ(Push(a, 10, kSecond), 0);
	EXPECT_TRUE(fair_withdraw(&fair_, 1));
	EXPECT_FALSE(fair_withdraw(&fair_, 1));
	EXPECT_FALSE(fair_expire(&fair_, now_, &item));
	now_ = kSecond;
	EXPECT_TRUE(fair_expire(&fair_, now_, &item));
	EXPECT_EQ(item.id, 2u);
	EXPECT_FALSE(fair_pop(&fair_, &item, &account));
	EXPECT_EQ(fair_.queued_cost, 0u);
}

} // namespace
