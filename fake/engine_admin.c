#include "base/log.h"
#include "fake/engine.h"

#include <string.h>

/* Admin interface: ledger of the executed work, statistics and fault injection. */
static void engine_ledger(struct engine *engine, struct engine_port *port, struct hd_call *call,
			  const char *rest);
static void engine_fault(struct engine *engine, struct engine_port *port, struct hd_call *call,
			 const char *rest);
static void engine_stats(struct engine *engine, struct engine_port *port, struct hd_call *call,
			 const char *rest);

static const struct engine_route engine_admin_routes[] = {
	{"GET", "/ledger", engine_ledger},
	{"POST", "/fault", engine_fault},
	{"GET", "/stats", engine_stats},
};

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

static struct engine_port *engine_find_port(struct engine *engine, const char *name)
{
	for (guint i = 0; i < engine->ports->len; i++) {
		struct engine_port *port = engine->ports->pdata[i];
		const char *own = port->endpoint ? port->endpoint->name : port->service;

		if (strcmp(own, name) == 0)
			return port;
	}
	return NULL;
}

/* Body of POST /fault: {"endpoint": NAME, "fault": "die|revive|silent|wake|leave|mute|drop|slow",
 * "factor": N} */
static void engine_apply_fault(struct engine *engine, struct engine_port *port, const char *fault,
			       double factor)
{
	struct sim_endpoint *e = port->endpoint;

	if (strcmp(fault, "die") == 0) {
		lsn_close(&port->listener);
		if (e)
			sim_kill_endpoint(&engine->sim, e);
	} else if (strcmp(fault, "revive") == 0) {
		engine_listen(port);
		if (e)
			sim_revive_endpoint(e);
	} else if (e && strcmp(fault, "silent") == 0) {
		sim_set_silent(&engine->sim, e, true);
	} else if (e && strcmp(fault, "wake") == 0) {
		sim_set_silent(&engine->sim, e, false);
	} else if (e && strcmp(fault, "leave") == 0) {
		e->leaving = true;
	} else if (strcmp(fault, "drop") == 0) {
		port->drop_next = true;
	} else if (strcmp(fault, "mute") == 0) {
		engine_mute_streams(engine, port);
	} else if (e && strcmp(fault, "slow") == 0) {
		e->slowdown = factor;
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
	port = name ? engine_find_port(engine, name) : NULL;
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

void engine_handle_admin_call(struct engine *engine, struct hd_call *call)
{
	if (!engine_dispatch(engine, NULL, call, engine_admin_routes,
			     G_N_ELEMENTS(engine_admin_routes)))
		engine_reply_error(call, 404, "no_such_path");
}
