#include "base/addr.h"
#include "base/log.h"
#include "fake/engine.h"

#include <arpa/inet.h>
#include <string.h>

/*
 * Simulates model engines and plain services: serves every endpoint and service of a declarations
 * file, each on its own port, and keeps a ledger of all work that was executed.
 */
enum {
	ENGINE_BODY_MAX = 8 << 20,     /* largest request body, in bytes */
	ENGINE_PENDING_MAX = 64 << 20, /* most unsent data of a response, in bytes */
	ENGINE_TICK_US = 10000,	       /* interval of the periodic timer, in microseconds */
	ENGINE_SWEEP_US = 100000,      /* interval between sweeps of the runs, in microseconds */
	USEC_PER_MSEC = 1000,
	USEC_PER_SEC = 1000000
};

/* Request that an HTTP thread posts to the event loop. */
struct engine_posted_call {
	struct engine *engine;
	struct hd_call *call;
};

#define ENGINE_OFF(field) offsetof(struct engine_settings, field)

static const struct settings_item engine_items[] = {
	{"engine", "admin", SETTINGS_ADDR, ENGINE_OFF(admin), NULL, 0, 0},
	{"engine", "declarations", SETTINGS_TEXT, ENGINE_OFF(declarations), NULL, 1, 0},
	{"engine", "link_delay_us", SETTINGS_INT, ENGINE_OFF(link_delay_us), "300", 0, 10000000},
	{"engine", "load_lag_ms", SETTINGS_INT, ENGINE_OFF(load_lag_ms), "500", 0, 100000},
	{"engine", "keep_s", SETTINGS_INT, ENGINE_OFF(keep_s), "120", 1, 100000},
	{"engine", "prefill_divisor", SETTINGS_INT, ENGINE_OFF(prefill_divisor), "64", 1, 100000},
	{"engine", "service_ms", SETTINGS_INT, ENGINE_OFF(service_ms), "20", 0, 100000},
};

static const struct sim_ops engine_sim_ops = {engine_on_run_changed};

bool engine_dispatch(struct engine *engine, struct engine_port *port, struct hd_call *call,
		     const struct engine_route *routes, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		const char *rest = prog_path_suffix(hd_path(call), routes[i].prefix);

		if (rest && strcmp(hd_method(call), routes[i].method) == 0) {
			routes[i].fn(engine, port, call, rest);
			return true;
		}
	}
	return false;
}

static void engine_handle(struct engine *engine, struct engine_port *port, struct hd_call *call)
{
	if (port->endpoint)
		engine_handle_model_call(engine, port, call);
	else
		engine_handle_service_call(engine, port, call);
}

static void engine_on_call(void *ctx)
{
	struct engine_posted_call *posted = ctx;
	struct engine *engine = posted->engine;
	struct hd_call *call = posted->call;
	struct engine_port *port =
		g_hash_table_lookup(engine->by_port, GINT_TO_POINTER(hd_local_port(call)));

	g_free(posted);
	if (!port) {
		engine_handle_admin_call(engine, call);
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
	struct engine_posted_call *posted = g_new(struct engine_posted_call, 1);

	posted->engine = ctx;
	posted->call = call;
	loop_post(&posted->engine->loop, engine_on_call, posted);
}

static void engine_on_connection(void *ctx, int fd)
{
	struct engine_port *port = ctx;

	hd_adopt(port->engine->hd, fd);
}

void engine_listen(struct engine_port *port)
{
	struct loop *loop = &port->engine->loop;

	if (lsn_open(&port->listener, loop, port->address, engine_on_connection, port) < 0) {
		log_msg(LOG_ERR, "listen_failed addr=%s", port->address);
		exit(PROG_EXIT_FAILED);
	}
}

static void engine_add_port(struct engine *engine, struct sim_endpoint *endpoint,
			    const char *service, const char *address)
{
	struct engine_port *port = g_new0(struct engine_port, 1);
	struct sockaddr_in sin;

	if (addr_parse(address, &sin) < 0) {
		log_msg(LOG_ERR, "listen_failed addr=%s", address);
		exit(PROG_EXIT_FAILED);
	}
	port->engine = engine;
	port->endpoint = endpoint;
	port->service = g_strdup(service);
	port->address = g_strdup(address);
	port->port = ntohs(sin.sin_port);
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

static void engine_sample_load(struct engine *engine)
{
	for (guint i = 0; i < engine->ports->len; i++) {
		struct engine_port *port = engine->ports->pdata[i];

		if (!port->endpoint)
			continue;
		port->reported_running = port->endpoint->running;
		port->reported_leaving = port->endpoint->leaving;
	}
}

static void engine_handle_held_calls(struct engine *engine)
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
		engine_sweep_runs(engine, now_us);
	engine_send_due_replies(engine, now_us);
	engine_handle_held_calls(engine);
	if (now_us - engine->sampled_us >= engine->settings.load_lag_ms * USEC_PER_MSEC) {
		engine->sampled_us = now_us;
		engine_sample_load(engine);
	}
	loop_start_timer(&engine->loop, &engine->tick, ENGINE_TICK_US, engine_on_tick, engine);
}

static void engine_stop(void *ctx)
{
	struct engine *engine = ctx;

	loop_stop(&engine->loop);
}

static struct conf_state *engine_read_declarations(const char *path)
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
	/* Static, because the HTTP library's threads may still post a call while main() returns. */
	static struct engine engine;
	struct hd_config config = {
		.threads = 4,
		.body_max = ENGINE_BODY_MAX,
		.pending_max = ENGINE_PENDING_MAX,
		.handler = engine_handler,
		.ctx = &engine,
	};

	prog_start(&argc, &argv, "Simulator of model engines and plain services.", engine_items,
		   G_N_ELEMENTS(engine_items), &engine.settings);
	if (loop_init(&engine.loop) < 0)
		return PROG_EXIT_FAILED;
	prog_on_stop(&engine.loop, engine_stop, &engine);
	sim_init(&engine.sim, &engine.loop, &engine_sim_ops, &engine);
	engine.sim.link_delay_us = engine.settings.link_delay_us;
	engine.sim.prefill_divisor = engine.settings.prefill_divisor;
	engine.ports = g_ptr_array_new();
	engine.by_port = g_hash_table_new(NULL, NULL);
	engine.conf = engine_read_declarations(engine.settings.declarations);
	sim_add_declarations(&engine.sim, engine.conf);
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
	conf_for_each(engine.conf, CONF_SERVICE, engine_add_service, &engine);
	log_msg(LOG_INFO, "started admin=%s endpoints=%u", engine.settings.admin,
		engine.sim.endpoints->len);
	loop_start_timer(&engine.loop, &engine.tick, ENGINE_TICK_US, engine_on_tick, &engine);
	loop_run(&engine.loop);
	log_msg(LOG_INFO, "stopped");
	return PROG_EXIT_OK;
}
