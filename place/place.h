#ifndef PLACE_PLACE_H
#define PLACE_PLACE_H

#include "rt/rt.h"

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * Which layers of a model each of its endpoints should hold. Pure: the same view gives the same
 * plan, so a new placer wants what the last one wanted.
 *
 * How many layers an endpoint holds is a choice: each one more leaves less memory for requests,
 * each one less leaves fewer holders of a layer. What a plan is worth is counted by worth.h; plan.c
 * searches for ranges that are worth most. Where that costs little, ranges begin and end at common
 * cut points, so any holder of a segment can follow any holder of the one before it.
 */
struct pl_node {
	const char *id;
	const char *zone;
	double memory_mb;
	double pace;
	int from; /* layers held now, from..to-1; equal: none */
	int to;
	bool usable;  /* ready, and not busy with an order */
	bool limited; /* it has taken few requests for a while; later stages are not limited */
};

/* One order of the plan. */
struct pl_move {
	int node; /* index of the node */
	int from;
	int to;
};

/* What a plan is worth, for operators and for comparing plans. */
struct pl_figures {
	int copies_min;	 /* endpoints of the layer that has the fewest */
	int zones_whole; /* availability zones that hold every layer by themselves */
	double copies_mean;
	double tokens_min; /* tokens of context that the weakest layer has memory for */
};

/*
 * Appends to moves (struct pl_move) what has to be ordered now. Nodes that hold layers keep them,
 * unless a layer would otherwise have one holder or none.
 */
void pl_plan(const struct rt_engine *engine, const struct pl_node *nodes, int n, GArray *moves);

/*
 * Appends one move if a layer has memory for far fewer tokens than is usual among them and an
 * endpoint elsewhere can be spared for it. Only where nothing else is under way: an endpoint that
 * loads serves nothing meanwhile.
 */
void pl_balance(const struct rt_engine *engine, const struct pl_node *nodes, int n, GArray *moves);

/* Figures of what the nodes hold. */
void pl_measure(const struct rt_engine *engine, const struct pl_node *nodes, int n,
		struct pl_figures *figures);

/* Figures' tokens_min after the loss of the one node that costs most; O(nodes x layers). */
double pl_after_loss(const struct rt_engine *engine, const struct pl_node *nodes, int n);

/* Tokens of context that a node has memory for, over the layers that it holds. */
double pl_token_room(const struct rt_engine *engine, double memory_mb, int layers_held);

G_END_DECLS

#endif
