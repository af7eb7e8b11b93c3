#include "base/err.h"
#include "base/log.h"
#include "base/met.h"
#include "msg/kind.h"
#include "msg/pool.pb-c.h"
#include "prog/entry_broker.h"

#include <string.h>

/*
 * Requests grants from the homes of pools on behalf of the traffic thread. A lost home is replaced
 * by the next host in rendezvous order, which receives the pending requests and the grants in use.
 */
enum {
	ENTRY_GRANT_HOMES_MAX = 3,	   /* homes asked before this host decides locally */
	ENTRY_POOLS_TRIED_MAX = 2,	   /* pools asked before a refusal is final */
	ENTRY_ATTEMPT_KEY_FACTOR = 128,	   /* larger than any attempts_max */
	ENTRY_POOL_AVOID_US = USEC_PER_SEC /* longest time to avoid a pool, in microseconds */
};

static void entry_grant_submit(struct entry *e, struct entry_grant *grant);

/* Reasons of pools as reasons of the request state machine. */
static const enum req_grant_refusal entry_refusals[POOL_REFUSE_COUNT] = {
	[POOL_REFUSE_QUEUE_FULL] = REQ_GRANT_QUEUE_FULL,
	[POOL_REFUSE_DEADLINE] = REQ_GRANT_PAST_DEADLINE,
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

/* Reports a grant in use that another home has given to the new home of its pool. */
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

/*
 * Requests a grant from the pool's home. Decides locally if too many homes were tried or none is
 * usable.
 */
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

/* Returns the key of an attempt in grants_by_call. */
static uint64_t entry_attempt_key(uint64_t call_id, unsigned int attempt)
{
	return call_id * ENTRY_ATTEMPT_KEY_FACTOR + attempt;
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
		/* The grant was given, but the traffic thread had not received it yet. */
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
			pool_on_attempt_end(local, grant->grant_id, grant_end->tokens,
					    grant_end->outcome, grant_end->faulty_endpoint,
					    tmr_now());
	}
	if (grant)
		entry_grant_remove(e, grant);
	g_free(grant_end->faulty_endpoint);
	g_free(grant_end);
}

/*
 * Looks up addresses and layers of the named endpoints in this host's view of the configuration.
 * Returns NULL if one is unknown.
 */
static GPtrArray *entry_stages_by_name(struct entry *e, char **names, size_t n)
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

	grant->stages = entry_stages_by_name(e, names, n);
	grant->granted = true;
	grant->grant_id = grant_id;
	if (!grant->stages) {
		/* The home has an endpoint that this host's configuration does not have yet. */
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

/* Reports a grant to the pool's current home, or requests it there if it is pending. */
static void entry_grant_change_home(struct entry *e, struct entry_grant *grant)
{
	if (grant->granted)
		entry_grant_transfer(e, grant);
	else
		entry_grant_submit(e, grant);
}

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
 * Moves grants and pending requests whose pools have another home in the new list of hosts. The old
 * home, if it is still connected, receives the end of the grant or the withdrawal of the request.
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
