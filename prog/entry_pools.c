#include "base/err.h"
#include "base/log.h"
#include "base/met.h"
#include "msg/kind.h"
#include "prog/entry_broker.h"

#include <string.h>

/* The pools that the control thread knows, and the choice of the pool to request a grant from. */
enum {
	ENTRY_PREFERRED_POOLS = 4 /* number of pools of each model that a host asks before others */
};

static void entry_rank_pools(struct entry *e);

void entry_pool_free(gpointer data)
{
	struct entry_pool *pool = data;

	g_hash_table_destroy(pool->versions);
	g_free(pool->name);
	g_free(pool->model);
	g_free(pool);
}

static void entry_pool_add_endpoint(void *ctx, const struct conf_obj *obj)
{
	struct entry *e = ctx;
	const char *name = obj->text[ENDPOINT_POOL];
	struct entry_pool *pool = g_hash_table_lookup(e->broker.pools, name);

	if (!pool) {
		pool = g_new0(struct entry_pool, 1);
		pool->name = g_strdup(name);
		pool->preference = str_hash(name, strlen(name), e->broker.seed);
		pool->versions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
		g_hash_table_insert(e->broker.pools, pool->name, pool);
	}
	g_free(pool->model);
	pool->model = g_strdup(obj->text[ENDPOINT_MODEL]);
	g_hash_table_add(pool->versions, g_strdup(obj->text[ENDPOINT_VERSION]));
	if (obj->value[ENDPOINT_LAYERS] == 0)
		pool->capacity += (double)obj->value[ENDPOINT_RATE];
}

/* Pools that are no longer declared stay with capacity 0, since grants may refer to them. */
void entry_pools_on_conf(struct entry *e)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, e->broker.pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct entry_pool *pool = value;

		pool->capacity = 0;
		g_hash_table_remove_all(pool->versions);
	}
	conf_for_each(e->view.clog.state, CONF_ENDPOINT, entry_pool_add_endpoint, e);
	entry_rank_pools(e);
}

/* Cost of using a pool; 1000 us are added so that capacity also counts when there is no wait. */
static double entry_pool_cost(const struct entry_pool *pool)
{
	return (double)(pool->wait_us + 1000) / MAX(pool->capacity, 1);
}

static bool entry_pool_fits(const struct entry_pool *pool, const struct entry_grant *grant,
			    const struct entry_pool *excluded)
{
	return pool != excluded && pool->capacity > 0 &&
	       strcmp(pool->model, grant->request->model) == 0 &&
	       g_hash_table_contains(pool->versions, grant->request->version);
}

/*
 * Returns how many pools of the same model this host prefers to this one. Hashing gives each entry
 * host its own order of preference, and it uses the first ENTRY_PREFERRED_POOLS pools of each
 * model. If all hosts used all pools, every home would have a connection from every entry host, and
 * the heartbeats alone would exceed what a node may send.
 */
static unsigned int entry_pool_rank(const struct entry *e, const struct entry_pool *pool)
{
	GHashTableIter iter;
	gpointer value;
	unsigned int rank = 0;

	g_hash_table_iter_init(&iter, e->broker.pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct entry_pool *other = value;

		rank += other->capacity > 0 && strcmp(other->model, pool->model) == 0 &&
			other->preference > pool->preference;
	}
	return rank;
}

static void entry_rank_pools(struct entry *e)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, e->broker.pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct entry_pool *pool = value;

		pool->rank = entry_pool_rank(e, pool);
	}
}

/*
 * Draws two pools at random, weighted by capacity, and returns the one with the lower cost: the
 * wait that the last grant reported, relative to the capacity.
 */
struct entry_pool *entry_choose_pool(struct entry *e, const struct entry_grant *grant,
				     const struct entry_pool *excluded, bool skip_refusing,
				     bool preferred_only)
{
	struct entry_pool *best = NULL;
	int64_t now = tmr_now();

	for (int draw = 0; draw < 2; draw++) {
		struct entry_pool *drawn = NULL;
		double sum = 0;
		GHashTableIter iter;
		gpointer value;

		g_hash_table_iter_init(&iter, e->broker.pools);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			struct entry_pool *pool = value;

			if (!entry_pool_fits(pool, grant, excluded))
				continue;
			if (skip_refusing && pool->avoid_until_us > now)
				continue;
			if (preferred_only && pool->rank >= ENTRY_PREFERRED_POOLS)
				continue;
			sum += pool->capacity;
			if (g_rand_double(e->broker.rand) * sum < pool->capacity)
				drawn = pool;
		}
		if (!drawn)
			break;
		if (!best || entry_pool_cost(drawn) < entry_pool_cost(best))
			best = drawn;
	}
	return best;
}
