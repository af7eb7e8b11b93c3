#include "base/err.h"
#include "base/jl.h"
#include "base/met.h"
#include "router/rc.h"

#include <string.h>

enum {
	/*
	 * How long the store may hold a read of the configuration. An open connection may go silent
	 * for good; a change must be in force within two seconds, so silence is found within this
	 * time and the next.
	 */
	SF_CONF_WAIT_MS = 1000,
	SF_MARGIN_MS = 700, /* for the answer itself */
	SF_CALL_MS = 1000,  /* for a call that the store does not hold */
	/*
	 * Reads of endpoints. Their records come in groups, so a read is not made at once after
	 * another.
	 */
	SF_ENDPOINTS_WAIT_MS = 1000,
	SF_ENDPOINTS_PAUSE_MS = 150,
	/*
	 * The same between a host's start and its feed, after which it reads no more: 66 hosts that
	 * start together made most of the 1,000 calls of a calm minute in that second.
	 */
	SF_ENDPOINTS_PAUSE_START_MS = 1500,
	SF_HOSTS_PAUSE_MS = 5000,
	/* Hosts that start together list themselves within a second; the first reads come sooner.
	 */
	SF_HOSTS_EARLY_MS = 700,
	SF_HOSTS_EARLY_READS = 4,
	SF_RETRY_MS = 250, /* after a failure; doubles */
	SF_RETRY_MAX_MS = 1000,
	/* A host that has no configuration yet serves nobody; callers wait for it. */
	SF_RETRY_BLIND_MS = 250,
	/* Hosts that are no readers hear of the store's return through the feed. */
	SF_RETRY_OTHERS_MS = 2500,
	SF_WAIT_MS = 100, /* between looks whether a topic may be read */
	/*
	 * When the whole system starts for the first time, hosts list themselves within half a
	 * second, and none has callers yet. So the first look at the list of hosts comes after
	 * that, and all but the readers leave the rest to their feed: two calls a host instead of
	 * eight, of 1,880 on a calm minute of 195 hosts.
	 */
	SF_FIRST_HOSTS_MS = 700,
	/*
	 * Where hosts are many, one that starts leaves the list of endpoints to its feed for so
	 * long. When all started at once, each of 300 read 840 KB in pages, and served after 30 s.
	 */
	SF_MANY_HOSTS = 100,
	SF_LIST_OTHERS_MS = 1200,
	/*
	 * When a host that nobody feeds reads all the same. The store takes the entries of hosts
	 * one by one, 2 ms each; before the list is whole, hosts disagree on who feeds them.
	 */
	SF_FIRST_OTHERS_MS = 5000,
	/* After its first look at the configuration a host mostly is fed within this time. */
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
	[SEAM_CONF] = "configuration",
	[SEAM_ENDPOINTS] = "endpoints",
	[SEAM_HOSTS] = "hosts",
};

static const struct {
	int64_t wait_ms;
	int64_t pause_ms;
} sf_pace[] = {
	[SEAM_CONF] = {SF_CONF_WAIT_MS, 0},
	[SEAM_ENDPOINTS] = {SF_ENDPOINTS_WAIT_MS, SF_ENDPOINTS_PAUSE_MS},
	[SEAM_HOSTS] = {0, SF_HOSTS_PAUSE_MS},
};

/*
 * How long the topic is left alone at first. A host that only lost its feed knows the others, and
 * mostly has another feed before it needs to read them.
 */
static int64_t sf_start_pause_ms(const struct sf_topic *t)
{
	const struct rc *rc = t->rc;

	if (rc->router->settings.first_start && rc->host_news.version == 0)
		return t->topic == SEAM_HOSTS ? SF_FIRST_HOSTS_MS : SF_WAIT_MS;
	if (t->topic == SEAM_HOSTS && rc->hosts_heard && !rc->rank.reader)
		return SF_HOSTS_PAUSE_MS;
	return 0;
}

/* Whether the reading can go on where this host's feed has ended. */
static bool sf_knows_endpoints(const struct sf_topic *t)
{
	const struct rc *rc = t->rc;

	return t->topic == SEAM_ENDPOINTS && rc->listed &&
	       era_of_place(rc->endpoints.next) == rc->era.now;
}

/*
 * Where to begin: at -1 with a listing. In the first start of all, the log of the hosts holds all
 * that they have written, and is read in one call, where a listing of 984 takes five.
 */
static int64_t sf_first(const struct sf_topic *t)
{
	const struct rc *rc = t->rc;

	if (sf_knows_endpoints(t))
		return rc->endpoints.next;
	if (t->topic == SEAM_HOSTS && rc->router->settings.first_start && !rc->hosts_heard)
		return 0;
	return -1;
}

void sf_start(struct rc *rc)
{
	for (int i = 0; i <= SEAM_HOSTS; i++) {
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
	for (int i = 0; i <= SEAM_HOSTS; i++) {
		struct sf_topic *t = &rc->topics[i];

		tmr_cancel(&rc->loop->tmr, &t->timer);
		sf_cancel(t);
	}
}

void sf_on_return(struct rc *rc)
{
	for (int i = 0; i <= SEAM_HOSTS; i++) {
		struct sf_topic *t = &rc->topics[i];

		sf_cancel(t);
		t->next = -1;
		sf_again(t, 0);
	}
}

bool sf_is_reached(const struct rc *rc)
{
	const struct sf_topic *conf = &rc->topics[SEAM_CONF];
	const struct sf_topic *endpoints = &rc->topics[SEAM_ENDPOINTS];

	return rc->direct && conf->read_us > 0 && endpoints->read_us > 0 && conf->failures == 0 &&
	       endpoints->failures == 0;
}

static void sf_ask(struct sf_topic *t)
{
	const struct seam_store *store = &t->rc->router->seam->store;
	bool listing = t->next < 0;
	struct store_request request = {
		.path = listing ? store->newest_path(t->topic, t->after)
				: store->read_path(t->topic, era_offset(t->next), t->wait_ms),
		.total_ms = listing ? SF_CALL_MS : MAX(t->wait_ms + SF_MARGIN_MS, SF_CALL_MS),
		.fresh = t->failures > 0,
	};

	t->call = store_call(t->rc, &request, sf_on_done, t);
}

/* Whether the last call did not succeed, or there was none yet. */
static bool sf_is_bad(const struct sf_topic *t)
{
	return t->read_us == 0 || t->failures > 0;
}

/* In the first start a host looks who the others are only until it is told by its feed. */
static bool sf_is_told_of_hosts(const struct sf_topic *t)
{
	const struct rc *rc = t->rc;

	return t->topic == SEAM_HOSTS && rc->router->settings.first_start && rc->hosts_heard &&
	       !rc->rank.reader && follow_is_fed(rc->follow);
}

/* Whether the list of endpoints may come sooner from a feed. */
static bool sf_list_may_be_fed(const struct rc *rc, int64_t now_us)
{
	if (rc->listed || now_us - rc->start_us >= tmr_ms(SF_LIST_OTHERS_MS))
		return false;
	return !rc->hosts_heard || g_hash_table_size(rc->hosts) >= SF_MANY_HOSTS;
}

/*
 * Until the store answers, a host that is no reader tries with one topic alone: in an outage each
 * call of each host is refused, and one tells as much as three. In the first start of all it waits
 * for its feed besides; see SF_FIRST_HOSTS_MS.
 */
static bool sf_waits(const struct sf_topic *t, int64_t now_us)
{
	const struct rc *rc = t->rc;
	bool first_start = rc->router->settings.first_start &&
			   now_us - rc->start_us < tmr_ms(SF_FIRST_OTHERS_MS);

	if (rc->rank.reader || !sf_is_bad(t))
		return false;
	if (first_start)
		return t->topic != SEAM_HOSTS;
	if (t->topic == SEAM_ENDPOINTS && sf_list_may_be_fed(rc, now_us))
		return true;
	return t->topic != SEAM_CONF && sf_is_bad(&rc->topics[SEAM_CONF]);
}

/* The store answers: the topics that wait for that are read now. */
static void sf_wake(struct rc *rc, int64_t now_us)
{
	for (int i = 0; i <= SEAM_HOSTS; i++) {
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
	if (!t->rc->stopping || t->topic != SEAM_HOSTS)
		loop_after(t->rc->loop, &t->timer, delay_us, sf_on_timer, t);
}

static void sf_on_record(void *ctx, int64_t offset, struct str key, struct str value)
{
	struct sf_topic *t = ctx;
	int64_t place = era_place(t->rc->era.now, offset);
	char *name = str_dup(key);

	if (t->topic == SEAM_CONF && value.data)
		rc_take_conf(t->rc, place, value, "store");
	else if (t->topic == SEAM_ENDPOINTS)
		rc_take_endpoint(t->rc, place, name, value);
	else if (t->topic == SEAM_HOSTS)
		hosts_on_record(t->rc->hostlist, name, value);
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
	if (sf_is_bad(&t->rc->topics[SEAM_ENDPOINTS]) && !follow_is_fed(t->rc->follow))
		ep_on_away(&t->rc->endpoints);
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
	if (t->topic == SEAM_HOSTS && t->reads < SF_HOSTS_EARLY_READS)
		return tmr_ms(SF_HOSTS_EARLY_MS);
	if (t->topic == SEAM_ENDPOINTS)
		return sf_endpoints_pause_us(t->rc);
	if (t->topic == SEAM_CONF && !t->rc->rank.reader && t->reads == 0)
		return tmr_ms(SF_CONF_PAUSE_START_MS);
	return t->pause_us;
}

/* What the copy that the store came back from lacks of the endpoints. */
static void sf_log_compared(const struct rc *rc)
{
	if (!ep_is_returning(&rc->endpoints, tmr_now()))
		return;
	jl_begin(JL_KEEP, "endpoints_compared");
	jl_int("era", rc->era.now);
	jl_int("known", g_hash_table_size(rc->endpoints.entries));
	jl_int("missing", ep_lapsed(&rc->endpoints));
	jl_end();
}

/* The whole topic has been listed. */
static void sf_on_listed(struct sf_topic *t)
{
	struct rc *rc = t->rc;

	t->next = t->end;
	if (t->topic == SEAM_HOSTS) {
		hosts_on_listed(rc->hostlist);
		rc_on_hosts_heard(rc);
	}
	if (t->topic == SEAM_ENDPOINTS) {
		ep_on_listed(&rc->endpoints, t->end, tmr_now());
		sf_log_compared(rc);
		rc->endpoints.changed = true;
		feed_on_listing(rc->feed);
		if (!recall_on_listed(rc->recall))
			rc->listed = true;
	}
	sf_again(t, sf_pause_us(t));
}

/*
 * One page of the listing. Pages are no snapshot: what changes on an early page while later ones
 * are read is found only if the reading of records begins where the first page ended.
 */
static bool sf_on_page(struct sf_topic *t, struct str body)
{
	struct seam_read read;
	bool first = t->after == NULL;

	if (first && t->topic == SEAM_ENDPOINTS)
		ep_on_listing(&t->rc->endpoints);
	if (first && t->topic == SEAM_HOSTS)
		hosts_on_listing(t->rc->hostlist);
	if (t->rc->router->seam->store.parse_newest(body, sf_on_record, t, &read) < 0)
		return false;
	g_clear_pointer(&t->after, g_free);
	if (first)
		t->end = era_place(t->rc->era.now, read.end);
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

	if (t->rc->router->seam->store.parse_read(body, era_offset(t->next), sf_on_record, t,
						  &read) < 0)
		return false;
	/* A store that has less than was read before has been rewound; its listing tells what
	 * holds. */
	t->next = read.end < era_offset(t->next) ? -1 : era_place(t->rc->era.now, read.next);
	t->reads++;
	if (t->topic == SEAM_HOSTS && read.next == read.end)
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
	if (t->topic == SEAM_ENDPOINTS)
		ep_on_reached(&t->rc->endpoints, t->read_us);
	good = t->next < 0 ? sf_on_page(t, answer->body) : sf_on_reading(t, answer->body);
	if (!good)
		sf_failed(t, answer->status, BASE_EHTTP);
	if (t->rc->endpoints.changed)
		rc_view_due(t->rc);
	sf_wake(t->rc, t->read_us);
	rc_first_view(t->rc);
	feed_flush(t->rc->feed);
}
