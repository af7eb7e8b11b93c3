#ifndef ROUTER_HOST_NEWS_H
#define ROUTER_HOST_NEWS_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * Log of changes to the list of hosts, from which a feeder sends each follower only the changes
 * that the follower does not have yet. Changes are numbered; the feeder remembers the number of the
 * last change that it sent to each follower. No I/O.
 *
 * Sending the whole list with each change took 60 KB for each of 984 hosts while these registered
 * themselves, more than half of all traffic between availability zones.
 */
enum {
	/*
	 * Most removed hosts whose names are kept. About 310 hosts are restarted or replaced in a
	 * day; the names take less than 64 KB.
	 */
	HN_REMOVED_MAX = 1024
};

struct hn {
	GHashTable *links; /* host name -> its link in "order" */
	GQueue order;	   /* one struct hn_entry for each host, the latest change last */
	guint version;	   /* number of the latest change; 0: no change yet */
	guint full_before; /* followers with an older version than this get the whole list */
	guint n_removed;   /* number of entries of removed hosts */
};

void hn_init(struct hn *delta);
void hn_finish(struct hn *delta);

/* Records that a host was added, was removed, or has changed its address. */
void hn_on_change(struct hn *delta, const char *name, bool removed);

/* The list was compared with the store's list: every follower gets the whole list once more. */
void hn_on_compared(struct hn *delta);

/* Returns whether a follower that has the changes up to number "since" gets the whole list. */
bool hn_needs_whole(const struct hn *delta, guint since);

/*
 * Calls "fn" once for each host that has changed after change number "since", the latest change
 * first. If "since" is 0, calls it for all hosts in the log.
 */
typedef void (*hn_fn)(void *ctx, const char *name, bool removed);
void hn_each_since(const struct hn *delta, guint since, hn_fn fn, void *ctx);

G_END_DECLS

#endif
