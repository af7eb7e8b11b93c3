#ifndef ROUTER_TRAFFIC_REST_H
#define ROUTER_TRAFFIC_REST_H

#include "router/traffic.h"

G_BEGIN_DECLS

/*
 * Rest periods in the traffic thread: times in which an endpoint has demanded that this host sends
 * it no requests. ep/rest.h describes them.
 */

/*
 * Handles an answer of the endpoint that demands a rest period of for_us. request: id of the
 * request that was answered; NULL: another call.
 */
void traf_rest_on_request(struct traf *traf, struct traf_ep *ep, int64_t for_us,
			  const char *request);

/*
 * Handles the message of another host that the endpoint demanded a rest period of that host. This
 * host prefers other endpoints for that time, but is not bound by it.
 */
void traf_rest_on_hint(struct traf *traf, struct traf_ep *ep, int64_t for_us);

/* Records that the endpoint accepted a request. The first one after a rest period ends it. */
void traf_rest_on_accepted(struct traf_ep *ep);

/*
 * Returns whether a report or a liveness check may be requested from the endpoint now, and counts
 * it: only one is allowed in a rest period.
 */
bool traf_rest_may_call(struct traf_ep *ep);

/*
 * Returns the time in us after which the caller of a request may retry that is refused because of
 * rest periods, which last for left_us more; logs and counts the refusal.
 */
int64_t traf_rest_retry_us(struct traf *traf, const char *service, const char *request,
			   int64_t left_us);

/* Logs rest periods that have ended and sets the gauge of those that go on. */
void traf_rest_on_sweep(struct traf *traf);

G_END_DECLS

#endif
