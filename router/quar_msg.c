#include "base/err.h"
#include "base/tmr.h"
#include "msg/feed.pb-c.h"
#include "msg/kind.h"
#include "router/part_msg.h"
#include "router/quarantine.h"

#include <string.h>

enum {
	/* Maximum number of entries in one message; 512 entries take 50 KB. */
	QUAR_MSG_ITEMS = 512
};

/* A message for one entry, with the memory that it refers to. */
struct quar_msg {
	Feed__Quarantine item;
	Feed__Crash crashes[QUAR_CRASHES_MAX]; /* the crashes of the entry */
	/* pointers to the elements of crashes, as the serializer requires them */
	Feed__Crash *refs[QUAR_CRASHES_MAX];
};

static void quar_msg_fill(struct quar_msg *msg, const struct quar_entry *entry, int64_t now_us)
{
	Feed__Quarantine *item = &msg->item;

	feed__quarantine__init(item);
	item->key_high = entry->key.high;
	item->key_low = entry->key.low;
	item->account = entry->account;
	item->epoch = entry->epoch;
	item->points = entry->base;
	item->terms = entry->terms;
	item->lasted_ms = entry->lasted_us / TMR_US_PER_MS;
	item->age_ms = (now_us - entry->last_us) / TMR_US_PER_MS;
	/*
	 * A term that has ended is sent as one that ends within 1 ms. Without a term, the crashes
	 * of the entry would begin a new one on the other host.
	 */
	if (entry->until_us > 0)
		item->left_ms = MAX(entry->until_us - now_us, 0) / TMR_US_PER_MS + 1;
	for (int i = 0; i < entry->n; i++) {
		feed__crash__init(&msg->crashes[i]);
		msg->crashes[i].endpoint = entry->crashes[i].endpoint;
		msg->crashes[i].weight = entry->crashes[i].weight;
		msg->refs[i] = &msg->crashes[i];
	}
	item->crashes = msg->refs;
	item->n_crashes = (size_t)entry->n;
}

/* Converts a message from another host to an entry; values out of range are clamped. */
static struct quar_entry *quar_msg_entry(const Feed__Quarantine *item, int64_t now_us)
{
	struct quar_entry *entry = g_new0(struct quar_entry, 1);

	entry->key = (struct quar_key){item->key_high, item->key_low};
	entry->account = g_strdup(item->account);
	entry->epoch = item->epoch;
	entry->base = CLAMP(item->points, 0, QUAR_REFUSAL_POINTS);
	entry->terms = MAX(item->terms, 0);
	entry->lasted_us = tmr_from_ms(MAX(item->lasted_ms, 0));
	entry->last_us = now_us - tmr_from_ms(MAX(item->age_ms, 0));
	if (item->left_ms > 0)
		entry->until_us = now_us + tmr_from_ms(item->left_ms);
	for (size_t i = 0; i < item->n_crashes && entry->n < QUAR_CRASHES_MAX; i++)
		entry->crashes[entry->n++] = (struct quar_crash){
			item->crashes[i]->endpoint,
			CLAMP(item->crashes[i]->weight, QUAR_WEIGHT_WEAK, QUAR_ENDPOINT_ALIVE)};
	return entry;
}

static void quar_msg_send_range(struct frm_conn *conn, const GPtrArray *entries, guint from,
				int64_t now_us)
{
	guint n = MIN(entries->len - from, (guint)QUAR_MSG_ITEMS);
	struct quar_msg *msgs = g_new0(struct quar_msg, n);
	Feed__Quarantine **items = g_new0(Feed__Quarantine *, n);
	Feed__Quarantines list = FEED__QUARANTINES__INIT;

	for (guint i = 0; i < n; i++) {
		quar_msg_fill(&msgs[i], entries->pdata[from + i], now_us);
		items[i] = &msgs[i].item;
	}
	list.items = items;
	list.n_items = n;
	frm_send(conn, MSG_FEED_QUARANTINE, &list.base);
	g_free(items);
	g_free(msgs);
}

void quar_msg_send(struct frm_conn *conn, const GPtrArray *entries, int64_t now_us)
{
	for (guint from = 0; from < entries->len; from += QUAR_MSG_ITEMS)
		quar_msg_send_range(conn, entries, from, now_us);
}

void quar_msg_send_known(struct frm_conn *conn)
{
	Feed__Quarantines list = FEED__QUARANTINES__INIT;

	list.known = true;
	frm_send(conn, MSG_FEED_QUARANTINE, &list.base);
}

int quar_msg_unpack(const uint8_t *body, size_t len, int64_t now_us, struct quar_msg_list *list)
{
	Feed__Quarantines *msg = feed__quarantines__unpack(NULL, len, body);

	if (!msg)
		return BASE_EFRAME;
	list->entries = quarantine_list_new();
	for (size_t i = 0; i < msg->n_items; i++)
		g_ptr_array_add(list->entries, quar_msg_entry(msg->items[i], now_us));
	list->evidence = part_msg_read(msg, now_us);
	list->known = msg->known;
	feed__quarantines__free_unpacked(msg, NULL);
	return 0;
}

GByteArray *quar_msg_pack_record(const struct quar_entry *entry, int64_t now_us, int64_t unix_ms)
{
	GByteArray *bytes = g_byte_array_new();
	struct quar_msg msg;

	quar_msg_fill(&msg, entry, now_us);
	msg.item.noted_ms = unix_ms;
	g_byte_array_set_size(bytes, (guint)feed__quarantine__get_packed_size(&msg.item));
	feed__quarantine__pack(&msg.item, bytes->data);
	return bytes;
}

/*
 * The time of day is precise enough for the duration since the record was written: it differs
 * between hosts by seconds, while terms last minutes.
 */
struct quar_entry *quar_msg_unpack_record(struct str value, int64_t now_us, int64_t unix_ms)
{
	Feed__Quarantine *item =
		feed__quarantine__unpack(NULL, value.len, (const uint8_t *)value.data);
	struct quar_entry *entry;
	int64_t since_ms;

	if (!item)
		return NULL;
	since_ms = MAX(unix_ms - item->noted_ms, 0);
	item->age_ms += since_ms;
	if (item->left_ms > 0)
		item->left_ms = MAX(item->left_ms - since_ms, 1);
	entry = quar_msg_entry(item, now_us);
	feed__quarantine__free_unpacked(item, NULL);
	return entry;
}
