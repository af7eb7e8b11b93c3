#include "pool/pool_int.h"

#include <string.h>

enum {
	PERCENT = 100,
	POOL_SPARE_NUM = 3,   /* off the flow's paths, endpoints are filled to 3/4 of their limit */
	POOL_SPARE_DEN = 4,   /* denominator of that fraction */
	POOL_LINK_DIVISOR = 2 /* off the paths, a link needs 1/2 of the rate of its slower end */
};

/* The endpoints that pool_link_rate() indexes. */
struct pool_link_ctx {
	const struct pool *pool;
	struct pool_endpoint **endpoints;
};

/* Returns whether the endpoint may follow the previous stage (NULL if it is the first stage). */
typedef bool (*pool_fits_fn)(struct pool *pool, struct pool_endpoint *previous,
			     struct pool_endpoint *endpoint);
/* Returns the load of an endpoint; the least loaded one is chosen. */
typedef double (*pool_load_fn)(const struct pool_endpoint *endpoint);

/* Fills stages and returns their number, or 0 if the request must wait. */
typedef int (*pool_choose_fn)(struct pool *pool, const char *version, char *const *exclude,
			      struct pool_endpoint **stages);

static int64_t pool_link_rate(void *ctx, int from, int to);
static void pool_paths_build_version(struct pool *pool, const char *version);
static int pool_choose_flow(struct pool *pool, const char *version, char *const *exclude,
			    struct pool_endpoint **stages);
static int pool_choose_detour(struct pool *pool, const char *version, char *const *exclude,
			      struct pool_endpoint **stages);
static int pool_choose_weights(struct pool *pool, const char *version, char *const *exclude,
			       struct pool_endpoint **stages);
static int pool_choose_least_loaded(struct pool *pool, const char *version, char *const *exclude,
				    struct pool_endpoint **stages);

static const pool_choose_fn pool_choosers[POOL_POLICY_COUNT] = {
	[POOL_POLICY_FLOW] = pool_choose_flow,
	[POOL_POLICY_WEIGHTS] = pool_choose_weights,
	[POOL_POLICY_LEAST_LOADED] = pool_choose_least_loaded,
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

/*
 * A request is in one stage of its pipeline, or on a link, at a time. To fill the batches of an
 * endpoint, its number of slots must be in flight for each stage of the pipeline, and some more for
 * the links; with fewer its batches stay partly empty.
 */
int pool_endpoint_limit(const struct pool *pool, const struct pool_endpoint *endpoint)
{
	int held = endpoint->last - endpoint->first + 1;
	int stages = (pool->layers + held - 1) / held;

	return MAX(endpoint->slots * stages * pool->settings.overlap_percent / PERCENT /
			   (int)pool->settings.divisor,
		   1);
}

bool pool_endpoint_has_room(const struct pool *pool, const struct pool_endpoint *endpoint)
{
	return pool_endpoint_usable(endpoint) && endpoint->inflight + endpoint->foreign_inflight <
							 pool_endpoint_limit(pool, endpoint);
}

/* Returns the rate of a declared link in tokens a second; an undeclared link has no limit. */
static int64_t pool_link_rate(void *ctx, int from, int to)
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

/* Returns whether the stages of the grant are those of the path. */
static bool pool_grant_is_on(const struct pool_grant *grant, const struct pool_path *path)
{
	if (grant->count != path->flow.count)
		return false;
	return memcmp(grant->stages, path->stages,
		      sizeof(grant->stages[0]) * (size_t)grant->count) == 0;
}

static int pool_path_count_grants(struct pool *pool, const struct pool_path *path)
{
	GHashTableIter iter;
	gpointer grant;
	int count = 0;

	g_hash_table_iter_init(&iter, pool->grants);
	while (g_hash_table_iter_next(&iter, NULL, &grant))
		count += pool_grant_is_on(grant, path);
	return count;
}

void pool_paths_count_grant(struct pool *pool, const struct pool_grant *grant, int change)
{
	for (guint i = 0; i < pool->paths->len; i++) {
		struct pool_path *path = pool->paths->pdata[i];

		if (pool_grant_is_on(grant, path))
			path->inflight += change;
	}
}

/* Adds the paths of one version: those of the maximum flow through its usable endpoints. */
static void pool_paths_build_version(struct pool *pool, const char *version)
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
				  pool->layers, pool_link_rate, &link, paths);
	for (guint i = 0; i < paths->len; i++) {
		struct pool_path *path = g_new0(struct pool_path, 1);

		path->flow = g_array_index(paths, struct flow_path, i);
		for (int s = 0; s < path->flow.count; s++)
			path->stages[s] = used->pdata[path->flow.nodes[s]];
		path->version = path->stages[0]->version;
		path->inflight = pool_path_count_grants(pool, path);
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
			pool_paths_build_version(pool, endpoint->version);
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

/* Returns whether all stages of a path have free capacity and none is excluded. */
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

/* Returns the requests in flight at the endpoint, with one more, as a multiple of its slots. */
static double pool_endpoint_load(const struct pool_endpoint *endpoint)
{
	return (double)(endpoint->inflight + endpoint->foreign_inflight + 1) /
	       MAX(endpoint->slots, 1);
}

/* Returns the requests in flight on the path, with one more, divided by its rate. */
static double pool_path_load(const struct pool_path *path)
{
	return (double)(path->inflight + 1) / (double)MAX(path->flow.rate, 1);
}

static int pool_copy_stages(struct pool_path *path, struct pool_endpoint **stages)
{
	for (int s = 0; s < path->flow.count; s++)
		stages[s] = path->stages[s];
	return path->flow.count;
}

/* Chooses the least loaded path of the maximum flow, else any stages with spare capacity. */
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
		return pool_copy_stages(best, stages);
	return pool_choose_detour(pool, version, exclude, stages);
}

/* Returns whether the link carries 1/POOL_LINK_DIVISOR of the rate of its slower end. */
static bool pool_link_suffices(struct pool *pool, struct pool_endpoint *from,
			       struct pool_endpoint *to)
{
	struct pool_endpoint *ends[] = {from, to};
	struct pool_link_ctx link = {pool, ends};

	return pool_link_rate(&link, 0, 1) >= MIN(from->rate, to->rate) / POOL_LINK_DIVISOR;
}

/* Returns whether one more request leaves the endpoint within 3/4 of its limit. */
static bool pool_has_spare_capacity(const struct pool *pool, const struct pool_endpoint *endpoint)
{
	int used = endpoint->inflight + endpoint->foreign_inflight + 1;

	return used * POOL_SPARE_DEN <= pool_endpoint_limit(pool, endpoint) * POOL_SPARE_NUM;
}

static bool pool_detour_fits(struct pool *pool, struct pool_endpoint *previous,
			     struct pool_endpoint *endpoint)
{
	if (previous && !pool_link_suffices(pool, previous, endpoint))
		return false;
	return pool_has_spare_capacity(pool, endpoint);
}

/* Chooses for each stage the least loaded endpoint with free capacity that fits. */
static int pool_choose_stages(struct pool *pool, const char *version, char *const *exclude,
			      struct pool_endpoint **stages, pool_fits_fn fits, pool_load_fn load)
{
	int next = 0;
	int count = 0;

	while (next < pool->layers && count < FLOW_STAGES_MAX) {
		struct pool_endpoint *previous = count > 0 ? stages[count - 1] : NULL;
		struct pool_endpoint *best = NULL;

		for (guint i = 0; i < pool->endpoints->len; i++) {
			struct pool_endpoint *e = pool->endpoints->pdata[i];

			if (strcmp(e->version, version) != 0 || e->first > next || e->last < next)
				continue;
			if (!pool_endpoint_has_room(pool, e) || pool_is_excluded(e, exclude))
				continue;
			if (fits(pool, previous, e) && (!best || load(e) < load(best)))
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
 * Chooses stages off the flow's paths. The paths of the maximum flow are one set of pipelines that
 * reaches the bound, not all pipelines of the pool. When work in flight is spread unevenly over
 * them, for instance after an endpoint has recovered, all paths can be full while some endpoints
 * are idle. So any stages with spare capacity are used, unless the link between them is far too
 * slow. Endpoints with little capacity left are not used: this would take it from the flow's paths
 * and lower the throughput.
 */
static int pool_choose_detour(struct pool *pool, const char *version, char *const *exclude,
			      struct pool_endpoint **stages)
{
	return pool_choose_stages(pool, version, exclude, stages, pool_detour_fits,
				  pool_endpoint_load);
}

/* Smooth weighted round robin over the paths with free capacity, weighted by their rates. */
static int pool_choose_weights(struct pool *pool, const char *version, char *const *exclude,
			       struct pool_endpoint **stages)
{
	struct pool_path *best = NULL;
	int64_t total = 0;

	for (guint i = 0; i < pool->paths->len; i++) {
		struct pool_path *path = pool->paths->pdata[i];

		if (!pool_path_fits(pool, path, version, exclude))
			continue;
		path->round_robin_credit += path->flow.rate;
		total += path->flow.rate;
		if (!best || path->round_robin_credit > best->round_robin_credit)
			best = path;
	}
	if (!best)
		return 0;
	best->round_robin_credit -= total;
	return pool_copy_stages(best, stages);
}

static double pool_reported_load(const struct pool_endpoint *endpoint)
{
	return endpoint->reported;
}

static bool pool_always_fits(struct pool *pool, struct pool_endpoint *previous,
			     struct pool_endpoint *endpoint)
{
	(void)pool;
	(void)previous;
	(void)endpoint;
	return true;
}

/*
 * Chooses for each stage the endpoint that is least loaded by the last load reports. This policy
 * exists for comparison with the others.
 */
static int pool_choose_least_loaded(struct pool *pool, const char *version, char *const *exclude,
				    struct pool_endpoint **stages)
{
	return pool_choose_stages(pool, version, exclude, stages, pool_always_fits,
				  pool_reported_load);
}

/*
 * After a stall the stage at fault is unknown, so the entry excludes all stages of the attempt. In
 * a small pool no pipeline may remain; then excluded endpoints that are still usable are chosen.
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
