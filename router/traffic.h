#ifndef ROUTER_TRAFFIC_H
#define ROUTER_TRAFFIC_H

#include "adm/accept.h"
#include "adm/adm.h"
#include "back/back.h"
#include "ep/avoid.h"
#include "ep/penalty.h"
#include "ep/rest.h"
#include "lim/fair.h"
#include "lim/permits.h"
#include "lim/retry.h"
#include "path/hop.h"
#include "path/path.h"
#include "quar/part.h"
#include "quar/quar.h"
#include "quar/served.h"
#include "router/crash.h"
#include "router/flow.h"
#include "router/gateway.h"
#include "router/router.h"
#include "router/way.h"
#include "share/share.h"
#include "watch/watch.h"

#include <jansson.h>

/*
 * State of the traffic thread, which serves callers' requests. router/router.h describes the two
 * threads of bgrouterd.
 */

/*
 * An endpoint in the traffic thread: its record from the store, and what this host has measured and
 * observed itself. Requests hold references, so it outlives its entry in the list of endpoints.
 */
struct traf_ep {
	struct ep_rec *rec; /* the endpoint's record as last read */
	int refs;	    /* reference count: one for the table of endpoints, one for each user */
	bool listed;	    /* the present view contains the endpoint */
	int in_flight;	    /* requests of this host whose pipeline includes the endpoint */
	double tokens;	    /* context tokens of those requests, as estimated */
	double pace;	    /* step time last reported, as a multiple of the usual one; 1: usual */
	double full;	    /* fraction of its memory for requests in use, as last reported */
	int64_t load_us;    /* time at which pace and full were last reported, in us; 0: never */
	int64_t suspect_us; /* the endpoint counts as faulty until this time, in us */
	int64_t reported_keep_us; /* time until which another host's report is kept, in us */
	int64_t reported_us; /* another host's report of a fault holds until this time, in us; set
			      * while a stream of this host received data through the endpoint */
	struct avoid_period
		doubt; /* time for which the endpoint is not chosen, as it may be faulty */
	int64_t last_unreachable_us; /* time of the last failure to connect, in us; 0: none */
	int64_t last_data_us;	 /* time of the last data from the endpoint as first stage, in us */
	struct way_call *report; /* report request under way; NULL: none */
	struct wt_calls report_calls; /* requests for reports so far */
	struct way_call *check;	      /* liveness check under way; NULL: none */
	int64_t check_us;	      /* time at which the last liveness check was sent, in us */
	int64_t check_failed_us;   /* time of a failed liveness check, in us; 0: none since another
				    * endpoint answered */
	struct crash_check *crash; /* check whether the endpoint has crashed, started when attempts
				    * broke off there; NULL: none */
	struct lim_permits limit;  /* rate limit set by the endpoint, and this host's permits */
	int64_t limit_used;	   /* number of requests sent to the endpoint with a permit */
	bool limit_unreadable_logged; /* an unparsable rate limit of the endpoint has been logged */
	int64_t limit_reported_us; /* time of the last report of the limit to the control thread, in
				    * us
				    */
	struct rest_period
		rest; /* rest period, in which the endpoint takes no requests of this host */
	int64_t rest_demanded_us; /* time of the last demand for a rest period, in us; 0: never */
	char *rest_demanded_by;	  /* id of the request whose answer demanded the rest period; owned;
				   * NULL: an answer to another call, such as a report, did */
	bool rest_end_logged;	  /* the end of the latest rest period has been logged */
	bool rest_unreadable_logged; /* an unparsable demand for a rest period has been logged */
	bool leaving;		     /* an answer of the endpoint announced its shutdown */
	struct penalty failing;	     /* recent failures; used for endpoints of plain services */
};

enum {
	TRAF_STAGES_MAX = PA_STAGES_MAX /* most stages of a pipeline */
};

/* One stage of a pipeline: the endpoint runs layers from..to-1. */
struct traf_stage {
	struct traf_ep *ep;
	int from; /* first layer of the stage */
	int to;	  /* first layer after the stage */
};

/* Endpoints chosen for one attempt: the stages of a pipeline, or one endpoint. */
struct traf_target {
	struct traf_stage stages[TRAF_STAGES_MAX];
	int count;	      /* number of stages */
	bool layered;	      /* a pipeline; false: one endpoint of a plain service */
	double tokens;	      /* context tokens of the request, as estimated */
	struct hop_path hops; /* hops between availability zones on the pipeline */
};

/* State of the traffic thread. */
struct traf {
	struct router *router;
	struct loop loop;
	pthread_t thread;
	struct hc *hc;		      /* HTTP client for calls to endpoints */
	struct way *way;	      /* calls to endpoints, directly or through other hosts */
	struct gateway *gateway;      /* tunnels that this host opens for others */
	struct router_view *view;     /* last view from the control thread; NULL: none yet */
	GHashTable *eps;	      /* endpoints by incarnation: char * -> struct traf_ep */
	GHashTable *by_addr;	      /* listed endpoints by address: char * -> struct traf_ep */
	struct sh share;	      /* usage of each client account */
	struct served served;	      /* contents of requests recently answered in full */
	struct quar quar;	      /* quarantine of requests that crash endpoints */
	int64_t quar_expire_us;	      /* next removal of expired quarantine entries, in us */
	struct part_table parts;      /* evidence about parts of prompts that crash endpoints */
	int64_t parts_judge_until_us; /* time until which the evidence is judged again, in us */
	int64_t parts_expire_us;      /* next removal of expired evidence, in us */
	GHashTable *budgets;	      /* budget of repeats by service: char * -> struct bud */
	GHashTable *retry_delays;     /* Retry-After computation by service: char * -> struct bk */
	GHashTable *admissions;	      /* overload admission by service: char * ->
				       * struct adm_service */
	struct lim_fair limit_fair;   /* shares scarce permits among client accounts */
	GHashTable *limit_retries;    /* retry times given to callers refused for rate limits, by
				       * service: char * -> struct lim_retry */
	GHashTable *logged_headers; /* set of events and names of headers that were logged, in lower
				       case */
	GHashTable *zones;	    /* availability zone name -> its number, from 1 */
	GPtrArray *zone_names;	    /* availability zone names; index: number minus 1 */
	GPtrArray *reqs;	    /* requests that have not been freed (struct txn) */
	struct flow_limits flow;    /* limits on what callers have not read yet */
	uint64_t buffered;	    /* bytes of answers that aren't passed on yet */
	int held;		    /* requests whose attempt their caller holds back */
	struct traf_body *body;	    /* bound on the bodies of requests */
	struct hop hop;		    /* measured cost of hops between availability zones */
	GQueue *parked; /* requests received before the first complete view (struct traf_parked) */
	struct tmr sweep;	   /* timer of the periodic sweep */
	uint32_t seed;		   /* state of the random number generator */
	struct wt watch;	   /* when endpoints are called for silent streams */
	double checks;		   /* liveness checks allowed now (a token bucket); see stall.c */
	int64_t check_refill_us;   /* time at which the token bucket was last refilled, in us */
	int64_t check_answered_us; /* time at which an endpoint last answered a check or report, in
				      us */
	int64_t any_data_us;	   /* time of the last head or data from any endpoint, in us */
	int64_t start_us;	   /* time at which the traffic thread was started, in us */
	unsigned int open;	   /* atomic: number of requests received and not yet freed */
	/* The next seven are atomic; the first six are those of struct accept_state. */
	unsigned int waiting;
	uint64_t waiting_since_us;
	uint64_t lag_us;
	uint64_t handled_us;
	uint64_t pace_us;
	unsigned int hosts;
	unsigned int refused;	     /* number of connections closed unread */
	unsigned int refused_logged; /* of those, the number that has been logged */
	int64_t refused_log_us;	     /* time from which on the next are logged, in us */
	bool alone;		     /* the log says that no endpoint answers this host */
	bool hangs; /* connections to endpoints that are not reached here hang, not refused */
	int64_t view_valid_us; /* last time at which the view was known to match the store, in us */
};

/* Arguments of traf_pick() and traf_pick_rest_end_us(). */
struct traf_pick_args {
	const struct rt_service *service;
	const struct seam_request *request;
	const char *account;		 /* name of the client account; "": none */
	const struct traf_target *avoid; /* endpoints that must not be chosen; NULL: none */
	enum pa_trust trust;		 /* least trusted class of endpoints that may be chosen */
	bool may_repeat;		 /* the request may run more than once */
};

/*
 * Chooses the endpoints for one attempt. Returns 0 or a negative FWD_E. The target holds
 * references until traf_target_release().
 */
int traf_pick(struct traf *traf, const struct traf_pick_args *args,
	      struct traf_target *target) G_GNUC_WARN_UNUSED_RESULT;

/*
 * Chooses other endpoints for the layers of the faulty stages of a pipeline and keeps the other
 * stages. Faulty are endpoints in avoid, suspected or leaving ones, and those that are no longer
 * listed as ready. The first stage can't be replaced. Returns 0 or a negative FWD_E.
 */
int traf_pick_repair(struct traf *traf, const struct rt_service *service,
		     const struct seam_request *request, const struct traf_target *now,
		     const struct traf_target *avoid,
		     struct traf_target *target) G_GNUC_WARN_UNUSED_RESULT;

/*
 * Returns the earliest time, in us, at which rest periods leave enough endpoints for the request:
 * the present time if they do so already or no endpoint rests, -1 if there would not be enough even
 * if no endpoint rested.
 */
int64_t traf_pick_rest_end_us(struct traf *traf, const struct traf_pick_args *args);

/* Returns whether the endpoint is listed as ready, not leaving and not known to be faulty. */
bool traf_ep_is_healthy(const struct traf_ep *ep, int64_t now_us);

/* Formats the pipeline as it is sent to endpoints; free with g_free(). */
char *traf_format_pipeline(const struct traf *traf, const struct traf_target *target);

/* References the target's endpoints and adds the request to their load. */
void traf_target_acquire(struct traf_target *target);

/* Undoes traf_target_acquire() and empties the target. */
void traf_target_release(struct traf_target *target);

/*
 * Starts to determine which stage of a silent pipeline is at fault; see stall.c. gateway: name of
 * the host through which the pipeline's first stage was called, or NULL.
 */
void stall_find_stage(struct traf *traf, const struct traf_target *target, const char *gateway);

/*
 * Checks an endpoint that the first stage named as the cause of a failure: it may be dead, or only
 * out of memory.
 */
void stall_check_named(struct traf *traf, struct traf_ep *first, struct traf_ep *culprit);

enum {
	/* time for which an endpoint known to be faulty is not chosen, in us */
	TRAF_FAULT_US = 3000000
};

/* Return the state of the service, which is created on first use. */
struct bud *traf_budget(struct traf *traf, const char *service);
struct bk *traf_retry_delay(struct traf *traf, const char *service);
struct adm_service *traf_admission(struct traf *traf, const char *service);

/* Drops a reference; frees the endpoint with the last one. */
void traf_ep_unref(struct traf_ep *ep);

/*
 * Faults of endpoints, found by this host or reported by others. In the functions below, why is the
 * reason as it is logged, and request the id of the request that showed the fault, or NULL.
 */

/*
 * Excludes the endpoint from choice for that time, on this host only: for symptoms that may have
 * another cause than a faulty endpoint.
 */
void traf_exclude_briefly(struct traf_ep *ep, int64_t for_us, const char *why, const char *request);

/*
 * Excludes an endpoint that an engine named as faulty, on this host only. The time doubles with
 * each such report in a row.
 */
void traf_on_named_faulty(struct traf_ep *ep, const char *why, const char *request);

/*
 * Excludes the endpoint for that time on all hosts. Only for certain faults: a host that merely
 * guesses which stage of a pipeline is faulty would take sound endpoints from all hosts.
 */
void traf_mark_faulty(struct traf *traf, struct traf_ep *ep, int64_t for_us, const char *why,
		      const char *request);

/*
 * Excludes the endpoint for that time on this host only. Requests whose pipeline stalls there are
 * moved to other endpoints.
 */
void traf_mark_faulty_here(struct traf *traf, struct traf_ep *ep, int64_t for_us, const char *why,
			   const char *request);

/*
 * Marks the endpoint as faulty on this host if another host has reported that and no stream of this
 * host receives data through it any more. Returns whether it does so.
 */
bool traf_accept_report(struct traf *traf, struct traf_ep *ep);

/*
 * Returns whether a stream receives data through the endpoint. That is stronger evidence than a
 * fault reported by another host.
 */
bool traf_has_stream_through(const struct traf *traf, const struct traf_ep *ep);

/*
 * Returns the path of a request that shows whether the endpoint answers and that runs nothing
 * there: the report or the health check. Free with g_free().
 */
char *traf_probe_path(const struct traf *traf, const struct traf_ep *ep);

/* Returns the number of an availability zone, from 1; an unknown name gets the next number. */
int traf_zone_number(struct traf *traf, const char *name);

/*
 * Handles a failure to connect to the endpoint. A single failure may be this host's fault, or the
 * endpoint's listen queue may be full; a second one within a short time is taken as proof of a
 * fault and reported to all hosts.
 */
void traf_on_unreachable(struct traf *traf, struct traf_ep *ep, const char *why,
			 const char *request);

/* Returns whether the thread has received a configuration and a list of endpoints. */
bool traf_has_view(const struct traf *traf);

/*
 * Reads the headers of a caller's request; free with seam_request_finish(). Only allowed before the
 * response is started. Any thread may call this.
 */
void traf_read_request(const struct traf *traf, struct hd_call *call, struct seam_request *request);

/* One caller's request on this host. */
struct txn;

/*
 * Returns the time in us for which the request has waited at engines of the service for its first
 * token, or -1 if it does not wait for one there. The time that it waited on this host, for a
 * configuration or an endpoint, is left out, since it says nothing about the engines.
 */
int64_t txn_first_token_wait_us(const struct txn *txn, const char *service, int64_t now_us);

/* Returns whether the request waits for room under the rate limits of the service's endpoints. */
bool txn_waits_for_limit(const struct txn *txn, const char *service);

/* Adds the parts of a prompt to the log line that has been begun; adds nothing if there are none.
 */
void txn_log_parts(const uint64_t *parts, int n);

/* Starts a request. received_us: time at which all of the request had been received. */
void txn_start(struct traf *traf, struct hd_call *call, int64_t received_us);

/* Repairs the request's pipeline if it is silent and includes an endpoint found faulty. */
void txn_on_faulty(struct txn *txn, const struct traf_ep *ep);

/*
 * Repairs the request's pipeline if it is silent and a stage after the first is an endpoint that
 * does not answer.
 */
void txn_on_unresponsive(struct txn *txn, struct traf_ep *ep);

/*
 * Returns the first stage of the request's pipeline if the pipeline is silent and ep is a later
 * stage of it; else NULL.
 */
struct traf_ep *txn_silent_first_stage(const struct txn *txn, const struct traf_ep *ep);

/* Returns whether the request has recently received data through the endpoint. */
bool txn_received_through(const struct txn *txn, const struct traf_ep *ep, int64_t now_us);

/*
 * Moves the request off an endpoint that has become slow, unless that would cost a repeat: only a
 * stage after the first is replaced.
 */
void txn_on_slow(struct txn *txn, const struct traf_ep *ep);

/*
 * Handles the report of the first stage that the request is stalled at the endpoint with that
 * address. culprit: NULL if the report names none.
 */
void txn_on_stalled(struct txn *txn, const char *culprit);

/* Returns whether the request has that id and its present attempt was sent to first. */
bool txn_is_attempt_at(const struct txn *txn, const struct traf_ep *first, const char *id);

/*
 * Handles a new quarantine entry: if it matches this request, the request ends, unless its answer
 * has already gone on for long enough to show that it does not crash the endpoint.
 */
void txn_on_quarantine(struct txn *txn, const struct quar_entry *entry);

/*
 * Returns the time in us over which the request's answer has arrived so far, over all attempts; 0
 * if the request has another content or account.
 */
int64_t txn_answer_duration_us(const struct txn *txn, const struct quar_id *id);

/*
 * Endpoints are not reached directly any more, and connections to them hang: if the request waits
 * for an answer over such a connection, it is sent again through another host, if it may be.
 */
void txn_on_lost_connections(struct txn *txn);

/* Does the same for a request whose connection leads through that host. */
void txn_on_gateway_lost(struct txn *txn, const char *gateway);

/* Ends the request if its caller has closed the connection. */
void txn_on_sweep(struct txn *txn, int64_t now_us);

/* The caller has read on; see traf_on_drained(). */
void txn_on_drained(struct txn *txn);

/* Returns the time in ms for which the caller has held the attempt back; 0: it doesn't. */
int64_t txn_held_ms(const struct txn *txn, int64_t now_us);

/* Describes an attempt that is held back, for operators. */
json_t *txn_describe_held(const struct txn *txn, int64_t now_us);

/* Ends the request, as the process is about to end. */
void txn_on_stop(struct txn *txn);

#endif
