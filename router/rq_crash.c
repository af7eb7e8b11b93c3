#include "base/met.h"
#include "router/rq_int.h"
#include "router/tf_quar.h"

#include <string.h>

enum {
	STATUS_UNAVAILABLE = 503
};

static struct quar_id rq_quar_id(const struct rq *rq)
{
	return (struct quar_id){rq->key, rq_account(rq)};
}

static bool rq_has_content(const struct rq *rq, const struct quar_key *key, const char *account)
{
	return quar_key_eq(&rq->key, key) && strcmp(rq_account(rq), account) == 0;
}

int64_t rq_quarantine_us(const struct rq *rq, int64_t now_us)
{
	const struct quar_id id = rq_quar_id(rq);

	return quar_left_us(&rq->tf->quar, &id, now_us);
}

int64_t rq_crashes_back_us(const struct rq *rq, int64_t now_us)
{
	const struct quar_id id = rq_quar_id(rq);
	int64_t left_us = rq_quarantine_us(rq, now_us);

	return left_us > 0 ? left_us : quar_next_term_us(&rq->tf->quar, &id);
}

/*
 * A request that has ended three endpoints is refused before it reaches another: it can't be
 * served, and each endpoint that ends takes up to 192 others with it and is empty for some seconds.
 */
bool rq_is_quarantined(struct rq *rq)
{
	int64_t left_us = rq_quarantine_us(rq, tmr_now());

	if (left_us == 0)
		return false;
	met_add(met_counter("bg_quarantine_refused_total", ""), 1);
	rq_deny(rq, STATUS_UNAVAILABLE, fwd_cause_name(FWD_CRASHES), left_us);
	return true;
}

/* How long the attempt under way has gone on, as far as parts of its answer show. */
int64_t rq_lasted(const struct rq *rq)
{
	return rq->moved ? MAX(rq->part_us - rq->head_us, 0) : 0;
}

/* The same with the earlier attempts that it continues. */
static int64_t rq_lasted_all(const struct rq *rq)
{
	return rq->lasted_before_us + rq_lasted(rq);
}

int64_t rq_lasted_us(const struct rq *rq, const struct quar_id *id)
{
	return rq_has_content(rq, &id->key, id->account) ? rq_lasted_all(rq) : 0;
}

bool rq_crashes_too_often(const struct rq *rq)
{
	const struct quar_id id = rq_quar_id(rq);
	int weight = 0;

	if (rq_quarantine_us(rq, tmr_now()) > 0)
		return true;
	for (int i = 0; i < rq->target.count; i++) {
		const struct tf_ep *ep = rq->target.stages[i].ep;

		if (ep == rq->cut_at && ep->crash)
			weight = tf_quar_weight(rq->cut_progress);
	}
	return quar_points_after(&rq->tf->quar, &id, weight) >= QUAR_LIMIT;
}

/*
 * Plain services tell nothing before their answer; what they have taken they begin at once. An
 * engine may end before it has said anything of what it was just sent, and that may be the cause.
 */
static enum crash_progress rq_progress(const struct rq *rq)
{
	if (rq_lasted(rq) >= QUAR_BEGIN_US)
		return CRASH_RUNNING;
	if (rq->headed || !rq->target.layered)
		return CRASH_BEGUN;
	return tmr_now() - rq->part_us < QUAR_BEGIN_US ? CRASH_SENT : CRASH_WAITING;
}

void rq_cut(struct rq *rq, struct tf_ep *ep)
{
	const struct crash_cut cut = {
		.key = rq->key,
		.account = (char *)rq_account(rq),
		.id = rq->request.id,
		.progress = rq_progress(rq),
		.lasted_us = rq_lasted_all(rq),
	};

	if (rq->cut_at == ep)
		return;
	rq->cut_at = ep;
	rq->cut_progress = cut.progress;
	crash_on_cut(rq->tf, ep, &cut);
}

void rq_note_part(struct rq *rq)
{
	const struct quar_id id = rq_quar_id(rq);

	rq->moved = true;
	tf_quar_on_part(rq->tf, &id, rq_lasted_all(rq));
}

void rq_note_innocent(const struct rq *rq)
{
	const struct quar_id id = rq_quar_id(rq);

	tf_quar_served(rq->tf, &id);
}

void rq_on_quarantine(struct rq *rq, const struct quar_entry *entry)
{
	if (!rq_has_content(rq, &entry->key, entry->account))
		return;
	/* One that goes on is no cause so far, and shows that if it ends well. */
	if (rq->fwd.state != FWD_ENDED && rq_lasted(rq) < QUAR_BEGIN_US)
		fwd_on_quarantine(&rq->fwd);
}
