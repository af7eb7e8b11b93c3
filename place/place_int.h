#ifndef PLACE_PLACE_INT_H
#define PLACE_PLACE_INT_H

#include "place/coverage.h"
#include "place/shape.h"

G_BEGIN_DECLS

/* Returns the indices of the nodes, largest memory first. Free the array with g_free(). */
int *pl_sort_by_memory(const struct pl_node *nodes, int n);

/*
 * Finds the range that lowers the cost most if the node move->node, which coverage must not count
 * on any layer, holds it, and stores it in move. Returns the decrease of the cost; 0 if no range
 * lowers it.
 */
double pl_best_range(const struct coverage *coverage, const struct pl_node *node,
		     const struct pl_shape *shape, struct pl_move *move);

/*
 * If some layer has one copy or none, appends the move of one node, all of whose layers have copies
 * to spare, that lowers the cost most.
 */
void pl_restore_copies(struct coverage *coverage, const struct pl_node *nodes, const int *order,
		       int n, const struct pl_shape *shape, GArray *moves);

G_END_DECLS

#endif
