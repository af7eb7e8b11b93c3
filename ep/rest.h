#ifndef EP_REST_H
#define EP_REST_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * A rest: a period in which one host sends no requests to an endpoint, because the endpoint asked
 * for it when it rejected a request. Each such answer is binding by itself, so the latest end
 * applies. After the end the host first sends a single trial request. Otherwise the waiting
 * requests of all hosts, which were asked at the same moment, would arrive together at an endpoint
 * that looks idle and may still be overloaded. The module does no I/O; times are in microseconds.
 */
struct rest_period {
	int64_t until_us;     /* end of the rest; 0 if there was none, or its trial has ended */
	int64_t send_from_us; /* time from which this host may send the trial request */
	int64_t trial_us;     /* time at which the trial request was sent; 0 if none was sent */
	int report_calls;     /* number of calls for reports and health checks during the rest */
};

enum {
	REST_SPREAD_US = 300000, /* time after a rest over which the hosts' trial requests spread */
	REST_TRIAL_US = 400000	 /* longest wait of other requests for the trial's answer */
};

/*
 * The endpoint asked for a rest of for_us. spread: random number from 0 to 1, the part of
 * REST_SPREAD_US by which this host delays its trial request. Returns true if a rest begins, false
 * if one is extended or unchanged.
 */
bool rest_on_asked(struct rest_period *rest, int64_t for_us, int64_t now_us, double spread);

/* Whether a request may be sent to the endpoint: no rest and no wait for a trial's answer. */
bool rest_allows_request(const struct rest_period *rest, int64_t now_us);

/* A request is sent to the endpoint. */
void rest_on_sent(struct rest_period *rest, int64_t now_us);

/*
 * The endpoint accepted a request. Returns whether this ends the rest, which is the case after its
 * end, once the trial request was sent.
 */
bool rest_on_accepted(struct rest_period *rest, int64_t now_us);

/* Whether the endpoint is resting now. */
bool rest_is_active(const struct rest_period *rest, int64_t now_us);

/*
 * Whether this host may call the endpoint for its report or a health check. This is allowed once
 * during a rest, since a running stream may depend on the answer. The call is counted.
 */
bool rest_allows_report_call(struct rest_period *rest, int64_t now_us);

/* Earliest time at which a request may be sent: now, after the rest, or after the trial. */
int64_t rest_next_request_us(const struct rest_period *rest, int64_t now_us);

G_END_DECLS

#endif
