#ifndef PLACE_PLACE_INT_H
#define PLACE_PLACE_INT_H

#include "place/worth.h"

G_BEGIN_DECLS

/* Layers between common cut points, or 0 when the nodes can't hold the model. */
int pl_unit(const struct rt_engine *engine, const struct pl_node *nodes, int n);

/* The unit that the ranges held now keep to, as far as the smallest node has memory for it. */
int pl_unit_held(const struct rt_engine *engine, const struct pl_node *nodes, int n);

/* Layers that the node holds, a multiple of unit; 0: not even one unit. */
int pl_length(const struct rt_engine *engine, const struct pl_node *node, int unit);

/* The nodes, largest first; free with g_free(). */
int *pl_order(const struct pl_node *nodes, int n);

/*
 * The range of a node that is on no layer of the board which lowers the cost most. Returns by how
 * much; 0: there is none.
 */
double pl_best(const struct pw_board *board, const struct pl_node *node, int unit,
	       struct pl_move *move);

/* Moves one node, if it can be spared, to a layer that has one holder or none. */
void pl_rescue(struct pw_board *board, const struct pl_node *nodes, const int *order, int n,
	       int unit, GArray *moves);

G_END_DECLS

#endif
