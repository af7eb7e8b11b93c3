#ifndef PLACE_COVERAGE_H
#define PLACE_COVERAGE_H

#include "place/place.h"

G_BEGIN_DECLS

/*
 * Coverage of the layers of a model by endpoints, and the cost of a placement. The speed of each
 * layer is counted over all endpoints that hold it and within each availability zone. The weakest
 * layer bounds the throughput of every pipeline, and a zone that is weak at some layer sends
 * requests over the links between zones, which all requests share. The module does no I/O. Nodes
 * are added and removed one by one, so that a search can try ranges for one node at little cost.
 */
enum {
	COV_ZONES_MAX = 32,  /* maximum number of availability zones; others count as the first */
	COV_LAYERS_MAX = 512 /* maximum number of layers; layers beyond it are not placed */
};

/* What the cost counts as the speed of an endpoint. */
enum cov_weight {
	COV_BY_STEPS, /* token steps per unit of time */
	COV_BY_TOKENS /* memory for requests, which bounds how many run at a time */
};

/* Sums over the nodes that hold one layer. */
struct cov_layer {
	int holders;   /* number of nodes that hold the layer */
	double speed;  /* what weight counts, as a part of coverage.total_speed */
	double tokens; /* memory of the holders for requests, in tokens of context */
};

/* Coverage of every layer of one model. */
struct coverage {
	const struct rt_engine *engine;
	const struct pl_node *nodes;
	enum cov_weight weight;
	int layer_count; /* number of layers, at most COV_LAYERS_MAX */
	struct cov_layer layers[COV_LAYERS_MAX];
	int zones;			       /* number of availability zones */
	const char *zone_names[COV_ZONES_MAX]; /* names of the availability zones */
	int *zone_of;			       /* index of each node's availability zone */
	double *zone_speeds; /* speed of layer l in zone z, at [z * layer_count + l] */
	double total_speed;  /* speed of all nodes together if each ran the whole model */
};

/*
 * Counts the layers that the nodes hold now; weight says what counts as speed, and cov_init()
 * counts by steps. The nodes must outlive the coverage.
 */
void cov_init(struct coverage *coverage, const struct rt_engine *engine,
	      const struct pl_node *nodes, int n);
void cov_init_by(struct coverage *coverage, const struct rt_engine *engine,
		 const struct pl_node *nodes, int n, enum cov_weight weight);
void cov_finish(struct coverage *coverage);

/* cov_add() counts the node as a holder of layers from..to-1; cov_remove() reverses that. */
void cov_add(struct coverage *coverage, int node, int from, int to);
void cov_remove(struct coverage *coverage, int node, int from, int to);

/* Returns the cost of the whole placement; a lower cost means higher throughput. */
double cov_cost(const struct coverage *coverage);

/* Returns the layer whose holders have memory for the fewest tokens of context. */
int cov_weakest_layer(const struct coverage *coverage);

/*
 * Finds the range of length layers, beginning at a multiple of unit, that lowers the cost most if
 * the node holds it. Returns the decrease of the cost and stores the first layer of the range in
 * from; -1 if no range lowers the cost.
 */
double cov_best_range(const struct coverage *coverage, int node, int length, int unit, int *from);

G_END_DECLS

#endif
