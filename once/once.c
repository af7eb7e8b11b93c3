#include "once/once.h"

#include <jansson.h>
#include <string.h>

enum {
	ONCE_BATCH_MAX = 256 /* maximum number of claims and releases in one record */
};

/* A claim in force and the time at which it was read from the log, in microseconds. */
struct once_active_claim {
	struct once_claim *claim;
	int64_t read_us;
};

/* A claim that waits for its verdict, or a release. */
struct once_wait {
	struct once_requester requester;
	struct once_claim *claim;
	bool release;
};

static void once_start_next(struct once *once, int64_t now_us);
static void once_append_batch(struct once *once);
static void once_answer_all(struct once *once, GPtrArray *waits, bool unavailable);
static void once_send_verdict(struct once *once, const struct once_wait *wait);
static void once_apply_item(struct once *once, json_t *item, int64_t now_us);

static const char *const once_verdict_names[ONCE_VERDICT_COUNT] = {
	[ONCE_WON] = "won",
	[ONCE_LOST] = "lost",
	[ONCE_UNAVAILABLE] = "out",
};

const char *once_verdict_name(enum once_verdict verdict)
{
	return once_verdict_names[verdict];
}

struct once_claim *once_claim_copy(const struct once_claim *claim)
{
	struct once_claim *copy = g_new0(struct once_claim, 1);

	copy->key = g_strdup(claim->key);
	copy->id = g_strdup(claim->id);
	copy->request = g_strdup(claim->request);
	copy->entry = g_strdup(claim->entry);
	copy->endpoints = g_strdup(claim->endpoints);
	copy->digest = g_strdup(claim->digest);
	copy->supersedes = g_strdup(claim->supersedes ? claim->supersedes : "");
	return copy;
}

void once_claim_free(struct once_claim *claim)
{
	if (!claim)
		return;
	g_free(claim->key);
	g_free(claim->id);
	g_free(claim->request);
	g_free(claim->entry);
	g_free(claim->endpoints);
	g_free(claim->digest);
	g_free(claim->supersedes);
	g_free(claim);
}

static void once_wait_free(gpointer data)
{
	struct once_wait *wait = data;

	once_claim_free(wait->claim);
	g_free(wait);
}

static void once_active_claim_free(gpointer data)
{
	struct once_active_claim *active = data;

	once_claim_free(active->claim);
	g_free(active);
}

void once_init(struct once *once, const struct once_settings *settings, const struct once_ops *ops,
	       void *ctx)
{
	memset(once, 0, sizeof(*once));
	once->ops = ops;
	once->ctx = ctx;
	once->settings = *settings;
	once->claims = g_hash_table_new(g_str_hash, g_str_equal);
	once->released = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	once->by_age = g_queue_new();
	once->waiting = g_ptr_array_new_with_free_func(once_wait_free);
	once->appended = g_ptr_array_new_with_free_func(once_wait_free);
}

void once_finish(struct once *once)
{
	g_ptr_array_free(once->waiting, TRUE);
	g_ptr_array_free(once->appended, TRUE);
	g_hash_table_destroy(once->claims);
	g_hash_table_destroy(once->released);
	g_queue_free_full(once->by_age, once_active_claim_free);
}

unsigned int once_partition(const char *key, unsigned int n)
{
	return (unsigned int)(str_hash(key, strlen(key), 0) % n);
}

static bool once_claim_in_force(const struct once *once, const struct once_claim *claim)
{
	return !g_hash_table_contains(once->released, claim->id);
}

/*
 * Returns the claim in force for a key, or NULL. A claim that is read takes force only if no
 * earlier claim of its key is in force, so all readers of the same records obtain the same result,
 * whoever appended them.
 */
static const struct once_claim *once_winner(const struct once *once, const char *key)
{
	const struct once_active_claim *active = g_hash_table_lookup(once->claims, key);

	return active && once_claim_in_force(once, active->claim) ? active->claim : NULL;
}

static void once_send_verdict(struct once *once, const struct once_wait *wait)
{
	const struct once_claim *winner = once_winner(once, wait->claim->key);
	bool won = winner && strcmp(winner->id, wait->claim->id) == 0;

	if (wait->release)
		return;
	once->ops->answer(once->ctx, wait->requester,
			  !winner ? ONCE_UNAVAILABLE : (won ? ONCE_WON : ONCE_LOST), winner);
}

static void once_answer_all(struct once *once, GPtrArray *waits, bool unavailable)
{
	for (guint i = 0; i < waits->len; i++) {
		struct once_wait *wait = waits->pdata[i];

		if (!unavailable)
			once_send_verdict(once, wait);
		else if (!wait->release)
			once->ops->answer(once->ctx, wait->requester, ONCE_UNAVAILABLE, NULL);
	}
	g_ptr_array_set_size(waits, 0);
}

/* Returns whether the log is known to hold an earlier claim of the key, so no append is needed. */
static bool once_known_lost(const struct once *once, const struct once_claim *claim)
{
	const struct once_claim *winner = once_winner(once, claim->key);

	if (!winner || !once->caught_up)
		return false;
	return strcmp(winner->id, claim->id) != 0 && strcmp(winner->id, claim->supersedes) != 0;
}

void once_on_claim(struct once *once, struct once_requester requester,
		   const struct once_claim *claim, int64_t now_us)
{
	struct once_wait *wait;

	if (once_known_lost(once, claim)) {
		once->ops->answer(once->ctx, requester, ONCE_LOST, once_winner(once, claim->key));
		return;
	}
	if (now_us < once->unavailable_until_us) {
		once->ops->answer(once->ctx, requester, ONCE_UNAVAILABLE, NULL);
		return;
	}
	wait = g_new0(struct once_wait, 1);
	wait->requester = requester;
	wait->claim = once_claim_copy(claim);
	g_ptr_array_add(once->waiting, wait);
	once_start_next(once, now_us);
}

void once_on_release(struct once *once, const char *key, const char *id, int64_t now_us)
{
	struct once_claim claim = {.key = (char *)key, .id = (char *)id};
	struct once_wait *wait = g_new0(struct once_wait, 1);

	wait->claim = once_claim_copy(&claim);
	wait->release = true;
	g_ptr_array_add(once->waiting, wait);
	once_start_next(once, now_us);
}

/*
 * Starts the next append or read. A new home reads the partition before it appends anything,
 * because an earlier home may have written claims of the same keys.
 */
static void once_start_next(struct once *once, int64_t now_us)
{
	if (once->phase != ONCE_IDLE || once->waiting->len == 0 ||
	    now_us < once->unavailable_until_us)
		return;
	if (!once->caught_up) {
		once->phase = ONCE_READING;
		once->ops->read(once->ctx, once->next);
		return;
	}
	once_append_batch(once);
}

static json_t *once_to_json(const struct once_wait *wait)
{
	const struct once_claim *c = wait->claim;

	if (wait->release)
		return json_pack("{s:s, s:s}", "release", c->id, "key", c->key);
	return json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:s}", "key", c->key, "id", c->id,
			 "request", c->request, "entry", c->entry, "endpoints", c->endpoints,
			 "digest", c->digest, "supersedes", c->supersedes);
}

/* Appends all waiting claims as one record: the log takes only several hundred appends a second. */
static void once_append_batch(struct once *once)
{
	json_t *batch = json_array();
	char *text;

	while (once->waiting->len > 0 && once->appended->len < ONCE_BATCH_MAX) {
		struct once_wait *wait = g_ptr_array_steal_index(once->waiting, 0);

		if (!wait->release && once_known_lost(once, wait->claim)) {
			once_send_verdict(once, wait);
			once_wait_free(wait);
			continue;
		}
		json_array_append_new(batch, once_to_json(wait));
		g_ptr_array_add(once->appended, wait);
	}
	if (once->appended->len > 0) {
		text = json_dumps(batch, JSON_COMPACT);
		once->phase = ONCE_APPENDING;
		once->failed = false;
		once->appends++;
		once->ops->append(once->ctx, text);
		free(text);
	}
	json_decref(batch);
}

/*
 * An append may have taken effect although its answer was lost, so the partition is read in either
 * case, and only its content decides. A read from a lagging replica may end before the appended
 * record and not show the claim; its verdict is then ONCE_UNAVAILABLE.
 */
void once_on_appended(struct once *once, bool ok)
{
	if (once->phase != ONCE_APPENDING)
		return;
	once->failed = !ok;
	once->phase = ONCE_READING;
	once->ops->read(once->ctx, once->next);
}

static char *once_json_text(json_t *item, const char *key)
{
	const char *text = json_string_value(json_object_get(item, key));

	return (char *)(text ? text : "");
}

static void once_apply_item(struct once *once, json_t *item, int64_t now_us)
{
	char *release = once_json_text(item, "release");
	struct once_claim claim = {
		.key = once_json_text(item, "key"),
		.id = once_json_text(item, "id"),
		.request = once_json_text(item, "request"),
		.entry = once_json_text(item, "entry"),
		.endpoints = once_json_text(item, "endpoints"),
		.digest = once_json_text(item, "digest"),
		.supersedes = once_json_text(item, "supersedes"),
	};
	const struct once_claim *winner = once_winner(once, claim.key);
	struct once_active_claim *active;

	if (release[0]) {
		g_hash_table_add(once->released, g_strdup(release));
		return;
	}
	if (winner && claim.supersedes[0] && strcmp(winner->id, claim.supersedes) == 0) {
		g_hash_table_add(once->released, g_strdup(claim.supersedes));
		winner = NULL;
	}
	if (winner || g_hash_table_contains(once->released, claim.id))
		return;
	active = g_new0(struct once_active_claim, 1);
	active->claim = once_claim_copy(&claim);
	active->read_us = now_us;
	g_hash_table_replace(once->claims, active->claim->key, active);
	g_queue_push_tail(once->by_age, active);
}

int once_on_record(struct once *once, int64_t offset, struct str data, int64_t now_us)
{
	json_t *batch;
	json_t *item;
	size_t i;

	if (offset < once->next)
		return 0;
	once->next = offset + 1;
	batch = json_loadb(data.data, data.len, 0, NULL);
	if (!json_is_array(batch)) {
		json_decref(batch);
		return ONCE_ERECORD;
	}
	json_array_foreach(batch, i, item)
	{
		once_apply_item(once, item, now_us);
	}
	json_decref(batch);
	return 0;
}

/* Returns whether the log decides the claim, won or lost. */
static bool once_settled(const struct once *once, const struct once_wait *wait)
{
	return wait->release || once_winner(once, wait->claim->key) != NULL;
}

/*
 * Sends verdicts after a failed append. A claim that the log does not show may still be appended
 * later. Its verdict is ONCE_UNAVAILABLE and the entry does not dispatch, so a claim that appears
 * late blocks its key but causes no second run.
 */
static void once_settle_failed_append(struct once *once, int64_t now_us)
{
	once->unavailable_until_us = now_us + once->settings.unavailable_us;
	for (guint i = once->appended->len; i-- > 0;) {
		struct once_wait *wait = once->appended->pdata[i];

		if (!once_settled(once, wait))
			continue;
		once_send_verdict(once, wait);
		g_ptr_array_remove_index(once->appended, i);
	}
	once_answer_all(once, once->appended, true);
	once_answer_all(once, once->waiting, true);
}

void once_on_read(struct once *once, bool ok, int64_t next, int64_t now_us)
{
	if (once->phase != ONCE_READING)
		return;
	once->phase = ONCE_IDLE;
	if (!ok) {
		once->unavailable_until_us = now_us + once->settings.unavailable_us;
		once_answer_all(once, once->appended, true);
		once_answer_all(once, once->waiting, true);
		once->failed = false;
		return;
	}
	once->next = MAX(once->next, next);
	once->caught_up = true;
	if (once->failed)
		once_settle_failed_append(once, now_us);
	else
		once_answer_all(once, once->appended, false);
	once->failed = false;
	once_start_next(once, now_us);
}

void once_on_tick(struct once *once, int64_t now_us)
{
	for (;;) {
		struct once_active_claim *oldest = g_queue_peek_head(once->by_age);

		if (!oldest || now_us - oldest->read_us < once->settings.life_us)
			break;
		g_queue_pop_head(once->by_age);
		if (g_hash_table_lookup(once->claims, oldest->claim->key) == oldest)
			g_hash_table_remove(once->claims, oldest->claim->key);
		g_hash_table_remove(once->released, oldest->claim->id);
		once_active_claim_free(oldest);
	}
	once_start_next(once, now_us);
}

void once_on_conn_closed(struct once *once, uint64_t conn)
{
	for (guint i = once->waiting->len; i-- > 0;) {
		struct once_wait *wait = once->waiting->pdata[i];

		if (!wait->release && wait->requester.conn == conn)
			g_ptr_array_remove_index(once->waiting, i);
	}
}
