#include "router/host_delta.h"

struct hdelta_entry {
	char *name;
	guint version; /* number of the host's last change */
	bool removed;
};

static void hdelta_entry_free(gpointer data)
{
	struct hdelta_entry *entry = data;

	g_free(entry->name);
	g_free(entry);
}

void hdelta_init(struct hdelta *delta)
{
	*delta = (struct hdelta){.links = g_hash_table_new(g_str_hash, g_str_equal)};
	g_queue_init(&delta->order);
}

void hdelta_finish(struct hdelta *delta)
{
	g_hash_table_destroy(delta->links);
	g_queue_clear_full(&delta->order, hdelta_entry_free);
}

static void hdelta_remove_entry(struct hdelta *delta, GList *link)
{
	struct hdelta_entry *entry = link->data;

	delta->n_removed -= entry->removed;
	g_hash_table_remove(delta->links, entry->name);
	g_queue_delete_link(&delta->order, link);
	hdelta_entry_free(entry);
}

/*
 * Limits the number of removed hosts by forgetting the one that was removed first. A follower that
 * has not received this removal yet gets it with its next whole list.
 */
static void hdelta_limit_removed(struct hdelta *delta)
{
	GList *link = delta->order.head;

	if (delta->n_removed <= HDELTA_REMOVED_MAX)
		return;
	while (!((struct hdelta_entry *)link->data)->removed)
		link = link->next;
	hdelta_remove_entry(delta, link);
}

static struct hdelta_entry *hdelta_entry(struct hdelta *delta, const char *name)
{
	GList *link = g_hash_table_lookup(delta->links, name);
	struct hdelta_entry *entry;

	if (link) {
		g_queue_unlink(&delta->order, link);
		g_queue_push_tail_link(&delta->order, link);
		return link->data;
	}
	entry = g_new0(struct hdelta_entry, 1);
	entry->name = g_strdup(name);
	g_queue_push_tail(&delta->order, entry);
	g_hash_table_insert(delta->links, entry->name, delta->order.tail);
	return entry;
}

void hdelta_on_change(struct hdelta *delta, const char *name, bool removed)
{
	struct hdelta_entry *entry = hdelta_entry(delta, name);

	delta->n_removed += (guint)removed - (guint)entry->removed;
	entry->removed = removed;
	entry->version = ++delta->version;
	hdelta_limit_removed(delta);
}

void hdelta_on_compared(struct hdelta *delta)
{
	delta->full_before = ++delta->version;
}

bool hdelta_needs_full(const struct hdelta *delta, guint since)
{
	return since == 0 || since < delta->full_before;
}

void hdelta_each_since(const struct hdelta *delta, guint since, hdelta_fn fn, void *ctx)
{
	for (const GList *link = delta->order.tail; link; link = link->prev) {
		const struct hdelta_entry *entry = link->data;

		if (entry->version <= since)
			return;
		fn(ctx, entry->name, entry->removed);
	}
}
