#ifndef PLACE_PLACE_INT_H
#define PLACE_PLACE_INT_H

#include "place/coverage.h"

G_BEGIN_DECLS

/*
 * A unit is the number of layers between two common cut points. Returns the unit for a placement
 * from scratch, or 0 if the nodes can't hold the model.
 */
int pl_choose_unit(const struct rt_engine *engine, const struct pl_node *nodes, int n);

/*
 * Returns the unit that divides the ends of all ranges held now, reduced to a divisor for which the
 * smallest node has memory.
 */
int pl_unit_in_use(const struct rt_engine *engine, const struct pl_node *nodes, int n);

/*
 * Returns the length of the longest range that the node can hold, a multiple of unit; 0 if one unit
 * does not fit. It may exceed the layers of the model by a part of a unit.
 */
int pl_range_length(const struct rt_engine *engine, const struct pl_node *node, int unit);

/* Returns the indices of the nodes, largest memory first. Free the array with g_free(). */
int *pl_sort_by_memory(const struct pl_node *nodes, int n);

/*
 * Finds the range that lowers the cost most if the node move->node, which coverage must not count
 * on any layer, holds it, and stores it in move. Returns the decrease of the cost; 0 if no range
 * lowers it.
 */
double pl_best_range(const struct coverage *coverage, const struct pl_node *node, int unit,
		     struct pl_move *move);

/*
 * If some layer has one copy or none, appends the move of one node, all of whose layers have copies
 * to spare, that lowers the cost most.
 */
void pl_restore_copies(struct coverage *coverage, const struct pl_node *nodes, const int *order,
		       int n, int unit, GArray *moves);

G_END_DECLS

#endif
