#include "router/feed_merge.h"

static void fmerge_apply_item(const struct fmerge *fmerge, const Feed__Endpoint *item)
{
	const char *text = item->text.len > 0 ? (const char *)item->text.data : NULL;

	fmerge->apply(fmerge->ctx, item->offset, item->id, str_make(text, item->text.len));
}

static gint fmerge_compare_places(gconstpointer a, gconstpointer b)
{
	int64_t pa = (*(Feed__Endpoint *const *)a)->offset;
	int64_t pb = (*(Feed__Endpoint *const *)b)->offset;

	return pa < pb ? -1 : pa > pb;
}

/*
 * Applies the items in order of their places. Returns whether an item from before the place
 * "before", up to which the log had been read, has changed the list.
 */
static bool fmerge_apply_in_order(const struct fmerge *fmerge, const Feed__Endpoints *items,
				  int64_t before)
{
	GPtrArray *sorted = g_ptr_array_sized_new((guint)items->n_items);
	bool needs_full = false;

	for (size_t i = 0; i < items->n_items; i++)
		g_ptr_array_add(sorted, items->items[i]);
	g_ptr_array_sort(sorted, fmerge_compare_places);
	for (guint i = 0; i < sorted->len; i++) {
		const Feed__Endpoint *item = sorted->pdata[i];
		guint version = fmerge->list->version;

		fmerge_apply_item(fmerge, item);
		needs_full =
			needs_full || (fmerge->list->version != version && item->offset < before);
	}
	g_ptr_array_unref(sorted);
	return needs_full;
}

/* Returns the ids of entries that the full list lacks. Free with g_ptr_array_unref(). */
static GPtrArray *fmerge_find_missing(const struct ep_list *list)
{
	GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, list->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct ep_entry *entry = value;

		if (!entry->seen)
			g_ptr_array_add(ids, g_strdup(entry->rec->id));
	}
	return ids;
}

/* Queues removals for followers, except of entries that are kept although the list lacks them. */
static void fmerge_forward_removals(const struct fmerge *fmerge, const GPtrArray *ids, int64_t next)
{
	for (guint i = 0; i < ids->len; i++) {
		if (!g_hash_table_contains(fmerge->list->entries, ids->pdata[i]))
			fpack_add_record(fmerge->out, next - 1, ids->pdata[i], str_make(NULL, 0));
	}
}

static bool fmerge_apply_repeated_list(const struct fmerge *fmerge, const Feed__Endpoints *items,
				       int64_t next, int64_t now_us)
{
	int64_t before = fmerge->list->next;
	GPtrArray *missing;
	bool needs_full;

	ep_begin_listing(fmerge->list);
	needs_full = fmerge_apply_in_order(fmerge, items, before);
	missing = fmerge_find_missing(fmerge->list);
	ep_end_listing(fmerge->list, next, now_us);
	/* Places of an older era do not show which records followers have. */
	needs_full = needs_full || era_of_place(next) != era_of_place(before) ||
		     (missing->len > 0 && next <= before);
	if (!needs_full)
		fmerge_forward_removals(fmerge, missing, next);
	g_ptr_array_unref(missing);
	return needs_full;
}

bool fmerge_apply(const struct fmerge *fmerge, const Feed__Endpoints *items, bool listing,
		  int64_t next, int64_t now_us)
{
	bool repeated = listing && fmerge->list->listed_us >= 0;

	if (repeated)
		return fmerge_apply_repeated_list(fmerge, items, next, now_us);
	if (listing)
		ep_begin_listing(fmerge->list);
	for (size_t i = 0; i < items->n_items; i++)
		fmerge_apply_item(fmerge, items->items[i]);
	if (listing)
		ep_end_listing(fmerge->list, next, now_us);
	fmerge->list->next = MAX(fmerge->list->next, next);
	return listing;
}
