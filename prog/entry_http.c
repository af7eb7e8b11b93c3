#include "base/log.h"
#include "base/met.h"
#include "base/str.h"
#include "prog/entry_call.h"

#include <ck_pr.h>
#include <stdlib.h>
#include <string.h>

/*
 * HTTP interface for callers. Runs in the threads of the HTTP library, parses requests, and passes
 * them to the traffic thread.
 */
enum {
	ENTRY_MAX_TOKENS_DEFAULT = 16, /* tokens generated if max_tokens is missing */
	ENTRY_KEY_BYTES_MAX = 200      /* longest Idempotency-Key, in bytes */
};

typedef void (*entry_http_fn)(struct entry *e, struct hd_call *http);

struct entry_http_route {
	const char *method;
	const char *path;
	entry_http_fn fn;
};

static void entry_http_healthz(struct entry *e, struct hd_call *http);
static void entry_http_readyz(struct entry *e, struct hd_call *http);
static void entry_http_metrics(struct entry *e, struct hd_call *http);
static void entry_http_models(struct entry *e, struct hd_call *http);
static void entry_http_completion(struct entry *e, struct hd_call *http);
static void entry_http_chat(struct entry *e, struct hd_call *http);
static void entry_http_service(struct entry *e, struct hd_call *http);

static const struct entry_http_route entry_http_routes[] = {
	{"GET", "/healthz", entry_http_healthz},
	{"GET", "/readyz", entry_http_readyz},
	{"GET", "/metrics", entry_http_metrics},
	{"GET", "/v1/models", entry_http_models},
	{"POST", "/v1/completions", entry_http_completion},
	{"POST", "/v1/chat/completions", entry_http_chat},
};

/* Returns a request id that is unique over all hosts and restarts; g_free() it. */
static char *entry_request_id(struct entry *e)
{
	static uint64_t last;

	return g_strdup_printf("%s-%" G_GUINT64_FORMAT, e->boot_id, ck_pr_faa_64(&last, 1) + 1);
}

static void entry_http_reply_text(struct hd_call *http, int status, const char *text)
{
	hd_reply(http, status, "text/plain", text, strlen(text));
	hd_unref(http);
}

static void entry_http_healthz(struct entry *e, struct hd_call *http)
{
	(void)e;
	entry_http_reply_text(http, 200, "ok\n");
}

static void entry_http_readyz(struct entry *e, struct hd_call *http)
{
	bool ready = ck_pr_load_uint(&e->ready) != 0;

	entry_http_reply_text(http, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
}

static void entry_http_metrics(struct entry *e, struct hd_call *http)
{
	GString *out = g_string_new(NULL);

	g_string_append_printf(out, "bg_config_revision{} %" G_GUINT64_FORMAT "\n",
			       ck_pr_load_64(&e->revision));
	g_string_append_printf(out, "bg_control_cpu_us_total{} %" G_GINT64_FORMAT "\n", e->cpu_us);
	g_string_append_printf(out, "bg_traffic_cpu_us_total{} %" G_GINT64_FORMAT "\n",
			       e->traffic.cpu_us);
	g_string_append_printf(out, "bg_open_requests{} %u\n", ck_pr_load_uint(&e->open_calls));
	met_write(out);
	hd_reply(http, 200, "text/plain; version=0.0.4", out->str, out->len);
	hd_unref(http);
	g_string_free(out, TRUE);
}

/* A request for the list of models, passed to the traffic thread, which owns the configuration. */
struct entry_models_task {
	struct entry *entry;
	struct hd_call *http;
};

static void entry_http_append_model(void *ctx, const struct conf_obj *obj)
{
	json_array_append_new(ctx, json_pack("{s:s, s:s, s:s}", "id", obj->name, "object", "model",
					     "version", obj->text[MODEL_VERSION]));
}

static void entry_http_reply_models(void *ctx)
{
	struct entry_models_task *task = ctx;
	json_t *list = json_array();

	if (task->entry->traffic.conf)
		conf_for_each(task->entry->traffic.conf, CONF_MODEL, entry_http_append_model, list);
	prog_reply_json(task->http, 200, json_pack("{s:s, s:o}", "object", "list", "data", list));
	g_free(task);
}

static void entry_http_models(struct entry *e, struct hd_call *http)
{
	struct entry_models_task *task = g_new(struct entry_models_task, 1);

	task->entry = e;
	task->http = http;
	loop_post(&e->traffic.loop, entry_http_reply_models, task);
}

/* --- completions, chats and services --- */

static struct entry_call *entry_call_new(struct entry *e, struct hd_call *http,
					 enum entry_call_kind kind)
{
	struct entry_call *call = g_new0(struct entry_call, 1);
	const char *token = hd_header(http, "Authorization");

	call->entry = e;
	call->http = http;
	call->kind = kind;
	call->idempotent = true;
	call->request = entry_request_id(e);
	call->began_us = tmr_now();
	call->deadline_us = call->began_us + e->settings.deadline_ms * USEC_PER_MSEC;
	call->sse_buffer = g_string_new(NULL);
	call->tokens = g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	call->claim_ids = g_ptr_array_new_with_free_func(g_free);
	call->joiners = g_ptr_array_new_with_free_func(g_free);
	token = token ? prog_path_suffix(token, "Bearer ") : NULL;
	/* The bearer token takes the place of the name until entry_call_authorize() has run. */
	call->account = g_strdup(token);
	return call;
}

static void entry_http_refuse(struct entry_call *call, enum req_code code, const char *detail)
{
	entry_answer_error(call->http, call->request, code, detail, 0);
	call->http = NULL;
	entry_call_free(call);
}

/* Reads the request headers. Returns NULL, or the name of an invalid header. */
static const char *entry_read_headers(struct entry_call *call)
{
	const char *idempotent = hd_header(call->http, "Bg-Idempotent");
	const char *deadline = hd_header(call->http, "Bg-Deadline-Ms");
	const char *key = hd_header(call->http, "Idempotency-Key");
	uint64_t ms;

	if (idempotent && strcmp(idempotent, "no") != 0 && strcmp(idempotent, "yes") != 0)
		return "Bg-Idempotent";
	if (idempotent)
		call->idempotent = strcmp(idempotent, "yes") == 0;
	if (deadline) {
		if (!str_to_u64(str_from_cstr(deadline), &ms) || ms == 0 || ms > G_MAXINT32)
			return "Bg-Deadline-Ms";
		call->deadline_us = call->began_us + (int64_t)ms * USEC_PER_MSEC;
	}
	if (key && (key[0] == '\0' || strlen(key) > ENTRY_KEY_BYTES_MAX ||
		    !g_utf8_validate(key, -1, NULL)))
		return "Idempotency-Key";
	call->key = g_strdup(key);
	return NULL;
}

static char *entry_digest(const char *body, size_t len)
{
	return g_compute_checksum_for_data(G_CHECKSUM_SHA256, (const guchar *)body, len);
}

/* Joins the messages of a chat into one prompt. Returns NULL, or the names of invalid fields. */
static const char *entry_read_messages(struct entry_call *call, const json_t *json)
{
	const json_t *messages = json_object_get(json, "messages");
	GString *prompt;
	size_t i;
	const json_t *message;

	if (json_array_size(messages) == 0)
		return "messages";
	prompt = g_string_new(NULL);
	json_array_foreach(messages, i, message)
	{
		const char *role = json_string_value(json_object_get(message, "role"));
		const char *content = json_string_value(json_object_get(message, "content"));

		if (!role || !content) {
			g_string_free(prompt, TRUE);
			return "messages[].role or messages[].content";
		}
		g_string_append_printf(prompt, "%s: %s\n", role, content);
	}
	call->prompt = g_string_free(prompt, FALSE);
	return NULL;
}

/* Reads the request body. Returns NULL, or what is invalid: the names of fields or a message. */
static const char *entry_read_body(struct entry_call *call, const json_t *json)
{
	const json_t *max = json_object_get(json, "max_tokens");
	const json_t *stream = json_object_get(json, "stream");
	const char *model = json_string_value(json_object_get(json, "model"));
	const char *prompt = json_string_value(json_object_get(json, "prompt"));

	if (!json_is_object(json))
		return "an object was expected";
	if (!model)
		return "model";
	if (stream && !json_is_boolean(stream))
		return "stream";
	if (max && (!json_is_integer(max) || json_integer_value(max) < 1))
		return "max_tokens";
	call->model = g_strdup(model);
	call->stream = json_is_true(stream);
	call->max_tokens = max ? (uint64_t)json_integer_value(max) : ENTRY_MAX_TOKENS_DEFAULT;
	if (call->kind == ENTRY_CHAT)
		return entry_read_messages(call, json);
	if (!prompt)
		return "prompt";
	call->prompt = g_strdup(prompt);
	return NULL;
}

static void entry_http_generate(struct entry *e, struct hd_call *http, enum entry_call_kind kind)
{
	struct entry_call *call = entry_call_new(e, http, kind);
	size_t len;
	const char *body = hd_body(http, &len);
	json_error_t error;
	json_t *json = json_loadb(body, len, 0, &error);
	const char *wrong = entry_read_headers(call);

	if (wrong) {
		entry_http_refuse(call, REQ_EARGUMENT, wrong);
	} else if (!json) {
		char *place = g_strdup_printf("line %d, column %d: %s", error.line, error.column,
					      error.text);

		entry_http_refuse(call, REQ_EBODY, place);
		g_free(place);
	} else {
		wrong = entry_read_body(call, json);
		if (wrong) {
			entry_http_refuse(call, REQ_EBODY, wrong);
		} else {
			call->digest = entry_digest(body, len);
			loop_post(&e->traffic.loop, entry_post_call, call);
		}
	}
	json_decref(json);
}

static void entry_http_completion(struct entry *e, struct hd_call *http)
{
	entry_http_generate(e, http, ENTRY_COMPLETION);
}

static void entry_http_chat(struct entry *e, struct hd_call *http)
{
	entry_http_generate(e, http, ENTRY_CHAT);
}

/* Passes a request for /svc/NAME/PATH to one of the addresses of the service NAME, as /PATH. */
static void entry_http_service(struct entry *e, struct hd_call *http)
{
	struct entry_call *call = entry_call_new(e, http, ENTRY_SERVICE);
	const char *path = prog_path_suffix(hd_path(http), "/svc/");
	const char *slash = strchr(path, '/');
	const char *type = hd_header(http, "Content-Type");
	const char *body = hd_body(http, &call->body_len);
	const char *wrong = entry_read_headers(call);

	if (wrong) {
		entry_http_refuse(call, REQ_EARGUMENT, wrong);
		return;
	}
	call->service = slash ? g_strndup(path, (gsize)(slash - path)) : g_strdup(path);
	call->service_path = g_strdup(slash ? slash + 1 : "");
	call->method = g_strdup(hd_method(http));
	call->content_type = g_strdup(type ? type : "application/octet-stream");
	call->body = g_memdup2(body, call->body_len);
	call->digest = entry_digest(body, call->body_len);
	call->model = g_strdup("");
	call->prompt = g_strdup("");
	loop_post(&e->traffic.loop, entry_post_call, call);
}

void entry_http_handler(void *ctx, struct hd_call *http)
{
	struct entry *e = ctx;
	bool known = false;

	if (prog_path_suffix(hd_path(http), "/svc/")) {
		entry_http_service(e, http);
		return;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(entry_http_routes); i++) {
		const struct entry_http_route *route = &entry_http_routes[i];

		if (strcmp(hd_path(http), route->path) != 0)
			continue;
		known = true;
		if (strcmp(hd_method(http), route->method) == 0) {
			route->fn(e, http);
			return;
		}
	}
	entry_answer_error(http, NULL, known ? REQ_EMETHOD : REQ_ENOTFOUND, NULL, 0);
}
