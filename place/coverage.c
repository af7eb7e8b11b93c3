#include "place/coverage.h"

#include <string.h>

/*
 * Added to every speed in the cost, so that the cost stays finite; a part of coverage.total_speed.
 * A layer whose speed is below this costs nearly as much as one that no node holds.
 */
static const double cov_speed_floor = 0.005;

/*
 * Weights in the cost of a layer's speed over all availability zones, and of its speed within one
 * zone. With three zones, the speeds within the zones count most: one copy of the model in each
 * zone costs less than three copies in one zone. A cost computed from the speed that is left after
 * losses placed similar endpoints on the same layers, and the value of answers in time fell from
 * 0.69 to 0.47 on days with failures.
 */
static const double cov_all_weight = 2.0;
static const double cov_zone_weight = 1.0;

/*
 * Part of an endpoint's memory that is left for requests, roughly. It makes the mean speed of a
 * layer about 1, so that cov_speed_floor has the same meaning for both weights.
 */
static const double cov_free_part = 0.3;

/* Returns the index of the zone, which is added if it is new. */
static int cov_zone_index(struct coverage *coverage, const char *zone)
{
	for (int i = 0; i < coverage->zones; i++) {
		if (strcmp(coverage->zone_names[i], zone) == 0)
			return i;
	}
	if (coverage->zones == COV_ZONES_MAX)
		return 0;
	coverage->zone_names[coverage->zones] = zone;
	return coverage->zones++;
}

/* Returns the pace of a node, bounded from below because speeds are divided by it. */
static double cov_pace(const struct pl_node *node)
{
	return MAX(node->pace, 0.01);
}

/* Returns the speed that the node would have if it ran the whole model. */
static double cov_whole_speed(const struct coverage *coverage, const struct pl_node *node)
{
	if (coverage->weight == COV_BY_STEPS)
		return 1 / cov_pace(node);
	return node->memory_mb * cov_free_part * 1e6 / MAX(coverage->engine->kv_bytes, 1);
}

void cov_init(struct coverage *coverage, const struct rt_engine *engine,
	      const struct pl_node *nodes, int n)
{
	cov_init_by(coverage, engine, nodes, n, COV_BY_STEPS);
}

void cov_init_by(struct coverage *coverage, const struct rt_engine *engine,
		 const struct pl_node *nodes, int n, enum cov_weight weight)
{
	memset(coverage, 0, sizeof(*coverage));
	coverage->engine = engine;
	coverage->weight = weight;
	coverage->nodes = nodes;
	coverage->layer_count = MIN(engine->layers, (int)COV_LAYERS_MAX);
	coverage->zone_of = g_new0(int, (gsize)n + 1);
	for (int i = 0; i < n; i++) {
		coverage->zone_of[i] = cov_zone_index(coverage, nodes[i].zone);
		coverage->total_speed += cov_whole_speed(coverage, &nodes[i]);
	}
	coverage->zone_speeds =
		g_new0(double, (gsize)(coverage->zones * coverage->layer_count) + 1);
	for (int i = 0; i < n; i++)
		cov_add(coverage, i, nodes[i].from, nodes[i].to);
}

void cov_finish(struct coverage *coverage)
{
	g_free(coverage->zone_speeds);
	g_free(coverage->zone_of);
}

/* Returns the speed that a node adds to each layer of a range of that length. */
static double cov_speed(const struct coverage *coverage, int node, int length)
{
	if (length <= 0)
		return 0;
	if (coverage->weight == COV_BY_TOKENS)
		return pl_context_capacity(coverage->engine, coverage->nodes[node].memory_mb,
					   length) /
		       coverage->total_speed;
	return (double)coverage->layer_count / length / cov_pace(&coverage->nodes[node]) /
	       coverage->total_speed;
}

static double *cov_zone_speed(const struct coverage *coverage, int node, int layer)
{
	return &coverage->zone_speeds[coverage->zone_of[node] * coverage->layer_count + layer];
}

/*
 * Requests enter the model at its first layer. An endpoint that admits few requests is of no use
 * there, so it is not counted as a holder: a first layer with only such holders would serve almost
 * nothing.
 */
static bool cov_is_unusable(const struct coverage *coverage, int node, int layer)
{
	return layer == 0 && coverage->nodes[node].limited;
}

static void cov_change(struct coverage *coverage, int node, int from, int to, int sign)
{
	double speed = cov_speed(coverage, node, to - from) * sign;
	double tokens =
		pl_context_capacity(coverage->engine, coverage->nodes[node].memory_mb, to - from) *
		sign;

	for (int i = MAX(from, 0); i < MIN(to, coverage->layer_count); i++) {
		if (cov_is_unusable(coverage, node, i))
			continue;
		coverage->layers[i].holders += sign;
		coverage->layers[i].speed += speed;
		coverage->layers[i].tokens += tokens;
		*cov_zone_speed(coverage, node, i) += speed;
	}
}

void cov_add(struct coverage *coverage, int node, int from, int to)
{
	cov_change(coverage, node, from, to, 1);
}

void cov_remove(struct coverage *coverage, int node, int from, int to)
{
	cov_change(coverage, node, from, to, -1);
}

static double cov_all_cost(double speed)
{
	return cov_all_weight / (cov_speed_floor + MAX(speed, 0));
}

static double cov_zone_cost(double speed)
{
	return cov_zone_weight / (cov_speed_floor + MAX(speed, 0));
}

double cov_cost(const struct coverage *coverage)
{
	double cost = 0;

	for (int i = 0; i < coverage->layer_count; i++)
		cost += cov_all_cost(coverage->layers[i].speed);
	for (int i = 0; i < coverage->zones * coverage->layer_count; i++)
		cost += cov_zone_cost(coverage->zone_speeds[i]);
	return cost;
}

int cov_weakest_layer(const struct coverage *coverage)
{
	int weakest = 0;

	for (int i = 1; i < coverage->layer_count; i++) {
		if (coverage->layers[i].tokens < coverage->layers[weakest].tokens)
			weakest = i;
	}
	return weakest;
}

/* Returns the decrease of the cost if the node adds that speed to the layer. */
static double cov_gain(const struct coverage *coverage, int node, int layer, double speed)
{
	double all = coverage->layers[layer].speed;
	double in_zone = *cov_zone_speed(coverage, node, layer);

	return cov_all_cost(all) - cov_all_cost(all + speed) + cov_zone_cost(in_zone) -
	       cov_zone_cost(in_zone + speed);
}

double cov_best_range(const struct coverage *coverage, int node, int length, int unit, int *from)
{
	double speed = cov_speed(coverage, node, length);
	double sums[COV_LAYERS_MAX + 1] = {0}; /* total gain of the layers before each layer */
	double best = 0;

	for (int i = 0; i < coverage->layer_count; i++)
		sums[i + 1] = sums[i] + cov_gain(coverage, node, i, speed);
	*from = -1;
	for (int start = 0; start + length < coverage->layer_count + unit; start += unit) {
		double gain = sums[MIN(start + length, coverage->layer_count)] - sums[start];

		if (gain > best * (1 + 1e-9)) {
			best = gain;
			*from = start;
		}
	}
	return best;
}
