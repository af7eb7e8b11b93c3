#include "router/txn_int.h"
#include "router/traffic_limit.h"
#include "router/traffic_rest.h"
#include "base/jl.h"
#include "base/met.h"

#include <stdio.h>

enum {
	/* The kernel takes a shorter answer at once, so that nothing of it is unsent here. */
	TXN_WHOLE_MAX_BYTES = 16 << 10
};

void txn_reply_error(struct txn *txn, int status, const char *code, int64_t retry_us)
{
	char body[128];
	int len = snprintf(body, sizeof(body), "{\"error\":{\"code\":\"%s\"}}", code);

	if (retry_us > 0) {
		const struct seam_wire *wire = &txn->traf->router->seam->wire;
		char *value = wire->retry_header_value(retry_us);

		hd_set_header(txn->call, wire->retry_header_name(), value);
		g_free(value);
	}
	txn->status = status;
	hd_reply(txn->call, status, "application/json", body, (size_t)len);
}

void txn_deny(struct txn *txn, int status, const char *code, int64_t retry_us)
{
	const struct router_view *view = txn->traf->view;

	txn_reply_error(txn, status, code, retry_us);
	jl_begin(JL_UNLIMITED, "denied");
	jl_str("id", txn->request.id);
	jl_int("status", status);
	jl_str("code", code);
	jl_str("asked_host", txn->request.host);
	jl_str("target", hd_target(txn->call));
	jl_int("version", view && view->conf ? view->conf->version : -1);
	jl_end();
	met_add(met_counter("bg_denied_total", ""), 1);
	txn_free(txn);
}

static void txn_set_answer_headers(struct txn *txn)
{
	const GPtrArray *keep = txn->answer.keep;

	for (guint i = 0; keep && i + 1 < keep->len; i += 2)
		hd_set_header(txn->call, keep->pdata[i], keep->pdata[i + 1]);
	txn->status = txn->answer.head.status;
	txn->first_us = tmr_now();
}

void txn_answer_whole(void *ctx, const char *body, size_t len)
{
	struct txn *txn = ctx;

	txn_set_answer_headers(txn);
	if (len <= TXN_WHOLE_MAX_BYTES) {
		txn->tally.passed += len;
		txn_check_whole(txn);
		hd_reply(txn->call, txn->status, txn->answer.type, body, len);
		return;
	}
	hd_set_length(txn->call, len);
	hd_reply_begin(txn->call, txn->status, txn->answer.type);
	txn_answer_data(txn, body, len);
	txn_answer_end(txn);
}

void txn_answer_begin(void *ctx)
{
	struct txn *txn = ctx;
	struct adm_limits limits;

	txn_set_answer_headers(txn);
	txn_fill_limits(txn, &limits);
	adm_service_on_first_token(traf_admission(txn->traf, txn->service->name), txn->class_rank,
				   &limits, txn->first_us - txn->sent_us, txn->first_us);
	if (txn->fwd.passthrough)
		hd_set_length(txn->call, txn->answer_length);
	hd_reply_begin(txn->call, txn->status, txn->answer.type);
}

void txn_answer_data(void *ctx, const char *data, size_t len)
{
	struct txn *txn = ctx;

	txn->answer_bytes += len;
	txn->tally.passed += len;
	if (hd_reply_write(txn->call, data, len) < 0)
		txn->answer_failed = true;
}

/* The length is counted here, apart from the HTTP server, so that a loss between the two shows. */
void txn_answer_end(void *ctx)
{
	struct txn *txn = ctx;

	txn_check_whole(txn);
	hd_expect_length(txn->call, txn->answer_bytes);
	if (hd_reply_end(txn->call) < 0)
		txn->answer_failed = true;
}

void txn_answer_abort(void *ctx)
{
	hd_abort(((struct txn *)ctx)->call);
}

/* Returns the Retry-After, in us, for a request that has not run. */
static int64_t txn_retry_after_us(struct txn *txn, int64_t now_us)
{
	struct traf *traf = txn->traf;
	struct bk *back = traf_retry_delay(traf, txn->service->name);
	int64_t left_us = txn->fwd.rules.deadline_us - now_us;
	int64_t rest_us;

	bk_on_refused(back, now_us);
	if (txn->fwd.failure == FWD_LIMITED)
		return traf_limit_retry_us(traf, txn->service->name, txn->request.id,
					   bk_max_delay_us(left_us));
	rest_us = txn_rest_left_us(txn);
	if (rest_us > 0)
		return traf_rest_retry_us(traf, txn->service->name, txn->request.id, rest_us);
	return bk_retry_delay_us(back, left_us, now_us, &traf->seed);
}

void txn_refuse(void *ctx, int status, bool not_run)
{
	struct txn *txn = ctx;
	int64_t now_us = tmr_now();
	int64_t retry_us = 0;

	if (txn->fwd.failure == FWD_CRASHES)
		retry_us = txn_quarantine_retry_us(txn, now_us);
	else if (not_run && txn->fwd.failure != FWD_CALLER_DISCONNECTED &&
		 txn->fwd.failure != FWD_CALLER_STALLED)
		retry_us = txn_retry_after_us(txn, now_us);
	txn_reply_error(txn, status, fwd_cause_name(txn->fwd.failure), retry_us);
}
