#include "router/tf.h"
#include "base/jl.h"
#include "base/met.h"
#include "router/tf_limit.h"
#include "router/tf_quar.h"
#include "router/tf_rest.h"

#include <ck_pr.h>
#include <string.h>

enum {
	/*
	 * Interval of the sweep, in ms. It notices callers that have closed their connection, so
	 * that their endpoints stop working for them well within half a second.
	 */
	TF_SWEEP_MS = 150,
	TF_SEED = 12345 /* seed of the random number generator, combined with the host's name */
};

/* Pace (step time as a multiple of the usual one) from which the log calls an endpoint slow. */
static const double tf_slow_pace = 1.5;

/*
 * Pace from which running streams are moved to other endpoints. Below it the move, which takes some
 * 100 ms, costs a stream more than the slow endpoint does.
 */
static const double tf_move_pace = 2.5;

/* Message from the control thread: a new view. */
struct tf_view_msg {
	struct tf *tf;
	struct router_view *view;
};

/* A request that waits for the first complete view. */
struct tf_parked {
	struct hd_call *call;
	int64_t received_us;
	int64_t until_us; /* time until which it waits, in us */
};

/* Message from a thread of the HTTP library: a request. */
struct tf_call_msg {
	struct tf *tf;
	struct hd_call *call;
};

static void *tf_main(void *ctx);
static void tf_on_sweep(void *ctx, int64_t now_us);
static void tf_on_view(void *ctx);
static void tf_on_posted_call(void *ctx);
static void tf_sweep_parked(struct tf *tf, int64_t now_us);
static void tf_start_parked(struct tf *tf);

struct tf *tf_start(struct router *router)
{
	struct tf *tf = g_new0(struct tf, 1);

	tf->router = router;
	tf->start_us = tmr_now();
	tf->view_valid_us = tf->start_us;
	tf->seed = TF_SEED ^ (uint32_t)g_str_hash(router->settings.name);
	tf->eps = g_hash_table_new(g_str_hash, g_str_equal);
	tf->by_addr = g_hash_table_new(g_str_hash, g_str_equal);
	sh_init(&tf->share);
	quar_init(&tf->quar, QUAR_REFUSAL_POINTS);
	served_init(&tf->served);
	tf->budgets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	tf->retry_delays = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	tf->admissions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	lim_fair_init(&tf->limit_fair);
	tf->limit_turns = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	tf->unknown_headers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	tf->zones = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	tf->zone_names = g_ptr_array_new();
	tf->reqs = g_ptr_array_new();
	tf->parked = g_queue_new();
	hop_init(&tf->hop);
	loop_init(&tf->loop);
	tf->hc = hc_new(&tf->loop);
	loop_after(&tf->loop, &tf->sweep, tmr_ms(TF_SWEEP_MS), tf_on_sweep, tf);
	pthread_create(&tf->thread, NULL, tf_main, tf);
	return tf;
}

static void *tf_main(void *ctx)
{
	struct tf *tf = ctx;

	loop_run(&tf->loop);
	return NULL;
}

unsigned int tf_open(const struct tf *tf)
{
	return ck_pr_load_uint(&tf->open);
}

static void tf_set_gauges(const struct tf *tf, int64_t now_us)
{
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	met_set(met_gauge("bg_requests_open", ""), tf->reqs->len);
	g_hash_table_iter_init(&iter, tf->budgets);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		char *labels = g_strdup_printf("service=\"%s\"", (const char *)name);

		met_set(met_gauge("bg_repeats_left", labels),
			(uint64_t)bud_retries_left(value, now_us));
		g_free(labels);
	}
}

static void tf_on_sweep(void *ctx, int64_t now_us)
{
	struct tf *tf = ctx;

	tf_sweep_parked(tf, now_us);
	tf_set_gauges(tf, now_us);
	tf_quar_on_sweep(tf, now_us);
	tf_limit_on_sweep(tf);
	tf_rest_on_sweep(tf);
	for (guint i = tf->reqs->len; i > 0; i--)
		rq_on_sweep(tf->reqs->pdata[i - 1]);
	loop_after(&tf->loop, &tf->sweep, tmr_ms(TF_SWEEP_MS), tf_on_sweep, tf);
}

void router_view_free(struct router_view *view)
{
	if (!view)
		return;
	rt_conf_unref(view->conf);
	g_ptr_array_unref(view->endpoints);
	g_free(view);
}

void tf_post_view(struct tf *tf, struct router_view *view)
{
	struct tf_view_msg *msg = g_new0(struct tf_view_msg, 1);

	msg->tf = tf;
	msg->view = view;
	loop_post(&tf->loop, tf_on_view, msg);
}

void tf_ep_unref(struct tf_ep *ep)
{
	if (--ep->refs > 0)
		return;
	ep_rec_unref(ep->rec);
	g_free(ep->rest_by);
	g_free(ep);
}

static void tf_update_endpoint(struct tf *tf, struct ep_rec *rec)
{
	struct tf_ep *ep = g_hash_table_lookup(tf->eps, rec->incarnation);

	if (!ep) {
		ep = g_new0(struct tf_ep, 1);
		ep->refs = 1;
		ep->rec = ep_rec_ref(rec);
		g_hash_table_insert(tf->eps, ep->rec->incarnation, ep);
	} else if (ep->rec != rec) {
		struct ep_rec *old = ep->rec;

		ep->rec = ep_rec_ref(rec);
		g_hash_table_replace(tf->eps, ep->rec->incarnation, ep);
		ep_rec_unref(old);
	}
	ep->listed = true;
	g_hash_table_replace(tf->by_addr, ep->rec->addr, ep);
}

/*
 * Removes endpoints that are no longer listed. If another endpoint has the address of one, the old
 * process has ended and its cached context is lost. Streams through it can't go on, so they are
 * moved at once rather than after they have been silent for some time.
 */
static void tf_drop_unlisted(struct tf *tf)
{
	GPtrArray *ended = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, tf->eps);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct tf_ep *ep = value;

		if (ep->listed)
			continue;
		g_hash_table_iter_remove(&iter);
		if (g_hash_table_contains(tf->by_addr, ep->rec->addr))
			g_ptr_array_add(ended, ep);
		else
			tf_ep_unref(ep);
	}
	for (guint i = 0; i < ended->len; i++) {
		tf_mark_faulty_here(tf, ended->pdata[i], TF_FAULT_US, "address_taken", NULL);
		tf_ep_unref(ended->pdata[i]);
	}
	g_ptr_array_unref(ended);
}

static void tf_mark_unlisted(gpointer key, gpointer value, gpointer ctx)
{
	(void)key;
	(void)ctx;
	((struct tf_ep *)value)->listed = false;
}

static struct bud_limits tf_budget_limits(const struct tf *tf)
{
	const struct router_settings *s = &tf->router->settings;
	int64_t window_us = (int64_t)(s->repeat_window_s * TMR_US_PER_S);

	return (struct bud_limits){
		.ratio = s->repeat_ratio,
		.fixed = s->repeat_fixed,
		.window_us = window_us,
		.hosts = tf->view->hosts,
		.fixed_from_us = s->first_start ? 0 : tf->start_us + window_us,
	};
}

static void tf_update_budgets(struct tf *tf)
{
	const struct bud_limits limits = tf_budget_limits(tf);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, tf->budgets);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		bud_set_limits(value, &limits, tmr_now());
}

struct bud *tf_budget(struct tf *tf, const char *service)
{
	struct bud *bud = g_hash_table_lookup(tf->budgets, service);

	if (!bud) {
		const struct bud_limits limits = tf_budget_limits(tf);

		bud = g_new0(struct bud, 1);
		bud_init(bud, &limits);
		g_hash_table_insert(tf->budgets, g_strdup(service), bud);
	}
	return bud;
}

struct bk *tf_retry_delay(struct tf *tf, const char *service)
{
	struct bk *back = g_hash_table_lookup(tf->retry_delays, service);

	if (!back) {
		back = g_new0(struct bk, 1);
		g_hash_table_insert(tf->retry_delays, g_strdup(service), back);
	}
	return back;
}

struct adm *tf_admission(struct tf *tf, const char *service)
{
	struct adm *adm = g_hash_table_lookup(tf->admissions, service);

	if (!adm) {
		adm = g_new0(struct adm, 1);
		adm_init(adm, tmr_now());
		g_hash_table_insert(tf->admissions, g_strdup(service), adm);
	}
	return adm;
}

static void tf_apply_limits(struct tf *tf)
{
	const struct rt_limits *limits = &tf->view->conf->limits;

	hd_set_limits(tf->router->front, (size_t)limits->max_body_bytes,
		      (unsigned int)((limits->idle_ms + 999) / 1000));
}

static void tf_on_view(void *ctx)
{
	struct tf_view_msg *msg = ctx;
	struct tf *tf = msg->tf;
	struct router_view *view = msg->view;

	g_free(msg);
	g_hash_table_remove_all(tf->by_addr);
	g_hash_table_foreach(tf->eps, tf_mark_unlisted, NULL);
	for (guint i = 0; i < view->endpoints->len; i++)
		tf_update_endpoint(tf, view->endpoints->pdata[i]);
	router_view_free(tf->view);
	tf->view = view;
	tf->view_valid_us = MAX(tf->view_valid_us, view->synced_us);
	tf_drop_unlisted(tf);
	tf_update_budgets(tf);
	if (view->conf)
		tf_apply_limits(tf);
	g_atomic_int_set(&tf->router->is_ready, tf_has_view(tf));
	if (tf_has_view(tf))
		tf_start_parked(tf);
}

bool tf_has_view(const struct tf *tf)
{
	return tf->view && tf->view->conf && tf->view->listed;
}

static void tf_start_parked(struct tf *tf)
{
	struct tf_parked *parked;

	while ((parked = g_queue_pop_head(tf->parked))) {
		rq_start(tf, parked->call, parked->received_us);
		g_free(parked);
	}
}

struct tf_header_reader {
	const struct seam_wire *wire;
	struct seam_request request;
};

static void tf_on_header(void *ctx, const char *name, const char *value)
{
	struct tf_header_reader *reader = ctx;

	reader->wire->read_header(&reader->request, name, value);
}

/* Returns the time in us for which the request may wait for the first complete view. */
static int64_t tf_park_us(const struct tf *tf, struct hd_call *call)
{
	struct tf_header_reader reader = {.wire = &tf->router->seam->wire};
	int64_t wait_us;

	seam_request_init(&reader.request);
	hd_each_header(call, tf_on_header, &reader);
	wait_us = bk_wait_max_us(reader.request.deadline_ms);
	seam_request_finish(&reader.request);
	return wait_us;
}

static void tf_park(struct tf *tf, struct hd_call *call)
{
	struct tf_parked *parked = g_new0(struct tf_parked, 1);

	parked->call = call;
	parked->received_us = tmr_now();
	parked->until_us = parked->received_us + tf_park_us(tf, call);
	g_queue_push_tail(tf->parked, parked);
}

/*
 * Starts the parked requests whose time is over or whose callers have closed the connection.
 * Without a view, rq_start() denies them.
 */
static void tf_sweep_parked(struct tf *tf, int64_t now_us)
{
	GList *link = tf->parked->head;

	while (link) {
		GList *next = link->next;
		struct tf_parked *parked = link->data;

		if (parked->until_us <= now_us || hd_gone(parked->call)) {
			g_queue_delete_link(tf->parked, link);
			rq_start(tf, parked->call, parked->received_us);
			g_free(parked);
		}
		link = next;
	}
}

void tf_on_call(void *ctx, struct hd_call *call)
{
	struct router *router = ctx;
	struct tf_call_msg *msg = g_new0(struct tf_call_msg, 1);

	msg->tf = router->tf;
	msg->call = call;
	ck_pr_inc_uint(&router->tf->open);
	loop_post(&router->tf->loop, tf_on_posted_call, msg);
}

static void tf_on_posted_call(void *ctx)
{
	struct tf_call_msg *msg = ctx;

	if (tf_has_view(msg->tf))
		rq_start(msg->tf, msg->call, tmr_now());
	else
		tf_park(msg->tf, msg->call);
	g_free(msg);
}

/* Logs when an endpoint becomes slow, or fast again. */
static void tf_log_pace(const struct tf_ep *ep, double pace)
{
	if ((ep->pace >= tf_slow_pace) == (pace >= tf_slow_pace))
		return;
	jl_begin(JL_KEEP, pace >= tf_slow_pace ? "endpoint_slow" : "endpoint_fast");
	jl_str("endpoint", ep->rec->incarnation);
	jl_str("addr", ep->rec->addr);
	jl_real("pace", pace);
	jl_int("layer_from", ep->rec->layer_from);
	jl_int("layer_to", ep->rec->layer_to);
	jl_end();
}

/* Message from the control thread: the view matched the store at synced_us. */
struct tf_fresh_msg {
	struct tf *tf;
	int64_t synced_us;
};

static void tf_on_fresh(void *ctx)
{
	struct tf_fresh_msg *msg = ctx;

	msg->tf->view_valid_us = MAX(msg->tf->view_valid_us, msg->synced_us);
	g_free(msg);
}

void tf_post_fresh(struct tf *tf, int64_t synced_us)
{
	struct tf_fresh_msg *msg = g_new0(struct tf_fresh_msg, 1);

	msg->tf = tf;
	msg->synced_us = synced_us;
	loop_post(&tf->loop, tf_on_fresh, msg);
}

/* Message from the control thread: loads that endpoints reported. */
struct tf_loads_msg {
	struct tf *tf;
	GArray *loads; /* struct router_load */
};

static void tf_move_streams_from_slow(struct tf *tf, const struct tf_ep *ep)
{
	for (guint i = tf->reqs->len; i > 0; i--)
		rq_on_slow(tf->reqs->pdata[i - 1], ep);
}

static void tf_on_loads(void *ctx)
{
	struct tf_loads_msg *msg = ctx;
	int64_t now_us = tmr_now();

	for (guint i = 0; i < msg->loads->len; i++) {
		const struct router_load *load = &g_array_index(msg->loads, struct router_load, i);
		struct tf_ep *ep = g_hash_table_lookup(msg->tf->eps, load->endpoint);
		bool slowed;

		if (!ep)
			continue;
		tf_log_pace(ep, load->pace);
		slowed = ep->pace < tf_move_pace && load->pace >= tf_move_pace;
		ep->pace = load->pace;
		ep->full = (double)load->full / ROUTER_MEMORY_STEPS;
		ep->load_us = now_us;
		if (slowed)
			tf_move_streams_from_slow(msg->tf, ep);
	}
	g_array_unref(msg->loads);
	g_free(msg);
}

void tf_post_loads(struct tf *tf, GArray *loads)
{
	struct tf_loads_msg *msg = g_new0(struct tf_loads_msg, 1);

	msg->tf = tf;
	msg->loads = g_array_ref(loads);
	loop_post(&tf->loop, tf_on_loads, msg);
}

int tf_zone_number(struct tf *tf, const char *name)
{
	gpointer number = g_hash_table_lookup(tf->zones, name);

	if (!number) {
		char *copy = g_strdup(name);

		g_ptr_array_add(tf->zone_names, copy);
		number = GINT_TO_POINTER(tf->zone_names->len);
		g_hash_table_insert(tf->zones, copy, number);
	}
	return GPOINTER_TO_INT(number);
}
