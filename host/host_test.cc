#include "host/host.h"

#include <gtest/gtest.h>
#include <map>
#include <string>
#include <vector>

namespace
{

std::vector<host> Hosts(int n)
{
	std::vector<host> hosts((size_t)n);
	for (int i = 0; i < n; i++)
		g_snprintf(hosts[(size_t)i].name, sizeof(hosts[0].name), "host-%d", i);
	return hosts;
}

class HostTest : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		host_table_init(&table_, 1000);
	}
	void TearDown() override
	{
		host_table_finish(&table_);
	}
	void List(int n)
	{
		auto hosts = Hosts(n);
		host_on_list(&table_, hosts.data(), hosts.size());
	}
	std::string Home(int key, unsigned rank = 0, int64_t now = 0)
	{
		const host *h =
			host_home(&table_, ("key" + std::to_string(key)).c_str(), rank, now);
		return h ? h->name : "";
	}
	host_table table_;
};

TEST_F(HostTest, KeysAreBalancedAndOnlyThoseOfALostHostMove)
{
	constexpr int kKeys = 7000;
	List(7);
	std::map<std::string, int> load;
	std::vector<std::string> before;
	for (int k = 0; k < kKeys; k++) {
		before.push_back(Home(k));
		load[before.back()]++;
	}
	for (const auto &[name, n] : load)
		EXPECT_NEAR(n, 1000, 150) << name;
	List(6);
	for (int k = 0; k < kKeys; k++) {
		if (before[(size_t)k] == "host-6")
			continue;
		EXPECT_EQ(Home(k), before[(size_t)k]);
	}
}

TEST_F(HostTest, SuspectedHostsAreNoHomesForAWhile)
{
	/*
	 * Guards against a choice of homes by the list alone: the list still contains a dead home,
	 * and each request waits for the timeout of that home until the list drops it.
	 */
	List(3);
	std::string first = Home(1);
	std::string second = Home(1, 1);
	host_on_evidence(&table_, first.c_str(), HOST_TIMED_OUT, 0);
	EXPECT_EQ(Home(1, 0, 10), second);
	EXPECT_EQ(Home(1, 0, 1001), first);
	host_on_evidence(&table_, first.c_str(), HOST_TIMED_OUT, 1001);
	EXPECT_EQ(Home(1, 0, 2500), second) << "the second suspicion in a row lasts longer";
	host_on_evidence(&table_, first.c_str(), HOST_ANSWERED, 2500);
	EXPECT_EQ(Home(1, 0, 2500), first);
}

TEST_F(HostTest, EvidenceIsKeptWhenTheListIsReplaced)
{
	List(3);
	std::string first = Home(1);
	host_on_evidence(&table_, first.c_str(), HOST_REFUSED, 0);
	List(3);
	EXPECT_NE(Home(1, 0, 10), first);
}

TEST_F(HostTest, AHomeIsFoundEvenIfAllHostsAreSuspected)
{
	List(2);
	for (const char *name : {"host-0", "host-1"})
		host_on_evidence(&table_, name, HOST_REFUSED, 0);
	EXPECT_NE(Home(1, 0, 10), "");
	EXPECT_EQ(Home(1, 1, 10), "");
	host_on_evidence(&table_, "host-0", HOST_REFUSED, 20);
	EXPECT_EQ(Home(1, 0, 30), "host-1") << "the host of the older suspicion is preferred";
}

} // namespace
