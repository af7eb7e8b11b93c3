#ifndef PLACE_PLACE_H
#define PLACE_PLACE_H

#include "rt/rt.h"

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * Planner that decides which layers of a model each of its endpoints should hold. It does no I/O
 * and keeps no state: the same input gives the same plan, so a new placer continues the plan of the
 * previous one.
 *
 * An endpoint that holds more layers has less memory for requests; one that holds fewer leaves each
 * layer with fewer copies. coverage.h computes the cost of a placement, and draft.c searches for
 * the ranges of the lowest cost. Unless that raises the cost noticeably, ranges begin and end at
 * common cut points, so that any endpoint of a pipeline stage can follow any endpoint of the stage
 * before.
 */

/* An endpoint as the planner sees it. */
struct pl_node {
	const char *id;	  /* name of the endpoint */
	const char *zone; /* availability zone of the endpoint */
	double memory_mb; /* memory for layers and requests, in megabytes */
	double pace;	  /* time of a token step, as a multiple of the service's step */
	double read_pace; /* time per prompt token, as a multiple of the service's; 0: as pace */
	int from;	  /* first layer held now; equal to "to" if the endpoint holds none */
	int to;		  /* layer after the last one held now */
	bool usable;	  /* whether the endpoint is ready and carries out no order at present */
	/* Whether the endpoint has long limited its requests; not counted for the first layer. */
	bool limited;
};

/* What callers ask of a service, as far as the deployment declares it. */
struct pl_demand {
	int64_t gap_aim_ms; /* shortest target for the pause between two events, in ms; 0: none */
};

/* Order to an endpoint to hold the layers from..to-1. */
struct pl_move {
	int node; /* index of the endpoint in the array of nodes */
	int from; /* first layer to hold */
	int to;	  /* layer after the last one to hold */
};

/* Statistics of a placement, for operators and for comparing plans. */
struct pl_stats {
	int copies_min;	    /* copies of the layer that the fewest endpoints hold */
	int zones_whole;    /* number of availability zones that hold every layer */
	double copies_mean; /* mean number of endpoints that hold a layer */
	double tokens_min;  /* memory for requests at the weakest layer, in tokens of context */
};

/* A placement from scratch that was considered. */
struct pl_option {
	int unit;	   /* layers between two cut points */
	int length_max;	   /* longest range, in layers */
	int length_min;	   /* shortest range, in layers */
	double rate;	   /* requests a second that it bears, in the mean of calm and losses */
	double tokens;	   /* memory at the weakest layers, in tokens of context */
	double tokens_one; /* the same after the worst loss of one endpoint */
	double event_ms;   /* mean time of an event at that rate, in ms */
	double stages;	   /* mean number of stages of a pipeline */
	double worth;	   /* what options are compared by */
};

/* Why a placement from scratch was chosen. */
struct pl_verdict {
	bool judged;		 /* whether a plan was made from scratch and judged */
	int options;		 /* placements besides the usual one that were judged */
	struct pl_option usual;	 /* the one that keeps the usual memory for requests */
	struct pl_option best;	 /* the other one worth most; all 0 if none bears clearly more */
	struct pl_option chosen; /* the one that was chosen: the usual or the best one */
};

/*
 * Appends the moves (struct pl_move) that have to be ordered now. Nodes that hold layers keep them,
 * unless some layer would otherwise have one copy or none. If none holds layers, several
 * plans are judged, and the usual one is used unless another bears clearly more (candidate.h). The
 * verdict, which may be NULL, tells why.
 */
void pl_plan(const struct rt_engine *engine, const struct pl_node *nodes, int n,
	     const struct pl_demand *demand, GArray *moves, struct pl_verdict *verdict);

/*
 * Appends one move if some layer has memory for far fewer tokens than the median layer and an
 * endpoint of other layers can be moved to it. To be called only while no other order is being
 * carried out, because an endpoint serves no requests while it loads layers.
 */
void pl_balance(const struct rt_engine *engine, const struct pl_node *nodes, int n, GArray *moves);

/* Computes the statistics of the layers that the nodes hold now. */
void pl_compute_stats(const struct rt_engine *engine, const struct pl_node *nodes, int n,
		      struct pl_stats *stats);

/*
 * Returns the value of tokens_min (struct pl_stats) after the loss of the one node whose loss
 * lowers it most. Takes O(nodes x layers) time.
 */
double pl_tokens_after_worst_loss(const struct rt_engine *engine, const struct pl_node *nodes,
				  int n);

/* Returns how many tokens of context fit into a node's memory beside the layers that it holds. */
double pl_context_capacity(const struct rt_engine *engine, double memory_mb, int layers_held);

G_END_DECLS

#endif
