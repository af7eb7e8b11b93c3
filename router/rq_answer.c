#include "router/rq_int.h"
#include "router/tf_limit.h"
#include "router/tf_rest.h"
#include "base/jl.h"
#include "base/met.h"

#include <stdio.h>

void rq_reply_error(struct rq *rq, int status, const char *code, int64_t retry_us)
{
	char body[128];
	int len = snprintf(body, sizeof(body), "{\"error\":{\"code\":\"%s\"}}", code);

	if (retry_us > 0) {
		const struct seam_wire *wire = &rq->tf->router->seam->wire;
		char *value = wire->retry_header_value(retry_us);

		hd_set_header(rq->call, wire->retry_header_name(), value);
		g_free(value);
	}
	rq->status = status;
	hd_reply(rq->call, status, "application/json", body, (size_t)len);
}

void rq_deny(struct rq *rq, int status, const char *code, int64_t retry_us)
{
	const struct router_view *view = rq->tf->view;

	rq_reply_error(rq, status, code, retry_us);
	jl_begin(JL_KEEP, "denied");
	jl_str("id", rq->request.id);
	jl_int("status", status);
	jl_str("code", code);
	jl_str("asked_host", rq->request.host);
	jl_str("target", hd_target(rq->call));
	jl_int("version", view && view->conf ? view->conf->version : -1);
	jl_end();
	met_add(met_counter("bg_denied_total", ""), 1);
	rq_free(rq);
}

static void rq_set_answer_headers(struct rq *rq)
{
	const GPtrArray *keep = rq->answer.keep;

	for (guint i = 0; keep && i + 1 < keep->len; i += 2)
		hd_set_header(rq->call, keep->pdata[i], keep->pdata[i + 1]);
	rq->status = rq->answer.head.status;
	rq->first_us = tmr_now();
}

void rq_answer_whole(void *ctx, const char *body, size_t len)
{
	struct rq *rq = ctx;

	rq_set_answer_headers(rq);
	hd_reply(rq->call, rq->status, rq->answer.type, body, len);
}

void rq_answer_begin(void *ctx)
{
	struct rq *rq = ctx;
	struct adm_limits limits;

	rq_set_answer_headers(rq);
	rq_fill_limits(rq, &limits);
	adm_on_first_token(tf_admission(rq->tf, rq->service->name), &limits,
			   rq->first_us - rq->sent_us, rq->first_us);
	hd_begin(rq->call, rq->status, rq->answer.type);
}

void rq_answer_data(void *ctx, const char *data, size_t len)
{
	struct rq *rq = ctx;

	hd_write(rq->call, data, len);
}

void rq_answer_end(void *ctx)
{
	hd_end(((struct rq *)ctx)->call);
}

void rq_answer_abort(void *ctx)
{
	hd_abort(((struct rq *)ctx)->call);
}

/* Returns the Retry-After, in us, for a request that has not run. */
static int64_t rq_retry_after_us(struct rq *rq, int64_t now_us)
{
	struct tf *tf = rq->tf;
	struct bk *back = tf_retry_delay(tf, rq->service->name);
	int64_t left_us = rq->fwd.rules.deadline_us - now_us;
	int64_t rest_us;

	bk_on_refused(back, now_us);
	if (rq->fwd.failure == FWD_LIMITED)
		return tf_limit_back_us(tf, rq->service->name, rq->request.id,
					bk_max_delay_us(left_us));
	rest_us = rq_rest_left_us(rq);
	if (rest_us > 0)
		return tf_rest_retry_us(tf, rq->service->name, rq->request.id, rest_us);
	return bk_retry_delay_us(back, left_us, now_us, &tf->seed);
}

void rq_refuse(void *ctx, int status, bool not_run)
{
	struct rq *rq = ctx;
	int64_t now_us = tmr_now();
	int64_t retry_us = not_run ? rq_retry_after_us(rq, now_us) : 0;

	if (rq->fwd.failure == FWD_CRASHES)
		retry_us = rq_quarantine_retry_us(rq, now_us);
	rq_reply_error(rq, status, fwd_cause_name(rq->fwd.failure), retry_us);
}
