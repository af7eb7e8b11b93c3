#include "base/tmr.h"
#include "router/tf.h"

#include <string.h>

enum {
	STALL_CALL_MS = 250, /* an endpoint that lives answers within some ms */
	/* One report tells about all requests of an endpoint, and is some 200 ms old anyhow. */
	STALL_PAUSE_US = 100000,
	HTTP_OK = 200
};

/* The asking of one endpoint. */
struct stall {
	struct tf *tf;
	struct tf_ep *first;
};

static void stall_on_report(void *ctx, int status, int err, bool sent, const char *body,
			    size_t len);

static const struct hc_ops stall_ops = {.on_done = stall_on_report};

/*
 * A pipeline that goes silent does not say which stage is at fault. Its first stage does, in its
 * report, so that one is asked; a guess would blame sound endpoints.
 */
void stall_ask(struct tf *tf, struct tf_ep *first)
{
	struct stall *stall;
	struct hc_request request = {.method = "GET",
				     .connect_ms = STALL_CALL_MS,
				     .total_ms = STALL_CALL_MS,
				     .fresh = true,
				     .close = true};
	char *url;

	if (first->report || tmr_now() - first->report_us < STALL_PAUSE_US)
		return;
	stall = g_new0(struct stall, 1);
	stall->tf = tf;
	stall->first = first;
	first->refs++;
	first->report_us = tmr_now();
	url = g_strdup_printf("http://%s%s", first->rec->addr,
			      tf->router->seam->engine.report_path());
	request.url = url;
	first->report = hc_start(tf->hc, &request, &stall_ops, stall);
	g_free(url);
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
	if (status != HTTP_OK || engine->parse_report(str_make(body, len), &report) < 0) {
		tf_unreached(stall->tf, stall->first, "no_report", NULL);
	} else {
		for (guint i = 0; i < report.stalled->len; i++)
			stall_tell(stall, report.stalled->pdata[i]);
		seam_report_finish(&report);
	}
	tf_ep_unref(stall->first);
	g_free(stall);
}
