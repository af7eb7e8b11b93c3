#include "base/err.h"
#include "base/frm.h"
#include "base/jl.h"
#include "base/met.h"
#include "msg/feed.pb-c.h"
#include "msg/kind.h"
#include "router/feed_pack.h"
#include "router/rc.h"

#include <string.h>

enum {
	/* Followers send at least each 400 ms; they find out about silence, this side needn't soon.
	 */
	FEED_HEARTBEAT_MS = 2000,
	FEED_SILENT_MS = 6000,
	/*
	 * Followers hear at least so often how far the store has been read, so that one that loses
	 * its feed can go on from there. Heartbeats of endpoints are not handed on: 3,000 endpoints
	 * send 600 a second, and each host would take them in for nothing.
	 */
	FEED_PLACE_MS = 5000,
	FEED_NOTHING = -1
};

/* A host that is fed, and what it has got. */
struct feed_follower {
	struct frm_conn *conn;
	char *host;
	bool asked;
	int64_t conf_version;
	uint64_t conf_digest;
	int64_t era;
	int64_t endpoints_next;
	int64_t place_us;    /* when it was last told that */
	guint listing;	     /* number of the listing that it has */
	guint hosts_version; /* up to which it was told of hosts */
	guint loads_version;
	int64_t round;
	int64_t generation;
	bool away;
	bool greeted; /* it has got a first update */
};

struct feed {
	struct rc *rc;
	struct frm_server server;
	bool listening;
	GPtrArray *followers; /* struct feed_follower */
	struct fp endpoints;
};

static int feed_on_msg(void *ctx, struct frm_conn *conn, uint16_t kind, const uint8_t *body,
		       size_t len);
static void feed_on_close(void *ctx, struct frm_conn *conn, int err);
static void feed_update(struct feed *feed, struct feed_follower *follower);

static const struct frm_ops feed_ops = {feed_on_msg, feed_on_close};

static void feed_follower_free(gpointer data)
{
	struct feed_follower *follower = data;

	g_free(follower->host);
	g_free(follower);
}

struct feed *feed_new(struct rc *rc)
{
	const struct frm_limits limits = {tmr_ms(FEED_HEARTBEAT_MS), tmr_ms(FEED_SILENT_MS),
					  tmr_ms(FEED_HEARTBEAT_MS)};
	struct feed *feed = g_new0(struct feed, 1);
	int err;

	feed->rc = rc;
	feed->followers = g_ptr_array_new_with_free_func(feed_follower_free);
	fp_init(&feed->endpoints);
	err = frm_listen(&feed->server, rc->loop, rc->router->settings.control, &feed_ops, &limits,
			 feed);
	feed->listening = err == 0;
	if (err < 0) {
		jl_begin(JL_KEEP, "feed_not_listening");
		jl_str("addr", rc->router->settings.control);
		jl_str("error", base_strerror(err));
		jl_end();
	}
	return feed;
}

void feed_free(struct feed *feed)
{
	if (feed->listening)
		frm_server_finish(&feed->server);
	g_ptr_array_unref(feed->followers);
	fp_finish(&feed->endpoints);
	g_free(feed);
}

void feed_on_record(struct feed *feed, int64_t place, const char *id, struct str text)
{
	fp_set_length(&feed->endpoints, feed->followers->len > 0
						? g_hash_table_size(feed->rc->endpoints.entries)
						: 0);
	fp_on_record(&feed->endpoints, place, id, text);
}

struct fp *feed_pack(struct feed *feed)
{
	return &feed->endpoints;
}

void feed_on_listing(struct feed *feed)
{
	fp_on_listing(&feed->endpoints, &feed->rc->endpoints);
}

static struct feed_follower *feed_follower_of(struct feed *feed, struct frm_conn *conn)
{
	struct feed_follower *follower = frm_data(conn);

	if (!follower) {
		follower = g_new0(struct feed_follower, 1);
		follower->conn = conn;
		frm_set_data(conn, follower);
		g_ptr_array_add(feed->followers, follower);
	}
	return follower;
}

/* A host of the version before does not tell its address. */
static void feed_note_host(struct feed *feed, const Feed__Ask *ask)
{
	const struct rc_host host = {ask->addr, ask->capacity, ask->zone};

	if (ask->host[0] && ask->addr[0])
		hosts_on_asked(feed->rc->hostlist, ask->host, &host);
}

/* A follower has a follower of its own. */
static int feed_on_host(struct feed *feed, const uint8_t *body, size_t len)
{
	Feed__Host *msg = feed__host__unpack(NULL, len, body);

	if (!msg)
		return BASE_EFRAME;
	if (msg->name[0] && msg->addr[0]) {
		const struct rc_host host = {msg->addr, msg->capacity, msg->zone};

		hosts_on_asked(feed->rc->hostlist, msg->name, &host);
	}
	feed__host__free_unpacked(msg, NULL);
	return 0;
}

static int feed_on_ask(struct feed *feed, struct frm_conn *conn, const uint8_t *body, size_t len)
{
	struct feed_follower *follower = feed_follower_of(feed, conn);
	Feed__Ask *ask = feed__ask__unpack(NULL, len, body);

	if (!ask)
		return BASE_EFRAME;
	follower->asked = true;
	g_free(follower->host);
	follower->host = g_strdup(ask->host);
	follower->conf_version = ask->conf_version;
	follower->conf_digest = ask->conf_digest;
	follower->era = FEED_NOTHING;
	rc_hear_era(feed->rc, rc_era_of_msg(ask->era), ask->host);
	feed_note_host(feed, ask);
	follower->endpoints_next = ask->endpoints_next;
	follower->listing = ask->endpoints_next < 0 ? 0 : feed->endpoints.listing;
	follower->generation = FEED_NOTHING;
	follower->hosts_version = 0;
	follower->loads_version = 0;
	feed__ask__free_unpacked(ask, NULL);
	feed_update(feed, follower);
	quarantine_send_all(feed->rc->quarantine, conn);
	limits_send_all(feed->rc->limits, conn);
	heard_send_all(feed->rc, conn);
	return 0;
}

static int feed_on_msg(void *ctx, struct frm_conn *conn, uint16_t kind, const uint8_t *body,
		       size_t len)
{
	switch (kind) {
	case MSG_FEED_ASK:
		return feed_on_ask(ctx, conn, body, len);
	case MSG_FEED_HOST:
		return feed_on_host(ctx, body, len);
	case MSG_FEED_SUSPECT:
		return suspect_on_msg(((struct feed *)ctx)->rc, conn, body, len);
	case MSG_FEED_QUARANTINE:
		return quarantine_on_msg(((struct feed *)ctx)->rc->quarantine, conn, body, len);
	case MSG_FEED_LIMITS:
		return limits_on_msg(((struct feed *)ctx)->rc->limits, conn, body, len);
	case MSG_LIMIT_ASK:
		return limit_home_on_msg(limits_home(((struct feed *)ctx)->rc->limits), conn, body,
					 len);
	default:
		return BASE_EFRAME;
	}
}

static void feed_on_close(void *ctx, struct frm_conn *conn, int err)
{
	struct feed *feed = ctx;
	struct feed_follower *follower = frm_data(conn);

	(void)err;
	limit_home_on_close(limits_home(feed->rc->limits), conn);
	if (follower)
		g_ptr_array_remove_fast(feed->followers, follower);
}

static void feed_put_endpoints(struct feed *feed, struct feed_follower *follower, Feed__Update *msg)
{
	const struct ep_list *list = &feed->rc->endpoints;
	struct fp *fp = &feed->endpoints;

	msg->endpoints_next = feed->rc->listed ? list->next : FEED_NOTHING;
	if (!feed->rc->listed)
		return;
	msg->listing = fp_needs_whole(fp, follower->listing, follower->endpoints_next);
	if (msg->listing || fp_has_news(fp, follower->endpoints_next)) {
		fp_pack(fp, list, msg->listing, follower->endpoints_next);
		msg->endpoints.data = fp->packed->data;
		msg->endpoints.len = fp->packed->len;
		msg->endpoints_len = (int64_t)fp->whole_len;
	}
	follower->listing = fp->listing;
	follower->endpoints_next = MAX(follower->endpoints_next, list->next);
	follower->place_us = tmr_now();
}

static bool feed_owes_endpoints(const struct feed *feed, const struct feed_follower *follower)
{
	const struct rc *rc = feed->rc;
	int64_t since_us = tmr_now() - follower->place_us;

	if (!rc->listed || since_us < tmr_ms(rc_endpoints_slack_ms(rc)))
		return false;
	if (follower->listing != feed->endpoints.listing ||
	    fp_has_news(&feed->endpoints, follower->endpoints_next))
		return true;
	return follower->endpoints_next < rc->endpoints.next && since_us >= tmr_ms(FEED_PLACE_MS);
}

/* A newer version, or another text under the same one: the follower knows which is later. */
static bool feed_owes_conf(const struct rc *rc, const struct feed_follower *follower)
{
	if (!rc->conf || rc->conf->version < follower->conf_version)
		return false;
	return rc->conf->version > follower->conf_version ||
	       rc->conf_origin.digest != follower->conf_digest;
}

static void feed_put_conf(const struct feed *feed, struct feed_follower *follower,
			  Feed__Update *msg)
{
	const struct rc *rc = feed->rc;

	if (!feed_owes_conf(rc, follower))
		return;
	msg->conf.data = rc->conf_packed->data;
	msg->conf.len = rc->conf_packed->len;
	msg->conf_len = (int64_t)rc->conf_len;
	msg->conf_place = rc->conf_place;
	follower->conf_version = rc->conf->version;
	follower->conf_digest = rc->conf_origin.digest;
}

/* Whether this host has nothing from the store now that others could follow. */
static bool feed_is_away(const struct rc *rc)
{
	struct rank_host host;

	rc_rank_host(rc, &host);
	return !rank_may_feed(&host);
}

static bool feed_is_due(const struct feed *feed, const struct feed_follower *follower)
{
	const struct rc *rc = feed->rc;

	if (!follower->greeted || follower->away != feed_is_away(rc) ||
	    follower->generation != rc->lead.newest || follower->era != rc_era_for_msg(rc) ||
	    follower->hosts_version != rc->host_news.version ||
	    follower->loads_version != rc->loads_version || follower->round != rc->round.number)
		return true;
	return feed_owes_conf(rc, follower) || feed_owes_endpoints(feed, follower);
}

/* The hosts of one update. */
struct feed_hosts {
	const struct rc *rc;
	GArray *items; /* Feed__Host */
	GPtrArray *refs;
};

static void feed_put_host(void *ctx, const char *name, bool gone)
{
	struct feed_hosts *hosts = ctx;
	const struct rc_host *from = gone ? NULL : g_hash_table_lookup(hosts->rc->hosts, name);
	Feed__Host host = FEED__HOST__INIT;

	host.name = (char *)name;
	if (from) {
		host.addr = from->addr;
		host.capacity = from->capacity;
		host.zone = from->zone;
	}
	g_array_append_val(hosts->items, host);
}

static void feed_put_hosts(struct feed_hosts *hosts, guint since, Feed__Update *msg)
{
	const struct hn *news = &hosts->rc->host_news;

	msg->hosts_whole = hn_needs_whole(news, since);
	hn_each_since(news, msg->hosts_whole ? 0 : since, feed_put_host, hosts);
	for (guint i = 0; i < hosts->items->len; i++)
		g_ptr_array_add(hosts->refs, &g_array_index(hosts->items, Feed__Host, i));
	msg->hosts = (Feed__Host **)hosts->refs->pdata;
	msg->n_hosts = hosts->refs->len;
}

static void feed_put_loads(const struct rc *rc, Feed__Update *msg, GArray *loads, GPtrArray *refs)
{
	for (guint i = 0; i < rc->loads->len; i++) {
		const struct router_load *from = &g_array_index(rc->loads, struct router_load, i);
		Feed__Load load = FEED__LOAD__INIT;

		load.endpoint = from->endpoint;
		load.pace = from->pace;
		load.full = from->full;
		g_array_append_val(loads, load);
	}
	for (guint i = 0; i < loads->len; i++)
		g_ptr_array_add(refs, &g_array_index(loads, Feed__Load, i));
	msg->loads = (Feed__Load **)refs->pdata;
	msg->n_loads = refs->len;
}

static void feed_update(struct feed *feed, struct feed_follower *follower)
{
	struct rc *rc = feed->rc;
	struct feed_hosts hosts = {rc, g_array_new(FALSE, FALSE, sizeof(Feed__Host)),
				   g_ptr_array_new()};
	GArray *loads = g_array_new(FALSE, FALSE, sizeof(Feed__Load));
	GPtrArray *load_refs = g_ptr_array_new();
	Feed__Update msg = FEED__UPDATE__INIT;

	follower->away = feed_is_away(rc);
	msg.away = follower->away;
	msg.generation = rc->lead.newest;
	msg.era = rc_era_for_msg(rc);
	follower->era = msg.era;
	feed_put_conf(feed, follower, &msg);
	feed_put_endpoints(feed, follower, &msg);
	if (follower->hosts_version != rc->host_news.version)
		feed_put_hosts(&hosts, follower->hosts_version, &msg);
	if (follower->loads_version != rc->loads_version)
		feed_put_loads(rc, &msg, loads, load_refs);
	msg.round = rc->round.number;
	follower->round = rc->round.number;
	follower->loads_version = rc->loads_version;
	follower->hosts_version = rc->host_news.version;
	follower->generation = rc->lead.newest;
	follower->greeted = true;
	frm_send(follower->conn, MSG_FEED_UPDATE, &msg.base);
	g_array_unref(hosts.items);
	g_ptr_array_unref(hosts.refs);
	g_array_unref(loads);
	g_ptr_array_unref(load_refs);
}

void feed_flush(struct feed *feed)
{
	for (guint i = 0; i < feed->followers->len; i++) {
		struct feed_follower *follower = feed->followers->pdata[i];

		if (follower->asked && feed_is_due(feed, follower))
			feed_update(feed, follower);
	}
}

void feed_each(struct feed *feed, const void *source, feed_conn_fn fn, void *ctx)
{
	for (guint i = 0; i < feed->followers->len; i++) {
		const struct feed_follower *follower = feed->followers->pdata[i];

		if (follower->asked && follower->conn != source)
			fn(ctx, follower->conn);
	}
}
