#include "req/est.h"

#include <math.h>

enum {
	REQ_EST_MIN_SAMPLES = 8, /* observed times needed for an estimate */
	REQ_EST_DEVIATIONS = 6	 /* the limit is the mean plus this many mean deviations */
};

static const double req_est_gain = 1.0 / 16; /* weight of a new time in the moving averages */

void req_est_add(struct req_est *est, int64_t value_us)
{
	double error = (double)value_us - est->mean_us;

	if (est->count++ == 0) {
		est->mean_us = (double)value_us;
		est->deviation_us = (double)value_us / 2;
		return;
	}
	est->mean_us += error * req_est_gain;
	est->deviation_us += (fabs(error) - est->deviation_us) * req_est_gain;
}

int64_t req_est_limit(const struct req_est *est, int64_t floor_us, int64_t ceiling_us)
{
	int64_t limit = (int64_t)(est->mean_us + REQ_EST_DEVIATIONS * est->deviation_us);

	if (est->count < REQ_EST_MIN_SAMPLES)
		return ceiling_us;
	return CLAMP(limit, floor_us, ceiling_us);
}
