#include "base/jl.h"
#include "router/quarantine.h"
#include "router/ctrl.h"

#include <string.h>

/*
 * Keeps the entries of the quarantine in the store, one record for each entry, with its digest as
 * the key. Otherwise they would be lost when all hosts are killed, and each request that crashes
 * endpoints would crash three more. A record is written by the host that detected the change.
 * Hosts that read the store read all records once after their start and send them over their feeds;
 * a host that has all else that it needs reads them itself, unless its feed brings them first.
 */
enum {
	QUAR_STORE_RETRY_MS = 1000,   /* delay before a failed call is repeated, in ms */
	QUAR_STORE_START_MS = 200,    /* the same while requests wait for the entries, in ms */
	QUAR_STORE_TIMEOUT_MS = 1000, /* timeout of a call to the store, in ms */
	QUAR_STORE_BATCH = 64,	      /* maximum number of records in one write, which take 8 KB */
	HTTP_OK = 200
};

struct quar_store {
	struct ctrl *ctrl;
	struct quarantine *quarantine;
	GHashTable *due;    /* digest as text -> struct quar_entry to write, or NULL to remove it */
	GPtrArray *writing; /* digests in the current write, as text */
	struct store_call *write; /* current write; NULL if none */
	int64_t write_us;	  /* time before which no write is started, in microseconds */
	struct store_call *read;  /* current read; NULL if none */
	int64_t read_us;	  /* time before which no read is started, in microseconds */
	char *after;		  /* key after which the listing continues; NULL at its start */
	bool is_read;		  /* all records have been read */
};

static void quar_store_on_written(void *ctx, const struct store_answer *answer);
static void quar_store_on_read(void *ctx, const struct store_answer *answer);

static void quar_store_entry_free(gpointer data)
{
	if (data)
		quar_entry_free(data);
}

struct quar_store *quar_store_new(struct ctrl *ctrl, struct quarantine *quarantine)
{
	struct quar_store *store = g_new0(struct quar_store, 1);

	store->ctrl = ctrl;
	store->quarantine = quarantine;
	store->due = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, quar_store_entry_free);
	store->writing = g_ptr_array_new_with_free_func(g_free);
	store->is_read = quarantine_is_known(quarantine);
	return store;
}

void quar_store_free(struct quar_store *store)
{
	if (store->write)
		store_call_cancel(store->write);
	if (store->read)
		store_call_cancel(store->read);
	g_free(store->after);
	g_ptr_array_unref(store->writing);
	g_hash_table_destroy(store->due);
	g_free(store);
}

static void quar_store_schedule(struct quar_store *store, const struct quar_key *key,
				struct quar_entry *entry)
{
	char text[QUAR_KEY_TEXT_LEN + 1];

	quar_key_format(key, text);
	g_hash_table_replace(store->due, g_strdup(text), entry);
}

void quar_store_put(struct quar_store *store, const struct quar_entry *entry)
{
	if (quar_is_persistent(entry))
		quar_store_schedule(store, &entry->key, quar_entry_dup(entry));
}

void quar_store_remove(struct quar_store *store, const struct quar_entry *entry)
{
	quar_store_schedule(store, &entry->key, NULL);
}

static void quar_store_log(const char *event, int status, int err, int64_t n)
{
	jl_begin(JL_UNLIMITED, event);
	jl_int("status", status);
	jl_str("error", err < 0 ? store_strerror(err) : NULL);
	jl_int("entries", n);
	jl_end();
}

static void quar_store_add_record(const struct quar_store *store, const char *key,
				  const struct quar_entry *entry, GString *body)
{
	const struct seam_store *seam = &store->ctrl->router->seam->store;
	GByteArray *value = NULL;
	GString *record;

	if (entry)
		value = quar_msg_pack_record(entry, tmr_now(), g_get_real_time() / TMR_US_PER_MS);
	record = seam->make_record(key, value ? str_make((const char *)value->data, value->len)
					      : str_make(NULL, 0));
	g_string_append_len(body, record->str, (gssize)record->len);
	g_string_free(record, TRUE);
	if (value)
		g_byte_array_unref(value);
}

static GString *quar_store_take_batch(struct quar_store *store)
{
	GString *body = g_string_new(NULL);
	GHashTableIter iter;
	gpointer key;
	gpointer entry;

	g_ptr_array_set_size(store->writing, 0);
	g_hash_table_iter_init(&iter, store->due);
	while (store->writing->len < QUAR_STORE_BATCH &&
	       g_hash_table_iter_next(&iter, &key, &entry)) {
		quar_store_add_record(store, key, entry, body);
		g_ptr_array_add(store->writing, g_strdup(key));
		g_hash_table_iter_remove(&iter);
	}
	return body;
}

static void quar_store_write(struct quar_store *store)
{
	struct ctrl *ctrl = store->ctrl;
	GString *body = quar_store_take_batch(store);
	struct store_request request = {
		.path = ctrl->router->seam->store.append_path(SEAM_TOPIC_QUARANTINE),
		.body = body,
		.total_ms = QUAR_STORE_TIMEOUT_MS,
	};

	store->write = store_call(ctrl, &request, quar_store_on_written, store);
	g_string_free(body, TRUE);
}

/*
 * Schedules the entries of a failed write again, with their current contents, except those that
 * have been scheduled again since.
 */
static void quar_store_reschedule(struct quar_store *store)
{
	const struct quar *table = quarantine_table(store->quarantine);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct quar_entry *entry = value;
		char text[QUAR_KEY_TEXT_LEN + 1];

		quar_key_format(&entry->key, text);
		if (g_ptr_array_find_with_equal_func(store->writing, text, g_str_equal, NULL) &&
		    !g_hash_table_contains(store->due, text))
			quar_store_put(store, entry);
	}
}

static void quar_store_on_written(void *ctx, const struct store_answer *answer)
{
	struct quar_store *store = ctx;
	bool good = answer->status == HTTP_OK;

	store->write = NULL;
	quar_store_log(good ? "quarantine_noted" : "quarantine_not_noted", answer->status,
		       answer->err, store->writing->len);
	if (good)
		return;
	store->write_us = tmr_now() + tmr_from_ms(QUAR_STORE_RETRY_MS);
	quar_store_reschedule(store);
}

static void quar_store_read(struct quar_store *store)
{
	struct ctrl *ctrl = store->ctrl;
	struct store_request request = {
		.path = ctrl->router->seam->store.newest_path(SEAM_TOPIC_QUARANTINE, store->after),
		.total_ms = QUAR_STORE_TIMEOUT_MS,
	};

	store->read = store_call(ctrl, &request, quar_store_on_read, store);
}

static void quar_store_on_record(void *ctx, int64_t offset, struct str key, struct str value)
{
	struct quar_entry *entry =
		quar_msg_unpack_record(value, tmr_now(), g_get_real_time() / TMR_US_PER_MS);

	(void)offset;
	if (entry) {
		g_ptr_array_add(ctx, entry);
		return;
	}
	jl_begin(JL_UNLIMITED, "quarantine_unreadable");
	jl_int("key_bytes", (int64_t)key.len);
	jl_int("value_bytes", (int64_t)value.len);
	jl_end();
}

static bool quar_store_read_page(struct quar_store *store, struct str body)
{
	GPtrArray *entries = quarantine_list_new();
	struct seam_read read;

	memset(&read, 0, sizeof(read));
	if (store->ctrl->router->seam->store.parse_newest(body, quar_store_on_record, entries,
							  &read) < 0) {
		g_ptr_array_unref(entries);
		return false;
	}
	quar_store_log("quarantine_read", HTTP_OK, 0, entries->len);
	quarantine_merge_remote(store->quarantine, entries, NULL);
	g_ptr_array_unref(entries);
	g_free(store->after);
	store->after = read.more ? g_strdup(read.last) : NULL;
	store->is_read = !read.more;
	g_free(read.last);
	if (store->is_read)
		quarantine_on_known(store->quarantine);
	return true;
}

static void quar_store_on_read(void *ctx, const struct store_answer *answer)
{
	struct quar_store *store = ctx;
	bool is_waited_for = !quarantine_is_known(store->quarantine);

	store->read = NULL;
	if (answer->status == HTTP_OK && quar_store_read_page(store, answer->body))
		return;
	store->read_us =
		tmr_now() + tmr_from_ms(is_waited_for ? QUAR_STORE_START_MS : QUAR_STORE_RETRY_MS);
	quar_store_log("quarantine_not_read", answer->status, answer->err, 0);
}

/*
 * Returns whether this host has to read the records now. Hosts with a feed receive the entries over
 * it; if all hosts read the store, a start of the system would cause one call for each host.
 */
static bool quar_store_must_read(const struct quar_store *store, int64_t now_us)
{
	const struct ctrl *ctrl = store->ctrl;

	if (store->is_read || store->read || now_us < store->read_us || !reader_is_current(ctrl))
		return false;
	if (!quarantine_is_known(store->quarantine) && ctrl_lists_complete(ctrl))
		return true;
	return ctrl->rank.reader || ctrl->settled;
}

void quar_store_read_if_due(struct quar_store *store, int64_t now_us)
{
	if (quar_store_must_read(store, now_us))
		quar_store_read(store);
}

void quar_store_on_tick(struct quar_store *store, int64_t now_us)
{
	quar_store_read_if_due(store, now_us);
	if (!store->write && now_us >= store->write_us && g_hash_table_size(store->due) > 0)
		quar_store_write(store);
}
