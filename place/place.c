#include "place/place.h"

#include <math.h>
#include <string.h>

enum {
	PL_PATH_MAX = 24,  /* stages that a pipeline may have; engines take up to 32 */
	PL_ZONES_MAX = 32, /* availability zones of one deployment */
	PL_SEGMENTS_MAX = 256,
	PL_COPIES_MIN = 2,    /* holders that every segment should have, so that one may fail */
	PL_COPIES_TO_GIVE = 4 /* holders that a segment must have for one of them to be moved */
};

/* Part of an endpoint's memory for layers; the rest holds requests. See docs/DESIGN.md,
 * "Placement". */
static const double pl_layer_part = 0.67;

/* Weight of a segment that nobody holds, against one endpoint of pace 1 with few layers. */
static const double pl_empty = 0.02;

/* How much a whole copy in each zone counts against copies anywhere. */
static const double pl_zone_part = 1.0;
static const double pl_all_part = 2.0;

/*
 * A segment is thin below this part of what the middle one has memory for. What every segment has
 * room for bounds the requests in flight; one that lost two of three holders refused most requests
 * while half of the memory elsewhere was free.
 */
static const double pl_thin = 0.5;

/* By how much a move must raise the memory of the thinnest segment; less is not worth a load. */
static const double pl_gain = 1.3;

struct pl_board {
	const struct rt_engine *engine;
	int unit;
	int segments;
	int zones;
	const char *zone_names[PL_ZONES_MAX];
	double weight[PL_ZONES_MAX][PL_SEGMENTS_MAX];
	double all[PL_SEGMENTS_MAX];
	int copies[PL_SEGMENTS_MAX];
};

static int pl_room(const struct rt_engine *engine, const struct pl_node *node, int unit);
static int pl_zone(struct pl_board *board, const char *zone);
static double pl_weight(const struct pl_board *board, const struct pl_node *node, int layers);
static void pl_add(struct pl_board *board, const struct pl_node *node, int from, int to, int sign);
static double pl_potential(const struct pl_board *board, int zone);
static int pl_best_start(struct pl_board *board, const struct pl_node *node, int length);

/* Segments that the node holds at most; 0: none. */
static int pl_room(const struct rt_engine *engine, const struct pl_node *node, int unit)
{
	int layers = (int)(node->memory_mb * pl_layer_part / engine->layer_mb);

	return layers / unit;
}

int pl_unit(const struct rt_engine *engine, const struct pl_node *nodes, int n)
{
	int shortest = (engine->layers + PL_PATH_MAX - 1) / PL_PATH_MAX;
	int unit = engine->layers;
	int segments;

	for (int i = 0; i < n; i++) {
		int layers = (int)(nodes[i].memory_mb * pl_layer_part / engine->layer_mb);

		if (layers >= shortest)
			unit = MIN(unit, layers);
	}
	if (n == 0 || unit <= 0)
		return 0;
	segments = (engine->layers + unit - 1) / unit;
	return (engine->layers + segments - 1) / segments;
}

static int pl_zone(struct pl_board *board, const char *zone)
{
	for (int i = 0; i < board->zones; i++) {
		if (strcmp(board->zone_names[i], zone) == 0)
			return i;
	}
	if (board->zones == PL_ZONES_MAX)
		return 0;
	board->zone_names[board->zones] = zone;
	return board->zones++;
}

/* Passes through the whole model that the node gives, if it holds so many layers. */
static double pl_weight(const struct pl_board *board, const struct pl_node *node, int layers)
{
	return (double)board->engine->layers / layers / MAX(node->pace, 0.01);
}

static void pl_add(struct pl_board *board, const struct pl_node *node, int from, int to, int sign)
{
	int zone = pl_zone(board, node->zone);
	double weight = to > from ? pl_weight(board, node, to - from) * sign : 0;

	for (int s = 0; s < board->segments; s++) {
		int first = s * board->unit;
		int end = MIN(first + board->unit, board->engine->layers);

		if (from > first || to < end)
			continue;
		board->weight[zone][s] += weight;
		board->all[s] += weight;
		board->copies[s] += sign;
	}
}

/* Falls most when what is weakest is strengthened. */
static double pl_potential(const struct pl_board *board, int zone)
{
	double sum = 0;

	for (int s = 0; s < board->segments; s++)
		sum += pl_zone_part / (pl_empty + board->weight[zone][s]) +
		       pl_all_part / (pl_empty + board->all[s]);
	return sum;
}

static int pl_end(const struct pl_board *board, int start, int length)
{
	return MIN((start + length) * board->unit, board->engine->layers);
}

static int pl_best_start(struct pl_board *board, const struct pl_node *node, int length)
{
	int zone = pl_zone(board, node->zone);
	double best_value = INFINITY;
	int best = 0;

	for (int start = 0; start + length <= board->segments; start++) {
		int from = start * board->unit;
		int to = pl_end(board, start, length);
		double value;

		pl_add(board, node, from, to, 1);
		value = pl_potential(board, zone);
		pl_add(board, node, from, to, -1);
		if (value < best_value - 1e-9) {
			best_value = value;
			best = start;
		}
	}
	return best;
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

static void pl_place(struct pl_board *board, const struct pl_node *nodes, int node, int length,
		     GArray *moves)
{
	int start = pl_best_start(board, &nodes[node], length);
	struct pl_move move = {node, start * board->unit, pl_end(board, start, length)};

	pl_add(board, &nodes[node], move.from, move.to, 1);
	g_array_append_val(moves, move);
}

/* Whether every segment that the node holds has holders to spare. */
static bool pl_may_give(const struct pl_board *board, const struct pl_node *node)
{
	bool holds = false;

	for (int s = 0; s < board->segments; s++) {
		int first = s * board->unit;

		if (node->to <= first || node->from >= first + board->unit)
			continue;
		holds = true;
		if (board->copies[s] < PL_COPIES_TO_GIVE)
			return false;
	}
	return holds;
}

/*
 * A segment that lost its holders stops every pipeline, although endpoints are idle elsewhere. One
 * holder that its segment can spare is moved there: the smallest, since its load is the shortest.
 */
static void pl_rescue(struct pl_board *board, const struct pl_node *nodes, int n, const int *order,
		      GArray *moves)
{
	for (int s = 0; s < board->segments; s++) {
		if (board->copies[s] >= PL_COPIES_MIN)
			continue;
		for (int i = n - 1; i >= 0; i--) {
			const struct pl_node *node = &nodes[order[i]];
			struct pl_move move = {order[i], s * board->unit, pl_end(board, s, 1)};

			if (!node->usable || pl_room(board->engine, node, board->unit) < 1 ||
			    !pl_may_give(board, node))
				continue;
			pl_add(board, node, node->from, node->to, -1);
			pl_add(board, node, move.from, move.to, 1);
			g_array_append_val(moves, move);
			return;
		}
	}
}

static void pl_board_init(struct pl_board *board, const struct rt_engine *engine,
			  const struct pl_node *nodes, int n)
{
	memset(board, 0, sizeof(*board));
	board->engine = engine;
	board->unit = pl_unit(engine, nodes, n);
	if (board->unit > 0)
		board->segments =
			MIN((engine->layers + board->unit - 1) / board->unit, (int)PL_SEGMENTS_MAX);
	for (int i = 0; board->segments > 0 && i < n; i++) {
		if (nodes[i].to > nodes[i].from)
			pl_add(board, &nodes[i], nodes[i].from, nodes[i].to, 1);
	}
}

/* The nodes, largest first. */
static int *pl_order(const struct pl_node *nodes, int n)
{
	int *order = g_new(int, (gsize)n + 1);

	for (int i = 0; i < n; i++)
		order[i] = i;
	g_qsort_with_data(order, n, sizeof(*order), pl_larger_first, (gpointer)nodes);
	return order;
}

void pl_plan(const struct rt_engine *engine, const struct pl_node *nodes, int n, GArray *moves)
{
	struct pl_board *board = g_new(struct pl_board, 1);
	int *order = pl_order(nodes, n);

	pl_board_init(board, engine, nodes, n);
	for (int i = 0; board->segments > 0 && i < n; i++) {
		const struct pl_node *node = &nodes[order[i]];
		int length = MIN(pl_room(engine, node, board->unit), board->segments);

		if (node->usable && node->to == node->from && length > 0)
			pl_place(board, nodes, order[i], length, moves);
	}
	if (board->segments > 0 && moves->len == 0)
		pl_rescue(board, nodes, n, order, moves);
	g_free(order);
	g_free(board);
}

/* Tokens of context that each segment has memory for. */
static void pl_add_room(const struct pl_board *board, const struct pl_node *node, int from, int to,
			double sign, double *rooms)
{
	double room = pl_token_room(board->engine, node->memory_mb, to - from) * sign;

	for (int s = 0; s < board->segments; s++) {
		if (from <= s * board->unit && to >= pl_end(board, s, 1))
			rooms[s] += room;
	}
}

static int pl_thinnest(const struct pl_board *board, const double *rooms)
{
	int thinnest = 0;

	for (int s = 1; s < board->segments; s++) {
		if (rooms[s] < rooms[thinnest])
			thinnest = s;
	}
	return thinnest;
}

static gint pl_by_room(gconstpointer a, gconstpointer b, gpointer ctx)
{
	double ra = *(const double *)a;
	double rb = *(const double *)b;

	(void)ctx;
	return ra < rb ? -1 : ra > rb;
}

static double pl_middle(const struct pl_board *board, const double *rooms)
{
	double sorted[PL_SEGMENTS_MAX];

	memcpy(sorted, rooms, sizeof(double) * (size_t)board->segments);
	g_qsort_with_data(sorted, board->segments, sizeof(sorted[0]), pl_by_room, NULL);
	return sorted[board->segments / 2];
}

/* What the thinnest segment would have if the node held that range instead of its own. */
static double pl_least_after(const struct pl_board *board, const struct pl_node *node,
			     const struct pl_move *move, double *rooms)
{
	double least;

	pl_add_room(board, node, node->from, node->to, -1, rooms);
	pl_add_room(board, node, move->from, move->to, 1, rooms);
	least = rooms[pl_thinnest(board, rooms)];
	pl_add_room(board, node, move->from, move->to, -1, rooms);
	pl_add_room(board, node, node->from, node->to, 1, rooms);
	return least;
}

/* The range of that many segments with the thinnest one that raises the least room most. */
static double pl_best_range(const struct pl_board *board, const struct pl_node *node, int thinnest,
			    int length, double *rooms, struct pl_move *move)
{
	double best = 0;

	for (int start = MAX(thinnest - length + 1, 0);
	     start <= MIN(thinnest, board->segments - length); start++) {
		struct pl_move range = {move->node, start * board->unit,
					pl_end(board, start, length)};
		double least = pl_least_after(board, node, &range, rooms);

		if (least > best) {
			best = least;
			*move = range;
		}
	}
	return best;
}

/*
 * The smallest endpoint that helps goes first: it is away for the shortest time, and a large one
 * would leave a hole in the range that it held.
 */
static bool pl_find_helper(const struct pl_board *board, const struct pl_node *nodes, int n,
			   const int *order, double *rooms, struct pl_move *move)
{
	int thinnest = pl_thinnest(board, rooms);
	double least = rooms[thinnest] * pl_gain;

	for (int i = n - 1; i >= 0; i--) {
		const struct pl_node *node = &nodes[order[i]];
		int length = MIN(pl_room(board->engine, node, board->unit), board->segments);

		if (!node->usable || node->to == node->from || length < 1)
			continue;
		move->node = order[i];
		if (pl_best_range(board, node, thinnest, length, rooms, move) > least)
			return true;
	}
	return false;
}

void pl_balance(const struct rt_engine *engine, const struct pl_node *nodes, int n, GArray *moves)
{
	struct pl_board *board = g_new(struct pl_board, 1);
	int *order = pl_order(nodes, n);
	double rooms[PL_SEGMENTS_MAX] = {0};
	struct pl_move move;

	pl_board_init(board, engine, nodes, n);
	for (int i = 0; board->segments > 0 && i < n; i++)
		pl_add_room(board, &nodes[i], nodes[i].from, nodes[i].to, 1, rooms);
	if (board->segments > 0 &&
	    rooms[pl_thinnest(board, rooms)] < pl_thin * pl_middle(board, rooms) &&
	    pl_find_helper(board, nodes, n, order, rooms, &move))
		g_array_append_val(moves, move);
	g_free(order);
	g_free(board);
}

double pl_token_room(const struct rt_engine *engine, double memory_mb, int layers_held)
{
	double free_mb = memory_mb - layers_held * engine->layer_mb;

	if (layers_held <= 0 || engine->kv_bytes <= 0)
		return 0;
	return MAX(free_mb, 0) * 1e6 / (engine->kv_bytes * layers_held / engine->layers);
}

/* Room of the weakest layer, with one node left out (-1: none). */
static double pl_weakest(const struct rt_engine *engine, const struct pl_node *nodes, int n,
			 int without)
{
	double weakest = INFINITY;

	for (int layer = 0; layer < engine->layers; layer++) {
		double room = 0;

		for (int i = 0; i < n; i++) {
			if (i != without && nodes[i].from <= layer && layer < nodes[i].to)
				room += pl_token_room(engine, nodes[i].memory_mb,
						      nodes[i].to - nodes[i].from);
		}
		weakest = MIN(weakest, room);
	}
	return weakest;
}

void pl_measure(const struct rt_engine *engine, const struct pl_node *nodes, int n,
		struct pl_figures *figures)
{
	struct pl_board *board = g_new(struct pl_board, 1);
	int held = 0;

	memset(figures, 0, sizeof(*figures));
	pl_board_init(board, engine, nodes, n);
	figures->unit = board->unit;
	figures->segments = board->segments;
	figures->copies_min = n;
	for (int s = 0; s < board->segments; s++)
		figures->copies_min = MIN(figures->copies_min, board->copies[s]);
	for (int z = 0; z < board->zones; z++) {
		int whole = 1;

		for (int s = 0; s < board->segments; s++)
			whole = whole && board->weight[z][s] > 0;
		figures->zones_whole += whole;
	}
	for (int i = 0; i < n; i++)
		held += nodes[i].to - nodes[i].from;
	figures->copies_mean = engine->layers > 0 ? (double)held / engine->layers : 0;
	figures->tokens_min = pl_weakest(engine, nodes, n, -1);
	g_free(board);
}

double pl_after_loss(const struct rt_engine *engine, const struct pl_node *nodes, int n)
{
	double least = pl_weakest(engine, nodes, n, -1);

	for (int i = 0; i < n; i++)
		least = MIN(least, pl_weakest(engine, nodes, n, i));
	return least;
}
