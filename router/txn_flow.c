#include "router/txn_int.h"
#include "base/jl.h"

enum {
	TXN_HELD_LOG_MS = 1000 /* a request that is held back for longer is logged */
};

uint64_t txn_unsent_total(const struct txn *txn)
{
	return hd_unsent_total(txn->traf->router->front) + txn->traf->buffered;
}

static struct flow_unsent txn_unsent(const struct txn *txn)
{
	return (struct flow_unsent){
		.answer = hd_unsent(txn->call),
		.total = txn_unsent_total(txn),
	};
}

void txn_count_buffered(struct txn *txn, size_t buffered)
{
	txn->traf->buffered += buffered;
	txn->traf->buffered -= txn->buffered;
	txn->buffered = buffered;
}

void txn_limit_buffer(struct txn *txn)
{
	const struct flow_limits *limits = &txn->traf->flow;
	uint64_t total = txn_unsent_total(txn);

	txn->fwd.rules.buffer_max = MAX(flow_buffer_max(limits, total), 1); /* 0: the default */
	txn->fwd.rules.event_max = flow_event_max(limits, total);
}

bool txn_is_held(const struct txn *txn)
{
	return txn->held_us > 0;
}

int64_t txn_held_ms(const struct txn *txn, int64_t now_us)
{
	return txn_is_held(txn) ? (now_us - txn->held_us) / TMR_US_PER_MS : 0;
}

json_t *txn_describe_held(const struct txn *txn, int64_t now_us)
{
	const struct flow_unsent unsent = txn_unsent(txn);

	return json_pack("{s:s, s:s?, s:s, s:I, s:I, s:I}", "id", txn->request.id, "endpoint",
			 txn->target.count > 0 ? txn->target.stages[0].ep->rec->id : NULL, "route",
			 txn->route->name, "held_ms", (json_int_t)txn_held_ms(txn, now_us),
			 "unsent", (json_int_t)unsent.answer, "passed",
			 (json_int_t)txn->answer_bytes);
}

/* Stops counting the request as held back. */
static void txn_end_hold(struct txn *txn)
{
	if (!txn_is_held(txn))
		return;
	txn->held_us = 0;
	txn->held_logged = false;
	txn->traf->held--;
}

static void txn_go_on(struct txn *txn)
{
	int64_t now_us = tmr_now();

	txn_end_hold(txn);
	/* The pause was the caller's, and must not count as the endpoint's. */
	txn->last_activity_us = now_us;
	fwd_hold(&txn->fwd, false, now_us);
	if (txn->attempt)
		way_pause(txn->attempt, false);
}

static bool txn_may_go_on(const struct txn *txn)
{
	const struct flow_unsent unsent = txn_unsent(txn);

	return flow_may_go_on(&txn->traf->flow, &unsent);
}

/*
 * Lets a held attempt go on if it may; else it is looked at again when the answer has drained, and
 * at each sweep. It may have drained between the look and the watch.
 */
static void txn_check_held(struct txn *txn)
{
	size_t low = flow_low_mark(&txn->traf->flow, txn_unsent_total(txn));

	if (txn_may_go_on(txn) || (!hd_watch_unsent(txn->call, low) && txn_may_go_on(txn)))
		txn_go_on(txn);
}

static bool txn_must_hold(const struct txn *txn, size_t len)
{
	const struct flow_unsent unsent = txn_unsent(txn);

	return flow_must_hold(&txn->traf->flow, &unsent, len);
}

/*
 * An answer that is held must not be buffered: all room could be taken by buffers, none of which
 * would ever be read. The begin of an event can't be passed on, so its rest is received anyway.
 */
static bool txn_can_hold(struct txn *txn)
{
	fwd_pass_on(&txn->fwd);
	txn_count_buffered(txn, fwd_buffered(&txn->fwd));
	return hd_unsent(txn->call) > 0 || !fwd_has_event_begin(&txn->fwd);
}

static void txn_begin_hold(struct txn *txn)
{
	int64_t now_us = tmr_now();

	if (!txn_is_held(txn)) {
		txn->held_us = now_us;
		txn->traf->held++;
	}
	fwd_hold(&txn->fwd, true, now_us);
	way_pause(txn->attempt, true);
}

void txn_hold_if_behind(struct txn *txn, size_t len)
{
	if (!txn->attempt || !txn_must_hold(txn, len) || !txn_can_hold(txn))
		return;
	txn_begin_hold(txn);
	txn_check_held(txn);
}

void txn_on_drained(struct txn *txn)
{
	if (txn_is_held(txn))
		txn_check_held(txn);
}

static void txn_log_held(struct txn *txn, int64_t now_us)
{
	if (txn->held_logged || txn_held_ms(txn, now_us) < TXN_HELD_LOG_MS)
		return;
	txn->held_logged = true;
	jl_begin(JL_UNLIMITED, "held");
	jl_str("id", txn->request.id);
	jl_str("endpoint", txn->target.count > 0 ? txn->target.stages[0].ep->rec->id : NULL);
	jl_int("held_ms", txn_held_ms(txn, now_us));
	jl_int("unsent", (int64_t)hd_unsent(txn->call));
	jl_int("passed", (int64_t)txn->answer_bytes);
	jl_end();
}

/* The total may have fallen although this answer has not drained. */
void txn_flow_on_sweep(struct txn *txn, int64_t now_us)
{
	if (!txn_is_held(txn))
		return;
	txn_log_held(txn, now_us);
	txn_check_held(txn);
}

void txn_flow_on_end(struct txn *txn)
{
	txn_end_hold(txn);
}
