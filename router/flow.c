#include "router/flow.h"
#include "sse/sse.h"

enum {
	FLOW_PART_BYTES = 4 << 10, /* of an answer that arrive at once, at most */
	/*
	 * What one answer may have halves with each such part of the limit on all that is used,
	 * down to FLOW_PART_BYTES. Those that came first keep what they have, so the rest must do
	 * for many.
	 */
	FLOW_STEPS = 32,
	/* This part of the limit on all is kept for answers that have begun. */
	FLOW_RESERVE_DIVISOR = 64,
	/*
	 * While less than this part of the limit on all is used, events are kept whole. Parts of
	 * events don't drain, so they must not use up the limit.
	 */
	FLOW_EVENTS_DIVISOR = 2,
	/* A held attempt goes on at 1/2 of the limit, so that it isn't held again at once. */
	FLOW_LOW_DIVISOR = 2
};

static uint64_t flow_free(const struct flow_limits *limits, uint64_t total)
{
	return total < limits->total_max ? limits->total_max - total : 0;
}

/* Returns the bytes that one answer may have unsent, if they are free. */
static size_t flow_share(const struct flow_limits *limits, uint64_t total)
{
	uint64_t steps = MIN(total, limits->total_max) * FLOW_STEPS / limits->total_max;

	return MAX(limits->answer_max >> steps, (size_t)FLOW_PART_BYTES);
}

/* An answer of which nothing is unsent may have any part that is free: its caller keeps pace. */
bool flow_must_hold(const struct flow_limits *limits, const struct flow_unsent *unsent, size_t len)
{
	if (len > flow_free(limits, unsent->total))
		return true;
	return unsent->answer > 0 && unsent->answer + len > flow_share(limits, unsent->total);
}

size_t flow_low_mark(const struct flow_limits *limits, uint64_t total)
{
	size_t share = flow_share(limits, total);
	size_t low = share / FLOW_LOW_DIVISOR;

	return low + FLOW_PART_BYTES <= share ? low : 0;
}

size_t flow_buffer_max(const struct flow_limits *limits, uint64_t total)
{
	return flow_share(limits, total);
}

size_t flow_event_max(const struct flow_limits *limits, uint64_t total)
{
	bool is_low = total < limits->total_max / FLOW_EVENTS_DIVISOR;

	return is_low ? SSE_EVENT_MAX : flow_share(limits, total);
}

bool flow_may_go_on(const struct flow_limits *limits, const struct flow_unsent *unsent)
{
	return unsent->answer <= flow_low_mark(limits, unsent->total) &&
	       !flow_must_hold(limits, unsent, FLOW_PART_BYTES);
}

bool flow_has_room(const struct flow_limits *limits, uint64_t total)
{
	return flow_free(limits, total) >= limits->total_max / FLOW_RESERVE_DIVISOR;
}
