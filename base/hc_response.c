#include "base/err.h"
#include "base/hc_framing.h"
#include "base/hc_int.h"
#include "base/jl.h"
#include "base/met.h"

enum {
	HC_TRAILER_MS = 100, /* time for lines behind the body, which are ignored */
	HC_SWITCHING_PROTOCOLS = 101
};

/* Returns the length of a line without its end; any further carriage return belongs to its text. */
static size_t hc_text_len(const char *data, size_t len)
{
	if (len > 0 && data[len - 1] == '\n')
		len--;
	if (len > 0 && data[len - 1] == '\r')
		len--;
	return len;
}

/* Tells the owner the head of the response. Returns whether the request goes on. */
static bool hc_tell_head(struct hc_call *call, long status)
{
	bool go_on;

	call->on_head_called = true;
	if (!call->ops->on_head)
		return true;
	call->callback_running = true;
	call->hc->in_callback = true;
	go_on = call->ops->on_head(call->ctx, (int)status, call->response_headers);
	call->hc->in_callback = false;
	call->callback_running = false;
	call->canceled = call->canceled || !go_on;
	return !call->canceled;
}

/* Handles the end of a head. Returns whether the request goes on. */
static bool hc_on_head_end(struct hc_call *call)
{
	long status = 0;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	/* No other protocol was asked for, and the library reads on until the connection ends. */
	if (status == HC_SWITCHING_PROTOCOLS)
		return false;
	if (status / 100 == 1) {
		g_ptr_array_set_size(call->response_headers, 0);
		return true;
	}
	return hc_tell_head(call, status) && hc_framing_is_usable(call->response_headers);
}

static void hc_on_trailer_timeout(void *ctx, int64_t now_us)
{
	struct hc_call *call = ctx;

	(void)now_us;
	call->bound.form = HCB_TRAILER;
	hc_finish_call(call, CURLE_RECV_ERROR);
}

/*
 * Counts a line behind the body. Without a time limit, lines that come slowly, or stop to come,
 * would withhold a body that is whole. Returns whether the request goes on.
 */
static bool hc_on_trailer(struct hc_call *call, size_t len)
{
	if (!tmr_is_set(&call->trailer_timer))
		loop_start_timer(call->hc->loop, &call->trailer_timer, tmr_from_ms(HC_TRAILER_MS),
				 hc_on_trailer_timeout, call);
	return hcb_on_trailer(&call->bound, len);
}

/*
 * Called for the status line, for each header line and for the empty line at the end. An interim
 * response (1xx) has lines and an empty line of its own, which are discarded. Lines after the
 * headers of the final response are trailers, which are ignored. 0 ends the request, as an error if
 * it was not canceled.
 */
size_t hc_on_header(char *data, size_t size, size_t n, void *ctx)
{
	struct hc_call *call = ctx;
	size_t len = size * n;
	size_t text = hc_text_len(data, len);

	call->hc->has_brought = true;
	if (call->canceled)
		return 0;
	if (call->on_head_called)
		return hc_on_trailer(call, len) ? len : 0;
	if (!hcb_on_head_line(&call->bound, len))
		return 0;
	if (text == 0)
		return hc_on_head_end(call) ? len : 0;
	if (strncmp(data, "HTTP/", strlen("HTTP/")) != 0)
		g_ptr_array_add(call->response_headers, g_strndup(data, text));
	return len;
}

static void hc_ask_before(struct hc_call *call, size_t len)
{
	if (!call->ops->before_data || call->paused)
		return;
	call->callback_running = true;
	call->hc->in_callback = true;
	call->ops->before_data(call->ctx, len);
	call->hc->in_callback = false;
	call->callback_running = false;
}

size_t hc_on_body(char *data, size_t size, size_t n, void *ctx)
{
	struct hc_call *call = ctx;
	size_t len = size * n;
	long status = 0;

	call->hc->has_brought = true;
	if (call->canceled)
		return CURL_WRITEFUNC_ERROR;
	hc_ask_before(call, len);
	if (call->canceled)
		return CURL_WRITEFUNC_ERROR;
	if (call->paused) {
		call->withheld = true;
		return CURL_WRITEFUNC_PAUSE;
	}
	hcb_on_body(&call->bound, len);
	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	if (call->ops->on_data && (call->ops->all_data || status / 100 == 2)) {
		call->callback_running = true;
		call->hc->in_callback = true;
		call->ops->on_data(call->ctx, data, len);
		call->hc->in_callback = false;
		call->callback_running = false;
		return call->canceled ? CURL_WRITEFUNC_ERROR : len;
	}
	if (!hcb_on_collected(&call->bound, call->body->len + len, call->body_max))
		return CURL_WRITEFUNC_ERROR;
	g_string_append_len(call->body, data, (gssize)len);
	return len;
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

/*
 * Counts the bytes of the request and the response with their headers, without the headers of TCP
 * and IP.
 */
static void hc_count_bytes(CURL *easy, long request_size)
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

/* Logs and counts a response that was broken off as it went on without end. */
static void hc_log_excess(const struct hc_call *call)
{
	const char *form = hcb_form_name(call->bound.form);
	char *labels = g_strdup_printf("form=\"%s\"", form);
	const char *url = NULL;

	curl_easy_getinfo(call->easy, CURLINFO_EFFECTIVE_URL, &url);
	jl_begin(JL_INFO, "response_without_end");
	jl_str("url", url);
	jl_str("form", form);
	jl_int("head_bytes", (int64_t)call->bound.head.bytes);
	jl_int("head_lines", call->bound.head.n);
	jl_int("trailer_bytes", (int64_t)call->bound.trailer.bytes);
	jl_int("trailer_lines", call->bound.trailer.n);
	jl_int("framing_bytes", (int64_t)call->bound.framing);
	jl_int("empty_reads", call->bound.empty_reads);
	jl_int("body_bytes", (int64_t)call->body->len);
	jl_end();
	met_add(met_counter("bg_responses_without_end_total", labels), 1);
	g_free(labels);
}

/*
 * Returns the error of a request that has ended. Lines behind the last chunk are no part of the
 * body, so a response that has too many of them is whole.
 */
static int hc_end_error(struct hc_call *call, CURLcode code)
{
	/* The library has a bound of its own on the length of a line. */
	if (code == CURLE_OUT_OF_MEMORY && !call->on_head_called)
		call->bound.form = HCB_HEAD;
	if (call->bound.form == HCB_NONE)
		return hc_error(code);
	hc_log_excess(call);
	if (call->bound.form != HCB_TRAILER)
		return BASE_EENDLESS;
	call->callback_running = true;
	if (call->ops->on_excess && !call->canceled)
		call->ops->on_excess(call->ctx);
	return 0;
}

/*
 * "sent" is false only if the library never had a connection for the request, so that no byte of it
 * can have reached the server.
 */
void hc_finish_call(struct hc_call *call, CURLcode code)
{
	long status = 0;
	curl_off_t connected = 0;
	long size = 0;
	int err = hc_end_error(call, code);
	bool sent;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(call->easy, CURLINFO_PRETRANSFER_TIME_T, &connected);
	curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, &size);
	sent = connected > 0 || size > 0;
	hc_count_bytes(call->easy, size);
	call->callback_running = true;
	if (!call->canceled)
		call->ops->on_done(call->ctx, err < 0 ? 0 : (int)status, err, sent, call->body->str,
				   call->body->len);
	hc_call_free(call);
}
