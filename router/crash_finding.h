#ifndef ROUTER_CRASH_FINDING_H
#define ROUTER_CRASH_FINDING_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* What a probe tells of an endpoint at which attempts were cut. No I/O. */
enum crash_finding {
	CRASH_RESPONDING,	/* the endpoint answers or sends data */
	CRASH_SAME_INCARNATION, /* confirmed: the same incarnation is still running */
	CRASH_ENDED,	/* connections are refused, or another incarnation has the address */
	CRASH_VANISHED, /* no connection succeeds; a very busy endpoint may cause that, too, but
			   none that only stands still for a moment */
	CRASH_UNCLEAR	/* this host may be disconnected, or the endpoint is busy */
};

enum {
	/* Maximum number of probes while the result is unclear. */
	CRASH_TRIES = 3,
	/*
	 * Time in ms for which all probes of an endpoint have to time out; a sound one may stand
	 * still for a second or so.
	 */
	CRASH_SILENT_MS = 2000,
	/* Number of refused probes that show an end though no other endpoint is heard. */
	CRASH_REFUSALS = 15
};

/* The result of a probe, and what else is known when it ends. */
struct crash_evidence {
	int status;		  /* HTTP status; 0: no answer */
	int err;		  /* why there is none, see base/err.h; 0: there is one */
	int tries;		  /* number of probes so far, including this one */
	int64_t silent_ms;	  /* time since the begin of the first of the last probes that all
				     timed out, in ms; 0: this one did not */
	bool is_same_incarnation; /* it seemed to have ended, and answers with the same start time
				   */
	bool sent_data;		  /* the endpoint has sent data since the probe began */
	bool is_replaced;	  /* another endpoint or incarnation is listed at its address */
	bool has_restarted;	  /* it answers with a later start time */
	bool host_is_alone;	  /* several endpoints in a row don't answer this host */
	bool heard_during_probe;  /* other endpoints have sent data since the probe began */
	int refusals;		  /* number of probes that were refused, including this one */
	bool heard_since_refusal; /* a call that began after the first one was answered */
};

enum crash_finding crash_find(const struct crash_evidence *evidence);

/* Returns whether another probe may tell more, as the result of this one is unclear. */
bool crash_may_probe_again(const struct crash_evidence *evidence);

G_END_DECLS

#endif
