#include "base/err.h"
#include "base/jl.h"
#include "msg/feed.pb-c.h"
#include "msg/kind.h"
#include "router/ctrl.h"
#include "watch/watch.h"

#include <string.h>

enum {
	/* Number of table entries above which old entries are removed. */
	SUSPECT_PRUNE_COUNT = 1024,
	/* Age of an entry that may be removed, in ms; no suspicion lasts that long. */
	SUSPECT_KEEP_MS = 60000
};

struct router_suspect *router_suspect_new(void *to, const char *endpoint, int64_t for_ms,
					  const char *why)
{
	struct router_suspect *suspect = g_new0(struct router_suspect, 1);

	suspect->to = to;
	suspect->endpoint = g_strdup(endpoint);
	suspect->why = g_strdup(why);
	suspect->until_us = tmr_now() + tmr_from_ms(for_ms);
	return suspect;
}

void router_suspect_free(struct router_suspect *suspect)
{
	g_free(suspect->endpoint);
	g_free(suspect->why);
	g_free(suspect);
}

static void suspect_on_post(void *ctx)
{
	struct router_suspect *post = ctx;
	int64_t for_ms = (post->until_us - tmr_now()) / TMR_US_PER_MS;
	const struct suspect suspect = {post->endpoint, for_ms, post->why, 0};

	suspect_apply(post->to, &suspect, NULL);
	router_suspect_free(post);
}

void suspect_post(struct ctrl *ctrl, const char *endpoint, int64_t for_ms, const char *why)
{
	loop_post(ctrl->loop, suspect_on_post, router_suspect_new(ctrl, endpoint, for_ms, why));
}

static gboolean suspect_is_old(gpointer endpoint, gpointer value, gpointer before_us)
{
	(void)endpoint;
	return *(const int64_t *)value < *(const int64_t *)before_us;
}

static void suspect_set_time(GHashTable *table, const char *endpoint, int64_t time_us)
{
	int64_t *value = g_hash_table_lookup(table, endpoint);
	int64_t before_us = tmr_now() - tmr_from_ms(SUSPECT_KEEP_MS);

	if (g_hash_table_size(table) > SUSPECT_PRUNE_COUNT)
		g_hash_table_foreach_remove(table, suspect_is_old, &before_us);
	if (!value) {
		value = g_new0(int64_t, 1);
		g_hash_table_insert(table, g_strdup(endpoint), value);
	}
	*value = time_us;
}

/*
 * Returns whether the report is proof that the endpoint is dead, so that its layers have to be
 * loaded elsewhere.
 */
static bool suspect_proves_dead(const struct suspect *suspect)
{
	return strcmp(suspect->why, SUSPECT_NO_REPORT) == 0 ||
	       strcmp(suspect->why, SUSPECT_RESTARTED) == 0 ||
	       strcmp(suspect->why, SUSPECT_ENDED) == 0;
}

static gboolean suspect_was_told_long_ago(gpointer endpoint, gpointer value, gpointer before_us)
{
	const struct wt_told *told = value;

	(void)endpoint;
	return MAX(told->fault_us, told->hint_us) < *(const int64_t *)before_us;
}

/* Returns when suspicions of the endpoint were last forwarded, to be updated. */
static struct wt_told *suspect_told(struct ctrl *ctrl, const char *endpoint, int64_t now_us)
{
	struct wt_told *told = g_hash_table_lookup(ctrl->suspect_told, endpoint);
	int64_t before_us = now_us - tmr_from_ms(SUSPECT_KEEP_MS);

	if (told)
		return told;
	if (g_hash_table_size(ctrl->suspect_told) > SUSPECT_PRUNE_COUNT)
		g_hash_table_foreach_remove(ctrl->suspect_told, suspect_was_told_long_ago,
					    &before_us);
	told = g_new0(struct wt_told, 1);
	g_hash_table_insert(ctrl->suspect_told, g_strdup(endpoint), told);
	return told;
}

/* Returns what a suspicion says: a hint, which other hosts check themselves, or a fault. */
static enum wt_news suspect_news(const struct suspect *suspect)
{
	bool hint = strcmp(suspect->why, SUSPECT_NO_ANSWER) == 0 ||
		    strcmp(suspect->why, SUSPECT_RESTS) == 0;

	return hint ? WT_HINT : WT_FAULT;
}

/*
 * Returns whether the report has to be forwarded, and records its time if so. The same report may
 * arrive over two connections, so reports about one endpoint are forwarded once in
 * WT_TELL_INTERVAL_US. The first proof that an endpoint is dead is exempt: a mere suspicion just
 * before does not delay it.
 */
static bool suspect_must_forward(struct ctrl *ctrl, const struct suspect *suspect, int64_t now_us)
{
	const char *endpoint = suspect->endpoint;
	struct wt_told *told = suspect_told(ctrl, endpoint, now_us);
	int hosts = (int)g_hash_table_size(ctrl->hosts);

	if (suspect_proves_dead(suspect) && !suspect_is_dead(ctrl, endpoint, now_us)) {
		told->fault_us = now_us;
		return true;
	}
	return wt_must_tell(told, suspect_news(suspect), hosts, now_us);
}

bool suspect_is_dead(const struct ctrl *ctrl, const char *endpoint, int64_t now_us)
{
	const int64_t *until = g_hash_table_lookup(ctrl->dead, endpoint);

	return until && now_us < *until;
}

static void suspect_send_to(void *ctx, struct frm_conn *conn)
{
	suspect_send(conn, ctx);
}

/* Logs that the placer no longer counts the layers of the endpoint as loaded. */
static void suspect_log_dead(const struct suspect *suspect)
{
	jl_begin(JL_UNLIMITED, "endpoint_dead");
	jl_str("endpoint", suspect->endpoint);
	jl_str("why", suspect->why);
	jl_int("for_ms", suspect->for_ms);
	jl_int("hops", suspect->hops);
	jl_end();
}

void suspect_apply(struct ctrl *ctrl, const struct suspect *suspect, const void *source)
{
	struct suspect forwarded = *suspect;

	if (!suspect_must_forward(ctrl, suspect, tmr_now()))
		return;
	if (suspect_proves_dead(suspect)) {
		if (!suspect_is_dead(ctrl, suspect->endpoint, tmr_now()))
			suspect_log_dead(suspect);
		suspect_set_time(ctrl->dead, suspect->endpoint,
				 tmr_now() + tmr_from_ms(suspect->for_ms));
		placer_on_change(ctrl->placer);
	}
	if (source)
		traf_post_suspect(ctrl->router->traf, suspect->endpoint, suspect->for_ms,
				  suspect->why);
	if (++forwarded.hops > SUSPECT_HOPS_MAX)
		return;
	if (strcmp(suspect->why, SUSPECT_RESTS) == 0 && !notice_allow_hint(ctrl, tmr_now()))
		return;
	feed_for_each_follower(ctrl->feed, source, suspect_send_to, &forwarded);
	follow_call_feeder(ctrl->follow, source, suspect_send_to, &forwarded);
}

/*
 * Handles a report from another host that an endpoint is at fault, in back-off or leaving. Feeds
 * carry these messages in both directions.
 */
int suspect_on_msg(struct ctrl *ctrl, struct frm_conn *conn, const uint8_t *body, size_t len)
{
	Feed__Suspect *msg = feed__suspect__unpack(NULL, len, body);
	struct suspect suspect;

	if (!msg)
		return BASE_EFRAME;
	suspect = (struct suspect){msg->endpoint, msg->for_ms, msg->why, msg->hops};
	if (strcmp(suspect.why, SUSPECT_LEAVING) == 0)
		notice_apply_leaving(ctrl, suspect.endpoint, suspect.hops, conn);
	else
		suspect_apply(ctrl, &suspect, conn);
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
