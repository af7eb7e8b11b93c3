#ifndef ROUTER_RQ_INT_H
#define ROUTER_RQ_INT_H

#include "router/tf.h"

/*
 * One request on this host: rq_admit.c lets it in, rq.c is its way to endpoints and back,
 * rq_answer.c what its caller gets, rq_crash.c what it has to do with endpoints that end,
 * rq_repair.c what is done when a stage of its pipeline fails or slows down. What may be sent again
 * is decided in fwd/fwd.c.
 */
enum {
	/*
	 * Silence before the first event, and between events, after which the first stage is asked
	 * what it waits for. Usual are 120 ms and 70 ms; callers leave after 2 s.
	 */
	RQ_FIRST_MIN_MS = 250,
	RQ_GAP_MIN_MS = 120,
	RQ_LOGGED_MAX = 200 /* bytes of an endpoint's refusal that go into the log */
};

struct rq {
	struct tf *tf;
	struct hd_call *call;
	struct seam_request request;
	const struct rt_route *route;	  /* of conf */
	const struct rt_service *service; /* of conf */
	const struct rt_account *account; /* of conf */
	struct rt_conf *conf;
	struct fwd fwd;
	struct tmr timer;
	struct hc_call *attempt;
	struct hc_call *order;	   /* that replaces a stage of the running pipeline */
	struct tf_target target;   /* of the attempt under way */
	struct tf_target repair;   /* that the order asks for */
	int repairs;		   /* orders given for this request */
	int64_t order_us;	   /* when it was given */
	int64_t attempt_us;	   /* when the attempt under way was sent, by tmr_boot_now() */
	int64_t part_us;	   /* when the attempt was sent, or last brought something */
	int64_t gap_us;		   /* mean time between parts */
	struct tf_target avoid;	   /* those that failed this request; no references to requests */
	struct seam_answer answer; /* head of the attempt's answer */
	int urgency;		   /* for engines; -1: not stated */
	int64_t began_us;
	int64_t sent_us;  /* when it was first sent; 0: not yet */
	int64_t first_us; /* when the first part went to the caller */
	char *body;
	size_t body_len;
	struct quar_key key;	    /* of what it asks for */
	bool headed;		    /* the attempt under way has got the head of an answer */
	bool moved;		    /* and a part of it */
	int64_t head_us;	    /* when the head came */
	int64_t lasted_before_us;   /* how long earlier attempts went on, which it continues */
	const struct tf_ep *cut_at; /* where it was cut last; only to be compared */
	enum crash_progress cut_progress; /* how far it had come then */
	int status;
};

/* rq.c: the request is gone after this. */
void rq_free(struct rq *rq);

/* rq_admit.c: finds route, account and service. Returns false when the request was denied. */
bool rq_admit(struct rq *rq);

/* What may be done for the request, and until when. */
void rq_rules(struct rq *rq, struct fwd_rules *rules);

/* How long it may wait for its first token. */
void rq_limits(const struct rq *rq, struct adm_limits *limits);

/* Engines admit by urgency; plain services know none. */
void rq_charge(struct rq *rq);

/*
 * Whether it would begin in time; if not, it is denied. Streams only: plain services answer within
 * some ms or reject.
 */
bool rq_begins_in_time(struct rq *rq);

/* rq_answer.c: an answer of the router's own; the request ends. */
void rq_tell(struct rq *rq, int status, const char *code, int64_t retry_us);

/* The same before the request was sent anywhere, with a line in the log; the request is freed. */
void rq_deny(struct rq *rq, int status, const char *code, int64_t retry_us);

/* Those of fwd_ops. */
void rq_answer_whole(void *ctx, const char *body, size_t len);
void rq_answer_begin(void *ctx);
void rq_answer_data(void *ctx, const char *data, size_t len);
void rq_answer_end(void *ctx);
void rq_answer_abort(void *ctx);
void rq_refuse(void *ctx, int status, bool not_run);

/* How long rests leave nobody who could serve the request; 0: they are not the reason. */
int64_t rq_rest_left_us(const struct rq *rq);

/* The request is not sent to that endpoint again, nor through it. */
void rq_avoid(struct rq *rq, struct tf_ep *ep);

/* rq_repair.c: the attempt is silent; as fwd_ops.on_silent. */
bool rq_on_silent(void *ctx);

/* Its client account; "": none. */
const char *rq_account(const struct rq *rq);

/* rq_crash.c: the attempt under way was cut at that endpoint, which may have ended. */
void rq_cut(struct rq *rq, struct tf_ep *ep);

/* Whether it is refused since endpoints ended while they ran it; it is denied then. */
bool rq_is_quarantined(struct rq *rq);

/* For how long it is refused for that; 0: it is not. */
int64_t rq_quarantine_us(const struct rq *rq, int64_t now_us);

/*
 * Whether this request is refused, or will be if the endpoint at which it was cut just now has
 * ended. Whether it has is known some ms later, which is too late for this attempt, or repair.
 */
bool rq_crashes_too_often(const struct rq *rq);

/* When its caller may come back: after the term that holds, or that is about to begin. */
int64_t rq_crashes_back_us(const struct rq *rq, int64_t now_us);

/* How long the attempt under way has gone on, as far as parts of its answer show. */
int64_t rq_lasted(const struct rq *rq);

/* A part of its answer came; it was answered whole: both speak for it. */
void rq_note_part(struct rq *rq);
void rq_note_innocent(const struct rq *rq);

/* Ends an order that is under way. */
void rq_drop_order(struct rq *rq);

#endif
