#include "router/pick_int.h"

static gint pick_by_time(gconstpointer a, gconstpointer b)
{
	int64_t ta = *(const int64_t *)a;
	int64_t tb = *(const int64_t *)b;

	return ta < tb ? -1 : ta > tb;
}

/* The times, in order, at which endpoints of the service may be sent to; now is the first. */
static GArray *pick_openings(struct tf *tf, const struct tf_ask *ask)
{
	GArray *times = g_array_new(FALSE, FALSE, sizeof(int64_t));
	int64_t now_us = tmr_now();
	GHashTableIter iter;
	gpointer value;

	g_array_append_val(times, now_us);
	g_hash_table_iter_init(&iter, tf->eps);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		int64_t at_us = rst_open_us(&((const struct tf_ep *)value)->rest, now_us);

		if (at_us > now_us && pick_usable(value, ask->service) &&
		    !pick_avoided(ask->avoid, value))
			g_array_append_val(times, at_us);
	}
	g_array_sort(times, pick_by_time);
	return times;
}

static bool pick_has_trusted(const struct pick *pick)
{
	for (int i = 0; i < pick->n; i++) {
		if (pick->nodes[i].trust <= pick->ask.trust)
			return true;
	}
	return false;
}

/* Whether those that are open at that time are enough for the request. */
static bool pick_is_served_at(struct tf *tf, const struct tf_ask *ask, int64_t at_us)
{
	struct pick pick;
	bool served;

	pick_init(&pick, tf, ask->service, ask->request, ask->avoid, at_us);
	pick.ask.trust = ask->trust;
	if (rt_is_layered(ask->service))
		served = pick_search(&pick, tf, ask->service) == 0;
	else
		served = pick_has_trusted(&pick);
	pick_finish(&pick);
	return served;
}

int64_t tf_pick_opens_us(struct tf *tf, const struct tf_ask *ask)
{
	GArray *times = pick_openings(tf, ask);
	guint low = 0;
	guint high = times->len;
	int64_t opens_us;

	/* Nobody rests, so there is nothing to search for. */
	if (high == 1)
		high = 0;
	while (low < high) {
		guint middle = (low + high) / 2;

		if (pick_is_served_at(tf, ask, g_array_index(times, int64_t, middle)))
			high = middle;
		else
			low = middle + 1;
	}
	opens_us = low < times->len ? g_array_index(times, int64_t, low) : -1;
	g_array_unref(times);
	return opens_us;
}
