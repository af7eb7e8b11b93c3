#ifndef ROUTER_HOST_NEWS_H
#define ROUTER_HOST_NEWS_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * Which hosts have come or gone since a follower was last told. Each change has a number; a
 * follower that has been told up to one gets those after it. Pure.
 *
 * The whole list with each change was 60 KB to each of 984 hosts while these list themselves, which
 * was more than half of all that crossed between availability zones.
 */
enum {
	/* Names of hosts that have gone; 310 are restarted or replaced a day, under 64 KB. */
	HN_GONE_MAX = 1024
};

struct hn {
	GHashTable *links; /* name -> link in order */
	GQueue order;	   /* struct hn_entry, the newest change last */
	guint version;	   /* number of the newest change; 0: none yet */
	guint whole;	   /* who has been told less than this gets the whole list */
	guint gone;	   /* entries of hosts that have gone */
};

void hn_init(struct hn *hn);
void hn_finish(struct hn *hn);

/* The host is there, perhaps at another address, or has gone. */
void hn_on_change(struct hn *hn, const char *name, bool gone);

/* The list was compared with the store's: everybody gets it whole once more. */
void hn_on_compared(struct hn *hn);

/* Whether a follower that was told up to "since" gets the whole list. */
bool hn_needs_whole(const struct hn *hn, guint since);

/* Calls fn for each change after "since", the newest first; 0: for all that is known. */
typedef void (*hn_fn)(void *ctx, const char *name, bool gone);
void hn_each_since(const struct hn *hn, guint since, hn_fn fn, void *ctx);

G_END_DECLS

#endif
