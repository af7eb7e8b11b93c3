#ifndef LEAD_LEAD_H
#define LEAD_LEAD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Whether this host may give orders to engines: the lease that the store's group of hosts gives to
 * one member, and the fencing number that goes with it (the group's generation in the store's era,
 * see era/era.h). Pure; times are of a clock that goes on while the host is suspended.
 *
 * Two hosts that order at once would undo each other's placements and load weights for nothing.
 * The store gives the lease to another host when a member has been silent for its time to live
 * since a join arrived there. This host counts that time from before it sent the join, so its own
 * right ends first, whatever the join's way took, and however long the host was suspended.
 *
 * When the store comes back from a copy, it may give the lease to another host than the one that
 * holds it, and that one may not hear of the return: it is suspended, or cut off from all but the
 * engines. So a host that hears of a return joins anew, and orders only when a lease from before
 * must be over, unless it held that itself.
 */
struct lead {
	int64_t ttl_us;	   /* of a member, as the store counts it */
	int64_t began_us;  /* when the join under way was sent */
	int64_t joined_us; /* when the last join that was answered had been sent; 0: none */
	int64_t clear_us;  /* from when on no lease from before a return is left */
	int64_t fence;	   /* number that this join was answered with; -1: none */
	int64_t newest;	   /* number that is known from any side; -1: none */
	int64_t refused;   /* fencing number that an engine refused; -1: none */
	bool leads;	   /* as that join was answered */
};

void lead_init(struct lead *lead, int64_t ttl_us);

/* A join is sent; it was answered. The second returns whether anything changed. */
void lead_on_join(struct lead *lead, int64_t now_us);
bool lead_on_joined(struct lead *lead, int64_t fence, bool leads);

/* Another host knows that fencing number. */
void lead_on_heard(struct lead *lead, int64_t fence);

/* The store has come back from a copy. */
void lead_on_return(struct lead *lead, int64_t now_us);

/* An engine has seen a higher fencing number than that one. */
void lead_on_refused(struct lead *lead, int64_t fence);

/* The host leaves the group. */
void lead_on_left(struct lead *lead);

bool lead_may_order(const struct lead *lead, int64_t now_us);

G_END_DECLS

#endif
