#include "base/jl.h"
#include "base/met.h"
#include "router/ctrl.h"
#include "router/traffic_rest.h"

#include <string.h>

enum {
	TRAF_FAULT_STEP_US = 500000, /* an exclusion is not extended by this time or less, in us */
	TRAF_DOUBT_US = 700000, /* duration of an exclusion after one failure to connect, in us */
	/* Time in us within which two failures to connect prove a fault. */
	TRAF_UNREACHABLE_WINDOW_US = 1500000,
	/* Time in us for which data may arrive that passed an endpoint before it ended. */
	TRAF_REPORT_KEEP_US = 500000
};

char *traf_probe_path(const struct traf *traf, const struct traf_ep *ep)
{
	const struct rt_service *service =
		g_hash_table_lookup(traf->view->conf->services, ep->rec->service);

	if (!service || rt_is_layered(service))
		return g_strdup(traf->router->seam->engine.report_path());
	return g_strdup(service->health_path ? service->health_path : "/");
}

static void traf_log_fault(const struct traf_ep *ep, const char *event, int64_t for_us,
			   const char *why, const char *request)
{
	jl_begin(JL_UNLIMITED, event);
	jl_str("endpoint", ep->rec->incarnation);
	jl_str("addr", ep->rec->addr);
	jl_str("why", why);
	jl_int("for_ms", for_us / TMR_US_PER_MS);
	jl_str("id", request);
	jl_end();
}

void traf_exclude_briefly(struct traf_ep *ep, int64_t for_us, const char *why, const char *request)
{
	if (avoid_extend(&ep->doubt, for_us, tmr_now()))
		traf_log_fault(ep, "endpoint_doubted", for_us, why, request);
}

void traf_on_named_faulty(struct traf_ep *ep, const char *why, const char *request)
{
	int64_t for_us = avoid_on_fault(&ep->doubt, tmr_now());

	if (for_us > 0)
		traf_log_fault(ep, "endpoint_doubted", for_us, why, request);
}

void traf_mark_faulty_here(struct traf *traf, struct traf_ep *ep, int64_t for_us, const char *why,
			   const char *request)
{
	bool known = ep->suspect_us > tmr_now();

	ep->suspect_us = MAX(ep->suspect_us, tmr_now() + for_us);
	if (!known) {
		wt_on_fault(&traf->watch);
		traf_log_fault(ep, "endpoint_suspected", for_us, why, request);
		met_add(met_counter("bg_endpoint_suspected_total", ""), 1);
	}
	for (guint i = traf->reqs->len; i > 0; i--)
		txn_on_faulty(traf->reqs->pdata[i - 1], ep);
}

void traf_mark_faulty(struct traf *traf, struct traf_ep *ep, int64_t for_us, const char *why,
		      const char *request)
{
	if (ep->suspect_us + TRAF_FAULT_STEP_US >= tmr_now() + for_us)
		return;
	traf_mark_faulty_here(traf, ep, for_us, why, request);
	/* A host that no endpoint answers must not take sound endpoints from the others. */
	if (reach_is_alone(way_reach(traf->way)))
		return;
	suspect_post(traf->router->ctrl, ep->rec->incarnation, for_us / TMR_US_PER_MS, why);
}

void traf_on_unreachable(struct traf *traf, struct traf_ep *ep, const char *why,
			 const char *request)
{
	int64_t now_us = tmr_now();
	bool again = ep->last_unreachable_us > 0 &&
		     now_us - ep->last_unreachable_us < TRAF_UNREACHABLE_WINDOW_US;

	ep->last_unreachable_us = now_us;
	if (again)
		traf_mark_faulty(traf, ep, TRAF_FAULT_US, why, request);
	else
		traf_exclude_briefly(ep, TRAF_DOUBT_US, why, request);
}

bool traf_has_stream_through(const struct traf *traf, const struct traf_ep *ep)
{
	int64_t now_us = tmr_now();

	for (guint i = 0; i < traf->reqs->len; i++) {
		if (txn_received_through(traf->reqs->pdata[i], ep, now_us))
			return true;
	}
	return false;
}

/*
 * Checks an endpoint that did not answer another host, if a silent stream of this host passes
 * through it.
 */
static void traf_check_named_stage(struct traf *traf, struct traf_ep *ep)
{
	for (guint i = 0; i < traf->reqs->len; i++) {
		struct traf_ep *first = txn_silent_first_stage(traf->reqs->pdata[i], ep);

		if (first) {
			stall_check_named(traf, first, ep);
			return;
		}
	}
}

/*
 * Another host has reported a fault of the endpoint. If a stream still receives data through it,
 * that may have passed the endpoint before its end, so the report is kept for a moment in which a
 * stream may fall silent. Data that arrives for longer shows that the report was wrong.
 */
static void traf_on_reported(struct traf *traf, struct traf_ep *ep, const struct router_suspect *by)
{
	if (!traf_has_stream_through(traf, ep)) {
		traf_mark_faulty_here(traf, ep, by->until_us - tmr_now(), by->why, NULL);
	} else if (wt_is_active(&traf->watch)) {
		ep->reported_us = by->until_us;
		ep->reported_keep_us = tmr_now() + TRAF_REPORT_KEEP_US;
	}
}

bool traf_accept_report(struct traf *traf, struct traf_ep *ep)
{
	int64_t for_us;

	if (ep->reported_us == 0 || tmr_now() > ep->reported_keep_us)
		return false;
	for_us = ep->reported_us - tmr_now();
	if (for_us <= 0 || traf_has_stream_through(traf, ep))
		return false;
	ep->reported_us = 0;
	traf_mark_faulty_here(traf, ep, for_us, "reported", NULL);
	return true;
}

static void traf_on_posted_suspect(void *ctx)
{
	struct router_suspect *suspect = ctx;
	struct traf *traf = suspect->to;
	struct traf_ep *ep = g_hash_table_lookup(traf->eps, suspect->endpoint);

	if (ep && strcmp(suspect->why, SUSPECT_NO_ANSWER) == 0)
		traf_check_named_stage(traf, ep);
	else if (ep && strcmp(suspect->why, SUSPECT_RESTS) == 0)
		traf_rest_on_hint(traf, ep, suspect->until_us - tmr_now());
	else if (ep)
		traf_on_reported(traf, ep, suspect);
	router_suspect_free(suspect);
}

void traf_post_suspect(struct traf *traf, const char *endpoint, int64_t for_ms, const char *why)
{
	loop_post(&traf->loop, traf_on_posted_suspect,
		  router_suspect_new(traf, endpoint, for_ms, why));
}
