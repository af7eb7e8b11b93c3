#include "router/traffic_reach.h"
#include "base/jl.h"
#include "base/met.h"
#include "router/traffic.h"

static void traf_reach_log(struct traf *traf)
{
	bool alone = reach_is_alone(&traf->reach);

	if (alone == traf->alone)
		return;
	traf->alone = alone;
	jl_begin(JL_UNLIMITED, alone ? "no_endpoint_answers" : "endpoints_answer");
	jl_int("endpoints", g_hash_table_size(traf->reach.points));
	if (traf->reach.answered_us > 0)
		jl_int("last_answer_ms", (tmr_now() - traf->reach.answered_us) / TMR_US_PER_MS);
	jl_end();
}

void traf_reach_on_call(struct traf *traf, const struct traf_ep *ep, int64_t began_us,
			bool answered)
{
	if (answered)
		reach_on_answer(&traf->reach, ep->rec->addr, began_us);
	else
		reach_on_failure(&traf->reach, ep->rec->addr, began_us, tmr_now());
	traf_reach_log(traf);
}

void traf_reach_on_sweep(struct traf *traf)
{
	reach_expire(&traf->reach, tmr_now());
	traf_reach_log(traf);
	met_set(met_gauge("bg_endpoints_unanswered", ""), g_hash_table_size(traf->reach.points));
}
