#ifndef REQ_REQ_H
#define REQ_REQ_H

#include "req/code.h"
#include "req/est.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * State machine of one request at its entry, the host that accepted it from the caller. It obtains
 * a grant (the endpoints to use), for a non-idempotent request also a claim (the right to dispatch
 * it once), then dispatches attempts and delivers their tokens in order until the request ends.
 *
 * Performs no I/O: the caller passes in events and the current time, in microseconds; actions are
 * requested through callbacks, which must not call back into the request.
 */
enum req_state {
	REQ_WAIT_GRANT, /* waits for a grant */
	REQ_WAIT_CLAIM, /* waits for the verdict on its claim */
	REQ_RUNNING,	/* an attempt has been dispatched */
	REQ_BACKOFF,	/* waits before it requests the next grant */
	REQ_RESUMING,	/* tries to reattach to the run of a dispatched non-idempotent request */
	REQ_JOINING,	/* waits for the answer of the entry host that runs the same key */
	REQ_DONE	/* the request has ended */
};

/* Why a grant was refused. */
enum req_grant_refusal {
	REQ_GRANT_QUEUE_FULL,	 /* the queue of the client account is full */
	REQ_GRANT_PAST_DEADLINE, /* the request would start after its deadline */
	REQ_GRANT_NO_PATH	 /* no pipeline covers every layer of the model */
};

/* Outcome of the claim for an idempotency key. */
enum req_claim_verdict {
	REQ_CLAIM_WON,		  /* this attempt may be dispatched */
	REQ_CLAIM_LOST,		  /* another request with the same body holds the claim */
	REQ_CLAIM_KEY_REUSED,	  /* a request with another body holds the claim */
	REQ_CLAIM_LOG_UNAVAILABLE /* the log of claims is unavailable */
};

/* How an attempt failed before the last frame of its stream. */
enum req_failure {
	REQ_FAILURE_NOT_SENT,	 /* no connection was established: nothing was sent */
	REQ_FAILURE_NOT_RUN,	 /* the endpoint answered that it did not run the request */
	REQ_FAILURE_STREAM_LOST, /* the stream broke */
	REQ_FAILURE_ENGINE,	 /* the engine reported that the run failed and has ended */
	REQ_FAILURE_RUN_UNKNOWN	 /* the endpoint does not know the run that was to be resumed */
};

/* How a grant ended, as reported to the pool's home. */
enum req_grant_end {
	REQ_GRANT_END_OK,      /* the endpoints are not at fault */
	REQ_GRANT_END_REFUSED, /* an endpoint refused the connection or broke it */
	REQ_GRANT_END_STALLED, /* an engine failed, or no token arrived within the time limit */
	REQ_GRANT_END_NOT_RUN  /* the endpoint answered that it did not run the request */
};

struct req_ops {
	/* Requests a grant that avoids the excluded endpoints if possible (NULL-terminated). */
	void (*ask)(void *ctx, unsigned int attempt, char *const *exclude);

	/* Withdraws the request for a grant. */
	void (*withdraw)(void *ctx, unsigned int attempt);

	/*
	 * Claims the key for the granted route. supersede: the claim replaces an earlier claim of
	 * the key under which nothing was run.
	 */
	void (*claim)(void *ctx, unsigned int attempt, bool supersede);

	/* Releases the claim: nothing has been or will be dispatched under it. */
	void (*release)(void *ctx, unsigned int attempt);

	/* Sends the request to the granted route. delivered: number of tokens to skip. */
	void (*dispatch)(void *ctx, unsigned int attempt, uint64_t delivered);

	/* Reattaches to the run from token `from` on; must not start the request again. */
	void (*resume)(void *ctx, unsigned int attempt, uint64_t from);

	/* Closes the attempt's stream. stop: also requests the engine to end the run. */
	void (*cancel)(void *ctx, unsigned int attempt, bool stop);

	/* Returns the grant to the pool's home. bad: name of the endpoint at fault, or NULL. */
	void (*ungrant)(void *ctx, unsigned int attempt, enum req_grant_end end, const char *bad);

	/* Requests the answer from the entry host that holds the claim for the key. */
	void (*join)(void *ctx);

	/* Delivers one token to the caller. index: position in the answer, from 0. */
	void (*deliver)(void *ctx, uint64_t index, const char *text, size_t len);

	/* Ends the request. retry_us: time after which to retry; 0 if a retry would not help. */
	void (*finish)(void *ctx, enum req_code code, int64_t retry_us);

	/* Schedules req_on_timer() at due_us, replacing any earlier time. */
	void (*timer)(void *ctx, int64_t due_us);
};

/*
 * Limits retries to a fraction of new requests, so that they cease when all attempts fail. Shared
 * by the requests of an entry.
 */
struct req_budget {
	double tokens;	    /* number of retries that may be made now */
	double burst;	    /* maximum of tokens */
	double per_request; /* added to tokens by each new request */
};

struct req_settings {
	int64_t first_floor_us;	   /* minimum time limit for the first token */
	int64_t first_ceiling_us;  /* maximum time limit for the first token */
	int64_t gap_floor_us;	   /* minimum time limit for each next token */
	int64_t gap_ceiling_us;	   /* maximum time limit for each next token */
	int64_t claim_timeout_us;  /* time limit for the verdict on a claim */
	int64_t claim_max_age_us;  /* a claim won later than this after it was sent is not used */
	int64_t backoff_us;	   /* base delay of retries; doubles with each one, plus jitter */
	int64_t resume_timeout_us; /* time limit for reattaching to a lost run */
	int64_t retry_after_us;	   /* retry time given to callers when no estimate exists */
	unsigned int attempts;	   /* maximum number of attempts */
};

struct req {
	const struct req_ops *ops;
	void *ctx;
	const struct req_settings *settings;
	struct req_budget *budget;
	struct req_est *first_est; /* times to the first token; shared by the pool's requests */
	struct req_est *gap_est;   /* times between tokens; shared by the pool's requests */
	bool idempotent;	   /* it may be run more than once */
	bool service;	       /* a plain HTTP service: no grant, one answer instead of tokens */
	int64_t deadline_us;   /* time at which the request fails */
	uint64_t jitter_state; /* state of the random numbers for backoff jitter */

	enum req_state state;
	unsigned int attempt;	  /* number of the current attempt, from 1 */
	bool granted;		  /* a grant is held for the current attempt */
	bool claimed;		  /* a claim for the current attempt exists or may exist */
	bool dispatched;	  /* the current or an earlier attempt may have run */
	bool may_have_run_before; /* an earlier attempt may have run */
	bool joined;		  /* the run belongs to another entry host */
	bool supersedes_claim;	  /* the next claim replaces one under which nothing was run */
	uint64_t next;		  /* index of the next token to deliver */
	GHashTable *early_tokens; /* tokens that arrived ahead of next: index -> GBytes */
	GPtrArray *exclude;	  /* names of endpoints to avoid, NULL-terminated */
	GPtrArray *route;	  /* names of the granted endpoints */
	int64_t claim_sent_us;	  /* time at which the claim was sent */
	int64_t last_progress_us; /* time of the dispatch or of the latest token */
	int64_t resume_until_us;  /* time at which reattaching to the run is given up */
	bool first_seen;	  /* a token of the current attempt has arrived */
};

/* Parameters of req_init(); their meaning is that of the fields in struct req. */
struct req_params {
	const struct req_settings *settings;
	struct req_budget *budget;
	struct req_est *first_est;
	struct req_est *gap_est;
	bool idempotent;
	bool service;
	int64_t deadline_us;
	uint64_t seed; /* seed of the random numbers for backoff jitter */
};

void req_budget_init(struct req_budget *budget, double burst, double per_request);

void req_init(struct req *req, const struct req_params *params, const struct req_ops *ops,
	      void *ctx);
void req_finish(struct req *req);

/* Requests the first grant. */
void req_start(struct req *req, int64_t now_us);

/*
 * Handlers of events. Those with an attempt number ignore events of earlier attempts.
 * req_on_granted(): route holds the names of the endpoints, NULL-terminated.
 */
void req_on_granted(struct req *req, unsigned int attempt, char *const *route, int64_t now_us);
void req_on_refused(struct req *req, unsigned int attempt, enum req_grant_refusal why,
		    int64_t retry_us, int64_t now_us);
void req_on_claim(struct req *req, unsigned int attempt, enum req_claim_verdict verdict,
		  int64_t now_us);
void req_on_token(struct req *req, unsigned int attempt, uint64_t index, const char *text,
		  size_t len, int64_t now_us);

/* The engine's last frame arrived: the run generated `count` tokens in all. */
void req_on_end(struct req *req, unsigned int attempt, uint64_t count, int64_t now_us);

/* The attempt failed. bad: name of the endpoint at fault, or NULL if it is not known. */
void req_on_attempt_failed(struct req *req, unsigned int attempt, enum req_failure why,
			   const char *bad, int64_t now_us);

/* The joined entry host ended its answer; its `count` tokens were passed to req_on_token(). */
void req_on_join_answer(struct req *req, enum req_code code, uint64_t count, int64_t now_us);

/* The joined entry host cannot be reached. */
void req_on_join_lost(struct req *req, int64_t now_us);

/* The joined entry host answered that it has not dispatched under its claim and never will. */
void req_on_join_not_dispatched(struct req *req, int64_t now_us);

/* The caller closed its connection. */
void req_on_caller_disconnected(struct req *req, int64_t now_us);

/* The time set by the timer callback was reached. */
void req_on_timer(struct req *req, int64_t now_us);

/* Returns the name of a state for diagnostics. */
const char *req_state_name(enum req_state state);

G_END_DECLS

#endif
