#include "base/err.h"
#include "base/log.h"
#include "base/met.h"
#include "msg/kind.h"
#include "prog/entry_broker.h"

#include <string.h>

/*
 * Local decisions: when no home is reachable, an entry host grants requests itself, based on its
 * last view of the configuration and within its share of each endpoint's slots.
 */
enum {
	/* Conservative value of overlap_percent, since no daemon counts the grants of all hosts. */
	ENTRY_LOCAL_OVERLAP_PERCENT = 100,

	/* Delay in microseconds before a failed endpoint counts as usable again. */
	ENTRY_LOCAL_RETRY_US = 2 * USEC_PER_SEC
};

static void entry_local_grant(void *ctx, const struct pool_grant *grant, int64_t wait_us);
static void entry_local_refuse(void *ctx, uint64_t entry, uint64_t ask_id, enum pool_refusal why,
			       int64_t retry_us);
static void entry_local_probe(void *ctx, const struct pool_endpoint *endpoint);

static const struct pool_ops entry_local_ops = {entry_local_grant, entry_local_refuse,
						entry_local_probe};

void entry_local_pool_free(gpointer data)
{
	pool_finish(data);
	g_free(data);
}

void entry_local_pools_on_conf(struct entry *e)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, e->broker.local_pools);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		pool_on_conf(value, e->view.clog.state, tmr_now());
}

static struct pool *entry_local_pool(struct entry *e, const char *name)
{
	struct pool *pool = g_hash_table_lookup(e->broker.local_pools, name);
	struct pool_settings settings = {POOL_POLICY_FLOW, ENTRY_LOCAL_OVERLAP_PERCENT,
					 MAX(host_live_count(&e->view.hosts), 1),
					 ENTRY_LOCAL_RETRY_US};

	if (pool)
		return pool;
	pool = g_new0(struct pool, 1);
	pool_init(pool, name, &settings, &entry_local_ops, e);
	g_hash_table_insert(e->broker.local_pools, pool->name, pool);
	pool_on_conf(pool, e->view.clog.state, tmr_now());
	log_msg(LOG_WARNING, "deciding_alone pool=%s divisor=%u", name, settings.divisor);
	return pool;
}

void entry_local_request_grant(struct entry *e, struct entry_grant *grant)
{
	const struct conf_obj *account =
		conf_get(e->view.clog.state, CONF_ACCOUNT, grant->request->account);
	struct pool_grant_request ask = {
		.ask_id = grant->ask_id,
		.account = grant->request->account,
		.limits = {1, 1, 1},
		.version = grant->request->version,
		.tokens = grant->request->tokens,
		.deadline_us = grant->request->deadline_us,
		.exclude = (const char *const *)grant->request->exclude,
	};

	if (account) {
		ask.limits.weight = (uint32_t)account->value[ACCOUNT_SHARE];
		ask.limits.queue = (uint32_t)account->value[ACCOUNT_QUEUE];
		ask.limits.inflight = (uint32_t)account->value[ACCOUNT_LIMIT];
	}
	met_add(met_counter("bg_grants_decided_alone_total", ""), 1);
	pool_on_grant_request(entry_local_pool(e, grant->pool->name), &ask, tmr_now());
}

static void entry_local_grant(void *ctx, const struct pool_grant *decision, int64_t wait_us)
{
	struct entry *e = ctx;
	struct entry_grant *grant = entry_grant_by_id(e, decision->ask_id);
	char *names[FLOW_STAGES_MAX];

	(void)wait_us;
	for (int s = 0; s < decision->count; s++)
		names[s] = decision->stages[s]->name;
	if (grant)
		entry_grant_succeeded(e, grant, decision->id, names, (size_t)decision->count);
}

static void entry_local_refuse(void *ctx, uint64_t entry, uint64_t ask_id, enum pool_refusal why,
			       int64_t retry_us)
{
	struct entry *e = ctx;
	struct entry_grant *grant = entry_grant_by_id(e, ask_id);

	(void)entry;
	if (grant)
		entry_grant_refused(e, grant, why, retry_us);
}

/* Does nothing: endpoints are not polled from here. */
static void entry_local_probe(void *ctx, const struct pool_endpoint *endpoint)
{
	(void)ctx;
	(void)endpoint;
}

/*
 * No daemon polls the endpoints of a pool that is decided locally, so failed endpoints count as
 * usable again after ENTRY_LOCAL_RETRY_US.
 */
void entry_local_pools_tick(struct entry *e, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, e->broker.local_pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool *pool = value;

		for (guint i = 0; i < pool->endpoints->len; i++) {
			struct pool_endpoint *endpoint = pool->endpoints->pdata[i];

			if (endpoint->down && now_us - endpoint->report_us > ENTRY_LOCAL_RETRY_US)
				pool_on_load_report(pool, endpoint->name, 0, false, now_us);
		}
		pool_on_tick(pool, now_us);
	}
}
