#include "place/coverage.h"
#include "place/shape.h"

#include <string.h>

enum {
	PL_STAGES_MAX = 24, /* stages that a pipeline may have; engines accept up to 32 */
	PL_BYTES_PER_MB = 1000000
};

/*
 * With a larger part for layers, an endpoint has no memory for its share of the requests in a surge
 * or after the loss of another endpoint. With a smaller part, pipelines are longer, so that a lost
 * or slow endpoint affects more of them. If a token takes little memory, layers may use all but the
 * memory for the tokens of context; with a constant part, most of the memory would stay unused.
 */
const struct pl_room pl_usual_room = {.context_tokens = 90000, .layer_part = 0.67};

/*
 * Least part of the layers that fit into all nodes that must still be held if ranges are multiples
 * of the unit. With a unit of 5, an endpoint with memory for 9 layers holds only 5: with endpoints
 * of 8 and 5 layers, streams passed through 16 stages where 10 suffice. The largest unit that
 * reaches this part is used, because it has the fewest cut points.
 */
static const double pl_unit_use_min = 0.9;

/* Returns how many layers fit into the node's memory beside the memory for requests. */
static int pl_layer_capacity(const struct rt_engine *engine, const struct pl_room *room,
			     const struct pl_node *node)
{
	double token_mb = engine->kv_bytes / PL_BYTES_PER_MB / engine->layers;
	double part = engine->layer_mb / (engine->layer_mb + room->context_tokens * token_mb);

	if (token_mb <= 0)
		part = 0;
	return (int)(node->memory_mb * MAX(part, room->layer_part) / engine->layer_mb);
}

/*
 * Returns how many layers fit into the smallest node that holds enough of them for pipelines of at
 * most PL_STAGES_MAX stages; 0 if there is no such node.
 */
static int pl_smallest_capacity(const struct rt_engine *engine, const struct pl_room *room,
				const struct pl_node *nodes, int n)
{
	int shortest = (engine->layers + PL_STAGES_MAX - 1) / PL_STAGES_MAX;
	int smallest = 0;

	for (int i = 0; i < n; i++) {
		int layers = MIN(pl_layer_capacity(engine, room, &nodes[i]), engine->layers);

		if (layers >= shortest && (smallest == 0 || layers < smallest))
			smallest = layers;
	}
	return smallest;
}

/* Returns how many layers all nodes can hold together if each holds a multiple of unit. */
static int64_t pl_layers_used(const struct rt_engine *engine, const struct pl_room *room,
			      const struct pl_node *nodes, int n, int unit)
{
	int64_t use = 0;

	for (int i = 0; i < n; i++)
		use += (int64_t)MIN(pl_layer_capacity(engine, room, &nodes[i]), engine->layers) /
		       unit * unit;
	return use;
}

/* Returns the unit for a placement from scratch; 0 if the nodes can't hold the model. */
static int pl_choose_unit(const struct rt_engine *engine, const struct pl_room *room,
			  const struct pl_node *nodes, int n)
{
	int unit = pl_smallest_capacity(engine, room, nodes, n);
	int64_t most = pl_layers_used(engine, room, nodes, n, 1);

	while (unit > 1 && (double)pl_layers_used(engine, room, nodes, n, unit) <
				   pl_unit_use_min * (double)most)
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

/*
 * Returns the greatest divisor of the unit that does not exceed the limit, so that also a node
 * whose memory is too small for a whole unit can hold a range.
 */
static int pl_divisor_within(int unit, int limit)
{
	int divisor = MIN(unit, MAX(limit, 1));

	while (unit % divisor > 0)
		divisor--;
	return divisor;
}

/*
 * Returns the largest unit that divides the ends of all ranges held now; 0 if none is held. A range
 * may end at the last layer whatever the unit is, so that end is left out.
 */
static int pl_held_unit(const struct rt_engine *engine, const struct pl_node *nodes, int n)
{
	int unit = 0;

	for (int i = 0; i < n; i++) {
		if (nodes[i].to == nodes[i].from)
			continue;
		unit = pl_common_divisor(unit, nodes[i].from);
		if (nodes[i].to != engine->layers)
			unit = pl_common_divisor(unit, nodes[i].to);
	}
	return unit;
}

/* Returns the length of the node's range; 0 if it holds none or the last layer may cut it short. */
static int pl_whole_length(const struct rt_engine *engine, const struct pl_node *node)
{
	return node->to < engine->layers ? node->to - node->from : 0;
}

/* Returns the length that most nodes of that memory size hold, the longer one of equals; or 0. */
static int pl_usual_length(const struct rt_engine *engine, const struct pl_node *nodes, int n,
			   double memory_mb)
{
	int counts[COV_LAYERS_MAX + 1] = {0};
	int usual = 0;

	for (int i = 0; i < n; i++) {
		int length = pl_whole_length(engine, &nodes[i]);

		if (nodes[i].memory_mb == memory_mb && length > 0 &&
		    length < (int)G_N_ELEMENTS(counts))
			counts[length]++;
	}
	for (int i = 1; i < (int)G_N_ELEMENTS(counts); i++) {
		if (counts[i] > 0 && counts[i] >= counts[usual])
			usual = i;
	}
	return usual;
}

/* Returns the index of the memory size; -1 if it has no length in use. */
static int pl_shape_find(const struct pl_shape *shape, double memory_mb)
{
	for (int i = 0; i < shape->sizes; i++) {
		if (shape->memory_mb[i] == memory_mb)
			return i;
	}
	return -1;
}

static void pl_shape_read_lengths(struct pl_shape *shape, const struct pl_node *nodes, int n)
{
	for (int i = 0; i < n && shape->sizes < PL_SHAPE_SIZES_MAX; i++) {
		double memory_mb = nodes[i].memory_mb;

		if (pl_whole_length(shape->engine, &nodes[i]) <= 0 ||
		    pl_shape_find(shape, memory_mb) >= 0)
			continue;
		shape->memory_mb[shape->sizes] = memory_mb;
		shape->lengths[shape->sizes++] =
			pl_usual_length(shape->engine, nodes, n, memory_mb);
	}
}

void pl_shape_choose(const struct rt_engine *engine, const struct pl_node *nodes, int n,
		     const struct pl_room *room, struct pl_shape *shape)
{
	memset(shape, 0, sizeof(*shape));
	shape->engine = engine;
	shape->room = *room;
	shape->unit = pl_choose_unit(engine, room, nodes, n);
}

void pl_shape_set_unit(struct pl_shape *shape, int unit)
{
	shape->unit = unit;
}

void pl_shape_fix_lengths(struct pl_shape *shape, const struct pl_node *nodes, int n)
{
	for (int i = 0; i < n && shape->sizes < PL_SHAPE_SIZES_MAX; i++) {
		int length = pl_range_length(shape, &nodes[i]);

		if (pl_shape_find(shape, nodes[i].memory_mb) >= 0)
			continue;
		shape->memory_mb[shape->sizes] = nodes[i].memory_mb;
		shape->lengths[shape->sizes++] = length;
	}
}

void pl_shape_in_use(const struct rt_engine *engine, const struct pl_node *nodes, int n,
		     struct pl_shape *shape)
{
	int unit = pl_held_unit(engine, nodes, n);

	pl_shape_choose(engine, nodes, n, &pl_usual_room, shape);
	if (unit == 0)
		return;
	pl_shape_read_lengths(shape, nodes, n);
	pl_shape_set_unit(
		shape,
		pl_divisor_within(unit, pl_smallest_capacity(engine, &pl_usual_room, nodes, n)));
}

int pl_range_length(const struct pl_shape *shape, const struct pl_node *node)
{
	int size = pl_shape_find(shape, node->memory_mb);
	int layers = size >= 0 ? shape->lengths[size]
			       : pl_layer_capacity(shape->engine, &shape->room, node);

	if (shape->unit <= 0)
		return 0;
	return MIN(layers, shape->engine->layers + shape->unit - 1) / shape->unit * shape->unit;
}
