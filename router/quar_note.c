#include "base/jl.h"
#include "router/quarantine.h"
#include "router/rc.h"

#include <string.h>

/*
 * Entries of the quarantine in the store, one record an entry under its digest. Without it a kill
 * of all hosts would make everybody forget, and each request that crashes endpoints would crash
 * three more. Written by the host that has found something out; read once by hosts that start and
 * read the store, which tell those that they feed.
 */
enum {
	QUAR_NOTE_RETRY_MS = 1000,
	QUAR_NOTE_CALL_MS = 1000,
	QUAR_NOTE_AT_ONCE = 64, /* records of one call; 8 KB */
	HTTP_OK = 200
};

struct quar_note {
	struct rc *rc;
	struct quarantine *quarantine;
	GHashTable *due;    /* digest as text -> struct quar_entry, or NULL for one that goes */
	GPtrArray *writing; /* digests in the call under way */
	struct store_call *write;
	int64_t write_us; /* not before */
	struct store_call *read;
	int64_t read_us;
	char *after; /* key after which the listing goes on */
	bool is_read;
};

static void quar_note_on_written(void *ctx, const struct store_answer *answer);
static void quar_note_on_read(void *ctx, const struct store_answer *answer);

static void quar_note_entry_free(gpointer data)
{
	if (data)
		quar_entry_free(data);
}

struct quar_note *quar_note_new(struct rc *rc, struct quarantine *quarantine)
{
	struct quar_note *note = g_new0(struct quar_note, 1);

	note->rc = rc;
	note->quarantine = quarantine;
	note->due = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, quar_note_entry_free);
	note->writing = g_ptr_array_new_with_free_func(g_free);
	/* Where the whole system starts for the first time, nothing has been written. */
	note->is_read = rc->router->settings.first_start;
	return note;
}

void quar_note_free(struct quar_note *note)
{
	if (note->write)
		store_call_cancel(note->write);
	if (note->read)
		store_call_cancel(note->read);
	g_free(note->after);
	g_ptr_array_unref(note->writing);
	g_hash_table_destroy(note->due);
	g_free(note);
}

static void quar_note_put(struct quar_note *note, const struct quar_key *key,
			  struct quar_entry *entry)
{
	char text[QUAR_TEXT_LEN + 1];

	quar_key_text(key, text);
	g_hash_table_replace(note->due, g_strdup(text), entry);
}

void quar_note_change(struct quar_note *note, const struct quar_entry *entry)
{
	if (quar_is_kept(entry))
		quar_note_put(note, &entry->key, quar_entry_dup(entry));
}

void quar_note_remove(struct quar_note *note, const struct quar_entry *entry)
{
	quar_note_put(note, &entry->key, NULL);
}

static void quar_note_log(const char *event, int status, int err, int64_t n)
{
	jl_begin(JL_KEEP, event);
	jl_int("status", status);
	jl_str("error", err < 0 ? store_strerror(err) : NULL);
	jl_int("entries", n);
	jl_end();
}

static void quar_note_add_record(const struct quar_note *note, const char *key,
				 const struct quar_entry *entry, GString *body)
{
	const struct seam_store *store = &note->rc->router->seam->store;
	GByteArray *value = NULL;
	GString *record;

	if (entry)
		value = quar_msg_note(entry, tmr_now(), g_get_real_time() / TMR_US_PER_MS);
	record = store->make_record(key, value ? str_make((const char *)value->data, value->len)
					       : str_make(NULL, 0));
	g_string_append_len(body, record->str, (gssize)record->len);
	g_string_free(record, TRUE);
	if (value)
		g_byte_array_unref(value);
}

static GString *quar_note_body(struct quar_note *note)
{
	GString *body = g_string_new(NULL);
	GHashTableIter iter;
	gpointer key;
	gpointer entry;

	g_ptr_array_set_size(note->writing, 0);
	g_hash_table_iter_init(&iter, note->due);
	while (note->writing->len < QUAR_NOTE_AT_ONCE &&
	       g_hash_table_iter_next(&iter, &key, &entry)) {
		quar_note_add_record(note, key, entry, body);
		g_ptr_array_add(note->writing, g_strdup(key));
		g_hash_table_iter_remove(&iter);
	}
	return body;
}

static void quar_note_write(struct quar_note *note)
{
	struct rc *rc = note->rc;
	GString *body = quar_note_body(note);
	struct store_request request = {
		.path = rc->router->seam->store.append_path(SEAM_QUARANTINE),
		.body = body,
		.total_ms = QUAR_NOTE_CALL_MS,
	};

	note->write = store_call(rc, &request, quar_note_on_written, note);
	g_string_free(body, TRUE);
}

/* What was not written is due again as it is now, unless it has changed since. */
static void quar_note_again(struct quar_note *note)
{
	const struct quar *table = quarantine_table(note->quarantine);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct quar_entry *entry = value;
		char text[QUAR_TEXT_LEN + 1];

		quar_key_text(&entry->key, text);
		if (g_ptr_array_find_with_equal_func(note->writing, text, g_str_equal, NULL) &&
		    !g_hash_table_contains(note->due, text))
			quar_note_change(note, entry);
	}
}

static void quar_note_on_written(void *ctx, const struct store_answer *answer)
{
	struct quar_note *note = ctx;
	bool good = answer->status == HTTP_OK;

	note->write = NULL;
	quar_note_log(good ? "quarantine_noted" : "quarantine_not_noted", answer->status,
		      answer->err, note->writing->len);
	if (good)
		return;
	note->write_us = tmr_now() + tmr_ms(QUAR_NOTE_RETRY_MS);
	quar_note_again(note);
}

static void quar_note_read(struct quar_note *note)
{
	struct rc *rc = note->rc;
	struct store_request request = {
		.path = rc->router->seam->store.newest_path(SEAM_QUARANTINE, note->after),
		.total_ms = QUAR_NOTE_CALL_MS,
	};

	note->read = store_call(rc, &request, quar_note_on_read, note);
}

static void quar_note_on_record(void *ctx, int64_t offset, struct str key, struct str value)
{
	struct quar_entry *entry =
		quar_msg_read_note(value, tmr_now(), g_get_real_time() / TMR_US_PER_MS);

	(void)offset;
	if (entry) {
		g_ptr_array_add(ctx, entry);
		return;
	}
	jl_begin(JL_KEEP, "quarantine_unreadable");
	jl_int("key_bytes", (int64_t)key.len);
	jl_int("value_bytes", (int64_t)value.len);
	jl_end();
}

static bool quar_note_take_page(struct quar_note *note, struct str body)
{
	GPtrArray *entries = quarantine_list_new();
	struct seam_read read;

	memset(&read, 0, sizeof(read));
	if (note->rc->router->seam->store.parse_newest(body, quar_note_on_record, entries, &read) <
	    0) {
		g_ptr_array_unref(entries);
		return false;
	}
	quar_note_log("quarantine_read", HTTP_OK, 0, entries->len);
	quarantine_on_news(note->quarantine, entries, NULL);
	g_ptr_array_unref(entries);
	g_free(note->after);
	note->after = read.more ? g_strdup(read.last) : NULL;
	note->is_read = !read.more;
	g_free(read.last);
	return true;
}

static void quar_note_on_read(void *ctx, const struct store_answer *answer)
{
	struct quar_note *note = ctx;

	note->read = NULL;
	if (answer->status == HTTP_OK && quar_note_take_page(note, answer->body))
		return;
	note->read_us = tmr_now() + tmr_ms(QUAR_NOTE_RETRY_MS);
	quar_note_log("quarantine_not_read", answer->status, answer->err, 0);
}

/* Others are told by their feeds; all of them reading would be a call for each host of a start. */
static bool quar_note_reads(const struct quar_note *note, int64_t now_us)
{
	const struct rc *rc = note->rc;

	if (note->is_read || note->read || now_us < note->read_us || !sf_is_reached(rc))
		return false;
	return rc->rank.reader || rc->settled;
}

void quar_note_on_tick(struct quar_note *note, int64_t now_us)
{
	if (quar_note_reads(note, now_us))
		quar_note_read(note);
	if (!note->write && now_us >= note->write_us && g_hash_table_size(note->due) > 0)
		quar_note_write(note);
}
