#include "router/host_news.h"

struct hn_entry {
	char *name;
	guint version; /* of its last change */
	bool gone;
};

static void hn_entry_free(gpointer data)
{
	struct hn_entry *entry = data;

	g_free(entry->name);
	g_free(entry);
}

void hn_init(struct hn *hn)
{
	*hn = (struct hn){.links = g_hash_table_new(g_str_hash, g_str_equal)};
	g_queue_init(&hn->order);
}

void hn_finish(struct hn *hn)
{
	g_hash_table_destroy(hn->links);
	g_queue_clear_full(&hn->order, hn_entry_free);
}

static void hn_drop(struct hn *hn, GList *link)
{
	struct hn_entry *entry = link->data;

	hn->gone -= entry->gone;
	g_hash_table_remove(hn->links, entry->name);
	g_queue_delete_link(&hn->order, link);
	hn_entry_free(entry);
}

/* Who has not been told of the oldest one that has gone by now is told at its next listing. */
static void hn_make_room(struct hn *hn)
{
	GList *link = hn->order.head;

	if (hn->gone <= HN_GONE_MAX)
		return;
	while (!((struct hn_entry *)link->data)->gone)
		link = link->next;
	hn_drop(hn, link);
}

static struct hn_entry *hn_entry(struct hn *hn, const char *name)
{
	GList *link = g_hash_table_lookup(hn->links, name);
	struct hn_entry *entry;

	if (link) {
		g_queue_unlink(&hn->order, link);
		g_queue_push_tail_link(&hn->order, link);
		return link->data;
	}
	entry = g_new0(struct hn_entry, 1);
	entry->name = g_strdup(name);
	g_queue_push_tail(&hn->order, entry);
	g_hash_table_insert(hn->links, entry->name, hn->order.tail);
	return entry;
}

void hn_on_change(struct hn *hn, const char *name, bool gone)
{
	struct hn_entry *entry = hn_entry(hn, name);

	hn->gone += (guint)gone - (guint)entry->gone;
	entry->gone = gone;
	entry->version = ++hn->version;
	hn_make_room(hn);
}

void hn_on_compared(struct hn *hn)
{
	hn->whole = ++hn->version;
}

bool hn_needs_whole(const struct hn *hn, guint since)
{
	return since == 0 || since < hn->whole;
}

void hn_each_since(const struct hn *hn, guint since, hn_fn fn, void *ctx)
{
	for (const GList *link = hn->order.tail; link; link = link->prev) {
		const struct hn_entry *entry = link->data;

		if (entry->version <= since)
			return;
		fn(ctx, entry->name, entry->gone);
	}
}
