#include "place/place_int.h"

#include <string.h>

enum {
	PL_STAGES_MAX = 24, /* stages that a pipeline may have; engines accept up to 32 */
	PL_SWEEPS_MAX = 8,  /* rounds of reassigning every node; few plans improve after that */
	/* Number of nodes from which fewer rounds are run, to bound the CPU time of a plan. */
	PL_MANY_NODES = 200,
	PL_SWEEPS_MAX_MANY_NODES = 2, /* rounds for many nodes; 1.7 ms of a core for 588 nodes */
	PL_BYTES_PER_MB = 1000000
};

/*
 * Least part of an endpoint's memory that is used for layers; the rest is for requests. With a
 * larger part, the endpoint has no memory for its share of the requests in a surge or after the
 * loss of another endpoint. With a smaller part, pipelines are longer, so that a lost or slow
 * endpoint affects more of them.
 */
static const double pl_layer_memory_part = 0.67;

/*
 * Tokens of context for which each layer keeps memory. If a token takes little memory, layers may
 * use all of the rest; with a constant part for layers, most of the memory would stay unused.
 */
static const double pl_context_tokens_per_layer = 90000;

/*
 * Largest ratio of the cost with common cut points to the cost with arbitrary ones at which common
 * cut points are used. They make pipelines shorter, since each stage runs all layers of its
 * endpoint, and a lost stage is replaced by a single other endpoint. A higher ratio means that some
 * layer has too few copies.
 */
static const double pl_common_cost_max = 1.02;

/*
 * Least part of the layers that fit into all nodes that must still be held if ranges are multiples
 * of the unit. With a unit of 5, an endpoint with memory for 9 layers holds only 5: with endpoints
 * of 8 and 5 layers, streams passed through 16 stages where 10 suffice. The largest unit that
 * reaches this part is used, because it has the fewest cut points.
 */
static const double pl_unit_use_min = 0.9;

/* A round that lowers the cost by less than this part of it is the last one. */
static const double pl_sweep_gain_min = 0.001;

/* A plan that is being computed. */
struct pl_draft {
	struct coverage coverage;
	const struct pl_node *nodes;
	const int *order;	/* indices of the nodes, largest memory first */
	int n;			/* number of nodes */
	int unit;		/* layers between two cut points */
	struct pl_move *ranges; /* planned range of each node; from equals to if there is none */
};

/* Returns how many layers fit into the node's memory beside the memory for requests. */
static int pl_layer_capacity(const struct rt_engine *engine, const struct pl_node *node)
{
	double token_mb = engine->kv_bytes / PL_BYTES_PER_MB / engine->layers;
	double part =
		engine->layer_mb / (engine->layer_mb + pl_context_tokens_per_layer * token_mb);

	if (token_mb <= 0)
		part = 0;
	return (int)(node->memory_mb * MAX(part, pl_layer_memory_part) / engine->layer_mb);
}

/*
 * Returns how many layers fit into the smallest node that holds enough of them for pipelines of at
 * most PL_STAGES_MAX stages; 0 if there is no such node.
 */
static int pl_smallest_capacity(const struct rt_engine *engine, const struct pl_node *nodes, int n)
{
	int shortest = (engine->layers + PL_STAGES_MAX - 1) / PL_STAGES_MAX;
	int smallest = 0;

	for (int i = 0; i < n; i++) {
		int layers = MIN(pl_layer_capacity(engine, &nodes[i]), engine->layers);

		if (layers >= shortest && (smallest == 0 || layers < smallest))
			smallest = layers;
	}
	return smallest;
}

/* Returns how many layers all nodes can hold together if each holds a multiple of unit. */
static int64_t pl_layers_used(const struct rt_engine *engine, const struct pl_node *nodes, int n,
			      int unit)
{
	int64_t use = 0;

	for (int i = 0; i < n; i++)
		use += (int64_t)MIN(pl_layer_capacity(engine, &nodes[i]), engine->layers) / unit *
		       unit;
	return use;
}

int pl_choose_unit(const struct rt_engine *engine, const struct pl_node *nodes, int n)
{
	int unit = pl_smallest_capacity(engine, nodes, n);
	int64_t most = pl_layers_used(engine, nodes, n, 1);

	while (unit > 1 &&
	       (double)pl_layers_used(engine, nodes, n, unit) < pl_unit_use_min * (double)most)
		unit--;
	return unit;
}

static int pl_common_divisor(int a, int b)
{
	while (b > 0) {
		int rest = a % b;

		a = b;
		b = rest;
	}
	return a;
}

/*
 * Returns the greatest divisor of the unit that does not exceed the limit, so that also a node
 * whose memory is too small for a whole unit can hold a range.
 */
static int pl_divisor_within(int unit, int limit)
{
	int divisor = MIN(unit, MAX(limit, 1));

	while (unit % divisor > 0)
		divisor--;
	return divisor;
}

/* A range may end at the last layer whatever the unit is, so that end is left out. */
int pl_unit_in_use(const struct rt_engine *engine, const struct pl_node *nodes, int n)
{
	int smallest = pl_smallest_capacity(engine, nodes, n);
	int unit = 0;

	for (int i = 0; i < n; i++) {
		if (nodes[i].to == nodes[i].from)
			continue;
		unit = pl_common_divisor(unit, nodes[i].from);
		if (nodes[i].to != engine->layers)
			unit = pl_common_divisor(unit, nodes[i].to);
	}
	if (unit == 0)
		return pl_choose_unit(engine, nodes, n);
	return pl_divisor_within(unit, smallest);
}

static gint pl_compare_memory(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const struct pl_node *nodes = ctx;
	const struct pl_node *na = &nodes[*(const int *)a];
	const struct pl_node *nb = &nodes[*(const int *)b];

	if (na->memory_mb != nb->memory_mb)
		return na->memory_mb > nb->memory_mb ? -1 : 1;
	return strcmp(na->id, nb->id);
}

int *pl_sort_by_memory(const struct pl_node *nodes, int n)
{
	int *order = g_new(int, (gsize)n + 1);

	for (int i = 0; i < n; i++)
		order[i] = i;
	g_qsort_with_data(order, n, sizeof(*order), pl_compare_memory, (gpointer)nodes);
	return order;
}

int pl_range_length(const struct rt_engine *engine, const struct pl_node *node, int unit)
{
	int layers = pl_layer_capacity(engine, node);

	return MIN(layers, engine->layers + unit - 1) / unit * unit;
}

double pl_best_range(const struct coverage *coverage, const struct pl_node *node, int unit,
		     struct pl_move *move)
{
	int length = pl_range_length(coverage->engine, node, unit);
	double gain;

	if (length <= 0)
		return 0;
	gain = cov_best_range(coverage, move->node, length, unit, &move->from);
	move->to = MIN(move->from + length, coverage->engine->layers);
	return move->from < 0 ? 0 : gain;
}

/* Returns whether the node can take an order and holds no layers. */
static bool pl_is_unassigned(const struct pl_node *node)
{
	return node->usable && node->to == node->from;
}

/* Replaces the planned range of the node by the best one beside those of the other nodes. */
static void pl_draft_reassign(struct pl_draft *draft, int node)
{
	struct pl_move *range = &draft->ranges[node];

	cov_remove(&draft->coverage, node, range->from, range->to);
	range->from = range->to = 0;
	if (pl_best_range(&draft->coverage, &draft->nodes[node], draft->unit, range) > 0)
		cov_add(&draft->coverage, node, range->from, range->to);
}

/* Reassigns every node that holds no layers, once. */
static void pl_draft_sweep(struct pl_draft *draft)
{
	for (int i = 0; i < draft->n; i++) {
		if (pl_is_unassigned(&draft->nodes[draft->order[i]]))
			pl_draft_reassign(draft, draft->order[i]);
	}
}

/*
 * Plans ranges for the nodes that hold no layers: each node in turn is assigned the best range, and
 * then all are reassigned in rounds until the cost hardly falls.
 */
static void pl_draft_init(struct pl_draft *draft, const struct rt_engine *engine,
			  const struct pl_node *nodes, const int *order, int n, int unit)
{
	int sweeps = n < PL_MANY_NODES ? PL_SWEEPS_MAX : PL_SWEEPS_MAX_MANY_NODES;
	double cost;

	draft->nodes = nodes;
	draft->order = order;
	draft->n = n;
	draft->unit = unit;
	draft->ranges = g_new0(struct pl_move, (gsize)n + 1);
	for (int i = 0; i < n; i++)
		draft->ranges[i].node = i;
	cov_init(&draft->coverage, engine, nodes, n);
	pl_draft_sweep(draft);
	cost = cov_cost(&draft->coverage);
	for (int i = 0; i < sweeps; i++) {
		double before = cost;

		pl_draft_sweep(draft);
		cost = cov_cost(&draft->coverage);
		if (cost > before * (1 - pl_sweep_gain_min))
			break;
	}
}

static void pl_draft_finish(struct pl_draft *draft)
{
	cov_finish(&draft->coverage);
	g_free(draft->ranges);
}

static void pl_draft_append_moves(const struct pl_draft *draft, GArray *moves)
{
	for (int i = 0; i < draft->n; i++) {
		const struct pl_move *range = &draft->ranges[draft->order[i]];

		if (range->to > range->from)
			g_array_append_val(moves, *range);
	}
}

/*
 * Plans for endpoints none of which holds layers yet. The cut points can be chosen freely, so a
 * draft with common cut points is compared to one with arbitrary ones.
 */
static void pl_plan_initial(const struct rt_engine *engine, const struct pl_node *nodes,
			    const int *order, int n, GArray *moves)
{
	struct pl_draft common;
	struct pl_draft single;
	bool is_common_cheap;

	pl_draft_init(&common, engine, nodes, order, n, pl_choose_unit(engine, nodes, n));
	pl_draft_init(&single, engine, nodes, order, n, 1);
	is_common_cheap =
		cov_cost(&common.coverage) <= cov_cost(&single.coverage) * pl_common_cost_max;
	pl_draft_append_moves(is_common_cheap ? &common : &single, moves);
	pl_draft_finish(&common);
	pl_draft_finish(&single);
}

/* Plans for the endpoints that hold no layers while others do, at the cut points in use. */
static void pl_plan_unassigned(const struct rt_engine *engine, const struct pl_node *nodes,
			       const int *order, int n, GArray *moves)
{
	struct pl_draft draft;
	int unit = pl_unit_in_use(engine, nodes, n);

	pl_draft_init(&draft, engine, nodes, order, n, unit);
	pl_draft_append_moves(&draft, moves);
	if (moves->len == 0)
		pl_restore_copies(&draft.coverage, nodes, order, n, unit, moves);
	pl_draft_finish(&draft);
}

void pl_plan(const struct rt_engine *engine, const struct pl_node *nodes, int n, GArray *moves)
{
	bool held = false;
	int *order;

	if (pl_choose_unit(engine, nodes, n) == 0)
		return;
	for (int i = 0; i < n; i++)
		held = held || nodes[i].to > nodes[i].from;
	order = pl_sort_by_memory(nodes, n);
	if (held)
		pl_plan_unassigned(engine, nodes, order, n, moves);
	else
		pl_plan_initial(engine, nodes, order, n, moves);
	g_free(order);
}
