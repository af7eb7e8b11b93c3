#ifndef ROUTER_LIMITS_H
#define ROUTER_LIMITS_H

#include "base/frm.h"
#include "lim/permits.h"
#include "msg/feed.pb-c.h"

#include <jansson.h>

G_BEGIN_DECLS

/*
 * Rate limits that endpoints announce, enforced over all hosts together. limits.c keeps the limits
 * known to this host and forwards them to other hosts. One host, the home, divides each limit: it
 * issues permits, each of which allows one request to one endpoint. All hosts choose the same host
 * as the home. limit_ask.c sends the home requests for permits, called asks; limit_home.c is the
 * home itself.
 *
 * All functions run in the control thread, except limits_post(). All times are by tmr_boot_now(),
 * in microseconds.
 */
struct ctrl;
struct traf;
struct limits;
struct limit_ask;
struct limit_home;

/*
 * The limit of one endpoint, with demand or permits for it, as it is passed between threads and
 * hosts.
 */
struct limit_update {
	char *endpoint;		 /* incarnation of the endpoint; owned */
	struct lim_notice limit; /* the limit that the endpoint announced */
	int wanted;		 /* number of requests that need a permit */
	int returned;		 /* number of permits that expired unused */
	int permits;		 /* number of permits issued */
	/* time at which the ask was sent that the permits answer, in microseconds */
	int64_t asked_us;
};

/* limits.c: the limits known to this host. */
struct limits *limits_new(struct ctrl *ctrl);
void limits_free(struct limits *limits);
void limits_on_tick(struct limits *limits, int64_t now_us);

/*
 * Passes a limit, and the demand of this host, from the traffic thread to the control thread. May
 * be called from any thread.
 */
void limits_post(struct ctrl *ctrl, const struct limit_update *update);

/*
 * Merges a limit into those known to this host and forwards it if it is new. source is the
 * connection that it came from, to which it is not sent back, or NULL for the traffic thread.
 */
void limits_merge(struct limits *limits, const struct limit_update *update, const void *source);

/* Passes permits that the home issued to the traffic thread. */
void limits_deliver_permits(struct limits *limits, const struct limit_update *update);

/*
 * Handles limits from another host; feeds carry this message in both directions. Returns 0 or
 * BASE_EFRAME.
 */
int limits_on_msg(struct limits *limits, struct frm_conn *conn, const uint8_t *body,
		  size_t len) G_GNUC_WARN_UNUSED_RESULT;

/* Sends all limits in force to a host that has just connected. */
void limits_send_all(struct limits *limits, struct frm_conn *conn);

/*
 * Returns whether the limit of the endpoint has been in force long enough for its layers to be
 * loaded on other endpoints.
 */
bool limits_is_persistent(const struct limits *limits, const char *endpoint);

/* Returns the home that runs on this host; it is idle while another host is the home. */
struct limit_home *limits_get_home(const struct limits *limits);

/* Returns the limits in force, with the host that divides them, as a JSON array for operators. */
json_t *limits_to_json(const struct limits *limits);

/* Returns an array of struct limit_update that frees the endpoints of its elements. */
GArray *limit_updates_new(void);

/*
 * Returns the limits in force with the demand of this host since the last call, and resets the
 * demand. The result is an array of struct limit_update.
 */
GArray *limits_collect_demand(struct limits *limits, int64_t now_us);

/* Returns whether any limit is in force, so that requests need permits. */
bool limits_any_binding(const struct limits *limits);

/* Returns whether any permits were needed or expired unused since the last ask. */
bool limits_have_demand(const struct limits *limits);

/* limit_ask.c: asking the home for permits. */
struct limit_ask *limit_ask_new(struct ctrl *ctrl, struct limits *limits, struct limit_home *home);
void limit_ask_free(struct limit_ask *ask);
void limit_ask_on_tick(struct limit_ask *ask, int64_t now_us);

/* Schedules an ask as soon as the minimum interval between two asks allows. */
void limit_ask_schedule(struct limit_ask *ask);

/* Returns the name of the host that is the home, or NULL if none is chosen. */
const char *limit_ask_home_name(const struct limit_ask *ask);

/* limit_home.c: dividing limits, on the host that is the home. */
struct limit_home *limit_home_new(struct ctrl *ctrl, struct limits *limits);
void limit_home_free(struct limit_home *home);
void limit_home_on_tick(struct limit_home *home, int64_t now_us);

/*
 * Handles an ask of a host and issues permits. sent_us is the send time of the ask by the clock of
 * that host; home_time_us is the newest time of this host's clock that it has received, or 0. conn
 * is the connection to that host, or NULL if it is this host.
 */
void limit_home_on_ask(struct limit_home *home, const char *host, int64_t sent_us,
		       int64_t home_time_us, const GArray *updates, struct frm_conn *conn);

/* Handles the message with the ask of another host. Returns 0 or BASE_EFRAME. */
int limit_home_on_msg(struct limit_home *home, struct frm_conn *conn, const uint8_t *body,
		      size_t len) G_GNUC_WARN_UNUSED_RESULT;

/* Removes the host that asked over a connection that has been closed. */
void limit_home_on_close(struct limit_home *home, const struct frm_conn *conn);

/* Returns the number of hosts that ask this home. */
unsigned int limit_home_host_count(const struct limit_home *home);

/* Returns the fraction of each limit that this home may issue, 0 to 1. */
double limit_home_fraction(const struct limit_home *home);

/* limit_msg.c: conversion between struct limit_update and messages. */

/* The items of a message, with the memory that they refer to. */
struct limit_items {
	Feed__Limit *values; /* array of n items */
	Feed__Limit **refs;  /* pointers to the items, as the serializer requires them */
	size_t n;	     /* number of items */
};

void limit_items_init(struct limit_items *items, const GArray *updates);
void limit_items_finish(struct limit_items *items);

/*
 * Converts an item from another host; values out of range are clamped. The endpoint of the update
 * points into the message.
 */
void limit_update_unpack(struct limit_update *update, const Feed__Limit *from, int64_t now_us);

/*
 * Passes a limit, or permits if there are any, to the traffic thread. May be called from any
 * thread.
 */
void traf_limit_post(struct traf *traf, const struct limit_update *update);

G_END_DECLS

#endif
