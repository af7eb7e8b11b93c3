#ifndef ROUTER_TXN_INT_H
#define ROUTER_TXN_INT_H

#include "router/traffic.h"

/*
 * One caller's request on this host: admission, attempts at endpoints, the answer to the caller,
 * crashes of endpoints that ran it, and the repair of its pipeline when stages fail or slow down.
 * Each of these has a source file of its own. The state machine in fwd/fwd.c decides what may be
 * sent again.
 */
enum {
	/*
	 * Smallest initial limits, in ms, on the silence before the first event and between events.
	 * After that the first stage is asked what it waits for. The usual silences are 120 ms and
	 * 70 ms; callers close a stream after 2 s.
	 */
	TXN_FIRST_MIN_MS = 250,
	TXN_GAP_MIN_MS = 120,
	TXN_LOGGED_BODY_MAX = 200 /* a refusal's body is logged if it has fewer bytes than this */
};

/* Context of the calls of one of two attempts that may be under way together. */
struct txn_side {
	struct txn *txn;
	bool has_excess; /* the answer went on without end behind its body */
};

/* Bytes of the body of an attempt's answer. */
struct txn_tally {
	uint64_t taken;	 /* received from the endpoint */
	uint64_t passed; /* handed to the HTTP server for the caller */
};

/* A silent attempt that is kept beside the current one. */
struct txn_aside {
	struct way_call *call;	   /* NULL: none */
	struct traf_target target; /* endpoint of the attempt */
	struct seam_answer answer; /* head of its answer, if that was received */
	int64_t boot_us;	   /* time at which it was sent, by tmr_boot_now() */
	bool head_received;	   /* it has received the head of an answer */
	struct txn_tally tally;	   /* bytes of its answer */
	uint64_t answer_length;	   /* Content-Length of its answer, as in struct txn */
};

struct txn {
	struct traf *traf;
	struct hd_call *call;		  /* the caller's HTTP request and the answer to it */
	struct seam_request request;	  /* what the headers of the request state */
	const struct rt_route *route;	  /* route that the request matches; owned by conf */
	const struct rt_service *service; /* service that the route chose; owned by conf */
	const struct rt_account *account; /* client account; NULL: none; owned by conf */
	struct rt_conf *conf;		  /* configuration at admission; a reference */
	struct fwd fwd;			  /* state machine of the request */
	struct tmr timer;		  /* timer of fwd */
	struct way_call *attempt;	  /* attempt under way; NULL: none */
	struct txn_aside aside;		  /* silent attempt that is kept */
	struct txn_side sides[2];	  /* contexts of the calls of attempts */
	int side;			  /* index in sides of the current attempt */
	struct way_call *order;		  /* order under way that replaces stages; NULL: none */
	struct traf_target target;	  /* endpoints of the latest attempt */
	struct traf_target repair;	  /* pipeline that the order under way asks for */
	int repairs;			  /* number of orders sent for this request */
	int64_t order_us;		  /* time at which the last order was sent, in us */
	int64_t attempt_boot_us;  /* time at which the last attempt was sent, by tmr_boot_now() */
	int64_t last_activity_us; /* time at which the last attempt was sent or last brought data,
				   * in us */
	int64_t gap_us; /* running mean of the time between two parts of the answer, in us */
	struct traf_target avoid;  /* endpoints that failed the request; they are referenced, but
				    * their load is not changed */
	struct seam_answer answer; /* head of the last attempt's answer */
	int urgency;	     /* urgency sent to engines, 0 (most urgent) to 9; -1: not stated */
	int class_rank;	     /* rank of the request's class; 0: the most urgent, or no classes */
	int64_t began_us;    /* time at which the whole request had been received, in us */
	int64_t sent_us;     /* time of the first attempt, in us; 0: not sent yet */
	int64_t first_us;    /* time at which the answer to the caller began, in us; 0: not yet */
	size_t body_len;     /* bytes of the body */
	struct quar_key key; /* digest of account, path and body, for the quarantine */
	bool head_received;  /* the last attempt has received the head of an answer */
	bool part_received;  /* the last attempt has received a part of the answer */
	bool has_gone_on;    /* the last attempt's answer has gone on, see quar/part.h */
	int64_t head_us;     /* time at which the last head was received, in us */
	int64_t earlier_duration_us;	 /* time over which earlier attempts brought parts of the
					  * answer, in us */
	const struct traf_ep *broken_at; /* endpoint at which the attempt broke off; not referenced,
					  * only compared; NULL: none */
	enum crash_progress broken_progress; /* progress of the attempt when it broke off */
	int status;			     /* HTTP status sent to the caller; 0: none yet */
	uint64_t answer_length;		     /* Content-Length of the last attempt's answer;
					      * HD_LENGTH_UNKNOWN: not stated */
	int64_t held_us;  /* time since which the caller holds the attempt back, in us; 0: it does
			   * not */
	bool held_logged; /* the log says so */
	uint64_t answer_bytes;	/* bytes of an answer in parts that were passed to the caller */
	size_t buffered;	/* bytes of the answer that count in traf->buffered */
	bool answer_failed;	/* a part of the answer, or its end, could not be sent */
	struct txn_tally tally; /* bytes of the last attempt's answer */
};

/* Frees the request. */
void txn_free(struct txn *txn);

/* Finds route, account and service. If there is none, denies and frees it and returns false. */
bool txn_admit(struct txn *txn);

/* Fills in the rules of the state machine: deadline, limits on silence, waits and attempts. */
void txn_fill_rules(struct txn *txn, struct fwd_rules *rules);

/* Fills in how long the request may wait for its first token. */
void txn_fill_limits(const struct txn *txn, struct adm_limits *limits);

/*
 * Charges the request to its account's share and sets its urgency. Requests to plain services are
 * not charged, as only engines admit by urgency.
 */
void txn_charge_share(struct txn *txn);

/*
 * Denies the request if it would get its first token too late; returns whether it was admitted.
 * Applies to engines only: plain services answer within some ms or reject.
 */
bool txn_admit_by_load(struct txn *txn);

/*
 * Denies the request if neither this host nor others reach endpoints at present; returns whether it
 * was admitted.
 */
bool txn_admit_by_reach(struct txn *txn);

/*
 * Denies the request if callers have left so much of their answers unread that nothing of its own
 * could be passed on; returns whether it was admitted.
 */
bool txn_admit_by_room(struct txn *txn);

/* Answers the caller with an error of the router's own. retry_us 0: no Retry-After. */
void txn_reply_error(struct txn *txn, int status, const char *code, int64_t retry_us);

/* Answers a request that was never sent with an error, logs that, and frees the request. */
void txn_deny(struct txn *txn, int status, const char *code, int64_t retry_us);

/* The last attempt of a stream has ended or is cancelled: checks what was passed on of it. */
void txn_check_stream(const struct txn *txn);

/* The answer ends as a whole one: checks that all of it was passed on. */
void txn_check_whole(const struct txn *txn);

/* Callbacks of struct fwd_ops, where fwd/fwd.h describes them; ctx is the struct txn. */
void txn_answer_whole(void *ctx, const char *body, size_t len);
void txn_answer_begin(void *ctx);
void txn_answer_data(void *ctx, const char *data, size_t len);
void txn_answer_end(void *ctx);
void txn_answer_abort(void *ctx);
void txn_refuse(void *ctx, int status, bool not_run);

/*
 * Returns the time in us until rest periods leave enough endpoints for the request; 0 if rest
 * periods are not what it lacks endpoints for.
 */
int64_t txn_rest_left_us(const struct txn *txn);

/* Excludes the endpoint from further attempts and repairs of this request. */
void txn_exclude_endpoint(struct txn *txn, struct traf_ep *ep);

/* Callback of struct fwd_ops: handles a silent attempt. Returns true if the attempt is kept. */
bool txn_on_silent(void *ctx);

/*
 * Holds the attempt back if the caller is too far behind to be sent len more bytes. Called before
 * each part is received.
 */
void txn_hold_if_behind(struct txn *txn, size_t len);

/* Returns the bytes of all answers of this host that callers have not read, in bytes. */
uint64_t txn_unsent_total(const struct txn *txn);

/* Returns whether the caller holds the attempt back. */
bool txn_is_held(const struct txn *txn);

/* Looks again whether a held attempt may go on, and logs one that is held for long. */
void txn_flow_on_sweep(struct txn *txn, int64_t now_us);

/* Counts what is buffered of the answer. Called whenever data has arrived, and before the end. */
void txn_count_buffered(struct txn *txn, size_t buffered);

/* Sets how much of the answer may be buffered. */
void txn_limit_buffer(struct txn *txn);

/* The request has ended. */
void txn_flow_on_end(struct txn *txn);

/*
 * Returns whether the attempt has received data lately, or would have if its caller didn't hold it
 * back: its silence says nothing about the endpoints.
 */
bool txn_is_active(const struct txn *txn, int64_t now_us);

/* Returns the name of the request's client account; "": none. */
const char *txn_account_name(const struct txn *txn);

/* Callbacks of struct fwd_ops: an attempt that is kept beside the current one. */
bool txn_set_aside(void *ctx);
void txn_take_back(void *ctx);
void txn_cancel_aside(void *ctx);

/* Returns whether the call belongs to the attempt that is kept beside the current one. */
bool txn_is_aside(const struct txn_side *side);

/* The attempt that was kept beside the current one ended without a complete answer. */
void txn_on_aside_done(struct txn *txn, int err, bool sent);

/* The attempt that was kept beside the current one has a useless head, which is freed here. */
void txn_drop_aside(struct txn *txn, struct seam_answer *answer);

/* Handles an attempt that broke off at an endpoint, which may have crashed. */
void txn_on_attempt_broken(struct txn *txn, struct traf_ep *ep);

/*
 * Denies the request if it is in quarantine, since endpoints crashed while they ran it; returns
 * whether it was denied.
 */
bool txn_deny_if_quarantined(struct txn *txn);

/* Returns the time in us for which the request stays in quarantine; 0 if it is not in it. */
int64_t txn_quarantine_us(const struct txn *txn, int64_t now_us);

/*
 * Returns whether the request is in quarantine, or will be if the endpoint at which it just broke
 * off has crashed. Whether that has crashed is known some ms later, too late for a decision on
 * another attempt or a repair.
 */
bool txn_reaches_crash_limit(const struct txn *txn);

/*
 * Returns the time in us after which the caller may retry: what is left of the present
 * quarantine term, or the length of the next one.
 */
int64_t txn_quarantine_retry_us(const struct txn *txn, int64_t now_us);

/* Returns the time in us from the head of the attempt's answer to its newest part. */
int64_t txn_attempt_duration_us(const struct txn *txn);

/* Records that a part of the answer was received: evidence that the request is harmless. */
void txn_on_part(struct txn *txn);

/* Records that the request was served in full, so it can't be one that crashes endpoints. */
void txn_on_served_whole(struct txn *txn);

/* Cancels the order under way, if any. */
void txn_cancel_order(struct txn *txn);

/*
 * Counts this host's requests to the service that wait for their first token and whose class has a
 * rank from first_rank to last_rank.
 */
void txn_count_waiting(const struct traf *traf, const char *service, int first_rank, int last_rank,
		       struct adm_queue *queue);

#endif
