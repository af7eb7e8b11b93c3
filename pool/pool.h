#ifndef POOL_POOL_H
#define POOL_POOL_H

#include "conf/conf.h"
#include "fair/fair.h"
#include "pool/flow.h"

#include <glib.h>

G_BEGIN_DECLS

/*
 * A pool: the endpoints of one model that operators have put together, and the queue of client
 * accounts before them. Its home grants pipelines. Pure: events and the time in, grants and
 * refusals out through callbacks.
 */
enum pool_refusal {
	POOL_REFUSE_FULL,     /* the account's queue is full */
	POOL_REFUSE_DEADLINE, /* it would start after its deadline */
	POOL_REFUSE_NO_PATH,  /* no pipeline covers every layer */
	POOL_REFUSE_COUNT
};

/* How an attempt that had a grant ended, as its entry tells. */
enum pool_outcome {
	POOL_OUTCOME_OK,      /* whole, or given up by the caller */
	POOL_OUTCOME_REFUSED, /* the endpoint refused the connection, or broke it */
	POOL_OUTCOME_STALLED, /* no token in time; which stage is at fault is not known */
	POOL_OUTCOME_NOT_RUN  /* the endpoint said so: leaving, or does not hold the layers */
};

enum pool_policy {
	POOL_POLICY_FLOW,	  /* the flow's paths, corrected by work in flight */
	POOL_POLICY_WEIGHTS,	  /* the flow's paths by smooth weighted round robin alone */
	POOL_POLICY_LEAST_LOADED, /* least loaded endpoint of each stage by the last reports */
	POOL_POLICY_COUNT
};

struct pool_endpoint {
	char *name;
	char *address;
	char *version;
	int first;
	int last;
	int64_t rate;
	int slots;	    /* requests that it batches */
	bool declared;	    /* still in the configuration */
	bool draining;	    /* by the configuration */
	bool leaving;	    /* by its own word, or it does not hold what is declared */
	int64_t leaving_us; /* since when */
	bool down;	    /* by evidence */
	int64_t down_us;    /* since when */
	int inflight;	    /* granted here */
	int foreign;	    /* running there beyond what was granted here, by the last report */
	int reported;	    /* running there by the last report */
	int peak;	    /* highest inflight since the last report */
	int last_peak;	    /* the same between the two reports before */
	int64_t report_us;
	uint64_t granted; /* in all */
	int refs;
};

struct pool_ask {
	uint64_t entry; /* who asks; the caller's own number for it */
	uint64_t ask_id;
	const char *account;
	struct fair_limits limits;
	const char *version;
	uint64_t tokens; /* estimate */
	int64_t deadline_us;
	int priority;
	const char *const *exclude; /* endpoints to pass over if possible, NULL-terminated */
};

struct pool_grant {
	uint64_t id;
	uint64_t entry;
	uint64_t ask_id;
	struct fair_account *account;
	uint64_t tokens;
	struct pool_endpoint *stages[FLOW_STAGES_MAX];
	int first[FLOW_STAGES_MAX]; /* layers that the stage runs: first..last of the endpoint */
	int count;
	int64_t waited_us;
};

struct pool_ops {
	void (*grant)(void *ctx, const struct pool_grant *grant, int64_t wait_us);
	void (*refuse)(void *ctx, uint64_t entry, uint64_t ask_id, enum pool_refusal why,
		       int64_t retry_us);

	/* Something is wrong with the endpoint: ask it for its load now. */
	void (*probe)(void *ctx, const struct pool_endpoint *endpoint);
};

struct pool_settings {
	enum pool_policy policy;
	int overlap_percent;  /* of what the stages of a pipeline batch, that is let in flight */
	unsigned int divisor; /* uses one part in so many of the slots; 1 for a home */
	int64_t no_path_grace_us; /* how long requests wait for a pipeline to appear */
};

struct pool_path {
	struct flow_path flow; /* nodes are indices into the endpoints of one version */
	struct pool_endpoint *stages[FLOW_STAGES_MAX];
	const char *version;
	int64_t current; /* of smooth weighted round robin */
	int inflight;
};

struct pool {
	char *name;
	char *model;
	int layers;
	int64_t activation;
	const struct pool_ops *ops;
	void *ctx;
	struct pool_settings settings;
	struct conf_state *conf;
	GPtrArray *endpoints; /* struct pool_endpoint, in order of name */
	GHashTable *links;    /* "from to" -> bytes a second, as a pointer-sized number */
	GPtrArray *paths;     /* struct pool_path */
	int64_t bound;	      /* tokens a second of all versions */
	struct fair fair;
	GHashTable *waiting; /* item id -> struct pool_wait */
	GHashTable *grants;  /* grant id -> struct pool_grant */
	uint64_t last_id;
	int64_t no_path_since_us; /* 0: there is one */
};

void pool_init(struct pool *pool, const char *name, const struct pool_settings *settings,
	       const struct pool_ops *ops, void *ctx);
void pool_finish(struct pool *pool);

/* A new configuration is in force. Takes a reference on conf. */
void pool_on_conf(struct pool *pool, struct conf_state *conf, int64_t now_us);

void pool_on_ask(struct pool *pool, const struct pool_ask *ask, int64_t now_us);
void pool_on_withdraw(struct pool *pool, uint64_t entry, uint64_t ask_id, int64_t now_us);

/* An attempt ended. bad names the endpoint at fault, or is NULL. */
void pool_on_done(struct pool *pool, uint64_t grant_id, uint64_t tokens, enum pool_outcome outcome,
		  const char *bad, int64_t now_us);

/*
 * An entry tells what it has in flight that another home granted. Returns the id of the grant that
 * stands for it here, or 0 when none of the stages is known.
 */
uint64_t pool_on_holding(struct pool *pool, const struct pool_ask *ask, const char *const *stages);

/* The connection to an entry is gone: what it waited for and what it held is given up. */
void pool_on_entry_gone(struct pool *pool, uint64_t entry, int64_t now_us);

/* A load report; running counts every request at the endpoint. */
void pool_on_load(struct pool *pool, const char *endpoint, int running, bool leaving,
		  int64_t now_us);
void pool_on_endpoint_down(struct pool *pool, const char *endpoint, int64_t now_us);

/* To be called about ten times a second: expires what waited too long. */
void pool_on_tick(struct pool *pool, int64_t now_us);

struct pool_endpoint *pool_find(const struct pool *pool, const char *endpoint);

const char *pool_refusal_name(enum pool_refusal why);
const char *pool_policy_name(enum pool_policy policy);

G_END_DECLS

#endif
