#include "base/rnd.h"
#include "router/pick_int.h"
#include "router/tf_limit.h"

#include <string.h>

/*
 * Plain services: what a recent failure, another availability zone and chance add to the load of an
 * endpoint. A failure counts as four times the load, so one that fails half of its requests gets
 * few; the zone and chance only decide between endpoints that are alike.
 */
static const double pick_plain_failure = 4;
static const double pick_plain_far = 1.1;
static const double pick_plain_spread = 0.2;

/* Fewest requests under way for its places, failing ones last; nearest zone where alike. */
static double pick_plain_cost(struct tf *tf, struct tf_ep *ep, int64_t now_us)
{
	double load = (double)(ep->in_flight + 1) / MAX(ep->rec->slots, 1);

	load *= 1 + pick_plain_failure * flg_recent(&ep->failing, now_us);
	if (strcmp(ep->rec->zone, tf->router->settings.zone) != 0)
		load *= pick_plain_far;
	return load * (1 + pick_plain_spread * rnd_unit(&tf->seed));
}

/* The best of the endpoints that were looked at. */
struct pick_best {
	struct tf_ep *ep;
	enum pa_trust trust;
	double cost;
};

static void pick_better(struct pick_best *best, struct tf_ep *ep, enum pa_trust trust, double cost)
{
	if (best->ep && (trust > best->trust || (trust == best->trust && cost >= best->cost)))
		return;
	*best = (struct pick_best){ep, trust, cost};
}

/*
 * One that has failed lately, and is passed over for that, gets a request now and then; only one
 * that may run again elsewhere if it fails there.
 */
static struct tf_ep *pick_trial(struct tf *tf, const struct tf_ask *ask, struct tf_ep *chosen,
				int64_t now_us)
{
	struct tf_ep *trial = chosen;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, tf->eps);
	while (ask->may_repeat && g_hash_table_iter_next(&iter, NULL, &value)) {
		struct tf_ep *ep = value;

		if (ep == chosen || flg_recent(&ep->failing, now_us) == 0 ||
		    !pick_usable(ep, ask->service) || pick_avoided(ask->avoid, ep) ||
		    pick_trust(ep, now_us) != PA_GOOD || !rst_is_open(&ep->rest, now_us) ||
		    !tf_limit_is_open(tf, ep, ask->account))
			continue;
		if (flg_on_passed(&ep->failing, now_us))
			trial = ep;
	}
	return trial;
}

int pick_plain(struct tf *tf, const struct tf_ask *ask, struct tf_target *target)
{
	struct pick_best best = {NULL, PA_FAULTY, 0};
	struct pick_best open = {NULL, PA_FAULTY, 0};
	GHashTableIter iter;
	gpointer value;
	int64_t now_us = tmr_now();
	int resting = 0;

	g_hash_table_iter_init(&iter, tf->eps);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		enum pa_trust trust = pick_trust(value, now_us);
		double cost;

		if (!pick_usable(value, ask->service) || pick_avoided(ask->avoid, value) ||
		    trust > ask->trust)
			continue;
		if (!rst_is_open(&((struct tf_ep *)value)->rest, now_us)) {
			resting++;
			continue;
		}
		cost = pick_plain_cost(tf, value, now_us);
		pick_better(&best, value, trust, cost);
		if (tf_limit_is_open(tf, value, ask->account))
			pick_better(&open, value, trust, cost);
	}
	if (!best.ep)
		return resting > 0 ? FWD_ERESTS : FWD_ENOENDPOINT;
	if (best.ep != open.ep)
		tf_limit_lacked(tf, best.ep);
	if (!open.ep)
		return FWD_ELIMIT;
	pick_add_stage(target, pick_trial(tf, ask, open.ep, now_us), 0, 0);
	return 0;
}
