#include "ep/failing.h"

#include <math.h>

/* Failures count half after this time. */
static const double flg_fade_s = 4.0;

/* What is left of them by each request that is served. */
static const double flg_served_part = 0.5;

/* Of a failure, below which it counts no more. */
static const double flg_least = 0.26;

static double flg_faded(const struct flg *flg, int64_t now_us)
{
	double age_s = (double)(now_us - flg->at_us) / G_USEC_PER_SEC;

	return flg->recent * exp2(-age_s / flg_fade_s);
}

double flg_recent(const struct flg *flg, int64_t now_us)
{
	double recent = flg->recent > 0 ? flg_faded(flg, now_us) : 0;

	return recent < flg_least ? 0 : recent;
}

void flg_on_failed(struct flg *flg, int64_t now_us)
{
	flg->recent = flg_faded(flg, now_us) + 1;
	flg->at_us = now_us;
	flg->passed = 0;
}

void flg_on_served(struct flg *flg, int64_t now_us)
{
	flg->recent = flg_faded(flg, now_us) * flg_served_part;
	flg->at_us = now_us;
}

bool flg_on_passed(struct flg *flg, int64_t now_us)
{
	if (flg_recent(flg, now_us) == 0)
		return false;
	return ++flg->passed > FLG_TRIAL_EVERY;
}

void flg_on_chosen(struct flg *flg)
{
	flg->passed = 0;
}
