#include "base/err.h"
#include "base/jl.h"
#include "router/rc.h"

#include <string.h>
#include <time.h>

/*
 * This host in the store: its entry in the list of hosts, and its place in the group whose one
 * leader orders engines.
 */
enum {
	/*
	 * The group's member that is silent for so long loses what it leads. Three joins may be
	 * lost before that.
	 */
	MEMBER_TTL_MS = 4000,
	MEMBER_JOIN_MS = 1200,
	MEMBER_CALL_MS = 1000,
	MEMBER_CONNECT_MS = 500,
	MEMBER_LIST_RETRY_MS = 2000,
	HTTP_OK = 200
};

static void member_join(void *ctx, int64_t now_us);
static void member_on_joined(void *ctx, int status, int err, bool sent, const char *body,
			     size_t len);
static void member_on_listed(void *ctx, int status, int err, bool sent, const char *body,
			     size_t len);
static void member_on_left(void *ctx, int status, int err, bool sent, const char *body, size_t len);
static void member_list_again(void *ctx, int64_t now_us);

static const struct hc_ops member_join_ops = {.on_done = member_on_joined};
static const struct hc_ops member_leave_ops = {.on_done = member_on_left};
static const struct hc_ops member_list_ops = {.on_done = member_on_listed};

/* Time since boot that goes on while the host is suspended, in microseconds. */
static int64_t member_boot_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * TMR_US_PER_S + ts.tv_nsec / 1000;
}

/* A call to the store with a body; path and body are taken over. */
static struct hc_call *member_post(struct rc *rc, char *path, char *body, size_t len,
				   const struct hc_ops *ops)
{
	const char *headers[] = {"Content-Type: application/json", NULL};
	char *url = rc_url(rc, path);
	struct hc_request request = {
		.method = "POST",
		.url = url,
		.headers = headers,
		.body = body,
		.body_len = len,
		.connect_ms = MEMBER_CONNECT_MS,
		.total_ms = MEMBER_CALL_MS,
	};
	struct hc_call *call = hc_start(rc->hc, &request, ops, rc);

	g_free(url);
	g_free(body);
	return call;
}

/* Where other hosts reach this one's control thread. */
static const char *member_addr(const struct router_settings *s)
{
	return s->control_known_as[0] ? s->control_known_as : s->control;
}

/* Puts this host into the store's list of hosts, or out of it. */
static void member_list_self(struct rc *rc, bool listed)
{
	const struct router_settings *s = &rc->router->settings;
	const struct seam_store *store = &rc->router->seam->store;
	char *text = g_strdup_printf("%s %.3f", member_addr(s), s->link_mbps * s->cores);
	GString *record = store->make_record(s->name, listed ? str_of(text) : str_make(NULL, 0));
	size_t len = record->len;

	rc->listing_self = listed;
	g_free(text);
	member_post(rc, store->append_path(SEAM_HOSTS), g_string_free(record, FALSE), len,
		    &member_list_ops);
}

/* A lead that nobody uses would stay with this host until its place lapses. */
static void member_leave(struct rc *rc)
{
	const struct seam_store *store = &rc->router->seam->store;
	char *body = store->make_leave(rc->router->settings.name);

	if (rc->lead.joined_us > 0)
		member_post(rc, store->leave_path(), body, strlen(body), &member_leave_ops);
	else
		g_free(body);
	lead_on_left(&rc->lead);
}

static void member_on_left(void *ctx, int status, int err, bool sent, const char *body, size_t len)
{
	(void)ctx;
	(void)sent;
	(void)body;
	(void)len;
	if (status == HTTP_OK)
		return;
	jl_begin(JL_KEEP, "group_not_left");
	jl_int("status", status);
	jl_str("error", err < 0 ? base_strerror(err) : NULL);
	jl_end();
}

static void member_on_listed(void *ctx, int status, int err, bool sent, const char *body,
			     size_t len)
{
	struct rc *rc = ctx;

	(void)sent;
	(void)body;
	(void)len;
	if (status == HTTP_OK)
		return;
	if (!rc->stopping)
		loop_after(rc->loop, &rc->list_timer, tmr_ms(MEMBER_LIST_RETRY_MS),
			   member_list_again, rc);
	jl_begin(JL_KEEP, "host_not_listed");
	jl_int("status", status);
	jl_str("error", err < 0 ? base_strerror(err) : NULL);
	jl_end();
}

static void member_list_again(void *ctx, int64_t now_us)
{
	struct rc *rc = ctx;

	(void)now_us;
	member_list_self(rc, true);
}

/* Joins the group of hosts, or stays in it; the store says whether this host leads. */
static void member_join(void *ctx, int64_t now_us)
{
	struct rc *rc = ctx;
	const struct seam_store *store = &rc->router->seam->store;
	char *body;

	(void)now_us;
	if (rc->stopping)
		return;
	body = store->make_join(rc->router->settings.name, MEMBER_TTL_MS, MAX(rc->lead.newest, 0));
	lead_on_join(&rc->lead, member_boot_us());
	rc->join = member_post(rc, store->join_path(), body, strlen(body), &member_join_ops);
}

static void member_on_joined(void *ctx, int status, int err, bool sent, const char *body,
			     size_t len)
{
	struct rc *rc = ctx;
	int64_t generation = rc->lead.newest;
	bool leader = false;

	(void)err;
	(void)sent;
	rc->join = NULL;
	loop_after(rc->loop, &rc->join_timer, tmr_ms(MEMBER_JOIN_MS), member_join, rc);
	if (status != HTTP_OK ||
	    rc->router->seam->store.parse_join(str_make(body, len), &generation, &leader) < 0)
		return;
	if (lead_on_joined(&rc->lead, generation, leader)) {
		jl_begin(JL_KEEP, "group");
		jl_int("generation", generation);
		jl_int("leader", leader);
		jl_end();
		rc_view_due(rc);
	}
}

void member_on_generation(struct rc *rc, int64_t generation)
{
	lead_on_heard(&rc->lead, generation);
	rc_view_due(rc);
	if (rc->candidate && !rc->join)
		loop_after(rc->loop, &rc->join_timer, 0, member_join, rc);
}

/* The clock goes on while the host is suspended. */
bool member_may_order(const struct rc *rc)
{
	return !rc->stopping && lead_may_order(&rc->lead, member_boot_us());
}

void member_set_candidate(struct rc *rc, bool candidate)
{
	if (candidate == rc->candidate)
		return;
	rc->candidate = candidate;
	if (candidate) {
		loop_after(rc->loop, &rc->join_timer, 0, member_join, rc);
		return;
	}
	tmr_cancel(&rc->loop->tmr, &rc->join_timer);
	if (rc->join)
		hc_cancel(rc->join);
	rc->join = NULL;
	member_leave(rc);
}

/* In the first start of all there is no list yet; the others need this host's entry for theirs. */
void member_start(struct rc *rc)
{
	lead_init(&rc->lead, tmr_ms(MEMBER_TTL_MS));
	if (rc->router->settings.first_start)
		member_list_self(rc, true);
}

/* A host that was killed and starts again mostly finds its entry there. */
void member_on_hosts(struct rc *rc)
{
	const struct router_settings *s = &rc->router->settings;
	const struct rc_host *own = g_hash_table_lookup(rc->hosts, s->name);

	if (rc->listing_self || rc->stopping)
		return;
	if (!own || strcmp(own->addr, member_addr(s)) != 0)
		member_list_self(rc, true);
}

void member_stop(struct rc *rc)
{
	member_leave(rc);
	member_list_self(rc, false);
}
