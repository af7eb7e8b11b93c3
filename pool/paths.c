#include "pool/pool_int.h"

#include <string.h>

enum {
	POOL_LINK_PART = 2 /* a link must carry one part in so many of what its ends can do */
};

struct pool_link_ctx {
	const struct pool *pool;
	struct pool_endpoint **endpoints;
};

typedef int (*pool_choose_fn)(struct pool *pool, const char *version, char *const *exclude,
			      struct pool_endpoint **stages);

static int64_t pool_link(void *ctx, int from, int to);
static void pool_paths_of(struct pool *pool, const char *version);
static int pool_choose_flow(struct pool *pool, const char *version, char *const *exclude,
			    struct pool_endpoint **stages);
static int pool_choose_any(struct pool *pool, const char *version, char *const *exclude,
			   struct pool_endpoint **stages);
static int pool_choose_weights(struct pool *pool, const char *version, char *const *exclude,
			       struct pool_endpoint **stages);
static int pool_choose_least(struct pool *pool, const char *version, char *const *exclude,
			     struct pool_endpoint **stages);

static const pool_choose_fn pool_choosers[POOL_POLICY_COUNT] = {
	[POOL_POLICY_FLOW] = pool_choose_flow,
	[POOL_POLICY_WEIGHTS] = pool_choose_weights,
	[POOL_POLICY_LEAST_LOADED] = pool_choose_least,
};

static const char *const pool_policy_names[POOL_POLICY_COUNT] = {
	[POOL_POLICY_FLOW] = "flow",
	[POOL_POLICY_WEIGHTS] = "weights",
	[POOL_POLICY_LEAST_LOADED] = "least-loaded",
};

const char *pool_policy_name(enum pool_policy policy)
{
	return pool_policy_names[policy];
}

bool pool_endpoint_usable(const struct pool_endpoint *endpoint)
{
	return endpoint->declared && !endpoint->draining && !endpoint->leaving && !endpoint->down;
}

bool pool_endpoint_has_room(const struct pool *pool, const struct pool_endpoint *endpoint)
{
	int slots = MAX(endpoint->slots / (int)pool->settings.divisor, 1);

	return pool_endpoint_usable(endpoint) && endpoint->inflight + endpoint->foreign < slots;
}

/* Tokens a second that a declared link carries; one that is not declared sets no limit. */
static int64_t pool_link(void *ctx, int from, int to)
{
	struct pool_link_ctx *link = ctx;
	char *key =
		g_strdup_printf("%s %s", link->endpoints[from]->name, link->endpoints[to]->name);
	int64_t bandwidth = (int64_t)(intptr_t)g_hash_table_lookup(link->pool->links, key);

	g_free(key);
	if (bandwidth == 0)
		return FLOW_UNLIMITED;
	return MAX(bandwidth / link->pool->activation, 1);
}

void pool_paths_clear(struct pool *pool)
{
	g_ptr_array_set_size(pool->paths, 0);
	pool->bound = 0;
}

/* Endpoints of one version that may take work, for one run of the flow. */
static void pool_paths_of(struct pool *pool, const char *version)
{
	GPtrArray *used = g_ptr_array_new();
	GArray *nodes = g_array_new(FALSE, TRUE, sizeof(struct flow_node));
	GArray *paths = g_array_new(FALSE, TRUE, sizeof(struct flow_path));
	struct pool_link_ctx link = {pool, NULL};

	for (guint i = 0; i < pool->endpoints->len; i++) {
		struct pool_endpoint *endpoint = pool->endpoints->pdata[i];
		struct flow_node node = {endpoint->first, endpoint->last, endpoint->rate};

		if (!pool_endpoint_usable(endpoint) || strcmp(endpoint->version, version) != 0)
			continue;
		g_ptr_array_add(used, endpoint);
		g_array_append_val(nodes, node);
	}
	link.endpoints = (struct pool_endpoint **)used->pdata;
	pool->bound += flow_solve((struct flow_node *)(void *)nodes->data, (int)nodes->len,
				  pool->layers, pool_link, &link, paths);
	for (guint i = 0; i < paths->len; i++) {
		struct pool_path *path = g_new0(struct pool_path, 1);

		path->flow = g_array_index(paths, struct flow_path, i);
		for (int s = 0; s < path->flow.count; s++)
			path->stages[s] = used->pdata[path->flow.nodes[s]];
		path->version = path->stages[0]->version;
		g_ptr_array_add(pool->paths, path);
	}
	g_array_free(paths, TRUE);
	g_array_free(nodes, TRUE);
	g_ptr_array_free(used, TRUE);
}

void pool_paths_build(struct pool *pool)
{
	GHashTable *versions = g_hash_table_new(g_str_hash, g_str_equal);

	pool_paths_clear(pool);
	for (guint i = 0; i < pool->endpoints->len; i++) {
		struct pool_endpoint *endpoint = pool->endpoints->pdata[i];

		if (endpoint->declared && g_hash_table_add(versions, endpoint->version))
			pool_paths_of(pool, endpoint->version);
	}
	g_hash_table_destroy(versions);
}

bool pool_paths_exist(const struct pool *pool, const char *version)
{
	for (guint i = 0; i < pool->paths->len; i++) {
		const struct pool_path *path = pool->paths->pdata[i];

		if (strcmp(path->version, version) == 0)
			return true;
	}
	return false;
}

static bool pool_is_excluded(const struct pool_endpoint *endpoint, char *const *exclude)
{
	for (char *const *name = exclude; name && *name; name++) {
		if (strcmp(*name, endpoint->name) == 0)
			return true;
	}
	return false;
}

static bool pool_path_fits(const struct pool *pool, const struct pool_path *path,
			   const char *version, char *const *exclude)
{
	if (strcmp(path->version, version) != 0)
		return false;
	for (int s = 0; s < path->flow.count; s++) {
		if (!pool_endpoint_has_room(pool, path->stages[s]))
			return false;
		if (pool_is_excluded(path->stages[s], exclude))
			return false;
	}
	return true;
}

/* How full the endpoint would be with one request more, in parts of what it can take. */
static double pool_endpoint_load(const struct pool_endpoint *endpoint)
{
	return (double)(endpoint->inflight + endpoint->foreign + 1) / MAX(endpoint->slots, 1);
}

/* How full the path would be: the fullest of its stages. */
static double pool_path_load(const struct pool_path *path)
{
	double worst = 0;

	for (int s = 0; s < path->flow.count; s++)
		worst = MAX(worst, pool_endpoint_load(path->stages[s]));
	return worst + (double)(path->inflight + 1) / (double)MAX(path->flow.rate, 1);
}

static int pool_take_path(struct pool_path *path, struct pool_endpoint **stages)
{
	for (int s = 0; s < path->flow.count; s++)
		stages[s] = path->stages[s];
	return path->flow.count;
}

static int pool_choose_flow(struct pool *pool, const char *version, char *const *exclude,
			    struct pool_endpoint **stages)
{
	struct pool_path *best = NULL;

	for (guint i = 0; i < pool->paths->len; i++) {
		struct pool_path *path = pool->paths->pdata[i];

		if (!pool_path_fits(pool, path, version, exclude))
			continue;
		if (!best || pool_path_load(path) < pool_path_load(best))
			best = path;
	}
	if (best)
		return pool_take_path(best, stages);
	return pool_choose_any(pool, version, exclude, stages);
}

static bool pool_link_carries(struct pool *pool, struct pool_endpoint *from,
			      struct pool_endpoint *to)
{
	struct pool_endpoint *ends[] = {from, to};
	struct pool_link_ctx link = {pool, ends};

	return pool_link(&link, 0, 1) >= MIN(from->rate, to->rate) / POOL_LINK_PART;
}

/*
 * The flow's paths are one way to reach the bound, not all ways through the pool. When work in
 * flight sits askew on them (after an endpoint came back, say), each of them can be full while
 * others have room, and requests would wait before idle endpoints. So any stages with room will do,
 * if the link between them is not far too slow for them.
 */
static int pool_choose_any(struct pool *pool, const char *version, char *const *exclude,
			   struct pool_endpoint **stages)
{
	int next = 0;
	int count = 0;

	while (next < pool->layers && count < FLOW_STAGES_MAX) {
		struct pool_endpoint *best = NULL;

		for (guint i = 0; i < pool->endpoints->len; i++) {
			struct pool_endpoint *e = pool->endpoints->pdata[i];

			if (strcmp(e->version, version) != 0 || e->first > next || e->last < next)
				continue;
			if (!pool_endpoint_has_room(pool, e) || pool_is_excluded(e, exclude))
				continue;
			if (count > 0 && !pool_link_carries(pool, stages[count - 1], e))
				continue;
			if (!best || pool_endpoint_load(e) < pool_endpoint_load(best))
				best = e;
		}
		if (!best)
			return 0;
		stages[count++] = best;
		next = best->last + 1;
	}
	return next >= pool->layers ? count : 0;
}

static int pool_choose_weights(struct pool *pool, const char *version, char *const *exclude,
			       struct pool_endpoint **stages)
{
	struct pool_path *best = NULL;
	int64_t total = 0;

	for (guint i = 0; i < pool->paths->len; i++) {
		struct pool_path *path = pool->paths->pdata[i];

		if (!pool_path_fits(pool, path, version, exclude))
			continue;
		path->current += path->flow.rate;
		total += path->flow.rate;
		if (!best || path->current > best->current)
			best = path;
	}
	if (!best)
		return 0;
	best->current -= total;
	return pool_take_path(best, stages);
}

/* Stage by stage, the endpoint that the last reports show as least loaded. Kept for comparison. */
static int pool_choose_least(struct pool *pool, const char *version, char *const *exclude,
			     struct pool_endpoint **stages)
{
	int next = 0;
	int count = 0;

	while (next < pool->layers && count < FLOW_STAGES_MAX) {
		struct pool_endpoint *best = NULL;

		for (guint i = 0; i < pool->endpoints->len; i++) {
			struct pool_endpoint *e = pool->endpoints->pdata[i];

			if (strcmp(e->version, version) != 0 || e->first > next || e->last < next)
				continue;
			if (!pool_endpoint_has_room(pool, e) || pool_is_excluded(e, exclude))
				continue;
			if (!best || e->reported < best->reported)
				best = e;
		}
		if (!best)
			return 0;
		stages[count++] = best;
		next = best->last + 1;
	}
	return next >= pool->layers ? count : 0;
}

/*
 * After a stall nobody knows which stage is at fault, so all of them are excluded; in a small pool
 * that may leave nothing, and then the stages that still answer are better than no answer.
 */
int pool_paths_choose(struct pool *pool, const char *version, char *const *exclude,
		      struct pool_endpoint **stages)
{
	pool_choose_fn choose = pool_choosers[pool->settings.policy];
	int count = choose(pool, version, exclude, stages);

	if (count == 0 && exclude && *exclude)
		count = choose(pool, version, NULL, stages);
	return count;
}
