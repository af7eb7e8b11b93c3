#include "base/rnd.h"
#include "base/tmr.h"
#include "fwd/fwd.h"
#include "place/place.h"
#include "router/pick_int.h"
#include "router/traffic_limit.h"

#include <string.h>

/*
 * Cost of a hop to another availability zone, in ms a token and besides the network's delay, at a
 * request rate that would fill the links between zones if every pipeline crossed once. All requests
 * share these links, so the cost is proportional to the rate. At 88 requests/s and 26 Gbit/s a cost
 * of 3 ms balances the zones: under faults, 0.68 of the value of all answers is earned in time,
 * 0.67 at 11 ms. At 304 requests/s and 10.4 Gbit/s crossings fill the links; there 25 ms is right
 * (0.72 of the value; 0.64 at 3 ms).
 */
static const double pick_full_link_ms = 3.0;

static double pick_zone_crossing_ms(struct traf *traf, const struct rt_service *service,
				    double prompt)
{
	const struct rt_engine *engine = &service->engine;
	double rate =
		bud_request_rate(traf_budget(traf, service->name), tmr_now()) * traf->view->hosts;
	double transfer_s;

	if (engine->zone_link_mbps <= 0)
		return 0;
	transfer_s =
		prompt * engine->activation_bytes_per_token * 8 / (engine->zone_link_mbps * 1e6);
	return pick_full_link_ms * rate * transfer_s;
}

/* Age in us up to which a report is used; reports are sent on every 5 s and on each change. */
static const int64_t pick_report_valid_us = 11000000;

/* Tokens assumed for a prompt and an answer if neither caller nor configuration states them. */
static const double pick_prompt_default = 500;
static const double pick_answer_default = 200;

/* Context of pick_hop_ms(). */
struct pick_hop_ctx {
	struct traf *traf;
	const struct rt_service *service;
};

bool traf_ep_is_healthy(const struct traf_ep *ep, int64_t now_us)
{
	return ep->listed && ep->rec->state == EP_READY && !ep->leaving && ep->suspect_us <= now_us;
}

/*
 * Suspected endpoints are usable: they are chosen if there are no others, since a suspicion may be
 * wrong, but without an endpoint the request is certainly refused.
 */
bool pick_is_usable(const struct traf_ep *ep, const struct rt_service *service)
{
	return ep->listed && ep->rec->state == EP_READY && !ep->leaving &&
	       strcmp(ep->rec->service, service->name) == 0;
}

enum pa_trust pick_trust_level(const struct traf_ep *ep, int64_t now_us)
{
	if (ep->suspect_us > now_us)
		return PA_FAULTY;
	return avoid_is_active(&ep->doubt, now_us) ? PA_DOUBTED : PA_GOOD;
}

bool pick_is_avoided(const struct traf_target *avoid, const struct traf_ep *ep)
{
	for (int i = 0; avoid && i < avoid->count; i++) {
		if (avoid->stages[i].ep == ep)
			return true;
	}
	return false;
}

char *traf_format_pipeline(const struct traf *traf, const struct traf_target *target)
{
	struct seam_stage stages[TRAF_STAGES_MAX];

	for (int i = 0; i < target->count; i++) {
		const struct traf_stage *from = &target->stages[i];

		stages[i] = (struct seam_stage){from->ep->rec->addr, from->from, from->to};
	}
	return traf->router->seam->wire.pipeline(stages, target->count);
}

void traf_target_acquire(struct traf_target *target)
{
	for (int i = 0; i < target->count; i++) {
		struct traf_ep *ep = target->stages[i].ep;

		ep->refs++;
		ep->in_flight++;
		ep->tokens += target->tokens;
	}
}

void traf_target_release(struct traf_target *target)
{
	for (int i = 0; i < target->count; i++) {
		struct traf_ep *ep = target->stages[i].ep;

		ep->in_flight--;
		ep->tokens -= target->tokens;
		traf_ep_unref(ep);
	}
	memset(target, 0, sizeof(*target));
}

static double pick_hop_ms(void *ctx, int zone_a, int zone_b)
{
	const struct pick_hop_ctx *d = ctx;

	return rt_delay_ms(d->service, d->traf->zone_names->pdata[zone_a - 1],
			   d->traf->zone_names->pdata[zone_b - 1]) +
	       hop_cost_ms(&d->traf->hop, zone_a - 1, zone_b - 1, tmr_now());
}

static double pick_usual_prompt_tokens(const struct rt_service *service)
{
	return service->engine.mean_prompt_tokens > 0 ? service->engine.mean_prompt_tokens
						      : pick_prompt_default;
}

static double pick_prompt_tokens(const struct rt_service *service,
				 const struct seam_request *request)
{
	return request->prompt > 0 ? request->prompt : pick_usual_prompt_tokens(service);
}

static double pick_answer_tokens(const struct rt_service *service,
				 const struct seam_request *request)
{
	double answer = request->hint > 0 ? request->hint : request->answer;

	if (answer > 0)
		return answer;
	return service->engine.mean_answer_tokens > 0 ? service->engine.mean_answer_tokens
						      : pick_answer_default;
}

/*
 * Estimates the load of the endpoint: this host's own requests times the number of hosts, as if all
 * sent as many. The number of running requests in reports, which are a second old, is not used: it
 * made all hosts send to the same endpoints at once, and with 76 hosts 0.48 of the value of all
 * answers was earned instead of 0.81. Only the pace and the use of memory are taken from a
 * report, the latter if it exceeds the estimate from this host's own requests.
 */
static void pick_set_load(const struct traf *traf, const struct traf_ep *ep, int64_t now_us,
			  struct pa_node *node)
{
	node->in_flight = (double)ep->in_flight * traf->view->hosts;
	node->tokens = ep->tokens * traf->view->hosts;
	if (ep->load_us > 0 && now_us - ep->load_us < pick_report_valid_us)
		node->slowness = MAX(ep->pace, 1);
	if (ep->load_us > 0 && now_us - ep->load_us < pick_report_valid_us)
		node->full = ep->full;
}

static void pick_init_node(struct traf *traf, const struct rt_service *service,
			   const struct traf_ep *ep, int64_t now_us, struct pa_node *node)
{
	const struct rt_accelerator *kind = rt_find_accelerator(service, ep->rec->kind);

	memset(node, 0, sizeof(*node));
	node->zone = traf_zone_number(traf, ep->rec->zone);
	node->from = ep->rec->layer_from;
	node->to = ep->rec->layer_to;
	node->pace = kind ? kind->pace : 1;
	node->read_pace = kind ? kind->read_pace : 1;
	node->slowness = 1;
	node->usable = true;
	node->room =
		kind ? pl_context_capacity(&service->engine, kind->memory_mb, node->to - node->from)
		     : 0;
	pick_set_load(traf, ep, now_us, node);
	node->trust = pick_trust_level(ep, now_us);
}

void pick_finish(struct pick *pick)
{
	g_free(pick->nodes);
	g_free(pick->eps);
}

void pick_init(struct pick *pick, struct traf *traf, const struct rt_service *service,
	       const struct seam_request *request, const struct traf_target *avoid, int64_t at_us)
{
	guint n = g_hash_table_size(traf->eps);
	GHashTableIter iter;
	gpointer value;
	int64_t now_us = tmr_now();

	memset(pick, 0, sizeof(*pick));
	pick->nodes = g_new0(struct pa_node, n + 1);
	pick->eps = g_new0(struct traf_ep *, n + 1);
	pick->ask.to = service->engine.layers;
	pick->ask.zone = traf_zone_number(traf, traf->router->settings.zone);
	pick->ask.prompt = pick_prompt_tokens(service, request);
	pick->ask.answer = pick_answer_tokens(service, request);
	pick->ask.cross_zone_ms =
		pick_zone_crossing_ms(traf, service, pick_usual_prompt_tokens(service));
	pick->ask.seed = rnd_next(&traf->seed);
	g_hash_table_iter_init(&iter, traf->eps);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!pick_is_usable(value, service) || pick_is_avoided(avoid, value))
			continue;
		if (!rest_allows_request(&((struct traf_ep *)value)->rest, at_us)) {
			pick->resting++;
			continue;
		}
		pick->eps[pick->n] = value;
		pick_init_node(traf, service, value, now_us, &pick->nodes[pick->n++]);
	}
}

int pick_search(struct pick *pick, struct traf *traf, const struct rt_service *service)
{
	struct pick_hop_ctx delays = {traf, service};
	int err = pa_choose_path(&service->engine, pick->nodes, pick->n, &pick->ask, pick_hop_ms,
				 &delays, &pick->path);

	return err == 0 ? 0 : FWD_ENOENDPOINT;
}

void pick_add_stage(struct traf_target *target, struct traf_ep *ep, int from, int to)
{
	const struct traf_stage stage = {ep, from, to};

	target->stages[target->count++] = stage;
}

static void pick_add_path(struct traf_target *target, const struct pick *pick)
{
	for (int i = 0; i < pick->path.count; i++) {
		const struct pa_stage *stage = &pick->path.stages[i];

		pick_add_stage(target, pick->eps[stage->node], stage->from, stage->to);
	}
}

/* Records the pipeline's hops between zones, whose cost is measured from its gaps. */
static void pick_set_hops(struct traf *traf, const struct rt_service *service,
			  struct traf_target *target, double cost_ms)
{
	struct pick_hop_ctx delays = {traf, service};

	memset(&target->hops, 0, sizeof(target->hops));
	target->hops.cost_ms = cost_ms;
	for (int i = 1; i < target->count; i++) {
		int from = traf_zone_number(traf, target->stages[i - 1].ep->rec->zone);
		int to = traf_zone_number(traf, target->stages[i].ep->rec->zone);

		if (from == to)
			continue;
		target->hops.hops[hop_pair_index(from - 1, to - 1)]++;
		target->hops.cost_ms -= pick_hop_ms(&delays, from, to);
	}
	target->hops.cost_ms = MAX(target->hops.cost_ms, 1);
}

/* Excludes endpoints as first stages whose rate limits leave no room for another request. */
static void pick_close_without_permit(struct pick *pick, struct traf *traf, const char *account)
{
	for (int i = 0; i < pick->n; i++)
		pick->nodes[i].closed = !traf_limit_is_open(traf, pick->eps[i], account);
}

/*
 * Finds the best pipeline whose first endpoint has room under its rate limit. Rate limits count the
 * requests that hosts send to an endpoint, not those that reach it through another endpoint. A
 * search without rate limits comes first, to find the endpoint for which a permit is lacking.
 */
static int pick_search_permitted(struct pick *pick, struct traf *traf,
				 const struct traf_pick_args *args)
{
	int err = pick_search(pick, traf, args->service);
	struct traf_ep *first;

	if (err < 0)
		return err;
	first = pick->eps[pick->path.stages[0].node];
	if (traf_limit_is_open(traf, first, args->account))
		return 0;
	traf_limit_request_permit(traf, first);
	pick_close_without_permit(pick, traf, args->account);
	return pick_search(pick, traf, args->service) < 0 ? FWD_ENOPERMIT : 0;
}

static int pick_pipeline(struct traf *traf, const struct traf_pick_args *args,
			 struct traf_target *target)
{
	const struct rt_service *service = args->service;
	struct pick pick;
	int err;

	pick_init(&pick, traf, service, args->request, args->avoid, tmr_now());
	pick.ask.trust = args->trust;
	err = pick_search_permitted(&pick, traf, args);
	if (err == FWD_ENOENDPOINT && pick.resting > 0)
		err = FWD_ERESTING;
	if (err == 0) {
		target->layered = true;
		target->tokens = pick.ask.prompt + pick.ask.answer / 2;
		pick_add_path(target, &pick);
		pick_set_hops(traf, service, target, pick.path.cost_ms);
	}
	pick_finish(&pick);
	return err;
}

/* Lists the endpoints that must not replace a stage: those of the pipeline and those in avoid. */
static void pick_join_excluded(const struct traf_target *now, const struct traf_target *avoid,
			       struct traf_target *without)
{
	*without = *now;
	for (int i = 0; i < avoid->count && without->count < TRAF_STAGES_MAX; i++)
		without->stages[without->count++] = avoid->stages[i];
}

static bool pick_needs_replacing(const struct traf_target *now, int stage,
				 const struct traf_target *avoid, int64_t now_us)
{
	const struct traf_ep *ep = now->stages[stage].ep;

	return pick_is_avoided(avoid, ep) || !traf_ep_is_healthy(ep, now_us);
}

/* Finds endpoints for the layers of stages bad..next-1 and appends them to the target. */
static int pick_replace(struct pick *pick, struct traf *traf, const struct rt_service *service,
			const struct traf_target *now, int bad, int next,
			struct traf_target *target)
{
	int err;

	pick->ask.from = now->stages[bad].from;
	pick->ask.to = now->stages[next - 1].to;
	pick->ask.zone = traf_zone_number(traf, now->stages[bad - 1].ep->rec->zone);
	err = pick_search(pick, traf, service);
	if (err == 0 && target->count + pick->path.count + now->count - next > TRAF_STAGES_MAX)
		err = FWD_ENOENDPOINT;
	if (err < 0)
		return err;
	pick_add_path(target, pick);
	/* An engine may appear in a pipeline only once. */
	for (int i = 0; i < pick->path.count; i++)
		pick->nodes[pick->path.stages[i].node].usable = false;
	return 0;
}

int traf_pick_repair(struct traf *traf, const struct rt_service *service,
		     const struct seam_request *request, const struct traf_target *now,
		     const struct traf_target *avoid, struct traf_target *target)
{
	struct traf_target without;
	struct pick pick;
	int64_t now_us = tmr_now();
	int err = 0;

	memset(target, 0, sizeof(*target));
	if (pick_is_avoided(avoid, now->stages[0].ep) || now->stages[0].ep->suspect_us > now_us ||
	    rest_is_active(&now->stages[0].ep->rest, now_us))
		return FWD_ENOENDPOINT;
	pick_join_excluded(now, avoid, &without);
	pick_init(&pick, traf, service, request, &without, now_us);
	pick.ask.trust = PA_DOUBTED;
	for (int i = 0; err == 0 && i < now->count;) {
		int next = i;

		while (i > 0 && next < now->count && pick_needs_replacing(now, next, avoid, now_us))
			next++;
		if (next > i)
			err = pick_replace(&pick, traf, service, now, i, next, target);
		else
			target->stages[target->count++] = now->stages[i];
		i = MAX(next, i + 1);
	}
	pick_finish(&pick);
	if (err < 0) {
		memset(target, 0, sizeof(*target));
		return err;
	}
	target->layered = true;
	target->tokens = now->tokens;
	pick_set_hops(traf, service, target, now->hops.cost_ms);
	traf_target_acquire(target);
	return 0;
}

int traf_pick(struct traf *traf, const struct traf_pick_args *args, struct traf_target *target)
{
	int err;

	memset(target, 0, sizeof(*target));
	if (rt_is_layered(args->service))
		err = pick_pipeline(traf, args, target);
	else
		err = pick_plain(traf, args, target);
	if (err == 0)
		traf_target_acquire(target);
	return err;
}
