#include "base/err.h"
#include "base/jl.h"
#include "base/met.h"
#include "router/txn_int.h"
#include "router/traffic_head.h"

#include <string.h>

enum {
	/*
	 * Silence in us after which a stream hangs if other streams at its first stage are not
	 * silent.
	 */
	TXN_HANG_US = 1300000,
	/* time in us for which an endpoint counts as working after it sent data */
	TXN_PROGRESS_US = 300000,
	/* connection timeout of an order to the first stage, in milliseconds */
	TXN_ORDER_CONNECT_MS = 250,
	TXN_ORDER_MS = 700,  /* timeout of an order, with its answer, in milliseconds */
	TXN_REPAIRS_MAX = 6, /* most orders for one request */
	/* time in us for which a stream counts as not stalled after it received data */
	TXN_ACTIVE_US = 80000,
	/*
	 * Silence in us after which a stage that did not answer another host is checked by this
	 * one, too; it is longer than most gaps between parts of an answer.
	 */
	TXN_QUIET_US = 40000,
	STATUS_ACCEPTED = 202,
	STATUS_CONFLICT = 409,
	STATUS_OK = 200
};

static void txn_repair_pipeline(struct txn *txn);
static bool txn_on_order_head(void *ctx, int status, const GPtrArray *headers);
static void txn_on_order_done(void *ctx, int status, int err, bool sent, const char *body,
			      size_t len);

static const struct hc_ops txn_order_ops = {.on_head = txn_on_order_head,
					    .on_done = txn_on_order_done};

/* Returns the index of the endpoint's stage in the request's pipeline, or -1. */
static int txn_stage_index(const struct txn *txn, const struct traf_ep *ep)
{
	for (int i = 0; i < txn->target.count; i++) {
		if (txn->target.stages[i].ep == ep)
			return i;
	}
	return -1;
}

/* Returns the index of the first stage that is known to be faulty, or -1. */
static int txn_faulty_stage(const struct txn *txn)
{
	int64_t now_us = tmr_now();

	for (int i = 0; i < txn->target.count; i++) {
		if (txn->target.stages[i].ep->suspect_us > now_us)
			return i;
	}
	return -1;
}

static void txn_log_silent(const struct txn *txn, const char *finding, const char *culprit)
{
	jl_begin(JL_UNLIMITED, "silent");
	jl_str("id", txn->request.id);
	jl_str("finding", finding);
	jl_str("culprit", culprit);
	jl_int("silent_ms", (tmr_now() - txn->last_activity_us) / TMR_US_PER_MS);
	jl_int("parts", (int64_t)txn->fwd.parts);
	jl_end();
}

/*
 * Returns whether the stream hangs at its first stage: it is silent while other streams there
 * receive data. If all of them are slow, the stream is kept: another endpoint would have to read
 * its prompt again, which slows all others further. A stream that has not begun is kept, too. It is
 * queued while others continue, and would be last in another endpoint's queue: when two of 39
 * endpoints were lost, up to 100 streams a second were moved like that without gain, for 25 s.
 */
static bool txn_hangs_alone(const struct txn *txn, int64_t now_us)
{
	return txn->fwd.parts > 0 && now_us - txn->last_activity_us > TXN_HANG_US &&
	       now_us - txn->target.stages[0].ep->last_data_us < TXN_PROGRESS_US;
}

/* Returns whether the attempt waits on a direct connection that hangs with others of this host. */
static bool txn_has_lost_connection(const struct txn *txn)
{
	const struct traf *traf = txn->traf;

	if (!txn->attempt || txn->target.count == 0 || !way_is_direct(txn->attempt) || !traf->hangs)
		return false;
	return reach_choose(way_reach(traf->way), txn->target.stages[0].ep->rec->addr) ==
	       REACH_TUNNEL;
}

void txn_on_lost_connections(struct txn *txn)
{
	if (!txn_has_lost_connection(txn) || txn_is_active(txn, tmr_now()))
		return;
	txn_log_silent(txn, "not_reached", NULL);
	fwd_abandon_attempt(&txn->fwd, tmr_now());
}

void txn_on_gateway_lost(struct txn *txn, const char *gateway)
{
	const char *present = txn->attempt ? way_gateway(txn->attempt) : NULL;

	if (!present || strcmp(present, gateway) != 0 || txn_is_active(txn, tmr_now()))
		return;
	txn_log_silent(txn, "gateway_lost", gateway);
	fwd_abandon_attempt(&txn->fwd, tmr_now());
}

bool txn_on_silent(void *ctx)
{
	struct txn *txn = ctx;
	int64_t now_us = tmr_now();

	if (txn_has_lost_connection(txn)) {
		txn_log_silent(txn, "not_reached", NULL);
		return false;
	}
	if (!txn->target.layered) {
		txn_log_silent(txn, "no_answer", NULL);
		txn_exclude_endpoint(txn, txn->target.stages[0].ep);
		penalty_on_failed(&txn->target.stages[0].ep->failing, now_us);
		return false;
	}
	if (txn_hangs_alone(txn, now_us)) {
		txn_log_silent(txn, "hangs_alone", NULL);
		txn_exclude_endpoint(txn, txn->target.stages[0].ep);
		return false;
	}
	if (txn->order)
		return true;
	if (txn_faulty_stage(txn) >= 0)
		txn_repair_pipeline(txn);
	else
		stall_find_stage(txn->traf, &txn->target,
				 txn->attempt ? way_gateway(txn->attempt) : NULL);
	return true;
}

bool txn_is_attempt_at(const struct txn *txn, const struct traf_ep *first, const char *id)
{
	return txn->attempt && txn->target.count > 0 && txn->target.stages[0].ep == first &&
	       g_strcmp0(txn->request.id, id) == 0;
}

bool txn_is_active(const struct txn *txn, int64_t now_us)
{
	return txn_is_held(txn) || now_us - txn->last_activity_us < TXN_ACTIVE_US;
}

void txn_on_stalled(struct txn *txn, const char *culprit)
{
	struct traf_ep *ep = culprit ? g_hash_table_lookup(txn->traf->by_addr, culprit) : NULL;

	if (txn_is_held(txn))
		return;
	txn_log_silent(txn, "stalled", culprit);
	if (ep) {
		txn_exclude_endpoint(txn, ep);
		txn_on_attempt_broken(txn, ep);
		traf_mark_faulty(txn->traf, ep, TRAF_FAULT_US, "stalled", txn->request.id);
	}
	txn_repair_pipeline(txn);
}

/* Sends the request to other endpoints, to continue after the last event that the caller has. */
static void txn_resume(struct txn *txn, const char *why)
{
	jl_begin(JL_UNLIMITED, "resume");
	jl_str("id", txn->request.id);
	jl_str("why", why);
	jl_int("parts", (int64_t)txn->fwd.parts);
	jl_int("silent_ms", (tmr_now() - txn->last_activity_us) / TMR_US_PER_MS);
	jl_end();
	fwd_abandon_attempt(&txn->fwd, tmr_now());
}

/*
 * Chooses replacements for faulty stages after the first into txn->repair; returns false if none.
 */
static bool txn_pick_repair(struct txn *txn)
{
	if (!txn->attempt || txn->repairs >= TXN_REPAIRS_MAX)
		return false;
	return traf_pick_repair(txn->traf, txn->service, &txn->request, &txn->target, &txn->avoid,
				&txn->repair) == 0;
}

/* Returns whether a stage is known to be faulty; a slow or leaving one still serves. */
static bool txn_has_faulty_stage(const struct txn *txn)
{
	return txn_faulty_stage(txn) >= 0;
}

/* Resumes the request elsewhere if a stage is known to be faulty; else the stream is kept. */
static void txn_leave_faulty_pipeline(struct txn *txn, const char *why)
{
	int stage = txn_faulty_stage(txn);

	if (stage < 0)
		return;
	txn_exclude_endpoint(txn, txn->target.stages[stage].ep);
	txn_resume(txn, why);
}

/* Sends the order for txn->repair. Returns -1 if no order can name the request. */
static int txn_send_order(struct txn *txn)
{
	const struct seam_engine *engine = &txn->traf->router->seam->engine;
	const char *headers[] = {"Content-Type: application/json", NULL};
	struct way_request request = {.http = {.method = "POST",
					       .headers = headers,
					       .connect_ms = TXN_ORDER_CONNECT_MS,
					       .total_ms = TXN_ORDER_MS,
					       .fresh = true,
					       .close = true},
				      .addr = txn->target.stages[0].ep->rec->addr,
				      .id = txn->request.id};
	char *pipeline = traf_format_pipeline(txn->traf, &txn->repair);
	char *body = engine->make_repath(txn->request.id, pipeline, txn->traf->view->fence);
	char *url;

	if (!body) {
		g_free(pipeline);
		return -1;
	}
	url = g_strdup_printf("http://%s%s", request.addr, engine->order_path());
	request.http.url = url;
	request.http.body = body;
	request.http.body_len = strlen(body);
	txn->repairs++;
	txn->order_us = tmr_now();
	jl_begin(JL_INFO, "repair");
	jl_str("id", txn->request.id);
	jl_str("pipeline", pipeline);
	jl_int("fence", txn->traf->view->fence);
	jl_end();
	met_add(met_counter("bg_orders_total", "order=\"repair\""), 1);
	txn->order = way_start(txn->traf->way, &request, &txn_order_ops, txn);
	g_free(pipeline);
	g_free(body);
	g_free(url);
	return 0;
}

/*
 * Orders the first stage to replace faulty stages after it within the running pipeline. The other
 * stages keep their cached context, no attempt and no repeat is spent, and the stream continues
 * from its present position. If that is impossible, the request is sent to other endpoints.
 *
 * A stage that is only leaving is kept: it works for a while longer, and most streams end by then.
 * Moving a stream makes it pause while its prompt is read again, and delays others on the same
 * links. Keeping the stage earned 0.720 of the value of all answers on days with failures at 39
 * endpoints, moving the streams 0.691. If the stage ends earlier, it is replaced as a dead one.
 */
static void txn_repair_pipeline(struct txn *txn)
{
	if (txn->order)
		return;
	if (txn_has_faulty_stage(txn))
		txn_on_attempt_broken(txn, txn->target.stages[txn_faulty_stage(txn)].ep);
	if (txn_reaches_crash_limit(txn)) {
		fwd_on_quarantine(&txn->fwd);
		return;
	}
	if (!txn_pick_repair(txn)) {
		txn_leave_faulty_pipeline(txn, "no_repair");
		return;
	}
	if (txn_send_order(txn) < 0) {
		traf_target_release(&txn->repair);
		txn_leave_faulty_pipeline(txn, "no_order");
	}
}

/*
 * Excludes the stage that a refused order names as missing or without room from the next order.
 * Returns false if the refusal names none.
 */
static bool txn_avoid_refused_stage(struct txn *txn, const char *body, size_t len)
{
	char *addr = txn->traf->router->seam->engine.parse_refusal(str_make(body, len));
	struct traf_ep *ep = addr ? g_hash_table_lookup(txn->traf->by_addr, addr) : NULL;

	g_free(addr);
	if (!ep)
		return false;
	txn_exclude_endpoint(txn, ep);
	traf_on_named_faulty(ep, "refused_repair", txn->request.id);
	return true;
}

static bool txn_on_order_head(void *ctx, int status, const GPtrArray *headers)
{
	struct txn *txn = ctx;

	traf_head_of_call(txn->traf, txn->target.stages[0].ep, status, headers);
	return true;
}

static void txn_on_order_done(void *ctx, int status, int err, bool sent, const char *body,
			      size_t len)
{
	struct txn *txn = ctx;
	bool done = status == STATUS_OK || status == STATUS_ACCEPTED;

	(void)sent;
	txn->order = NULL;
	jl_begin(JL_UNLIMITED, "repaired");
	jl_str("id", txn->request.id);
	jl_int("status", status);
	jl_str("error", err < 0 ? base_strerror(err) : NULL);
	if (!done && len > 0 && len < TXN_LOGGED_BODY_MAX)
		jl_str("answer", body);
	jl_int("took_ms", (tmr_now() - txn->order_us) / TMR_US_PER_MS);
	jl_end();
	if (!done) {
		traf_target_release(&txn->repair);
		if (status == STATUS_CONFLICT && txn_avoid_refused_stage(txn, body, len))
			txn_repair_pipeline(txn);
		else if (txn_has_faulty_stage(txn))
			txn_resume(txn, "repair_refused");
		return;
	}
	traf_target_release(&txn->target);
	txn->target = txn->repair;
	memset(&txn->repair, 0, sizeof(txn->repair));
	fwd_restart_silence(&txn->fwd, tmr_now());
}

void txn_on_faulty(struct txn *txn, const struct traf_ep *ep)
{
	if (!txn->target.layered || !txn->attempt || txn_is_active(txn, tmr_now()))
		return;
	if (txn_stage_index(txn, ep) >= 0)
		txn_repair_pipeline(txn);
}

struct traf_ep *txn_silent_first_stage(const struct txn *txn, const struct traf_ep *ep)
{
	if (!txn->target.layered || !txn->attempt || txn_is_held(txn) ||
	    tmr_now() - txn->last_activity_us < TXN_QUIET_US)
		return NULL;
	return txn_stage_index(txn, ep) > 0 ? txn->target.stages[0].ep : NULL;
}

bool txn_received_through(const struct txn *txn, const struct traf_ep *ep, int64_t now_us)
{
	if (!txn->attempt || txn->fwd.parts == 0 || now_us - txn->last_activity_us >= TXN_ACTIVE_US)
		return false;
	return txn_stage_index(txn, ep) >= 0;
}

void txn_on_unresponsive(struct txn *txn, struct traf_ep *ep)
{
	if (!txn->target.layered || !txn->attempt || txn->order ||
	    txn->repairs >= TXN_REPAIRS_MAX || txn_is_active(txn, tmr_now()))
		return;
	if (txn_stage_index(txn, ep) < 1)
		return;
	txn_exclude_endpoint(txn, ep);
	txn_on_attempt_broken(txn, ep);
	txn_log_silent(txn, "missing", ep->rec->addr);
	txn_repair_pipeline(txn);
}

void txn_on_slow(struct txn *txn, const struct traf_ep *ep)
{
	int stage;

	if (!txn->target.layered || !txn->attempt || !txn->fwd.begun || txn_is_held(txn) ||
	    txn->repairs >= TXN_REPAIRS_MAX)
		return;
	stage = txn_stage_index(txn, ep);
	if (stage < 1)
		return;
	txn_exclude_endpoint(txn, txn->target.stages[stage].ep);
	txn_repair_pipeline(txn);
}

void txn_cancel_order(struct txn *txn)
{
	if (txn->order)
		way_cancel(txn->order);
	txn->order = NULL;
	traf_target_release(&txn->repair);
}
