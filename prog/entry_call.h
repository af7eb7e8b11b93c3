#ifndef PROG_ENTRY_CALL_H
#define PROG_ENTRY_CALL_H

#include "prog/entry.h"

/* The interface that a caller's request uses. */
enum entry_call_kind {
	ENTRY_COMPLETION, /* /v1/completions */
	ENTRY_CHAT,	  /* /v1/chat/completions */
	ENTRY_SERVICE,	  /* /svc/NAME/...: passed to a plain service */
	ENTRY_CALL_KIND_COUNT
};

/*
 * A caller's request. An HTTP thread fills it in from what the caller sent; the traffic thread then
 * checks it against the configuration and owns it.
 */
struct entry_call {
	struct entry *entry;
	struct hd_call *http; /* caller's HTTP request; NULL once answered or disconnected */
	uint64_t id;	      /* number of the request, unique in this process */
	char *request;	      /* id of the request that the caller receives */
	enum entry_call_kind kind;
	bool stream;	     /* the caller requested a stream of tokens */
	bool idempotent;     /* the request may be run more than once */
	char *account;	     /* name of the client account; its bearer token until checked */
	char *model;	     /* name of the model; "" for a service */
	char *version;	     /* version of the model; NULL for a service */
	char *prompt;	     /* text of the prompt; "" for a service */
	uint64_t max_tokens; /* number of tokens to generate */
	char *key;	     /* value of the Idempotency-Key header, or NULL */
	char *digest;	     /* SHA-256 of the request body, in hexadecimal */
	int64_t deadline_us; /* time by which the request must be finished, in microseconds */
	int64_t began_us;    /* time at which the request was received, in microseconds */

	/* Only set for a request to a plain service. */
	char *service;		/* name of the service */
	char *method;		/* HTTP method */
	char *service_path;	/* path below the service, without the leading slash */
	char *body;		/* request body */
	size_t body_len;	/* length of the request body, in bytes */
	char *content_type;	/* content type of the request body */
	int service_status;	/* HTTP status that the service answered */
	char *service_type;	/* content type of the service's answer; not set */
	guint service_attempts; /* number of attempts so far, to take the addresses in turn */

	struct req req;	       /* state machine of the request */
	bool req_ready;	       /* req is initialized */
	struct tmr timer;      /* timer of the state machine */
	struct hc_call *hc;    /* HTTP call of the current attempt, or NULL */
	GString *sse_buffer;   /* received bytes of an incomplete server-sent event */
	bool last_frame_seen;  /* the engine sent its last frame or an error */
	char *faulty_endpoint; /* endpoint that the engine named as faulty, or NULL */
	GPtrArray *stages;     /* route of the current attempt, as struct entry_stage */
	char *run_id;	       /* id of the run at the engine */
	char *run_address;     /* address of the engine that can resume the run */
	GPtrArray *tokens;     /* delivered tokens, as GBytes */
	int64_t last_token_us; /* time of the last delivered token, in microseconds; 0 if none */
	uint64_t attempt_first_token; /* index of the current attempt's first token */

	GPtrArray *claim_ids; /* ids of the claims that this request made, oldest first */
	char *winner_id;      /* id of the claim that won the key, if another request's did */
	char *winner_entry;   /* host whose entry daemon made the winning claim */
	bool finished;	      /* the request has ended */
	enum req_code code;   /* result of the finished request */
	bool answer_begun;    /* the headers of a streamed answer were sent */
	bool too_slow;	      /* the caller reads its answer too slowly */
	GPtrArray *joiners;   /* requests that wait for this answer, as struct entry_joiner */
	int64_t finished_us;  /* time at which the request ended, in microseconds */
};

/* A request with the same key that waits for the answer, on this host or on another one. */
struct entry_joiner {
	uint64_t call_id;      /* entry_call.id of a request on this host; else 0 */
	struct frm_conn *conn; /* connection of the other entry daemon; else NULL */
	uint64_t ask_id;       /* ask_id of the other entry daemon's message */
};

/* Result of asking an entry daemon for the answer of a request. The values are sent to peers. */
enum entry_join_state {
	ENTRY_JOIN_ANSWER,  /* the whole answer follows */
	ENTRY_JOIN_NOT_RUN, /* the request never was, and never will be, run under this claim */
	ENTRY_JOIN_UNKNOWN, /* the entry daemon does not know the claim */
	ENTRY_JOIN_STATE_COUNT
};

/* --- entry_call.c --- */

/* Takes over a parsed struct entry_call as a task of the traffic thread. */
void entry_post_call(void *call);

void entry_call_free(struct entry_call *call);

/* Returns the estimates of the request's model or service. */
struct entry_estimates *entry_call_estimates(struct entry_call *call);

/* --- entry_act.c --- */

/* Actions of the request state machine; their context is the struct entry_call. */
extern const struct req_ops entry_req_ops;

/* --- entry_stream.c: streams from engines, and calls to plain services --- */

/* Sends the request to its route; the first `delivered` tokens are already delivered. */
void entry_stream_dispatch(struct entry_call *call, unsigned int attempt, uint64_t delivered);

/* Attaches to an existing run again, starting at the token with index `from`. */
void entry_stream_resume(struct entry_call *call, uint64_t from);

/* Closes the current stream. stop: also requests that the engine end the run. */
void entry_stream_cancel(struct entry_call *call, bool stop);

/* --- entry_join.c --- */

/* Listens for other entry daemons. Returns 0 or a negative error code. */
int entry_join_start(struct entry *e);

/* Requests the answer of the request that won the key, on this host or on another one. */
void entry_join_request(struct entry_call *call);

/* Sends the answer of a finished request to all requests that wait for it. */
void entry_join_answer_all(struct entry_call *call);

/* --- entry_answer.c: answers to callers --- */

/* Sends a token to a caller that requested a stream. */
void entry_answer_token(struct entry_call *call, uint64_t index, const char *text, size_t len);

/*
 * Sends the end of the answer, or an error. retry_us is the delay in microseconds before a retry is
 * useful, or 0.
 */
void entry_answer_finish(struct entry_call *call, enum req_code code, int64_t retry_us);

/*
 * Sends an error as the whole answer. request is the id of the request, or NULL; detail is added to
 * the error unless it is NULL. Consumes the reference to http, which may be NULL.
 */
void entry_answer_error(struct hd_call *http, const char *request, enum req_code code,
			const char *detail, int64_t retry_us);

#endif
