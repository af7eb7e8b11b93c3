#include "base/log.h"
#include "prog/entry_call.h"

#include <stdlib.h>
#include <string.h>

/*
 * Answers to callers, in the format of the completions interface that common client libraries use.
 */

/* Values of the JSON field "object". */
struct entry_format {
	const char *object;	  /* in an answer that is sent as a whole */
	const char *chunk_object; /* in each part of a streamed answer */
};

static const struct entry_format entry_formats[ENTRY_CALL_KIND_COUNT] = {
	[ENTRY_COMPLETION] = {"text_completion", "text_completion"},
	[ENTRY_CHAT] = {"chat.completion", "chat.completion.chunk"},
};

/* Sets the headers that every answer has. ran: value of the header Bg-Ran. */
static void entry_set_headers(struct hd_call *http, const char *request, const char *ran,
			      int64_t retry_us)
{
	hd_set_header(http, "Bg-Ran", ran);
	if (request)
		hd_set_header(http, "Bg-Request", request);
	if (retry_us > 0) {
		char *seconds = g_strdup_printf("%" G_GINT64_FORMAT,
						(retry_us + USEC_PER_SEC - 1) / USEC_PER_SEC);
		char *ms = g_strdup_printf("%" G_GINT64_FORMAT, retry_us / USEC_PER_MSEC);

		hd_set_header(http, "Retry-After", seconds);
		hd_set_header(http, "Bg-Retry-After-Ms", ms);
		g_free(seconds);
		g_free(ms);
	}
}

static json_t *entry_error_json(enum req_code code, const char *detail)
{
	const struct req_code_info *info = req_code_info(code);
	json_t *error = json_pack("{s:s, s:s, s:s}", "code", info->name, "message", info->sentence,
				  "ran", req_ran_name(info->ran));

	if (detail)
		json_object_set_new(error, "detail", json_string(detail));
	return json_pack("{s:o}", "error", error);
}

void entry_answer_error(struct hd_call *http, const char *request, enum req_code code,
			const char *detail, int64_t retry_us)
{
	const struct req_code_info *info = req_code_info(code);

	if (!http)
		return;
	entry_set_headers(http, request, req_ran_name(info->ran), retry_us);
	prog_reply_json(http, info->status, entry_error_json(code, detail));
}

/* Returns the route as "ENDPOINT:FIRST-LAST,...", with first and last layer; g_free() it. */
static char *entry_route_text(const struct entry_call *call)
{
	GString *text = g_string_new(NULL);

	for (guint i = 0; call->stages && i < call->stages->len; i++) {
		const struct entry_stage *stage = call->stages->pdata[i];

		g_string_append_printf(text, "%s%s:%d-%d", i > 0 ? "," : "", stage->name,
				       stage->first, stage->last);
	}
	return g_string_free(text, FALSE);
}

static void entry_set_route(struct entry_call *call)
{
	char *route = entry_route_text(call);

	if (route[0])
		hd_set_header(call->http, "Bg-Route", route);
	g_free(route);
}

static json_t *entry_answer_choice(const struct entry_call *call, const char *text, size_t len,
				   const char *finish)
{
	json_t *choice = json_pack("{s:i, s:s?}", "index", 0, "finish_reason", finish);
	json_t *content = json_stringn(text, len);

	if (call->kind == ENTRY_COMPLETION) {
		json_object_set_new(choice, "text", content);
		return choice;
	}
	json_object_set_new(choice, call->stream ? "delta" : "message",
			    json_pack("{s:s, s:o}", "role", "assistant", "content", content));
	return choice;
}

static json_t *entry_answer_object(const struct entry_call *call, const char *object,
				   json_t *choice)
{
	return json_pack("{s:s, s:s, s:I, s:s, s:[o]}", "id", call->request, "object", object,
			 "created", (json_int_t)(g_get_real_time() / USEC_PER_SEC), "model",
			 call->model, "choices", choice);
}

/* Sends one server-sent event. Returns false if the caller has disconnected or reads too slowly. */
static bool entry_answer_event(struct entry_call *call, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);
	char *line = g_strdup_printf("data: %s\n\n", text);
	bool ok = hd_reply_write(call->http, line, strlen(line)) == 0;

	g_free(line);
	free(text);
	json_decref(json);
	return ok;
}

/*
 * A caller that reads too slowly is treated as disconnected, since unsent parts of its answer would
 * otherwise accumulate without limit. entry_on_sweep_timer() ends its request.
 */
void entry_answer_token(struct entry_call *call, uint64_t index, const char *text, size_t len)
{
	(void)index;
	if (!call->http || !call->stream || call->kind == ENTRY_SERVICE)
		return;
	if (!call->answer_begun) {
		call->answer_begun = true;
		entry_set_headers(call->http, call->request, req_ran_name(REQ_RAN_YES), 0);
		entry_set_route(call);
		hd_reply_begin(call->http, 200, "text/event-stream");
	}
	if (!entry_answer_event(call,
				entry_answer_object(call, entry_formats[call->kind].chunk_object,
						    entry_answer_choice(call, text, len, NULL))))
		call->too_slow = true;
}

static json_t *entry_answer_usage(const struct entry_call *call)
{
	return json_pack("{s:i, s:i, s:i}", "prompt_tokens", (int)strlen(call->prompt) / 4,
			 "completion_tokens", (int)call->tokens->len, "attempts",
			 (int)call->req.attempt);
}

static void entry_finish_stream(struct entry_call *call, enum req_code code)
{
	static const char done[] = "data: [DONE]\n\n";
	json_t *last;

	if (code != REQ_OK) {
		entry_answer_event(call, entry_error_json(code, NULL));
		hd_abort(call->http);
		return;
	}
	last = entry_answer_object(call, entry_formats[call->kind].chunk_object,
				   entry_answer_choice(call, "", 0, "length"));
	json_object_set_new(last, "usage", entry_answer_usage(call));
	if (entry_answer_event(call, last) &&
	    hd_reply_write(call->http, done, sizeof(done) - 1) == 0)
		hd_reply_end(call->http);
	else
		hd_abort(call->http);
}

static void entry_finish_whole(struct entry_call *call)
{
	GString *text = g_string_new(NULL);
	json_t *json;
	char *body;

	for (guint i = 0; i < call->tokens->len; i++) {
		gsize len;
		const char *part = g_bytes_get_data(call->tokens->pdata[i], &len);

		g_string_append_len(text, part, (gssize)len);
	}
	json = entry_answer_object(call, entry_formats[call->kind].object,
				   entry_answer_choice(call, text->str, text->len, "length"));
	json_object_set_new(json, "usage", entry_answer_usage(call));
	body = json_dumps(json, JSON_COMPACT);
	entry_set_headers(call->http, call->request, req_ran_name(REQ_RAN_YES), 0);
	entry_set_route(call);
	hd_reply(call->http, 200, "application/json", body, strlen(body));
	free(body);
	json_decref(json);
	g_string_free(text, TRUE);
}

static void entry_finish_service(struct entry_call *call)
{
	gsize len = 0;
	const char *body = "";

	if (call->tokens->len > 0)
		body = g_bytes_get_data(call->tokens->pdata[0], &len);
	entry_set_headers(call->http, call->request, req_ran_name(REQ_RAN_YES), 0);
	hd_reply(call->http, call->service_status, "application/json", len > 0 ? body : "", len);
}

/* Sends the headers of a streamed answer that has no tokens. */
static void entry_begin_stream(struct entry_call *call)
{
	call->answer_begun = true;
	entry_set_headers(call->http, call->request, req_ran_name(REQ_RAN_YES), 0);
	hd_reply_begin(call->http, 200, "text/event-stream");
}

void entry_answer_finish(struct entry_call *call, enum req_code code, int64_t retry_us)
{
	if (!call->http)
		return;
	if (code == REQ_OK && call->stream && !call->answer_begun && call->kind != ENTRY_SERVICE)
		entry_begin_stream(call);
	if (call->answer_begun) {
		entry_finish_stream(call, code);
	} else if (code != REQ_OK) {
		entry_answer_error(call->http, call->request, code, NULL, retry_us);
		call->http = NULL;
		return;
	} else if (call->kind == ENTRY_SERVICE) {
		entry_finish_service(call);
	} else {
		entry_finish_whole(call);
	}
	hd_unref(call->http);
	call->http = NULL;
}
