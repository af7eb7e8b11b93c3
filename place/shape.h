#ifndef PLACE_SHAPE_H
#define PLACE_SHAPE_H

#include "place/place.h"

G_BEGIN_DECLS

/*
 * Shape of a placement: the unit of its cut points, and the length of range that endpoints of each
 * memory size hold. A plan from scratch chooses a shape. Later plans read the shape from the ranges
 * that are held, so that a new placer continues the plan in force.
 */
enum {
	PL_SHAPE_SIZES_MAX = 16 /* memory sizes of endpoints; further ones have no length in use */
};

/* How much of its memory an endpoint keeps for requests. */
struct pl_room {
	double context_tokens; /* tokens of context for which each layer keeps memory */
	double layer_part;     /* least part of the memory that is used for layers */
};

/* Unit of a placement and lengths of its ranges. */
struct pl_shape {
	const struct rt_engine *engine;
	struct pl_room room; /* memory kept by endpoints of sizes without a length in use */
	int unit;	     /* layers between two cut points; 0 if there is no plan */
	bool by_memory;	     /* whether ranges are spread by memory for requests, not by speed */
	int sizes;	     /* number of memory sizes with a length in use */
	double memory_mb[PL_SHAPE_SIZES_MAX]; /* memory sizes, in megabytes */
	int lengths[PL_SHAPE_SIZES_MAX];      /* range in use for each memory size, in layers */
};

/* Memory that plans keep for requests unless another choice bears more load. */
extern const struct pl_room pl_usual_room;

/*
 * Chooses the shape for a placement from scratch. The unit is 0 if the nodes can't hold the model.
 */
void pl_shape_choose(const struct rt_engine *engine, const struct pl_node *nodes, int n,
		     const struct pl_room *room, struct pl_shape *shape);

/* Gives the shape another unit. */
void pl_shape_set_unit(struct pl_shape *shape, int unit);

/*
 * Makes the lengths that follow from the memory kept for requests explicit, for at most
 * PL_SHAPE_SIZES_MAX sizes.
 */
void pl_shape_fix_lengths(struct pl_shape *shape, const struct pl_node *nodes, int n);

/*
 * Reads the shape from the ranges held now: the unit divides the ends of all ranges, and the length
 * for a memory size is the one that most endpoints of this size hold. Sizes of which no endpoint
 * holds a whole range keep the usual memory for requests. Chooses a shape if no range is held.
 */
void pl_shape_in_use(const struct rt_engine *engine, const struct pl_node *nodes, int n,
		     struct pl_shape *shape);

/*
 * Returns the length of range that the node shall hold, a multiple of the unit; 0 if one unit does
 * not fit. It may exceed the layers of the model by a part of a unit.
 */
int pl_range_length(const struct pl_shape *shape, const struct pl_node *node);

G_END_DECLS

#endif
