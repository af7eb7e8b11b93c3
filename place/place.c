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

void pl_plan(const struct rt_engine *engine, const struct pl_node *nodes, int n, GArray *moves)
{
	struct pl_board *board = g_new(struct pl_board, 1);
	int *order = g_new(int, (gsize)n + 1);

	pl_board_init(board, engine, nodes, n);
	for (int i = 0; i < n; i++)
		order[i] = i;
	g_qsort_with_data(order, n, sizeof(*order), pl_larger_first, (gpointer)nodes);
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
	figures->tokens_after_loss = figures->tokens_min;
	for (int i = 0; i < n; i++)
		figures->tokens_after_loss =
			MIN(figures->tokens_after_loss, pl_weakest(engine, nodes, n, i));
	g_free(board);
}
