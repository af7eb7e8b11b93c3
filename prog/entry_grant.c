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
	ENTRY_GRANT_HOMES_MAX = 3, /* homes tried before the entry decides alone */
	ENTRY_POOLS_TRIED_MAX = 2,
	ENTRY_ATTEMPTS_MAX = 128, /* above the settings' limit */
	ENTRY_POOL_AVOID_US = USEC_PER_SEC
};

static void entry_grant_submit(struct entry *e, struct entry_grant *grant);

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

static void entry_grant_request_free(struct entry_grant_request *request)
{
	g_free(request->account);
	g_free(request->model);
	g_free(request->version);
	g_strfreev(request->exclude);
	g_free(request);
}

void entry_grant_free(gpointer data)
{
	struct entry_grant *grant = data;

	if (grant->stages)
		g_ptr_array_free(grant->stages, TRUE);
	entry_grant_request_free(grant->request);
	g_free(grant->home);
	g_free(grant);
}

/* Tells a home what is in flight that another one had granted. */
static void entry_send_holding(struct entry_grant *grant, struct entry_home *home)
{
	Pool__Holding msg = POOL__HOLDING__INIT;
	char **names = g_new0(char *, grant->stages->len + 1);

	for (guint i = 0; i < grant->stages->len; i++)
		names[i] = ((struct entry_stage *)grant->stages->pdata[i])->name;
	msg.ask_id = grant->ask_id;
	msg.pool = grant->pool->name;
	msg.account = grant->request->account;
	msg.tokens = grant->request->tokens;
	msg.stages = names;
	msg.n_stages = grant->stages->len;
	frm_send(home->conn, MSG_POOL_HOLDING, &msg.base);
	g_free(names);
}

static void entry_grant_transfer(struct entry *e, struct entry_grant *grant)
{
	const struct host *host = entry_home_host(e, grant->pool->name);
	struct entry_home *home = host ? entry_home_connect(e, host) : NULL;

	grant->grant_id = 0;
	g_free(grant->home);
	grant->home = home ? g_strdup(home->host) : NULL;
	if (home)
		entry_send_holding(grant, home);
}

static void entry_send_ask(struct entry_grant *grant, struct entry_home *home)
{
	struct entry_grant_request *request = grant->request;
	Pool__Ask msg = POOL__ASK__INIT;

	msg.ask_id = grant->ask_id;
	msg.pool = grant->pool->name;
	msg.account = request->account;
	msg.version = request->version;
	msg.tokens = request->tokens;
	msg.wait_us = (uint64_t)MAX(request->deadline_us - tmr_now(), 0);
	msg.exclude = request->exclude;
	msg.n_exclude = request->exclude ? g_strv_length(request->exclude) : 0;
	frm_send(home->conn, MSG_POOL_ASK, &msg.base);
	entry_home_begin_wait(home);
}

static void entry_send_withdraw(struct entry_grant *grant, struct entry_home *home)
{
	Pool__Withdraw msg = POOL__WITHDRAW__INIT;

	msg.ask_id = grant->ask_id;
	msg.pool = grant->pool->name;
	frm_send(home->conn, MSG_POOL_WITHDRAW, &msg.base);
	entry_home_end_wait(home);
}

static void entry_send_done(struct entry_grant *grant, struct entry_home *home, uint64_t tokens,
			    enum pool_outcome outcome, char *faulty_endpoint)
{
	Pool__Done msg = POOL__DONE__INIT;

	msg.grant_id = grant->grant_id;
	msg.pool = grant->pool->name;
	msg.tokens = tokens;
	msg.outcome = (uint32_t)outcome;
	if (faulty_endpoint)
		msg.bad = faulty_endpoint;
	frm_send(home->conn, MSG_POOL_DONE, &msg.base);
}

/* Asks the pool's home, or decides here when the homes in rendezvous order all seem lost. */
static void entry_grant_submit(struct entry *e, struct entry_grant *grant)
{
	const struct host *host = NULL;
	struct entry_home *home;

	if (grant->homes_tried < ENTRY_GRANT_HOMES_MAX)
		host = entry_home_host(e, grant->pool->name);
	grant->homes_tried++;
	home = host ? entry_home_connect(e, host) : NULL;
	g_free(grant->home);
	grant->home = home ? g_strdup(home->host) : NULL;
	if (home)
		entry_send_ask(grant, home);
	else
		entry_local_request_grant(e, grant);
}

static uint64_t entry_attempt_key(uint64_t call_id, unsigned int attempt)
{
	return call_id * ENTRY_ATTEMPTS_MAX + attempt;
}

void entry_post_grant_request(void *task)
{
	struct entry_grant_request *request = task;
	struct entry *e = request->entry;
	struct entry_grant *grant = g_new0(struct entry_grant, 1);

	grant->request = request;
	grant->ask_id = ++e->broker.last_id;
	grant->asked_us = tmr_now();
	grant->call_key = entry_attempt_key(request->call_id, request->attempt);
	g_hash_table_insert(e->broker.grants, &grant->ask_id, grant);
	g_hash_table_insert(e->broker.grants_by_call, &grant->call_key, grant);
	grant->pool = entry_choose_pool(e, grant, NULL, true, true);
	if (!grant->pool)
		grant->pool = entry_choose_pool(e, grant, NULL, true, false);
	if (!grant->pool)
		grant->pool = entry_choose_pool(e, grant, NULL, false, false);
	grant->pools_tried = 1;
	if (grant->pool)
		entry_grant_submit(e, grant);
	else
		entry_grant_refused(e, grant, POOL_REFUSE_NO_PATH, ENTRY_POOL_AVOID_US);
}

static struct entry_grant *entry_grant_by_call(struct entry *e, uint64_t call_id,
					       unsigned int attempt)
{
	uint64_t key = entry_attempt_key(call_id, attempt);

	return g_hash_table_lookup(e->broker.grants_by_call, &key);
}

static void entry_grant_remove(struct entry *e, struct entry_grant *grant)
{
	g_hash_table_remove(e->broker.grants_by_call, &grant->call_key);
	g_hash_table_remove(e->broker.grants, &grant->ask_id);
}

struct entry_grant *entry_grant_by_id(struct entry *e, uint64_t ask_id)
{
	return g_hash_table_lookup(e->broker.grants, &ask_id);
}

void entry_post_grant_withdrawal(void *task)
{
	struct entry_grant_end *grant_end = task;
	struct entry *e = grant_end->entry;
	struct entry_grant *grant = entry_grant_by_call(e, grant_end->call_id, grant_end->attempt);
	struct entry_home *home = grant ? entry_home_find(e, grant->home) : NULL;

	if (grant && grant->granted) {
		/* The grant was on its way to the traffic thread. */
		entry_post_grant_end(task);
		return;
	}
	if (home) {
		entry_send_withdraw(grant, home);
	} else if (grant && grant->pool) {
		struct pool *local = g_hash_table_lookup(e->broker.local_pools, grant->pool->name);

		if (local)
			pool_on_withdraw(local, 0, grant->ask_id, tmr_now());
	}
	if (grant)
		entry_grant_remove(e, grant);
	g_free(grant_end->faulty_endpoint);
	g_free(grant_end);
}

void entry_post_grant_end(void *task)
{
	struct entry_grant_end *grant_end = task;
	struct entry *e = grant_end->entry;
	struct entry_grant *grant = entry_grant_by_call(e, grant_end->call_id, grant_end->attempt);
	struct entry_home *home = grant ? entry_home_find(e, grant->home) : NULL;

	if (home && grant->grant_id != 0) {
		entry_send_done(grant, home, grant_end->tokens, grant_end->outcome,
				grant_end->faulty_endpoint);
	} else if (grant && !home) {
		struct pool *local = g_hash_table_lookup(e->broker.local_pools, grant->pool->name);

		if (local)
			pool_on_done(local, grant->grant_id, grant_end->tokens, grant_end->outcome,
				     grant_end->faulty_endpoint, tmr_now());
	}
	if (grant)
		entry_grant_remove(e, grant);
	g_free(grant_end->faulty_endpoint);
	g_free(grant_end);
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

void entry_grant_succeeded(struct entry *e, struct entry_grant *grant, uint64_t grant_id,
			   char **names, size_t n)
{
	struct entry_event *event;

	grant->stages = entry_stages(e, names, n);
	grant->granted = true;
	grant->grant_id = grant_id;
	if (!grant->stages) {
		/* The home knows an endpoint that this host's view does not have yet. */
		grant->stages = g_ptr_array_new_with_free_func(entry_stage_free);
		met_add(met_counter("bg_grants_of_unknown_endpoints_total", ""), 1);
	}
	met_observe(met_histogram("bg_step_us", "step=\"grant\""), tmr_now() - grant->asked_us);
	event = entry_event_new(ENTRY_EVENT_GRANTED, grant->request->call_id,
				grant->request->attempt);
	event->stages = g_ptr_array_copy(grant->stages, entry_stage_copy, NULL);
	entry_send_event(e, event);
}

int entry_on_grant(struct entry *e, const uint8_t *body, size_t len)
{
	Pool__Grant *msg = pool__grant__unpack(NULL, len, body);
	struct entry_grant *grant;

	if (!msg)
		return BASE_EFRAME;
	grant = entry_grant_by_id(e, msg->ask_id);
	if (grant && !grant->granted) {
		entry_home_end_wait(entry_home_find(e, grant->home));
		grant->pool->wait_us = (int64_t)msg->wait_us;
		entry_grant_succeeded(e, grant, msg->grant_id, msg->stages, msg->n_stages);
	}
	pool__grant__free_unpacked(msg, NULL);
	return 0;
}

void entry_grant_refused(struct entry *e, struct entry_grant *grant, enum pool_refusal why,
			 int64_t retry_us)
{
	struct entry_pool *other;
	struct entry_event *event;

	log_msg(LOG_INFO,
		"grant_refused account=%s version=%s pool=%s home=%s rank=%u why=%s revision=%lld",
		grant->request->account, grant->request->version,
		grant->pool ? grant->pool->name : "", grant->home ? grant->home : "",
		grant->homes_tried, pool_refusal_name(why), (long long)e->view.clog.revision);
	if (grant->pool) {
		grant->pool->avoid_until_us = tmr_now() + MIN(retry_us, ENTRY_POOL_AVOID_US);
		other = entry_choose_pool(e, grant, grant->pool, true, false);
		if (other && grant->pools_tried < ENTRY_POOLS_TRIED_MAX) {
			grant->pools_tried++;
			grant->pool = other;
			grant->homes_tried = 0;
			entry_grant_submit(e, grant);
			return;
		}
	}
	event = entry_event_new(ENTRY_EVENT_REFUSED, grant->request->call_id,
				grant->request->attempt);
	event->refusal = entry_refusals[why];
	event->retry_us = retry_us;
	entry_grant_remove(e, grant);
	entry_send_event(e, event);
}

int entry_on_refuse(struct entry *e, const uint8_t *body, size_t len)
{
	Pool__Refuse *msg = pool__refuse__unpack(NULL, len, body);
	struct entry_grant *grant;

	if (!msg)
		return BASE_EFRAME;
	grant = entry_grant_by_id(e, msg->ask_id);
	if (grant && !grant->granted && msg->why < POOL_REFUSE_COUNT) {
		entry_home_end_wait(entry_home_find(e, grant->home));
		entry_grant_refused(e, grant, (enum pool_refusal)msg->why, (int64_t)msg->retry_us);
	}
	pool__refuse__free_unpacked(msg, NULL);
	return 0;
}

int entry_on_held(struct entry *e, const uint8_t *body, size_t len)
{
	Pool__Held *msg = pool__held__unpack(NULL, len, body);
	struct entry_grant *grant;

	if (!msg)
		return BASE_EFRAME;
	grant = entry_grant_by_id(e, msg->ask_id);
	if (grant)
		grant->grant_id = msg->grant_id;
	pool__held__free_unpacked(msg, NULL);
	return 0;
}

/* What was granted is told to the home of now; what waits is asked there. */
static void entry_grant_change_home(struct entry *e, struct entry_grant *grant)
{
	if (grant->granted)
		entry_grant_transfer(e, grant);
	else
		entry_grant_submit(e, grant);
}

/* What a lost home had goes to the next one: what was granted, and what waits. */
void entry_grants_home_lost(struct entry *e, const char *host)
{
	GList *grants = g_hash_table_get_values(e->broker.grants);

	for (GList *l = grants; l; l = l->next) {
		struct entry_grant *grant = l->data;

		if (grant->home && strcmp(grant->home, host) == 0)
			entry_grant_change_home(e, grant);
	}
	g_list_free(grants);
}

/*
 * The list has changed, so pools may have another home. Their grants and what waits move there;
 * the old home, if it still lives, is told that it has them no more.
 */
void entry_grants_on_hosts(struct entry *e)
{
	GList *grants = g_hash_table_get_values(e->broker.grants);

	for (GList *l = grants; l; l = l->next) {
		struct entry_grant *grant = l->data;
		const struct host *host =
			grant->pool ? host_home(&e->view.hosts, grant->pool->name, 0, tmr_now())
				    : NULL;
		struct entry_home *old = entry_home_find(e, grant->home);

		if (!host || !grant->home || strcmp(host->name, grant->home) == 0)
			continue;
		if (grant->granted && old && grant->grant_id != 0)
			entry_send_done(grant, old, grant->request->tokens, POOL_OUTCOME_OK, NULL);
		else if (old && !grant->granted)
			entry_send_withdraw(grant, old);
		entry_grant_change_home(e, grant);
	}
	g_list_free(grants);
}
