#include "router/heard.h"
#include "base/jl.h"
#include "router/rc.h"
#include "router/tf_heard.h"

#include <string.h>

enum {
	HEARD_MANY = 1024,    /* rests that are remembered from which on those that are over go */
	HEARD_HINT_MS = 5000, /* the longest hint: who was not asked is not bound for longer */
	HEARD_HINTS_MAX = 40  /* that may be handed on at once */
};

/* Hints that a host hands on to each other host a second; one takes some 90 bytes. */
static const double heard_hints_per_s = 20;

/* On its way from the traffic thread. */
struct heard_msg {
	struct rc *rc;
	char *endpoint; /* its incarnation */
	int64_t until_us;
	bool is_new;
	bool leaving;
};

void heard_head(struct rc *rc, const char *endpoint, int status, const GPtrArray *headers)
{
	struct seam_answer answer;

	rc->router->seam->wire.read_answer(status, headers, NULL, &answer);
	tf_heard_post(rc->router->tf, endpoint, &answer);
	seam_answer_finish(&answer);
}

bool heard_may_hint(struct rc *rc, int64_t now_us)
{
	double age_s = (double)(now_us - rc->hints_us) / TMR_US_PER_S;

	rc->hints = MIN(rc->hints + age_s * heard_hints_per_s, HEARD_HINTS_MAX);
	rc->hints_us = now_us;
	if (rc->hints < 1)
		return false;
	rc->hints--;
	return true;
}

static void heard_hint(struct rc *rc, const char *endpoint, int64_t for_us)
{
	const struct suspect suspect = {
		endpoint, MIN(for_us / TMR_US_PER_MS, (int64_t)HEARD_HINT_MS), SUSPECT_RESTS, 0};

	suspect_on_news(rc, &suspect, NULL);
}

static gboolean heard_is_over(gpointer endpoint, gpointer until_us, gpointer now_us)
{
	(void)endpoint;
	return *(const int64_t *)until_us <= *(const int64_t *)now_us;
}

static void heard_take_rest(struct rc *rc, const struct heard_msg *msg)
{
	int64_t now_us = tmr_now();

	if (g_hash_table_size(rc->rests) >= HEARD_MANY)
		g_hash_table_foreach_remove(rc->rests, heard_is_over, &now_us);
	g_hash_table_replace(rc->rests, g_strdup(msg->endpoint),
			     g_memdup2(&msg->until_us, sizeof(msg->until_us)));
	if (msg->is_new)
		heard_hint(rc, msg->endpoint, msg->until_us - now_us);
}

static void heard_take_post(void *ctx)
{
	struct heard_msg *msg = ctx;

	if (msg->leaving)
		heard_take_leaving(msg->rc, msg->endpoint, 0, NULL);
	else
		heard_take_rest(msg->rc, msg);
	g_free(msg->endpoint);
	g_free(msg);
}

static void heard_post(const struct heard_msg *news)
{
	struct heard_msg *msg = g_memdup2(news, sizeof(*news));

	msg->endpoint = g_strdup(news->endpoint);
	loop_post(msg->rc->loop, heard_take_post, msg);
}

void heard_post_rest(struct rc *rc, const char *endpoint, int64_t until_us, bool is_new)
{
	const struct heard_msg news = {rc, (char *)endpoint, until_us, is_new, false};

	heard_post(&news);
}

void heard_post_leaving(struct rc *rc, const char *endpoint)
{
	const struct heard_msg news = {.rc = rc, .endpoint = (char *)endpoint, .leaving = true};

	heard_post(&news);
}

bool heard_rests(const struct rc *rc, const char *endpoint, int64_t now_us)
{
	const int64_t *until_us = g_hash_table_lookup(rc->rests, endpoint);

	return until_us && now_us < *until_us;
}

static void heard_send_to(void *ctx, struct frm_conn *conn)
{
	suspect_send(conn, ctx);
}

/* On the host that the endpoint told itself the traffic thread has written it down. */
static void heard_log_leaving(const char *endpoint, int hops)
{
	jl_begin(JL_KEEP, "endpoint_leaving");
	jl_str("endpoint", endpoint);
	jl_str("from", "another host");
	jl_int("hops", hops);
	jl_end();
}

void heard_take_leaving(struct rc *rc, const char *endpoint, int hops, const void *source)
{
	const struct suspect passed = {endpoint, 0, SUSPECT_LEAVING, hops + 1};

	if (!ep_on_leaving(&rc->endpoints, endpoint, tmr_now()))
		return;
	if (source)
		heard_log_leaving(endpoint, hops);
	rc_view_due(rc);
	if (passed.hops > SUSPECT_HOPS_MAX)
		return;
	feed_each(rc->feed, source, heard_send_to, (void *)&passed);
	follow_each(rc->follow, source, heard_send_to, (void *)&passed);
}

void heard_send_all(const struct rc *rc, struct frm_conn *conn)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, rc->endpoints.entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct ep_rec *rec = ((const struct ep_entry *)value)->rec;
		const struct suspect suspect = {rec->incarnation, 0, SUSPECT_LEAVING, 1};

		if (rec->state == EP_DRAINING)
			suspect_send(conn, &suspect);
	}
}
