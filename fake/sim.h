#ifndef FAKE_SIM_H
#define FAKE_SIM_H

#include "base/loop.h"
#include "conf/conf.h"

#include <glib.h>

/*
 * Simulation of model engines: endpoints that hold ranges of layers, batch continuously, and pass
 * tokens along links. Runs in the thread of its loop.
 *
 * A step of an endpoint takes slots/rate seconds if its batch is full, so that a full endpoint
 * processes `rate` tokens per second. Part of the step time is fixed, the rest is proportional to
 * the size of the batch.
 */
enum {
	SIM_STAGES_MAX = 16 /* most stages on the route of a run */
};

enum sim_run_state {
	SIM_RUNNING,
	SIM_DONE,
	SIM_FAILED,
	SIM_CANCELED
};

/* Simulated model engine that holds a range of layers. */
struct sim_endpoint {
	char *name;
	char *address;
	char *model;
	char *version;
	int first;     /* first layer held */
	int last;      /* last layer held */
	int64_t rate;  /* tokens per second with a full batch */
	int slots;     /* largest number of runs in a batch */
	bool fencing;  /* orders with a fencing number below the highest are refused */
	int64_t fence; /* highest fencing number received in an order */

	bool dead;	 /* process has ended: connections are refused */
	bool silent;	 /* process hangs: no step starts, and requests stay unanswered */
	bool leaving;	 /* endpoint is being drained and refuses new runs */
	double slowdown; /* factor by which steps are lengthened; 1 is normal speed */

	GQueue *waiting;  /* struct sim_run whose current token waits for this endpoint */
	GPtrArray *batch; /* struct sim_run in the current step */
	struct tmr step;  /* end of the current step */
	int running;	  /* number of runs with this endpoint on their route */
	uint64_t passes;  /* total number of tokens processed */
	int64_t busy_us;  /* total duration of all steps, in microseconds */
};

/* Part of a route: a range of layers computed by one endpoint. */
struct sim_stage {
	struct sim_endpoint *endpoint;
	int first; /* first layer */
	int last;  /* last layer */
};

struct sim_run;

/* Callbacks of the user of the simulation. */
struct sim_ops {
	/* Called when the run has produced a token or has ended. */
	void (*changed)(void *ctx, struct sim_run *run);
};

/* Attempt to generate the tokens of a request. */
struct sim_run {
	struct sim *sim;
	char *id;	      /* REQUEST-ATTEMPT */
	char *request;	      /* request ID */
	char *key;	      /* idempotency key; empty if none */
	unsigned int attempt; /* number of the attempt */
	enum sim_run_state state;
	char *failed_at; /* name of the endpoint whose death ended the run; NULL if none */
	bool detached;	 /* run continues when no caller is connected */
	struct sim_stage stages[SIM_STAGES_MAX];
	int stage_count;
	int stage;	 /* index of the stage that the current token has reached */
	int layers_done; /* index of the next layer to compute for the current token */
	int layer_total; /* number of layers of the model */
	uint64_t prompt_hash;
	int64_t prompt_tokens;
	uint64_t first_index; /* index of the first token; above 0 in a resumed attempt */
	uint64_t max_tokens;  /* index at which the run ends */
	uint64_t next;	      /* index of the current token */
	GPtrArray *texts;     /* texts of the tokens, starting with the one at first_index */
	struct tmr hop;	      /* arrival of the current token at the next stage */
	int64_t ended_us;     /* time at which the run ended, in microseconds */
	void *data;	      /* private data of the user of the simulation */
};

/* Link between two endpoints; transfers one token at a time. */
struct sim_link {
	int64_t token_us; /* transfer time of the activation of one token, in microseconds */
	int64_t free_us;  /* time at which all queued transfers are complete, in microseconds */
};

/* Record of the work that was executed for a request. */
struct sim_ledger {
	char *key;	     /* idempotency key; empty if none */
	char *request;	     /* request ID */
	uint64_t attempts;   /* number of times the request was started */
	uint64_t tokens;     /* number of tokens produced by all attempts */
	uint64_t violations; /* number of layer ranges that were skipped, repeated or not held */
};

struct sim {
	struct loop *loop;
	const struct sim_ops *ops;
	void *ctx;
	GPtrArray *endpoints;	 /* struct sim_endpoint */
	GHashTable *links;	 /* "from to" -> struct sim_link */
	int64_t link_delay_us;	 /* delay of a token after each stage, in microseconds */
	int64_t activation;	 /* size of the activation of one token, in bytes */
	int64_t prefill_divisor; /* prompt tokens that cost as much as one generated token */
	GHashTable *runs;	 /* id -> struct sim_run */
	GHashTable *ledger;	 /* "key request" -> struct sim_ledger */
	GPtrArray *ledger_order; /* struct sim_ledger, in order of creation */
};

/* Initial values of the fields of struct sim_run that have the same names. */
struct sim_run_params {
	const char *request;
	const char *key;
	unsigned int attempt;
	bool detached;
	uint64_t prompt_hash;
	int64_t prompt_tokens;
	uint64_t first_index;
	uint64_t max_tokens;
	int layer_total;
};

void sim_init(struct sim *sim, struct loop *loop, const struct sim_ops *ops, void *ctx);

/* Adds the endpoints and links of the configuration. */
void sim_add_declarations(struct sim *sim, const struct conf_state *conf);

/* Returns the endpoint with this name, or NULL. */
struct sim_endpoint *sim_find_endpoint(const struct sim *sim, const char *name);

/* Starts a run and removes an earlier one of the same request and attempt. */
struct sim_run *sim_start_run(struct sim *sim, const struct sim_run_params *params,
			      const struct sim_stage *stages, int count);
void sim_cancel_run(struct sim_run *run);

/* Cancels the run if it is still running, and frees it. */
void sim_remove_run(struct sim_run *run);

/* Simulates the death of the endpoint's process: all of its runs fail. */
void sim_kill_endpoint(struct sim *sim, struct sim_endpoint *endpoint);

/* Simulates a restart of the process after its death, without any runs. */
void sim_revive_endpoint(struct sim_endpoint *endpoint);

/* Simulates a hanging process, which starts no step while it is silent. */
void sim_set_silent(struct sim *sim, struct sim_endpoint *endpoint, bool silent);

/* Returns the ledger entry of the key and request; creates it if there is none. */
struct sim_ledger *sim_ledger_entry(struct sim *sim, const char *key, const char *request);

#endif
