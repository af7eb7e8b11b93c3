#ifndef BASE_HD_H
#define BASE_HD_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * HTTP server (libmicrohttpd). The handler is called in one of the library's threads once the whole
 * request is there; the answer may be given from any thread, at once or in parts.
 */
struct hd;
struct hd_call;

/* Owns a reference on call that hd_unref() gives back. */
typedef void (*hd_handler)(void *ctx, struct hd_call *call);

struct hd_config {
	const char *addr;      /* NULL: no listening socket, connections come by hd_adopt() */
	unsigned int threads;  /* of the library */
	size_t body_max;       /* a larger request body is answered 413 */
	size_t pending_max;    /* unsent bytes of an answer at which a caller counts as too slow */
	const char *too_large; /* body of the 413 answer, JSON */
	hd_handler handler;
	void *ctx;
};

/* Returns NULL when the address cannot be had. */
struct hd *hd_start(const struct hd_config *config);
void hd_stop(struct hd *hd);

/*
 * Requests that are in progress: from their first line until the last byte of the answer is with
 * the system or the caller is gone. A daemon that stops must wait for zero, or it cuts answers off.
 */
unsigned int hd_open(const struct hd *hd);

/* Hands over a connected socket that somebody else accepted. */
void hd_adopt(struct hd *hd, int fd);

/*
 * Largest request body, and seconds after which a silent connection is closed; for requests that
 * begin from now on. Any thread may call this.
 */
void hd_set_limits(struct hd *hd, size_t body_max, unsigned int idle_s);

/* Answers from now on tell the caller to close the connection. Any thread may call this. */
void hd_set_closing(struct hd *hd);

/* Takes no new connections from now on; those that are open stay. Any thread may call this. */
void hd_quiesce(struct hd *hd);

/* The request target exactly as the caller sent it. */
const char *hd_target(const struct hd_call *call);

/* Calls fn for each header of the request; until the answer is given. */
typedef void (*hd_header_fn)(void *ctx, const char *name, const char *value);
void hd_each_header(struct hd_call *call, hd_header_fn fn, void *ctx);

const char *hd_method(const struct hd_call *call);
const char *hd_path(const struct hd_call *call);
const char *hd_header(struct hd_call *call, const char *name); /* until the answer is given */
const char *hd_query(struct hd_call *call, const char *name);  /* until the answer is given */
const char *hd_body(const struct hd_call *call, size_t *len);
int hd_local_port(const struct hd_call *call);

/* A header of the answer; before hd_reply() or hd_begin(). */
void hd_set_header(struct hd_call *call, const char *name, const char *value);

/* The whole answer. body is copied. type may be NULL. */
void hd_reply(struct hd_call *call, int status, const char *type, const char *body, size_t len);

/* An answer in parts: hd_begin(), hd_write() as often as needed, hd_end(). */
void hd_begin(struct hd_call *call, int status, const char *type);

/* Returns false when the caller is gone or too slow. */
bool hd_write(struct hd_call *call, const char *data, size_t len);
void hd_end(struct hd_call *call);

/* Cuts the connection: an answer in parts that must not look complete. */
void hd_abort(struct hd_call *call);

/* Whether the caller has closed the connection; asks the socket, so it works while waiting. */
bool hd_gone(struct hd_call *call);

void hd_unref(struct hd_call *call);

G_END_DECLS

#endif
