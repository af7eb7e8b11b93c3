#ifndef EP_AVOID_H
#define EP_AVOID_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * How long one host avoids an endpoint that others report to be at fault. The cause may be brief
 * (the endpoint's memory is full) or permanent (the endpoint has died, and its entry has not
 * expired yet), and the report doesn't say which. So the first period is short, and each further
 * one is twice as long unless the endpoint has served a request in between. The module does no I/O.
 *
 * When each of seven hosts retried a dead endpoint every 0.7 s during the 14 s for which it stayed
 * listed, it rejected 411 requests. Each of them was sent again, which used up the retry budget of
 * all other requests.
 */
struct avoid_period {
	int faults;	  /* number of consecutive reported faults */
	int64_t fault_us; /* time at which the last fault was counted, in microseconds */
	int64_t until_us; /* end of the period in which the endpoint is avoided, in microseconds */
};

/* The endpoint was reported at fault. Returns the length of the new period, or 0 if one runs. */
int64_t avoid_on_fault(struct avoid_period *avoid, int64_t now_us);

/* The endpoint served a request that was sent to it at sent_us. */
void avoid_on_served(struct avoid_period *avoid, int64_t sent_us);

/*
 * Avoids the endpoint until now_us + for_us, for a reason other than a fault. Returns false, and
 * changes nothing, if this would not extend the present period by more than half a second.
 */
bool avoid_extend(struct avoid_period *avoid, int64_t for_us, int64_t now_us);

/* Whether the endpoint is avoided now. */
bool avoid_is_active(const struct avoid_period *avoid, int64_t now_us);

G_END_DECLS

#endif
