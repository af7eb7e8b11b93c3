#include "router/tf_limit.h"
#include "base/jl.h"
#include "base/met.h"
#include "router/limits.h"

#include <string.h>

enum {
	/* Status of a response from another endpoint, which now has the address. */
	TF_LIMIT_STATUS_MISDIRECTED = 421,
	/* Minimum interval in us between two reports of demand for the same endpoint. */
	TF_LIMIT_REPORT_INTERVAL_US = 20000
};

/* Maximum number of requests that wait for permits, as the time in s in which the limits allow
 * them. */
static const double tf_limit_queue_s = 0.5;

/* A limit or permits that the control thread posts to the traffic thread. */
struct tf_limit_msg {
	struct tf *tf;
	struct limit_update update;
};

static void tf_limit_log(const struct tf_ep *ep, const char *event, double before,
			 const char *request, const char *from)
{
	jl_begin(JL_KEEP, event);
	jl_str("endpoint", ep->rec->incarnation);
	jl_str("addr", ep->rec->addr);
	jl_str("service", ep->rec->service);
	jl_real("rate", ep->limit.news.rate);
	jl_real("before", before);
	jl_int("in_flight", ep->in_flight);
	jl_str("id", request);
	jl_str("from", from);
	jl_end();
}

/* Sets the gauges of one endpoint, which exist from the first limit that it announces. */
static void tf_limit_set_gauges(const struct tf_ep *ep, int64_t now_us)
{
	bool binds = lim_permits_are_required(&ep->limit, now_us);
	double rate = binds ? lim_current_rate(&ep->limit.news, now_us) : 0;
	char *labels = g_strdup_printf("endpoint=\"%s\"", ep->rec->id);

	met_set(met_gauge("bg_limit_per_1000_s", labels), (uint64_t)(rate * 1000));
	met_set(met_gauge("bg_limit_used", labels), (uint64_t)ep->limit_used);
	g_free(labels);
}

/*
 * Counts an unreadable limit, and logs the first one of each endpoint, because it may come with
 * every response.
 */
static void tf_limit_log_unreadable(struct tf_ep *ep, const struct seam_answer *answer,
				    const char *request)
{
	met_add(met_counter("bg_limit_unreadable_total", ""), 1);
	if (ep->limit_unreadable)
		return;
	ep->limit_unreadable = true;
	jl_begin(JL_KEEP, "limit_unreadable");
	jl_str("endpoint", ep->rec->incarnation);
	jl_str("addr", ep->rec->addr);
	jl_int("values", answer->limit_value_count);
	jl_int("unreadable", answer->limit == SEAM_LIMIT_UNREADABLE);
	jl_str("id", request);
	jl_end();
}

/* Reports the limit, the demand for permits and the unused permits to the control thread. */
static void tf_limit_report_demand(struct tf *tf, struct tf_ep *ep)
{
	const struct limit_update update = {
		.endpoint = ep->rec->incarnation,
		.news = ep->limit.news,
		.wanted = ep->limit.wanted,
		.returned = ep->limit.returned,
	};

	ep->limit.wanted = 0;
	ep->limit.returned = 0;
	ep->limit_told_us = tmr_now();
	limits_post(tf->router->ctrl, &update);
}

/* Applies a limit, or the lifting of one. Returns whether that is a change. */
static bool tf_limit_apply(struct tf_ep *ep, const struct lim_notice *news, const char *request,
			   const char *from)
{
	double before = ep->limit.news.named ? ep->limit.news.rate : -1;

	if (!lim_permits_update_limit(&ep->limit, news))
		return false;
	tf_limit_log(ep, news->named ? "limit_named" : "limit_lifted", before, request, from);
	met_add(met_counter(news->named ? "bg_limits_named_total" : "bg_limits_lifted_total", ""),
		1);
	return true;
}

/*
 * Returns whether a response without a limit means that the limit has been lifted. That is so only
 * if the request was sent after the limit was last announced, because earlier responses may have
 * been delayed, and if the response bears the endpoint's seal, because a rejection may omit the
 * limit.
 */
static bool tf_limit_is_lifted(const struct tf_ep *ep, const struct seam_answer *answer,
			       int64_t sent_us)
{
	return answer->limit == SEAM_LIMIT_NONE && answer->head.sealed && ep->limit.news.named &&
	       sent_us > ep->limit.news.stated_us;
}

void tf_limit_on_answer(struct tf *tf, struct tf_ep *ep, const struct seam_answer *answer,
			int64_t sent_us, const char *request)
{
	struct lim_notice news = {answer->limit == SEAM_LIMIT_STATED, answer->limit_rate,
				  tmr_boot_now()};

	if (!answer->head.id_matches || answer->head.status == TF_LIMIT_STATUS_MISDIRECTED)
		return;
	if (answer->limit_value_count > 1 || answer->limit == SEAM_LIMIT_UNREADABLE)
		tf_limit_log_unreadable(ep, answer, request);
	if (!news.named && !tf_limit_is_lifted(ep, answer, sent_us))
		return;
	if (!news.named)
		news.rate = ep->limit.news.rate;
	if (tf_limit_apply(ep, &news, request, "endpoint"))
		tf_limit_report_demand(tf, ep);
}

/*
 * Returns whether the endpoint has never announced a limit, as most have not. This is the fast path
 * of each endpoint selection.
 */
static bool tf_limit_never_announced(const struct tf_ep *ep)
{
	return ep->limit.news.stated_us == 0;
}

bool tf_limit_is_open(struct tf *tf, struct tf_ep *ep, const char *account)
{
	int64_t now_us;

	if (tf_limit_never_announced(ep))
		return true;
	now_us = tmr_boot_now();
	if (!lim_permits_may_send(&ep->limit, now_us))
		return false;
	return !lim_permits_are_required(&ep->limit, now_us) ||
	       lim_fair_may_use_permit(&tf->limit_fair, account, now_us);
}

/* Counts a permit as needed, and reports the demand unless one was reported just before. */
static void tf_limit_add_demand(struct tf *tf, struct tf_ep *ep)
{
	ep->limit.wanted++;
	if (tmr_now() - ep->limit_told_us >= TF_LIMIT_REPORT_INTERVAL_US)
		tf_limit_report_demand(tf, ep);
}

void tf_limit_lacked(struct tf *tf, struct tf_ep *ep)
{
	met_add(met_counter("bg_limit_lacked_total", ""), 1);
	tf_limit_add_demand(tf, ep);
}

void tf_limit_took(struct tf *tf, struct tf_ep *ep, const char *account)
{
	int64_t now_us = tmr_boot_now();

	if (tf_limit_never_announced(ep) || !lim_permits_are_required(&ep->limit, now_us))
		return;
	lim_permits_use(&ep->limit, now_us);
	ep->limit_used++;
	lim_fair_count_permit(&tf->limit_fair, account, now_us);
	met_add(met_counter("bg_limit_sent_total", ""), 1);
	tf_limit_add_demand(tf, ep);
}

/*
 * Returns this host's approximate part of the limits of a service, in requests per second, as if
 * all hosts had equal parts.
 */
static double tf_limit_host_rate(const struct tf *tf, const char *service)
{
	int64_t now_us = tmr_boot_now();
	GHashTableIter iter;
	gpointer value;
	double rate = 0;

	g_hash_table_iter_init(&iter, tf->eps);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct tf_ep *ep = value;

		if (ep->listed && strcmp(ep->rec->service, service) == 0 &&
		    lim_permits_are_required(&ep->limit, now_us))
			rate += lim_current_rate(&ep->limit.news, now_us);
	}
	return rate / MAX(tf->view->hosts, 1);
}

bool tf_limit_waits(struct tf *tf, const char *service, const char *account)
{
	double most = 1 + tf_limit_queue_s * tf_limit_host_rate(tf, service);
	int waiting = 0;

	lim_fair_count_shortage(&tf->limit_fair, account, tmr_boot_now());
	for (guint i = 0; i < tf->reqs->len; i++)
		waiting += rq_waits_for_limit(tf->reqs->pdata[i], service);
	return waiting < most;
}

static void tf_limit_log_refused(const char *service, const char *request, double rate,
				 int64_t back_us)
{
	jl_begin(JL_KEEP, "limit_refused");
	jl_str("id", request);
	jl_str("service", service);
	jl_real("rate_of_host", rate);
	jl_int("back_ms", back_us / TMR_US_PER_MS);
	jl_end();
	met_add(met_counter("bg_limit_refused_total", ""), 1);
}

int64_t tf_limit_back_us(struct tf *tf, const char *service, const char *request, int64_t most_us)
{
	struct lim_retry *turn = g_hash_table_lookup(tf->limit_turns, service);
	double rate = tf_limit_host_rate(tf, service);
	int64_t back_us;

	if (!turn) {
		turn = g_new0(struct lim_retry, 1);
		g_hash_table_insert(tf->limit_turns, g_strdup(service), turn);
	}
	back_us = lim_retry_delay_us(turn, rate, most_us, tmr_boot_now());
	tf_limit_log_refused(service, request, rate, back_us);
	return back_us;
}

void tf_limit_on_sweep(struct tf *tf)
{
	int64_t now_us = tmr_boot_now();
	GHashTableIter iter;
	gpointer value;
	int named = 0;

	g_hash_table_iter_init(&iter, tf->eps);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct tf_ep *ep = value;

		if (tf_limit_never_announced(ep))
			continue;
		tf_limit_set_gauges(ep, now_us);
		if (!lim_permits_are_required(&ep->limit, now_us))
			continue;
		named++;
		/* This call removes expired permits and counts them as returned. */
		lim_permits_may_send(&ep->limit, now_us);
		if (ep->limit.wanted > 0 || ep->limit.returned > 0)
			tf_limit_report_demand(tf, ep);
	}
	met_set(met_gauge("bg_limits", ""), (uint64_t)named);
}

static void tf_limit_on_post(void *ctx)
{
	struct tf_limit_msg *msg = ctx;
	struct tf_ep *ep = g_hash_table_lookup(msg->tf->eps, msg->update.endpoint);

	if (ep && msg->update.permits > 0)
		lim_permits_add(&ep->limit, msg->update.permits, msg->update.asked_us,
				tmr_boot_now());
	else if (ep)
		tf_limit_apply(ep, &msg->update.news, NULL, "another host");
	g_free(msg->update.endpoint);
	g_free(msg);
}

void tf_limit_post(struct tf *tf, const struct limit_update *update)
{
	struct tf_limit_msg *msg = g_new0(struct tf_limit_msg, 1);

	msg->tf = tf;
	msg->update = *update;
	msg->update.endpoint = g_strdup(update->endpoint);
	loop_post(&tf->loop, tf_limit_on_post, msg);
}
