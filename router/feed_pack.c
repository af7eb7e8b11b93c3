#include "router/feed_pack.h"
#include "base/zip.h"
#include "msg/feed.pb-c.h"

#include <string.h>

enum {
	/* Minimum number of records that are kept, for followers that reconnect after a moment */
	FP_RECORDS_LEAST = 512,
	FP_DEFLATE_MIN = 1024 /* Shortest message worth deflating, in bytes */
};

struct fp_record {
	int64_t offset;
	char *id;
	char *text; /* NULL if the endpoint was removed */
};

static void fp_record_free(gpointer data)
{
	struct fp_record *record = data;

	g_free(record->id);
	g_free(record->text);
	g_free(record);
}

void fp_init(struct fp *fp)
{
	memset(fp, 0, sizeof(*fp));
	fp->records = g_queue_new();
	fp->listing = 1;
	fp->records_most = FP_RECORDS_LEAST;
	fp->packed = g_byte_array_new();
}

void fp_finish(struct fp *fp)
{
	g_queue_free_full(fp->records, fp_record_free);
	g_byte_array_unref(fp->packed);
}

void fp_set_length(struct fp *fp, guint endpoints)
{
	fp->records_most = MAX(endpoints, (guint)FP_RECORDS_LEAST);
}

void fp_on_record(struct fp *fp, int64_t offset, const char *id, struct str text)
{
	struct fp_record *record;

	if (offset < fp->records_from)
		return;
	record = g_new0(struct fp_record, 1);
	record->offset = offset;
	record->id = g_strdup(id);
	record->text = text.data ? str_dup(text) : NULL;
	g_queue_push_tail(fp->records, record);
	fp->records_next = MAX(fp->records_next, offset + 1);
	while (fp->records->length > fp->records_most) {
		struct fp_record *oldest = g_queue_pop_head(fp->records);

		fp->records_from = oldest->offset + 1;
		fp_record_free(oldest);
	}
}

void fp_on_listing(struct fp *fp, const struct ep_list *list)
{
	g_queue_clear_full(fp->records, fp_record_free);
	fp->records_from = list->next;
	fp->records_next = list->next;
	fp->listing++;
}

bool fp_needs_whole(const struct fp *fp, guint listing, int64_t from)
{
	return listing != fp->listing || from < fp->records_from;
}

bool fp_has_news(const struct fp *fp, int64_t from)
{
	return from < fp->records_next;
}

/* Adds an item that refers to the texts without copying them. */
static void fp_add(GArray *items, int64_t offset, char *id, char *text)
{
	Feed__Endpoint item = FEED__ENDPOINT__INIT;

	item.offset = offset;
	item.id = id;
	item.text.data = (uint8_t *)text;
	item.text.len = text ? strlen(text) : 0;
	g_array_append_val(items, item);
}

static void fp_add_list(GArray *items, const struct ep_list *list)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, list->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct ep_entry *entry = value;

		if (entry->rec->text)
			fp_add(items, entry->place, entry->rec->id, entry->rec->text);
	}
}

static void fp_add_records(GArray *items, const struct fp *fp, int64_t from)
{
	for (GList *link = fp->records->head; link; link = link->next) {
		const struct fp_record *record = link->data;

		if (record->offset >= from)
			fp_add(items, record->offset, record->id, record->text);
	}
}

static bool fp_is_packed(const struct fp *fp, bool whole, int64_t from)
{
	return fp->packed_listing == fp->listing && fp->packed_whole == whole &&
	       fp->packed_next == fp->records_next && (whole || fp->packed_from == from);
}

/* Serializes the items into the cache, deflated if the message is long enough. */
static void fp_write(struct fp *fp, const GArray *items)
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
	if (len >= FP_DEFLATE_MIN && zip_pack(text, len, fp->packed) == 0) {
		fp->whole_len = len;
	} else {
		fp->whole_len = 0;
		g_byte_array_set_size(fp->packed, 0);
		g_byte_array_append(fp->packed, text, (guint)len);
	}
	g_free(text);
	g_ptr_array_unref(refs);
}

Feed__Endpoints *fp_unpack(const uint8_t *data, size_t packed_len, int64_t whole_len)
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

void fp_pack(struct fp *fp, const struct ep_list *list, bool whole, int64_t from)
{
	GArray *items;

	if (fp_is_packed(fp, whole, from))
		return;
	items = g_array_new(FALSE, FALSE, sizeof(Feed__Endpoint));
	if (whole)
		fp_add_list(items, list);
	else
		fp_add_records(items, fp, from);
	fp_write(fp, items);
	fp->packed_listing = fp->listing;
	fp->packed_whole = whole;
	fp->packed_from = from;
	fp->packed_next = fp->records_next;
	g_array_unref(items);
}
