#include "base/err.h"
#include "base/jl.h"
#include "base/met.h"
#include "router/rc.h"

#include <string.h>

enum {
	/*
	 * Time that the store may hold a read of the configuration until a record arrives. A change
	 * must be in force within two seconds, and an open connection may be dead unnoticed: the
	 * failure is then detected within this time and SF_MARGIN_MS.
	 */
	SF_CONF_WAIT_MS = 1000,
	SF_MARGIN_MS = 700, /* Time limit for the answer of a read after the store has held it */
	SF_CALL_MS = 1000,  /* Minimum time limit for a call */
	/*
	 * Time that the store may hold a read of endpoints, and pause between two reads. Records of
	 * endpoints arrive in groups; the pause lets one read return a whole group.
	 */
	SF_ENDPOINTS_WAIT_MS = 1000,
	SF_ENDPOINTS_PAUSE_MS = 150,
	/*
	 * The same pause between the start of a host and its first feed, after which it stops
	 * reading. With the shorter pause, 66 hosts that started together made in that second most
	 * of the 1,000 calls of a minute without faults.
	 */
	SF_ENDPOINTS_PAUSE_START_MS = 1500,
	SF_HOSTS_PAUSE_MS = 5000, /* Pause between two reads of the list of hosts */
	/* Pause after the first reads, as hosts that start together add their entries in 1 s */
	SF_HOSTS_EARLY_MS = 700,
	SF_HOSTS_EARLY_READS = 4, /* Number of reads after which the longer pause applies */
	SF_RETRY_MS = 250,	  /* Pause after a failed call; doubles with each further failure */
	SF_RETRY_MAX_MS = 1000,	  /* Maximum of that pause */
	/* Pause after a failed call while the host has no configuration and callers wait */
	SF_RETRY_BLIND_MS = 250,
	/* Pause after repeated failures on a non-reader, whose feed reports the store's recovery */
	SF_RETRY_OTHERS_MS = 2500,
	SF_WAIT_MS = 100, /* Interval of checks whether a postponed topic may be read */
	/*
	 * Delay of the first read of the list of hosts when the whole system starts for the first
	 * time. Hosts add their entries within half a second then, and no callers wait yet. All but
	 * the readers get the remaining data by their feed: two calls a host instead of eight, of
	 * 1,880 in a minute without faults with 195 hosts.
	 */
	SF_FIRST_HOSTS_MS = 700,
	/*
	 * In a system of at least SF_MANY_HOSTS hosts, a host that starts waits for
	 * SF_LIST_OTHERS_MS for the list of endpoints from a feed. When all of 300 hosts started at
	 * once, each read 840 KB in pages and took 30 s until it served requests.
	 */
	SF_MANY_HOSTS = 100,
	SF_LIST_OTHERS_MS = 1200,
	/*
	 * Time after which a host without a feed reads all topics in the first start of the whole
	 * system. The store accepts the entries of hosts one by one, 2 ms each; before the list is
	 * complete, hosts choose different feeders.
	 */
	SF_FIRST_OTHERS_MS = 5000,
	/* Pause after the first read of the configuration, as most hosts have a feed by then */
	SF_CONF_PAUSE_START_MS = 400,
	HTTP_OK = 200,
	HTTP_GONE = 410
};

static void sf_ask(struct sf_topic *t);
static void sf_on_timer(void *ctx, int64_t now_us);
static void sf_again(struct sf_topic *t, int64_t delay_us);
static void sf_on_done(void *ctx, const struct store_answer *answer);
static void sf_on_record(void *ctx, int64_t offset, struct str key, struct str value);

static const char *const sf_names[] = {
	[SEAM_TOPIC_CONF] = "configuration",
	[SEAM_TOPIC_ENDPOINTS] = "endpoints",
	[SEAM_TOPIC_HOSTS] = "hosts",
};

static const struct {
	int64_t wait_ms;
	int64_t pause_ms;
} sf_pace[] = {
	[SEAM_TOPIC_CONF] = {SF_CONF_WAIT_MS, 0},
	[SEAM_TOPIC_ENDPOINTS] = {SF_ENDPOINTS_WAIT_MS, SF_ENDPOINTS_PAUSE_MS},
	[SEAM_TOPIC_HOSTS] = {0, SF_HOSTS_PAUSE_MS},
};

/*
 * Returns the delay before the first read of the topic, in milliseconds. A host that has lost its
 * feed knows the list of hosts, and usually has another feed before it needs to read the list.
 */
static int64_t sf_start_pause_ms(const struct sf_topic *t)
{
	const struct rc *rc = t->rc;

	if (rc->router->settings.first_start && rc->host_news.version == 0)
		return t->topic == SEAM_TOPIC_HOSTS ? SF_FIRST_HOSTS_MS : SF_WAIT_MS;
	if (t->topic == SEAM_TOPIC_HOSTS && rc->hosts_heard && !rc->rank.reader)
		return SF_HOSTS_PAUSE_MS;
	return 0;
}

/* Whether records of endpoints can be read from the place up to which the feed has sent them. */
static bool sf_knows_endpoints(const struct sf_topic *t)
{
	const struct rc *rc = t->rc;

	return t->topic == SEAM_TOPIC_ENDPOINTS && rc->listed &&
	       era_of_place(rc->endpoints.next) == rc->era.now;
}

/*
 * Returns the place from which to read the topic, or -1 to begin with a full listing. In the first
 * start of the whole system the log of the hosts topic still holds all its records and is read in
 * one call, whereas a listing of 984 hosts takes five.
 */
static int64_t sf_first(const struct sf_topic *t)
{
	const struct rc *rc = t->rc;

	if (sf_knows_endpoints(t))
		return rc->endpoints.next;
	if (t->topic == SEAM_TOPIC_HOSTS && rc->router->settings.first_start && !rc->hosts_heard)
		return 0;
	return -1;
}

void sf_start(struct rc *rc)
{
	for (int i = 0; i <= SEAM_TOPIC_HOSTS; i++) {
		struct sf_topic *t = &rc->topics[i];

		t->rc = rc;
		t->topic = i;
		t->next = sf_first(t);
		t->read_us = 0;
		t->failures = 0;
		t->wait_ms = sf_pace[i].wait_ms;
		t->pause_us = tmr_ms(sf_pace[i].pause_ms);
		sf_again(t, tmr_ms(sf_start_pause_ms(t)));
	}
}

static void sf_cancel(struct sf_topic *t)
{
	if (t->call)
		store_call_cancel(t->call);
	t->call = NULL;
	g_clear_pointer(&t->after, g_free);
}

void sf_stop(struct rc *rc)
{
	for (int i = 0; i <= SEAM_TOPIC_HOSTS; i++) {
		struct sf_topic *t = &rc->topics[i];

		tmr_cancel(&rc->loop->tmr, &t->timer);
		sf_cancel(t);
	}
}

void sf_on_return(struct rc *rc)
{
	for (int i = 0; i <= SEAM_TOPIC_HOSTS; i++) {
		struct sf_topic *t = &rc->topics[i];

		sf_cancel(t);
		t->next = -1;
		sf_again(t, 0);
	}
}

bool sf_is_reached(const struct rc *rc)
{
	const struct sf_topic *conf = &rc->topics[SEAM_TOPIC_CONF];
	const struct sf_topic *endpoints = &rc->topics[SEAM_TOPIC_ENDPOINTS];

	return rc->direct && conf->read_us > 0 && endpoints->read_us > 0 && conf->failures == 0 &&
	       endpoints->failures == 0;
}

static void sf_ask(struct sf_topic *t)
{
	const struct seam_store *store = &t->rc->router->seam->store;
	bool listing = t->next < 0;
	struct store_request request = {
		.path = listing ? store->newest_path(t->topic, t->after)
				: store->read_path(t->topic, era_offset_of_place(t->next),
						   t->wait_ms),
		.total_ms = listing ? SF_CALL_MS : MAX(t->wait_ms + SF_MARGIN_MS, SF_CALL_MS),
		.fresh = t->failures > 0,
	};

	t->call = store_call(t->rc, &request, sf_on_done, t);
}

/* Whether the last call failed or no call has ended yet. */
static bool sf_is_bad(const struct sf_topic *t)
{
	return t->read_us == 0 || t->failures > 0;
}

/*
 * Whether the list of hosts comes from the feed, so that it need not be read. Applies to hosts
 * other than readers in the first start of the whole system.
 */
static bool sf_is_told_of_hosts(const struct sf_topic *t)
{
	const struct rc *rc = t->rc;

	return t->topic == SEAM_TOPIC_HOSTS && rc->router->settings.first_start &&
	       rc->hosts_heard && !rc->rank.reader && follow_is_fed(rc->follow);
}

/* Whether to wait for the list of endpoints from a feed instead of reading it. */
static bool sf_list_may_be_fed(const struct rc *rc, int64_t now_us)
{
	if (rc->listed || now_us - rc->start_us >= tmr_ms(SF_LIST_OTHERS_MS))
		return false;
	return !rc->hosts_heard || g_hash_table_size(rc->hosts) >= SF_MANY_HOSTS;
}

/*
 * Whether reading the topic is postponed. Until the store answers, a host other than a reader reads
 * only one topic: in an outage the store rejects each call of each host, and one call shows as much
 * as three. In the first start of the whole system such a host also waits for its feed; see
 * SF_FIRST_HOSTS_MS.
 */
static bool sf_waits(const struct sf_topic *t, int64_t now_us)
{
	const struct rc *rc = t->rc;
	bool first_start = rc->router->settings.first_start &&
			   now_us - rc->start_us < tmr_ms(SF_FIRST_OTHERS_MS);

	if (rc->rank.reader || !sf_is_bad(t))
		return false;
	if (first_start)
		return t->topic != SEAM_TOPIC_HOSTS;
	if (t->topic == SEAM_TOPIC_ENDPOINTS && sf_list_may_be_fed(rc, now_us))
		return true;
	return t->topic != SEAM_TOPIC_CONF && sf_is_bad(&rc->topics[SEAM_TOPIC_CONF]);
}

/* Reads the topics that were postponed until the store answers. */
static void sf_wake(struct rc *rc, int64_t now_us)
{
	for (int i = 0; i <= SEAM_TOPIC_HOSTS; i++) {
		struct sf_topic *t = &rc->topics[i];

		if (!t->call && sf_is_bad(t) && !sf_waits(t, now_us))
			sf_again(t, 0);
	}
}

static void sf_on_timer(void *ctx, int64_t now_us)
{
	struct sf_topic *t = ctx;

	if (sf_waits(t, now_us) || sf_is_told_of_hosts(t))
		sf_again(t, tmr_ms(SF_WAIT_MS));
	else
		sf_ask(t);
}

static void sf_again(struct sf_topic *t, int64_t delay_us)
{
	if (!t->rc->stopping || t->topic != SEAM_TOPIC_HOSTS)
		loop_after(t->rc->loop, &t->timer, delay_us, sf_on_timer, t);
}

static void sf_on_record(void *ctx, int64_t offset, struct str key, struct str value)
{
	struct sf_topic *t = ctx;
	int64_t place = era_make_place(t->rc->era.now, offset);
	char *name = str_dup(key);

	if (t->topic == SEAM_TOPIC_CONF && value.data)
		rc_take_conf(t->rc, place, value, "store");
	else if (t->topic == SEAM_TOPIC_ENDPOINTS)
		rc_take_endpoint(t->rc, place, name, value);
	else if (t->topic == SEAM_TOPIC_HOSTS)
		hosts_on_record(t->rc->host_list, name, value);
	g_free(name);
}

static int64_t sf_retry_ms(const struct sf_topic *t)
{
	const struct rc *rc = t->rc;

	if (!rc->conf)
		return SF_RETRY_BLIND_MS;
	if (!rc->rank.reader && t->failures > 0)
		return SF_RETRY_OTHERS_MS;
	return MIN(SF_RETRY_MS << MIN(t->failures, 4), SF_RETRY_MAX_MS);
}

static void sf_failed(struct sf_topic *t, int status, int err)
{
	int64_t delay_ms = sf_retry_ms(t);

	if (t->failures++ == 0) {
		jl_begin(JL_KEEP, "store_lost");
		jl_str("topic", sf_names[t->topic]);
		jl_int("status", status);
		jl_str("error", err < 0 ? store_strerror(err) : NULL);
		jl_end();
	}
	met_add(met_counter("bg_store_failures_total", ""), 1);
	if (sf_is_bad(&t->rc->topics[SEAM_TOPIC_ENDPOINTS]) && !follow_is_fed(t->rc->follow))
		ep_on_store_failure(&t->rc->endpoints);
	feed_flush(t->rc->feed);
	sf_again(t, tmr_ms(delay_ms));
}

static void sf_recovered(struct sf_topic *t)
{
	if (t->failures == 0)
		return;
	jl_begin(JL_KEEP, "store_regained");
	jl_str("topic", sf_names[t->topic]);
	jl_int("failures", t->failures);
	jl_end();
	t->failures = 0;
}

static int64_t sf_endpoints_pause_us(const struct rc *rc)
{
	if (!rc->rank.reader && !rc->settled)
		return tmr_ms(SF_ENDPOINTS_PAUSE_START_MS);
	return tmr_ms(SF_ENDPOINTS_PAUSE_MS + rc_endpoints_slack_ms(rc));
}

static int64_t sf_pause_us(struct sf_topic *t)
{
	if (t->topic == SEAM_TOPIC_HOSTS && t->reads < SF_HOSTS_EARLY_READS)
		return tmr_ms(SF_HOSTS_EARLY_MS);
	if (t->topic == SEAM_TOPIC_ENDPOINTS)
		return sf_endpoints_pause_us(t->rc);
	if (t->topic == SEAM_TOPIC_CONF && !t->rc->rank.reader && t->reads == 0)
		return tmr_ms(SF_CONF_PAUSE_START_MS);
	return t->pause_us;
}

/* Logs how many known endpoints are missing after the store was restored from an older copy. */
static void sf_log_compared(const struct rc *rc)
{
	if (!ep_may_lack_entries(&rc->endpoints, tmr_now()))
		return;
	jl_begin(JL_KEEP, "endpoints_compared");
	jl_int("era", rc->era.now);
	jl_int("known", g_hash_table_size(rc->endpoints.entries));
	jl_int("missing", ep_count_lapsed(&rc->endpoints));
	jl_end();
}

/* Processes the end of a full listing. */
static void sf_on_listed(struct sf_topic *t)
{
	struct rc *rc = t->rc;

	t->next = t->end;
	if (t->topic == SEAM_TOPIC_HOSTS) {
		hosts_on_listing_end(rc->host_list);
		rc_on_hosts_heard(rc);
	}
	if (t->topic == SEAM_TOPIC_ENDPOINTS) {
		ep_end_listing(&rc->endpoints, t->end, tmr_now());
		sf_log_compared(rc);
		rc->endpoints.changed = true;
		feed_on_listing(rc->feed);
		if (!recall_on_list_read(rc->recall))
			rc->listed = true;
	}
	sf_again(t, sf_pause_us(t));
}

/*
 * Processes one page of a listing. The pages together are no snapshot: changes to an early page
 * while later pages are read are found only if records are then read from the end of the log as of
 * the first page.
 */
static bool sf_on_page(struct sf_topic *t, struct str body)
{
	struct seam_read read;
	bool first = t->after == NULL;

	if (first && t->topic == SEAM_TOPIC_ENDPOINTS)
		ep_begin_listing(&t->rc->endpoints);
	if (first && t->topic == SEAM_TOPIC_HOSTS)
		hosts_on_listing_begin(t->rc->host_list);
	if (t->rc->router->seam->store.parse_newest(body, sf_on_record, t, &read) < 0)
		return false;
	g_clear_pointer(&t->after, g_free);
	if (first)
		t->end = era_make_place(t->rc->era.now, read.end);
	if (read.more) {
		t->after = read.last;
		sf_ask(t);
		return true;
	}
	g_free(read.last);
	sf_on_listed(t);
	return true;
}

static bool sf_on_reading(struct sf_topic *t, struct str body)
{
	struct seam_read read;

	if (t->rc->router->seam->store.parse_read(body, era_offset_of_place(t->next), sf_on_record,
						  t, &read) < 0)
		return false;
	/* If the log has become shorter, the store was rewound and must be listed again. */
	t->next = read.end < era_offset_of_place(t->next)
			  ? -1
			  : era_make_place(t->rc->era.now, read.next);
	t->reads++;
	if (t->topic == SEAM_TOPIC_HOSTS && read.next == read.end)
		rc_on_hosts_heard(t->rc);
	sf_again(t, read.next < read.end ? 0 : sf_pause_us(t));
	return true;
}

static void sf_on_done(void *ctx, const struct store_answer *answer)
{
	struct sf_topic *t = ctx;
	bool good;

	t->call = NULL;
	if (answer->status == HTTP_GONE) {
		t->next = -1;
		g_clear_pointer(&t->after, g_free);
		sf_ask(t);
		return;
	}
	if (answer->status != HTTP_OK) {
		sf_failed(t, answer->status, answer->err);
		return;
	}
	sf_recovered(t);
	t->read_us = tmr_now();
	if (t->topic == SEAM_TOPIC_ENDPOINTS)
		ep_on_store_success(&t->rc->endpoints, t->read_us);
	good = t->next < 0 ? sf_on_page(t, answer->body) : sf_on_reading(t, answer->body);
	if (!good)
		sf_failed(t, answer->status, BASE_EHTTP);
	if (t->rc->endpoints.changed)
		rc_view_due(t->rc);
	sf_wake(t->rc, t->read_us);
	rc_first_view(t->rc);
	feed_flush(t->rc->feed);
}
