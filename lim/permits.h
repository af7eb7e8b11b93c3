#ifndef LIM_PERMITS_H
#define LIM_PERMITS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The limit of one endpoint as known on one host, and the permits that this host holds for it. The
 * limit applies to all hosts together, so no host sends requests to the endpoint without a permit;
 * lim/home.h describes how permits are granted. This module does no I/O. Its clock must continue
 * while the host is suspended.
 */

/* Statement of an endpoint about its limit. */
struct lim_notice {
	/* Whether the endpoint states a limit; false if the limit was lifted. */
	bool named;
	/* Limit in requests per second; after the limit was lifted, its last value. */
	double rate;
	/* Time of the statement in microseconds; 0 if there is none. */
	int64_t stated_us;
};

struct lim_permits {
	/* Newest statement of the endpoint. */
	struct lim_notice news;
	/* Number of permits that this host holds. */
	int permits;
	/* Time at which the oldest of these permits was received, in microseconds. */
	int64_t oldest_received_us;
	/* Time at which these permits expire, in microseconds. */
	int64_t expires_us;
	/* Number of requests for this endpoint that were not reported to the home yet. */
	int wanted;
	/* Number of expired permits that were not returned to the home yet. */
	int returned;
};

/*
 * Records a statement of the endpoint if it is newer than the known one. Returns whether it changes
 * the limit.
 */
bool lim_permits_update_limit(struct lim_permits *held, const struct lim_notice *notice);

/*
 * Returns whether requests to the endpoint need a permit. They do for some time after the limit was
 * lifted, because otherwise all hosts would send to the idle endpoint at the same time.
 */
bool lim_permits_are_required(const struct lim_permits *held, int64_t now_us);

/* Returns whether a request may be sent to the endpoint now. */
bool lim_permits_may_send(struct lim_permits *held, int64_t now_us);

/* Uses a permit, if there is one, for a request that is sent to the endpoint. */
void lim_permits_use(struct lim_permits *held, int64_t now_us);

/* Adds permits that answer a request for permits sent at asked_us. */
void lim_permits_add(struct lim_permits *held, int permits, int64_t asked_us, int64_t now_us);

/* Returns the requests per second that the statement allows now; always greater than 0. */
double lim_current_rate(const struct lim_notice *notice, int64_t now_us);

/* Returns whether the statement requires permits now. */
bool lim_is_in_force(const struct lim_notice *notice, int64_t now_us);

G_END_DECLS

#endif
