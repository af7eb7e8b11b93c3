#ifndef LIM_RETRY_H
#define LIM_RETRY_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Retry delays for callers that are refused because of limits. Each caller gets a separate time,
 * spaced at the rate of the limits, so that callers don't all retry at once. This module does no
 * I/O.
 */
struct lim_retry {
	/* Retry time that was last assigned to a caller, in microseconds. */
	int64_t next_us;
};

/*
 * Returns the retry delay of the next caller in microseconds. rate is the number of requests per
 * second that the limits allow this host, max_delay_us the longest delay that the caller obeys.
 */
int64_t lim_retry_delay_us(struct lim_retry *retry, double rate, int64_t max_delay_us,
			   int64_t now_us);

G_END_DECLS

#endif
