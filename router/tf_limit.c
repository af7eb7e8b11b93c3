#include "base/jl.h"
#include "base/met.h"
#include "router/tf.h"

enum {
	TF_LIMIT_STATUS_OTHER = 421 /* another endpoint has the address */
};

static void tf_limit_log(const struct tf_ep *ep, const char *event, double before,
			 const char *request)
{
	jl_begin(JL_KEEP, event);
	jl_str("endpoint", ep->rec->incarnation);
	jl_str("addr", ep->rec->addr);
	jl_str("service", ep->rec->service);
	jl_real("rate", ep->limit.rate);
	jl_real("before", before);
	jl_int("in_flight", ep->in_flight);
	jl_str("id", request);
	jl_end();
}

/* Each endpoint's first value that is no rate is logged; it may name it in every answer. */
static void tf_limit_unreadable(struct tf_ep *ep, const struct seam_answer *answer,
				const char *request)
{
	met_add(met_counter("bg_limit_unreadable_total", ""), 1);
	if (ep->limit.unreadable)
		return;
	ep->limit.unreadable = true;
	jl_begin(JL_KEEP, "limit_unreadable");
	jl_str("endpoint", ep->rec->incarnation);
	jl_str("addr", ep->rec->addr);
	jl_int("values", answer->limit_values);
	jl_int("unreadable", answer->limit == SEAM_LIMIT_UNREADABLE);
	jl_str("id", request);
	jl_end();
}

/* Rejections may come from a queue before the endpoint itself, and leave the limit out. */
static bool tf_limit_is_lifted(const struct tf_limit *limit, const struct seam_answer *answer,
			       int64_t sent_us)
{
	return answer->limit == SEAM_LIMIT_NONE && answer->head.sealed && limit->named &&
	       sent_us > limit->heard_us;
}

void tf_limit_on_answer(struct tf_ep *ep, const struct seam_answer *answer, int64_t sent_us,
			const char *request)
{
	struct tf_limit *limit = &ep->limit;
	double before = limit->named ? limit->rate : -1;

	if (!answer->head.ours || answer->head.status == TF_LIMIT_STATUS_OTHER)
		return;
	if (answer->limit_values > 1 || answer->limit == SEAM_LIMIT_UNREADABLE)
		tf_limit_unreadable(ep, answer, request);
	if (answer->limit == SEAM_LIMIT_RATE) {
		limit->heard_us = tmr_now();
		limit->named = true;
		limit->rate = answer->limit_rate;
		if (before != limit->rate)
			tf_limit_log(ep, "limit_named", before, request);
	} else if (tf_limit_is_lifted(limit, answer, sent_us)) {
		limit->named = false;
		limit->rate = 0;
		tf_limit_log(ep, "limit_lifted", before, request);
	}
}
