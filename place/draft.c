#include "place/draft.h"

enum {
	PL_SWEEPS_MAX = 8, /* rounds of reassigning every node; few plans improve after that */
	/* Number of nodes from which fewer rounds are run, to bound the CPU time of a plan. */
	PL_MANY_NODES = 200,
	PL_SWEEPS_MAX_MANY_NODES = 2 /* rounds for many nodes; 1.7 ms of a core for 588 nodes */
};

/* A round that lowers the cost by less than this part of it is the last one. */
static const double pl_sweep_gain_min = 0.001;

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
	if (pl_best_range(&draft->coverage, &draft->nodes[node], draft->shape, range) > 0)
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

void pl_draft_init(struct pl_draft *draft, const struct rt_engine *engine,
		   const struct pl_node *nodes, const int *order, int n,
		   const struct pl_shape *shape)
{
	int sweeps = n < PL_MANY_NODES ? PL_SWEEPS_MAX : PL_SWEEPS_MAX_MANY_NODES;
	double cost;

	draft->nodes = nodes;
	draft->order = order;
	draft->n = n;
	draft->shape = shape;
	draft->ranges = g_new0(struct pl_move, (gsize)n + 1);
	for (int i = 0; i < n; i++)
		draft->ranges[i].node = i;
	cov_init_by(&draft->coverage, engine, nodes, n,
		    shape->by_memory ? COV_BY_TOKENS : COV_BY_STEPS);
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

void pl_draft_finish(struct pl_draft *draft)
{
	cov_finish(&draft->coverage);
	g_free(draft->ranges);
}

void pl_draft_append_moves(const struct pl_draft *draft, GArray *moves)
{
	for (int i = 0; i < draft->n; i++) {
		const struct pl_move *range = &draft->ranges[draft->order[i]];

		if (range->to > range->from)
			g_array_append_val(moves, *range);
	}
}
