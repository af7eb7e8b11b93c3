#include "base/hd_int.h"
#include "base/err.h"
#include "base/jl.h"
#include "base/met.h"

#include <ck_pr.h>
#include <microhttpd.h>
#include <string.h>
#include <sys/socket.h>

enum {
	HD_BLOCK_LEN = 4096,	 /* bytes of the send buffer of a response in parts; a part holds a
				    few tokens */
	HD_HEADER_SEPARATOR = 2, /* bytes behind a name or a value in a head */
	HD_HEAD_FIXED = 512	 /* bytes for the lines that the library adds to a head */
};

static ssize_t hd_on_read(void *ctx, uint64_t pos, char *buf, size_t max);
static void hd_resume(struct hd_call *call);

static void hd_log_failure(const struct hd_call *call, const char *event, const char *name)
{
	jl_begin(JL_UNLIMITED, event);
	jl_str("id", call->label);
	jl_str("method", call->method);
	jl_int("status", call->status);
	if (name)
		jl_str("header", name);
	jl_end();
}

/* Returns false, and says so, if the library does not take the header. */
static bool hd_add_header(const struct hd_call *call, struct MHD_Response *resp, const char *name,
			  const char *value)
{
	if (MHD_add_response_header(resp, name, value) == MHD_YES)
		return true;
	hd_log_failure(call, "answer_header_refused", name);
	met_add(met_counter("bg_answer_headers_refused_total", ""), 1);
	return false;
}

/* Returns false, and says so, if the library has no memory for the response. */
static bool hd_is_created(const struct hd_call *call, const struct MHD_Response *resp)
{
	if (resp)
		return true;
	hd_log_failure(call, "answer_not_created", NULL);
	met_add(met_counter("bg_answers_not_created_total", ""), 1);
	return false;
}

bool hd_leaves_room(const struct hd_call *call, size_t bytes)
{
	return hd_head_leaves(&call->head, bytes, call->fd, hd_conn(call->conn)->requests_bytes);
}

enum MHD_Result hd_queue_error(struct hd_call *call, int status, const char *body, const char *ran)
{
	struct MHD_Response *resp =
		MHD_create_response_from_buffer(strlen(body), (char *)body, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result;

	if (!hd_is_created(call, resp))
		return MHD_NO;
	hd_add_header(call, resp, "Content-Type", "application/json");
	hd_add_header(call, resp, "Bg-Ran", ran);
	call->status = status;
	call->queued = true;
	result = MHD_queue_response(call->conn, (unsigned int)status, resp);
	MHD_destroy_response(resp);
	return result;
}

bool hd_is_unframed(const struct hd_call *call)
{
	return call->is_http_1_0 && call->streaming && call->length == HD_LENGTH_UNKNOWN;
}

void hd_reset(const struct hd_call *call)
{
	const struct sockaddr none = {.sa_family = AF_UNSPEC};

	if (connect(call->fd, &none, sizeof(none)) < 0)
		met_add(met_counter("bg_resets_failed_total", ""), 1);
}

size_t hd_pending(const struct hd_call *call)
{
	return call->pending->len - call->pending_at;
}

void hd_drop_pending(struct hd_call *call)
{
	ck_pr_sub_64(&call->hd->unsent, hd_pending(call));
	g_string_free(call->pending, TRUE);
	call->pending = g_string_new(NULL);
	call->pending_at = 0;
}

/*
 * Copies unsent bytes of the response to buf. Those that were read are removed once they are the
 * greater part: removed one block at a time, a large response would be moved once for each block.
 */
size_t hd_take_pending(struct hd_call *call, char *buf, size_t max)
{
	size_t n = MIN(max, hd_pending(call));

	memcpy(buf, call->pending->str + call->pending_at, n);
	call->pending_at += n;
	call->sent += n;
	ck_pr_sub_64(&call->hd->unsent, n);
	if (call->pending_at * 2 >= call->pending->len) {
		g_string_erase(call->pending, 0, (gssize)call->pending_at);
		call->pending_at = 0;
	}
	return n;
}

void hd_notify_drained(struct hd_call *call)
{
	const struct hd_config *config = &call->hd->config;

	ck_pr_inc_uint(&call->refs);
	config->on_drained(config->ctx, call);
}

static ssize_t hd_on_read(void *ctx, uint64_t pos, char *buf, size_t max)
{
	struct hd_call *call = ctx;
	ssize_t n = 0;
	bool drained;

	(void)pos;
	pthread_mutex_lock(&call->lock);
	if (hd_pending(call) > 0) {
		n = (ssize_t)hd_take_pending(call, buf, max);
	} else if (call->aborted) {
		if (hd_is_unframed(call))
			hd_reset(call);
		n = MHD_CONTENT_READER_END_WITH_ERROR;
	} else if (call->ended) {
		n = MHD_CONTENT_READER_END_OF_STREAM;
	} else {
		call->suspended = true;
		MHD_suspend_connection(call->conn);
	}
	drained = call->watched && hd_pending(call) <= call->low;
	call->watched = call->watched && !drained;
	pthread_mutex_unlock(&call->lock);
	if (drained)
		hd_notify_drained(call);
	return n;
}

G_STATIC_ASSERT(HD_LENGTH_UNKNOWN == MHD_SIZE_UNKNOWN);

static size_t hd_head_size(const struct hd_call *call)
{
	size_t size = HD_HEAD_FIXED + (call->type ? strlen(call->type) : 0);

	for (guint i = 0; i < call->headers->len; i++)
		size += strlen(call->headers->pdata[i]) + HD_HEADER_SEPARATOR;
	return size;
}

/*
 * Sends an error in place of a response that the library does not take: it would close the
 * connection without a byte.
 */
static enum MHD_Result hd_replace_response(struct hd_call *call, const char *body)
{
	if (call->streaming)
		hd_drop_pending(call);
	call->streaming = false;
	call->incomplete = true;
	call->expected = HD_LENGTH_UNKNOWN;
	return hd_queue_error(call, MHD_HTTP_BAD_GATEWAY, body, "unknown");
}

static enum MHD_Result hd_replace_long_head(struct hd_call *call, size_t size)
{
	size_t room = hd_head_room(&call->head, call->fd, hd_conn(call->conn)->requests_bytes);

	jl_begin(JL_UNLIMITED, "answer_head_too_long");
	jl_str("id", call->label);
	jl_int("bytes", (int64_t)size);
	jl_int("room", (int64_t)room);
	jl_end();
	met_add(met_counter("bg_answer_heads_too_long_total", ""), 1);
	return hd_replace_response(call, "{\"error\":{\"code\":\"answer_head_too_long\"}}");
}

/* The library takes no status that has not three digits, and no header without a value. */
enum MHD_Result hd_replace_refused(struct hd_call *call)
{
	hd_log_failure(call, "answer_refused", NULL);
	met_add(met_counter("bg_answers_refused_total", ""), 1);
	return hd_replace_response(call, "{\"error\":{\"code\":\"answer_refused\"}}");
}

static struct MHD_Response *hd_create_response(struct hd_call *call)
{
	if (call->streaming)
		return MHD_create_response_from_callback(call->length, HD_BLOCK_LEN, hd_on_read,
							 call, NULL);
	return MHD_create_response_from_buffer(call->pending->len, call->pending->str,
					       MHD_RESPMEM_MUST_COPY);
}

/* A connection with a large block is closed, as the block would be kept with it. */
static bool hd_must_close(const struct hd_call *call)
{
	return ck_pr_load_uint(&call->hd->closing) || hd_conn(call->conn)->large;
}

bool hd_response_closes(struct hd_call *call)
{
	bool closes = hd_must_close(call);

	for (guint i = 0; i + 1 < call->headers->len; i += 2)
		closes |= g_ascii_strcasecmp(call->headers->pdata[i], "Connection") == 0;
	return closes;
}

/* Returns whether the library has taken all headers of the response. */
static bool hd_add_headers(const struct hd_call *call, struct MHD_Response *resp)
{
	bool taken = !call->type || hd_add_header(call, resp, "Content-Type", call->type);

	if (hd_must_close(call))
		taken &= hd_add_header(call, resp, "Connection", "close");
	for (guint i = 0; i + 1 < call->headers->len; i += 2)
		taken &= hd_add_header(call, resp, call->headers->pdata[i],
				       call->headers->pdata[i + 1]);
	return taken;
}

enum MHD_Result hd_queue_response(struct hd_call *call)
{
	size_t size = hd_head_size(call);
	struct MHD_Response *resp;
	bool taken;

	if (call->aborted && call->status == 0)
		return MHD_NO;
	if (!hd_leaves_room(call, size))
		return call->hd->config.any_head ? hd_direct_begin(call)
						 : hd_replace_long_head(call, size);
	resp = hd_create_response(call);
	if (!hd_is_created(call, resp))
		return hd_replace_refused(call);
	taken = hd_add_headers(call, resp);
	if (taken) {
		call->queued = true;
		taken = MHD_queue_response(call->conn, (unsigned int)call->status, resp) == MHD_YES;
	}
	MHD_destroy_response(resp);
	return taken ? MHD_YES : hd_replace_refused(call);
}

/* Makes the library poll a suspended connection again. Called with the lock held. */
static void hd_resume(struct hd_call *call)
{
	if (call->direct)
		hd_direct_resume(call);
	if (!call->suspended || call->closed)
		return;
	call->suspended = false;
	MHD_resume_connection(call->conn);
}

void hd_set_label(struct hd_call *call, const char *label)
{
	pthread_mutex_lock(&call->lock);
	g_free(call->label);
	call->label = g_strdup(label);
	pthread_mutex_unlock(&call->lock);
}

void hd_set_header(struct hd_call *call, const char *name, const char *value)
{
	pthread_mutex_lock(&call->lock);
	g_ptr_array_add(call->headers, g_strdup(name));
	g_ptr_array_add(call->headers, g_strdup(value));
	pthread_mutex_unlock(&call->lock);
}

void hd_reply(struct hd_call *call, int status, const char *type, const char *body, size_t len)
{
	pthread_mutex_lock(&call->lock);
	call->status = status;
	call->type = g_strdup(type);
	g_string_append_len(call->pending, body, (gssize)len);
	call->answered = true;
	call->ended = true;
	hd_resume(call);
	pthread_mutex_unlock(&call->lock);
}

void hd_set_length(struct hd_call *call, uint64_t len)
{
	pthread_mutex_lock(&call->lock);
	call->length = len;
	pthread_mutex_unlock(&call->lock);
}

void hd_reply_begin(struct hd_call *call, int status, const char *type)
{
	pthread_mutex_lock(&call->lock);
	call->status = status;
	call->type = g_strdup(type);
	call->streaming = true;
	call->answered = true;
	hd_resume(call);
	pthread_mutex_unlock(&call->lock);
}

static int hd_append(struct hd_call *call, const char *data, size_t len)
{
	size_t max = call->hd->config.pending_max;

	if (call->closed || call->incomplete || call->aborted)
		return BASE_ECLOSED;
	if (max > 0 && hd_pending(call) + len > max)
		return BASE_EFULL;
	g_string_append_len(call->pending, data, (gssize)len);
	ck_pr_add_64(&call->hd->unsent, len);
	return 0;
}

int hd_reply_write(struct hd_call *call, const char *data, size_t len)
{
	int err;

	pthread_mutex_lock(&call->lock);
	err = hd_append(call, data, len);
	if (err < 0)
		call->incomplete = true;
	hd_resume(call);
	pthread_mutex_unlock(&call->lock);
	return err;
}

size_t hd_unsent(struct hd_call *call)
{
	size_t n;

	pthread_mutex_lock(&call->lock);
	n = hd_pending(call);
	pthread_mutex_unlock(&call->lock);
	return n;
}

uint64_t hd_unsent_total(const struct hd *hd)
{
	return ck_pr_load_64(&hd->unsent);
}

bool hd_watch_unsent(struct hd_call *call, size_t low)
{
	bool watched;

	pthread_mutex_lock(&call->lock);
	watched = hd_pending(call) > low;
	call->low = low;
	call->watched = watched;
	pthread_mutex_unlock(&call->lock);
	return watched;
}

void hd_expect_length(struct hd_call *call, uint64_t len)
{
	pthread_mutex_lock(&call->lock);
	if (!call->incomplete)
		call->expected = len;
	pthread_mutex_unlock(&call->lock);
}

/* Returns whether the response body has the length that was stated, or none was. */
static bool hd_has_length(const struct hd_call *call, uint64_t stated)
{
	return stated == HD_LENGTH_UNKNOWN || stated == call->sent + hd_pending(call);
}

int hd_reply_end(struct hd_call *call)
{
	int err = 0;

	pthread_mutex_lock(&call->lock);
	if (call->incomplete || call->aborted || (call->closed && call->end != HD_END_WHOLE) ||
	    !hd_has_length(call, call->length) || !hd_has_length(call, call->expected)) {
		call->aborted = true;
		err = BASE_ECLOSED;
	} else {
		call->ended = true;
	}
	hd_resume(call);
	pthread_mutex_unlock(&call->lock);
	return err;
}

void hd_abort(struct hd_call *call)
{
	pthread_mutex_lock(&call->lock);
	call->aborted = true;
	call->answered = true;
	hd_resume(call);
	pthread_mutex_unlock(&call->lock);
}
