#include "order/order.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace
{

constexpr int64_t kLease = 1000; /* duration of a lease, in microseconds */

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
			order_on_record(&order, (int64_t)i, str_from_cstr((*log)[i].c_str()), now);
	}
	bool Ask(int64_t now)
	{
		char *record = order_request_lease(&order, "m", now);
		if (!record)
			return false;
		log->push_back(record);
		free(record);
		return true;
	}
	int64_t Fence(int64_t now)
	{
		return order_fencing_number(&order, "m", now);
	}
	std::vector<std::string> *log;
	struct order order;
};

TEST(Order, TheFirstRecordInTheLogHoldsTheLease)
{
	std::vector<std::string> log;
	Node a("a", &log);
	Node b("b", &log);
	EXPECT_TRUE(a.Ask(0));
	EXPECT_TRUE(b.Ask(0));
	EXPECT_EQ(a.Fence(1), -1) << "the record has not been read back";
	a.Read(1);
	b.Read(1);
	EXPECT_EQ(a.Fence(1), 0);
	EXPECT_EQ(b.Fence(1), -1);
	EXPECT_FALSE(b.Ask(1099)) << "the lease and the margin have not passed";
	EXPECT_TRUE(b.Ask(1101));
	b.Read(1102);
	EXPECT_EQ(b.Fence(1102), 2) << "fencing numbers must grow";
}

TEST(Order, RenewalKeepsTheLeaseFromOtherHosts)
{
	std::vector<std::string> log;
	Node a("a", &log);
	Node b("b", &log);
	for (int64_t now = 0; now < 5000; now += 100) {
		a.Ask(now);
		a.Read(now);
		b.Read(now);
		EXPECT_GE(a.Fence(now), 0) << now;
		EXPECT_EQ(order_request_lease(&b.order, "m", now), nullptr) << now;
	}
}

TEST(Order, HolderPausedPastItsLeaseSendsNothing)
{
	/*
	 * Guards against two hosts that send orders, so that an engine unloads layers that a newer
	 * order has just loaded: a holder is paused, its lease expires, another host gets the
	 * lease, and the former holder resumes. By its own clock its lease has expired, and its
	 * renewal is void because it does not follow the current lease.
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

TEST(Order, ALateAppendDoesNotExtendTheLease)
{
	/*
	 * Guards against two holders at once: the platform delays an append, its record is read
	 * back late, and the holder counts the lease from then instead of from before the append.
	 */
	std::vector<std::string> log;
	Node a("a", &log);
	a.Ask(0);
	a.Read(950);
	EXPECT_EQ(a.Fence(950), -1);
}

TEST(Order, InvalidRecordsAreSkipped)
{
	std::vector<std::string> log = {"x", "{}", "[]"};
	Node a("a", &log);
	a.Read(0);
	EXPECT_TRUE(a.Ask(0));
	a.Read(0);
	EXPECT_EQ(a.Fence(0), 3);
}

} // namespace
