#include "fake/engine.h"

/* Simulated plain services; every request is recorded in the ledger. */
enum {
	USEC_PER_MSEC = 1000
};

/* Reply that is sent when the response time of the service has passed. */
struct engine_delayed_reply {
	struct hd_call *call;
	struct engine_port *port;
	char *key;
	char *request;
	int64_t due_us; /* time at which the reply is sent, in microseconds */
};

static void engine_delayed_reply_free(gpointer data)
{
	struct engine_delayed_reply *reply = data;

	g_free(reply->key);
	g_free(reply->request);
	g_free(reply);
}

/* Records the request in the ledger at once; the reply follows after the configured response time.
 */
void engine_handle_service_call(struct engine *engine, struct engine_port *port,
				struct hd_call *call)
{
	const char *key = hd_header(call, "Idempotency-Key");
	const char *request = hd_header(call, "Bg-Request");
	struct engine_delayed_reply *reply = g_new0(struct engine_delayed_reply, 1);

	reply->call = call;
	reply->port = port;
	reply->key = g_strdup(key ? key : "");
	reply->request = g_strdup(request ? request : "");
	reply->due_us = tmr_now() + engine->settings.service_ms * USEC_PER_MSEC;
	sim_ledger_entry(&engine->sim, reply->key, reply->request)->attempts++;
	if (port->drop_next) {
		port->drop_next = false;
		engine_delayed_reply_free(reply);
		hd_abort(call);
		hd_unref(call);
		return;
	}
	if (!engine->delayed_replies)
		engine->delayed_replies = g_ptr_array_new_with_free_func(engine_delayed_reply_free);
	g_ptr_array_add(engine->delayed_replies, reply);
}

void engine_send_due_replies(struct engine *engine, int64_t now_us)
{
	for (guint i = engine->delayed_replies ? engine->delayed_replies->len : 0; i-- > 0;) {
		struct engine_delayed_reply *reply = engine->delayed_replies->pdata[i];

		if (reply->due_us > now_us)
			continue;
		prog_reply_json(reply->call, 200,
				json_pack("{s:s, s:s, s:s}", "service", reply->port->service, "key",
					  reply->key, "request", reply->request));
		g_ptr_array_remove_index(engine->delayed_replies, i);
	}
}
