#include "base/rnd.h"
#include "path/path.h"

#include <math.h>
#include <string.h>

/* Time of one hop besides the network's delay, in ms: handover and wait for the next pass. */
static const double pa_handover_ms = 0.3;

/*
 * Largest random part that is added to the cost of an endpoint, so that hosts with the same view of
 * the load do not all choose the same path.
 */
static const double pa_random_part = 0.15;

/*
 * Part of an endpoint's memory in use from which its cost is raised; at 1 the endpoint has to
 * preempt requests.
 */
static const double pa_memory_pressure_from = 0.6;

/* Increase of the cost factor per part of the memory in use above pa_memory_pressure_from. */
static const double pa_memory_pressure_cost = 8.0;

/* The best partial path that has run all layers before "at" and ends in an availability zone. */
struct pa_partial {
	int at;	  /* layer after the last one that was run */
	int zone; /* number of the availability zone of the last node */
	int node; /* last node of the partial path */
};

/* Factor of the cost of nodes that are not PA_GOOD, so that a path has as few as possible.
 */
static const double pa_untrusted_factor = 30;

struct pa_search {
	const struct rt_engine *engine;
	const struct pa_node *nodes;
	const struct pa_request *ask;
	pa_delay_fn delay;
	void *ctx;
	uint32_t seed;
	double *layer_ms;    /* cost of one layer at each node, in ms */
	double *best;	     /* least cost of a path that ends with each node, in ms */
	int *from;	     /* first layer that each node runs in that path */
	int *before;	     /* node before each node in that path, or -1 */
	int *order;	     /* indices of the candidate nodes, by the end of their range */
	GArray *partials;    /* struct pa_partial, by at */
	enum pa_trust trust; /* least reliable kind of node that this run of the search uses */
};

static void pa_search_init(struct pa_search *s, int n)
{
	s->layer_ms = g_new(double, n);
	s->best = g_new(double, n);
	s->from = g_new(int, n);
	s->before = g_new(int, n);
	s->order = g_new(int, n);
	s->partials = g_array_new(FALSE, FALSE, sizeof(struct pa_partial));
}

static void pa_search_finish(struct pa_search *s)
{
	g_free(s->layer_ms);
	g_free(s->best);
	g_free(s->from);
	g_free(s->before);
	g_free(s->order);
	g_array_unref(s->partials);
}

/*
 * Returns the time in ms that one layer at the node adds to a token of this request. The time of
 * reading the prompt is divided by the tokens of the answer.
 */
static double pa_layer_ms(struct pa_search *s, const struct pa_node *node)
{
	const struct rt_engine *e = s->engine;
	double n = node->in_flight + 1;
	double tokens = node->tokens + s->ask->prompt;
	double step =
		e->step_ms + e->step_ms_per_seq * n + e->step_ms_per_context_ktoken * tokens / 1000;
	double read = e->prompt_tokens_per_ms > 0 ? s->ask->prompt / e->prompt_tokens_per_ms : 0;
	double full = MAX(node->room > 0 ? tokens / node->room : 1, node->full);
	double cost = step * node->pace + read * node->read_pace / MAX(s->ask->answer, 1);

	if (full > pa_memory_pressure_from)
		cost *= 1 + pa_memory_pressure_cost * (full - pa_memory_pressure_from);
	if (node->trust != PA_GOOD)
		cost *= pa_untrusted_factor;
	cost *= node->slowness * (1 + pa_random_part * rnd_uniform(&s->seed));
	return cost / e->layers;
}

/* Returns the time of a hop between two availability zones, or within one, in ms. */
static double pa_hop_ms(const struct pa_search *s, int from_zone, int to_zone)
{
	double cost = pa_handover_ms;

	if (from_zone != to_zone)
		cost += s->ask->cross_zone_ms + s->delay(s->ctx, from_zone, to_zone);
	return cost;
}

static gint pa_compare_ends(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const struct pa_node *nodes = ctx;

	return nodes[*(const int *)a].to - nodes[*(const int *)b].to;
}

/*
 * Fills order with the nodes that this run of the search may use, sorted by the end of their range.
 * Returns their number.
 */
static int pa_sort_candidates(struct pa_search *s, int n)
{
	int count = 0;

	for (int i = 0; i < n; i++) {
		if (s->nodes[i].usable && s->nodes[i].to > s->nodes[i].from &&
		    s->nodes[i].trust <= s->trust)
			s->order[count++] = i;
	}
	g_qsort_with_data(s->order, count, sizeof(s->order[0]), pa_compare_ends,
			  (gpointer)s->nodes);
	return count;
}

/* Returns the layer after the last one that this request runs at the node. */
static int pa_end_layer(const struct pa_search *s, const struct pa_node *node)
{
	return MIN(node->to, s->ask->to);
}

/* Returns whether the node can be the first stage of the request. */
static bool pa_can_start(const struct pa_search *s, const struct pa_node *node)
{
	if (node->closed && s->ask->from == 0)
		return false;
	return node->from <= s->ask->from && s->ask->from < node->to;
}

/* Finds the path of least cost that ends with node i, as a first stage or after another node. */
static void pa_extend(struct pa_search *s, int i)
{
	const struct pa_node *node = &s->nodes[i];

	s->best[i] = INFINITY;
	s->before[i] = -1;
	if (pa_can_start(s, node)) {
		s->best[i] = pa_hop_ms(s, s->ask->zone, node->zone) +
			     s->layer_ms[i] * (pa_end_layer(s, node) - s->ask->from);
		s->from[i] = s->ask->from;
	}
	for (guint k = 0; k < s->partials->len; k++) {
		const struct pa_partial *e = &g_array_index(s->partials, struct pa_partial, k);
		double cost;

		if (e->at < node->from || e->at >= pa_end_layer(s, node))
			continue;
		cost = s->best[e->node] + pa_hop_ms(s, e->zone, node->zone) +
		       s->layer_ms[i] * (pa_end_layer(s, node) - e->at);
		if (cost < s->best[i]) {
			s->best[i] = cost;
			s->from[i] = e->at;
			s->before[i] = e->node;
		}
	}
}

/*
 * Keeps the path that ends with node i if it is the best one for the node's end and availability
 * zone. The cost of the following stages depends only on these two, and there are few combinations
 * of them. Comparing all nodes with each other took 10.7 ms of a core for 3,000 nodes instead of
 * 0.5 ms.
 */
static void pa_keep_partial(struct pa_search *s, int i)
{
	const struct pa_partial partial = {s->nodes[i].to, s->nodes[i].zone, i};

	if (isinf(s->best[i]))
		return;
	for (guint k = s->partials->len; k > 0; k--) {
		struct pa_partial *e = &g_array_index(s->partials, struct pa_partial, k - 1);

		if (e->at != partial.at)
			break;
		if (e->zone != partial.zone)
			continue;
		if (s->best[i] < s->best[e->node])
			e->node = i;
		return;
	}
	g_array_append_val(s->partials, partial);
}

/* Stores the path that ends with the node "last" in path. */
static int pa_build_path(const struct pa_search *s, int last, struct pa_path *path)
{
	int count = 0;

	for (int i = last; i >= 0; i = s->before[i])
		count++;
	if (count > PA_STAGES_MAX)
		return PA_ENONE;
	path->count = count;
	path->cost_ms = s->best[last];
	for (int i = last; i >= 0; i = s->before[i]) {
		struct pa_stage stage = {i, s->from[i], pa_end_layer(s, &s->nodes[i])};

		path->stages[--count] = stage;
	}
	return 0;
}

/* Searches for the path of least cost among the nodes that have at least the trust s->trust. */
static int pa_search_run(struct pa_search *s, int n, struct pa_path *path)
{
	const struct pa_node *nodes = s->nodes;
	int count = pa_sort_candidates(s, n);
	int last = -1;

	g_array_set_size(s->partials, 0);
	for (int rank = 0; rank < count; rank++) {
		int i = s->order[rank];

		s->layer_ms[i] = pa_layer_ms(s, &nodes[i]);
		pa_extend(s, i);
		pa_keep_partial(s, i);
		if (nodes[i].to >= s->ask->to && !isinf(s->best[i]) &&
		    (last < 0 || s->best[i] < s->best[last]))
			last = i;
	}
	return last >= 0 ? pa_build_path(s, last, path) : PA_ENONE;
}

int pa_choose_path(const struct rt_engine *engine, const struct pa_node *nodes, int n,
		   const struct pa_request *ask, pa_delay_fn delay, void *ctx, struct pa_path *path)
{
	struct pa_search s = {.engine = engine,
			      .nodes = nodes,
			      .ask = ask,
			      .delay = delay,
			      .ctx = ctx,
			      .seed = ask->seed};
	int err = PA_ENONE;

	pa_search_init(&s, n);
	for (int trust = PA_GOOD; err < 0 && trust <= (int)ask->trust; trust++) {
		s.trust = trust;
		err = pa_search_run(&s, n, path);
	}
	pa_search_finish(&s);
	return err;
}
