#include "pool/flow.h"

#include <string.h>

/*
 * Node i of the caller is split into an "in" vertex 2i and an "out" vertex 2i+1 with its rate
 * between; the last two vertices are source and sink. Augmenting paths are the shortest ones
 * (Edmonds and Karp): pools have few endpoints, so a simple method is enough.
 */
struct flow {
	int vertices;
	int64_t *residual; /* vertices x vertices */
	int64_t *used;	   /* flow on the edge, same shape */
	int *parent;
	int *queue;
};

static int64_t *flow_cell(int64_t *matrix, const struct flow *f, int from, int to);
static bool flow_search(struct flow *f, int source, int sink);
static int64_t flow_augment(struct flow *f, int source, int sink);
static bool flow_take_path(struct flow *f, int source, int sink, struct flow_path *path);

static int64_t *flow_cell(int64_t *matrix, const struct flow *f, int from, int to)
{
	return &matrix[(size_t)from * (size_t)f->vertices + (size_t)to];
}

static bool flow_search(struct flow *f, int source, int sink)
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
			if (f->parent[to] >= 0 || *flow_cell(f->residual, f, from, to) <= 0)
				continue;
			f->parent[to] = from;
			if (to == sink)
				return true;
			f->queue[tail++] = to;
		}
	}
	return false;
}

static int64_t flow_augment(struct flow *f, int source, int sink)
{
	int64_t amount = INT64_MAX;

	for (int v = sink; v != source; v = f->parent[v])
		amount = MIN(amount, *flow_cell(f->residual, f, f->parent[v], v));
	for (int v = sink; v != source; v = f->parent[v]) {
		int from = f->parent[v];
		int64_t *back = flow_cell(f->used, f, v, from);
		int64_t undone = MIN(*back, amount);

		*flow_cell(f->residual, f, from, v) -= amount;
		*flow_cell(f->residual, f, v, from) += amount;
		*back -= undone;
		*flow_cell(f->used, f, from, v) += amount - undone;
	}
	return amount;
}

/* Follows edges that carry flow from source to sink and takes the smallest amount off them. */
static bool flow_take_path(struct flow *f, int source, int sink, struct flow_path *path)
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
			int64_t here = *flow_cell(f->used, f, at, to);

			if (here > 0 && (best < 0 || here > *flow_cell(f->used, f, at, best)))
				best = to;
		}
		if (best < 0)
			return false;
		amount = MIN(amount, *flow_cell(f->used, f, at, best));
		at = best;
		if (at != sink && at % 2 == 0 && path->count < FLOW_STAGES_MAX)
			path->nodes[path->count++] = at / 2;
	}
	if (at != sink)
		return false;
	for (int i = 0; i < count; i++)
		*flow_cell(f->used, f, vertices[i], i + 1 < count ? vertices[i + 1] : sink) -=
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
		*flow_cell(f->residual, f, 2 * i, 2 * i + 1) = nodes[i].rate;
		if (nodes[i].first == 0)
			*flow_cell(f->residual, f, source, 2 * i) = FLOW_UNLIMITED;
		if (nodes[i].last == layers - 1)
			*flow_cell(f->residual, f, 2 * i + 1, sink) = FLOW_UNLIMITED;
		for (int j = 0; j < n; j++) {
			int next = nodes[i].last + 1;

			if (nodes[j].first <= next && nodes[j].last >= next)
				*flow_cell(f->residual, f, 2 * i + 1, 2 * j) = link(ctx, i, j);
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
	f.used = g_new0(int64_t, cells);
	f.parent = g_new0(int, (size_t)f.vertices);
	f.queue = g_new0(int, (size_t)f.vertices);
	flow_build(&f, nodes, n, layers, link, ctx);
	while (flow_search(&f, source, sink))
		total += flow_augment(&f, source, sink);
	while (flow_take_path(&f, source, sink, &path))
		g_array_append_val(paths, path);
	g_free(f.residual);
	g_free(f.used);
	g_free(f.parent);
	g_free(f.queue);
	return total;
}
