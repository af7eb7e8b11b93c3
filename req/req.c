#include "req/req.h"

#include <string.h>

static void req_request_grant(struct req *req);
static void req_dispatch(struct req *req, int64_t now_us);
static void req_end(struct req *req, enum req_code code, int64_t retry_us);
static void req_retry(struct req *req, enum req_failure why, int64_t now_us);
static void req_resume(struct req *req, int64_t now_us);
static void req_release_grant(struct req *req, enum req_grant_end end, const char *bad);
static void req_set_timer(struct req *req, int64_t now_us);
static void req_on_silence(struct req *req, int64_t now_us);
static bool req_is_current(const struct req *req, unsigned int attempt);

static const char *const req_state_names[] = {
	[REQ_WAIT_GRANT] = "wait_grant",
	[REQ_WAIT_CLAIM] = "wait_claim",
	[REQ_RUNNING] = "running",
	[REQ_BACKOFF] = "backoff",
	[REQ_RESUMING] = "resuming",
	[REQ_JOINING] = "joining",
	[REQ_DONE] = "done",
};

static const enum req_grant_end req_failure_grant_ends[] = {
	[REQ_FAILURE_NOT_SENT] = REQ_GRANT_END_REFUSED,
	[REQ_FAILURE_NOT_RUN] = REQ_GRANT_END_NOT_RUN,
	[REQ_FAILURE_STREAM_LOST] = REQ_GRANT_END_REFUSED,
	[REQ_FAILURE_ENGINE] = REQ_GRANT_END_STALLED,
	[REQ_FAILURE_RUN_UNKNOWN] = REQ_GRANT_END_OK,
};

static const enum req_code req_refusal_codes[] = {
	[REQ_GRANT_QUEUE_FULL] = REQ_EQUEUE,
	[REQ_GRANT_PAST_DEADLINE] = REQ_EWAIT,
	[REQ_GRANT_NO_PATH] = REQ_ENOPIPELINE,
};

const char *req_state_name(enum req_state state)
{
	return req_state_names[state];
}

void req_budget_init(struct req_budget *budget, double burst, double per_request)
{
	budget->burst = burst;
	budget->tokens = burst;
	budget->per_request = per_request;
}

/* Credits the budget for a new request. */
static void req_budget_earn(struct req_budget *budget)
{
	budget->tokens = MIN(budget->tokens + budget->per_request, budget->burst);
}

/* Charges one retry to the budget. Returns false if the budget is used up. */
static bool req_budget_spend(struct req_budget *budget)
{
	if (budget->tokens < 1)
		return false;
	budget->tokens -= 1;
	return true;
}

void req_init(struct req *req, const struct req_params *params, const struct req_ops *ops,
	      void *ctx)
{
	memset(req, 0, sizeof(*req));
	req->ops = ops;
	req->ctx = ctx;
	req->settings = params->settings;
	req->budget = params->budget;
	req->first_est = params->first_est;
	req->gap_est = params->gap_est;
	req->idempotent = params->idempotent;
	req->service = params->service;
	req->deadline_us = params->deadline_us;
	req->jitter_state = params->seed;
	req->early_tokens = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
						  (GDestroyNotify)g_bytes_unref);
	req->exclude = g_ptr_array_new_with_free_func(g_free);
	req->route = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(req->exclude, NULL);
}

void req_finish(struct req *req)
{
	g_hash_table_destroy(req->early_tokens);
	g_ptr_array_free(req->exclude, TRUE);
	g_ptr_array_free(req->route, TRUE);
}

static bool req_is_current(const struct req *req, unsigned int attempt)
{
	return req->state != REQ_DONE && attempt == req->attempt;
}

static void req_exclude(struct req *req, const char *name)
{
	g_ptr_array_insert(req->exclude, 0, g_strdup(name));
}

static void req_set_route(struct req *req, char *const *route)
{
	g_ptr_array_set_size(req->route, 0);
	for (char *const *name = route; name && *name; name++)
		g_ptr_array_add(req->route, g_strdup(*name));
}

/* Returns the time without a token, in microseconds, after which an attempt counts as stalled. */
static int64_t req_silence_limit_us(const struct req *req)
{
	const struct req_settings *s = req->settings;

	if (req->service)
		return INT64_MAX;
	if (req->first_seen)
		return req_est_limit(req->gap_est, s->gap_floor_us, s->gap_ceiling_us);
	return req_est_limit(req->first_est, s->first_floor_us, s->first_ceiling_us);
}

/* Sets the timer to the earliest time limit of the current state. */
static void req_set_timer(struct req *req, int64_t now_us)
{
	int64_t due = req->deadline_us;
	int64_t silence;

	(void)now_us;
	if (req->state == REQ_WAIT_CLAIM)
		due = MIN(due, req->claim_sent_us + req->settings->claim_timeout_us);
	silence = req_silence_limit_us(req);
	if (req->state == REQ_RUNNING && silence < due - req->last_progress_us)
		due = req->last_progress_us + silence;
	req->ops->timer(req->ctx, due);
}

void req_start(struct req *req, int64_t now_us)
{
	req_budget_earn(req->budget);
	req->attempt = 1;
	req_request_grant(req);
	if (req->state != REQ_DONE)
		req_set_timer(req, now_us);
}

static void req_request_grant(struct req *req)
{
	req->state = REQ_WAIT_GRANT;
	req->ops->ask(req->ctx, req->attempt, (char *const *)req->exclude->pdata);
}

static void req_release_grant(struct req *req, enum req_grant_end end, const char *bad)
{
	if (!req->granted)
		return;
	req->granted = false;
	req->ops->ungrant(req->ctx, req->attempt, end, bad);
}

/* Ends the request on every path and releases its grant, claim or attempt. */
static void req_end(struct req *req, enum req_code code, int64_t retry_us)
{
	enum req_state previous = req->state;

	if (previous == REQ_DONE)
		return;
	req->state = REQ_DONE;
	if (previous == REQ_WAIT_GRANT)
		req->ops->withdraw(req->ctx, req->attempt);
	if (previous == REQ_WAIT_CLAIM || (req->claimed && !req->dispatched))
		req->ops->release(req->ctx, req->attempt);
	if ((previous == REQ_RUNNING || previous == REQ_RESUMING) && code != REQ_OK)
		req->ops->cancel(req->ctx, req->attempt, !req->joined);
	req_release_grant(req, REQ_GRANT_END_OK, NULL);
	req->ops->finish(req->ctx, code, retry_us);
}

void req_on_granted(struct req *req, unsigned int attempt, char *const *route, int64_t now_us)
{
	if (!req_is_current(req, attempt) || req->state != REQ_WAIT_GRANT)
		return;
	req->granted = true;
	req_set_route(req, route);
	if (req->idempotent) {
		req_dispatch(req, now_us);
		return;
	}
	req->state = REQ_WAIT_CLAIM;
	req->claim_sent_us = now_us;
	req->claimed = true;
	req->ops->claim(req->ctx, attempt, req->supersedes_claim);
	req_set_timer(req, now_us);
}

/*
 * A request without delivered tokens ends at once with a retry time. One whose caller already has
 * part of the answer requests a grant again until its deadline.
 */
void req_on_refused(struct req *req, unsigned int attempt, enum req_grant_refusal why,
		    int64_t retry_us, int64_t now_us)
{
	if (!req_is_current(req, attempt) || req->state != REQ_WAIT_GRANT)
		return;
	if (req->next > 0 && now_us + req->settings->backoff_us < req->deadline_us) {
		req->state = REQ_BACKOFF;
		req->ops->timer(req->ctx, now_us + req->settings->backoff_us);
		return;
	}
	if (req->dispatched)
		req_end(req, REQ_EBROKEN, retry_us);
	else
		req_end(req, req_refusal_codes[why], retry_us);
}

/*
 * A host can be suspended between sending a claim and receiving its verdict. A claim that is won
 * long after it was sent is not used: another host may have been told in the meantime that this
 * host will not dispatch under it.
 */
void req_on_claim(struct req *req, unsigned int attempt, enum req_claim_verdict verdict,
		  int64_t now_us)
{
	if (!req_is_current(req, attempt) || req->state != REQ_WAIT_CLAIM)
		return;
	if (verdict == REQ_CLAIM_WON &&
	    now_us - req->claim_sent_us <= req->settings->claim_max_age_us) {
		req_dispatch(req, now_us);
		return;
	}
	if (verdict == REQ_CLAIM_WON || verdict == REQ_CLAIM_LOG_UNAVAILABLE) {
		req_end(req, REQ_ECLAIM, req->settings->retry_after_us);
		return;
	}
	req->claimed = false;
	req_release_grant(req, REQ_GRANT_END_OK, NULL);
	if (verdict == REQ_CLAIM_KEY_REUSED) {
		req->state = REQ_BACKOFF;
		req_end(req, REQ_EKEYREUSED, 0);
		return;
	}
	req->state = REQ_JOINING;
	req->joined = true;
	req->ops->join(req->ctx);
	if (req->state != REQ_DONE)
		req_set_timer(req, now_us);
}

static void req_dispatch(struct req *req, int64_t now_us)
{
	req->state = REQ_RUNNING;
	req->dispatched = true;
	req->first_seen = false;
	req->last_progress_us = now_us;
	g_hash_table_remove_all(req->early_tokens);
	req->ops->dispatch(req->ctx, req->attempt, req->next);
	req_set_timer(req, now_us);
}

static void req_record_timing(struct req *req, int64_t now_us)
{
	if (req->service || req->joined)
		return;
	req_est_add(req->first_seen ? req->gap_est : req->first_est,
		    now_us - req->last_progress_us);
}

static void req_deliver_in_order(struct req *req)
{
	GBytes *bytes;

	while ((bytes = g_hash_table_lookup(req->early_tokens, &req->next))) {
		gsize len;
		const char *text = g_bytes_get_data(bytes, &len);
		uint64_t index = req->next++;

		req->ops->deliver(req->ctx, index, text, len);
		g_hash_table_remove(req->early_tokens, &index);
	}
}

/*
 * Tokens can arrive late from an abandoned attempt, twice from a resumed stream, or ahead of a
 * missing one. The caller must receive each index once, in order, from one attempt at a time.
 */
void req_on_token(struct req *req, unsigned int attempt, uint64_t index, const char *text,
		  size_t len, int64_t now_us)
{
	if (!req_is_current(req, attempt) || index < req->next)
		return;
	if (req->state != REQ_RUNNING && req->state != REQ_JOINING && req->state != REQ_RESUMING)
		return;
	if (req->state == REQ_RESUMING)
		req->state = REQ_RUNNING;
	req_record_timing(req, now_us);
	req->first_seen = true;
	req->last_progress_us = now_us;
	g_hash_table_replace(req->early_tokens, g_memdup2(&index, sizeof(index)),
			     g_bytes_new(text, len));
	req_deliver_in_order(req);
	req_set_timer(req, now_us);
}

void req_on_end(struct req *req, unsigned int attempt, uint64_t count, int64_t now_us)
{
	if (!req_is_current(req, attempt))
		return;
	if (req->state != REQ_RUNNING && req->state != REQ_RESUMING)
		return;
	if (req->next == count) {
		req_end(req, REQ_OK, 0);
		return;
	}
	req_on_attempt_failed(req, attempt, REQ_FAILURE_STREAM_LOST, NULL, now_us);
}

void req_on_attempt_failed(struct req *req, unsigned int attempt, enum req_failure why,
			   const char *bad, int64_t now_us)
{
	if (!req_is_current(req, attempt))
		return;
	if (req->state != REQ_RUNNING && req->state != REQ_RESUMING)
		return;
	if (req->joined ||
	    (!req->idempotent && why != REQ_FAILURE_NOT_SENT && why != REQ_FAILURE_NOT_RUN)) {
		if (why == REQ_FAILURE_STREAM_LOST)
			req_resume(req, now_us);
		else
			req_end(req, REQ_EUNKNOWN, 0);
		return;
	}
	if (req->state == REQ_RESUMING) {
		req_end(req, REQ_EUNKNOWN, 0);
		return;
	}
	if (bad)
		req_exclude(req, bad);
	req_release_grant(req, req_failure_grant_ends[why], bad);
	req_retry(req, why, now_us);
}

/*
 * Starts the next attempt, at once for the second one and after a backoff for later ones, or ends
 * the request when attempts or budget are used up. A non-idempotent request is retried only if the
 * endpoint never received it or answered that it did not run it; it then claims its key again for
 * the new route.
 */
static void req_retry(struct req *req, enum req_failure why, int64_t now_us)
{
	bool never_ran = why == REQ_FAILURE_NOT_SENT || why == REQ_FAILURE_NOT_RUN;
	int64_t wait = req->settings->backoff_us << MIN(req->attempt - 1, 4U);

	req->may_have_run_before = req->may_have_run_before || !never_ran;
	req->dispatched = req->may_have_run_before;
	req->supersedes_claim = !req->idempotent;
	if (req->attempt >= req->settings->attempts || !req_budget_spend(req->budget)) {
		req->state = REQ_BACKOFF;
		req_end(req, req->dispatched ? REQ_EBROKEN : REQ_EBUDGET,
			req->settings->retry_after_us);
		return;
	}
	req->attempt++;
	if (req->attempt == 2) {
		req_request_grant(req);
		if (req->state != REQ_DONE)
			req_set_timer(req, now_us);
		return;
	}
	req->jitter_state = req->jitter_state * UINT64_C(6364136223846793005) + 1;
	wait += (int64_t)((req->jitter_state >> 33) % (uint64_t)MAX(wait, 1));
	req->state = REQ_BACKOFF;
	req->ops->timer(req->ctx, MIN(now_us + wait, req->deadline_us));
}

/* Schedules an attempt to reattach to the dispatched run, which is never started a second time. */
static void req_resume(struct req *req, int64_t now_us)
{
	if (req->service) {
		req_end(req, REQ_EUNKNOWN, 0);
		return;
	}
	if (req->state != REQ_RESUMING) {
		req->state = REQ_RESUMING;
		req->resume_until_us = now_us + req->settings->resume_timeout_us;
	}
	if (now_us >= req->resume_until_us) {
		req_end(req, REQ_EUNKNOWN, 0);
		return;
	}
	req->ops->cancel(req->ctx, req->attempt, false);
	req->ops->timer(req->ctx, MIN(now_us + req->settings->backoff_us, req->deadline_us));
}

/*
 * No token arrived within the time limit. An idempotent request is retried without any endpoint of
 * the stalled route; any other reattaches to its run.
 */
static void req_on_silence(struct req *req, int64_t now_us)
{
	if (!req->idempotent || req->joined) {
		req_resume(req, now_us);
		return;
	}
	for (guint i = 0; i < req->route->len; i++)
		req_exclude(req, req->route->pdata[i]);
	req->ops->cancel(req->ctx, req->attempt, true);
	req_release_grant(req, REQ_GRANT_END_STALLED, NULL);
	req_retry(req, REQ_FAILURE_STREAM_LOST, now_us);
}

static void req_on_deadline(struct req *req)
{
	if (req->joined)
		req_end(req, REQ_EUNKNOWN, 0);
	else
		req_end(req, req->dispatched ? REQ_EDEADLINE : REQ_ELATE, 0);
}

void req_on_timer(struct req *req, int64_t now_us)
{
	if (req->state == REQ_DONE)
		return;
	if (now_us >= req->deadline_us) {
		req_on_deadline(req);
		return;
	}
	switch (req->state) {
	case REQ_WAIT_CLAIM:
		if (now_us - req->claim_sent_us >= req->settings->claim_timeout_us)
			req_end(req, REQ_ECLAIM, req->settings->retry_after_us);
		else
			req_set_timer(req, now_us);
		break;
	case REQ_BACKOFF:
		req_request_grant(req);
		if (req->state != REQ_DONE)
			req_set_timer(req, now_us);
		break;
	case REQ_RESUMING:
		if (now_us >= req->resume_until_us) {
			req_end(req, REQ_EUNKNOWN, 0);
			break;
		}
		req->last_progress_us = now_us;
		req->first_seen = false;
		req->ops->resume(req->ctx, req->attempt, req->next);
		req->ops->timer(req->ctx,
				MIN(now_us + req->settings->first_ceiling_us, req->deadline_us));
		break;
	case REQ_RUNNING:
		if (now_us - req->last_progress_us >= req_silence_limit_us(req))
			req_on_silence(req, now_us);
		else
			req_set_timer(req, now_us);
		break;
	default:
		req_set_timer(req, now_us);
		break;
	}
}

void req_on_join_answer(struct req *req, enum req_code code, uint64_t count, int64_t now_us)
{
	(void)now_us;
	if (req->state != REQ_JOINING)
		return;
	if (code == REQ_OK && req->next != count)
		code = REQ_EUNKNOWN;
	req_end(req, code, 0);
}

void req_on_join_lost(struct req *req, int64_t now_us)
{
	if (req->state != REQ_JOINING)
		return;
	if (req->service) {
		req_end(req, REQ_EUNKNOWN, 0);
		return;
	}
	req->state = REQ_RESUMING;
	req->resume_until_us = now_us + req->settings->resume_timeout_us;
	req->ops->resume(req->ctx, req->attempt, req->next);
	req->ops->timer(req->ctx, MIN(now_us + req->settings->first_ceiling_us, req->deadline_us));
}

void req_on_join_not_dispatched(struct req *req, int64_t now_us)
{
	if (req->state != REQ_JOINING)
		return;
	req->joined = false;
	req->supersedes_claim = true;
	req->attempt++;
	req_request_grant(req);
	if (req->state != REQ_DONE)
		req_set_timer(req, now_us);
}

/*
 * The run of a non-idempotent request continues without its caller: a repeated request with the
 * same key must receive the complete answer.
 */
void req_on_caller_disconnected(struct req *req, int64_t now_us)
{
	(void)now_us;
	if (req->state == REQ_DONE)
		return;
	if (!req->idempotent && req->dispatched && !req->joined)
		return;
	req_end(req, REQ_ECALLERGONE, 0);
}
