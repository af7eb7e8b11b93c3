#include "base/err.h"
#include "base/jl.h"
#include "base/met.h"
#include "router/ctrl.h"

#include <string.h>

enum {
	/*
	 * Time that the store may hold a read of the configuration until a record arrives, in
	 * milliseconds. A change must be in force within two seconds, and an open connection may be
	 * dead unnoticed: the failure is then detected within this time and READER_MARGIN_MS.
	 */
	READER_CONF_WAIT_MS = 1000,
	/* Time limit for the answer of a read after the store has held it, in milliseconds */
	READER_MARGIN_MS = 700,
	READER_CALL_MS = 1000, /* Minimum time limit for a call, in milliseconds */
	/*
	 * Time that the store may hold a read of endpoints, and pause between two reads, in
	 * milliseconds. Records of endpoints arrive in groups; the pause lets one read return a
	 * whole group.
	 */
	READER_ENDPOINTS_WAIT_MS = 1000,
	READER_ENDPOINTS_PAUSE_MS = 150,
	/*
	 * Pause between two reads of endpoints, in milliseconds, from the start of a host until its
	 * first feed, after which it stops reading. With READER_ENDPOINTS_PAUSE_MS, 66 hosts that
	 * started together made most of their 1,000 calls of a minute without faults before their
	 * first feed, which took a second.
	 */
	READER_ENDPOINTS_PAUSE_START_MS = 1500,
	/* Pause between two reads of the list of hosts, in milliseconds */
	READER_HOSTS_PAUSE_MS = 5000,
	/*
	 * Pause after each of the first reads of the list of hosts, in milliseconds; hosts that
	 * start together add their entries within 1 s
	 */
	READER_HOSTS_EARLY_MS = 700,
	/* Number of reads after which READER_HOSTS_PAUSE_MS applies */
	READER_HOSTS_EARLY_READS = 4,
	/* Pause after a failed call, in milliseconds; doubles with each further failure */
	READER_RETRY_MS = 250,
	READER_RETRY_MAX_MS = 1000, /* Longest pause after a failed call, in milliseconds */
	/*
	 * Pause after a failed call, in milliseconds, while the host has no configuration and
	 * callers wait
	 */
	READER_RETRY_NO_CONF_MS = 250,
	/*
	 * Pause after repeated failures on a host that is not a reader, in milliseconds; its feed
	 * reports the store's recovery
	 */
	READER_RETRY_FOLLOWER_MS = 2500,
	/* Interval of checks whether a postponed topic may be read, in milliseconds */
	READER_POSTPONED_MS = 100,
	/*
	 * Delay of the first read of the list of hosts when the whole system starts for the first
	 * time, in milliseconds. Hosts add their entries within half a second then, and no callers
	 * wait yet. All hosts but the readers get the remaining data by their feeds and make two
	 * calls to the store instead of eight. All calls of 195 hosts in a minute without faults
	 * are 1,880.
	 */
	READER_FIRST_START_HOSTS_MS = 700,
	/*
	 * In a system of at least READER_MANY_HOSTS hosts, a host that starts waits for
	 * READER_LIST_WAIT_MS milliseconds for the list of endpoints from a feed. When all of 300
	 * hosts started at once, each read 840 KB in pages and took 30 s until it served requests.
	 */
	READER_MANY_HOSTS = 100,
	READER_LIST_WAIT_MS = 1200,
	/*
	 * Time after which a host without a feed reads all topics in the first start of the whole
	 * system, in milliseconds. The store accepts the entries of hosts one by one, 2 ms each;
	 * before the list is complete, hosts choose different feeders.
	 */
	READER_FIRST_START_WAIT_MS = 5000,
	/*
	 * Pause after the first read of the configuration, in milliseconds; most hosts have a feed
	 * by the end of it
	 */
	READER_CONF_PAUSE_START_MS = 400,
	HTTP_OK = 200,
	HTTP_GONE = 410
};

static void reader_call(struct reader_topic *t);
static void reader_on_timer(void *ctx, int64_t now_us);
static void reader_schedule(struct reader_topic *t, int64_t delay_us);
static void reader_on_answer(void *ctx, const struct store_answer *answer);
static void reader_on_record(void *ctx, int64_t offset, struct str key, struct str value);

static const char *const reader_topic_names[] = {
	[SEAM_TOPIC_CONF] = "configuration",
	[SEAM_TOPIC_ENDPOINTS] = "endpoints",
	[SEAM_TOPIC_HOSTS] = "hosts",
};

static const struct {
	int64_t wait_ms;
	int64_t pause_ms;
} reader_intervals[] = {
	[SEAM_TOPIC_CONF] = {READER_CONF_WAIT_MS, 0},
	[SEAM_TOPIC_ENDPOINTS] = {READER_ENDPOINTS_WAIT_MS, READER_ENDPOINTS_PAUSE_MS},
	[SEAM_TOPIC_HOSTS] = {0, READER_HOSTS_PAUSE_MS},
};

/*
 * Returns the delay before the first read of the topic, in milliseconds. A host that has lost its
 * feed knows the list of hosts, and usually has another feed before it needs to read the list.
 */
static int64_t reader_start_delay_ms(const struct reader_topic *t)
{
	const struct ctrl *ctrl = t->ctrl;

	if (ctrl->router->settings.first_start && ctrl->host_changes.version == 0)
		return t->topic == SEAM_TOPIC_HOSTS ? READER_FIRST_START_HOSTS_MS
						    : READER_POSTPONED_MS;
	if (t->topic == SEAM_TOPIC_HOSTS && ctrl->hosts_known && !ctrl->rank.reader)
		return READER_HOSTS_PAUSE_MS;
	return 0;
}

/* Whether records of endpoints can be read from the place up to which the feed has sent them. */
static bool reader_can_continue_endpoints(const struct reader_topic *t)
{
	const struct ctrl *ctrl = t->ctrl;

	return t->topic == SEAM_TOPIC_ENDPOINTS && ctrl->listed &&
	       era_of_place(ctrl->endpoints.next) == ctrl->era.now;
}

/*
 * Returns the place from which to read the topic, or -1 to begin with a full listing. In the first
 * start of the whole system the log of the hosts topic still holds all its records and is read in
 * one call, whereas a listing of 984 hosts takes five.
 */
static int64_t reader_first_place(const struct reader_topic *t)
{
	const struct ctrl *ctrl = t->ctrl;

	if (reader_can_continue_endpoints(t))
		return ctrl->endpoints.next;
	if (t->topic == SEAM_TOPIC_HOSTS && ctrl->router->settings.first_start &&
	    !ctrl->hosts_known)
		return 0;
	return -1;
}

void reader_start(struct ctrl *ctrl)
{
	for (int i = 0; i <= SEAM_TOPIC_HOSTS; i++) {
		struct reader_topic *t = &ctrl->topics[i];

		t->ctrl = ctrl;
		t->topic = i;
		t->next = reader_first_place(t);
		t->read_us = 0;
		t->failures = 0;
		t->wait_ms = reader_intervals[i].wait_ms;
		t->pause_us = tmr_from_ms(reader_intervals[i].pause_ms);
		reader_schedule(t, tmr_from_ms(reader_start_delay_ms(t)));
	}
}

static void reader_cancel(struct reader_topic *t)
{
	if (t->call)
		store_call_cancel(t->call);
	t->call = NULL;
	g_clear_pointer(&t->after, g_free);
}

void reader_stop(struct ctrl *ctrl)
{
	for (int i = 0; i <= SEAM_TOPIC_HOSTS; i++) {
		struct reader_topic *t = &ctrl->topics[i];

		tmr_cancel(&ctrl->loop->tmr, &t->timer);
		reader_cancel(t);
	}
}

void reader_on_store_restored(struct ctrl *ctrl)
{
	for (int i = 0; i <= SEAM_TOPIC_HOSTS; i++) {
		struct reader_topic *t = &ctrl->topics[i];

		reader_cancel(t);
		t->next = -1;
		reader_schedule(t, 0);
	}
}

bool reader_is_current(const struct ctrl *ctrl)
{
	const struct reader_topic *conf = &ctrl->topics[SEAM_TOPIC_CONF];
	const struct reader_topic *endpoints = &ctrl->topics[SEAM_TOPIC_ENDPOINTS];

	return ctrl->direct && conf->read_us > 0 && endpoints->read_us > 0 && conf->failures == 0 &&
	       endpoints->failures == 0;
}

static void reader_call(struct reader_topic *t)
{
	const struct seam_store *store = &t->ctrl->router->seam->store;
	bool listing = t->next < 0;
	struct store_request request = {
		.path = listing ? store->newest_path(t->topic, t->after)
				: store->read_path(t->topic, era_offset_of_place(t->next),
						   t->wait_ms),
		.total_ms = listing ? READER_CALL_MS
				    : MAX(t->wait_ms + READER_MARGIN_MS, READER_CALL_MS),
		.fresh = t->failures > 0,
	};

	t->call = store_call(t->ctrl, &request, reader_on_answer, t);
}

/* Whether the last call failed or no call has ended yet. */
static bool reader_last_call_failed(const struct reader_topic *t)
{
	return t->read_us == 0 || t->failures > 0;
}

/*
 * Whether the list of hosts comes from the feed, so that it need not be read. Applies to hosts
 * other than readers in the first start of the whole system.
 */
static bool reader_gets_hosts_by_feed(const struct reader_topic *t)
{
	const struct ctrl *ctrl = t->ctrl;

	return t->topic == SEAM_TOPIC_HOSTS && ctrl->router->settings.first_start &&
	       ctrl->hosts_known && !ctrl->rank.reader && follow_is_fed(ctrl->follow);
}

/* Whether to wait for the list of endpoints from a feed instead of reading it. */
static bool reader_awaits_list_by_feed(const struct ctrl *ctrl, int64_t now_us)
{
	if (ctrl->listed || now_us - ctrl->start_us >= tmr_from_ms(READER_LIST_WAIT_MS))
		return false;
	return !ctrl->hosts_known || g_hash_table_size(ctrl->hosts) >= READER_MANY_HOSTS;
}

/*
 * Whether reading the topic is postponed. Until the store answers, a host other than a reader reads
 * only one topic: in an outage the store rejects each call of each host, and one call shows as much
 * as three. In the first start of the whole system such a host also waits for its feed; see
 * READER_FIRST_START_HOSTS_MS.
 */
static bool reader_is_postponed(const struct reader_topic *t, int64_t now_us)
{
	const struct ctrl *ctrl = t->ctrl;
	bool first_start = ctrl->router->settings.first_start &&
			   now_us - ctrl->start_us < tmr_from_ms(READER_FIRST_START_WAIT_MS);

	if (ctrl->rank.reader || !reader_last_call_failed(t))
		return false;
	if (first_start)
		return t->topic != SEAM_TOPIC_HOSTS;
	if (t->topic == SEAM_TOPIC_ENDPOINTS && reader_awaits_list_by_feed(ctrl, now_us))
		return true;
	return t->topic != SEAM_TOPIC_CONF &&
	       reader_last_call_failed(&ctrl->topics[SEAM_TOPIC_CONF]);
}

/* Reads the topics that were postponed until the store answers. */
static void reader_start_postponed(struct ctrl *ctrl, int64_t now_us)
{
	for (int i = 0; i <= SEAM_TOPIC_HOSTS; i++) {
		struct reader_topic *t = &ctrl->topics[i];

		if (!t->call && reader_last_call_failed(t) && !reader_is_postponed(t, now_us))
			reader_schedule(t, 0);
	}
}

static void reader_on_timer(void *ctx, int64_t now_us)
{
	struct reader_topic *t = ctx;

	if (reader_is_postponed(t, now_us) || reader_gets_hosts_by_feed(t))
		reader_schedule(t, tmr_from_ms(READER_POSTPONED_MS));
	else
		reader_call(t);
}

static void reader_schedule(struct reader_topic *t, int64_t delay_us)
{
	if (!t->ctrl->stopping || t->topic != SEAM_TOPIC_HOSTS)
		loop_start_timer(t->ctrl->loop, &t->timer, delay_us, reader_on_timer, t);
}

/* The operator may keep other things in that topic, which must not be taken for a configuration. */
static bool reader_is_conf(const struct reader_topic *t, struct str key)
{
	return str_eq_cstr(key, t->ctrl->router->seam->store.conf_key());
}

static void reader_on_record(void *ctx, int64_t offset, struct str key, struct str value)
{
	struct reader_topic *t = ctx;
	int64_t place = era_make_place(t->ctrl->era.now, offset);
	char *name = str_dup(key);

	if (t->topic == SEAM_TOPIC_CONF && value.data && reader_is_conf(t, key))
		ctrl_apply_conf(t->ctrl, place, value, "store");
	else if (t->topic == SEAM_TOPIC_ENDPOINTS)
		ctrl_apply_endpoint(t->ctrl, place, name, value);
	else if (t->topic == SEAM_TOPIC_HOSTS)
		hosts_on_record(t->ctrl->host_list, name, value);
	g_free(name);
}

static int64_t reader_retry_ms(const struct reader_topic *t)
{
	const struct ctrl *ctrl = t->ctrl;

	if (!ctrl->conf)
		return READER_RETRY_NO_CONF_MS;
	if (!ctrl->rank.reader && t->failures > 0)
		return READER_RETRY_FOLLOWER_MS;
	return MIN(READER_RETRY_MS << MIN(t->failures, 4), READER_RETRY_MAX_MS);
}

static void reader_on_failure(struct reader_topic *t, int status, int err)
{
	int64_t delay_ms = reader_retry_ms(t);

	if (t->failures++ == 0) {
		jl_begin(JL_UNLIMITED, "store_lost");
		jl_str("topic", reader_topic_names[t->topic]);
		jl_int("status", status);
		jl_str("error", err < 0 ? store_strerror(err) : NULL);
		jl_end();
	}
	met_add(met_counter("bg_store_failures_total", ""), 1);
	if (reader_last_call_failed(&t->ctrl->topics[SEAM_TOPIC_ENDPOINTS]) &&
	    !follow_is_fed(t->ctrl->follow))
		ep_on_store_failure(&t->ctrl->endpoints, tmr_now());
	feed_flush(t->ctrl->feed);
	reader_schedule(t, tmr_from_ms(delay_ms));
}

static void reader_on_success(struct reader_topic *t)
{
	if (t->failures == 0)
		return;
	jl_begin(JL_UNLIMITED, "store_regained");
	jl_str("topic", reader_topic_names[t->topic]);
	jl_int("failures", t->failures);
	jl_end();
	t->failures = 0;
	follow_on_store_regained(t->ctrl->follow);
}

static int64_t reader_endpoints_pause_us(const struct ctrl *ctrl)
{
	if (!ctrl->rank.reader && !ctrl->settled)
		return tmr_from_ms(READER_ENDPOINTS_PAUSE_START_MS);
	return tmr_from_ms(READER_ENDPOINTS_PAUSE_MS + ctrl_endpoints_delay_ms(ctrl));
}

static int64_t reader_pause_us(struct reader_topic *t)
{
	if (t->topic == SEAM_TOPIC_HOSTS && t->reads < READER_HOSTS_EARLY_READS)
		return tmr_from_ms(READER_HOSTS_EARLY_MS);
	if (t->topic == SEAM_TOPIC_ENDPOINTS)
		return reader_endpoints_pause_us(t->ctrl);
	if (t->topic == SEAM_TOPIC_CONF && !t->ctrl->rank.reader && t->reads == 0)
		return tmr_from_ms(READER_CONF_PAUSE_START_MS);
	return t->pause_us;
}

/* Logs how many known endpoints are missing after the store was restored from an older copy. */
static void reader_log_compared(const struct ctrl *ctrl)
{
	if (!ep_may_lack_entries(&ctrl->endpoints, tmr_now()))
		return;
	jl_begin(JL_UNLIMITED, "endpoints_compared");
	jl_int("era", ctrl->era.now);
	jl_int("known", g_hash_table_size(ctrl->endpoints.entries));
	jl_int("missing", ep_count_lapsed(&ctrl->endpoints));
	jl_end();
}

/* Processes the end of a full listing. */
static void reader_on_listing_end(struct reader_topic *t)
{
	struct ctrl *ctrl = t->ctrl;

	t->next = t->end;
	if (t->topic == SEAM_TOPIC_HOSTS) {
		hosts_on_listing_end(ctrl->host_list);
		ctrl_on_hosts_known(ctrl);
	}
	if (t->topic == SEAM_TOPIC_ENDPOINTS) {
		ep_end_listing(&ctrl->endpoints, t->end, tmr_now());
		reader_log_compared(ctrl);
		ctrl->endpoints.changed = true;
		feed_on_list_replaced(ctrl->feed);
		if (!recall_on_list_read(ctrl->recall))
			ctrl->listed = true;
	}
	reader_schedule(t, reader_pause_us(t));
}

/*
 * Processes one page of a listing. The pages together are no snapshot: changes to an early page
 * while later pages are read are found only if records are then read from the end of the log as of
 * the first page.
 */
static bool reader_on_listing_page(struct reader_topic *t, struct str body)
{
	struct seam_read read;
	bool first = t->after == NULL;

	if (first && t->topic == SEAM_TOPIC_ENDPOINTS)
		ep_begin_listing(&t->ctrl->endpoints);
	if (first && t->topic == SEAM_TOPIC_HOSTS)
		hosts_on_listing_begin(t->ctrl->host_list);
	if (t->ctrl->router->seam->store.parse_newest(body, reader_on_record, t, &read) < 0)
		return false;
	g_clear_pointer(&t->after, g_free);
	if (first)
		t->end = era_make_place(t->ctrl->era.now, read.end);
	if (read.more) {
		t->after = read.last;
		reader_call(t);
		return true;
	}
	g_free(read.last);
	reader_on_listing_end(t);
	return true;
}

static bool reader_on_records(struct reader_topic *t, struct str body)
{
	struct seam_read read;

	if (t->ctrl->router->seam->store.parse_read(body, era_offset_of_place(t->next),
						    reader_on_record, t, &read) < 0)
		return false;
	/* If the log has become shorter, the store was rewound and must be listed again. */
	t->next = read.end < era_offset_of_place(t->next)
			  ? -1
			  : era_make_place(t->ctrl->era.now, read.next);
	t->reads++;
	if (t->topic == SEAM_TOPIC_HOSTS && read.next == read.end)
		ctrl_on_hosts_known(t->ctrl);
	reader_schedule(t, read.next < read.end ? 0 : reader_pause_us(t));
	return true;
}

static void reader_on_answer(void *ctx, const struct store_answer *answer)
{
	struct reader_topic *t = ctx;
	bool good;

	t->call = NULL;
	if (answer->status == HTTP_GONE) {
		t->next = -1;
		g_clear_pointer(&t->after, g_free);
		reader_call(t);
		return;
	}
	if (answer->status != HTTP_OK) {
		reader_on_failure(t, answer->status, answer->err);
		return;
	}
	reader_on_success(t);
	t->read_us = tmr_now();
	if (t->topic == SEAM_TOPIC_ENDPOINTS)
		ep_on_store_success(&t->ctrl->endpoints, t->read_us);
	good = t->next < 0 ? reader_on_listing_page(t, answer->body)
			   : reader_on_records(t, answer->body);
	if (!good)
		reader_on_failure(t, answer->status, BASE_EHTTP);
	if (t->ctrl->endpoints.changed)
		ctrl_schedule_view(t->ctrl);
	reader_start_postponed(t->ctrl, t->read_us);
	ctrl_post_first_view(t->ctrl);
	feed_flush(t->ctrl->feed);
}
