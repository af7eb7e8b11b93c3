#include "router/pick_int.h"

static gint pick_compare_times(gconstpointer a, gconstpointer b)
{
	int64_t ta = *(const int64_t *)a;
	int64_t tb = *(const int64_t *)b;

	return ta < tb ? -1 : ta > tb;
}

/*
 * Returns, in ascending order, the present time and the times at which rest periods of endpoints of
 * the service end.
 */
static GArray *pick_rest_ends(struct traf *traf, const struct traf_pick_args *args)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(int64_t));
	int64_t now_us = tmr_now();
	GHashTableIter iter;
	gpointer value;

	g_array_append_val(times, now_us);
	g_hash_table_iter_init(&iter, traf->eps);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		int64_t at_us =
			rest_next_request_us(&((const struct traf_ep *)value)->rest, now_us);

		if (at_us > now_us && pick_is_usable(value, args->service) &&
		    !pick_is_avoided(args->avoid, value))
			g_array_append_val(times, at_us);
	}
	g_array_sort(times, pick_compare_times);
	return times;
}

/* Returns whether a candidate is as trusted as the request demands. */
static bool pick_has_trusted(const struct pick *pick)
{
	for (int i = 0; i < pick->n; i++) {
		if (pick->nodes[i].trust <= pick->ask.trust)
			return true;
	}
	return false;
}

/* Returns whether the endpoints that don't rest at that time are enough for the request. */
static bool pick_suffices_at(struct traf *traf, const struct traf_pick_args *args, int64_t at_us)
{
	struct pick pick;
	bool served;

	pick_init(&pick, traf, args->service, args->request, args->avoid, at_us);
	pick.ask.trust = args->trust;
	if (rt_is_layered(args->service))
		served = pick_search(&pick, traf, args->service) == 0;
	else
		served = pick_has_trusted(&pick);
	pick_finish(&pick);
	return served;
}

int64_t traf_pick_rest_end_us(struct traf *traf, const struct traf_pick_args *args)
{
	GArray *times = pick_rest_ends(traf, args);
	guint low = 0;
	guint high = times->len;
	int64_t end_us;

	/* No endpoint rests, so the present time is the answer. */
	if (high == 1)
		high = 0;
	while (low < high) {
		guint middle = (low + high) / 2;

		if (pick_suffices_at(traf, args, g_array_index(times, int64_t, middle)))
			high = middle;
		else
			low = middle + 1;
	}
	end_us = low < times->len ? g_array_index(times, int64_t, low) : -1;
	g_array_unref(times);
	return end_us;
}
