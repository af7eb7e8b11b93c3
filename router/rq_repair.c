#include "base/err.h"
#include "base/jl.h"
#include "base/met.h"
#include "router/rq_int.h"
#include "router/tf_heard.h"

#include <string.h>

enum {
	RQ_BEAR_US = 1300000,	 /* silence after which the stream is taken elsewhere in any case */
	RQ_PROGRESS_US = 300000, /* an endpoint that brought something since then works */
	RQ_ORDER_CONNECT_MS = 250,
	RQ_ORDER_MS = 700,
	RQ_REPAIRS_MAX = 6,
	RQ_ACTIVE_US = 80000, /* a stream that brought something since then is not stalled */
	RQ_QUIET_US = 40000,  /* longer than most pauses; enough to look after a hint */
	STATUS_ACCEPTED = 202,
	STATUS_CONFLICT = 409,
	STATUS_OK = 200
};

static void rq_recover(struct rq *rq);
static bool rq_on_order_head(void *ctx, int status, const GPtrArray *headers);
static void rq_on_ordered(void *ctx, int status, int err, bool sent, const char *body, size_t len);

static const struct hc_ops rq_order_ops = {.on_head = rq_on_order_head, .on_done = rq_on_ordered};

/* The stage that the endpoint is of the request's pipeline, or -1. */
static int rq_stage_of(const struct rq *rq, const struct tf_ep *ep)
{
	for (int i = 0; i < rq->target.count; i++) {
		if (rq->target.stages[i].ep == ep)
			return i;
	}
	return -1;
}

/* The first stage that is known to be at fault, or -1. */
static int rq_suspected_stage(const struct rq *rq)
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
	jl_int("silent_ms", (tmr_now() - rq->part_us) / TMR_US_PER_MS);
	jl_int("parts", (int64_t)rq->fwd.parts);
	jl_end();
}

/*
 * A stream that alone is silent, while others at the same first stage go on, hangs there. Where all
 * are slow it waits: sent elsewhere it would be read anew, and make the rest slower still. One that
 * has not begun waits its turn there, and others go on all the while: sent elsewhere it is last
 * again. After two losses at 39 endpoints up to 100 a second were, for 25 s.
 */
static bool rq_hangs_alone(const struct rq *rq, int64_t now_us)
{
	return rq->fwd.parts > 0 && now_us - rq->part_us > RQ_BEAR_US &&
	       now_us - rq->target.stages[0].ep->progress_us < RQ_PROGRESS_US;
}

bool rq_on_silent(void *ctx)
{
	struct rq *rq = ctx;
	int64_t now_us = tmr_now();

	if (!rq->target.layered) {
		rq_avoid(rq, rq->target.stages[0].ep);
		flg_on_failed(&rq->target.stages[0].ep->failing, now_us);
		return false;
	}
	if (rq_hangs_alone(rq, now_us)) {
		rq_log_silent(rq, "hangs_alone", NULL);
		rq_avoid(rq, rq->target.stages[0].ep);
		return false;
	}
	if (rq->order)
		return true;
	if (rq_suspected_stage(rq) >= 0)
		rq_recover(rq);
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
		rq_avoid(rq, ep);
		rq_cut(rq, ep);
		tf_suspect(rq->tf, ep, TF_SUSPECT_US, "stalled", rq->request.id);
	}
	rq_recover(rq);
}

/* Sends the request again from what the caller has, elsewhere. */
static void rq_resume(struct rq *rq, const char *why)
{
	jl_begin(JL_KEEP, "resume");
	jl_str("id", rq->request.id);
	jl_str("why", why);
	jl_int("parts", (int64_t)rq->fwd.parts);
	jl_int("silent_ms", (tmr_now() - rq->part_us) / TMR_US_PER_MS);
	jl_end();
	fwd_give_up_attempt(&rq->fwd, tmr_now());
}

/* Whether a stage after the first can be replaced; fills rq->repair. */
static bool rq_can_repair(struct rq *rq)
{
	if (!rq->attempt || rq->repairs >= RQ_REPAIRS_MAX)
		return false;
	return tf_pick_repair(rq->tf, rq->service, &rq->request, &rq->target, &rq->avoid,
			      &rq->repair) == 0;
}

/* Whether a stage is known to be at fault; one that is only slow or leaving still serves. */
static bool rq_is_lost(const struct rq *rq)
{
	return rq_suspected_stage(rq) >= 0;
}

/*
 * Stages after the first are replaced within the running pipeline: the other stages keep what they
 * have read, no attempt and no repeat is spent, and the stream goes on where it stands.
 *
 * A stage that is only leaving is kept. It goes on for a while, and most streams end by then;
 * moved, each would pause for certain, for as long as its prompt is read anew, and make others
 * pause that share the way there (part of the value of answers earned on days with failures at 39
 * endpoints 0.720 instead of 0.691, one run and two). Where it ends too soon, it is replaced as a
 * dead one is.
 */
static void rq_recover(struct rq *rq)
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
	if (rq_is_lost(rq))
		rq_cut(rq, rq->target.stages[rq_suspected_stage(rq)].ep);
	if (rq_crashes_too_often(rq)) {
		fwd_on_quarantine(&rq->fwd);
		return;
	}
	if (!rq_can_repair(rq)) {
		if (rq_is_lost(rq)) {
			rq_avoid(rq, rq->target.stages[rq_suspected_stage(rq)].ep);
			rq_resume(rq, "no_repair");
		}
		return;
	}
	rq->repairs++;
	pipeline = tf_pipeline(rq->tf, &rq->repair);
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

/* A refused repair may name a stage that is not there or has no room; the next one goes without. */
static bool rq_learn_refusal(struct rq *rq, const char *body, size_t len)
{
	char *addr = rq->tf->router->seam->engine.parse_refusal(str_make(body, len));
	struct tf_ep *ep = addr ? g_hash_table_lookup(rq->tf->by_addr, addr) : NULL;

	g_free(addr);
	if (!ep)
		return false;
	rq_avoid(rq, ep);
	tf_on_named(ep, "refused_repair", rq->request.id);
	return true;
}

static bool rq_on_order_head(void *ctx, int status, const GPtrArray *headers)
{
	struct rq *rq = ctx;

	tf_heard_call(rq->tf, rq->target.stages[0].ep, status, headers);
	return true;
}

static void rq_on_ordered(void *ctx, int status, int err, bool sent, const char *body, size_t len)
{
	struct rq *rq = ctx;
	bool done = status == STATUS_OK || status == STATUS_ACCEPTED;

	(void)sent;
	rq->order = NULL;
	jl_begin(JL_KEEP, "repaired");
	jl_str("id", rq->request.id);
	jl_int("status", status);
	jl_str("error", err < 0 ? base_strerror(err) : NULL);
	if (!done && len > 0 && len < RQ_LOGGED_MAX)
		jl_str("answer", body);
	jl_int("took_ms", (tmr_now() - rq->order_us) / TMR_US_PER_MS);
	jl_end();
	if (!done) {
		tf_target_clear(&rq->repair);
		if (status == STATUS_CONFLICT && rq_learn_refusal(rq, body, len))
			rq_recover(rq);
		else if (rq_is_lost(rq))
			rq_resume(rq, "repair_refused");
		return;
	}
	tf_target_clear(&rq->target);
	rq->target = rq->repair;
	memset(&rq->repair, 0, sizeof(rq->repair));
	fwd_on_sign(&rq->fwd, tmr_now());
}

void rq_on_suspect(struct rq *rq, const struct tf_ep *ep)
{
	int64_t now_us = tmr_now();

	if (!rq->target.layered || !rq->attempt || now_us - rq->part_us < RQ_ACTIVE_US)
		return;
	if (rq_stage_of(rq, ep) >= 0)
		rq_recover(rq);
}

struct tf_ep *rq_waits_for(const struct rq *rq, const struct tf_ep *ep)
{
	if (!rq->target.layered || !rq->attempt || tmr_now() - rq->part_us < RQ_QUIET_US)
		return NULL;
	return rq_stage_of(rq, ep) > 0 ? rq->target.stages[0].ep : NULL;
}

bool rq_proves(const struct rq *rq, const struct tf_ep *ep, int64_t now_us)
{
	if (!rq->attempt || rq->fwd.parts == 0 || now_us - rq->part_us >= RQ_ACTIVE_US)
		return false;
	return rq_stage_of(rq, ep) >= 0;
}

void rq_on_missing(struct rq *rq, struct tf_ep *ep)
{
	if (!rq->target.layered || !rq->attempt || rq->order || rq->repairs >= RQ_REPAIRS_MAX ||
	    tmr_now() - rq->part_us < RQ_ACTIVE_US)
		return;
	if (rq_stage_of(rq, ep) < 1)
		return;
	rq_avoid(rq, ep);
	rq_cut(rq, ep);
	rq_log_silent(rq, "missing", ep->rec->addr);
	rq_recover(rq);
}

void rq_on_slow(struct rq *rq, const struct tf_ep *ep)
{
	int stage;

	if (!rq->target.layered || !rq->attempt || !rq->fwd.begun || rq->repairs >= RQ_REPAIRS_MAX)
		return;
	stage = rq_stage_of(rq, ep);
	if (stage < 1)
		return;
	rq_avoid(rq, rq->target.stages[stage].ep);
	rq_recover(rq);
}

void rq_drop_order(struct rq *rq)
{
	if (rq->order)
		hc_cancel(rq->order);
	rq->order = NULL;
	tf_target_clear(&rq->repair);
}
