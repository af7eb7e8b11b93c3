#ifndef REQ_EST_H
#define REQ_EST_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * How long to wait before silence counts as a failure: mean and mean deviation of what was seen, as
 * for TCP's retransmission timer (Jacobson, 1988). A machine that is merely slow raises the limit;
 * a dead one is found as soon as its slowest healthy fellow would have answered.
 */
struct req_est {
	double mean_us;
	double deviation_us;
	uint64_t count;
};

void req_est_add(struct req_est *est, int64_t value_us);

/* Limit between floor_us and ceiling_us; the ceiling while little has been seen. */
int64_t req_est_limit(const struct req_est *est, int64_t floor_us, int64_t ceiling_us);

G_END_DECLS

#endif
