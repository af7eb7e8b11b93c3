#include "base/err.h"
#include "base/tmr.h"
#include "router/ctrl.h"
#include "router/traffic_head.h"
#include "router/traffic_rest.h"

#include <string.h>

enum {
	/* Timeout of a report request, in ms; a working endpoint responds within a few ms. */
	STALL_REPORT_MS = 250,
	/*
	 * Timeout of a liveness check, in ms. It is ten times the response time of a working stage
	 * and short enough for the stream to resume within 200 ms, the longest pause that users
	 * tolerate.
	 */
	STALL_CHECK_MS = 45,
	/* Minimum interval between two liveness checks of one endpoint, in us. */
	STALL_CHECK_INTERVAL_US = 150000,
	/*
	 * Maximum time in us from a failed check of one endpoint to a response of another one for
	 * the failure to count.
	 */
	STALL_EVIDENCE_US = 100000,
	/*
	 * Minimum interval between two report requests to one endpoint, in us. A report covers all
	 * requests of the endpoint and is about 200 ms old, so asking more often gains nothing.
	 */
	STALL_REPORT_INTERVAL_US = 100000,
	/*
	 * Time in us for which an endpoint that failed a check is avoided; the report of the first
	 * stage identifies the faulty stage by then.
	 */
	STALL_AVOID_US = 1000000,
	/*
	 * Time in us for which a restarted endpoint is avoided; the endpoint list contains its new
	 * incarnation by then.
	 */
	STALL_RESTARTED_US = 3000000,
	HTTP_OK = 200
};

/*
 * Rate limit of liveness checks: per second over all hosts, and in one burst on one host, which is
 * enough for two pipelines. Under overload every stream looks silent, and unlimited checks cost
 * more than they saved.
 */
static const double stall_checks_per_s = 100;
static const double stall_check_burst = 14;

/* A report request or a liveness check that is under way. */
struct stall {
	struct traf *traf;
	struct traf_ep *ep; /* endpoint that is called; a reference is held */
	int64_t began_us;   /* time at which the call was started, by tmr_now() */
};

static void stall_on_report(void *ctx, int status, int err, bool sent, const char *body,
			    size_t len);

static void stall_on_checked(void *ctx, int status, int err, bool sent, const char *body,
			     size_t len);

static bool stall_on_head(void *ctx, int status, const GPtrArray *headers);

static const struct hc_ops stall_report_ops = {.on_head = stall_on_head,
					       .on_done = stall_on_report};
static const struct hc_ops stall_check_ops = {.on_head = stall_on_head,
					      .on_done = stall_on_checked};

/*
 * Starts a request for the report of the endpoint, which also serves as a liveness check. gateway:
 * name of the host to call through, or NULL.
 */
static struct way_call *stall_call(struct traf *traf, struct traf_ep *ep, int64_t timeout_ms,
				   const char *gateway, const struct hc_ops *ops)
{
	struct stall *stall = g_new0(struct stall, 1);
	struct way_request request = {.http = {.method = "GET",
					       .connect_ms = timeout_ms,
					       .total_ms = timeout_ms,
					       .fresh = true,
					       .close = true},
				      .addr = ep->rec->addr,
				      .gateway = gateway,
				      .harmless = ops == &stall_report_ops,
				      .one_way = ops == &stall_check_ops};
	char *url = g_strdup_printf("http://%s%s", ep->rec->addr,
				    traf->router->seam->engine.report_path());
	struct way_call *call;

	stall->traf = traf;
	stall->ep = ep;
	stall->began_us = tmr_now();
	ep->refs++;
	request.http.url = url;
	call = way_start(traf->way, &request, ops, stall);
	g_free(url);
	return call;
}

static bool stall_on_head(void *ctx, int status, const GPtrArray *headers)
{
	struct stall *stall = ctx;

	traf_head_of_call(stall->traf, stall->ep, status, headers);
	return true;
}

/* Returns whether the rate limit allows one more liveness check, and counts that one. */
static bool stall_allow_check(struct traf *traf, int64_t now_us)
{
	double rate = stall_checks_per_s / MAX(traf->view->hosts, 1);
	double age_s = (double)(now_us - traf->check_refill_us) / TMR_US_PER_S;

	traf->checks = MIN(traf->checks + age_s * rate, stall_check_burst);
	traf->check_refill_us = now_us;
	if (traf->checks < 1)
		return false;
	traf->checks--;
	return true;
}

/* Starts a liveness check of the endpoint unless one is under way or has just been made. */
static void stall_check(struct traf *traf, struct traf_ep *ep, int64_t now_us)
{
	if (ep->check || now_us - ep->check_us < STALL_CHECK_INTERVAL_US ||
	    !traf_rest_may_call(ep) || !stall_allow_check(traf, now_us))
		return;
	ep->check_us = now_us;
	ep->check = stall_call(traf, ep, STALL_CHECK_MS, NULL, &stall_check_ops);
}

/* Requests the report of the first stage of a silent pipeline, unless that was done lately. */
static void stall_request_report(struct traf *traf, struct traf_ep *first, const char *gateway,
				 int64_t now_us)
{
	if (first->report ||
	    !wt_is_due(&traf->watch, &first->report_calls, STALL_REPORT_INTERVAL_US, now_us) ||
	    !traf_rest_may_call(first) || !wt_take_call(&traf->watch, now_us))
		return;
	wt_on_call(&traf->watch, &first->report_calls, now_us);
	first->report = stall_call(traf, first, STALL_REPORT_MS, gateway, &stall_report_ops);
}

/*
 * Checks a stage that the first stage named as the culprit of a rejection. An engine gives the same
 * response whether the other stage is out of memory or dead, so that stage is checked directly. The
 * first stage is checked as well, to show whether this host can reach any endpoint.
 */
void stall_check_named(struct traf *traf, struct traf_ep *first, struct traf_ep *culprit)
{
	int64_t now_us = tmr_now();

	stall_check(traf, culprit, now_us);
	if (culprit->check)
		stall_check(traf, first, now_us);
}

/*
 * Finds out which stage of a silent pipeline is at fault. The report of the first stage names it
 * reliably, but is about 200 ms old; guessing a stage would exclude working endpoints.
 * Liveness checks of the other stages find a dead one faster, though less reliably.
 */
void stall_find_stage(struct traf *traf, const struct traf_target *target, const char *gateway)
{
	int64_t now_us = tmr_now();

	for (int i = 1; i < target->count; i++) {
		if (traf_accept_report(traf, target->stages[i].ep))
			return;
	}
	stall_request_report(traf, target->stages[0].ep, gateway, now_us);
	for (int i = 1; i < target->count; i++)
		stall_check(traf, target->stages[i].ep, now_us);
}

/*
 * Avoids an endpoint that failed a check while others responded, and moves the silent requests that
 * pass through it to other endpoints.
 */
static void stall_on_missing(struct traf *traf, struct traf_ep *ep)
{
	GPtrArray *reqs = traf->reqs;

	ep->check_failed_us = 0;
	traf_exclude_briefly(ep, STALL_AVOID_US, SUSPECT_NO_ANSWER, NULL);
	suspect_post(traf->router->ctrl, ep->rec->incarnation, STALL_AVOID_US / TMR_US_PER_MS,
		     SUSPECT_NO_ANSWER);
	for (guint i = reqs->len; i > 0; i--)
		txn_on_unresponsive(reqs->pdata[i - 1], ep);
}

/*
 * Handles a successful response of an endpoint. It shows that this host is neither slow nor cut
 * off, so endpoints that failed a check within the last STALL_EVIDENCE_US count as missing. The
 * failure often comes before the success, because the host of an ended process refuses connections
 * within a millisecond.
 */
static void stall_on_response(struct traf *traf)
{
	int64_t now_us = tmr_now();
	GPtrArray *missing = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	traf->check_answered_us = now_us;
	g_hash_table_iter_init(&iter, traf->eps);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct traf_ep *ep = value;

		if (ep->check_failed_us > 0 && now_us - ep->check_failed_us < STALL_EVIDENCE_US)
			g_ptr_array_add(missing, ep);
		ep->check_failed_us = 0;
	}
	for (guint i = 0; i < missing->len; i++)
		stall_on_missing(traf, missing->pdata[i]);
	g_ptr_array_unref(missing);
}

/* Returns the time of the last data from a first stage other than ep, in us; 0: none. */
static int64_t stall_data_of_others_us(const struct traf *traf, const struct traf_ep *ep)
{
	int64_t last_us = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, traf->eps);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct traf_ep *other = value;

		if (other != ep)
			last_us = MAX(last_us, other->last_data_us);
	}
	return last_us;
}

/*
 * Handles the result of a liveness check. A failure counts against the endpoint only if another one
 * has reached this host. Otherwise this host may be slow or cut off, and the failure is only
 * recorded until another endpoint responds.
 */
static void stall_on_checked(void *ctx, int status, int err, bool sent, const char *body,
			     size_t len)
{
	struct stall *stall = ctx;
	struct traf *traf = stall->traf;
	const struct wt_failure failure = {.began_us = stall->began_us,
					   .refused = err == BASE_EREFUSED,
					   .answered_us = traf->check_answered_us,
					   .data_us = stall_data_of_others_us(traf, stall->ep)};

	(void)sent;
	(void)body;
	(void)len;
	stall->ep->check = NULL;
	if (status == HTTP_OK)
		stall_on_response(traf);
	else if (wt_failure_counts(&traf->watch, &failure))
		stall_on_missing(traf, stall->ep);
	else
		stall->ep->check_failed_us = tmr_now();
	traf_ep_unref(stall->ep);
	g_free(stall);
}

/*
 * A report names the culprit of a request of another host. That host may not have asked, since
 * calls are limited, so the fault is reported to all hosts as that of an own request would be.
 */
static void stall_on_other_stalled(struct stall *stall, const struct seam_stalled *stalled)
{
	struct traf *traf = stall->traf;
	struct traf_ep *ep =
		stalled->culprit ? g_hash_table_lookup(traf->by_addr, stalled->culprit) : NULL;

	if (ep && wt_is_active(&traf->watch) && !traf_has_stream_through(traf, ep))
		traf_mark_faulty(traf, ep, TRAF_FAULT_US, "stalled", stalled->request);
}

/* Passes the culprit that a report names to the request that waits for it. */
static void stall_notify_request(struct stall *stall, const struct seam_stalled *stalled)
{
	GPtrArray *reqs = stall->traf->reqs;

	for (guint i = reqs->len; stalled->request && i > 0; i--) {
		if (txn_is_attempt_at(reqs->pdata[i - 1], stall->ep, stalled->request)) {
			txn_on_stalled(reqs->pdata[i - 1], stalled->culprit);
			return;
		}
	}
	stall_on_other_stalled(stall, stalled);
}

static void stall_on_report(void *ctx, int status, int err, bool sent, const char *body, size_t len)
{
	struct stall *stall = ctx;
	const struct seam_engine *engine = &stall->traf->router->seam->engine;
	struct seam_report report;

	(void)err;
	(void)sent;
	stall->ep->report = NULL;
	if (status == HTTP_OK)
		stall_on_response(stall->traf);
	if (status != HTTP_OK || engine->parse_report(str_make(body, len), &report) < 0) {
		wt_on_lost(&stall->ep->report_calls);
		traf_on_unreachable(stall->traf, stall->ep, "no_report", NULL);
	} else if (report.born_ms != 0 && report.born_ms > stall->ep->rec->born_ms) {
		traf_mark_faulty(stall->traf, stall->ep, STALL_RESTARTED_US, "restarted", NULL);
		seam_report_finish(&report);
	} else {
		wt_on_answer(&stall->ep->report_calls, report.stalled->len > 0);
		for (guint i = 0; i < report.stalled->len; i++)
			stall_notify_request(stall, report.stalled->pdata[i]);
		seam_report_finish(&report);
	}
	traf_ep_unref(stall->ep);
	g_free(stall);
}
