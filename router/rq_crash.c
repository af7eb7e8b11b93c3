#include "base/met.h"
#include "router/rq_int.h"
#include "router/tf_quar.h"

#include <string.h>

enum {
	STATUS_UNAVAILABLE = 503
};

static struct quar_id rq_quar_id(const struct rq *rq)
{
	return (struct quar_id){rq->key, rq_account_name(rq)};
}

static bool rq_has_content(const struct rq *rq, const struct quar_key *key, const char *account)
{
	return quar_key_eq(&rq->key, key) && strcmp(rq_account_name(rq), account) == 0;
}

int64_t rq_quarantine_us(const struct rq *rq, int64_t now_us)
{
	const struct quar_id id = rq_quar_id(rq);

	return quar_remaining_us(&rq->tf->quar, &id, now_us);
}

int64_t rq_quarantine_retry_us(const struct rq *rq, int64_t now_us)
{
	const struct quar_id id = rq_quar_id(rq);
	int64_t left_us = rq_quarantine_us(rq, now_us);

	return left_us > 0 ? left_us : quar_next_term_us(&rq->tf->quar, &id);
}

/*
 * A request that has crashed three endpoints is denied before it reaches another one: it can't be
 * served, and each crash breaks up to 192 other requests and leaves the endpoint empty for some
 * seconds.
 */
bool rq_deny_if_quarantined(struct rq *rq)
{
	int64_t left_us = rq_quarantine_us(rq, tmr_now());

	if (left_us == 0)
		return false;
	met_add(met_counter("bg_quarantine_refused_total", ""), 1);
	rq_deny(rq, STATUS_UNAVAILABLE, fwd_cause_name(FWD_CRASHES), left_us);
	return true;
}

int64_t rq_attempt_duration_us(const struct rq *rq)
{
	return rq->part_received ? MAX(rq->last_activity_us - rq->head_us, 0) : 0;
}

/* The duration in us of the answer over all attempts, of which each continues the last. */
static int64_t rq_total_duration_us(const struct rq *rq)
{
	return rq->earlier_duration_us + rq_attempt_duration_us(rq);
}

int64_t rq_lasted_us(const struct rq *rq, const struct quar_id *id)
{
	return rq_has_content(rq, &id->key, id->account) ? rq_total_duration_us(rq) : 0;
}

bool rq_reaches_crash_limit(const struct rq *rq)
{
	const struct quar_id id = rq_quar_id(rq);
	int weight = 0;

	if (rq_quarantine_us(rq, tmr_now()) > 0)
		return true;
	for (int i = 0; i < rq->target.count; i++) {
		const struct tf_ep *ep = rq->target.stages[i].ep;

		if (ep == rq->broken_at && ep->crash)
			weight = tf_quar_weight(rq->broken_progress);
	}
	return quar_points_after(&rq->tf->quar, &id, weight) >= QUAR_REFUSAL_POINTS;
}

/*
 * Returns how far the attempt had come. A plain service sends nothing before its answer but begins
 * a request at once, so it counts as begun. An engine may crash before it answers a request that
 * was just sent, and that request may be the cause.
 */
static enum crash_progress rq_progress(const struct rq *rq)
{
	if (rq_attempt_duration_us(rq) >= QUAR_JUST_STARTED_US)
		return CRASH_RUNNING;
	if (rq->head_received || !rq->target.layered)
		return CRASH_BEGUN;
	return tmr_now() - rq->last_activity_us < QUAR_JUST_STARTED_US ? CRASH_SENT : CRASH_WAITING;
}

void rq_on_attempt_broken(struct rq *rq, struct tf_ep *ep)
{
	const struct crash_attempt cut = {
		.key = rq->key,
		.account = (char *)rq_account_name(rq),
		.id = rq->request.id,
		.progress = rq_progress(rq),
		.lasted_us = rq_total_duration_us(rq),
	};

	if (rq->broken_at == ep)
		return;
	rq->broken_at = ep;
	rq->broken_progress = cut.progress;
	crash_on_attempt_cut(rq->tf, ep, &cut);
}

void rq_on_part(struct rq *rq)
{
	const struct quar_id id = rq_quar_id(rq);

	rq->part_received = true;
	tf_quar_on_part(rq->tf, &id, rq_total_duration_us(rq));
}

void rq_on_served_whole(const struct rq *rq)
{
	const struct quar_id id = rq_quar_id(rq);

	tf_quar_served(rq->tf, &id);
}

void rq_on_quarantine(struct rq *rq, const struct quar_entry *entry)
{
	if (!rq_has_content(rq, &entry->key, entry->account))
		return;
	/* An answer that keeps arriving has caused no crash; it may still be served in full. */
	if (rq->fwd.state != FWD_ENDED && rq_attempt_duration_us(rq) < QUAR_JUST_STARTED_US)
		fwd_on_quarantine(&rq->fwd);
}
