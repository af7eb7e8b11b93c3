#include "base/jl.h"
#include "base/met.h"
#include "router/txn_int.h"

/*
 * Counts the bytes of answers apart from the state machine that passes them on, so that a byte
 * which is lost or added there shows. The HTTP server's part of the way is checked by
 * router/ends.c.
 */

/* kept: bytes that were taken and neither passed on nor dropped as repeated. */
static void txn_check_tally(const struct txn *txn, uint64_t kept)
{
	uint64_t repeated = txn->fwd.is_event_stream ? txn->fwd.sse.repeated : 0;
	bool differs = txn->tally.taken != txn->tally.passed + repeated + kept;

	met_add(met_counter("bg_answers_differ_total", ""), differs ? 1 : 0);
	if (!differs)
		return;
	jl_begin(JL_UNLIMITED, "answer_differs");
	jl_str("id", txn->request.id);
	jl_int("taken", (int64_t)txn->tally.taken);
	jl_int("passed", (int64_t)txn->tally.passed);
	jl_int("repeated", (int64_t)repeated);
	jl_int("kept", (int64_t)kept);
	jl_end();
}

void txn_check_stream(const struct txn *txn)
{
	if (txn->fwd.is_event_stream)
		txn_check_tally(txn, sse_pending_bytes(&txn->fwd.sse));
}

void txn_check_whole(const struct txn *txn)
{
	txn_check_tally(txn, 0);
}
