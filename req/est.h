#ifndef REQ_EST_H
#define REQ_EST_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Estimator of the time limit after which a missing answer counts as a failure: mean and mean
 * deviation of the observed times, as for TCP's retransmission timer (Jacobson, 1988). A slow
 * machine raises the limit; a dead one is detected about when the slowest healthy machine would
 * have answered.
 */
struct req_est {
	double mean_us;	     /* moving average of the observed times */
	double deviation_us; /* moving average of their absolute deviation from the mean */
	uint64_t count;	     /* number of observed times */
};

/* Adds an observed time. */
void req_est_add(struct req_est *est, int64_t value_us);

/*
 * Returns the time limit in microseconds, between floor_us and ceiling_us; ceiling_us while fewer
 * than 8 times have been observed.
 */
int64_t req_est_limit(const struct req_est *est, int64_t floor_us, int64_t ceiling_us);

G_END_DECLS

#endif
