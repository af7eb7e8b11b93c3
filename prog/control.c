#include "prog/control.h"
#include "base/err.h"
#include "base/log.h"
#include "base/met.h"
#include "msg/kind.h"

#include <string.h>

enum {
	CONTROL_BODY_MAX = 8 << 20,	    /* Limit of an operator's HTTP body, in bytes. */
	CONTROL_TICK_US = 50000,	    /* Interval of the periodic work, in microseconds. */
	CONTROL_SNAPSHOTS_PER_RETENTION = 4 /* Snapshots within the retention time of the log. */
};

typedef int (*control_msg_fn)(struct control *c, struct frm_conn *conn, const uint8_t *body,
			      size_t len);

static int control_on_msg(void *ctx, struct frm_conn *conn, uint16_t kind, const uint8_t *body,
			  size_t len);
static void control_on_close(void *ctx, struct frm_conn *conn, int err);

#define CONTROL_FIELD(field) offsetof(struct control_settings, field)

static const struct settings_item control_setting_items[] = {
	{"host", "name", SETTINGS_TEXT, CONTROL_FIELD(name), NULL, 1, 0},
	{"host", "zone", SETTINGS_TEXT, CONTROL_FIELD(zone), NULL, 1, 0},
	{"host", "entry_peer", SETTINGS_ADDR, CONTROL_FIELD(peer_addr), NULL, 0, 0},
	{"control", "listen", SETTINGS_ADDR, CONTROL_FIELD(listen), NULL, 0, 0},
	{"control", "operators", SETTINGS_ADDR, CONTROL_FIELD(operator_addr), NULL, 0, 0},
	{"control", "bootstrap", SETTINGS_TEXT, CONTROL_FIELD(bootstrap), "", 0, 0},
	{"control", "policy", SETTINGS_TEXT, CONTROL_FIELD(policy), "flow", 1, 0},
	{"control", "seed", SETTINGS_INT, CONTROL_FIELD(seed), "1", 0, INT32_MAX},
	{"control", "drain_ms", SETTINGS_INT, CONTROL_FIELD(drain_ms), "1500", 0, 600000},
	{"platform", "address", SETTINGS_ADDR, CONTROL_FIELD(platform), NULL, 0, 0},
	{"platform", "retention_s", SETTINGS_INT, CONTROL_FIELD(retention_s), "3600", 1, 1000000},
	{"platform", "hosts_ms", SETTINGS_INT, CONTROL_FIELD(hosts_ms), "1000", 10, 600000},
	{"platform", "append_ms", SETTINGS_INT, CONTROL_FIELD(append_ms), "1000", 10, 600000},
	{"peers", "heartbeat_ms", SETTINGS_INT, CONTROL_FIELD(heartbeat_ms), "300", 10, 600000},
	{"peers", "silent_ms", SETTINGS_INT, CONTROL_FIELD(silent_ms), "900", 10, 600000},
	{"peers", "idle_ms", SETTINGS_INT, CONTROL_FIELD(idle_ms), "5000", 10, 600000},
	{"peers", "suspect_ms", SETTINGS_INT, CONTROL_FIELD(suspect_ms), "2000", 10, 600000},
	{"peers", "gossip_ms", SETTINGS_INT, CONTROL_FIELD(gossip_ms), "1000", 10, 600000},
	{"endpoints", "overlap_percent", SETTINGS_INT, CONTROL_FIELD(overlap_percent), "150", 1,
	 1000},
	{"endpoints", "load_ms", SETTINGS_INT, CONTROL_FIELD(load_ms), "1000", 10, 600000},
	{"endpoints", "load_timeout_ms", SETTINGS_INT, CONTROL_FIELD(load_timeout_ms), "400", 10,
	 600000},
	{"endpoints", "lease_ms", SETTINGS_INT, CONTROL_FIELD(lease_ms), "5000", 100, 600000},
	{"claims", "partitions", SETTINGS_INT, CONTROL_FIELD(claim_partitions), "64", 1, 4096},
	{"claims", "life_s", SETTINGS_INT, CONTROL_FIELD(claim_life_s), "1800", 1, 1000000},
};

static const control_msg_fn control_msg_handlers[MSG_KIND_COUNT] = {
	[MSG_POOL_ASK] = control_on_ask,	   [MSG_POOL_WITHDRAW] = control_on_withdraw,
	[MSG_POOL_DONE] = control_on_done,	   [MSG_POOL_HOLDING] = control_on_holding,
	[MSG_ONCE_CLAIM] = control_on_claim,	   [MSG_ONCE_RELEASE] = control_on_release,
	[MSG_CONF_REVISION] = control_on_revision, [MSG_CONF_FETCH] = control_on_fetch,
	[MSG_CONF_STATE] = control_on_state,	   [MSG_CONF_IN_FORCE] = control_on_in_force,
	[MSG_CONF_HOSTS] = control_on_hosts_msg,
};

const struct frm_ops control_frm_ops = {control_on_msg, control_on_close};

/* Returns the state of a connection; creates it at the connection's first message. */
static struct control_conn *control_conn_get(struct control *c, struct frm_conn *conn)
{
	struct control_conn *peer = frm_user_data(conn);

	if (peer)
		return peer;
	peer = g_new0(struct control_conn, 1);
	peer->conn = conn;
	peer->id = ++c->last_conn_id;
	frm_set_user_data(conn, peer);
	g_hash_table_insert(c->conns, &peer->id, peer);
	return peer;
}

static int control_on_msg(void *ctx, struct frm_conn *conn, uint16_t kind, const uint8_t *body,
			  size_t len)
{
	struct control *c = ctx;

	if (kind >= MSG_KIND_COUNT || !control_msg_handlers[kind])
		return BASE_EFRAME;
	control_conn_get(c, conn);
	return control_msg_handlers[kind](c, conn, body, len);
}

static void control_on_close(void *ctx, struct frm_conn *conn, int err)
{
	log_msg(LOG_DEBUG, "connection_closed reason=\"%s\"", base_strerror(err));
	control_conn_remove(ctx, conn);
}

void control_conn_remove(struct control *c, struct frm_conn *conn)
{
	struct control_conn *peer = frm_user_data(conn);

	control_gossip_peer_closed(c, conn);
	if (!peer)
		return;
	g_hash_table_remove(c->conns, &peer->id);
	control_pools_conn_closed(c, peer->id);
	control_once_conn_closed(c, peer->id);
	frm_set_user_data(conn, NULL);
	g_free(peer);
}

static void control_on_tick(void *ctx, int64_t now_us)
{
	struct control *c = ctx;

	c->cpu_us = loop_thread_cpu_us();
	control_pools_tick(c, now_us);
	control_once_tick(c, now_us);
	control_log_tick(c, now_us);
	loop_start_timer(&c->loop, &c->tick_timer, CONTROL_TICK_US, control_on_tick, c);
}

static void control_on_stop_timer(void *ctx, int64_t now_us)
{
	struct control *c = ctx;
	enum drain_step step = drain_check(&c->drain, hd_open_requests(c->operators) > 0, false);

	(void)now_us;
	if (step == DRAIN_END) {
		loop_stop(&c->loop);
		return;
	}
	if (step == DRAIN_REFUSE)
		hd_refuse(c->operators);
	loop_start_timer(&c->loop, &c->stop_timer, CONTROL_TICK_US, control_on_stop_timer, c);
}

/*
 * Starts the graceful shutdown: marks this host as leaving in the host list and, as the list lags,
 * also notifies every connected daemon directly. Homes move to other hosts meanwhile; requests that
 * still arrive are served until the process exits.
 */
static void control_stop(void *ctx)
{
	struct control *c = ctx;

	if (c->stopping)
		return;
	c->stopping = true;
	log_msg(LOG_NOTICE, "stopping drain_ms=%d", (int)c->settings.drain_ms);
	control_hosts_register(c);
	control_push_updates_to_all(c);
	loop_start_timer(&c->loop, &c->stop_timer, c->settings.drain_ms * USEC_PER_MSEC,
			 control_on_stop_timer, c);
}

struct frm_limits control_frm_limits(const struct control *c)
{
	struct frm_limits limits = {c->settings.heartbeat_ms * USEC_PER_MSEC,
				    c->settings.silent_ms * USEC_PER_MSEC,
				    c->settings.idle_ms * USEC_PER_MSEC};

	return limits;
}

static int control_listen(struct control *c)
{
	struct frm_limits limits = control_frm_limits(c);
	struct hd_config config = {
		.addr = c->settings.operator_addr,
		.threads = 1,
		.body_max = CONTROL_BODY_MAX,
		.pending_max = CONTROL_BODY_MAX,
		.handler = control_http_handler,
		.ctx = c,
	};
	int err =
		frm_listen(&c->server, &c->loop, c->settings.listen, &control_frm_ops, &limits, c);

	if (err < 0) {
		log_msg(LOG_ERR, "listen_failed addr=%s reason=\"%s\"", c->settings.listen,
			base_strerror(err));
		return err;
	}
	c->operators = hd_start(&config);
	if (!c->operators) {
		log_msg(LOG_ERR, "listen_failed addr=%s", c->settings.operator_addr);
		return BASE_ESYS;
	}
	return 0;
}

int main(int argc, char **argv)
{
	struct control *c = g_new0(struct control, 1);

	prog_start(&argc, &argv, "Control daemon of a bronzegauge host.", control_setting_items,
		   G_N_ELEMENTS(control_setting_items), &c->settings);
	if (loop_init(&c->loop) < 0)
		return PROG_EXIT_FAILED;
	prog_on_stop(&c->loop, control_stop, c);
	c->started_us = tmr_now();
	c->hc = hc_new(&c->loop);
	c->conns = g_hash_table_new(g_int64_hash, g_int64_equal);
	c->pools = g_hash_table_new(g_str_hash, g_str_equal);
	c->claim_partitions = g_hash_table_new(NULL, NULL);
	c->commands = g_ptr_array_new();
	c->rand = g_rand_new_with_seed(
		(guint32)(c->settings.seed ^
			  str_hash(c->settings.name, strlen(c->settings.name), 0)));
	clog_init(&c->clog);
	snap_init(&c->snap,
		  c->settings.retention_s * USEC_PER_SEC / CONTROL_SNAPSHOTS_PER_RETENTION,
		  c->started_us);
	host_table_init(&c->hosts, c->settings.suspect_ms * USEC_PER_MSEC);
	if (control_listen(c) < 0)
		return PROG_EXIT_FAILED;
	control_log_start(c);
	control_hosts_start(c);
	control_order_start(c);
	loop_start_timer(&c->loop, &c->tick_timer, CONTROL_TICK_US, control_on_tick, c);
	log_msg(LOG_INFO, "started host=%s listen=%s operators=%s", c->settings.name,
		c->settings.listen, c->settings.operator_addr);
	loop_run(&c->loop);
	log_msg(LOG_INFO, "stopped host=%s", c->settings.name);
	return PROG_EXIT_OK;
}
