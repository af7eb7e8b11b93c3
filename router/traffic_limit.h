#ifndef ROUTER_TRAFFIC_LIMIT_H
#define ROUTER_TRAFFIC_LIMIT_H

#include "router/traffic.h"

G_BEGIN_DECLS

/*
 * Rate limits that endpoints announce, in the traffic thread, which decides by them whether the
 * next request may be sent to an endpoint.
 */

/*
 * Handles the headers of a response. sent_us is the time at which the request was sent, by
 * tmr_boot_now(); request is its identifier, for the log.
 */
void traf_limit_on_answer(struct traf *traf, struct traf_ep *ep, const struct seam_answer *answer,
			  int64_t sent_us, const char *request);

/* Returns whether the limit allows a request of the account to be sent to the endpoint now. */
bool traf_limit_is_open(struct traf *traf, struct traf_ep *ep, const char *account);

/*
 * Counts a request that was not sent to the endpoint because of its limit, and requests a permit.
 */
void traf_limit_request_permit(struct traf *traf, struct traf_ep *ep);

/* Uses a permit for a request of the account that is sent to the endpoint. */
void traf_limit_use_permit(struct traf *traf, struct traf_ep *ep, const char *account);

/*
 * Returns whether a request of the account may wait for a permit after the limits of all endpoints
 * of the service have turned it away. At most as many requests wait as the limits allow within half
 * a second, plus one.
 */
bool traf_limit_may_wait(struct traf *traf, const char *service, const char *account);

/*
 * Returns the time after which the caller of a request that is refused because of limits should
 * retry, in microseconds, but no more than most_us. request is the identifier of the request, for
 * the log.
 */
int64_t traf_limit_retry_us(struct traf *traf, const char *service, const char *request,
			    int64_t most_us);

/* Sends unreported demand for permits to the control thread and updates the gauges. */
void traf_limit_on_sweep(struct traf *traf);

G_END_DECLS

#endif
