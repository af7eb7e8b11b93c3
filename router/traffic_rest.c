#include "router/traffic_rest.h"
#include "base/jl.h"
#include "base/met.h"
#include "base/rnd.h"
#include "router/notice.h"

enum {
	/*
	 * Time over which callers' retries are spread after a rest period, so that their rush does
	 * not cause the next one.
	 */
	TRAF_REST_RETRY_SPREAD_US = 1000000
};

/*
 * Logs the start or end of a rest period. A busy service has many, so these lines count against the
 * same limit as those of requests.
 */
static void traf_rest_log(const struct traf_ep *ep, const char *event, int64_t for_us,
			  const char *request)
{
	jl_begin(JL_INFO, event);
	jl_str("endpoint", ep->rec->incarnation);
	jl_str("addr", ep->rec->addr);
	jl_int("for_ms", for_us / TMR_US_PER_MS);
	jl_int("in_flight", ep->in_flight);
	jl_str("id", request);
	jl_end();
}

void traf_rest_on_request(struct traf *traf, struct traf_ep *ep, int64_t for_us,
			  const char *request)
{
	int64_t now_us = tmr_now();
	int64_t until_us = ep->rest.until_us;
	bool is_new = rest_on_asked(&ep->rest, for_us, now_us, rnd_uniform(&traf->seed));

	if (is_new) {
		traf_rest_log(ep, "rest_asked", for_us, request);
		met_add(met_counter("bg_rests_asked_total", ""), 1);
	}
	if (ep->rest.until_us == until_us)
		return;
	ep->rest_demanded_us = now_us;
	g_free(ep->rest_demanded_by);
	ep->rest_demanded_by = g_strdup(request);
	ep->rest_end_logged = false;
	notice_post_backoff(traf->router->ctrl, ep->rec->incarnation, ep->rest.until_us, is_new);
}

void traf_rest_on_hint(struct traf *traf, struct traf_ep *ep, int64_t for_us)
{
	if (rest_is_active(&ep->rest, tmr_now()))
		return;
	met_add(met_counter("bg_rest_hints_total", ""), 1);
	for_us += (int64_t)(rnd_uniform(&traf->seed) * REST_SPREAD_US);
	avoid_extend(&ep->doubt, for_us, tmr_now());
}

void traf_rest_on_accepted(struct traf_ep *ep)
{
	rest_on_accepted(&ep->rest, tmr_now());
}

bool traf_rest_may_call(struct traf_ep *ep)
{
	return rest_allows_report_call(&ep->rest, tmr_now());
}

int64_t traf_rest_retry_us(struct traf *traf, const char *service, const char *request,
			   int64_t left_us)
{
	int64_t retry_us =
		left_us + (int64_t)(rnd_uniform(&traf->seed) * TRAF_REST_RETRY_SPREAD_US);

	jl_begin(JL_UNLIMITED, "rest_refused");
	jl_str("id", request);
	jl_str("service", service);
	jl_int("back_ms", retry_us / TMR_US_PER_MS);
	jl_end();
	met_add(met_counter("bg_rest_refused_total", ""), 1);
	return retry_us;
}

void traf_rest_on_sweep(struct traf *traf)
{
	int64_t now_us = tmr_now();
	GHashTableIter iter;
	gpointer value;
	uint64_t rests = 0;

	g_hash_table_iter_init(&iter, traf->eps);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct traf_ep *ep = value;

		if (rest_is_active(&ep->rest, now_us)) {
			rests++;
		} else if (ep->rest_demanded_us > 0 && !ep->rest_end_logged) {
			ep->rest_end_logged = true;
			traf_rest_log(ep, "rest_over", now_us - ep->rest_demanded_us, NULL);
		}
	}
	met_set(met_gauge("bg_rests", ""), rests);
}
