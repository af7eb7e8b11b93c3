#include "base/jl.h"
#include "base/met.h"
#include "router/txn_int.h"
#include "router/traffic_part.h"
#include "router/traffic_quarantine.h"

#include <string.h>

enum {
	STATUS_UNAVAILABLE = 503
};

static struct quar_id txn_quar_id(const struct txn *txn)
{
	return (struct quar_id){txn->key, txn_account_name(txn)};
}

static bool txn_has_content(const struct txn *txn, const struct quar_key *key, const char *account)
{
	return quar_key_eq(&txn->key, key) && strcmp(txn_account_name(txn), account) == 0;
}

static struct quar_id txn_part_id(const struct txn *txn, int part)
{
	return (struct quar_id){quar_key_of_part(txn->request.parts[part]), ""};
}

/* Returns the number of parts of the prompt that may be in quarantine. */
static int txn_count_parts(const struct txn *txn)
{
	return txn->traf->quar.n_parts > 0 ? txn->request.n_parts : 0;
}

int64_t txn_quarantine_us(const struct txn *txn, int64_t now_us)
{
	struct quar *quar = &txn->traf->quar;
	struct quar_id id = txn_quar_id(txn);
	int64_t left_us = quar_remaining_us(quar, &id, now_us);

	for (int i = 0; i < txn_count_parts(txn); i++) {
		id = txn_part_id(txn, i);
		left_us = MAX(left_us, quar_remaining_us(quar, &id, now_us));
	}
	return left_us;
}

int64_t txn_quarantine_retry_us(const struct txn *txn, int64_t now_us)
{
	const struct quar_id id = txn_quar_id(txn);
	int64_t left_us = txn_quarantine_us(txn, now_us);

	return left_us > 0 ? left_us : quar_next_term_us(&txn->traf->quar, &id);
}

static void txn_log_trial(const struct txn *txn, const struct quar_id *id)
{
	char content[QUAR_KEY_TEXT_LEN + 1];

	quar_key_format(&id->key, content);
	jl_begin(JL_UNLIMITED, "quarantine_trial");
	jl_str("content", content);
	jl_str("id", txn->request.id);
	jl_end();
}

/* Returns whether the request may run, in regard of its content or one of its parts. */
static bool txn_may_run(const struct txn *txn, const struct quar_id *id, int64_t now_us)
{
	struct quar *quar = &txn->traf->quar;

	if (!quar_may_run(quar, id, now_us))
		return false;
	if (!quar_is_on_trial(quar, id))
		return true;
	if (quar_key_is_part(&id->key))
		part_settle(&txn->traf->parts, id->key.low, now_us);
	txn_log_trial(txn, id);
	return true;
}

/*
 * Returns for how long the request has to be denied, in microseconds; 0 if it may run. Refusals
 * come first, so that no trial is spent on a request that is refused for another reason.
 */
static int64_t txn_denied_us(const struct txn *txn, int64_t now_us)
{
	struct quar_id id = txn_quar_id(txn);
	int64_t left_us = txn_quarantine_us(txn, now_us);

	if (left_us > 0)
		return left_us;
	if (!txn_may_run(txn, &id, now_us))
		return QUAR_TRIAL_US;
	for (int i = 0; i < txn_count_parts(txn); i++) {
		id = txn_part_id(txn, i);
		if (!txn_may_run(txn, &id, now_us))
			return QUAR_TRIAL_US;
	}
	return 0;
}

/*
 * A request that has crashed three endpoints, or has a part that has, is denied before it reaches
 * another one: it can't be served, and each crash breaks up to 192 other requests and leaves the
 * endpoint empty for some seconds.
 */
bool txn_deny_if_quarantined(struct txn *txn)
{
	int64_t left_us = txn_denied_us(txn, tmr_now());

	if (left_us == 0)
		return false;
	met_add(met_counter("bg_quarantine_refused_total", ""), 1);
	txn_deny(txn, STATUS_UNAVAILABLE, fwd_cause_name(FWD_CRASHES), left_us);
	return true;
}

int64_t txn_attempt_duration_us(const struct txn *txn)
{
	return txn->part_received ? MAX(txn->last_activity_us - txn->head_us, 0) : 0;
}

/* Returns the duration in us of the answer over all attempts; each continues the one before. */
static int64_t txn_total_duration_us(const struct txn *txn)
{
	return txn->earlier_duration_us + txn_attempt_duration_us(txn);
}

int64_t txn_answer_duration_us(const struct txn *txn, const struct quar_id *id)
{
	return txn_has_content(txn, &id->key, id->account) ? txn_total_duration_us(txn) : 0;
}

/* Returns whether a crash of the endpoint would end a trial of one of the parts. */
static bool txn_has_part_on_trial(const struct txn *txn)
{
	for (int i = 0; i < txn_count_parts(txn); i++) {
		const struct quar_id id = txn_part_id(txn, i);

		if (quar_is_on_trial(&txn->traf->quar, &id))
			return true;
	}
	return false;
}

bool txn_reaches_crash_limit(const struct txn *txn)
{
	const struct quar_id id = txn_quar_id(txn);
	int weight = 0;

	if (txn_quarantine_us(txn, tmr_now()) > 0)
		return true;
	for (int i = 0; i < txn->target.count; i++) {
		const struct traf_ep *ep = txn->target.stages[i].ep;

		if (ep == txn->broken_at && ep->crash)
			weight = traf_quar_weight(txn->broken_progress);
	}
	if (weight > 0 && txn_has_part_on_trial(txn))
		return true;
	return quar_points_after(&txn->traf->quar, &id, weight) >= QUAR_REFUSAL_POINTS;
}

/*
 * Returns how far the attempt had come. A plain service sends nothing before its answer but begins
 * a request at once, so it counts as begun. An engine may crash before it answers a request that
 * was just sent, and that request may be the cause.
 */
static enum crash_progress txn_progress(const struct txn *txn)
{
	if (txn_attempt_duration_us(txn) >= QUAR_JUST_STARTED_US)
		return CRASH_RUNNING;
	if (txn->head_received || !txn->target.layered)
		return CRASH_BEGUN;
	return tmr_now() - txn->last_activity_us < QUAR_JUST_STARTED_US ? CRASH_SENT
									: CRASH_WAITING;
}

void txn_on_attempt_broken(struct txn *txn, struct traf_ep *ep)
{
	const struct crash_attempt cut = {
		.key = txn->key,
		.account = (char *)txn_account_name(txn),
		.id = txn->request.id,
		.parts = txn->request.parts,
		.n_parts = txn->request.n_parts,
		.is_answered = txn->fwd.parts > 0,
		.progress = txn_progress(txn),
		.lasted_us = txn_total_duration_us(txn),
	};

	if (txn->broken_at == ep)
		return;
	txn->broken_at = ep;
	txn->broken_progress = cut.progress;
	crash_on_attempt_cut(txn->traf, ep, &cut);
}

/* Records once for each attempt that its answer has gone on. */
static void txn_on_gone_on(struct txn *txn)
{
	if (txn->has_gone_on || !txn->head_received)
		return;
	txn->has_gone_on = true;
	traf_part_on_gone_on(txn->traf, txn->request.parts, txn->request.n_parts, txn->head_us);
}

void txn_on_part(struct txn *txn)
{
	const struct quar_id id = txn_quar_id(txn);

	txn->part_received = true;
	traf_quar_on_part(txn->traf, &id, txn_total_duration_us(txn));
	if (txn_attempt_duration_us(txn) >= PART_GONE_ON_US)
		txn_on_gone_on(txn);
}

void txn_on_served_whole(struct txn *txn)
{
	const struct quar_id id = txn_quar_id(txn);

	traf_quar_on_served(txn->traf, &id);
	txn_on_gone_on(txn);
}

static bool txn_has_part(const struct txn *txn, uint64_t part)
{
	for (int i = 0; i < txn->request.n_parts; i++) {
		if (txn->request.parts[i] == part)
			return true;
	}
	return false;
}

void txn_on_quarantine(struct txn *txn, const struct quar_entry *entry)
{
	bool is_meant = quar_key_is_part(&entry->key)
				? txn_has_part(txn, entry->key.low)
				: txn_has_content(txn, &entry->key, entry->account);

	if (!is_meant)
		return;
	/* An answer that keeps arriving has caused no crash; it may still be served in full. */
	if (txn->fwd.state != FWD_ENDED && txn_attempt_duration_us(txn) < QUAR_JUST_STARTED_US)
		fwd_on_quarantine(&txn->fwd);
}
