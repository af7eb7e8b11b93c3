#include "fake/engine.h"

/* Plain services: each call is work that was done, noted in the ledger. */
enum {
	USEC_PER_MSEC = 1000
};

struct engine_late {
	struct hd_call *call;
	struct engine_port *port;
	char *key;
	char *request;
	int64_t due_us;
};

static void engine_late_free(gpointer data)
{
	struct engine_late *late = data;

	g_free(late->key);
	g_free(late->request);
	g_free(late);
}

/* A plain service does its work when the call comes in and answers after a while. */
void engine_service_call(struct engine *engine, struct engine_port *port, struct hd_call *call)
{
	const char *key = hd_header(call, "Idempotency-Key");
	const char *request = hd_header(call, "Bg-Request");
	struct engine_late *late = g_new0(struct engine_late, 1);

	late->call = call;
	late->port = port;
	late->key = g_strdup(key ? key : "");
	late->request = g_strdup(request ? request : "");
	late->due_us = tmr_now() + engine->settings.service_ms * USEC_PER_MSEC;
	sim_ledger_entry(&engine->sim, late->key, late->request)->attempts++;
	if (port->drop) {
		port->drop = false;
		engine_late_free(late);
		hd_abort(call);
		hd_unref(call);
		return;
	}
	if (!engine->late)
		engine->late = g_ptr_array_new_with_free_func(engine_late_free);
	g_ptr_array_add(engine->late, late);
}

void engine_answer_late(struct engine *engine, int64_t now_us)
{
	for (guint i = engine->late ? engine->late->len : 0; i-- > 0;) {
		struct engine_late *late = engine->late->pdata[i];

		if (late->due_us > now_us)
			continue;
		prog_reply_json(late->call, 200,
				json_pack("{s:s, s:s, s:s}", "service", late->port->service, "key",
					  late->key, "request", late->request));
		g_ptr_array_remove_index(engine->late, i);
	}
}
