#ifndef ROUTER_STORE_CALL_H
#define ROUTER_STORE_CALL_H

#include "base/hc.h"
#include "base/str.h"

struct rc;
struct store_call;

/* Errors of calls to the store, besides those of the base layer. */
enum {
	STORE_ERETURNED = -600, /* the answer told that the store came back from a copy */
	STORE_EPAST = -601	/* the answer is of the time before that */
};

struct store_request {
	char *path;	     /* taken over */
	const GString *body; /* raw records; NULL */
	const char *json;    /* a body in JSON; NULL */
	int64_t total_ms;    /* limit for the whole call */
	bool fresh;	     /* on a new connection: an open one may have gone silent */
};

/* status is the HTTP status, or 0 with err a negative number. */
struct store_answer {
	int status;
	int err;
	struct str body;
};

typedef void (*store_fn)(void *ctx, const struct store_answer *answer);

/*
 * A call to the store: a GET, or a POST if there is a body. The era of the store is read from each
 * answer; one that does not belong to the era which this host knows afterwards counts as failed, so
 * that nothing is taken from a store that is gone, and what was written there is written again.
 */
struct store_call *store_call(struct rc *rc, const struct store_request *request, store_fn fn,
			      void *ctx);

/* Ends the call without an answer. */
void store_call_cancel(struct store_call *call);

const char *store_strerror(int err);

#endif
