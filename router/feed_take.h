#ifndef ROUTER_FEED_TAKE_H
#define ROUTER_FEED_TAKE_H

#include "router/feed_pack.h"

G_BEGIN_DECLS

/*
 * Endpoints as a feed brought them, on a host that may feed others itself. A whole list that comes
 * once more holds little that is new; handed on as a whole list it would go down to every follower
 * of every relay, 984 lists of 3,000 for one that was asked for. So its followers get what changed
 * by it, as records. Pure.
 */
struct ft {
	struct ep_list *list;
	struct fp *out; /* what this host's followers are told */

	/* Takes an entry into the list, and hands it on if it is news. */
	void (*take)(void *ctx, int64_t place, const char *id, struct str text);
	void *ctx;
};

/*
 * listing: the items are the whole list. next: place up to which the feeder has read. Returns
 * whether followers need the whole list: records can't tell them what changed.
 */
bool ft_take(const struct ft *ft, const Feed__Endpoints *items, bool listing, int64_t next,
	     int64_t now_us);

G_END_DECLS

#endif
