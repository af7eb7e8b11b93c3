#include "base/tmr.h"
#include "msg/feed.pb-c.h"
#include "msg/kind.h"
#include "router/part_msg.h"

#include <string.h>

enum {
	/* Maximum number of entries in one message; 512 entries take at most 110 KB. */
	PART_MSG_ITEMS = 512
};

/* A message for one entry, with the memory that it refers to. */
struct part_msg {
	Feed__PartEvidence item;
	Feed__PartCrash crashes[PART_CRASHES_MAX];
	/* pointers to the elements of crashes, as the serializer requires them */
	Feed__PartCrash *refs[PART_CRASHES_MAX];
};

static int64_t part_msg_age_ms(int64_t at_us, int64_t now_us)
{
	return MAX(now_us - at_us, 0) / TMR_US_PER_MS;
}

static void part_msg_fill(struct part_msg *msg, const struct part_entry *entry, int64_t now_us)
{
	Feed__PartEvidence *item = &msg->item;

	feed__part_evidence__init(item);
	item->part = entry->id;
	item->position = entry->position;
	item->proved = entry->proved_us != PART_NEVER;
	if (item->proved)
		item->proved_age_ms = part_msg_age_ms(entry->proved_us, now_us);
	for (int i = 0; i < entry->n; i++) {
		const struct part_crash *crash = &entry->crashes[i];

		feed__part_crash__init(&msg->crashes[i]);
		msg->crashes[i].endpoint = crash->endpoint;
		msg->crashes[i].content = crash->content;
		msg->crashes[i].age_ms = part_msg_age_ms(crash->at_us, now_us);
		msg->crashes[i].points = crash->points;
		msg->refs[i] = &msg->crashes[i];
	}
	item->crashes = msg->refs;
	item->n_crashes = (size_t)entry->n;
}

static bool part_msg_is_known(int points)
{
	return points == PART_POINTS_HEAD || points == PART_POINTS_OTHER ||
	       points == PART_ENDPOINT_ALIVE;
}

/* Returns the time that lies so long ago; ages out of range are clamped. */
static int64_t part_msg_time_us(int64_t age_ms, int64_t now_us)
{
	return now_us - tmr_from_ms(CLAMP(age_ms, 0, PART_RETENTION_US / TMR_US_PER_MS));
}

/* Converts a message from another host to an entry; crashes of unknown kinds are left out. */
static struct part_entry *part_msg_entry(const Feed__PartEvidence *item, int64_t now_us)
{
	struct part_entry *entry = part_entry_new(item->part);

	entry->position = MAX(item->position, PART_NO_POSITION);
	entry->last_us = now_us;
	if (item->proved)
		entry->proved_us = part_msg_time_us(item->proved_age_ms, now_us);
	for (size_t i = 0; i < item->n_crashes; i++) {
		const Feed__PartCrash *from = item->crashes[i];
		const struct part_crash crash = {
			.endpoint = from->endpoint,
			.content = from->content,
			.at_us = part_msg_time_us(from->age_ms, now_us),
			.points = from->points,
		};

		if (part_msg_is_known(from->points))
			part_entry_add_crash(entry, &crash);
	}
	return entry;
}

static void part_msg_send_range(struct frm_conn *conn, const GPtrArray *entries, guint from,
				int64_t now_us)
{
	guint n = MIN(entries->len - from, (guint)PART_MSG_ITEMS);
	struct part_msg *msgs = g_new0(struct part_msg, n);
	Feed__PartEvidence **items = g_new0(Feed__PartEvidence *, n);
	Feed__Quarantines list = FEED__QUARANTINES__INIT;

	for (guint i = 0; i < n; i++) {
		part_msg_fill(&msgs[i], entries->pdata[from + i], now_us);
		items[i] = &msgs[i].item;
	}
	list.evidence = items;
	list.n_evidence = n;
	frm_send(conn, MSG_FEED_QUARANTINE, &list.base);
	g_free(items);
	g_free(msgs);
}

GPtrArray *part_msg_list_new(void)
{
	return g_ptr_array_new_with_free_func(part_msg_entry_free);
}

void part_msg_entry_free(gpointer entry)
{
	part_entry_free(entry);
}

void part_msg_send(struct frm_conn *conn, const GPtrArray *entries, int64_t now_us)
{
	for (guint from = 0; from < entries->len; from += PART_MSG_ITEMS)
		part_msg_send_range(conn, entries, from, now_us);
}

GPtrArray *part_msg_read(const Feed__Quarantines *msg, int64_t now_us)
{
	GPtrArray *entries = part_msg_list_new();

	for (size_t i = 0; i < msg->n_evidence; i++)
		g_ptr_array_add(entries, part_msg_entry(msg->evidence[i], now_us));
	return entries;
}
