#ifndef BASE_HD_H
#define BASE_HD_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * HTTP server (libmicrohttpd). The handler is called in one of the library's threads once the whole
 * request has been received. The response may be sent from any thread, whole or in parts.
 */

/* An HTTP server. */
struct hd;

/* A request that was received, and its response. */
struct hd_call;

/* Handles a request. The handler owns a reference to call, which it releases by hd_unref(). */
typedef void (*hd_handler)(void *ctx, struct hd_call *call);

/* Length of a response body that is not known. */
#define HD_LENGTH_UNKNOWN UINT64_MAX

/* How a request ended, for its client. */
enum hd_end {
	HD_END_WHOLE,	 /* the whole response was passed to the kernel */
	HD_END_ABORTED,	 /* hd_abort() closed the connection */
	HD_END_CLIENT,	 /* the client closed the connection first */
	HD_END_TIMEOUT,	 /* the library closed the connection, as it was idle for too long */
	HD_END_ERROR,	 /* the library closed the connection for another reason */
	HD_END_SHUTDOWN, /* the server was stopped */
	HD_END_COUNT
};

/* Returns the name of the end for the log. */
const char *hd_end_name(enum hd_end end);

/* What is known of a request when it has ended. */
struct hd_outcome {
	enum hd_end end;
	bool received;	   /* the whole request was received and passed to the handler */
	bool begun;	   /* a response was passed to the library */
	int status;	   /* HTTP status of the response; 0: none */
	uint64_t sent;	   /* bytes of the response body that were passed to the library */
	uint64_t unsent;   /* bytes of the response body that were not */
	uint64_t expected; /* bytes of the response body as stated by hd_expect_length();
			    * HD_LENGTH_UNKNOWN: not stated */
};

/*
 * Is told of the end of each request, in one of the library's threads. label is the text of
 * hd_set_label(), or NULL.
 */
typedef void (*hd_end_fn)(void *ctx, const char *label, const struct hd_outcome *outcome);

/*
 * Is told, in one of the library's threads, that the unsent bytes of a response have fallen to the
 * mark of hd_watch_unsent(). The function owns a reference to call, which it releases by
 * hd_unref().
 */
typedef void (*hd_drained_fn)(void *ctx, struct hd_call *call);

/* Memory that a request's body needs, in bytes. */
struct hd_body_use {
	uint64_t total; /* of all bodies that are held */
	uint64_t own;	/* of this body, as far as its client has stated or sent it */
	uint64_t more;	/* of these, what it needs now and is not in total */
};

/* Why a request is refused before its body has been received, or before it is handled. */
enum hd_refusal {
	HD_REFUSED_FULL, /* hd_config.may_hold() returned false */
	HD_REFUSED_SLOW, /* too little came within the idle timeout, see base/body_pace.h */
	HD_REFUSED_HEAD, /* its head leaves too little memory for its response, see base/hd_head.h
			  */
	HD_REFUSED_COUNT
};

/*
 * Sets the response to a request that is refused, by hd_set_header() and hd_reply(), in one of the
 * library's threads. It is sent at once and the connection is closed, so that nothing that the
 * client still sends is taken for a request. The function owns no reference to call.
 */
typedef void (*hd_refuse_fn)(void *ctx, struct hd_call *call, enum hd_refusal why);

/* Configuration of a server. */
struct hd_config {
	const char *addr; /* listening address IP:PORT; NULL: only hd_adopt() adds connections */
	unsigned int threads; /* number of the library's threads */
	size_t body_max;      /* largest request body in bytes; a larger one gets status 413 */
	/*
	 * Any head within hd_set_head_max() is served, whatever it is made of, and any head of a
	 * response is sent. Without it, what HD_CONNECTION_MEMORY has no room for is refused.
	 */
	bool any_head;
	size_t pending_max;    /* unsent bytes of a response above which hd_reply_write() fails;
				* 0: no limit */
	const char *too_large; /* body of the response with status 413, JSON */
	hd_handler handler;    /* called for each request */
	bool (*may_accept)(void *ctx); /* whether to take a new connection or to close it unread,
					* from one of the library's threads; NULL: always */
	bool (*may_hold)(void *ctx, const struct hd_body_use *use); /* whether a body may take
								     * memory, from one of the
								     * library's threads; NULL:
								     * always */
	hd_refuse_fn refuse;	  /* NULL: HD_REFUSED_HEAD gets 431, others are closed without a
				   * response */
	hd_end_fn on_end;	  /* called at the end of each request; NULL: none */
	hd_drained_fn on_drained; /* needed by hd_watch_unsent(); NULL: none */
	void *ctx;		  /* first argument of the functions above */
};

/* Starts a server. Returns NULL if it can't listen on the address or the library fails. */
struct hd *hd_start(const struct hd_config *config);

/*
 * Stops the server, closes its connections and frees it. All references to its requests must have
 * been released. The library crashes if it is refusing bytes that are no request just then, so a
 * program that serves strangers exits without this.
 */
void hd_stop(struct hd *hd);

/*
 * Returns the number of requests in progress. A request is in progress from its first line until
 * the last byte of the response is in the kernel's socket buffer or the client has disconnected. A
 * daemon that stops must wait until the number is 0, or it truncates responses.
 */
unsigned int hd_open_requests(const struct hd *hd);

/* Serves a connected socket that was accepted elsewhere. The server owns and closes fd. */
void hd_adopt(struct hd *hd, int fd);

/*
 * Sets the largest request body in bytes and the idle timeout of connections in seconds; 0: none. A
 * client may go by an older limit, so the largest one of late counts. The first call replaces
 * hd_config.body_max. Within a request the timeout of its begin holds; between two requests it
 * takes hd_close_idle(). Any thread may call this.
 */
void hd_set_limits(struct hd *hd, size_t body_max, unsigned int idle_s);

/*
 * Sets the time in us that the head of a request may take; 0: any. A client may go by an older one,
 * as above. Any thread may call this.
 */
void hd_set_head_limit(struct hd *hd, int64_t head_us);

/*
 * Sets the largest request line, and the most bytes of headers, of a request; a larger one gets
 * status 431. A client may go by an older limit, as above. INTAKE_HEAD_MAX holds in any case, and
 * alone before the first call. Only for hd_config.any_head. Any thread may call this.
 */
void hd_set_head_max(struct hd *hd, size_t bytes);

/*
 * Closes connections that have been idle for too long between two requests, answers those whose
 * heads take too long with 408, and drops what clients send whose requests were refused; to be
 * called several times a second.
 */
void hd_close_idle(struct hd *hd, int64_t now_us);

/*
 * Closes all connections without an open request. A request that arrives there meanwhile is not
 * read, so a process that ends soon after does not leave it unanswered. Any thread may call this.
 */
void hd_close_all_idle(struct hd *hd);

/* Adds the header "Connection: close" to all further responses. Any thread may call this. */
void hd_set_connection_close(struct hd *hd);

/*
 * Hands the kernel as much of all responses as it takes, now and later. It delivers that to slow
 * readers even if the process ends before they have read it. Any thread may call this.
 */
void hd_release_responses(struct hd *hd);

/*
 * Lets no further client connect; what clients have begun is served: connections in the queue of
 * the listening socket, and handshakes. The socket itself stays open until hd_stop() or the exit:
 * the library ends the process if it is taken from it while a connection is accepted. So clients
 * that connect meanwhile get no answer to their handshake, and are refused when they try again.
 */
void hd_refuse(struct hd *hd);

/* Returns the request target exactly as the client sent it. */
const char *hd_target(const struct hd_call *call);

/* Callback of hd_each_header(). */
typedef void (*hd_header_fn)(void *ctx, const char *name, const char *value);

/* Calls fn for each header of the request. Only allowed before the response is started. */
void hd_each_header(struct hd_call *call, hd_header_fn fn, void *ctx);

/* Returns the method of the request. */
const char *hd_method(const struct hd_call *call);

/* Returns the decoded path of the request, without the query. */
const char *hd_path(const struct hd_call *call);

/*
 * Returns the value of a header of the request, or NULL. Only allowed before the response is
 * started, and in hd_config.on_drained.
 */
const char *hd_header(struct hd_call *call, const char *name);

/*
 * Returns the value of an argument in the query of the request, or NULL. It is valid as long as
 * call, and for the thread that has called this.
 */
const char *hd_query(struct hd_call *call, const char *name);

/* Returns the body of the request and its length in bytes. */
const char *hd_body(const struct hd_call *call, size_t *len);

/*
 * Returns a reference to the body of the request, which has at least a byte. It is not copied: the
 * request is kept until the last reference is released, by any thread.
 */
GBytes *hd_share_body(struct hd_call *call);

/*
 * Returns the bytes of all request bodies that are held: those that are being received, and those
 * of requests to which a reference exists. Any thread may call this.
 */
uint64_t hd_bodies_total(const struct hd *hd);

/* Returns the local TCP port of the connection; 0 if unknown. */
int hd_local_port(const struct hd_call *call);

/* Sets a text that names the request to hd_config.on_end; it is copied. */
void hd_set_label(struct hd_call *call, const char *label);

/*
 * Adds a header to the response. Only allowed before hd_reply() or hd_reply_begin(). The response
 * is replaced by an error with status 502 unless fld_can_send() holds for the header, and for the
 * Content-Type.
 */
void hd_set_header(struct hd_call *call, const char *name, const char *value);

/*
 * Sends a whole response. body and type, the Content-Type, are copied; type may be NULL. len is the
 * length of body in bytes.
 */
void hd_reply(struct hd_call *call, int status, const char *type, const char *body, size_t len);

/*
 * States the length of a response in parts, which is sent as its Content-Length, so that any client
 * sees whether it is whole; without it, the response is chunked. Only allowed before
 * hd_reply_begin().
 */
void hd_set_length(struct hd_call *call, uint64_t len);

/*
 * Starts a response in parts: hd_reply_begin(), then any number of hd_reply_write(), then
 * hd_reply_end(). type is the Content-Type; it is copied and may be NULL.
 */
void hd_reply_begin(struct hd_call *call, int status, const char *type);

/*
 * Sends a part of the response: takes all of it and returns 0, or takes none of it and returns
 * BASE_ECLOSED if the client has disconnected, or BASE_EFULL if more than pending_max bytes would
 * be unsent. A response that lacks a part can only be aborted.
 */
int hd_reply_write(struct hd_call *call, const char *data, size_t len) G_GNUC_WARN_UNUSED_RESULT;

/* Returns the number of bytes of a response in parts that the library has not taken yet. */
size_t hd_unsent(struct hd_call *call);

/* Returns the sum of hd_unsent() over the requests in progress. Any thread may call this. */
uint64_t hd_unsent_total(const struct hd *hd);

/*
 * Has hd_config.on_drained called once, when the unsent bytes of the response have fallen to low.
 * Returns false, and has nothing called, if there are no more now. A later call replaces the mark.
 */
bool hd_watch_unsent(struct hd_call *call, size_t low);

/*
 * Attach an object of the handler to the request; NULL: none. They are for one thread only, as
 * nothing guards the pointer.
 */
void hd_set_owner(struct hd_call *call, void *owner);
void *hd_owner(const struct hd_call *call);

/*
 * States how many bytes of the response the caller has passed to hd_reply_write(). If that many
 * were not taken, hd_reply_end() aborts the response.
 */
void hd_expect_length(struct hd_call *call, uint64_t len);

/*
 * Ends a response in parts. It is aborted instead if hd_reply_write() has failed, or if it has not
 * the length of hd_set_length(), as its client would take it for whole. Returns 0, or BASE_ECLOSED
 * if the response was or is aborted.
 */
int hd_reply_end(struct hd_call *call);

/*
 * Closes the connection without the last chunk, so that the client doesn't take a response in parts
 * for complete. The status and parts that were written before are still sent; a request without
 * either ends without any response. To a client of HTTP/1.0, which knows no chunks, the end of the
 * connection is the end of a response without a length, so its connection is reset instead, and the
 * last parts may be lost.
 */
void hd_abort(struct hd_call *call);

/*
 * Returns whether the client has closed the connection. This checks the socket itself, so it works
 * while the library doesn't poll it.
 */
bool hd_client_closed(struct hd_call *call);

/*
 * Returns whether the library has closed the connection, as the client read nothing of the response
 * for the idle timeout.
 */
bool hd_has_timed_out(struct hd_call *call);

/* Releases a reference to call; the last one frees it. */
void hd_unref(struct hd_call *call);

G_END_DECLS

#endif
