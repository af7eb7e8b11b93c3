#ifndef PROG_ENTRY_CALL_H
#define PROG_ENTRY_CALL_H

#include "prog/entry.h"

/* The traffic thread's side of one caller's request. */
enum entry_call_kind {
	ENTRY_COMPLETION,
	ENTRY_CHAT,
	ENTRY_SERVICE,
	ENTRY_CALL_KIND_COUNT
};

/* What the HTTP side has read from the caller; checked against the configuration afterwards. */
struct entry_call {
	struct entry *entry;
	struct hd_call *http; /* NULL when the caller has gone */
	uint64_t id;
	char *request; /* id told to the caller */
	enum entry_call_kind kind;
	bool stream;
	bool idempotent;
	char *account;
	char *model;
	char *version;
	char *prompt;
	uint64_t max_tokens;
	char *key; /* Idempotency-Key, or NULL */
	char *digest;
	int64_t deadline_us;
	int64_t began_us;

	/* A plain service. */
	char *service;
	char *method;
	char *service_path; /* path below the service */
	char *body;
	size_t body_len;
	char *content_type;
	int service_status;
	char *service_type;
	guint service_attempts;

	struct req req;
	bool req_ready;
	struct tmr timer;
	struct hc_call *hc;    /* the attempt's stream */
	GString *sse_buffer;   /* part of a line that is not whole yet */
	bool last_frame_seen;  /* the last frame was seen */
	char *faulty_endpoint; /* endpoint that the engine named as dead */
	GPtrArray *stages;     /* of the current attempt */
	char *run_id;	       /* id of the run at the engine */
	char *run_address;     /* where it can be resumed */
	GPtrArray *tokens;     /* GBytes, as delivered */
	int64_t last_token_us;
	uint64_t attempt_first_token; /* index at which the current attempt began */

	GPtrArray *claim_ids;
	char *winner_id;
	char *winner_entry;
	bool finished;
	enum req_code code;
	bool answer_begun;
	bool too_slow;	    /* the caller does not take its answer */
	GPtrArray *joiners; /* struct entry_joiner */
	int64_t finished_us;
};

/* Who waits for the answer of this call: a call of this host, or another entry host. */
struct entry_joiner {
	uint64_t call_id;      /* here, or 0 */
	struct frm_conn *conn; /* the other host's */
	uint64_t ask_id;
};

enum entry_join_state {
	ENTRY_JOIN_ANSWER,  /* the whole answer follows */
	ENTRY_JOIN_NOT_RUN, /* never dispatched under that claim, and never will be */
	ENTRY_JOIN_UNKNOWN, /* this host does not know the claim */
	ENTRY_JOIN_STATE_COUNT
};

/* entry_call.c */
void entry_post_call(void *call); /* in the traffic thread: a call that was parsed */
void entry_call_free(struct entry_call *call);
struct entry_estimates *entry_call_estimates(struct entry_call *call);

/* entry_act.c: the actions of a request; their context is its struct entry_call */
extern const struct req_ops entry_req_ops;

/* entry_stream.c: what goes to engines and services, and comes from them */
void entry_stream_dispatch(struct entry_call *call, unsigned int attempt, uint64_t delivered);
void entry_stream_resume(struct entry_call *call, uint64_t from);
void entry_stream_cancel(struct entry_call *call, bool stop);

/* entry_join.c */
int entry_join_start(struct entry *e);
void entry_join_request(struct entry_call *call);
void entry_join_answer_all(struct entry_call *call); /* call has finished: tells those who wait */

/* entry_answer.c: what the caller gets */
void entry_answer_token(struct entry_call *call, uint64_t index, const char *text, size_t len);
void entry_answer_finish(struct entry_call *call, enum req_code code, int64_t retry_us);
void entry_answer_error(struct hd_call *http, const char *request, enum req_code code,
			const char *detail, int64_t retry_us);

#endif
