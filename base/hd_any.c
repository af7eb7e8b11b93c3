#include "base/hd_int.h"
#include "base/err.h"
#include "base/jl.h"
#include "base/log.h"
#include "base/met.h"
#include "base/tcp_read.h"
#include "base/tmr.h"

#include <ck_pr.h>
#include <errno.h>
#include <fcntl.h>
#include <string.h>

/*
 * Heads of any shape. The intake holds each connection until a head has come. If the head is a
 * usual one, the connection goes (back) to the server with small blocks; if not, to the server with
 * large ones, which closes it after its response. A kept connection stays with the first server
 * meanwhile, suspended, so that both have a descriptor of the same socket.
 */

enum {
	HD_LARGE_RETRY_S = 1, /* seconds after which a refused client may try again */
	HD_CHUNK_FRAMING = 4, /* bytes around the data of a chunk, beside the digits of its size */
	HD_LAST_CHUNK = 5,    /* bytes of the last chunk without trailers */
	HD_BITS_PER_DIGIT = 4
};

static size_t hd_head_max(struct hd *hd)
{
	size_t max;

	pthread_mutex_lock(&hd->body_lock);
	max = recent_largest(&hd->head_max, tmr_now() - CONNS_LIMIT_DELAY_US);
	pthread_mutex_unlock(&hd->body_lock);
	return MIN(max, INTAKE_HEAD_MAX);
}

void hd_set_head_max(struct hd *hd, size_t bytes)
{
	pthread_mutex_lock(&hd->body_lock);
	hd_put_in_force(&hd->head_max, &hd->head_max_set, bytes, tmr_now());
	pthread_mutex_unlock(&hd->body_lock);
}

bool hd_any_is_over(const struct hd_call *call)
{
	return call->hd->config.any_head && call->head.bytes > 2 * hd_head_max(call->hd);
}

static bool hd_is_size_over(struct hd *hd, const struct hd_size *size)
{
	size_t max = hd_head_max(hd);

	return size->line_bytes > max || size->bytes - size->line_bytes > max;
}

/* Hands a connection to the server with small blocks. */
static void hd_pass(struct hd *hd, struct conn *conn)
{
	if (conn->library) {
		MHD_resume_connection(conn->library);
		return;
	}
	if (!conn_offer(conn))
		conn_drop(conn);
	else if (!hd_add_connection(hd->daemon, conn->fd))
		conn_forget(conn);
}

/* Answers a request whose head is not read, and ends the connection. */
static void hd_refuse_unread(struct hd *hd, struct conn *conn,
			     const struct early_response *response)
{
	hd_reply_early(hd, conn->fd, response);
	if (!conn->library) {
		conn_drop(conn);
		return;
	}
	conn_refuse(conn);
	MHD_resume_connection(conn->library);
}

static void hd_log_refused(const char *event, const struct hd_size *size)
{
	jl_begin(JL_INFO, event);
	jl_int("bytes", (int64_t)size->bytes);
	jl_int("fields", (int64_t)size->fields);
	jl_end();
}

static void hd_refuse_over(struct hd *hd, struct conn *conn, const struct hd_size *size)
{
	static const char body[] = "{\"error\":{\"code\":\"head_too_large\"}}";
	const struct early_response response = {
		.status = MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE,
		.type = "application/json",
		.body = body,
		.len = sizeof(body) - 1,
	};

	hd_log_refused("request_head_refused", size);
	met_add(met_counter("bg_request_heads_refused_total", ""), 1);
	hd_refuse_unread(hd, conn, &response);
}

/* No large block is free. The request is not read, so its client may send it again. */
static void hd_refuse_busy(struct hd *hd, struct conn *conn, const struct hd_size *size)
{
	static const char body[] = "{\"error\":{\"code\":\"too_many_large_heads\"}}";
	GPtrArray *headers = g_ptr_array_new_with_free_func(g_free);
	const struct early_response response = {
		.status = MHD_HTTP_SERVICE_UNAVAILABLE,
		.type = "application/json",
		.headers = headers,
		.body = body,
		.len = sizeof(body) - 1,
	};

	g_ptr_array_add(headers, g_strdup(MHD_HTTP_HEADER_RETRY_AFTER));
	g_ptr_array_add(headers, g_strdup_printf("%d", HD_LARGE_RETRY_S));
	hd_log_refused("request_head_busy", size);
	met_add(met_counter("bg_request_heads_busy_total", ""), 1);
	hd_refuse_unread(hd, conn, &response);
	g_ptr_array_free(headers, TRUE);
}

/* The server with large blocks has no more to do with the connection. */
static void hd_release_large(struct hd *hd, struct conn *replaced)
{
	ck_pr_dec_uint(&hd->large_open);
	if (!replaced)
		return;
	conn_refuse(replaced);
	MHD_resume_connection(replaced->library);
}

/* Returns a connection to the same socket, or NULL if there is no descriptor for it. */
static struct conn *hd_second_conn(struct hd *hd, const struct conn *conn)
{
	int fd = fcntl(conn->fd, F_DUPFD_CLOEXEC, 0);
	struct conn *by;

	if (fd < 0)
		return NULL;
	by = conn_new(&hd->conns, fd);
	by->requests_bytes = conn->requests_bytes;
	return by;
}

/* Hands a connection to the server with large blocks, which has a place for it. */
static void hd_add_large(struct hd *hd, struct conn *by)
{
	struct conn *replaced = by->replaced;

	by->large = true;
	if (!conn_offer(by))
		conn_drop(by);
	else if (!hd_add_connection(hd->large, by->fd))
		conn_forget(by);
	else
		return;
	hd_release_large(hd, replaced);
}

/* The same for a connection that the server with small blocks keeps. Returns false if it can't. */
static bool hd_add_kept_large(struct hd *hd, struct conn *conn)
{
	struct conn *by = hd_second_conn(hd, conn);

	if (!by)
		return false;
	if (conn_replace(conn, by)) {
		hd_add_large(hd, by);
		return true;
	}
	/* It was closed meanwhile. */
	conn_drop(by);
	ck_pr_dec_uint(&hd->large_open);
	MHD_resume_connection(conn->library);
	return true;
}

/* Returns whether the server with large blocks has taken the connection. */
static bool hd_try_large(struct hd *hd, struct conn *conn)
{
	if (ck_pr_faa_uint(&hd->large_open, 1) >= HD_LARGE_MAX) {
		ck_pr_dec_uint(&hd->large_open);
		return false;
	}
	if (!conn->library) {
		hd_add_large(hd, conn);
		return true;
	}
	if (hd_add_kept_large(hd, conn))
		return true;
	ck_pr_dec_uint(&hd->large_open);
	return false;
}

/* A head that is no usual one, or not whole. */
static void hd_pass_large(struct hd *hd, struct conn *conn, const struct hd_size *size)
{
	if (hd_try_large(hd, conn))
		met_add(met_counter("bg_request_heads_large_total", ""), 1);
	else if (size->whole)
		hd_refuse_busy(hd, conn, size);
	else
		hd_pass(hd, conn);
}

static void hd_on_head_come(void *ctx, struct conn *conn, const struct hd_size *size)
{
	struct hd *hd = ctx;

	conn->awaiting = false;
	if (hd_is_size_over(hd, size))
		hd_refuse_over(hd, conn, size);
	else if (size->whole && hd_head_is_usual(size))
		hd_pass(hd, conn);
	else
		hd_pass_large(hd, conn, size);
}

static void hd_on_client_end(void *ctx, struct conn *conn)
{
	(void)ctx;
	conn->awaiting = false;
	if (conn->library)
		MHD_resume_connection(conn->library);
	else
		conn_drop(conn);
}

int hd_any_start(struct hd *hd)
{
	const struct intake_config config = {
		.listen_fd = hd->listen_fd,
		.may_accept = hd->config.may_accept,
		.may_accept_ctx = hd->config.ctx,
		.on_head = hd_on_head_come,
		.on_end = hd_on_client_end,
		.on_writable = hd_direct_on_writable,
		.ctx = hd,
	};

	hd->large = hd_start_library(hd, 1, HD_LARGE_MEMORY);
	if (!hd->large)
		return BASE_ESYS;
	if (intake_start(&hd->intake, &hd->conns, &config) == 0)
		return 0;
	MHD_stop_daemon(hd->large);
	return BASE_ESYS;
}

/* The library ends the process if it is stopped while a connection is suspended. */
static void hd_resume_all(struct hd *hd)
{
	pthread_mutex_lock(&hd->body_lock);
	pthread_mutex_lock(&hd->conns.lock);
	hd->stopping = true;
	for (GList *link = hd->conns.all.head; link; link = link->next) {
		const struct conn *conn = link->data;

		if (conn->awaiting || conn->direct)
			MHD_resume_connection(conn->library);
	}
	pthread_mutex_unlock(&hd->conns.lock);
	pthread_mutex_unlock(&hd->body_lock);
}

void hd_any_stop(struct hd *hd)
{
	intake_stop(&hd->intake);
	hd_resume_all(hd);
	MHD_stop_daemon(hd->large);
}

void hd_any_finish(struct hd *hd)
{
	struct conn *conn;

	while ((conn = g_queue_peek_head(&hd->conns.all)))
		conn_drop(conn);
}

void hd_any_on_begin(struct hd_call *call)
{
	const char *connection = hd_header(call, MHD_HTTP_HEADER_CONNECTION);
	char *lower = connection ? g_ascii_strdown(connection, -1) : NULL;

	call->says_close = lower && strstr(lower, "close");
	call->is_chunked = hd_header(call, MHD_HTTP_HEADER_TRANSFER_ENCODING) != NULL;
	call->framing = call->is_chunked ? HD_LAST_CHUNK : 0;
	g_free(lower);
}

void hd_any_on_body(struct hd_call *call, size_t len)
{
	if (!call->is_chunked)
		return;
	call->framing += HD_CHUNK_FRAMING + 1;
	for (size_t rest = len >> HD_BITS_PER_DIGIT; rest > 0; rest >>= HD_BITS_PER_DIGIT)
		call->framing++;
}

/*
 * Without the kernel's counts the next head is read unmeasured, and refused if a usual block has no
 * room for it.
 */
static void hd_count_unknown(void)
{
	struct met_ctr *ctr = met_counter("bg_read_counts_unknown_total", "");

	if (met_get(ctr) == 0)
		log_msg(LOG_WARNING, "read_counts_unknown reason=\"%s\"", strerror(errno));
	met_add(ctr, 1);
}

/*
 * Returns whether the library has read nothing behind the request, whose framing is known only as
 * far as it can reach. If it has, it must go on: it would wait for the rest otherwise.
 */
static bool hd_has_read_all(const struct hd_call *call, struct conn *conn)
{
	uint64_t least = conn->requests_bytes;
	uint64_t read;

	if (!tcp_read_bytes_exactly(conn->fd, &read)) {
		hd_count_unknown();
		return false;
	}
	if (read < least)
		return false;
	if (read > least + call->framing)
		return false;
	conn->requests_bytes = read;
	return true;
}

/* Returns whether the library keeps the connection and waits for its next request. */
static bool hd_may_await(struct hd_call *call)
{
	if (call->hd->stopping || call->is_http_1_0 || call->says_close || hd_response_closes(call))
		return false;
	return hd_has_read_all(call, hd_conn(call->conn));
}

void hd_any_on_answered(struct hd_call *call)
{
	struct hd *hd = call->hd;
	struct conn *conn = hd_conn(call->conn);
	bool awaits;

	pthread_mutex_lock(&hd->body_lock);
	awaits = hd_may_await(call);
	if (awaits) {
		conn->library = call->conn;
		conn->awaiting = true;
		MHD_suspend_connection(call->conn);
	}
	pthread_mutex_unlock(&hd->body_lock);
	if (awaits)
		intake_await(&hd->intake, conn);
}

void hd_any_on_closed(struct hd *hd, struct conn *conn)
{
	struct conn *replaced = conn->replaced;
	bool large = conn->large;

	conn_free(conn);
	if (large)
		hd_release_large(hd, replaced);
}
