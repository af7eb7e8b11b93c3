#include "base/err.h"
#include "base/jl.h"
#include "base/met.h"
#include "place/place.h"
#include "router/rc.h"

#include <string.h>

enum {
	/*
	 * Endpoints register over some seconds after a start. A plan made from the first ones would
	 * be worse than one made from all; so the placer waits until none has come for this long.
	 */
	PLACER_SETTLE_US = 700000,
	PLACER_SETTLE_MAX_US = 4000000,
	/*
	 * A plan is made when endpoints or the configuration change. Without a change one is made
	 * after this time, for orders that had no effect. (A plan over 3,000 engines that hold
	 * their layers takes 0.3 ms of a core, the sorted list that it is made from besides.)
	 */
	PLACER_REPLAN_MS = 1000,
	/*
	 * Orders that may wait for an answer. At a start of 3,000 engines one host gave 2,777
	 * orders at once: 1,547 timed out, and for 4 s its own reads of the store did, too. At 128,
	 * 86 engines are still ordered all at once.
	 */
	PLACER_AT_ONCE = 128,
	PLACER_CALL_MS = 1000,
	PLACER_CONNECT_MS = 500,
	/*
	 * An order without an effect in the endpoint's entry is given again after this time, or
	 * after two heartbeats of the endpoint, which writes its entry only then.
	 */
	PLACER_PATIENCE_MS = 4000,
	PLACER_HEARTBEATS = 2,
	HTTP_OK = 200,
	HTTP_ACCEPTED = 202,
	HTTP_CONFLICT = 409,
	HTTP_FENCED = 412
};

/* An order under way, by endpoint. */
struct placer_order {
	struct placer *placer;
	char *incarnation; /* that the order is for */
	int64_t born_ms;
	char *addr;
	int from;
	int to;
	int64_t given_us;
	int64_t fence;
	struct hc_call *call;
};

struct placer {
	struct rc *rc;
	GHashTable *orders; /* incarnation of an endpoint -> struct placer_order */
	int64_t seen_us;    /* when the first endpoint was seen */
	int64_t grown_us;   /* when a new one was last seen */
	guint known;
	bool due;	 /* what a plan depends on has changed */
	int64_t next_us; /* when a plan is made without a change */
};

static bool placer_on_head(void *ctx, int status, const GPtrArray *headers);
static void placer_on_done(void *ctx, int status, int err, bool sent, const char *body, size_t len);
static void placer_on_report(void *ctx, int status, int err, bool sent, const char *body,
			     size_t len);
static void placer_send(struct placer_order *order, int64_t expect);
static void placer_plan(struct placer *placer, const struct rt_service *service, int64_t now_us);
static void placer_order(struct placer *placer, const struct ep_rec *rec,
			 const struct pl_move *move, int64_t now_us);

static const struct hc_ops placer_ops = {.on_head = placer_on_head, .on_done = placer_on_done};
static const struct hc_ops placer_report_ops = {.on_head = placer_on_head,
						.on_done = placer_on_report};

static void placer_order_free(gpointer data)
{
	struct placer_order *order = data;

	if (order->call)
		hc_cancel(order->call);
	g_free(order->incarnation);
	g_free(order->addr);
	g_free(order);
}

struct placer *placer_new(struct rc *rc)
{
	struct placer *placer = g_new0(struct placer, 1);

	placer->rc = rc;
	placer->orders = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, placer_order_free);
	return placer;
}

void placer_free(struct placer *placer)
{
	g_hash_table_destroy(placer->orders);
	g_free(placer);
}

void placer_on_change(struct placer *placer)
{
	placer->due = true;
}

static bool placer_settled(struct placer *placer, int64_t now_us)
{
	guint known = g_hash_table_size(placer->rc->endpoints.entries);

	if (known > 0 && placer->seen_us == 0)
		placer->seen_us = now_us;
	if (known > placer->known)
		placer->grown_us = now_us;
	placer->known = known;
	if (placer->seen_us == 0)
		return false;
	return now_us - placer->grown_us >= PLACER_SETTLE_US ||
	       now_us - placer->seen_us >= PLACER_SETTLE_MAX_US;
}

void placer_on_tick(struct placer *placer, int64_t now_us)
{
	struct rc *rc = placer->rc;
	GHashTableIter iter;
	gpointer value;

	if (!placer_settled(placer, now_us) || !rc->conf || !member_may_order(rc))
		return;
	if (!placer->due && now_us < placer->next_us)
		return;
	placer->due = false;
	placer->next_us = now_us + tmr_ms(PLACER_REPLAN_MS);
	g_hash_table_iter_init(&iter, rc->conf->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (rt_is_layered(value))
			placer_plan(placer, value, now_us);
	}
}

static int64_t placer_patience_us(const struct placer *placer)
{
	int64_t heartbeat_ms = placer->rc->router->settings.heartbeat_ms;

	return tmr_ms(MAX((int64_t)PLACER_PATIENCE_MS, PLACER_HEARTBEATS * heartbeat_ms));
}

/* Orders that wait for an answer. */
static guint placer_waiting(const struct placer *placer)
{
	GHashTableIter iter;
	gpointer value;
	guint n = 0;

	g_hash_table_iter_init(&iter, placer->orders);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += ((const struct placer_order *)value)->call != NULL;
	return n;
}

/* An order whose effect shows no longer counts. */
static void placer_settle_order(struct placer *placer, const struct ep_rec *rec)
{
	struct placer_order *order = g_hash_table_lookup(placer->orders, rec->incarnation);

	if (!order)
		return;
	if (rec->layer_from == order->from && rec->layer_to == order->to)
		g_hash_table_remove(placer->orders, rec->incarnation);
}

/* Whether the order was given before that time. */
static gboolean placer_is_over(gpointer id, gpointer value, gpointer before_us)
{
	const struct placer_order *order = value;

	(void)id;
	return order->given_us <= *(const int64_t *)before_us;
}

/* One that is dead, though it is still listed, holds nothing. */
static void placer_node(struct placer *placer, const struct rt_service *service,
			const struct ep_rec *rec, int64_t now_us, struct pl_node *node)
{
	const struct rt_kind *kind = rt_kind_of(service, rec->kind);
	const struct placer_order *order = g_hash_table_lookup(placer->orders, rec->incarnation);

	memset(node, 0, sizeof(*node));
	node->id = rec->id;
	node->zone = rec->zone;
	node->memory_mb = kind ? kind->memory_mb : 0;
	node->pace = kind ? kind->pace : 1;
	node->from = order ? order->from : rec->layer_from;
	node->to = order ? order->to : rec->layer_to;
	node->usable = kind && !order && rec->state == EP_READY &&
		       !heard_rests(placer->rc, rec->incarnation, now_us);
	node->limited = limits_last(placer->rc->limits, rec->incarnation);
	if (suspect_is_dead(placer->rc, rec->incarnation, now_us)) {
		node->to = node->from;
		node->usable = false;
	}
}

static void placer_gauges(const struct rt_service *service, const GArray *nodes)
{
	char *labels = g_strdup_printf("service=\"%s\"", service->name);
	struct pl_figures figures;

	pl_measure(&service->engine, (const struct pl_node *)(void *)nodes->data, (int)nodes->len,
		   &figures);
	met_set(met_gauge("bg_layer_copies_least", labels), (uint64_t)MAX(figures.copies_min, 0));
	met_set(met_gauge("bg_layer_tokens_least", labels), (uint64_t)figures.tokens_min);
	g_free(labels);
}

static void placer_plan(struct placer *placer, const struct rt_service *service, int64_t now_us)
{
	GPtrArray *recs = ep_snapshot(&placer->rc->endpoints);
	GArray *nodes = g_array_new(FALSE, TRUE, sizeof(struct pl_node));
	GPtrArray *of_nodes = g_ptr_array_new();
	GArray *moves = g_array_new(FALSE, TRUE, sizeof(struct pl_move));
	int64_t before_us = now_us - placer_patience_us(placer);
	guint room;

	/* Endpoints may vanish before an order to them shows any effect. */
	g_hash_table_foreach_remove(placer->orders, placer_is_over, &before_us);
	for (guint i = 0; i < recs->len; i++) {
		struct ep_rec *rec = recs->pdata[i];
		struct pl_node node;

		if (strcmp(rec->service, service->name) != 0 || rec->state != EP_READY)
			continue;
		placer_settle_order(placer, rec);
		placer_node(placer, service, rec, now_us, &node);
		g_array_append_val(nodes, node);
		g_ptr_array_add(of_nodes, rec);
	}
	pl_plan(&service->engine, (const struct pl_node *)(void *)nodes->data, (int)nodes->len,
		moves);
	if (moves->len == 0 && g_hash_table_size(placer->orders) == 0)
		pl_balance(&service->engine, (const struct pl_node *)(void *)nodes->data,
			   (int)nodes->len, moves);
	placer_gauges(service, nodes);
	room = PLACER_AT_ONCE - MIN(placer_waiting(placer), PLACER_AT_ONCE);
	for (guint i = 0; i < MIN(moves->len, room); i++) {
		const struct pl_move *move = &g_array_index(moves, struct pl_move, i);

		placer_order(placer, of_nodes->pdata[move->node], move, now_us);
	}
	/* The plan is a pure function of the view, so the rest comes out alike at the next tick. */
	placer->due = placer->due || moves->len > room;
	g_array_unref(moves);
	g_ptr_array_unref(of_nodes);
	g_array_unref(nodes);
	g_ptr_array_unref(recs);
}

/*
 * The endpoint's report comes first: it tells how many orders the endpoint has begun. An order
 * names that number, so one that is carried out late, after another, has no effect. An endpoint
 * that has started again counts from 0 anew, so a report of another incarnation than the plan knew
 * of ends the order: its number could fit by chance, and the plan was made for what was lost.
 */
static void placer_order(struct placer *placer, const struct ep_rec *rec,
			 const struct pl_move *move, int64_t now_us)
{
	struct rc *rc = placer->rc;
	struct placer_order *order = g_new0(struct placer_order, 1);
	char *url =
		g_strdup_printf("http://%s%s", rec->addr, rc->router->seam->engine.report_path());
	struct hc_request request = {
		.method = "GET",
		.url = url,
		.connect_ms = PLACER_CONNECT_MS,
		.total_ms = PLACER_CALL_MS,
		.fresh = true,
		.close = true,
	};

	order->placer = placer;
	order->incarnation = g_strdup(rec->incarnation);
	order->born_ms = rec->born_ms;
	order->addr = g_strdup(rec->addr);
	order->from = move->from;
	order->to = move->to;
	order->given_us = now_us;
	order->fence = rc->lead.fence;
	g_hash_table_replace(placer->orders, order->incarnation, order);
	jl_begin(JL_KEEP, "place");
	jl_str("endpoint", rec->id);
	jl_str("addr", rec->addr);
	jl_str("kind", rec->kind);
	jl_str("zone", rec->zone);
	jl_int("from", move->from);
	jl_int("to", move->to);
	jl_int("held_from", rec->layer_from);
	jl_int("held_to", rec->layer_to);
	jl_int("fence", rc->lead.fence);
	jl_end();
	order->call = hc_start(rc->hc, &request, &placer_report_ops, order);
	g_free(url);
}

static bool placer_on_head(void *ctx, int status, const GPtrArray *headers)
{
	const struct placer_order *order = ctx;

	heard_head(order->placer->rc, order->incarnation, status, headers);
	return true;
}

static void placer_on_report(void *ctx, int status, int err, bool sent, const char *body,
			     size_t len)
{
	struct placer_order *order = ctx;
	struct placer *placer = order->placer;
	const struct seam_engine *engine = &placer->rc->router->seam->engine;
	struct seam_report report;
	int64_t expect;
	bool reborn;
	bool busy;

	order->call = NULL;
	if (status != HTTP_OK || engine->parse_report(str_make(body, len), &report) < 0) {
		placer_on_done(order, status, err, sent, body, len);
		return;
	}
	busy = report.busy;
	expect = report.sequence;
	reborn = report.born_ms != 0 && report.born_ms != order->born_ms;
	seam_report_finish(&report);
	if (!busy && !reborn && member_may_order(placer->rc) &&
	    !heard_rests(placer->rc, order->incarnation, tmr_now()))
		placer_send(order, expect);
}

static void placer_send(struct placer_order *order, int64_t expect)
{
	struct rc *rc = order->placer->rc;
	const struct seam_engine *engine = &rc->router->seam->engine;
	char *url = g_strdup_printf("http://%s%s", order->addr, engine->order_path());
	char *body = engine->make_place(order->from, order->to, order->fence, expect);
	const char *headers[] = {"Content-Type: application/json", NULL};
	struct hc_request request = {
		.method = "POST",
		.url = url,
		.headers = headers,
		.body = body,
		.body_len = strlen(body),
		.connect_ms = PLACER_CONNECT_MS,
		.total_ms = PLACER_CALL_MS,
		.fresh = true,
		.close = true,
	};

	met_add(met_counter("bg_orders_total", "order=\"place\""), 1);
	order->call = hc_start(rc->hc, &request, &placer_ops, order);
	g_free(url);
	g_free(body);
}

/*
 * An order that gets no answer may have been taken, or be carried out later; its effect is looked
 * for in the endpoint's entry, and only after a while the order is given again.
 */
static void placer_on_done(void *ctx, int status, int err, bool sent, const char *body, size_t len)
{
	struct placer_order *order = ctx;
	struct placer *placer = order->placer;

	order->call = NULL;
	if (status == HTTP_OK || status == HTTP_ACCEPTED)
		return;
	jl_begin(JL_KEEP, "place_failed");
	jl_str("endpoint", order->incarnation);
	jl_int("status", status);
	jl_str("error", err < 0 ? base_strerror(err) : NULL);
	if (len > 0 && len < 200)
		jl_str("answer", body);
	jl_end();
	if (status == HTTP_FENCED)
		lead_on_refused(&placer->rc->lead, order->fence);
	if (!sent || status == HTTP_CONFLICT || status == HTTP_FENCED)
		order->given_us -= placer_patience_us(placer) * 3 / 4;
}
