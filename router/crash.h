#ifndef ROUTER_CRASH_H
#define ROUTER_CRASH_H

#include "quar/quar_key.h"

#include <glib.h>

/*
 * Finds out which requests were under way at an endpoint when its process ended. A cut attempt, one
 * whose answer breaks off, may have lost only its connection; to learn whether the endpoint has
 * ended, this host sends a probe to the endpoint. Runs in the traffic thread.
 */
struct traf;
struct traf_ep;
struct crash_check;

/* Progress of an attempt at the time when it was cut. */
enum crash_progress {
	CRASH_WAITING, /* sent some time ago, no answer yet: waiting in the endpoint's queue */
	CRASH_SENT,    /* just sent, no answer yet */
	CRASH_BEGUN,   /* just begun, with little or nothing of its answer received */
	CRASH_RUNNING  /* its answer had been received for a while */
};

/* An attempt that was cut. */
struct crash_attempt {
	struct quar_key key; /* digest of client account, target and body */
	char *account;	     /* client account; "" if there is none; owned */
	char *id;	     /* id of the request; owned */
	enum crash_progress progress;
	uint64_t *parts;   /* shared parts of the prompt, see struct seam_request; owned */
	int n_parts;	   /* number of elements of parts */
	bool is_answered;  /* a part of the answer had been received, in this attempt or before */
	int64_t lasted_us; /* time from the head of the answer to its last part, in microseconds */
	bool unconfirmed;  /* not confirmed that the endpoint has ended; it may only be busy */
};

/* Handles an attempt that was cut at that endpoint. Texts and parts are copied. */
void crash_on_attempt_cut(struct traf *traf, struct traf_ep *ep, const struct crash_attempt *cut);

#endif
