#include "base/hc.h"
#include "base/err.h"
#include "base/log.h"
#include "base/met.h"

#include <curl/curl.h>
#include <sys/epoll.h>

enum {
	HC_BODY_MAX = 16 << 20,
	HC_IDLE_CONNS_MAX = 1024,
	HC_RECEIVE_BUFFER = 4096, /* a stream brings a token at a time */
	HC_SEND_BUFFER = 16384,
	USEC_PER_MSEC = 1000
};

struct hc {
	struct loop *loop;
	CURLM *multi;
	struct tmr timer;
	struct tmr starter;
	GPtrArray *waiting; /* calls begun inside a callback of the library */
	bool inside;	    /* a callback of the library is running */
};

struct hc_sock {
	struct loop_fd lfd;
	struct hc *hc;
	uint32_t events;
};

struct hc_call {
	struct hc *hc;
	CURL *easy;
	struct curl_slist *headers;
	const struct hc_ops *ops;
	void *ctx;
	GString *body;
	GPtrArray *head; /* header lines of the answer, once they are asked for */
	bool head_given;
	bool canceled; /* canceled inside its own callback; freed when that returns */
	bool busy;
};

static int hc_on_socket(CURL *easy, curl_socket_t fd, int what, void *ctx, void *sock);
static int hc_on_timer(CURLM *multi, long timeout_ms, void *ctx);
static void hc_on_event(void *ctx, uint32_t events);
static void hc_on_timeout(void *ctx, int64_t now_us);
static size_t hc_on_body(char *data, size_t size, size_t n, void *ctx);
static size_t hc_on_header(char *data, size_t size, size_t n, void *ctx);
static void hc_on_starter(void *ctx, int64_t now_us);
static void hc_reap(struct hc *hc);
static void hc_finish_call(struct hc_call *call, CURLcode code);
static void hc_call_free(struct hc_call *call);

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
	hc->waiting = g_ptr_array_new();
	return hc;
}

void hc_free(struct hc *hc)
{
	tmr_cancel(&hc->loop->tmr, &hc->timer);
	tmr_cancel(&hc->loop->tmr, &hc->starter);
	g_ptr_array_unref(hc->waiting);
	curl_multi_cleanup(hc->multi);
	g_free(hc);
}

static int hc_on_timer(CURLM *multi, long timeout_ms, void *ctx)
{
	struct hc *hc = ctx;

	(void)multi;
	if (timeout_ms < 0)
		tmr_cancel(&hc->loop->tmr, &hc->timer);
	else
		loop_after(hc->loop, &hc->timer, timeout_ms * USEC_PER_MSEC, hc_on_timeout, hc);
	return 0;
}

static void hc_on_timeout(void *ctx, int64_t now_us)
{
	struct hc *hc = ctx;
	int running;

	(void)now_us;
	curl_multi_socket_action(hc->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	hc_reap(hc);
}

static int hc_on_socket(CURL *easy, curl_socket_t fd, int what, void *ctx, void *sock)
{
	struct hc *hc = ctx;
	struct hc_sock *s = sock;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		if (s) {
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
		loop_fd_add(hc->loop, &s->lfd, 0);
		curl_multi_assign(hc->multi, fd, s);
	}
	s->events = (what & CURL_POLL_IN ? EPOLLIN : 0) | (what & CURL_POLL_OUT ? EPOLLOUT : 0);
	loop_fd_mod(hc->loop, &s->lfd, s->events);
	return 0;
}

static void hc_on_event(void *ctx, uint32_t events)
{
	struct hc_sock *s = ctx;
	struct hc *hc = s->hc;
	int flags = 0;
	int running;

	if (events & EPOLLIN)
		flags |= CURL_CSELECT_IN;
	if (events & EPOLLOUT)
		flags |= CURL_CSELECT_OUT;
	if (events & (EPOLLERR | EPOLLHUP))
		flags |= CURL_CSELECT_ERR;
	curl_multi_socket_action(hc->multi, s->lfd.fd, flags, &running);
	hc_reap(hc);
}

/*
 * Called for each line, the status line and the empty one at the end included. Interim answers
 * (1xx) have lines and an end of their own; lines after the head are trailers.
 */
static size_t hc_on_header(char *data, size_t size, size_t n, void *ctx)
{
	struct hc_call *call = ctx;
	size_t len = size * n;
	size_t text = len;
	long status = 0;
	bool go_on;

	if (call->head_given)
		return len;
	while (text > 0 && (data[text - 1] == '\n' || data[text - 1] == '\r'))
		text--;
	if (text > 0) {
		if (strncmp(data, "HTTP/", strlen("HTTP/")) != 0)
			g_ptr_array_add(call->head, g_strndup(data, text));
		return len;
	}
	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	if (status / 100 == 1) {
		g_ptr_array_set_size(call->head, 0);
		return len;
	}
	call->head_given = true;
	call->busy = true;
	call->hc->inside = true;
	go_on = call->ops->on_head(call->ctx, (int)status, call->head);
	call->hc->inside = false;
	call->busy = false;
	if (!go_on)
		call->canceled = true;
	return call->canceled ? 0 : len;
}

static size_t hc_on_body(char *data, size_t size, size_t n, void *ctx)
{
	struct hc_call *call = ctx;
	size_t len = size * n;
	long status = 0;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	if (call->ops->on_data && (call->ops->all_data || status / 100 == 2)) {
		call->busy = true;
		call->hc->inside = true;
		call->ops->on_data(call->ctx, data, len);
		call->hc->inside = false;
		call->busy = false;
		return call->canceled ? CURL_WRITEFUNC_ERROR : len;
	}
	if (call->body->len + len > HC_BODY_MAX)
		return CURL_WRITEFUNC_ERROR;
	g_string_append_len(call->body, data, (gssize)len);
	return len;
}

static void hc_reap(struct hc *hc)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(hc->multi, &left))) {
		struct hc_call *call;
		CURLcode code = msg->data.result;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &call);
		hc_finish_call(call, code);
	}
}

static int hc_error(CURLcode code)
{
	switch (code) {
	case CURLE_OK:
		return 0;
	case CURLE_COULDNT_CONNECT:
		return BASE_EREFUSED;
	case CURLE_OPERATION_TIMEDOUT:
		return BASE_ETIMEOUT;
	case CURLE_GOT_NOTHING:
	case CURLE_PARTIAL_FILE:
	case CURLE_RECV_ERROR:
	case CURLE_SEND_ERROR:
		return BASE_ECLOSED;
	default:
		return BASE_EHTTP;
	}
}

/* Bytes of requests and answers with their headers; those of TCP and IP are not seen here. */
static void hc_count(CURL *easy, long request_size)
{
	curl_off_t body = 0;
	curl_off_t posted = 0;
	long head = 0;

	curl_easy_getinfo(easy, CURLINFO_SIZE_DOWNLOAD_T, &body);
	curl_easy_getinfo(easy, CURLINFO_SIZE_UPLOAD_T, &posted);
	curl_easy_getinfo(easy, CURLINFO_HEADER_SIZE, &head);
	met_add(met_counter("bg_http_calls_total", ""), 1);
	met_add(met_counter("bg_http_bytes_sent_total", ""), (uint64_t)(request_size + posted));
	met_add(met_counter("bg_http_bytes_received_total", ""), (uint64_t)(body + head));
}

/*
 * "sent" is false only when the library never had a connection for the call: then no byte of it can
 * have reached anybody.
 */
static void hc_finish_call(struct hc_call *call, CURLcode code)
{
	long status = 0;
	curl_off_t connected = 0;
	long size = 0;
	int err = hc_error(code);
	bool sent;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(call->easy, CURLINFO_PRETRANSFER_TIME_T, &connected);
	curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, &size);
	sent = connected > 0 || size > 0;
	hc_count(call->easy, size);
	call->busy = true;
	if (!call->canceled)
		call->ops->on_done(call->ctx, err < 0 ? 0 : (int)status, err, sent, call->body->str,
				   call->body->len);
	hc_call_free(call);
}

static void hc_call_free(struct hc_call *call)
{
	g_ptr_array_remove(call->hc->waiting, call);
	curl_multi_remove_handle(call->hc->multi, call->easy);
	curl_easy_cleanup(call->easy);
	curl_slist_free_all(call->headers);
	g_clear_pointer(&call->head, g_ptr_array_unref);
	g_string_free(call->body, TRUE);
	g_free(call);
}

struct hc_call *hc_start(struct hc *hc, const struct hc_request *request, const struct hc_ops *ops,
			 void *ctx)
{
	struct hc_call *call = g_new0(struct hc_call, 1);
	CURL *easy = curl_easy_init();

	call->hc = hc;
	call->easy = easy;
	call->ops = ops;
	call->ctx = ctx;
	call->body = g_string_new(NULL);
	for (const char *const *h = request->headers; h && *h; h++)
		call->headers = curl_slist_append(call->headers, *h);
	call->headers = curl_slist_append(call->headers, "Expect:");
	curl_easy_setopt(easy, CURLOPT_URL, request->url);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, (long)HC_RECEIVE_BUFFER);
	curl_easy_setopt(easy, CURLOPT_UPLOAD_BUFFERSIZE, (long)HC_SEND_BUFFER);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, (long)request->connect_ms);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)request->total_ms);
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, request->fresh ? 1L : 0L);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, hc_on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, request->close ? 1L : 0L);
	if (request->target)
		curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, request->target);
	if (ops->on_head) {
		call->head = g_ptr_array_new_with_free_func(g_free);
		curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, hc_on_header);
		curl_easy_setopt(easy, CURLOPT_HEADERDATA, call);
	}
	if (request->body) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)request->body_len);
		curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, request->body);
	}
	if (hc->inside) {
		g_ptr_array_add(hc->waiting, call);
		loop_after(hc->loop, &hc->starter, 0, hc_on_starter, hc);
	} else {
		curl_multi_add_handle(hc->multi, easy);
	}
	return call;
}

/*
 * The library refuses new calls inside its own callbacks, without a word to who ignores its result;
 * such a call would never end. They are begun when the callback has returned.
 */
static void hc_on_starter(void *ctx, int64_t now_us)
{
	struct hc *hc = ctx;

	(void)now_us;
	for (guint i = 0; i < hc->waiting->len; i++) {
		struct hc_call *call = hc->waiting->pdata[i];

		curl_multi_add_handle(hc->multi, call->easy);
	}
	g_ptr_array_set_size(hc->waiting, 0);
}

/* Inside the call's own callback the library must not lose the handle; it ends the call itself. */
void hc_cancel(struct hc_call *call)
{
	call->canceled = true;
	if (!call->busy)
		hc_call_free(call);
}
