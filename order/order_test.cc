#include "order/order.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace
{

constexpr int64_t kLease = 1000;

struct Node {
	Node(const char *name, std::vector<std::string> *l) : log(l)
	{
		order_init(&order, name, kLease);
	}
	~Node()
	{
		order_finish(&order);
	}
	void Read(int64_t now)
	{
		for (size_t i = (size_t)order.next; i < log->size(); i++)
			order_on_record(&order, (int64_t)i, str_of((*log)[i].c_str()), now);
	}
	bool Ask(int64_t now)
	{
		char *record = order_ask(&order, "m", now);
		if (!record)
			return false;
		log->push_back(record);
		free(record);
		return true;
	}
	int64_t Fence(int64_t now)
	{
		return order_fence(&order, "m", now);
	}
	std::vector<std::string> *log;
	struct order order;
};

TEST(Order, OneHolderAtATimeByLogOrder)
{
	std::vector<std::string> log;
	Node a("a", &log);
	Node b("b", &log);
	EXPECT_TRUE(a.Ask(0));
	EXPECT_TRUE(b.Ask(0));
	EXPECT_EQ(a.Fence(1), -1) << "not before it is read back";
	a.Read(1);
	b.Read(1);
	EXPECT_EQ(a.Fence(1), 0);
	EXPECT_EQ(b.Fence(1), -1);
	EXPECT_FALSE(b.Ask(1099)) << "the lease is waited out, with a margin";
	EXPECT_TRUE(b.Ask(1101));
	b.Read(1102);
	EXPECT_EQ(b.Fence(1102), 2) << "fencing numbers grow";
}

TEST(Order, RenewalKeepsTheLease)
{
	std::vector<std::string> log;
	Node a("a", &log);
	Node b("b", &log);
	for (int64_t now = 0; now < 5000; now += 100) {
		a.Ask(now);
		a.Read(now);
		b.Read(now);
		EXPECT_GE(a.Fence(now), 0) << now;
		EXPECT_EQ(order_ask(&b.order, "m", now), nullptr) << now;
	}
}

TEST(Order, HolderPausedPastItsLeaseSendsNothing)
{
	/*
	 * Symptom: an engine unloads what a newer order has just loaded.
	 * Sequence: the holder is frozen; its lease lapses; another takes over; the holder wakes.
	 * Cause: a holder that still believes in its lease. Its own clock tells it otherwise, and
	 * its renewal is void because it does not follow the current lease.
	 */
	std::vector<std::string> log;
	Node a("a", &log);
	Node b("b", &log);
	a.Ask(0);
	a.Read(0);
	b.Read(0);
	b.Ask(1200);
	b.Read(1200);
	EXPECT_EQ(a.Fence(1300), -1);
	a.Ask(1300);
	a.Read(1301);
	b.Read(1301);
	EXPECT_EQ(a.Fence(1301), -1);
	EXPECT_EQ(b.Fence(1301), 1);
}

TEST(Order, LateAppendDoesNotStretchTheLease)
{
	/*
	 * Symptom: two holders at once.
	 * Sequence: a holder's append is delayed in the platform and read back long after.
	 * Cause: counting the lease from when it was read instead of from before the append.
	 */
	std::vector<std::string> log;
	Node a("a", &log);
	a.Ask(0);
	a.Read(950);
	EXPECT_EQ(a.Fence(950), -1);
}

TEST(Order, RecordsThatAreNotOursAreSkipped)
{
	std::vector<std::string> log = {"x", "{}", "[]"};
	Node a("a", &log);
	a.Read(0);
	EXPECT_TRUE(a.Ask(0));
	a.Read(0);
	EXPECT_EQ(a.Fence(0), 3);
}

} // namespace
