#include "router/flow.h"
#include "sse/sse.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace
{

const size_t KB = 1024;
const size_t PART = 4 * KB;
const flow_limits limits = {256 * KB, 4096 * KB};

const struct {
	const char *name;
	flow_unsent unsent;
	bool must_hold;
	bool may_go_on;
} cases[] = {
	{"nothing unsent", {0, 0}, false, true},
	{"half of the limit", {128 * KB, 127 * KB}, false, true},
	{"between the marks", {200 * KB, 127 * KB}, false, false},
	{"the part fits", {252 * KB, 127 * KB}, false, false},
	{"the part does not fit", {252 * KB + 1, 127 * KB}, true, false},
	{"a share at 1/16 of the total", {64 * KB, 256 * KB}, true, false},
	{"half of a share at 1/16 of the total", {32 * KB, 256 * KB}, false, true},
	{"a caller that keeps pace, little free", {0, 4092 * KB}, false, true},
	{"a caller that is behind, little free", {4 * KB, 4092 * KB}, true, false},
	{"a caller that keeps pace, less free than a part", {0, 4092 * KB + 1}, true, false},
	{"nothing free", {0, 4096 * KB}, true, false},
	{"the total is above a limit that was made less", {0, 9000 * KB}, true, false},
};

/* Guards against answers that grow without limit, and against fast readers that wait for slow ones.
 */
TEST(FlowTest, AnswersAreHeldAndGoOn)
{
	for (const auto &c : cases) {
		EXPECT_EQ(flow_must_hold(&limits, &c.unsent, PART), c.must_hold) << c.name;
		EXPECT_EQ(flow_may_go_on(&limits, &c.unsent), c.may_go_on) << c.name;
	}
}

/* Guards against many answers that are buffered at once, outside of the limit on all. */
TEST(FlowTest, LessIsBufferedWhenLessIsFree)
{
	EXPECT_EQ(flow_buffer_max(&limits, 0), limits.answer_max);
	EXPECT_EQ(flow_buffer_max(&limits, 512 * KB), 16 * KB);
	EXPECT_EQ(flow_buffer_max(&limits, limits.total_max), PART);
	EXPECT_EQ(flow_event_max(&limits, limits.total_max / 2 - 1), (size_t)SSE_EVENT_MAX);
	EXPECT_EQ(flow_event_max(&limits, limits.total_max / 2), PART);
	EXPECT_EQ(flow_event_max(&limits, limits.total_max + 1), PART);
}

/* Guards against requests that are accepted although nothing of their answers can be passed on. */
TEST(FlowTest, ThereIsRoomUntilOnlyTheReserveIsLeft)
{
	EXPECT_TRUE(flow_has_room(&limits, 0));
	EXPECT_TRUE(flow_has_room(&limits, limits.total_max - 64 * KB));
	EXPECT_FALSE(flow_has_room(&limits, limits.total_max - 64 * KB + 1));
	EXPECT_FALSE(flow_has_room(&limits, limits.total_max + 1));
}

/* Guards against an attempt that waits for ever, or is held again as soon as it goes on. */
TEST(FlowTest, AnAnswerAtItsLowMarkGoesOnAndIsNotHeld)
{
	for (uint64_t free_kb = 4; free_kb <= 4096; free_kb += 4) {
		const uint64_t total = limits.total_max - free_kb * KB;
		const flow_unsent unsent = {flow_low_mark(&limits, total), total};

		EXPECT_TRUE(flow_may_go_on(&limits, &unsent)) << free_kb;
		EXPECT_FALSE(flow_must_hold(&limits, &unsent, PART)) << free_kb;
	}
}

/* Answers whose callers read nothing, with the default limits of a host. */
struct crowd {
	flow_limits limits = {256 * KB, 48 * KB *KB};
	std::vector<size_t> answers;
	uint64_t total = 0;

	/* Has an answer bring a part if it is not held. */
	bool bring(size_t i)
	{
		const flow_unsent unsent = {answers[i], total};

		if (flow_must_hold(&limits, &unsent, PART))
			return false;
		answers[i] += PART;
		total += PART;
		return true;
	}

	/* The next caller comes when the answers to those before it are held. */
	void fill_in_turn(size_t callers)
	{
		while (answers.size() < callers && flow_has_room(&limits, total)) {
			answers.push_back(0);
			while (bring(answers.size() - 1))
				;
		}
	}

	/* All callers come at once; their parts come in a random order. */
	void fill_together(size_t callers)
	{
		std::mt19937 random(1);
		std::vector<size_t> order(callers);

		answers.resize(callers);
		for (size_t i = 0; i < callers; i++)
			order[i] = i;
		while (!order.empty()) {
			std::shuffle(order.begin(), order.end(), random);
			order.erase(std::remove_if(order.begin(), order.end(),
						   [&](size_t i) { return !bring(i); }),
				    order.end());
		}
	}

	size_t least() const
	{
		return *std::min_element(answers.begin(), answers.end());
	}
};

const struct {
	size_t callers;
	size_t least; /* bytes that each caller has, at least */
} crowds[] = {{8, 128 * KB}, {200, PART}, {1000, PART}, {10000, PART}};

/* Guards against a limit on all answers that many callers exceed together. */
TEST(FlowTest, CallersThatReadNothingStayWithinTheLimit)
{
	for (const auto &c : crowds) {
		crowd in_turn;
		crowd together;

		in_turn.fill_in_turn(c.callers);
		together.fill_together(c.callers);
		EXPECT_EQ(in_turn.answers.size(), c.callers);
		for (const crowd *crowd : {&in_turn, &together}) {
			EXPECT_LE(crowd->total, crowd->limits.total_max) << c.callers;
			EXPECT_GE(crowd->least(), c.least) << c.callers;
			EXPECT_TRUE(flow_has_room(&crowd->limits, crowd->total)) << c.callers;
		}
	}
}

/* Guards against more callers than there is room for, together above the limit. */
TEST(FlowTest, MoreCallersThanThereIsRoomForAreRefused)
{
	crowd crowd;

	crowd.fill_in_turn(20000);
	EXPECT_LT(crowd.answers.size(), 20000);
	EXPECT_LE(crowd.total, crowd.limits.total_max);
}

/* Guards against fast readers that wait for slow ones. */
TEST(FlowTest, AFastReaderBesideThemIsNotHeld)
{
	for (const auto &c : crowds) {
		crowd crowd;

		crowd.fill_in_turn(c.callers);
		for (size_t parts = 0; parts < 64; parts++) {
			const flow_unsent fast = {0, crowd.total + parts * PART};

			EXPECT_FALSE(flow_must_hold(&crowd.limits, &fast, PART)) << c.callers;
		}
	}
}

} // namespace
