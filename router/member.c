#include "base/jl.h"
#include "router/reg_delay.h"
#include "router/ctrl.h"

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
static struct store_call *member_call_group(struct ctrl *ctrl, char *path, char *body, store_fn fn)
{
	struct store_request request = {
		.path = path, .json = body, .total_ms = MEMBER_JOIN_CALL_MS};
	struct store_call *call = store_call(ctrl, &request, fn, ctrl);

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
static void member_write_entry(struct ctrl *ctrl, bool listed)
{
	const struct router_settings *s = &ctrl->router->settings;
	const struct seam_store *store = &ctrl->router->seam->store;
	const struct ctrl_host self = {(char *)member_control_addr(s), member_capacity(s), s->zone};
	char *text = ctrl_host_format(&self);
	GString *record =
		store->make_record(s->name, listed ? str_from_cstr(text) : str_make(NULL, 0));
	struct store_request request = {
		.path = store->append_path(SEAM_TOPIC_HOSTS),
		.body = record,
		.total_ms = MEMBER_CALL_MS,
	};

	ctrl->self_entry_us = tmr_now();
	ctrl->self_entry_era = ctrl->era.now;
	store_call(ctrl, &request, member_on_entry_written, ctrl);
	g_string_free(record, TRUE);
	g_free(text);
}

static void member_send_leave(struct ctrl *ctrl)
{
	const struct seam_store *store = &ctrl->router->seam->store;

	member_call_group(ctrl, store->leave_path(), store->make_leave(ctrl->router->settings.name),
			  member_on_left);
	ctrl->left_us = tmr_now();
}

/* Leaves the group, so that the lead does not stay unused until the membership expires. */
static void member_leave(struct ctrl *ctrl)
{
	if (ctrl->lead.joined_us > 0)
		member_send_leave(ctrl);
	lead_on_group_left(&ctrl->lead);
}

/* Returns whether a copy of the store may still name this host as a member of the group. */
static bool member_has_left_recently(const struct ctrl *ctrl)
{
	return ctrl->left_us > 0 && tmr_now() - ctrl->left_us < tmr_from_ms(MEMBER_COPY_MS);
}

static void member_log_failure(const char *event, const struct store_answer *answer)
{
	jl_begin(JL_UNLIMITED, event);
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
static int64_t member_write_offset_ms(const struct ctrl *ctrl)
{
	return g_str_hash(ctrl->router->settings.name) % MEMBER_LIST_SPREAD_MS;
}

static void member_on_entry_written(void *ctx, const struct store_answer *answer)
{
	struct ctrl *ctrl = ctx;

	ctrl->self_entry_failed = answer->status != HTTP_OK;
	if (!ctrl->self_entry_failed)
		return;
	if (!ctrl->stopping)
		loop_start_timer(ctrl->loop, &ctrl->self_entry_timer,
				 tmr_from_ms(MEMBER_LIST_RETRY_MS + member_write_offset_ms(ctrl)),
				 member_on_list_timer, ctrl);
	member_log_failure("host_not_listed", answer);
}

static bool member_has_entry(const struct ctrl *ctrl)
{
	const struct router_settings *s = &ctrl->router->settings;
	const struct ctrl_host *own = g_hash_table_lookup(ctrl->hosts, s->name);

	return own && strcmp(own->addr, member_control_addr(s)) == 0 && !ctrl->feed_lacks_self &&
	       !ctrl->self_entry_failed;
}

static void member_on_list_timer(void *ctx, int64_t now_us)
{
	struct ctrl *ctrl = ctx;

	(void)now_us;
	if (!ctrl->stopping && !member_has_entry(ctrl))
		member_write_entry(ctrl, true);
}

/* Returns the latest generation of the group that is known in this era; 0 if none is. */
static int64_t member_known_generation(const struct ctrl *ctrl)
{
	if (era_of_fence(ctrl->lead.newest) != ctrl->era.now)
		return 0;
	return era_generation_of_fence(ctrl->lead.newest);
}

/* Joins the group or renews the membership. The answer says whether this host is the leader. */
static void member_join(void *ctx, int64_t now_us)
{
	struct ctrl *ctrl = ctx;
	const struct seam_store *store = &ctrl->router->seam->store;
	char *body;

	(void)now_us;
	if (ctrl->stopping)
		return;
	body = store->make_join(ctrl->router->settings.name, MEMBER_TTL_MS,
				member_known_generation(ctrl));
	lead_on_join_sent(&ctrl->lead, tmr_boot_now());
	ctrl->join = member_call_group(ctrl, store->join_path(), body, member_on_joined);
}

static void member_on_joined(void *ctx, const struct store_answer *answer)
{
	struct ctrl *ctrl = ctx;
	int64_t generation = 0;
	bool leader = false;
	int64_t fence;

	ctrl->join = NULL;
	loop_start_timer(ctrl->loop, &ctrl->join_timer, tmr_from_ms(MEMBER_JOIN_MS), member_join,
			 ctrl);
	if (answer->status != HTTP_OK ||
	    ctrl->router->seam->store.parse_join(answer->body, &generation, &leader) < 0)
		return;
	fence = era_make_fence(ctrl->era.now, generation);
	if (lead_on_join_answered(&ctrl->lead, fence, leader)) {
		jl_begin(JL_UNLIMITED, "group");
		jl_int("era", ctrl->era.now);
		jl_int("generation", generation);
		jl_int("leader", leader);
		jl_end();
		ctrl_schedule_view(ctrl);
	}
}

void member_on_remote_fence(struct ctrl *ctrl, int64_t fence)
{
	lead_on_fence_reported(&ctrl->lead, fence);
	ctrl_schedule_view(ctrl);
	if (ctrl->candidate && !ctrl->join)
		loop_start_timer(ctrl->loop, &ctrl->join_timer, 0, member_join, ctrl);
}

void member_on_store_restored(struct ctrl *ctrl)
{
	lead_on_store_restored(&ctrl->lead, tmr_boot_now());
	if (!ctrl->candidate && member_has_left_recently(ctrl))
		member_send_leave(ctrl);
	if (!ctrl->candidate)
		return;
	if (ctrl->join)
		store_call_cancel(ctrl->join);
	ctrl->join = NULL;
	loop_start_timer(ctrl->loop, &ctrl->join_timer, 0, member_join, ctrl);
}

/* Uses a clock that also runs while the machine is suspended, so that a lease ends in time. */
bool member_may_give_orders(const struct ctrl *ctrl)
{
	return !ctrl->stopping && lead_may_send_orders(&ctrl->lead, tmr_boot_now());
}

void member_set_candidate(struct ctrl *ctrl, bool candidate)
{
	if (candidate == ctrl->candidate)
		return;
	ctrl->candidate = candidate;
	if (candidate) {
		loop_start_timer(ctrl->loop, &ctrl->join_timer, 0, member_join, ctrl);
		return;
	}
	tmr_cancel(&ctrl->loop->tmr, &ctrl->join_timer);
	if (ctrl->join)
		store_call_cancel(ctrl->join);
	ctrl->join = NULL;
	member_leave(ctrl);
}

/*
 * Returns whether the system starts for the first time, so the store has no list of hosts yet, and
 * this host has not registered itself; see reg_delay_us().
 */
static bool member_is_first_start(const struct ctrl *ctrl)
{
	return ctrl->router->settings.first_start && ctrl->self_entry_us == 0;
}

static void member_schedule_first_write(struct ctrl *ctrl)
{
	int64_t delay_us = reg_delay_us(ctrl->router->settings.name, g_hash_table_size(ctrl->hosts),
					tmr_now() - ctrl->start_us);

	loop_start_timer(ctrl->loop, &ctrl->self_entry_timer, delay_us, member_on_list_timer, ctrl);
}

void member_start(struct ctrl *ctrl)
{
	lead_init(&ctrl->lead, tmr_from_ms(MEMBER_LEASE_MS));
	if (member_is_first_start(ctrl))
		member_schedule_first_write(ctrl);
}

/*
 * Schedules a write of this host's entry if the list of hosts lacks it. A host that was killed and
 * starts again usually still has its entry. A copy of the store may lack the entry, and then hosts
 * that start later would not find this host.
 */
void member_on_host_list(struct ctrl *ctrl)
{
	int64_t delay_us = 0;

	if (ctrl->stopping || member_has_entry(ctrl))
		return;
	if (member_is_first_start(ctrl))
		member_schedule_first_write(ctrl);
	if (tmr_is_set(&ctrl->self_entry_timer))
		return;
	if (ctrl->self_entry_us > 0)
		delay_us = tmr_from_ms(member_write_offset_ms(ctrl));
	else
		delay_us = MAX(ctrl->start_us + tmr_from_ms(MEMBER_LIST_BY_FEEDER_MS) - tmr_now(),
			       tmr_from_ms(member_write_offset_ms(ctrl)));
	if (ctrl->self_entry_us > 0 && ctrl->self_entry_era == ctrl->era.now)
		delay_us +=
			MAX(ctrl->self_entry_us + tmr_from_ms(MEMBER_LIST_PAUSE_MS) - tmr_now(), 0);
	loop_start_timer(ctrl->loop, &ctrl->self_entry_timer, delay_us, member_on_list_timer, ctrl);
}

void member_stop(struct ctrl *ctrl)
{
	member_leave(ctrl);
	member_write_entry(ctrl, false);
}
