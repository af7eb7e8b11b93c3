#include "place/place_int.h"

#include <string.h>

enum {
	PL_COPIES_MIN = 2,    /* copies that every layer should have, so that one may be lost */
	PL_COPIES_TO_MOVE = 3 /* copies that a layer must have for one of them to be moved away */
};

/*
 * A move to the layer with the least memory is planned if that layer has memory for fewer tokens
 * than this part of the median layer. The layer with the least memory bounds the requests in
 * flight: a layer that had lost two of its three copies caused most requests to be refused, while
 * half of the memory at other layers was free.
 */
static const double pl_low_memory_part = 0.5;

/*
 * Factor by which a move must raise the memory of the weakest layer; a smaller gain does not make
 * up for the time in which the endpoint loads layers.
 */
static const double pl_balance_gain_min = 1.3;

/* Returns whether the node holds layers and each of them has enough other copies. */
static bool pl_can_be_moved(const struct coverage *coverage, const struct pl_node *node)
{
	for (int i = node->from; i < node->to; i++) {
		if (coverage->layers[i].holders < PL_COPIES_TO_MOVE)
			return false;
	}
	return node->to > node->from;
}

/* Returns the decrease of the cost if the node holds its best range instead of its present one. */
static double pl_move_gain(struct coverage *coverage, const struct pl_node *node,
			   const struct pl_shape *shape, struct pl_move *move)
{
	double before = cov_cost(coverage);
	double without;
	double gain;

	cov_remove(coverage, move->node, node->from, node->to);
	without = cov_cost(coverage);
	gain = pl_best_range(coverage, node, shape, move);
	cov_add(coverage, move->node, node->from, node->to);
	return before - without + gain;
}

/* Returns whether some layer has fewer copies than it should have. */
static bool pl_lacks_copies(const struct coverage *coverage)
{
	for (int i = 0; i < coverage->layer_count; i++) {
		if (coverage->layers[i].holders < PL_COPIES_MIN)
			return true;
	}
	return false;
}

/*
 * A layer without copies stops every pipeline, even if endpoints of other layers are idle, and a
 * layer with a single copy is one loss away from that.
 */
void pl_restore_copies(struct coverage *coverage, const struct pl_node *nodes, const int *order,
		       int n, const struct pl_shape *shape, GArray *moves)
{
	struct pl_move best = {-1, 0, 0};
	double best_gain = 0;

	if (!pl_lacks_copies(coverage))
		return;
	for (int i = n - 1; i >= 0; i--) {
		const struct pl_node *node = &nodes[order[i]];
		struct pl_move move = {order[i], 0, 0};
		double gain;

		if (!node->usable || !pl_can_be_moved(coverage, node))
			continue;
		gain = pl_move_gain(coverage, node, shape, &move);
		if (gain > best_gain) {
			best_gain = gain;
			best = move;
		}
	}
	if (best.node >= 0)
		g_array_append_val(moves, best);
}

static gint pl_compare_tokens(gconstpointer a, gconstpointer b, gpointer ctx)
{
	double ra = *(const double *)a;
	double rb = *(const double *)b;

	(void)ctx;
	return ra < rb ? -1 : ra > rb;
}

/* Returns the median over all layers of the tokens that a layer has memory for. */
static double pl_median_tokens(const struct coverage *coverage)
{
	double sorted[COV_LAYERS_MAX];

	for (int i = 0; i < coverage->layer_count; i++)
		sorted[i] = coverage->layers[i].tokens;
	g_qsort_with_data(sorted, coverage->layer_count, sizeof(sorted[0]), pl_compare_tokens,
			  NULL);
	return sorted[coverage->layer_count / 2];
}

/* Returns the tokens of the weakest layer if the node, which is not counted, held that range. */
static double pl_tokens_min_with(struct coverage *coverage, const struct pl_move *range)
{
	double least;

	cov_add(coverage, range->node, range->from, range->to);
	least = coverage->layers[cov_weakest_layer(coverage)].tokens;
	cov_remove(coverage, range->node, range->from, range->to);
	return least;
}

/*
 * Finds the range for the node that contains the layer and leaves the weakest layer with the most
 * tokens, and stores it in move. The node gives up its present range. Returns those tokens; 0 if
 * there is no such range.
 */
static double pl_best_range_with(struct coverage *coverage, const struct pl_node *node, int layer,
				 const struct pl_shape *shape, struct pl_move *move)
{
	int length = pl_range_length(shape, node);
	double best = 0;

	cov_remove(coverage, move->node, node->from, node->to);
	for (int from = 0; from <= layer; from += shape->unit) {
		struct pl_move range = {move->node, from,
					MIN(from + length, coverage->layer_count)};
		double least;

		if (range.to <= layer || from + length >= coverage->layer_count + shape->unit)
			continue;
		least = pl_tokens_min_with(coverage, &range);
		if (least > best) {
			best = least;
			*move = range;
		}
	}
	cov_add(coverage, move->node, node->from, node->to);
	return best;
}

/*
 * Finds the smallest endpoint whose move to the weakest layer raises its memory enough. A small
 * endpoint loads its layers in the shortest time, and moving a large one away would weaken the
 * range that it held.
 */
static bool pl_find_balancing_move(struct coverage *coverage, const struct pl_node *nodes,
				   const int *order, int n, const struct pl_shape *shape,
				   struct pl_move *move)
{
	int weakest = cov_weakest_layer(coverage);
	double least = coverage->layers[weakest].tokens * pl_balance_gain_min;

	for (int i = n - 1; i >= 0; i--) {
		const struct pl_node *node = &nodes[order[i]];

		if (!node->usable || node->to == node->from)
			continue;
		move->node = order[i];
		if (pl_best_range_with(coverage, node, weakest, shape, move) > least)
			return true;
	}
	return false;
}

void pl_balance(const struct rt_engine *engine, const struct pl_node *nodes, int n, GArray *moves)
{
	struct pl_move move = {0, 0, 0};
	struct coverage coverage;
	struct pl_shape shape;
	int *order;

	pl_shape_in_use(engine, nodes, n, &shape);
	if (shape.unit == 0)
		return;
	order = pl_sort_by_memory(nodes, n);
	cov_init(&coverage, engine, nodes, n);
	if (coverage.layers[cov_weakest_layer(&coverage)].tokens <
		    pl_low_memory_part * pl_median_tokens(&coverage) &&
	    pl_find_balancing_move(&coverage, nodes, order, n, &shape, &move))
		g_array_append_val(moves, move);
	cov_finish(&coverage);
	g_free(order);
}
