#ifndef PLACE_JUDGE_H
#define PLACE_JUDGE_H

#include "place/place.h"

G_BEGIN_DECLS

/*
 * Judges a placement by the load that it bears: the largest rate of requests at which the tokens in
 * flight fit into memory at the weakest layer and an event of a stream takes no longer than the
 * pause aim. The functions are pure and use only what the deployment declares.
 */

/* What may be lost before the rate is computed. */
enum jdg_loss {
	JDG_CALM, /* nothing is lost */
	JDG_ONE,  /* the endpoint whose loss takes most memory from the weakest layer */
	JDG_PAIR, /* two endpoints, of one layer or of two zones */
	JDG_ZONE, /* an availability zone; its requests run in the others */
	JDG_LOSSES
};

/* Judgement of a placement. Rates and times are 0 if some layer has no holder. */
struct jdg_result {
	double tokens[JDG_LOSSES]; /* memory at the weakest layer, in tokens of context */
	double rate[JDG_LOSSES];   /* requests a second that the placement bears */
	double rate_borne;	   /* weighted mean of the rates */
	double event_ms;	   /* mean time of an event at rate_borne, in ms */
	double stages;		   /* mean number of stages of a pipeline */
	double twins; /* part of the endpoints that another one with an equal range can replace */
};

/* Returns whether the deployment declares step times, memory and usual lengths of requests. */
bool jdg_can_judge(const struct rt_engine *engine);

/* Judges the ranges that the nodes hold. The pause aim is in ms; 0 if unknown. */
void jdg_bear(const struct rt_engine *engine, const struct pl_node *nodes, int n,
	      const struct pl_demand *demand, struct jdg_result *result);

G_END_DECLS

#endif
