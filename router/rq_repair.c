#include "base/err.h"
#include "base/jl.h"
#include "base/met.h"
#include "router/rq_int.h"
#include "router/tf_heard.h"

#include <string.h>

enum {
	/* A stream that is silent for this long, while others at its first stage are not, hangs. */
	RQ_HANG_US = 1300000,
	RQ_PROGRESS_US = 300000,   /* an endpoint that sent data within this time works */
	RQ_ORDER_CONNECT_MS = 250, /* connection timeout of an order to the first stage */
	RQ_ORDER_MS = 700,	   /* timeout of an order, with its answer */
	RQ_REPAIRS_MAX = 6,	   /* most orders for one request */
	RQ_ACTIVE_US = 80000,	   /* a stream that received data within this time is not stalled */
	/*
	 * Silence that justifies a check of a stage which another host got no answer from; it is
	 * longer than most gaps.
	 */
	RQ_QUIET_US = 40000,
	STATUS_ACCEPTED = 202,
	STATUS_CONFLICT = 409,
	STATUS_OK = 200
};

static void rq_repair_pipeline(struct rq *rq);
static bool rq_on_order_head(void *ctx, int status, const GPtrArray *headers);
static void rq_on_order_done(void *ctx, int status, int err, bool sent, const char *body,
			     size_t len);

static const struct hc_ops rq_order_ops = {.on_head = rq_on_order_head,
					   .on_done = rq_on_order_done};

/* Returns the index of the endpoint's stage in the request's pipeline, or -1. */
static int rq_stage_index(const struct rq *rq, const struct tf_ep *ep)
{
	for (int i = 0; i < rq->target.count; i++) {
		if (rq->target.stages[i].ep == ep)
			return i;
	}
	return -1;
}

/* Returns the index of the first stage that is known to be faulty, or -1. */
static int rq_faulty_stage(const struct rq *rq)
{
	int64_t now_us = tmr_now();

	for (int i = 0; i < rq->target.count; i++) {
		if (rq->target.stages[i].ep->suspect_us > now_us)
			return i;
	}
	return -1;
}

static void rq_log_silent(const struct rq *rq, const char *finding, const char *culprit)
{
	jl_begin(JL_KEEP, "silent");
	jl_str("id", rq->request.id);
	jl_str("finding", finding);
	jl_str("culprit", culprit);
	jl_int("silent_ms", (tmr_now() - rq->last_activity_us) / TMR_US_PER_MS);
	jl_int("parts", (int64_t)rq->fwd.parts);
	jl_end();
}

/*
 * Returns whether the stream hangs at its first stage: it is silent while other streams there
 * receive data. Where all are slow it is kept: elsewhere its prompt would have to be read again,
 * which slows all others further. A stream that has not begun is kept, too. It waits its turn while
 * others go on, and would be last in another queue: when two of 39 endpoints were lost, up to 100
 * streams a second were moved in vain like that, for 25 s.
 */
static bool rq_hangs_alone(const struct rq *rq, int64_t now_us)
{
	return rq->fwd.parts > 0 && now_us - rq->last_activity_us > RQ_HANG_US &&
	       now_us - rq->target.stages[0].ep->progress_us < RQ_PROGRESS_US;
}

bool rq_on_silent(void *ctx)
{
	struct rq *rq = ctx;
	int64_t now_us = tmr_now();

	if (!rq->target.layered) {
		rq_exclude_endpoint(rq, rq->target.stages[0].ep);
		penalty_on_failed(&rq->target.stages[0].ep->failing, now_us);
		return false;
	}
	if (rq_hangs_alone(rq, now_us)) {
		rq_log_silent(rq, "hangs_alone", NULL);
		rq_exclude_endpoint(rq, rq->target.stages[0].ep);
		return false;
	}
	if (rq->order)
		return true;
	if (rq_faulty_stage(rq) >= 0)
		rq_repair_pipeline(rq);
	else
		stall_ask(rq->tf, &rq->target);
	return true;
}

bool rq_is(const struct rq *rq, const struct tf_ep *first, const char *id)
{
	return rq->attempt && rq->target.count > 0 && rq->target.stages[0].ep == first &&
	       g_strcmp0(rq->request.id, id) == 0;
}

void rq_on_stalled(struct rq *rq, const char *culprit)
{
	struct tf_ep *ep = culprit ? g_hash_table_lookup(rq->tf->by_addr, culprit) : NULL;

	rq_log_silent(rq, "stalled", culprit);
	if (ep) {
		rq_exclude_endpoint(rq, ep);
		rq_on_attempt_broken(rq, ep);
		tf_suspect(rq->tf, ep, TF_FAULT_US, "stalled", rq->request.id);
	}
	rq_repair_pipeline(rq);
}

/* Sends the request to other endpoints, to continue after the last event that the caller has. */
static void rq_resume(struct rq *rq, const char *why)
{
	jl_begin(JL_KEEP, "resume");
	jl_str("id", rq->request.id);
	jl_str("why", why);
	jl_int("parts", (int64_t)rq->fwd.parts);
	jl_int("silent_ms", (tmr_now() - rq->last_activity_us) / TMR_US_PER_MS);
	jl_end();
	fwd_abandon_attempt(&rq->fwd, tmr_now());
}

/* Chooses replacements for faulty stages after the first into rq->repair; returns false if none. */
static bool rq_pick_repair(struct rq *rq)
{
	if (!rq->attempt || rq->repairs >= RQ_REPAIRS_MAX)
		return false;
	return tf_pick_repair(rq->tf, rq->service, &rq->request, &rq->target, &rq->avoid,
			      &rq->repair) == 0;
}

/* Returns whether a stage is known to be faulty; a slow or leaving one still serves. */
static bool rq_has_faulty_stage(const struct rq *rq)
{
	return rq_faulty_stage(rq) >= 0;
}

/*
 * Orders the first stage to replace faulty stages after it within the running pipeline. The other
 * stages keep their cached context, no attempt and no repeat is spent, and the stream continues
 * from its present position. If that is impossible, the request is sent to other endpoints.
 *
 * A stage that is only leaving is kept: it works for a while longer, and most streams end by then.
 * Moving a stream makes it pause while its prompt is read again, and delays others on the same
 * links. Keeping the stage earned 0.720 of the value of all answers on days with failures at 39
 * endpoints, moving the streams 0.691. If the stage ends earlier, it is replaced as a dead one.
 */
static void rq_repair_pipeline(struct rq *rq)
{
	const struct seam *seam = rq->tf->router->seam;
	const char *headers[] = {"Content-Type: application/json", NULL};
	struct hc_request request = {.method = "POST",
				     .headers = headers,
				     .connect_ms = RQ_ORDER_CONNECT_MS,
				     .total_ms = RQ_ORDER_MS,
				     .fresh = true,
				     .close = true};
	char *pipeline;
	char *body;
	char *url;

	if (rq->order)
		return;
	if (rq_has_faulty_stage(rq))
		rq_on_attempt_broken(rq, rq->target.stages[rq_faulty_stage(rq)].ep);
	if (rq_reaches_crash_limit(rq)) {
		fwd_on_quarantine(&rq->fwd);
		return;
	}
	if (!rq_pick_repair(rq)) {
		if (rq_has_faulty_stage(rq)) {
			rq_exclude_endpoint(rq, rq->target.stages[rq_faulty_stage(rq)].ep);
			rq_resume(rq, "no_repair");
		}
		return;
	}
	rq->repairs++;
	pipeline = tf_format_pipeline(rq->tf, &rq->repair);
	body = seam->engine.make_repath(rq->request.id, pipeline, rq->tf->view->fence);
	url = g_strdup_printf("http://%s%s", rq->target.stages[0].ep->rec->addr,
			      seam->engine.order_path());
	request.url = url;
	request.body = body;
	request.body_len = strlen(body);
	rq->order_us = tmr_now();
	jl_begin(JL_INFO, "repair");
	jl_str("id", rq->request.id);
	jl_str("pipeline", pipeline);
	jl_int("fence", rq->tf->view->fence);
	jl_end();
	met_add(met_counter("bg_orders_total", "order=\"repair\""), 1);
	rq->order = hc_start(rq->tf->hc, &request, &rq_order_ops, rq);
	g_free(pipeline);
	g_free(body);
	g_free(url);
}

/*
 * Excludes the stage that a refused order names as missing or without room from the next order.
 * Returns false if the refusal names none.
 */
static bool rq_avoid_refused_stage(struct rq *rq, const char *body, size_t len)
{
	char *addr = rq->tf->router->seam->engine.parse_refusal(str_make(body, len));
	struct tf_ep *ep = addr ? g_hash_table_lookup(rq->tf->by_addr, addr) : NULL;

	g_free(addr);
	if (!ep)
		return false;
	rq_exclude_endpoint(rq, ep);
	tf_on_named_faulty(ep, "refused_repair", rq->request.id);
	return true;
}

static bool rq_on_order_head(void *ctx, int status, const GPtrArray *headers)
{
	struct rq *rq = ctx;

	tf_heard_call(rq->tf, rq->target.stages[0].ep, status, headers);
	return true;
}

static void rq_on_order_done(void *ctx, int status, int err, bool sent, const char *body,
			     size_t len)
{
	struct rq *rq = ctx;
	bool done = status == STATUS_OK || status == STATUS_ACCEPTED;

	(void)sent;
	rq->order = NULL;
	jl_begin(JL_KEEP, "repaired");
	jl_str("id", rq->request.id);
	jl_int("status", status);
	jl_str("error", err < 0 ? base_strerror(err) : NULL);
	if (!done && len > 0 && len < RQ_LOGGED_BODY_MAX)
		jl_str("answer", body);
	jl_int("took_ms", (tmr_now() - rq->order_us) / TMR_US_PER_MS);
	jl_end();
	if (!done) {
		tf_target_release(&rq->repair);
		if (status == STATUS_CONFLICT && rq_avoid_refused_stage(rq, body, len))
			rq_repair_pipeline(rq);
		else if (rq_has_faulty_stage(rq))
			rq_resume(rq, "repair_refused");
		return;
	}
	tf_target_release(&rq->target);
	rq->target = rq->repair;
	memset(&rq->repair, 0, sizeof(rq->repair));
	fwd_restart_silence(&rq->fwd, tmr_now());
}

void rq_on_faulty(struct rq *rq, const struct tf_ep *ep)
{
	int64_t now_us = tmr_now();

	if (!rq->target.layered || !rq->attempt || now_us - rq->last_activity_us < RQ_ACTIVE_US)
		return;
	if (rq_stage_index(rq, ep) >= 0)
		rq_repair_pipeline(rq);
}

struct tf_ep *rq_silent_first_stage(const struct rq *rq, const struct tf_ep *ep)
{
	if (!rq->target.layered || !rq->attempt || tmr_now() - rq->last_activity_us < RQ_QUIET_US)
		return NULL;
	return rq_stage_index(rq, ep) > 0 ? rq->target.stages[0].ep : NULL;
}

bool rq_received_through(const struct rq *rq, const struct tf_ep *ep, int64_t now_us)
{
	if (!rq->attempt || rq->fwd.parts == 0 || now_us - rq->last_activity_us >= RQ_ACTIVE_US)
		return false;
	return rq_stage_index(rq, ep) >= 0;
}

void rq_on_missing(struct rq *rq, struct tf_ep *ep)
{
	if (!rq->target.layered || !rq->attempt || rq->order || rq->repairs >= RQ_REPAIRS_MAX ||
	    tmr_now() - rq->last_activity_us < RQ_ACTIVE_US)
		return;
	if (rq_stage_index(rq, ep) < 1)
		return;
	rq_exclude_endpoint(rq, ep);
	rq_on_attempt_broken(rq, ep);
	rq_log_silent(rq, "missing", ep->rec->addr);
	rq_repair_pipeline(rq);
}

void rq_on_slow(struct rq *rq, const struct tf_ep *ep)
{
	int stage;

	if (!rq->target.layered || !rq->attempt || !rq->fwd.begun || rq->repairs >= RQ_REPAIRS_MAX)
		return;
	stage = rq_stage_index(rq, ep);
	if (stage < 1)
		return;
	rq_exclude_endpoint(rq, rq->target.stages[stage].ep);
	rq_repair_pipeline(rq);
}

void rq_cancel_order(struct rq *rq)
{
	if (rq->order)
		hc_cancel(rq->order);
	rq->order = NULL;
	tf_target_release(&rq->repair);
}
