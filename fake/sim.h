#ifndef FAKE_SIM_H
#define FAKE_SIM_H

#include "base/loop.h"
#include "conf/conf.h"

#include <glib.h>

/*
 * Simulation of model engines: endpoints that hold ranges of layers, batch continuously, and pass
 * tokens along links. Runs in the thread of its loop.
 *
 * A step of an endpoint takes slots/rate seconds when its batch is full and a fixed part of that
 * when it holds one request, so that a full endpoint passes `rate` tokens a second.
 */
enum {
	SIM_STAGES_MAX = 16
};

enum sim_run_state {
	SIM_RUNNING,
	SIM_DONE,
	SIM_FAILED,
	SIM_CANCELED
};

struct sim_endpoint {
	char *name;
	char *address;
	char *model;
	char *version;
	int first;
	int last;
	int64_t rate;
	int slots;
	bool fencing;
	int64_t fence; /* highest number seen in an order */

	bool dead;
	bool silent;
	bool leaving;
	double slow; /* factor on step times */

	GQueue *waiting;  /* struct sim_run whose token waits here */
	GPtrArray *batch; /* those of the step under way */
	struct tmr step;
	int running;	 /* runs that have this endpoint on their route */
	uint64_t passes; /* tokens passed, in all */
	int64_t busy_us;
};

struct sim_stage {
	struct sim_endpoint *endpoint;
	int first;
	int last;
};

struct sim_run;

struct sim_ops {
	/* The run has a new token, or has ended; look at it. */
	void (*changed)(void *ctx, struct sim_run *run);
};

struct sim_run {
	struct sim *sim;
	char *id; /* REQUEST-ATTEMPT */
	char *request;
	char *key;
	unsigned int attempt;
	enum sim_run_state state;
	char *failed_at; /* endpoint that died */
	bool detached;	 /* goes on without a listener */
	struct sim_stage stages[SIM_STAGES_MAX];
	int stage_count;
	int stage;	 /* where its token is */
	int layers_done; /* of the token under way */
	int layer_total;
	uint64_t prompt_hash;
	int64_t prompt_tokens;
	uint64_t first_index; /* a run that goes on from an earlier attempt starts here */
	uint64_t max_tokens;
	uint64_t next;	  /* index of the token under way */
	GPtrArray *texts; /* of the tokens from first_index on */
	struct tmr hop;
	int64_t ended_us;
	void *data; /* the owner's */
};

/* Tokens go over a link one after the other. */
struct sim_link {
	int64_t token_us; /* time that one token's activation occupies it */
	int64_t free_us;  /* when it will have passed on all that it was given */
};

struct sim_ledger {
	char *key;
	char *request;
	uint64_t attempts;
	uint64_t tokens;
	uint64_t violations;
};

struct sim {
	struct loop *loop;
	const struct sim_ops *ops;
	void *ctx;
	GPtrArray *endpoints;
	GHashTable *links; /* "from to" -> struct sim_link */
	int64_t link_delay_us;
	int64_t activation;	 /* bytes of a token on a link */
	int64_t prefill_divisor; /* prompt tokens that weigh as much as one request in a step */
	GHashTable *runs;	 /* id -> struct sim_run */
	GHashTable *ledger;	 /* "key request" -> struct sim_ledger */
	GPtrArray *ledger_order;
};

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

/* Adds what the declarations name. */
void sim_load(struct sim *sim, const struct conf_state *conf);

struct sim_endpoint *sim_find(const struct sim *sim, const char *name);

/* Starts a run; it replaces an earlier one of the same request and attempt. */
struct sim_run *sim_start(struct sim *sim, const struct sim_run_params *params,
			  const struct sim_stage *stages, int count);
void sim_cancel(struct sim_run *run);
void sim_forget(struct sim_run *run);

/* The endpoint's process dies, or comes back with nothing in it. */
void sim_kill(struct sim *sim, struct sim_endpoint *endpoint);
void sim_revive(struct sim_endpoint *endpoint);
void sim_set_silent(struct sim *sim, struct sim_endpoint *endpoint, bool silent);

struct sim_ledger *sim_ledger_entry(struct sim *sim, const char *key, const char *request);

#endif
