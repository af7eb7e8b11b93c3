#include "pool/flow.h"

#include <string.h>

/*
 * Each node i is split into an input vertex 2i and an output vertex 2i+1, joined by an edge with
 * the node's rate as capacity; the last two vertices are source and sink. Flow is augmented along
 * shortest paths (Edmonds and Karp): pools have few endpoints, so a simple method is enough.
 */
struct flow {
	int vertices;
	int64_t *residual; /* residual capacities, a matrix of vertices x vertices */
	int64_t *carried;  /* flow on each edge, a matrix of vertices x vertices */
	int *parent;	   /* predecessor of each vertex in the search; -1 if not reached */
	int *queue;	   /* vertices that the breadth-first search still has to expand */
};

static int64_t *flow_edge(int64_t *matrix, const struct flow *f, int from, int to);
static bool flow_find_path(struct flow *f, int source, int sink);
static int64_t flow_augment(struct flow *f, int source, int sink);
static bool flow_extract_path(struct flow *f, int source, int sink, struct flow_path *path);

static int64_t *flow_edge(int64_t *matrix, const struct flow *f, int from, int to)
{
	return &matrix[(size_t)from * (size_t)f->vertices + (size_t)to];
}

/* Breadth-first search for a path with residual capacity. Returns false if there is none. */
static bool flow_find_path(struct flow *f, int source, int sink)
{
	int head = 0;
	int tail = 0;

	for (int v = 0; v < f->vertices; v++)
		f->parent[v] = -1;
	f->parent[source] = source;
	f->queue[tail++] = source;
	while (head < tail) {
		int from = f->queue[head++];

		for (int to = 0; to < f->vertices; to++) {
			if (f->parent[to] >= 0 || *flow_edge(f->residual, f, from, to) <= 0)
				continue;
			f->parent[to] = from;
			if (to == sink)
				return true;
			f->queue[tail++] = to;
		}
	}
	return false;
}

/* Augments the flow along the path that flow_find_path() left in parent. */
static int64_t flow_augment(struct flow *f, int source, int sink)
{
	int64_t amount = INT64_MAX;

	for (int v = sink; v != source; v = f->parent[v])
		amount = MIN(amount, *flow_edge(f->residual, f, f->parent[v], v));
	for (int v = sink; v != source; v = f->parent[v]) {
		int from = f->parent[v];
		int64_t *reverse = flow_edge(f->carried, f, v, from);
		int64_t cancelled = MIN(*reverse, amount);

		*flow_edge(f->residual, f, from, v) -= amount;
		*flow_edge(f->residual, f, v, from) += amount;
		*reverse -= cancelled;
		*flow_edge(f->carried, f, from, v) += amount - cancelled;
	}
	return amount;
}

/*
 * Follows edges that carry flow from source to sink, always the edge with the most flow, and
 * subtracts the smallest flow found from all of them. Returns false when no flow is left.
 */
static bool flow_extract_path(struct flow *f, int source, int sink, struct flow_path *path)
{
	int vertices[2 * FLOW_STAGES_MAX + 2];
	int count = 0;
	int at = source;
	int64_t amount = INT64_MAX;

	memset(path, 0, sizeof(*path));
	while (at != sink && count < (int)G_N_ELEMENTS(vertices)) {
		int best = -1;

		vertices[count++] = at;
		for (int to = 0; to < f->vertices; to++) {
			int64_t carried_here = *flow_edge(f->carried, f, at, to);

			if (carried_here > 0 &&
			    (best < 0 || carried_here > *flow_edge(f->carried, f, at, best)))
				best = to;
		}
		if (best < 0)
			return false;
		amount = MIN(amount, *flow_edge(f->carried, f, at, best));
		at = best;
		if (at != sink && at % 2 == 0 && path->count < FLOW_STAGES_MAX)
			path->nodes[path->count++] = at / 2;
	}
	if (at != sink)
		return false;
	for (int i = 0; i < count; i++)
		*flow_edge(f->carried, f, vertices[i], i + 1 < count ? vertices[i + 1] : sink) -=
			amount;
	path->rate = amount;
	return true;
}

static void flow_build(struct flow *f, const struct flow_node *nodes, int n, int layers,
		       flow_link_fn link, void *ctx)
{
	int source = 2 * n;
	int sink = 2 * n + 1;

	for (int i = 0; i < n; i++) {
		*flow_edge(f->residual, f, 2 * i, 2 * i + 1) = nodes[i].rate;
		if (nodes[i].first == 0)
			*flow_edge(f->residual, f, source, 2 * i) = FLOW_UNLIMITED;
		if (nodes[i].last == layers - 1)
			*flow_edge(f->residual, f, 2 * i + 1, sink) = FLOW_UNLIMITED;
		for (int j = 0; j < n; j++) {
			int next = nodes[i].last + 1;

			if (nodes[j].first <= next && nodes[j].last >= next)
				*flow_edge(f->residual, f, 2 * i + 1, 2 * j) = link(ctx, i, j);
		}
	}
}

int64_t flow_solve(const struct flow_node *nodes, int n, int layers, flow_link_fn link, void *ctx,
		   GArray *paths)
{
	struct flow f = {.vertices = 2 * n + 2};
	size_t cells = (size_t)f.vertices * (size_t)f.vertices;
	int source = 2 * n;
	int sink = 2 * n + 1;
	int64_t total = 0;
	struct flow_path path;

	f.residual = g_new0(int64_t, cells);
	f.carried = g_new0(int64_t, cells);
	f.parent = g_new0(int, (size_t)f.vertices);
	f.queue = g_new0(int, (size_t)f.vertices);
	flow_build(&f, nodes, n, layers, link, ctx);
	while (flow_find_path(&f, source, sink))
		total += flow_augment(&f, source, sink);
	while (flow_extract_path(&f, source, sink, &path))
		g_array_append_val(paths, path);
	g_free(f.residual);
	g_free(f.carried);
	g_free(f.parent);
	g_free(f.queue);
	return total;
}
