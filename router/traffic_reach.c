#include "router/traffic_reach.h"
#include "base/jl.h"
#include "base/met.h"
#include "router/traffic.h"
#include "router/traffic_rest.h"

static void traf_reach_on_lost(void *ctx, const char *addr, bool hangs);
static void traf_reach_on_gateway_lost(void *ctx, const char *gateway);
static char *traf_reach_probe_path(void *ctx, const char *addr);
static void traf_reach_each_endpoint(void *ctx, way_addr_fn fn, void *fn_ctx);

static const struct way_ops traf_way_ops = {
	.on_lost = traf_reach_on_lost,
	.on_gateway_lost = traf_reach_on_gateway_lost,
	.probe_path = traf_reach_probe_path,
	.each_endpoint = traf_reach_each_endpoint,
};

void traf_reach_start(struct traf *traf)
{
	const struct router_settings *s = &traf->router->settings;

	traf->way = way_new(&traf->loop, traf->hc, s->name, s->zone, &traf_way_ops, traf);
}

void traf_reach_on_view(struct traf *traf)
{
	way_set_gateways(traf->way, traf->view->gateways);
	way_on_list(traf->way, (int)g_hash_table_size(traf->by_addr));
}

/*
 * Connections that hang deliver nothing more, so what waits there goes another way. If connections
 * are refused, open ones were reset, which ends their attempts, or they live on.
 */
static void traf_reach_on_lost(void *ctx, const char *addr, bool hangs)
{
	struct traf *traf = ctx;

	(void)addr;
	traf->hangs = hangs;
	for (guint i = traf->reqs->len; hangs && i > 0; i--)
		txn_on_lost_connections(traf->reqs->pdata[i - 1]);
}

static void traf_reach_on_gateway_lost(void *ctx, const char *gateway)
{
	struct traf *traf = ctx;

	jl_begin(JL_INFO, "gateway_lost");
	jl_str("gateway", gateway);
	jl_end();
	for (guint i = traf->reqs->len; i > 0; i--)
		txn_on_gateway_lost(traf->reqs->pdata[i - 1], gateway);
}

static char *traf_reach_probe_path(void *ctx, const char *addr)
{
	const struct traf *traf = ctx;
	struct traf_ep *ep = g_hash_table_lookup(traf->by_addr, addr);

	return ep && traf_rest_may_call(ep) ? traf_probe_path(traf, ep) : NULL;
}

static void traf_reach_each_endpoint(void *ctx, way_addr_fn fn, void *fn_ctx)
{
	const struct traf *traf = ctx;
	GHashTableIter iter;
	gpointer addr;

	g_hash_table_iter_init(&iter, traf->by_addr);
	while (g_hash_table_iter_next(&iter, &addr, NULL)) {
		if (!fn(fn_ctx, addr))
			return;
	}
}

static void traf_reach_log(struct traf *traf)
{
	const struct reach *reach = way_reach(traf->way);
	bool alone = reach_is_alone(reach);

	if (alone == traf->alone)
		return;
	traf->alone = alone;
	jl_begin(JL_INFO, alone ? "no_endpoint_answers" : "endpoints_answer");
	jl_int("endpoints", g_hash_table_size(reach->points));
	if (reach->heard_us > 0)
		jl_int("last_answer_ms", (tmr_now() - reach->heard_us) / TMR_US_PER_MS);
	jl_end();
}

void traf_reach_on_sweep(struct traf *traf)
{
	const struct reach *reach = way_reach(traf->way);

	way_sweep(traf->way, tmr_now());
	traf_reach_log(traf);
	met_set(met_gauge("bg_endpoints_unanswered", ""), g_hash_table_size(reach->points));
	met_set(met_gauge("bg_endpoints_not_reached", ""), (uint64_t)reach_count_not_here(reach));
	met_set(met_gauge("bg_tunnels_open", ""), (uint64_t)way_open_tunnels(traf->way));
	met_set(met_gauge("bg_tunnels_carried_open", ""), gateway_open_tunnels(traf->gateway));
}
