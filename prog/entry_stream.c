#include "base/err.h"
#include "base/log.h"
#include "base/met.h"
#include "prog/entry_call.h"

#include <stdlib.h>
#include <string.h>

/* Streams from engines, and HTTP calls to plain services. */
enum {
	ENTRY_CANCEL_MS = 1000 /* time limit of the call that ends a run, in milliseconds */
};

static void entry_stream_on_data(void *ctx, const char *data, size_t len);
static void entry_stream_on_done(void *ctx, int status, int err, bool sent, const char *body,
				 size_t len);
static void entry_service_on_done(void *ctx, int status, int err, bool sent, const char *body,
				  size_t len);
static void entry_cancel_on_done(void *ctx, int status, int err, bool sent, const char *body,
				 size_t len);
static void entry_service_dispatch(struct entry_call *call);

static const struct hc_ops entry_stream_ops = {.on_data = entry_stream_on_data,
					       .on_done = entry_stream_on_done};
static const struct hc_ops entry_service_ops = {.on_done = entry_service_on_done};
static const struct hc_ops entry_cancel_ops = {.on_done = entry_cancel_on_done};

/* --- streams from engines --- */

/* Returns the body of the request to the engine, as JSON; free() it. */
static char *entry_dispatch_body(const struct entry_call *call, unsigned int attempt,
				 uint64_t delivered)
{
	json_t *route = json_array();
	json_t *json;
	char *text;

	for (guint i = 0; i < call->stages->len; i++) {
		const struct entry_stage *stage = call->stages->pdata[i];

		json_array_append_new(route, json_pack("{s:s, s:s, s:i, s:i}", "endpoint",
						       stage->name, "address", stage->address,
						       "first", stage->first, "last", stage->last));
	}
	json = json_pack("{s:s, s:s, s:s, s:I, s:s, s:i, s:I, s:s, s:b, s:o}", "model", call->model,
			 "version", call->version, "prompt", call->prompt, "max_tokens",
			 (json_int_t)call->max_tokens, "request_id", call->request, "attempt",
			 (int)attempt, "resume", (json_int_t)delivered, "key",
			 call->key ? call->key : "", "detached", !call->idempotent, "route", route);
	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	return text;
}

/*
 * Reports a failed attempt to the request's state machine as an event, since its actions must not
 * call back into it.
 */
static void entry_post_attempt_failed(struct entry_call *call, enum req_failure why)
{
	struct entry_event *event =
		entry_event_new(ENTRY_EVENT_ATTEMPT_FAILED, call->id, call->req.attempt);

	event->failure = why;
	entry_send_event(call->entry, event);
}

/*
 * Prepares for a new stream. An earlier one may still be open if the engine reported in it that its
 * run failed.
 */
static void entry_stream_reset(struct entry_call *call)
{
	if (call->hc)
		hc_cancel(call->hc);
	call->hc = NULL;
	g_string_truncate(call->sse_buffer, 0);
	call->last_frame_seen = false;
	g_clear_pointer(&call->faulty_endpoint, g_free);
}

/*
 * The HTTP library repeats a request on its own when a reused connection is closed without an
 * answer, although the engine may have run the request; the engine's ledger then shows two runs of
 * one key. The library does not do so on a new connection, so a non-idempotent request always gets
 * a new one.
 */
void entry_stream_dispatch(struct entry_call *call, unsigned int attempt, uint64_t delivered)
{
	const struct entry_stage *first;
	char *body;
	char *url;
	struct hc_request request = {
		.method = "POST",
		.connect_ms = ENTRY_CONNECT_MS,
		.fresh = attempt > 1 || !call->idempotent,
	};

	if (call->kind == ENTRY_SERVICE) {
		entry_service_dispatch(call);
		return;
	}
	entry_stream_reset(call);
	if (call->stages->len == 0) {
		entry_post_attempt_failed(call, REQ_FAILURE_NOT_SENT);
		return;
	}
	first = call->stages->pdata[0];
	g_free(call->run_id);
	g_free(call->run_address);
	call->run_id = g_strdup_printf("%s-%u", call->request, attempt);
	call->run_address = g_strdup(first->address);
	body = entry_dispatch_body(call, attempt, delivered);
	url = g_strdup_printf("http://%s/v1/completions", first->address);
	request.url = url;
	request.body = body;
	request.body_len = strlen(body);
	call->hc = hc_start(call->entry->traffic.hc, &request, &entry_stream_ops, call);
	g_free(url);
	free(body);
}

/* Always uses a new connection, since the old one may stay silent although the run continues. */
void entry_stream_resume(struct entry_call *call, uint64_t from)
{
	char *url;
	struct hc_request request = {
		.method = "GET",
		.connect_ms = ENTRY_CONNECT_MS,
		.fresh = true,
	};

	entry_stream_cancel(call, false);
	entry_stream_reset(call);
	if (!call->run_address || !call->run_id) {
		entry_post_attempt_failed(call, REQ_FAILURE_RUN_UNKNOWN);
		return;
	}
	url = g_strdup_printf("http://%s/v1/requests/%s?from=%" G_GUINT64_FORMAT, call->run_address,
			      call->run_id, from);
	request.url = url;
	call->hc = hc_start(call->entry->traffic.hc, &request, &entry_stream_ops, call);
	g_free(url);
}

static void entry_cancel_on_done(void *ctx, int status, int err, bool sent, const char *body,
				 size_t len)
{
	(void)ctx;
	(void)err;
	(void)sent;
	(void)body;
	(void)len;
	if (status != 200)
		met_add(met_counter("bg_cancel_failures_total", ""), 1);
}

/* Closing the stream ends most runs; a detached run needs an explicit DELETE. */
void entry_stream_cancel(struct entry_call *call, bool stop)
{
	char *url;
	struct hc_request request = {
		.method = "DELETE",
		.connect_ms = ENTRY_CONNECT_MS,
		.total_ms = ENTRY_CANCEL_MS,
		.fresh = true,
	};

	if (call->hc)
		hc_cancel(call->hc);
	call->hc = NULL;
	if (!stop || call->kind == ENTRY_SERVICE || !call->run_address)
		return;
	url = g_strdup_printf("http://%s/v1/requests/%s", call->run_address, call->run_id);
	request.url = url;
	hc_start(call->entry->traffic.hc, &request, &entry_cancel_ops, NULL);
	g_free(url);
}

static void entry_stream_on_frame(struct entry_call *call, const json_t *json)
{
	const json_t *text = json_object_get(json, "text");
	const json_t *index = json_object_get(json, "index");
	const char *at = json_string_value(json_object_get(json, "endpoint"));
	unsigned int attempt = call->req.attempt;

	if (json_is_string(text) && json_is_integer(index)) {
		req_on_token(&call->req, attempt, (uint64_t)json_integer_value(index),
			     json_string_value(text), json_string_length(text), tmr_now());
	} else if (json_is_true(json_object_get(json, "done"))) {
		call->last_frame_seen = true;
		req_on_end(&call->req, attempt,
			   (uint64_t)json_integer_value(json_object_get(json, "count")), tmr_now());
	} else if (json_object_get(json, "error")) {
		g_free(call->faulty_endpoint);
		call->faulty_endpoint = g_strdup(at && at[0] ? at : NULL);
		call->last_frame_seen = true;
		req_on_attempt_failed(&call->req, attempt, REQ_FAILURE_ENGINE,
				      call->faulty_endpoint, tmr_now());
	}
}

/* Parses server-sent events: each frame is a line "data: JSON" followed by an empty line. */
static void entry_stream_on_data(void *ctx, const char *data, size_t len)
{
	struct entry_call *call = ctx;
	const struct hc_call *stream = call->hc;
	char *end;

	g_string_append_len(call->sse_buffer, data, (gssize)len);
	while (call->hc == stream && (end = strstr(call->sse_buffer->str, "\n\n"))) {
		gsize used = (gsize)(end - call->sse_buffer->str) + 2;
		const char *payload = prog_path_suffix(call->sse_buffer->str, "data: ");
		json_t *json = NULL;

		if (payload)
			json = json_loadb(payload, (size_t)(end - payload), 0, NULL);
		g_string_erase(call->sse_buffer, 0, (gssize)used);
		if (json)
			entry_stream_on_frame(call, json);
		else
			met_add(met_counter("bg_stream_frames_refused_total", ""), 1);
		json_decref(json);
	}
}

/*
 * Classifies the end of a stream. The request counts as not run only if the engine says so or if no
 * connection was established; in all other cases it may have run.
 */
static enum req_failure entry_stream_failure(int status, bool sent, const json_t *answer)
{
	const char *ran = json_string_value(json_object_get(answer, "ran"));

	if (status == 404)
		return REQ_FAILURE_RUN_UNKNOWN;
	if (status >= 400 && ran && strcmp(ran, "no") == 0)
		return REQ_FAILURE_NOT_RUN;
	if (status == 0 && !sent)
		return REQ_FAILURE_NOT_SENT;
	return REQ_FAILURE_STREAM_LOST;
}

/*
 * Returns the endpoint that caused a failure: the one that the engine names, or else the first one,
 * which the connection was to. The next attempt avoids it; otherwise it would get the same pipeline
 * and the same refusal until the retries are used up.
 */
static const char *entry_stream_faulty_endpoint(const struct entry_call *call, const json_t *answer)
{
	const char *named = json_string_value(json_object_get(answer, "endpoint"));
	const struct entry_stage *first =
		call->stages && call->stages->len > 0 ? call->stages->pdata[0] : NULL;

	if (named && named[0])
		return named;
	return first ? first->name : NULL;
}

static void entry_stream_on_done(void *ctx, int status, int err, bool sent, const char *body,
				 size_t len)
{
	struct entry_call *call = ctx;
	json_t *answer = json_loadb(body, len, 0, NULL);
	enum req_failure why = entry_stream_failure(status, sent, answer);
	const char *fault = entry_stream_faulty_endpoint(call, answer);

	call->hc = NULL;
	if (call->last_frame_seen || call->finished) {
		json_decref(answer);
		return;
	}
	if (why == REQ_FAILURE_NOT_SENT && call->req.state == REQ_RESUMING)
		why = REQ_FAILURE_STREAM_LOST;
	log_msg(LOG_INFO,
		"attempt_broken request=%s attempt=%u endpoint=%s status=%d reason=\"%s\"",
		call->request, call->req.attempt, fault ? fault : "", status, base_strerror(err));
	met_add(met_counter("bg_attempts_broken_total", ""), 1);
	req_on_attempt_failed(&call->req, call->req.attempt, why, fault, tmr_now());
	json_decref(answer);
}

/* --- plain services --- */

/* Returns the next of the service's addresses, or NULL if it is not declared; g_free() it. */
static char *entry_service_address(struct entry_call *call)
{
	const struct conf_obj *service =
		conf_get(call->entry->traffic.conf, CONF_SERVICE, call->service);
	gchar **list;
	char *address;

	if (!service)
		return NULL;
	list = g_strsplit(service->text[SERVICE_ADDRESS], ",", -1);
	address = g_strdup(list[(call->id + call->service_attempts++) % g_strv_length(list)]);
	g_strfreev(list);
	return address;
}

static void entry_service_dispatch(struct entry_call *call)
{
	char *address = entry_service_address(call);
	char *url;
	char *type;
	char *key;
	char *request_id;
	const char *headers[4];
	struct hc_request request = {
		.method = call->method,
		.connect_ms = ENTRY_CONNECT_MS,
		.body = call->body_len > 0 ? call->body : NULL,
		.body_len = call->body_len,
		.fresh = !call->idempotent,
	};

	if (!address) {
		entry_post_attempt_failed(call, REQ_FAILURE_NOT_SENT);
		return;
	}
	url = g_strdup_printf("http://%s/%s", address, call->service_path);
	type = g_strdup_printf("Content-Type: %s", call->content_type);
	key = g_strdup_printf("Idempotency-Key: %s", call->key ? call->key : call->request);
	request_id = g_strdup_printf("Bg-Request: %s", call->request);
	headers[0] = type;
	headers[1] = key;
	headers[2] = request_id;
	headers[3] = NULL;
	request.url = url;
	request.headers = headers;
	entry_stream_reset(call);
	call->hc = hc_start(call->entry->traffic.hc, &request, &entry_service_ops, call);
	g_free(url);
	g_free(type);
	g_free(key);
	g_free(request_id);
	g_free(address);
}

/* Every answer of the service, whatever its HTTP status, is passed on to the caller. */
static void entry_service_on_done(void *ctx, int status, int err, bool sent, const char *body,
				  size_t len)
{
	struct entry_call *call = ctx;

	call->hc = NULL;
	if (call->finished)
		return;
	if (status == 0) {
		log_msg(LOG_INFO, "service_broken request=%s service=%s reason=\"%s\"",
			call->request, call->service, base_strerror(err));
		req_on_attempt_failed(&call->req, call->req.attempt,
				      sent ? REQ_FAILURE_STREAM_LOST : REQ_FAILURE_NOT_SENT, NULL,
				      tmr_now());
		return;
	}
	call->service_status = status;
	req_on_token(&call->req, call->req.attempt, 0, body, len, tmr_now());
	req_on_end(&call->req, call->req.attempt, 1, tmr_now());
}
