#include "base/err.h"
#include "base/jl.h"
#include "lim/members.h"
#include "msg/kind.h"
#include "router/limits.h"
#include "router/ctrl.h"

#include <string.h>

/* Key by which all hosts choose the same home. */
static const char limit_ask_key[] = "home of the limits";

enum {
	/* Minimum interval between two asks of a host that needs permits, in ms. */
	LIMIT_ASK_MIN_MS = 50,
	/*
	 * Interval between two asks of a host that needs permits, in ms for each host of the
	 * system. It bounds the load of the home to about a thousand asks per second.
	 */
	LIMIT_ASK_PER_HOST_MS = 1,
	/*
	 * Interval between two asks of a host that needs no permits, in ms. It asks nevertheless,
	 * so that the home continues to count it.
	 */
	LIMIT_ASK_IDLE_MS = 1000,
	/* Interval between two heartbeats on the connection to the home, in ms. */
	LIMIT_ASK_HEARTBEAT_MS = 400,
	/* Silence after which the connection to the home counts as broken, in ms. */
	LIMIT_ASK_SILENT_MS = 1000
};

struct limit_ask {
	struct ctrl *ctrl;
	struct limits *limits;
	struct limit_home *own; /* home that runs on this host, used if this host is chosen */
	struct frm_conn *conn;	/* connection to the home; NULL if there is none or it is local */
	char *home;		/* name of the host that is the home; NULL if none is chosen */
	int64_t asked_us;	/* time of the last ask to this home, in microseconds; 0 if none */
	/* newest time received of the home's clock, in microseconds; 0 if none */
	int64_t home_time_us;
	/*
	 * Time before which no other home is asked, in microseconds; until then the last home still
	 * counts this host.
	 */
	int64_t next_home_us;
	bool scheduled;	  /* the timer is set for an ask before the idle interval ends */
	struct tmr timer; /* timer of the scheduled ask */
};

static int limit_ask_on_msg(void *ctx, struct frm_conn *conn, uint16_t kind, const uint8_t *body,
			    size_t len);
static void limit_ask_on_close(void *ctx, struct frm_conn *conn, int err);

static const struct frm_ops limit_ask_ops = {limit_ask_on_msg, limit_ask_on_close};

struct limit_ask *limit_ask_new(struct ctrl *ctrl, struct limits *limits, struct limit_home *home)
{
	struct limit_ask *ask = g_new0(struct limit_ask, 1);

	ask->ctrl = ctrl;
	ask->limits = limits;
	ask->own = home;
	return ask;
}

void limit_ask_free(struct limit_ask *ask)
{
	tmr_cancel(&ask->ctrl->loop->tmr, &ask->timer);
	if (ask->conn)
		frm_close(ask->conn);
	g_free(ask->home);
	g_free(ask);
}

const char *limit_ask_home_name(const struct limit_ask *ask)
{
	return ask->home;
}

static bool limit_ask_is_local(const struct limit_ask *ask)
{
	return ask->home && strcmp(ask->home, ask->ctrl->router->settings.name) == 0;
}

/*
 * Forgets the home. Until the lease of this host ends, that home may still issue permits on its
 * behalf, so no other home is asked before.
 */
static void limit_ask_reset(struct limit_ask *ask)
{
	if (ask->asked_us > 0)
		ask->next_home_us = ask->asked_us + LIM_LEASE_US;
	ask->conn = NULL;
	ask->asked_us = 0;
	ask->home_time_us = 0;
	ask->scheduled = false;
	g_clear_pointer(&ask->home, g_free);
}

static void limit_ask_disconnect(struct limit_ask *ask)
{
	if (ask->conn)
		frm_close(ask->conn);
	if (limit_ask_is_local(ask))
		limit_home_on_close(ask->own, NULL);
	limit_ask_reset(ask);
}

static void limit_ask_log(const struct limit_ask *ask, const char *event, const char *error)
{
	jl_begin(JL_UNLIMITED, event);
	jl_str("home", ask->home);
	jl_str("error", error);
	jl_end();
}

static void limit_ask_connect(struct limit_ask *ask, const struct host *home)
{
	const struct frm_limits limits = {tmr_from_ms(LIMIT_ASK_HEARTBEAT_MS),
					  tmr_from_ms(LIMIT_ASK_SILENT_MS),
					  tmr_from_ms(LIMIT_ASK_HEARTBEAT_MS)};

	ask->home = g_strdup(home->name);
	if (!limit_ask_is_local(ask)) {
		ask->conn = frm_connect(ask->ctrl->loop, home->control_addr, &limit_ask_ops,
					&limits, ask);
		if (!ask->conn) {
			limit_ask_log(ask, "limit_home_bad_address", home->control_addr);
			limit_ask_reset(ask);
			return;
		}
		frm_set_active(ask->conn, true);
	}
	limit_ask_log(ask, "limit_home", NULL);
}

/*
 * Connects to the home while any limit is in force, and changes to another home when the choice
 * changes. All hosts choose the same one; a host that can't reach it chooses the next candidate.
 */
static void limit_ask_update_home(struct limit_ask *ask, int64_t now_us)
{
	const struct host *home = follow_key_owner(ask->ctrl->follow, limit_ask_key);

	if (!limits_any_binding(ask->limits)) {
		limit_ask_disconnect(ask);
		return;
	}
	if (ask->home && (!home || strcmp(home->name, ask->home) != 0))
		limit_ask_disconnect(ask);
	if (!ask->home && home && now_us >= ask->next_home_us)
		limit_ask_connect(ask, home);
}

static void limit_ask_send(struct limit_ask *ask, int64_t now_us)
{
	const char *name = ask->ctrl->router->settings.name;
	GArray *updates = limits_collect_demand(ask->limits, now_us);
	Feed__LimitAsk msg = FEED__LIMIT_ASK__INIT;
	struct limit_items items;

	ask->asked_us = now_us;
	ask->scheduled = false;
	if (limit_ask_is_local(ask)) {
		limit_home_on_ask(ask->own, name, now_us, now_us, updates, NULL);
		g_array_unref(updates);
		return;
	}
	limit_items_init(&items, updates);
	msg.host = (char *)name;
	msg.sent_us = now_us;
	msg.heard_us = ask->home_time_us;
	msg.items = items.refs;
	msg.n_items = items.n;
	frm_send(ask->conn, MSG_LIMIT_ASK, &msg.base);
	limit_items_finish(&items);
	g_array_unref(updates);
}

static int64_t limit_ask_due_us(const struct limit_ask *ask)
{
	int64_t hosts = g_hash_table_size(ask->ctrl->hosts);
	int64_t wait_ms = MAX(hosts * LIMIT_ASK_PER_HOST_MS, (int64_t)LIMIT_ASK_MIN_MS);

	if (ask->asked_us == 0)
		return 0;
	return ask->asked_us + tmr_from_ms(ask->scheduled ? wait_ms : LIMIT_ASK_IDLE_MS);
}

static void limit_ask_on_timer(void *ctx, int64_t now_us)
{
	struct limit_ask *ask = ctx;

	(void)now_us;
	limit_ask_on_tick(ask, tmr_boot_now());
}

void limit_ask_on_tick(struct limit_ask *ask, int64_t now_us)
{
	limit_ask_update_home(ask, now_us);
	if (ask->home && now_us >= limit_ask_due_us(ask))
		limit_ask_send(ask, now_us);
}

void limit_ask_schedule(struct limit_ask *ask)
{
	int64_t wait_us;

	if (ask->scheduled)
		return;
	ask->scheduled = true;
	wait_us = MAX(limit_ask_due_us(ask) - tmr_boot_now(), 0);
	loop_start_timer(ask->ctrl->loop, &ask->timer, wait_us, limit_ask_on_timer, ask);
}

static int limit_ask_on_msg(void *ctx, struct frm_conn *conn, uint16_t kind, const uint8_t *body,
			    size_t len)
{
	struct limit_ask *ask = ctx;
	Feed__LimitGrant *msg;
	bool first = ask->home_time_us == 0;

	(void)conn;
	if (kind != MSG_LIMIT_GRANT)
		return BASE_EFRAME;
	msg = feed__limit_grant__unpack(NULL, len, body);
	if (!msg)
		return BASE_EFRAME;
	ask->home_time_us = MAX(ask->home_time_us, msg->now_us);
	for (size_t i = 0; i < msg->n_items; i++) {
		struct limit_update update;

		limit_update_unpack(&update, msg->items[i], tmr_boot_now());
		update.asked_us = msg->asked_us;
		limits_deliver_permits(ask->limits, &update);
	}
	feed__limit_grant__free_unpacked(msg, NULL);
	/*
	 * The home counts this host from its second ask on, which proves that this host has
	 * received a response.
	 */
	if (first)
		limit_ask_schedule(ask);
	return 0;
}

static void limit_ask_on_close(void *ctx, struct frm_conn *conn, int err)
{
	struct limit_ask *ask = ctx;

	(void)conn;
	limit_ask_log(ask, "limit_home_lost", base_strerror(err));
	follow_on_contact_result(ask->ctrl->follow, ask->home,
				 err == BASE_ESILENT ? HOST_TIMED_OUT : HOST_REFUSED);
	limit_ask_reset(ask);
}
