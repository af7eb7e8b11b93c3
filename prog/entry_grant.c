#include "base/err.h"
#include "base/log.h"
#include "base/met.h"
#include "msg/kind.h"
#include "msg/pool.pb-c.h"
#include "prog/entry_broker.h"

#include <string.h>

/*
 * Grants: asked of the homes of pools on behalf of the traffic thread. A home that is lost is
 * replaced by the next in rendezvous order, which is told what waits and what is in flight.
 */
enum {
	ENTRY_HOME_RANKS = 3, /* homes tried before the entry decides alone */
	ENTRY_POOLS_TRIED = 2,
	ENTRY_ATTEMPTS_MAX = 128, /* above the settings' limit */
	ENTRY_AVOID_US = USEC_PER_SEC
};

static void entry_place(struct entry *e, struct entry_hold *hold);

static const enum req_grant_refusal entry_refusals[POOL_REFUSE_COUNT] = {
	[POOL_REFUSE_FULL] = REQ_GRANT_QUEUE,
	[POOL_REFUSE_DEADLINE] = REQ_GRANT_WAIT,
	[POOL_REFUSE_NO_PATH] = REQ_GRANT_NO_PATH,
};

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

void entry_hold_free(gpointer data)
{
	struct entry_hold *hold = data;

	if (hold->stages)
		g_ptr_array_free(hold->stages, TRUE);
	entry_ask_free(hold->ask);
	g_free(hold->home);
	g_free(hold);
}

/* Tells a home what is in flight that another one had granted. */
static void entry_send_holding(struct entry_hold *hold, struct entry_home *home)
{
	Pool__Holding msg = POOL__HOLDING__INIT;
	char **names = g_new0(char *, hold->stages->len + 1);

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
		entry_send_holding(hold, home);
}

static void entry_send_ask(struct entry_hold *hold, struct entry_home *home)
{
	struct entry_ask *ask = hold->ask;
	Pool__Ask msg = POOL__ASK__INIT;

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

static void entry_send_withdraw(struct entry_hold *hold, struct entry_home *home)
{
	Pool__Withdraw msg = POOL__WITHDRAW__INIT;

	msg.ask_id = hold->ask_id;
	msg.pool = hold->pool->name;
	frm_send(home->conn, MSG_POOL_WITHDRAW, &msg.base);
	entry_home_answered(home);
}

static void entry_send_done(struct entry_hold *hold, struct entry_home *home, uint64_t tokens,
			    enum pool_outcome outcome, char *bad)
{
	Pool__Done msg = POOL__DONE__INIT;

	msg.grant_id = hold->grant_id;
	msg.pool = hold->pool->name;
	msg.tokens = tokens;
	msg.outcome = (uint32_t)outcome;
	if (bad)
		msg.bad = bad;
	frm_send(home->conn, MSG_POOL_DONE, &msg.base);
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
	if (home)
		entry_send_ask(hold, home);
	else
		entry_local_ask(e, hold);
}

static uint64_t entry_call_key(uint64_t call_id, unsigned int attempt)
{
	return call_id * ENTRY_ATTEMPTS_MAX + attempt;
}

void entry_post_ask(void *task)
{
	struct entry_ask *ask = task;
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

struct entry_hold *entry_hold_by_id(struct entry *e, uint64_t ask_id)
{
	return g_hash_table_lookup(e->broker.holds, &ask_id);
}

void entry_post_withdraw(void *task)
{
	struct entry_ungrant *ungrant = task;
	struct entry *e = ungrant->entry;
	struct entry_hold *hold = entry_hold_of(e, ungrant->call_id, ungrant->attempt);
	struct entry_home *home = hold ? entry_home_named(e, hold->home) : NULL;

	if (hold && hold->granted) {
		/* The grant was on its way to the traffic thread. */
		entry_post_ungrant(task);
		return;
	}
	if (home) {
		entry_send_withdraw(hold, home);
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

void entry_post_ungrant(void *task)
{
	struct entry_ungrant *ungrant = task;
	struct entry *e = ungrant->entry;
	struct entry_hold *hold = entry_hold_of(e, ungrant->call_id, ungrant->attempt);
	struct entry_home *home = hold ? entry_home_named(e, hold->home) : NULL;

	if (home && hold->grant_id != 0) {
		entry_send_done(hold, home, ungrant->tokens, ungrant->outcome, ungrant->bad);
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

struct entry_event *entry_event_new(enum entry_event_kind kind, uint64_t call_id,
				    unsigned int attempt)
{
	struct entry_event *event = g_new0(struct entry_event, 1);

	event->kind = kind;
	event->call_id = call_id;
	event->attempt = attempt;
	return event;
}

void entry_send_event(struct entry *e, struct entry_event *event)
{
	event->entry = e;
	loop_post(&e->traffic.loop, entry_on_event, event);
}

void entry_granted(struct entry *e, struct entry_hold *hold, uint64_t grant_id, char **names,
		   size_t n)
{
	struct entry_event *event;

	hold->stages = entry_stages(e, names, n);
	hold->granted = true;
	hold->grant_id = grant_id;
	if (!hold->stages) {
		/* The home knows an endpoint that this host's view does not have yet. */
		hold->stages = g_ptr_array_new_with_free_func(entry_stage_free);
		met_add(met_counter("bg_grants_of_unknown_endpoints_total", ""), 1);
	}
	met_observe(met_histogram("bg_step_us", "step=\"grant\""), tmr_now() - hold->asked_us);
	event = entry_event_new(ENTRY_EVENT_GRANTED, hold->ask->call_id, hold->ask->attempt);
	event->stages = g_ptr_array_copy(hold->stages, entry_stage_copy, NULL);
	entry_send_event(e, event);
}

int entry_on_grant(struct entry *e, const uint8_t *body, size_t len)
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

void entry_refused(struct entry *e, struct entry_hold *hold, enum pool_refusal why,
		   int64_t retry_us)
{
	struct entry_pool *other;
	struct entry_event *event;

	log_msg(LOG_INFO,
		"grant_refused account=%s version=%s pool=%s home=%s rank=%u why=%s revision=%lld",
		hold->ask->account, hold->ask->version, hold->pool ? hold->pool->name : "",
		hold->home ? hold->home : "", hold->rank, pool_refusal_name(why),
		(long long)e->view.clog.revision);
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
	event = entry_event_new(ENTRY_EVENT_REFUSED, hold->ask->call_id, hold->ask->attempt);
	event->refusal = entry_refusals[why];
	event->retry_us = retry_us;
	entry_hold_remove(e, hold);
	entry_send_event(e, event);
}

int entry_on_refuse(struct entry *e, const uint8_t *body, size_t len)
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

int entry_on_held(struct entry *e, const uint8_t *body, size_t len)
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

/* What was granted is told to the home of now; what waits is asked there. */
static void entry_move(struct entry *e, struct entry_hold *hold)
{
	if (hold->granted)
		entry_rehome_grant(e, hold);
	else
		entry_place(e, hold);
}

/* What a lost home had goes to the next one: what was granted, and what waits. */
void entry_grants_home_lost(struct entry *e, const char *host)
{
	GList *holds = g_hash_table_get_values(e->broker.holds);

	for (GList *l = holds; l; l = l->next) {
		struct entry_hold *hold = l->data;

		if (hold->home && strcmp(hold->home, host) == 0)
			entry_move(e, hold);
	}
	g_list_free(holds);
}

/*
 * The list has changed, so pools may have another home. Their grants and what waits move there;
 * the old home, if it still lives, is told that it has them no more.
 */
void entry_grants_on_hosts(struct entry *e)
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
		if (hold->granted && old && hold->grant_id != 0)
			entry_send_done(hold, old, hold->ask->tokens, POOL_OUTCOME_OK, NULL);
		else if (old && !hold->granted)
			entry_send_withdraw(hold, old);
		entry_move(e, hold);
	}
	g_list_free(holds);
}
