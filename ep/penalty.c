#include "ep/penalty.h"

#include <math.h>

/* Time in which the penalty decays to half. */
static const double penalty_half_life_s = 4.0;

/* Factor that is applied to the penalty for each served request. */
static const double penalty_served_factor = 0.5;

/* A penalty below this number of failures counts as 0. */
static const double penalty_min = 0.26;

static double penalty_decayed(const struct penalty *penalty, int64_t now_us)
{
	double age_s = (double)(now_us - penalty->updated_us) / G_USEC_PER_SEC;

	return penalty->failures * exp2(-age_s / penalty_half_life_s);
}

double penalty_value(const struct penalty *penalty, int64_t now_us)
{
	double recent = penalty->failures > 0 ? penalty_decayed(penalty, now_us) : 0;

	return recent < penalty_min ? 0 : recent;
}

void penalty_on_failed(struct penalty *penalty, int64_t now_us)
{
	penalty->failures = penalty_decayed(penalty, now_us) + 1;
	penalty->updated_us = now_us;
	penalty->passed_over = 0;
}

void penalty_on_served(struct penalty *penalty, int64_t now_us)
{
	penalty->failures = penalty_decayed(penalty, now_us) * penalty_served_factor;
	penalty->updated_us = now_us;
}

bool penalty_on_passed_over(struct penalty *penalty, int64_t now_us)
{
	if (penalty_value(penalty, now_us) == 0)
		return false;
	return ++penalty->passed_over > PENALTY_TRIAL_EVERY;
}

void penalty_on_chosen(struct penalty *penalty)
{
	penalty->passed_over = 0;
}
