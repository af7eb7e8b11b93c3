#include "base/err.h"
#include "base/jl.h"
#include "base/met.h"
#include "router/rq_int.h"
#include "router/tf_heard.h"
#include "router/tf_limit.h"

#include <ck_pr.h>
#include <stdio.h>
#include <string.h>

enum {
	RQ_CONNECT_MS = 300,	  /* connection timeout; a live endpoint accepts within a few ms */
	RQ_GAP_FLOOR_MS = 70,	  /* shortest limit on silence, in ms; a batch that reads a
				   * prompt causes such pauses */
	RQ_GAP_MEAN_DIVISOR = 4,  /* the newest gap counts 1/4 in the running mean */
	RQ_GAP_SILENCE_FACTOR = 3 /* a stream is silent after 3 times the mean gap */
};

static int rq_send(void *ctx, int attempt, const char *resume_after);
static int rq_take_repeat(void *ctx);
static void rq_cancel(void *ctx);
static void rq_on_wait(void *ctx);
static void rq_set_timer(void *ctx, int64_t due_us);
static void rq_ended(void *ctx, enum fwd_cause cause);
static bool rq_on_head(void *ctx, int status, const GPtrArray *headers);
static void rq_on_data(void *ctx, const char *data, size_t len);
static void rq_on_done(void *ctx, int status, int err, bool sent, const char *body, size_t len);

static const struct fwd_ops rq_fwd_ops = {
	.send = rq_send,
	.charge_retry = rq_take_repeat,
	.cancel = rq_cancel,
	.on_wait = rq_on_wait,
	.on_silent = rq_on_silent,
	.answer_complete = rq_answer_whole,
	.answer_begin = rq_answer_begin,
	.answer_data = rq_answer_data,
	.answer_end = rq_answer_end,
	.answer_abort = rq_answer_abort,
	.refuse = rq_refuse,
	.set_timer = rq_set_timer,
	.ended = rq_ended,
};

static const struct hc_ops rq_hc_ops = {
	.on_head = rq_on_head,
	.on_data = rq_on_data,
	.all_data = true,
	.on_done = rq_on_done,
};

static void rq_on_header(void *ctx, const char *name, const char *value)
{
	struct rq *rq = ctx;

	rq->tf->router->seam->wire.read_header(&rq->request, name, value);
}

static void rq_avoid_clear(struct rq *rq)
{
	for (int i = 0; i < rq->avoid.count; i++)
		tf_ep_unref(rq->avoid.stages[i].ep);
	rq->avoid.count = 0;
}

void rq_exclude_endpoint(struct rq *rq, struct tf_ep *ep)
{
	for (int i = 0; i < rq->avoid.count; i++) {
		if (rq->avoid.stages[i].ep == ep)
			return;
	}
	if (rq->avoid.count == TF_STAGES_MAX)
		return;
	ep->refs++;
	rq->avoid.stages[rq->avoid.count++].ep = ep;
}

void rq_free(struct rq *rq)
{
	struct tf *tf = rq->tf;

	tmr_cancel(&tf->loop.tmr, &rq->timer);
	rq_cancel(rq);
	tf_target_release(&rq->target);
	rq_avoid_clear(rq);
	seam_answer_finish(&rq->answer);
	seam_request_finish(&rq->request);
	fwd_finish(&rq->fwd);
	rt_conf_unref(rq->conf);
	hd_unref(rq->call);
	g_ptr_array_remove_fast(tf->reqs, rq);
	ck_pr_dec_uint(&tf->open);
	g_free(rq);
}

const char *rq_account_name(const struct rq *rq)
{
	return rq->account ? rq->account->name : "";
}

void rq_start(struct tf *tf, struct hd_call *call, int64_t received_us)
{
	struct rq *rq = g_new0(struct rq, 1);
	struct fwd_rules rules;
	size_t len;

	rq->tf = tf;
	rq->call = call;
	rq->began_us = received_us;
	memset(&rules, 0, sizeof(rules));
	fwd_init(&rq->fwd, &rules, &rq_fwd_ops, rq);
	seam_request_init(&rq->request);
	hd_each_header(call, rq_on_header, rq);
	g_ptr_array_add(tf->reqs, rq);
	if (!rq_admit(rq))
		return;
	rq_fill_rules(rq, &rq->fwd.rules);
	rq->body = (char *)hd_body(call, &len);
	rq->body_len = len;
	rq->key = quar_key_of(str_of(rq_account_name(rq)), str_of(hd_target(call)),
			      str_make(rq->body, len));
	if (rq_deny_if_quarantined(rq))
		return;
	bud_on_request(tf_budget(tf, rq->service->name), rq->began_us);
	rq_charge_share(rq);
	if (!rq_admit_by_load(rq))
		return;
	fwd_start(&rq->fwd, tmr_now());
}

static int64_t rq_time_left_ms(const struct rq *rq, int64_t now_us)
{
	return MAX((rq->fwd.rules.deadline_us - now_us) / TMR_US_PER_MS, 1);
}

static void rq_log_content(const struct rq *rq)
{
	char text[QUAR_KEY_TEXT_LEN + 1];

	quar_key_format(&rq->key, text);
	jl_str("content", text);
}

static void rq_log_sent(const struct rq *rq, int attempt, const char *pipeline,
			const char *resume_after)
{
	jl_begin(JL_INFO, "sent");
	jl_str("id", rq->request.id);
	jl_str("route", rq->route->name);
	jl_str("account", rq->account ? rq->account->name : NULL);
	rq_log_content(rq);
	jl_int("attempt", attempt);
	jl_str("endpoint", rq->target.stages[0].ep->rec->id);
	jl_str("addr", rq->target.stages[0].ep->rec->addr);
	jl_str("pipeline", pipeline);
	jl_str("resume_after", resume_after);
	jl_int("left_ms", rq_time_left_ms(rq, tmr_now()));
	jl_int("version", rq->conf->version);
	jl_int("view_age_ms", (tmr_now() - rq->tf->view_valid_us) / TMR_US_PER_MS);
	jl_end();
}

static void rq_fill_pick_args(const struct rq *rq, enum pa_trust trust, struct tf_pick_args *args)
{
	*args = (struct tf_pick_args){
		.service = rq->service,
		.request = &rq->request,
		.account = rq_account_name(rq),
		.avoid = &rq->avoid,
		.trust = trust,
		.may_repeat = rq->fwd.rules.may_repeat,
	};
}

static int rq_pick(struct rq *rq, enum pa_trust trust, struct tf_target *target)
{
	struct tf_pick_args args;

	rq_fill_pick_args(rq, trust, &args);
	return tf_pick(rq->tf, &args, target);
}

/*
 * No endpoint was found for the first attempt, which may wait. Sets the time at which rest periods
 * leave enough endpoints; returns FWD_ERESTING, or FWD_ENOENDPOINT if there is no such time.
 */
static int rq_wait_for_rest_end(struct rq *rq, enum pa_trust trust)
{
	struct tf_pick_args args;

	rq_fill_pick_args(rq, trust, &args);
	rq->fwd.rules.rest_us = tf_pick_rest_end_us(rq->tf, &args);
	return rq->fwd.rules.rest_us < 0 ? FWD_ENOENDPOINT : FWD_ERESTING;
}

int64_t rq_rest_left_us(const struct rq *rq)
{
	struct tf_pick_args args;
	int64_t end_us;

	rq_fill_pick_args(rq, PA_DOUBTED, &args);
	args.avoid = NULL;
	end_us = tf_pick_rest_end_us(rq->tf, &args);
	return MAX(end_us - tmr_now(), 0);
}

bool rq_waits_for_limit(const struct rq *rq, const char *service)
{
	return rq->fwd.state == FWD_WAITING && rq->fwd.failure == FWD_LIMITED &&
	       strcmp(rq->service->name, service) == 0;
}

static int rq_send(void *ctx, int attempt, const char *resume_after)
{
	struct rq *rq = ctx;
	struct tf *tf = rq->tf;
	const struct seam_wire *wire = &tf->router->seam->wire;
	struct seam_forward forward = {.urgency = rq->urgency};
	struct hc_request request = {.connect_ms = RQ_CONNECT_MS, .fresh = true, .close = true};
	GPtrArray *headers;
	char *pipeline = NULL;
	char *url;
	enum pa_trust trust = attempt > 0 ? PA_DOUBTED : PA_FAULTY;
	int err;

	tf_target_release(&rq->target);
	if (rq_quarantine_us(rq, tmr_now()) > 0)
		return FWD_EQUARANTINED;
	err = rq_pick(rq, trust, &rq->target);
	if (err == FWD_ERESTING && attempt == 0)
		err = rq_wait_for_rest_end(rq, trust);
	if (err == FWD_ENOPERMIT && !tf_limit_waits(tf, rq->service->name, rq_account_name(rq)))
		return FWD_EPERMITQUEUE;
	if (err < 0)
		return err;
	if (rq->target.layered)
		pipeline = tf_format_pipeline(tf, &rq->target);
	forward.deadline_ms = rq_time_left_ms(rq, tmr_now());
	forward.instance = rq->target.stages[0].ep->rec->id;
	forward.account = rq->account ? rq->account->name : NULL;
	forward.pipeline = pipeline;
	forward.resume_after = resume_after;
	headers = wire->make_headers(&rq->request, &forward);
	url = g_strdup_printf("http://%s/", rq->target.stages[0].ep->rec->addr);
	request.method = hd_method(rq->call);
	request.url = url;
	request.target = hd_target(rq->call);
	request.headers = (const char *const *)headers->pdata;
	if (rq->body_len > 0 || strcmp(request.method, "POST") == 0) {
		request.body = rq->body;
		request.body_len = rq->body_len;
	}
	rq->earlier_duration_us += rq_attempt_duration_us(rq);
	rq->head_received = false;
	rq->part_received = false;
	rq->broken_at = NULL;
	rq->last_activity_us = tmr_now();
	rq->attempt_boot_us = tmr_boot_now();
	tf_limit_took(tf, rq->target.stages[0].ep, rq_account_name(rq));
	rest_on_sent(&rq->target.stages[0].ep->rest, rq->last_activity_us);
	penalty_on_chosen(&rq->target.stages[0].ep->failing);
	if (rq->sent_us == 0)
		rq->sent_us = rq->last_activity_us;
	rq_log_sent(rq, attempt, pipeline, resume_after);
	rq->attempt = hc_start(tf->hc, &request, &rq_hc_ops, rq);
	g_ptr_array_unref(headers);
	g_free(url);
	g_free(pipeline);
	return 0;
}

/*
 * Takes a repeat from the service's budget. If only faulty endpoints are left, nothing is taken:
 * they would reject the request again, and the budget is meant for requests that can be served.
 */
static int rq_take_repeat(void *ctx)
{
	struct rq *rq = ctx;
	struct tf_target target;

	if (rq_reaches_crash_limit(rq))
		return FWD_EQUARANTINED;
	if (rq_pick(rq, PA_DOUBTED, &target) < 0)
		return FWD_ENOENDPOINT;
	tf_target_release(&target);
	return bud_charge_retry(tf_budget(rq->tf, rq->service->name), tmr_now()) ? 0 : FWD_EBUDGET;
}

static void rq_cancel_call(struct hc_call **call)
{
	if (*call)
		hc_cancel(*call);
	*call = NULL;
}

static void rq_cancel(void *ctx)
{
	struct rq *rq = ctx;

	rq_cancel_call(&rq->attempt);
	rq_cancel_order(rq);
}

/*
 * Logs that the stream waits to be sent again and forgets which endpoints failed it: those that had
 * no room may have some by then.
 */
static void rq_on_wait(void *ctx)
{
	struct rq *rq = ctx;

	jl_begin(JL_KEEP, "stream_waits");
	jl_str("id", rq->request.id);
	jl_str("why", fwd_cause_name(rq->fwd.failure));
	jl_int("waits", rq->fwd.waits);
	jl_int("parts", (int64_t)rq->fwd.parts);
	jl_int("left_ms", rq_time_left_ms(rq, tmr_now()));
	jl_end();
	tf_target_release(&rq->target);
	rq_avoid_clear(rq);
}

/*
 * Excludes the endpoint that caused a failed attempt from this request, and records the failure for
 * other requests: the endpoint that the answer names, else the first stage.
 */
static void rq_record_failure(struct rq *rq, int err, bool sent)
{
	int64_t now_us = tmr_now();
	struct tf_ep *first = rq->target.count > 0 ? rq->target.stages[0].ep : NULL;
	struct tf_ep *culprit = NULL;

	if (rq->answer.culprit)
		culprit = g_hash_table_lookup(rq->tf->by_addr, rq->answer.culprit);
	if (culprit) {
		rq_exclude_endpoint(rq, culprit);
		tf_on_named_faulty(culprit, "named_at_fault", rq->request.id);
		if (first && first != culprit)
			stall_on_named(rq->tf, first, culprit);
		return;
	}
	if (!first || err == 0)
		return;
	rq_exclude_endpoint(rq, first);
	/* A demand for a rest period is not a failure. */
	if (rq->answer.rest != SEAM_REST_STATED) {
		penalty_on_failed(&first->failing, now_us);
		/* Its load is low because it rejects, so the next request would choose it. */
		if (rq->target.layered && rq->answer.head.not_run)
			tf_on_named_faulty(first, "rejected", rq->request.id);
	}
	if (!sent)
		tf_unreached(rq->tf, first, "unreachable", rq->request.id);
}

/*
 * Clears doubts about all stages of the pipeline: the head arrives with the first event, so every
 * stage has worked.
 */
static void rq_clear_doubts(struct rq *rq)
{
	for (int i = 0; i < rq->target.count; i++)
		avoid_on_served(&rq->target.stages[i].ep->doubt, rq->last_activity_us);
}

static bool rq_on_head(void *ctx, int status, const GPtrArray *headers)
{
	struct rq *rq = ctx;
	bool go_on;

	rq->head_received = true;
	rq->head_us = tmr_now();
	rq->tf->heard_us = tmr_now();
	seam_answer_finish(&rq->answer);
	rq->tf->router->seam->wire.read_answer(status, headers, rq->request.id, &rq->answer);
	if (rq->target.count > 0)
		tf_head_of_request(rq->tf, rq->target.stages[0].ep, &rq->answer,
				   rq->attempt_boot_us, rq->request.id);
	if (status / 100 == 2) {
		rq_clear_doubts(rq);
		if (rq->target.count > 0)
			penalty_on_served(&rq->target.stages[0].ep->failing, rq->head_us);
		bk_on_served(tf_retry_delay(rq->tf, rq->service->name), tmr_now());
	}
	go_on = fwd_on_head(&rq->fwd, &rq->answer.head, tmr_now());
	return go_on;
}

/*
 * Adapts the limit on silence to the stream's usual gap between parts, but to no more than users
 * tolerate: 60% of the gap that the route allows, or RQ_GAP_MIN_MS if that is longer.
 */
static void rq_update_gap_limit(struct rq *rq, int64_t now_us)
{
	int64_t most_us = tmr_ms(MAX(RQ_GAP_MIN_MS, rq->route->target_gap_ms * 6 / 10));
	int64_t limit_us;

	if (rq->fwd.parts < 1)
		return;
	if (rq->target.layered && rq->repairs == 0)
		hop_observe_pause(&rq->tf->hop, &rq->target.hops,
				  (double)(now_us - rq->last_activity_us) / TMR_US_PER_MS, now_us);
	rq->gap_us += (now_us - rq->last_activity_us - rq->gap_us) / RQ_GAP_MEAN_DIVISOR;
	limit_us = rq->gap_us * RQ_GAP_SILENCE_FACTOR;
	rq->fwd.rules.gap_us = CLAMP(limit_us, tmr_ms(RQ_GAP_FLOOR_MS), most_us);
}

static void rq_on_data(void *ctx, const char *data, size_t len)
{
	struct rq *rq = ctx;
	uint64_t parts = rq->fwd.parts;

	rq_update_gap_limit(rq, tmr_now());
	rq->last_activity_us = tmr_now();
	rq->tf->heard_us = rq->last_activity_us;
	if (rq->target.count > 0)
		rq->target.stages[0].ep->progress_us = rq->last_activity_us;
	fwd_on_data(&rq->fwd, data, len, tmr_now());
	if (rq->fwd.parts > parts)
		rq_on_part(rq);
}

static void rq_on_done(void *ctx, int status, int err, bool sent, const char *body, size_t len)
{
	struct rq *rq = ctx;
	bool failed = err < 0 || status >= 500 || rq->answer.head.not_run;

	(void)body;
	(void)len;
	rq->attempt = NULL;
	rq_cancel(rq);
	if (failed) {
		jl_begin(JL_KEEP, "attempt_failed");
		jl_str("id", rq->request.id);
		jl_str("endpoint", rq->target.count > 0 ? rq->target.stages[0].ep->rec->id : NULL);
		jl_int("status", rq->answer.head.status);
		jl_int("not_run", rq->answer.head.not_run || !sent);
		jl_str("error", err < 0 ? base_strerror(err) : NULL);
		jl_str("culprit", rq->answer.culprit);
		if (rq->answer.rest == SEAM_REST_STATED)
			jl_int("rest_ms", rq->answer.rest_us / TMR_US_PER_MS);
		jl_int("parts", (int64_t)rq->fwd.parts);
		rq_log_content(rq);
		jl_end();
		if (err < 0 && sent && rq->target.count > 0)
			rq_on_attempt_broken(rq, rq->target.stages[0].ep);
		rq_record_failure(rq, err < 0 ? err : -1, sent);
	}
	fwd_on_done(&rq->fwd, err == 0, sent, tmr_now());
}

static void rq_on_timer(void *ctx, int64_t now_us)
{
	struct rq *rq = ctx;

	fwd_on_timer(&rq->fwd, now_us);
}

static void rq_set_timer(void *ctx, int64_t due_us)
{
	struct rq *rq = ctx;

	tmr_set(&rq->tf->loop.tmr, &rq->timer, due_us, rq_on_timer, rq);
}

void rq_on_sweep(struct rq *rq)
{
	if (rq->fwd.state != FWD_ENDED && hd_gone(rq->call))
		fwd_on_caller_disconnected(&rq->fwd);
}

static void rq_record_times(const struct rq *rq, int64_t now_us)
{
	char *labels = g_strdup_printf("account=\"%s\",class=\"%s\"",
				       rq->account ? rq->account->name : "", rq->route->name);

	if (rq->first_us > 0)
		met_observe(met_histogram("bg_first_us", labels), rq->first_us - rq->began_us);
	met_observe(met_histogram("bg_whole_us", labels), now_us - rq->began_us);
	g_free(labels);
}

static void rq_on_free(void *ctx, int64_t now_us)
{
	(void)now_us;
	rq_free(ctx);
}

/*
 * Logs and counts the end of the request. It may be within a callback of its own attempt, so it is
 * freed from the loop.
 */
static void rq_ended(void *ctx, enum fwd_cause cause)
{
	struct rq *rq = ctx;
	int64_t now_us = tmr_now();
	bool bad = cause != FWD_OK && cause != FWD_CALLER_DISCONNECTED;
	char labels[64];

	jl_begin(bad ? JL_KEEP : JL_INFO, "ended");
	jl_str("id", rq->request.id);
	jl_str("cause", fwd_cause_name(cause));
	jl_int("status", rq->status);
	jl_str("route", rq->route->name);
	jl_str("account", rq->account ? rq->account->name : NULL);
	rq_log_content(rq);
	jl_int("version", rq->conf->version);
	jl_int("sends", rq->fwd.sends);
	jl_int("runs", rq->fwd.runs);
	jl_int("parts", (int64_t)rq->fwd.parts);
	jl_int("first_ms", rq->first_us > 0 ? (rq->first_us - rq->began_us) / TMR_US_PER_MS : -1);
	jl_int("whole_ms", (now_us - rq->began_us) / TMR_US_PER_MS);
	jl_end();
	if (cause == FWD_OK)
		rq_on_served_whole(rq);
	snprintf(labels, sizeof(labels), "cause=\"%s\"", fwd_cause_name(cause));
	met_add(met_counter("bg_requests_total", labels), 1);
	rq_record_times(rq, now_us);
	loop_after(&rq->tf->loop, &rq->timer, 0, rq_on_free, rq);
}
