#include "base/log.h"
#include "base/met.h"
#include "once/once.h"
#include "prog/entry_call.h"

#include <ck_pr.h>
#include <string.h>

/*
 * Actions of the request state machine (req/), which does no I/O of its own: messages to the
 * control thread, streams to engines, and answers to callers.
 */
static void entry_act_ask(void *ctx, unsigned int attempt, char *const *exclude);
static void entry_act_withdraw(void *ctx, unsigned int attempt);
static void entry_act_claim(void *ctx, unsigned int attempt, bool supersede);
static void entry_act_release(void *ctx, unsigned int attempt);
static void entry_act_dispatch(void *ctx, unsigned int attempt, uint64_t delivered);
static void entry_act_resume(void *ctx, unsigned int attempt, uint64_t from);
static void entry_act_cancel(void *ctx, unsigned int attempt, bool stop);
static void entry_act_ungrant(void *ctx, unsigned int attempt, enum req_grant_end end,
			      const char *bad);
static void entry_act_join(void *ctx);
static void entry_act_deliver(void *ctx, uint64_t index, const char *text, size_t len);
static void entry_act_finish(void *ctx, enum req_code code, int64_t retry_us);
static void entry_act_timer(void *ctx, int64_t due_us);
const struct req_ops entry_req_ops = {
	.ask = entry_act_ask,
	.withdraw = entry_act_withdraw,
	.claim = entry_act_claim,
	.release = entry_act_release,
	.dispatch = entry_act_dispatch,
	.resume = entry_act_resume,
	.cancel = entry_act_cancel,
	.ungrant = entry_act_ungrant,
	.join = entry_act_join,
	.deliver = entry_act_deliver,
	.finish = entry_act_finish,
	.timer = entry_act_timer,
};

/* Values of the metrics label "class". */
static const char *const entry_class_names[ENTRY_CALL_KIND_COUNT] = {
	[ENTRY_COMPLETION] = "completion",
	[ENTRY_CHAT] = "chat",
	[ENTRY_SERVICE] = "service",
};

static const enum pool_outcome entry_outcomes[] = {
	[REQ_GRANT_END_OK] = POOL_OUTCOME_OK,
	[REQ_GRANT_END_REFUSED] = POOL_OUTCOME_REFUSED,
	[REQ_GRANT_END_STALLED] = POOL_OUTCOME_STALLED,
	[REQ_GRANT_END_NOT_RUN] = POOL_OUTCOME_NOT_RUN,
};

static void entry_act_ask(void *ctx, unsigned int attempt, char *const *exclude)
{
	struct entry_call *call = ctx;
	struct entry *e = call->entry;
	struct entry_grant_request *request;

	if (call->kind == ENTRY_SERVICE) {
		entry_send_event(e, entry_event_new(ENTRY_EVENT_GRANTED, call->id, attempt));
		return;
	}
	request = g_new0(struct entry_grant_request, 1);
	request->entry = e;
	request->call_id = call->id;
	request->attempt = attempt;
	request->account = g_strdup(call->account);
	request->model = g_strdup(call->model);
	request->version = g_strdup(call->version);
	request->tokens = call->max_tokens - call->tokens->len;
	request->deadline_us = call->deadline_us;
	request->exclude = g_strdupv((char **)exclude);
	loop_post(&e->loop, entry_post_grant_request, request);
}

static struct entry_grant_end *entry_grant_end_new(struct entry_call *call, unsigned int attempt)
{
	struct entry_grant_end *grant_end = g_new0(struct entry_grant_end, 1);

	grant_end->entry = call->entry;
	grant_end->call_id = call->id;
	grant_end->attempt = attempt;
	grant_end->tokens = call->tokens->len - call->attempt_first_token;
	return grant_end;
}

static void entry_act_withdraw(void *ctx, unsigned int attempt)
{
	struct entry_call *call = ctx;

	if (call->kind != ENTRY_SERVICE)
		loop_post(&call->entry->loop, entry_post_grant_withdrawal,
			  entry_grant_end_new(call, attempt));
}

static void entry_act_ungrant(void *ctx, unsigned int attempt, enum req_grant_end end,
			      const char *bad)
{
	struct entry_call *call = ctx;
	struct entry_grant_end *grant_end;

	if (call->kind == ENTRY_SERVICE)
		return;
	grant_end = entry_grant_end_new(call, attempt);
	grant_end->outcome = entry_outcomes[end];
	grant_end->faulty_endpoint = g_strdup(bad);
	loop_post(&call->entry->loop, entry_post_grant_end, grant_end);
}

static char *entry_endpoint_names(const struct entry_call *call)
{
	GString *names = g_string_new(NULL);

	for (guint i = 0; call->stages && i < call->stages->len; i++) {
		const struct entry_stage *stage = call->stages->pdata[i];

		g_string_append_printf(names, "%s%s", i > 0 ? "," : "", stage->name);
	}
	return g_string_free(names, FALSE);
}

static struct entry_claim *entry_claim_new(struct entry_call *call, unsigned int attempt,
					   const char *id)
{
	struct entry_claim *claim = g_new0(struct entry_claim, 1);

	claim->entry = call->entry;
	claim->call_id = call->id;
	claim->attempt = attempt;
	claim->key = g_strdup_printf("%s/%s", call->account, call->key);
	claim->id = g_strdup(id);
	claim->run_id = g_strdup_printf("%s-%u", call->request, attempt);
	claim->endpoints = entry_endpoint_names(call);
	claim->digest = g_strdup(call->digest);
	claim->supersedes = g_strdup("");
	return claim;
}

/*
 * Returns the id of the claim that a new one of this request replaces: another request's claim that
 * was never used, or this request's previous claim. Returns "" if there is none.
 */
static const char *entry_superseded_claim(const struct entry_call *call)
{
	if (call->winner_id)
		return call->winner_id;
	if (call->claim_ids->len > 1)
		return call->claim_ids->pdata[call->claim_ids->len - 2];
	return "";
}

/*
 * A request without an idempotency key has no duplicates, so it needs no claim and counts as having
 * won one. It is still dispatched at most once.
 */
static void entry_act_claim(void *ctx, unsigned int attempt, bool supersede)
{
	struct entry_call *call = ctx;
	struct entry *e = call->entry;
	struct entry_claim *claim;
	char *id;

	if (!call->key) {
		struct entry_event *event = entry_event_new(ENTRY_EVENT_CLAIM, call->id, attempt);

		event->verdict = ONCE_WON;
		entry_send_event(e, event);
		return;
	}
	id = g_strdup_printf("%s/%u", call->request, attempt);
	g_ptr_array_add(call->claim_ids, id);
	g_hash_table_insert(e->traffic.claims, id, call);
	claim = entry_claim_new(call, attempt, id);
	if (supersede) {
		g_free(claim->supersedes);
		claim->supersedes = g_strdup(entry_superseded_claim(call));
	}
	loop_post(&e->loop, entry_post_claim, claim);
}

static void entry_act_release(void *ctx, unsigned int attempt)
{
	struct entry_call *call = ctx;

	for (guint i = 0; i < call->claim_ids->len; i++)
		loop_post(&call->entry->loop, entry_post_release,
			  entry_claim_new(call, attempt, call->claim_ids->pdata[i]));
}

static void entry_act_dispatch(void *ctx, unsigned int attempt, uint64_t delivered)
{
	struct entry_call *call = ctx;

	call->attempt_first_token = delivered;
	entry_stream_dispatch(call, attempt, delivered);
}

static void entry_act_resume(void *ctx, unsigned int attempt, uint64_t from)
{
	struct entry_call *call = ctx;

	(void)attempt;
	log_msg(LOG_INFO, "resume request=%s run=%s from=%" G_GUINT64_FORMAT, call->request,
		call->run_id ? call->run_id : "", from);
	entry_stream_resume(call, from);
}

static void entry_act_cancel(void *ctx, unsigned int attempt, bool stop)
{
	(void)attempt;
	entry_stream_cancel(ctx, stop);
}

static void entry_act_join(void *ctx)
{
	entry_join_request(ctx);
}

/* Returns the labels of a request's metrics, which are kept per client account and class. */
static char *entry_call_labels(const struct entry_call *call)
{
	return g_strdup_printf("account=\"%s\",class=\"%s\"", call->account,
			       entry_class_names[call->kind]);
}

static void entry_act_deliver(void *ctx, uint64_t index, const char *text, size_t len)
{
	struct entry_call *call = ctx;
	int64_t now = tmr_now();
	char *labels = entry_call_labels(call);

	if (call->last_token_us == 0)
		met_observe(met_histogram("bg_first_token_us", labels), now - call->began_us);
	else
		met_observe(met_histogram("bg_token_gap_us", labels), now - call->last_token_us);
	g_free(labels);
	call->last_token_us = now;
	g_ptr_array_add(call->tokens, g_bytes_new(text, len));
	entry_answer_token(call, index, text, len);
}

static void entry_call_record_metrics(const struct entry_call *call, enum req_code code)
{
	char *labels = g_strdup_printf("account=\"%s\",code=\"%s\"", call->account,
				       req_code_info(code)->name);

	met_add(met_counter("bg_requests_total", labels), 1);
	g_free(labels);
	labels = entry_call_labels(call);
	met_observe(met_histogram("bg_request_us", labels), tmr_now() - call->began_us);
	met_add(met_counter("bg_tokens_total", labels), call->tokens->len);
	g_free(labels);
}

/*
 * Ends a request. If it claimed a key, it is kept for finished_keep_s, since another entry host may
 * ask for its result.
 */
static void entry_act_finish(void *ctx, enum req_code code, int64_t retry_us)
{
	struct entry_call *call = ctx;
	struct entry *e = call->entry;

	call->finished = true;
	call->finished_us = tmr_now();
	call->code = code;
	log_msg(code == REQ_OK ? LOG_DEBUG : LOG_INFO,
		"request_end request=%s account=%s code=%s tokens=%u attempts=%u", call->request,
		call->account, req_code_info(code)->name, call->tokens->len, call->req.attempt);
	entry_call_record_metrics(call, code);
	tmr_cancel(&e->traffic.loop.tmr, &call->timer);
	entry_answer_finish(call, code, retry_us);
	entry_join_answer_all(call);
	g_queue_push_tail(e->traffic.finished_calls, call);
	ck_pr_dec_uint(&e->open_calls);
}

static void entry_call_on_timer(void *ctx, int64_t now_us)
{
	struct entry_call *call = ctx;

	req_on_timer(&call->req, now_us);
}

static void entry_act_timer(void *ctx, int64_t due_us)
{
	struct entry_call *call = ctx;

	tmr_set(&call->entry->traffic.loop.tmr, &call->timer, due_us, entry_call_on_timer, call);
}
