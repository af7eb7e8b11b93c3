#include "base/log.h"
#include "fake/engine.h"

#include <string.h>

/* HTTP interface of a model endpoint: runs and their streams, load reports, orders. */
enum {
	ENGINE_PROMPT_CHARS = 4, /* characters of a prompt that count as one token */
	USEC_PER_SEC = 1000000
};

/* Event stream that sends the tokens of a run to one caller. */
struct engine_stream {
	struct hd_call *call;
	struct engine_port *port;
	uint64_t next; /* index of the next token to send */
	bool muted;    /* nothing more is sent, but the connection stays open */
};

static void engine_complete(struct engine *engine, struct engine_port *port, struct hd_call *call,
			    const char *rest);
static void engine_resume(struct engine *engine, struct engine_port *port, struct hd_call *call,
			  const char *rest);
static void engine_cancel(struct engine *engine, struct engine_port *port, struct hd_call *call,
			  const char *rest);
static void engine_load(struct engine *engine, struct engine_port *port, struct hd_call *call,
			const char *rest);
static void engine_order(struct engine *engine, struct engine_port *port, struct hd_call *call,
			 const char *rest);

static const struct engine_route engine_routes[] = {
	{"POST", "/v1/completions", engine_complete},
	{"GET", "/v1/requests/", engine_resume},
	{"DELETE", "/v1/requests/", engine_cancel},
	{"GET", "/load", engine_load},
	{"POST", "/orders", engine_order},
};

void engine_reply_error(struct hd_call *call, int status, const char *code)
{
	prog_reply_json(call, status, json_pack("{s:s, s:s}", "ran", "no", "code", code));
}

/* Sends the tokens of the run that the stream has not sent yet. */
static void engine_send_tokens(struct engine_stream *stream, const struct sim_run *run)
{
	while (!stream->muted && stream->next < run->next) {
		uint64_t i = stream->next++ - run->first_index;
		char *line = g_strdup_printf("data: {\"attempt\":%u,\"index\":%" G_GUINT64_FORMAT
					     ",\"text\":\"%s\"}\n\n",
					     run->attempt, i + run->first_index,
					     (char *)run->texts->pdata[i]);

		if (hd_reply_write(stream->call, line, strlen(line)) < 0) {
			hd_abort(stream->call);
			stream->muted = true;
		}
		g_free(line);
	}
}

static void engine_stream_free(gpointer data)
{
	struct engine_stream *stream = data;

	hd_unref(stream->call);
	g_free(stream);
}

/* Sends the final or error event and ends the stream. If the first stage has died, the connection
 * is aborted instead, since that endpoint serves it. */
static void engine_close_stream(struct engine_stream *stream, const struct sim_run *run)
{
	char *line;

	if (stream->muted)
		return;
	if (run->state == SIM_FAILED && strcmp(run->failed_at, stream->port->endpoint->name) == 0) {
		hd_abort(stream->call);
		return;
	}
	if (run->state == SIM_DONE)
		line = g_strdup_printf(
			"data: {\"attempt\":%u,\"done\":true,\"count\":%" G_GUINT64_FORMAT "}\n\n",
			run->attempt, run->next);
	else
		line = g_strdup_printf(
			"data: {\"attempt\":%u,\"error\":\"%s\",\"endpoint\":\"%s\"}\n\n",
			run->attempt, run->state == SIM_FAILED ? "failed" : "canceled",
			run->failed_at ? run->failed_at : "");
	if (hd_reply_write(stream->call, line, strlen(line)) == 0)
		hd_reply_end(stream->call);
	else
		hd_abort(stream->call);
	g_free(line);
}

void engine_on_run_changed(void *ctx, struct sim_run *run)
{
	GPtrArray *streams = run->data;

	(void)ctx;
	for (guint i = 0; streams && i < streams->len; i++) {
		engine_send_tokens(streams->pdata[i], run);
		if (run->state != SIM_RUNNING)
			engine_close_stream(streams->pdata[i], run);
	}
	if (streams && run->state != SIM_RUNNING)
		g_ptr_array_set_size(streams, 0);
}

static void engine_attach_stream(struct engine_port *port, struct sim_run *run,
				 struct hd_call *call, uint64_t from)
{
	struct engine_stream *stream = g_new0(struct engine_stream, 1);

	if (!run->data)
		run->data = g_ptr_array_new_with_free_func(engine_stream_free);
	stream->call = call;
	stream->port = port;
	stream->next = MAX(from, run->first_index);
	hd_reply_begin(call, 200, "text/event-stream");
	g_ptr_array_add(run->data, stream);
	engine_send_tokens(stream, run);
	if (run->state != SIM_RUNNING) {
		engine_close_stream(stream, run);
		g_ptr_array_set_size(run->data, 0);
	}
}

static void engine_begin_reply(struct engine_port *port, struct sim_run *run, struct hd_call *call)
{
	if (!port->drop_next) {
		engine_attach_stream(port, run, call, run->first_index);
		return;
	}
	port->drop_next = false;
	hd_abort(call);
	hd_unref(call);
}

/* Parses the route and checks that each endpoint holds the layers of its stage. Returns NULL, or
 * an error code. */
static const char *engine_parse_route(struct engine *engine, const json_t *json,
				      struct sim_stage *stages, int *count, const char **at)
{
	const json_t *route = json_object_get(json, "route");
	const char *model = json_string_value(json_object_get(json, "model"));
	const char *version = json_string_value(json_object_get(json, "version"));
	size_t i;
	const json_t *item;

	if (!model || !version || json_array_size(route) == 0 ||
	    json_array_size(route) > SIM_STAGES_MAX)
		return "bad_route";
	*count = (int)json_array_size(route);
	json_array_foreach(route, i, item)
	{
		const char *name = json_string_value(json_object_get(item, "endpoint"));
		struct sim_endpoint *e = name ? sim_find_endpoint(&engine->sim, name) : NULL;

		*at = name;
		stages[i].endpoint = e;
		stages[i].first = (int)json_integer_value(json_object_get(item, "first"));
		stages[i].last = (int)json_integer_value(json_object_get(item, "last"));
		if (!e)
			return "unknown_endpoint";
		if (e->dead)
			return "dead_stage";
		if (e->leaving)
			return "leaving";
		if (strcmp(e->model, model) != 0 || strcmp(e->version, version) != 0 ||
		    stages[i].first < e->first || stages[i].last > e->last)
			return "not_held";
	}
	return NULL;
}

static const char *engine_json_text(const json_t *json, const char *key)
{
	const char *text = json_string_value(json_object_get(json, key));

	return text ? text : "";
}

static uint64_t engine_json_number(const json_t *json, const char *key)
{
	return (uint64_t)json_integer_value(json_object_get(json, key));
}

static void engine_start_run(struct engine *engine, struct engine_port *port, struct hd_call *call,
			     const json_t *json, const struct sim_stage *stages, int count)
{
	const struct conf_obj *model =
		conf_get(engine->conf, CONF_MODEL, engine_json_text(json, "model"));
	const char *prompt = engine_json_text(json, "prompt");
	struct sim_run_params params = {
		.request = engine_json_text(json, "request_id"),
		.key = engine_json_text(json, "key"),
		.attempt = (unsigned int)engine_json_number(json, "attempt"),
		.detached = json_is_true(json_object_get(json, "detached")),
		.prompt_hash = str_hash(prompt, strlen(prompt), 0),
		.prompt_tokens = (int64_t)strlen(prompt) / ENGINE_PROMPT_CHARS,
		.first_index = engine_json_number(json, "resume"),
		.max_tokens = engine_json_number(json, "max_tokens"),
		.layer_total = model ? (int)model->value[MODEL_LAYERS] : 0,
	};

	engine_begin_reply(port, sim_start_run(&engine->sim, &params, stages, count), call);
}

static void engine_complete(struct engine *engine, struct engine_port *port, struct hd_call *call,
			    const char *rest)
{
	size_t len;
	const char *body = hd_body(call, &len);
	json_t *json = json_loadb(body, len, 0, NULL);
	struct sim_stage stages[SIM_STAGES_MAX] = {{0}};
	int count = 0;
	const char *at = NULL;
	const char *refusal =
		json ? engine_parse_route(engine, json, stages, &count, &at) : "bad_body";

	(void)rest;
	if (!refusal && (!json_is_string(json_object_get(json, "prompt")) ||
			 !engine_json_text(json, "request_id")[0]))
		refusal = "bad_body";
	if (!refusal && stages[0].endpoint != port->endpoint)
		refusal = "bad_route";
	if (refusal)
		prog_reply_json(call, 409,
				json_pack("{s:s, s:s, s:s}", "ran", "no", "code", refusal,
					  "endpoint", at ? at : ""));
	else
		engine_start_run(engine, port, call, json, stages, count);
	json_decref(json);
}

static void engine_resume(struct engine *engine, struct engine_port *port, struct hd_call *call,
			  const char *rest)
{
	struct sim_run *run = g_hash_table_lookup(engine->sim.runs, rest);
	const char *from = hd_query(call, "from");

	if (!run || run->stages[0].endpoint != port->endpoint) {
		engine_reply_error(call, 404, "unknown_request");
		return;
	}
	engine_attach_stream(port, run, call, from ? g_ascii_strtoull(from, NULL, 10) : 0);
}

static void engine_cancel(struct engine *engine, struct engine_port *port, struct hd_call *call,
			  const char *rest)
{
	struct sim_run *run = g_hash_table_lookup(engine->sim.runs, rest);

	if (run && run->stages[0].endpoint == port->endpoint)
		sim_cancel_run(run);
	prog_reply_json(call, 200, json_object());
}

static void engine_load(struct engine *engine, struct engine_port *port, struct hd_call *call,
			const char *rest)
{
	const struct sim_endpoint *e = port->endpoint;

	(void)engine;
	(void)rest;
	prog_reply_json(call, 200,
			json_pack("{s:i, s:b, s:s, s:s, s:i, s:i, s:I}", "running",
				  port->reported_running, "leaving", port->reported_leaving,
				  "model", e->model, "version", e->version, "first", e->first,
				  "last", e->last, "fence", (json_int_t)e->fence));
}

/* Applies an order at once. An endpoint without fencing accepts any order. */
static void engine_order(struct engine *engine, struct engine_port *port, struct hd_call *call,
			 const char *rest)
{
	struct sim_endpoint *e = port->endpoint;
	size_t len;
	const char *body = hd_body(call, &len);
	json_t *json = json_loadb(body, len, 0, NULL);
	int64_t fence = json_integer_value(json_object_get(json, "fence"));
	const char *version = json_string_value(json_object_get(json, "version"));
	json_t *first = json_object_get(json, "first");
	json_t *last = json_object_get(json, "last");

	(void)engine;
	(void)rest;
	if (e->fencing && fence < e->fence) {
		json_decref(json);
		engine_reply_error(call, 409, "old_fence");
		return;
	}
	e->fence = MAX(e->fence, fence);
	if (version) {
		g_free(e->version);
		e->version = g_strdup(version);
	}
	if (json_is_integer(first) && json_is_integer(last)) {
		e->first = (int)json_integer_value(first);
		e->last = (int)json_integer_value(last);
	}
	json_decref(json);
	prog_reply_json(call, 200, json_object());
}

void engine_mute_streams(struct engine *engine, const struct engine_port *port)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, engine->sim.runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		GPtrArray *streams = ((struct sim_run *)value)->data;

		for (guint i = 0; streams && i < streams->len; i++) {
			struct engine_stream *stream = streams->pdata[i];

			if (stream->port == port)
				stream->muted = true;
		}
	}
}

/* Cancels a run that has lost all callers, unless it is detached; frees an expired run. */
static void engine_sweep_run(struct engine *engine, struct sim_run *run, int64_t now_us)
{
	GPtrArray *streams = run->data;

	for (guint i = streams ? streams->len : 0; i-- > 0;) {
		struct engine_stream *stream = streams->pdata[i];

		if (hd_client_closed(stream->call))
			g_ptr_array_remove_index(streams, i);
	}
	if (run->state == SIM_RUNNING && !run->detached && streams && streams->len == 0)
		sim_cancel_run(run);
	if (run->state != SIM_RUNNING &&
	    now_us - run->ended_us > engine->settings.keep_s * USEC_PER_SEC) {
		if (streams)
			g_ptr_array_free(streams, TRUE);
		run->data = NULL;
		sim_remove_run(run);
	}
}

void engine_sweep_runs(struct engine *engine, int64_t now_us)
{
	GList *runs = g_hash_table_get_values(engine->sim.runs);

	for (GList *l = runs; l; l = l->next)
		engine_sweep_run(engine, l->data, now_us);
	g_list_free(runs);
	engine->swept_us = now_us;
}

void engine_handle_model_call(struct engine *engine, struct engine_port *port, struct hd_call *call)
{
	if (!engine_dispatch(engine, port, call, engine_routes, G_N_ELEMENTS(engine_routes)))
		engine_reply_error(call, 404, "no_such_path");
}
