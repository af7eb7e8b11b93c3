#ifndef PATH_PATH_H
#define PATH_PATH_H

#include "rt/rt.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Choice of a pipeline for one request: which endpoints, in order, so that every layer is run once,
 * at the least expected time of a token. Pure; the caller gives a random number for breaking ties.
 */
enum {
	PA_STAGES_MAX = 30 /* engines take up to 32 parts */
};

/* Errors. */
enum pa_err {
	PA_ENONE = -700 /* the usable endpoints do not hold every layer */
};

/* Nodes of the later kinds are used only where no path can be had without them. */
enum pa_trust {
	PA_GOOD,
	PA_DOUBTED, /* it has rejected or failed a request; its memory may be full for a moment */
	PA_FAULTY   /* it does not answer */
};

struct pa_node {
	int zone; /* any number that is the same within an availability zone */
	int from; /* layers held */
	int to;
	double pace;
	double read_pace;
	double slowness;  /* measured time as a multiple of what is usual; 1: as usual */
	double room;	  /* tokens of context that it has memory for */
	double in_flight; /* requests passing through it now, as far as is known */
	double tokens;	  /* their tokens of context */
	double full;	  /* part of its memory that is taken, as it reported; 0: not known */
	bool usable;
	bool closed; /* takes no requests from hosts now; it may still serve as a later stage */
	enum pa_trust trust;
};

struct pa_stage {
	int node;
	int from;
	int to;
};

struct pa_path {
	struct pa_stage stages[PA_STAGES_MAX];
	int count;
	double cost_ms; /* expected time of a token */
};

/* What the request needs, and from where it is sent. */
struct pa_ask {
	int from; /* layers to run: from..to-1 */
	int to;
	int zone;	 /* that the first stage is reached from */
	double prompt;	 /* tokens to read */
	double answer;	 /* tokens expected */
	double cross_ms; /* of a hop to another availability zone, besides the delay of the network
			  */
	enum pa_trust trust; /* nodes that are trusted less are not used at all */
	uint32_t seed;	     /* for spreading requests of like cost */
};

typedef double (*pa_delay_fn)(void *ctx, int zone_a, int zone_b);

/*
 * Returns 0 or PA_ENONE. A node that is not trusted is used only where no path can be had without
 * it, however full the others are: a full one may take the request, one at fault will not.
 */
int pa_choose(const struct rt_engine *engine, const struct pa_node *nodes, int n,
	      const struct pa_ask *ask, pa_delay_fn delay, void *ctx, struct pa_path *path);

G_END_DECLS

#endif
