#ifndef ROUTER_ROUTER_H
#define ROUTER_ROUTER_H

#include "base/hc.h"
#include "base/hd.h"
#include "base/loop.h"
#include "base/settings.h"
#include "bud/bud.h"
#include "ep/ep.h"
#include "rt/rt.h"
#include "seam/seam.h"

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * bgrouterd runs as one process on each host. The control thread follows the store, exchanges
 * messages with the other hosts and assigns model layers to engines; the traffic thread forwards
 * callers' requests to endpoints. The threads share no mutable data: the control thread posts views
 * to the traffic thread, and the traffic thread posts its observations of endpoints back.
 *
 * Addresses are "HOST:PORT". Times whose names end in _us are microseconds of the monotonic clock.
 */
struct router_settings {
	char *name; /* Name of this host */
	char *zone; /* Availability zone of this host */
	/* 1 if the whole system starts for the first time, else 0; see bud/bud.h */
	int64_t first_start;
	char *front;   /* Address on which callers' requests are accepted */
	char *ready;   /* Address of the readiness check */
	char *metrics; /* Address of the metrics, the state page and operators' requests */
	char *control; /* Address on which the control thread accepts other hosts */
	/* Address at which other hosts reach the control thread; "": the value of control */
	char *control_known_as;
	/* Control addresses, separated by commas, to connect to while no other host is known */
	char *seeds;
	char *store; /* Address of the store */
	/* Time after which a leaving endpoint must get no new requests, in milliseconds */
	int64_t drain_ms;
	/* Interval between two unchanged entries of an endpoint in the store, in milliseconds */
	int64_t heartbeat_ms;
	/* Time after which a new configuration must be in force, in milliseconds */
	int64_t apply_ms;
	int64_t grace_s;     /* Time for open requests to end when the process stops, in seconds */
	double repeat_ratio; /* Repeats allowed for each request of a service; see bud/bud.h */
	double repeat_window_s; /* Length of the window of the repeat budget, in seconds */
	double repeat_fixed;	/* Additional repeats in a window, over all hosts */
	int64_t log_lines;	/* Maximum number of log lines a second */
	double link_mbps;	/* Bandwidth of this host's network link, in Mbit/s */
	double cores;		/* Number of processor cores of this host */
	/* Address that calls to endpoints and the store come from, "IP:0"; "": any of this host */
	char *source;
	int64_t answer_unsent_kb;  /* Unsent part of one answer that may wait here, in KiB */
	int64_t body_total_mb;	   /* Bodies of all requests that are held here, in MiB */
	int64_t answers_unsent_mb; /* Unsent parts of all answers that may wait here, in MiB */
};

/*
 * Snapshot of the control thread's data for the traffic thread. It is immutable once it has been
 * posted.
 */
struct router_view {
	struct rt_conf *conf; /* Configuration in force; NULL if none has been received */
	GPtrArray *endpoints; /* Endpoints of the system, as struct ep_rec */
	GPtrArray *gateways;  /* Hosts that may open tunnels, as struct gws_host */
	int hosts;	      /* Number of hosts of this system, including this one */
	int64_t fence;	      /* Fencing number for orders to engines; -1 if none is known */
	bool listed;	      /* Whether the host has all that it needs to serve requests */
	/* Time until which the list may still lack endpoints that are running, in microseconds */
	int64_t list_complete_us;
	/* Last time at which this data was known to match the store, in microseconds; 0 if never */
	int64_t synced_us;
};

void router_view_free(struct router_view *view);

enum {
	/* Number of steps in which the memory use of an engine is reported */
	ROUTER_MEMORY_STEPS = 8,
	/* Steps from which on the use is sent to other hosts; below, memory limits no request */
	ROUTER_MEMORY_STEPS_SENT = 4,
};

/* Load report of one engine, as collected by the host that polls all engines. */
struct router_load {
	char *endpoint; /* Incarnation of the engine */
	double pace;	/* Duration of one step as a multiple of the usual duration */
	int full; /* Used part of the memory for requests, in steps of 1/ROUTER_MEMORY_STEPS */
};

/* Message between the two threads: an endpoint is suspected to be at fault. */
struct router_suspect {
	void *to;	  /* Receiver: the struct ctrl or the struct tf */
	char *endpoint;	  /* Incarnation of the endpoint */
	char *why;	  /* Reason of the suspicion, one of SUSPECT_* */
	int64_t until_us; /* Time at which the suspicion ends, in microseconds */
};

/* Allocates a message that is valid for for_ms milliseconds; endpoint and why are copied. */
struct router_suspect *router_suspect_new(void *to, const char *endpoint, int64_t for_ms,
					  const char *why);
void router_suspect_free(struct router_suspect *suspect);

/* Identifies the settings or the configuration in force on a host, and their source. */
struct router_origin {
	uint64_t digest;  /* Hash of the text */
	int64_t since_ms; /* Unix time at which it came into force, in milliseconds */
	char by[32];	  /* Source: "store", a host name, or what caused the settings to be read */
};

/* Records that the text with this digest came into force now. */
void router_origin_set(struct router_origin *origin, uint64_t digest, const char *by);

struct ctrl;
struct traf;

struct router {
	struct router_settings settings;
	/* Settings in force; used by the control thread only */
	struct router_origin settings_origin;
	/* Keys whose new values need a restart, "" if none; used by the control thread only */
	char *settings_waiting;
	const struct seam *seam; /* Formats of the deployment */
	struct ctrl *ctrl;	 /* State of the control thread */
	struct traf *traf;	 /* State of the traffic thread */
	struct hd *front;	 /* HTTP server for callers' requests */
	struct hd *ready_hd;	 /* HTTP server of the readiness check */
	struct hd *metrics_hd;	 /* HTTP server of the metrics and the state page */
	guint is_ready;		 /* Atomic: 1 when requests can be served */
	gint tries_refused;	 /* Atomic: whether this host tries requests whose term is over */
	guint stopping;		 /* Atomic: 1 once the process has been asked to stop */
	gint64 stop_us;		 /* Time of the request to stop; set before stopping is set to 1 */
};

enum {
	ROUTER_BODY_MAX = 4 << 20 /* Limit of a request's body while there is no other, in bytes */
};

/* Definitions of the settings: section, key, type, default value and range. */
extern const struct settings_item router_setting_items[];
extern const size_t router_setting_items_n;

/* Control thread: ctrl.c, with store_reader.c, feed.c, follow.c and placer.c. */
struct ctrl *ctrl_new(struct router *router, struct loop *loop);
void ctrl_finish(struct ctrl *ctrl);

/* Begins to read the store and to look for other hosts. */
void ctrl_start(struct ctrl *ctrl);

/* Prepares the end of the process: gives up the lead and leaves the list of hosts. */
void ctrl_stop(struct ctrl *ctrl);

/*
 * state.c: replies with the state of this host as JSON: "hosts", "endpoints", "accounts",
 * "budgets", "quarantine" and single values. May be called from any thread.
 */
void state_reply(struct router *router, struct hd_call *call);

/*
 * Ends the quarantine of a request on all hosts, for an operator. The query parameter "content" is
 * the digest of the request. Replies {"cleared":N}, or status 404 if the digest is unknown. May be
 * called from any thread.
 */
void state_clear_quarantine(struct router *router, struct hd_call *call);

/* Traffic thread: traffic.c, with txn.c and pick.c. */
/* Starts the traffic thread. Returns NULL if the system refuses its loop or the thread. */
struct traf *traf_start(struct router *router);

/* Posts a new view and passes its ownership. Called from the control thread. */
void traf_post_view(struct traf *traf, struct router_view *view);

/* Posts the time at which the last view matched the store. Called from the control thread. */
void traf_post_synced(struct traf *traf, int64_t synced_us);

/* Posts load reports (struct router_load). Called from the control thread. */
void traf_post_loads(struct traf *traf, GArray *loads);

/* Posts that another host suspects the endpoint. Called from the control thread. */
void traf_post_suspect(struct traf *traf, const char *endpoint, int64_t for_ms, const char *why);

struct gateway;

/* Returns the tunnels of this host. */
struct gateway *traf_gateway(const struct traf *traf);

/* Returns the number of requests that have not ended. May be called from any thread. */
unsigned int traf_open_requests(const struct traf *traf);

/*
 * Ends all requests, as the process is about to end: each caller is answered, or its answer is
 * broken off. May be called from any thread.
 */
void traf_end_requests(struct traf *traf);

/*
 * Returns whether this host takes a new connection of a caller, see adm/accept.h. Called from a
 * thread of the HTTP library.
 */
bool traf_may_accept(void *ctx);

/*
 * Whether the body of a caller's request may take memory, and the response to one whose body is not
 * received further; see hd_config. Called from a thread of the HTTP library.
 */
bool traf_may_hold_body(void *ctx, const struct hd_body_use *use);
void traf_refuse_body(void *ctx, struct hd_call *call, enum hd_refusal why);

/* Handles a caller's request. Called from a thread of the HTTP library. */
void traf_on_call(void *ctx, struct hd_call *call);

/* A caller has read on; see hd_watch_unsent(). Called from a thread of the HTTP library. */
void traf_on_drained(void *ctx, struct hd_call *call);

#endif
