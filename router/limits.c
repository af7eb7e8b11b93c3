#include "router/limits.h"
#include "base/err.h"
#include "base/met.h"
#include "msg/kind.h"
#include "router/rc.h"
#include "router/tf.h"

#include <string.h>

enum {
	LIMITS_PRUNE_MS = 10000,
	/* After which a limit is taken to last: to load layers elsewhere takes some seconds. */
	LIMITS_LAST_MS = 10000,
	/* After which what is known of an endpoint that is not listed is forgotten. */
	LIMITS_KEEP_MS = 60000
};

/* What is known of the limit of one endpoint, by its incarnation. */
struct limit_known {
	struct lim_part part; /* its permits stay unused: the traffic thread has them */
	int wanted;	      /* not yet told to the home */
	int returned;
	int64_t touched_us;
	int64_t since_us; /* when the limit was first named; 0: none is */
};

struct limits {
	struct rc *rc;
	GHashTable *known; /* incarnation -> struct limit_known */
	struct limit_home *home;
	struct limit_ask *ask;
	int64_t prune_us;
};

struct limits_post {
	struct rc *rc;
	struct limit_note note;
};

static void limit_note_clear(gpointer data)
{
	g_free(((struct limit_note *)data)->endpoint);
}

GArray *limit_notes_new(void)
{
	GArray *notes = g_array_new(FALSE, TRUE, sizeof(struct limit_note));

	g_array_set_clear_func(notes, limit_note_clear);
	return notes;
}

struct limits *limits_new(struct rc *rc)
{
	struct limits *limits = g_new0(struct limits, 1);

	limits->rc = rc;
	limits->known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	limits->home = limit_home_new(rc, limits);
	limits->ask = limit_ask_new(rc, limits, limits->home);
	return limits;
}

void limits_free(struct limits *limits)
{
	limit_ask_free(limits->ask);
	limit_home_free(limits->home);
	g_hash_table_destroy(limits->known);
	g_free(limits);
}

static struct limit_known *limits_of(struct limits *limits, const char *endpoint)
{
	struct limit_known *known = g_hash_table_lookup(limits->known, endpoint);

	if (!known) {
		known = g_new0(struct limit_known, 1);
		g_hash_table_insert(limits->known, g_strdup(endpoint), known);
	}
	known->touched_us = tmr_boot_now();
	return known;
}

static void limits_send(struct frm_conn *conn, const GArray *notes)
{
	Feed__Limits msg = FEED__LIMITS__INIT;
	struct limit_items items;

	limit_items_init(&items, notes);
	msg.items = items.refs;
	msg.n_items = items.n;
	frm_send(conn, MSG_FEED_LIMITS, &msg.base);
	limit_items_finish(&items);
}

static void limits_send_to(void *ctx, struct frm_conn *conn)
{
	limits_send(conn, ctx);
}

/* To all hosts that this one has a feed with, but the one that it came from. */
static void limits_pass_on(struct limits *limits, const struct limit_note *note, const void *source)
{
	GArray *notes = limit_notes_new();
	struct limit_note copy = {.endpoint = g_strdup(note->endpoint), .news = note->news};

	g_array_append_val(notes, copy);
	feed_each(limits->rc->feed, source, limits_send_to, notes);
	follow_each(limits->rc->follow, source, limits_send_to, notes);
	g_array_unref(notes);
}

void limits_take(struct limits *limits, const struct limit_note *note, const void *source)
{
	struct limit_known *known;

	/* That there is no limit is news only of an endpoint that had one. */
	if (!note->news.named && !g_hash_table_contains(limits->known, note->endpoint))
		return;
	known = limits_of(limits, note->endpoint);
	if (!lim_part_hear(&known->part, &note->news))
		return;
	if (!note->news.named)
		known->since_us = 0;
	else if (known->since_us == 0)
		known->since_us = tmr_boot_now();
	if (source)
		tf_limit_post(limits->rc->router->tf, note);
	limits_pass_on(limits, note, source);
	limit_ask_soon(limits->ask);
}

static void limits_take_post(void *ctx)
{
	struct limits_post *post = ctx;
	struct limits *limits = post->rc->limits;
	struct limit_known *known;

	limits_take(limits, &post->note, NULL);
	known = limits_of(limits, post->note.endpoint);
	known->wanted += post->note.wanted;
	known->returned += post->note.returned;
	if (limits_have_needs(limits))
		limit_ask_soon(limits->ask);
	g_free(post->note.endpoint);
	g_free(post);
}

void limits_post(struct rc *rc, const struct limit_note *note)
{
	struct limits_post *post = g_new0(struct limits_post, 1);

	post->rc = rc;
	post->note = *note;
	post->note.endpoint = g_strdup(note->endpoint);
	loop_post(rc->loop, limits_take_post, post);
}

void limits_grant(struct limits *limits, const struct limit_note *note)
{
	met_add(met_counter("bg_limit_permits_total", ""), (uint64_t)note->permits);
	tf_limit_post(limits->rc->router->tf, note);
}

int limits_on_msg(struct limits *limits, struct frm_conn *conn, const uint8_t *body, size_t len)
{
	Feed__Limits *msg = feed__limits__unpack(NULL, len, body);
	int64_t now_us = tmr_boot_now();

	if (!msg)
		return BASE_EFRAME;
	for (size_t i = 0; i < msg->n_items; i++) {
		struct limit_note note;

		limit_note_read(&note, msg->items[i], now_us);
		note.permits = 0;
		limits_take(limits, &note, conn);
	}
	feed__limits__free_unpacked(msg, NULL);
	return 0;
}

/* Appends what is known and binds. */
static GArray *limits_list(const struct limits *limits, int64_t now_us)
{
	GArray *notes = limit_notes_new();
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, limits->known);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const struct limit_known *known = value;
		struct limit_note note = {.news = known->part.news,
					  .wanted = known->wanted,
					  .returned = known->returned};

		if (!lim_part_binds(&known->part, now_us))
			continue;
		note.endpoint = g_strdup(name);
		g_array_append_val(notes, note);
	}
	return notes;
}

void limits_send_all(struct limits *limits, struct frm_conn *conn)
{
	GArray *notes = limits_list(limits, tmr_boot_now());

	if (notes->len > 0)
		limits_send(conn, notes);
	g_array_unref(notes);
}

GArray *limits_to_ask(struct limits *limits, int64_t now_us)
{
	GArray *notes = limits_list(limits, now_us);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, limits->known);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct limit_known *known = value;

		known->wanted = 0;
		known->returned = 0;
	}
	return notes;
}

bool limits_bind(const struct limits *limits)
{
	int64_t now_us = tmr_boot_now();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, limits->known);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (lim_part_binds(&((const struct limit_known *)value)->part, now_us))
			return true;
	}
	return false;
}

bool limits_have_needs(const struct limits *limits)
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

/* A limit belongs to one start of an endpoint: it is forgotten with it, and when it is lifted. */
static void limits_prune(struct limits *limits, int64_t now_us)
{
	GHashTable *listed = ep_incarnations(&limits->rc->endpoints);
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, limits->known);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const struct limit_known *known = value;

		if (g_hash_table_contains(listed, name) && lim_part_binds(&known->part, now_us))
			continue;
		if (now_us - known->touched_us > tmr_ms(LIMITS_KEEP_MS))
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
	limits->prune_us = now_us + tmr_ms(LIMITS_PRUNE_MS);
	limits_prune(limits, now_us);
}

bool limits_last(const struct limits *limits, const char *endpoint)
{
	const struct limit_known *known = g_hash_table_lookup(limits->known, endpoint);

	return known && known->since_us > 0 &&
	       tmr_boot_now() - known->since_us > tmr_ms(LIMITS_LAST_MS);
}

struct limit_home *limits_home(const struct limits *limits)
{
	return limits->home;
}

json_t *limits_state(const struct limits *limits)
{
	int64_t now_us = tmr_boot_now();
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, limits->known);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const struct lim_news *news = &((const struct limit_known *)value)->part.news;

		if (!lim_binds(news, now_us))
			continue;
		json_array_append_new(
			list,
			json_pack("{s:s, s:b, s:f, s:I, s:s?, s:i, s:f}", "endpoint", name, "named",
				  news->named, "rate", lim_rate(news, now_us), "age_ms",
				  (json_int_t)((now_us - news->said_us) / TMR_US_PER_MS), "home",
				  limit_ask_home(limits->ask), "asked_by",
				  (int)limit_home_hosts(limits->home), "part",
				  limit_home_part(limits->home)));
	}
	return list;
}
