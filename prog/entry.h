#ifndef PROG_ENTRY_H
#define PROG_ENTRY_H

#include "base/drain.h"
#include "base/frm.h"
#include "base/hc.h"
#include "conf/clog.h"
#include "host/host.h"
#include "pool/pool.h"
#include "base/prog.h"
#include "req/req.h"

/*
 * bgentryd has three kinds of threads. The main thread, called the control thread, holds the view
 * of the configuration, the grants and the claims. The traffic thread holds the requests and their
 * streams. The threads of the HTTP library read callers' requests. Threads exchange messages
 * through the mailboxes of their loops; apart from a few atomic counters they share only published,
 * immutable configurations.
 *
 * The home of a pool or of a partition of claims is the control daemon that rendezvous hashing
 * assigns to it. A grant is the permission of a pool's home to run one attempt of a request on a
 * pipeline of endpoints. A claim is the record that reserves an idempotency key for one attempt.
 */
enum {
	USEC_PER_MSEC = 1000,
	USEC_PER_SEC = 1000000,
	ENTRY_CONNECT_MS = 300 /* time limit for a connection attempt, in milliseconds */
};

/* Settings of the daemon, from its configuration file. */
struct entry_settings {
	char *name;	     /* name of this host */
	char *zone;	     /* availability zone of this host */
	char *listen;	     /* address for callers' HTTP requests */
	char *peer;	     /* address for connections from other entry daemons */
	char *control;	     /* address of the control daemon of this host */
	int64_t threads;     /* number of threads of the HTTP library */
	int64_t seed;	     /* seed of all random choices */
	int64_t body_max;    /* largest request body, in bytes */
	int64_t pending_max; /* unsent bytes at which a caller counts as too slow */
	int64_t deadline_ms; /* default time limit of a request, in milliseconds */
	int64_t drain_ms;    /* least time to keep serving after the stop signal, in milliseconds */
	int64_t finished_keep_s; /* time that a finished request with a claim is kept, in seconds */
	int64_t heartbeat_ms; /* heartbeat interval while an answer is awaited, in milliseconds */
	int64_t silent_ms;    /* longest silence while an answer is awaited, in milliseconds */
	int64_t idle_ms;      /* heartbeat interval while no answer is awaited, in milliseconds */
	int64_t suspect_ms;   /* time that a host is suspected per failure, in milliseconds */
	int64_t claim_partitions; /* number of partitions that idempotency keys are hashed to */
	int64_t claim_ms;	  /* time limit for the answer to a claim, in milliseconds */
	int64_t dispatch_ms;	  /* longest time from claim to dispatch, in milliseconds */
	int64_t first_floor_ms;	  /* shortest time limit for the first token, in milliseconds */
	int64_t first_ceiling_ms; /* longest time limit for the first token, in milliseconds */
	int64_t gap_floor_ms;	  /* shortest time limit for each next token, in milliseconds */
	int64_t gap_ceiling_ms;	  /* longest time limit for each next token, in milliseconds */
	int64_t backoff_ms;    /* delay before the second attempt, in milliseconds; then doubles */
	int64_t resume_ms;     /* time limit for resuming a run, in milliseconds */
	int64_t attempts_max;  /* most attempts of one request, the first one included */
	int64_t retry_burst;   /* most retries that the retry budget can hold */
	int64_t retry_percent; /* retries added to the budget per 100 requests */
};

/* One stage of a granted route: an endpoint and the layers of the model that it runs. */
struct entry_stage {
	char *name;    /* name of the endpoint */
	char *address; /* address of the endpoint's engine */
	int first;     /* first layer, counted from 0 */
	int last;      /* last layer, inclusive */
};

/* --- messages from the traffic thread to the control thread --- */

/* A request for a grant for one attempt. */
struct entry_grant_request {
	struct entry *entry;
	uint64_t call_id;     /* entry_call.id of the request */
	unsigned int attempt; /* number of the attempt, from 1 */
	char *account;	      /* name of the client account */
	char *model;	      /* name of the model */
	char *version;	      /* version of the model */
	uint64_t tokens;      /* number of tokens still to be generated */
	int64_t deadline_us;  /* time by which the attempt must start, in microseconds */
	char **exclude;	      /* endpoints to avoid if possible, NULL-terminated */
};

/* The end of one attempt's grant, or the withdrawal of the request for it. */
struct entry_grant_end {
	struct entry *entry;
	uint64_t call_id;	   /* entry_call.id of the request */
	unsigned int attempt;	   /* number of the attempt, from 1 */
	uint64_t tokens;	   /* number of tokens that the attempt delivered */
	enum pool_outcome outcome; /* result of the attempt */
	char *faulty_endpoint;	   /* name of the endpoint that caused a failure, or NULL */
};

/* A claim of an idempotency key for one attempt, or the release of such a claim. */
struct entry_claim {
	struct entry *entry;
	uint64_t call_id;     /* entry_call.id of the request */
	unsigned int attempt; /* number of the attempt, from 1 */
	char *key;	      /* "ACCOUNT/KEY" */
	char *id;	      /* id of the claim, unique across hosts and restarts */
	char *run_id;	      /* id of the attempt's run at the engine */
	char *endpoints;      /* names of the granted endpoints, separated by commas */
	char *digest;	      /* SHA-256 of the request body, in hexadecimal */
	char *supersedes;     /* id of the claim that this one replaces, or "" */
};

/* --- messages to the traffic thread --- */

enum entry_event_kind {
	ENTRY_EVENT_GRANTED,	    /* a grant was given */
	ENTRY_EVENT_REFUSED,	    /* a grant was refused */
	ENTRY_EVENT_CLAIM,	    /* a claim was decided */
	ENTRY_EVENT_ATTEMPT_FAILED, /* an attempt failed before any HTTP call */
	ENTRY_EVENT_VIEW,	    /* a new configuration or list of hosts */
	ENTRY_EVENT_DRAIN	    /* the daemon is shutting down */
};

/* Only the fields of the event's kind are set. */
struct entry_event {
	struct entry *entry;
	enum entry_event_kind kind;
	uint64_t call_id;     /* entry_call.id of the request */
	unsigned int attempt; /* number of the attempt, from 1 */

	GPtrArray *stages; /* GRANTED: the route, as struct entry_stage */

	enum req_grant_refusal refusal; /* REFUSED: the reason */
	int64_t retry_us; /* REFUSED: delay before a retry is useful, in microseconds */

	enum req_failure failure; /* ATTEMPT_FAILED: the reason */

	int verdict;		/* CLAIM: enum once_verdict */
	char *winner_id;	/* CLAIM: id of the winning claim */
	char *winner_run_id;	/* CLAIM: id of the winner's run at the engine */
	char *winner_entry;	/* CLAIM: host whose entry daemon made the winning claim */
	char *winner_endpoints; /* CLAIM: endpoints of the winner, separated by commas */
	char *winner_digest;	/* CLAIM: SHA-256 of the winner's request body */

	struct conf_state *conf; /* VIEW: the configuration */
	GPtrArray *hosts;	 /* VIEW: the hosts, as struct host */
	int64_t revision;	 /* VIEW: revision of the configuration */
};

/* --- control thread --- */

/* A connection to the control daemon of one host, which is home of some pools or claims. */
struct entry_home {
	struct entry *entry;
	char *host; /* name of the host */
	struct frm_conn *conn;
	unsigned int unanswered; /* number of grant requests and claims without an answer */
};

/* A pool of endpoints, as the control thread sees it. */
struct entry_pool {
	char *name;
	char *model;		/* name of the model that the pool serves */
	GHashTable *versions;	/* set of the served versions of the model */
	uint64_t preference;	/* hash of pool and host; this host prefers higher values */
	unsigned int rank;	/* position in this host's order of preference, from 0 */
	double capacity;	/* rate of the pool's first stages, in tokens per second */
	int64_t wait_us;	/* wait that the last grant reported, in microseconds */
	int64_t avoid_until_us; /* time until which the pool is avoided, in microseconds */
};

/* A grant for one attempt, either still requested or already given. */
struct entry_grant {
	struct entry_grant_request *request;
	uint64_t ask_id;	  /* id of the request for the grant, unique on this host */
	uint64_t call_key;	  /* key of the attempt in grants_by_call */
	struct entry_pool *pool;  /* pool that was asked, or NULL */
	char *home;		  /* host of the pool's home; NULL if decided locally */
	unsigned int homes_tried; /* number of homes asked for the current pool */
	unsigned int pools_tried; /* number of pools asked */
	bool granted;		  /* the grant was given */
	uint64_t grant_id;	  /* id of the grant at its home; 0 until a new home answers */
	GPtrArray *stages;	  /* the granted route, as struct entry_stage */
	int64_t asked_us;	  /* time of the request, in microseconds */
};

/* A claim without an answer. */
struct entry_pending_claim {
	struct entry_claim *claim;
	uint64_t ask_id;	  /* id of the message to the home, unique on this host */
	char *home;		  /* host of the home that was asked */
	unsigned int homes_tried; /* number of homes asked */
};

/* State of the control thread for grants and claims. */
struct entry_broker {
	GHashTable *homes;	    /* name of host -> struct entry_home */
	GHashTable *pools;	    /* name of pool -> struct entry_pool */
	GHashTable *grants;	    /* ask_id -> struct entry_grant */
	GHashTable *grants_by_call; /* entry_grant.call_key -> struct entry_grant */
	GHashTable *claims;	    /* ask_id -> struct entry_pending_claim */
	GHashTable *local_pools;    /* name -> struct pool that this host decides itself */
	uint64_t last_id;	    /* last ask_id that was given out */
	uint64_t seed;		    /* seed of this host for hashing and random choices */
	GRand *rand;
};

/* The view of the configuration and the hosts, which a control daemon sends. */
struct entry_view {
	struct clog clog;	   /* the configuration */
	struct host_table hosts;   /* the hosts and the failures observed on them */
	struct frm_conn *conn;	   /* connection that the view comes from; NULL if lost */
	bool from_own_host;	   /* conn leads to the control daemon of this host */
	int failures;		   /* lost connections since this host's daemon last answered */
	struct tmr retry_timer;	   /* fires when the connection is to be opened again */
	int64_t reported_revision; /* last revision reported as in force; -1 if none */
};

/* --- traffic thread --- */

/* State of the traffic thread. */
struct entry_traffic {
	pthread_t thread;
	struct loop loop;
	struct hc *hc;		 /* HTTP client for engines and services */
	struct frm_server peers; /* server for other entry daemons */
	struct conf_state *conf; /* current configuration; NULL before the first one */
	int64_t revision;	 /* not set; see entry.revision */
	GPtrArray *hosts;	 /* current hosts, as struct host */
	GHashTable *calls;	 /* entry_call.id -> struct entry_call */
	GHashTable *claims;	 /* id of claim -> struct entry_call, finished ones included */
	GQueue *finished_calls;	 /* finished struct entry_call, oldest first */
	GHashTable *join_conns;	 /* name of host -> struct entry_join_conn */
	GHashTable *estimates_by_name; /* model or service -> struct entry_estimates */
	uint64_t last_id;	       /* last entry_call.id that was given out */
	struct req_budget budget;      /* retry budget of this host */
	struct req_settings req_settings;
	struct tmr sweep_timer; /* fires at each check for disconnected callers */
	bool draining;		/* the daemon is shutting down */
	int64_t cpu_us;		/* CPU time of the thread, in microseconds */
};

/* Estimates of how long a model or service takes to answer. */
struct entry_estimates {
	struct req_est first; /* time to the first token */
	struct req_est gap;   /* time between two tokens */
};

/* State of the whole daemon. */
struct entry {
	struct entry_settings settings;
	struct loop loop; /* loop of the control thread */
	struct entry_view view;
	struct entry_broker broker;
	struct entry_traffic traffic;
	struct hd *hd;		 /* HTTP server for callers */
	struct tmr tick_timer;	 /* fires when the control thread's periodic work is due */
	struct tmr drain_timer;	 /* fires at each check whether a shutdown is complete */
	struct drain drain;	 /* progress of a shutdown */
	char *boot_id;		 /* prefix that makes request ids unique across restarts */
	bool stopping;		 /* the daemon is shutting down */
	int64_t stop_us;	 /* time of the stop signal, in microseconds */
	unsigned int open_calls; /* number of unfinished requests; atomic */
	unsigned int ready;	 /* 1 if /readyz reports "ready", else 0; atomic */
	int64_t started_us;	 /* start time of the daemon, in microseconds */
	int64_t cpu_us;		 /* CPU time of the control thread, in microseconds */
	uint64_t revision;	 /* revision in force in the traffic thread; atomic */
};

/* --- entry_view.c --- */

/* Connects to the control daemon of this host. */
void entry_view_start(struct entry *e);

/* Handles a list of hosts from a control daemon. Returns 0 or BASE_EFRAME. */
int entry_view_on_hosts(struct entry *e, struct frm_conn *conn, const uint8_t *body, size_t len);

/* Updates readiness, and reports a revision that the traffic thread has newly put in force. */
void entry_view_report_in_force(struct entry *e);

/* --- entry_broker.c --- */

void entry_broker_start(struct entry *e);

/* Updates pools after a change of the configuration. */
void entry_broker_on_conf(struct entry *e);

/* Moves grants to their current homes after a change of the list of hosts. */
void entry_broker_on_hosts(struct entry *e);

/* Does the periodic work of the pools that are decided locally. */
void entry_broker_tick(struct entry *e, int64_t now_us);

/* --- entry_grant.c, entry_claim.c: tasks of the control thread --- */

/* Requests a grant. Takes ownership of its struct entry_grant_request. */
void entry_post_grant_request(void *request);

/* Withdraws a request for a grant. Takes ownership of its struct entry_grant_end. */
void entry_post_grant_withdrawal(void *end);

/* Ends a grant. Takes ownership of its struct entry_grant_end. */
void entry_post_grant_end(void *end);

/* Makes a claim. Takes ownership of its struct entry_claim. */
void entry_post_claim(void *claim);

/* Releases a claim that will not be used. Takes ownership of its struct entry_claim. */
void entry_post_release(void *claim);

/* --- entry_home.c, entry_grant.c --- */

/* The heartbeat and silence limits of all connections between daemons. */
struct frm_limits entry_conn_limits(const struct entry *e);

struct entry_event *entry_event_new(enum entry_event_kind kind, uint64_t call_id,
				    unsigned int attempt);

/* Sends an event to the traffic thread, which frees it. */
void entry_send_event(struct entry *e, struct entry_event *event);

/* Frees a struct entry_stage. */
void entry_stage_free(gpointer stage);

/* --- entry_call.c --- */

/* Starts the traffic thread. Returns 0 or a negative error code. */
int entry_traffic_start(struct entry *e);

/* Handles a struct entry_event in the traffic thread, and frees it. */
void entry_on_event(void *event);

/* --- entry_http.c --- */

/* Handles a caller's HTTP request in a thread of the HTTP library; ctx is the struct entry. */
void entry_http_handler(void *ctx, struct hd_call *call);

#endif
