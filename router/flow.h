#ifndef ROUTER_FLOW_H
#define ROUTER_FLOW_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Flow control from callers to endpoints: when the attempt of an answer is held back, since its
 * caller reads more slowly than the endpoint sends, and when it goes on. What one answer may have
 * unsent shrinks as the limit on all is used up, so that thousands of slow callers leave room for a
 * fast one.
 */

/* Limits on the bytes of answers that callers have not read yet. */
struct flow_limits {
	size_t answer_max;  /* of one answer, in bytes */
	uint64_t total_max; /* of all answers of this host, in bytes */
};

/* What callers have not read yet. */
struct flow_unsent {
	size_t answer;	/* of this answer, in bytes */
	uint64_t total; /* of all answers of this host, in bytes, with those that are buffered */
};

/* Returns whether the attempt must be held back before it brings len more bytes. */
bool flow_must_hold(const struct flow_limits *limits, const struct flow_unsent *unsent, size_t len);

/* Returns whether an attempt that is held back may go on. */
bool flow_may_go_on(const struct flow_limits *limits, const struct flow_unsent *unsent);

/* Returns the unsent bytes of an answer at which its attempt may go on, with that total. */
size_t flow_low_mark(const struct flow_limits *limits, uint64_t total);

/*
 * Returns the bytes of an answer that are buffered before it is passed on, with that total; until
 * then the answer of another attempt may replace it.
 */
size_t flow_buffer_max(const struct flow_limits *limits, uint64_t total);

/* Returns the bytes of an event that are kept until it is complete, with that total. */
size_t flow_event_max(const struct flow_limits *limits, uint64_t total);

/* Returns whether there is room for the answer to one more request. */
bool flow_has_room(const struct flow_limits *limits, uint64_t total);

G_END_DECLS

#endif
