#include "router/traffic.h"
#include "base/jl.h"
#include "base/met.h"
#include "base/rnd.h"
#include "router/traffic_body.h"
#include "router/traffic_limit.h"
#include "router/traffic_quarantine.h"
#include "router/traffic_reach.h"
#include "router/traffic_rest.h"

#include <ck_pr.h>
#include <string.h>

enum {
	/*
	 * Interval of the sweep, in ms. It notices callers that have closed their connection, so
	 * that their endpoints stop working for them well within half a second.
	 */
	TRAF_SWEEP_MS = 150,
	TRAF_REFUSED_LOG_MS = 1000, /* shortest time between two lines of traf_log_refused() */
	TRAF_SEED = 12345 /* seed of the random number generator, combined with the host's name */
};

/* Pace (step time as a multiple of the usual one) from which the log calls an endpoint slow. */
static const double traf_slow_pace = 1.5;

/*
 * Pace from which running streams are moved to other endpoints. Below it the move, which takes some
 * 100 ms, costs a stream more than the slow endpoint does.
 */
static const double traf_move_pace = 2.5;

/* Message from the control thread: a new view. */
struct traf_view_msg {
	struct traf *traf;
	struct router_view *view;
};

/* A request that waits for the first complete view. */
struct traf_parked {
	struct hd_call *call;
	int64_t received_us;
	int64_t until_us; /* time until which it waits, in us */
};

/* Message from a thread of the HTTP library: a request. */
struct traf_call_msg {
	struct traf *traf;
	struct hd_call *call;
	int64_t received_us; /* time at which the whole request had been received, in us */
};

static void *traf_main(void *ctx);
static void traf_on_sweep(void *ctx, int64_t now_us);
static void traf_on_view(void *ctx);
static void traf_on_posted_call(void *ctx);
static void traf_sweep_parked(struct traf *traf, int64_t now_us);
static void traf_start_parked(struct traf *traf);

struct traf *traf_start(struct router *router)
{
	struct traf *traf = g_new0(struct traf, 1);
	uint32_t phase_seed;

	traf->router = router;
	traf->start_us = tmr_now();
	traf->view_valid_us = traf->start_us;
	traf->seed = TRAF_SEED ^ (uint32_t)g_str_hash(router->settings.name);
	phase_seed = traf->seed;
	wt_init(&traf->watch, rnd_uniform(&phase_seed));
	traf->eps = g_hash_table_new(g_str_hash, g_str_equal);
	traf->by_addr = g_hash_table_new(g_str_hash, g_str_equal);
	sh_init(&traf->share);
	quar_init(&traf->quar, QUAR_REFUSAL_POINTS);
	part_init(&traf->parts);
	served_init(&traf->served);
	traf->budgets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	traf->retry_delays = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	traf->admissions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	lim_fair_init(&traf->limit_fair);
	traf->limit_retries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	traf->logged_headers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	traf->zones = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	traf->zone_names = g_ptr_array_new();
	traf->reqs = g_ptr_array_new();
	traf->flow = (struct flow_limits){
		.answer_max = (size_t)router->settings.answer_unsent_kb << 10,
		.total_max = (uint64_t)router->settings.answers_unsent_mb << 20,
	};
	traf->body = traf_body_new((uint64_t)router->settings.body_total_mb << 20, ROUTER_BODY_MAX,
				   traf->seed);
	traf->parked = g_queue_new();
	hop_init(&traf->hop);
	if (loop_init(&traf->loop) < 0)
		return NULL;
	traf->hc = hc_new(&traf->loop);
	hc_set_source(traf->hc, router->settings.source);
	traf_reach_start(traf);
	traf->gateway = gateway_new(&traf->loop, way_reach(traf->way), router->settings.source);
	loop_start_timer(&traf->loop, &traf->sweep, tmr_from_ms(TRAF_SWEEP_MS), traf_on_sweep,
			 traf);
	if (pthread_create(&traf->thread, NULL, traf_main, traf) != 0)
		return NULL;
	return traf;
}

static void *traf_main(void *ctx)
{
	struct traf *traf = ctx;

	loop_run(&traf->loop);
	return NULL;
}

struct gateway *traf_gateway(const struct traf *traf)
{
	return traf->gateway;
}

unsigned int traf_open_requests(const struct traf *traf)
{
	return ck_pr_load_uint(&traf->open);
}

static void traf_on_end_requests(void *ctx)
{
	struct traf *traf = ctx;

	traf_start_parked(traf);
	for (guint i = traf->reqs->len; i > 0; i--)
		txn_on_stop(traf->reqs->pdata[i - 1]);
}

void traf_end_requests(struct traf *traf)
{
	loop_post(&traf->loop, traf_on_end_requests, traf);
}

static void traf_set_gauges(const struct traf *traf, int64_t now_us)
{
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	met_set(met_gauge("bg_requests_open", ""), traf->reqs->len);
	met_set(met_gauge("bg_answers_held", ""), (uint64_t)traf->held);
	if (traf->router->front)
		met_set(met_gauge("bg_answers_unsent_bytes", ""),
			hd_unsent_total(traf->router->front));
	g_hash_table_iter_init(&iter, traf->budgets);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		char *labels = g_strdup_printf("service=\"%s\"", (const char *)name);

		met_set(met_gauge("bg_repeats_left", labels),
			(uint64_t)bud_retries_left(value, now_us));
		g_free(labels);
	}
}

/* Logs connections that were closed unread since the last such line, at most once a second. */
static void traf_log_refused(struct traf *traf, int64_t now_us)
{
	unsigned int refused = ck_pr_load_uint(&traf->refused);

	if (refused == traf->refused_logged || now_us < traf->refused_log_us)
		return;
	jl_begin(JL_UNLIMITED, "connections_refused");
	jl_int("connections", refused - traf->refused_logged);
	jl_int("lag_ms", (int64_t)ck_pr_load_64(&traf->lag_us) / TMR_US_PER_MS);
	jl_int("waiting", ck_pr_load_uint(&traf->waiting));
	jl_int("requests", traf->reqs->len);
	jl_end();
	met_add(met_counter("bg_connections_refused_total", ""), refused - traf->refused_logged);
	traf->refused_logged = refused;
	traf->refused_log_us = now_us + tmr_from_ms(TRAF_REFUSED_LOG_MS);
}

static void traf_on_sweep(void *ctx, int64_t now_us)
{
	struct traf *traf = ctx;

	traf_log_refused(traf, now_us);
	traf_sweep_parked(traf, now_us);
	traf_set_gauges(traf, now_us);
	traf_body_on_sweep(traf, now_us);
	traf_quar_on_sweep(traf, now_us);
	traf_limit_on_sweep(traf);
	traf_rest_on_sweep(traf);
	if (traf->router->front)
		hd_close_idle(traf->router->front, now_us);
	traf_reach_on_sweep(traf);
	for (guint i = traf->reqs->len; i > 0; i--)
		txn_on_sweep(traf->reqs->pdata[i - 1], now_us);
	loop_start_timer(&traf->loop, &traf->sweep, tmr_from_ms(TRAF_SWEEP_MS), traf_on_sweep,
			 traf);
}

void router_view_free(struct router_view *view)
{
	if (!view)
		return;
	rt_conf_unref(view->conf);
	g_ptr_array_unref(view->endpoints);
	g_ptr_array_unref(view->gateways);
	g_free(view);
}

void traf_post_view(struct traf *traf, struct router_view *view)
{
	struct traf_view_msg *msg = g_new0(struct traf_view_msg, 1);

	msg->traf = traf;
	msg->view = view;
	loop_post(&traf->loop, traf_on_view, msg);
}

void traf_ep_unref(struct traf_ep *ep)
{
	if (--ep->refs > 0)
		return;
	ep_rec_unref(ep->rec);
	g_free(ep->rest_demanded_by);
	g_free(ep);
}

static void traf_update_endpoint(struct traf *traf, struct ep_rec *rec)
{
	struct traf_ep *ep = g_hash_table_lookup(traf->eps, rec->incarnation);

	if (!ep) {
		ep = g_new0(struct traf_ep, 1);
		ep->refs = 1;
		ep->rec = ep_rec_ref(rec);
		g_hash_table_insert(traf->eps, ep->rec->incarnation, ep);
	} else if (ep->rec != rec) {
		struct ep_rec *old = ep->rec;

		ep->rec = ep_rec_ref(rec);
		g_hash_table_replace(traf->eps, ep->rec->incarnation, ep);
		ep_rec_unref(old);
	}
	ep->listed = true;
	g_hash_table_replace(traf->by_addr, ep->rec->addr, ep);
}

/*
 * Removes endpoints that are no longer listed. If another endpoint has the address of one, the old
 * process has ended and its cached context is lost. Streams through it can't go on, so they are
 * moved at once rather than after they have been silent for some time.
 */
static void traf_drop_unlisted(struct traf *traf)
{
	GPtrArray *ended = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, traf->eps);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct traf_ep *ep = value;

		if (ep->listed)
			continue;
		g_hash_table_iter_remove(&iter);
		if (g_hash_table_contains(traf->by_addr, ep->rec->addr))
			g_ptr_array_add(ended, ep);
		else
			traf_ep_unref(ep);
	}
	for (guint i = 0; i < ended->len; i++) {
		traf_mark_faulty_here(traf, ended->pdata[i], TRAF_FAULT_US, "address_taken", NULL);
		traf_ep_unref(ended->pdata[i]);
	}
	g_ptr_array_unref(ended);
}

static void traf_mark_unlisted(gpointer key, gpointer value, gpointer ctx)
{
	(void)key;
	(void)ctx;
	((struct traf_ep *)value)->listed = false;
}

static struct bud_limits traf_budget_limits(const struct traf *traf)
{
	const struct router_settings *s = &traf->router->settings;
	int64_t window_us = (int64_t)(s->repeat_window_s * TMR_US_PER_S);

	return (struct bud_limits){
		.ratio = s->repeat_ratio,
		.fixed = s->repeat_fixed,
		.window_us = window_us,
		.hosts = traf->view->hosts,
		.fixed_from_us = s->first_start ? 0 : traf->start_us + window_us,
	};
}

static void traf_update_budgets(struct traf *traf)
{
	const struct bud_limits limits = traf_budget_limits(traf);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, traf->budgets);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		bud_set_limits(value, &limits, tmr_now());
}

struct bud *traf_budget(struct traf *traf, const char *service)
{
	struct bud *bud = g_hash_table_lookup(traf->budgets, service);

	if (!bud) {
		const struct bud_limits limits = traf_budget_limits(traf);

		bud = g_new0(struct bud, 1);
		bud_init(bud, &limits);
		g_hash_table_insert(traf->budgets, g_strdup(service), bud);
	}
	return bud;
}

struct bk *traf_retry_delay(struct traf *traf, const char *service)
{
	struct bk *back = g_hash_table_lookup(traf->retry_delays, service);

	if (!back) {
		back = g_new0(struct bk, 1);
		g_hash_table_insert(traf->retry_delays, g_strdup(service), back);
	}
	return back;
}

struct adm_service *traf_admission(struct traf *traf, const char *service)
{
	struct adm_service *adm = g_hash_table_lookup(traf->admissions, service);

	if (!adm) {
		adm = g_new0(struct adm_service, 1);
		adm_service_init(adm, tmr_now());
		g_hash_table_insert(traf->admissions, g_strdup(service), adm);
	}
	return adm;
}

static void traf_apply_limits(struct traf *traf)
{
	const struct rt_limits *limits = &traf->view->conf->limits;

	hd_set_limits(traf->router->front, (size_t)limits->max_body_bytes,
		      (unsigned int)((limits->idle_ms + 999) / 1000));
	hd_set_head_max(traf->router->front, (size_t)MAX(limits->max_head_bytes, 1));
	hd_set_head_limit(traf->router->front, tmr_from_ms(limits->head_ms));
	traf_body_set_max(traf->body, (uint64_t)limits->max_body_bytes);
}

/* Sets the number of hosts; logs whether it limits calls for silent streams if that changes. */
static void traf_set_hosts(struct traf *traf, int hosts)
{
	bool limited = wt_is_active(&traf->watch);

	wt_set_hosts(&traf->watch, hosts);
	if (limited == wt_is_active(&traf->watch))
		return;
	jl_begin(JL_INFO, "report_calls");
	jl_int("limited", !limited);
	jl_int("hosts", hosts);
	jl_end();
}

static void traf_on_view(void *ctx)
{
	struct traf_view_msg *msg = ctx;
	struct traf *traf = msg->traf;
	struct router_view *view = msg->view;

	g_free(msg);
	g_hash_table_remove_all(traf->by_addr);
	g_hash_table_foreach(traf->eps, traf_mark_unlisted, NULL);
	for (guint i = 0; i < view->endpoints->len; i++)
		traf_update_endpoint(traf, view->endpoints->pdata[i]);
	router_view_free(traf->view);
	traf->view = view;
	ck_pr_store_uint(&traf->hosts, (unsigned int)MAX(view->hosts, 0));
	traf_set_hosts(traf, view->hosts);
	traf->view_valid_us = MAX(traf->view_valid_us, view->synced_us);
	traf_drop_unlisted(traf);
	traf_reach_on_view(traf);
	traf_update_budgets(traf);
	if (view->conf)
		traf_apply_limits(traf);
	g_atomic_int_set(&traf->router->is_ready, traf_has_view(traf));
	if (traf_has_view(traf))
		traf_start_parked(traf);
}

bool traf_has_view(const struct traf *traf)
{
	return traf->view && traf->view->conf && traf->view->listed;
}

static void traf_start_parked(struct traf *traf)
{
	struct traf_parked *parked;

	while ((parked = g_queue_pop_head(traf->parked))) {
		txn_start(traf, parked->call, parked->received_us);
		g_free(parked);
	}
}

struct traf_header_reader {
	const struct seam_wire *wire;
	struct seam_request *request;
};

static void traf_on_header(void *ctx, const char *name, const char *value)
{
	struct traf_header_reader *reader = ctx;

	reader->wire->read_header(reader->request, name, value);
}

void traf_read_request(const struct traf *traf, struct hd_call *call, struct seam_request *request)
{
	struct traf_header_reader reader = {&traf->router->seam->wire, request};

	seam_request_init(request);
	hd_each_header(call, traf_on_header, &reader);
}

/* Returns the time in us for which the request may wait for the first complete view. */
static int64_t traf_park_us(const struct traf *traf, struct hd_call *call)
{
	struct seam_request request;
	int64_t wait_us;

	traf_read_request(traf, call, &request);
	wait_us = bk_wait_max_us(request.deadline_ms);
	seam_request_finish(&request);
	return wait_us;
}

static void traf_park(struct traf *traf, struct hd_call *call)
{
	struct traf_parked *parked = g_new0(struct traf_parked, 1);

	parked->call = call;
	parked->received_us = tmr_now();
	parked->until_us = parked->received_us + traf_park_us(traf, call);
	g_queue_push_tail(traf->parked, parked);
}

/*
 * Starts the parked requests whose time is over or whose callers have closed the connection.
 * Without a view, txn_start() denies them.
 */
static void traf_sweep_parked(struct traf *traf, int64_t now_us)
{
	GList *link = traf->parked->head;

	while (link) {
		GList *next = link->next;
		struct traf_parked *parked = link->data;

		if (parked->until_us <= now_us || hd_client_closed(parked->call)) {
			g_queue_delete_link(traf->parked, link);
			txn_start(traf, parked->call, parked->received_us);
			g_free(parked);
		}
		link = next;
	}
}

void traf_on_call(void *ctx, struct hd_call *call)
{
	struct router *router = ctx;
	struct traf_call_msg *msg = g_new0(struct traf_call_msg, 1);
	size_t body_len;

	msg->traf = router->traf;
	msg->call = call;
	msg->received_us = tmr_now();
	hd_body(call, &body_len);
	if (body_len > 0)
		traf_body_on_received(router->traf->body, msg->received_us);
	ck_pr_inc_uint(&router->traf->open);
	if (ck_pr_load_uint(&router->traf->waiting) == 0)
		ck_pr_store_64(&router->traf->waiting_since_us, (uint64_t)msg->received_us);
	ck_pr_inc_uint(&router->traf->waiting);
	loop_post(&router->traf->loop, traf_on_posted_call, msg);
}

static void traf_on_posted_drained(void *ctx)
{
	struct hd_call *call = ctx;
	struct txn *txn = hd_owner(call);

	if (txn)
		txn_on_drained(txn);
	hd_unref(call);
}

void traf_on_drained(void *ctx, struct hd_call *call)
{
	struct router *router = ctx;

	loop_post(&router->traf->loop, traf_on_posted_drained, call);
}

bool traf_may_accept(void *ctx)
{
	struct traf *traf = ((struct router *)ctx)->traf;
	const struct accept_state state = {
		.waiting = ck_pr_load_uint(&traf->waiting),
		.since_us = (int64_t)ck_pr_load_64(&traf->waiting_since_us),
		.lag_us = (int64_t)ck_pr_load_64(&traf->lag_us),
		.handled_us = (int64_t)ck_pr_load_64(&traf->handled_us),
		.pace_us = (int64_t)ck_pr_load_64(&traf->pace_us),
		.hosts = (int)ck_pr_load_uint(&traf->hosts),
	};

	if (!accept_must_refuse(&state, tmr_now()))
		return true;
	ck_pr_inc_uint(&traf->refused);
	return false;
}

/* Notes that a request is handled which was received at that time, for traf_may_accept(). */
static void traf_note_handled(struct traf *traf, int64_t received_us)
{
	int64_t now_us = tmr_now();
	int64_t lag_us = now_us - received_us;
	int64_t since_us = now_us - (int64_t)traf->handled_us;
	int64_t pace_us = accept_mean_pace_us((int64_t)traf->pace_us, since_us, lag_us);

	ck_pr_store_64(&traf->pace_us, (uint64_t)pace_us);
	ck_pr_store_64(&traf->lag_us, (uint64_t)lag_us);
	ck_pr_store_64(&traf->handled_us, (uint64_t)now_us);
	ck_pr_dec_uint(&traf->waiting);
}

static void traf_on_posted_call(void *ctx)
{
	struct traf_call_msg *msg = ctx;

	traf_note_handled(msg->traf, msg->received_us);
	if (traf_has_view(msg->traf))
		txn_start(msg->traf, msg->call, msg->received_us);
	else
		traf_park(msg->traf, msg->call);
	g_free(msg);
}

/* Logs when an endpoint becomes slow, or fast again. */
static void traf_log_pace(const struct traf_ep *ep, double pace)
{
	if ((ep->pace >= traf_slow_pace) == (pace >= traf_slow_pace))
		return;
	jl_begin(JL_UNLIMITED, pace >= traf_slow_pace ? "endpoint_slow" : "endpoint_fast");
	jl_str("endpoint", ep->rec->incarnation);
	jl_str("addr", ep->rec->addr);
	jl_real("pace", pace);
	jl_int("layer_from", ep->rec->layer_from);
	jl_int("layer_to", ep->rec->layer_to);
	jl_end();
}

/* Message from the control thread: the view matched the store at synced_us. */
struct traf_synced_msg {
	struct traf *traf;
	int64_t synced_us;
};

static void traf_on_synced(void *ctx)
{
	struct traf_synced_msg *msg = ctx;

	msg->traf->view_valid_us = MAX(msg->traf->view_valid_us, msg->synced_us);
	g_free(msg);
}

void traf_post_synced(struct traf *traf, int64_t synced_us)
{
	struct traf_synced_msg *msg = g_new0(struct traf_synced_msg, 1);

	msg->traf = traf;
	msg->synced_us = synced_us;
	loop_post(&traf->loop, traf_on_synced, msg);
}

/* Message from the control thread: loads that endpoints reported. */
struct traf_loads_msg {
	struct traf *traf;
	GArray *loads; /* struct router_load */
};

static void traf_move_streams_from_slow(struct traf *traf, const struct traf_ep *ep)
{
	for (guint i = traf->reqs->len; i > 0; i--)
		txn_on_slow(traf->reqs->pdata[i - 1], ep);
}

static void traf_on_loads(void *ctx)
{
	struct traf_loads_msg *msg = ctx;
	int64_t now_us = tmr_now();

	for (guint i = 0; i < msg->loads->len; i++) {
		const struct router_load *load = &g_array_index(msg->loads, struct router_load, i);
		struct traf_ep *ep = g_hash_table_lookup(msg->traf->eps, load->endpoint);
		bool slowed;

		if (!ep)
			continue;
		traf_log_pace(ep, load->pace);
		slowed = ep->pace < traf_move_pace && load->pace >= traf_move_pace;
		ep->pace = load->pace;
		ep->full = (double)load->full / ROUTER_MEMORY_STEPS;
		ep->load_us = now_us;
		if (slowed)
			traf_move_streams_from_slow(msg->traf, ep);
	}
	g_array_unref(msg->loads);
	g_free(msg);
}

void traf_post_loads(struct traf *traf, GArray *loads)
{
	struct traf_loads_msg *msg = g_new0(struct traf_loads_msg, 1);

	msg->traf = traf;
	msg->loads = g_array_ref(loads);
	loop_post(&traf->loop, traf_on_loads, msg);
}

int traf_zone_number(struct traf *traf, const char *name)
{
	gpointer number = g_hash_table_lookup(traf->zones, name);

	if (!number) {
		char *copy = g_strdup(name);

		g_ptr_array_add(traf->zone_names, copy);
		number = GINT_TO_POINTER(traf->zone_names->len);
		g_hash_table_insert(traf->zones, copy, number);
	}
	return GPOINTER_TO_INT(number);
}
