#ifndef SSE_SSE_H
#define SSE_SSE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Splits a stream of server-sent events into complete events. An endpoint may stop in the middle of
 * an event. If a part of that event had been forwarded, the stream could not be resumed at another
 * endpoint without duplicating or losing data. The module does no I/O.
 */
enum {
	SSE_ID_MAX = 64,	/* size of an event id with its terminating NUL, in bytes */
	SSE_LINE_MAX = 128,	/* bytes of a line that are looked at */
	SSE_EVENT_MAX = 1 << 20 /* bytes of an event that are kept until it is complete; events of
				 * models are far shorter */
};

/* What is known of the event that is not complete. */
struct sse_event {
	char line[SSE_LINE_MAX]; /* first bytes of its last line */
	size_t line_len;	 /* bytes of that line, which may be more */
	char id[SSE_ID_MAX];	 /* its id, if has_id */
	bool has_id;		 /* a line states an id that fits */
	bool has_unusable_id;	 /* a line states an id that does not fit */
	bool has_data;		 /* a line has data */
};

/* State of the splitter for one stream. */
struct sse {
	GString *pending;	  /* bytes of an event that is not complete */
	struct sse_event event;	  /* what is known of that event */
	bool open;		  /* the first bytes of that event were passed on */
	bool dropping;		  /* the first bytes of that event were dropped */
	bool resumed;		  /* events up to last_id were passed on before this stream */
	uint64_t repeated;	  /* bytes of events that came again and were dropped */
	char last_id[SSE_ID_MAX]; /* id of the last complete event that had one */
	/*
	 * Whether a stream that is resumed after last_id goes on behind the last event: that event
	 * has this id. One without an id would be sent again.
	 */
	bool has_id;
};

/*
 * Called for each complete event, with its bytes unchanged, and for each part of an event that is
 * too long to be kept. ends_event: the event is complete with these bytes.
 */
typedef void (*sse_event_fn)(void *ctx, const char *data, size_t len, bool ends_event);

void sse_init(struct sse *sse);
void sse_finish(struct sse *sse);

/*
 * Discards the bytes of an incomplete event and keeps the last id. To be called when the stream is
 * resumed at another endpoint. Events of that one whose id is a number not above the last id were
 * passed on before; they are dropped.
 */
void sse_discard_pending(struct sse *sse);

/*
 * Adds data and calls fn for each event that is complete now. If more than event_max bytes of an
 * event are kept then, they are passed on as well, and its further bytes as they come.
 */
void sse_feed(struct sse *sse, const char *data, size_t len, size_t event_max, sse_event_fn fn,
	      void *ctx);

/* Returns the number of bytes that are kept of the event that is not complete. */
size_t sse_pending_bytes(const struct sse *sse);

/* Returns whether the stream is inside an event. */
bool sse_is_within_event(const struct sse *sse);

/*
 * Returns whether the stream can be resumed at another endpoint so that no event is missing or
 * comes twice.
 */
bool sse_can_resume(const struct sse *sse);

G_END_DECLS

#endif
