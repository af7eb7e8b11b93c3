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

static GHashTable *loads_index(const GArray *loads)
{
	GHashTable *index = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < loads->len; i++) {
		struct router_load *load = &g_array_index(loads, struct router_load, i);

		g_hash_table_insert(index, load->endpoint, load);
	}
	return index;
}

/* old: NULL is an engine that nothing was heard of, which is taken to be as usual. */
static bool loads_differ(const struct router_load *old, const struct router_load *load)
{
	int full = MAX(load->full, (int)ROUTER_FULL_NEWS);
	int old_full = old ? MAX(old->full, (int)ROUTER_FULL_NEWS) : ROUTER_FULL_NEWS;

	return (old ? old->pace : 1) != load->pace || old_full != full;
}

/* What the others should hear: what has changed, and after a while again what is not as usual. */
static GArray *loads_news(const struct rc *rc, const GArray *loads, bool again, bool *changed)
{
	GHashTable *before = loads_index(rc->polled);
	GArray *news = loads_new();

	*changed = false;
	for (guint i = 0; i < loads->len; i++) {
		const struct router_load *load = &g_array_index(loads, struct router_load, i);
		const struct router_load *old = g_hash_table_lookup(before, load->endpoint);
		bool differs = loads_differ(old, load);
		struct router_load copy = *load;

		if (!differs && !(again && loads_differ(NULL, load)))
			continue;
		*changed = *changed || differs;
		copy.endpoint = g_strdup(load->endpoint);
		g_array_append_val(news, copy);
	}
	g_hash_table_destroy(before);
	return news;
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
	bool changed;
	GArray *news = loads_news(rc, loads, again, &changed);

	rank_round_done(&rc->round);
	g_array_unref(rc->polled);
	rc->polled = loads;
	if (news->len > 0 && (changed || again))
		loads_take(rc, news);
	else
		g_array_unref(news);
}
