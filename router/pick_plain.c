#include "base/rnd.h"
#include "router/pick_int.h"
#include "router/traffic_limit.h"

#include <string.h>

/*
 * Weights of the cost of an endpoint of a plain service. A recent failure adds 4 times the load, so
 * an endpoint that fails half of its requests gets few. Another availability zone adds a tenth and
 * chance up to a fifth, which only decides between endpoints that are alike.
 */
static const double pick_plain_failure = 4;
static const double pick_plain_other_zone = 1.1;
static const double pick_plain_spread = 0.2;

/*
 * Returns the cost of choosing the endpoint: requests under way per slot, weighted by failures,
 * availability zone and chance.
 */
static double pick_plain_cost(struct traf *traf, struct traf_ep *ep, int64_t now_us)
{
	double load = (double)(ep->in_flight + 1) / MAX(ep->rec->slots, 1);

	load *= 1 + pick_plain_failure * penalty_value(&ep->failing, now_us);
	if (strcmp(ep->rec->zone, traf->router->settings.zone) != 0)
		load *= pick_plain_other_zone;
	return load * (1 + pick_plain_spread * rnd_uniform(&traf->seed));
}

/* The best endpoint found so far; ep is NULL if there is none. */
struct pick_best {
	struct traf_ep *ep;
	enum pa_trust trust;
	double cost;
};

/* Replaces the best endpoint if this one is more trusted, or as trusted and cheaper. */
static void pick_keep_better(struct pick_best *best, struct traf_ep *ep, enum pa_trust trust,
			     double cost)
{
	if (best->ep && (trust > best->trust || (trust == best->trust && cost >= best->cost)))
		return;
	*best = (struct pick_best){ep, trust, cost};
}

/*
 * Now and then returns an endpoint that is avoided because of recent failures instead of the chosen
 * one, to find out whether it works again. Only for requests that may run again if they fail there.
 */
static struct traf_ep *pick_trial(struct traf *traf, const struct traf_pick_args *args,
				  struct traf_ep *chosen, int64_t now_us)
{
	struct traf_ep *trial = chosen;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, traf->eps);
	while (args->may_repeat && g_hash_table_iter_next(&iter, NULL, &value)) {
		struct traf_ep *ep = value;

		if (ep == chosen || penalty_value(&ep->failing, now_us) == 0 ||
		    !pick_is_usable(ep, args->service) || pick_is_avoided(args->avoid, ep) ||
		    pick_trust_level(ep, now_us) != PA_GOOD ||
		    !rest_allows_request(&ep->rest, now_us) ||
		    !traf_limit_is_open(traf, ep, args->account))
			continue;
		if (penalty_on_passed_over(&ep->failing, now_us))
			trial = ep;
	}
	return trial;
}

int pick_plain(struct traf *traf, const struct traf_pick_args *args, struct traf_target *target)
{
	struct pick_best best = {NULL, PA_FAULTY, 0};
	struct pick_best permitted = {NULL, PA_FAULTY, 0};
	GHashTableIter iter;
	gpointer value;
	int64_t now_us = tmr_now();
	int resting = 0;

	g_hash_table_iter_init(&iter, traf->eps);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		enum pa_trust trust = pick_trust_level(value, now_us);
		double cost;

		if (!pick_is_usable(value, args->service) || pick_is_avoided(args->avoid, value) ||
		    trust > args->trust)
			continue;
		if (!rest_allows_request(&((struct traf_ep *)value)->rest, now_us)) {
			resting++;
			continue;
		}
		cost = pick_plain_cost(traf, value, now_us);
		pick_keep_better(&best, value, trust, cost);
		if (traf_limit_is_open(traf, value, args->account))
			pick_keep_better(&permitted, value, trust, cost);
	}
	if (!best.ep)
		return resting > 0 ? FWD_ERESTING : FWD_ENOENDPOINT;
	if (best.ep != permitted.ep)
		traf_limit_request_permit(traf, best.ep);
	if (!permitted.ep)
		return FWD_ENOPERMIT;
	pick_add_stage(target, pick_trial(traf, args, permitted.ep, now_us), 0, 0);
	return 0;
}
