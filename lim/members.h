#ifndef LIM_MEMBERS_H
#define LIM_MEMBERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Which hosts ask this home, and so what part of each limit it may divide.
 *
 * Hosts choose the home alike, but some may not reach it, or may not know that it is back, and ask
 * another one. If each home gave out the whole limit, endpoints would get it several times. So a
 * home divides the part of the limit that its hosts are of all hosts. Each host asks one home at a
 * time: it is counted here until its lease ends, and asks another one only after that.
 *
 * Hosts that are gone for good must not take their part with them: after a while it comes back to
 * the home that more than half of all hosts ask. A smaller group that was cut off for so long may
 * use its own part besides, so over all homes it is then less than one and a half times the limit.
 * Pure.
 */
enum {
	LIM_LEASE_US = 3000000, /* for which a host is counted after what it last heard of the home
				 */
	LIM_GONE_US = 8000000	/* after which the part of a host that is missing comes back */
};

struct lim_members {
	GHashTable *hosts; /* name -> struct lim_member, those that are listed */
	bool listed;	   /* the hosts are known */
};

void lim_members_init(struct lim_members *members);
void lim_members_finish(struct lim_members *members);

/* The hosts of the system; names: char *. */
void lim_members_list(struct lim_members *members, const GPtrArray *names, int64_t now_us);

/* The host asks this home, and has heard what it sent at heard_us of this home's clock. */
void lim_members_heard(struct lim_members *members, const char *name, int64_t heard_us);

void lim_members_left(struct lim_members *members, const char *name);

/* Hosts that ask this home now. */
unsigned int lim_members_count(const struct lim_members *members, int64_t now_us);

/* The part of each limit that this home may divide, 0..1. */
double lim_members_part(const struct lim_members *members, int64_t now_us);

G_END_DECLS

#endif
