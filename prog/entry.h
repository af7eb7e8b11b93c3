#ifndef PROG_ENTRY_H
#define PROG_ENTRY_H

#include "base/frm.h"
#include "base/hc.h"
#include "conf/clog.h"
#include "host/host.h"
#include "pool/pool.h"
#include "base/prog.h"
#include "req/req.h"

/*
 * bgentryd: the main thread holds control state (the view of the configuration, grants, claims);
 * one traffic thread holds the requests and their streams; the HTTP library's threads hold callers.
 * They send each other messages through the loops' mailboxes and share no state but published,
 * immutable configurations.
 */
enum {
	USEC_PER_MSEC = 1000,
	USEC_PER_SEC = 1000000,
	ENTRY_CONNECT_MS = 300
};

struct entry_settings {
	char *name;
	char *zone;
	char *listen;
	char *peer;
	char *control;
	int64_t threads;
	int64_t seed;
	int64_t body_max;
	int64_t pending_max;
	int64_t deadline_ms;
	int64_t drain_ms;
	int64_t finished_keep_s;
	int64_t heartbeat_ms;
	int64_t silent_ms;
	int64_t idle_ms;
	int64_t suspect_ms;
	int64_t claim_partitions;
	int64_t claim_ms;
	int64_t dispatch_ms;
	int64_t first_floor_ms;
	int64_t first_ceiling_ms;
	int64_t gap_floor_ms;
	int64_t gap_ceiling_ms;
	int64_t backoff_ms;
	int64_t resume_ms;
	int64_t attempts_max;
	int64_t retry_burst;
	int64_t retry_percent;
};

/* One stage of a granted route, as the traffic thread needs it. */
struct entry_stage {
	char *name;
	char *address;
	int first;
	int last;
};

/* --- messages from the traffic thread to the control thread --- */

struct entry_grant_request {
	struct entry *entry;
	uint64_t call_id;
	unsigned int attempt;
	char *account;
	char *model;
	char *version;
	uint64_t tokens;
	int64_t deadline_us;
	char **exclude;
};

struct entry_grant_end {
	struct entry *entry;
	uint64_t call_id;
	unsigned int attempt;
	uint64_t tokens;
	enum pool_outcome outcome;
	char *bad;
};

struct entry_claim {
	struct entry *entry;
	uint64_t call_id;
	unsigned int attempt;
	char *key;
	char *id;
	char *run_id;
	char *endpoints;
	char *digest;
	char *supersedes;
};

/* --- messages from the control thread to the traffic thread --- */

enum entry_event_kind {
	ENTRY_EVENT_GRANTED,
	ENTRY_EVENT_REFUSED,
	ENTRY_EVENT_CLAIM,
	ENTRY_EVENT_ATTEMPT_FAILED,
	ENTRY_EVENT_VIEW,
	ENTRY_EVENT_DRAIN
};

struct entry_event {
	struct entry *entry;
	enum entry_event_kind kind;
	uint64_t call_id;
	unsigned int attempt;
	GPtrArray *stages; /* struct entry_stage */
	enum req_grant_refusal refusal;
	int64_t retry_us;
	enum req_break failure;
	int verdict; /* enum once_verdict */
	char *winner_id;
	char *winner_run_id;
	char *winner_entry;
	char *winner_endpoints;
	char *winner_digest;
	struct conf_state *conf;
	GPtrArray *hosts; /* struct host */
	int64_t revision;
};

/* --- control thread --- */

/* The control daemon of one host, as a place to ask. */
struct entry_home {
	struct entry *entry;
	char *host;
	struct frm_conn *conn;
	unsigned int unanswered; /* asks and claims without an answer */
};

/* What the control thread knows of a pool. */
struct entry_pool {
	char *name;
	char *model;
	GHashTable *versions;
	uint64_t preference;	/* of this host for it, by hashing */
	unsigned int rank;	/* among the model's pools by that preference */
	double capacity;	/* of its first stages, tokens a second */
	int64_t wait_us;	/* as the last grant told */
	int64_t avoid_until_us; /* it refused lately */
};

/* A request for a grant, waiting or granted. */
struct entry_grant {
	struct entry_grant_request *request;
	uint64_t ask_id;
	uint64_t call_key;
	struct entry_pool *pool;
	char *home; /* host, or NULL when decided here */
	unsigned int homes_tried;
	unsigned int pools_tried;
	bool granted;
	uint64_t grant_id; /* at the home; 0 while a new home has not answered */
	GPtrArray *stages;
	int64_t asked_us;
};

struct entry_pending_claim {
	struct entry_claim *claim;
	uint64_t ask_id;
	char *home;
	unsigned int homes_tried;
};

struct entry_broker {
	GHashTable *homes;	    /* host -> struct entry_home */
	GHashTable *pools;	    /* name -> struct entry_pool */
	GHashTable *grants;	    /* ask_id -> struct entry_grant */
	GHashTable *grants_by_call; /* the same by call and attempt */
	GHashTable *claims;	    /* ask_id -> struct entry_pending_claim */
	GHashTable *local_pools;    /* name -> struct pool: decided here when no home answers */
	uint64_t last_id;
	uint64_t seed;
	GRand *rand;
};

struct entry_view {
	struct clog clog;
	struct host_table hosts;
	struct frm_conn *conn; /* where the configuration comes from */
	bool from_own_host;    /* it is the control daemon of this host */
	int failures;
	struct tmr retry_timer;
	int64_t reported_revision; /* revision in force that the control daemon was told */
};

/* --- traffic thread --- */

struct entry_traffic {
	pthread_t thread;
	struct loop loop;
	struct hc *hc;
	struct frm_server peers;
	struct conf_state *conf;
	int64_t revision;
	GPtrArray *hosts;
	GHashTable *calls;	       /* id -> struct entry_call */
	GHashTable *claims;	       /* claim id -> struct entry_call, finished ones too */
	GQueue *finished_calls;	       /* finished calls that others may still ask for */
	GHashTable *join_conns;	       /* host -> struct entry_join_conn */
	GHashTable *estimates_by_name; /* pool or model -> struct entry_estimates */
	uint64_t last_id;
	struct req_budget budget;
	struct req_settings req_settings;
	struct tmr sweep_timer;
	bool draining;
	int64_t cpu_us;
};

struct entry_estimates {
	struct req_est first;
	struct req_est gap;
};

struct entry {
	struct entry_settings settings;
	struct loop loop;
	struct entry_view view;
	struct entry_broker broker;
	struct entry_traffic traffic;
	struct hd *hd;
	struct tmr tick_timer;
	struct tmr drain_timer;
	char *boot_id; /* makes request ids unique over restarts */
	bool stopping;
	int64_t stop_us;
	unsigned int open_calls; /* atomic */
	unsigned int ready;	 /* atomic */
	int64_t started_us;
	int64_t cpu_us;
	uint64_t revision; /* atomic: in force in the traffic thread */
};

/* entry_view.c */
void entry_view_start(struct entry *e);
int entry_view_on_hosts(struct entry *e, struct frm_conn *conn, const uint8_t *body, size_t len);
void entry_view_report_in_force(struct entry *e);

/* entry_broker.c */
void entry_broker_start(struct entry *e);
void entry_broker_on_conf(struct entry *e);
void entry_broker_on_hosts(struct entry *e);
void entry_broker_tick(struct entry *e, int64_t now_us);
void entry_post_grant_request(
	void *request);		     /* in the control thread: struct entry_grant_request */
void entry_post_withdraw(void *end); /* struct entry_grant_end */
void entry_post_grant_end(void *end);
void entry_post_claim(void *claim);
void entry_post_release(void *claim);
struct frm_limits entry_conn_limits(const struct entry *e);
struct entry_event *entry_event_new(enum entry_event_kind kind, uint64_t call_id,
				    unsigned int attempt);
void entry_send_event(struct entry *e, struct entry_event *event);
void entry_stage_free(gpointer stage);

/* entry_call.c */
int entry_traffic_start(struct entry *e);
void entry_on_event(void *event);

/* entry_http.c */
void entry_http_handler(void *ctx, struct hd_call *call);

#endif
