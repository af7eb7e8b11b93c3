#ifndef POOL_FLOW_H
#define POOL_FLOW_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Maximum flow of tokens through the endpoints that serve one version of a model, and its
 * decomposition into pipelines. Performs no I/O and keeps no state between calls.
 */
enum {
	FLOW_STAGES_MAX = 16,	   /* maximum number of endpoints in one pipeline */
	FLOW_UNLIMITED = INT32_MAX /* rate of a link without a limit, in tokens a second */
};

/* An endpoint that holds layers first..last and processes rate tokens a second. */
struct flow_node {
	int first;
	int last;
	int64_t rate;
};

/* Returns the rate of the link between two nodes (indices) in tokens a second. */
typedef int64_t (*flow_link_fn)(void *ctx, int from, int to);

/* One pipeline: its nodes (indices) in order, and its share of the flow in tokens a second. */
struct flow_path {
	int nodes[FLOW_STAGES_MAX];
	int count;
	int64_t rate;
};

/*
 * Appends the pipelines (struct flow_path) to paths and returns the maximum flow in tokens a
 * second, the upper bound that the hardware allows. A node in a pipeline runs only those of its
 * layers that follow the last layer of the node before it.
 */
int64_t flow_solve(const struct flow_node *nodes, int n, int layers, flow_link_fn link, void *ctx,
		   GArray *paths);

G_END_DECLS

#endif
