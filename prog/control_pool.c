#include "base/err.h"
#include "base/log.h"
#include "base/met.h"
#include "msg/kind.h"
#include "msg/pool.pb-c.h"
#include "prog/control.h"

#include <string.h>

/* Pools of which this daemon is the home: their queues, and load polls of their endpoints. */
enum {
	/* Time without messages after which an unused pool is freed, in microseconds. */
	CONTROL_POOL_UNUSED_US = 60 * USEC_PER_SEC,

	/* Time for which requests wait while the pool has no pipeline, in microseconds. */
	CONTROL_NO_PIPELINE_WAIT_US = 2 * USEC_PER_SEC,

	/* Consecutive failed polls after which an endpoint counts as down. */
	CONTROL_POLL_FAILURES_DOWN = 2
};

/* Periodic requests for the load report of one endpoint. */
struct control_poll {
	struct control_pool *cp;
	char *endpoint;
	struct hc_call *call; /* Request in progress, or NULL. */
	struct tmr timer;     /* Timer of the next request. */
	int failures;	      /* Consecutive failed requests. */
};

static void control_poll_send(void *ctx, int64_t now_us);
static void control_on_load(void *ctx, int status, int err, bool sent, const char *body,
			    size_t len);
static void control_send_grant(void *ctx, const struct pool_grant *grant, int64_t wait_us);
static void control_send_refusal(void *ctx, uint64_t entry, uint64_t ask_id, enum pool_refusal why,
				 int64_t retry_us);
static void control_probe(void *ctx, const struct pool_endpoint *endpoint);

static const struct hc_ops control_load_ops = {.on_done = control_on_load};
static const struct pool_ops control_pool_ops = {control_send_grant, control_send_refusal,
						 control_probe};

static void control_poll_free(gpointer data)
{
	struct control_poll *poll = data;

	tmr_cancel(&poll->cp->c->loop.tmr, &poll->timer);
	if (poll->call)
		hc_cancel(poll->call);
	g_free(poll->endpoint);
	g_free(poll);
}

static enum pool_policy control_parse_policy(const struct control *c)
{
	for (int i = 0; i < POOL_POLICY_COUNT; i++) {
		if (strcmp(c->settings.policy, pool_policy_name((enum pool_policy)i)) == 0)
			return (enum pool_policy)i;
	}
	return POOL_POLICY_FLOW;
}

/* Starts polls of endpoints added to the pool, and stops polls of removed ones. */
static void control_sync_polls(struct control_pool *cp)
{
	GHashTableIter iter;
	gpointer key;

	for (guint i = 0; i < cp->pool.endpoints->len; i++) {
		const struct pool_endpoint *e = cp->pool.endpoints->pdata[i];
		struct control_poll *poll = g_hash_table_lookup(cp->polls, e->name);

		if (poll)
			continue;
		poll = g_new0(struct control_poll, 1);
		poll->cp = cp;
		poll->endpoint = g_strdup(e->name);
		g_hash_table_insert(cp->polls, poll->endpoint, poll);
		control_poll_send(poll, tmr_now());
	}
	g_hash_table_iter_init(&iter, cp->polls);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		if (!pool_find_endpoint(&cp->pool, key))
			g_hash_table_iter_remove(&iter);
	}
}

/* Returns a pool by name; creates it at first use. */
static struct control_pool *control_pool_get(struct control *c, const char *name)
{
	struct control_pool *cp = g_hash_table_lookup(c->pools, name);
	struct pool_settings settings = {control_parse_policy(c), (int)c->settings.overlap_percent,
					 1, CONTROL_NO_PIPELINE_WAIT_US};

	if (!cp) {
		cp = g_new0(struct control_pool, 1);
		cp->c = c;
		cp->polls = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, control_poll_free);
		pool_init(&cp->pool, name, &settings, &control_pool_ops, cp);
		g_hash_table_insert(c->pools, cp->pool.name, cp);
		log_msg(LOG_INFO, "pool_home pool=%s", name);
		pool_on_conf(&cp->pool, c->clog.state, tmr_now());
		control_sync_polls(cp);
	}
	cp->last_used_us = tmr_now();
	return cp;
}

void control_pools_on_conf(struct control *c)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct control_pool *cp = value;

		pool_on_conf(&cp->pool, c->clog.state, tmr_now());
		control_sync_polls(cp);
	}
}

void control_pools_tick(struct control *c, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct control_pool *cp = value;

		pool_on_tick(&cp->pool, now_us);
		if (now_us - cp->last_used_us < CONTROL_POOL_UNUSED_US ||
		    g_hash_table_size(cp->pool.grants) > 0)
			continue;
		log_msg(LOG_INFO, "pool_left pool=%s", cp->pool.name);
		g_hash_table_iter_remove(&iter);
		g_hash_table_destroy(cp->polls);
		pool_finish(&cp->pool);
		g_free(cp);
	}
}

void control_pools_conn_closed(struct control *c, uint64_t conn)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		pool_on_entry_disconnected(&((struct control_pool *)value)->pool, conn, tmr_now());
}

static void control_poll_send(void *ctx, int64_t now_us)
{
	struct control_poll *poll = ctx;
	struct control *c = poll->cp->c;
	const struct pool_endpoint *e = pool_find_endpoint(&poll->cp->pool, poll->endpoint);
	struct hc_request request = {
		.method = "GET",
		.connect_ms = CONTROL_CONNECT_MS,
		.total_ms = c->settings.load_timeout_ms,
		.fresh = poll->failures > 0,
	};
	char *url;

	(void)now_us;
	if (!e || poll->call)
		return;
	url = g_strdup_printf("http://%s/load", e->address);
	request.url = url;
	met_add(met_counter("bg_load_polls_total", ""), 1);
	poll->call = hc_start(c->hc, &request, &control_load_ops, poll);
	g_free(url);
}

static void control_poll_failed(struct control_poll *poll, int err)
{
	bool down;

	poll->failures++;
	down = err == BASE_EREFUSED || poll->failures >= CONTROL_POLL_FAILURES_DOWN;
	if (down && poll->failures <= CONTROL_POLL_FAILURES_DOWN) {
		log_msg(LOG_WARNING, "endpoint_down endpoint=%s reason=\"%s\"", poll->endpoint,
			base_strerror(err));
		met_add(met_counter("bg_endpoint_down_total", ""), 1);
	}
	if (down)
		pool_on_endpoint_down(&poll->cp->pool, poll->endpoint, tmr_now());
}

/*
 * Returns whether the endpoint reports the declared version and layers. Until it does, because an
 * order is being executed or an outdated one arrived late, the endpoint rejects requests as not
 * run.
 */
static bool control_load_matches_conf(const struct control_poll *poll, const json_t *report)
{
	const struct pool_endpoint *e = pool_find_endpoint(&poll->cp->pool, poll->endpoint);
	const char *version = json_string_value(json_object_get(report, "version"));

	return e && version && strcmp(version, e->version) == 0 &&
	       json_integer_value(json_object_get(report, "first")) == e->first &&
	       json_integer_value(json_object_get(report, "last")) == e->last;
}

static void control_on_load(void *ctx, int status, int err, bool sent, const char *body, size_t len)
{
	struct control_poll *poll = ctx;
	struct control *c = poll->cp->c;
	json_t *json = status == 200 ? json_loadb(body, len, 0, NULL) : NULL;
	int64_t delay = c->settings.load_ms * USEC_PER_MSEC;

	(void)sent;
	poll->call = NULL;
	if (json) {
		if (poll->failures >= CONTROL_POLL_FAILURES_DOWN)
			log_msg(LOG_NOTICE, "endpoint_up endpoint=%s", poll->endpoint);
		poll->failures = 0;
		pool_on_load_report(&poll->cp->pool, poll->endpoint,
				    (int)json_integer_value(json_object_get(json, "running")),
				    json_is_true(json_object_get(json, "leaving")) ||
					    !control_load_matches_conf(poll, json),
				    tmr_now());
	} else {
		control_poll_failed(poll, err < 0 ? err : BASE_EHTTP);
		if (poll->failures < CONTROL_POLL_FAILURES_DOWN)
			delay = 0;
	}
	json_decref(json);
	loop_start_timer(&c->loop, &poll->timer, delay, control_poll_send, poll);
}

static void control_probe(void *ctx, const struct pool_endpoint *endpoint)
{
	struct control_pool *cp = ctx;
	struct control_poll *poll = g_hash_table_lookup(cp->polls, endpoint->name);

	if (poll && !poll->call)
		loop_start_timer(&cp->c->loop, &poll->timer, 0, control_poll_send, poll);
}

static struct control_conn *control_conn_find(struct control *c, uint64_t id)
{
	return g_hash_table_lookup(c->conns, &id);
}

static void control_send_grant(void *ctx, const struct pool_grant *grant, int64_t wait_us)
{
	struct control_pool *cp = ctx;
	struct control_conn *conn = control_conn_find(cp->c, grant->entry);
	Pool__Grant msg = POOL__GRANT__INIT;
	char *stages[FLOW_STAGES_MAX];
	char *labels;

	for (int s = 0; s < grant->count; s++)
		stages[s] = grant->stages[s]->name;
	msg.ask_id = grant->ask_id;
	msg.grant_id = grant->id;
	msg.stages = stages;
	msg.n_stages = (size_t)grant->count;
	msg.wait_us = (uint64_t)MAX(wait_us, 0);
	if (conn)
		frm_send(conn->conn, MSG_POOL_GRANT, &msg.base);
	labels = g_strdup_printf("account=\"%s\",pool=\"%s\"", grant->account->name, cp->pool.name);
	met_observe(met_histogram("bg_queue_wait_us", labels), grant->waited_us);
	g_free(labels);
}

static void control_send_refusal(void *ctx, uint64_t entry, uint64_t ask_id, enum pool_refusal why,
				 int64_t retry_us)
{
	struct control_pool *cp = ctx;
	struct control_conn *conn = control_conn_find(cp->c, entry);
	Pool__Refuse msg = POOL__REFUSE__INIT;
	char *labels = g_strdup_printf("why=\"%s\"", pool_refusal_name(why));

	met_add(met_counter("bg_refusals_total", labels), 1);
	g_free(labels);
	msg.ask_id = ask_id;
	msg.why = (uint32_t)why;
	msg.retry_us = (uint64_t)retry_us;
	if (conn)
		frm_send(conn->conn, MSG_POOL_REFUSE, &msg.base);
}

/* Returns the declared limits of an account; the lowest ones if it is not declared any more. */
static struct fair_limits control_account_limits(const struct control *c, const char *account)
{
	const struct conf_obj *obj = conf_get(c->clog.state, CONF_ACCOUNT, account);
	struct fair_limits limits = {1, 1, 1};

	if (obj) {
		limits.weight = (uint32_t)obj->value[ACCOUNT_SHARE];
		limits.queue = (uint32_t)obj->value[ACCOUNT_QUEUE];
		limits.inflight = (uint32_t)obj->value[ACCOUNT_LIMIT];
	}
	return limits;
}

/* Returns a NULL-terminated copy of a message's list; the strings still belong to the message. */
static char **control_string_list(char **names, size_t n)
{
	char **list = g_new0(char *, n + 1);

	for (size_t i = 0; i < n; i++)
		list[i] = names[i];
	return list;
}

int control_on_ask(struct control *c, struct frm_conn *conn, const uint8_t *body, size_t len)
{
	Pool__Ask *msg = pool__ask__unpack(NULL, len, body);
	struct control_conn *peer = frm_user_data(conn);
	int64_t now = tmr_now();
	struct pool_grant_request ask;
	char **exclude;

	if (!msg)
		return BASE_EFRAME;
	exclude = control_string_list(msg->exclude, msg->n_exclude);
	ask = (struct pool_grant_request){
		.entry = peer->id,
		.ask_id = msg->ask_id,
		.account = msg->account,
		.limits = control_account_limits(c, msg->account),
		.version = msg->version,
		.tokens = msg->tokens,
		.deadline_us = now + (int64_t)msg->wait_us,
		.priority = msg->priority,
		.exclude = (const char *const *)exclude,
	};
	met_add(met_counter("bg_grants_asked_total", ""), 1);
	pool_on_grant_request(&control_pool_get(c, msg->pool)->pool, &ask, now);
	g_free(exclude);
	pool__ask__free_unpacked(msg, NULL);
	return 0;
}

int control_on_withdraw(struct control *c, struct frm_conn *conn, const uint8_t *body, size_t len)
{
	Pool__Withdraw *msg = pool__withdraw__unpack(NULL, len, body);
	struct control_conn *peer = frm_user_data(conn);

	if (!msg)
		return BASE_EFRAME;
	pool_on_withdraw(&control_pool_get(c, msg->pool)->pool, peer->id, msg->ask_id, tmr_now());
	pool__withdraw__free_unpacked(msg, NULL);
	return 0;
}

int control_on_done(struct control *c, struct frm_conn *conn, const uint8_t *body, size_t len)
{
	Pool__Done *msg = pool__done__unpack(NULL, len, body);

	(void)conn;
	if (!msg || msg->outcome > POOL_OUTCOME_NOT_RUN) {
		if (msg)
			pool__done__free_unpacked(msg, NULL);
		return BASE_EFRAME;
	}
	pool_on_attempt_end(&control_pool_get(c, msg->pool)->pool, msg->grant_id, msg->tokens,
			    (enum pool_outcome)msg->outcome, msg->bad[0] ? msg->bad : NULL,
			    tmr_now());
	pool__done__free_unpacked(msg, NULL);
	return 0;
}

int control_on_holding(struct control *c, struct frm_conn *conn, const uint8_t *body, size_t len)
{
	Pool__Holding *msg = pool__holding__unpack(NULL, len, body);
	struct control_conn *peer = frm_user_data(conn);
	Pool__Held answer = POOL__HELD__INIT;
	struct pool_grant_request ask;
	char **stages;

	if (!msg)
		return BASE_EFRAME;
	stages = control_string_list(msg->stages, msg->n_stages);
	ask = (struct pool_grant_request){
		.entry = peer->id,
		.ask_id = msg->ask_id,
		.account = msg->account,
		.limits = control_account_limits(c, msg->account),
		.tokens = msg->tokens,
	};
	answer.ask_id = msg->ask_id;
	answer.grant_id = pool_adopt_grant(&control_pool_get(c, msg->pool)->pool, &ask,
					   (const char *const *)stages);
	frm_send(conn, MSG_POOL_HELD, &answer.base);
	g_free(stages);
	pool__holding__free_unpacked(msg, NULL);
	return 0;
}
