#include "sse/sse.h"

#include <string.h>

void sse_init(struct sse *sse)
{
	memset(sse, 0, sizeof(*sse));
	sse->pending = g_string_new(NULL);
}

void sse_finish(struct sse *sse)
{
	g_string_free(sse->pending, TRUE);
}

static void sse_begin_event(struct sse *sse)
{
	g_string_truncate(sse->pending, 0);
	memset(&sse->event, 0, sizeof(sse->event));
	sse->open = false;
	sse->dropping = false;
}

void sse_discard_pending(struct sse *sse)
{
	sse_begin_event(sse);
	sse->resumed = sse->has_id;
	sse->repeated = 0;
}

size_t sse_pending_bytes(const struct sse *sse)
{
	return sse->pending->len;
}

bool sse_is_within_event(const struct sse *sse)
{
	return sse->open || sse->dropping || sse->pending->len > 0;
}

bool sse_can_resume(const struct sse *sse)
{
	return sse->has_id && !sse->open;
}

/*
 * Stores the id that the line states. A part of an id would make the next endpoint resume the
 * stream at another event, so one that does not fit counts as none.
 */
static void sse_read_id(struct sse_event *event, const char *value, size_t len)
{
	char *id = g_strstrip(g_strndup(value, len));

	event->has_id = event->line_len <= SSE_LINE_MAX && id[0] != '\0' &&
			g_strlcpy(event->id, id, sizeof(event->id)) < sizeof(event->id);
	event->has_unusable_id = !event->has_id;
	g_free(id);
}

/* Returns whether the line, of len bytes, is the field of that name; value is what follows. */
static bool sse_is_field(const char *line, size_t len, const char *name, size_t *value)
{
	size_t n = strlen(name);

	if (len < n || memcmp(line, name, n) != 0 || (len > n && line[n] != ':'))
		return false;
	*value = MIN(n + 1, len);
	return true;
}

/* Reads the line that has just ended; returns whether it is empty, so that it ends the event. */
static bool sse_end_line(struct sse_event *event)
{
	size_t len = MIN(event->line_len, SSE_LINE_MAX);
	size_t value;

	if (event->line_len == 0 || (event->line_len == 1 && event->line[0] == '\r'))
		return true;
	if (event->line_len <= SSE_LINE_MAX && event->line[len - 1] == '\r')
		len--;
	if (sse_is_field(event->line, len, "id", &value))
		sse_read_id(event, event->line + value, len - value);
	else if (sse_is_field(event->line, len, "data", &value))
		event->has_data = true;
	event->line_len = 0;
	return false;
}

/* Adds a byte to the event; returns whether the event is complete with it. */
static bool sse_add_byte(struct sse_event *event, char c)
{
	if (c == '\n')
		return sse_end_line(event);
	if (event->line_len < SSE_LINE_MAX)
		event->line[event->line_len] = c;
	event->line_len++;
	return false;
}

/* The event is complete: a stream may be resumed after it, or not. */
static void sse_store_id(struct sse *sse)
{
	const struct sse_event *event = &sse->event;

	if (event->has_id)
		g_strlcpy(sse->last_id, event->id, sizeof(sse->last_id));
	if (event->has_id || event->has_unusable_id || event->has_data)
		sse->has_id = event->has_id;
}

/* Returns whether the event was passed on by the stream that this one resumes. */
static bool sse_is_repeated(const struct sse *sse)
{
	guint64 id;
	guint64 last_id;

	return sse->resumed && !sse->open && sse->event.has_id &&
	       g_ascii_string_to_unsigned(sse->event.id, 10, 0, G_MAXUINT64, &id, NULL) &&
	       g_ascii_string_to_unsigned(sse->last_id, 10, 0, G_MAXUINT64, &last_id, NULL) &&
	       id <= last_id;
}

/* Passes on what is kept of the event, or drops it if it was passed on before. */
static void sse_pass(struct sse *sse, bool ends_event, sse_event_fn fn, void *ctx)
{
	if (sse->dropping || sse_is_repeated(sse)) {
		sse->dropping = true;
		sse->repeated += sse->pending->len;
	} else {
		sse->open = !ends_event;
		if (ends_event)
			sse_store_id(sse);
		fn(ctx, sse->pending->str, sse->pending->len, ends_event);
	}
	g_string_truncate(sse->pending, 0);
}

void sse_feed(struct sse *sse, const char *data, size_t len, size_t event_max, sse_event_fn fn,
	      void *ctx)
{
	size_t start = 0;

	for (size_t i = 0; i < len; i++) {
		if (!sse_add_byte(&sse->event, data[i]))
			continue;
		g_string_append_len(sse->pending, data + start, (gssize)(i + 1 - start));
		start = i + 1;
		sse_pass(sse, true, fn, ctx);
		sse_begin_event(sse);
	}
	g_string_append_len(sse->pending, data + start, (gssize)(len - start));
	if (sse->pending->len > event_max || (sse->open && sse->pending->len > 0))
		sse_pass(sse, false, fn, ctx);
}
