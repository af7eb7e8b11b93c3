#ifndef PLACE_WORTH_H
#define PLACE_WORTH_H

#include "place/place.h"

G_BEGIN_DECLS

/*
 * What a placement is worth: how many passes each layer's holders give, in all and within each
 * availability zone. The weakest layer bounds what pipelines through it can serve, and a zone that
 * is weak somewhere sends its requests over the links between zones, which all share. Pure. A board
 * is changed node by node, so a search can try ranges for one node at little cost.
 */
enum {
	PW_ZONES_MAX = 32,  /* availability zones of one deployment */
	PW_LAYERS_MAX = 512 /* layers of a model; more are not placed */
};

struct pw_layer {
	int holders;
	double speed; /* passes, as a part of what all nodes give if each runs the whole model */
	double room;  /* tokens of context that the holders have memory for */
};

struct pw_board {
	const struct rt_engine *engine;
	const struct pl_node *nodes;
	int layer_count;
	struct pw_layer layers[PW_LAYERS_MAX];
	int zones;
	const char *zone_names[PW_ZONES_MAX];
	int *zone_of;	     /* by node */
	double *zone_speeds; /* by zone and layer */
	double all_speed;    /* of all nodes, if each runs the whole model */
};

/* The board shows what the nodes hold. */
void pw_init(struct pw_board *board, const struct rt_engine *engine, const struct pl_node *nodes,
	     int n);
void pw_finish(struct pw_board *board);

/* The node takes or gives up the layers from..to-1. */
void pw_add(struct pw_board *board, int node, int from, int to);
void pw_remove(struct pw_board *board, int node, int from, int to);

/* Cost of the whole placement: the lower, the more it serves. */
double pw_cost(const struct pw_board *board);

/* The layer that has room for the fewest tokens. */
int pw_thinnest(const struct pw_board *board);

/*
 * The range of that many layers, beginning at a multiple of unit, that lowers the cost most if the
 * node takes it. Returns by how much; from is -1 if there is no such range.
 */
double pw_best_range(const struct pw_board *board, int node, int length, int unit, int *from);

G_END_DECLS

#endif
