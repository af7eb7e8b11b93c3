#ifndef REQ_REQ_H
#define REQ_REQ_H

#include "req/code.h"
#include "req/est.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The life of one request at its entry host: grant, claim, attempts, the order of its tokens, its
 * end. Pure: events and the time in, actions out through callbacks. Callbacks must not call back
 * into the request.
 */
enum req_state {
	REQ_WAIT_GRANT,
	REQ_WAIT_CLAIM,
	REQ_RUNNING,  /* an attempt is dispatched */
	REQ_BACKOFF,  /* waits before it asks for the next grant */
	REQ_RESUMING, /* looks for the run of a dispatched non-idempotent request again */
	REQ_JOINING,  /* another entry host has this key's run: waits for its answer */
	REQ_DONE
};

enum req_grant_refusal {
	REQ_GRANT_QUEUE,
	REQ_GRANT_WAIT,
	REQ_GRANT_NO_PATH
};

enum req_claim_verdict {
	REQ_CLAIM_WON,
	REQ_CLAIM_LOST,	  /* by another run of the key, with the same body */
	REQ_CLAIM_REUSED, /* by a request with another body */
	REQ_CLAIM_OUT
};

/* How an attempt's stream ended before its last frame. */
enum req_break {
	REQ_BREAK_NOT_SENT, /* the connection was never there: nothing left this host */
	REQ_BREAK_NOT_RUN,  /* the endpoint said that it did not run it */
	REQ_BREAK_LOST,	    /* the stream broke */
	REQ_BREAK_FAILED,   /* the engine said that its run has failed and is over */
	REQ_BREAK_MISSING   /* the endpoint does not know the run that was to be resumed */
};

/* What became of a grant, for its home. */
enum req_grant_end {
	REQ_GRANT_OK,
	REQ_GRANT_REFUSED,
	REQ_GRANT_STALLED,
	REQ_GRANT_NOT_RUN
};

struct req_ops {
	/* Ask for a grant, passing over these endpoints if possible (NULL-terminated). */
	void (*ask)(void *ctx, unsigned int attempt, char *const *exclude);
	void (*withdraw)(void *ctx, unsigned int attempt);

	/* Claim the key for the granted route; supersede the claim that was lost to, or not. */
	void (*claim)(void *ctx, unsigned int attempt, bool supersede);

	/* The claim will not be dispatched under. */
	void (*release)(void *ctx, unsigned int attempt);

	/* Send the request to the granted route, to go on after `delivered` tokens. */
	void (*dispatch)(void *ctx, unsigned int attempt, uint64_t delivered);

	/* Attach to the run again, from token `from`; it runs already and must not be started. */
	void (*resume)(void *ctx, unsigned int attempt, uint64_t from);

	/* Stop listening to the attempt. stop: also tell the engine to end the run. */
	void (*cancel)(void *ctx, unsigned int attempt, bool stop);

	/* The grant is not needed any more; bad is the endpoint at fault or NULL. */
	void (*ungrant)(void *ctx, unsigned int attempt, enum req_grant_end end, const char *bad);

	/* Ask the entry host that won the key for its answer. */
	void (*join)(void *ctx);

	void (*deliver)(void *ctx, uint64_t index, const char *text, size_t len);

	/* The end. retry_us: when to come back; 0 when that is of no use. */
	void (*finish)(void *ctx, enum req_code code, int64_t retry_us);

	/* Call req_on_timer() at that time; replaces the time asked for before. */
	void (*timer)(void *ctx, int64_t due_us);
};

/* Retries are a share of fresh requests, so that they die out when everything fails. */
struct req_budget {
	double tokens;
	double burst;
	double per_request;
};

struct req_settings {
	int64_t first_floor_us; /* least and most time to wait for a first token */
	int64_t first_ceiling_us;
	int64_t gap_floor_us; /* least and most time to wait for a next token */
	int64_t gap_ceiling_us;
	int64_t claim_us;	/* a claim not answered by then is given up */
	int64_t dispatch_us;	/* a claim won later than this after it was asked is not used */
	int64_t backoff_us;	/* before the second attempt; doubles, with jitter */
	int64_t resume_us;	/* how long a lost run is looked for */
	int64_t retry_after_us; /* told when nothing better is known */
	unsigned int attempts;	/* at most */
};

struct req {
	const struct req_ops *ops;
	void *ctx;
	const struct req_settings *settings;
	struct req_budget *budget;
	struct req_est *first_est; /* of the pool; shared by its requests */
	struct req_est *gap_est;
	bool idempotent;
	bool service; /* a plain service: no grant, one answer */
	int64_t deadline_us;
	uint64_t jitter; /* seeded */

	enum req_state state;
	unsigned int attempt; /* the current one, from 1 */
	bool granted;
	bool claimed;	  /* a claim stands or may stand for this attempt */
	bool dispatched;  /* this or an earlier attempt may have been run */
	bool ran_before;  /* an earlier attempt may have been run */
	bool joined;	  /* the run belongs to another entry host */
	bool superseded;  /* the claim under way replaces one that was never used */
	uint64_t next;	  /* index of the next token to deliver */
	GHashTable *held; /* tokens that came too early: index -> GBytes */
	GPtrArray *exclude;
	GPtrArray *route; /* names of the granted endpoints */
	int64_t asked_us; /* the claim */
	int64_t sent_us;  /* the dispatch, or the latest token */
	int64_t resume_until_us;
	bool first_seen; /* the current attempt has brought a token */
};

struct req_params {
	const struct req_settings *settings;
	struct req_budget *budget;
	struct req_est *first_est;
	struct req_est *gap_est;
	bool idempotent;
	bool service;
	int64_t deadline_us;
	uint64_t seed;
};

void req_budget_init(struct req_budget *budget, double burst, double per_request);

void req_init(struct req *req, const struct req_params *params, const struct req_ops *ops,
	      void *ctx);
void req_finish(struct req *req);

void req_start(struct req *req, int64_t now_us);
void req_on_granted(struct req *req, unsigned int attempt, char *const *route, int64_t now_us);
void req_on_refused(struct req *req, unsigned int attempt, enum req_grant_refusal why,
		    int64_t retry_us, int64_t now_us);
void req_on_claim(struct req *req, unsigned int attempt, enum req_claim_verdict verdict,
		  int64_t now_us);
void req_on_token(struct req *req, unsigned int attempt, uint64_t index, const char *text,
		  size_t len, int64_t now_us);

/* The engine's last frame: the run has `count` tokens in all. */
void req_on_end(struct req *req, unsigned int attempt, uint64_t count, int64_t now_us);

/* bad: the endpoint at fault as far as it is known, or NULL. */
void req_on_break(struct req *req, unsigned int attempt, enum req_break why, const char *bad,
		  int64_t now_us);

/* The joined entry host sent its whole answer (tokens were delivered by req_on_token()). */
void req_on_joined(struct req *req, enum req_code code, uint64_t count, int64_t now_us);

/* The joined entry host cannot be reached. */
void req_on_join_lost(struct req *req, int64_t now_us);

/* The joined entry host says that it never dispatched under its claim and never will. */
void req_on_join_never(struct req *req, int64_t now_us);

void req_on_caller_gone(struct req *req, int64_t now_us);
void req_on_timer(struct req *req, int64_t now_us);

const char *req_state_name(enum req_state state);

G_END_DECLS

#endif
