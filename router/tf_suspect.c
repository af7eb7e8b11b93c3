#include "base/jl.h"
#include "base/met.h"
#include "router/ctrl.h"
#include "router/tf_rest.h"

#include <string.h>

enum {
	TF_FAULT_STEP_US = 500000, /* extensions by up to this are ignored */
	TF_DOUBT_US = 700000,	   /* exclusion after one failure to connect */
	/* Two failures to connect within this time prove a fault. */
	TF_UNREACHABLE_WINDOW_US = 1500000
};

static void tf_log_fault(const struct tf_ep *ep, const char *event, int64_t for_us, const char *why,
			 const char *request)
{
	jl_begin(JL_KEEP, event);
	jl_str("endpoint", ep->rec->incarnation);
	jl_str("addr", ep->rec->addr);
	jl_str("why", why);
	jl_int("for_ms", for_us / TMR_US_PER_MS);
	jl_str("id", request);
	jl_end();
}

void tf_doubt(struct tf_ep *ep, int64_t for_us, const char *why, const char *request)
{
	if (avoid_extend(&ep->doubt, for_us, tmr_now()))
		tf_log_fault(ep, "endpoint_doubted", for_us, why, request);
}

void tf_on_named_faulty(struct tf_ep *ep, const char *why, const char *request)
{
	int64_t for_us = avoid_on_fault(&ep->doubt, tmr_now());

	if (for_us > 0)
		tf_log_fault(ep, "endpoint_doubted", for_us, why, request);
}

void tf_mark_faulty_here(struct tf *tf, struct tf_ep *ep, int64_t for_us, const char *why,
			 const char *request)
{
	bool known = ep->suspect_us > tmr_now();

	ep->suspect_us = MAX(ep->suspect_us, tmr_now() + for_us);
	if (!known) {
		tf_log_fault(ep, "endpoint_suspected", for_us, why, request);
		met_add(met_counter("bg_endpoint_suspected_total", ""), 1);
	}
	for (guint i = tf->reqs->len; i > 0; i--)
		rq_on_faulty(tf->reqs->pdata[i - 1], ep);
}

void tf_suspect(struct tf *tf, struct tf_ep *ep, int64_t for_us, const char *why,
		const char *request)
{
	if (ep->suspect_us + TF_FAULT_STEP_US >= tmr_now() + for_us)
		return;
	tf_mark_faulty_here(tf, ep, for_us, why, request);
	suspect_post(tf->router->ctrl, ep->rec->incarnation, for_us / TMR_US_PER_MS, why);
}

void tf_unreached(struct tf *tf, struct tf_ep *ep, const char *why, const char *request)
{
	int64_t now_us = tmr_now();
	bool again = ep->last_unreachable_us > 0 &&
		     now_us - ep->last_unreachable_us < TF_UNREACHABLE_WINDOW_US;

	ep->last_unreachable_us = now_us;
	if (again)
		tf_suspect(tf, ep, TF_FAULT_US, why, request);
	else
		tf_doubt(ep, TF_DOUBT_US, why, request);
}

/*
 * Returns whether a stream receives data through the endpoint. That is stronger evidence than a
 * fault reported by another host.
 */
static bool tf_has_stream_through(const struct tf *tf, const struct tf_ep *ep)
{
	int64_t now_us = tmr_now();

	for (guint i = 0; i < tf->reqs->len; i++) {
		if (rq_received_through(tf->reqs->pdata[i], ep, now_us))
			return true;
	}
	return false;
}

/*
 * Checks an endpoint that did not answer another host, if a silent stream of this host passes
 * through it.
 */
static void tf_check_named_stage(struct tf *tf, struct tf_ep *ep)
{
	for (guint i = 0; i < tf->reqs->len; i++) {
		struct tf_ep *first = rq_silent_first_stage(tf->reqs->pdata[i], ep);

		if (first) {
			stall_on_named(tf, first, ep);
			return;
		}
	}
}

static void tf_on_posted_suspect(void *ctx)
{
	struct router_suspect *suspect = ctx;
	struct tf *tf = suspect->to;
	struct tf_ep *ep = g_hash_table_lookup(tf->eps, suspect->endpoint);

	if (ep && strcmp(suspect->why, SUSPECT_NO_ANSWER) == 0)
		tf_check_named_stage(tf, ep);
	else if (ep && strcmp(suspect->why, SUSPECT_RESTS) == 0)
		tf_rest_on_hint(tf, ep, suspect->until_us - tmr_now());
	else if (ep && !tf_has_stream_through(tf, ep))
		tf_mark_faulty_here(tf, ep, suspect->until_us - tmr_now(), suspect->why, NULL);
	router_suspect_free(suspect);
}

void tf_post_suspect(struct tf *tf, const char *endpoint, int64_t for_ms, const char *why)
{
	loop_post(&tf->loop, tf_on_posted_suspect, router_suspect_new(tf, endpoint, for_ms, why));
}
