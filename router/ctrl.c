#include "router/ctrl.h"
#include "base/err.h"
#include "base/jl.h"
#include "base/met.h"
#include "base/zip.h"

#include <string.h>

enum {
	CTRL_TICK_MS = 100,
	CTRL_HOST_WORDS = 3, /* Number of words in a host's entry in the store */
	/* Interval of posting synced_us to the traffic thread, in milliseconds */
	CTRL_SYNCED_MS = 1000,
	/* Least interval between two selections of hosts that may open tunnels, in milliseconds */
	CTRL_GATEWAYS_MS = 1000,
	/*
	 * If drain_ms is longer than CTRL_LEAVE_MS, changes of endpoints may be delayed by the
	 * excess divided by CTRL_DELAY_DIVISOR.
	 */
	CTRL_LEAVE_MS = 2000,
	CTRL_DELAY_DIVISOR = 6,
	/* Maximum number of endpoint ids whose last parse error is kept; about 100 KB */
	CTRL_UNREADABLE_MAX = 1024
};

static void ctrl_on_tick(void *ctx, int64_t now_us);
static void ctrl_post_view(struct ctrl *ctrl);
static void ctrl_update_gateways(struct ctrl *ctrl, int64_t now_us);
static void ctrl_host_free(gpointer data);
static char *ctrl_probe_path(void *ctx, const char *addr);

static void ctrl_each_endpoint(void *ctx, way_addr_fn fn, void *fn_ctx);

static const struct way_ops ctrl_way_ops = {.probe_path = ctrl_probe_path,
					    .each_endpoint = ctrl_each_endpoint};

/*
 * The store was restored from an older copy: writes that it acknowledged after the copy was made
 * are lost, and its offsets and generations start again from older values. The data in force on
 * this host is kept and compared with the listings of the restored store.
 */
static void ctrl_on_store_restored(struct ctrl *ctrl, int64_t before, const char *from)
{
	jl_begin(JL_UNLIMITED, "store_returned");
	jl_int("era", ctrl->era.now);
	jl_int("before", before);
	jl_str("from", from);
	jl_int("configuration", ctrl->conf ? ctrl->conf->version : -1);
	jl_int("endpoints", g_hash_table_size(ctrl->endpoints.entries));
	jl_int("hosts", g_hash_table_size(ctrl->hosts));
	jl_int("fence", ctrl->lead.newest);
	jl_end();
	met_add(met_counter("bg_store_returns_total", ""), 1);
	member_on_store_restored(ctrl);
	hosts_on_store_restored(ctrl->host_list);
	recall_on_store_restored(ctrl->recall);
	quarantine_on_store_restored(ctrl->quarantine);
	if (ctrl->direct)
		reader_on_store_restored(ctrl);
}

enum era_change ctrl_on_era(struct ctrl *ctrl, int64_t era, const char *from)
{
	int64_t before = ctrl->era.now;
	enum era_change news = era_update(&ctrl->era, era);

	if (news == ERA_OUTDATED)
		met_add(met_counter("bg_store_past_answers_total", ""), 1);
	if (news == ERA_INITIAL || news == ERA_ADVANCED)
		ep_on_store_era(&ctrl->endpoints, ctrl->era.now, news == ERA_ADVANCED, tmr_now());
	if (news == ERA_ADVANCED)
		ctrl_on_store_restored(ctrl, before, from);
	return news;
}

int64_t ctrl_era_to_msg(const struct ctrl *ctrl)
{
	return ctrl->era.known ? ctrl->era.now + 1 : 0;
}

int64_t ctrl_era_from_msg(int64_t encoded)
{
	return encoded > 0 ? encoded - 1 : ERA_NONE;
}

/* Any service may exist until a configuration is known. */
static bool ctrl_is_service(void *ctx, const char *service)
{
	const struct ctrl *ctrl = ctx;

	return !ctrl->conf || g_hash_table_contains(ctrl->conf->services, service);
}

struct ctrl *ctrl_new(struct router *router, struct loop *loop)
{
	struct ctrl *ctrl = g_new0(struct ctrl, 1);

	ctrl->router = router;
	ctrl->loop = loop;
	ctrl->hc = hc_new(loop);
	hc_set_source(ctrl->hc, router->settings.source);
	ctrl->way = way_new(loop, ctrl->hc, router->settings.name, router->settings.zone,
			    &ctrl_way_ops, ctrl);
	ctrl->gateways = g_ptr_array_new_with_free_func(gws_host_free);
	ctrl->store_calls = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	ctrl->conf_place = ERA_NONE;
	ctrl->start_us = tmr_now();
	ctrl->round.received_us = tmr_now();
	ctrl->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, ctrl_host_free);
	hdelta_init(&ctrl->host_changes);
	ep_list_init(&ctrl->endpoints);
	ep_set_services(&ctrl->endpoints, ctrl_is_service, ctrl);
	ctrl->conf_deflated = g_byte_array_new();
	ctrl->suspect_told = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ctrl->dead = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ctrl->backoff_until = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ctrl->unreadable = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ctrl->loads = loads_new();
	ctrl->polled_loads = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, loads_free_entry);
	ctrl->placer = placer_new(ctrl);
	ctrl->poll = poll_new(ctrl);
	ctrl->feed = feed_new(ctrl);
	ctrl->follow = follow_new(ctrl);
	ctrl->recall = recall_new(ctrl);
	ctrl->host_list = hosts_new(ctrl);
	ctrl->quarantine = quarantine_new(ctrl);
	ctrl->limits = limits_new(ctrl);
	return ctrl;
}

void ctrl_start(struct ctrl *ctrl)
{
	ctrl_set_store_reading(ctrl, true);
	member_start(ctrl);
	loop_start_timer(ctrl->loop, &ctrl->tick_timer, tmr_from_ms(CTRL_TICK_MS), ctrl_on_tick,
			 ctrl);
}

void ctrl_finish(struct ctrl *ctrl)
{
	ctrl_set_store_reading(ctrl, false);
	member_set_candidate(ctrl, false);
	tmr_cancel(&ctrl->loop->tmr, &ctrl->tick_timer);
	tmr_cancel(&ctrl->loop->tmr, &ctrl->self_entry_timer);
	quarantine_free(ctrl->quarantine);
	recall_free(ctrl->recall);
	hosts_free(ctrl->host_list);
	follow_free(ctrl->follow);
	feed_free(ctrl->feed);
	limits_free(ctrl->limits);
	placer_free(ctrl->placer);
	poll_free(ctrl->poll);
	g_array_unref(ctrl->loads);
	g_hash_table_destroy(ctrl->polled_loads);
	way_free(ctrl->way);
	g_ptr_array_unref(ctrl->gateways);
	hc_free(ctrl->hc);
	g_hash_table_destroy(ctrl->store_calls);
	ep_list_finish(&ctrl->endpoints);
	g_hash_table_destroy(ctrl->hosts);
	hdelta_finish(&ctrl->host_changes);
	g_hash_table_destroy(ctrl->suspect_told);
	g_hash_table_destroy(ctrl->dead);
	g_hash_table_destroy(ctrl->backoff_until);
	g_hash_table_destroy(ctrl->unreadable);
	g_byte_array_unref(ctrl->conf_deflated);
	rt_conf_unref(ctrl->conf);
	g_free(ctrl);
}

void ctrl_stop(struct ctrl *ctrl)
{
	ctrl->stopping = true;
	member_stop(ctrl);
}

void ctrl_schedule_view(struct ctrl *ctrl)
{
	ctrl->view_pending = true;
}

/*
 * Whether the lists of endpoints and hosts are complete. A host without the list of hosts would
 * assume that it is the only one and send all waiting requests to the endpoint with the least load,
 * as would all other hosts.
 */
bool ctrl_lists_complete(const struct ctrl *ctrl)
{
	return ctrl->listed && ctrl->hosts_known;
}

/* Whether the host has all that it needs to serve requests. */
static bool ctrl_has_all(const struct ctrl *ctrl, int64_t now_us)
{
	return ctrl->conf && ctrl_lists_complete(ctrl) &&
	       quarantine_may_serve(ctrl->quarantine, now_us);
}

void ctrl_post_first_view(struct ctrl *ctrl)
{
	if (!ctrl->view_complete && ctrl_has_all(ctrl, tmr_now()))
		ctrl_post_view(ctrl);
}

void ctrl_set_store_reading(struct ctrl *ctrl, bool direct)
{
	if (direct == ctrl->direct)
		return;
	ctrl->direct = direct;
	if (direct)
		reader_start(ctrl);
	else
		reader_stop(ctrl);
}

void router_origin_set(struct router_origin *origin, uint64_t digest, const char *by)
{
	origin->digest = digest;
	origin->since_ms = g_get_real_time() / 1000;
	g_strlcpy(origin->by, by, sizeof(origin->by));
}

static void ctrl_log_conf(const struct ctrl *ctrl, const struct rt_conf *conf, int64_t before,
			  const char *from)
{
	jl_begin(JL_UNLIMITED, "configuration");
	jl_int("version", conf->version);
	jl_int("before", before);
	jl_str("from", from);
	jl_hex("digest", ctrl->conf_origin.digest);
	jl_int("routes", conf->routes->len);
	jl_int("accounts", conf->accounts->len);
	jl_end();
}

/* Logs the services whose streams are told apart by class. */
static void ctrl_log_classes(const struct rt_conf *conf)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, conf->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rt_service *service = value;

		if (service->stream_priorities->len <= 1)
			continue;
		jl_begin(JL_INFO, "service_classes");
		jl_str("service", service->name);
		jl_int("classes", service->stream_priorities->len);
		jl_end();
	}
}

static void ctrl_log_not_packed(const struct rt_conf *conf)
{
	jl_begin(JL_UNLIMITED, "configuration_not_packed");
	jl_int("version", conf->version);
	jl_end();
}

/*
 * Whether a configuration replaces the present one: it has a greater version, or the same version
 * and another text at a later place. The second case occurs when the store has lost a text and an
 * operator writes another one under the same version. Without this rule each host would keep the
 * text that it read first.
 */
static bool ctrl_is_newer_conf(const struct ctrl *ctrl, const struct rt_conf *conf, int64_t place,
			       uint64_t digest)
{
	if (!ctrl->conf || conf->version != ctrl->conf->version)
		return !ctrl->conf || conf->version > ctrl->conf->version;
	return digest != ctrl->conf_origin.digest && place > ctrl->conf_place;
}

void ctrl_apply_conf(struct ctrl *ctrl, int64_t place, struct str text, const char *from)
{
	char *error = NULL;
	struct rt_conf *conf = ctrl->router->seam->decl.read_conf(text, &error);
	int64_t before = ctrl->conf ? ctrl->conf->version : -1;
	uint64_t digest = str_hash(text.data, text.len, 0);

	if (!conf) {
		jl_begin(JL_UNLIMITED, "configuration_unreadable");
		jl_str("from", from);
		jl_str("error", error);
		jl_end();
		g_free(error);
		return;
	}
	if (!ctrl_is_newer_conf(ctrl, conf, place, digest)) {
		if (digest == ctrl->conf_origin.digest)
			ctrl->conf_place = MAX(ctrl->conf_place, place);
		rt_conf_unref(conf);
		return;
	}
	ctrl->conf_place = place;
	router_origin_set(&ctrl->conf_origin, digest, from);
	ctrl_log_conf(ctrl, conf, before, from);
	ctrl_log_classes(conf);
	rt_conf_unref(ctrl->conf);
	ctrl->conf = conf;
	/* 1,500 routes are 400 KB; sent uncompressed they took seconds to a third of all hosts. */
	if (zip_pack(text.data, text.len, ctrl->conf_deflated) < 0)
		ctrl_log_not_packed(conf);
	ctrl->conf_len = text.len;
	ctrl_schedule_view(ctrl);
}

/*
 * Counts each unreadable entry of an endpoint, but logs it only the first time and when the error
 * changes: another program may write the same entry repeatedly. Owns error.
 */
static void ctrl_log_unreadable(struct ctrl *ctrl, const char *id, char *error)
{
	const char *before = g_hash_table_lookup(ctrl->unreadable, id);

	met_add(met_counter("bg_endpoints_unreadable_total", ""), 1);
	if (g_strcmp0(before, error) == 0) {
		g_free(error);
		return;
	}
	jl_begin(JL_UNLIMITED, "endpoint_unreadable");
	jl_str("endpoint", id);
	jl_str("error", error);
	jl_end();
	if (g_hash_table_size(ctrl->unreadable) >= CTRL_UNREADABLE_MAX)
		g_hash_table_remove_all(ctrl->unreadable);
	g_hash_table_replace(ctrl->unreadable, g_strdup(id), error);
}

/*
 * Sends the removal of an endpoint to followers, preceded by its last record. Followers get no
 * heartbeats, but need the last heartbeat of a removed endpoint to recognize its older record when
 * the store is restored from a copy.
 */
static void ctrl_feed_removal(struct ctrl *ctrl, int64_t place, const char *id,
			      const struct ep_rec *last)
{
	if (last && last->text)
		feed_on_record(ctrl->feed, place, id, str_from_cstr(last->text));
	feed_on_record(ctrl->feed, place, id, str_make(NULL, 0));
}

/*
 * An unreadable entry is treated as a removal, here and for followers. If the last readable entry
 * were kept, it would be used for as long as another program writes unreadable ones.
 */
void ctrl_apply_endpoint(struct ctrl *ctrl, int64_t place, const char *id, struct str text)
{
	const struct ep_entry *entry = g_hash_table_lookup(ctrl->endpoints.entries, id);
	struct ep_rec *last = entry ? ep_rec_ref(entry->rec) : NULL;
	struct ep_rec *rec = NULL;
	char *error = NULL;
	enum ep_record_effect effect;

	if (text.data) {
		rec = ctrl->router->seam->decl.read_endpoint(id, text, &error);
		if (rec) {
			rec->text = str_dup(text);
			g_hash_table_remove(ctrl->unreadable, id);
		} else {
			ctrl_log_unreadable(ctrl, id, error);
			text = str_make(NULL, 0);
		}
	}
	/*
	 * Ignored records are not sent to followers: one that has just started could not recognize
	 * them as outdated.
	 */
	effect = ep_on_record(&ctrl->endpoints, place, id, rec, tmr_now());
	if (effect == EP_CONFIRMED || (effect == EP_CHANGED && text.data))
		feed_on_record(ctrl->feed, place, id, text);
	else if (effect == EP_CHANGED)
		ctrl_feed_removal(ctrl, place, id, last);
	if (last)
		ep_rec_unref(last);
}

static void ctrl_host_free(gpointer data)
{
	struct ctrl_host *host = data;

	g_free(host->addr);
	g_free(host->zone);
	g_free(host);
}

char *ctrl_host_format(const struct ctrl_host *host)
{
	return g_strdup_printf("%s %.3f %s", host->addr, host->capacity, host->zone);
}

/* The text is "ADDRESS CAPACITY ZONE"; hosts that run the previous version omit the zone. */
bool ctrl_apply_host(struct ctrl *ctrl, const char *name, struct str text)
{
	const struct ctrl_host *before = g_hash_table_lookup(ctrl->hosts, name);
	char *copy = text.data ? str_dup(text) : NULL;
	char **words = copy ? g_strsplit(copy, " ", CTRL_HOST_WORDS) : NULL;
	struct ctrl_host *host;

	g_free(copy);
	if (!words || !words[0]) {
		g_strfreev(words);
		if (!g_hash_table_remove(ctrl->hosts, name))
			return false;
	} else {
		host = g_new0(struct ctrl_host, 1);
		host->addr = g_strdup(words[0]);
		host->capacity = words[1] ? g_ascii_strtod(words[1], NULL) : 0;
		host->zone = g_strdup(words[1] && words[2] ? words[2] : "");
		g_strfreev(words);
		if (before && strcmp(before->addr, host->addr) == 0) {
			ctrl_host_free(host);
			return false;
		}
		g_hash_table_replace(ctrl->hosts, g_strdup(name), host);
	}
	hdelta_on_change(&ctrl->host_changes, name, !g_hash_table_contains(ctrl->hosts, name));
	follow_on_hosts_changed(ctrl->follow);
	ctrl_schedule_view(ctrl);
	return true;
}

void ctrl_on_hosts_known(struct ctrl *ctrl)
{
	ctrl->hosts_known = true;
	member_on_host_list(ctrl);
}

/*
 * Updates the time of the last contact with the store and posts it to the traffic thread, which
 * logs the age of its view. Without this the age would grow while the store holds no changes.
 */
static void ctrl_update_synced(struct ctrl *ctrl, int64_t now_us)
{
	if (!follow_is_fed(ctrl->follow) && !reader_is_current(ctrl))
		return;
	ctrl->synced_us = now_us;
	if (now_us - ctrl->synced_posted_us < tmr_from_ms(CTRL_SYNCED_MS))
		return;
	ctrl->synced_posted_us = now_us;
	traf_post_synced(ctrl->router->traf, now_us);
}

/*
 * Returns the time until the next tick, in us. Entries that may have lapsed are dropped on the
 * tick; requests that come a tick later would still go to endpoints that have left.
 */
static int64_t ctrl_tick_us(const struct ctrl *ctrl, int64_t now_us)
{
	int64_t complete_us = ep_complete_us(&ctrl->endpoints) - now_us;
	int64_t tick_us = tmr_from_ms(CTRL_TICK_MS);

	return complete_us > 0 ? MIN(complete_us, tick_us) : tick_us;
}

static void ctrl_on_tick(void *ctx, int64_t now_us)
{
	struct ctrl *ctrl = ctx;

	if (ep_drop_expired(&ctrl->endpoints, now_us))
		feed_on_list_replaced(ctrl->feed);
	follow_on_tick(ctrl->follow, now_us);
	if (follow_is_fed(ctrl->follow))
		ctrl->last_fed_us = now_us;
	ctrl_update_synced(ctrl, now_us);
	placer_on_tick(ctrl->placer, now_us);
	poll_on_tick(ctrl->poll, now_us);
	way_sweep(ctrl->way, now_us);
	ctrl_update_gateways(ctrl, now_us);
	recall_on_tick(ctrl->recall, now_us);
	hosts_on_tick(ctrl->host_list, now_us);
	quarantine_on_tick(ctrl->quarantine, now_us);
	limits_on_tick(ctrl->limits, tmr_boot_now());
	ctrl_post_first_view(ctrl);
	if (ctrl->view_pending || ctrl->endpoints.changed)
		ctrl_post_view(ctrl);
	feed_flush(ctrl->feed);
	state_update_gauges(ctrl, now_us);
	loop_start_timer(ctrl->loop, &ctrl->tick_timer, ctrl_tick_us(ctrl, now_us), ctrl_on_tick,
			 ctrl);
}

/* The control thread calls no endpoints but engines. */
static char *ctrl_probe_path(void *ctx, const char *addr)
{
	const struct ctrl *ctrl = ctx;

	(void)addr;
	return g_strdup(ctrl->router->seam->engine.report_path());
}

static void ctrl_each_endpoint(void *ctx, way_addr_fn fn, void *fn_ctx)
{
	const struct ctrl *ctrl = ctx;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, ctrl->endpoints.entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!fn(fn_ctx, ((const struct ep_entry *)value)->rec->addr))
			return;
	}
}

/*
 * Selects the hosts that may open tunnels, if the list of hosts has changed; not for each of the
 * many changes while all hosts start.
 */
static void ctrl_update_gateways(struct ctrl *ctrl, int64_t now_us)
{
	const struct router_settings *s = &ctrl->router->settings;
	GPtrArray *all;
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	if (ctrl->gateways_version == ctrl->host_changes.version ||
	    (ctrl->gateways->len > 0 && now_us - ctrl->gateways_us < tmr_from_ms(CTRL_GATEWAYS_MS)))
		return;
	ctrl->gateways_version = ctrl->host_changes.version;
	ctrl->gateways_us = now_us;
	all = g_ptr_array_new_with_free_func(gws_host_free);
	g_hash_table_iter_init(&iter, ctrl->hosts);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const struct ctrl_host *host = value;

		g_ptr_array_add(all, gws_host_new(name, host->addr, host->zone));
	}
	g_ptr_array_unref(ctrl->gateways);
	ctrl->gateways = gws_select(all, s->name, s->zone);
	g_ptr_array_unref(all);
	way_set_gateways(ctrl->way, ctrl->gateways);
	ctrl_schedule_view(ctrl);
}

static void ctrl_post_view(struct ctrl *ctrl)
{
	struct router_view *view = g_new0(struct router_view, 1);

	ctrl->view_pending = false;
	ctrl->endpoints.changed = false;
	view->conf = ctrl->conf ? rt_conf_ref(ctrl->conf) : NULL;
	view->endpoints = ep_snapshot(&ctrl->endpoints);
	way_on_list(ctrl->way, (int)view->endpoints->len);
	view->gateways = g_ptr_array_ref(ctrl->gateways);
	view->hosts = MAX((int)g_hash_table_size(ctrl->hosts), 1);
	view->fence = ctrl->lead.newest;
	view->listed = ctrl_has_all(ctrl, tmr_now());
	view->list_complete_us = ep_complete_us(&ctrl->endpoints);
	view->synced_us = ctrl->synced_us;
	ctrl->view_complete = view->conf && view->listed;
	placer_on_change(ctrl->placer);
	traf_post_view(ctrl->router->traf, view);
}

/* Returns the time within which any change in the store must be in force on this host. */
static int64_t ctrl_change_limit_us(const struct ctrl *ctrl)
{
	const struct router_settings *s = &ctrl->router->settings;

	return tmr_from_ms(MIN(s->drain_ms, s->apply_ms));
}

void ctrl_fill_rank_host(const struct ctrl *ctrl, struct rank_state *host)
{
	*host = (struct rank_state){
		.reader = ctrl->rank.reader,
		.first_start = ctrl->router->settings.first_start,
		.settled = ctrl->settled,
		.fed = follow_is_fed(ctrl->follow),
		.can_serve = ctrl->view_complete,
		.reached = reader_is_current(ctrl),
		.awaits_feed = tmr_now() - ctrl->last_fed_us <
			       rank_feed_wait_us(&ctrl->rank, ctrl_change_limit_us(ctrl)),
		.relay = ctrl->rank.relay,
	};
}

int64_t ctrl_endpoints_delay_ms(const struct ctrl *ctrl)
{
	int64_t longer_ms = ctrl->router->settings.drain_ms - CTRL_LEAVE_MS;

	return MAX(longer_ms, (int64_t)0) / CTRL_DELAY_DIVISOR;
}

bool ctrl_polls_engines(const struct ctrl *ctrl)
{
	return rank_should_poll(&ctrl->round, &ctrl->rank, tmr_now());
}
