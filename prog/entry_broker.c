#include "base/err.h"
#include "base/log.h"
#include "base/met.h"
#include "msg/kind.h"
#include "msg/once.pb-c.h"
#include "msg/pool.pb-c.h"
#include "once/once.h"
#include "prog/entry.h"

#include <string.h>

/*
 * Asks the homes of pools for grants and the homes of keys for claims, on behalf of the traffic
 * thread. A home that is lost is replaced by the next in rendezvous order, which is told what waits
 * and what is in flight. When no home answers, grants are decided here, within a cautious share.
 */
enum {
	ENTRY_HOME_RANKS = 3, /* homes tried before the entry decides alone */
	ENTRY_POOLS_TRIED = 2,
	ENTRY_POOLS_NEAR = 4,	  /* of each model, that a host asks first */
	ENTRY_ATTEMPTS_MAX = 128, /* above the settings' limit */
	ENTRY_AVOID_US = USEC_PER_SEC,
	ENTRY_LOCAL_FORGIVE_US = 2 * USEC_PER_SEC
};

typedef int (*entry_home_fn)(struct entry *e, const uint8_t *body, size_t len);

static int entry_home_on_msg(void *ctx, struct frm_conn *conn, uint16_t kind, const uint8_t *body,
			     size_t len);
static void entry_home_on_close(void *ctx, struct frm_conn *conn, int err);
static int entry_on_grant(struct entry *e, const uint8_t *body, size_t len);
static int entry_on_refuse(struct entry *e, const uint8_t *body, size_t len);
static int entry_on_held(struct entry *e, const uint8_t *body, size_t len);
static int entry_on_verdict(struct entry *e, const uint8_t *body, size_t len);
static void entry_place(struct entry *e, struct entry_hold *hold);
static void entry_place_claim(struct entry *e, struct entry_pending_claim *pending);
static void entry_local_ask(struct entry *e, struct entry_hold *hold);
static void entry_local_grant(void *ctx, const struct pool_grant *grant, int64_t wait_us);
static void entry_local_refuse(void *ctx, uint64_t entry, uint64_t ask_id, enum pool_refusal why,
			       int64_t retry_us);
static void entry_local_probe(void *ctx, const struct pool_endpoint *endpoint);
static void entry_refused(struct entry *e, struct entry_hold *hold, enum pool_refusal why,
			  int64_t retry_us);
static void entry_rank_pools(struct entry *e);

static const struct frm_ops entry_home_ops = {entry_home_on_msg, entry_home_on_close};
static const struct pool_ops entry_local_ops = {entry_local_grant, entry_local_refuse,
						entry_local_probe};

static const entry_home_fn entry_home_msgs[MSG_KIND_COUNT] = {
	[MSG_POOL_GRANT] = entry_on_grant,
	[MSG_POOL_REFUSE] = entry_on_refuse,
	[MSG_POOL_HELD] = entry_on_held,
	[MSG_ONCE_VERDICT] = entry_on_verdict,
};

static const enum req_grant_refusal entry_refusals[POOL_REFUSE_COUNT] = {
	[POOL_REFUSE_FULL] = REQ_GRANT_QUEUE,
	[POOL_REFUSE_DEADLINE] = REQ_GRANT_WAIT,
	[POOL_REFUSE_NO_PATH] = REQ_GRANT_NO_PATH,
};

struct frm_limits entry_limits(const struct entry *e)
{
	struct frm_limits limits = {e->settings.heartbeat_ms * USEC_PER_MSEC,
				    e->settings.silent_ms * USEC_PER_MSEC,
				    e->settings.idle_ms * USEC_PER_MSEC};

	return limits;
}

void entry_stage_free(gpointer data)
{
	struct entry_stage *stage = data;

	g_free(stage->name);
	g_free(stage->address);
	g_free(stage);
}

static void entry_ask_free(struct entry_ask *ask)
{
	g_free(ask->account);
	g_free(ask->model);
	g_free(ask->version);
	g_strfreev(ask->exclude);
	g_free(ask);
}

static void entry_hold_free(gpointer data)
{
	struct entry_hold *hold = data;

	if (hold->stages)
		g_ptr_array_free(hold->stages, TRUE);
	entry_ask_free(hold->ask);
	g_free(hold->home);
	g_free(hold);
}

static void entry_claim_free(struct entry_claim *claim)
{
	g_free(claim->key);
	g_free(claim->id);
	g_free(claim->request);
	g_free(claim->endpoints);
	g_free(claim->digest);
	g_free(claim->supersedes);
	g_free(claim);
}

static void entry_pending_free(gpointer data)
{
	struct entry_pending_claim *pending = data;

	entry_claim_free(pending->claim);
	g_free(pending->home);
	g_free(pending);
}

static void entry_pool_free(gpointer data)
{
	struct entry_pool *pool = data;

	g_hash_table_destroy(pool->versions);
	g_free(pool->name);
	g_free(pool->model);
	g_free(pool->home);
	g_free(pool);
}

static void entry_local_free(gpointer data)
{
	pool_finish(data);
	g_free(data);
}

void entry_broker_start(struct entry *e)
{
	struct entry_broker *b = &e->broker;
	uint64_t seed = (uint64_t)e->settings.seed ^
			str_hash(e->settings.name, strlen(e->settings.name), 0);

	b->seed = seed;
	b->homes = g_hash_table_new(g_str_hash, g_str_equal);
	b->pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, entry_pool_free);
	b->holds = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, entry_hold_free);
	b->by_call = g_hash_table_new(g_int64_hash, g_int64_equal);
	b->claims = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, entry_pending_free);
	b->locals = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, entry_local_free);
	b->rand = g_rand_new_with_seed((guint32)seed);
}

/* --- homes --- */

/*
 * The home of a pool, or NULL when every host that could be it is suspected: to wait for such a
 * host again would cost each request the whole limit of silence, and grants can be decided here.
 */
static const struct host *entry_home_of(const struct entry *e, const char *key)
{
	int64_t now = tmr_now();
	const struct host *host = host_home(&e->view.hosts, key, 0, now);

	return host && host->suspect_until_us <= now ? host : NULL;
}

static struct entry_home *entry_home(struct entry *e, const struct host *host)
{
	struct entry_home *home = g_hash_table_lookup(e->broker.homes, host->name);
	struct frm_limits limits = entry_limits(e);

	if (home)
		return home;
	home = g_new0(struct entry_home, 1);
	home->entry = e;
	home->host = g_strdup(host->name);
	home->conn = frm_connect(&e->loop, host->control_addr, &entry_home_ops, &limits, home);
	if (!home->conn) {
		g_free(home->host);
		g_free(home);
		return NULL;
	}
	g_hash_table_insert(e->broker.homes, home->host, home);
	return home;
}

static struct entry_home *entry_home_named(struct entry *e, const char *host)
{
	return host ? g_hash_table_lookup(e->broker.homes, host) : NULL;
}

/* Only while something is waited for does the connection ask for signs of life often. */
static void entry_home_waits(struct entry_home *home)
{
	home->waiting++;
	frm_set_active(home->conn, true);
}

static void entry_home_answered(struct entry_home *home)
{
	if (!home || home->waiting == 0)
		return;
	home->waiting--;
	if (home->waiting == 0)
		frm_set_active(home->conn, false);
}

static int entry_home_on_msg(void *ctx, struct frm_conn *conn, uint16_t kind, const uint8_t *body,
			     size_t len)
{
	struct entry_home *home = ctx;
	struct entry *e = home->entry;

	host_on_evidence(&e->view.hosts, home->host, HOST_HEARD, tmr_now());
	if (kind == MSG_CONF_HOSTS)
		return entry_view_on_hosts(e, conn, body, len);
	if (kind >= MSG_KIND_COUNT || !entry_home_msgs[kind])
		return BASE_EFRAME;
	return entry_home_msgs[kind](e, body, len);
}

/* Tells a home what is in flight that another one had granted. */
static void entry_send_holding(struct entry *e, struct entry_hold *hold, struct entry_home *home)
{
	Pool__Holding msg = POOL__HOLDING__INIT;
	char **names = g_new0(char *, hold->stages->len + 1);

	(void)e;
	for (guint i = 0; i < hold->stages->len; i++)
		names[i] = ((struct entry_stage *)hold->stages->pdata[i])->name;
	msg.ask_id = hold->ask_id;
	msg.pool = hold->pool->name;
	msg.account = hold->ask->account;
	msg.tokens = hold->ask->tokens;
	msg.stages = names;
	msg.n_stages = hold->stages->len;
	frm_send(home->conn, MSG_POOL_HOLDING, &msg.base);
	g_free(names);
}

static void entry_rehome_grant(struct entry *e, struct entry_hold *hold)
{
	const struct host *host = entry_home_of(e, hold->pool->name);
	struct entry_home *home = host ? entry_home(e, host) : NULL;

	hold->grant_id = 0;
	g_free(hold->home);
	hold->home = home ? g_strdup(home->host) : NULL;
	if (home)
		entry_send_holding(e, hold, home);
}

/*
 * A home is gone, or has gone silent. Waiting without end for its answers would stall every request
 * of its pools, so all that it had is told to the next home at once.
 */
static void entry_home_on_close(void *ctx, struct frm_conn *conn, int err)
{
	struct entry_home *home = ctx;
	struct entry *e = home->entry;
	GList *holds = g_hash_table_get_values(e->broker.holds);
	GList *claims = g_hash_table_get_values(e->broker.claims);

	(void)conn;
	log_msg(LOG_WARNING, "home_lost host=%s reason=\"%s\"", home->host, base_strerror(err));
	met_add(met_counter("bg_homes_lost_total", ""), 1);
	host_on_evidence(&e->view.hosts, home->host,
			 err == BASE_ESILENT ? HOST_SILENT : HOST_REFUSED, tmr_now());
	g_hash_table_remove(e->broker.homes, home->host);
	for (GList *l = holds; l; l = l->next) {
		struct entry_hold *hold = l->data;

		if (!hold->home || strcmp(hold->home, home->host) != 0)
			continue;
		if (hold->granted)
			entry_rehome_grant(e, hold);
		else
			entry_place(e, hold);
	}
	for (GList *l = claims; l; l = l->next) {
		struct entry_pending_claim *pending = l->data;

		if (pending->home && strcmp(pending->home, home->host) == 0)
			entry_place_claim(e, pending);
	}
	g_list_free(holds);
	g_list_free(claims);
	g_free(home->host);
	g_free(home);
}

/* --- pools --- */

static void entry_take_endpoint(void *ctx, const struct conf_obj *obj)
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

/* Pools that are not declared any more stay while something holds on to them. */
void entry_broker_on_conf(struct entry *e)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, e->broker.pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct entry_pool *pool = value;

		pool->capacity = 0;
		g_hash_table_remove_all(pool->versions);
	}
	conf_each(e->view.clog.state, CONF_ENDPOINT, entry_take_endpoint, e);
	entry_rank_pools(e);
	g_hash_table_iter_init(&iter, e->broker.locals);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		pool_on_conf(value, e->view.clog.state, tmr_now());
}

static double entry_pool_cost(const struct entry_pool *pool)
{
	return (double)(pool->wait_us + 1000) / MAX(pool->capacity, 1);
}

static bool entry_pool_fits(const struct entry_pool *pool, const struct entry_hold *hold,
			    const struct entry_pool *not_this)
{
	return pool != not_this && pool->capacity > 0 &&
	       strcmp(pool->model, hold->ask->model) == 0 &&
	       g_hash_table_contains(pool->versions, hold->ask->version);
}

/*
 * Pools of the model that come before this one in the order that hashing gives this host. Each
 * entry host keeps to the first few pools of each model: if all asked all, every home would have a
 * connection of every entry host, and their heartbeats alone would be over what a node may send.
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

/* Two random choices by capacity; the one with the shorter wait by what the last grants told. */
static struct entry_pool *entry_choose_pool(struct entry *e, const struct entry_hold *hold,
					    const struct entry_pool *not_this, bool avoid,
					    bool near)
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

			if (!entry_pool_fits(pool, hold, not_this))
				continue;
			if (avoid && pool->avoid_until_us > now)
				continue;
			if (near && pool->rank >= ENTRY_POOLS_NEAR)
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

/* --- grants --- */

static void entry_send_ask(struct entry *e, struct entry_hold *hold, struct entry_home *home)
{
	struct entry_ask *ask = hold->ask;
	Pool__Ask msg = POOL__ASK__INIT;

	(void)e;
	msg.ask_id = hold->ask_id;
	msg.pool = hold->pool->name;
	msg.account = ask->account;
	msg.version = ask->version;
	msg.tokens = ask->tokens;
	msg.wait_us = (uint64_t)MAX(ask->deadline_us - tmr_now(), 0);
	msg.exclude = ask->exclude;
	msg.n_exclude = ask->exclude ? g_strv_length(ask->exclude) : 0;
	frm_send(home->conn, MSG_POOL_ASK, &msg.base);
	entry_home_waits(home);
}

/* Asks the pool's home, or decides here when the homes in rendezvous order all seem lost. */
static void entry_place(struct entry *e, struct entry_hold *hold)
{
	const struct host *host = NULL;
	struct entry_home *home;

	if (hold->rank < ENTRY_HOME_RANKS)
		host = entry_home_of(e, hold->pool->name);
	hold->rank++;
	home = host ? entry_home(e, host) : NULL;
	g_free(hold->home);
	hold->home = home ? g_strdup(home->host) : NULL;
	if (home) {
		g_free(hold->pool->home);
		hold->pool->home = g_strdup(home->host);
		entry_send_ask(e, hold, home);
	} else {
		entry_local_ask(e, hold);
	}
}

static uint64_t entry_call_key(uint64_t call_id, unsigned int attempt)
{
	return call_id * ENTRY_ATTEMPTS_MAX + attempt;
}

void entry_post_ask(void *letter)
{
	struct entry_ask *ask = letter;
	struct entry *e = ask->entry;
	struct entry_hold *hold = g_new0(struct entry_hold, 1);

	hold->ask = ask;
	hold->ask_id = ++e->broker.last_id;
	hold->asked_us = tmr_now();
	hold->call_key = entry_call_key(ask->call_id, ask->attempt);
	g_hash_table_insert(e->broker.holds, &hold->ask_id, hold);
	g_hash_table_insert(e->broker.by_call, &hold->call_key, hold);
	hold->pool = entry_choose_pool(e, hold, NULL, true, true);
	if (!hold->pool)
		hold->pool = entry_choose_pool(e, hold, NULL, true, false);
	if (!hold->pool)
		hold->pool = entry_choose_pool(e, hold, NULL, false, false);
	hold->pools_tried = 1;
	if (hold->pool)
		entry_place(e, hold);
	else
		entry_refused(e, hold, POOL_REFUSE_NO_PATH, ENTRY_AVOID_US);
}

static struct entry_hold *entry_hold_of(struct entry *e, uint64_t call_id, unsigned int attempt)
{
	uint64_t key = entry_call_key(call_id, attempt);

	return g_hash_table_lookup(e->broker.by_call, &key);
}

static void entry_hold_remove(struct entry *e, struct entry_hold *hold)
{
	g_hash_table_remove(e->broker.by_call, &hold->call_key);
	g_hash_table_remove(e->broker.holds, &hold->ask_id);
}

static struct entry_hold *entry_hold_by_id(struct entry *e, uint64_t ask_id)
{
	return g_hash_table_lookup(e->broker.holds, &ask_id);
}

void entry_post_withdraw(void *letter)
{
	struct entry_ungrant *ungrant = letter;
	struct entry *e = ungrant->entry;
	struct entry_hold *hold = entry_hold_of(e, ungrant->call_id, ungrant->attempt);
	struct entry_home *home = hold ? entry_home_named(e, hold->home) : NULL;

	if (hold && hold->granted) {
		/* The grant was on its way to the traffic thread. */
		entry_post_ungrant(letter);
		return;
	}
	if (home) {
		Pool__Withdraw msg = POOL__WITHDRAW__INIT;

		msg.ask_id = hold->ask_id;
		msg.pool = hold->pool->name;
		frm_send(home->conn, MSG_POOL_WITHDRAW, &msg.base);
		entry_home_answered(home);
	} else if (hold && hold->pool) {
		struct pool *local = g_hash_table_lookup(e->broker.locals, hold->pool->name);

		if (local)
			pool_on_withdraw(local, 0, hold->ask_id, tmr_now());
	}
	if (hold)
		entry_hold_remove(e, hold);
	g_free(ungrant->bad);
	g_free(ungrant);
}

void entry_post_ungrant(void *letter)
{
	struct entry_ungrant *ungrant = letter;
	struct entry *e = ungrant->entry;
	struct entry_hold *hold = entry_hold_of(e, ungrant->call_id, ungrant->attempt);
	struct entry_home *home = hold ? entry_home_named(e, hold->home) : NULL;

	if (home && hold->grant_id != 0) {
		Pool__Done msg = POOL__DONE__INIT;

		msg.grant_id = hold->grant_id;
		msg.pool = hold->pool->name;
		msg.tokens = ungrant->tokens;
		msg.outcome = (uint32_t)ungrant->outcome;
		msg.bad = ungrant->bad ? ungrant->bad : (char *)"";
		frm_send(home->conn, MSG_POOL_DONE, &msg.base);
	} else if (hold && !home) {
		struct pool *local = g_hash_table_lookup(e->broker.locals, hold->pool->name);

		if (local)
			pool_on_done(local, hold->grant_id, ungrant->tokens, ungrant->outcome,
				     ungrant->bad, tmr_now());
	}
	if (hold)
		entry_hold_remove(e, hold);
	g_free(ungrant->bad);
	g_free(ungrant);
}

/* Names become addresses and layers by this host's own view of the configuration. */
static GPtrArray *entry_stages(struct entry *e, char **names, size_t n)
{
	GPtrArray *stages = g_ptr_array_new_with_free_func(entry_stage_free);
	int next = 0;

	for (size_t i = 0; i < n; i++) {
		const struct conf_obj *obj = conf_get(e->view.clog.state, CONF_ENDPOINT, names[i]);
		struct entry_stage *stage;

		if (!obj) {
			g_ptr_array_free(stages, TRUE);
			return NULL;
		}
		stage = g_new0(struct entry_stage, 1);
		stage->name = g_strdup(names[i]);
		stage->address = g_strdup(obj->text[ENDPOINT_ADDRESS]);
		stage->first = next;
		stage->last = (int)obj->last_layer;
		next = stage->last + 1;
		g_ptr_array_add(stages, stage);
	}
	return stages;
}

static gpointer entry_stage_copy(gconstpointer item, gpointer ctx)
{
	const struct entry_stage *stage = item;
	struct entry_stage *copy = g_memdup2(stage, sizeof(*stage));

	(void)ctx;
	copy->name = g_strdup(stage->name);
	copy->address = g_strdup(stage->address);
	return copy;
}

void entry_send_news(struct entry *e, struct entry_news *news)
{
	news->entry = e;
	loop_post(&e->traffic.loop, entry_on_news, news);
}

static void entry_granted(struct entry *e, struct entry_hold *hold, uint64_t grant_id, char **names,
			  size_t n)
{
	struct entry_news *news;

	hold->stages = entry_stages(e, names, n);
	hold->granted = true;
	hold->grant_id = grant_id;
	if (!hold->stages) {
		/* The home knows an endpoint that this host's view does not have yet. */
		hold->stages = g_ptr_array_new_with_free_func(entry_stage_free);
		met_add(met_counter("bg_grants_of_unknown_endpoints_total", ""), 1);
	}
	met_observe(met_histogram("bg_step_us", "step=\"grant\""), tmr_now() - hold->asked_us);
	news = g_new0(struct entry_news, 1);
	news->kind = ENTRY_NEWS_GRANTED;
	news->call_id = hold->ask->call_id;
	news->attempt = hold->ask->attempt;
	news->stages = g_ptr_array_copy(hold->stages, entry_stage_copy, NULL);
	entry_send_news(e, news);
}

static int entry_on_grant(struct entry *e, const uint8_t *body, size_t len)
{
	Pool__Grant *msg = pool__grant__unpack(NULL, len, body);
	struct entry_hold *hold;

	if (!msg)
		return BASE_EFRAME;
	hold = entry_hold_by_id(e, msg->ask_id);
	if (hold && !hold->granted) {
		entry_home_answered(entry_home_named(e, hold->home));
		hold->pool->wait_us = (int64_t)msg->wait_us;
		entry_granted(e, hold, msg->grant_id, msg->stages, msg->n_stages);
	}
	pool__grant__free_unpacked(msg, NULL);
	return 0;
}

static void entry_refused(struct entry *e, struct entry_hold *hold, enum pool_refusal why,
			  int64_t retry_us)
{
	struct entry_pool *other;
	struct entry_news *news;

	if (hold->pool) {
		hold->pool->avoid_until_us = tmr_now() + MIN(retry_us, ENTRY_AVOID_US);
		other = entry_choose_pool(e, hold, hold->pool, true, false);
		if (other && hold->pools_tried < ENTRY_POOLS_TRIED) {
			hold->pools_tried++;
			hold->pool = other;
			hold->rank = 0;
			entry_place(e, hold);
			return;
		}
	}
	news = g_new0(struct entry_news, 1);
	news->kind = ENTRY_NEWS_REFUSED;
	news->call_id = hold->ask->call_id;
	news->attempt = hold->ask->attempt;
	news->refusal = entry_refusals[why];
	news->retry_us = retry_us;
	entry_hold_remove(e, hold);
	entry_send_news(e, news);
}

static int entry_on_refuse(struct entry *e, const uint8_t *body, size_t len)
{
	Pool__Refuse *msg = pool__refuse__unpack(NULL, len, body);
	struct entry_hold *hold;

	if (!msg)
		return BASE_EFRAME;
	hold = entry_hold_by_id(e, msg->ask_id);
	if (hold && !hold->granted && msg->why < POOL_REFUSE_COUNT) {
		entry_home_answered(entry_home_named(e, hold->home));
		entry_refused(e, hold, (enum pool_refusal)msg->why, (int64_t)msg->retry_us);
	}
	pool__refuse__free_unpacked(msg, NULL);
	return 0;
}

static int entry_on_held(struct entry *e, const uint8_t *body, size_t len)
{
	Pool__Held *msg = pool__held__unpack(NULL, len, body);
	struct entry_hold *hold;

	if (!msg)
		return BASE_EFRAME;
	hold = entry_hold_by_id(e, msg->ask_id);
	if (hold)
		hold->grant_id = msg->grant_id;
	pool__held__free_unpacked(msg, NULL);
	return 0;
}

/*
 * The list has changed, so pools may have another home. Their grants and what waits move there;
 * the old home, if it still lives, is told that it has them no more.
 */
void entry_broker_on_hosts(struct entry *e)
{
	GList *holds = g_hash_table_get_values(e->broker.holds);

	for (GList *l = holds; l; l = l->next) {
		struct entry_hold *hold = l->data;
		const struct host *host =
			hold->pool ? host_home(&e->view.hosts, hold->pool->name, 0, tmr_now())
				   : NULL;
		struct entry_home *old = entry_home_named(e, hold->home);

		if (!host || !hold->home || strcmp(host->name, hold->home) == 0)
			continue;
		if (hold->granted && old && hold->grant_id != 0) {
			Pool__Done msg = POOL__DONE__INIT;

			msg.grant_id = hold->grant_id;
			msg.pool = hold->pool->name;
			msg.tokens = hold->ask->tokens;
			frm_send(old->conn, MSG_POOL_DONE, &msg.base);
		} else if (old && !hold->granted) {
			Pool__Withdraw msg = POOL__WITHDRAW__INIT;

			msg.ask_id = hold->ask_id;
			msg.pool = hold->pool->name;
			frm_send(old->conn, MSG_POOL_WITHDRAW, &msg.base);
			entry_home_answered(old);
		}
		if (hold->granted)
			entry_rehome_grant(e, hold);
		else
			entry_place(e, hold);
	}
	g_list_free(holds);
}

/* --- deciding alone --- */

static struct pool *entry_local(struct entry *e, const char *name)
{
	struct pool *pool = g_hash_table_lookup(e->broker.locals, name);
	struct pool_settings settings = {POOL_POLICY_FLOW, MAX(host_live_count(&e->view.hosts), 1),
					 ENTRY_LOCAL_FORGIVE_US};

	if (pool)
		return pool;
	pool = g_new0(struct pool, 1);
	pool_init(pool, name, &settings, &entry_local_ops, e);
	g_hash_table_insert(e->broker.locals, pool->name, pool);
	pool_on_conf(pool, e->view.clog.state, tmr_now());
	log_msg(LOG_WARNING, "deciding_alone pool=%s divisor=%u", name, settings.divisor);
	return pool;
}

static void entry_local_ask(struct entry *e, struct entry_hold *hold)
{
	const struct conf_obj *account =
		conf_get(e->view.clog.state, CONF_ACCOUNT, hold->ask->account);
	struct pool_ask ask = {
		.ask_id = hold->ask_id,
		.account = hold->ask->account,
		.limits = {1, 1, 1},
		.version = hold->ask->version,
		.tokens = hold->ask->tokens,
		.deadline_us = hold->ask->deadline_us,
		.exclude = (const char *const *)hold->ask->exclude,
	};

	if (account) {
		ask.limits.weight = (uint32_t)account->value[ACCOUNT_SHARE];
		ask.limits.queue = (uint32_t)account->value[ACCOUNT_QUEUE];
		ask.limits.inflight = (uint32_t)account->value[ACCOUNT_LIMIT];
	}
	met_add(met_counter("bg_grants_decided_alone_total", ""), 1);
	pool_on_ask(entry_local(e, hold->pool->name), &ask, tmr_now());
}

static void entry_local_grant(void *ctx, const struct pool_grant *grant, int64_t wait_us)
{
	struct entry *e = ctx;
	struct entry_hold *hold = entry_hold_by_id(e, grant->ask_id);
	char *names[FLOW_STAGES_MAX];

	(void)wait_us;
	for (int s = 0; s < grant->count; s++)
		names[s] = grant->stages[s]->name;
	if (hold)
		entry_granted(e, hold, grant->id, names, (size_t)grant->count);
}

static void entry_local_refuse(void *ctx, uint64_t entry, uint64_t ask_id, enum pool_refusal why,
			       int64_t retry_us)
{
	struct entry *e = ctx;
	struct entry_hold *hold = entry_hold_by_id(e, ask_id);

	(void)entry;
	if (hold)
		entry_refused(e, hold, why, retry_us);
}

static void entry_local_probe(void *ctx, const struct pool_endpoint *endpoint)
{
	(void)ctx;
	(void)endpoint;
}

/* Nobody polls endpoints for a pool that is decided here, so what failed is tried again in time. */
void entry_broker_tick(struct entry *e, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, e->broker.locals);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool *pool = value;

		for (guint i = 0; i < pool->endpoints->len; i++) {
			struct pool_endpoint *endpoint = pool->endpoints->pdata[i];

			if (endpoint->down && now_us - endpoint->report_us > ENTRY_LOCAL_FORGIVE_US)
				pool_on_load(pool, endpoint->name, 0, false, now_us);
		}
		pool_on_tick(pool, now_us);
	}
}

/* --- claims --- */

static void entry_claim_news(struct entry *e, struct entry_pending_claim *pending, int verdict,
			     const Once__Claim *winner)
{
	struct entry_news *news = g_new0(struct entry_news, 1);

	news->kind = ENTRY_NEWS_CLAIM;
	news->call_id = pending->claim->call_id;
	news->attempt = pending->claim->attempt;
	news->verdict = verdict;
	if (winner) {
		news->winner_id = g_strdup(winner->id);
		news->winner_request = g_strdup(winner->request);
		news->winner_entry = g_strdup(winner->entry);
		news->winner_endpoints = g_strdup(winner->endpoints);
		news->winner_digest = g_strdup(winner->digest);
	}
	g_hash_table_remove(e->broker.claims, &pending->ask_id);
	entry_send_news(e, news);
}

static struct entry_home *entry_claims_home(struct entry *e, const char *key)
{
	char *name = g_strdup_printf(
		"claims-%u", once_partition(key, (unsigned int)e->settings.claim_partitions));
	const struct host *host = host_home(&e->view.hosts, name, 0, tmr_now());

	g_free(name);
	return host ? entry_home(e, host) : NULL;
}

/* The same claim may be asked for at several homes; the log knows it by its id. */
static void entry_place_claim(struct entry *e, struct entry_pending_claim *pending)
{
	struct entry_claim *claim = pending->claim;
	struct entry_home *home =
		pending->rank < ENTRY_HOME_RANKS ? entry_claims_home(e, claim->key) : NULL;
	Once__Claim msg = ONCE__CLAIM__INIT;

	pending->rank++;
	g_free(pending->home);
	pending->home = home ? g_strdup(home->host) : NULL;
	if (!home) {
		entry_claim_news(e, pending, ONCE_OUT, NULL);
		return;
	}
	msg.ask_id = pending->ask_id;
	msg.key = claim->key;
	msg.id = claim->id;
	msg.request = claim->request;
	msg.entry = e->settings.name;
	msg.endpoints = claim->endpoints;
	msg.digest = claim->digest;
	msg.supersedes = claim->supersedes;
	frm_send(home->conn, MSG_ONCE_CLAIM, &msg.base);
	entry_home_waits(home);
}

void entry_post_claim(void *letter)
{
	struct entry_claim *claim = letter;
	struct entry *e = claim->entry;
	struct entry_pending_claim *pending = g_new0(struct entry_pending_claim, 1);

	pending->claim = claim;
	pending->ask_id = ++e->broker.last_id;
	g_hash_table_insert(e->broker.claims, &pending->ask_id, pending);
	entry_place_claim(e, pending);
}

void entry_post_release(void *letter)
{
	struct entry_claim *claim = letter;
	struct entry *e = claim->entry;
	struct entry_home *home = entry_claims_home(e, claim->key);
	Once__Release msg = ONCE__RELEASE__INIT;

	msg.key = claim->key;
	msg.id = claim->id;
	if (home)
		frm_send(home->conn, MSG_ONCE_RELEASE, &msg.base);
	entry_claim_free(claim);
}

static int entry_on_verdict(struct entry *e, const uint8_t *body, size_t len)
{
	Once__Verdict *msg = once__verdict__unpack(NULL, len, body);
	struct entry_pending_claim *pending;

	if (!msg)
		return BASE_EFRAME;
	pending = g_hash_table_lookup(e->broker.claims, &msg->ask_id);
	if (pending) {
		entry_home_answered(entry_home_named(e, pending->home));
		entry_claim_news(e, pending, (int)msg->verdict, msg->winner);
	}
	once__verdict__free_unpacked(msg, NULL);
	return 0;
}
