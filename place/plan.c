#include "place/place_int.h"

#include <string.h>

enum {
	PL_PATH_MAX = 24,  /* stages that a pipeline may have; engines take up to 32 */
	PL_SWEEPS_MAX = 8, /* rounds in which each node is placed anew; few plans improve later */
	/* Nodes from which on there are fewer rounds: 588 take 1.7 ms of a core in two. */
	PL_MANY = 200,
	PL_SWEEPS_MANY = 2,
	PL_BYTES_PER_MB = 1000000
};

/*
 * Part of an endpoint's memory for layers in any case; the rest holds requests. More layers leave
 * an endpoint's share of the requests without memory when another one is lost, or in a surge. Fewer
 * make pipelines longer, so that a lost or slow endpoint touches more of them.
 */
static const double pl_layer_part = 0.67;

/*
 * Where a token takes little memory, layers may have more: all but the memory for so many tokens of
 * context on each layer. With a constant part most of the memory stays empty there.
 */
static const double pl_context_tokens = 90000;

/*
 * By how much common cut points may cost more than free ones. They make pipelines shorter, since a
 * stage is always run whole, and a lost stage is replaced by one other. Where they cost more, some
 * layer has too few holders.
 */
static const double pl_unit_worth = 1.02;

/*
 * Part of all layers that could be held which a unit must use. An endpoint holds whole units, so a
 * unit of 5 leaves one with memory for 9 layers with 5: with endpoints of 8 and 5 layers, streams
 * went through 16 stages where 10 do. Of units that use nearly alike the largest one has the
 * fewest cut points.
 */
static const double pl_unit_use = 0.9;

/* A round that lowers the cost by less than this part is the last one. */
static const double pl_sweep_gain = 0.001;

/* A plan in the making. */
struct pl_draft {
	struct pw_board board;
	const struct pl_node *nodes;
	const int *order;
	int n;
	int unit;
	struct pl_move *ranges; /* by node; from = to: none */
};

/* Layers that the node has memory for, beside that for requests. */
static int pl_layers(const struct rt_engine *engine, const struct pl_node *node)
{
	double token_mb = engine->kv_bytes / PL_BYTES_PER_MB / engine->layers;
	double part = engine->layer_mb / (engine->layer_mb + pl_context_tokens * token_mb);

	if (token_mb <= 0)
		part = 0;
	return (int)(node->memory_mb * MAX(part, pl_layer_part) / engine->layer_mb);
}

/* Layers of the smallest node that is of use at all; 0: there is none. */
static int pl_smallest(const struct rt_engine *engine, const struct pl_node *nodes, int n)
{
	int shortest = (engine->layers + PL_PATH_MAX - 1) / PL_PATH_MAX;
	int smallest = 0;

	for (int i = 0; i < n; i++) {
		int layers = MIN(pl_layers(engine, &nodes[i]), engine->layers);

		if (layers >= shortest && (smallest == 0 || layers < smallest))
			smallest = layers;
	}
	return smallest;
}

/* Layers that all nodes hold together, each a multiple of unit. */
static int64_t pl_use(const struct rt_engine *engine, const struct pl_node *nodes, int n, int unit)
{
	int64_t use = 0;

	for (int i = 0; i < n; i++)
		use += (int64_t)MIN(pl_layers(engine, &nodes[i]), engine->layers) / unit * unit;
	return use;
}

int pl_unit(const struct rt_engine *engine, const struct pl_node *nodes, int n)
{
	int unit = pl_smallest(engine, nodes, n);
	int64_t most = pl_use(engine, nodes, n, 1);

	while (unit > 1 && (double)pl_use(engine, nodes, n, unit) < pl_unit_use * (double)most)
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

/* The greatest divisor of the unit that is not over the limit: a node may be too small for it. */
static int pl_divisor_within(int unit, int limit)
{
	int divisor = MIN(unit, MAX(limit, 1));

	while (unit % divisor > 0)
		divisor--;
	return divisor;
}

/* The last layer is a cut point for any unit. */
int pl_unit_held(const struct rt_engine *engine, const struct pl_node *nodes, int n)
{
	int smallest = pl_smallest(engine, nodes, n);
	int unit = 0;

	for (int i = 0; i < n; i++) {
		if (nodes[i].to == nodes[i].from)
			continue;
		unit = pl_common_divisor(unit, nodes[i].from);
		if (nodes[i].to != engine->layers)
			unit = pl_common_divisor(unit, nodes[i].to);
	}
	if (unit == 0)
		return pl_unit(engine, nodes, n);
	return pl_divisor_within(unit, smallest);
}

static gint pl_larger_first(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const struct pl_node *nodes = ctx;
	const struct pl_node *na = &nodes[*(const int *)a];
	const struct pl_node *nb = &nodes[*(const int *)b];

	if (na->memory_mb != nb->memory_mb)
		return na->memory_mb > nb->memory_mb ? -1 : 1;
	return strcmp(na->id, nb->id);
}

int *pl_order(const struct pl_node *nodes, int n)
{
	int *order = g_new(int, (gsize)n + 1);

	for (int i = 0; i < n; i++)
		order[i] = i;
	g_qsort_with_data(order, n, sizeof(*order), pl_larger_first, (gpointer)nodes);
	return order;
}

int pl_length(const struct rt_engine *engine, const struct pl_node *node, int unit)
{
	int layers = pl_layers(engine, node);

	return MIN(layers, engine->layers + unit - 1) / unit * unit;
}

double pl_best(const struct pw_board *board, const struct pl_node *node, int unit,
	       struct pl_move *move)
{
	int length = pl_length(board->engine, node, unit);
	double gain;

	if (length <= 0)
		return 0;
	gain = pw_best_range(board, move->node, length, unit, &move->from);
	move->to = MIN(move->from + length, board->engine->layers);
	return move->from < 0 ? 0 : gain;
}

static bool pl_is_free(const struct pl_node *node)
{
	return node->usable && node->to == node->from;
}

static void pl_draft_place(struct pl_draft *draft, int node)
{
	struct pl_move *range = &draft->ranges[node];

	pw_remove(&draft->board, node, range->from, range->to);
	range->from = range->to = 0;
	if (pl_best(&draft->board, &draft->nodes[node], draft->unit, range) > 0)
		pw_add(&draft->board, node, range->from, range->to);
}

static void pl_draft_sweep(struct pl_draft *draft)
{
	for (int i = 0; i < draft->n; i++) {
		if (pl_is_free(&draft->nodes[draft->order[i]]))
			pl_draft_place(draft, draft->order[i]);
	}
}

/*
 * Ranges for the nodes that hold nothing: each in turn takes the best one, then each is placed anew
 * beside the others until that gains nothing more.
 */
static void pl_draft_init(struct pl_draft *draft, const struct rt_engine *engine,
			  const struct pl_node *nodes, const int *order, int n, int unit)
{
	int sweeps = n < PL_MANY ? PL_SWEEPS_MAX : PL_SWEEPS_MANY;
	double cost;

	draft->nodes = nodes;
	draft->order = order;
	draft->n = n;
	draft->unit = unit;
	draft->ranges = g_new0(struct pl_move, (gsize)n + 1);
	for (int i = 0; i < n; i++)
		draft->ranges[i].node = i;
	pw_init(&draft->board, engine, nodes, n);
	pl_draft_sweep(draft);
	cost = pw_cost(&draft->board);
	for (int i = 0; i < sweeps; i++) {
		double before = cost;

		pl_draft_sweep(draft);
		cost = pw_cost(&draft->board);
		if (cost > before * (1 - pl_sweep_gain))
			break;
	}
}

static void pl_draft_finish(struct pl_draft *draft)
{
	pw_finish(&draft->board);
	g_free(draft->ranges);
}

static void pl_draft_moves(const struct pl_draft *draft, GArray *moves)
{
	for (int i = 0; i < draft->n; i++) {
		const struct pl_move *range = &draft->ranges[draft->order[i]];

		if (range->to > range->from)
			g_array_append_val(moves, *range);
	}
}

/* Where nothing is held yet, the cut points are a choice. */
static void pl_plan_free(const struct rt_engine *engine, const struct pl_node *nodes,
			 const int *order, int n, GArray *moves)
{
	struct pl_draft common;
	struct pl_draft single;
	bool is_cheap;

	pl_draft_init(&common, engine, nodes, order, n, pl_unit(engine, nodes, n));
	pl_draft_init(&single, engine, nodes, order, n, 1);
	is_cheap = pw_cost(&common.board) <= pw_cost(&single.board) * pl_unit_worth;
	pl_draft_moves(is_cheap ? &common : &single, moves);
	pl_draft_finish(&common);
	pl_draft_finish(&single);
}

static void pl_plan_rest(const struct rt_engine *engine, const struct pl_node *nodes,
			 const int *order, int n, GArray *moves)
{
	struct pl_draft draft;
	int unit = pl_unit_held(engine, nodes, n);

	pl_draft_init(&draft, engine, nodes, order, n, unit);
	pl_draft_moves(&draft, moves);
	if (moves->len == 0)
		pl_rescue(&draft.board, nodes, order, n, unit, moves);
	pl_draft_finish(&draft);
}

void pl_plan(const struct rt_engine *engine, const struct pl_node *nodes, int n, GArray *moves)
{
	bool held = false;
	int *order;

	if (pl_unit(engine, nodes, n) == 0)
		return;
	for (int i = 0; i < n; i++)
		held = held || nodes[i].to > nodes[i].from;
	order = pl_order(nodes, n);
	if (held)
		pl_plan_rest(engine, nodes, order, n, moves);
	else
		pl_plan_free(engine, nodes, order, n, moves);
	g_free(order);
}
