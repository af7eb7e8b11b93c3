#include "pool/pool_int.h"

#include <string.h>

static void pool_schedule(struct pool *pool, int64_t now_us);
static void pool_issue_grant(struct pool *pool, const struct fair_item *item,
			     struct fair_account *account, struct pool_waiting *wait,
			     struct pool_endpoint **stages, int count, int64_t now_us);
static void pool_release_grant(struct pool *pool, struct pool_grant *grant);
static void pool_refuse(struct pool *pool, struct pool_waiting *wait, enum pool_refusal why,
			int64_t retry_us);
static void pool_mark_down(struct pool *pool, struct pool_endpoint *endpoint, int64_t now_us);
static void pool_rebuild(struct pool *pool, int64_t now_us);

static const char *const pool_refusal_names[POOL_REFUSE_COUNT] = {
	[POOL_REFUSE_QUEUE_FULL] = "queue_full",
	[POOL_REFUSE_DEADLINE] = "deadline",
	[POOL_REFUSE_NO_PATH] = "no_pipeline",
};

const char *pool_refusal_name(enum pool_refusal why)
{
	return pool_refusal_names[why];
}

static void pool_waiting_free(gpointer data)
{
	struct pool_waiting *wait = data;

	g_free(wait->account);
	g_free(wait->version);
	g_strfreev(wait->exclude);
	g_free(wait);
}

static void pool_endpoint_unref(gpointer data)
{
	struct pool_endpoint *endpoint = data;

	if (--endpoint->refs > 0)
		return;
	g_free(endpoint->name);
	g_free(endpoint->address);
	g_free(endpoint->version);
	g_free(endpoint);
}

void pool_init(struct pool *pool, const char *name, const struct pool_settings *settings,
	       const struct pool_ops *ops, void *ctx)
{
	memset(pool, 0, sizeof(*pool));
	pool->name = g_strdup(name);
	pool->settings = *settings;
	pool->ops = ops;
	pool->ctx = ctx;
	pool->endpoints = g_ptr_array_new_with_free_func(pool_endpoint_unref);
	pool->links = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	pool->paths = g_ptr_array_new_with_free_func(g_free);
	pool->waiting =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, pool_waiting_free);
	pool->grants = g_hash_table_new(g_int64_hash, g_int64_equal);
	fair_init(&pool->fair);
}

static gboolean pool_release_each(gpointer key, gpointer value, gpointer ctx)
{
	(void)key;
	pool_release_grant(ctx, value);
	return TRUE;
}

void pool_finish(struct pool *pool)
{
	g_hash_table_foreach_remove(pool->grants, pool_release_each, pool);
	g_hash_table_destroy(pool->grants);
	g_hash_table_destroy(pool->waiting);
	fair_finish(&pool->fair);
	g_ptr_array_free(pool->paths, TRUE);
	g_ptr_array_free(pool->endpoints, TRUE);
	g_hash_table_destroy(pool->links);
	conf_state_unref(pool->conf);
	g_free(pool->name);
	g_free(pool->model);
}

struct pool_endpoint *pool_find_endpoint(const struct pool *pool, const char *endpoint)
{
	for (guint i = 0; i < pool->endpoints->len; i++) {
		struct pool_endpoint *e = pool->endpoints->pdata[i];

		if (strcmp(e->name, endpoint) == 0)
			return e;
	}
	return NULL;
}

static void pool_apply_endpoint(void *ctx, const struct conf_obj *obj)
{
	struct pool *pool = ctx;
	struct pool_endpoint *e;

	if (strcmp(obj->text[ENDPOINT_POOL], pool->name) != 0)
		return;
	e = pool_find_endpoint(pool, obj->name);
	if (!e) {
		e = g_new0(struct pool_endpoint, 1);
		e->refs = 1;
		e->name = g_strdup(obj->name);
		g_ptr_array_add(pool->endpoints, e);
	}
	g_free(e->address);
	g_free(e->version);
	e->address = g_strdup(obj->text[ENDPOINT_ADDRESS]);
	e->version = g_strdup(obj->text[ENDPOINT_VERSION]);
	e->first = (int)obj->value[ENDPOINT_LAYERS];
	e->last = (int)obj->last_layer;
	e->rate = obj->value[ENDPOINT_RATE];
	e->slots = (int)obj->value[ENDPOINT_SLOTS];
	e->draining = obj->value[ENDPOINT_STATE] != 0;
	e->declared = true;
	g_free(pool->model);
	pool->model = g_strdup(obj->text[ENDPOINT_MODEL]);
}

static void pool_apply_link(void *ctx, const struct conf_obj *obj)
{
	struct pool *pool = ctx;
	char *key = g_strdup_printf("%s %s", obj->text[LINK_FROM], obj->text[LINK_TO]);

	g_hash_table_replace(pool->links, key, (gpointer)(intptr_t)obj->value[LINK_BANDWIDTH]);
}

void pool_on_conf(struct pool *pool, struct conf_state *conf, int64_t now_us)
{
	const struct conf_obj *model;

	for (guint i = 0; i < pool->endpoints->len; i++)
		((struct pool_endpoint *)pool->endpoints->pdata[i])->declared = false;
	conf_state_ref(conf);
	conf_state_unref(pool->conf);
	pool->conf = conf;
	pool_paths_clear(pool);
	conf_for_each(conf, CONF_ENDPOINT, pool_apply_endpoint, pool);
	g_hash_table_remove_all(pool->links);
	conf_for_each(conf, CONF_LINK, pool_apply_link, pool);
	for (guint i = pool->endpoints->len; i-- > 0;) {
		if (!((struct pool_endpoint *)pool->endpoints->pdata[i])->declared)
			g_ptr_array_remove_index(pool->endpoints, i);
	}
	model = pool->model ? conf_get(conf, CONF_MODEL, pool->model) : NULL;
	pool->layers = model ? (int)model->value[MODEL_LAYERS] : 0;
	pool->activation = model ? model->value[MODEL_ACTIVATION] : 1;
	pool_rebuild(pool, now_us);
}

/*
 * Recomputes the paths and starts what they now allow. While there is no pipeline the previous rate
 * is kept, because expected waits are computed from it: a rate of zero would tell each client to
 * retry after hours, although a pipeline may be available again at once.
 */
static void pool_rebuild(struct pool *pool, int64_t now_us)
{
	pool_paths_build(pool);
	if (pool->bound > 0)
		fair_set_rate(&pool->fair, (double)pool->bound / pool->settings.divisor);
	if (pool->paths->len > 0)
		pool->no_path_since_us = 0;
	else if (pool->no_path_since_us == 0)
		pool->no_path_since_us = now_us;
	pool_schedule(pool, now_us);
}

static void pool_refuse(struct pool *pool, struct pool_waiting *wait, enum pool_refusal why,
			int64_t retry_us)
{
	pool->ops->refuse(pool->ctx, wait->entry, wait->ask_id, why, retry_us);
}

/*
 * Returns whether an endpoint of the version became down or leaving within the grace period. An
 * endpoint that was ordered to load another version holds it before its next load report says so;
 * without this check requests for that version were refused for up to a second, until the report.
 */
static bool pool_may_recover(const struct pool *pool, const char *version, int64_t now_us)
{
	int64_t since_us = now_us - pool->settings.no_path_grace_us;

	for (guint i = 0; i < pool->endpoints->len; i++) {
		const struct pool_endpoint *e = pool->endpoints->pdata[i];

		if (!e->declared || strcmp(e->version, version) != 0)
			continue;
		if ((e->down && e->down_us > since_us) || (e->leaving && e->leaving_us > since_us))
			return true;
	}
	return false;
}

/*
 * Returns whether requests for the version are to be refused: it has no pipeline, and the grace
 * period in which an endpoint may become usable again has passed.
 */
static bool pool_is_unservable(const struct pool *pool, const char *version, int64_t now_us)
{
	if (pool_paths_exist(pool, version) || pool_may_recover(pool, version, now_us))
		return false;
	if (pool->no_path_since_us == 0)
		return true;
	return now_us - pool->no_path_since_us >= pool->settings.no_path_grace_us;
}

void pool_on_grant_request(struct pool *pool, const struct pool_grant_request *ask, int64_t now_us)
{
	struct fair_account *account = fair_get_account(&pool->fair, ask->account, &ask->limits);
	struct fair_item item = {++pool->last_id, MAX(ask->tokens, 1), ask->deadline_us, now_us,
				 ask->priority};
	struct pool_waiting *wait;
	int64_t retry_us = 0;
	int err;

	if (pool_is_unservable(pool, ask->version, now_us)) {
		pool->ops->refuse(pool->ctx, ask->entry, ask->ask_id, POOL_REFUSE_NO_PATH,
				  pool->settings.no_path_grace_us);
		return;
	}
	err = fair_push(&pool->fair, account, &item, now_us, &retry_us);
	if (err < 0) {
		pool->ops->refuse(pool->ctx, ask->entry, ask->ask_id,
				  err == FAIR_EFULL ? POOL_REFUSE_QUEUE_FULL : POOL_REFUSE_DEADLINE,
				  retry_us);
		return;
	}
	wait = g_new0(struct pool_waiting, 1);
	wait->entry = ask->entry;
	wait->ask_id = ask->ask_id;
	wait->account = g_strdup(ask->account);
	wait->version = g_strdup(ask->version);
	wait->exclude = g_strdupv((char **)ask->exclude);
	g_hash_table_insert(pool->waiting, g_memdup2(&item.id, sizeof(item.id)), wait);
	pool_schedule(pool, now_us);
}

/*
 * Grants waiting requests in fair order while there is free capacity. If the next request cannot
 * start, no later one overtakes it: requests for a version with few endpoints would otherwise never
 * start.
 */
static void pool_schedule(struct pool *pool, int64_t now_us)
{
	struct fair_item item;
	struct fair_account *account;

	while (fair_pop(&pool->fair, &item, &account)) {
		struct pool_waiting *wait = g_hash_table_lookup(pool->waiting, &item.id);
		struct pool_endpoint *stages[FLOW_STAGES_MAX];
		int count = pool_paths_choose(pool, wait->version, wait->exclude, stages);

		if (count == 0) {
			fair_requeue(&pool->fair, account, &item);
			return;
		}
		pool_issue_grant(pool, &item, account, wait, stages, count, now_us);
		g_hash_table_remove(pool->waiting, &item.id);
	}
}

static struct pool_grant *pool_grant_new(struct pool *pool, uint64_t entry, uint64_t ask_id,
					 struct fair_account *account, uint64_t tokens)
{
	struct pool_grant *grant = g_new0(struct pool_grant, 1);

	grant->id = ++pool->last_id;
	grant->entry = entry;
	grant->ask_id = ask_id;
	grant->account = account;
	grant->tokens = tokens;
	return grant;
}

static void pool_grant_add_stage(struct pool_grant *grant, struct pool_endpoint *endpoint)
{
	int before = grant->count > 0 ? grant->stages[grant->count - 1]->last + 1 : 0;

	grant->first[grant->count] = before;
	grant->stages[grant->count++] = endpoint;
	endpoint->inflight++;
	endpoint->inflight_peak = MAX(endpoint->inflight_peak, endpoint->inflight);
	endpoint->granted++;
	endpoint->refs++;
}

static void pool_issue_grant(struct pool *pool, const struct fair_item *item,
			     struct fair_account *account, struct pool_waiting *wait,
			     struct pool_endpoint **stages, int count, int64_t now_us)
{
	struct pool_grant *grant =
		pool_grant_new(pool, wait->entry, wait->ask_id, account, item->cost);

	for (int s = 0; s < count; s++)
		pool_grant_add_stage(grant, stages[s]);
	grant->waited_us = now_us - item->queued_us;
	pool_paths_count_grant(pool, grant, 1);
	g_hash_table_insert(pool->grants, &grant->id, grant);
	pool->ops->grant(pool->ctx, grant, fair_wait_us(&pool->fair, account));
}

/* Returns the slots of a grant and frees it. It must not be in pool->grants any more. */
static void pool_release_grant(struct pool *pool, struct pool_grant *grant)
{
	pool_paths_count_grant(pool, grant, -1);
	for (int s = 0; s < grant->count; s++) {
		grant->stages[s]->inflight--;
		pool_endpoint_unref(grant->stages[s]);
	}
	g_free(grant);
}

void pool_on_withdraw(struct pool *pool, uint64_t entry, uint64_t ask_id, int64_t now_us)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	(void)now_us;
	g_hash_table_iter_init(&iter, pool->waiting);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct pool_waiting *wait = value;

		if (wait->entry != entry || wait->ask_id != ask_id)
			continue;
		fair_withdraw(&pool->fair, *(uint64_t *)key);
		g_hash_table_iter_remove(&iter);
		return;
	}
}

static void pool_mark_down(struct pool *pool, struct pool_endpoint *endpoint, int64_t now_us)
{
	if (endpoint->down)
		return;
	endpoint->down = true;
	endpoint->down_us = now_us;
	pool_rebuild(pool, now_us);
}

/*
 * Marks an endpoint down that refused or broke a connection, and probes it. For any other failure
 * probes the endpoint at fault, or all stages of the grant if it is not known.
 */
static void pool_handle_fault(struct pool *pool, const struct pool_grant *grant,
			      enum pool_outcome outcome, const char *bad, int64_t now_us)
{
	struct pool_endpoint *endpoint = bad ? pool_find_endpoint(pool, bad) : NULL;

	if (outcome == POOL_OUTCOME_REFUSED && endpoint) {
		pool_mark_down(pool, endpoint, now_us);
		pool->ops->probe(pool->ctx, endpoint);
		return;
	}
	for (int s = 0; s < grant->count; s++) {
		if (!endpoint || endpoint == grant->stages[s])
			pool->ops->probe(pool->ctx, grant->stages[s]);
	}
}

void pool_on_attempt_end(struct pool *pool, uint64_t grant_id, uint64_t tokens,
			 enum pool_outcome outcome, const char *bad, int64_t now_us)
{
	struct pool_grant *grant = g_hash_table_lookup(pool->grants, &grant_id);

	if (!grant)
		return;
	g_hash_table_remove(pool->grants, &grant_id);
	fair_complete(&pool->fair, grant->account, grant->tokens, tokens);
	if (outcome != POOL_OUTCOME_OK)
		pool_handle_fault(pool, grant, outcome, bad, now_us);
	pool_release_grant(pool, grant);
	pool_schedule(pool, now_us);
}

uint64_t pool_adopt_grant(struct pool *pool, const struct pool_grant_request *ask,
			  const char *const *stages)
{
	struct fair_account *account = fair_get_account(&pool->fair, ask->account, &ask->limits);
	struct pool_grant *grant =
		pool_grant_new(pool, ask->entry, ask->ask_id, account, ask->tokens);

	for (const char *const *name = stages; *name && grant->count < FLOW_STAGES_MAX; name++) {
		struct pool_endpoint *endpoint = pool_find_endpoint(pool, *name);

		if (endpoint)
			pool_grant_add_stage(grant, endpoint);
	}
	if (grant->count == 0) {
		g_free(grant);
		return 0;
	}
	fair_adopt(&pool->fair, account, ask->tokens);
	pool_paths_count_grant(pool, grant, 1);
	g_hash_table_insert(pool->grants, &grant->id, grant);
	return grant->id;
}

void pool_on_entry_disconnected(struct pool *pool, uint64_t entry, int64_t now_us)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, pool->waiting);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		if (((struct pool_waiting *)value)->entry != entry)
			continue;
		fair_withdraw(&pool->fair, *(uint64_t *)key);
		g_hash_table_iter_remove(&iter);
	}
	g_hash_table_iter_init(&iter, pool->grants);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct pool_grant *grant = value;

		if (grant->entry != entry)
			continue;
		g_hash_table_iter_remove(&iter);
		fair_complete(&pool->fair, grant->account, grant->tokens, grant->tokens);
		pool_release_grant(pool, grant);
	}
	pool_schedule(pool, now_us);
}

/*
 * Load reports lag: they may lack work granted since they were made and include work that has ended
 * since. So only requests beyond the highest number recently granted here are attributed to another
 * home.
 */
void pool_on_load_report(struct pool *pool, const char *endpoint, int running, bool leaving,
			 int64_t now_us)
{
	struct pool_endpoint *e = pool_find_endpoint(pool, endpoint);
	bool was_usable;

	if (!e)
		return;
	was_usable = pool_endpoint_usable(e);
	e->reported = running;
	e->report_us = now_us;
	e->foreign_inflight = MAX(running - MAX(e->inflight_peak, e->previous_peak), 0);
	e->previous_peak = e->inflight_peak;
	e->inflight_peak = e->inflight;
	if (leaving && !e->leaving)
		e->leaving_us = now_us;
	e->leaving = leaving;
	e->down = false;
	if (was_usable != pool_endpoint_usable(e))
		pool_rebuild(pool, now_us);
	else
		pool_schedule(pool, now_us);
}

void pool_on_endpoint_down(struct pool *pool, const char *endpoint, int64_t now_us)
{
	struct pool_endpoint *e = pool_find_endpoint(pool, endpoint);

	if (e)
		pool_mark_down(pool, e, now_us);
}

void pool_on_tick(struct pool *pool, int64_t now_us)
{
	struct fair_item item;
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	while (fair_expire(&pool->fair, now_us, &item)) {
		struct pool_waiting *wait = g_hash_table_lookup(pool->waiting, &item.id);

		pool_refuse(pool, wait, POOL_REFUSE_DEADLINE, pool->settings.no_path_grace_us);
		g_hash_table_remove(pool->waiting, &item.id);
	}
	g_hash_table_iter_init(&iter, pool->waiting);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct pool_waiting *wait = value;

		if (!pool_is_unservable(pool, wait->version, now_us))
			continue;
		fair_withdraw(&pool->fair, *(uint64_t *)key);
		pool_refuse(pool, wait, POOL_REFUSE_NO_PATH, pool->settings.no_path_grace_us);
		g_hash_table_iter_remove(&iter);
	}
	pool_schedule(pool, now_us);
}
