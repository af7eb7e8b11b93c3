#include "base/err.h"
#include "base/jl.h"
#include "base/met.h"
#include "router/traffic_head.h"
#include "router/txn_int.h"

#include <string.h>

bool txn_set_aside(void *ctx)
{
	struct txn *txn = ctx;

	/* An engine that is silent is repaired, and its pipeline holds memory for each attempt. */
	if (txn->target.layered || !txn->attempt)
		return false;
	txn->aside.call = txn->attempt;
	txn->aside.target = txn->target;
	txn->aside.answer = txn->answer;
	txn->aside.boot_us = txn->attempt_boot_us;
	txn->aside.head_received = txn->head_received;
	txn->aside.tally = txn->tally;
	txn->aside.answer_length = txn->answer_length;
	txn->attempt = NULL;
	memset(&txn->target, 0, sizeof(txn->target));
	memset(&txn->answer, 0, sizeof(txn->answer));
	txn->side = !txn->side;
	return true;
}

void txn_take_back(void *ctx)
{
	struct txn *txn = ctx;

	traf_target_release(&txn->target);
	seam_answer_finish(&txn->answer);
	txn->attempt = txn->aside.call;
	txn->target = txn->aside.target;
	txn->answer = txn->aside.answer;
	txn->attempt_boot_us = txn->aside.boot_us;
	txn->head_received = txn->aside.head_received;
	txn->tally = txn->aside.tally;
	txn->answer_length = txn->aside.answer_length;
	memset(&txn->aside, 0, sizeof(txn->aside));
	txn->side = !txn->side;
	txn->part_received = false;
	txn->has_gone_on = false;
	txn->broken_at = NULL;
	txn->last_activity_us = tmr_now();
	jl_begin(JL_INFO, "taken_back");
	jl_str("id", txn->request.id);
	jl_str("endpoint", txn->target.stages[0].ep->rec->id);
	jl_end();
	met_add(met_counter("bg_attempts_taken_back_total", ""), 1);
}

static void txn_forget_aside(struct txn *txn)
{
	traf_target_release(&txn->aside.target);
	seam_answer_finish(&txn->aside.answer);
	memset(&txn->aside, 0, sizeof(txn->aside));
}

void txn_cancel_aside(void *ctx)
{
	struct txn *txn = ctx;

	if (txn->aside.call)
		way_cancel(txn->aside.call);
	txn_forget_aside(txn);
}

bool txn_is_aside(const struct txn_side *side)
{
	return side != &side->txn->sides[side->txn->side];
}

static void txn_end_aside(struct txn *txn, const char *error, bool sent)
{
	struct traf_ep *ep = txn->aside.target.stages[0].ep;

	jl_begin(JL_UNLIMITED, "attempt_failed");
	jl_str("id", txn->request.id);
	jl_str("endpoint", ep->rec->id);
	jl_int("not_run", !sent);
	jl_str("error", error);
	jl_end();
	penalty_on_failed(&ep->failing, tmr_now());
	txn_forget_aside(txn);
	fwd_on_aside_done(&txn->fwd, sent);
}

void txn_on_aside_done(struct txn *txn, int err, bool sent)
{
	txn_end_aside(txn, err < 0 ? base_strerror(err) : NULL, sent);
}

void txn_drop_aside(struct txn *txn, struct seam_answer *answer)
{
	traf_head_of_request(txn->traf, txn->aside.target.stages[0].ep, answer, txn->aside.boot_us,
			     txn->request.id);
	txn_end_aside(txn, fwd_head_fault(&answer->head), true);
	seam_answer_finish(answer);
}
