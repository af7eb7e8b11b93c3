#include "router/rank.h"

#include <gtest/gtest.h>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace
{

class RankTest : public ::testing::Test
{
      protected:
	void Hosts(int n)
	{
		std::vector<host> hosts((size_t)n);
		for (int i = 0; i < n; i++)
			snprintf(hosts[(size_t)i].name, sizeof(hosts[0].name), "host-%d", i);
		host_table_init(&table_, 1000);
		host_on_list(&table_, hosts.data(), hosts.size());
		n_ = n;
	}
	void TearDown() override
	{
		host_table_finish(&table_);
	}
	rank Choose(int self, unsigned int turn = 0, int64_t now = 0)
	{
		rank r;
		rank_choose(&table_, ("host-" + std::to_string(self)).c_str(), turn, now, &r);
		return r;
	}
	host_table table_;
	int n_ = 0;
};

/*
 * Symptom: after a kill of all hosts 100 hosts with 999 endpoints took more than 30 s to serve.
 * Sequence: each reads a list of several pages; a host that is no reader reads, too, and offers
 * itself as a feeder; it finds its own feed, stops reading, and has nothing for those that follow
 * it; they begin the list anew. Cause: a feed from anybody counted, and ended a host's own reading
 * before it knew what it needs.
 */
TEST_F(RankTest, WhoReadsAndWhoFeeds)
{
	const struct {
		const char *what;
		rank_host host; /* reader, first start, settled, fed, knows all, reached */
		bool reads, feeds;
	} cases[] = {
		{"a reader", {true, false, false, true, true, true}, true, true},
		{"a reader that the store turns away",
		 {true, false, true, true, true, false},
		 true,
		 false},
		{"it starts, and has a feed",
		 {false, false, false, true, false, true},
		 true,
		 false},
		{"it starts, and knows all", {false, false, false, true, true, true}, false, false},
		{"it starts without a feed",
		 {false, false, false, false, false, true},
		 true,
		 false},
		{"as usual", {false, false, true, true, true, false}, false, false},
		{"it has lost its feed", {false, false, true, false, true, true}, true, true},
		{"it has a feed, late in a start",
		 {false, false, true, true, false, true},
		 true,
		 true},
		{"the first start", {false, true, false, true, false, true}, true, false},
		{"the first start, fed and settled",
		 {false, true, true, true, false, false},
		 false,
		 false},
	};
	Hosts(1);
	for (const auto &c : cases) {
		EXPECT_EQ(rank_reads(&c.host), c.reads) << c.what;
		EXPECT_EQ(rank_may_feed(&c.host), c.feeds) << c.what;
	}
}

TEST_F(RankTest, FewReadersAndOneFirst)
{
	const struct {
		int hosts, readers;
	} cases[] = {{1, 1}, {2, 2}, {7, 2}, {66, 3}, {370, 3}};
	for (const auto &c : cases) {
		int readers = 0, first = 0;
		Hosts(c.hosts);
		for (int i = 0; i < c.hosts; i++) {
			rank r = Choose(i);
			readers += r.reader;
			first += r.first;
			EXPECT_EQ(r.feeder == nullptr, c.hosts == 1);
		}
		EXPECT_EQ(readers, c.readers);
		EXPECT_EQ(first, 1);
		if (c.hosts != cases[4].hosts)
			host_table_finish(&table_);
	}
}

TEST_F(RankTest, ReadersShareTheOthers)
{
	std::map<std::string, int> followers;
	Hosts(370);
	for (int i = 0; i < 370; i++)
		followers[Choose(i).feeder->name]++;
	EXPECT_EQ(followers.size(), 3u);
	for (const auto &f : followers)
		EXPECT_NEAR(f.second, 123, 30) << f.first;
}

/*
 * Symptom: some hosts did not hear of a change for as long as an outage lasted.
 * Sequence: the store turns away the readers and some others; one of the others follows a reader.
 * Cause: it went on asking that reader for a feed.
 */
TEST_F(RankTest, TurnsLeadToOtherFeedersBeyondTheReaders)
{
	Hosts(7);
	for (int i = 0; i < 7; i++) {
		std::set<std::string> asked;
		for (unsigned int turn = 0; turn < RANK_FEEDERS; turn++)
			asked.insert(Choose(i, turn).feeder->name);
		EXPECT_GE(asked.size(), 5u);
		EXPECT_EQ(asked.count("host-" + std::to_string(i)), 0u);
	}
}

TEST_F(RankTest, ASilentReaderIsReplaced)
{
	Hosts(7);
	std::string first;
	for (int i = 0; i < 7; i++) {
		if (Choose(i).first)
			first = "host-" + std::to_string(i);
	}
	host_on_evidence(&table_, first.c_str(), HOST_SILENT, 10);
	for (int i = 0; i < 7; i++) {
		rank r = Choose(i, 0, 20);
		if ("host-" + std::to_string(i) != first) {
			EXPECT_NE(std::string(r.feeder->name), first);
		}
		EXPECT_FALSE(r.first && "host-" + std::to_string(i) == first);
	}
}

/*
 * Symptom: in an outage of the store, engines that had died were sent to for ten seconds.
 * Sequence: the first reader dies; the second, fed by a third host, forgets after 4 s that it found
 * the first one silent. Cause: only the first reader asked engines for their reports.
 */
TEST(RankRoundTest, ASecondReaderTakesOver)
{
	const int64_t s = 1000000;
	rank first{}, second{}, other{};
	rank_round round{};
	first.reader = first.first = second.reader = true;
	EXPECT_TRUE(rank_round_heard(&round, 7, 10 * s));
	EXPECT_TRUE(rank_round_is_ours(&round, &first, 10 * s));
	EXPECT_FALSE(rank_round_is_ours(&round, &second, 13 * s));
	EXPECT_TRUE(rank_round_is_ours(&round, &second, 13 * s + 1));
	EXPECT_FALSE(rank_round_is_ours(&round, &other, 60 * s)) << "no reader";
}

/* Two that make rounds at once: the second one hears of the first and stops, also in lockstep. */
TEST(RankRoundTest, TheSecondOneStopsWhenTheFirstIsBack)
{
	const int64_t s = 1000000;
	rank second{};
	rank_round round{};
	second.reader = true;
	EXPECT_EQ(rank_round_done(&round), 1);
	EXPECT_FALSE(rank_round_heard(&round, 1, 20 * s)) << "known already, so not handed on";
	EXPECT_FALSE(rank_round_is_ours(&round, &second, 21 * s));
}

/* A host that has just started counts from nothing; older rounds are not handed on in a ring. */
TEST(RankRoundTest, OldRoundsAreNoNews)
{
	rank_round round{};
	EXPECT_TRUE(rank_round_heard(&round, 500, 1));
	EXPECT_FALSE(rank_round_heard(&round, 1, 2));
	EXPECT_EQ(round.heard_us, 1);
	EXPECT_EQ(rank_round_done(&round), 501);
}

} // namespace
