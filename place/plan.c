#include "place/candidate.h"
#include "place/draft.h"

#include <string.h>

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

double pl_best_range(const struct coverage *coverage, const struct pl_node *node,
		     const struct pl_shape *shape, struct pl_move *move)
{
	int length = pl_range_length(shape, node);
	double gain;

	if (length <= 0)
		return 0;
	gain = cov_best_range(coverage, move->node, length, shape->unit, &move->from);
	move->to = MIN(move->from + length, coverage->engine->layers);
	return move->from < 0 ? 0 : gain;
}

/* Plans for the endpoints that hold no layers while others do, at the cut points in use. */
static void pl_plan_unassigned(const struct rt_engine *engine, const struct pl_node *nodes,
			       const int *order, int n, GArray *moves)
{
	struct pl_draft draft;
	struct pl_shape shape;

	pl_shape_in_use(engine, nodes, n, &shape);
	pl_draft_init(&draft, engine, nodes, order, n, &shape);
	pl_draft_append_moves(&draft, moves);
	if (moves->len == 0)
		pl_restore_copies(&draft.coverage, nodes, order, n, &shape, moves);
	pl_draft_finish(&draft);
}

void pl_plan(const struct rt_engine *engine, const struct pl_node *nodes, int n,
	     const struct pl_demand *demand, GArray *moves, struct pl_verdict *verdict)
{
	struct pl_verdict unused;
	struct pl_shape shape;
	bool held = false;
	int *order;

	verdict = verdict ? verdict : &unused;
	memset(verdict, 0, sizeof(*verdict));
	pl_shape_choose(engine, nodes, n, &pl_usual_room, &shape);
	if (shape.unit == 0)
		return;
	for (int i = 0; i < n; i++)
		held = held || nodes[i].to > nodes[i].from;
	order = pl_sort_by_memory(nodes, n);
	if (held)
		pl_plan_unassigned(engine, nodes, order, n, moves);
	else
		pl_choose_plan(engine, nodes, order, n, demand, moves, verdict);
	g_free(order);
}
