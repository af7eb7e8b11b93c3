#ifndef PLACE_DRAFT_H
#define PLACE_DRAFT_H

#include "place/place_int.h"

G_BEGIN_DECLS

/*
 * Search for the ranges of the lowest cost (coverage.h) for the nodes that hold no layers, given
 * the unit and the lengths of the ranges.
 */

/* A plan that is being computed. */
struct pl_draft {
	struct coverage coverage;
	const struct pl_node *nodes;
	const int *order;	      /* indices of the nodes, largest memory first */
	int n;			      /* number of nodes */
	const struct pl_shape *shape; /* unit and lengths of the ranges */
	struct pl_move *ranges; /* planned range of each node; from equals to if there is none */
};

/*
 * Plans ranges for the nodes that hold no layers: each node in turn is assigned the best range, and
 * then all are reassigned in rounds until the cost hardly falls. The shape must outlive the draft.
 */
void pl_draft_init(struct pl_draft *draft, const struct rt_engine *engine,
		   const struct pl_node *nodes, const int *order, int n,
		   const struct pl_shape *shape);
void pl_draft_finish(struct pl_draft *draft);

/* Appends the planned ranges (struct pl_move), largest node first. */
void pl_draft_append_moves(const struct pl_draft *draft, GArray *moves);

G_END_DECLS

#endif
