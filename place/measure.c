#include "place/coverage.h"

#include <string.h>

/* Speeds below this are rounding errors of sums from which nodes were removed; counted as 0. */
static const double pl_speed_epsilon = 1e-9;

double pl_context_capacity(const struct rt_engine *engine, double memory_mb, int layers_held)
{
	double free_mb = memory_mb - layers_held * engine->layer_mb;

	if (layers_held <= 0 || engine->kv_bytes <= 0)
		return 0;
	return MAX(free_mb, 0) * 1e6 / (engine->kv_bytes * layers_held / engine->layers);
}

/* Returns whether the endpoints of the zone together hold every layer. */
static bool pl_zone_holds_all_layers(const struct coverage *coverage, int zone)
{
	for (int i = 0; i < coverage->layer_count; i++) {
		if (coverage->zone_speeds[zone * coverage->layer_count + i] < pl_speed_epsilon)
			return false;
	}
	return true;
}

void pl_compute_stats(const struct rt_engine *engine, const struct pl_node *nodes, int n,
		      struct pl_stats *stats)
{
	struct coverage coverage;
	int held = 0;

	memset(stats, 0, sizeof(*stats));
	cov_init(&coverage, engine, nodes, n);
	stats->copies_min = n;
	for (int i = 0; i < coverage.layer_count; i++)
		stats->copies_min = MIN(stats->copies_min, coverage.layers[i].holders);
	for (int z = 0; z < coverage.zones; z++)
		stats->zones_whole += pl_zone_holds_all_layers(&coverage, z);
	for (int i = 0; i < n; i++)
		held += nodes[i].to - nodes[i].from;
	stats->copies_mean = engine->layers > 0 ? (double)held / engine->layers : 0;
	stats->tokens_min = coverage.layers[cov_weakest_layer(&coverage)].tokens;
	cov_finish(&coverage);
}

double pl_tokens_after_worst_loss(const struct rt_engine *engine, const struct pl_node *nodes,
				  int n)
{
	struct coverage coverage;
	double least;

	cov_init(&coverage, engine, nodes, n);
	least = coverage.layers[cov_weakest_layer(&coverage)].tokens;
	for (int i = 0; i < n; i++) {
		cov_remove(&coverage, i, nodes[i].from, nodes[i].to);
		least = MIN(least, coverage.layers[cov_weakest_layer(&coverage)].tokens);
		cov_add(&coverage, i, nodes[i].from, nodes[i].to);
	}
	cov_finish(&coverage);
	return least;
}
