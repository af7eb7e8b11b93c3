#include "base/tmr.h"
#include "router/ctrl.h"
#include "router/tf_heard.h"
#include "router/tf_rest.h"

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
	struct tf *tf;
	struct tf_ep *ep; /* endpoint that is called; a reference is held */
	int64_t began_us; /* time at which the call was started, by tmr_now() */
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

/* Starts a request for the report of the endpoint, which also serves as a liveness check. */
static struct hc_call *stall_call(struct tf *tf, struct tf_ep *ep, int64_t timeout_ms,
				  const struct hc_ops *ops)
{
	struct stall *stall = g_new0(struct stall, 1);
	struct hc_request request = {.method = "GET",
				     .connect_ms = timeout_ms,
				     .total_ms = timeout_ms,
				     .fresh = true,
				     .close = true};
	char *url = g_strdup_printf("http://%s%s", ep->rec->addr,
				    tf->router->seam->engine.report_path());
	struct hc_call *call;

	stall->tf = tf;
	stall->ep = ep;
	stall->began_us = tmr_now();
	ep->refs++;
	request.url = url;
	call = hc_start(tf->hc, &request, ops, stall);
	g_free(url);
	return call;
}

static bool stall_on_head(void *ctx, int status, const GPtrArray *headers)
{
	struct stall *stall = ctx;

	tf_heard_call(stall->tf, stall->ep, status, headers);
	return true;
}

/* Returns whether the rate limit allows one more liveness check, and counts that one. */
static bool stall_allow_check(struct tf *tf, int64_t now_us)
{
	double rate = stall_checks_per_s / MAX(tf->view->hosts, 1);
	double age_s = (double)(now_us - tf->checks_us) / TMR_US_PER_S;

	tf->checks = MIN(tf->checks + age_s * rate, stall_check_burst);
	tf->checks_us = now_us;
	if (tf->checks < 1)
		return false;
	tf->checks--;
	return true;
}

/* Starts a liveness check of the endpoint unless one is under way or has just been made. */
static void stall_check(struct tf *tf, struct tf_ep *ep, int64_t now_us)
{
	if (ep->check || now_us - ep->check_us < STALL_CHECK_INTERVAL_US || !tf_rest_may_call(ep) ||
	    !stall_allow_check(tf, now_us))
		return;
	ep->check_us = now_us;
	ep->check = stall_call(tf, ep, STALL_CHECK_MS, &stall_check_ops);
}

/*
 * Checks a stage that the first stage named as the culprit of a rejection. An engine gives the same
 * response whether the other stage is out of memory or dead, so that stage is checked directly. The
 * first stage is checked as well, to show whether this host can reach any endpoint.
 */
void stall_on_named(struct tf *tf, struct tf_ep *first, struct tf_ep *culprit)
{
	int64_t now_us = tmr_now();

	stall_check(tf, culprit, now_us);
	if (culprit->check)
		stall_check(tf, first, now_us);
}

/*
 * Finds out which stage of a silent pipeline is at fault. The report of the first stage names it
 * reliably, but is about 200 ms old; guessing a stage would put the blame on working endpoints.
 * Liveness checks of the other stages find a dead one faster, though less reliably.
 */
void stall_ask(struct tf *tf, const struct tf_target *target)
{
	struct tf_ep *first = target->stages[0].ep;
	int64_t now_us = tmr_now();

	if (!first->report && now_us - first->report_us >= STALL_REPORT_INTERVAL_US &&
	    tf_rest_may_call(first)) {
		first->report_us = now_us;
		first->report = stall_call(tf, first, STALL_REPORT_MS, &stall_report_ops);
	}
	for (int i = 1; i < target->count; i++)
		stall_check(tf, target->stages[i].ep, now_us);
}

/*
 * Avoids an endpoint that failed a check while others responded, and moves the silent requests that
 * pass through it to other endpoints.
 */
static void stall_on_missing(struct tf *tf, struct tf_ep *ep)
{
	GPtrArray *reqs = tf->reqs;

	ep->missed_us = 0;
	tf_doubt(ep, STALL_AVOID_US, SUSPECT_NO_ANSWER, NULL);
	suspect_post(tf->router->ctrl, ep->rec->incarnation, STALL_AVOID_US / TMR_US_PER_MS,
		     SUSPECT_NO_ANSWER);
	for (guint i = reqs->len; i > 0; i--)
		rq_on_missing(reqs->pdata[i - 1], ep);
}

/*
 * Handles a successful response of an endpoint. It shows that this host is neither slow nor cut
 * off, so endpoints that failed a check within the last STALL_EVIDENCE_US count as missing. The
 * failure often comes before the success, because the host of an ended process refuses connections
 * within a millisecond.
 */
static void stall_on_response(struct tf *tf)
{
	int64_t now_us = tmr_now();
	GPtrArray *missing = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	tf->check_ok_us = now_us;
	g_hash_table_iter_init(&iter, tf->eps);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct tf_ep *ep = value;

		if (ep->missed_us > 0 && now_us - ep->missed_us < STALL_EVIDENCE_US)
			g_ptr_array_add(missing, ep);
		ep->missed_us = 0;
	}
	for (guint i = 0; i < missing->len; i++)
		stall_on_missing(tf, missing->pdata[i]);
	g_ptr_array_unref(missing);
}

/*
 * Handles the result of a liveness check. A failure counts against the endpoint only if another one
 * has responded since the check began. Otherwise this host may be slow or cut off, and the failure
 * is only recorded until another endpoint responds.
 */
static void stall_on_checked(void *ctx, int status, int err, bool sent, const char *body,
			     size_t len)
{
	struct stall *stall = ctx;
	struct tf *tf = stall->tf;

	(void)err;
	(void)sent;
	(void)body;
	(void)len;
	stall->ep->check = NULL;
	if (status == HTTP_OK)
		stall_on_response(tf);
	else if (tf->check_ok_us > stall->began_us)
		stall_on_missing(tf, stall->ep);
	else
		stall->ep->missed_us = tmr_now();
	tf_ep_unref(stall->ep);
	g_free(stall);
}

/* Passes the culprit that a report names to the request that waits for it. */
static void stall_notify_request(struct stall *stall, const struct seam_stalled *stalled)
{
	GPtrArray *reqs = stall->tf->reqs;

	for (guint i = reqs->len; stalled->request && i > 0; i--) {
		if (rq_is(reqs->pdata[i - 1], stall->ep, stalled->request)) {
			rq_on_stalled(reqs->pdata[i - 1], stalled->culprit);
			return;
		}
	}
}

static void stall_on_report(void *ctx, int status, int err, bool sent, const char *body, size_t len)
{
	struct stall *stall = ctx;
	const struct seam_engine *engine = &stall->tf->router->seam->engine;
	struct seam_report report;

	(void)err;
	(void)sent;
	stall->ep->report = NULL;
	if (status == HTTP_OK)
		stall_on_response(stall->tf);
	if (status != HTTP_OK || engine->parse_report(str_make(body, len), &report) < 0) {
		tf_unreached(stall->tf, stall->ep, "no_report", NULL);
	} else if (report.born_ms != 0 && report.born_ms > stall->ep->rec->born_ms) {
		tf_suspect(stall->tf, stall->ep, STALL_RESTARTED_US, "restarted", NULL);
		seam_report_finish(&report);
	} else {
		for (guint i = 0; i < report.stalled->len; i++)
			stall_notify_request(stall, report.stalled->pdata[i]);
		seam_report_finish(&report);
	}
	tf_ep_unref(stall->ep);
	g_free(stall);
}
