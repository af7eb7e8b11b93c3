#include "base/rnd.h"
#include "path/path.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace
{

/* A 70-billion-parameter model of 80 layers, with the values that users' deployments declare. */
rt_engine Engine()
{
	rt_engine e{};
	e.layers = 80;
	e.step_ms = 1.02;
	e.step_ms_per_seq = 0.00714;
	e.step_ms_per_context_ktoken = 0.00956;
	e.prompt_tokens_per_ms = 105;
	return e;
}

pa_node Node(int zone, int from, int to, double pace = 5.6)
{
	pa_node n{};
	n.zone = zone;
	n.from = from;
	n.to = to;
	n.pace = pace;
	n.read_pace = 3;
	n.slowness = 1;
	n.room = 80000;
	n.usable = true;
	return n;
}

double Delay(void *, int a, int b)
{
	return a == b ? 0 : 0.75;
}

struct Choice {
	int err;
	pa_path path;
};

Choice Choose(const std::vector<pa_node> &nodes, uint32_t seed = 1, int zone = 1,
	      pa_trust trust = PA_FAULTY)
{
	rt_engine engine = Engine();
	pa_request ask = {0, 80, zone, 800, 200, 3.0, trust, seed};
	Choice c{};
	c.err = pa_choose_path(&engine, nodes.data(), (int)nodes.size(), &ask, Delay, nullptr,
			       &c.path);
	return c;
}

std::string Text(const pa_path &path)
{
	std::string text;
	for (int i = 0; i < path.count; i++)
		text += std::to_string(path.stages[i].node) + ":" +
			std::to_string(path.stages[i].from) + "-" +
			std::to_string(path.stages[i].to) + " ";
	return text;
}

TEST(PathTest, AClosedNodeIsNoFirstStageButMayBeALaterOne)
{
	pa_node closed = Node(1, 0, 80);
	closed.closed = true;
	EXPECT_EQ(Choose({closed}).err, PA_ENONE);
	EXPECT_EQ(Text(Choose({closed, Node(1, 0, 40, 1)}).path), "1:0-40 0:40-80 ");
	EXPECT_EQ(Text(Choose({closed, Node(2, 0, 80, 50)}).path), "1:0-80 ");
}

TEST(PathTest, EveryLayerIsRunOnceInOrder)
{
	EXPECT_EQ(Text(Choose({Node(1, 40, 80), Node(1, 0, 40)}).path), "1:0-40 0:40-80 ");
	/* If ranges overlap, the later stage runs only the remaining layers. */
	EXPECT_EQ(Text(Choose({Node(1, 0, 50), Node(1, 40, 80)}).path), "0:0-50 1:50-80 ");
}

TEST(PathTest, NoPathWhereALayerIsMissing)
{
	EXPECT_EQ(Choose({}).err, PA_ENONE);
	EXPECT_EQ(Choose({Node(1, 0, 40), Node(1, 41, 80)}).err, PA_ENONE);
	pa_node unusable = Node(1, 40, 80);
	unusable.usable = false;
	EXPECT_EQ(Choose({Node(1, 0, 40), unusable}).err, PA_ENONE);
}

TEST(PathTest, ARequestForSomeLayersRunsOnlyThose)
{
	const std::vector<pa_node> nodes = {Node(1, 0, 40), Node(1, 8, 24), Node(1, 24, 40),
					    Node(1, 40, 80)};
	rt_engine engine = Engine();
	pa_request ask = {16, 32, 1, 800, 200, 3.0, PA_FAULTY, 1};
	pa_path path;

	ASSERT_EQ(pa_choose_path(&engine, nodes.data(), 4, &ask, Delay, nullptr, &path), 0);
	EXPECT_EQ(Text(path), "0:16-32 ");
	ASSERT_EQ(pa_choose_path(&engine, nodes.data() + 1, 3, &ask, Delay, nullptr, &path), 0);
	EXPECT_EQ(Text(path), "0:16-24 1:24-32 ");
	EXPECT_EQ(pa_choose_path(&engine, nodes.data() + 2, 2, &ask, Delay, nullptr, &path),
		  PA_ENONE);
}

TEST(PathTest, StaysInTheZoneOfTheHost)
{
	const std::vector<pa_node> nodes = {Node(1, 0, 40), Node(1, 40, 80), Node(2, 0, 40),
					    Node(2, 40, 80)};
	EXPECT_EQ(Text(Choose(nodes, 1, 1).path), "0:0-40 1:40-80 ");
	EXPECT_EQ(Text(Choose(nodes, 1, 2).path), "2:0-40 3:40-80 ");
}

TEST(PathTest, UsesAnotherZoneForAStageThatItsZoneLacks)
{
	const std::vector<pa_node> nodes = {Node(1, 0, 40), Node(2, 0, 40), Node(2, 40, 80)};
	EXPECT_EQ(Choose(nodes, 1, 1).err, 0);
}

/*
 * Load: 300 requests in flight over two copies of each stage, one of them twice as fast.
 * Expected: the fast copy gets more requests, and the slow one is used too.
 */
TEST(PathTest, SpreadsRequestsByTheNumberInFlight)
{
	std::vector<pa_node> nodes = {Node(1, 0, 40, 2.4), Node(1, 0, 40, 5.6),
				      Node(1, 40, 80, 2.4), Node(1, 40, 80, 5.6)};
	for (uint32_t i = 0; i < 300; i++) {
		Choice c = Choose(nodes, i * 7919 + 1);
		ASSERT_EQ(c.err, 0);
		for (int s = 0; s < c.path.count; s++) {
			nodes[c.path.stages[s].node].in_flight += 1;
			nodes[c.path.stages[s].node].tokens += 300;
		}
	}
	EXPECT_GT(nodes[0].in_flight, nodes[1].in_flight);
	EXPECT_GT(nodes[1].in_flight, 30);
	EXPECT_GT(nodes[3].in_flight, 30);
}

TEST(PathTest, AnEndpointWithFullMemoryIsNotChosen)
{
	std::vector<pa_node> nodes = {Node(1, 0, 80, 2.4), Node(1, 0, 80, 5.6)};
	EXPECT_EQ(Text(Choose(nodes).path), "0:0-80 ");
	nodes[0].tokens = nodes[0].room;
	EXPECT_EQ(Text(Choose(nodes).path), "1:0-80 ");
}

TEST(PathTest, ASlowEndpointIsNotChosen)
{
	std::vector<pa_node> nodes = {Node(1, 0, 80, 2.4), Node(1, 0, 80, 5.6)};
	nodes[0].slowness = 4;
	EXPECT_EQ(Text(Choose(nodes).path), "1:0-80 ");
}

/*
 * Guards against a search that ignores nodes: it considered only the first 1,024 nodes, so that in
 * a deployment of 3,000 engines requests went to slow engines although fast ones were idle.
 */
TEST(PathTest, TheSearchConsidersAllOfManyNodes)
{
	std::vector<pa_node> nodes;
	for (int i = 0; i < 3000; i++)
		nodes.push_back(Node(1 + i % 5, (i % 10) * 8, (i % 10 + 1) * 8, 16));
	nodes.push_back(Node(1, 0, 40, 1));
	nodes.push_back(Node(1, 40, 80, 1));
	EXPECT_EQ(Text(Choose(nodes).path), "3000:0-40 3001:40-80 ");
}

/* Least cost over all paths by exhaustive search, without the random part, to compare with. */
double LeastCost(const std::vector<pa_node> &nodes, int at, int zone)
{
	rt_engine e = Engine();
	double least = at == 80 ? 0 : INFINITY;
	for (const pa_node &n : nodes) {
		if (n.from > at || n.to <= at)
			continue;
		double step = e.step_ms + e.step_ms_per_seq * (n.in_flight + 1) +
			      e.step_ms_per_context_ktoken * (n.tokens + 800) / 1000;
		double layer =
			(step * n.pace + 800 / e.prompt_tokens_per_ms * n.read_pace / 200) / 80;
		double hop = 0.3 + (n.zone == zone ? 0 : 3.0 + 0.75);
		least = std::min(least, hop + layer * (n.to - at) + LeastCost(nodes, n.to, n.zone));
	}
	return least;
}

/* The search keeps one node per end and zone, and must still find a path of the least cost. */
TEST(PathTest, FindsTheSameCostAsAnExhaustiveSearch)
{
	uint32_t seed = 4711;
	for (int round = 0; round < 200; round++) {
		std::vector<pa_node> nodes;
		for (int i = 0; i < 14; i++) {
			int from = (int)(rnd_uniform(&seed) * 8) * 10;
			int to = std::min(80, from + 10 + (int)(rnd_uniform(&seed) * 4) * 10);
			nodes.push_back(Node(1 + (int)(rnd_uniform(&seed) * 3), from, to,
					     1 + rnd_uniform(&seed) * 15));
		}
		double least = LeastCost(nodes, 0, 1);
		Choice c = Choose(nodes, (uint32_t)round);
		ASSERT_EQ(c.err == 0, !std::isinf(least));
		if (c.err == 0) {
			/* The cost of each node is raised by up to 15 % at random. */
			EXPECT_GE(c.path.cost_ms, least - 1e-9);
			EXPECT_LE(c.path.cost_ms, least * 1.15 + 1e-9);
		}
	}
}

/*
 * Guards against choosing a dead engine that is still listed instead of a nearly full one: a faulty
 * engine had thirty times the cost, and the cost of a nearly full engine was higher. One in ten
 * requests was refused, because the retry budget was used up.
 */
TEST(PathTest, AFaultyNodeIsNotUsedHoweverFullTheOthersAre)
{
	pa_node dead = Node(1, 40, 80, 1);
	dead.trust = PA_FAULTY;
	pa_node full = Node(1, 40, 80, 16);
	full.in_flight = 300;
	full.tokens = 300000;
	EXPECT_EQ(Text(Choose({Node(1, 0, 40), dead, full}).path), "0:0-40 2:40-80 ");
}

/*
 * An engine that is considered faulty may still answer, while a request without a path is refused
 * in any case.
 */
TEST(PathTest, AFaultyNodeIsUsedIfNoOtherHoldsItsLayers)
{
	pa_node dead = Node(1, 40, 80);
	dead.trust = PA_FAULTY;
	EXPECT_EQ(Text(Choose({Node(1, 0, 40), dead}).path), "0:0-40 1:40-80 ");
	EXPECT_EQ(Choose({Node(1, 0, 40), dead}, 1, 1, PA_DOUBTED).err, PA_ENONE)
		<< "a request that was rejected before does not use a faulty node";
}

/* Of a doubted and a faulty holder, the doubted one is used: its memory may be full only briefly.
 */
TEST(PathTest, ADoubtedNodeIsPreferredToAFaultyOne)
{
	pa_node dead = Node(1, 40, 80, 1);
	dead.trust = PA_FAULTY;
	pa_node full = Node(1, 40, 80, 16);
	full.trust = PA_DOUBTED;
	full.tokens = 300000;
	EXPECT_EQ(Text(Choose({Node(1, 0, 40), dead, full}).path), "0:0-40 2:40-80 ");
}

/*
 * Load: 195 hosts in five zones have just started after an outage, and eight requests wait at each
 * (1,650 requests were sent within 0.1 s when all hosts had been killed). No host has requests in
 * flight, so their choices depend on the endpoints and on the number of hosts that they know of.
 * 190 engines of three kinds hold 24, 16 and 8 layers.
 */
struct Fleet {
	enum {
		HOSTS = 195,
		WAITING = 8,
		ZONES = 5
	};

	explicit Fleet(int known_of_ten)
	{
		const struct {
			int count, layers;
			double pace, room;
		} kinds[] = {{18, 24, 2.4, 130000}, {66, 16, 5.6, 100000}, {106, 8, 16, 100000}};
		int number = 0;

		for (const auto &kind : kinds) {
			for (int i = 0; i < kind.count; i++) {
				int from = number * 8 % (80 - kind.layers + 8);
				pa_node node = Node(number % ZONES + 1, from, from + kind.layers,
						    kind.pace);

				node.room = kind.room;
				node.usable = number * 7 % 10 < known_of_ten;
				nodes.push_back(node);
				number++;
			}
		}
		through.resize(nodes.size());
	}

	/* Each host sends its waiting requests and assumes that known_hosts hosts do the same. */
	void Send(int known_hosts)
	{
		for (int host = 0; host < HOSTS; host++) {
			std::vector<pa_node> seen = nodes;
			for (int i = 0; i < WAITING; i++) {
				uint32_t seed = (uint32_t)(host * 100 + i + 1);
				Choice c = Choose(seen, seed, host % ZONES + 1);

				ASSERT_EQ(c.err, 0);
				for (int k = 0; k < c.path.count; k++) {
					int node = c.path.stages[k].node;

					through[node]++;
					seen[node].in_flight += known_hosts;
					seen[node].tokens += 900.0 * known_hosts;
				}
			}
		}
	}
	int Fullest() const
	{
		return *std::max_element(through.begin(), through.end());
	}

	std::vector<pa_node> nodes;
	std::vector<int> through;
};

TEST(PathTest, HostsThatStartTogetherSpreadOverTheEndpointsTheyKnow)
{
	Fleet few(3), alone(10), all(10);

	few.Send(1);
	alone.Send(1);
	all.Send((int)Fleet::HOSTS);
	std::printf("%d hosts send %d requests each: through the fullest engine %d with a part of "
		    "the list, %d with all of it, %d if they also know the number of hosts\n",
		    (int)Fleet::HOSTS, (int)Fleet::WAITING, few.Fullest(), alone.Fullest(),
		    all.Fullest());
	EXPECT_LE(all.Fullest(), (int)Fleet::HOSTS)
		<< "more than one request of each host goes through the same engine";
	EXPECT_GT(alone.Fullest(), 3 * all.Fullest() / 2);
	EXPECT_GT(few.Fullest(), 2 * alone.Fullest());
}

} // namespace
