#include "base/jl.h"
#include "router/reg_delay.h"
#include "router/rc.h"

#include <string.h>

/*
 * Maintains what the store holds about this host: its entry in the list of hosts, and its
 * membership in the group whose leader gives orders to engines. The store elects that leader.
 */
enum {
	/*
	 * Time without a join after which the store removes a member from the group, in
	 * milliseconds. If that member was the leader, another one is elected. Two joins in a row
	 * may be lost. The time must be short because a copy of the store may name a dead host as
	 * the leader, and engines that start without layers wait for a leader that works.
	 */
	MEMBER_TTL_MS = 2000,
	/*
	 * Time for which a host leads after it has sent a join, in milliseconds. The difference to
	 * MEMBER_TTL_MS allows for a store's clock that runs faster.
	 */
	MEMBER_LEASE_MS = 1800,
	/* Pause between the end of a join and the next join, in milliseconds. */
	MEMBER_JOIN_MS = 500,
	/* Time limit of a join or a leave, in milliseconds. */
	MEMBER_JOIN_CALL_MS = 700,
	/* Time limit of a write to the list of hosts, in milliseconds. */
	MEMBER_CALL_MS = 1000,
	/* Time after its leave for which a copy of the store may name a member, in milliseconds. */
	MEMBER_COPY_MS = 30000,
	/* Shortest pause before a failed write of the entry is repeated, in milliseconds. */
	MEMBER_LIST_RETRY_MS = 2000,
	/*
	 * Shortest time between two writes of the entry in the same era of the store, in
	 * milliseconds. Readers read the list every five seconds, so a feed may lack a new entry
	 * for that time.
	 */
	MEMBER_LIST_PAUSE_MS = 6000,
	/*
	 * Period over which hosts whose entries are missing at the same time spread their writes,
	 * in milliseconds.
	 */
	MEMBER_LIST_SPREAD_MS = 1000,
	/*
	 * Time after its start in which a host does not write its entry itself, in milliseconds:
	 * its feeder passes the entry on to the first reader, which writes it.
	 */
	MEMBER_LIST_BY_FEEDER_MS = 1500,
	HTTP_OK = 200
};

static void member_join(void *ctx, int64_t now_us);
static void member_on_joined(void *ctx, const struct store_answer *answer);
static void member_on_entry_written(void *ctx, const struct store_answer *answer);
static void member_on_left(void *ctx, const struct store_answer *answer);
static void member_on_list_timer(void *ctx, int64_t now_us);

/* Sends a join or a leave to the store. Takes ownership of the path and the body. */
static struct store_call *member_call_group(struct rc *rc, char *path, char *body, store_fn fn)
{
	struct store_request request = {
		.path = path, .json = body, .total_ms = MEMBER_JOIN_CALL_MS};
	struct store_call *call = store_call(rc, &request, fn, rc);

	g_free(body);
	return call;
}

const char *member_control_addr(const struct router_settings *s)
{
	return s->control_known_as[0] ? s->control_known_as : s->control;
}

double member_capacity(const struct router_settings *s)
{
	return s->link_mbps * s->cores;
}

/* Adds this host to the store's list of hosts, or removes it from there. */
static void member_write_entry(struct rc *rc, bool listed)
{
	const struct router_settings *s = &rc->router->settings;
	const struct seam_store *store = &rc->router->seam->store;
	const struct rc_host self = {(char *)member_control_addr(s), member_capacity(s), s->zone};
	char *text = rc_host_text(&self);
	GString *record = store->make_record(s->name, listed ? str_of(text) : str_make(NULL, 0));
	struct store_request request = {
		.path = store->append_path(SEAM_TOPIC_HOSTS),
		.body = record,
		.total_ms = MEMBER_CALL_MS,
	};

	rc->listed_self_us = tmr_now();
	rc->listed_self_era = rc->era.now;
	store_call(rc, &request, member_on_entry_written, rc);
	g_string_free(record, TRUE);
	g_free(text);
}

static void member_send_leave(struct rc *rc)
{
	const struct seam_store *store = &rc->router->seam->store;

	member_call_group(rc, store->leave_path(), store->make_leave(rc->router->settings.name),
			  member_on_left);
	rc->left_us = tmr_now();
}

/* Leaves the group, so that the lead does not stay unused until the membership expires. */
static void member_leave(struct rc *rc)
{
	if (rc->lead.joined_us > 0)
		member_send_leave(rc);
	lead_on_group_left(&rc->lead);
}

/* Returns whether a copy of the store may still name this host as a member of the group. */
static bool member_has_left_recently(const struct rc *rc)
{
	return rc->left_us > 0 && tmr_now() - rc->left_us < tmr_ms(MEMBER_COPY_MS);
}

static void member_log_failure(const char *event, const struct store_answer *answer)
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
		member_log_failure("group_not_left", answer);
}

/* Returns an offset for the writes of this host, so that hosts don't write at the same time. */
static int64_t member_write_offset_ms(const struct rc *rc)
{
	return g_str_hash(rc->router->settings.name) % MEMBER_LIST_SPREAD_MS;
}

static void member_on_entry_written(void *ctx, const struct store_answer *answer)
{
	struct rc *rc = ctx;

	rc->list_failed = answer->status != HTTP_OK;
	if (!rc->list_failed)
		return;
	if (!rc->stopping)
		loop_after(rc->loop, &rc->list_timer,
			   tmr_ms(MEMBER_LIST_RETRY_MS + member_write_offset_ms(rc)),
			   member_on_list_timer, rc);
	member_log_failure("host_not_listed", answer);
}

static bool member_has_entry(const struct rc *rc)
{
	const struct router_settings *s = &rc->router->settings;
	const struct rc_host *own = g_hash_table_lookup(rc->hosts, s->name);

	return own && strcmp(own->addr, member_control_addr(s)) == 0 && !rc->feed_lacks_self &&
	       !rc->list_failed;
}

static void member_on_list_timer(void *ctx, int64_t now_us)
{
	struct rc *rc = ctx;

	(void)now_us;
	if (!rc->stopping && !member_has_entry(rc))
		member_write_entry(rc, true);
}

/* Returns the latest generation of the group that is known in this era; 0 if none is. */
static int64_t member_known_generation(const struct rc *rc)
{
	if (era_of_fence(rc->lead.newest) != rc->era.now)
		return 0;
	return era_generation_of_fence(rc->lead.newest);
}

/* Joins the group or renews the membership. The answer says whether this host is the leader. */
static void member_join(void *ctx, int64_t now_us)
{
	struct rc *rc = ctx;
	const struct seam_store *store = &rc->router->seam->store;
	char *body;

	(void)now_us;
	if (rc->stopping)
		return;
	body = store->make_join(rc->router->settings.name, MEMBER_TTL_MS,
				member_known_generation(rc));
	lead_on_join_sent(&rc->lead, tmr_boot_now());
	rc->join = member_call_group(rc, store->join_path(), body, member_on_joined);
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
	fence = era_make_fence(rc->era.now, generation);
	if (lead_on_join_answered(&rc->lead, fence, leader)) {
		jl_begin(JL_KEEP, "group");
		jl_int("era", rc->era.now);
		jl_int("generation", generation);
		jl_int("leader", leader);
		jl_end();
		rc_view_due(rc);
	}
}

void member_on_remote_fence(struct rc *rc, int64_t fence)
{
	lead_on_fence_reported(&rc->lead, fence);
	rc_view_due(rc);
	if (rc->candidate && !rc->join)
		loop_after(rc->loop, &rc->join_timer, 0, member_join, rc);
}

void member_on_store_restored(struct rc *rc)
{
	lead_on_store_restored(&rc->lead, tmr_boot_now());
	if (!rc->candidate && member_has_left_recently(rc))
		member_send_leave(rc);
	if (!rc->candidate)
		return;
	if (rc->join)
		store_call_cancel(rc->join);
	rc->join = NULL;
	loop_after(rc->loop, &rc->join_timer, 0, member_join, rc);
}

/* Uses a clock that also runs while the machine is suspended, so that a lease ends in time. */
bool member_may_give_orders(const struct rc *rc)
{
	return !rc->stopping && lead_may_send_orders(&rc->lead, tmr_boot_now());
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

/*
 * Returns whether the system starts for the first time, so the store has no list of hosts yet, and
 * this host has not registered itself; see reg_delay_us().
 */
static bool member_is_first_start(const struct rc *rc)
{
	return rc->router->settings.first_start && rc->listed_self_us == 0;
}

static void member_schedule_first_write(struct rc *rc)
{
	int64_t delay_us = reg_delay_us(rc->router->settings.name, g_hash_table_size(rc->hosts),
					tmr_now() - rc->start_us);

	loop_after(rc->loop, &rc->list_timer, delay_us, member_on_list_timer, rc);
}

void member_start(struct rc *rc)
{
	lead_init(&rc->lead, tmr_ms(MEMBER_LEASE_MS));
	if (member_is_first_start(rc))
		member_schedule_first_write(rc);
}

/*
 * Schedules a write of this host's entry if the list of hosts lacks it. A host that was killed and
 * starts again usually still has its entry. A copy of the store may lack the entry, and then hosts
 * that start later would not find this host.
 */
void member_on_host_list(struct rc *rc)
{
	int64_t delay_us = 0;

	if (rc->stopping || member_has_entry(rc))
		return;
	if (member_is_first_start(rc))
		member_schedule_first_write(rc);
	if (tmr_is_set(&rc->list_timer))
		return;
	if (rc->listed_self_us > 0)
		delay_us = tmr_ms(member_write_offset_ms(rc));
	else
		delay_us = MAX(rc->start_us + tmr_ms(MEMBER_LIST_BY_FEEDER_MS) - tmr_now(),
			       tmr_ms(member_write_offset_ms(rc)));
	if (rc->listed_self_us > 0 && rc->listed_self_era == rc->era.now)
		delay_us += MAX(rc->listed_self_us + tmr_ms(MEMBER_LIST_PAUSE_MS) - tmr_now(), 0);
	loop_after(rc->loop, &rc->list_timer, delay_us, member_on_list_timer, rc);
}

void member_stop(struct rc *rc)
{
	member_leave(rc);
	member_write_entry(rc, false);
}
