#include "base/hd_int.h"
#include "base/fld.h"
#include "base/jl.h"
#include "base/met.h"
#include "base/tmr.h"

#include <ck_pr.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>

/*
 * Responses that the HTTP library has no memory for, as their heads are longer than what their
 * requests leave. They are written to the socket while the library doesn't poll the connection,
 * which is closed behind them.
 */

enum {
	HD_DIRECT_BLOCK = 16384,     /* bytes of a body that are taken at a time */
	HD_DIRECT_TURN_MAX = 262144, /* bytes of one connection that are sent at a time */
	HD_DIRECT_CHECK_US = 500000, /* between two looks at whether the client reads */
	HD_STATUS_MIN = 200,
	HD_STATUS_MAX = 999
};

static void hd_direct_on_timer(void *ctx, int64_t now_us);

static bool hd_direct_has_body(const struct hd_call *call)
{
	return strcmp(call->method, "HEAD") != 0 && call->status != MHD_HTTP_NO_CONTENT &&
	       call->status != MHD_HTTP_NOT_MODIFIED;
}

static bool hd_direct_is_chunked(const struct hd_call *call)
{
	return call->length == HD_LENGTH_UNKNOWN && !call->is_http_1_0;
}

static void hd_direct_add_length(struct hd_call *call)
{
	if (hd_direct_is_chunked(call))
		g_string_append(call->wire, "Transfer-Encoding: chunked\r\n");
	else if (call->length != HD_LENGTH_UNKNOWN)
		g_string_append_printf(call->wire, "Content-Length: %" G_GUINT64_FORMAT "\r\n",
				       call->length);
}

/* Returns whether the header can be sent. */
static bool hd_direct_add_header(struct hd_call *call, const char *name, const char *value)
{
	if (!fld_can_send(name, value))
		return false;
	g_string_append_printf(call->wire, "%s: %s\r\n", name, value);
	return true;
}

/* Writes the head to call->wire. Returns false if a part of it can't be sent. */
static bool hd_direct_add_head(struct hd_call *call)
{
	bool sendable = call->status >= HD_STATUS_MIN && call->status <= HD_STATUS_MAX;

	g_string_append_printf(call->wire, "HTTP/1.1 %d %s\r\nConnection: close\r\n", call->status,
			       MHD_get_reason_phrase_for((unsigned int)call->status));
	if (call->type)
		sendable &= hd_direct_add_header(call, MHD_HTTP_HEADER_CONTENT_TYPE, call->type);
	for (guint i = 0; i + 1 < call->headers->len; i += 2)
		sendable &= hd_direct_add_header(call, call->headers->pdata[i],
						 call->headers->pdata[i + 1]);
	hd_direct_add_length(call);
	g_string_append(call->wire, "\r\n");
	return sendable;
}

/* Makes a whole response one in parts. */
static void hd_direct_split(struct hd_call *call)
{
	if (call->streaming)
		return;
	call->streaming = true;
	call->length = call->pending->len;
	ck_pr_add_64(&call->hd->unsent, call->pending->len);
}

enum MHD_Result hd_direct_begin(struct hd_call *call)
{
	struct conn *conn = hd_conn(call->conn);

	hd_direct_split(call);
	call->wire = g_string_new(NULL);
	if (!hd_direct_add_head(call))
		return hd_replace_refused(call);
	met_add(met_counter("bg_answers_direct_total", ""), 1);
	call->queued = true;
	call->direct = true;
	call->direct_us = tmr_now();
	ck_pr_inc_uint(&call->refs);
	conn->library = call->conn;
	conn->direct = call;
	MHD_suspend_connection(call->conn);
	intake_await_writable(&call->hd->intake, conn);
	return MHD_YES;
}

void hd_direct_resume(struct hd_call *call)
{
	intake_await_writable(&call->hd->intake, hd_conn(call->conn));
}

/* Moves the next part of the body to call->wire. */
static void hd_direct_take(struct hd_call *call)
{
	char block[HD_DIRECT_BLOCK];
	size_t n = hd_take_pending(call, block, sizeof(block));

	g_string_truncate(call->wire, 0);
	call->wire_at = 0;
	if (!hd_direct_has_body(call))
		return;
	if (hd_direct_is_chunked(call))
		g_string_append_printf(call->wire, "%zx\r\n", n);
	g_string_append_len(call->wire, block, (gssize)n);
	if (hd_direct_is_chunked(call))
		g_string_append(call->wire, "\r\n");
}

/* All that is there was sent. Returns whether the response is over. */
static bool hd_direct_on_sent(struct hd_call *call)
{
	if (call->aborted) {
		if (hd_is_unframed(call))
			hd_reset(call);
		return true;
	}
	call->direct_whole = call->ended;
	return call->ended;
}

/* Adds the last chunk, once. Returns whether it did. */
static bool hd_direct_add_end(struct hd_call *call)
{
	if (!call->ended || call->aborted || call->direct_last || !hd_direct_is_chunked(call) ||
	    !hd_direct_has_body(call))
		return false;
	call->direct_last = true;
	g_string_assign(call->wire, "0\r\n\r\n");
	call->wire_at = 0;
	return true;
}

/* Returns whether there is something to send. */
static bool hd_direct_fill(struct hd_call *call)
{
	while (call->wire_at == call->wire->len) {
		if (hd_pending(call) > 0)
			hd_direct_take(call);
		else
			return hd_direct_add_end(call);
	}
	return true;
}

/* Returns whether the response is over; *waits: the kernel takes no more for now. */
static bool hd_direct_send(struct hd_call *call, bool *waits)
{
	size_t total = 0;

	*waits = false;
	while (hd_direct_fill(call)) {
		ssize_t n = send(call->fd, call->wire->str + call->wire_at,
				 call->wire->len - call->wire_at, MSG_NOSIGNAL | MSG_DONTWAIT);

		if (n < 0 && errno != EAGAIN && errno != EINTR) {
			call->client_closed = true;
			return true;
		}
		if (n > 0) {
			call->wire_at += (size_t)n;
			total += (size_t)n;
			call->direct_us = tmr_now();
		}
		*waits = n < 0 || total >= HD_DIRECT_TURN_MAX;
		if (*waits)
			return false;
	}
	return hd_direct_on_sent(call);
}

/* Has the library close the connection. Called with the lock held, in the intake's thread. */
static void hd_direct_end(struct hd_call *call, struct conn *conn)
{
	struct loop *loop = &call->hd->intake.loop;

	call->direct = false;
	call->direct_ended = true;
	conn->direct = NULL;
	tmr_cancel(&loop->tmr, &call->direct_timer);
	loop_fd_del(loop, &conn->lfd);
	conn->watched = false;
	MHD_resume_connection(call->conn);
}

static void hd_direct_start_timer(struct hd_call *call)
{
	if (call->idle_us > 0)
		loop_start_timer(&call->hd->intake.loop, &call->direct_timer, HD_DIRECT_CHECK_US,
				 hd_direct_on_timer, call);
}

/* Ends a response whose client has read nothing for the idle timeout. */
static void hd_direct_on_timer(void *ctx, int64_t now_us)
{
	struct hd_call *call = ctx;
	bool is_due;

	pthread_mutex_lock(&call->lock);
	is_due = call->wire_at < call->wire->len && call->direct_us + call->idle_us <= now_us;
	call->direct_timed_out = is_due;
	if (is_due)
		hd_direct_end(call, hd_conn(call->conn));
	else
		hd_direct_start_timer(call);
	pthread_mutex_unlock(&call->lock);
	if (is_due)
		hd_unref(call);
}

void hd_direct_on_writable(void *ctx, struct conn *conn)
{
	struct hd *hd = ctx;
	struct hd_call *call = conn->direct;
	bool waits;
	bool over;
	bool drained;

	pthread_mutex_lock(&call->lock);
	over = hd_direct_send(call, &waits);
	drained = call->watched && hd_pending(call) <= call->low;
	call->watched = call->watched && !drained;
	if (over)
		hd_direct_end(call, conn);
	else if (waits)
		intake_await_writable(&hd->intake, conn);
	if (!over && !tmr_is_set(&call->direct_timer))
		hd_direct_start_timer(call);
	pthread_mutex_unlock(&call->lock);
	if (drained)
		hd_notify_drained(call);
	if (over)
		hd_unref(call);
}
