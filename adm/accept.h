#ifndef ADM_ACCEPT_H
#define ADM_ACCEPT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Whether this host takes a new connection. The platform may hand most new connections of a zone or
 * a region to one host, more than its processor can serve. All that it reads then waits, longer and
 * longer, until callers give up, while other hosts are idle. A connection that is closed before its
 * request is read costs nothing, and its caller tries again at once, at another host. The module
 * does no I/O and reads no clock.
 */
enum {
	/*
	 * Time in us for which received requests wait for the traffic thread before new connections
	 * are closed. Callers expect the first token after some 500 ms, most of which is the
	 * endpoints'.
	 */
	ACCEPT_LAG_MAX_US = 150000,
	/* Weight of a request in the mean of the handling times, as one part of this number. */
	ACCEPT_PACE_PARTS = 8
};

/* What is known of requests that wait for the traffic thread. */
struct accept_state {
	unsigned int waiting; /* number of received requests that have not been handled */
	int64_t since_us;     /* time from which on some have waited without a break, in us */
	int64_t lag_us;	      /* time that the last handled request had waited, in us */
	int64_t handled_us;   /* time at which a request was last handled, in us */
	int64_t pace_us;      /* mean time that one takes while others wait, in us */
	int hosts;	      /* number of hosts of the deployment, including this one */
};

/*
 * A request is handled that had waited for lag_us, since_us after the one before it. Returns the
 * new mean.
 */
int64_t accept_mean_pace_us(int64_t pace_us, int64_t since_us, int64_t lag_us);

/* Returns whether a new connection should be closed unread. */
bool accept_must_refuse(const struct accept_state *state, int64_t now_us);

G_END_DECLS

#endif
