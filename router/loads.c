#include "router/rc.h"

enum {
	LOADS_AGAIN_MS = 5000 /* after which what is not as usual is handed on again */
};

static void loads_clear(gpointer data)
{
	g_free(((struct router_load *)data)->endpoint);
}

GArray *loads_new(void)
{
	GArray *loads = g_array_new(FALSE, TRUE, sizeof(struct router_load));

	g_array_set_clear_func(loads, loads_clear);
	return loads;
}

void loads_take(struct rc *rc, GArray *loads)
{
	g_array_unref(rc->loads);
	rc->loads = loads;
	rc->loads_version++;
	rc->loads_us = tmr_now();
	tf_post_loads(rc->router->tf, loads);
	feed_flush(rc->feed);
}

/* old: NULL is an engine that nothing was heard of, which is taken to be as usual. */
static bool loads_differ(const struct router_load *old, const struct router_load *load)
{
	int full = MAX(load->full, (int)ROUTER_FULL_NEWS);
	int old_full = old ? MAX(old->full, (int)ROUTER_FULL_NEWS) : ROUTER_FULL_NEWS;

	return (old ? old->pace : 1) != load->pace || old_full != full;
}

static void loads_add(GArray *loads, const struct router_load *load)
{
	struct router_load copy = *load;

	copy.endpoint = g_strdup(load->endpoint);
	g_array_append_val(loads, copy);
}

/* Notes what an engine reported. Returns whether the others should hear of it. */
static bool loads_note(struct rc *rc, const struct router_load *load)
{
	struct router_load *old = g_hash_table_lookup(rc->polled, load->endpoint);
	bool differs = loads_differ(old, load);

	if (!old) {
		old = g_new0(struct router_load, 1);
		old->endpoint = g_strdup(load->endpoint);
		g_hash_table_insert(rc->polled, old->endpoint, old);
	}
	old->pace = load->pace;
	old->full = load->full;
	return differs;
}

static gboolean loads_is_gone(gpointer endpoint, gpointer load, gpointer listed)
{
	(void)load;
	return !g_hash_table_contains(listed, endpoint);
}

/* All engines that are not as usual, for those that have not heard of them. */
static void loads_add_unusual(struct rc *rc, GArray *loads)
{
	GHashTable *listed = ep_incarnations(&rc->endpoints);
	GHashTableIter iter;
	gpointer load;

	g_hash_table_foreach_remove(rc->polled, loads_is_gone, listed);
	g_hash_table_destroy(listed);
	g_hash_table_iter_init(&iter, rc->polled);
	while (g_hash_table_iter_next(&iter, NULL, &load)) {
		if (loads_differ(NULL, load))
			loads_add(loads, load);
	}
}

void loads_free(gpointer data)
{
	loads_clear(data);
	g_free(data);
}

/*
 * Engines hardly ever change their pace, and how full their memory is counts only from one half on;
 * nothing else of a report is used by other hosts. Whole rounds were the most of what a feed
 * carried: 16 MB a second at a reader of 300 hosts with 3,000 engines, and changes of the
 * configuration waited behind them for 5 s.
 */
void loads_take_round(struct rc *rc, GArray *loads)
{
	bool again = tmr_now() - rc->loads_us >= tmr_ms(LOADS_AGAIN_MS);
	GArray *news = loads_new();

	rank_round_done(&rc->round);
	for (guint i = 0; i < loads->len; i++) {
		const struct router_load *load = &g_array_index(loads, struct router_load, i);

		if (loads_note(rc, load))
			loads_add(news, load);
	}
	if (again)
		loads_add_unusual(rc, news);
	g_array_unref(loads);
	if (news->len > 0)
		loads_take(rc, news);
	else
		g_array_unref(news);
}
