#include "router/rc.h"
#include "base/err.h"
#include "base/jl.h"
#include "base/met.h"
#include "base/zip.h"

#include <string.h>

enum {
	RC_TICK_MS = 100,
	RC_HOST_WORDS = 3,  /* Number of words in a host's entry in the store */
	RC_FRESH_MS = 1000, /* Interval of posting fresh_us to the traffic thread */
	/*
	 * If drain_ms is longer than RC_LEAVE_MS, changes of endpoints may be delayed by the excess
	 * divided by RC_SLACK_PART.
	 */
	RC_LEAVE_MS = 2000,
	RC_SLACK_PART = 6,
	/* Maximum number of endpoint ids whose last parse error is kept; about 100 KB */
	RC_UNREADABLE_MAX = 1024
};

static void rc_on_tick(void *ctx, int64_t now_us);
static void rc_post_view(struct rc *rc);
static void rc_host_free(gpointer data);

/*
 * The store was restored from an older copy: writes that it acknowledged after the copy was made
 * are lost, and its offsets and generations start again from older values. The data in force on
 * this host is kept and compared with the listings of the restored store.
 */
static void rc_on_return(struct rc *rc, int64_t before, const char *from)
{
	jl_begin(JL_KEEP, "store_returned");
	jl_int("era", rc->era.now);
	jl_int("before", before);
	jl_str("from", from);
	jl_int("configuration", rc->conf ? rc->conf->version : -1);
	jl_int("endpoints", g_hash_table_size(rc->endpoints.entries));
	jl_int("hosts", g_hash_table_size(rc->hosts));
	jl_int("fence", rc->lead.newest);
	jl_end();
	met_add(met_counter("bg_store_returns_total", ""), 1);
	member_on_store_restored(rc);
	hosts_on_store_restored(rc->host_list);
	recall_on_store_restored(rc->recall);
	quarantine_on_store_restored(rc->quarantine);
	if (rc->direct)
		sf_on_return(rc);
}

enum era_change rc_hear_era(struct rc *rc, int64_t era, const char *from)
{
	int64_t before = rc->era.now;
	enum era_change news = era_update(&rc->era, era);

	if (news == ERA_OUTDATED)
		met_add(met_counter("bg_store_past_answers_total", ""), 1);
	if (news == ERA_INITIAL || news == ERA_ADVANCED)
		ep_on_store_era(&rc->endpoints, rc->era.now, news == ERA_ADVANCED, tmr_now());
	if (news == ERA_ADVANCED)
		rc_on_return(rc, before, from);
	return news;
}

int64_t rc_era_for_msg(const struct rc *rc)
{
	return rc->era.known ? rc->era.now + 1 : 0;
}

int64_t rc_era_of_msg(int64_t encoded)
{
	return encoded > 0 ? encoded - 1 : ERA_NONE;
}

struct rc *rc_start(struct router *router, struct loop *loop)
{
	struct rc *rc = g_new0(struct rc, 1);

	rc->router = router;
	rc->loop = loop;
	rc->hc = hc_new(loop);
	rc->store_calls = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	rc->conf_place = ERA_NONE;
	rc->start_us = tmr_now();
	rc->round.heard_us = tmr_now();
	rc->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, rc_host_free);
	hdelta_init(&rc->host_news);
	ep_list_init(&rc->endpoints);
	rc->conf_deflated = g_byte_array_new();
	rc->seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	rc->dead = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	rc->rests = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	rc->unreadable = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	rc->loads = loads_new();
	rc->polled = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, loads_free_entry);
	rc->placer = placer_new(rc);
	rc->poll = poll_new(rc);
	rc->feed = feed_new(rc);
	rc->follow = follow_new(rc);
	rc->recall = recall_new(rc);
	rc->host_list = hosts_new(rc);
	rc->quarantine = quarantine_new(rc);
	rc->limits = limits_new(rc);
	rc_set_direct(rc, true);
	member_start(rc);
	loop_after(loop, &rc->tick_timer, tmr_ms(RC_TICK_MS), rc_on_tick, rc);
	return rc;
}

void rc_finish(struct rc *rc)
{
	rc_set_direct(rc, false);
	member_set_candidate(rc, false);
	tmr_cancel(&rc->loop->tmr, &rc->tick_timer);
	tmr_cancel(&rc->loop->tmr, &rc->list_timer);
	quarantine_free(rc->quarantine);
	recall_free(rc->recall);
	hosts_free(rc->host_list);
	follow_free(rc->follow);
	feed_free(rc->feed);
	limits_free(rc->limits);
	placer_free(rc->placer);
	poll_free(rc->poll);
	g_array_unref(rc->loads);
	g_hash_table_destroy(rc->polled);
	hc_free(rc->hc);
	g_hash_table_destroy(rc->store_calls);
	ep_list_finish(&rc->endpoints);
	g_hash_table_destroy(rc->hosts);
	hdelta_finish(&rc->host_news);
	g_hash_table_destroy(rc->seen);
	g_hash_table_destroy(rc->dead);
	g_hash_table_destroy(rc->rests);
	g_hash_table_destroy(rc->unreadable);
	g_byte_array_unref(rc->conf_deflated);
	rt_conf_unref(rc->conf);
	g_free(rc);
}

void rc_stop(struct rc *rc)
{
	rc->stopping = true;
	member_stop(rc);
}

void rc_view_due(struct rc *rc)
{
	rc->view_pending = true;
}

/*
 * Whether the lists of endpoints and hosts are complete. A host without the list of hosts would
 * assume that it is the only one and send all waiting requests to the endpoint with the least load,
 * as would all other hosts.
 */
static bool rc_is_listed(const struct rc *rc)
{
	return rc->listed && rc->hosts_heard;
}

void rc_first_view(struct rc *rc)
{
	if (!rc->view_complete && rc->conf && rc_is_listed(rc))
		rc_post_view(rc);
}

void rc_set_direct(struct rc *rc, bool direct)
{
	if (direct == rc->direct)
		return;
	rc->direct = direct;
	if (direct)
		sf_start(rc);
	else
		sf_stop(rc);
}

void router_origin_set(struct router_origin *origin, uint64_t digest, const char *by)
{
	origin->digest = digest;
	origin->since_ms = g_get_real_time() / 1000;
	g_strlcpy(origin->by, by, sizeof(origin->by));
}

static void rc_log_conf(const struct rc *rc, const struct rt_conf *conf, int64_t before,
			const char *from)
{
	jl_begin(JL_KEEP, "configuration");
	jl_int("version", conf->version);
	jl_int("before", before);
	jl_str("from", from);
	jl_hex("digest", rc->conf_origin.digest);
	jl_int("routes", conf->routes->len);
	jl_int("accounts", conf->accounts->len);
	jl_end();
}

static void rc_log_not_packed(const struct rt_conf *conf)
{
	jl_begin(JL_KEEP, "configuration_not_packed");
	jl_int("version", conf->version);
	jl_end();
}

/*
 * Whether a configuration replaces the present one: it has a greater version, or the same version
 * and another text at a later place. The second case occurs when the store has lost a text and an
 * operator writes another one under the same version. Without this rule each host would keep the
 * text that it read first.
 */
static bool rc_is_newer_conf(const struct rc *rc, const struct rt_conf *conf, int64_t place,
			     uint64_t digest)
{
	if (!rc->conf || conf->version != rc->conf->version)
		return !rc->conf || conf->version > rc->conf->version;
	return digest != rc->conf_origin.digest && place > rc->conf_place;
}

void rc_take_conf(struct rc *rc, int64_t place, struct str text, const char *from)
{
	char *error = NULL;
	struct rt_conf *conf = rc->router->seam->decl.read_conf(text, &error);
	int64_t before = rc->conf ? rc->conf->version : -1;
	uint64_t digest = str_hash(text.data, text.len, 0);

	if (!conf) {
		jl_begin(JL_KEEP, "configuration_unreadable");
		jl_str("from", from);
		jl_str("error", error);
		jl_end();
		g_free(error);
		return;
	}
	if (!rc_is_newer_conf(rc, conf, place, digest)) {
		if (digest == rc->conf_origin.digest)
			rc->conf_place = MAX(rc->conf_place, place);
		rt_conf_unref(conf);
		return;
	}
	rc->conf_place = place;
	router_origin_set(&rc->conf_origin, digest, from);
	rc_log_conf(rc, conf, before, from);
	rt_conf_unref(rc->conf);
	rc->conf = conf;
	/* 1,500 routes are 400 KB; sent uncompressed they took seconds to a third of all hosts. */
	if (zip_pack(text.data, text.len, rc->conf_deflated) < 0)
		rc_log_not_packed(conf);
	rc->conf_len = text.len;
	rc_view_due(rc);
}

/*
 * Counts each unreadable entry of an endpoint, but logs it only the first time and when the error
 * changes: another program may write the same entry repeatedly. Owns error.
 */
static void rc_note_unreadable(struct rc *rc, const char *id, char *error)
{
	const char *before = g_hash_table_lookup(rc->unreadable, id);

	met_add(met_counter("bg_endpoints_unreadable_total", ""), 1);
	if (g_strcmp0(before, error) == 0) {
		g_free(error);
		return;
	}
	jl_begin(JL_KEEP, "endpoint_unreadable");
	jl_str("endpoint", id);
	jl_str("error", error);
	jl_end();
	if (g_hash_table_size(rc->unreadable) >= RC_UNREADABLE_MAX)
		g_hash_table_remove_all(rc->unreadable);
	g_hash_table_replace(rc->unreadable, g_strdup(id), error);
}

/*
 * Sends the removal of an endpoint to followers, preceded by its last record. Followers get no
 * heartbeats, but need the last heartbeat of a removed endpoint to recognize its older record when
 * the store is restored from a copy.
 */
static void rc_feed_removal(struct rc *rc, int64_t place, const char *id, const struct ep_rec *last)
{
	if (last && last->text)
		feed_on_record(rc->feed, place, id, str_of(last->text));
	feed_on_record(rc->feed, place, id, str_make(NULL, 0));
}

/*
 * An unreadable entry is treated as a removal, here and for followers. If the last readable entry
 * were kept, it would be used for as long as another program writes unreadable ones.
 */
void rc_take_endpoint(struct rc *rc, int64_t place, const char *id, struct str text)
{
	const struct ep_entry *entry = g_hash_table_lookup(rc->endpoints.entries, id);
	struct ep_rec *last = entry ? ep_rec_ref(entry->rec) : NULL;
	struct ep_rec *rec = NULL;
	char *error = NULL;
	bool news;

	if (text.data) {
		rec = rc->router->seam->decl.read_endpoint(id, text, &error);
		if (rec) {
			rec->text = str_dup(text);
			g_hash_table_remove(rc->unreadable, id);
		} else {
			rc_note_unreadable(rc, id, error);
			text = str_make(NULL, 0);
		}
	}
	/*
	 * Ignored records are not sent to followers: one that has just started could not recognize
	 * them as outdated.
	 */
	news = ep_on_record(&rc->endpoints, place, id, rec, tmr_now()) == EP_CHANGED;
	if (news && text.data)
		feed_on_record(rc->feed, place, id, text);
	else if (news)
		rc_feed_removal(rc, place, id, last);
	if (last)
		ep_rec_unref(last);
}

static void rc_host_free(gpointer data)
{
	struct rc_host *host = data;

	g_free(host->addr);
	g_free(host->zone);
	g_free(host);
}

char *rc_host_text(const struct rc_host *host)
{
	return g_strdup_printf("%s %.3f %s", host->addr, host->capacity, host->zone);
}

/* The text is "ADDRESS CAPACITY ZONE"; hosts that run the previous version omit the zone. */
bool rc_take_host(struct rc *rc, const char *name, struct str text)
{
	const struct rc_host *before = g_hash_table_lookup(rc->hosts, name);
	char *copy = text.data ? str_dup(text) : NULL;
	char **words = copy ? g_strsplit(copy, " ", RC_HOST_WORDS) : NULL;
	struct rc_host *host;

	g_free(copy);
	if (!words || !words[0]) {
		g_strfreev(words);
		if (!g_hash_table_remove(rc->hosts, name))
			return false;
	} else {
		host = g_new0(struct rc_host, 1);
		host->addr = g_strdup(words[0]);
		host->capacity = words[1] ? g_ascii_strtod(words[1], NULL) : 0;
		host->zone = g_strdup(words[1] && words[2] ? words[2] : "");
		g_strfreev(words);
		if (before && strcmp(before->addr, host->addr) == 0) {
			rc_host_free(host);
			return false;
		}
		g_hash_table_replace(rc->hosts, g_strdup(name), host);
	}
	hdelta_on_change(&rc->host_news, name, !g_hash_table_contains(rc->hosts, name));
	follow_on_hosts(rc->follow);
	rc_view_due(rc);
	return true;
}

void rc_on_hosts_heard(struct rc *rc)
{
	rc->hosts_heard = true;
	member_on_host_list(rc);
}

/*
 * Updates the time of the last contact with the store and posts it to the traffic thread, which
 * logs the age of its view. Without this the age would grow while the store holds no changes.
 */
static void rc_note_fresh(struct rc *rc, int64_t now_us)
{
	if (!follow_is_fed(rc->follow) && !sf_is_reached(rc))
		return;
	rc->fresh_us = now_us;
	if (now_us - rc->fresh_posted_us < tmr_ms(RC_FRESH_MS))
		return;
	rc->fresh_posted_us = now_us;
	tf_post_fresh(rc->router->tf, now_us);
}

static void rc_on_tick(void *ctx, int64_t now_us)
{
	struct rc *rc = ctx;

	if (ep_drop_expired(&rc->endpoints, now_us))
		feed_on_listing(rc->feed);
	follow_on_tick(rc->follow, now_us);
	if (follow_is_fed(rc->follow))
		rc->last_fed_us = now_us;
	rc_note_fresh(rc, now_us);
	placer_on_tick(rc->placer, now_us);
	poll_on_tick(rc->poll, now_us);
	recall_on_tick(rc->recall, now_us);
	hosts_on_tick(rc->host_list, now_us);
	quarantine_on_tick(rc->quarantine, now_us);
	limits_on_tick(rc->limits, tmr_boot_now());
	if (rc->view_pending || rc->endpoints.changed)
		rc_post_view(rc);
	feed_flush(rc->feed);
	state_update_gauges(rc, now_us);
	loop_after(rc->loop, &rc->tick_timer, tmr_ms(RC_TICK_MS), rc_on_tick, rc);
}

static void rc_post_view(struct rc *rc)
{
	struct router_view *view = g_new0(struct router_view, 1);

	rc->view_pending = false;
	rc->endpoints.changed = false;
	view->conf = rc->conf ? rt_conf_ref(rc->conf) : NULL;
	view->endpoints = ep_snapshot(&rc->endpoints);
	view->hosts = MAX((int)g_hash_table_size(rc->hosts), 1);
	view->fence = rc->lead.newest;
	view->listed = rc_is_listed(rc);
	view->whole_us = ep_complete_us(&rc->endpoints);
	view->fresh_us = rc->fresh_us;
	rc->view_complete = view->conf && view->listed;
	placer_on_change(rc->placer);
	tf_post_view(rc->router->tf, view);
}

/* Returns the time within which any change in the store must be in force on this host. */
static int64_t rc_news_us(const struct rc *rc)
{
	const struct router_settings *s = &rc->router->settings;

	return tmr_ms(MIN(s->drain_ms, s->apply_ms));
}

void rc_rank_host(const struct rc *rc, struct rank_state *host)
{
	*host = (struct rank_state){
		.reader = rc->rank.reader,
		.first_start = rc->router->settings.first_start,
		.settled = rc->settled,
		.fed = follow_is_fed(rc->follow),
		.can_serve = rc->view_complete,
		.reached = sf_is_reached(rc),
		.awaits_feed =
			tmr_now() - rc->last_fed_us < rank_feed_wait_us(&rc->rank, rc_news_us(rc)),
		.relay = rc->rank.relay,
	};
}

int64_t rc_endpoints_slack_ms(const struct rc *rc)
{
	int64_t longer_ms = rc->router->settings.drain_ms - RC_LEAVE_MS;

	return MAX(longer_ms, (int64_t)0) / RC_SLACK_PART;
}

bool rc_polls(const struct rc *rc)
{
	return rank_should_poll(&rc->round, &rc->rank, tmr_now());
}
