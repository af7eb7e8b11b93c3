#ifndef PATH_PATH_H
#define PATH_PATH_H

#include "rt/rt.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Chooses the pipeline of one request: a sequence of endpoints that together run every layer once,
 * with the least expected time of a token. The module does no I/O; the caller passes a random seed,
 * which decides between paths of similar cost.
 */
enum {
	PA_STAGES_MAX = 30 /* maximum number of stages of a pipeline; engines accept up to 32 */
};

/* Errors. */
enum pa_err {
	PA_ENONE = -700 /* the usable endpoints do not hold every layer */
};

/* How reliable an endpoint is. A less reliable one is used only if no path exists without it. */
enum pa_trust {
	PA_GOOD,    /* the endpoint has not failed lately */
	PA_DOUBTED, /* the endpoint rejected or failed a request; its memory may be full for a
		       moment */
	PA_FAULTY   /* the endpoint does not answer */
};

/* An endpoint that may become a stage. */
struct pa_node {
	int zone;	  /* number of the endpoint's availability zone; any numbering will do */
	int from;	  /* first layer that the endpoint holds */
	int to;		  /* layer after the last one that the endpoint holds */
	double pace;	  /* time of a token step, as a multiple of the service's step */
	double read_pace; /* time of reading a prompt, as a multiple of the service's time */
	double slowness;  /* ratio of the measured time to the usual time; 1 if it is as usual */
	double room;	  /* memory for requests, in tokens of context */
	double in_flight; /* known number of requests that pass through the endpoint now */
	double tokens;	  /* tokens of context of the requests in flight */
	double full;	  /* part of its memory in use as the endpoint reported; 0 if not known */
	bool usable;	  /* whether the endpoint may be used at all */
	bool closed;	  /* whether the endpoint can't be the first stage, only a later one */
	enum pa_trust trust;
};

/* One stage of a pipeline: an endpoint that runs the layers from..to-1. */
struct pa_stage {
	int node; /* index of the endpoint in the array of nodes */
	int from; /* first layer to run */
	int to;	  /* layer after the last one to run */
};

/* A pipeline. */
struct pa_path {
	struct pa_stage stages[PA_STAGES_MAX];
	int count;	/* number of stages */
	double cost_ms; /* expected time of a token, in ms */
};

/* The request for which a pipeline is chosen. */
struct pa_request {
	int from;	      /* first layer to run */
	int to;		      /* layer after the last one to run */
	int zone;	      /* number of the availability zone that the request is sent from */
	double prompt;	      /* tokens of the prompt that have to be read */
	double answer;	      /* expected tokens of the answer */
	double cross_zone_ms; /* time of a hop between zones besides the network's delay, in ms */
	enum pa_trust trust;  /* least reliable kind of endpoint that may be used */
	uint32_t seed;	      /* random seed that spreads requests over paths of similar cost */
};

/* Returns the network's delay between two availability zones, in ms. */
typedef double (*pa_delay_fn)(void *ctx, int zone_a, int zone_b);

/*
 * Stores the pipeline of the lowest expected cost in path. Returns 0, or PA_ENONE if there is none.
 * An endpoint of less trust is used only if no path exists without it, however full the memory of
 * the others is: an endpoint with full memory may accept the request, a faulty one will not.
 */
int pa_choose_path(const struct rt_engine *engine, const struct pa_node *nodes, int n,
		   const struct pa_request *ask, pa_delay_fn delay, void *ctx,
		   struct pa_path *path);

G_END_DECLS

#endif
