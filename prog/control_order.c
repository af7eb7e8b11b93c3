#include "base/err.h"
#include "base/log.h"
#include "base/met.h"
#include "prog/control.h"

#include <stdlib.h>
#include <string.h>

/*
 * Orders to engines. The first host of a model by rendezvous hashing acquires the model's lease and
 * compares what the model's endpoints report with what is declared; it orders an engine that
 * differs to load the declared version and layers. Only hosts that can become the holder of a lease
 * soon read the stream of leases.
 */
enum {
	CONTROL_ORDER_TICK_US = USEC_PER_SEC, /* Interval of rounds, in microseconds. */
	CONTROL_ORDER_CANDIDATES = 2,	      /* Hosts per model that read the stream of leases. */
	CONTROL_ORDER_CHECKS_MAX = 5 /* Limit of endpoints of a model checked in turn per round. */
};

/* A request for the report of an endpoint, and the order sent if the report differs. */
struct control_order_check {
	struct control *c;
	char *model;
	char *endpoint;
};

/* Arguments of the functions that iterate over models, endpoints and appended leases. */
struct control_order_scan {
	struct control *c;
	char *model;
	guint next_index; /* Index of the first endpoint of the model to check in this round. */
	guint visited;	  /* Number of endpoints of the model visited in this round. */
	guint checked;	  /* Number of endpoints of the model checked in turn in this round. */
};

static void control_order_tick(void *ctx, int64_t now_us);
static void control_on_lease_read(void *ctx, int status, int err, bool sent, const char *body,
				  size_t len);
static void control_on_lease_appended(void *ctx, int status, int err, bool sent, const char *body,
				      size_t len);
static void control_on_report(void *ctx, int status, int err, bool sent, const char *body,
			      size_t len);
static void control_on_order_done(void *ctx, int status, int err, bool sent, const char *body,
				  size_t len);

static const struct hc_ops control_lease_read_ops = {.on_done = control_on_lease_read};
static const struct hc_ops control_lease_append_ops = {.on_done = control_on_lease_appended};
static const struct hc_ops control_report_ops = {.on_done = control_on_report};
static const struct hc_ops control_order_ops = {.on_done = control_on_order_done};

/*
 * The name of the lease holder contains the start time, so that a restarted daemon does not use a
 * lease that it acquired before the restart: the clock by which the lease was timed and the orders
 * sent under it are no longer known.
 */
void control_order_start(struct control *c)
{
	char *holder = g_strdup_printf("%s/%" G_GINT64_FORMAT, c->settings.name, g_get_real_time());

	order_init(&c->order, holder, c->settings.lease_ms * USEC_PER_MSEC);
	c->order_next_endpoints = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_free(holder);
	loop_start_timer(&c->loop, &c->order_timer, CONTROL_ORDER_TICK_US, control_order_tick, c);
}

/*
 * Returns this host's rank for a model: 0 if it should hold the model's lease, 1 if it is the next
 * candidate, CONTROL_ORDER_CANDIDATES if it is no candidate.
 */
static unsigned int control_order_rank(const struct control *c, const char *model)
{
	char *key = g_strdup_printf("orders/%s", model);
	int64_t now = tmr_now();
	unsigned int rank;

	for (rank = 0; rank < CONTROL_ORDER_CANDIDATES; rank++) {
		const struct host *host = host_home(&c->hosts, key, rank, now);

		if (host && strcmp(host->name, c->settings.name) == 0)
			break;
	}
	g_free(key);
	return rank;
}

/* Stores a model for whose lease this host is a candidate, if there is one. */
static void control_order_find_candidate(void *ctx, const struct conf_obj *model)
{
	struct control_order_scan *scan = ctx;

	if (control_order_rank(scan->c, model->name) < CONTROL_ORDER_CANDIDATES)
		scan->model = model->name;
}

static void control_order_tick(void *ctx, int64_t now_us)
{
	struct control *c = ctx;
	struct control_order_scan found = {.c = c};

	(void)now_us;
	loop_start_timer(&c->loop, &c->order_timer, CONTROL_ORDER_TICK_US, control_order_tick, c);
	conf_for_each(c->clog.state, CONF_MODEL, control_order_find_candidate, &found);
	if (!c->clog.ready || c->order_reading || !found.model)
		return;
	c->order_reading = true;
	control_log_read(c, "orders", c->order.next, 0, &control_lease_read_ops, c);
}

/*
 * Returns whether an endpoint is checked in this round. Each round checks only a few endpoints, in
 * turn: a model can have hundreds, and polling all of them each second would cause many times the
 * traffic that a host may cause. Endpoints whose declaration has changed are always checked.
 */
static bool control_order_is_due(struct control_order_scan *scan, const struct conf_obj *endpoint)
{
	struct control *c = scan->c;
	bool changed = c->order_last_conf && !conf_state_has_same_obj(c->order_last_conf, endpoint);
	bool in_turn =
		scan->visited++ >= scan->next_index && scan->checked < CONTROL_ORDER_CHECKS_MAX;

	if (in_turn)
		scan->checked++;
	return in_turn || changed;
}

static void control_order_check_endpoint(void *ctx, const struct conf_obj *endpoint)
{
	struct control_order_scan *scan = ctx;
	struct control *c = scan->c;
	struct control_order_check *check;
	char *url;
	struct hc_request request = {
		.method = "GET",
		.connect_ms = CONTROL_CONNECT_MS,
		.total_ms = c->settings.load_timeout_ms,
	};

	if (strcmp(endpoint->text[ENDPOINT_MODEL], scan->model) != 0 ||
	    !control_order_is_due(scan, endpoint))
		return;
	check = g_new0(struct control_order_check, 1);
	check->c = c;
	check->model = g_strdup(scan->model);
	check->endpoint = g_strdup(endpoint->name);
	url = g_strdup_printf("http://%s/load", endpoint->text[ENDPOINT_ADDRESS]);
	request.url = url;
	hc_start(c->hc, &request, &control_report_ops, check);
	g_free(url);
}

static void control_order_model(void *ctx, const struct conf_obj *model)
{
	struct control *c = ctx;
	struct control_order_scan scan = {.c = c, .model = model->name};
	int64_t now = tmr_now();
	char *record;

	if (control_order_rank(c, model->name) == 0 && !c->stopping) {
		record = order_request_lease(&c->order, model->name, now);
		if (record) {
			struct control_order_scan *append = g_new0(struct control_order_scan, 1);

			append->c = c;
			append->model = g_strdup(model->name);
			control_log_append(c, "orders", record, &control_lease_append_ops, append);
			free(record);
		}
	}
	if (order_fencing_number(&c->order, model->name, now) >= 0) {
		scan.next_index =
			GPOINTER_TO_UINT(g_hash_table_lookup(c->order_next_endpoints, model->name));
		conf_for_each(c->clog.state, CONF_ENDPOINT, control_order_check_endpoint, &scan);
		scan.next_index = scan.checked < CONTROL_ORDER_CHECKS_MAX
					  ? 0
					  : scan.next_index + scan.checked;
		g_hash_table_replace(c->order_next_endpoints, g_strdup(model->name),
				     GUINT_TO_POINTER(scan.next_index));
	}
}

static void control_order_all_models(struct control *c)
{
	conf_for_each(c->clog.state, CONF_MODEL, control_order_model, c);
	conf_state_unref(c->order_last_conf);
	c->order_last_conf = conf_state_ref(c->clog.state);
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
		control_order_all_models(c);
	json_decref(json);
}

static void control_on_lease_appended(void *ctx, int status, int err, bool sent, const char *body,
				      size_t len)
{
	struct control_order_scan *append = ctx;

	(void)err;
	(void)sent;
	(void)body;
	(void)len;
	if (status != 200)
		order_on_append_lost(&append->c->order, append->model);
	g_free(append->model);
	g_free(append);
}

static void control_order_check_free(struct control_order_check *check)
{
	g_free(check->model);
	g_free(check->endpoint);
	g_free(check);
}

/*
 * Sends an order if the endpoint's report differs from its declaration. Orders state the declared
 * version and layers, so if an engine that ignores fencing executes an order of a paused former
 * holder, the next check of the endpoint corrects it.
 */
static void control_on_report(void *ctx, int status, int err, bool sent, const char *body,
			      size_t len)
{
	struct control_order_check *check = ctx;
	struct control *c = check->c;
	const struct conf_obj *e = conf_get(c->clog.state, CONF_ENDPOINT, check->endpoint);
	json_t *json = status == 200 ? json_loadb(body, len, 0, NULL) : NULL;
	const char *version = json_string_value(json_object_get(json, "version"));
	int64_t fence = order_fencing_number(&c->order, check->model, tmr_now());
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
		control_order_check_free(check);
		return;
	}
	order = json_pack("{s:I, s:s, s:s, s:I, s:I}", "fence", (json_int_t)fence, "model",
			  check->model, "version", e->text[ENDPOINT_VERSION], "first",
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

	log_msg(LOG_NOTICE, "order endpoint=%s version=%s fence=%" G_GINT64_FORMAT, check->endpoint,
		e->text[ENDPOINT_VERSION], fence);
	met_add(met_counter("bg_orders_total", ""), 1);
	hc_start(c->hc, &request, &control_order_ops, check);
	free(text);
	g_free(url);
	json_decref(order);
	json_decref(json);
}

static void control_on_order_done(void *ctx, int status, int err, bool sent, const char *body,
				  size_t len)
{
	(void)err;
	(void)sent;
	(void)body;
	(void)len;
	if (status != 200)
		met_add(met_counter("bg_orders_failed_total", ""), 1);
	control_order_check_free(ctx);
}
