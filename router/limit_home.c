#include "base/err.h"
#include "base/jl.h"
#include "base/met.h"
#include "lim/home.h"
#include "lim/members.h"
#include "msg/kind.h"
#include "router/limits.h"
#include "router/ctrl.h"

#include <string.h>

enum {
	/* Time in ms after which a limit that no host asks for is removed. */
	LIMIT_HOME_KEEP_MS = 30000,
	/* Interval between two updates of the list of hosts, in ms. */
	LIMIT_HOME_UPDATE_MS = 1000
};

/* The limit of one endpoint that this home divides. */
struct limit_divided {
	struct lim_home home; /* the limit and the demand of each host */
	/* time at which a host last asked for permits of this limit, in microseconds */
	int64_t asked_us;
};

/* A host that asks this home for permits. */
struct limit_asker {
	struct frm_conn *conn; /* connection to the host; NULL if it is this host */
	/* time at which the host sent its last ask, in microseconds of its own clock */
	int64_t sent_us;
};

struct limit_home {
	struct ctrl *ctrl;
	struct limits *limits;
	GHashTable *divided; /* incarnation of an endpoint -> struct limit_divided */
	GHashTable *askers;  /* name of a host -> struct limit_asker */
	struct lim_members
		members;   /* hosts that ask this home; they determine its fraction of each limit */
	int64_t update_us; /* time of the next update of the list of hosts, in microseconds */
	struct tmr timer;  /* timer that expires when the next permit may be issued */
};

static void limit_home_issue(void *ctx, int64_t now_us);

static void limit_divided_free(gpointer data)
{
	struct limit_divided *divided = data;

	lim_home_finish(&divided->home);
	g_free(divided);
}

struct limit_home *limit_home_new(struct ctrl *ctrl, struct limits *limits)
{
	struct limit_home *home = g_new0(struct limit_home, 1);

	home->ctrl = ctrl;
	home->limits = limits;
	home->divided = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, limit_divided_free);
	home->askers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	lim_members_init(&home->members);
	return home;
}

void limit_home_free(struct limit_home *home)
{
	tmr_cancel(&home->ctrl->loop->tmr, &home->timer);
	g_hash_table_destroy(home->divided);
	g_hash_table_destroy(home->askers);
	lim_members_finish(&home->members);
	g_free(home);
}

unsigned int limit_home_host_count(const struct limit_home *home)
{
	return lim_members_leased_count(&home->members, tmr_boot_now());
}

double limit_home_fraction(const struct limit_home *home)
{
	return lim_members_limit_ratio(&home->members, tmr_boot_now());
}

static struct limit_divided *
limit_home_get_divided(struct limit_home *home, const struct limit_update *update, int64_t now_us)
{
	struct limit_divided *divided = g_hash_table_lookup(home->divided, update->endpoint);

	if (!divided) {
		divided = g_new0(struct limit_divided, 1);
		lim_home_init(&divided->home, now_us);
		g_hash_table_insert(home->divided, g_strdup(update->endpoint), divided);
	}
	if (update->limit.stated_us > divided->home.news.stated_us)
		lim_home_set_limit(&divided->home, &update->limit, now_us);
	divided->asked_us = now_us;
	return divided;
}

/*
 * Sends a permit for one request to the endpoint. If endpoint is NULL, the message contains no
 * permit; it only acknowledges the ask.
 */
static void limit_home_send(struct limit_home *home, const struct limit_asker *asker,
			    const char *endpoint)
{
	Feed__LimitGrant msg = FEED__LIMIT_GRANT__INIT;
	Feed__Limit item = FEED__LIMIT__INIT;
	Feed__Limit *refs[] = {&item};

	if (!asker->conn) {
		const struct limit_update update = {
			.endpoint = (char *)endpoint, .permits = 1, .asked_us = asker->sent_us};

		if (endpoint)
			limits_deliver_permits(home->limits, &update);
		return;
	}
	msg.asked_us = asker->sent_us;
	msg.now_us = tmr_boot_now();
	if (endpoint) {
		item.endpoint = (char *)endpoint;
		item.permits = 1;
		msg.items = refs;
		msg.n_items = 1;
	}
	frm_send(asker->conn, MSG_LIMIT_GRANT, &msg.base);
}

static void limit_home_issue_for(struct limit_home *home, const char *endpoint,
				 struct lim_home *divided, double fraction)
{
	int64_t now_us = tmr_boot_now();
	const char *host;

	while ((host = lim_home_grant_next(divided, fraction, now_us))) {
		const struct limit_asker *asker = g_hash_table_lookup(home->askers, host);

		if (asker)
			limit_home_send(home, asker, endpoint);
	}
}

/* Issues all permits that are available now, and sets a timer for the next ones. */
static void limit_home_issue(void *ctx, int64_t now_us)
{
	struct limit_home *home = ctx;
	int64_t boot_us = tmr_boot_now();
	double fraction = lim_members_limit_ratio(&home->members, boot_us);
	int64_t next_us = -1;
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	(void)now_us;
	g_hash_table_iter_init(&iter, home->divided);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		struct limit_divided *divided = value;
		int64_t wait_us;

		limit_home_issue_for(home, name, &divided->home, fraction);
		wait_us = lim_home_grant_delay_us(&divided->home, fraction, boot_us);
		if (wait_us >= 0 && (next_us < 0 || wait_us < next_us))
			next_us = wait_us;
	}
	if (next_us >= 0)
		loop_start_timer(home->ctrl->loop, &home->timer, next_us, limit_home_issue, home);
}

void limit_home_on_ask(struct limit_home *home, const char *host, int64_t sent_us,
		       int64_t home_time_us, const GArray *updates, struct frm_conn *conn)
{
	int64_t now_us = tmr_boot_now();
	struct limit_asker *asker = g_hash_table_lookup(home->askers, host);

	if (!asker) {
		asker = g_new0(struct limit_asker, 1);
		g_hash_table_insert(home->askers, g_strdup(host), asker);
	}
	asker->conn = conn;
	asker->sent_us = sent_us;
	/*
	 * The host sent this ask after it received home_time_us, and asks no other home until the
	 * lease that began at that time ends.
	 */
	if (home_time_us > 0 && home_time_us <= now_us)
		lim_members_renew_lease(&home->members, host, home_time_us);
	for (guint i = 0; i < updates->len; i++) {
		const struct limit_update *update = &g_array_index(updates, struct limit_update, i);
		struct limit_divided *divided = limit_home_get_divided(home, update, now_us);

		lim_home_report_demand(&divided->home, host, update->wanted, update->returned,
				       now_us);
	}
	limit_home_send(home, asker, NULL);
	limit_home_issue(home, tmr_now());
}

int limit_home_on_msg(struct limit_home *home, struct frm_conn *conn, const uint8_t *body,
		      size_t len)
{
	Feed__LimitAsk *msg = feed__limit_ask__unpack(NULL, len, body);
	GArray *updates;

	if (!msg)
		return BASE_EFRAME;
	updates = limit_updates_new();
	for (size_t i = 0; i < msg->n_items; i++) {
		struct limit_update update;

		limit_update_unpack(&update, msg->items[i], tmr_boot_now());
		limits_merge(home->limits, &update, conn);
		update.endpoint = g_strdup(update.endpoint);
		g_array_append_val(updates, update);
	}
	limit_home_on_ask(home, msg->host, msg->sent_us, msg->heard_us, updates, conn);
	g_array_unref(updates);
	feed__limit_ask__free_unpacked(msg, NULL);
	return 0;
}

/*
 * Removes the host, which has left or was killed, so that its part of the limits goes to the
 * others.
 */
void limit_home_on_close(struct limit_home *home, const struct frm_conn *conn)
{
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, home->askers);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		GHashTableIter each;
		gpointer divided;

		if (((struct limit_asker *)value)->conn != conn)
			continue;
		g_hash_table_iter_init(&each, home->divided);
		while (g_hash_table_iter_next(&each, NULL, &divided))
			lim_home_remove_host(&((struct limit_divided *)divided)->home, name);
		lim_members_end_lease(&home->members, name);
		g_hash_table_iter_remove(&iter);
	}
}

static void limit_home_update_members(struct limit_home *home, int64_t now_us)
{
	GPtrArray *names = g_ptr_array_new();
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, home->ctrl->hosts);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		g_ptr_array_add(names, name);
	lim_members_set_hosts(&home->members, names, now_us);
	g_ptr_array_unref(names);
}

void limit_home_on_tick(struct limit_home *home, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	if (now_us < home->update_us)
		return;
	home->update_us = now_us + tmr_from_ms(LIMIT_HOME_UPDATE_MS);
	if (home->ctrl->hosts_known)
		limit_home_update_members(home, now_us);
	g_hash_table_iter_init(&iter, home->divided);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct limit_divided *divided = value;

		if (now_us - divided->asked_us > tmr_from_ms(LIMIT_HOME_KEEP_MS))
			g_hash_table_iter_remove(&iter);
	}
	met_set(met_gauge("bg_limits_divided", ""), g_hash_table_size(home->divided));
}
