#ifndef ROUTER_TF_H
#define ROUTER_TF_H

#include "adm/adm.h"
#include "back/back.h"
#include "ep/doubt.h"
#include "ep/failing.h"
#include "ep/rest.h"
#include "lim/fair.h"
#include "lim/part.h"
#include "lim/turn.h"
#include "path/hop.h"
#include "path/path.h"
#include "quar/quar.h"
#include "quar/served.h"
#include "router/crash.h"
#include "router/router.h"
#include "share/share.h"

/*
 * An endpoint as the traffic thread sees it: its record, and what this host has found out itself.
 * Requests hold references, so it outlives its entry in the list.
 */
struct tf_ep {
	struct ep_rec *rec;
	int refs;
	bool listed;	    /* in the present view */
	int in_flight;	    /* requests of this host that pass through it */
	double tokens;	    /* their tokens of context */
	double pace;	    /* as it reported last; 1: as usual */
	double full;	    /* part of its memory for requests that was taken then */
	int64_t load_us;    /* when that report came; 0: never */
	int64_t suspect_us; /* it is at fault until then: not chosen, and left by what runs there */
	struct dbt doubt;   /* it may be at fault: not chosen */
	int64_t unreached_us;	/* when this host last failed to reach it */
	int64_t progress_us;	/* when a request sent to it last got something */
	struct hc_call *report; /* being asked for */
	int64_t report_us;	/* when it was last asked for */
	struct hc_call *check;	/* whether it answers at all, being asked */
	int64_t check_us;	/* when that was last asked */
	int64_t missed_us;	/* when it did not answer, and nobody else has since; 0: it did */
	struct crash_check *crash; /* attempts were cut there, and it is asked whether it lives */
	struct lim_part limit;	   /* that it names, and the permits of this host */
	int64_t limit_used;	   /* requests sent there with a permit */
	bool limit_unreadable;	   /* it named something that is no rate, and that was logged */
	int64_t limit_told_us;	   /* when the control thread was last told */
	struct rst rest;	   /* that it asked this host for */
	int64_t rest_since_us;	   /* when it last asked; 0: never */
	char *rest_by;		   /* request whose answer said so; owned; NULL: a report's */
	bool rest_told;		   /* that this rest is over was logged */
	bool rest_unreadable;	   /* it asked in a way that can't be read, and that was logged */
	bool leaving;		   /* it said so itself */
	struct flg failing;	   /* recent failures of a plain service's */
};

enum {
	TF_STAGES_MAX = PA_STAGES_MAX
};

/* One stage of a pipeline: layers from..to-1 at the endpoint. */
struct tf_stage {
	struct tf_ep *ep;
	int from;
	int to;
};

/* Where one attempt goes. */
struct tf_target {
	struct tf_stage stages[TF_STAGES_MAX];
	int count;
	bool layered;
	double tokens; /* of context, as estimated */
	struct hop_path hops;
};

struct tf {
	struct router *router;
	struct loop loop;
	pthread_t thread;
	struct hc *hc;
	struct router_view *view;
	GHashTable *eps;	     /* incarnation -> struct tf_ep */
	GHashTable *by_addr;	     /* address -> struct tf_ep; of those that are listed */
	struct sh share;	     /* what client accounts have used */
	struct served served;	     /* requests that this host has served whole lately */
	struct quar quar;	     /* requests that crash endpoints */
	int64_t quar_expire_us;	     /* when it is next looked through for what is outdated */
	GHashTable *budgets;	     /* service -> struct bud */
	GHashTable *backs;	     /* service -> struct bk */
	GHashTable *adms;	     /* service -> struct adm */
	struct lim_fair limit_fair;  /* who may use what limits leave */
	GHashTable *limit_turns;     /* service -> struct lim_turn */
	GHashTable *unknown_headers; /* a set of names in lower case; see tf_heard.h */
	GHashTable *zones;	     /* name -> number, from 1 */
	GPtrArray *zone_names;
	GPtrArray *reqs; /* struct rq */
	struct hop hop;	 /* what hops between zones cost */
	GQueue *parked;	 /* struct tf_parked: requests that came before the first view */
	struct tmr sweep;
	uint32_t seed;
	double checks;	     /* of stages that may be made now; see stall.c */
	int64_t checks_us;   /* when that was last brought up to date */
	int64_t check_ok_us; /* when a stage of a silent pipeline last answered */
	int64_t heard_us;    /* when any endpoint last answered a request, or a part of one */
	int64_t start_us;    /* when the process started */
	unsigned int open;   /* atomic: requests that have not ended */
	int64_t view_us;     /* until when the view is known to be what the store holds */
};

/* What a choice is made for. */
struct tf_ask {
	const struct rt_service *service;
	const struct seam_request *request;
	const char *account;	       /* "": none */
	const struct tf_target *avoid; /* endpoints that it must not go to; or NULL */
	enum pa_trust trust;	       /* endpoints are trusted as little as that at the least */
	bool may_repeat;	       /* the request may run more than once */
};

/* pick.c: 0, or a negative FWD_E. The target holds references until tf_target_clear(). */
int tf_pick(struct tf *tf, const struct tf_ask *ask, struct tf_target *target);

/*
 * The same pipeline with the layers of its bad stages at other endpoints. Bad are those that are to
 * be avoided, suspected or no longer listed; the first stage can't be replaced. Returns 0 or a
 * negative FWD_E.
 */
int tf_pick_repair(struct tf *tf, const struct rt_service *service,
		   const struct seam_request *request, const struct tf_target *now,
		   const struct tf_target *avoid, struct tf_target *target);

/*
 * When rests leave an endpoint or a pipeline for such a request; now, if they do or nobody rests;
 * -1: there is none, whatever rests.
 */
int64_t tf_pick_opens_us(struct tf *tf, const struct tf_ask *ask);

/* Whether the endpoint is listed as ready and not known to be at fault. */
bool tf_ep_is_good(const struct tf_ep *ep, int64_t now_us);

/* The pipeline as the endpoints are told of it; free with g_free(). */
char *tf_pipeline(const struct tf *tf, const struct tf_target *target);
void tf_target_hold(struct tf_target *target);
void tf_target_clear(struct tf_target *target);

/* stall.c: finds out which stage a silent pipeline waits for. */
void stall_ask(struct tf *tf, const struct tf_target *target);

/* The first stage named the other one at fault, which may be dead or just have no memory. */
void stall_on_named(struct tf *tf, struct tf_ep *first, struct tf_ep *culprit);

enum {
	TF_SUSPECT_US =
		3000000 /* for which an endpoint that is certainly at fault is passed over */
};

/* tf.c */
struct bud *tf_budget(struct tf *tf, const char *service);
struct bk *tf_back(struct tf *tf, const char *service);
struct adm *tf_adm(struct tf *tf, const char *service);
void tf_ep_unref(struct tf_ep *ep);

/* tf_suspect.c: what this host holds against endpoints, and what it hears from others. */

/* Does not choose the endpoint for that time, on this host only: for what may have other causes. */
void tf_doubt(struct tf_ep *ep, int64_t for_us, const char *why, const char *request);

/* The same where an engine named the endpoint; the longer, the more often that happens in a row. */
void tf_on_named(struct tf_ep *ep, const char *why, const char *request);

/*
 * Passes the endpoint over for that time, on all hosts. Only for what is certain: a host that only
 * guesses which stage of a pipeline is at fault would take sound endpoints from everybody.
 */
void tf_suspect(struct tf *tf, struct tf_ep *ep, int64_t for_us, const char *why,
		const char *request);

/* The same on this host only: what waits for the endpoint is taken elsewhere. */
void tf_leave(struct tf *tf, struct tf_ep *ep, int64_t for_us, const char *why,
	      const char *request);
int tf_zone(struct tf *tf, const char *name);

/*
 * The endpoint could not be reached. Once may be this host's fault, or the endpoint's queue for
 * connections may be full; a second time within a moment is taken as proof, and told to all hosts.
 */
void tf_unreached(struct tf *tf, struct tf_ep *ep, const char *why, const char *request);

/* Whether the configuration and the endpoints are known. */
bool tf_knows(const struct tf *tf);

/* rq.c */
struct rq;

/*
 * How long the request has waited at engines for its first token, if the service is the one; -1: it
 * does not. What it waited on this host, for a configuration or an endpoint, tells nothing of them.
 */
int64_t rq_waits_us(const struct rq *rq, const char *service, int64_t now_us);

/* Whether the request waits until the limits of the service's endpoints leave room for it. */
bool rq_waits_for_limit(const struct rq *rq, const char *service);

/* came_us: when the whole request was there. */
void rq_start(struct tf *tf, struct hd_call *call, int64_t came_us);

/* The endpoint was found at fault: if the request waits for it, it is taken elsewhere. */
void rq_on_suspect(struct rq *rq, const struct tf_ep *ep);

/* The endpoint does not answer: if the request is silent and passes through it, it is taken
 * elsewhere. */
void rq_on_missing(struct rq *rq, struct tf_ep *ep);

/* The first stage of the request's pipeline if it is silent and passes through ep later; or NULL.
 */
struct tf_ep *rq_waits_for(const struct rq *rq, const struct tf_ep *ep);

/* Whether the request has just got something that came through the endpoint. */
bool rq_proves(const struct rq *rq, const struct tf_ep *ep, int64_t now_us);

/* The endpoint has turned slow: the request is taken off it, unless that costs a repeat. */
void rq_on_slow(struct rq *rq, const struct tf_ep *ep);

/* The first stage says that the request waits for the stage at that address. */
void rq_on_stalled(struct rq *rq, const char *culprit);

/* The request of that id that was sent to first, or NULL. */
bool rq_is(const struct rq *rq, const struct tf_ep *first, const char *id);

/* The request of that entry is refused from now on; if it is this one, it ends. */
void rq_on_quarantine(struct rq *rq, const struct quar_entry *entry);

/* How long the attempt under way has gone on, if the request is that one; else 0. */
int64_t rq_lasted_us(const struct rq *rq, const struct quar_id *id);

/* Looks whether the caller has gone. */
void rq_on_sweep(struct rq *rq);

#endif
