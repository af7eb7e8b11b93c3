#include "back/back.h"
#include "base/rnd.h"

#include <math.h>

/*
 * Half-life of the request counts, in seconds. Results older than two seconds say little about the
 * next request.
 */
static const double bk_half_life_s = 1.0;

/* Part of the recent requests that must be served for the short retry delay to apply. */
static const double bk_served_ratio_min = 0.5;

/*
 * Retry delays in microseconds: the short delay, and both ends of the range over which delays are
 * spread otherwise. An answer that begins 100 ms after the short delay still meets the target of
 * 500 ms. Lost engines are replaced within about 4 to 8 s.
 */
static const int64_t bk_short_delay_us = 300000;
static const int64_t bk_spread_min_us = 1000000;
static const int64_t bk_spread_max_us = 6000000;

/*
 * Longest delay as a part of the time that the caller has left. Callers obey a delay of up to a
 * third of that time; the value leaves a margin.
 */
static const double bk_max_delay_ratio = 0.3;

/*
 * Time that a request may wait at this host: the caller's deadline divided by bk_wait_divisor, at
 * most bk_wait_limit_us, and bk_wait_default_us if the deadline is not stated. Callers disconnect
 * from a stream that is silent for 2 s, so a limit of 2.5 s loses callers. With all hosts and the
 * store down together, a limit of 1 s for all requests refused 0.040 of a minute's requests,
 * these values 0.010.
 */
static const int64_t bk_wait_divisor = 8;
static const int64_t bk_wait_limit_us = 1500000;
static const int64_t bk_wait_default_us = 1000000;

static void bk_apply_decay(struct bk *bk, int64_t now_us)
{
	double decay = exp2(-(double)(now_us - bk->decayed_us) / 1e6 / bk_half_life_s);

	bk->served *= decay;
	bk->refused *= decay;
	bk->decayed_us = now_us;
}

void bk_on_served(struct bk *bk, int64_t now_us)
{
	bk_apply_decay(bk, now_us);
	bk->served++;
}

void bk_on_refused(struct bk *bk, int64_t now_us)
{
	bk_apply_decay(bk, now_us);
	bk->refused++;
}

int64_t bk_max_delay_us(int64_t left_us)
{
	return (int64_t)((double)left_us * bk_max_delay_ratio);
}

int64_t bk_retry_delay_us(struct bk *bk, int64_t left_us, int64_t now_us, uint32_t *seed)
{
	int64_t max_delay_us = bk_max_delay_us(left_us);
	int64_t spread_end_us = MIN(bk_spread_max_us, max_delay_us);

	bk_apply_decay(bk, now_us);
	if (bk->served >= bk_served_ratio_min * (bk->served + bk->refused) ||
	    spread_end_us <= bk_spread_min_us)
		return MIN(bk_short_delay_us, max_delay_us);
	return bk_spread_min_us +
	       (int64_t)((double)(spread_end_us - bk_spread_min_us) * rnd_uniform(seed));
}

int64_t bk_wait_max_us(int64_t deadline_ms)
{
	if (deadline_ms < 0)
		return bk_wait_default_us;
	return MIN(deadline_ms * 1000 / bk_wait_divisor, bk_wait_limit_us);
}
