#include "base/rnd.h"
#include "path/hop.h"

#include <cstdio>
#include <gtest/gtest.h>
#include <vector>

namespace
{

const int64_t MS = 1000;

/*
 * Load of one host in a deployment of 39 endpoints in three zones: 30 streams, each with an event
 * about every 25 ms. A third of the streams stays in one zone, the others cross zones once or
 * twice.
 */
struct Streams {
	Streams()
	{
		hop_init(&hop_);
		for (int i = 0; i < 30; i++) {
			hop_path path{};
			path.cost_ms = 10 + i % 5;
			if (i % 3 > 0)
				path.hops[hop_pair_index(0, 1)] = 1;
			if (i % 3 > 1)
				path.hops[hop_pair_index(1, 2)] = 1;
			paths_.push_back(path);
		}
	}
	/* Each pause is twice the cost of the stream's path, varied by a third, plus its hops. */
	void Run(double seconds, double slow01, double slow12)
	{
		for (int64_t end = now_ + (int64_t)(seconds * 1e6); now_ < end; now_ += 25 * MS) {
			for (const auto &path : paths_) {
				double pause =
					2 * path.cost_ms * (0.67 + 0.67 * rnd_uniform(&seed_));
				pause += path.hops[hop_pair_index(0, 1)] * slow01;
				pause += path.hops[hop_pair_index(1, 2)] * slow12;
				hop_observe_pause(&hop_, &path, pause, now_);
			}
		}
	}
	double Cost(int a, int b)
	{
		return hop_cost_ms(&hop_, a, b, now_);
	}

	hop hop_;
	std::vector<hop_path> paths_;
	int64_t now_ = 1000 * MS;
	uint32_t seed_ = 5;
};

TEST(HopTest, FastLinksAddNoCost)
{
	Streams s;
	s.Run(5, 0, 0);
	EXPECT_LT(s.Cost(0, 1), 2);
	EXPECT_LT(s.Cost(1, 2), 2);
	EXPECT_EQ(s.Cost(0, 0), 0);
}

/*
 * Guards against pipelines that keep using a slow link: when the link between two zones became
 * slow, 119 of 120 streams paused for 400 ms at a time for 4 s, although most of them had another
 * path, because the choice of a pipeline used only the configured delay of the link.
 */
TEST(HopTest, ASlowLinkRaisesOnlyItsOwnEstimate)
{
	Streams s;
	s.Run(3, 0, 0);
	s.Run(0.5, 0, 60);
	printf("0.5 s after a link became slower by 60 ms per pause: it costs %.1f ms per token, the other "
	       "%.1f\n",
	       s.Cost(1, 2), s.Cost(0, 1));
	EXPECT_GT(s.Cost(1, 2), 10);
	EXPECT_LT(s.Cost(0, 1), s.Cost(1, 2) / 3);
	EXPECT_EQ(s.Cost(2, 1), s.Cost(1, 2));
	s.Run(2, 0, 0);
	EXPECT_LT(s.Cost(1, 2), 4) << "the link is fast again and in use";
}

/* The estimate of a link that no stream uses decays, so that the link is tried again. */
TEST(HopTest, AnUnusedEstimateDecays)
{
	Streams s;
	s.Run(2, 0, 60);
	double before = s.Cost(1, 2);
	s.now_ += 6000 * MS;
	EXPECT_LT(s.Cost(1, 2), before * 0.3);
}

/* A single long pause, which comes from a faulty stage, hardly changes the estimate of a link. */
TEST(HopTest, ALongPauseOfOneStreamChangesLittle)
{
	Streams s;
	s.Run(3, 0, 0);
	hop_observe_pause(&s.hop_, &s.paths_[2], 30000, s.now_);
	EXPECT_LT(s.Cost(1, 2), 4);
}

/* Zones beyond HOP_ZONES_MAX share a number, and the index of a pair stays within the arrays. */
TEST(HopTest, PairIndexOfManyZonesStaysInBounds)
{
	for (int a = 0; a < 40; a++) {
		for (int b = 0; b < 40; b++) {
			EXPECT_GE(hop_pair_index(a, b), 0);
			EXPECT_LT(hop_pair_index(a, b), HOP_PAIRS);
			EXPECT_EQ(hop_pair_index(a, b), hop_pair_index(b, a));
		}
	}
}

} // namespace
