#ifndef ROUTER_CRASH_H
#define ROUTER_CRASH_H

#include "quar/quar_key.h"

#include <glib.h>

/*
 * Which requests were under way at an endpoint when it ended. An attempt that breaks off may have
 * lost its answer only; whether its endpoint has ended is seen by asking the endpoint itself. Part
 * of the traffic thread.
 */
struct tf;
struct tf_ep;
struct crash_check;

/* How far an attempt had come when it was cut. */
enum crash_progress {
	CRASH_WAITING, /* nothing was heard of it for long: it was waiting in the endpoint's queue
			*/
	CRASH_SENT,    /* nothing was heard of it, but it had just been sent */
	CRASH_BEGUN,   /* it had just begun, and brought little of its answer or nothing */
	CRASH_RUNNING  /* it had gone on for a while */
};

/* An attempt that was cut. */
struct crash_cut {
	struct quar_key key;
	char *account; /* owned; "": none */
	char *id;      /* owned; of the request */
	enum crash_progress progress;
	int64_t lasted_us; /* from the head of its answer to the newest part */
	bool unproved;	   /* the endpoint may only have been busy */
};

/* An attempt of a request was cut at that endpoint; texts are copied. */
void crash_on_cut(struct tf *tf, struct tf_ep *ep, const struct crash_cut *cut);

#endif
