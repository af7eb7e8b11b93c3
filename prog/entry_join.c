#include "base/err.h"
#include "base/log.h"
#include "base/met.h"
#include "msg/join.pb-c.h"
#include "msg/kind.h"
#include "prog/entry_call.h"

#include <string.h>

/*
 * Of two requests with the same idempotency key, the one that lost the claim receives the whole
 * answer of the one that won, from this host or from the entry host that the claim names.
 */

/* A connection to another entry daemon that this host requests answers from. */
struct entry_join_conn {
	struct entry *entry;
	char *host; /* name of the other host */
	struct frm_conn *conn;
	GHashTable *waiting; /* set of the ids of calls that await an answer */
};

static int entry_peer_on_msg(void *ctx, struct frm_conn *conn, uint16_t kind, const uint8_t *body,
			     size_t len);
static void entry_peer_on_close(void *ctx, struct frm_conn *conn, int err);
static int entry_join_on_msg(void *ctx, struct frm_conn *conn, uint16_t kind, const uint8_t *body,
			     size_t len);
static void entry_join_on_close(void *ctx, struct frm_conn *conn, int err);
static void entry_join_send_answer(struct entry_call *from, const struct entry_joiner *joiner);

static const struct frm_ops entry_peer_ops = {entry_peer_on_msg, entry_peer_on_close};
static const struct frm_ops entry_join_ops = {entry_join_on_msg, entry_join_on_close};

int entry_join_start(struct entry *e)
{
	struct frm_limits limits = entry_conn_limits(e);

	e->traffic.join_conns = g_hash_table_new(g_str_hash, g_str_equal);
	return frm_listen(&e->traffic.peers, &e->traffic.loop, e->settings.peer, &entry_peer_ops,
			  &limits, e);
}

/* --- sending answers --- */

static enum entry_join_state entry_join_state_of(const struct entry_call *call)
{
	if (!call->req.dispatched && req_code_info(call->code)->ran == REQ_RAN_NO)
		return ENTRY_JOIN_NOT_RUN;
	return ENTRY_JOIN_ANSWER;
}

static void entry_join_send_msg(struct frm_conn *conn, uint64_t ask_id,
				const struct entry_call *call)
{
	Join__Answer msg = JOIN__ANSWER__INIT;
	guint n = call ? call->tokens->len : 0;
	ProtobufCBinaryData *tokens = g_new0(ProtobufCBinaryData, n + 1);

	msg.ask_id = ask_id;
	msg.state = call ? (uint32_t)entry_join_state_of(call) : (uint32_t)ENTRY_JOIN_UNKNOWN;
	for (guint i = 0; i < n; i++) {
		gsize len;

		tokens[i].data = (uint8_t *)g_bytes_get_data(call->tokens->pdata[i], &len);
		tokens[i].len = len;
	}
	msg.tokens = tokens;
	msg.n_tokens = n;
	if (call) {
		msg.code = (uint32_t)call->code;
		msg.status = (uint32_t)call->service_status;
	}
	frm_send(conn, MSG_JOIN_ANSWER, &msg.base);
	g_free(tokens);
}

static int entry_peer_on_msg(void *ctx, struct frm_conn *conn, uint16_t kind, const uint8_t *body,
			     size_t len)
{
	struct entry *e = ctx;
	Join__Ask *msg = kind == MSG_JOIN_ASK ? join__ask__unpack(NULL, len, body) : NULL;
	struct entry_joiner joiner = {0, conn, 0};
	struct entry_call *call;

	if (!msg)
		return BASE_EFRAME;
	joiner.ask_id = msg->ask_id;
	call = g_hash_table_lookup(e->traffic.claims, msg->claim);
	if (!call)
		entry_join_send_msg(conn, msg->ask_id, NULL);
	else if (call->finished)
		entry_join_send_answer(call, &joiner);
	else
		g_ptr_array_add(call->joiners, g_memdup2(&joiner, sizeof(joiner)));
	join__ask__free_unpacked(msg, NULL);
	return 0;
}

static void entry_peer_on_close(void *ctx, struct frm_conn *conn, int err)
{
	struct entry *e = ctx;
	GHashTableIter iter;
	gpointer value;

	(void)err;
	g_hash_table_iter_init(&iter, e->traffic.claims);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		GPtrArray *joiners = ((struct entry_call *)value)->joiners;

		for (guint i = joiners->len; i-- > 0;) {
			if (((struct entry_joiner *)joiners->pdata[i])->conn == conn)
				g_ptr_array_remove_index_fast(joiners, i);
		}
	}
}

/* --- requesting answers --- */

/* Returns the call with this id, or NULL if it is unknown or finished. */
static struct entry_call *entry_unfinished_call(struct entry *e, uint64_t id)
{
	struct entry_call *call = g_hash_table_lookup(e->traffic.calls, &id);

	return call && !call->finished ? call : NULL;
}

/* Passes the winner's answer to a request that waits for it. */
static void entry_join_receive_answer(struct entry_call *call, enum entry_join_state state,
				      enum req_code code, int status, GPtrArray *tokens)
{
	int64_t now = tmr_now();

	if (state == ENTRY_JOIN_UNKNOWN) {
		req_on_join_lost(&call->req, now);
		return;
	}
	if (state == ENTRY_JOIN_NOT_RUN) {
		req_on_join_not_dispatched(&call->req, now);
		return;
	}
	call->service_status = status;
	for (guint i = 0; i < tokens->len; i++) {
		gsize len;
		const char *text = g_bytes_get_data(tokens->pdata[i], &len);

		req_on_token(&call->req, call->req.attempt, i, text, len, now);
	}
	req_on_join_answer(&call->req, code, tokens->len, now);
}

static void entry_join_send_answer(struct entry_call *from, const struct entry_joiner *joiner)
{
	struct entry_call *call;

	if (joiner->conn) {
		entry_join_send_msg(joiner->conn, joiner->ask_id, from);
		return;
	}
	call = entry_unfinished_call(from->entry, joiner->call_id);
	if (call)
		entry_join_receive_answer(call, entry_join_state_of(from), from->code,
					  from->service_status, from->tokens);
}

void entry_join_answer_all(struct entry_call *call)
{
	GPtrArray *joiners = call->joiners;

	call->joiners = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; i < joiners->len; i++)
		entry_join_send_answer(call, joiners->pdata[i]);
	g_ptr_array_free(joiners, TRUE);
}

static const struct host *entry_join_host(struct entry *e, const char *name)
{
	for (guint i = 0; e->traffic.hosts && i < e->traffic.hosts->len; i++) {
		const struct host *host = e->traffic.hosts->pdata[i];

		if (strcmp(host->name, name) == 0)
			return host;
	}
	return NULL;
}

static struct entry_join_conn *entry_join_connect(struct entry *e, const char *name)
{
	struct entry_join_conn *join = g_hash_table_lookup(e->traffic.join_conns, name);
	const struct host *host = entry_join_host(e, name);
	struct frm_limits limits = entry_conn_limits(e);

	if (join || !host)
		return join;
	join = g_new0(struct entry_join_conn, 1);
	join->entry = e;
	join->conn = frm_connect(&e->traffic.loop, host->peer_addr, &entry_join_ops, &limits, join);
	if (!join->conn) {
		g_free(join);
		return NULL;
	}
	join->host = g_strdup(name);
	join->waiting = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	g_hash_table_insert(e->traffic.join_conns, join->host, join);
	return join;
}

/*
 * A task that the traffic thread posts to itself, since an action of a request's state machine must
 * not call back into the state machine.
 */
struct entry_join_task {
	struct entry *entry;
	uint64_t call_id;
};

static void entry_join_run_task(void *task)
{
	struct entry_join_task *join_task = task;
	struct entry *e = join_task->entry;
	struct entry_call *call = entry_unfinished_call(e, join_task->call_id);
	struct entry_call *winner;
	struct entry_join_conn *join;
	struct entry_joiner joiner = {join_task->call_id, NULL, 0};
	Join__Ask msg = JOIN__ASK__INIT;

	g_free(join_task);
	if (!call || call->req.state != REQ_JOINING)
		return;
	if (strcmp(call->winner_entry, e->settings.name) == 0) {
		winner = g_hash_table_lookup(e->traffic.claims, call->winner_id);
		if (!winner)
			req_on_join_lost(&call->req, tmr_now());
		else if (winner->finished)
			entry_join_send_answer(winner, &joiner);
		else
			g_ptr_array_add(winner->joiners, g_memdup2(&joiner, sizeof(joiner)));
		return;
	}
	join = entry_join_connect(e, call->winner_entry);
	if (!join) {
		req_on_join_lost(&call->req, tmr_now());
		return;
	}
	g_hash_table_add(join->waiting, g_memdup2(&call->id, sizeof(call->id)));
	msg.ask_id = call->id;
	msg.claim = call->winner_id;
	frm_send(join->conn, MSG_JOIN_ASK, &msg.base);
	frm_set_active(join->conn, true);
}

void entry_join_request(struct entry_call *call)
{
	struct entry_join_task *task = g_new0(struct entry_join_task, 1);

	task->entry = call->entry;
	task->call_id = call->id;
	met_add(met_counter("bg_joins_total", ""), 1);
	loop_post(&call->entry->traffic.loop, entry_join_run_task, task);
}

static int entry_join_on_msg(void *ctx, struct frm_conn *conn, uint16_t kind, const uint8_t *body,
			     size_t len)
{
	struct entry_join_conn *join = ctx;
	Join__Answer *msg = kind == MSG_JOIN_ANSWER ? join__answer__unpack(NULL, len, body) : NULL;
	struct entry_call *call;
	GPtrArray *tokens;

	(void)conn;
	if (!msg || msg->state >= ENTRY_JOIN_STATE_COUNT || msg->code >= REQ_CODE_COUNT) {
		if (msg)
			join__answer__free_unpacked(msg, NULL);
		return BASE_EFRAME;
	}
	g_hash_table_remove(join->waiting, &msg->ask_id);
	frm_set_active(join->conn, g_hash_table_size(join->waiting) > 0);
	call = entry_unfinished_call(join->entry, msg->ask_id);
	tokens = g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	for (size_t i = 0; i < msg->n_tokens; i++)
		g_ptr_array_add(tokens, g_bytes_new(msg->tokens[i].data, msg->tokens[i].len));
	if (call)
		entry_join_receive_answer(call, (enum entry_join_state)msg->state,
					  (enum req_code)msg->code, (int)msg->status, tokens);
	g_ptr_array_free(tokens, TRUE);
	join__answer__free_unpacked(msg, NULL);
	return 0;
}

/* The winner's host was lost. The state machine may still resume the winner's run at the engine. */
static void entry_join_on_close(void *ctx, struct frm_conn *conn, int err)
{
	struct entry_join_conn *join = ctx;
	struct entry *e = join->entry;
	GHashTableIter iter;
	gpointer key;

	(void)conn;
	log_msg(LOG_INFO, "join_lost host=%s reason=\"%s\"", join->host, base_strerror(err));
	g_hash_table_remove(e->traffic.join_conns, join->host);
	g_hash_table_iter_init(&iter, join->waiting);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct entry_call *call = entry_unfinished_call(e, *(uint64_t *)key);

		if (call)
			req_on_join_lost(&call->req, tmr_now());
	}
	g_hash_table_destroy(join->waiting);
	g_free(join->host);
	g_free(join);
}
