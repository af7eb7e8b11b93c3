#include "router/host_news.h"

struct hn_entry {
	char *name;
	guint version; /* number of the host's last change */
	bool removed;
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

	hn->n_removed -= entry->removed;
	g_hash_table_remove(hn->links, entry->name);
	g_queue_delete_link(&hn->order, link);
	hn_entry_free(entry);
}

/*
 * Limits the number of removed hosts by forgetting the one that was removed first. A follower that
 * has not received this removal by now learns of it from its next whole list.
 */
static void hn_make_room(struct hn *hn)
{
	GList *link = hn->order.head;

	if (hn->n_removed <= HN_REMOVED_MAX)
		return;
	while (!((struct hn_entry *)link->data)->removed)
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

void hn_on_change(struct hn *hn, const char *name, bool removed)
{
	struct hn_entry *entry = hn_entry(hn, name);

	hn->n_removed += (guint)removed - (guint)entry->removed;
	entry->removed = removed;
	entry->version = ++hn->version;
	hn_make_room(hn);
}

void hn_on_compared(struct hn *hn)
{
	hn->full_before = ++hn->version;
}

bool hn_needs_whole(const struct hn *hn, guint since)
{
	return since == 0 || since < hn->full_before;
}

void hn_each_since(const struct hn *hn, guint since, hn_fn fn, void *ctx)
{
	for (const GList *link = hn->order.tail; link; link = link->prev) {
		const struct hn_entry *entry = link->data;

		if (entry->version <= since)
			return;
		fn(ctx, entry->name, entry->removed);
	}
}
