#include "base/jl.h"
#include "base/met.h"
#include "router/ctrl.h"
#include "router/state_load.h"
#include "router/traffic_body.h"
#include "router/traffic.h"

#include <jansson.h>
#include <string.h>

/*
 * A request of an operator for the state of this host, or for clearing a quarantined request. Each
 * thread adds the part of the state that it maintains: first the control thread, then the traffic
 * thread, which sends the answer.
 */
struct state {
	struct router *router;
	struct hd_call *call; /* the HTTP request to answer */
	json_t *json;	      /* the state as far as it has been collected */
	char *content;	      /* digest of the quarantined request to clear; owned */
};

static void state_add_control_part(void *ctx);
static void state_add_traffic_part(void *ctx);

static const char *const state_names[] = {
	[EP_READY] = "ready",
	[EP_DRAINING] = "draining",
};

void state_reply(struct router *router, struct hd_call *call)
{
	struct state *state = g_new0(struct state, 1);

	state->router = router;
	state->call = call;
	loop_post(router->ctrl->loop, state_add_control_part, state);
}

static json_t *state_hosts(const struct ctrl *ctrl)
{
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, ctrl->hosts);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const struct ctrl_host *host = value;

		json_array_append_new(list, json_pack("{s:s, s:s, s:f}", "name", name, "addr",
						      host->addr, "capacity", host->capacity));
	}
	return list;
}

/*
 * Returns the time since this host or its feeder last reached the store, in milliseconds; -1 if
 * neither ever did.
 */
static int64_t state_age_ms(const struct ctrl *ctrl, int64_t now_us)
{
	return ctrl->synced_us > 0 ? (now_us - ctrl->synced_us) / TMR_US_PER_MS : -1;
}

/* Describes a configuration or settings in force: digest, since when, and where they came from. */
static json_t *state_origin(const struct router_origin *origin, json_int_t version)
{
	char digest[17];

	g_snprintf(digest, sizeof(digest), "%016" G_GINT64_MODIFIER "x", origin->digest);
	return json_pack("{s:I, s:s, s:I, s:s}", "version", version, "digest", digest, "since_ms",
			 (json_int_t)origin->since_ms, "by", origin->by);
}

static void state_add_quarantined(void *ctx, const struct quar_entry *entry)
{
	int64_t now_us = tmr_now();
	char content[QUAR_KEY_TEXT_LEN + 1];

	if (!quar_is_propagated(entry))
		return;
	quar_key_format(&entry->key, content);
	json_array_append_new(
		ctx, json_pack("{s:s, s:s, s:i, s:i, s:i, s:I, s:I}", "content", content, "account",
			       entry->account, "crashes", entry->n, "points",
			       quar_entry_points(entry), "term", entry->terms, "refused_ms",
			       (json_int_t)(MAX(entry->until_us - now_us, 0) / TMR_US_PER_MS),
			       "age_ms", (json_int_t)(now_us - entry->last_us) / TMR_US_PER_MS));
}

static json_t *state_quarantine(const struct ctrl *ctrl)
{
	json_t *list = json_array();

	quar_foreach(quarantine_table(ctrl->quarantine), state_add_quarantined, list);
	return list;
}

/* Returns the points of all crashes of a part, before any judgment. */
static int state_part_points(const struct part_entry *entry)
{
	int points = 0;

	for (int i = 0; i < entry->n; i++)
		points += entry->crashes[i].points == PART_ENDPOINT_ALIVE
				  ? 0
				  : entry->crashes[i].points;
	return points;
}

static void state_add_part(void *ctx, const struct part_entry *entry)
{
	const struct quar_key key = quar_key_of_part(entry->id);
	int64_t now_us = tmr_now();
	char content[QUAR_KEY_TEXT_LEN + 1];

	if (entry->n == 0)
		return;
	quar_key_format(&key, content);
	json_array_append_new(
		ctx, json_pack("{s:s, s:i, s:i, s:i, s:I, s:I}", "content", content, "crashes",
			       entry->n, "points", state_part_points(entry), "position",
			       entry->position, "went_on_ms_ago",
			       (json_int_t)(entry->proved_us == PART_NEVER
						    ? -1
						    : (now_us - entry->proved_us) / TMR_US_PER_MS),
			       "age_ms", (json_int_t)(now_us - entry->last_us) / TMR_US_PER_MS));
}

static json_t *state_parts(const struct ctrl *ctrl)
{
	json_t *list = json_array();

	part_foreach(quarantine_parts(ctrl->quarantine), state_add_part, list);
	return list;
}

static void state_add_origins(json_t *json, const struct ctrl *ctrl)
{
	const struct router *router = ctrl->router;

	json_object_set_new(
		json, "runs",
		json_pack("{s:o, s:o, s:s}", "configuration",
			  state_origin(&ctrl->conf_origin, ctrl->conf ? ctrl->conf->version : -1),
			  "settings", state_origin(&router->settings_origin, 0), "waiting",
			  router->settings_waiting ? router->settings_waiting : ""));
}

static void state_add_control_part(void *ctx)
{
	struct state *state = ctx;
	const struct ctrl *ctrl = state->router->ctrl;

	state->json = json_pack(
		"{s:s, s:I, s:I, s:I, s:I, s:b, s:b, s:b, s:b, s:s?, s:b, s:I, s:o}", "host",
		state->router->settings.name, "configuration",
		(json_int_t)(ctrl->conf ? ctrl->conf->version : -1), "era",
		(json_int_t)(ctrl->era.known ? ctrl->era.now : ERA_NONE), "generation",
		(json_int_t)era_generation_of_fence(ctrl->lead.newest), "fence",
		(json_int_t)ctrl->lead.newest, "reads_store", ctrl->direct, "asks_engines",
		ctrl_polls_engines(ctrl), "places_layers", member_may_give_orders(ctrl), "noted",
		recall_is_saved(ctrl->recall), "feeder", follow_feeder(ctrl->follow), "fed",
		follow_is_fed(ctrl->follow), "store_age_ms",
		(json_int_t)state_age_ms(ctrl, tmr_now()), "hosts", state_hosts(ctrl));
	state_add_origins(state->json, ctrl);
	json_object_set_new(state->json, "quarantine", state_quarantine(ctrl));
	json_object_set_new(state->json, "parts", state_parts(ctrl));
	json_object_set_new(state->json, "limits", limits_to_json(ctrl->limits));
	loop_post(&state->router->traf->loop, state_add_traffic_part, state);
}

static int64_t state_remaining_ms(int64_t until_us, int64_t now_us)
{
	return MAX(until_us - now_us, 0) / TMR_US_PER_MS;
}

static const char *const state_verdicts[] = {
	[REACH_ANSWERS] = "answers",
	[REACH_UNCLEAR] = "unclear",
	[REACH_NOT_HERE] = "not_here",
	[REACH_SILENT] = "silent",
};

static json_t *state_endpoint(const struct traf *traf, const struct traf_ep *ep, int64_t now_us)
{
	const struct ep_rec *rec = ep->rec;
	enum reach_verdict verdict = reach_judge(way_reach(traf->way), rec->addr);

	return json_pack("{s:s, s:I, s:s, s:s, s:s, s:s?, s:s, s:i, s:i, s:i, s:f, s:f, s:I, s:I, "
			 "s:I, s:i, s:I, s:s}",
			 "id", rec->id, "born_ms", (json_int_t)rec->born_ms, "service",
			 rec->service, "addr", rec->addr, "zone", rec->zone, "kind", rec->kind,
			 "state", state_names[rec->state], "from", rec->layer_from, "to",
			 rec->layer_to, "in_flight", ep->in_flight, "pace",
			 ep->load_us > 0 ? ep->pace : 1.0, "full", ep->full, "doubted_ms",
			 (json_int_t)state_remaining_ms(ep->doubt.until_us, now_us), "suspected_ms",
			 (json_int_t)state_remaining_ms(ep->suspect_us, now_us), "rest_ms",
			 (json_int_t)state_remaining_ms(ep->rest.until_us, now_us), "permits",
			 ep->limit.permits, "permits_used", (json_int_t)ep->limit_used, "reach",
			 state_verdicts[verdict]);
}

/* Lists the endpoints that asked this host to send nothing for a while, and the remaining time. */
static json_t *state_rests(const struct traf *traf, int64_t now_us)
{
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, traf->eps);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct traf_ep *ep = value;
		int64_t left_ms = state_remaining_ms(ep->rest.until_us, now_us);

		if (left_ms > 0)
			json_array_append_new(
				list, json_pack("{s:s, s:s, s:s, s:I, s:I, s:s?}", "endpoint",
						ep->rec->incarnation, "addr", ep->rec->addr, "host",
						traf->router->settings.name, "left_ms",
						(json_int_t)left_ms, "age_ms",
						(json_int_t)(now_us - ep->rest_demanded_us) /
							TMR_US_PER_MS,
						"said_to", ep->rest_demanded_by));
	}
	return list;
}

static json_t *state_endpoints(const struct traf *traf, int64_t now_us)
{
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, traf->eps);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		json_array_append_new(list, state_endpoint(traf, value, now_us));
	return list;
}

static json_t *state_accounts(const struct traf *traf, int64_t now_us)
{
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, traf->share.accounts);
	while (g_hash_table_iter_next(&iter, &name, &value))
		json_array_append_new(list, json_pack("{s:s, s:f}", "name", name, "tokens",
						      sh_tokens_used(value, now_us)));
	return list;
}

static json_t *state_budgets(const struct traf *traf, int64_t now_us)
{
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, traf->budgets);
	while (g_hash_table_iter_next(&iter, &name, &value))
		json_array_append_new(list,
				      json_pack("{s:s, s:f, s:f}", "service", name, "left",
						bud_retries_left(value, now_us), "requests_per_s",
						bud_request_rate(value, now_us)));
	return list;
}

/* Lists the requests whose callers hold their endpoint back. */
static json_t *state_answers(const struct traf *traf, int64_t now_us)
{
	json_t *list = json_array();

	for (guint i = 0; i < traf->reqs->len; i++) {
		const struct txn *txn = traf->reqs->pdata[i];

		if (txn_held_ms(txn, now_us) > 0)
			json_array_append_new(list, txn_describe_held(txn, now_us));
	}
	return list;
}

static void state_add_reach(json_t *json, const struct traf *traf)
{
	const struct reach *reach = way_reach(traf->way);

	json_object_set_new(json, "endpoints_not_reached",
			    json_integer(reach_count_not_here(reach)));
	json_object_set_new(json, "isolated", json_boolean(reach_is_isolated(reach)));
	json_object_set_new(json, "tunnels", json_integer(way_open_tunnels(traf->way)));
	json_object_set_new(json, "tunnels_carried",
			    json_integer(gateway_open_tunnels(traf->gateway)));
}

/* Adds the bytes of requests' bodies that are held, and their bound. */
static void state_add_bodies(json_t *json, const struct traf *traf)
{
	json_object_set_new(json, "bodies_bytes",
			    json_integer((json_int_t)hd_bodies_total(traf->router->front)));
	json_object_set_new(json, "bodies_bytes_max",
			    json_integer((json_int_t)traf_body_total_max(traf->body)));
}

static void state_add_traffic_part(void *ctx)
{
	struct state *state = ctx;
	const struct traf *traf = state->router->traf;
	int64_t now_us = tmr_now();
	char *text;

	json_object_set_new(state->json, "requests", json_integer(traf->reqs->len));
	state_add_reach(state->json, traf);
	state_add_bodies(state->json, traf);
	json_object_set_new(state->json, "endpoints", state_endpoints(traf, now_us));
	json_object_set_new(state->json, "rests", state_rests(traf, now_us));
	json_object_set_new(state->json, "answers", state_answers(traf, now_us));
	json_object_set_new(state->json, "ranges", state_ranges(traf, now_us));
	json_object_set_new(state->json, "classes", state_classes(traf, now_us));
	json_object_set_new(state->json, "accounts", state_accounts(traf, now_us));
	json_object_set_new(state->json, "budgets", state_budgets(traf, now_us));
	text = json_dumps(state->json, JSON_COMPACT | JSON_REAL_PRECISION(4));
	if (text)
		hd_reply(state->call, 200, "application/json", text, strlen(text));
	else
		hd_reply(state->call, 500, "text/plain", "", 0);
	free(text);
	hd_unref(state->call);
	json_decref(state->json);
	g_free(state);
}

static void state_clear_on_control(void *ctx)
{
	struct state *state = ctx;
	char *content = state->content;
	int n = quarantine_clear(state->router->ctrl->quarantine, content);
	char text[32];

	g_snprintf(text, sizeof(text), "{\"cleared\":%d}", n);
	hd_reply(state->call, n > 0 ? 200 : 404, "application/json", text, strlen(text));
	hd_unref(state->call);
	g_free(content);
	g_free(state);
}

void state_clear_quarantine(struct router *router, struct hd_call *call)
{
	const char *content = hd_query(call, "content");
	struct state *state = g_new0(struct state, 1);

	state->router = router;
	state->call = call;
	state->content = g_strdup(content ? content : "");
	loop_post(router->ctrl->loop, state_clear_on_control, state);
}

void state_update_gauges(const struct ctrl *ctrl, int64_t now_us)
{
	met_set(met_gauge("bg_configuration_version", ""),
		(uint64_t)(ctrl->conf ? ctrl->conf->version : 0));
	met_set(met_gauge("bg_store_age_ms", ""), (uint64_t)MAX(state_age_ms(ctrl, now_us), 0));
	met_set(met_gauge("bg_store_era", ""), (uint64_t)ctrl->era.now);
	met_set(met_gauge("bg_reads_store", ""), ctrl->direct);
	met_set(met_gauge("bg_fed", ""), follow_is_fed(ctrl->follow));
	met_set(met_gauge("bg_places_layers", ""), member_may_give_orders(ctrl));
	met_set(met_gauge("bg_hosts", ""), g_hash_table_size(ctrl->hosts));
	met_set(met_gauge("bg_endpoints", ""), g_hash_table_size(ctrl->endpoints.entries));
}
