#include "base/rnd.h"
#include "path/path.h"

#include <math.h>
#include <string.h>

/* Time of one hop besides the network's delay: taking over and waiting for the next pass. */
static const double pa_takeover_ms = 0.3;

/* A part of the cost at random, so that hosts that see the same loads do not all choose alike. */
static const double pa_spread = 0.15;

/* Memory in use at which an endpoint begins to look slower than it is; at 1 it has to preempt. */
static const double pa_full_from = 0.6;
static const double pa_full_cost = 8.0;

/* The best way to have run all layers before "at" and to stand in that zone. */
struct pa_exit {
	int at;
	int zone;
	int node; /* that ends there */
};

/* Cost of a node that is not trusted, as a multiple: a path has as few of them as it can. */
static const double pa_untrusted_cost = 30;

struct pa_search {
	const struct rt_engine *engine;
	const struct pa_node *nodes;
	const struct pa_ask *ask;
	pa_delay_fn delay;
	void *ctx;
	uint32_t seed;
	double *layer_ms;    /* by node: cost of one layer there */
	double *best;	     /* by node: of a path that ends with it */
	int *from;	     /* by node: layer at which that path enters it */
	int *before;	     /* by node: the one before it, or -1 */
	int *order;	     /* nodes by the end of their range */
	GArray *exits;	     /* struct pa_exit, by at */
	enum pa_trust trust; /* the least that a node needs */
};

static void pa_search_init(struct pa_search *s, int n)
{
	s->layer_ms = g_new(double, n);
	s->best = g_new(double, n);
	s->from = g_new(int, n);
	s->before = g_new(int, n);
	s->order = g_new(int, n);
	s->exits = g_array_new(FALSE, FALSE, sizeof(struct pa_exit));
}

static void pa_search_finish(struct pa_search *s)
{
	g_free(s->layer_ms);
	g_free(s->best);
	g_free(s->from);
	g_free(s->before);
	g_free(s->order);
	g_array_unref(s->exits);
}

/* Time that one layer adds to a token of this request, reading of the prompt shared out. */
static double pa_layer_ms(struct pa_search *s, const struct pa_node *node)
{
	const struct rt_engine *e = s->engine;
	double n = node->in_flight + 1;
	double tokens = node->tokens + s->ask->prompt;
	double step = e->step_ms + e->step_ms_per_seq * n + e->step_ms_per_kctx * tokens / 1000;
	double read = e->read_per_ms > 0 ? s->ask->prompt / e->read_per_ms : 0;
	double full = MAX(node->room > 0 ? tokens / node->room : 1, node->full);
	double cost = step * node->pace + read * node->read_pace / MAX(s->ask->answer, 1);

	if (full > pa_full_from)
		cost *= 1 + pa_full_cost * (full - pa_full_from);
	if (node->trust != PA_GOOD)
		cost *= pa_untrusted_cost;
	cost *= node->slowness * (1 + pa_spread * rnd_unit(&s->seed));
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

	for (int i = 0; i < n; i++) {
		if (s->nodes[i].usable && s->nodes[i].to > s->nodes[i].from &&
		    s->nodes[i].trust <= s->trust)
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

static bool pa_starts(const struct pa_search *s, const struct pa_node *node)
{
	if (node->closed && s->ask->from == 0)
		return false;
	return node->from <= s->ask->from && s->ask->from < node->to;
}

/* The best way to reach the end of node i: from the start of the model, or after another node. */
static void pa_reach(struct pa_search *s, int i)
{
	const struct pa_node *node = &s->nodes[i];

	s->best[i] = INFINITY;
	s->before[i] = -1;
	if (pa_starts(s, node)) {
		s->best[i] = pa_hop_ms(s, s->ask->zone, node->zone) +
			     s->layer_ms[i] * (pa_end(s, node) - s->ask->from);
		s->from[i] = s->ask->from;
	}
	for (guint k = 0; k < s->exits->len; k++) {
		const struct pa_exit *e = &g_array_index(s->exits, struct pa_exit, k);
		double cost;

		if (e->at < node->from || e->at >= pa_end(s, node))
			continue;
		cost = s->best[e->node] + pa_hop_ms(s, e->zone, node->zone) +
		       s->layer_ms[i] * (pa_end(s, node) - e->at);
		if (cost < s->best[i]) {
			s->best[i] = cost;
			s->from[i] = e->at;
			s->before[i] = e->node;
		}
	}
}

/*
 * What follows a node depends on it by its end and its availability zone only, so of all nodes that
 * end alike the best one is kept. There are few such ends, however many nodes: with all nodes
 * compared to each other, a choice among 3,000 took 10.7 ms of a core instead of 0.5.
 */
static void pa_note_exit(struct pa_search *s, int i)
{
	const struct pa_exit exit = {s->nodes[i].to, s->nodes[i].zone, i};

	if (isinf(s->best[i]))
		return;
	for (guint k = s->exits->len; k > 0; k--) {
		struct pa_exit *e = &g_array_index(s->exits, struct pa_exit, k - 1);

		if (e->at != exit.at)
			break;
		if (e->zone != exit.zone)
			continue;
		if (s->best[i] < s->best[e->node])
			e->node = i;
		return;
	}
	g_array_append_val(s->exits, exit);
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

static int pa_search_run(struct pa_search *s, int n, struct pa_path *path)
{
	const struct pa_node *nodes = s->nodes;
	int count = pa_sort(s, n);
	int last = -1;

	g_array_set_size(s->exits, 0);
	for (int rank = 0; rank < count; rank++) {
		int i = s->order[rank];

		s->layer_ms[i] = pa_layer_ms(s, &nodes[i]);
		pa_reach(s, i);
		pa_note_exit(s, i);
		if (nodes[i].to >= s->ask->to && !isinf(s->best[i]) &&
		    (last < 0 || s->best[i] < s->best[last]))
			last = i;
	}
	return last >= 0 ? pa_unwind(s, last, path) : PA_ENONE;
}

int pa_choose(const struct rt_engine *engine, const struct pa_node *nodes, int n,
	      const struct pa_ask *ask, pa_delay_fn delay, void *ctx, struct pa_path *path)
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
