#include "router/flow.h"
#include "sse/sse.h"

enum {
	/*
	 * Unsent bytes that any answer may have while the total is too large: a caller that keeps
	 * pace with its endpoint has less and never waits for those that don't.
	 */
	FLOW_FLOOR_BYTES = 16 << 10,
	/* A held attempt goes on at 1/2 of the limit, so that it isn't held again at once. */
	FLOW_LOW_DIVISOR = 2
};

bool flow_must_hold(const struct flow_limits *limits, const struct flow_unsent *unsent)
{
	if (unsent->answer > limits->answer_max)
		return true;
	return unsent->total > limits->total_max && unsent->answer > FLOW_FLOOR_BYTES;
}

size_t flow_low_mark(const struct flow_limits *limits, uint64_t total)
{
	size_t low = limits->answer_max / FLOW_LOW_DIVISOR;

	return total > limits->total_max ? MIN(low, (size_t)FLOW_FLOOR_BYTES) : low;
}

size_t flow_buffer_max(const struct flow_limits *limits, uint64_t total)
{
	return total > limits->total_max ? FLOW_FLOOR_BYTES : limits->answer_max;
}

size_t flow_event_max(const struct flow_limits *limits, uint64_t total)
{
	return total > limits->total_max ? FLOW_FLOOR_BYTES : SSE_EVENT_MAX;
}

bool flow_may_go_on(const struct flow_limits *limits, const struct flow_unsent *unsent)
{
	return unsent->answer <= flow_low_mark(limits, unsent->total);
}
