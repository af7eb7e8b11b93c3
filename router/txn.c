#include "base/err.h"
#include "base/hc_framing.h"
#include "base/jl.h"
#include "base/met.h"
#include "router/txn_int.h"
#include "router/traffic_head.h"
#include "router/traffic_limit.h"

#include <ck_pr.h>
#include <stdio.h>
#include <string.h>

enum {
	/* connection timeout, in ms; a live endpoint accepts within a few ms */
	TXN_CONNECT_MS = 300,
	TXN_GAP_FLOOR_MS = 70,	    /* shortest limit on silence, in ms; a batch that reads a
				     * prompt causes such pauses */
	TXN_GAP_MEAN_DIVISOR = 4,   /* the newest gap counts 1/4 in the running mean */
	TXN_GAP_SILENCE_FACTOR = 3, /* a stream is silent after 3 times the mean gap */
	STATUS_FIRST_SERVER_ERROR = 500
};

static int txn_send(void *ctx, int attempt, const char *resume_after);
static int txn_charge_retry(void *ctx);
static void txn_cancel(void *ctx);
static void txn_on_wait(void *ctx);
static void txn_set_timer(void *ctx, int64_t due_us);
static void txn_ended(void *ctx, enum fwd_cause cause);
static void txn_drop(void *ctx);
static bool txn_on_head(void *ctx, int status, const GPtrArray *headers);
static void txn_before_data(void *ctx, size_t len);
static void txn_on_data(void *ctx, const char *data, size_t len);
static void txn_on_excess(void *ctx);
static void txn_on_done(void *ctx, int status, int err, bool sent, const char *body, size_t len);

static const struct fwd_ops txn_fwd_ops = {
	.send = txn_send,
	.charge_retry = txn_charge_retry,
	.cancel = txn_cancel,
	.set_aside = txn_set_aside,
	.take_back = txn_take_back,
	.cancel_aside = txn_cancel_aside,
	.on_wait = txn_on_wait,
	.on_silent = txn_on_silent,
	.answer_complete = txn_answer_whole,
	.answer_begin = txn_answer_begin,
	.answer_data = txn_answer_data,
	.answer_end = txn_answer_end,
	.answer_abort = txn_answer_abort,
	.refuse = txn_refuse,
	.set_timer = txn_set_timer,
	.ended = txn_ended,
	.drop = txn_drop,
};

static const struct hc_ops txn_hc_ops = {
	.on_head = txn_on_head,
	.before_data = txn_before_data,
	.on_data = txn_on_data,
	.all_data = true,
	.on_excess = txn_on_excess,
	.on_done = txn_on_done,
};

static void txn_on_header(void *ctx, const char *name, const char *value)
{
	struct txn *txn = ctx;

	txn->traf->router->seam->wire.read_header(&txn->request, name, value);
}

static void txn_avoid_clear(struct txn *txn)
{
	for (int i = 0; i < txn->avoid.count; i++)
		traf_ep_unref(txn->avoid.stages[i].ep);
	txn->avoid.count = 0;
}

void txn_exclude_endpoint(struct txn *txn, struct traf_ep *ep)
{
	for (int i = 0; i < txn->avoid.count; i++) {
		if (txn->avoid.stages[i].ep == ep)
			return;
	}
	if (txn->avoid.count == TRAF_STAGES_MAX)
		return;
	ep->refs++;
	txn->avoid.stages[txn->avoid.count++].ep = ep;
}

void txn_free(struct txn *txn)
{
	struct traf *traf = txn->traf;

	tmr_cancel(&traf->loop.tmr, &txn->timer);
	txn_cancel(txn);
	txn_cancel_aside(txn);
	txn_count_buffered(txn, 0);
	traf_target_release(&txn->target);
	txn_avoid_clear(txn);
	seam_answer_finish(&txn->answer);
	seam_request_finish(&txn->request);
	fwd_finish(&txn->fwd);
	rt_conf_unref(txn->conf);
	hd_set_owner(txn->call, NULL);
	hd_unref(txn->call);
	g_ptr_array_remove_fast(traf->reqs, txn);
	ck_pr_dec_uint(&traf->open);
	g_free(txn);
}

const char *txn_account_name(const struct txn *txn)
{
	return txn->account ? txn->account->name : "";
}

void txn_start(struct traf *traf, struct hd_call *call, int64_t received_us)
{
	struct txn *txn = g_new0(struct txn, 1);
	struct fwd_rules rules;
	const char *body;
	size_t len;

	txn->traf = traf;
	txn->call = call;
	txn->sides[0].txn = txn->sides[1].txn = txn;
	txn->began_us = received_us;
	memset(&rules, 0, sizeof(rules));
	fwd_init(&txn->fwd, &rules, &txn_fwd_ops, txn);
	seam_request_init(&txn->request);
	hd_each_header(call, txn_on_header, txn);
	hd_set_label(call, txn->request.id);
	hd_set_owner(call, txn);
	g_ptr_array_add(traf->reqs, txn);
	if (!txn_admit(txn))
		return;
	txn_fill_rules(txn, &txn->fwd.rules);
	body = hd_body(call, &len);
	txn->body_len = len;
	txn->key = quar_key_of(str_from_cstr(txn_account_name(txn)), str_from_cstr(hd_target(call)),
			       str_make(body, len));
	if (txn_deny_if_quarantined(txn))
		return;
	bud_on_request(traf_budget(traf, txn->service->name), txn->began_us);
	txn_charge_share(txn);
	if (!txn_admit_by_reach(txn) || !txn_admit_by_room(txn) || !txn_admit_by_load(txn))
		return;
	fwd_start(&txn->fwd, tmr_now());
}

static int64_t txn_time_left_ms(const struct txn *txn, int64_t now_us)
{
	return MAX((txn->fwd.rules.deadline_us - now_us) / TMR_US_PER_MS, 1);
}

static void txn_log_content(const struct txn *txn)
{
	char text[QUAR_KEY_TEXT_LEN + 1];

	quar_key_format(&txn->key, text);
	jl_str("content", text);
}

void txn_log_parts(const uint64_t *parts, int n)
{
	GString *text;

	if (n == 0)
		return;
	text = g_string_new(NULL);
	for (int i = 0; i < n; i++)
		g_string_append_printf(text, "%s%" G_GINT64_MODIFIER "x", i > 0 ? "," : "",
				       parts[i]);
	jl_str("prompt_parts", text->str);
	g_string_free(text, TRUE);
}

static void txn_log_sent(const struct txn *txn, int attempt, const char *pipeline,
			 const char *resume_after)
{
	jl_begin(JL_INFO, "sent");
	jl_str("id", txn->request.id);
	jl_str("route", txn->route->name);
	jl_str("account", txn->account ? txn->account->name : NULL);
	txn_log_content(txn);
	txn_log_parts(txn->request.parts, txn->request.n_parts);
	jl_int("attempt", attempt);
	jl_str("endpoint", txn->target.stages[0].ep->rec->id);
	jl_str("addr", txn->target.stages[0].ep->rec->addr);
	jl_str("pipeline", pipeline);
	jl_str("resume_after", resume_after);
	jl_int("left_ms", txn_time_left_ms(txn, tmr_now()));
	jl_int("version", txn->conf->version);
	jl_int("view_age_ms", (tmr_now() - txn->traf->view_valid_us) / TMR_US_PER_MS);
	jl_end();
}

static void txn_fill_pick_args(const struct txn *txn, enum pa_trust trust,
			       struct traf_pick_args *args)
{
	*args = (struct traf_pick_args){
		.service = txn->service,
		.request = &txn->request,
		.account = txn_account_name(txn),
		.avoid = &txn->avoid,
		.trust = trust,
		.may_repeat = txn->fwd.rules.may_repeat,
	};
}

static int txn_pick(struct txn *txn, enum pa_trust trust, struct traf_target *target)
{
	struct traf_pick_args args;

	txn_fill_pick_args(txn, trust, &args);
	return traf_pick(txn->traf, &args, target);
}

/*
 * No endpoint was found for the first attempt, which may wait. Sets the time at which rest periods
 * leave enough endpoints; returns FWD_ERESTING, or FWD_ENOENDPOINT if there is no such time.
 */
static int txn_wait_for_rest_end(struct txn *txn, enum pa_trust trust)
{
	struct traf_pick_args args;

	txn_fill_pick_args(txn, trust, &args);
	txn->fwd.rules.rest_end_us = traf_pick_rest_end_us(txn->traf, &args);
	return txn->fwd.rules.rest_end_us < 0 ? FWD_ENOENDPOINT : FWD_ERESTING;
}

int64_t txn_rest_left_us(const struct txn *txn)
{
	struct traf_pick_args args;
	int64_t end_us;

	txn_fill_pick_args(txn, PA_DOUBTED, &args);
	args.avoid = NULL;
	end_us = traf_pick_rest_end_us(txn->traf, &args);
	return MAX(end_us - tmr_now(), 0);
}

bool txn_waits_for_limit(const struct txn *txn, const char *service)
{
	return txn->fwd.state == FWD_WAITING && txn->fwd.failure == FWD_LIMITED &&
	       strcmp(txn->service->name, service) == 0;
}

/* Forgets what the last attempt's head said: the next one may end without a head. */
static void txn_forget_answer(struct txn *txn)
{
	seam_answer_finish(&txn->answer);
	memset(&txn->answer, 0, sizeof(txn->answer));
	txn->answer_length = HD_LENGTH_UNKNOWN;
	txn->tally = (struct txn_tally){0};
}

static int txn_send(void *ctx, int attempt, const char *resume_after)
{
	struct txn *txn = ctx;
	struct traf *traf = txn->traf;
	const struct seam_wire *wire = &traf->router->seam->wire;
	struct seam_forward forward = {.urgency = txn->urgency};
	struct way_request request = {
		.http = {.connect_ms = TXN_CONNECT_MS, .fresh = true, .close = true},
		.id = txn->request.id};
	GPtrArray *headers;
	char *pipeline = NULL;
	char *url;
	enum pa_trust trust = attempt > 0 ? PA_DOUBTED : PA_FAULTY;
	int err;

	traf_target_release(&txn->target);
	txn_forget_answer(txn);
	if (txn_quarantine_us(txn, tmr_now()) > 0)
		return FWD_EQUARANTINED;
	err = txn_pick(txn, trust, &txn->target);
	if (err == FWD_ERESTING && attempt == 0)
		err = txn_wait_for_rest_end(txn, trust);
	if (err == FWD_ENOPERMIT &&
	    !traf_limit_may_wait(traf, txn->service->name, txn_account_name(txn)))
		return FWD_EPERMITQUEUE;
	if (err < 0)
		return err;
	if (txn->target.layered)
		pipeline = traf_format_pipeline(traf, &txn->target);
	forward.deadline_ms = txn_time_left_ms(txn, tmr_now());
	forward.instance = txn->target.stages[0].ep->rec->id;
	forward.account = txn->account ? txn->account->name : NULL;
	forward.pipeline = pipeline;
	forward.resume_after = resume_after;
	headers = wire->make_headers(&txn->request, &forward);
	url = g_strdup_printf("http://%s/", txn->target.stages[0].ep->rec->addr);
	request.addr = txn->target.stages[0].ep->rec->addr;
	request.quick = !txn->target.layered;
	request.http.method = hd_method(txn->call);
	request.http.url = url;
	request.http.target = hd_target(txn->call);
	request.http.headers = (const char *const *)headers->pdata;
	if (txn->body_len > 0)
		request.http.shared_body = hd_share_body(txn->call);
	else if (strcmp(request.http.method, "POST") == 0)
		request.http.body = "";
	txn->earlier_duration_us += txn_attempt_duration_us(txn);
	txn->head_received = false;
	txn->part_received = false;
	txn->has_gone_on = false;
	txn->broken_at = NULL;
	txn->last_activity_us = tmr_now();
	txn->attempt_boot_us = tmr_boot_now();
	traf_limit_use_permit(traf, txn->target.stages[0].ep, txn_account_name(txn));
	rest_on_sent(&txn->target.stages[0].ep->rest, txn->last_activity_us);
	penalty_on_chosen(&txn->target.stages[0].ep->failing);
	if (txn->sent_us == 0)
		txn->sent_us = txn->last_activity_us;
	txn_log_sent(txn, attempt, pipeline, resume_after);
	txn->sides[txn->side].has_excess = false;
	txn->attempt = way_start(traf->way, &request, &txn_hc_ops, &txn->sides[txn->side]);
	way_pause(txn->attempt, txn_is_held(txn));
	g_clear_pointer(&request.http.shared_body, g_bytes_unref);
	g_ptr_array_unref(headers);
	g_free(url);
	g_free(pipeline);
	return 0;
}

/*
 * Charges a repeat to the service's budget. If only faulty endpoints are left, nothing is charged:
 * they would reject the request again, and the budget is meant for requests that can be served.
 */
static int txn_charge_retry(void *ctx)
{
	struct txn *txn = ctx;
	struct traf_target target;

	if (txn_reaches_crash_limit(txn))
		return FWD_EQUARANTINED;
	if (reach_is_isolated(way_reach(txn->traf->way)))
		return FWD_ENOENDPOINT;
	if (txn_pick(txn, PA_DOUBTED, &target) < 0)
		return FWD_ENOENDPOINT;
	traf_target_release(&target);
	return bud_charge_retry(traf_budget(txn->traf, txn->service->name), tmr_now())
		       ? 0
		       : FWD_EBUDGET;
}

static void txn_cancel_call(struct way_call **call)
{
	if (*call)
		way_cancel(*call);
	*call = NULL;
}

static void txn_cancel(void *ctx)
{
	struct txn *txn = ctx;

	if (txn->attempt)
		txn_check_stream(txn);
	txn_cancel_call(&txn->attempt);
	txn_cancel_order(txn);
}

/*
 * Logs that the stream waits to be sent again and forgets which endpoints failed it: those that had
 * no room may have some by then.
 */
static void txn_on_wait(void *ctx)
{
	struct txn *txn = ctx;

	jl_begin(JL_UNLIMITED, "stream_waits");
	jl_str("id", txn->request.id);
	jl_str("why", fwd_cause_name(txn->fwd.failure));
	jl_int("waits", txn->fwd.waits);
	jl_int("parts", (int64_t)txn->fwd.parts);
	jl_int("left_ms", txn_time_left_ms(txn, tmr_now()));
	jl_end();
	traf_target_release(&txn->target);
	txn_avoid_clear(txn);
}

/*
 * Excludes the endpoint that caused a failed attempt from this request, and records the failure for
 * other requests: the endpoint that the answer names, else the first stage.
 */
static void txn_record_failure(struct txn *txn, int err, bool sent)
{
	int64_t now_us = tmr_now();
	struct traf_ep *first = txn->target.count > 0 ? txn->target.stages[0].ep : NULL;
	struct traf_ep *culprit = NULL;

	if (txn->answer.culprit)
		culprit = g_hash_table_lookup(txn->traf->by_addr, txn->answer.culprit);
	if (culprit) {
		txn_exclude_endpoint(txn, culprit);
		traf_on_named_faulty(culprit, "named_at_fault", txn->request.id);
		if (first && first != culprit)
			stall_check_named(txn->traf, first, culprit);
		return;
	}
	if (!first || err == 0)
		return;
	txn_exclude_endpoint(txn, first);
	/* A demand for a rest period is not a failure. */
	if (txn->answer.rest != SEAM_REST_STATED) {
		penalty_on_failed(&first->failing, now_us);
		/* Its load is low because it rejects, so the next request would choose it. */
		if (txn->target.layered && txn->answer.head.not_run)
			traf_on_named_faulty(first, "rejected", txn->request.id);
	}
	if (!sent)
		traf_on_unreachable(txn->traf, first, "unreachable", txn->request.id);
}

/*
 * Clears doubts about all stages of the pipeline: the head arrives with the first event, so every
 * stage has worked.
 */
static void txn_clear_doubts(struct txn *txn)
{
	for (int i = 0; i < txn->target.count; i++)
		avoid_on_served(&txn->target.stages[i].ep->doubt, txn->last_activity_us);
}

/* Logs that the answer comes through another host. */
static void txn_log_gateway(const struct txn *txn)
{
	const char *gateway = txn->attempt ? way_gateway(txn->attempt) : NULL;

	if (!gateway)
		return;
	jl_begin(JL_INFO, "answer_through");
	jl_str("id", txn->request.id);
	jl_str("gateway", gateway);
	jl_str("endpoint", txn->target.count > 0 ? txn->target.stages[0].ep->rec->id : NULL);
	jl_end();
}

/* Returns the length of the body that the headers state, or HD_LENGTH_UNKNOWN. */
static uint64_t txn_stated_length(const GPtrArray *headers)
{
	uint64_t len;

	return hc_framing_length(headers, &len) ? len : HD_LENGTH_UNKNOWN;
}

/* Takes note of the head of the current attempt's answer. */
static void txn_take_head(struct txn *txn, const GPtrArray *headers,
			  const struct seam_answer *answer)
{
	txn->head_received = true;
	txn->answer_length = txn_stated_length(headers);
	txn->head_us = tmr_now();
	txn->traf->any_data_us = txn->head_us;
	txn_log_gateway(txn);
	seam_answer_finish(&txn->answer);
	txn->answer = *answer;
	if (txn->target.count > 0)
		traf_head_of_request(txn->traf, txn->target.stages[0].ep, &txn->answer,
				     txn->attempt_boot_us, txn->request.id);
}

/* The current attempt's answer has begun and may be passed on. */
static void txn_on_served(struct txn *txn)
{
	txn_clear_doubts(txn);
	if (txn->target.count > 0)
		penalty_on_served(&txn->target.stages[0].ep->failing, txn->head_us);
	bk_on_served(traf_retry_delay(txn->traf, txn->service->name), txn->head_us);
}

static bool txn_on_head(void *ctx, int status, const GPtrArray *headers)
{
	const struct txn_side *side = ctx;
	struct txn *txn = side->txn;
	struct seam_answer answer;

	txn->traf->router->seam->wire.read_answer(status, headers, txn->request.id, &answer);
	if (txn_is_aside(side) && fwd_is_useless_head(&answer.head)) {
		txn_drop_aside(txn, &answer);
		return false;
	}
	if (txn_is_aside(side))
		fwd_on_aside_progress(&txn->fwd);
	txn_take_head(txn, headers, &answer);
	if (status / 100 == 2 && !fwd_head_fault(&txn->answer.head))
		txn_on_served(txn);
	return fwd_on_head(&txn->fwd, &txn->answer.head, tmr_now());
}

/*
 * Adapts the limit on silence to the stream's usual gap between parts, but to no more than users
 * tolerate: 60% of the gap that the route allows, or TXN_GAP_MIN_MS if that is longer.
 */
static void txn_update_gap_limit(struct txn *txn, int64_t now_us)
{
	int64_t most_us = tmr_from_ms(MAX(TXN_GAP_MIN_MS, txn->route->target_gap_ms * 6 / 10));
	int64_t limit_us;

	if (txn->fwd.parts < 1)
		return;
	if (txn->target.layered && txn->repairs == 0)
		hop_observe_pause(&txn->traf->hop, &txn->target.hops,
				  (double)(now_us - txn->last_activity_us) / TMR_US_PER_MS, now_us);
	txn->gap_us += (now_us - txn->last_activity_us - txn->gap_us) / TXN_GAP_MEAN_DIVISOR;
	limit_us = txn->gap_us * TXN_GAP_SILENCE_FACTOR;
	txn->fwd.rules.gap_us = CLAMP(limit_us, tmr_from_ms(TXN_GAP_FLOOR_MS), most_us);
}

static void txn_before_data(void *ctx, size_t len)
{
	const struct txn_side *side = ctx;

	if (!txn_is_aside(side))
		txn_hold_if_behind(side->txn, len);
}

static void txn_on_data(void *ctx, const char *data, size_t len)
{
	const struct txn_side *side = ctx;
	struct txn *txn = side->txn;
	uint64_t parts = txn->fwd.parts;

	if (txn_is_aside(side))
		fwd_on_aside_progress(&txn->fwd);
	txn_update_gap_limit(txn, tmr_now());
	txn->last_activity_us = tmr_now();
	txn->traf->any_data_us = txn->last_activity_us;
	if (txn->target.count > 0)
		txn->target.stages[0].ep->last_data_us = txn->last_activity_us;
	txn->tally.taken += len;
	txn_limit_buffer(txn);
	fwd_on_data(&txn->fwd, data, len, tmr_now());
	txn_count_buffered(txn, fwd_buffered(&txn->fwd));
	if (txn->fwd.parts > parts)
		txn_on_part(txn);
}

static void txn_on_excess(void *ctx)
{
	struct txn_side *side = ctx;

	side->has_excess = true;
}

static void txn_log_failed_attempt(const struct txn *txn, int err, bool sent)
{
	const char *fault = txn->head_received ? fwd_head_fault(&txn->answer.head) : NULL;

	jl_begin(JL_UNLIMITED, "attempt_failed");
	jl_str("id", txn->request.id);
	jl_str("endpoint", txn->target.count > 0 ? txn->target.stages[0].ep->rec->id : NULL);
	jl_int("status", txn->answer.head.status);
	jl_int("not_run", txn->answer.head.not_run || !sent);
	jl_str("error", err < 0 ? base_strerror(err) : NULL);
	jl_str("fault", txn->answer.head.not_run ? NULL : fault);
	jl_str("culprit", txn->answer.culprit);
	if (txn->answer.rest == SEAM_REST_STATED)
		jl_int("rest_ms", txn->answer.rest_us / TMR_US_PER_MS);
	jl_int("parts", (int64_t)txn->fwd.parts);
	txn_log_content(txn);
	jl_end();
}

static bool txn_has_failed(const struct txn *txn, int status, int err)
{
	if (err < 0 || status >= STATUS_FIRST_SERVER_ERROR || txn->answer.head.not_run)
		return true;
	return txn->head_received && fwd_head_fault(&txn->answer.head);
}

static void txn_drop(void *ctx)
{
	struct txn *txn = ctx;

	txn_log_failed_attempt(txn, 0, true);
	txn_record_failure(txn, BASE_EHTTP, true);
	txn_cancel(txn);
}

static void txn_on_done(void *ctx, int status, int err, bool sent, const char *body, size_t len)
{
	const struct txn_side *side = ctx;
	struct txn *txn = side->txn;
	struct traf_ep *first;

	(void)body;
	(void)len;
	if (txn_is_aside(side) && err < 0) {
		txn_on_aside_done(txn, err, sent);
		return;
	}
	if (txn_is_aside(side))
		fwd_on_aside_progress(&txn->fwd);
	txn_check_stream(txn);
	txn->attempt = NULL;
	txn_cancel(txn);
	first = txn->target.count > 0 ? txn->target.stages[0].ep : NULL;
	if (txn_has_failed(txn, status, err)) {
		txn_log_failed_attempt(txn, err, sent);
		if (err < 0 && sent && first)
			txn_on_attempt_broken(txn, first);
		txn_record_failure(txn, err < 0 ? err : BASE_EHTTP, sent);
	} else if (side->has_excess && first) {
		penalty_on_failed(&first->failing, tmr_now());
	}
	fwd_on_done(&txn->fwd, err == 0, sent, tmr_now());
}

static void txn_on_timer(void *ctx, int64_t now_us)
{
	struct txn *txn = ctx;

	fwd_on_timer(&txn->fwd, now_us);
}

static void txn_set_timer(void *ctx, int64_t due_us)
{
	struct txn *txn = ctx;

	tmr_set(&txn->traf->loop.tmr, &txn->timer, due_us, txn_on_timer, txn);
}

void txn_on_sweep(struct txn *txn, int64_t now_us)
{
	if (txn->fwd.state == FWD_ENDED)
		return;
	if (hd_has_timed_out(txn->call))
		fwd_on_caller_stalled(&txn->fwd);
	else if (hd_client_closed(txn->call))
		fwd_on_caller_disconnected(&txn->fwd);
	else
		txn_flow_on_sweep(txn, now_us);
}

void txn_on_stop(struct txn *txn)
{
	fwd_on_stop(&txn->fwd);
}

static void txn_record_times(const struct txn *txn, int64_t now_us)
{
	char *labels = g_strdup_printf("account=\"%s\",class=\"%s\"",
				       txn->account ? txn->account->name : "", txn->route->name);

	if (txn->first_us > 0)
		met_observe(met_histogram("bg_first_us", labels), txn->first_us - txn->began_us);
	met_observe(met_histogram("bg_whole_us", labels), now_us - txn->began_us);
	g_free(labels);
}

static void txn_on_free(void *ctx, int64_t now_us)
{
	(void)now_us;
	txn_free(ctx);
}

/*
 * Logs and counts the end of the request. This may be called within a callback of the request's own
 * attempt, so the request is freed later, by the event loop.
 */
static void txn_ended(void *ctx, enum fwd_cause cause)
{
	struct txn *txn = ctx;
	int64_t now_us = tmr_now();
	bool bad;
	char labels[64];

	txn_flow_on_end(txn);
	if (cause == FWD_OK && txn->answer_failed)
		cause = hd_has_timed_out(txn->call) ? FWD_CALLER_STALLED : FWD_CALLER_DISCONNECTED;
	bad = cause != FWD_OK && cause != FWD_CALLER_DISCONNECTED;

	jl_begin(bad ? JL_UNLIMITED : JL_INFO, "ended");
	jl_str("id", txn->request.id);
	jl_str("cause", fwd_cause_name(cause));
	jl_int("status", txn->status);
	jl_str("route", txn->route->name);
	jl_str("account", txn->account ? txn->account->name : NULL);
	txn_log_content(txn);
	jl_int("version", txn->conf->version);
	jl_int("sends", txn->fwd.sends);
	jl_int("runs", txn->fwd.runs);
	jl_int("abandoned", txn->fwd.abandoned);
	jl_int("parts", (int64_t)txn->fwd.parts);
	jl_int("first_ms",
	       txn->first_us > 0 ? (txn->first_us - txn->began_us) / TMR_US_PER_MS : -1);
	jl_int("whole_ms", (now_us - txn->began_us) / TMR_US_PER_MS);
	jl_end();
	if (cause == FWD_OK)
		txn_on_served_whole(txn);
	if (bad && txn->fwd.abandoned > 0)
		met_add(met_counter("bg_abandoned_in_vain_total", ""), 1);
	snprintf(labels, sizeof(labels), "cause=\"%s\"", fwd_cause_name(cause));
	met_add(met_counter("bg_requests_total", labels), 1);
	txn_record_times(txn, now_us);
	loop_start_timer(&txn->traf->loop, &txn->timer, 0, txn_on_free, txn);
}
