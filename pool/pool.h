#ifndef POOL_POOL_H
#define POOL_POOL_H

#include "conf/conf.h"
#include "fair/fair.h"
#include "pool/flow.h"

#include <glib.h>

G_BEGIN_DECLS

/*
 * A pool is the set of endpoints that operators assigned to it, all serving one model. It queues
 * requests by client account and grants each of them a pipeline: a sequence of endpoints (stages)
 * that together hold every layer of the model. The host that issues a pool's grants is the pool's
 * home; the host that accepted a client's request and asks the home for a grant is its entry.
 *
 * Performs no I/O: the caller passes in events and the current time; grants and refusals are
 * delivered through callbacks. All times are in microseconds.
 */
enum pool_refusal {
	POOL_REFUSE_QUEUE_FULL, /* the queue of the client account is full */
	POOL_REFUSE_DEADLINE,	/* the request would start after its deadline */
	POOL_REFUSE_NO_PATH,	/* no pipeline covers every layer of the model */
	POOL_REFUSE_COUNT
};

/* How an attempt under a grant ended, as reported by its entry. */
enum pool_outcome {
	POOL_OUTCOME_OK,      /* the answer was complete, or the caller disconnected */
	POOL_OUTCOME_REFUSED, /* an endpoint refused the connection or broke it */
	POOL_OUTCOME_STALLED, /* no token within the time limit; the stage at fault is unknown */
	POOL_OUTCOME_NOT_RUN  /* the endpoint declined: it is leaving or lacks the layers */
};

/* How the stages of a request are chosen. */
enum pool_policy {
	POOL_POLICY_FLOW,	  /* the path of the maximum flow with the least work in flight */
	POOL_POLICY_WEIGHTS,	  /* paths of the maximum flow by smooth weighted round robin */
	POOL_POLICY_LEAST_LOADED, /* for each stage, the endpoint last reported least loaded */
	POOL_POLICY_COUNT
};

struct pool_endpoint {
	char *name;
	char *address;
	char *version;	      /* version of the model that it is declared to hold */
	int first;	      /* first layer that it holds, from 0 */
	int last;	      /* last layer that it holds */
	int64_t rate;	      /* tokens a second that it processes */
	int slots;	      /* number of requests that it runs in one batch */
	bool declared;	      /* present in the configuration in force */
	bool draining;	      /* an operator has set it to drain */
	bool leaving;	      /* reported that it is leaving or lacks the declared layers */
	int64_t leaving_us;   /* time at which leaving became true */
	bool down;	      /* it refused or broke a connection, or did not answer a load poll */
	int64_t down_us;      /* time at which down became true */
	int inflight;	      /* requests in flight that this pool granted */
	int foreign_inflight; /* estimate of requests in flight that other homes granted */
	int reported;	      /* requests running at it by the last load report */
	int inflight_peak;    /* highest inflight since the last load report */
	int previous_peak;    /* highest inflight between the two latest load reports */
	int64_t report_us;    /* time of the last load report */
	uint64_t granted;     /* number of grants with this endpoint since it was declared */
	int refs;	      /* references: one of the pool, and one for each grant */
};

/* A request for a grant. */
struct pool_grant_request {
	uint64_t entry;	     /* the caller's number for the entry's connection */
	uint64_t ask_id;     /* the entry's number for this request for a grant */
	const char *account; /* name of the client account */
	struct fair_limits limits;
	const char *version;	    /* version of the model */
	uint64_t tokens;	    /* estimated number of tokens */
	int64_t deadline_us;	    /* latest time at which it may start */
	int priority;		    /* higher starts first among requests of the account */
	const char *const *exclude; /* endpoints to avoid if possible, NULL-terminated */
};

/* A pipeline granted to one attempt of a request. */
struct pool_grant {
	uint64_t id;	 /* number of the grant, unique at this home */
	uint64_t entry;	 /* the caller's number for the entry's connection */
	uint64_t ask_id; /* the entry's number for the request for this grant */
	struct fair_account *account;
	uint64_t tokens; /* estimated number of tokens */
	struct pool_endpoint *stages[FLOW_STAGES_MAX];
	int first[FLOW_STAGES_MAX]; /* first layer that each stage runs, from 0 */
	int count;		    /* number of stages */
	int64_t waited_us;	    /* time that the request spent in the queue */
};

struct pool_ops {
	/* Sends a grant. wait_us: expected wait of the account's next request. */
	void (*grant)(void *ctx, const struct pool_grant *grant, int64_t wait_us);

	/* Refuses a request for a grant. retry_us: time after which a retry may succeed. */
	void (*refuse)(void *ctx, uint64_t entry, uint64_t ask_id, enum pool_refusal why,
		       int64_t retry_us);

	/* Polls the load of an endpoint at once, because an attempt failed on it. */
	void (*probe)(void *ctx, const struct pool_endpoint *endpoint);
};

struct pool_settings {
	enum pool_policy policy;
	int overlap_percent;	  /* limit of requests in flight, in percent of slots x stages */
	unsigned int divisor;	  /* this host uses 1/divisor of the slots; 1 at the home */
	int64_t no_path_grace_us; /* how long requests wait for a pipeline to become available */
};

/* A path of the maximum flow for one version. */
struct pool_path {
	struct flow_path flow; /* its nodes are indices into the usable endpoints of the version */
	struct pool_endpoint *stages[FLOW_STAGES_MAX]; /* endpoints of the path, in order */
	const char *version;			       /* version of the model */
	int64_t round_robin_credit; /* current weight in the smooth weighted round robin */
	int inflight;		    /* requests in flight on exactly these stages */
};

struct pool {
	char *name;	    /* name of the pool */
	char *model;	    /* name of the model that its endpoints serve */
	int layers;	    /* number of layers of the model; 0 if it is not configured */
	int64_t activation; /* bytes that one token passes from stage to stage */
	const struct pool_ops *ops;
	void *ctx;
	struct pool_settings settings;
	struct conf_state *conf;
	GPtrArray *endpoints; /* struct pool_endpoint, in order of name */
	GHashTable *links;    /* "FROM TO" -> bandwidth in bytes a second, as an integer */
	GPtrArray *paths;     /* struct pool_path */
	int64_t bound;	      /* maximum flow of all versions together, in tokens a second */
	struct fair fair;
	GHashTable *waiting;	  /* id of the queued item -> struct pool_waiting */
	GHashTable *grants;	  /* grant id -> struct pool_grant */
	uint64_t last_id;	  /* id given last to a queued item or a grant */
	int64_t no_path_since_us; /* time at which the last path was lost; 0 while a path exists */
};

void pool_init(struct pool *pool, const char *name, const struct pool_settings *settings,
	       const struct pool_ops *ops, void *ctx);
void pool_finish(struct pool *pool);

/* Applies a new configuration. Takes a reference on conf. */
void pool_on_conf(struct pool *pool, struct conf_state *conf, int64_t now_us);

/* Queues a request for a grant. May call the grant or the refuse callback before it returns. */
void pool_on_grant_request(struct pool *pool, const struct pool_grant_request *ask, int64_t now_us);

/* Removes a request for a grant that still waits. */
void pool_on_withdraw(struct pool *pool, uint64_t entry, uint64_t ask_id, int64_t now_us);

/*
 * Ends a grant after its attempt ended. tokens: number actually generated. bad: name of the
 * endpoint at fault, or NULL if none is known.
 */
void pool_on_attempt_end(struct pool *pool, uint64_t grant_id, uint64_t tokens,
			 enum pool_outcome outcome, const char *bad, int64_t now_us);

/*
 * Records a grant that another home issued, after its entry has moved to this home with the
 * attempt in flight. stages: names of its endpoints, NULL-terminated. Returns the id of the grant
 * here, or 0 if none of the endpoints is known.
 */
uint64_t pool_adopt_grant(struct pool *pool, const struct pool_grant_request *ask,
			  const char *const *stages);

/* Drops the waiting requests and the grants of an entry whose connection was closed. */
void pool_on_entry_disconnected(struct pool *pool, uint64_t entry, int64_t now_us);

/* Applies a load report. running: all requests at the endpoint, whoever granted them. */
void pool_on_load_report(struct pool *pool, const char *endpoint, int running, bool leaving,
			 int64_t now_us);

/* Marks an endpoint as down until its next load report. */
void pool_on_endpoint_down(struct pool *pool, const char *endpoint, int64_t now_us);

/* Refuses requests that waited too long. To be called about ten times a second. */
void pool_on_tick(struct pool *pool, int64_t now_us);

/* Returns the endpoint of that name, or NULL. */
struct pool_endpoint *pool_find_endpoint(const struct pool *pool, const char *endpoint);

/* Names used in metrics and settings. */
const char *pool_refusal_name(enum pool_refusal why);
const char *pool_policy_name(enum pool_policy policy);

G_END_DECLS

#endif
