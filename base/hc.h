#ifndef BASE_HC_H
#define BASE_HC_H

#include "base/loop.h"

#include <glib.h>
#include <stddef.h>

G_BEGIN_DECLS

/* HTTP client on a loop (libcurl). All calls belong to the loop's thread. */
struct hc;
struct hc_call;

struct hc_ops {
	/*
	 * The status line and all header lines of the answer are there; may be NULL. headers are
	 * lines "Name: value" without line ends. Returns false to end the call as hc_cancel() does.
	 */
	bool (*on_head)(void *ctx, int status, const GPtrArray *headers);

	/*
	 * Part of the body of a 2xx answer, or of any answer if all_data is set; NULL: the body is
	 * collected and given to on_done().
	 */
	void (*on_data)(void *ctx, const char *data, size_t len);

	bool all_data;

	/*
	 * The call has ended. status is the HTTP status, or 0 with err a negative base error.
	 * sent tells whether the request may have left this process: false is certain.
	 * body holds what was collected. The call is gone afterwards.
	 */
	void (*on_done)(void *ctx, int status, int err, bool sent, const char *body, size_t len);
};

struct hc_request {
	const char *method;
	const char *url;
	const char *const *headers; /* NULL-terminated "Name: value"; may be NULL */
	const char *body;	    /* copied; may be NULL */
	size_t body_len;
	int64_t connect_ms; /* limit for the connection */
	int64_t total_ms;   /* limit for the whole call; 0: none */
	/*
	 * Use a new connection. Without it the library may send the request a second time by
	 * itself, when a reused connection ends without an answer.
	 */
	bool fresh;
	bool close;	    /* close the connection when the call has ended */
	const char *target; /* request target to send instead of the one in url; may be NULL */
};

struct hc *hc_new(struct loop *loop);
void hc_free(struct hc *hc);

struct hc_call *hc_start(struct hc *hc, const struct hc_request *request, const struct hc_ops *ops,
			 void *ctx);

/* Ends the call without on_done(). */
void hc_cancel(struct hc_call *call);

G_END_DECLS

#endif
