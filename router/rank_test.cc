#include "router/rank.h"

#include <gtest/gtest.h>
#include <algorithm>
#include <cstdlib>
#include <cstring>
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
		const std::string name = "host-" + std::to_string(self);
		const rank_self who = {name.c_str(), "", (unsigned int)n_, turn};
		rank r;

		rank_choose_roles(&table_, &who, now, &r);
		return r;
	}
	host_table table_;
	int n_ = 0;
};

/*
 * Guards against a slow restart: after all were killed, 100 hosts with 999 endpoints took more than
 * 30 s to serve. A host that was not a reader read the list, which has several pages, and accepted
 * followers. When it found a feed, it stopped reading before it could serve and had no more data
 * for its followers, which had to read the list from the beginning. The cause was that any feed
 * ended a host's own reading.
 */
TEST_F(RankTest, WhichHostsReadTheStoreAndFeedOthers)
{
	const struct {
		const char *what;
		/* the fields of struct rank_state in their order */
		rank_state host;
		bool reads, feeds;
	} cases[] = {
		{"a reader", {true, false, false, true, true, true, false, false}, true, true},
		{"a reader that the store rejects",
		 {true, false, true, true, true, false, false, false},
		 true,
		 false},
		{"it starts and has a feed",
		 {false, false, false, true, false, true, false, false},
		 true,
		 false},
		{"it starts and can serve",
		 {false, false, false, true, true, true, false, false},
		 false,
		 false},
		{"it starts without a feed",
		 {false, false, false, false, false, true, false, false},
		 true,
		 false},
		{"running", {false, false, true, true, true, false, false, false}, false, false},
		{"it has lost its feed",
		 {false, false, true, false, true, true, false, false},
		 true,
		 true},
		{"it has just lost its feed",
		 {false, false, true, false, true, true, true, false},
		 false,
		 true},
		{"it has just lost its feed and can't serve",
		 {false, false, true, false, false, true, true, false},
		 true,
		 true},
		{"it has a feed, is settled and can't serve",
		 {false, false, true, true, false, true, false, false},
		 true,
		 true},
		{"the first start",
		 {false, true, false, true, false, true, false, false},
		 true,
		 false},
		{"a relay with a feed",
		 {false, false, true, true, true, false, false, true},
		 false,
		 true},
		{"a relay without a feed",
		 {false, false, true, false, true, false, true, true},
		 false,
		 false},
		{"the first start, fed and settled",
		 {false, true, true, true, false, false, false, false},
		 false,
		 false},
	};
	Hosts(1);
	for (const auto &c : cases) {
		EXPECT_EQ(rank_should_read_store(&c.host), c.reads) << c.what;
		EXPECT_EQ(rank_may_feed(&c.host), c.feeds) << c.what;
	}
}

TEST_F(RankTest, TwoOrThreeReadersAndOneFirstReader)
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

TEST_F(RankTest, FollowersAreSpreadEvenlyOverReaders)
{
	std::map<std::string, int> followers;
	Hosts(270);
	for (int i = 0; i < 270; i++)
		followers[Choose(i).feeder->name]++;
	EXPECT_EQ(followers.size(), 3u);
	for (const auto &f : followers)
		EXPECT_NEAR(f.second, 90, 30) << f.first;
}

/* The number of followers of a host is limited, whatever the size of the deployment. */
TEST_F(RankTest, NoHostHasTooManyFollowers)
{
	const struct {
		int hosts, relays;
	} cases[] = {{30, 0}, {300, 0}, {984, 20}, {1968, 40}};
	for (const auto &c : cases) {
		std::map<std::string, int> followers;
		std::set<std::string> readers, relays;
		Hosts(c.hosts);
		EXPECT_EQ(rank_relay_count((unsigned int)c.hosts), (unsigned int)c.relays);
		for (int i = 0; i < c.hosts; i++) {
			rank r = Choose(i);
			std::string name = "host-" + std::to_string(i);
			followers[r.feeder->name]++;
			if (r.reader)
				readers.insert(name);
			if (r.relay)
				relays.insert(name);
		}
		EXPECT_EQ(relays.size(), (size_t)c.relays);
		for (const auto &f : followers) {
			EXPECT_LE(f.second, RANK_FOLLOWERS_TARGET + 30) << f.first;
			EXPECT_TRUE(readers.count(f.first) || relays.count(f.first));
		}
		for (int i = 0; i < c.hosts; i++) {
			rank r = Choose(i);
			if (r.relay || r.spare || r.reader) {
				EXPECT_EQ(readers.count(r.feeder->name), 1u) << "no ring of relays";
			}
		}
		host_table_finish(&table_);
	}
	Hosts(1);
}

/* Guards against a host that stays without a feed because the relays that it tries do not work.
 */
TEST_F(RankTest, AfterSomeRelaysTheReadersAreTried)
{
	Hosts(984);
	for (int i = 0; i < 984; i++) {
		std::set<std::string> asked;
		rank first = Choose(i);
		if (!first.follows_relay)
			continue;
		for (unsigned int turn = 0; turn < RANK_RELAYS_TRIED + RANK_FEEDERS_TRIED; turn++)
			asked.insert(Choose(i, turn).feeder->name);
		EXPECT_EQ(asked.size(), (size_t)RANK_RELAYS_TRIED + RANK_FEEDERS_TRIED);
	}
}

/*
 * Guards against hosts that receive no change for as long as an outage lasts: the store rejects
 * the readers and some other hosts, and one of these hosts goes on requesting its feed from a
 * reader.
 */
TEST_F(RankTest, LaterTurnsTryFeedersOtherThanReaders)
{
	Hosts(7);
	for (int i = 0; i < 7; i++) {
		std::set<std::string> asked;
		for (unsigned int turn = 0; turn < RANK_FEEDERS_TRIED; turn++)
			asked.insert(Choose(i, turn).feeder->name);
		EXPECT_GE(asked.size(), 5u);
		EXPECT_EQ(asked.count("host-" + std::to_string(i)), 0u);
	}
}

/*
 * Guards against changes that are late after an outage of the store: spare feeders follow each
 * other in a ring, so that what a reader reads reaches them only by calls of their own.
 */
TEST_F(RankTest, InAnOutageEachHostFollowsAReaderInAFewSteps)
{
	for (int hosts : {2, 6, 7, 60, 300, 984, 1968}) {
		std::vector<int> feeder;
		std::set<int> readers;
		Hosts(hosts);
		for (unsigned int seed = 0; seed < 4; seed++) {
			for (int i = 0; i < hosts; i++) {
				/* Each host has tried another number of feeders by then. */
				unsigned int turn = rank_feeders_tried_max(true) +
						    ((unsigned int)i * 31 + seed * 7) % 13;
				rank r = Choose(i, turn);
				feeder.push_back(atoi(r.feeder->name + strlen("host-")));
				if (r.reader)
					readers.insert(i);
			}
			for (int i = 0; i < hosts; i++) {
				int at = i, steps = 0;
				while (!readers.count(at) && steps <= RANK_FEEDERS_TRIED) {
					at = feeder[(size_t)at];
					steps++;
				}
				EXPECT_LT(steps, RANK_FEEDERS_TRIED)
					<< "host " << i << " of " << hosts;
			}
			feeder.clear();
		}
		host_table_finish(&table_);
	}
	Hosts(1);
}

TEST_F(RankTest, ASilentReaderIsReplaced)
{
	Hosts(7);
	std::string first;
	for (int i = 0; i < 7; i++) {
		if (Choose(i).first)
			first = "host-" + std::to_string(i);
	}
	host_on_evidence(&table_, first.c_str(), HOST_TIMED_OUT, 10);
	for (int i = 0; i < 7; i++) {
		rank r = Choose(i, 0, 20);
		if ("host-" + std::to_string(i) != first) {
			EXPECT_NE(std::string(r.feeder->name), first);
		}
		EXPECT_FALSE(r.first && "host-" + std::to_string(i) == first);
	}
}

TEST_F(RankTest, HowLongAHostWaitsForAnotherFeed)
{
	const struct {
		const char *what;
		rank place;
		int64_t apply_limit_ms, wait_ms;
	} cases[] = {
		{"a follower, changes within 5 s", {}, 5000, 1500},
		{"within 3 s", {}, 3000, 500},
		{"within 2 s", {}, 2000, 0},
		{"within 1 s", {}, 1000, 0},
		{"a reader", {true, false, false, false, false, nullptr}, 5000, 0},
		{"a spare feeder", {false, false, true, false, false, nullptr}, 5000, 0},
	};
	Hosts(1);
	for (const auto &c : cases)
		EXPECT_EQ(rank_feed_wait_us(&c.place, c.apply_limit_ms * 1000), c.wait_ms * 1000)
			<< c.what;
}

/* Simulates the hosts of a deployment and a store that rejects some of them, in steps of 100 ms.
 */
class RankSim
{
      public:
	RankSim(int hosts, int64_t limit_ms) : hosts_((size_t)hosts), limit_us_(limit_ms * 1000)
	{
		std::vector<host> list((size_t)hosts);

		for (int i = 0; i < hosts; i++) {
			snprintf(list[(size_t)i].name, sizeof(list[0].name), "host-%d", i);
			snprintf(list[(size_t)i].zone, sizeof(list[0].zone), "zone-%d", i % 5);
		}
		host_table_init(&table_, 4000000);
		host_on_list(&table_, list.data(), list.size());
	}
	~RankSim()
	{
		host_table_finish(&table_);
	}
	void Reject(int part)
	{
		for (size_t i = 0; i < hosts_.size(); i++)
			hosts_[i].rejected = part > 0 && (i * 7919 + 3) % (size_t)part == 0;
	}
	void Run(int steps)
	{
		for (int i = 0; i < steps; i++)
			Step();
	}
	double CallsPerHost() const
	{
		return (double)calls_ / (double)hosts_.size();
	}
	/* Longest time that any host had neither a feed nor a successful read, in milliseconds. */
	int64_t LongestGapMs() const
	{
		return longest_gap_us_ / 1000;
	}

      private:
	struct Host {
		bool rejected = false, reads = false, reached = false, fed = true, relay = false;
		bool may_feed = false;
		unsigned int turn = 0;
		int64_t stale_us = 0, fed_us = 0, updated_us = 0, read_from_us = 0;
	};
	enum {
		STEP_US = 100000,
		STALE_US = 400000,	 /* time after which a feeder that fails is replaced */
		STALE_RELAY_US = 900000, /* time after which a relay that fails is replaced */
		CALLS_OF_A_START = 2,	 /* calls for the configuration and the endpoints */
		STEPS_OF_A_CALL = 3	 /* steps between two calls of a host that reads */
	};

	Host &At(const host *h)
	{
		return hosts_[(size_t)atoi(h->name + strlen("host-"))];
	}
	void Read(Host *h, const rank &place)
	{
		const rank_state state = {place.reader,
					  false,
					  true,
					  h->fed,
					  true,
					  h->reached,
					  now_ - h->fed_us < rank_feed_wait_us(&place, limit_us_),
					  place.relay};
		bool reads = rank_should_read_store(&state);

		if (reads && !h->reads)
			h->read_from_us = now_;
		if (reads && !h->reads)
			calls_ += CALLS_OF_A_START;
		else if (reads && (now_ - h->read_from_us) / STEP_US % STEPS_OF_A_CALL == 0)
			calls_++;
		h->reached = reads && !h->rejected;
		h->reads = reads;
		const rank_state after = {place.reader, false,	    true,  h->fed,
					  true,		h->reached, false, place.relay};
		h->may_feed = rank_may_feed(&after);
	}
	void Follow(Host *h, const rank &place)
	{
		const Host &feeder = At(place.feeder);

		h->fed = feeder.may_feed;
		if (h->fed) {
			h->fed_us = now_;
			h->stale_us = 0;
			h->turn = 0;
		} else if (h->stale_us == 0) {
			h->stale_us = now_;
		} else if (now_ - h->stale_us > (place.follows_relay ? STALE_RELAY_US : STALE_US)) {
			h->turn++;
			h->stale_us = 0;
		}
	}
	void Step()
	{
		now_ += STEP_US;
		for (size_t i = 0; i < hosts_.size(); i++) {
			Host *h = &hosts_[i];
			const std::string name = "host-" + std::to_string(i);
			const std::string zone = "zone-" + std::to_string(i % 5);
			const rank_self who = {name.c_str(), zone.c_str(),
					       (unsigned int)hosts_.size(), h->turn};
			rank place;

			rank_choose_roles(&table_, &who, now_, &place);
			Follow(h, place);
			Read(h, place);
			if (h->fed || h->reached)
				h->updated_us = now_;
			longest_gap_us_ = std::max(longest_gap_us_, now_ - h->updated_us);
		}
	}

	host_table table_;
	std::vector<Host> hosts_;
	int64_t limit_us_; /* time within which a change must take effect */
	int64_t now_ = 0;
	int64_t longest_gap_us_ = 0;
	long calls_ = 0;
};

/*
 * The store rejects a third of the hosts for nine seconds, one of them a reader. Its followers can
 * find other feeds, so a larger deployment makes fewer calls to the store for each host.
 */
TEST(RankSimTest, RejectedHostsDoNotMakeTheOthersReadTheStore)
{
	double previous = 1e9;

	for (int hosts : {30, 300, 984, 1968}) {
		RankSim sim(hosts, 5000);

		sim.Run(10);
		sim.Reject(3);
		sim.Run(90);
		sim.Reject(0);
		sim.Run(30);
		EXPECT_LT(sim.CallsPerHost(), std::min(previous, 10.0)) << hosts;
		EXPECT_LT(sim.LongestGapMs(), 2500) << hosts;
		previous = sim.CallsPerHost();
	}
}

/*
 * Guards against requests to dead engines: in an outage of the store they went on for ten seconds
 * after the first reader had died. Only the first reader polled the engines, and the second, fed by
 * a third host, forgot after 4 s that it had found the first one silent.
 */
TEST(RankRoundTest, ASecondReaderTakesOverThePolling)
{
	const int64_t s = 1000000;
	rank first{}, second{}, other{};
	rank_round round{};
	first.reader = first.first = second.reader = true;
	EXPECT_TRUE(rank_round_received(&round, 7, 10 * s));
	EXPECT_TRUE(rank_should_poll(&round, &first, 10 * s));
	EXPECT_FALSE(rank_should_poll(&round, &second, 13 * s));
	EXPECT_TRUE(rank_should_poll(&round, &second, 13 * s + 1));
	EXPECT_FALSE(rank_should_poll(&round, &other, 60 * s)) << "no reader";
}

/* Two readers poll at once, with the same numbers: the second one receives a round and stops. */
TEST(RankRoundTest, TheSecondReaderStopsWhenTheFirstIsBack)
{
	const int64_t s = 1000000;
	rank second{};
	rank_round round{};
	second.reader = true;
	EXPECT_EQ(rank_round_ended(&round), 1);
	EXPECT_FALSE(rank_round_received(&round, 1, 20 * s)) << "a known number is not passed on";
	EXPECT_FALSE(rank_should_poll(&round, &second, 21 * s));
}

/* A host that has just started counts from 0. Old rounds are not passed on, so none circulates. */
TEST(RankRoundTest, OldRoundsAreNotPassedOn)
{
	rank_round round{};
	EXPECT_TRUE(rank_round_received(&round, 500, 1));
	EXPECT_FALSE(rank_round_received(&round, 1, 2));
	EXPECT_EQ(round.received_us, 1);
	EXPECT_EQ(rank_round_ended(&round), 501);
}

} // namespace
