#include "router/quarantine.h"
#include "base/err.h"
#include "base/jl.h"
#include "base/met.h"
#include "quar/quar_ready.h"
#include "router/ctrl.h"
#include "router/part_msg.h"
#include "router/traffic.h"
#include "router/traffic_part.h"

#include <string.h>

enum {
	QUARANTINE_EXPIRE_MS = 10000 /* interval between two removals of expired entries, in ms */
};

struct quarantine {
	struct ctrl *ctrl;
	struct quar table;
	struct part_table parts;  /* evidence about parts of prompts, to be passed on */
	struct quar_store *store; /* writes entries to the store and reads them from it */
	struct quar_ready ready;  /* whether requests may be served already */
	int64_t expire_us;	  /* time of the next removal of expired entries, in microseconds */
	/* All entries have to be written again: the store was restored from a copy that may lack
	 * some. */
	bool rewrite;
};

/* Changed entries, or evidence, that the traffic thread posts to the control thread. */
struct quarantine_post {
	struct ctrl *ctrl;
	GPtrArray *entries;
};

static void quarantine_list_free(gpointer data)
{
	quar_entry_free(data);
}

GPtrArray *quarantine_list_new(void)
{
	return g_ptr_array_new_with_free_func(quarantine_list_free);
}

struct quarantine *quarantine_new(struct ctrl *ctrl)
{
	struct quarantine *quarantine = g_new0(struct quarantine, 1);

	quarantine->ctrl = ctrl;
	quar_init(&quarantine->table, QUAR_REFUSAL_POINTS);
	part_init(&quarantine->parts);
	/* On the first start of the whole system the store contains no entries. */
	quarantine->ready.known = ctrl->router->settings.first_start;
	quarantine->store = quar_store_new(ctrl, quarantine);
	return quarantine;
}

void quarantine_free(struct quarantine *quarantine)
{
	quar_store_free(quarantine->store);
	quar_finish(&quarantine->table);
	part_finish(&quarantine->parts);
	g_free(quarantine);
}

const struct quar *quarantine_table(const struct quarantine *quarantine)
{
	return &quarantine->table;
}

const struct part_table *quarantine_parts(const struct quarantine *quarantine)
{
	return &quarantine->parts;
}

void quarantine_log(const struct quar_entry *entry, const char *from, int64_t now_us)
{
	char content[QUAR_KEY_TEXT_LEN + 1];

	quar_key_format(&entry->key, content);
	jl_begin(JL_UNLIMITED, entry->until_us > 0 ? "quarantined" : "quarantine_cleared");
	jl_str("content", content);
	jl_str("account", entry->account);
	jl_int("crashes", entry->n);
	jl_int("points", quar_entry_points(entry));
	jl_int("term", entry->terms);
	jl_int("for_ms", MAX(entry->until_us - now_us, 0) / TMR_US_PER_MS);
	jl_str("from", from);
	jl_end();
}

/* Merges entries into the table. Returns copies of those that changed it. */
static GPtrArray *quarantine_merge(struct quarantine *quarantine, const GPtrArray *entries)
{
	GPtrArray *changed = quarantine_list_new();
	int64_t now_us = tmr_now();

	for (guint i = 0; i < entries->len; i++) {
		const struct quar_entry *entry =
			quar_merge_remote(&quarantine->table, entries->pdata[i], now_us);

		if (entry)
			g_ptr_array_add(changed, quar_entry_dup(entry));
	}
	return changed;
}

static void quarantine_send_to(void *ctx, struct frm_conn *conn)
{
	quar_msg_send(conn, ctx, tmr_now());
}

static void quarantine_forward(struct quarantine *quarantine, const GPtrArray *changed,
			       const void *source)
{
	struct ctrl *ctrl = quarantine->ctrl;

	if (changed->len == 0)
		return;
	feed_for_each_follower(ctrl->feed, source, quarantine_send_to, (void *)changed);
	follow_call_feeder(ctrl->follow, source, quarantine_send_to, (void *)changed);
}

void quarantine_merge_remote(struct quarantine *quarantine, const GPtrArray *entries,
			     const void *source)
{
	GPtrArray *changed = quarantine_merge(quarantine, entries);

	if (changed->len > 0)
		traf_quar_post(quarantine->ctrl->router->traf, changed);
	quarantine_forward(quarantine, changed, source);
	g_ptr_array_unref(changed);
}

/* Merges entries that this host has detected, which it also writes to the store. */
static void quarantine_merge_local(struct quarantine *quarantine, const GPtrArray *entries)
{
	GPtrArray *changed = quarantine_merge(quarantine, entries);

	for (guint i = 0; i < changed->len; i++)
		quar_store_put(quarantine->store, changed->pdata[i]);
	quarantine_forward(quarantine, changed, NULL);
	g_ptr_array_unref(changed);
}

static void quarantine_on_post(void *ctx)
{
	struct quarantine_post *post = ctx;

	quarantine_merge_local(post->ctrl->quarantine, post->entries);
	g_ptr_array_unref(post->entries);
	g_free(post);
}

static void quarantine_post_list(struct ctrl *ctrl, loop_post_fn fn, GPtrArray *list)
{
	struct quarantine_post *post = g_new0(struct quarantine_post, 1);

	post->ctrl = ctrl;
	post->entries = list;
	loop_post(ctrl->loop, fn, post);
}

void quarantine_post(struct ctrl *ctrl, GPtrArray *entries)
{
	quarantine_post_list(ctrl, quarantine_on_post, entries);
}

static void quarantine_send_evidence_to(void *ctx, struct frm_conn *conn)
{
	part_msg_send(conn, ctx, tmr_now());
}

/* Merges evidence and passes on what is new, except to the connection that it came from. */
static void quarantine_merge_evidence(struct quarantine *quarantine, const GPtrArray *evidence,
				      const void *source)
{
	struct ctrl *ctrl = quarantine->ctrl;
	GPtrArray *changed = g_ptr_array_new();
	int64_t now_us = tmr_now();

	for (guint i = 0; i < evidence->len; i++) {
		if (part_merge(&quarantine->parts, evidence->pdata[i], now_us) & PART_MERGED_CHANGE)
			g_ptr_array_add(changed, evidence->pdata[i]);
	}
	if (changed->len > 0) {
		if (source)
			traf_part_post(ctrl->router->traf, changed);
		feed_for_each_follower(ctrl->feed, source, quarantine_send_evidence_to, changed);
		follow_call_feeder(ctrl->follow, source, quarantine_send_evidence_to, changed);
	}
	g_ptr_array_unref(changed);
}

static void quarantine_on_post_evidence(void *ctx)
{
	struct quarantine_post *post = ctx;

	quarantine_merge_evidence(post->ctrl->quarantine, post->entries, NULL);
	g_ptr_array_unref(post->entries);
	g_free(post);
}

void quarantine_post_evidence(struct ctrl *ctrl, GPtrArray *evidence)
{
	quarantine_post_list(ctrl, quarantine_on_post_evidence, evidence);
}

int quarantine_on_msg(struct quarantine *quarantine, struct frm_conn *conn, const uint8_t *body,
		      size_t len)
{
	struct quar_msg_list list;
	int err = quar_msg_unpack(body, len, tmr_now(), &list);

	if (err < 0)
		return err;
	quarantine_merge_remote(quarantine, list.entries, conn);
	quarantine_merge_evidence(quarantine, list.evidence, conn);
	if (list.known)
		quarantine_on_known(quarantine);
	g_ptr_array_unref(list.entries);
	g_ptr_array_unref(list.evidence);
	return 0;
}

static void quarantine_send_known_to(void *ctx, struct frm_conn *conn)
{
	(void)ctx;
	quar_msg_send_known(conn);
}

void quarantine_on_known(struct quarantine *quarantine)
{
	struct ctrl *ctrl = quarantine->ctrl;

	if (quarantine->ready.known)
		return;
	quarantine->ready.known = true;
	jl_begin(JL_UNLIMITED, "quarantine_known");
	jl_int("entries", g_hash_table_size(quarantine->table.entries));
	jl_end();
	feed_for_each_follower(ctrl->feed, NULL, quarantine_send_known_to, NULL);
	follow_call_feeder(ctrl->follow, NULL, quarantine_send_known_to, NULL);
	ctrl_post_first_view(ctrl);
}

bool quarantine_is_known(const struct quarantine *quarantine)
{
	return quarantine->ready.known;
}

bool quarantine_may_serve(struct quarantine *quarantine, int64_t now_us)
{
	struct quar_ready *ready = &quarantine->ready;

	if (!ready->known)
		quar_store_read_if_due(quarantine->store, now_us);
	if (!quar_ready_may_serve(ready, now_us))
		return false;
	if (!ready->known && !ready->is_told) {
		ready->is_told = true;
		jl_begin(JL_UNLIMITED, "quarantine_unknown");
		jl_end();
	}
	return true;
}

static void quarantine_add_suspected(void *ctx, const struct part_entry *entry)
{
	if (entry->n > 0)
		g_ptr_array_add(ctx, part_entry_dup(entry));
}

static void quarantine_send_all_evidence(const struct quarantine *quarantine, struct frm_conn *conn)
{
	GPtrArray *evidence = part_msg_list_new();

	part_foreach(&quarantine->parts, quarantine_add_suspected, evidence);
	part_msg_send(conn, evidence, tmr_now());
	g_ptr_array_unref(evidence);
}

static void quarantine_add_shared(void *ctx, const struct quar_entry *entry)
{
	if (quar_is_propagated(entry))
		g_ptr_array_add(ctx, quar_entry_dup(entry));
}

void quarantine_send_all(const struct quarantine *quarantine, struct frm_conn *conn)
{
	GPtrArray *entries = quarantine_list_new();

	quar_foreach(&quarantine->table, quarantine_add_shared, entries);
	quar_msg_send(conn, entries, tmr_now());
	g_ptr_array_unref(entries);
	quarantine_send_all_evidence(quarantine, conn);
	if (quarantine->ready.known)
		quar_msg_send_known(conn);
}

/* A search for all entries of one request. */
struct quarantine_search {
	const char *content; /* digest of the request as text */
	GPtrArray *found;    /* copies of the entries found, struct quar_entry */
};

static void quarantine_match(void *ctx, const struct quar_entry *entry)
{
	struct quarantine_search *search = ctx;
	char text[QUAR_KEY_TEXT_LEN + 1];

	quar_key_format(&entry->key, text);
	if (strcmp(text, search->content) == 0)
		g_ptr_array_add(search->found, quar_entry_dup(entry));
}

int quarantine_clear(struct quarantine *quarantine, const char *content)
{
	struct quarantine_search search = {content, quarantine_list_new()};
	GPtrArray *cleared = quarantine_list_new();
	int64_t now_us = tmr_now();
	int n;

	quar_foreach(&quarantine->table, quarantine_match, &search);
	for (guint i = 0; i < search.found->len; i++) {
		const struct quar_entry *found = search.found->pdata[i];
		const struct quar_id id = {found->key, found->account};
		const struct quar_entry *entry = quar_clear(&quarantine->table, &id, now_us);

		if (!entry)
			continue;
		g_ptr_array_add(cleared, quar_entry_dup(entry));
		quar_store_put(quarantine->store, entry);
		quarantine_log(entry, "operator", now_us);
	}
	n = (int)cleared->len;
	if (n > 0)
		traf_quar_post(quarantine->ctrl->router->traf, cleared);
	quarantine_forward(quarantine, cleared, NULL);
	g_ptr_array_unref(cleared);
	g_ptr_array_unref(search.found);
	return n;
}

static void quarantine_rewrite_entry(void *ctx, const struct quar_entry *entry)
{
	struct quarantine *quarantine = ctx;

	quar_store_put(quarantine->store, entry);
}

void quarantine_on_store_restored(struct quarantine *quarantine)
{
	quarantine->rewrite = true;
}

/*
 * Writes all entries again after the store was restored from a copy. All hosts have the same
 * entries, so only the first reader does that, or the host that succeeds it as the first reader.
 */
static void quarantine_rewrite(struct quarantine *quarantine)
{
	if (!quarantine->rewrite || !quarantine->ctrl->rank.first)
		return;
	quarantine->rewrite = false;
	quar_foreach(&quarantine->table, quarantine_rewrite_entry, quarantine);
}

static void quarantine_on_expired(void *ctx, const struct quar_entry *entry)
{
	struct quarantine *quarantine = ctx;

	if (quarantine->ctrl->rank.first && quar_is_persistent(entry))
		quar_store_remove(quarantine->store, entry);
}

static void quarantine_count_refused(void *ctx, const struct quar_entry *entry)
{
	*(uint64_t *)ctx += entry->until_us > 0;
}

void quarantine_on_tick(struct quarantine *quarantine, int64_t now_us)
{
	uint64_t refused = 0;

	quarantine->table.may_try = quarantine->ctrl->rank.first;
	g_atomic_int_set(&quarantine->ctrl->router->tries_refused, quarantine->ctrl->rank.first);
	quarantine_rewrite(quarantine);
	quar_store_on_tick(quarantine->store, now_us);
	if (now_us < quarantine->expire_us)
		return;
	quarantine->expire_us = now_us + tmr_from_ms(QUARANTINE_EXPIRE_MS);
	quar_expire(&quarantine->table, now_us, quarantine_on_expired, quarantine);
	part_expire(&quarantine->parts, now_us);
	quar_foreach(&quarantine->table, quarantine_count_refused, &refused);
	met_set(met_gauge("bg_quarantined", ""), refused);
	met_set(met_gauge("bg_quarantine_entries", ""),
		g_hash_table_size(quarantine->table.entries));
}
