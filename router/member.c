#include "base/jl.h"
#include "router/listing.h"
#include "router/rc.h"

#include <string.h>

/*
 * This host in the store: its entry in the list of hosts, and its place in the group whose one
 * leader orders engines.
 */
enum {
	/*
	 * The group's member that is silent for so long loses what it leads. Two joins may be lost
	 * before that. A copy of the store may name a dead host as its leader, so it must not take
	 * long: engines that start empty wait for it.
	 */
	MEMBER_TTL_MS = 2000,
	/* For which a host leads after it has sent a join; the rest is for the store's clock. */
	MEMBER_LEASE_MS = 1800,
	MEMBER_JOIN_MS = 500,
	MEMBER_JOIN_CALL_MS = 700,
	MEMBER_CALL_MS = 1000,
	/* A copy of the store may name a member that has left within this time. */
	MEMBER_COPY_MS = 30000,
	MEMBER_LIST_RETRY_MS = 2000,
	/* Readers look at the list each five seconds, so a feed may lack a new entry for so long.
	 */
	MEMBER_LIST_AGAIN_MS = 6000,
	/* Hosts that miss their entries together write them over this time. */
	MEMBER_LIST_SPREAD_MS = 1000,
	/* For which a host that has just started leaves that to those that feed it. */
	MEMBER_LIST_FED_MS = 1500,
	HTTP_OK = 200
};

static void member_join(void *ctx, int64_t now_us);
static void member_on_joined(void *ctx, const struct store_answer *answer);
static void member_on_listed(void *ctx, const struct store_answer *answer);
static void member_on_left(void *ctx, const struct store_answer *answer);
static void member_list_again(void *ctx, int64_t now_us);

/* A call for the group; path and body are taken over. */
static struct store_call *member_post(struct rc *rc, char *path, char *body, store_fn fn)
{
	struct store_request request = {
		.path = path, .json = body, .total_ms = MEMBER_JOIN_CALL_MS};
	struct store_call *call = store_call(rc, &request, fn, rc);

	g_free(body);
	return call;
}

const char *member_addr(const struct router_settings *s)
{
	return s->control_known_as[0] ? s->control_known_as : s->control;
}

double member_capacity(const struct router_settings *s)
{
	return s->link_mbps * s->cores;
}

/* Puts this host into the store's list of hosts, or out of it. */
static void member_list_self(struct rc *rc, bool listed)
{
	const struct router_settings *s = &rc->router->settings;
	const struct seam_store *store = &rc->router->seam->store;
	const struct rc_host self = {(char *)member_addr(s), member_capacity(s), s->zone};
	char *text = rc_host_text(&self);
	GString *record = store->make_record(s->name, listed ? str_of(text) : str_make(NULL, 0));
	struct store_request request = {
		.path = store->append_path(SEAM_HOSTS),
		.body = record,
		.total_ms = MEMBER_CALL_MS,
	};

	rc->listed_self_us = tmr_now();
	rc->listed_self_era = rc->era.now;
	store_call(rc, &request, member_on_listed, rc);
	g_string_free(record, TRUE);
	g_free(text);
}

static void member_post_leave(struct rc *rc)
{
	const struct seam_store *store = &rc->router->seam->store;

	member_post(rc, store->leave_path(), store->make_leave(rc->router->settings.name),
		    member_on_left);
	rc->left_us = tmr_now();
}

/* A lead that nobody uses would stay with this host until its place lapses. */
static void member_leave(struct rc *rc)
{
	if (rc->lead.joined_us > 0)
		member_post_leave(rc);
	lead_on_left(&rc->lead);
}

/* Whether a copy of the store may still have this host in the group. */
static bool member_has_left_lately(const struct rc *rc)
{
	return rc->left_us > 0 && tmr_now() - rc->left_us < tmr_ms(MEMBER_COPY_MS);
}

static void member_log_failed(const char *event, const struct store_answer *answer)
{
	jl_begin(JL_KEEP, event);
	jl_int("status", answer->status);
	jl_str("error", answer->err < 0 ? store_strerror(answer->err) : NULL);
	jl_end();
}

static void member_on_left(void *ctx, const struct store_answer *answer)
{
	(void)ctx;
	if (answer->status != HTTP_OK)
		member_log_failed("group_not_left", answer);
}

/* Of what all hosts would else do in the same moment. */
static int64_t member_spread_ms(const struct rc *rc)
{
	return g_str_hash(rc->router->settings.name) % MEMBER_LIST_SPREAD_MS;
}

static void member_on_listed(void *ctx, const struct store_answer *answer)
{
	struct rc *rc = ctx;

	rc->list_failed = answer->status != HTTP_OK;
	if (!rc->list_failed)
		return;
	if (!rc->stopping)
		loop_after(rc->loop, &rc->list_timer,
			   tmr_ms(MEMBER_LIST_RETRY_MS + member_spread_ms(rc)), member_list_again,
			   rc);
	member_log_failed("host_not_listed", answer);
}

static bool member_is_listed(const struct rc *rc)
{
	const struct router_settings *s = &rc->router->settings;
	const struct rc_host *own = g_hash_table_lookup(rc->hosts, s->name);

	return own && strcmp(own->addr, member_addr(s)) == 0 && !rc->feed_lacks_self &&
	       !rc->list_failed;
}

static void member_list_again(void *ctx, int64_t now_us)
{
	struct rc *rc = ctx;

	(void)now_us;
	if (!rc->stopping && !member_is_listed(rc))
		member_list_self(rc, true);
}

/* The newest generation of the group that is known in this era. */
static int64_t member_generation(const struct rc *rc)
{
	if (era_of_fence(rc->lead.newest) != rc->era.now)
		return 0;
	return era_generation(rc->lead.newest);
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
	body = store->make_join(rc->router->settings.name, MEMBER_TTL_MS, member_generation(rc));
	lead_on_join(&rc->lead, tmr_boot_now());
	rc->join = member_post(rc, store->join_path(), body, member_on_joined);
}

static void member_on_joined(void *ctx, const struct store_answer *answer)
{
	struct rc *rc = ctx;
	int64_t generation = 0;
	bool leader = false;
	int64_t fence;

	rc->join = NULL;
	loop_after(rc->loop, &rc->join_timer, tmr_ms(MEMBER_JOIN_MS), member_join, rc);
	if (answer->status != HTTP_OK ||
	    rc->router->seam->store.parse_join(answer->body, &generation, &leader) < 0)
		return;
	fence = era_fence(rc->era.now, generation);
	if (lead_on_joined(&rc->lead, fence, leader)) {
		jl_begin(JL_KEEP, "group");
		jl_int("era", rc->era.now);
		jl_int("generation", generation);
		jl_int("leader", leader);
		jl_end();
		rc_view_due(rc);
	}
}

void member_on_fence(struct rc *rc, int64_t fence)
{
	lead_on_heard(&rc->lead, fence);
	rc_view_due(rc);
	if (rc->candidate && !rc->join)
		loop_after(rc->loop, &rc->join_timer, 0, member_join, rc);
}

void member_on_return(struct rc *rc)
{
	lead_on_return(&rc->lead, tmr_boot_now());
	if (!rc->candidate && member_has_left_lately(rc))
		member_post_leave(rc);
	if (!rc->candidate)
		return;
	if (rc->join)
		store_call_cancel(rc->join);
	rc->join = NULL;
	loop_after(rc->loop, &rc->join_timer, 0, member_join, rc);
}

/* The clock goes on while the host is suspended. */
bool member_may_order(const struct rc *rc)
{
	return !rc->stopping && lead_may_order(&rc->lead, tmr_boot_now());
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
		store_call_cancel(rc->join);
	rc->join = NULL;
	member_leave(rc);
}

/* In the first start of all there is no list yet; see listing.h. */
static bool member_is_first(const struct rc *rc)
{
	return rc->router->settings.first_start && rc->listed_self_us == 0;
}

static void member_list_first(struct rc *rc)
{
	int64_t delay_us = reg_delay_us(rc->router->settings.name, g_hash_table_size(rc->hosts),
				      tmr_now() - rc->start_us);

	loop_after(rc->loop, &rc->list_timer, delay_us, member_list_again, rc);
}

void member_start(struct rc *rc)
{
	lead_init(&rc->lead, tmr_ms(MEMBER_LEASE_MS));
	if (member_is_first(rc))
		member_list_first(rc);
}

/*
 * A host that was killed and starts again mostly finds its entry there. One whose entry is missing
 * writes it again: a copy of the store may lack it, and hosts that start later would not know it.
 */
void member_on_hosts(struct rc *rc)
{
	int64_t delay_us = 0;

	if (rc->stopping || member_is_listed(rc))
		return;
	if (member_is_first(rc))
		member_list_first(rc);
	if (tmr_is_set(&rc->list_timer))
		return;
	if (rc->listed_self_us > 0)
		delay_us = tmr_ms(member_spread_ms(rc));
	else
		delay_us = MAX(rc->start_us + tmr_ms(MEMBER_LIST_FED_MS) - tmr_now(),
			       tmr_ms(member_spread_ms(rc)));
	if (rc->listed_self_us > 0 && rc->listed_self_era == rc->era.now)
		delay_us += MAX(rc->listed_self_us + tmr_ms(MEMBER_LIST_AGAIN_MS) - tmr_now(), 0);
	loop_after(rc->loop, &rc->list_timer, delay_us, member_list_again, rc);
}

void member_stop(struct rc *rc)
{
	member_leave(rc);
	member_list_self(rc, false);
}
