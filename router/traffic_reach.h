#ifndef ROUTER_TRAFFIC_REACH_H
#define ROUTER_TRAFFIC_REACH_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Whether endpoints answer this host, in the traffic thread: passes the results of its calls to
 * reach/ and logs when no endpoint answers any more, and when one does again.
 */
struct traf;
struct traf_ep;

/* A call to the endpoint, begun at began_us, has ended or had the head of its answer. */
void traf_reach_on_call(struct traf *traf, const struct traf_ep *ep, int64_t began_us,
			bool answered);

/* Forgets old failures and updates the gauge. */
void traf_reach_on_sweep(struct traf *traf);

#endif
