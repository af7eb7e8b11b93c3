#ifndef SSE_SSE_H
#define SSE_SSE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

G_BEGIN_DECLS

/*
 * Cuts a stream of server-sent events into whole events. An endpoint may stop in the middle of one;
 * handing on a part of an event would make it impossible to go on elsewhere without a doubled or
 * missing piece. Pure.
 */
enum {
	SSE_ID_MAX = 64,
	SSE_EVENT_MAX = 1 << 20 /* bytes; no event of a model comes near it */
};

enum sse_err {
	SSE_ETOOLONG = -800
};

struct sse {
	GString *pending;	  /* of an event that is not whole */
	char last_id[SSE_ID_MAX]; /* of the last whole event that had one */
	bool has_id;
};

typedef void (*sse_event_fn)(void *ctx, const char *data, size_t len);

void sse_init(struct sse *sse);
void sse_finish(struct sse *sse);

/* Forgets what is pending; the id stays. For an answer that goes on elsewhere. */
void sse_drop(struct sse *sse);

/* Calls fn for each event that is whole now, bytes unchanged. Returns 0 or SSE_ETOOLONG. */
int sse_feed(struct sse *sse, const char *data, size_t len, sse_event_fn fn, void *ctx);

/* Bytes of an event that is not whole. */
size_t sse_pending(const struct sse *sse);

G_END_DECLS

#endif
