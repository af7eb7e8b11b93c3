#include "base/hc_int.h"
#include "base/addr.h"
#include "base/log.h"
#include "base/met.h"
#include "base/tcp_end.h"
#include "base/tcp_read.h"

#include <sys/epoll.h>
#include <sys/socket.h>

enum {
	HC_IDLE_CONNS_MAX = 1024, /* idle connections that are kept for reuse */
	HC_RECEIVE_BUFFER = 4096, /* bytes; small, because a stream sends one token at a time */
	HC_SEND_BUFFER = 16384,	  /* bytes of the upload buffer of a request */
	HC_READS_PER_CHECK = 16,  /* reads that bring something between two looks at their bytes */
	USEC_PER_MSEC = 1000	  /* microseconds in a millisecond */
};

static int hc_on_socket(CURL *easy, curl_socket_t fd, int what, void *ctx, void *sock);
static int hc_on_timer(CURLM *multi, long timeout_ms, void *ctx);
static void hc_on_event(void *ctx, uint32_t events);
static void hc_on_timeout(void *ctx, int64_t now_us);
static void hc_on_deferred(void *ctx, int64_t now_us);
static void hc_finish_done_calls(struct hc *hc);
static struct hc_call *hc_call_of(CURL *easy);
static void hc_attach(struct hc_sock *s, struct hc_call *call);

struct hc *hc_new(struct loop *loop)
{
	struct hc *hc = g_new0(struct hc, 1);

	hc->loop = loop;
	hc->multi = curl_multi_init();
	curl_multi_setopt(hc->multi, CURLMOPT_SOCKETFUNCTION, hc_on_socket);
	curl_multi_setopt(hc->multi, CURLMOPT_SOCKETDATA, hc);
	curl_multi_setopt(hc->multi, CURLMOPT_TIMERFUNCTION, hc_on_timer);
	curl_multi_setopt(hc->multi, CURLMOPT_TIMERDATA, hc);
	curl_multi_setopt(hc->multi, CURLMOPT_MAXCONNECTS, (long)HC_IDLE_CONNS_MAX);
	hc->deferred = g_ptr_array_new();
	hc->canceled = g_ptr_array_new();
	hc->resumed = g_ptr_array_new();
	hc->failed = g_ptr_array_new();
	return hc;
}

void hc_set_source(struct hc *hc, const char *addr)
{
	const char *colon = strrchr(addr, ':');

	g_clear_pointer(&hc->source, g_free);
	if (colon)
		hc->source = g_strdup_printf("host!%.*s", (int)(colon - addr), addr);
}

void hc_free(struct hc *hc)
{
	tmr_cancel(&hc->loop->tmr, &hc->timer);
	tmr_cancel(&hc->loop->tmr, &hc->deferred_timer);
	g_ptr_array_unref(hc->deferred);
	g_ptr_array_unref(hc->canceled);
	g_ptr_array_unref(hc->resumed);
	g_ptr_array_unref(hc->failed);
	curl_multi_cleanup(hc->multi);
	g_free(hc->source);
	g_free(hc);
}

static int hc_on_timer(CURLM *multi, long timeout_ms, void *ctx)
{
	struct hc *hc = ctx;

	(void)multi;
	if (timeout_ms < 0)
		tmr_cancel(&hc->loop->tmr, &hc->timer);
	else
		loop_start_timer(hc->loop, &hc->timer, timeout_ms * USEC_PER_MSEC, hc_on_timeout,
				 hc);
	return 0;
}

static void hc_on_timeout(void *ctx, int64_t now_us)
{
	struct hc *hc = ctx;
	int running;

	(void)now_us;
	curl_multi_socket_action(hc->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	hc_finish_done_calls(hc);
}

/* Notes which request the socket serves; NULL: none. */
static void hc_attach(struct hc_sock *s, struct hc_call *call)
{
	if (s->call)
		s->call->sock = NULL;
	if (call && call->sock)
		call->sock->call = NULL;
	s->call = call;
	if (call)
		call->sock = s;
}

static struct hc_call *hc_call_of(CURL *easy)
{
	struct hc_call *call = NULL;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &call);
	return call;
}

static int hc_on_socket(CURL *easy, curl_socket_t fd, int what, void *ctx, void *sock)
{
	struct hc *hc = ctx;
	struct hc_sock *s = sock;

	if (what == CURL_POLL_REMOVE) {
		if (s) {
			hc_attach(s, NULL);
			loop_fd_del(hc->loop, &s->lfd);
			curl_multi_assign(hc->multi, fd, NULL);
			g_free(s);
		}
		return 0;
	}
	if (!s) {
		s = g_new0(struct hc_sock, 1);
		s->lfd.fd = fd;
		s->lfd.fn = hc_on_event;
		s->lfd.ctx = s;
		s->hc = hc;
		if (loop_fd_add(hc->loop, &s->lfd, 0) < 0)
			log_msg(LOG_ERR, "socket_not_watched fd=%d", (int)fd);
		curl_multi_assign(hc->multi, fd, s);
	}
	hc_attach(s, hc_call_of(easy));
	s->events = (what & CURL_POLL_IN ? EPOLLIN : 0) | (what & CURL_POLL_OUT ? EPOLLOUT : 0);
	/* An error returned to the library would end all of its requests; the timeout ends this
	 * one. */
	if (loop_fd_mod(hc->loop, &s->lfd, s->events) < 0)
		log_msg(LOG_ERR, "socket_not_watched fd=%d", (int)fd);
	return 0;
}

/*
 * Ends a request if its connection brings too much beside lines and the body: the library tells
 * nothing of such bytes. Most reads bring something, and are not looked at each time.
 */
static void hc_on_read(struct hc_call *call, int fd)
{
	bool has_brought = call->hc->has_brought;
	uint64_t read;
	bool known;

	if (has_brought && ++call->reads % HC_READS_PER_CHECK != 0)
		return;
	known = tcp_read_bytes(fd, &read);
	if (!known && has_brought)
		return;
	if (!hcb_on_read(&call->bound, known ? &read : NULL) && !call->canceled)
		hc_finish_call(call, CURLE_RECV_ERROR);
}

static void hc_on_event(void *ctx, uint32_t events)
{
	struct hc_sock *s = ctx;
	struct hc *hc = s->hc;
	struct hc_call *call = s->call;
	int fd = s->lfd.fd;
	int flags = 0;
	int running;

	if (events & EPOLLIN)
		flags |= CURL_CSELECT_IN;
	if (events & EPOLLOUT)
		flags |= CURL_CSELECT_OUT;
	if (events & (EPOLLERR | EPOLLHUP))
		flags |= CURL_CSELECT_ERR;
	hc->has_brought = false;
	curl_multi_socket_action(hc->multi, fd, flags, &running);
	/* The request is not freed before its end is known; s may be, with its connection. */
	if (call && events & EPOLLIN)
		hc_on_read(call, fd);
	hc_finish_done_calls(hc);
}

static void hc_finish_done_calls(struct hc *hc)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(hc->multi, &left))) {
		CURLcode code = msg->data.result;

		if (msg->msg == CURLMSG_DONE)
			hc_finish_call(hc_call_of(msg->easy_handle), code);
	}
}

void hc_call_free(struct hc_call *call)
{
	if (call->sock)
		hc_attach(call->sock, NULL);
	tmr_cancel(&call->hc->loop->tmr, &call->trailer_timer);
	if (call->preamble)
		g_byte_array_unref(call->preamble);
	g_ptr_array_remove(call->hc->deferred, call);
	g_ptr_array_remove(call->hc->canceled, call);
	g_ptr_array_remove(call->hc->resumed, call);
	g_ptr_array_remove(call->hc->failed, call);
	curl_multi_remove_handle(call->hc->multi, call->easy);
	curl_easy_cleanup(call->easy);
	curl_slist_free_all(call->headers);
	g_clear_pointer(&call->shared_body, g_bytes_unref);
	g_ptr_array_unref(call->response_headers);
	g_string_free(call->body, TRUE);
	g_free(call);
}

static curl_socket_t hc_on_open_socket(void *ctx, curlsocktype purpose, struct curl_sockaddr *addr)
{
	struct hc_call *call = ctx;

	(void)purpose;
	memcpy(&addr->addr, &call->via, sizeof(call->via));
	addr->addrlen = sizeof(call->via);
	call->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	return call->fd < 0 ? CURL_SOCKET_BAD : call->fd;
}

/* The connection has just been made, so its send buffer has room for the preamble. */
static int hc_on_connected(void *ctx, char *to_ip, char *from_ip, int to_port, int from_port)
{
	const struct hc_call *call = ctx;
	ssize_t n = send(call->fd, call->preamble->data, call->preamble->len, MSG_NOSIGNAL);

	(void)to_ip;
	(void)from_ip;
	(void)to_port;
	(void)from_port;
	return n == (ssize_t)call->preamble->len ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

/* Sets an option of the request; a request that lacks one is not sent. */
#define hc_set(call, option, value)                                                                \
	do {                                                                                       \
		if (curl_easy_setopt((call)->easy, option, value) != CURLE_OK)                     \
			(call)->incomplete = true;                                                 \
	} while (0)

static void hc_connect_via(struct hc_call *call, const struct hc_request *request)
{
	if (addr_parse(request->via, &call->via) < 0) {
		call->incomplete = true;
		return;
	}
	call->preamble = g_byte_array_new();
	g_byte_array_append(call->preamble, request->preamble->data, request->preamble->len);
	hc_set(call, CURLOPT_OPENSOCKETFUNCTION, hc_on_open_socket);
	hc_set(call, CURLOPT_OPENSOCKETDATA, call);
	hc_set(call, CURLOPT_PREREQFUNCTION, hc_on_connected);
	hc_set(call, CURLOPT_PREREQDATA, call);
}

static void hc_add_header(struct hc_call *call, const char *line)
{
	struct curl_slist *headers = curl_slist_append(call->headers, line);

	if (headers)
		call->headers = headers;
	else
		call->incomplete = true;
}

/* The library leaves out a header without a value unless a semicolon is in place of the colon. */
static void hc_add_request_header(struct hc_call *call, const char *line)
{
	size_t len = strlen(line);
	char *name;

	if (len <= strlen(": ") || strchr(line, ':') != line + len - strlen(": ")) {
		hc_add_header(call, line);
		return;
	}
	name = g_strdup_printf("%.*s;", (int)(len - strlen(": ")), line);
	hc_add_header(call, name);
	g_free(name);
}

static void hc_set_headers(struct hc_call *call, const struct hc_request *request)
{
	for (const char *const *h = request->headers; h && *h; h++)
		hc_add_request_header(call, *h);
	hc_add_header(call, "Expect:");
	hc_set(call, CURLOPT_HTTPHEADER, call->headers);
}

static void hc_set_body(struct hc_call *call, const struct hc_request *request)
{
	/* An answer to HEAD has no body, whatever length it states. */
	if (strcmp(request->method, "HEAD") == 0) {
		hc_set(call, CURLOPT_NOBODY, 1L);
	} else if (request->shared_body) {
		gsize len;
		const char *data = g_bytes_get_data(request->shared_body, &len);

		call->shared_body = g_bytes_ref(request->shared_body);
		hc_set(call, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)len);
		hc_set(call, CURLOPT_POSTFIELDS, data);
	} else if (request->body) {
		hc_set(call, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)request->body_len);
		hc_set(call, CURLOPT_COPYPOSTFIELDS, request->body);
	}
}

static void hc_set_request(struct hc_call *call, const struct hc_request *request)
{
	hc_set_headers(call, request);
	hc_set(call, CURLOPT_URL, request->url);
	hc_set(call, CURLOPT_CUSTOMREQUEST, request->method);
	hc_set(call, CURLOPT_NOSIGNAL, 1L);
	hc_set(call, CURLOPT_NOPROXY, "*");
	hc_set(call, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	hc_set(call, CURLOPT_TCP_NODELAY, 1L);
	hc_set(call, CURLOPT_BUFFERSIZE, (long)HC_RECEIVE_BUFFER);
	hc_set(call, CURLOPT_UPLOAD_BUFFERSIZE, (long)HC_SEND_BUFFER);
	hc_set(call, CURLOPT_CONNECTTIMEOUT_MS, (long)request->connect_ms);
	hc_set(call, CURLOPT_TIMEOUT_MS, (long)request->total_ms);
	hc_set(call, CURLOPT_FRESH_CONNECT, request->fresh ? 1L : 0L);
	hc_set(call, CURLOPT_WRITEFUNCTION, hc_on_body);
	hc_set(call, CURLOPT_WRITEDATA, call);
	hc_set(call, CURLOPT_PRIVATE, call);
	hc_set(call, CURLOPT_FORBID_REUSE, request->close ? 1L : 0L);
	if (request->via)
		hc_connect_via(call, request);
	else if (call->hc->source)
		hc_set(call, CURLOPT_INTERFACE, call->hc->source);
	if (request->target)
		hc_set(call, CURLOPT_REQUEST_TARGET, request->target);
	hc_set(call, CURLOPT_HEADERFUNCTION, hc_on_header);
	hc_set(call, CURLOPT_HEADERDATA, call);
	hc_set_body(call, request);
}

/*
 * Passes the request to the library. If that fails, it ends in the loop, as its owner has not got
 * it yet; otherwise it would wait for ever, or do without what could not be set.
 */
static void hc_add(struct hc_call *call)
{
	struct hc *hc = call->hc;

	if (!call->incomplete && curl_multi_add_handle(hc->multi, call->easy) == CURLM_OK)
		return;
	g_ptr_array_add(hc->failed, call);
	loop_start_timer(hc->loop, &hc->deferred_timer, 0, hc_on_deferred, hc);
}

struct hc_call *hc_start(struct hc *hc, const struct hc_request *request, const struct hc_ops *ops,
			 void *ctx)
{
	struct hc_call *call = g_new0(struct hc_call, 1);

	call->hc = hc;
	call->easy = curl_easy_init();
	call->ops = ops;
	call->ctx = ctx;
	call->body = g_string_new(NULL);
	call->bound.is_fresh = request->fresh;
	call->body_max = request->body_max > 0 ? request->body_max : HC_BODY_MAX;
	call->response_headers = g_ptr_array_new_with_free_func(g_free);
	hc_set_request(call, request);
	if (hc->in_callback) {
		g_ptr_array_add(hc->deferred, call);
		loop_start_timer(hc->loop, &hc->deferred_timer, 0, hc_on_deferred, hc);
	} else {
		hc_add(call);
	}
	return call;
}

void hc_pause(struct hc_call *call, bool on)
{
	struct hc *hc = call->hc;

	call->paused = on;
	if (on || !call->withheld || g_ptr_array_find(hc->resumed, call, NULL))
		return;
	g_ptr_array_add(hc->resumed, call);
	loop_start_timer(hc->loop, &hc->deferred_timer, 0, hc_on_deferred, hc);
}

/*
 * Passes on the part that the library holds, and what follows it. A request that is canceled in the
 * callback of that part is freed here: the library doesn't end a transfer whose part was refused
 * while it resumed.
 */
static void hc_resume(struct hc_call *call)
{
	CURLcode code;

	if (call->paused)
		return;
	call->withheld = false;
	code = curl_easy_pause(call->easy, CURLPAUSE_CONT);
	if (call->canceled)
		hc_call_free(call);
	else if (code != CURLE_OK)
		hc_finish_call(call, code);
}

/*
 * curl_multi_add_handle() fails inside a callback of the library, and a request that was not added
 * would never end; curl_multi_remove_handle() fails, too, and a request that was freed without it
 * would still be used. Requests started or canceled there are added or freed after the callback has
 * returned. Paused ones go on here as well, since curl_easy_pause() calls back at once.
 */
static void hc_on_deferred(void *ctx, int64_t now_us)
{
	struct hc *hc = ctx;

	(void)now_us;
	while (hc->canceled->len > 0)
		hc_call_free(g_ptr_array_steal_index_fast(hc->canceled, 0));
	while (hc->deferred->len > 0)
		hc_add(g_ptr_array_steal_index(hc->deferred, 0));
	while (hc->failed->len > 0)
		hc_finish_call(g_ptr_array_steal_index(hc->failed, 0), CURLE_FAILED_INIT);
	while (hc->resumed->len > 0)
		hc_resume(g_ptr_array_steal_index_fast(hc->resumed, 0));
}

/*
 * Without a reset the kernel would go on to deliver what it has taken of the request, and a server
 * that reads slowly would receive it whole and run it for nobody.
 */
static void hc_reset_on_close(const struct hc_call *call)
{
	/* There is none while the response is paused and the whole request was sent. */
	if (call->sock && tcp_reset_on_close(call->sock->lfd.fd) < 0)
		met_add(met_counter("bg_endpoint_resets_failed_total", ""), 1);
}

/*
 * A handle must not be removed inside its own callback. There the request is only marked; the
 * library then ends it and hc_finish_call() frees it.
 */
void hc_cancel(struct hc_call *call)
{
	struct hc *hc = call->hc;

	call->canceled = true;
	hc_reset_on_close(call);
	if (call->callback_running)
		return;
	if (!hc->in_callback) {
		hc_call_free(call);
		return;
	}
	g_ptr_array_add(hc->canceled, call);
	loop_start_timer(hc->loop, &hc->deferred_timer, 0, hc_on_deferred, hc);
}
