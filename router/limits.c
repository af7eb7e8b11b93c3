#include "router/limits.h"
#include "base/err.h"
#include "base/met.h"
#include "msg/kind.h"
#include "router/ctrl.h"
#include "router/traffic.h"

#include <string.h>

enum {
	/* Interval between two removals of outdated limits, in ms. */
	LIMITS_PRUNE_MS = 10000,
	/*
	 * Time in ms after which a limit counts as persistent. Loading layers elsewhere takes some
	 * seconds, so it is of no use for shorter limits.
	 */
	LIMITS_PERSISTENT_MS = 10000,
	/*
	 * Time in ms since its last update after which a limit is removed if it is not in force or
	 * its endpoint is not listed.
	 */
	LIMITS_KEEP_MS = 60000
};

/* The limit of one endpoint, and the demand for it on this host. */
struct limit_known {
	struct lim_permits
		part; /* the limit; its permits are unused, as the traffic thread holds them */
	int wanted;   /* number of permits needed and not yet asked for */
	int returned; /* number of unused permits not yet returned to the home */
	int64_t touched_us; /* time at which the entry was last used or updated, in microseconds */
	/* time at which the limit was first announced, in microseconds; 0 if none is */
	int64_t since_us;
};

struct limits {
	struct ctrl *ctrl;
	GHashTable *known;	 /* incarnation of an endpoint -> struct limit_known */
	struct limit_home *home; /* home that runs on this host */
	struct limit_ask *ask;	 /* asks the chosen home for permits */
	int64_t prune_us;	 /* time of the next removal of outdated limits, in microseconds */
};

/* An update that the traffic thread posts to the control thread. */
struct limits_post {
	struct ctrl *ctrl;
	struct limit_update update;
};

static void limit_update_clear(gpointer data)
{
	g_free(((struct limit_update *)data)->endpoint);
}

GArray *limit_updates_new(void)
{
	GArray *updates = g_array_new(FALSE, TRUE, sizeof(struct limit_update));

	g_array_set_clear_func(updates, limit_update_clear);
	return updates;
}

struct limits *limits_new(struct ctrl *ctrl)
{
	struct limits *limits = g_new0(struct limits, 1);

	limits->ctrl = ctrl;
	limits->known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	limits->home = limit_home_new(ctrl, limits);
	limits->ask = limit_ask_new(ctrl, limits, limits->home);
	return limits;
}

void limits_free(struct limits *limits)
{
	limit_ask_free(limits->ask);
	limit_home_free(limits->home);
	g_hash_table_destroy(limits->known);
	g_free(limits);
}

static struct limit_known *limits_get(struct limits *limits, const char *endpoint)
{
	struct limit_known *known = g_hash_table_lookup(limits->known, endpoint);

	if (!known) {
		known = g_new0(struct limit_known, 1);
		g_hash_table_insert(limits->known, g_strdup(endpoint), known);
	}
	known->touched_us = tmr_boot_now();
	return known;
}

static void limits_send(struct frm_conn *conn, const GArray *updates)
{
	Feed__Limits msg = FEED__LIMITS__INIT;
	struct limit_items items;

	limit_items_init(&items, updates);
	msg.items = items.refs;
	msg.n_items = items.n;
	frm_send(conn, MSG_FEED_LIMITS, &msg.base);
	limit_items_finish(&items);
}

static void limits_send_to(void *ctx, struct frm_conn *conn)
{
	limits_send(conn, ctx);
}

/* Sends a limit to all hosts connected by a feed, except the one that it came from. */
static void limits_forward(struct limits *limits, const struct limit_update *update,
			   const void *source)
{
	GArray *updates = limit_updates_new();
	struct limit_update copy = {.endpoint = g_strdup(update->endpoint), .limit = update->limit};

	g_array_append_val(updates, copy);
	feed_for_each_follower(limits->ctrl->feed, source, limits_send_to, updates);
	follow_call_feeder(limits->ctrl->follow, source, limits_send_to, updates);
	g_array_unref(updates);
}

void limits_merge(struct limits *limits, const struct limit_update *update, const void *source)
{
	struct limit_known *known;

	/* The absence of a limit matters only for an endpoint that had one. */
	if (!update->limit.named && !g_hash_table_contains(limits->known, update->endpoint))
		return;
	known = limits_get(limits, update->endpoint);
	if (!lim_permits_update_limit(&known->part, &update->limit))
		return;
	if (!update->limit.named)
		known->since_us = 0;
	else if (known->since_us == 0)
		known->since_us = tmr_boot_now();
	if (source)
		traf_limit_post(limits->ctrl->router->traf, update);
	limits_forward(limits, update, source);
	limit_ask_schedule(limits->ask);
}

static void limits_on_post(void *ctx)
{
	struct limits_post *post = ctx;
	struct limits *limits = post->ctrl->limits;
	struct limit_known *known;

	limits_merge(limits, &post->update, NULL);
	known = limits_get(limits, post->update.endpoint);
	known->wanted += post->update.wanted;
	known->returned += post->update.returned;
	if (limits_have_demand(limits))
		limit_ask_schedule(limits->ask);
	g_free(post->update.endpoint);
	g_free(post);
}

void limits_post(struct ctrl *ctrl, const struct limit_update *update)
{
	struct limits_post *post = g_new0(struct limits_post, 1);

	post->ctrl = ctrl;
	post->update = *update;
	post->update.endpoint = g_strdup(update->endpoint);
	loop_post(ctrl->loop, limits_on_post, post);
}

void limits_deliver_permits(struct limits *limits, const struct limit_update *update)
{
	met_add(met_counter("bg_limit_permits_total", ""), (uint64_t)update->permits);
	traf_limit_post(limits->ctrl->router->traf, update);
}

int limits_on_msg(struct limits *limits, struct frm_conn *conn, const uint8_t *body, size_t len)
{
	Feed__Limits *msg = feed__limits__unpack(NULL, len, body);
	int64_t now_us = tmr_boot_now();

	if (!msg)
		return BASE_EFRAME;
	for (size_t i = 0; i < msg->n_items; i++) {
		struct limit_update update;

		limit_update_unpack(&update, msg->items[i], now_us);
		update.permits = 0;
		limits_merge(limits, &update, conn);
	}
	feed__limits__free_unpacked(msg, NULL);
	return 0;
}

/* Returns the limits in force as an array of struct limit_update. */
static GArray *limits_list(const struct limits *limits, int64_t now_us)
{
	GArray *updates = limit_updates_new();
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, limits->known);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const struct limit_known *known = value;
		struct limit_update update = {.limit = known->part.news,
					      .wanted = known->wanted,
					      .returned = known->returned};

		if (!lim_permits_are_required(&known->part, now_us))
			continue;
		update.endpoint = g_strdup(name);
		g_array_append_val(updates, update);
	}
	return updates;
}

void limits_send_all(struct limits *limits, struct frm_conn *conn)
{
	GArray *updates = limits_list(limits, tmr_boot_now());

	if (updates->len > 0)
		limits_send(conn, updates);
	g_array_unref(updates);
}

GArray *limits_collect_demand(struct limits *limits, int64_t now_us)
{
	GArray *updates = limits_list(limits, now_us);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, limits->known);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct limit_known *known = value;

		known->wanted = 0;
		known->returned = 0;
	}
	return updates;
}

bool limits_any_binding(const struct limits *limits)
{
	int64_t now_us = tmr_boot_now();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, limits->known);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (lim_permits_are_required(&((const struct limit_known *)value)->part, now_us))
			return true;
	}
	return false;
}

bool limits_have_demand(const struct limits *limits)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, limits->known);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct limit_known *known = value;

		if (known->wanted > 0 || known->returned > 0)
			return true;
	}
	return false;
}

/*
 * Removes limits that have been lifted and those of endpoints that are no longer listed. A limit
 * belongs to one incarnation of an endpoint and does not apply to the next.
 */
static void limits_prune(struct limits *limits, int64_t now_us)
{
	GHashTable *listed = ep_incarnation_set(&limits->ctrl->endpoints);
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, limits->known);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const struct limit_known *known = value;

		if (g_hash_table_contains(listed, name) &&
		    lim_permits_are_required(&known->part, now_us))
			continue;
		if (now_us - known->touched_us > tmr_from_ms(LIMITS_KEEP_MS))
			g_hash_table_iter_remove(&iter);
	}
	g_hash_table_destroy(listed);
}

void limits_on_tick(struct limits *limits, int64_t now_us)
{
	limit_ask_on_tick(limits->ask, now_us);
	limit_home_on_tick(limits->home, now_us);
	if (now_us < limits->prune_us)
		return;
	limits->prune_us = now_us + tmr_from_ms(LIMITS_PRUNE_MS);
	limits_prune(limits, now_us);
}

bool limits_is_persistent(const struct limits *limits, const char *endpoint)
{
	const struct limit_known *known = g_hash_table_lookup(limits->known, endpoint);

	return known && known->since_us > 0 &&
	       tmr_boot_now() - known->since_us > tmr_from_ms(LIMITS_PERSISTENT_MS);
}

struct limit_home *limits_get_home(const struct limits *limits)
{
	return limits->home;
}

json_t *limits_to_json(const struct limits *limits)
{
	int64_t now_us = tmr_boot_now();
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, limits->known);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const struct lim_notice *news = &((const struct limit_known *)value)->part.news;

		if (!lim_is_in_force(news, now_us))
			continue;
		json_array_append_new(
			list,
			json_pack("{s:s, s:b, s:f, s:I, s:s?, s:i, s:f}", "endpoint", name, "named",
				  news->named, "rate", lim_current_rate(news, now_us), "age_ms",
				  (json_int_t)((now_us - news->stated_us) / TMR_US_PER_MS), "home",
				  limit_ask_home_name(limits->ask), "asked_by",
				  (int)limit_home_host_count(limits->home), "part",
				  limit_home_fraction(limits->home)));
	}
	return list;
}
