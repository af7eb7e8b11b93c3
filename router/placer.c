#include "base/err.h"
#include "base/jl.h"
#include "base/met.h"
#include "place/place.h"
#include "router/ctrl.h"

#include <string.h>

enum {
	/*
	 * Time without a new endpoint after which the first plan is made, in microseconds.
	 * Endpoints register over some seconds after a start, and a plan for the first of them
	 * would be worse than a plan for all.
	 */
	PLACER_SETTLE_US = 700000,
	/* Longest time from the first endpoint to the first plan, in microseconds. */
	PLACER_SETTLE_MAX_US = 4000000,
	/*
	 * Time from a plan to the next one if neither endpoints nor the configuration change, in
	 * milliseconds. The next plan repeats orders that had no effect. A plan for 3,000 engines
	 * that hold their layers takes 0.3 ms of processor time, not including the sorted list that
	 * it is made from.
	 */
	PLACER_REPLAN_MS = 1000,
	/*
	 * Most orders that wait for an answer. At a start of 3,000 engines one host sent 2,777
	 * orders at once: 1,547 of them timed out, and for 4 s its own reads of the store timed
	 * out, too. With 128, the orders for 86 engines are still sent at once.
	 */
	PLACER_ORDERS_MAX = 128,
	/* Time limits of a call to an engine and of its connection, in milliseconds. */
	PLACER_CALL_MS = 1000,
	PLACER_CONNECT_MS = 500,
	/*
	 * An order is repeated if the endpoint's entry does not show its effect after this time, in
	 * milliseconds, or after this number of the endpoint's heartbeats, whichever is longer. The
	 * endpoint writes its entry only with a heartbeat.
	 */
	PLACER_REPEAT_MS = 4000,
	PLACER_HEARTBEATS = 2,
	HTTP_OK = 200,
	HTTP_ACCEPTED = 202,
	HTTP_CONFLICT = 409,
	HTTP_FENCED = 412
};

/* An order to hold a range of layers, sent to an endpoint or about to be sent. */
struct placer_order {
	struct placer *placer;
	char *incarnation;     /* incarnation of the endpoint that receives the order */
	int64_t born_ms;       /* start time of that incarnation, Unix time in milliseconds */
	char *addr;	       /* address of the endpoint */
	int from;	       /* first layer to hold */
	int to;		       /* layer after the last one to hold */
	int64_t begun_us;      /* time at which the order was begun, in microseconds */
	int64_t fence;	       /* fencing number that the order carries */
	struct way_call *call; /* the call under way, or NULL */
};

struct placer {
	struct ctrl *ctrl;
	GHashTable *orders;	/* incarnation of an endpoint -> struct placer_order */
	int64_t first_seen_us;	/* time at which the first endpoint was seen, in microseconds */
	int64_t last_growth_us; /* time at which a new endpoint was last seen, in microseconds */
	guint known;		/* number of endpoints at the last tick */
	bool plan_due;	      /* endpoints or the configuration have changed since the last plan */
	int64_t next_plan_us; /* time of the next plan without a change, in microseconds */
};

static bool placer_on_head(void *ctx, int status, const GPtrArray *headers);
static void placer_on_done(void *ctx, int status, int err, bool sent, const char *body, size_t len);
static void placer_on_report(void *ctx, int status, int err, bool sent, const char *body,
			     size_t len);
static void placer_send_order(struct placer_order *order, int64_t expect);
static void placer_run_plan(struct placer *placer, const struct rt_service *service,
			    int64_t now_us);
static void placer_begin_order(struct placer *placer, const struct ep_rec *rec,
			       const struct pl_move *move, int64_t now_us);

static const struct hc_ops placer_ops = {.on_head = placer_on_head, .on_done = placer_on_done};
static const struct hc_ops placer_report_ops = {.on_head = placer_on_head,
						.on_done = placer_on_report};

static void placer_order_free(gpointer data)
{
	struct placer_order *order = data;

	if (order->call)
		way_cancel(order->call);
	g_free(order->incarnation);
	g_free(order->addr);
	g_free(order);
}

struct placer *placer_new(struct ctrl *ctrl)
{
	struct placer *placer = g_new0(struct placer, 1);

	placer->ctrl = ctrl;
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
	placer->plan_due = true;
}

static bool placer_is_settled(struct placer *placer, int64_t now_us)
{
	guint known = g_hash_table_size(placer->ctrl->endpoints.entries);

	if (known > 0 && placer->first_seen_us == 0)
		placer->first_seen_us = now_us;
	if (known > placer->known)
		placer->last_growth_us = now_us;
	placer->known = known;
	if (placer->first_seen_us == 0)
		return false;
	return now_us - placer->last_growth_us >= PLACER_SETTLE_US ||
	       now_us - placer->first_seen_us >= PLACER_SETTLE_MAX_US;
}

void placer_on_tick(struct placer *placer, int64_t now_us)
{
	struct ctrl *ctrl = placer->ctrl;
	GHashTableIter iter;
	gpointer value;

	if (!placer_is_settled(placer, now_us) || !ctrl->conf || !member_may_give_orders(ctrl))
		return;
	if (!placer->plan_due && now_us < placer->next_plan_us)
		return;
	placer->plan_due = false;
	placer->next_plan_us = now_us + tmr_from_ms(PLACER_REPLAN_MS);
	g_hash_table_iter_init(&iter, ctrl->conf->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (rt_is_layered(value))
			placer_run_plan(placer, value, now_us);
	}
}

static int64_t placer_repeat_us(const struct placer *placer)
{
	int64_t heartbeat_ms = placer->ctrl->router->settings.heartbeat_ms;

	return tmr_from_ms(MAX((int64_t)PLACER_REPEAT_MS, PLACER_HEARTBEATS * heartbeat_ms));
}

/* Returns the number of orders that wait for an answer. */
static guint placer_count_unanswered(const struct placer *placer)
{
	GHashTableIter iter;
	gpointer value;
	guint n = 0;

	g_hash_table_iter_init(&iter, placer->orders);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += ((const struct placer_order *)value)->call != NULL;
	return n;
}

/* Forgets the endpoint's order if its entry shows that the order was carried out. */
static void placer_drop_done_order(struct placer *placer, const struct ep_rec *rec)
{
	struct placer_order *order = g_hash_table_lookup(placer->orders, rec->incarnation);

	if (!order)
		return;
	if (rec->layer_from == order->from && rec->layer_to == order->to)
		g_hash_table_remove(placer->orders, rec->incarnation);
}

/* Returns whether the order was begun at that time or earlier. */
static gboolean placer_is_expired(gpointer id, gpointer value, gpointer expired_us)
{
	const struct placer_order *order = value;

	(void)id;
	return order->begun_us <= *(const int64_t *)expired_us;
}

/* Describes an endpoint for the plan. A dead endpoint that is still listed counts as empty. */
static void placer_fill_node(struct placer *placer, const struct rt_service *service,
			     const struct ep_rec *rec, int64_t now_us, struct pl_node *node)
{
	const struct rt_accelerator *kind = rt_find_accelerator(service, rec->kind);
	const struct placer_order *order = g_hash_table_lookup(placer->orders, rec->incarnation);

	memset(node, 0, sizeof(*node));
	node->id = rec->id;
	node->zone = rec->zone;
	node->memory_mb = kind ? kind->memory_mb : 0;
	node->pace = kind ? kind->pace : 1;
	node->read_pace = kind ? kind->read_pace : 1;
	node->from = order ? order->from : rec->layer_from;
	node->to = order ? order->to : rec->layer_to;
	node->usable = kind && !order && rec->state == EP_READY &&
		       !notice_in_backoff(placer->ctrl, rec->incarnation, now_us);
	node->limited = limits_is_persistent(placer->ctrl->limits, rec->incarnation);
	if (suspect_is_dead(placer->ctrl, rec->incarnation, now_us)) {
		node->to = node->from;
		node->usable = false;
	}
}

static void placer_update_gauges(const struct rt_service *service, const GArray *nodes)
{
	char *labels = g_strdup_printf("service=\"%s\"", service->name);
	struct pl_stats figures;

	pl_compute_stats(&service->engine, (const struct pl_node *)(void *)nodes->data,
			 (int)nodes->len, &figures);
	met_set(met_gauge("bg_layer_copies_least", labels), (uint64_t)MAX(figures.copies_min, 0));
	met_set(met_gauge("bg_layer_tokens_least", labels), (uint64_t)figures.tokens_min);
	g_free(labels);
}

static void placer_log_option(const char *name, const struct pl_option *option)
{
	char *text = g_strdup_printf(
		"unit %d, ranges %d to %d, %.0f requests/s, tokens %.0f, after "
		"a loss %.0f, event %.0f ms, stages %.1f, worth %.0f",
		option->unit, option->length_min, option->length_max, option->rate, option->tokens,
		option->tokens_one, option->event_ms, option->stages, option->worth);

	jl_str(name, text);
	g_free(text);
}

/* Tells which plan was chosen and why, if one was made from scratch. */
static void placer_log_verdict(const struct rt_service *service, const struct pl_verdict *verdict)
{
	char *labels;

	if (!verdict->judged)
		return;
	labels = g_strdup_printf("service=\"%s\"", service->name);
	met_set(met_gauge("bg_plan_rate_borne", labels), (uint64_t)verdict->chosen.rate);
	met_set(met_gauge("bg_plan_usual_rate_borne", labels), (uint64_t)verdict->usual.rate);
	g_free(labels);
	jl_begin(JL_UNLIMITED, "plan");
	jl_str("service", service->name);
	jl_int("options", verdict->options);
	placer_log_option("usual", &verdict->usual);
	if (verdict->best.unit > 0)
		placer_log_option("best_other", &verdict->best);
	placer_log_option("chosen", &verdict->chosen);
	jl_end();
}

static void placer_run_plan(struct placer *placer, const struct rt_service *service, int64_t now_us)
{
	GPtrArray *recs = ep_snapshot(&placer->ctrl->endpoints);
	GArray *nodes = g_array_new(FALSE, TRUE, sizeof(struct pl_node));
	GPtrArray *node_recs = g_ptr_array_new();
	GArray *moves = g_array_new(FALSE, TRUE, sizeof(struct pl_move));
	int64_t expired_us = now_us - placer_repeat_us(placer);
	struct pl_verdict verdict;
	const struct pl_demand demand = {.gap_aim_ms = service->stream_gap_ms};
	guint free_slots;

	/* Forget old orders: an endpoint may end before its entry shows the effect of an order. */
	g_hash_table_foreach_remove(placer->orders, placer_is_expired, &expired_us);
	for (guint i = 0; i < recs->len; i++) {
		struct ep_rec *rec = recs->pdata[i];
		struct pl_node node;

		if (strcmp(rec->service, service->name) != 0 || rec->state != EP_READY)
			continue;
		placer_drop_done_order(placer, rec);
		placer_fill_node(placer, service, rec, now_us, &node);
		g_array_append_val(nodes, node);
		g_ptr_array_add(node_recs, rec);
	}
	pl_plan(&service->engine, (const struct pl_node *)(void *)nodes->data, (int)nodes->len,
		&demand, moves, &verdict);
	if (moves->len == 0 && g_hash_table_size(placer->orders) == 0)
		pl_balance(&service->engine, (const struct pl_node *)(void *)nodes->data,
			   (int)nodes->len, moves);
	placer_update_gauges(service, nodes);
	free_slots = PLACER_ORDERS_MAX - MIN(placer_count_unanswered(placer), PLACER_ORDERS_MAX);
	if (moves->len > 0 && free_slots > 0)
		placer_log_verdict(service, &verdict);
	for (guint i = 0; i < MIN(moves->len, free_slots); i++) {
		const struct pl_move *move = &g_array_index(moves, struct pl_move, i);

		placer_begin_order(placer, node_recs->pdata[move->node], move, now_us);
	}
	/*
	 * Ranges that are ordered count as held, so the next tick plans the remaining endpoints at
	 * the cut points and lengths in use.
	 */
	placer->plan_due = placer->plan_due || moves->len > free_slots;
	g_array_unref(moves);
	g_ptr_array_unref(node_recs);
	g_array_unref(nodes);
	g_ptr_array_unref(recs);
}

/*
 * Begins an order by requesting the endpoint's report, which holds the number of orders that the
 * endpoint has begun. An order carries that number, so an order that arrives late, after another
 * one, has no effect. An endpoint that has restarted counts from 0 again. So the order is dropped
 * if the report is from another incarnation than the plan was made for: the number could match by
 * chance, and the layers that the plan assumed are lost.
 */
static void placer_begin_order(struct placer *placer, const struct ep_rec *rec,
			       const struct pl_move *move, int64_t now_us)
{
	struct ctrl *ctrl = placer->ctrl;
	struct placer_order *order = g_new0(struct placer_order, 1);
	char *url =
		g_strdup_printf("http://%s%s", rec->addr, ctrl->router->seam->engine.report_path());
	struct way_request request = {
		.http = {.method = "GET",
			 .url = url,
			 .connect_ms = PLACER_CONNECT_MS,
			 .total_ms = PLACER_CALL_MS,
			 .fresh = true,
			 .close = true},
		.addr = rec->addr,
		.harmless = true,
	};

	order->placer = placer;
	order->incarnation = g_strdup(rec->incarnation);
	order->born_ms = rec->born_ms;
	order->addr = g_strdup(rec->addr);
	order->from = move->from;
	order->to = move->to;
	order->begun_us = now_us;
	order->fence = ctrl->lead.fence;
	g_hash_table_replace(placer->orders, order->incarnation, order);
	jl_begin(JL_UNLIMITED, "place");
	jl_str("endpoint", rec->id);
	jl_str("addr", rec->addr);
	jl_str("kind", rec->kind);
	jl_str("zone", rec->zone);
	jl_int("from", move->from);
	jl_int("to", move->to);
	jl_int("held_from", rec->layer_from);
	jl_int("held_to", rec->layer_to);
	jl_int("fence", ctrl->lead.fence);
	jl_end();
	order->call = way_start(ctrl->way, &request, &placer_report_ops, order);
	g_free(url);
}

static bool placer_on_head(void *ctx, int status, const GPtrArray *headers)
{
	const struct placer_order *order = ctx;

	notice_read_headers(order->placer->ctrl, order->incarnation, status, headers);
	return true;
}

static void placer_on_report(void *ctx, int status, int err, bool sent, const char *body,
			     size_t len)
{
	struct placer_order *order = ctx;
	struct placer *placer = order->placer;
	const struct seam_engine *engine = &placer->ctrl->router->seam->engine;
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
	if (!busy && !reborn && member_may_give_orders(placer->ctrl) &&
	    !notice_in_backoff(placer->ctrl, order->incarnation, tmr_now()))
		placer_send_order(order, expect);
}

static void placer_send_order(struct placer_order *order, int64_t expect)
{
	struct ctrl *ctrl = order->placer->ctrl;
	const struct seam_engine *engine = &ctrl->router->seam->engine;
	char *url = g_strdup_printf("http://%s%s", order->addr, engine->order_path());
	char *body = engine->make_place(order->from, order->to, order->fence, expect);
	const char *headers[] = {"Content-Type: application/json", NULL};
	struct way_request request = {
		.http = {.method = "POST",
			 .url = url,
			 .headers = headers,
			 .body = body,
			 .body_len = strlen(body),
			 .connect_ms = PLACER_CONNECT_MS,
			 .total_ms = PLACER_CALL_MS,
			 .fresh = true,
			 .close = true},
		.addr = order->addr,
	};

	met_add(met_counter("bg_orders_total", "order=\"place\""), 1);
	order->call = way_start(ctrl->way, &request, &placer_ops, order);
	g_free(url);
	g_free(body);
}

/*
 * Handles the answer to an order. An order without an answer may have been accepted or may be
 * carried out later, so it is repeated only if the endpoint's entry does not show its effect after
 * some time. An order that was not sent, or was rejected with status 409 or 412, is repeated after
 * a quarter of that time.
 */
static void placer_on_done(void *ctx, int status, int err, bool sent, const char *body, size_t len)
{
	struct placer_order *order = ctx;
	struct placer *placer = order->placer;

	order->call = NULL;
	if (status == HTTP_OK || status == HTTP_ACCEPTED)
		return;
	jl_begin(JL_UNLIMITED, "place_failed");
	jl_str("endpoint", order->incarnation);
	jl_int("status", status);
	jl_str("error", err < 0 ? base_strerror(err) : NULL);
	if (len > 0 && len < 200)
		jl_str("answer", body);
	jl_end();
	if (status == HTTP_FENCED)
		lead_on_order_refused(&placer->ctrl->lead, order->fence);
	if (!sent || status == HTTP_CONFLICT || status == HTTP_FENCED)
		order->begun_us -= placer_repeat_us(placer) * 3 / 4;
}
