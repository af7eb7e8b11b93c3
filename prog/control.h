#ifndef PROG_CONTROL_H
#define PROG_CONTROL_H

#include "base/drain.h"
#include "base/frm.h"
#include "base/hc.h"
#include "conf/clog.h"
#include "conf/snap.h"
#include "host/host.h"
#include "once/once.h"
#include "order/order.h"
#include "pool/pool.h"
#include "base/prog.h"

/*
 * bgcontrold, the control daemon of a host. All state belongs to the thread of the event loop; the
 * threads of the HTTP library only pass operators' calls to it.
 */
enum {
	USEC_PER_MSEC = 1000,
	USEC_PER_SEC = 1000000,
	CONTROL_CONNECT_MS = 300 /* Timeout of an HTTP connect, in milliseconds. */
};

/*
 * Settings of the daemon, one field for each row of the table in control.c. Values of fields that
 * end in _ms are in milliseconds, those in _s in seconds.
 */
struct control_settings {
	char *name;		  /* Name of this host. */
	char *zone;		  /* Availability zone of this host. */
	char *listen;		  /* Address at which daemons of all hosts connect. */
	char *operator_addr;	  /* Address of the operators' HTTP interface. */
	char *peer_addr;	  /* Address of this host's entry daemon for other hosts. */
	char *bootstrap;	  /* SALT:HASH of the token valid while no operator is declared. */
	char *platform;		  /* Address of the platform: log and host list. */
	char *policy;		  /* Name of the policy by which pools choose pipelines. */
	int64_t seed;		  /* Seed of the random number generator. */
	int64_t retention_s;	  /* Time for which the log keeps a record, in seconds. */
	int64_t heartbeat_ms;	  /* Heartbeat interval of an active connection. */
	int64_t silent_ms;	  /* Silence after which an active connection is closed. */
	int64_t idle_ms;	  /* Heartbeat interval of an idle connection. */
	int64_t suspect_ms;	  /* Base time for which a failed host is suspected. */
	int64_t hosts_ms;	  /* Interval and timeout of host list calls. */
	int64_t gossip_ms;	  /* Interval of gossip messages. */
	int64_t load_ms;	  /* Interval of load polls of an endpoint. */
	int64_t overlap_percent;  /* Requests in flight, in percent of a pipeline's slots. */
	int64_t load_timeout_ms;  /* Timeout of a request for an endpoint's load report. */
	int64_t append_ms;	  /* Timeout of log calls and of orders to engines. */
	int64_t claim_partitions; /* Number of partitions of the claims. */
	int64_t claim_life_s;	  /* Time for which a claim is kept, in seconds. */
	int64_t lease_ms;	  /* Duration of an orderer's lease. */
	int64_t drain_ms;	  /* Time to serve remaining requests during shutdown. */
};

/* State of a connection from which at least one message was received. */
struct control_conn {
	struct frm_conn *conn;
	uint64_t id;			  /* Number of the connection, unique in this process. */
	bool subscriber;		  /* An entry daemon that receives the configuration. */
	char host[HOST_NAME_MAX_LEN + 1]; /* Name of the subscriber's host. */
	int64_t in_force;		  /* Configuration revision that the subscriber uses. */
};

/* A configuration change by an operator that is answered once its record is read back. */
struct control_command {
	struct control *c;
	struct hd_call *call;	    /* The operator's HTTP call; NULL once answered. */
	char *id;		    /* Id of the command, chosen by the operator. */
	char *record;		    /* Record to append to the log. */
	struct tmr retry_timer;	    /* Timer of the next check for the record in the log. */
	int64_t deadline_us;	    /* Time at which the operator's call fails, in microseconds. */
	bool platform_call_pending; /* An append or a read for this command is in progress. */
	bool append_uncertain;	    /* An append without an answer may have taken effect. */
};

/* A pool of which this daemon is the home. */
struct control_pool {
	struct control *c;
	struct pool pool;
	GHashTable *polls;    /* Endpoint name -> struct control_poll. */
	int64_t last_used_us; /* Time of the last message about the pool, in microseconds. */
};

/* A partition of the claims of which this daemon is the home. */
struct control_claim_partition {
	struct control *c;
	struct once once;
	char *stream;	   /* Name of the partition's stream in the platform's log. */
	int64_t read_from; /* Not used. */
};

/* The state of the daemon. Times are those of tmr_now(), in microseconds. */
struct control {
	struct control_settings settings;
	struct loop loop;
	struct hc *hc;		      /* HTTP client for the platform and for endpoints. */
	struct hd *operators;	      /* HTTP server for operators. */
	struct frm_server server;     /* Framed connections from other daemons. */
	struct host_table hosts;      /* The known hosts. */
	struct clog clog;	      /* The configuration and its revision. */
	GHashTable *conns;	      /* Connection id -> struct control_conn. */
	uint64_t last_conn_id;	      /* Id of the newest connection. */
	GHashTable *pools;	      /* Pool name -> struct control_pool. */
	GHashTable *claim_partitions; /* Partition number -> struct control_claim_partition. */
	GPtrArray *commands;	      /* Unanswered struct control_command. */
	GRand *rand;		      /* Chooses gossip peers. */
	struct tmr tick_timer;	      /* Timer of the next run of the periodic work. */
	struct tmr hosts_timer;	      /* Timer of the next request for the host list. */
	struct tmr gossip_timer;      /* Timer of the next gossip message. */
	struct tmr follow_timer;      /* Timer of the next read of the configuration's stream. */
	struct frm_conn *gossip_peers[2];   /* Connections for gossip; NULL if not connected. */
	int gossip_round;		    /* Number of gossip rounds so far. */
	int64_t hosts_version;		    /* Version of the platform's host list in use. */
	int hosts_poll_count;		    /* Number of host list requests so far. */
	GHashTable *order_next_endpoints;   /* Model name -> index of the next endpoint to check. */
	struct conf_state *order_last_conf; /* Configuration at the last round of orders. */
	bool log_ok;	   /* The last read of the configuration's stream succeeded. */
	int64_t log_ok_us; /* Time of the last successful read of that stream; 0 if none. */
	int64_t higher_revision_us; /* Time at which a peer reported a newer revision; 0: none. */
	struct snap snap;	    /* When this host appends the next snapshot. */
	struct order order;	    /* The leases of orderers. */
	struct tmr order_timer;	    /* Timer of the next read of the stream of leases. */
	bool order_reading;	    /* A read of the stream of leases is in progress. */
	bool stopping;		    /* The daemon is shutting down. */
	struct tmr stop_timer;	    /* Timer of the next check whether the daemon can exit. */
	struct drain drain;	    /* Progress of a stop. */
	int64_t started_us;	    /* Time at which the daemon started. */
	int64_t cpu_us;		    /* CPU time used by the event loop's thread. */
};

/* control.c: removes all state that belongs to a connection that closes. */
void control_conn_remove(struct control *c, struct frm_conn *conn);

/* Heartbeat intervals and timeouts of framed connections, from the settings. */
struct frm_limits control_frm_limits(const struct control *c);

/* control_log.c: the configuration's stream and operators' changes. */
void control_log_start(struct control *c);

/* Appends a snapshot of the configuration if one is due. */
void control_log_tick(struct control *c, int64_t now_us);

/*
 * Appends an operator's change and answers the call when the result is known. The change is
 * rejected if the revision is not the expected one; -1 accepts any. by is the operator's name.
 */
void control_command_start(struct control *c, struct hd_call *call, const char *id, const char *by,
			   int64_t expected, struct str statements);

/* Passes a changed configuration to hosts, pools and subscribers. */
void control_conf_changed(struct control *c);

/*
 * Calls to the platform's log. Both time out after the setting append_ms; control_log_read() adds
 * wait_ms, for which the platform may wait for a new record.
 */
void control_log_append(struct control *c, const char *stream, const char *record,
			const struct hc_ops *ops, void *ctx);
void control_log_read(struct control *c, const char *stream, int64_t from, int64_t wait_ms,
		      const struct hc_ops *ops, void *ctx);

/* control_hosts.c: the host list, gossip, and updates sent to entry daemons. */
void control_hosts_start(struct control *c);

/* Sends this host's entry to the platform's host list. */
void control_hosts_register(struct control *c);

/* Recomputes which hosts are leaving after a change of the configuration. */
void control_hosts_on_conf(struct control *c);

/* Sends changes of the configuration and of the hosts to one connection or to all. */
void control_push_updates(struct control *c, struct control_conn *conn);
void control_push_updates_to_all(struct control *c);

/* Handlers of messages. Each returns 0, or BASE_EFRAME if the message is malformed. */
int control_on_revision(struct control *c, struct frm_conn *conn, const uint8_t *body, size_t len);
int control_on_fetch(struct control *c, struct frm_conn *conn, const uint8_t *body, size_t len);
int control_on_state(struct control *c, struct frm_conn *conn, const uint8_t *body, size_t len);
int control_on_in_force(struct control *c, struct frm_conn *conn, const uint8_t *body, size_t len);
int control_on_hosts_msg(struct control *c, struct frm_conn *conn, const uint8_t *body, size_t len);

/* Removes a closed connection from the gossip peers. */
void control_gossip_peer_closed(struct control *c, const struct frm_conn *conn);

extern const struct frm_ops control_frm_ops;

/* control_pool.c: pools of which this daemon is the home, and load polls of their endpoints. */
void control_pools_on_conf(struct control *c);

/* Expires waiting requests and frees unused pools. */
void control_pools_tick(struct control *c, int64_t now_us);

/* Releases the requests and grants of a closed connection. */
void control_pools_conn_closed(struct control *c, uint64_t conn);

/* Handlers of messages; see control_on_revision(). */
int control_on_ask(struct control *c, struct frm_conn *conn, const uint8_t *body, size_t len);
int control_on_withdraw(struct control *c, struct frm_conn *conn, const uint8_t *body, size_t len);
int control_on_done(struct control *c, struct frm_conn *conn, const uint8_t *body, size_t len);
int control_on_holding(struct control *c, struct frm_conn *conn, const uint8_t *body, size_t len);

/* control_once.c: partitions of claims of which this daemon is the home. */
void control_once_tick(struct control *c, int64_t now_us);

/* Removes claims of a closed connection that are not part of an append yet. */
void control_once_conn_closed(struct control *c, uint64_t conn);

/* Handlers of messages; see control_on_revision(). */
int control_on_claim(struct control *c, struct frm_conn *conn, const uint8_t *body, size_t len);
int control_on_release(struct control *c, struct frm_conn *conn, const uint8_t *body, size_t len);

/* control_http.c: the operators' HTTP interface; called in the HTTP library's threads. */
void control_http_handler(void *ctx, struct hd_call *call);

/* control_order.c: orders that make engines load the declared version and layers. */
void control_order_start(struct control *c);

#endif
