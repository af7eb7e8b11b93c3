#include "router/traffic_limit.h"
#include "base/jl.h"
#include "base/met.h"
#include "router/limits.h"

#include <string.h>

enum {
	/* Status of a response from another endpoint, which now has the address. */
	TRAF_LIMIT_STATUS_MISDIRECTED = 421,
	/* Minimum interval in us between two reports of demand for the same endpoint. */
	TRAF_LIMIT_REPORT_INTERVAL_US = 20000
};

/* Time in s; as many requests may wait for permits as the limits allow in this time. */
static const double traf_limit_queue_s = 0.5;

/* A limit or permits that the control thread posts to the traffic thread. */
struct traf_limit_msg {
	struct traf *traf;
	struct limit_update update;
};

static void traf_limit_log(const struct traf_ep *ep, const char *event, double before,
			   const char *request, const char *from)
{
	jl_begin(JL_UNLIMITED, event);
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
static void traf_limit_set_gauges(const struct traf_ep *ep, int64_t now_us)
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
static void traf_limit_log_unreadable(struct traf_ep *ep, const struct seam_answer *answer,
				      const char *request)
{
	met_add(met_counter("bg_limit_unreadable_total", ""), 1);
	if (ep->limit_unreadable_logged)
		return;
	ep->limit_unreadable_logged = true;
	jl_begin(JL_UNLIMITED, "limit_unreadable");
	jl_str("endpoint", ep->rec->incarnation);
	jl_str("addr", ep->rec->addr);
	jl_int("values", answer->limit_value_count);
	jl_int("unreadable", answer->limit == SEAM_LIMIT_UNREADABLE);
	jl_str("id", request);
	jl_end();
}

/* Reports the limit, the demand for permits and the unused permits to the control thread. */
static void traf_limit_report_demand(struct traf *traf, struct traf_ep *ep)
{
	const struct limit_update update = {
		.endpoint = ep->rec->incarnation,
		.limit = ep->limit.news,
		.wanted = ep->limit.wanted,
		.returned = ep->limit.returned,
	};

	ep->limit.wanted = 0;
	ep->limit.returned = 0;
	ep->limit_reported_us = tmr_now();
	limits_post(traf->router->ctrl, &update);
}

/* Applies a limit, or the lifting of one. Returns whether that is a change. */
static bool traf_limit_apply(struct traf_ep *ep, const struct lim_notice *news, const char *request,
			     const char *from)
{
	double before = ep->limit.news.named ? ep->limit.news.rate : -1;

	if (!lim_permits_update_limit(&ep->limit, news))
		return false;
	traf_limit_log(ep, news->named ? "limit_named" : "limit_lifted", before, request, from);
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
static bool traf_limit_is_lifted(const struct traf_ep *ep, const struct seam_answer *answer,
				 int64_t sent_us)
{
	return answer->limit == SEAM_LIMIT_NONE && answer->head.sealed && ep->limit.news.named &&
	       sent_us > ep->limit.news.stated_us;
}

void traf_limit_on_answer(struct traf *traf, struct traf_ep *ep, const struct seam_answer *answer,
			  int64_t sent_us, const char *request)
{
	struct lim_notice news = {answer->limit == SEAM_LIMIT_STATED, answer->limit_rate,
				  tmr_boot_now()};

	if (!answer->head.id_matches || answer->head.status == TRAF_LIMIT_STATUS_MISDIRECTED)
		return;
	if (answer->limit_value_count > 1 || answer->limit == SEAM_LIMIT_UNREADABLE)
		traf_limit_log_unreadable(ep, answer, request);
	if (!news.named && !traf_limit_is_lifted(ep, answer, sent_us))
		return;
	if (!news.named)
		news.rate = ep->limit.news.rate;
	if (traf_limit_apply(ep, &news, request, "endpoint"))
		traf_limit_report_demand(traf, ep);
}

/*
 * Returns whether the endpoint has never announced a limit, as most have not. This is the fast path
 * of each endpoint selection.
 */
static bool traf_limit_never_announced(const struct traf_ep *ep)
{
	return ep->limit.news.stated_us == 0;
}

bool traf_limit_is_open(struct traf *traf, struct traf_ep *ep, const char *account)
{
	int64_t now_us;

	if (traf_limit_never_announced(ep))
		return true;
	now_us = tmr_boot_now();
	if (!lim_permits_may_send(&ep->limit, now_us))
		return false;
	return !lim_permits_are_required(&ep->limit, now_us) ||
	       lim_fair_may_use_permit(&traf->limit_fair, account, now_us);
}

/* Counts a permit as needed, and reports the demand unless one was reported just before. */
static void traf_limit_add_demand(struct traf *traf, struct traf_ep *ep)
{
	ep->limit.wanted++;
	if (tmr_now() - ep->limit_reported_us >= TRAF_LIMIT_REPORT_INTERVAL_US)
		traf_limit_report_demand(traf, ep);
}

void traf_limit_request_permit(struct traf *traf, struct traf_ep *ep)
{
	met_add(met_counter("bg_limit_lacked_total", ""), 1);
	traf_limit_add_demand(traf, ep);
}

void traf_limit_use_permit(struct traf *traf, struct traf_ep *ep, const char *account)
{
	int64_t now_us = tmr_boot_now();

	if (traf_limit_never_announced(ep) || !lim_permits_are_required(&ep->limit, now_us))
		return;
	lim_permits_use(&ep->limit, now_us);
	ep->limit_used++;
	lim_fair_count_permit(&traf->limit_fair, account, now_us);
	met_add(met_counter("bg_limit_sent_total", ""), 1);
	traf_limit_add_demand(traf, ep);
}

/*
 * Returns this host's approximate part of the limits of a service, in requests per second, as if
 * all hosts had equal parts.
 */
static double traf_limit_host_rate(const struct traf *traf, const char *service)
{
	int64_t now_us = tmr_boot_now();
	GHashTableIter iter;
	gpointer value;
	double rate = 0;

	g_hash_table_iter_init(&iter, traf->eps);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct traf_ep *ep = value;

		if (ep->listed && strcmp(ep->rec->service, service) == 0 &&
		    lim_permits_are_required(&ep->limit, now_us))
			rate += lim_current_rate(&ep->limit.news, now_us);
	}
	return rate / MAX(traf->view->hosts, 1);
}

bool traf_limit_may_wait(struct traf *traf, const char *service, const char *account)
{
	double most = 1 + traf_limit_queue_s * traf_limit_host_rate(traf, service);
	int waiting = 0;

	lim_fair_count_shortage(&traf->limit_fair, account, tmr_boot_now());
	for (guint i = 0; i < traf->reqs->len; i++)
		waiting += txn_waits_for_limit(traf->reqs->pdata[i], service);
	return waiting < most;
}

static void traf_limit_log_refused(const char *service, const char *request, double rate,
				   int64_t back_us)
{
	jl_begin(JL_UNLIMITED, "limit_refused");
	jl_str("id", request);
	jl_str("service", service);
	jl_real("rate_of_host", rate);
	jl_int("back_ms", back_us / TMR_US_PER_MS);
	jl_end();
	met_add(met_counter("bg_limit_refused_total", ""), 1);
}

int64_t traf_limit_retry_us(struct traf *traf, const char *service, const char *request,
			    int64_t most_us)
{
	struct lim_retry *turn = g_hash_table_lookup(traf->limit_retries, service);
	double rate = traf_limit_host_rate(traf, service);
	int64_t back_us;

	if (!turn) {
		turn = g_new0(struct lim_retry, 1);
		g_hash_table_insert(traf->limit_retries, g_strdup(service), turn);
	}
	back_us = lim_retry_delay_us(turn, rate, most_us, tmr_boot_now());
	traf_limit_log_refused(service, request, rate, back_us);
	return back_us;
}

void traf_limit_on_sweep(struct traf *traf)
{
	int64_t now_us = tmr_boot_now();
	GHashTableIter iter;
	gpointer value;
	int named = 0;

	g_hash_table_iter_init(&iter, traf->eps);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct traf_ep *ep = value;

		if (traf_limit_never_announced(ep))
			continue;
		traf_limit_set_gauges(ep, now_us);
		if (!lim_permits_are_required(&ep->limit, now_us))
			continue;
		named++;
		/* This call removes expired permits and counts them as returned. */
		lim_permits_may_send(&ep->limit, now_us);
		if (ep->limit.wanted > 0 || ep->limit.returned > 0)
			traf_limit_report_demand(traf, ep);
	}
	met_set(met_gauge("bg_limits", ""), (uint64_t)named);
}

static void traf_limit_on_post(void *ctx)
{
	struct traf_limit_msg *msg = ctx;
	struct traf_ep *ep = g_hash_table_lookup(msg->traf->eps, msg->update.endpoint);

	if (ep && msg->update.permits > 0)
		lim_permits_add(&ep->limit, msg->update.permits, msg->update.asked_us,
				tmr_boot_now());
	else if (ep)
		traf_limit_apply(ep, &msg->update.limit, NULL, "another host");
	g_free(msg->update.endpoint);
	g_free(msg);
}

void traf_limit_post(struct traf *traf, const struct limit_update *update)
{
	struct traf_limit_msg *msg = g_new0(struct traf_limit_msg, 1);

	msg->traf = traf;
	msg->update = *update;
	msg->update.endpoint = g_strdup(update->endpoint);
	loop_post(&traf->loop, traf_limit_on_post, msg);
}
