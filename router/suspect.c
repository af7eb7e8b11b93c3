#include "base/err.h"
#include "base/jl.h"
#include "msg/feed.pb-c.h"
#include "msg/kind.h"
#include "router/rc.h"

#include <string.h>

enum {
	SUSPECT_NEWS_MS = 500,	/* in which the same news is passed on once */
	SUSPECT_MANY = 1024,	/* endpoints from which on those of long ago are dropped */
	SUSPECT_KEPT_MS = 60000 /* what "long ago" is; more than anything here lasts */
};

struct router_suspect *router_suspect_new(void *to, const char *endpoint, int64_t for_ms,
					  const char *why)
{
	struct router_suspect *suspect = g_new0(struct router_suspect, 1);

	suspect->to = to;
	suspect->endpoint = g_strdup(endpoint);
	suspect->why = g_strdup(why);
	suspect->until_us = tmr_now() + tmr_ms(for_ms);
	return suspect;
}

void router_suspect_free(struct router_suspect *suspect)
{
	g_free(suspect->endpoint);
	g_free(suspect->why);
	g_free(suspect);
}

static void suspect_take_own(void *ctx)
{
	struct router_suspect *own = ctx;
	int64_t for_ms = (own->until_us - tmr_now()) / TMR_US_PER_MS;
	const struct suspect suspect = {own->endpoint, for_ms, own->why, 0};

	suspect_on_news(own->to, &suspect, NULL);
	router_suspect_free(own);
}

void suspect_post(struct rc *rc, const char *endpoint, int64_t for_ms, const char *why)
{
	loop_post(rc->loop, suspect_take_own, router_suspect_new(rc, endpoint, for_ms, why));
}

static gboolean suspect_is_old(gpointer endpoint, gpointer value, gpointer before_us)
{
	(void)endpoint;
	return *(const int64_t *)value < *(const int64_t *)before_us;
}

static void suspect_set_time(GHashTable *table, const char *endpoint, int64_t time_us)
{
	int64_t *value = g_hash_table_lookup(table, endpoint);
	int64_t before_us = tmr_now() - tmr_ms(SUSPECT_KEPT_MS);

	if (g_hash_table_size(table) > SUSPECT_MANY)
		g_hash_table_foreach_remove(table, suspect_is_old, &before_us);
	if (!value) {
		value = g_new0(int64_t, 1);
		g_hash_table_insert(table, g_strdup(endpoint), value);
	}
	*value = time_us;
}

/* Whether the endpoint is certainly gone, so that its layers are needed elsewhere. */
static bool suspect_tells_dead(const struct suspect *suspect)
{
	return strcmp(suspect->why, SUSPECT_NO_REPORT) == 0 ||
	       strcmp(suspect->why, SUSPECT_RESTARTED) == 0 ||
	       strcmp(suspect->why, SUSPECT_ENDED) == 0;
}

/*
 * The same news may come by two ways; each is passed on once in a while. That an endpoint is dead
 * does not wait behind what was only suspected of it.
 */
static bool suspect_is_news(struct rc *rc, const struct suspect *suspect, int64_t now_us)
{
	const char *endpoint = suspect->endpoint;
	const int64_t *last = g_hash_table_lookup(rc->seen, endpoint);
	bool known = !suspect_tells_dead(suspect) || suspect_is_dead(rc, endpoint, now_us);

	if (known && last && now_us - *last < tmr_ms(SUSPECT_NEWS_MS))
		return false;
	suspect_set_time(rc->seen, endpoint, now_us);
	return true;
}

bool suspect_is_dead(const struct rc *rc, const char *endpoint, int64_t now_us)
{
	const int64_t *until = g_hash_table_lookup(rc->dead, endpoint);

	return until && now_us < *until;
}

static void suspect_send_to(void *ctx, struct frm_conn *conn)
{
	suspect_send(conn, ctx);
}

/* The placer takes its layers to be held by nobody from now on. */
static void suspect_log_dead(const struct suspect *suspect)
{
	jl_begin(JL_KEEP, "endpoint_dead");
	jl_str("endpoint", suspect->endpoint);
	jl_str("why", suspect->why);
	jl_int("for_ms", suspect->for_ms);
	jl_int("hops", suspect->hops);
	jl_end();
}

void suspect_on_news(struct rc *rc, const struct suspect *suspect, const void *source)
{
	struct suspect passed = *suspect;

	if (!suspect_is_news(rc, suspect, tmr_now()))
		return;
	if (suspect_tells_dead(suspect)) {
		if (!suspect_is_dead(rc, suspect->endpoint, tmr_now()))
			suspect_log_dead(suspect);
		suspect_set_time(rc->dead, suspect->endpoint, tmr_now() + tmr_ms(suspect->for_ms));
		placer_on_change(rc->placer);
	}
	if (source)
		tf_post_suspect(rc->router->tf, suspect->endpoint, suspect->for_ms, suspect->why);
	if (++passed.hops > SUSPECT_HOPS_MAX)
		return;
	if (strcmp(suspect->why, SUSPECT_RESTS) == 0 && !heard_may_hint(rc, tmr_now()))
		return;
	feed_each(rc->feed, source, suspect_send_to, &passed);
	follow_each(rc->follow, source, suspect_send_to, &passed);
}

/* The message by which hosts tell each other of endpoints at fault; feeds carry it both ways. */
int suspect_on_msg(struct rc *rc, struct frm_conn *conn, const uint8_t *body, size_t len)
{
	Feed__Suspect *msg = feed__suspect__unpack(NULL, len, body);
	struct suspect suspect;

	if (!msg)
		return BASE_EFRAME;
	suspect = (struct suspect){msg->endpoint, msg->for_ms, msg->why, msg->hops};
	if (strcmp(suspect.why, SUSPECT_LEAVING) == 0)
		heard_take_leaving(rc, suspect.endpoint, suspect.hops, conn);
	else
		suspect_on_news(rc, &suspect, conn);
	feed__suspect__free_unpacked(msg, NULL);
	return 0;
}

void suspect_send(struct frm_conn *conn, const struct suspect *suspect)
{
	Feed__Suspect msg = FEED__SUSPECT__INIT;

	msg.endpoint = (char *)suspect->endpoint;
	msg.for_ms = suspect->for_ms;
	msg.why = (char *)suspect->why;
	msg.hops = suspect->hops;
	frm_send(conn, MSG_FEED_SUSPECT, &msg.base);
}
