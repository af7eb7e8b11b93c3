#ifndef PLACE_CANDIDATE_H
#define PLACE_CANDIDATE_H

#include "place/judge.h"
#include "place/place_int.h"

G_BEGIN_DECLS

/*
 * Choice of the shape for a placement from scratch. Shapes that keep more or less memory for
 * requests, with several units, are drafted and judged (judge.h). The best one is used if it is
 * worth clearly more than the usual one.
 */

/*
 * Plans from scratch: chooses a shape, and appends the ranges (struct pl_move) of the nodes. The
 * verdict tells what was chosen. If the deployment declares neither step times nor usual lengths of
 * requests, the usual shape is used.
 */
void pl_choose_plan(const struct rt_engine *engine, const struct pl_node *nodes, const int *order,
		    int n, const struct pl_demand *demand, GArray *moves,
		    struct pl_verdict *verdict);

/* Returns whether the option bears so much more than the usual one that it is used instead. */
bool pl_is_used_instead(const struct pl_option *option, const struct pl_option *usual);

G_END_DECLS

#endif
