#ifndef ROUTER_HOST_DELTA_H
#define ROUTER_HOST_DELTA_H

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
	HDELTA_REMOVED_MAX = 1024
};

struct hdelta {
	GHashTable *links; /* host name -> its link in "order" */
	GQueue order;	   /* one struct hdelta_entry for each host, the latest change last */
	guint version;	   /* number of the latest change; 0: no change yet */
	guint full_before; /* followers with an older version than this get the whole list */
	guint n_removed;   /* number of entries of removed hosts */
};

void hdelta_init(struct hdelta *delta);
void hdelta_finish(struct hdelta *delta);

/* Records that a host was added, was removed, or has changed its address. */
void hdelta_on_change(struct hdelta *delta, const char *name, bool removed);

/* The list was compared with the store's list: every follower gets the whole list once more. */
void hdelta_on_compared(struct hdelta *delta);

/* Returns whether a follower that has the changes up to number "since" gets the whole list. */
bool hdelta_needs_full(const struct hdelta *delta, guint since);

/*
 * Calls "fn" once for each host that has changed after change number "since", the latest change
 * first. If "since" is 0, calls it for all hosts in the log.
 */
typedef void (*hdelta_fn)(void *ctx, const char *name, bool removed);
void hdelta_each_since(const struct hdelta *delta, guint since, hdelta_fn fn, void *ctx);

G_END_DECLS

#endif
