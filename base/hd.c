#include "base/hd_int.h"
#include "base/addr.h"
#include "base/err.h"
#include "base/jl.h"
#include "base/log.h"
#include "base/lsn.h"
#include "base/met.h"
#include "base/tcp_end.h"
#include "base/tmr.h"

#include <arpa/inet.h>
#include <ck_pr.h>
#include <errno.h>
#include <microhttpd.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	/*
	 * Bytes that the kernel takes of a response before those are sent. It would take up to
	 * 4 MB, and ask for more only when a third of them was read: the idle timeout would end
	 * connections of clients that read slowly but steadily.
	 */
	HD_NOT_SENT_MAX = 128 << 10,
	HD_CONNECTIONS_MAX = 16384 /* connections open at once */
};

static enum MHD_Result hd_on_request(void *ctx, struct MHD_Connection *conn, const char *url,
				     const char *method, const char *version, const char *data,
				     size_t *len, void **state);
static void hd_on_completed(void *ctx, struct MHD_Connection *conn, void **state,
			    enum MHD_RequestTerminationCode code);
static void *hd_on_target(void *ctx, const char *target, struct MHD_Connection *conn);
static struct hd_call *hd_call_new(struct hd *hd, struct MHD_Connection *conn, const char *target);
static void hd_call_begin(struct hd_call *call, const char *url, const char *method,
			  const char *version);

const char *hd_end_name(enum hd_end end)
{
	static const char *const names[HD_END_COUNT] = {
		[HD_END_WHOLE] = "whole",   [HD_END_ABORTED] = "aborted",
		[HD_END_CLIENT] = "client", [HD_END_TIMEOUT] = "timeout",
		[HD_END_ERROR] = "error",   [HD_END_SHUTDOWN] = "shutdown",
	};

	return names[end];
}

static enum MHD_Result hd_on_connection(void *ctx, const struct sockaddr *addr, socklen_t len)
{
	const struct hd *hd = ctx;

	(void)addr;
	(void)len;
	return hd->config.may_accept(hd->config.ctx) ? MHD_YES : MHD_NO;
}

struct conn *hd_conn(struct MHD_Connection *conn)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info ? info->socket_context : NULL;
}

int hd_fd(struct MHD_Connection *conn)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CONNECTION_FD);

	return info ? info->connect_fd : -1;
}

static void hd_on_notify(void *ctx, struct MHD_Connection *conn, void **state,
			 enum MHD_ConnectionNotificationCode code)
{
	struct hd *hd = ctx;

	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		*state = conns_claim(&hd->conns, hd_fd(conn));
		if (!*state)
			*state = conn_new(&hd->conns, hd_fd(conn));
	} else if (*state) {
		hd_any_on_closed(hd, *state);
		*state = NULL;
	}
}

static void hd_free(struct hd *hd)
{
	pthread_mutex_destroy(&hd->body_lock);
	conns_finish(&hd->conns);
	early_finish(&hd->early);
	g_free(hd->too_large);
	g_free(hd);
}

/* Says what a library that does not start lacks: it may be another version, or built otherwise. */
static void hd_log_not_started(size_t memory)
{
	log_msg(LOG_ERR, "http_library_not_started version=%s epoll=%s memory=%zu reason=\"%s\"",
		MHD_get_version(),
		MHD_is_feature_supported(MHD_FEATURE_EPOLL) == MHD_YES ? "yes" : "no", memory,
		strerror(errno));
}

struct MHD_Daemon *hd_start_library(struct hd *hd, unsigned int threads, size_t memory)
{
	const struct hd_config *config = &hd->config;
	unsigned int flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC;
	bool listens = hd->listen_fd >= 0 && !config->any_head;
	struct MHD_Daemon *daemon;

	if (!listens)
		flags |= MHD_USE_NO_LISTEN_SOCKET;
	daemon = MHD_start_daemon(
		flags, 0, listens && config->may_accept ? hd_on_connection : NULL, hd,
		hd_on_request, hd, MHD_OPTION_NOTIFY_COMPLETED, hd_on_completed, hd,
		MHD_OPTION_NOTIFY_CONNECTION, hd_on_notify, hd, MHD_OPTION_URI_LOG_CALLBACK,
		hd_on_target, hd, MHD_OPTION_THREAD_POOL_SIZE, threads > 1 ? threads : 0U,
		MHD_OPTION_CONNECTION_LIMIT, (unsigned int)HD_CONNECTIONS_MAX,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, memory,
		listens ? MHD_OPTION_LISTEN_SOCKET : MHD_OPTION_END, hd->listen_fd, MHD_OPTION_END);
	if (!daemon)
		hd_log_not_started(memory);
	return daemon;
}

/* Starts the library's servers. Returns whether all have started. */
static bool hd_start_all(struct hd *hd)
{
	hd->daemon = hd_start_library(hd, hd->config.threads, HD_CONNECTION_MEMORY);
	if (!hd->daemon)
		return false;
	if (!hd->config.any_head || hd_any_start(hd) == 0)
		return true;
	MHD_stop_daemon(hd->daemon);
	return false;
}

struct hd *hd_start(const struct hd_config *config)
{
	struct hd *hd = g_new0(struct hd, 1);

	hd->config = *config;
	hd->too_large = g_strdup(config->too_large ? config->too_large : "{}");
	conns_init(&hd->conns);
	conns_set_not_sent_max(&hd->conns, HD_NOT_SENT_MAX);
	early_init(&hd->early);
	pthread_mutex_init(&hd->body_lock, NULL);
	recent_init(&hd->body_max, config->body_max);
	recent_init(&hd->head_max, INTAKE_HEAD_MAX);
	hd->listen_fd = config->addr ? addr_listen(config->addr) : -1;
	if ((config->addr && hd->listen_fd < 0) || !hd_start_all(hd)) {
		if (hd->listen_fd >= 0)
			close(hd->listen_fd);
		hd_free(hd);
		return NULL;
	}
	return hd;
}

void hd_stop(struct hd *hd)
{
	if (hd->config.any_head)
		hd_any_stop(hd);
	MHD_stop_daemon(hd->daemon);
	if (hd->config.any_head)
		hd_any_finish(hd);
	hd_free(hd);
}

unsigned int hd_open_requests(const struct hd *hd)
{
	return ck_pr_load_uint(&hd->open_requests);
}

bool hd_add_connection(struct MHD_Daemon *daemon, int fd)
{
	/* Nothing here depends on the client's address, and one that has left has none. */
	const struct sockaddr_in none = {.sin_family = AF_INET};

	if (MHD_add_connection(daemon, fd, (const struct sockaddr *)&none, sizeof(none)) == MHD_YES)
		return true;
	met_add(met_counter("bg_http_adopt_failed_total", ""), 1);
	return false;
}

void hd_adopt(struct hd *hd, int fd)
{
	if (hd->config.any_head)
		intake_await(&hd->intake, conn_new(&hd->conns, fd));
	else if (!hd_add_connection(hd->daemon, fd))
		log_msg(LOG_WARNING, "connection_not_taken");
}

/* Called for a new request. The library passes the result to its other callbacks as the state. */
static void *hd_on_target(void *ctx, const char *target, struct MHD_Connection *conn)
{
	struct hd_call *call;

	if (!conn_on_request(hd_conn(conn)))
		return NULL;
	call = hd_call_new(ctx, conn, target);
	hd_hide_query(target);
	return call;
}

static struct hd_call *hd_call_new(struct hd *hd, struct MHD_Connection *conn, const char *target)
{
	struct hd_call *call = g_new0(struct hd_call, 1);
	struct sockaddr_in sin;
	socklen_t len = sizeof(sin);

	call->hd = hd;
	call->conn = conn;
	call->target = g_strdup(target);
	call->body = g_string_new(NULL);
	call->pending = g_string_new(NULL);
	call->headers = g_ptr_array_new_with_free_func(g_free);
	call->query_values = g_ptr_array_new_with_free_func(g_free);
	call->length = HD_LENGTH_UNKNOWN;
	call->expected = HD_LENGTH_UNKNOWN;
	call->refs = 1;
	pthread_mutex_init(&call->lock, NULL);
	ck_pr_inc_uint(&hd->open_requests);
	call->fd = hd_fd(conn);
	memset(&sin, 0, sizeof(sin));
	if (getsockname(call->fd, (struct sockaddr *)&sin, &len) == 0)
		call->port = ntohs(sin.sin_port);
	return call;
}

static void hd_call_begin(struct hd_call *call, const char *url, const char *method,
			  const char *version)
{
	unsigned int idle_s;

	call->began_us = tmr_now();
	call->idle_us = (int64_t)conns_limit_us(&call->hd->conns, call->began_us);
	idle_s = (unsigned int)(call->idle_us / TMR_US_PER_S);
	body_pace_init(&call->pace, call->began_us);
	call->headers_received = true;
	call->head.block = hd_conn(call->conn)->large ? HD_LARGE_MEMORY : HD_CONNECTION_MEMORY;
	hd_head_read(&call->head, call->conn);
	call->method = g_strdup(method);
	call->path = g_strdup(url);
	call->is_http_1_0 = strcmp(version, MHD_HTTP_VERSION_1_0) == 0;
	hd_any_on_begin(call);
	if (idle_s > 0)
		MHD_set_connection_option(call->conn, MHD_CONNECTION_OPTION_TIMEOUT, idle_s);
}

void hd_put_in_force(struct recent *limit, bool *was_set, size_t value, int64_t now_us)
{
	if (*was_set)
		recent_set(limit, value, now_us);
	else
		recent_init(limit, value);
	*was_set = true;
}

void hd_set_limits(struct hd *hd, size_t body_max, unsigned int idle_s)
{
	int64_t now_us = tmr_now();

	conns_set_limit(&hd->conns, (uint64_t)tmr_from_s(idle_s), now_us);
	pthread_mutex_lock(&hd->body_lock);
	hd_put_in_force(&hd->body_max, &hd->body_max_set, body_max, now_us);
	pthread_mutex_unlock(&hd->body_lock);
}

void hd_set_head_limit(struct hd *hd, int64_t head_us)
{
	conns_set_head_limit(&hd->conns, (uint64_t)MAX(head_us, 0), tmr_now());
}

/* Answers a connection on which the head of a request has taken too long. */
static void hd_reply_slow_head(void *ctx, const struct conn *conn)
{
	static const char body[] = "{\"error\":{\"code\":\"head_too_slow\"}}";
	const struct early_response response = {
		.status = MHD_HTTP_REQUEST_TIMEOUT,
		.type = "application/json",
		.body = body,
		.len = sizeof(body) - 1,
	};

	jl_begin(JL_INFO, "request_head_slow");
	jl_int("since_ms", (tmr_now() - conn->since_us) / TMR_US_PER_MS);
	jl_end();
	met_add(met_counter("bg_request_heads_slow_total", ""), 1);
	hd_reply_early(ctx, conn->fd, &response);
}

void hd_close_idle(struct hd *hd, int64_t now_us)
{
	conns_close_idle(&hd->conns, now_us);
	conns_close_slow_heads(&hd->conns, now_us, hd_reply_slow_head, hd);
	early_on_sweep(&hd->early, now_us);
}

void hd_close_all_idle(struct hd *hd)
{
	conns_close_all_idle(&hd->conns);
}

void hd_set_connection_close(struct hd *hd)
{
	ck_pr_store_uint(&hd->closing, 1);
}

void hd_release_responses(struct hd *hd)
{
	conns_set_not_sent_max(&hd->conns, 0);
}

void hd_refuse(struct hd *hd)
{
	if (lsn_refuse(hd->listen_fd) < 0)
		log_msg(LOG_WARNING, "connections_not_refused reason=\"%s\"", strerror(errno));
}

void hd_unref(struct hd_call *call)
{
	if (ck_pr_faa_uint(&call->refs, (unsigned int)-1) != 1)
		return;
	hd_drop_body(call);
	pthread_mutex_destroy(&call->lock);
	g_ptr_array_free(call->headers, TRUE);
	g_ptr_array_free(call->query_values, TRUE);
	g_string_free(call->pending, TRUE);
	if (call->wire)
		g_string_free(call->wire, TRUE);
	g_string_free(call->body, TRUE);
	g_free(call->method);
	g_free(call->path);
	g_free(call->target);
	g_free(call->type);
	g_free(call->label);
	g_free(call);
}

static enum MHD_Result hd_reply_too_large(struct hd_call *call)
{
	return hd_queue_error(call, MHD_HTTP_CONTENT_TOO_LARGE, call->hd->too_large, "no");
}

/*
 * Returns whether the body has a transfer coding that the library does not know. It would read the
 * body until the connection ends, and a client that waits for its answer does not end it.
 */
static bool hd_has_unknown_coding(struct hd_call *call)
{
	const char *coding = hd_header(call, MHD_HTTP_HEADER_TRANSFER_ENCODING);

	return coding && g_ascii_strcasecmp(coding, "chunked") != 0;
}

static enum MHD_Result hd_reply_unknown_coding(struct hd_call *call)
{
	return hd_queue_error(call, MHD_HTTP_NOT_IMPLEMENTED,
			      "{\"error\":{\"code\":\"unknown_transfer_coding\"}}", "no");
}

/* Refuses a request that leaves too little memory for its body and the head of its response. */
static enum MHD_Result hd_refuse_head(struct hd_call *call)
{
	enum MHD_Result result = hd_refuse_call(call, HD_REFUSED_HEAD);

	jl_begin(JL_INFO, "request_head_refused");
	jl_str("id", call->label);
	jl_int("bytes", (int64_t)call->head.bytes);
	jl_int("fields", call->head.fields);
	jl_end();
	met_add(met_counter("bg_request_heads_refused_total", ""), 1);
	return result;
}

/* Decides on a request whose head has been received. */
static enum MHD_Result hd_on_head(struct hd_call *call)
{
	if (hd_any_is_over(call) || !hd_leaves_room(call, HD_RESPONSE_ROOM_MIN))
		return hd_refuse_head(call);
	if (hd_has_unknown_coding(call))
		return hd_reply_unknown_coding(call);
	return hd_admit_body(call);
}

static enum MHD_Result hd_on_request(void *ctx, struct MHD_Connection *conn, const char *url,
				     const char *method, const char *version, const char *data,
				     size_t *len, void **state)
{
	struct hd *hd = ctx;
	struct hd_call *call = *state;
	enum MHD_Result result = MHD_YES;

	if (!call)
		return MHD_NO;
	if (!call->headers_received) {
		if (!conn_on_head(hd_conn(conn)))
			return MHD_NO;
		hd_call_begin(call, url, method, version);
		return hd_on_head(call);
	}
	if (*len > 0) {
		call->head.body_bytes += *len;
		hd_any_on_body(call, *len);
		result = hd_on_body(call, data, *len);
		*len = 0;
		return result;
	}
	if (call->too_large)
		return hd_reply_too_large(call);
	if (!call->handler_called) {
		hd_head_read_trailers(&call->head, conn);
		if (!hd_leaves_room(call, HD_RESPONSE_ROOM_MIN))
			return hd_refuse_head(call);
		call->handler_called = true;
		ck_pr_inc_uint(&call->refs);
		hd->config.handler(hd->config.ctx, call);
	}
	pthread_mutex_lock(&call->lock);
	if (call->direct_ended) {
		result = MHD_NO;
	} else if (call->answered && !call->queued) {
		result = hd_queue_response(call);
	} else if (!call->queued) {
		call->suspended = true;
		MHD_suspend_connection(conn);
	}
	pthread_mutex_unlock(&call->lock);
	return result;
}

/* The library reports a failed send as it reports failures of its own, so the socket is asked. */
static enum hd_end hd_end_of(const struct hd_call *call, enum MHD_RequestTerminationCode code)
{
	if (call->client_closed)
		return HD_END_CLIENT;
	if (call->aborted)
		return HD_END_ABORTED;
	if (call->early_failed)
		return HD_END_ERROR;
	if (!call->headers_received && conn_is_given_up(hd_conn(call->conn)))
		return HD_END_TIMEOUT;
	if (call->refused)
		return call->why == HD_REFUSED_SLOW ? HD_END_TIMEOUT : HD_END_WHOLE;
	if (call->direct_whole)
		return HD_END_WHOLE;
	if (call->direct_timed_out)
		return HD_END_TIMEOUT;
	switch (code) {
	case MHD_REQUEST_TERMINATED_COMPLETED_OK:
		return HD_END_WHOLE;
	case MHD_REQUEST_TERMINATED_TIMEOUT_REACHED:
		return HD_END_TIMEOUT;
	case MHD_REQUEST_TERMINATED_DAEMON_SHUTDOWN:
		return HD_END_SHUTDOWN;
	case MHD_REQUEST_TERMINATED_READ_ERROR:
	case MHD_REQUEST_TERMINATED_CLIENT_ABORT:
		return HD_END_CLIENT;
	case MHD_REQUEST_TERMINATED_WITH_ERROR:
		break;
	}
	return tcp_peer_has_closed(call->fd) ? HD_END_CLIENT : HD_END_ERROR;
}

static void hd_report_end(struct hd *hd, const struct hd_call *call)
{
	struct hd_outcome outcome = {
		.end = call->end,
		.received = call->handler_called,
		.begun = call->queued,
		.status = call->status,
		.sent = call->sent,
		.unsent = call->streaming ? hd_pending(call) : 0,
		.expected = call->expected,
	};

	if (hd->config.on_end)
		hd->config.on_end(hd->config.ctx, call->label, &outcome);
}

/* From here to the next request, conns_close_idle() closes the connection if need be. */
static void hd_on_answered(struct hd_call *call)
{
	struct conn *conn = hd_conn(call->conn);

	conn->requests_bytes += call->head.bytes + call->head.body_bytes;
	conn_on_answered(conn, tmr_now());
	MHD_set_connection_option(call->conn, MHD_CONNECTION_OPTION_TIMEOUT, 0U);
	if (call->hd->config.any_head)
		hd_any_on_answered(call);
}

static void hd_on_completed(void *ctx, struct MHD_Connection *conn, void **state,
			    enum MHD_RequestTerminationCode code)
{
	struct hd_call *call = *state;

	if (!call)
		return;
	(void)conn;
	pthread_mutex_lock(&call->lock);
	call->closed = true;
	call->end = hd_end_of(call, code);
	if (call->end == HD_END_TIMEOUT && hd_is_unframed(call))
		hd_reset(call);
	hd_report_end(ctx, call);
	if (call->streaming)
		hd_drop_pending(call);
	pthread_mutex_unlock(&call->lock);
	*state = NULL;
	if (code == MHD_REQUEST_TERMINATED_COMPLETED_OK)
		hd_on_answered(call);
	ck_pr_dec_uint(&call->hd->open_requests);
	hd_unref(call);
}

/*
 * The library doesn't poll the socket of a suspended connection, so a client that disconnects would
 * keep its endpoint busy until the next token. This checks the socket without consuming data.
 */
bool hd_client_closed(struct hd_call *call)
{
	bool gone;

	pthread_mutex_lock(&call->lock);
	gone = call->closed && call->end != HD_END_WHOLE;
	if (!call->closed && call->fd >= 0)
		gone = tcp_peer_has_closed(call->fd);
	call->client_closed |= gone;
	pthread_mutex_unlock(&call->lock);
	return gone;
}

bool hd_has_timed_out(struct hd_call *call)
{
	bool timed_out;

	pthread_mutex_lock(&call->lock);
	timed_out = call->closed && call->end == HD_END_TIMEOUT;
	pthread_mutex_unlock(&call->lock);
	return timed_out;
}
