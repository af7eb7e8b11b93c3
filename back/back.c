#include "back/back.h"
#include "base/rnd.h"

#include <math.h>

/* Requests count half after this time: what was true two seconds ago tells little of the next. */
static const double bk_fade_s = 1.0;

/* Part of the requests that has to be served for a refusal to count as bad luck. */
static const double bk_good = 0.5;

/*
 * Soon: an answer that begins 100 ms later is within the 500 ms that users aim at. The other two
 * are the ends of the spread: engines that were lost are replaced within some 4 to 8 s.
 */
static const int64_t bk_soon_us = 300000;
static const int64_t bk_near_us = 1000000;
static const int64_t bk_far_us = 6000000;

/* Callers heed a time up to a third of what they have left; a little less arrives before that. */
static const double bk_heeded = 0.3;

/*
 * Part of a caller's time for which it may wait for a configuration, and the most: callers leave a
 * stream that brings nothing for 2 s. With all hosts and the store down together 0.040 of a
 * minute's requests were refused when all waited 1 s, 0.010 now (three runs); with 2.5 s callers
 * left instead.
 */
static const int64_t bk_park_part = 8;
static const int64_t bk_park_most_us = 1500000;
static const int64_t bk_park_unknown_us = 1000000;

static void bk_fade(struct bk *bk, int64_t now_us)
{
	double part = exp2(-(double)(now_us - bk->at_us) / 1e6 / bk_fade_s);

	bk->served *= part;
	bk->refused *= part;
	bk->at_us = now_us;
}

void bk_on_served(struct bk *bk, int64_t now_us)
{
	bk_fade(bk, now_us);
	bk->served++;
}

void bk_on_refused(struct bk *bk, int64_t now_us)
{
	bk_fade(bk, now_us);
	bk->refused++;
}

int64_t bk_heeded_us(int64_t left_us)
{
	return (int64_t)((double)left_us * bk_heeded);
}

int64_t bk_delay_us(struct bk *bk, int64_t left_us, int64_t now_us, uint32_t *seed)
{
	int64_t heeded_us = bk_heeded_us(left_us);
	int64_t far_us = MIN(bk_far_us, heeded_us);

	bk_fade(bk, now_us);
	if (bk->served >= bk_good * (bk->served + bk->refused) || far_us <= bk_near_us)
		return MIN(bk_soon_us, heeded_us);
	return bk_near_us + (int64_t)((double)(far_us - bk_near_us) * rnd_unit(seed));
}

int64_t bk_park_us(int64_t deadline_ms)
{
	if (deadline_ms < 0)
		return bk_park_unknown_us;
	return MIN(deadline_ms * 1000 / bk_park_part, bk_park_most_us);
}
