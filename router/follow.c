#include "base/err.h"
#include "base/frm.h"
#include "base/jl.h"
#include "base/met.h"
#include "base/zip.h"
#include "msg/feed.pb-c.h"
#include "msg/kind.h"
#include "router/feed_pack.h"
#include "router/rank.h"
#include "router/feed_merge.h"
#include "router/ctrl.h"

#include <string.h>

enum {
	FOLLOW_HEARTBEAT_MS = 400, /* Interval of heartbeats to the feeder, in milliseconds */
	/*
	 * Time after which a silent feeder is disconnected and the store is read, in milliseconds.
	 * A change must be in force two seconds after the store accepted it.
	 */
	FOLLOW_SILENT_MS = 1000,
	/* Time for which a host that did not answer is avoided, in milliseconds */
	FOLLOW_SUSPECT_MS = 4000,
	/* Shortest interval between two attempts to connect, in milliseconds */
	FOLLOW_RETRY_MS = 300,
	/*
	 * Time after which a reader without contact with the store is replaced as feeder, in
	 * milliseconds
	 */
	FOLLOW_STALE_MS = 400,
	/*
	 * Time after which a relay without contact with the store is replaced as feeder, in
	 * milliseconds; it is longer since the relay first looks for another feeder itself
	 */
	FOLLOW_STALE_RELAY_MS = 900,
	/*
	 * Time after which a host with a working feed moves to the relay that is assigned to it, in
	 * milliseconds: FOLLOW_MOVE_DELAY_MS plus a part of FOLLOW_MOVE_SPREAD_MS that differs by
	 * host. Hosts that start together find each other over some seconds and follow readers
	 * until then.
	 */
	FOLLOW_MOVE_DELAY_MS = 2000,
	FOLLOW_MOVE_SPREAD_MS = 3000,
	/*
	 * Time after which a feeder without contact with the store is replaced if all feeders have
	 * been tried, in milliseconds. Hosts that changed their feeder more often during an outage
	 * of the store missed suspicions of endpoints that other hosts passed on.
	 */
	FOLLOW_STALE_OUTAGE_MS = 4000,
	/*
	 * Time after its start within which a host finds its feeder, in milliseconds. Before that
	 * only readers feed: any other host reads the store for a moment only, and its followers
	 * would lose their feed again.
	 */
	FOLLOW_SETTLE_MS = 1500
};

struct follow {
	struct ctrl *ctrl;
	struct host_table table; /* Hosts that may be feeders, and whether they answered */
	struct frm_conn *conn;	 /* Connection to the feeder; NULL if none */
	char *host;		 /* Name of the feeder; its address if it is a seed */
	bool fed; /* Whether the feeder has sent an update and has contact with the store */
	/*
	 * Time since which the feeder has had no contact with the store, in microseconds; 0 if it
	 * has
	 */
	int64_t stale_us;
	unsigned int feeders_tried; /* Number of feeders that were replaced without a result */
	int64_t next_try_us; /* Earliest time of the next attempt to connect, in microseconds */
	int64_t settle_us;   /* Time at which FOLLOW_SETTLE_MS has passed, in microseconds */
	guint seed;	     /* Index of the seed to connect to next */
	bool table_outdated; /* Whether the list of hosts is newer than the table */
	/* Time since which the feeder has not been the assigned one, in microseconds; 0 if it is */
	int64_t misplaced_us;
};

static int follow_on_msg(void *ctx, struct frm_conn *conn, uint16_t kind, const uint8_t *body,
			 size_t len);
static void follow_on_close(void *ctx, struct frm_conn *conn, int err);

static const struct frm_ops follow_ops = {follow_on_msg, follow_on_close};

struct follow *follow_new(struct ctrl *ctrl)
{
	struct follow *follow = g_new0(struct follow, 1);

	follow->ctrl = ctrl;
	follow->settle_us = tmr_now() + tmr_from_ms(FOLLOW_SETTLE_MS);
	host_table_init(&follow->table, tmr_from_ms(FOLLOW_SUSPECT_MS));
	return follow;
}

void follow_free(struct follow *follow)
{
	if (follow->conn)
		frm_close(follow->conn);
	host_table_finish(&follow->table);
	g_free(follow->host);
	g_free(follow);
}

bool follow_is_fed(const struct follow *follow)
{
	return follow->fed;
}

const char *follow_feeder(const struct follow *follow)
{
	return follow->conn ? follow->host : NULL;
}

/* Returns the capacity that a reader or relay must have: half of the largest capacity. */
static double follow_min_capacity(const struct ctrl *ctrl)
{
	GHashTableIter iter;
	gpointer value;
	double most = 0;

	g_hash_table_iter_init(&iter, ctrl->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		most = MAX(most, ((const struct ctrl_host *)value)->capacity);
	return most / 2;
}

void follow_on_hosts_changed(struct follow *follow)
{
	follow->table_outdated = true;
}

/* Rebuilds the table, once for many changes: a list of hosts may contain a thousand. */
static void follow_update_table(struct follow *follow)
{
	GArray *hosts = g_array_new(FALSE, TRUE, sizeof(struct host));
	double least = follow_min_capacity(follow->ctrl);
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, follow->ctrl->hosts);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const struct ctrl_host *from = value;
		struct host host;

		if (from->capacity < least)
			continue;
		memset(&host, 0, sizeof(host));
		g_strlcpy(host.name, name, sizeof(host.name));
		g_strlcpy(host.control_addr, from->addr, sizeof(host.control_addr));
		g_strlcpy(host.zone, from->zone, sizeof(host.zone));
		g_array_append_val(hosts, host);
	}
	host_on_list(&follow->table, (const struct host *)(void *)hosts->data, hosts->len);
	g_array_unref(hosts);
	follow->table_outdated = false;
}

static void follow_reset(struct follow *follow)
{
	follow->conn = NULL;
	follow->fed = false;
	follow->stale_us = 0;
	g_clear_pointer(&follow->host, g_free);
}

static void follow_connect(struct follow *follow, const char *name, const char *addr)
{
	const struct frm_limits limits = {tmr_from_ms(FOLLOW_HEARTBEAT_MS),
					  tmr_from_ms(FOLLOW_SILENT_MS),
					  tmr_from_ms(FOLLOW_HEARTBEAT_MS)};
	struct ctrl *ctrl = follow->ctrl;
	Feed__Ask ask = FEED__ASK__INIT;

	follow->conn = frm_connect(ctrl->loop, addr, &follow_ops, &limits, follow);
	if (!follow->conn)
		return;
	follow->host = g_strdup(name);
	frm_set_active(follow->conn, true);
	ask.host = ctrl->router->settings.name;
	ask.conf_version = ctrl->conf ? ctrl->conf->version : -1;
	ask.conf_digest = ctrl->conf_origin.digest;
	ask.era = ctrl_era_to_msg(ctrl);
	ask.endpoints_next = ctrl->listed ? ctrl->endpoints.next : -1;
	/* A host that is stopping must not be added to the list of hosts again. */
	if (!ctrl->stopping)
		ask.addr = (char *)member_control_addr(&ctrl->router->settings);
	ask.capacity = member_capacity(&ctrl->router->settings);
	ask.zone = ctrl->router->settings.zone;
	frm_send(follow->conn, MSG_FEED_ASK, &ask.base);
	hosts_announce_to_feeder(ctrl->host_list);
	quarantine_send_all(ctrl->quarantine, follow->conn);
	limits_send_all(ctrl->limits, follow->conn);
	notice_send_leaving(ctrl, follow->conn);
}

/* Connects to the next seed; used while no other host is known. */
static void follow_connect_seed(struct follow *follow)
{
	const struct router_settings *s = &follow->ctrl->router->settings;
	char **seeds = g_strsplit(s->seeds, ",", -1);
	guint n = g_strv_length(seeds);

	for (guint i = 0; i < n && !follow->conn; i++) {
		const char *addr = g_strstrip(seeds[follow->seed++ % n]);

		if (*addr && strcmp(addr, s->control) != 0)
			follow_connect(follow, addr, addr);
	}
	g_strfreev(seeds);
}

/*
 * Returns the time after which a feeder without contact with the store is replaced by the next one.
 * The store may reject both this host and its feeder while it serves others; when all feeders have
 * been tried, the store is taken to be unavailable and the time is longer.
 */
static int64_t follow_stale_limit_ms(const struct follow *follow)
{
	const struct rank *rank = &follow->ctrl->rank;

	if (follow->feeders_tried >= rank_feeders_tried_max(rank->follows_relay))
		return FOLLOW_STALE_OUTAGE_MS;
	return rank->follows_relay && follow->feeders_tried < RANK_RELAYS_TRIED
		       ? FOLLOW_STALE_RELAY_MS
		       : FOLLOW_STALE_MS;
}

static bool follow_is_stale_too_long(const struct follow *follow, int64_t now_us)
{
	int64_t limit_ms = follow_stale_limit_ms(follow);

	return follow->stale_us > 0 && now_us - follow->stale_us > tmr_from_ms(limit_ms);
}

static void follow_disconnect(struct follow *follow)
{
	frm_close(follow->conn);
	follow_reset(follow);
}

static bool follow_is_connected_to(const struct follow *follow, const struct host *feeder)
{
	return strcmp(follow->host, feeder->name) == 0;
}

/*
 * Whether this host should move from its working feed to its assigned relay. The delay differs by
 * host, so that not all hosts move at once.
 */
static bool follow_should_move(struct follow *follow, const struct host *feeder, int64_t now_us)
{
	const char *name = follow->ctrl->router->settings.name;
	int64_t after_us =
		tmr_from_ms(FOLLOW_MOVE_DELAY_MS + g_str_hash(name) % FOLLOW_MOVE_SPREAD_MS);

	if (!follow->ctrl->rank.follows_relay || !follow->fed || !feeder ||
	    follow_is_connected_to(follow, feeder)) {
		follow->misplaced_us = 0;
		return false;
	}
	if (follow->misplaced_us == 0)
		follow->misplaced_us = now_us;
	return now_us - follow->misplaced_us > after_us;
}

static void follow_reconnect(struct follow *follow, const struct host *feeder, int64_t now_us)
{
	if (follow->conn && !follow->fed && follow_is_stale_too_long(follow, now_us)) {
		follow->feeders_tried++;
		follow_disconnect(follow);
		return;
	}
	if (follow->conn && feeder && !follow_is_connected_to(follow, feeder) && !follow->fed)
		follow_disconnect(follow);
	if (follow->conn && follow_should_move(follow, feeder, now_us))
		follow_disconnect(follow);
	if (follow->conn || now_us < follow->next_try_us)
		return;
	follow->next_try_us = now_us + tmr_from_ms(FOLLOW_RETRY_MS);
	if (feeder)
		follow_connect(follow, feeder->name, feeder->control_addr);
	else if (!reader_is_current(follow->ctrl))
		follow_connect_seed(follow);
}

void follow_on_tick(struct follow *follow, int64_t now_us)
{
	struct ctrl *ctrl = follow->ctrl;
	const struct rank *rank = &ctrl->rank;
	const struct rank_self self = {
		.name = ctrl->router->settings.name,
		.zone = ctrl->router->settings.zone,
		.hosts = g_hash_table_size(ctrl->hosts),
		.turn = follow->feeders_tried,
	};
	struct rank_state host;

	ctrl->settled = now_us >= follow->settle_us;
	if (follow->table_outdated)
		follow_update_table(follow);
	rank_choose_roles(&follow->table, &self, now_us, &ctrl->rank);
	follow_reconnect(follow, rank->feeder, now_us);
	ctrl_fill_rank_host(ctrl, &host);
	ctrl_set_store_reading(ctrl, rank_should_read_store(&host));
	member_set_candidate(
		ctrl, rank->reader || (!follow->fed && ctrl->settled && reader_is_current(ctrl)));
}

void follow_on_store_regained(struct follow *follow)
{
	follow->feeders_tried = 0;
}

static void follow_log(const struct follow *follow, const char *event, const char *error)
{
	jl_begin(JL_UNLIMITED, event);
	jl_str("feeder", follow->host);
	jl_str("error", error);
	jl_end();
}

/*
 * Logs and counts full lists of endpoints, which are costly in a large system. A host needs one at
 * its start and after it has lost a feed.
 */
static void follow_log_full_list(const struct follow *follow, size_t items)
{
	met_add(met_counter("bg_feed_listings_total", ""), 1);
	jl_begin(JL_INFO, "endpoints_listed_by_feed");
	jl_str("feeder", follow->host);
	jl_int("endpoints", (int64_t)items);
	jl_int("known", g_hash_table_size(follow->ctrl->endpoints.entries));
	jl_end();
}

static void follow_apply_record(void *ctx, int64_t place, const char *id, struct str text)
{
	ctrl_apply_endpoint(ctx, place, id, text);
}

/* Returns 0, or BASE_EFRAME if the data is malformed; it is requested on a new connection then. */
static int follow_apply_endpoints(struct follow *follow, const Feed__Update *msg)
{
	struct ctrl *ctrl = follow->ctrl;
	const struct fmerge merge = {&ctrl->endpoints, feed_packer(ctrl->feed), follow_apply_record,
				     ctrl};
	Feed__Endpoints *items;

	if (msg->endpoints_next < 0 || (ctrl->listed && msg->endpoints_next < ctrl->endpoints.next))
		return 0;
	items = fpack_parse(msg->endpoints.data, msg->endpoints.len, msg->endpoints_len);
	if (!items)
		return BASE_EFRAME;
	if (msg->listing)
		follow_log_full_list(follow, items->n_items);
	if (fmerge_apply(&merge, items, msg->listing, msg->endpoints_next, tmr_now()))
		feed_on_list_replaced(ctrl->feed);
	feed__endpoints__free_unpacked(items, NULL);
	ctrl->listed = ctrl->listed || msg->listing;
	return 0;
}

/* Applies one entry of the list of hosts; an empty address means that the host has left. */
static void follow_apply_host(struct ctrl *ctrl, const Feed__Host *host)
{
	const struct ctrl_host from = {host->addr, host->capacity, host->zone};
	char *text = host->addr[0] ? ctrl_host_format(&from) : NULL;
	bool self = strcmp(host->name, ctrl->router->settings.name) == 0;

	if (self && text)
		ctrl->feed_lacks_self = false;
	if (!self || text)
		ctrl_apply_host(ctrl, host->name, text ? str_from_cstr(text) : str_make(NULL, 0));
	g_free(text);
}

static void follow_apply_hosts(struct follow *follow, const Feed__Update *msg)
{
	struct ctrl *ctrl = follow->ctrl;

	if (msg->n_hosts == 0)
		return;
	if (msg->hosts_whole)
		ctrl->feed_lacks_self = true;
	for (size_t i = 0; i < msg->n_hosts; i++)
		follow_apply_host(ctrl, msg->hosts[i]);
	ctrl_on_hosts_known(ctrl);
}

static int follow_apply_conf(struct follow *follow, const Feed__Update *msg)
{
	size_t len = (size_t)MAX(msg->conf_len, 0);
	uint8_t *text;

	if (msg->conf.len == 0)
		return 0;
	text = zip_unpack(msg->conf.data, msg->conf.len, len);
	if (!text)
		return BASE_EFRAME;
	ctrl_apply_conf(follow->ctrl, msg->conf_place, str_make((const char *)text, len),
			follow->host);
	g_free(text);
	return 0;
}

/* Ignores load reports if this host polls the engines: its own reports are newer. */
static void follow_apply_loads(struct follow *follow, const Feed__Update *msg)
{
	GArray *loads;

	if (msg->n_loads == 0 || ctrl_polls_engines(follow->ctrl))
		return;
	loads = loads_new();
	for (size_t i = 0; i < msg->n_loads; i++) {
		const Feed__Load *from = msg->loads[i];
		struct router_load load = {g_strdup(from->endpoint), from->pace, from->full};

		g_array_append_val(loads, load);
	}
	loads_publish(follow->ctrl, loads);
}

/* If the feeder reached the store while this host did not, missing endpoints have left. */
static void follow_apply_no_outage(struct follow *follow, const Feed__Update *msg)
{
	struct ep_list *list = &follow->ctrl->endpoints;
	int64_t now_us = tmr_now();
	int lapsed = ep_count_lapsed(list);

	if (msg->no_outage_ms <= 0 ||
	    !ep_on_no_outage(list, now_us - tmr_from_ms(msg->no_outage_ms), now_us))
		return;
	jl_begin(JL_UNLIMITED, "outage_only_here");
	jl_str("feeder", follow->host);
	jl_int("removed", lapsed - ep_count_lapsed(list));
	jl_end();
}

static int follow_on_update(struct follow *follow, const uint8_t *body, size_t len)
{
	struct ctrl *ctrl = follow->ctrl;
	Feed__Update *msg = feed__update__unpack(NULL, len, body);

	if (!msg)
		return BASE_EFRAME;
	ctrl_on_era(ctrl, ctrl_era_from_msg(msg->era), follow->host);
	if (follow->fed == msg->away)
		follow_log(follow, msg->away ? "feed_stale" : "feed_good", NULL);
	follow->fed = !msg->away;
	if (follow->fed)
		follow->feeders_tried = 0;
	follow->stale_us = follow->fed ? 0 : (follow->stale_us > 0 ? follow->stale_us : tmr_now());
	host_on_evidence(&follow->table, follow->host, HOST_ANSWERED, tmr_now());
	if (follow->fed)
		ep_on_store_success(&ctrl->endpoints, tmr_now());
	if (follow_apply_conf(follow, msg) < 0 || follow_apply_endpoints(follow, msg) < 0) {
		follow_log(follow, "feed_unreadable", base_strerror(BASE_EFRAME));
		feed__update__free_unpacked(msg, NULL);
		return BASE_EFRAME;
	}
	follow_apply_no_outage(follow, msg);
	follow_apply_hosts(follow, msg);
	follow_apply_loads(follow, msg);
	rank_round_received(&ctrl->round, msg->round, tmr_now());
	if (msg->generation > ctrl->lead.newest)
		member_on_remote_fence(ctrl, msg->generation);
	feed__update__free_unpacked(msg, NULL);
	ctrl_post_first_view(ctrl);
	feed_flush(ctrl->feed);
	return 0;
}

static int follow_on_msg(void *ctx, struct frm_conn *conn, uint16_t kind, const uint8_t *body,
			 size_t len)
{
	switch (kind) {
	case MSG_FEED_UPDATE:
		return follow_on_update(ctx, body, len);
	case MSG_FEED_SUSPECT:
		return suspect_on_msg(((struct follow *)ctx)->ctrl, conn, body, len);
	case MSG_FEED_QUARANTINE:
		return quarantine_on_msg(((struct follow *)ctx)->ctrl->quarantine, conn, body, len);
	case MSG_FEED_LIMITS:
		return limits_on_msg(((struct follow *)ctx)->ctrl->limits, conn, body, len);
	default:
		return BASE_EFRAME;
	}
}

static void follow_on_close(void *ctx, struct frm_conn *conn, int err)
{
	struct follow *follow = ctx;
	enum host_evidence evidence = err == BASE_ESILENT ? HOST_TIMED_OUT : HOST_REFUSED;

	(void)conn;
	if (follow->fed)
		follow_log(follow, "feed_lost", base_strerror(err));
	host_on_evidence(&follow->table, follow->host, evidence, tmr_now());
	follow_reset(follow);
	follow_on_tick(follow, tmr_now());
}

void follow_call_feeder(struct follow *follow, const void *source, feed_conn_fn fn, void *ctx)
{
	if (follow->conn && follow->conn != source)
		fn(ctx, follow->conn);
}

void follow_announce_host(struct follow *follow, const char *name, const struct ctrl_host *host)
{
	Feed__Host msg = FEED__HOST__INIT;

	if (!follow->conn)
		return;
	msg.name = (char *)name;
	msg.addr = host->addr;
	msg.capacity = host->capacity;
	msg.zone = host->zone;
	frm_send(follow->conn, MSG_FEED_HOST, &msg.base);
}

const struct host *follow_key_owner(const struct follow *follow, const char *key)
{
	return host_home(&follow->table, key, 0, tmr_now());
}

void follow_on_contact_result(struct follow *follow, const char *host, enum host_evidence evidence)
{
	host_on_evidence(&follow->table, host, evidence, tmr_now());
}
