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

void hn_init(struct hn *delta)
{
	*delta = (struct hn){.links = g_hash_table_new(g_str_hash, g_str_equal)};
	g_queue_init(&delta->order);
}

void hn_finish(struct hn *delta)
{
	g_hash_table_destroy(delta->links);
	g_queue_clear_full(&delta->order, hn_entry_free);
}

static void hn_drop(struct hn *delta, GList *link)
{
	struct hn_entry *entry = link->data;

	delta->n_removed -= entry->removed;
	g_hash_table_remove(delta->links, entry->name);
	g_queue_delete_link(&delta->order, link);
	hn_entry_free(entry);
}

/*
 * Limits the number of removed hosts by forgetting the one that was removed first. A follower that
 * has not received this removal yet gets it with its next whole list.
 */
static void hn_make_room(struct hn *delta)
{
	GList *link = delta->order.head;

	if (delta->n_removed <= HN_REMOVED_MAX)
		return;
	while (!((struct hn_entry *)link->data)->removed)
		link = link->next;
	hn_drop(delta, link);
}

static struct hn_entry *hn_entry(struct hn *delta, const char *name)
{
	GList *link = g_hash_table_lookup(delta->links, name);
	struct hn_entry *entry;

	if (link) {
		g_queue_unlink(&delta->order, link);
		g_queue_push_tail_link(&delta->order, link);
		return link->data;
	}
	entry = g_new0(struct hn_entry, 1);
	entry->name = g_strdup(name);
	g_queue_push_tail(&delta->order, entry);
	g_hash_table_insert(delta->links, entry->name, delta->order.tail);
	return entry;
}

void hn_on_change(struct hn *delta, const char *name, bool removed)
{
	struct hn_entry *entry = hn_entry(delta, name);

	delta->n_removed += (guint)removed - (guint)entry->removed;
	entry->removed = removed;
	entry->version = ++delta->version;
	hn_make_room(delta);
}

void hn_on_compared(struct hn *delta)
{
	delta->full_before = ++delta->version;
}

bool hn_needs_whole(const struct hn *delta, guint since)
{
	return since == 0 || since < delta->full_before;
}

void hn_each_since(const struct hn *delta, guint since, hn_fn fn, void *ctx)
{
	for (const GList *link = delta->order.tail; link; link = link->prev) {
		const struct hn_entry *entry = link->data;

		if (entry->version <= since)
			return;
		fn(ctx, entry->name, entry->removed);
	}
}
