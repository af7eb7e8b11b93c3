#ifndef WATCH_WATCH_H
#define WATCH_WATCH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * When one host calls an endpoint to find the faulty stage of a silent stream. In overload every
 * stream looks silent on every host, so calls follow from the number of hosts: all hosts together
 * make at most WT_CALLS_PER_S requests for reports, and the interval between two calls of one host
 * to one endpoint grows while its answers show no fault. A new fault anywhere, a lost answer and a
 * time without silence make it short again. With few hosts the interval stays constant and calls
 * are not limited. The module does no I/O.
 */
enum {
	/* Least number of hosts with which calls are limited and intervals grow. */
	WT_HOSTS_MIN = 16,
	/* Most requests for reports per second, over all hosts. */
	WT_CALLS_PER_S = 100,
	/* Most requests for reports of one host in a burst. */
	WT_BURST = 4,
	/*
	 * Number of answers without a fault after which the interval grows. A report is about 200
	 * ms old, so the first ones after a fault do not show it yet.
	 */
	WT_FREE_ANSWERS = 3,
	/* Least time between two equal news about one endpoint, in us. */
	WT_TELL_INTERVAL_US = 500000
};

/* Calls of one kind that a host makes to one endpoint. */
struct wt_calls {
	int64_t called_us;  /* time of the last call, in microseconds; 0: none */
	int answers;	    /* answers in a row that showed no fault */
	unsigned int fault; /* number of the newest fault at the last call */
};

/* State of one host. */
struct wt {
	int hosts;	     /* number of hosts of the system, including this one */
	unsigned int faults; /* number of faults seen; wraps around */
	double allowed;	     /* requests for reports allowed now (a token bucket) */
	double phase;	     /* part of a request, 0 to 1, that the full bucket holds besides */
	int64_t refill_us;   /* time at which the bucket was last refilled, in microseconds */
};

/*
 * Prepares the state of a host with a full bucket. phase is a random number from 0 to below 1. It
 * differs between hosts, so that those whose streams fall silent together do not call together.
 */
void wt_init(struct wt *wt, double phase);

/* Returns whether calls are limited and intervals grow with that number of hosts. */
bool wt_is_active(const struct wt *wt);

/* Sets the number of hosts; less than 1 counts as 1. */
void wt_set_hosts(struct wt *wt, int hosts);

/* An endpoint was found faulty, by this host or another one. */
void wt_on_fault(struct wt *wt);

/* Returns the interval before the next call, in us; min_us is the shortest one. */
int64_t wt_interval_us(const struct wt *wt, const struct wt_calls *calls, int64_t min_us);

/* Returns whether the interval since the last call to the endpoint is over. */
bool wt_is_due(const struct wt *wt, const struct wt_calls *calls, int64_t min_us, int64_t now_us);

/* Returns whether this host may request one more report, and counts that one. */
bool wt_take_call(struct wt *wt, int64_t now_us);

/* A call was started. */
void wt_on_call(const struct wt *wt, struct wt_calls *calls, int64_t now_us);

/* The call was answered; faulty: the answer names a faulty stage. */
void wt_on_answer(struct wt_calls *calls, bool faulty);

/* The call was not answered in time, so nothing is known. */
void wt_on_lost(struct wt_calls *calls);

/* A liveness check that failed, and what this host has received from endpoints. */
struct wt_failure {
	int64_t began_us;    /* time at which the check began, in microseconds */
	bool refused;	     /* the connection was refused, not timed out */
	int64_t answered_us; /* time of the last answer to a check or a report, in microseconds */
	int64_t data_us;     /* time of the last data from another endpoint, in microseconds */
};

/*
 * Returns whether the failure counts against the endpoint: another one has reached this host, so
 * this host is neither slow nor cut off. Where calls are limited, few answers come, so the data of
 * streams count, too: since the check began, or shortly before a refusal, which comes within a
 * millisecond.
 */
bool wt_failure_counts(const struct wt *wt, const struct wt_failure *failure);

/* What one host tells the others about an endpoint. */
enum wt_news {
	WT_HINT, /* a symptom that each host checks itself */
	WT_FAULT /* a fault, which needs no check */
};

/* When news about an endpoint were last told; both 0: never. */
struct wt_told {
	int64_t fault_us; /* time of the last fault, in us; with few hosts also of hints */
	int64_t hint_us;  /* time of the last hint, in us */
};

/*
 * Returns whether news have to be told now, and records that: once in WT_TELL_INTERVAL_US, as the
 * same news come from several hosts. With many hosts, few of them find a faulty stage themselves,
 * so a hint does not hold back the fault that follows.
 */
bool wt_must_tell(struct wt_told *told, enum wt_news news, int hosts, int64_t now_us);

G_END_DECLS

#endif
