#include "base/err.h"
#include "base/log.h"
#include "base/met.h"
#include "prog/control.h"

#include <stdlib.h>
#include <string.h>

/*
 * Orders to engines: the host that hashing names for a model takes the model's lease, and brings
 * what the engines report to what is declared. Only hosts that may be next read the stream.
 */
enum {
	CONTROL_ORDER_TICK_US = USEC_PER_SEC,
	CONTROL_ORDER_RANKS = 2,
	CONTROL_ORDER_LOOKS = 5 /* endpoints that a holder looks at in one round */
};

/* One look at an endpoint, and the order that follows from it. */
struct control_order {
	struct control *c;
	char *model;
	char *endpoint;
};

struct control_lease {
	struct control *c;
	char *model;
	guint turn;  /* endpoint of the model to begin with in this round */
	guint seen;  /* endpoints of the model so far in this round */
	guint looks; /* of them, those that were looked at */
};

static void control_order_tick(void *ctx, int64_t now_us);
static void control_on_lease_read(void *ctx, int status, int err, bool sent, const char *body,
				  size_t len);
static void control_on_lease_appended(void *ctx, int status, int err, bool sent, const char *body,
				      size_t len);
static void control_on_report(void *ctx, int status, int err, bool sent, const char *body,
			      size_t len);
static void control_on_ordered(void *ctx, int status, int err, bool sent, const char *body,
			       size_t len);

static const struct hc_ops control_lease_read_ops = {.on_done = control_on_lease_read};
static const struct hc_ops control_lease_append_ops = {.on_done = control_on_lease_appended};
static const struct hc_ops control_report_ops = {.on_done = control_on_report};
static const struct hc_ops control_ordered_ops = {.on_done = control_on_ordered};

/*
 * A restarted daemon must not take its former self's lease for its own: its clock and its memory of
 * what it sent are gone. So each start is a holder of its own.
 */
void control_order_start(struct control *c)
{
	char *holder = g_strdup_printf("%s/%" G_GINT64_FORMAT, c->settings.name, g_get_real_time());

	order_init(&c->order, holder, c->settings.lease_ms * USEC_PER_MSEC);
	c->order_turns = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_free(holder);
	loop_after(&c->loop, &c->order_timer, CONTROL_ORDER_TICK_US, control_order_tick, c);
}

/* 0: this host should be the orderer of the model; 1: it is next in line; and so on. */
static unsigned int control_order_rank(const struct control *c, const char *model)
{
	char *key = g_strdup_printf("orders/%s", model);
	int64_t now = tmr_now();
	unsigned int rank;

	for (rank = 0; rank < CONTROL_ORDER_RANKS; rank++) {
		const struct host *host = host_home(&c->hosts, key, rank, now);

		if (host && strcmp(host->name, c->settings.name) == 0)
			break;
	}
	g_free(key);
	return rank;
}

static void control_min_rank(void *ctx, const struct conf_obj *model)
{
	struct control_lease *best = ctx;

	if (control_order_rank(best->c, model->name) < CONTROL_ORDER_RANKS)
		best->model = model->name;
}

static void control_order_tick(void *ctx, int64_t now_us)
{
	struct control *c = ctx;
	struct control_lease any = {.c = c};

	(void)now_us;
	loop_after(&c->loop, &c->order_timer, CONTROL_ORDER_TICK_US, control_order_tick, c);
	conf_each(c->clog.state, CONF_MODEL, control_min_rank, &any);
	if (!c->clog.ready || c->order_reading || !any.model)
		return;
	c->order_reading = true;
	control_read(c, "orders", c->order.next, 0, &control_lease_read_ops, c);
}

/*
 * Only a few endpoints are looked at in each round, one after the other over the rounds: a model
 * can have hundreds of them, and to ask them all each second would be many times the traffic that a
 * node may cause. Endpoints just changed come first.
 */
static bool control_is_turn(struct control_lease *lease, const struct conf_obj *endpoint)
{
	struct control *c = lease->c;
	bool changed = c->order_conf && !conf_obj_same(c->order_conf, endpoint);
	bool turn = lease->seen++ >= lease->turn && lease->looks < CONTROL_ORDER_LOOKS;

	if (turn)
		lease->looks++;
	return turn || changed;
}

static void control_look(void *ctx, const struct conf_obj *endpoint)
{
	struct control_lease *lease = ctx;
	struct control *c = lease->c;
	struct control_order *look;
	char *url;
	struct hc_request request = {
		.method = "GET",
		.connect_ms = CONTROL_CONNECT_MS,
		.total_ms = c->settings.load_timeout_ms,
	};

	if (strcmp(endpoint->text[ENDPOINT_MODEL], lease->model) != 0 ||
	    !control_is_turn(lease, endpoint))
		return;
	look = g_new0(struct control_order, 1);
	look->c = c;
	look->model = g_strdup(lease->model);
	look->endpoint = g_strdup(endpoint->name);
	url = g_strdup_printf("http://%s/load", endpoint->text[ENDPOINT_ADDRESS]);
	request.url = url;
	hc_start(c->hc, &request, &control_report_ops, look);
	g_free(url);
}

static void control_order_model(void *ctx, const struct conf_obj *model)
{
	struct control *c = ctx;
	struct control_lease lease = {.c = c, .model = model->name};
	int64_t now = tmr_now();
	char *record;

	if (control_order_rank(c, model->name) == 0 && !c->stopping) {
		record = order_request_lease(&c->order, model->name, now);
		if (record) {
			struct control_lease *asked = g_new0(struct control_lease, 1);

			asked->c = c;
			asked->model = g_strdup(model->name);
			control_append(c, "orders", record, &control_lease_append_ops, asked);
			free(record);
		}
	}
	if (order_fencing_number(&c->order, model->name, now) >= 0) {
		lease.turn = GPOINTER_TO_UINT(g_hash_table_lookup(c->order_turns, model->name));
		conf_each(c->clog.state, CONF_ENDPOINT, control_look, &lease);
		lease.turn = lease.looks < CONTROL_ORDER_LOOKS ? 0 : lease.turn + lease.looks;
		g_hash_table_replace(c->order_turns, g_strdup(model->name),
				     GUINT_TO_POINTER(lease.turn));
	}
}

static void control_order_round(struct control *c)
{
	conf_each(c->clog.state, CONF_MODEL, control_order_model, c);
	conf_state_unref(c->order_conf);
	c->order_conf = conf_state_ref(c->clog.state);
}

static void control_on_lease_read(void *ctx, int status, int err, bool sent, const char *body,
				  size_t len)
{
	struct control *c = ctx;
	json_t *json = status == 200 ? json_loadb(body, len, 0, NULL) : NULL;
	json_t *records = json_object_get(json, "records");
	size_t i;
	json_t *record;

	(void)err;
	(void)sent;
	c->order_reading = false;
	if (!json)
		return;
	json_array_foreach(records, i, record)
	{
		json_t *data = json_object_get(record, "data");

		order_on_record(&c->order, json_integer_value(json_object_get(record, "offset")),
				str_make(json_string_value(data), json_string_length(data)),
				tmr_now());
	}
	if (c->order.next >= json_integer_value(json_object_get(json, "end")) ||
	    json_array_size(records) == 0)
		control_order_round(c);
	json_decref(json);
}

static void control_on_lease_appended(void *ctx, int status, int err, bool sent, const char *body,
				      size_t len)
{
	struct control_lease *asked = ctx;

	(void)err;
	(void)sent;
	(void)body;
	(void)len;
	if (status != 200)
		order_on_append_lost(&asked->c->order, asked->model);
	g_free(asked->model);
	g_free(asked);
}

static void control_order_free(struct control_order *look)
{
	g_free(look->model);
	g_free(look->endpoint);
	g_free(look);
}

/*
 * Orders are declarative: whatever an engine reports that is not what is declared is ordered again,
 * so an order of a paused former holder, at an engine that ignores fencing, is undone in one round.
 */
static void control_on_report(void *ctx, int status, int err, bool sent, const char *body,
			      size_t len)
{
	struct control_order *look = ctx;
	struct control *c = look->c;
	const struct conf_obj *e = conf_get(c->clog.state, CONF_ENDPOINT, look->endpoint);
	json_t *json = status == 200 ? json_loadb(body, len, 0, NULL) : NULL;
	const char *version = json_string_value(json_object_get(json, "version"));
	int64_t fence = order_fencing_number(&c->order, look->model, tmr_now());
	json_t *order;
	char *text;
	char *url;

	(void)err;
	(void)sent;
	if (!json || !e || !version || fence < 0 ||
	    (strcmp(version, e->text[ENDPOINT_VERSION]) == 0 &&
	     json_integer_value(json_object_get(json, "first")) == e->value[ENDPOINT_LAYERS] &&
	     json_integer_value(json_object_get(json, "last")) == e->last_layer)) {
		json_decref(json);
		control_order_free(look);
		return;
	}
	order = json_pack("{s:I, s:s, s:s, s:I, s:I}", "fence", (json_int_t)fence, "model",
			  look->model, "version", e->text[ENDPOINT_VERSION], "first",
			  (json_int_t)e->value[ENDPOINT_LAYERS], "last", (json_int_t)e->last_layer);
	text = json_dumps(order, JSON_COMPACT);
	url = g_strdup_printf("http://%s/orders", e->text[ENDPOINT_ADDRESS]);
	struct hc_request request = {
		.method = "POST",
		.url = url,
		.body = text,
		.body_len = strlen(text),
		.connect_ms = CONTROL_CONNECT_MS,
		.total_ms = c->settings.append_ms,
	};

	log_msg(LOG_NOTICE, "order endpoint=%s version=%s fence=%" G_GINT64_FORMAT, look->endpoint,
		e->text[ENDPOINT_VERSION], fence);
	met_add(met_counter("bg_orders_total", ""), 1);
	hc_start(c->hc, &request, &control_ordered_ops, look);
	free(text);
	g_free(url);
	json_decref(order);
	json_decref(json);
}

static void control_on_ordered(void *ctx, int status, int err, bool sent, const char *body,
			       size_t len)
{
	(void)err;
	(void)sent;
	(void)body;
	(void)len;
	if (status != 200)
		met_add(met_counter("bg_orders_failed_total", ""), 1);
	control_order_free(ctx);
}
