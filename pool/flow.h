#ifndef POOL_FLOW_H
#define POOL_FLOW_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Maximum flow of tokens through the endpoints of one version of a model, and its division into
 * pipelines. Pure.
 */
enum {
	FLOW_STAGES_MAX = 16,
	FLOW_UNLIMITED = INT32_MAX
};

/* An endpoint that holds layers first..last and passes rate tokens a second. */
struct flow_node {
	int first;
	int last;
	int64_t rate;
};

/* Tokens a second that the link from one node to another carries. */
typedef int64_t (*flow_link_fn)(void *ctx, int from, int to);

/* One pipeline: nodes in order, and its part of the flow in tokens a second. */
struct flow_path {
	int nodes[FLOW_STAGES_MAX];
	int count;
	int64_t rate;
};

/*
 * Fills paths (struct flow_path) and returns the whole flow in tokens a second: the bound that the
 * hardware allows. A node runs only those of its layers that come after the node before it.
 */
int64_t flow_solve(const struct flow_node *nodes, int n, int layers, flow_link_fn link, void *ctx,
		   GArray *paths);

G_END_DECLS

#endif
