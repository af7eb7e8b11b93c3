#ifndef BACK_BACK_H
#define BACK_BACK_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Delay after which a caller that was refused because endpoints lack capacity should retry
 * (Retry-After). This module does no I/O.
 *
 * A caller retries once. While most requests are served, a refusal is an exception and an early
 * retry may still succeed in time. While most requests are refused, the endpoints have no capacity,
 * and an early retry would be refused as well; these retries are spread over the next seconds.
 */
struct bk {
	/* Number of recently served requests, with exponential decay. */
	double served;
	/* Number of recently refused requests, with exponential decay. */
	double refused;
	/* Time to which the decay is applied, in microseconds. */
	int64_t decayed_us;
};

void bk_on_served(struct bk *bk, int64_t now_us);
void bk_on_refused(struct bk *bk, int64_t now_us);

/* Returns the longest delay that a caller obeys if its deadline is left_us away. */
int64_t bk_max_delay_us(int64_t left_us);

/*
 * Returns the retry delay for a caller whose deadline is left_us away, in microseconds. seed is the
 * state of the random number generator that spreads the delays.
 */
int64_t bk_retry_delay_us(struct bk *bk, int64_t left_us, int64_t now_us, uint32_t *seed);

/*
 * Returns the time in microseconds for which a request may wait at a host that can't serve it yet,
 * such as one without a configuration. deadline_ms is the total time that the caller waits, -1 if
 * it is not stated. A starting host receives its configuration within about 50 ms, or soon after
 * the store returns. After a restart of all hosts many callers have already used their only retry,
 * and a further retry would reach another starting host.
 */
int64_t bk_wait_max_us(int64_t deadline_ms);

G_END_DECLS

#endif
