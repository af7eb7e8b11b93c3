#include "base/err.h"
#include "base/frm.h"
#include "base/jl.h"
#include "base/met.h"
#include "msg/feed.pb-c.h"
#include "msg/kind.h"
#include "router/gateway.h"
#include "router/feed_pack.h"
#include "router/ctrl.h"

#include <string.h>

enum {
	/*
	 * Interval of heartbeats to followers, and time after which a silent follower is
	 * disconnected, in milliseconds. Followers send every 400 ms and detect a dead connection;
	 * this side may take longer.
	 */
	FEED_HEARTBEAT_MS = 2000,
	FEED_SILENT_MS = 6000,
	/*
	 * Longest interval, in milliseconds, at which a follower is sent the place up to which the
	 * store has been read, so that it can continue from there when it loses its feed.
	 * Heartbeats of endpoints are not forwarded: 3,000 endpoints send 600 a second, of no use
	 * to followers.
	 */
	FEED_PLACE_INTERVAL_MS = 5000,
	FEED_NONE = -1 /* Place, era or fencing number that is not known */
};

/* A follower and the state of its data, as of the last update that was sent to it. */
struct feed_follower {
	struct frm_conn *conn;
	char *host;		/* Name of the host */
	bool asked;		/* Whether its first message, Ask, has arrived */
	int64_t conf_version;	/* Version of its configuration; -1 if none */
	uint64_t conf_digest;	/* Hash of the text of its configuration */
	int64_t era;		/* Era of the store, as encoded in messages */
	int64_t endpoints_next; /* Place up to which it has the records of endpoints; -1 if none */
	int64_t place_sent_us;	/* Time at which endpoints_next was last sent, in microseconds */
	guint listing;		/* Number of the full list of endpoints that it has; 0 if none */
	guint hosts_version;	/* Number of the newest change of the list of hosts that it has */
	guint loads_version;	/* Version of the load reports that it has */
	int64_t round;		/* Newest round of load reports that it has */
	int64_t generation;	/* Newest fencing number that it has */
	bool away; /* Whether the last update stated that this host has no contact with the store */
	bool updated; /* Whether it has been sent a first update */
};

struct feed {
	struct ctrl *ctrl;
	struct frm_server server; /* Server to which followers connect */
	bool listening;		  /* Whether the server could be started */
	GPtrArray *followers;	  /* Connected followers, as struct feed_follower */
	struct fpack endpoints;	  /* Queue of endpoint records for followers */
};

static int feed_on_msg(void *ctx, struct frm_conn *conn, uint16_t kind, const uint8_t *body,
		       size_t len);
static void feed_on_close(void *ctx, struct frm_conn *conn, int err);
static void feed_send_update(struct feed *feed, struct feed_follower *follower);

static const struct frm_ops feed_ops = {feed_on_msg, feed_on_close};

/* Returns the time in ms for which this host has itself reached the store; 0: unknown. */
static int64_t feed_no_outage_ms(const struct ctrl *ctrl)
{
	int64_t since_us = ep_no_outage_since_us(&ctrl->endpoints);

	if (!reader_is_current(ctrl) || since_us < 0)
		return 0;
	return (tmr_now() - since_us) / TMR_US_PER_MS;
}

static void feed_follower_free(gpointer data)
{
	struct feed_follower *follower = data;

	g_free(follower->host);
	g_free(follower);
}

struct feed *feed_new(struct ctrl *ctrl)
{
	const struct frm_limits limits = {tmr_from_ms(FEED_HEARTBEAT_MS),
					  tmr_from_ms(FEED_SILENT_MS),
					  tmr_from_ms(FEED_HEARTBEAT_MS)};
	struct feed *feed = g_new0(struct feed, 1);
	int err;

	feed->ctrl = ctrl;
	feed->followers = g_ptr_array_new_with_free_func(feed_follower_free);
	fpack_init(&feed->endpoints);
	err = frm_listen(&feed->server, ctrl->loop, ctrl->router->settings.control, &feed_ops,
			 &limits, feed);
	feed->listening = err == 0;
	if (err < 0) {
		jl_begin(JL_UNLIMITED, "feed_not_listening");
		jl_str("addr", ctrl->router->settings.control);
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
	fpack_finish(&feed->endpoints);
	g_free(feed);
}

void feed_on_record(struct feed *feed, int64_t place, const char *id, struct str text)
{
	fpack_set_max_records(
		&feed->endpoints,
		feed->followers->len > 0 ? g_hash_table_size(feed->ctrl->endpoints.entries) : 0);
	fpack_add_record(&feed->endpoints, place, id, text);
}

struct fpack *feed_packer(struct feed *feed)
{
	return &feed->endpoints;
}

void feed_on_list_replaced(struct feed *feed)
{
	fpack_on_list_replaced(&feed->endpoints, &feed->ctrl->endpoints);
}

/* Returns the follower of a connection, which is allocated at its first message. */
static struct feed_follower *feed_get_follower(struct feed *feed, struct frm_conn *conn)
{
	struct feed_follower *follower = frm_user_data(conn);

	if (!follower) {
		follower = g_new0(struct feed_follower, 1);
		follower->conn = conn;
		frm_set_user_data(conn, follower);
		g_ptr_array_add(feed->followers, follower);
	}
	return follower;
}

/* Processes a follower's own address. Hosts that run the previous version do not send it. */
static void feed_announce_host(struct feed *feed, const Feed__Ask *ask)
{
	const struct ctrl_host host = {ask->addr, ask->capacity, ask->zone};

	if (ask->host[0] && ask->addr[0])
		hosts_on_announced(feed->ctrl->host_list, ask->host, &host);
}

/* Processes the announcement of another host by a follower. */
static int feed_on_host(struct feed *feed, const uint8_t *body, size_t len)
{
	Feed__Host *msg = feed__host__unpack(NULL, len, body);

	if (!msg)
		return BASE_EFRAME;
	if (msg->name[0] && msg->addr[0]) {
		const struct ctrl_host host = {msg->addr, msg->capacity, msg->zone};

		hosts_on_announced(feed->ctrl->host_list, msg->name, &host);
	}
	feed__host__free_unpacked(msg, NULL);
	return 0;
}

static int feed_on_ask(struct feed *feed, struct frm_conn *conn, const uint8_t *body, size_t len)
{
	struct feed_follower *follower = feed_get_follower(feed, conn);
	Feed__Ask *ask = feed__ask__unpack(NULL, len, body);

	if (!ask)
		return BASE_EFRAME;
	follower->asked = true;
	g_free(follower->host);
	follower->host = g_strdup(ask->host);
	follower->conf_version = ask->conf_version;
	follower->conf_digest = ask->conf_digest;
	follower->era = FEED_NONE;
	ctrl_on_era(feed->ctrl, ctrl_era_from_msg(ask->era), ask->host);
	feed_announce_host(feed, ask);
	follower->endpoints_next = ask->endpoints_next;
	follower->listing = ask->endpoints_next < 0 ? 0 : feed->endpoints.listing;
	follower->generation = FEED_NONE;
	follower->hosts_version = 0;
	follower->loads_version = 0;
	feed__ask__free_unpacked(ask, NULL);
	feed_send_update(feed, follower);
	quarantine_send_all(feed->ctrl->quarantine, conn);
	limits_send_all(feed->ctrl->limits, conn);
	notice_send_leaving(feed->ctrl, conn);
	return 0;
}

/* Returns whether an endpoint of this host's list has the address. */
static bool feed_is_listed(const struct ctrl *ctrl, const char *addr)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, ctrl->endpoints.entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (strcmp(((const struct ep_entry *)value)->rec->addr, addr) == 0)
			return true;
	}
	return false;
}

/* Forgets what is kept of a connection that ends or is handed over. */
static void feed_forget(struct feed *feed, struct frm_conn *conn)
{
	struct feed_follower *follower = frm_user_data(conn);

	limit_home_on_close(limits_get_home(feed->ctrl->limits), conn);
	if (follower)
		g_ptr_array_remove_fast(feed->followers, follower);
	frm_set_user_data(conn, NULL);
}

/*
 * Takes the socket of a connection, as frm_detach() does. A peer may have followed the feed or
 * asked for limits on the same connection, which is freed now.
 */
static int feed_detach(struct feed *feed, struct frm_conn *conn, GByteArray *rest)
{
	feed_forget(feed, conn);
	return frm_detach(conn, rest);
}

/*
 * Hands a request for a tunnel over to the traffic thread. Only listed endpoints are connected to:
 * this host is no way to anything else.
 */
static int feed_on_tunnel_open(struct feed *feed, struct frm_conn *conn, const uint8_t *body,
			       size_t len)
{
	struct ctrl *ctrl = feed->ctrl;
	Tunnel__Open *open = tunnel__open__unpack(NULL, len, body);
	Tunnel__Result refusal = TUNNEL__RESULT__UNSPECIFIED;
	GByteArray *rest;
	int fd;

	if (!open)
		return BASE_EFRAME;
	if (ctrl->stopping)
		refusal = TUNNEL__RESULT__STOPPING;
	else if (!feed_is_listed(ctrl, open->addr))
		refusal = TUNNEL__RESULT__UNKNOWN;
	rest = g_byte_array_new();
	fd = feed_detach(feed, conn, rest);
	g_byte_array_unref(rest);
	if (fd >= 0)
		gateway_post_open(traf_gateway(ctrl->router->traf), fd, open, refusal);
	else
		tunnel__open__free_unpacked(open, NULL);
	return 0;
}

static int feed_on_tunnel_attach(struct feed *feed, struct frm_conn *conn, const uint8_t *body,
				 size_t len)
{
	Tunnel__Attach *attach = tunnel__attach__unpack(NULL, len, body);
	GByteArray *rest = g_byte_array_new();
	int fd;

	if (!attach) {
		g_byte_array_unref(rest);
		return BASE_EFRAME;
	}
	fd = feed_detach(feed, conn, rest);
	if (fd >= 0)
		gateway_post_attach(traf_gateway(feed->ctrl->router->traf), fd, attach->token,
				    rest);
	else
		g_byte_array_unref(rest);
	tunnel__attach__free_unpacked(attach, NULL);
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
		return suspect_on_msg(((struct feed *)ctx)->ctrl, conn, body, len);
	case MSG_FEED_QUARANTINE:
		return quarantine_on_msg(((struct feed *)ctx)->ctrl->quarantine, conn, body, len);
	case MSG_FEED_LIMITS:
		return limits_on_msg(((struct feed *)ctx)->ctrl->limits, conn, body, len);
	case MSG_TUNNEL_OPEN:
		return feed_on_tunnel_open(ctx, conn, body, len);
	case MSG_TUNNEL_ATTACH:
		return feed_on_tunnel_attach(ctx, conn, body, len);
	case MSG_LIMIT_ASK:
		return limit_home_on_msg(limits_get_home(((struct feed *)ctx)->ctrl->limits), conn,
					 body, len);
	default:
		return BASE_EFRAME;
	}
}

static void feed_on_close(void *ctx, struct frm_conn *conn, int err)
{
	(void)err;
	feed_forget(ctx, conn);
}

static void feed_add_endpoints(struct feed *feed, struct feed_follower *follower, Feed__Update *msg)
{
	const struct ep_list *list = &feed->ctrl->endpoints;
	struct fpack *fpack = &feed->endpoints;

	msg->endpoints_next = feed->ctrl->listed ? list->next : FEED_NONE;
	if (!feed->ctrl->listed)
		return;
	msg->listing = fpack_needs_full_list(fpack, follower->listing, follower->endpoints_next);
	if (msg->listing || fpack_has_records(fpack, follower->endpoints_next)) {
		fpack_serialize(fpack, list, msg->listing, follower->endpoints_next);
		msg->endpoints.data = fpack->packed->data;
		msg->endpoints.len = fpack->packed->len;
		msg->endpoints_len = (int64_t)fpack->whole_len;
	}
	follower->listing = fpack->listing;
	follower->endpoints_next = MAX(follower->endpoints_next, list->next);
	follower->place_sent_us = tmr_now();
}

static bool feed_has_new_endpoints(const struct feed *feed, const struct feed_follower *follower)
{
	const struct ctrl *ctrl = feed->ctrl;
	int64_t since_us = tmr_now() - follower->place_sent_us;

	if (!ctrl->listed || since_us < tmr_from_ms(ctrl_endpoints_delay_ms(ctrl)))
		return false;
	if (follower->listing != feed->endpoints.listing ||
	    fpack_has_records(&feed->endpoints, follower->endpoints_next))
		return true;
	return follower->endpoints_next < ctrl->endpoints.next &&
	       since_us >= tmr_from_ms(FEED_PLACE_INTERVAL_MS);
}

/*
 * Whether this host's configuration has a newer version than the follower's, or another text under
 * the same version; the follower then decides by their places which one is newer.
 */
static bool feed_has_new_conf(const struct ctrl *ctrl, const struct feed_follower *follower)
{
	if (!ctrl->conf || ctrl->conf->version < follower->conf_version)
		return false;
	return ctrl->conf->version > follower->conf_version ||
	       ctrl->conf_origin.digest != follower->conf_digest;
}

static void feed_add_conf(const struct feed *feed, struct feed_follower *follower,
			  Feed__Update *msg)
{
	const struct ctrl *ctrl = feed->ctrl;

	if (!feed_has_new_conf(ctrl, follower))
		return;
	msg->conf.data = ctrl->conf_deflated->data;
	msg->conf.len = ctrl->conf_deflated->len;
	msg->conf_len = (int64_t)ctrl->conf_len;
	msg->conf_place = ctrl->conf_place;
	follower->conf_version = ctrl->conf->version;
	follower->conf_digest = ctrl->conf_origin.digest;
}

/* Whether this host has no current data of the store, so that others should not follow it. */
static bool feed_has_no_source(const struct ctrl *ctrl)
{
	struct rank_state host;

	ctrl_fill_rank_host(ctrl, &host);
	return !rank_may_feed(&host);
}

static bool feed_has_changes(const struct feed *feed, const struct feed_follower *follower)
{
	const struct ctrl *ctrl = feed->ctrl;

	if (!follower->updated || follower->away != feed_has_no_source(ctrl) ||
	    follower->generation != ctrl->lead.newest || follower->era != ctrl_era_to_msg(ctrl) ||
	    follower->hosts_version != ctrl->host_changes.version ||
	    follower->loads_version != ctrl->loads_version || follower->round != ctrl->round.number)
		return true;
	return feed_has_new_conf(ctrl, follower) || feed_has_new_endpoints(feed, follower);
}

/* Buffers for the hosts of one Update message. */
struct feed_hosts {
	const struct ctrl *ctrl;
	GArray *items;	 /* Hosts as Feed__Host */
	GPtrArray *refs; /* Pointers to the items */
};

static void feed_add_host(void *ctx, const char *name, bool gone)
{
	struct feed_hosts *hosts = ctx;
	const struct ctrl_host *from = gone ? NULL : g_hash_table_lookup(hosts->ctrl->hosts, name);
	Feed__Host host = FEED__HOST__INIT;

	host.name = (char *)name;
	if (from) {
		host.addr = from->addr;
		host.capacity = from->capacity;
		host.zone = from->zone;
	}
	g_array_append_val(hosts->items, host);
}

static void feed_add_hosts(struct feed_hosts *hosts, guint since, Feed__Update *msg)
{
	const struct hdelta *news = &hosts->ctrl->host_changes;

	msg->hosts_whole = hdelta_needs_full(news, since);
	hdelta_each_since(news, msg->hosts_whole ? 0 : since, feed_add_host, hosts);
	for (guint i = 0; i < hosts->items->len; i++)
		g_ptr_array_add(hosts->refs, &g_array_index(hosts->items, Feed__Host, i));
	msg->hosts = (Feed__Host **)hosts->refs->pdata;
	msg->n_hosts = hosts->refs->len;
}

static void feed_add_loads(const struct ctrl *ctrl, Feed__Update *msg, GArray *loads,
			   GPtrArray *refs)
{
	for (guint i = 0; i < ctrl->loads->len; i++) {
		const struct router_load *from = &g_array_index(ctrl->loads, struct router_load, i);
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

static void feed_send_update(struct feed *feed, struct feed_follower *follower)
{
	struct ctrl *ctrl = feed->ctrl;
	struct feed_hosts hosts = {ctrl, g_array_new(FALSE, FALSE, sizeof(Feed__Host)),
				   g_ptr_array_new()};
	GArray *loads = g_array_new(FALSE, FALSE, sizeof(Feed__Load));
	GPtrArray *load_refs = g_ptr_array_new();
	Feed__Update msg = FEED__UPDATE__INIT;

	follower->away = feed_has_no_source(ctrl);
	msg.away = follower->away;
	msg.generation = ctrl->lead.newest;
	msg.era = ctrl_era_to_msg(ctrl);
	follower->era = msg.era;
	feed_add_conf(feed, follower, &msg);
	feed_add_endpoints(feed, follower, &msg);
	if (follower->hosts_version != ctrl->host_changes.version)
		feed_add_hosts(&hosts, follower->hosts_version, &msg);
	if (follower->loads_version != ctrl->loads_version)
		feed_add_loads(ctrl, &msg, loads, load_refs);
	msg.round = ctrl->round.number;
	msg.no_outage_ms = feed_no_outage_ms(ctrl);
	follower->round = ctrl->round.number;
	follower->loads_version = ctrl->loads_version;
	follower->hosts_version = ctrl->host_changes.version;
	follower->generation = ctrl->lead.newest;
	follower->updated = true;
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

		if (follower->asked && feed_has_changes(feed, follower))
			feed_send_update(feed, follower);
	}
}

void feed_for_each_follower(struct feed *feed, const void *source, feed_conn_fn fn, void *ctx)
{
	for (guint i = 0; i < feed->followers->len; i++) {
		const struct feed_follower *follower = feed->followers->pdata[i];

		if (follower->asked && follower->conn != source)
			fn(ctx, follower->conn);
	}
}
