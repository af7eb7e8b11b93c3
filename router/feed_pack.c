#include "router/feed_pack.h"
#include "base/zip.h"
#include "msg/feed.pb-c.h"

#include <string.h>

enum {
	/* Minimum number of records that are kept, for followers that reconnect after a moment */
	FPACK_RECORDS_MIN = 512,
	FPACK_DEFLATE_MIN = 1024 /* Shortest message worth deflating, in bytes */
};

struct fpack_record {
	int64_t offset;
	char *id;
	char *text; /* NULL if the endpoint was removed */
};

static void fpack_record_free(gpointer data)
{
	struct fpack_record *record = data;

	g_free(record->id);
	g_free(record->text);
	g_free(record);
}

void fpack_init(struct fpack *fpack)
{
	memset(fpack, 0, sizeof(*fpack));
	fpack->records = g_queue_new();
	fpack->listing = 1;
	fpack->records_max = FPACK_RECORDS_MIN;
	fpack->packed = g_byte_array_new();
}

void fpack_finish(struct fpack *fpack)
{
	g_queue_free_full(fpack->records, fpack_record_free);
	g_byte_array_unref(fpack->packed);
}

void fpack_set_max_records(struct fpack *fpack, guint endpoints)
{
	fpack->records_max = MAX(endpoints, (guint)FPACK_RECORDS_MIN);
}

void fpack_add_record(struct fpack *fpack, int64_t offset, const char *id, struct str text)
{
	struct fpack_record *record;

	if (offset < fpack->records_from)
		return;
	record = g_new0(struct fpack_record, 1);
	record->offset = offset;
	record->id = g_strdup(id);
	record->text = text.data ? str_dup(text) : NULL;
	g_queue_push_tail(fpack->records, record);
	fpack->records_next = MAX(fpack->records_next, offset + 1);
	while (fpack->records->length > fpack->records_max) {
		struct fpack_record *oldest = g_queue_pop_head(fpack->records);

		fpack->records_from = oldest->offset + 1;
		fpack_record_free(oldest);
	}
}

void fpack_on_list_replaced(struct fpack *fpack, const struct ep_list *list)
{
	g_queue_clear_full(fpack->records, fpack_record_free);
	fpack->records_from = list->next;
	fpack->records_next = list->next;
	fpack->listing++;
}

bool fpack_needs_full_list(const struct fpack *fpack, guint listing, int64_t from)
{
	return listing != fpack->listing || from < fpack->records_from;
}

bool fpack_has_records(const struct fpack *fpack, int64_t from)
{
	return from < fpack->records_next;
}

/* Adds an item that refers to the texts without copying them. */
static void fpack_add(GArray *items, int64_t offset, char *id, char *text)
{
	Feed__Endpoint item = FEED__ENDPOINT__INIT;

	item.offset = offset;
	item.id = id;
	item.text.data = (uint8_t *)text;
	item.text.len = text ? strlen(text) : 0;
	g_array_append_val(items, item);
}

static void fpack_add_list(GArray *items, const struct ep_list *list)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, list->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct ep_entry *entry = value;

		if (entry->rec->text)
			fpack_add(items, entry->place, entry->rec->id, entry->rec->text);
	}
}

static void fpack_add_records(GArray *items, const struct fpack *fpack, int64_t from)
{
	for (GList *link = fpack->records->head; link; link = link->next) {
		const struct fpack_record *record = link->data;

		if (record->offset >= from)
			fpack_add(items, record->offset, record->id, record->text);
	}
}

static bool fpack_is_cached(const struct fpack *fpack, bool whole, int64_t from)
{
	return fpack->packed_listing == fpack->listing && fpack->packed_full_list == whole &&
	       fpack->packed_next == fpack->records_next && (whole || fpack->packed_from == from);
}

/* Serializes the items into the cache, deflated if the message is long enough. */
static void fpack_write(struct fpack *fpack, const GArray *items)
{
	Feed__Endpoints msg = FEED__ENDPOINTS__INIT;
	GPtrArray *refs = g_ptr_array_new();
	uint8_t *text;
	size_t len;

	for (guint i = 0; i < items->len; i++)
		g_ptr_array_add(refs, &g_array_index(items, Feed__Endpoint, i));
	msg.items = (Feed__Endpoint **)refs->pdata;
	msg.n_items = refs->len;
	len = feed__endpoints__get_packed_size(&msg);
	text = g_malloc(len + 1);
	feed__endpoints__pack(&msg, text);
	if (len >= FPACK_DEFLATE_MIN && zip_pack(text, len, fpack->packed) == 0) {
		fpack->whole_len = len;
	} else {
		fpack->whole_len = 0;
		g_byte_array_set_size(fpack->packed, 0);
		g_byte_array_append(fpack->packed, text, (guint)len);
	}
	g_free(text);
	g_ptr_array_unref(refs);
}

Feed__Endpoints *fpack_parse(const uint8_t *data, size_t packed_len, int64_t whole_len)
{
	size_t len = (size_t)MAX(whole_len, 0);
	Feed__Endpoints *items;
	uint8_t *text;

	if (len == 0)
		return feed__endpoints__unpack(NULL, packed_len, data);
	text = zip_unpack(data, packed_len, len);
	items = text ? feed__endpoints__unpack(NULL, len, text) : NULL;
	g_free(text);
	return items;
}

void fpack_serialize(struct fpack *fpack, const struct ep_list *list, bool whole, int64_t from)
{
	GArray *items;

	if (fpack_is_cached(fpack, whole, from))
		return;
	items = g_array_new(FALSE, FALSE, sizeof(Feed__Endpoint));
	if (whole)
		fpack_add_list(items, list);
	else
		fpack_add_records(items, fpack, from);
	fpack_write(fpack, items);
	fpack->packed_listing = fpack->listing;
	fpack->packed_full_list = whole;
	fpack->packed_from = from;
	fpack->packed_next = fpack->records_next;
	g_array_unref(items);
}
