#include "router/flow.h"
#include "sse/sse.h"

#include <gtest/gtest.h>

namespace
{

const size_t KB = 1024;
const flow_limits limits = {256 * KB, 1024 * KB};

const struct {
	const char *name;
	flow_unsent unsent;
	bool must_hold;
	bool may_go_on;
} cases[] = {
	{"nothing unsent", {0, 0}, false, true},
	{"half of the limit", {128 * KB, 128 * KB}, false, true},
	{"between the marks", {200 * KB, 200 * KB}, false, false},
	{"at the limit", {256 * KB, 256 * KB}, false, false},
	{"above the limit", {256 * KB + 1, 256 * KB + 1}, true, false},
	{"little unsent, total at its limit", {17 * KB, 1024 * KB}, false, true},
	{"more than a little unsent, total too large", {17 * KB, 1025 * KB}, true, false},
	{"a little unsent, total too large", {16 * KB, 1025 * KB}, false, true},
	{"a fast reader beside slow ones", {4 * KB, 4096 * KB}, false, true},
};

/* Guards against answers that grow without limit, and against fast readers that wait for slow ones.
 */
TEST(FlowTest, AnswersAreHeldAndGoOn)
{
	for (const auto &c : cases) {
		EXPECT_EQ(flow_must_hold(&limits, &c.unsent), c.must_hold) << c.name;
		EXPECT_EQ(flow_may_go_on(&limits, &c.unsent), c.may_go_on) << c.name;
	}
}

/* Guards against many answers that are buffered at once, outside of the limit on all. */
TEST(FlowTest, LessIsBufferedWhileTheTotalIsTooLarge)
{
	EXPECT_EQ(flow_buffer_max(&limits, limits.total_max), limits.answer_max);
	EXPECT_EQ(flow_buffer_max(&limits, limits.total_max + 1), 16 * KB);
	EXPECT_EQ(flow_event_max(&limits, limits.total_max), (size_t)SSE_EVENT_MAX);
	EXPECT_EQ(flow_event_max(&limits, limits.total_max + 1), 16 * KB);
}

/* Guards against an attempt that waits for ever, or is held again as soon as it goes on. */
TEST(FlowTest, AnAnswerAtItsLowMarkGoesOnAndIsNotHeld)
{
	for (uint64_t total : {(uint64_t)0, limits.total_max, limits.total_max + 1}) {
		const flow_unsent unsent = {flow_low_mark(&limits, total), total};

		EXPECT_TRUE(flow_may_go_on(&limits, &unsent));
		EXPECT_FALSE(flow_must_hold(&limits, &unsent));
	}
}

} // namespace
