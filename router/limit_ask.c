#include "base/err.h"
#include "base/jl.h"
#include "lim/members.h"
#include "msg/kind.h"
#include "router/limits.h"
#include "router/rc.h"

#include <string.h>

static const char limit_ask_key[] = "home of the limits";

enum {
	/*
	 * Between two asks of a host that needs something, by the number of hosts: the home hears
	 * some thousand a second at the most. And of one that only says that it is there.
	 */
	LIMIT_ASK_LEAST_MS = 50,
	LIMIT_ASK_HOST_MS = 1,
	LIMIT_ASK_IDLE_MS = 1000,
	LIMIT_ASK_HEARTBEAT_MS = 400,
	LIMIT_ASK_SILENT_MS = 1000
};

struct limit_ask {
	struct rc *rc;
	struct limits *limits;
	struct limit_home *own; /* this host's, for when it is the home itself */
	struct frm_conn *conn;
	char *home;	  /* that is asked; NULL: none */
	int64_t asked_us; /* when; 0: not yet since this one is the home */
	int64_t heard_us; /* newest time of the home's clock that it has told */
	int64_t from_us;  /* no other home is asked before: the last one counts on this host */
	bool soon;
	struct tmr timer;
};

static int limit_ask_on_msg(void *ctx, struct frm_conn *conn, uint16_t kind, const uint8_t *body,
			    size_t len);
static void limit_ask_on_close(void *ctx, struct frm_conn *conn, int err);

static const struct frm_ops limit_ask_ops = {limit_ask_on_msg, limit_ask_on_close};

struct limit_ask *limit_ask_new(struct rc *rc, struct limits *limits, struct limit_home *home)
{
	struct limit_ask *ask = g_new0(struct limit_ask, 1);

	ask->rc = rc;
	ask->limits = limits;
	ask->own = home;
	return ask;
}

void limit_ask_free(struct limit_ask *ask)
{
	tmr_cancel(&ask->rc->loop->tmr, &ask->timer);
	if (ask->conn)
		frm_close(ask->conn);
	g_free(ask->home);
	g_free(ask);
}

const char *limit_ask_home(const struct limit_ask *ask)
{
	return ask->home;
}

static bool limit_ask_is_own(const struct limit_ask *ask)
{
	return ask->home && strcmp(ask->home, ask->rc->router->settings.name) == 0;
}

/* The home that was asked may give permits on this host's account until the lease ends. */
static void limit_ask_drop(struct limit_ask *ask)
{
	if (ask->asked_us > 0)
		ask->from_us = ask->asked_us + LIM_LEASE_US;
	ask->conn = NULL;
	ask->asked_us = 0;
	ask->heard_us = 0;
	ask->soon = false;
	g_clear_pointer(&ask->home, g_free);
}

static void limit_ask_leave(struct limit_ask *ask)
{
	if (ask->conn)
		frm_close(ask->conn);
	if (limit_ask_is_own(ask))
		limit_home_on_close(ask->own, NULL);
	limit_ask_drop(ask);
}

static void limit_ask_log(const struct limit_ask *ask, const char *event, const char *error)
{
	jl_begin(JL_KEEP, event);
	jl_str("home", ask->home);
	jl_str("error", error);
	jl_end();
}

static void limit_ask_connect(struct limit_ask *ask, const struct host *home)
{
	const struct frm_limits limits = {tmr_ms(LIMIT_ASK_HEARTBEAT_MS),
					  tmr_ms(LIMIT_ASK_SILENT_MS),
					  tmr_ms(LIMIT_ASK_HEARTBEAT_MS)};

	ask->home = g_strdup(home->name);
	if (!limit_ask_is_own(ask)) {
		ask->conn = frm_connect(ask->rc->loop, home->control_addr, &limit_ask_ops, &limits,
					ask);
		if (!ask->conn) {
			limit_ask_log(ask, "limit_home_bad_address", home->control_addr);
			limit_ask_drop(ask);
			return;
		}
		frm_set_active(ask->conn, true);
	}
	limit_ask_log(ask, "limit_home", NULL);
}

/* The home is the same for all hosts, unless they can't reach it; then the next one is. */
static void limit_ask_choose(struct limit_ask *ask, int64_t now_us)
{
	const struct host *home = follow_home(ask->rc->follow, limit_ask_key);

	if (!limits_bind(ask->limits)) {
		limit_ask_leave(ask);
		return;
	}
	if (ask->home && (!home || strcmp(home->name, ask->home) != 0))
		limit_ask_leave(ask);
	if (!ask->home && home && now_us >= ask->from_us)
		limit_ask_connect(ask, home);
}

static void limit_ask_send(struct limit_ask *ask, int64_t now_us)
{
	const char *name = ask->rc->router->settings.name;
	GArray *notes = limits_to_ask(ask->limits, now_us);
	Feed__LimitAsk msg = FEED__LIMIT_ASK__INIT;
	struct limit_items items;

	ask->asked_us = now_us;
	ask->soon = false;
	if (limit_ask_is_own(ask)) {
		limit_home_ask(ask->own, name, now_us, now_us, notes, NULL);
		g_array_unref(notes);
		return;
	}
	limit_items_init(&items, notes);
	msg.host = (char *)name;
	msg.sent_us = now_us;
	msg.heard_us = ask->heard_us;
	msg.items = items.refs;
	msg.n_items = items.n;
	frm_send(ask->conn, MSG_LIMIT_ASK, &msg.base);
	limit_items_finish(&items);
	g_array_unref(notes);
}

static int64_t limit_ask_due_us(const struct limit_ask *ask)
{
	int64_t hosts = g_hash_table_size(ask->rc->hosts);
	int64_t wait_ms = MAX(hosts * LIMIT_ASK_HOST_MS, (int64_t)LIMIT_ASK_LEAST_MS);

	if (ask->asked_us == 0)
		return 0;
	return ask->asked_us + tmr_ms(ask->soon ? wait_ms : LIMIT_ASK_IDLE_MS);
}

static void limit_ask_on_time(void *ctx, int64_t now_us)
{
	struct limit_ask *ask = ctx;

	(void)now_us;
	limit_ask_on_tick(ask, tmr_boot_now());
}

void limit_ask_on_tick(struct limit_ask *ask, int64_t now_us)
{
	limit_ask_choose(ask, now_us);
	if (ask->home && now_us >= limit_ask_due_us(ask))
		limit_ask_send(ask, now_us);
}

void limit_ask_soon(struct limit_ask *ask)
{
	int64_t wait_us;

	if (ask->soon)
		return;
	ask->soon = true;
	wait_us = MAX(limit_ask_due_us(ask) - tmr_boot_now(), 0);
	loop_after(ask->rc->loop, &ask->timer, wait_us, limit_ask_on_time, ask);
}

static int limit_ask_on_msg(void *ctx, struct frm_conn *conn, uint16_t kind, const uint8_t *body,
			    size_t len)
{
	struct limit_ask *ask = ctx;
	Feed__LimitGrant *msg;
	bool first = ask->heard_us == 0;

	(void)conn;
	if (kind != MSG_LIMIT_GRANT)
		return BASE_EFRAME;
	msg = feed__limit_grant__unpack(NULL, len, body);
	if (!msg)
		return BASE_EFRAME;
	ask->heard_us = MAX(ask->heard_us, msg->now_us);
	for (size_t i = 0; i < msg->n_items; i++) {
		struct limit_note note;

		limit_note_read(&note, msg->items[i], tmr_boot_now());
		note.asked_us = msg->asked_us;
		limits_grant(ask->limits, &note);
	}
	feed__limit_grant__free_unpacked(msg, NULL);
	/* The home counts this host from its second ask on, which shows that it got an answer. */
	if (first)
		limit_ask_soon(ask);
	return 0;
}

static void limit_ask_on_close(void *ctx, struct frm_conn *conn, int err)
{
	struct limit_ask *ask = ctx;

	(void)conn;
	limit_ask_log(ask, "limit_home_lost", base_strerror(err));
	follow_on_evidence(ask->rc->follow, ask->home,
			   err == BASE_ESILENT ? HOST_SILENT : HOST_REFUSED);
	limit_ask_drop(ask);
}
