#include "base/addr.h"
#include "base/log.h"
#include "fake/sim.h"
#include "prog/common.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Stand-in for model engines and plain services: plays every endpoint and service of a file of
 * declarations, each on its own port, and keeps a ledger of what truly ran.
 */
enum {
	ENGINE_BODY_MAX = 8 << 20,
	ENGINE_PENDING_MAX = 64 << 20,
	ENGINE_TICK_US = 10000,
	ENGINE_SWEEP_US = 100000,
	USEC_PER_MSEC = 1000,
	USEC_PER_SEC = 1000000
};

struct engine_settings {
	char *admin;
	char *declarations;
	int64_t link_delay_us;
	int64_t load_lag_ms;
	int64_t keep_s;
	int64_t prefill_divisor;
	int64_t service_ms;
};

/* What one port plays. */
struct engine_port {
	struct engine *engine;
	struct sim_endpoint *endpoint; /* NULL: a plain service */
	char *service;
	char *address;
	struct loop_fd listener;
	bool listening;
	uint16_t port;
	int reported_running; /* as served: lags */
	bool reported_leaving;
	GPtrArray *calls; /* struct hd_call that are held while silent */
};

/* A caller that listens to a run. */
struct engine_stream {
	struct hd_call *call;
	struct engine_port *port;
	uint64_t next; /* index of the next token to send */
	bool mute;     /* the connection has gone silent: nothing is sent on it any more */
};

struct engine_late {
	struct hd_call *call;
	struct engine_port *port;
	char *key;
	char *request;
	int64_t due_us;
};

struct engine {
	struct engine_settings settings;
	struct loop loop;
	struct sim sim;
	struct conf_state *conf;
	struct hd *hd;
	struct hd *admin;
	struct tmr tick;
	int64_t sampled_us;
	int64_t swept_us;
	GPtrArray *ports;
	GHashTable *by_port;
	GPtrArray *late; /* answers of plain services that are not due yet */
};

struct engine_mail {
	struct engine *engine;
	struct hd_call *call;
};

typedef void (*engine_fn)(struct engine *engine, struct engine_port *port, struct hd_call *call,
			  const char *rest);

struct engine_route {
	const char *method;
	const char *prefix;
	engine_fn fn;
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
static void engine_service(struct engine *engine, struct engine_port *port, struct hd_call *call,
			   const char *rest);
static void engine_ledger(struct engine *engine, struct engine_port *port, struct hd_call *call,
			  const char *rest);
static void engine_fault(struct engine *engine, struct engine_port *port, struct hd_call *call,
			 const char *rest);
static void engine_stats(struct engine *engine, struct engine_port *port, struct hd_call *call,
			 const char *rest);
static void engine_listen(struct engine_port *port);
static void engine_on_changed(void *ctx, struct sim_run *run);

#define ENGINE_OFF(field) offsetof(struct engine_settings, field)

static const struct set_item engine_items[] = {
	{"engine", "admin", SET_ADDR, ENGINE_OFF(admin), NULL, 0, 0},
	{"engine", "declarations", SET_TEXT, ENGINE_OFF(declarations), NULL, 1, 0},
	{"engine", "link_delay_us", SET_INT, ENGINE_OFF(link_delay_us), "300", 0, 10000000},
	{"engine", "load_lag_ms", SET_INT, ENGINE_OFF(load_lag_ms), "500", 0, 100000},
	{"engine", "keep_s", SET_INT, ENGINE_OFF(keep_s), "120", 1, 100000},
	{"engine", "prefill_divisor", SET_INT, ENGINE_OFF(prefill_divisor), "64", 1, 100000},
	{"engine", "service_ms", SET_INT, ENGINE_OFF(service_ms), "20", 0, 100000},
};

static const struct engine_route engine_routes[] = {
	{"POST", "/v1/completions", engine_complete},
	{"GET", "/v1/requests/", engine_resume},
	{"DELETE", "/v1/requests/", engine_cancel},
	{"GET", "/load", engine_load},
	{"POST", "/orders", engine_order},
};

static const struct engine_route engine_admin_routes[] = {
	{"GET", "/ledger", engine_ledger},
	{"POST", "/fault", engine_fault},
	{"GET", "/stats", engine_stats},
};

static const struct sim_ops engine_sim_ops = {engine_on_changed};

static void engine_error(struct hd_call *call, int status, const char *code)
{
	prog_reply_json(call, status, json_pack("{s:s, s:s}", "ran", "no", "code", code));
}

/* Sends what the run has beyond what this caller has got. */
static void engine_push(struct engine_stream *stream, const struct sim_run *run)
{
	while (!stream->mute && stream->next < run->next) {
		uint64_t i = stream->next++ - run->first_index;
		char *line = g_strdup_printf("data: {\"attempt\":%u,\"index\":%" G_GUINT64_FORMAT
					     ",\"text\":\"%s\"}\n\n",
					     run->attempt, i + run->first_index,
					     (char *)run->texts->pdata[i]);

		if (!hd_write(stream->call, line, strlen(line)))
			stream->mute = true;
		g_free(line);
	}
}

static void engine_stream_free(gpointer data)
{
	struct engine_stream *stream = data;

	hd_unref(stream->call);
	g_free(stream);
}

/* The last frame, or what went wrong. A dead first stage takes its connections with it. */
static void engine_close(struct engine_stream *stream, const struct sim_run *run)
{
	char *line;

	if (stream->mute)
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
	hd_write(stream->call, line, strlen(line));
	hd_end(stream->call);
	g_free(line);
}

static void engine_on_changed(void *ctx, struct sim_run *run)
{
	GPtrArray *streams = run->data;

	(void)ctx;
	for (guint i = 0; streams && i < streams->len; i++) {
		engine_push(streams->pdata[i], run);
		if (run->state != SIM_RUNNING)
			engine_close(streams->pdata[i], run);
	}
	if (streams && run->state != SIM_RUNNING)
		g_ptr_array_set_size(streams, 0);
}

static void engine_attach(struct engine_port *port, struct sim_run *run, struct hd_call *call,
			  uint64_t from)
{
	struct engine_stream *stream = g_new0(struct engine_stream, 1);

	if (!run->data)
		run->data = g_ptr_array_new_with_free_func(engine_stream_free);
	stream->call = call;
	stream->port = port;
	stream->next = MAX(from, run->first_index);
	hd_begin(call, 200, "text/event-stream");
	g_ptr_array_add(run->data, stream);
	engine_push(stream, run);
	if (run->state != SIM_RUNNING) {
		engine_close(stream, run);
		g_ptr_array_set_size(run->data, 0);
	}
}

/* Reads the route; every stage must hold what it is asked to run. Returns NULL or a refusal. */
static const char *engine_route_of(struct engine *engine, const json_t *json,
				   struct sim_stage *stages, int *count)
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
		struct sim_endpoint *e = name ? sim_find(&engine->sim, name) : NULL;

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

static void engine_complete(struct engine *engine, struct engine_port *port, struct hd_call *call,
			    const char *rest)
{
	size_t len;
	const char *body = hd_body(call, &len);
	json_t *json = json_loadb(body, len, 0, NULL);
	struct sim_stage stages[SIM_STAGES_MAX] = {{0}};
	int count = 0;
	const char *refusal = json ? engine_route_of(engine, json, stages, &count) : "bad_body";
	const char *prompt = json_string_value(json_object_get(json, "prompt"));
	const char *id = json_string_value(json_object_get(json, "request_id"));
	const char *key = json_string_value(json_object_get(json, "key"));
	const struct conf_obj *model = NULL;

	(void)rest;
	if (!refusal && (!prompt || !id))
		refusal = "bad_body";
	if (!refusal && stages[0].endpoint != port->endpoint)
		refusal = "bad_route";
	if (!refusal) {
		struct sim_run_params params = {
			.request = id,
			.key = key ? key : "",
			.attempt =
				(unsigned int)json_integer_value(json_object_get(json, "attempt")),
			.detached = json_is_true(json_object_get(json, "detached")),
			.prompt_hash = str_hash(prompt, strlen(prompt), 0),
			.prompt_tokens = (int64_t)strlen(prompt) / 4,
			.first_index =
				(uint64_t)json_integer_value(json_object_get(json, "resume")),
			.max_tokens =
				(uint64_t)json_integer_value(json_object_get(json, "max_tokens")),
		};

		model = conf_get(engine->conf, CONF_MODEL, port->endpoint->model);
		params.layer_total = (int)model->value[MODEL_LAYERS];
		engine_attach(port, sim_start(&engine->sim, &params, stages, count), call,
			      params.first_index);
	} else {
		engine_error(call, 409, refusal);
	}
	json_decref(json);
}

static void engine_resume(struct engine *engine, struct engine_port *port, struct hd_call *call,
			  const char *rest)
{
	struct sim_run *run = g_hash_table_lookup(engine->sim.runs, rest);
	const char *from = hd_query(call, "from");

	if (!run || run->stages[0].endpoint != port->endpoint) {
		engine_error(call, 404, "unknown_request");
		return;
	}
	engine_attach(port, run, call, from ? g_ascii_strtoull(from, NULL, 10) : 0);
}

static void engine_cancel(struct engine *engine, struct engine_port *port, struct hd_call *call,
			  const char *rest)
{
	struct sim_run *run = g_hash_table_lookup(engine->sim.runs, rest);

	if (run && run->stages[0].endpoint == port->endpoint)
		sim_cancel(run);
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

/* Takes effect at once; a deployment's engine that ignores fencing takes any order. */
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
		engine_error(call, 409, "old_fence");
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

static void engine_late_free(gpointer data)
{
	struct engine_late *late = data;

	g_free(late->key);
	g_free(late->request);
	g_free(late);
}

/* A plain service does its work when the call comes in and answers after a while. */
static void engine_service(struct engine *engine, struct engine_port *port, struct hd_call *call,
			   const char *rest)
{
	const char *key = hd_header(call, "Idempotency-Key");
	const char *request = hd_header(call, "Bg-Request");
	struct engine_late *late = g_new0(struct engine_late, 1);

	(void)rest;
	late->call = call;
	late->port = port;
	late->key = g_strdup(key ? key : "");
	late->request = g_strdup(request ? request : "");
	late->due_us = tmr_now() + engine->settings.service_ms * USEC_PER_MSEC;
	sim_ledger_entry(&engine->sim, late->key, late->request)->attempts++;
	g_ptr_array_add(engine->late, late);
}

static void engine_ledger(struct engine *engine, struct engine_port *port, struct hd_call *call,
			  const char *rest)
{
	json_t *runs = json_array();

	(void)port;
	(void)rest;
	for (guint i = 0; i < engine->sim.ledger_order->len; i++) {
		const struct sim_ledger *entry = engine->sim.ledger_order->pdata[i];

		json_array_append_new(
			runs, json_pack("{s:s, s:s, s:I, s:I, s:I}", "key", entry->key, "request",
					entry->request, "attempts", (json_int_t)entry->attempts,
					"tokens", (json_int_t)entry->tokens, "layer_violations",
					(json_int_t)entry->violations));
	}
	prog_reply_json(call, 200, json_pack("{s:o}", "runs", runs));
}

static void engine_stats(struct engine *engine, struct engine_port *port, struct hd_call *call,
			 const char *rest)
{
	json_t *list = json_array();

	(void)port;
	(void)rest;
	for (guint i = 0; i < engine->sim.endpoints->len; i++) {
		const struct sim_endpoint *e = engine->sim.endpoints->pdata[i];

		json_array_append_new(list,
				      json_pack("{s:s, s:I, s:I, s:i}", "endpoint", e->name,
						"passes", (json_int_t)e->passes, "busy_us",
						(json_int_t)e->busy_us, "running", e->running));
	}
	prog_reply_json(call, 200, json_pack("{s:o}", "endpoints", list));
}

static void engine_mute(struct engine *engine, const struct engine_port *port)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, engine->sim.runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		GPtrArray *streams = ((struct sim_run *)value)->data;

		for (guint i = 0; streams && i < streams->len; i++) {
			struct engine_stream *stream = streams->pdata[i];

			if (stream->port == port)
				stream->mute = true;
		}
	}
}

static void engine_unlisten(struct engine_port *port)
{
	if (!port->listening)
		return;
	port->listening = false;
	loop_fd_del(&port->engine->loop, &port->listener);
	close(port->listener.fd);
}

static struct engine_port *engine_port_named(struct engine *engine, const char *name)
{
	for (guint i = 0; i < engine->ports->len; i++) {
		struct engine_port *port = engine->ports->pdata[i];
		const char *own = port->endpoint ? port->endpoint->name : port->service;

		if (strcmp(own, name) == 0)
			return port;
	}
	return NULL;
}

/* {"endpoint": NAME, "fault": "die|revive|silent|wake|leave|mute|slow", "factor": N} */
static void engine_apply_fault(struct engine *engine, struct engine_port *port, const char *fault,
			       double factor)
{
	struct sim_endpoint *e = port->endpoint;

	if (strcmp(fault, "die") == 0) {
		engine_unlisten(port);
		if (e)
			sim_kill(&engine->sim, e);
	} else if (strcmp(fault, "revive") == 0) {
		engine_listen(port);
		if (e)
			sim_revive(e);
	} else if (e && strcmp(fault, "silent") == 0) {
		sim_set_silent(&engine->sim, e, true);
	} else if (e && strcmp(fault, "wake") == 0) {
		sim_set_silent(&engine->sim, e, false);
	} else if (e && strcmp(fault, "leave") == 0) {
		e->leaving = true;
	} else if (strcmp(fault, "mute") == 0) {
		engine_mute(engine, port);
	} else if (e && strcmp(fault, "slow") == 0) {
		e->slow = factor;
	}
}

static void engine_fault(struct engine *engine, struct engine_port *port, struct hd_call *call,
			 const char *rest)
{
	size_t len;
	const char *body = hd_body(call, &len);
	json_t *json = json_loadb(body, len, 0, NULL);
	const char *name = json_string_value(json_object_get(json, "endpoint"));
	const char *fault = json_string_value(json_object_get(json, "fault"));

	(void)rest;
	port = name ? engine_port_named(engine, name) : NULL;
	if (!port || !fault) {
		prog_reply_json(call, 400,
				json_pack("{s:s}", "error", "unknown endpoint or fault"));
	} else {
		log_msg(LOG_INFO, "fault endpoint=%s fault=%s", name, fault);
		engine_apply_fault(engine, port, fault,
				   json_number_value(json_object_get(json, "factor")));
		prog_reply_json(call, 200, json_object());
	}
	json_decref(json);
}

static bool engine_dispatch(struct engine *engine, struct engine_port *port, struct hd_call *call,
			    const struct engine_route *routes, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		const char *rest = prog_path_below(hd_path(call), routes[i].prefix);

		if (rest && strcmp(hd_method(call), routes[i].method) == 0) {
			routes[i].fn(engine, port, call, rest);
			return true;
		}
	}
	return false;
}

static void engine_handle(struct engine *engine, struct engine_port *port, struct hd_call *call)
{
	if (!port->endpoint) {
		engine_service(engine, port, call, "");
		return;
	}
	if (!engine_dispatch(engine, port, call, engine_routes, G_N_ELEMENTS(engine_routes)))
		engine_error(call, 404, "no_such_path");
}

static void engine_on_call(void *ctx)
{
	struct engine_mail *mail = ctx;
	struct engine *engine = mail->engine;
	struct hd_call *call = mail->call;
	struct engine_port *port =
		g_hash_table_lookup(engine->by_port, GINT_TO_POINTER(hd_local_port(call)));

	g_free(mail);
	if (!port) {
		if (!engine_dispatch(engine, NULL, call, engine_admin_routes,
				     G_N_ELEMENTS(engine_admin_routes)))
			engine_error(call, 404, "no_such_path");
	} else if (port->endpoint && port->endpoint->dead) {
		hd_abort(call);
		hd_unref(call);
	} else if (port->endpoint && port->endpoint->silent) {
		g_ptr_array_add(port->calls, call);
	} else {
		engine_handle(engine, port, call);
	}
}

static void engine_handler(void *ctx, struct hd_call *call)
{
	struct engine_mail *mail = g_new(struct engine_mail, 1);

	mail->engine = ctx;
	mail->call = call;
	loop_post(&mail->engine->loop, engine_on_call, mail);
}

static void engine_on_accept(void *ctx, uint32_t events)
{
	struct engine_port *port = ctx;
	int fd = accept(port->listener.fd, NULL, NULL);

	(void)events;
	if (fd >= 0)
		hd_adopt(port->engine->hd, fd);
}

static void engine_listen(struct engine_port *port)
{
	if (port->listening)
		return;
	port->listener.fd = addr_listen(port->address);
	if (port->listener.fd < 0) {
		log_msg(LOG_ERR, "listen_failed addr=%s", port->address);
		exit(PROG_EXIT_FAILED);
	}
	port->listening = true;
	loop_fd_add(&port->engine->loop, &port->listener, EPOLLIN);
}

static void engine_add_port(struct engine *engine, struct sim_endpoint *endpoint,
			    const char *service, const char *address)
{
	struct engine_port *port = g_new0(struct engine_port, 1);
	struct sockaddr_in sin;

	addr_parse(address, &sin);
	port->engine = engine;
	port->endpoint = endpoint;
	port->service = g_strdup(service);
	port->address = g_strdup(address);
	port->port = ntohs(sin.sin_port);
	port->listener.fn = engine_on_accept;
	port->listener.ctx = port;
	port->calls = g_ptr_array_new();
	g_ptr_array_add(engine->ports, port);
	g_hash_table_insert(engine->by_port, GINT_TO_POINTER((int)port->port), port);
	engine_listen(port);
}

static void engine_add_service(void *ctx, const struct conf_obj *obj)
{
	gchar **addresses = g_strsplit(obj->text[SERVICE_ADDRESS], ",", -1);

	for (gchar **a = addresses; *a; a++)
		engine_add_port(ctx, NULL, obj->name, *a);
	g_strfreev(addresses);
}

/* A run whose callers have all gone is ended, unless it was asked to go on without them. */
static void engine_sweep_run(struct engine *engine, struct sim_run *run, int64_t now_us)
{
	GPtrArray *streams = run->data;

	for (guint i = streams ? streams->len : 0; i-- > 0;) {
		struct engine_stream *stream = streams->pdata[i];

		if (hd_gone(stream->call))
			g_ptr_array_remove_index(streams, i);
	}
	if (run->state == SIM_RUNNING && !run->detached && streams && streams->len == 0)
		sim_cancel(run);
	if (run->state != SIM_RUNNING &&
	    now_us - run->ended_us > engine->settings.keep_s * USEC_PER_SEC) {
		if (streams)
			g_ptr_array_free(streams, TRUE);
		run->data = NULL;
		sim_forget(run);
	}
}

static void engine_sweep(struct engine *engine, int64_t now_us)
{
	GList *runs = g_hash_table_get_values(engine->sim.runs);

	for (GList *l = runs; l; l = l->next)
		engine_sweep_run(engine, l->data, now_us);
	g_list_free(runs);
	engine->swept_us = now_us;
}

static void engine_sample(struct engine *engine)
{
	for (guint i = 0; i < engine->ports->len; i++) {
		struct engine_port *port = engine->ports->pdata[i];

		if (!port->endpoint)
			continue;
		port->reported_running = port->endpoint->running;
		port->reported_leaving = port->endpoint->leaving;
	}
}

static void engine_answer_late(struct engine *engine, int64_t now_us)
{
	for (guint i = engine->late->len; i-- > 0;) {
		struct engine_late *late = engine->late->pdata[i];

		if (late->due_us > now_us)
			continue;
		prog_reply_json(late->call, 200,
				json_pack("{s:s, s:s, s:s}", "service", late->port->service, "key",
					  late->key, "request", late->request));
		g_ptr_array_remove_index(engine->late, i);
	}
}

static void engine_release_held(struct engine *engine)
{
	for (guint i = 0; i < engine->ports->len; i++) {
		struct engine_port *port = engine->ports->pdata[i];

		while (port->endpoint && !port->endpoint->silent && port->calls->len > 0) {
			struct hd_call *call = g_ptr_array_steal_index(port->calls, 0);

			engine_handle(engine, port, call);
		}
	}
}

static void engine_on_tick(void *ctx, int64_t now_us)
{
	struct engine *engine = ctx;

	if (now_us - engine->swept_us >= ENGINE_SWEEP_US)
		engine_sweep(engine, now_us);
	engine_answer_late(engine, now_us);
	engine_release_held(engine);
	if (now_us - engine->sampled_us >= engine->settings.load_lag_ms * USEC_PER_MSEC) {
		engine->sampled_us = now_us;
		engine_sample(engine);
	}
	loop_after(&engine->loop, &engine->tick, ENGINE_TICK_US, engine_on_tick, engine);
}

static void engine_stop(void *ctx)
{
	struct engine *engine = ctx;

	loop_stop(&engine->loop);
}

static struct conf_state *engine_declarations(const char *path)
{
	struct conf_state *empty = conf_state_new();
	struct conf_problem problem;
	struct conf_state *conf;
	char *text = NULL;
	gsize len = 0;
	int err;

	if (!g_file_get_contents(path, &text, &len, NULL)) {
		log_msg(LOG_ERR, "declarations_unreadable file=%s", path);
		exit(PROG_EXIT_USAGE);
	}
	conf = conf_apply(empty, str_make(text, len), &problem, &err);
	if (!conf) {
		log_msg(LOG_ERR, "declarations_wrong file=%s line=%d reason=\"%s\"", path,
			problem.line, problem.text);
		exit(PROG_EXIT_USAGE);
	}
	g_free(text);
	conf_state_unref(empty);
	return conf;
}

int main(int argc, char **argv)
{
	struct engine engine = {.sampled_us = 0};
	struct hd_config config = {
		.threads = 4,
		.body_max = ENGINE_BODY_MAX,
		.pending_max = ENGINE_PENDING_MAX,
		.handler = engine_handler,
		.ctx = &engine,
	};

	prog_start(&argc, &argv, "Stand-in for model engines and plain services.", engine_items,
		   G_N_ELEMENTS(engine_items), &engine.settings);
	if (loop_init(&engine.loop) < 0)
		return PROG_EXIT_FAILED;
	prog_on_stop(&engine.loop, engine_stop, &engine);
	sim_init(&engine.sim, &engine.loop, &engine_sim_ops, &engine);
	engine.sim.link_delay_us = engine.settings.link_delay_us;
	engine.sim.prefill_divisor = engine.settings.prefill_divisor;
	engine.ports = g_ptr_array_new();
	engine.by_port = g_hash_table_new(NULL, NULL);
	engine.late = g_ptr_array_new_with_free_func(engine_late_free);
	engine.conf = engine_declarations(engine.settings.declarations);
	sim_load(&engine.sim, engine.conf);
	engine.hd = hd_start(&config);
	config.addr = engine.settings.admin;
	config.threads = 1;
	engine.admin = hd_start(&config);
	if (!engine.hd || !engine.admin) {
		log_msg(LOG_ERR, "listen_failed addr=%s", engine.settings.admin);
		return PROG_EXIT_FAILED;
	}
	for (guint i = 0; i < engine.sim.endpoints->len; i++) {
		struct sim_endpoint *e = engine.sim.endpoints->pdata[i];

		engine_add_port(&engine, e, NULL, e->address);
	}
	conf_each(engine.conf, CONF_SERVICE, engine_add_service, &engine);
	log_msg(LOG_INFO, "started admin=%s endpoints=%u", engine.settings.admin,
		engine.sim.endpoints->len);
	loop_after(&engine.loop, &engine.tick, ENGINE_TICK_US, engine_on_tick, &engine);
	loop_run(&engine.loop);
	log_msg(LOG_INFO, "stopped");
	return PROG_EXIT_OK;
}
