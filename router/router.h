#ifndef ROUTER_ROUTER_H
#define ROUTER_ROUTER_H

#include "base/hc.h"
#include "base/hd.h"
#include "base/loop.h"
#include "base/set.h"
#include "bud/bud.h"
#include "ep/ep.h"
#include "rt/rt.h"
#include "seam/seam.h"

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * bgrouterd: one process a host. The control thread follows the store, talks to the other hosts and
 * places layers; the traffic thread takes callers' requests to endpoints. They share nothing that
 * changes: the control thread posts views, the traffic thread posts what it finds out.
 */
struct router_settings {
	char *name;
	char *zone;
	int64_t first_start; /* 1: the whole system starts for the first time; see bud/bud.h */
	char *front;
	char *ready;
	char *metrics;
	char *control;
	char *control_known_as; /* that other hosts reach it at; "": the same */
	char *seeds;
	char *store;
	int64_t drain_ms;     /* after which an endpoint that is leaving must get no requests */
	int64_t heartbeat_ms; /* between two entries of an endpoint that say the same */
	int64_t apply_ms;     /* after which a configuration must be in force */
	int64_t grace_s;
	double repeat_ratio;
	double repeat_window_s;
	double repeat_fixed;
	int64_t log_lines;
	double link_mbps;
	double cores;
};

/* What the control thread knows, as the traffic thread uses it. Immutable once posted. */
struct router_view {
	struct rt_conf *conf; /* NULL: none yet */
	GPtrArray *endpoints; /* struct ep_rec */
	int hosts;	      /* of this system, this one included */
	int64_t fence;	      /* number that orders to engines carry; -1: none */
	bool listed;	      /* the endpoints and the hosts have been read once */
	int64_t whole_us;     /* until then, some that live may be missing */
	int64_t fresh_us;     /* when this was last known to be what the store holds; 0: never */
};

void router_view_free(struct router_view *view);

enum {
	ROUTER_FULL = 8,      /* parts in which the use of an engine's memory is told */
	ROUTER_FULL_NEWS = 4, /* from which on it is told; below, memory does not bind */
};

/* What an engine reported to the host that asks all of them. */
struct router_load {
	char *endpoint; /* its incarnation */
	double pace;	/* time of a step as a multiple of what is usual */
	int full;	/* eighths of its memory for requests that are taken */
};

/* An endpoint that was found at fault, on its way from one of the two threads to the other. */
struct router_suspect {
	void *to;	/* struct rc or struct tf */
	char *endpoint; /* its incarnation */
	char *why;
	int64_t until_us;
};

/* The texts are copied. */
struct router_suspect *router_suspect_new(void *to, const char *endpoint, int64_t for_ms,
					  const char *why);
void router_suspect_free(struct router_suspect *suspect);

/* Which state of something a host runs, since when, and how it came by it. */
struct router_origin {
	uint64_t digest;
	int64_t since_ms; /* Unix time */
	char by[32];
};

void router_origin_set(struct router_origin *origin, uint64_t digest, const char *by);

struct rc;
struct tf;

struct router {
	struct router_settings settings;
	struct router_origin settings_origin; /* control thread */
	char *settings_waiting; /* keys whose new values need a restart; "": none. Control thread */
	const struct seam *seam;
	struct rc *rc;
	struct tf *tf;
	struct hd *front;
	struct hd *ready_hd;
	struct hd *metrics_hd;
	guint is_ready; /* atomic */
	guint stopping; /* atomic */
	gint64 stop_us; /* when the stop was asked for; set before stopping */
};

extern const struct set_item router_items[];
extern const size_t router_items_n;

/* Control thread: rc.c, and below it store_follow.c, feed.c, follow.c, placer.c. */
struct rc *rc_start(struct router *router, struct loop *loop);
void rc_finish(struct rc *rc);

/* The host is stopping: it gives up what it leads and leaves the list of hosts. */
void rc_stop(struct rc *rc);

/*
 * state.c: answers with what this host believes, as JSON: "hosts", "endpoints", "accounts",
 * "budgets", "quarantine" and single values. Any thread.
 */
void state_answer(struct router *router, struct hd_call *call);

/*
 * An operator clears the request whose digest "content" of the query names, on all hosts. Answers
 * {"cleared":N}; 404 if it is not known. Any thread.
 */
void state_clear_quarantine(struct router *router, struct hd_call *call);

/* Traffic thread: tf.c, and below it rq.c and pick.c. */
struct tf *tf_start(struct router *router);

/* Takes a view; from the control thread. */
void tf_post_view(struct tf *tf, struct router_view *view);

/* At that time the last view was what the store holds; from the control thread. */
void tf_post_fresh(struct tf *tf, int64_t fresh_us);

/* Takes loads (struct router_load); from the control thread. */
void tf_post_loads(struct tf *tf, GArray *loads);

/* Another host found the endpoint at fault; from the control thread. */
void tf_post_suspect(struct tf *tf, const char *endpoint, int64_t for_ms, const char *why);

/* Requests that have not ended. Any thread. */
unsigned int tf_open(const struct tf *tf);

/* A request; from a thread of the HTTP library. */
void tf_on_call(void *ctx, struct hd_call *call);

#endif
