#include "base/rnd.h"
#include "base/tmr.h"
#include "fwd/fwd.h"
#include "place/place.h"
#include "router/pick_int.h"
#include "router/tf_limit.h"

#include <string.h>

/*
 * Cost of a hop to another availability zone besides the network's delay, in ms a token, when the
 * links between zones would be full if every pipeline crossed once. All share these links, so the
 * cost grows with what is offered to them. At 88 requests/s and 26 Gbit/s, crossings at 3 ms
 * balance the zones (part of the answers' value that is earned in time under faults 0.68, at 11 ms
 * 0.67); at 304 requests/s and 10.4 Gbit/s they fill the links, and 25 ms is right (0.72, at 3 ms
 * 0.64).
 */
static const double pick_full_link_ms = 3.0;

static double pick_cross_ms(struct tf *tf, const struct rt_service *service, double prompt)
{
	const struct rt_engine *engine = &service->engine;
	double rate = bud_rate(tf_budget(tf, service->name), tmr_now()) * tf->view->hosts;
	double transfer_s;

	if (engine->zone_link_mbps <= 0)
		return 0;
	transfer_s = prompt * engine->activation_bytes * 8 / (engine->zone_link_mbps * 1e6);
	return pick_full_link_ms * rate * transfer_s;
}

/* A report counts for so long; they are handed on every 5 s, and when they change. */
static const int64_t pick_load_us = 11000000;

/* Tokens of a prompt and of an answer where neither the caller nor the configuration tells. */
static const double pick_prompt_default = 500;
static const double pick_answer_default = 200;

struct pick_delays {
	struct tf *tf;
	const struct rt_service *service;
};

bool tf_ep_is_good(const struct tf_ep *ep, int64_t now_us)
{
	return ep->listed && ep->rec->state == EP_READY && !ep->leaving && ep->suspect_us <= now_us;
}

/* Suspected ones are used when there is nobody else: a suspicion may be wrong, a refusal is sure.
 */
bool pick_usable(const struct tf_ep *ep, const struct rt_service *service)
{
	return ep->listed && ep->rec->state == EP_READY && !ep->leaving &&
	       strcmp(ep->rec->service, service->name) == 0;
}

enum pa_trust pick_trust(const struct tf_ep *ep, int64_t now_us)
{
	if (ep->suspect_us > now_us)
		return PA_FAULTY;
	return dbt_is_set(&ep->doubt, now_us) ? PA_DOUBTED : PA_GOOD;
}

bool pick_avoided(const struct tf_target *avoid, const struct tf_ep *ep)
{
	for (int i = 0; avoid && i < avoid->count; i++) {
		if (avoid->stages[i].ep == ep)
			return true;
	}
	return false;
}

char *tf_pipeline(const struct tf *tf, const struct tf_target *target)
{
	struct seam_stage stages[TF_STAGES_MAX];

	for (int i = 0; i < target->count; i++) {
		const struct tf_stage *from = &target->stages[i];

		stages[i] = (struct seam_stage){from->ep->rec->addr, from->from, from->to};
	}
	return tf->router->seam->wire.pipeline(stages, target->count);
}

void tf_target_hold(struct tf_target *target)
{
	for (int i = 0; i < target->count; i++) {
		struct tf_ep *ep = target->stages[i].ep;

		ep->refs++;
		ep->in_flight++;
		ep->tokens += target->tokens;
	}
}

void tf_target_clear(struct tf_target *target)
{
	for (int i = 0; i < target->count; i++) {
		struct tf_ep *ep = target->stages[i].ep;

		ep->in_flight--;
		ep->tokens -= target->tokens;
		tf_ep_unref(ep);
	}
	memset(target, 0, sizeof(*target));
}

static double pick_delay(void *ctx, int zone_a, int zone_b)
{
	const struct pick_delays *d = ctx;

	return rt_delay_ms(d->service, d->tf->zone_names->pdata[zone_a - 1],
			   d->tf->zone_names->pdata[zone_b - 1]) +
	       hop_cost_ms(&d->tf->hop, zone_a - 1, zone_b - 1, tmr_now());
}

static double pick_usual_prompt(const struct rt_service *service)
{
	return service->engine.usual_prompt > 0 ? service->engine.usual_prompt
						: pick_prompt_default;
}

static double pick_prompt(const struct rt_service *service, const struct seam_request *request)
{
	return request->prompt > 0 ? request->prompt : pick_usual_prompt(service);
}

static double pick_answer(const struct rt_service *service, const struct seam_request *request)
{
	double answer = request->hint > 0 ? request->hint : request->answer;

	if (answer > 0)
		return answer;
	return service->engine.usual_answer > 0 ? service->engine.usual_answer
						: pick_answer_default;
}

/*
 * How much is in flight at the endpoint: this host's own requests, with the other hosts taken to
 * have as many. Reports a second old, taken for how many requests an engine runs, made all hosts
 * send to the same endpoints at once (part of the answers' value that was earned 0.48 instead of
 * 0.81, with 76 hosts). So of a report only the pace counts, and how full the memory is, where that
 * is more than this host knows of.
 */
static void pick_load(const struct tf *tf, const struct tf_ep *ep, int64_t now_us,
		      struct pa_node *node)
{
	node->in_flight = (double)ep->in_flight * tf->view->hosts;
	node->tokens = ep->tokens * tf->view->hosts;
	if (ep->load_us > 0 && now_us - ep->load_us < pick_load_us)
		node->slowness = MAX(ep->pace, 1);
	if (ep->load_us > 0 && now_us - ep->load_us < pick_load_us)
		node->full = ep->full;
}

static void pick_node(struct tf *tf, const struct rt_service *service, const struct tf_ep *ep,
		      int64_t now_us, struct pa_node *node)
{
	const struct rt_kind *kind = rt_kind_of(service, ep->rec->kind);

	memset(node, 0, sizeof(*node));
	node->zone = tf_zone(tf, ep->rec->zone);
	node->from = ep->rec->layer_from;
	node->to = ep->rec->layer_to;
	node->pace = kind ? kind->pace : 1;
	node->read_pace = kind ? kind->read_pace : 1;
	node->slowness = 1;
	node->usable = true;
	node->room =
		kind ? pl_token_room(&service->engine, kind->memory_mb, node->to - node->from) : 0;
	pick_load(tf, ep, now_us, node);
	node->trust = pick_trust(ep, now_us);
}

void pick_finish(struct pick *pick)
{
	g_free(pick->nodes);
	g_free(pick->eps);
}

void pick_init(struct pick *pick, struct tf *tf, const struct rt_service *service,
	       const struct seam_request *request, const struct tf_target *avoid, int64_t at_us)
{
	guint n = g_hash_table_size(tf->eps);
	GHashTableIter iter;
	gpointer value;
	int64_t now_us = tmr_now();

	memset(pick, 0, sizeof(*pick));
	pick->nodes = g_new0(struct pa_node, n + 1);
	pick->eps = g_new0(struct tf_ep *, n + 1);
	pick->ask.to = service->engine.layers;
	pick->ask.zone = tf_zone(tf, tf->router->settings.zone);
	pick->ask.prompt = pick_prompt(service, request);
	pick->ask.answer = pick_answer(service, request);
	pick->ask.cross_ms = pick_cross_ms(tf, service, pick_usual_prompt(service));
	pick->ask.seed = rnd_step(&tf->seed);
	g_hash_table_iter_init(&iter, tf->eps);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!pick_usable(value, service) || pick_avoided(avoid, value))
			continue;
		if (!rst_is_open(&((struct tf_ep *)value)->rest, at_us)) {
			pick->resting++;
			continue;
		}
		pick->eps[pick->n] = value;
		pick_node(tf, service, value, now_us, &pick->nodes[pick->n++]);
	}
}

int pick_search(struct pick *pick, struct tf *tf, const struct rt_service *service)
{
	struct pick_delays delays = {tf, service};
	int err = pa_choose(&service->engine, pick->nodes, pick->n, &pick->ask, pick_delay, &delays,
			    &pick->path);

	return err == 0 ? 0 : FWD_ENOENDPOINT;
}

void pick_add_stage(struct tf_target *target, struct tf_ep *ep, int from, int to)
{
	const struct tf_stage stage = {ep, from, to};

	target->stages[target->count++] = stage;
}

static void pick_add_path(struct tf_target *target, const struct pick *pick)
{
	for (int i = 0; i < pick->path.count; i++) {
		const struct pa_stage *stage = &pick->path.stages[i];

		pick_add_stage(target, pick->eps[stage->node], stage->from, stage->to);
	}
}

/* The hops between zones of a pipeline, for learning what they cost. */
static void pick_note_hops(struct tf *tf, const struct rt_service *service,
			   struct tf_target *target, double cost_ms)
{
	struct pick_delays delays = {tf, service};

	memset(&target->hops, 0, sizeof(target->hops));
	target->hops.cost_ms = cost_ms;
	for (int i = 1; i < target->count; i++) {
		int from = tf_zone(tf, target->stages[i - 1].ep->rec->zone);
		int to = tf_zone(tf, target->stages[i].ep->rec->zone);

		if (from == to)
			continue;
		target->hops.hops[hop_pair(from - 1, to - 1)]++;
		target->hops.cost_ms -= pick_delay(&delays, from, to);
	}
	target->hops.cost_ms = MAX(target->hops.cost_ms, 1);
}

/* Closes the endpoints whose limits leave no room for a request that begins there. */
static void pick_close(struct pick *pick, struct tf *tf, const char *account)
{
	for (int i = 0; i < pick->n; i++)
		pick->nodes[i].closed = !tf_limit_is_open(tf, pick->eps[i], account);
}

/*
 * The best pipeline whose first endpoint has room for one more. Limits count the requests that
 * hosts send to an endpoint; those that come by way of another one do not count. The search without
 * limits tells which endpoint the request would need a permit for.
 */
static int pick_search_open(struct pick *pick, struct tf *tf, const struct tf_ask *ask)
{
	int err = pick_search(pick, tf, ask->service);
	struct tf_ep *first;

	if (err < 0)
		return err;
	first = pick->eps[pick->path.stages[0].node];
	if (tf_limit_is_open(tf, first, ask->account))
		return 0;
	tf_limit_lacked(tf, first);
	pick_close(pick, tf, ask->account);
	return pick_search(pick, tf, ask->service) < 0 ? FWD_ELIMIT : 0;
}

static int pick_pipeline(struct tf *tf, const struct tf_ask *ask, struct tf_target *target)
{
	const struct rt_service *service = ask->service;
	struct pick pick;
	int err;

	pick_init(&pick, tf, service, ask->request, ask->avoid, tmr_now());
	pick.ask.trust = ask->trust;
	err = pick_search_open(&pick, tf, ask);
	if (err == FWD_ENOENDPOINT && pick.resting > 0)
		err = FWD_ERESTS;
	if (err == 0) {
		target->layered = true;
		target->tokens = pick.ask.prompt + pick.ask.answer / 2;
		pick_add_path(target, &pick);
		pick_note_hops(tf, service, target, pick.path.cost_ms);
	}
	pick_finish(&pick);
	return err;
}

/* Those that the search for replacements must not use: what is avoided, and the pipeline itself. */
static void pick_without(const struct tf_target *now, const struct tf_target *avoid,
			 struct tf_target *without)
{
	*without = *now;
	for (int i = 0; i < avoid->count && without->count < TF_STAGES_MAX; i++)
		without->stages[without->count++] = avoid->stages[i];
}

static bool pick_is_bad(const struct tf_target *now, int stage, const struct tf_target *avoid,
			int64_t now_us)
{
	const struct tf_ep *ep = now->stages[stage].ep;

	return pick_avoided(avoid, ep) || !tf_ep_is_good(ep, now_us);
}

/* Replaces stages bad..next-1. */
static int pick_replace(struct pick *pick, struct tf *tf, const struct rt_service *service,
			const struct tf_target *now, int bad, int next, struct tf_target *target)
{
	int err;

	pick->ask.from = now->stages[bad].from;
	pick->ask.to = now->stages[next - 1].to;
	pick->ask.zone = tf_zone(tf, now->stages[bad - 1].ep->rec->zone);
	err = pick_search(pick, tf, service);
	if (err == 0 && target->count + pick->path.count + now->count - next > TF_STAGES_MAX)
		err = FWD_ENOENDPOINT;
	if (err < 0)
		return err;
	pick_add_path(target, pick);
	/* An engine may stand in a pipeline only once. */
	for (int i = 0; i < pick->path.count; i++)
		pick->nodes[pick->path.stages[i].node].usable = false;
	return 0;
}

int tf_pick_repair(struct tf *tf, const struct rt_service *service,
		   const struct seam_request *request, const struct tf_target *now,
		   const struct tf_target *avoid, struct tf_target *target)
{
	struct tf_target without;
	struct pick pick;
	int64_t now_us = tmr_now();
	int err = 0;

	memset(target, 0, sizeof(*target));
	if (pick_avoided(avoid, now->stages[0].ep) || now->stages[0].ep->suspect_us > now_us ||
	    rst_is_asked(&now->stages[0].ep->rest, now_us))
		return FWD_ENOENDPOINT;
	pick_without(now, avoid, &without);
	pick_init(&pick, tf, service, request, &without, now_us);
	pick.ask.trust = PA_DOUBTED;
	for (int i = 0; err == 0 && i < now->count;) {
		int next = i;

		while (i > 0 && next < now->count && pick_is_bad(now, next, avoid, now_us))
			next++;
		if (next > i)
			err = pick_replace(&pick, tf, service, now, i, next, target);
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
	pick_note_hops(tf, service, target, now->hops.cost_ms);
	tf_target_hold(target);
	return 0;
}

int tf_pick(struct tf *tf, const struct tf_ask *ask, struct tf_target *target)
{
	int err;

	memset(target, 0, sizeof(*target));
	if (rt_is_layered(ask->service))
		err = pick_pipeline(tf, ask, target);
	else
		err = pick_plain(tf, ask, target);
	if (err == 0)
		tf_target_hold(target);
	return err;
}
