#ifndef LIM_MEMBERS_H
#define LIM_MEMBERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The hosts that request permits from this home, and the part of each limit that the home may
 * divide among them.
 *
 * All hosts choose the home by the same rule, but some may not be able to reach it, or may not know
 * that it has returned, and use another home. If each home granted the whole limit, endpoints would
 * receive a multiple of it. So a home divides only the part of the limit that corresponds to its
 * hosts among all hosts. Each host uses one home at a time: a home counts it until its lease ends,
 * and the host uses another home only after that.
 *
 * The parts of hosts that have ended for good must not be lost. After some time they are added to
 * the home that more than half of all hosts use. A smaller group that was isolated for that time
 * may still use its own part, so all homes together then divide less than one and a half times the
 * limit. This module does no I/O.
 */
enum {
	/*
	 * Duration of a lease in microseconds. It begins when the home sent the newest message that
	 * the host has received.
	 */
	LIM_LEASE_US = 3000000,
	/* Time in microseconds after which the part of a host without a lease is reclaimed. */
	LIM_RECLAIM_US = 8000000
};

struct lim_members {
	/* Maps the name of each listed or leased host to its struct lim_member. */
	GHashTable *hosts;
	/* Whether the list of hosts is known. */
	bool listed;
};

void lim_members_init(struct lim_members *members);
void lim_members_finish(struct lim_members *members);

/* Sets the list of all hosts. names is an array of char *. */
void lim_members_set_hosts(struct lim_members *members, const GPtrArray *names, int64_t now_us);

/*
 * Renews the lease of a host that requested permits. message_sent_us is the time by the clock of
 * this home at which it sent the newest message that the host has received.
 */
void lim_members_renew_lease(struct lim_members *members, const char *name,
			     int64_t message_sent_us);

/* Ends the lease of a host. */
void lim_members_end_lease(struct lim_members *members, const char *name);

/* Returns the number of hosts that have a lease now. */
unsigned int lim_members_leased_count(const struct lim_members *members, int64_t now_us);

/* Returns the part of each limit that this home may divide, from 0 to 1. */
double lim_members_limit_ratio(const struct lim_members *members, int64_t now_us);

G_END_DECLS

#endif
