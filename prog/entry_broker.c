#include "prog/entry_broker.h"
#include "base/str.h"

#include <string.h>

/*
 * Sets up the control thread's state for grants and claims. entry_home.c, entry_pools.c,
 * entry_grant.c, entry_local.c and entry_claim.c operate on it.
 */
void entry_broker_start(struct entry *e)
{
	struct entry_broker *b = &e->broker;
	uint64_t seed = (uint64_t)e->settings.seed ^
			str_hash(e->settings.name, strlen(e->settings.name), 0);

	b->seed = seed;
	b->homes = g_hash_table_new(g_str_hash, g_str_equal);
	b->pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, entry_pool_free);
	b->grants = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, entry_grant_free);
	b->grants_by_call = g_hash_table_new(g_int64_hash, g_int64_equal);
	b->claims =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, entry_pending_claim_free);
	b->local_pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, entry_local_pool_free);
	b->rand = g_rand_new_with_seed((guint32)seed);
}

void entry_broker_on_conf(struct entry *e)
{
	entry_pools_on_conf(e);
	entry_local_pools_on_conf(e);
}

void entry_broker_on_hosts(struct entry *e)
{
	entry_grants_on_hosts(e);
}

void entry_broker_tick(struct entry *e, int64_t now_us)
{
	entry_local_pools_tick(e, now_us);
}
