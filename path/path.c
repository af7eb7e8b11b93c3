#include "path/path.h"

#include <math.h>
#include <string.h>

enum {
	PA_NODES_MAX = 1024
};

/* Time of one hop besides the network's delay: taking over and waiting for the next pass. */
static const double pa_takeover_ms = 0.3;

/* A part of the cost at random, so that hosts that see the same loads do not all choose alike. */
static const double pa_spread = 0.15;

/* Memory in use at which an endpoint begins to look slower than it is; at 1 it has to preempt. */
static const double pa_full_from = 0.6;
static const double pa_full_cost = 8.0;

struct pa_search {
	const struct rt_engine *engine;
	const struct pa_node *nodes;
	const struct pa_ask *ask;
	pa_delay_fn delay;
	void *ctx;
	uint32_t seed;
	double layer_ms[PA_NODES_MAX]; /* cost of one layer at each node */
	double best[PA_NODES_MAX];     /* of a path that ends with the node */
	int from[PA_NODES_MAX];	       /* layer at which that path enters the node */
	int before[PA_NODES_MAX];      /* node before it, or -1 */
	int order[PA_NODES_MAX];       /* nodes by the end of their range */
};

static double pa_random(uint32_t *seed)
{
	*seed = *seed * 1664525U + 1013904223U;
	return (double)(*seed >> 8) / (double)(1U << 24);
}

/* Time that one layer adds to a token of this request, reading of the prompt shared out. */
static double pa_layer_ms(struct pa_search *s, const struct pa_node *node)
{
	const struct rt_engine *e = s->engine;
	double n = node->in_flight + 1;
	double tokens = node->tokens + s->ask->prompt;
	double step = e->step_ms + e->step_ms_per_seq * n + e->step_ms_per_kctx * tokens / 1000;
	double read = e->read_per_ms > 0 ? s->ask->prompt / e->read_per_ms : 0;
	double full = node->room > 0 ? tokens / node->room : 1;
	double cost = step * node->pace + read * node->read_pace / MAX(s->ask->answer, 1);

	if (full > pa_full_from)
		cost *= 1 + pa_full_cost * (full - pa_full_from);
	cost *= node->slowness * (1 + pa_spread * pa_random(&s->seed));
	return cost / e->layers;
}

static double pa_hop_ms(const struct pa_search *s, int from_zone, int to_zone)
{
	double cost = pa_takeover_ms;

	if (from_zone != to_zone)
		cost += s->ask->cross_ms + s->delay(s->ctx, from_zone, to_zone);
	return cost;
}

static gint pa_by_end(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const struct pa_node *nodes = ctx;

	return nodes[*(const int *)a].to - nodes[*(const int *)b].to;
}

static int pa_sort(struct pa_search *s, int n)
{
	int count = 0;

	for (int i = 0; i < n && i < PA_NODES_MAX; i++) {
		if (s->nodes[i].usable && s->nodes[i].to > s->nodes[i].from)
			s->order[count++] = i;
	}
	g_qsort_with_data(s->order, count, sizeof(s->order[0]), pa_by_end, (gpointer)s->nodes);
	return count;
}

/* The layer up to which this request uses the node. */
static int pa_end(const struct pa_search *s, const struct pa_node *node)
{
	return MIN(node->to, s->ask->to);
}

/* The best way to reach the end of node i: from the start of the model, or after another node. */
static void pa_reach(struct pa_search *s, int rank)
{
	int i = s->order[rank];
	const struct pa_node *node = &s->nodes[i];

	s->best[i] = INFINITY;
	s->before[i] = -1;
	if (node->from <= s->ask->from && s->ask->from < node->to) {
		s->best[i] = pa_hop_ms(s, s->ask->zone, node->zone) +
			     s->layer_ms[i] * (pa_end(s, node) - s->ask->from);
		s->from[i] = s->ask->from;
	}
	for (int k = 0; k < rank; k++) {
		int j = s->order[k];
		int at = s->nodes[j].to;
		double cost;

		if (at < node->from || at >= pa_end(s, node) || isinf(s->best[j]))
			continue;
		cost = s->best[j] + pa_hop_ms(s, s->nodes[j].zone, node->zone) +
		       s->layer_ms[i] * (pa_end(s, node) - at);
		if (cost < s->best[i]) {
			s->best[i] = cost;
			s->from[i] = at;
			s->before[i] = j;
		}
	}
}

static int pa_unwind(const struct pa_search *s, int last, struct pa_path *path)
{
	int count = 0;

	for (int i = last; i >= 0; i = s->before[i])
		count++;
	if (count > PA_STAGES_MAX)
		return PA_ENONE;
	path->count = count;
	path->cost_ms = s->best[last];
	for (int i = last; i >= 0; i = s->before[i]) {
		struct pa_stage stage = {i, s->from[i], pa_end(s, &s->nodes[i])};

		path->stages[--count] = stage;
	}
	return 0;
}

int pa_choose(const struct rt_engine *engine, const struct pa_node *nodes, int n,
	      const struct pa_ask *ask, pa_delay_fn delay, void *ctx, struct pa_path *path)
{
	struct pa_search *s = g_new(struct pa_search, 1);
	int last = -1;
	int count;
	int err = PA_ENONE;

	s->engine = engine;
	s->nodes = nodes;
	s->ask = ask;
	s->delay = delay;
	s->ctx = ctx;
	s->seed = ask->seed;
	count = pa_sort(s, n);
	for (int rank = 0; rank < count; rank++) {
		int i = s->order[rank];

		s->layer_ms[i] = pa_layer_ms(s, &nodes[i]);
		pa_reach(s, rank);
		if (nodes[i].to >= ask->to && !isinf(s->best[i]) &&
		    (last < 0 || s->best[i] < s->best[last]))
			last = i;
	}
	if (last >= 0)
		err = pa_unwind(s, last, path);
	g_free(s);
	return err;
}
