#include "place/place_int.h"

#include <string.h>

enum {
	PL_COPIES_MIN = 2,    /* holders that every layer should have, so that one may fail */
	PL_COPIES_TO_GIVE = 3 /* holders that a layer must have for one of them to be moved */
};

/*
 * A layer is thin below this part of what the middle one has memory for. What every layer has room
 * for bounds the requests in flight; one that lost two of three holders refused most requests while
 * half of the memory elsewhere was free.
 */
static const double pl_thin = 0.5;

/* By how much a move must raise the memory of the thinnest layer; less is not worth a load. */
static const double pl_gain = 1.3;

/* Whether every layer that the node holds has holders to spare. */
static bool pl_may_give(const struct pw_board *board, const struct pl_node *node)
{
	for (int i = node->from; i < node->to; i++) {
		if (board->layers[i].holders < PL_COPIES_TO_GIVE)
			return false;
	}
	return node->to > node->from;
}

/* By how much the cost falls if the node holds its best range instead of its own. */
static double pl_move_gain(struct pw_board *board, const struct pl_node *node, int unit,
			   struct pl_move *move)
{
	double before = pw_cost(board);
	double without;
	double gain;

	pw_remove(board, move->node, node->from, node->to);
	without = pw_cost(board);
	gain = pl_best(board, node, unit, move);
	pw_add(board, move->node, node->from, node->to);
	return before - without + gain;
}

static bool pl_is_needy(const struct pw_board *board)
{
	for (int i = 0; i < board->layer_count; i++) {
		if (board->layers[i].holders < PL_COPIES_MIN)
			return true;
	}
	return false;
}

/*
 * A layer without holders stops every pipeline, although endpoints are idle elsewhere, and one with
 * a single holder is one loss away from that. The holder is moved there that lowers the cost most.
 */
void pl_rescue(struct pw_board *board, const struct pl_node *nodes, const int *order, int n,
	       int unit, GArray *moves)
{
	struct pl_move best = {-1, 0, 0};
	double best_gain = 0;

	if (!pl_is_needy(board))
		return;
	for (int i = n - 1; i >= 0; i--) {
		const struct pl_node *node = &nodes[order[i]];
		struct pl_move move = {order[i], 0, 0};
		double gain;

		if (!node->usable || !pl_may_give(board, node))
			continue;
		gain = pl_move_gain(board, node, unit, &move);
		if (gain > best_gain) {
			best_gain = gain;
			best = move;
		}
	}
	if (best.node >= 0)
		g_array_append_val(moves, best);
}

static gint pl_by_room(gconstpointer a, gconstpointer b, gpointer ctx)
{
	double ra = *(const double *)a;
	double rb = *(const double *)b;

	(void)ctx;
	return ra < rb ? -1 : ra > rb;
}

static double pl_middle(const struct pw_board *board)
{
	double sorted[PW_LAYERS_MAX];

	for (int i = 0; i < board->layer_count; i++)
		sorted[i] = board->layers[i].room;
	g_qsort_with_data(sorted, board->layer_count, sizeof(sorted[0]), pl_by_room, NULL);
	return sorted[board->layer_count / 2];
}

/* What the thinnest layer would have if the node, which is off the board, held that range. */
static double pl_least_with(struct pw_board *board, const struct pl_move *range)
{
	double least;

	pw_add(board, range->node, range->from, range->to);
	least = board->layers[pw_thinnest(board)].room;
	pw_remove(board, range->node, range->from, range->to);
	return least;
}

/* The range with that layer which leaves the thinnest layer most, if the node gives up its own. */
static double pl_best_with(struct pw_board *board, const struct pl_node *node, int layer, int unit,
			   struct pl_move *move)
{
	int length = pl_length(board->engine, node, unit);
	double best = 0;

	pw_remove(board, move->node, node->from, node->to);
	for (int from = 0; from <= layer; from += unit) {
		struct pl_move range = {move->node, from, MIN(from + length, board->layer_count)};
		double least;

		if (range.to <= layer || from + length >= board->layer_count + unit)
			continue;
		least = pl_least_with(board, &range);
		if (least > best) {
			best = least;
			*move = range;
		}
	}
	pw_add(board, move->node, node->from, node->to);
	return best;
}

/*
 * The smallest endpoint that helps goes first: it is away for the shortest time, and a large one
 * would leave a hole in the range that it held.
 */
static bool pl_find_helper(struct pw_board *board, const struct pl_node *nodes, const int *order,
			   int n, int unit, struct pl_move *move)
{
	int thinnest = pw_thinnest(board);
	double least = board->layers[thinnest].room * pl_gain;

	for (int i = n - 1; i >= 0; i--) {
		const struct pl_node *node = &nodes[order[i]];

		if (!node->usable || node->to == node->from)
			continue;
		move->node = order[i];
		if (pl_best_with(board, node, thinnest, unit, move) > least)
			return true;
	}
	return false;
}

void pl_balance(const struct rt_engine *engine, const struct pl_node *nodes, int n, GArray *moves)
{
	int unit = pl_unit_held(engine, nodes, n);
	struct pl_move move = {0, 0, 0};
	struct pw_board board;
	int *order;

	if (unit == 0)
		return;
	order = pl_order(nodes, n);
	pw_init(&board, engine, nodes, n);
	if (board.layers[pw_thinnest(&board)].room < pl_thin * pl_middle(&board) &&
	    pl_find_helper(&board, nodes, order, n, unit, &move))
		g_array_append_val(moves, move);
	pw_finish(&board);
	g_free(order);
}
