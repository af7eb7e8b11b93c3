#ifndef ROUTER_FEED_MERGE_H
#define ROUTER_FEED_MERGE_H

#include "router/feed_pack.h"

G_BEGIN_DECLS

/*
 * Merges endpoints from a feed into the list of this host, which may have followers of its own.
 * When a full list arrives again, little in it has changed. If it were forwarded as a full list,
 * every follower of every relay would get one: 984 lists of 3,000 endpoints because a single list
 * was requested. So followers get only the changes, as records. The functions have no side effects
 * outside of the struct.
 */
struct fmerge {
	struct ep_list *list; /* List of endpoints of this host */
	struct fpack *out;    /* Queue of records for this host's followers */

	/*
	 * Adds an entry to the list, and queues it for followers if it changes the list. text.data
	 * is NULL if the endpoint was removed.
	 */
	void (*apply)(void *ctx, int64_t place, const char *id, struct str text);
	void *ctx; /* First argument of apply */
};

/*
 * Merges the items: the full list if listing is true, else the latest records. next is the place up
 * to which the feeder has read the store's log. Returns whether followers need the full list
 * because records cannot express the changes.
 */
bool fmerge_apply(const struct fmerge *fmerge, const Feed__Endpoints *items, bool listing,
		  int64_t next, int64_t now_us);

G_END_DECLS

#endif
