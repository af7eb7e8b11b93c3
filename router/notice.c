#include "router/notice.h"
#include "base/jl.h"
#include "router/ctrl.h"
#include "router/traffic_head.h"

#include <string.h>

enum {
	/* Number of stored back-offs at which expired ones are removed before one is added. */
	NOTICE_PRUNE_COUNT = 1024,
	/*
	 * Longest duration of a hint, in ms. It is short because the endpoint did not request the
	 * back-off from the hosts that receive the hint.
	 */
	NOTICE_HINT_MS = 5000,
	/* Number of hints that may be forwarded in one burst. */
	NOTICE_HINT_BURST = 40
};

/* Rate limit of forwarded hints, per second and peer; a hint takes about 90 bytes. */
static const double notice_hints_per_s = 20;

/* A notice that the traffic thread posts to the control thread. */
struct notice_msg {
	struct ctrl *ctrl;
	char *endpoint;	  /* incarnation of the endpoint */
	int64_t until_us; /* end of the back-off, by tmr_now() */
	bool is_new;	  /* the back-off does not extend an earlier one */
	bool leaving;	  /* the endpoint is leaving; until_us and is_new are unused */
};

void notice_read_headers(struct ctrl *ctrl, const char *endpoint, int status,
			 const GPtrArray *headers)
{
	struct seam_answer answer;

	ctrl->router->seam->wire.read_answer(status, headers, NULL, &answer);
	traf_head_post(ctrl->router->traf, endpoint, &answer);
	seam_answer_finish(&answer);
}

bool notice_allow_hint(struct ctrl *ctrl, int64_t now_us)
{
	double age_s = (double)(now_us - ctrl->hints_refill_us) / TMR_US_PER_S;

	ctrl->hints_allowed =
		MIN(ctrl->hints_allowed + age_s * notice_hints_per_s, NOTICE_HINT_BURST);
	ctrl->hints_refill_us = now_us;
	if (ctrl->hints_allowed < 1)
		return false;
	ctrl->hints_allowed--;
	return true;
}

static void notice_send_hint(struct ctrl *ctrl, const char *endpoint, int64_t for_us)
{
	const struct suspect suspect = {
		endpoint, MIN(for_us / TMR_US_PER_MS, (int64_t)NOTICE_HINT_MS), SUSPECT_RESTS, 0};

	suspect_apply(ctrl, &suspect, NULL);
}

static gboolean notice_is_expired(gpointer endpoint, gpointer until_us, gpointer now_us)
{
	(void)endpoint;
	return *(const int64_t *)until_us <= *(const int64_t *)now_us;
}

static void notice_apply_backoff(struct ctrl *ctrl, const struct notice_msg *msg)
{
	int64_t now_us = tmr_now();

	if (g_hash_table_size(ctrl->backoff_until) >= NOTICE_PRUNE_COUNT)
		g_hash_table_foreach_remove(ctrl->backoff_until, notice_is_expired, &now_us);
	g_hash_table_replace(ctrl->backoff_until, g_strdup(msg->endpoint),
			     g_memdup2(&msg->until_us, sizeof(msg->until_us)));
	if (msg->is_new)
		notice_send_hint(ctrl, msg->endpoint, msg->until_us - now_us);
}

static void notice_on_post(void *ctx)
{
	struct notice_msg *msg = ctx;

	if (msg->leaving)
		notice_apply_leaving(msg->ctrl, msg->endpoint, 0, NULL);
	else
		notice_apply_backoff(msg->ctrl, msg);
	g_free(msg->endpoint);
	g_free(msg);
}

static void notice_post(const struct notice_msg *notice)
{
	struct notice_msg *msg = g_memdup2(notice, sizeof(*notice));

	msg->endpoint = g_strdup(notice->endpoint);
	loop_post(msg->ctrl->loop, notice_on_post, msg);
}

void notice_post_backoff(struct ctrl *ctrl, const char *endpoint, int64_t until_us, bool is_new)
{
	const struct notice_msg notice = {ctrl, (char *)endpoint, until_us, is_new, false};

	notice_post(&notice);
}

void notice_post_leaving(struct ctrl *ctrl, const char *endpoint)
{
	const struct notice_msg notice = {
		.ctrl = ctrl, .endpoint = (char *)endpoint, .leaving = true};

	notice_post(&notice);
}

bool notice_in_backoff(const struct ctrl *ctrl, const char *endpoint, int64_t now_us)
{
	const int64_t *until_us = g_hash_table_lookup(ctrl->backoff_until, endpoint);

	return until_us && now_us < *until_us;
}

static void notice_send_to(void *ctx, struct frm_conn *conn)
{
	suspect_send(conn, ctx);
}

/* Logs a notice from another host; the traffic thread logs those that this host receives. */
static void notice_log_leaving(const char *endpoint, int hops)
{
	jl_begin(JL_UNLIMITED, "endpoint_leaving");
	jl_str("endpoint", endpoint);
	jl_str("from", "another host");
	jl_int("hops", hops);
	jl_end();
}

void notice_apply_leaving(struct ctrl *ctrl, const char *endpoint, int hops, const void *source)
{
	const struct suspect forwarded = {endpoint, 0, SUSPECT_LEAVING, hops + 1};

	if (!ep_on_leaving(&ctrl->endpoints, endpoint, tmr_now()))
		return;
	if (source)
		notice_log_leaving(endpoint, hops);
	ctrl_schedule_view(ctrl);
	if (forwarded.hops > SUSPECT_HOPS_MAX)
		return;
	feed_for_each_follower(ctrl->feed, source, notice_send_to, (void *)&forwarded);
	follow_call_feeder(ctrl->follow, source, notice_send_to, (void *)&forwarded);
}

void notice_send_leaving(const struct ctrl *ctrl, struct frm_conn *conn)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, ctrl->endpoints.entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct ep_rec *rec = ((const struct ep_entry *)value)->rec;
		const struct suspect suspect = {rec->incarnation, 0, SUSPECT_LEAVING, 1};

		if (rec->state == EP_DRAINING)
			suspect_send(conn, &suspect);
	}
}
