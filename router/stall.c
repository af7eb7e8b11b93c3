#include "base/tmr.h"
#include "router/rc.h"
#include "router/tf_heard.h"
#include "router/tf_rest.h"

#include <string.h>

enum {
	STALL_CALL_MS = 250, /* for a report; an endpoint that lives answers within some ms */
	/*
	 * For the check whether a stage answers at all: ten times what a sound one takes, and short
	 * enough for the stream to go on within the pause that users bear, 200 ms.
	 */
	STALL_CHECK_MS = 45,
	STALL_CHECK_PAUSE_US = 150000,
	STALL_TOGETHER_US = 100000, /* checks that end within this time were made under one sign */
	/* One report tells about all requests of an endpoint, and is some 200 ms old anyhow. */
	STALL_PAUSE_US = 100000,
	STALL_DOUBT_US = 1000000,     /* until the report of a first stage tells for sure */
	STALL_RESTARTED_US = 3000000, /* by then the list shows its new incarnation */
	HTTP_OK = 200
};

/*
 * Checks of stages a second, over all hosts, and at once on one host: two pipelines. In an overload
 * every stream looks silent, and checks without a bound cost more than they saved.
 */
static const double stall_checks_per_s = 100;
static const double stall_checks_at_once = 14;

struct stall {
	struct tf *tf;
	struct tf_ep *first; /* that is asked; holds a reference */
	int64_t began_us;
};

static void stall_on_report(void *ctx, int status, int err, bool sent, const char *body,
			    size_t len);

static void stall_on_checked(void *ctx, int status, int err, bool sent, const char *body,
			     size_t len);

static bool stall_on_head(void *ctx, int status, const GPtrArray *headers);

static const struct hc_ops stall_ops = {.on_head = stall_on_head, .on_done = stall_on_report};
static const struct hc_ops stall_check_ops = {.on_head = stall_on_head,
					      .on_done = stall_on_checked};

static struct hc_call *stall_call(struct tf *tf, struct tf_ep *ep, int64_t limit_ms,
				  const struct hc_ops *ops)
{
	struct stall *stall = g_new0(struct stall, 1);
	struct hc_request request = {.method = "GET",
				     .connect_ms = limit_ms,
				     .total_ms = limit_ms,
				     .fresh = true,
				     .close = true};
	char *url = g_strdup_printf("http://%s%s", ep->rec->addr,
				    tf->router->seam->engine.report_path());
	struct hc_call *call;

	stall->tf = tf;
	stall->first = ep;
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

	tf_heard_call(stall->tf, stall->first, status, headers);
	return true;
}

static bool stall_may_check(struct tf *tf, int64_t now_us)
{
	double rate = stall_checks_per_s / MAX(tf->view->hosts, 1);
	double age_s = (double)(now_us - tf->checks_us) / TMR_US_PER_S;

	tf->checks = MIN(tf->checks + age_s * rate, stall_checks_at_once);
	tf->checks_us = now_us;
	if (tf->checks < 1)
		return false;
	tf->checks--;
	return true;
}

/* Asks the endpoint whether it answers at all, unless it was asked just now. */
static void stall_check(struct tf *tf, struct tf_ep *ep, int64_t now_us)
{
	if (ep->check || now_us - ep->check_us < STALL_CHECK_PAUSE_US || !tf_rest_may_call(ep) ||
	    !stall_may_check(tf, now_us))
		return;
	ep->check_us = now_us;
	ep->check = stall_call(tf, ep, STALL_CHECK_MS, &stall_check_ops);
}

/*
 * An engine rejects what it has no memory for in the same words as what passes through one that has
 * died, so the one that it names is asked itself. The first stage shows meanwhile that this host
 * reaches anybody.
 */
void stall_on_named(struct tf *tf, struct tf_ep *first, struct tf_ep *culprit)
{
	int64_t now_us = tmr_now();

	stall_check(tf, culprit, now_us);
	if (culprit->check)
		stall_check(tf, first, now_us);
}

/*
 * A pipeline that goes silent does not say which stage is at fault. Its first stage does, in its
 * report, which is some 200 ms old; a guess would blame sound endpoints. Faster, though less sure,
 * is to ask each stage whether it answers at all: one that has died does not.
 */
void stall_ask(struct tf *tf, const struct tf_target *target)
{
	struct tf_ep *first = target->stages[0].ep;
	int64_t now_us = tmr_now();

	if (!first->report && now_us - first->report_us >= STALL_PAUSE_US &&
	    tf_rest_may_call(first)) {
		first->report_us = now_us;
		first->report = stall_call(tf, first, STALL_CALL_MS, &stall_ops);
	}
	for (int i = 1; i < target->count; i++)
		stall_check(tf, target->stages[i].ep, now_us);
}

/* The endpoint does not answer while others do. */
static void stall_is_missing(struct tf *tf, struct tf_ep *ep)
{
	GPtrArray *reqs = tf->reqs;

	ep->missed_us = 0;
	tf_doubt(ep, STALL_DOUBT_US, SUSPECT_NO_ANSWER, NULL);
	suspect_post(tf->router->rc, ep->rec->incarnation, STALL_DOUBT_US / TMR_US_PER_MS,
		     SUSPECT_NO_ANSWER);
	for (guint i = reqs->len; i > 0; i--)
		rq_on_missing(reqs->pdata[i - 1], ep);
}

/*
 * Another endpoint has answered, so this host is well, and those that did not answer just before
 * are missing. The answer is often the later one: an endpoint whose process has died refuses
 * connections within a millisecond.
 */
static void stall_on_answer(struct tf *tf)
{
	int64_t now_us = tmr_now();
	GPtrArray *missing = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	tf->check_ok_us = now_us;
	g_hash_table_iter_init(&iter, tf->eps);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct tf_ep *ep = value;

		if (ep->missed_us > 0 && now_us - ep->missed_us < STALL_TOGETHER_US)
			g_ptr_array_add(missing, ep);
		ep->missed_us = 0;
	}
	for (guint i = 0; i < missing->len; i++)
		stall_is_missing(tf, missing->pdata[i]);
	g_ptr_array_unref(missing);
}

/*
 * Where no other stage has answered since, this host itself may be slow or cut off; then the check
 * says nothing about the endpoint.
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
	stall->first->check = NULL;
	if (status == HTTP_OK)
		stall_on_answer(tf);
	else if (tf->check_ok_us > stall->began_us)
		stall_is_missing(tf, stall->first);
	else
		stall->first->missed_us = tmr_now();
	tf_ep_unref(stall->first);
	g_free(stall);
}

static void stall_tell(struct stall *stall, const struct seam_stalled *stalled)
{
	GPtrArray *reqs = stall->tf->reqs;

	for (guint i = reqs->len; stalled->request && i > 0; i--) {
		if (rq_is(reqs->pdata[i - 1], stall->first, stalled->request)) {
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
	stall->first->report = NULL;
	if (status == HTTP_OK)
		stall_on_answer(stall->tf);
	if (status != HTTP_OK || engine->parse_report(str_make(body, len), &report) < 0) {
		tf_unreached(stall->tf, stall->first, "no_report", NULL);
	} else if (report.born_ms != 0 && report.born_ms > stall->first->rec->born_ms) {
		tf_suspect(stall->tf, stall->first, STALL_RESTARTED_US, "restarted", NULL);
		seam_report_finish(&report);
	} else {
		for (guint i = 0; i < report.stalled->len; i++)
			stall_tell(stall, report.stalled->pdata[i]);
		seam_report_finish(&report);
	}
	tf_ep_unref(stall->first);
	g_free(stall);
}
