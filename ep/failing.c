#include "ep/failing.h"

#include <math.h>

/* Time in which the penalty decays to half. */
static const double penalty_half_life_s = 4.0;

/* Factor that is applied to the penalty for each served request. */
static const double penalty_served_factor = 0.5;

/* A penalty below this number of failures counts as 0. */
static const double penalty_min = 0.26;

static double penalty_decayed(const struct flg *flg, int64_t now_us)
{
	double age_s = (double)(now_us - flg->updated_us) / G_USEC_PER_SEC;

	return flg->failures * exp2(-age_s / penalty_half_life_s);
}

double flg_recent(const struct flg *flg, int64_t now_us)
{
	double recent = flg->failures > 0 ? penalty_decayed(flg, now_us) : 0;

	return recent < penalty_min ? 0 : recent;
}

void flg_on_failed(struct flg *flg, int64_t now_us)
{
	flg->failures = penalty_decayed(flg, now_us) + 1;
	flg->updated_us = now_us;
	flg->passed_over = 0;
}

void flg_on_served(struct flg *flg, int64_t now_us)
{
	flg->failures = penalty_decayed(flg, now_us) * penalty_served_factor;
	flg->updated_us = now_us;
}

bool flg_on_passed(struct flg *flg, int64_t now_us)
{
	if (flg_recent(flg, now_us) == 0)
		return false;
	return ++flg->passed_over > PENALTY_TRIAL_EVERY;
}

void flg_on_chosen(struct flg *flg)
{
	flg->passed_over = 0;
}
