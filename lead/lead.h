#ifndef LEAD_LEAD_H
#define LEAD_LEAD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Decides whether this host is the leader, the only host that may send orders to engines. The store
 * keeps a group of hosts and gives a lease to one member. The lease comes with a fencing number,
 * made of the group's generation and the store's era (era/era.h). The module does no I/O. All times
 * are in microseconds of a clock that keeps running while the host is suspended.
 *
 * Two hosts that send orders at once would undo each other's placements and load weights for
 * nothing. The store gives the lease to another host when no join of the holder has arrived for
 * the lease's time to live. This host counts that time from when it sent the join. Its own right to
 * send orders therefore ends first, however long the join was on its way or the host suspended.
 *
 * A store that was restored from a copy may give the lease to another host, and the previous holder
 * may not learn of that: it may be suspended, or cut off from everything but the engines. So a host
 * that learns of a restore joins again, and sends orders only once every lease from before has
 * expired, unless it held that lease itself.
 */
struct lead {
	int64_t ttl_us;	       /* time to live of a lease in the store */
	int64_t join_sent_us;  /* time at which the latest join was sent */
	int64_t joined_us;     /* time at which the last answered join was sent; 0 if none */
	int64_t wait_until_us; /* time before which no order is sent, as an older lease may last */
	int64_t fence;	       /* fencing number in the answer to the last join; -1 if none */
	int64_t newest;	       /* highest fencing number known from any source; -1 if none */
	int64_t refused_fence; /* highest fencing number that an engine refused; -1 if none */
	bool leads;	       /* whether the answer to the last join gave the lease to this host */
};

void lead_init(struct lead *lead, int64_t ttl_us);

/* A join was sent to the store. */
void lead_on_join_sent(struct lead *lead, int64_t now_us);

/* The store answered the join. Returns whether the fencing number or the lease changed. */
bool lead_on_join_answered(struct lead *lead, int64_t fence, bool leads);

/* Another host reported this fencing number. */
void lead_on_fence_reported(struct lead *lead, int64_t fence);

/* The store was restored from a copy. */
void lead_on_store_restored(struct lead *lead, int64_t now_us);

/* An engine refused an order with this fencing number, since it has seen a higher one. */
void lead_on_order_refused(struct lead *lead, int64_t fence);

/* This host leaves the group. */
void lead_on_group_left(struct lead *lead);

/* Whether this host may send orders to engines now. */
bool lead_may_send_orders(const struct lead *lead, int64_t now_us);

G_END_DECLS

#endif
