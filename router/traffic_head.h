#ifndef ROUTER_TRAFFIC_HEAD_H
#define ROUTER_TRAFFIC_HEAD_H

#include "router/traffic.h"

G_BEGIN_DECLS

/*
 * Handles what the heads of answers state about the endpoints that sent them, in the traffic
 * thread. Only the deployment's seam_wire parses these heads, and only this module passes the
 * result on: to rate limits, rest periods and the list of leaving endpoints. A header that the
 * router does not know is logged once by name, so that new information from endpoints is noticed.
 */

/* Handles the head of the answer to a request that was sent at sent_us, by tmr_boot_now(). */
void traf_head_of_request(struct traf *traf, struct traf_ep *ep, const struct seam_answer *answer,
			  int64_t sent_us, const char *request);

/* Handles the head of the answer to a report, a check or an order of the traffic thread. */
void traf_head_of_call(struct traf *traf, struct traf_ep *ep, int status, const GPtrArray *headers);

/*
 * Passes the head of an answer that the control thread received on to the traffic thread; may be
 * called in any thread. endpoint: its incarnation.
 */
void traf_head_post(struct traf *traf, const char *endpoint, const struct seam_answer *answer);

G_END_DECLS

#endif
