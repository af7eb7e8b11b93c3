#ifndef PROG_CONTROL_H
#define PROG_CONTROL_H

#include "base/frm.h"
#include "base/hc.h"
#include "conf/clog.h"
#include "host/host.h"
#include "once/once.h"
#include "order/order.h"
#include "pool/pool.h"
#include "base/prog.h"

/*
 * bgcontrold: one thread holds all state here; the HTTP library's threads only hand over operators'
 * calls.
 */
enum {
	USEC_PER_MSEC = 1000,
	USEC_PER_SEC = 1000000,
	CONTROL_CONNECT_MS = 300
};

struct control_settings {
	char *name;
	char *zone;
	char *listen;
	char *operator_addr;
	char *peer_addr;
	char *bootstrap;
	char *platform;
	char *policy;
	int64_t seed;
	int64_t retention_s;
	int64_t heartbeat_ms;
	int64_t silent_ms;
	int64_t idle_ms;
	int64_t suspect_ms;
	int64_t hosts_ms;
	int64_t gossip_ms;
	int64_t load_ms;
	int64_t overlap_percent;
	int64_t load_timeout_ms;
	int64_t append_ms;
	int64_t claim_partitions;
	int64_t claim_life_s;
	int64_t lease_ms;
	int64_t drain_ms;
};

struct control_conn {
	struct frm_conn *conn;
	uint64_t id;
	bool subscriber; /* an entry daemon that wants the configuration */
	char host[HOST_NAME_MAX_LEN + 1];
	int64_t in_force;
};

/* An operator's command that waits until its record is read back. */
struct control_command {
	struct control *c;
	struct hd_call *call;
	char *id;
	char *record;
	struct tmr retry;
	int64_t until_us;
	bool busy;	/* a call to the platform is under way */
	bool uncertain; /* an append may have taken effect */
};

struct control_pool {
	struct control *c;
	struct pool pool;
	GHashTable *polls; /* endpoint -> struct control_poll */
	int64_t used_us;
};

struct control_part {
	struct control *c;
	struct once once;
	char *stream;
	int64_t read_from;
};

struct control {
	struct control_settings settings;
	struct loop loop;
	struct hc *hc;
	struct hd *operators;
	struct frm_server server;
	struct host_table hosts;
	struct clog clog;
	GHashTable *conns; /* id -> struct control_conn */
	uint64_t last_id;
	GHashTable *pools; /* name -> struct control_pool */
	GHashTable *parts; /* number -> struct control_part */
	GPtrArray *commands;
	GRand *rand;
	struct tmr tick;
	struct tmr hosts_timer;
	struct tmr gossip_timer;
	struct tmr follow_timer;
	struct frm_conn *partners[2];
	int gossip_round;
	int64_t hosts_version; /* of the platform's list */
	int hosts_round;
	GHashTable *order_turns;       /* model -> endpoint that its orderer looks at next */
	struct conf_state *order_conf; /* at the orderer's last round */
	bool log_ok;
	int64_t log_ok_us;
	int64_t heard_higher_us;
	int64_t snapshot_seen_us;
	bool snapshot_appending;
	struct order order;
	struct tmr order_timer;
	bool order_reading;
	bool stopping;
	struct tmr stop_timer;
	int64_t started_us;
	int64_t cpu_us;
};

/* control.c: drops all that hangs on a connection that ends. */
void control_conn_forget(struct control *c, struct frm_conn *conn);
struct frm_limits control_limits_of(const struct control *c);

/* control_log.c: the configuration's stream. */
void control_log_start(struct control *c);
void control_log_tick(struct control *c, int64_t now_us);
void control_command(struct control *c, struct hd_call *call, const char *id, const char *by,
		     int64_t expected, struct str statements);
void control_state_changed(struct control *c);

/* Calls to the platform's log; append_ms is their limit, besides the wait for a record. */
void control_append(struct control *c, const char *stream, const char *record,
		    const struct hc_ops *ops, void *ctx);
void control_read(struct control *c, const char *stream, int64_t from, int64_t wait_ms,
		  const struct hc_ops *ops, void *ctx);

/* control_hosts.c: the host list, gossip, what entries are told. */
void control_hosts_start(struct control *c);
void control_hosts_register(struct control *c);
void control_hosts_on_conf(struct control *c);
void control_push(struct control *c, struct control_conn *conn);
void control_push_all(struct control *c);
int control_on_revision(struct control *c, struct frm_conn *conn, const uint8_t *body, size_t len);
int control_on_fetch(struct control *c, struct frm_conn *conn, const uint8_t *body, size_t len);
int control_on_state(struct control *c, struct frm_conn *conn, const uint8_t *body, size_t len);
int control_on_in_force(struct control *c, struct frm_conn *conn, const uint8_t *body, size_t len);
int control_on_hosts_msg(struct control *c, struct frm_conn *conn, const uint8_t *body, size_t len);
void control_partner_gone(struct control *c, const struct frm_conn *conn);
extern const struct frm_ops control_frm_ops;

/* control_pool.c: pools that this daemon is home of, and what it polls. */
void control_pools_on_conf(struct control *c);
void control_pools_tick(struct control *c, int64_t now_us);
void control_pools_conn_gone(struct control *c, uint64_t conn);
int control_on_ask(struct control *c, struct frm_conn *conn, const uint8_t *body, size_t len);
int control_on_withdraw(struct control *c, struct frm_conn *conn, const uint8_t *body, size_t len);
int control_on_done(struct control *c, struct frm_conn *conn, const uint8_t *body, size_t len);
int control_on_holding(struct control *c, struct frm_conn *conn, const uint8_t *body, size_t len);

/* control_once.c: partitions of claims that this daemon is home of. */
void control_once_tick(struct control *c, int64_t now_us);
void control_once_conn_gone(struct control *c, uint64_t conn);
int control_on_claim(struct control *c, struct frm_conn *conn, const uint8_t *body, size_t len);
int control_on_release(struct control *c, struct frm_conn *conn, const uint8_t *body, size_t len);

/* control_http.c: operators. */
void control_http_handler(void *ctx, struct hd_call *call);

/* control_order.c: orders to engines. */
void control_order_start(struct control *c);

#endif
