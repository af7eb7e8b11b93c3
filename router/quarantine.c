#include "router/quarantine.h"
#include "base/err.h"
#include "base/jl.h"
#include "base/met.h"
#include "router/rc.h"
#include "router/tf.h"

#include <string.h>

enum {
	QUARANTINE_EXPIRE_MS = 10000 /* between looks for what is outdated */
};

struct quarantine {
	struct rc *rc;
	struct quar table;
	struct quar_note *note;
	int64_t expire_us;
	bool returned; /* the store came back from a copy, which may lack entries */
};

struct quarantine_post {
	struct rc *rc;
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

struct quarantine *quarantine_new(struct rc *rc)
{
	struct quarantine *quarantine = g_new0(struct quarantine, 1);

	quarantine->rc = rc;
	quar_init(&quarantine->table, QUAR_LIMIT);
	quarantine->note = quar_note_new(rc, quarantine);
	return quarantine;
}

void quarantine_free(struct quarantine *quarantine)
{
	quar_note_free(quarantine->note);
	quar_finish(&quarantine->table);
	g_free(quarantine);
}

const struct quar *quarantine_table(const struct quarantine *quarantine)
{
	return &quarantine->table;
}

void quarantine_log(const struct quar_entry *entry, const char *from, int64_t now_us)
{
	char content[QUAR_TEXT_LEN + 1];

	quar_key_text(&entry->key, content);
	jl_begin(JL_KEEP, entry->until_us > 0 ? "quarantined" : "quarantine_cleared");
	jl_str("content", content);
	jl_str("account", entry->account);
	jl_int("crashes", entry->n);
	jl_int("points", quar_entry_points(entry));
	jl_int("term", entry->terms);
	jl_int("for_ms", MAX(entry->until_us - now_us, 0) / TMR_US_PER_MS);
	jl_str("from", from);
	jl_end();
}

/* Merges the entries; returns those that were news. */
static GPtrArray *quarantine_merge(struct quarantine *quarantine, const GPtrArray *entries)
{
	GPtrArray *news = quarantine_list_new();
	int64_t now_us = tmr_now();

	for (guint i = 0; i < entries->len; i++) {
		const struct quar_entry *entry =
			quar_take(&quarantine->table, entries->pdata[i], now_us);

		if (entry)
			g_ptr_array_add(news, quar_entry_dup(entry));
	}
	return news;
}

static void quarantine_send_to(void *ctx, struct frm_conn *conn)
{
	quar_msg_send(conn, ctx, tmr_now());
}

static void quarantine_pass_on(struct quarantine *quarantine, const GPtrArray *news,
			       const void *source)
{
	struct rc *rc = quarantine->rc;

	if (news->len == 0)
		return;
	feed_each(rc->feed, source, quarantine_send_to, (void *)news);
	follow_each(rc->follow, source, quarantine_send_to, (void *)news);
}

void quarantine_on_news(struct quarantine *quarantine, const GPtrArray *entries, const void *source)
{
	GPtrArray *news = quarantine_merge(quarantine, entries);

	if (news->len > 0)
		tf_quar_post(quarantine->rc->router->tf, news);
	quarantine_pass_on(quarantine, news, source);
	g_ptr_array_unref(news);
}

/* What this host has found out itself, it also writes down. */
static void quarantine_on_own(struct quarantine *quarantine, const GPtrArray *entries)
{
	GPtrArray *news = quarantine_merge(quarantine, entries);

	for (guint i = 0; i < news->len; i++)
		quar_note_change(quarantine->note, news->pdata[i]);
	quarantine_pass_on(quarantine, news, NULL);
	g_ptr_array_unref(news);
}

static void quarantine_take_post(void *ctx)
{
	struct quarantine_post *post = ctx;

	quarantine_on_own(post->rc->quarantine, post->entries);
	g_ptr_array_unref(post->entries);
	g_free(post);
}

void quarantine_post(struct rc *rc, GPtrArray *entries)
{
	struct quarantine_post *post = g_new0(struct quarantine_post, 1);

	post->rc = rc;
	post->entries = entries;
	loop_post(rc->loop, quarantine_take_post, post);
}

int quarantine_on_msg(struct quarantine *quarantine, struct frm_conn *conn, const uint8_t *body,
		      size_t len)
{
	GPtrArray *entries = quar_msg_read(body, len, tmr_now());

	if (!entries)
		return BASE_EFRAME;
	quarantine_on_news(quarantine, entries, conn);
	g_ptr_array_unref(entries);
	return 0;
}

static void quarantine_add_told(void *ctx, const struct quar_entry *entry)
{
	if (quar_is_told(entry))
		g_ptr_array_add(ctx, quar_entry_dup(entry));
}

void quarantine_send_all(const struct quarantine *quarantine, struct frm_conn *conn)
{
	GPtrArray *entries = quarantine_list_new();

	quar_each(&quarantine->table, quarantine_add_told, entries);
	quar_msg_send(conn, entries, tmr_now());
	g_ptr_array_unref(entries);
}

struct quarantine_search {
	const char *content;
	GPtrArray *found;
};

static void quarantine_search_one(void *ctx, const struct quar_entry *entry)
{
	struct quarantine_search *search = ctx;
	char text[QUAR_TEXT_LEN + 1];

	quar_key_text(&entry->key, text);
	if (strcmp(text, search->content) == 0)
		g_ptr_array_add(search->found, quar_entry_dup(entry));
}

int quarantine_clear(struct quarantine *quarantine, const char *content)
{
	struct quarantine_search search = {content, quarantine_list_new()};
	GPtrArray *cleared = quarantine_list_new();
	int64_t now_us = tmr_now();
	int n;

	quar_each(&quarantine->table, quarantine_search_one, &search);
	for (guint i = 0; i < search.found->len; i++) {
		const struct quar_entry *found = search.found->pdata[i];
		const struct quar_id id = {found->key, found->account};
		const struct quar_entry *entry = quar_clear(&quarantine->table, &id, now_us);

		if (!entry)
			continue;
		g_ptr_array_add(cleared, quar_entry_dup(entry));
		quar_note_change(quarantine->note, entry);
		quarantine_log(entry, "operator", now_us);
	}
	n = (int)cleared->len;
	if (n > 0)
		tf_quar_post(quarantine->rc->router->tf, cleared);
	quarantine_pass_on(quarantine, cleared, NULL);
	g_ptr_array_unref(cleared);
	g_ptr_array_unref(search.found);
	return n;
}

static void quarantine_note_again(void *ctx, const struct quar_entry *entry)
{
	struct quarantine *quarantine = ctx;

	quar_note_change(quarantine->note, entry);
}

void quarantine_on_return(struct quarantine *quarantine)
{
	quarantine->returned = true;
}

/* All hosts know the same entries, so one writes them, or who is the first reader after it. */
static void quarantine_write_again(struct quarantine *quarantine)
{
	if (!quarantine->returned || !quarantine->rc->rank.first)
		return;
	quarantine->returned = false;
	quar_each(&quarantine->table, quarantine_note_again, quarantine);
}

static void quarantine_on_outdated(void *ctx, const struct quar_entry *entry)
{
	struct quarantine *quarantine = ctx;

	if (quarantine->rc->rank.first && quar_is_kept(entry))
		quar_note_remove(quarantine->note, entry);
}

static void quarantine_count(void *ctx, const struct quar_entry *entry)
{
	*(uint64_t *)ctx += entry->until_us > 0;
}

void quarantine_on_tick(struct quarantine *quarantine, int64_t now_us)
{
	uint64_t refused = 0;

	quarantine_write_again(quarantine);
	quar_note_on_tick(quarantine->note, now_us);
	if (now_us < quarantine->expire_us)
		return;
	quarantine->expire_us = now_us + tmr_ms(QUARANTINE_EXPIRE_MS);
	quar_expire(&quarantine->table, now_us, quarantine_on_outdated, quarantine);
	quar_each(&quarantine->table, quarantine_count, &refused);
	met_set(met_gauge("bg_quarantined", ""), refused);
	met_set(met_gauge("bg_quarantine_entries", ""),
		g_hash_table_size(quarantine->table.entries));
}
