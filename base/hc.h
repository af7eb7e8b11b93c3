#ifndef BASE_HC_H
#define BASE_HC_H

#include "base/loop.h"

#include <glib.h>
#include <stddef.h>

G_BEGIN_DECLS

enum {
	HC_BODY_MAX =
		16 << 20 /* largest collected body of a response, in bytes, if none is stated */
};

/* HTTP client on an event loop (libcurl). All functions must be called in the loop's thread. */
struct hc;

/* A request in progress. */
struct hc_call;

/* Callbacks of a request. */
struct hc_ops {
	/*
	 * The status line and all headers of the response were received; may be NULL. headers are
	 * lines "Name: value" without line ends. Returns false to cancel the request as hc_cancel()
	 * does. If the headers don't say where the body ends, on_done() follows with an error.
	 */
	bool (*on_head)(void *ctx, int status, const GPtrArray *headers);

	/*
	 * A part of the body, of len bytes, is about to be passed to on_data(). If hc_pause() is
	 * called here, that part waits until the request goes on. May be NULL.
	 */
	void (*before_data)(void *ctx, size_t len);

	/*
	 * A part of the body of a 2xx response was received, or of any response if all_data is set.
	 * If on_data is NULL, the body is collected and passed to on_done().
	 */
	void (*on_data)(void *ctx, const char *data, size_t len);

	bool all_data; /* on_data() receives the body of a response of any status */

	/*
	 * The response, of which the body is whole, went on without end behind it, and was broken
	 * off; on_done() follows without an error. May be NULL.
	 */
	void (*on_excess)(void *ctx);

	/*
	 * The request has ended. A response with more lines, bytes of its head or bytes beside its
	 * body than one may have (base/hc_bound.h) is broken off with BASE_EENDLESS. status is the
	 * HTTP status, or 0 with err a negative base error. sent is false if certainly no byte of
	 * the request has left this process. body holds the collected body, of len bytes. The
	 * hc_call is freed after the callback.
	 */
	void (*on_done)(void *ctx, int status, int err, bool sent, const char *body, size_t len);
};

/* A request to send. */
struct hc_request {
	const char *method;
	const char *url;
	/*
	 * NULL-terminated list of lines "Name: value"; may be NULL. "Name: " sends a header without
	 * a value, "Name:" leaves out one that the library would add.
	 */
	const char *const *headers;
	const char *body; /* request body, copied by hc_start(); may be NULL */
	size_t body_len;  /* length of body in bytes */
	/*
	 * Request body in place of body, which is not copied: a reference is held until the request
	 * has ended. NULL: none.
	 */
	GBytes *shared_body;
	size_t body_max;    /* largest collected body of the response, in bytes; 0: HC_BODY_MAX */
	int64_t connect_ms; /* time limit for the connection, in milliseconds */
	int64_t total_ms;   /* time limit for the request, in milliseconds; 0: none */
	/*
	 * Use a new connection. Otherwise the library may send the request a second time by itself
	 * if a reused connection is closed before a response arrives.
	 */
	bool fresh;
	bool close;	    /* close the connection when the request has ended */
	const char *target; /* request target to send instead of the one in url; may be NULL */
	/*
	 * Address "IP:PORT" to connect to instead of the host in url, and bytes to send there
	 * before the request; with fresh and close. NULL: connect to the host in url.
	 */
	const char *via;
	const GByteArray *preamble;
};

/* Creates a client on the loop. */
struct hc *hc_new(struct loop *loop);

/* Sets the address that connections come from, "IP:0" (the port is ignored); "": any. */
void hc_set_source(struct hc *hc, const char *addr);

/* Frees the client, but not the requests that are still in progress. */
void hc_free(struct hc *hc);

/*
 * Starts a request; ops and ctx receive its events. request itself may be freed after the call, ops
 * must stay valid until the request has ended.
 */
struct hc_call *hc_start(struct hc *hc, const struct hc_request *request, const struct hc_ops *ops,
			 void *ctx);

/*
 * Pauses a request (on) or lets it go on. A paused request receives no part of the body, so that
 * its server is slowed down by TCP; its head still arrives. Its end is not noticed until it goes
 * on. May be called from callbacks.
 */
void hc_pause(struct hc_call *call, bool on);

/* Cancels a request and resets its connection; on_done() isn't called. */
void hc_cancel(struct hc_call *call);

G_END_DECLS

#endif
