#ifndef ROUTER_STORE_CALL_H
#define ROUTER_STORE_CALL_H

#include "base/hc.h"
#include "base/str.h"

struct ctrl;
struct store_call;

/* Errors of calls to the store, in addition to those of base/err.h. */
enum {
	STORE_ERESTORED = -600, /* The answer showed that the store was restored from a copy */
	STORE_ESTALE = -601	/* The answer dates from before the store was restored */
};

struct store_request {
	char *path;	     /* Path with query; store_call() frees it */
	const GString *body; /* Body of raw records; NULL if none */
	const char *json;    /* Body in JSON; NULL if none */
	int64_t total_ms;    /* Time limit for the whole call, in milliseconds */
	bool fresh;	     /* Use a new connection, as an open one may be dead unnoticed */
};

struct store_answer {
	int status;	 /* HTTP status; 0 if there was no valid answer */
	int err;	 /* Negative error number if status is 0; see store_strerror() */
	struct str body; /* Body of the answer; valid during the callback only */
};

/* Called once with the result of a call, unless the call is canceled. */
typedef void (*store_fn)(void *ctx, const struct store_answer *answer);

/*
 * Starts a call to the store: a GET, or a POST if there is a body. Each answer states the era of
 * the store. A call fails if its answer belongs to an older era or is the first one of a new era:
 * no data is accepted from a previous state of the store, and lost writes are repeated.
 */
struct store_call *store_call(struct ctrl *ctrl, const struct store_request *request, store_fn fn,
			      void *ctx);

/* Cancels the call; its callback is not called. */
void store_call_cancel(struct store_call *call);

/* Returns the text for an error of a call to the store or of the base layer. */
const char *store_strerror(int err);

#endif
