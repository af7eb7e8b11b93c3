#include "place/worth.h"

#include <string.h>

/* A speed below this is none: what is left of sums after nodes were taken off again. */
static const double pl_speed_none = 1e-9;

double pl_token_room(const struct rt_engine *engine, double memory_mb, int layers_held)
{
	double free_mb = memory_mb - layers_held * engine->layer_mb;

	if (layers_held <= 0 || engine->kv_bytes <= 0)
		return 0;
	return MAX(free_mb, 0) * 1e6 / (engine->kv_bytes * layers_held / engine->layers);
}

static bool pl_is_whole(const struct pw_board *board, int zone)
{
	for (int i = 0; i < board->layer_count; i++) {
		if (board->zone_speeds[zone * board->layer_count + i] < pl_speed_none)
			return false;
	}
	return true;
}

void pl_measure(const struct rt_engine *engine, const struct pl_node *nodes, int n,
		struct pl_figures *figures)
{
	struct pw_board board;
	int held = 0;

	memset(figures, 0, sizeof(*figures));
	pw_init(&board, engine, nodes, n);
	figures->copies_min = n;
	for (int i = 0; i < board.layer_count; i++)
		figures->copies_min = MIN(figures->copies_min, board.layers[i].holders);
	for (int z = 0; z < board.zones; z++)
		figures->zones_whole += pl_is_whole(&board, z);
	for (int i = 0; i < n; i++)
		held += nodes[i].to - nodes[i].from;
	figures->copies_mean = engine->layers > 0 ? (double)held / engine->layers : 0;
	figures->tokens_min = board.layers[pw_thinnest(&board)].room;
	pw_finish(&board);
}

double pl_after_loss(const struct rt_engine *engine, const struct pl_node *nodes, int n)
{
	struct pw_board board;
	double least;

	pw_init(&board, engine, nodes, n);
	least = board.layers[pw_thinnest(&board)].room;
	for (int i = 0; i < n; i++) {
		pw_remove(&board, i, nodes[i].from, nodes[i].to);
		least = MIN(least, board.layers[pw_thinnest(&board)].room);
		pw_add(&board, i, nodes[i].from, nodes[i].to);
	}
	pw_finish(&board);
	return least;
}
