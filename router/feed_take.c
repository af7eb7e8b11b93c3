#include "router/feed_take.h"

static void ft_take_item(const struct ft *ft, const Feed__Endpoint *item)
{
	const char *text = item->text.len > 0 ? (const char *)item->text.data : NULL;

	ft->take(ft->ctx, item->offset, item->id, str_make(text, item->text.len));
}

static gint ft_by_place(gconstpointer a, gconstpointer b)
{
	int64_t pa = (*(Feed__Endpoint *const *)a)->offset;
	int64_t pb = (*(Feed__Endpoint *const *)b)->offset;

	return pa < pb ? -1 : pa > pb;
}

/* In order, as records come. Returns whether one is news of a place that was read before. */
static bool ft_take_in_order(const struct ft *ft, const Feed__Endpoints *items, int64_t before)
{
	GPtrArray *sorted = g_ptr_array_sized_new((guint)items->n_items);
	bool late = false;

	for (size_t i = 0; i < items->n_items; i++)
		g_ptr_array_add(sorted, items->items[i]);
	g_ptr_array_sort(sorted, ft_by_place);
	for (guint i = 0; i < sorted->len; i++) {
		const Feed__Endpoint *item = sorted->pdata[i];
		guint version = ft->list->version;

		ft_take_item(ft, item);
		late = late || (ft->list->version != version && item->offset < before);
	}
	g_ptr_array_unref(sorted);
	return late;
}

/* Ids of entries that the listing lacks; free with g_ptr_array_unref(). */
static GPtrArray *ft_missing(const struct ep_list *list)
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

/* Those that are gone by that, not only lapsed, are gone for followers, too. */
static void ft_hand_on_removals(const struct ft *ft, const GPtrArray *ids, int64_t next)
{
	for (guint i = 0; i < ids->len; i++) {
		if (!g_hash_table_contains(ft->list->entries, ids->pdata[i]))
			fp_on_record(ft->out, next - 1, ids->pdata[i], str_make(NULL, 0));
	}
}

static bool ft_take_again(const struct ft *ft, const Feed__Endpoints *items, int64_t next,
			  int64_t now_us)
{
	int64_t before = ft->list->next;
	GPtrArray *missing;
	bool late;

	ep_on_listing(ft->list);
	late = ft_take_in_order(ft, items, before);
	missing = ft_missing(ft->list);
	ep_on_listed(ft->list, next, now_us);
	/* After a return of the store places of before say nothing of what followers have. */
	late = late || era_of_place(next) != era_of_place(before) ||
	       (missing->len > 0 && next <= before);
	if (!late)
		ft_hand_on_removals(ft, missing, next);
	g_ptr_array_unref(missing);
	return late;
}

bool ft_take(const struct ft *ft, const Feed__Endpoints *items, bool listing, int64_t next,
	     int64_t now_us)
{
	bool again = listing && ft->list->listed_us >= 0;

	if (again)
		return ft_take_again(ft, items, next, now_us);
	if (listing)
		ep_on_listing(ft->list);
	for (size_t i = 0; i < items->n_items; i++)
		ft_take_item(ft, items->items[i]);
	if (listing)
		ep_on_listed(ft->list, next, now_us);
	ft->list->next = MAX(ft->list->next, next);
	return listing;
}
