#ifndef EP_EP_H
#define EP_EP_H

#include "base/str.h"
#include "era/era.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The list of endpoints as they register themselves in the store. An entry that vanishes counts as
 * gone at once while the store is well; while it was away, entries lapse although their endpoints
 * live, so a lapsed one is kept until the store has been back long enough for it to register again.
 *
 * Records are ordered by their places in the store's log (era/era.h). Where the store has come back
 * from a copy, it lists what it had some seconds earlier, and what was lost is written again in any
 * order. There an endpoint's own counts tell what is newer: its start and its heartbeats. Without
 * that an endpoint that had gone would be sent to again, or layers that it has given up. Before a
 * store that tells no eras the places alone count.
 * Pure: records and the time go in.
 */
enum ep_state {
	EP_READY,
	EP_DRAINING
};

/* What an endpoint says of itself; immutable once it is in a list. */
struct ep_rec {
	char *id;
	int64_t born_ms; /* Unix time of its start, which tells its incarnations apart; 0: not told
			  */
	char *incarnation; /* id and start in one; what is learnt of an endpoint is kept under it */
	char *service;
	char *addr;
	char *zone;
	char *kind; /* of its accelerator; NULL for a plain service */
	enum ep_state state;
	int slots;
	int layer_from;	   /* first layer that it holds */
	int layer_to;	   /* one past the last; equal to layer_from: it holds none */
	int64_t heartbeat; /* how many it has sent since its start; 0: not told */
	int64_t cold_ms;   /* how much longer it is slow after its start */
	char *text;	   /* the record as it was read, for handing it on; NULL: not kept */
	gint refs;
};

struct ep_rec *ep_rec_new(const char *id, int64_t born_ms);
struct ep_rec *ep_rec_ref(struct ep_rec *rec);
void ep_rec_unref(struct ep_rec *rec);

/* An entry of the list. */
struct ep_entry {
	struct ep_rec *rec;
	int64_t place; /* of the record in the store's log */
	bool lapsed;   /* it was missed; kept until the time for coming back is over */
	bool seen;     /* in the listing that is being read */
};

/* Who registered at an address last. */
struct ep_holder {
	char *id;
	int64_t place; /* of that record */
	int64_t at_us; /* when it was heard of */
};

/* What is remembered of an endpoint that is not in the list any more. */
struct ep_note {
	int64_t place;	   /* of its removal */
	int64_t born_ms;   /* of the incarnation that is gone */
	int64_t heartbeat; /* the last one that was heard of */
	int64_t at_us;	   /* when it was heard of */
};

struct ep_list {
	GHashTable *entries; /* id -> struct ep_entry */
	GHashTable *left;    /* id that said it is leaving -> struct ep_note */
	GHashTable *removed; /* id -> struct ep_note */
	GHashTable *addrs;   /* address -> struct ep_holder */
	bool away;	     /* the last call to the store failed */
	int64_t returned_us; /* when it was reached again after that; -1: never away */
	int64_t listed_us;   /* when it was first read whole; -1: not yet */
	int64_t next;	     /* place of the next record to read */
	int64_t era;	     /* of the store, as far as is known */
	bool may_return;     /* the store tells eras, so it may come back from a copy */
	bool listing;	     /* a whole listing is being read */
	bool changed;
	guint version; /* counts changes of what entries say; heartbeats are none */
};

void ep_list_init(struct ep_list *list);

/* A set of the incarnations that are listed; the texts belong to the list. */
GHashTable *ep_incarnations(const struct ep_list *list);
void ep_list_finish(struct ep_list *list);

/* What a record told. */
enum ep_news {
	EP_NOTHING,   /* something newer is known of the endpoint or its address */
	EP_HEARTBEAT, /* that the endpoint lives; it says the same as before */
	EP_NEWS
};

/* One record of the log: rec is taken over; NULL: the entry is removed. */
enum ep_news ep_on_record(struct ep_list *list, int64_t place, const char *id, struct ep_rec *rec,
			  int64_t now_us);

/*
 * The endpoint said itself that it is leaving, whatever its entry says; for good, as far as this
 * incarnation goes. Returns whether that was news.
 */
bool ep_on_leaving(struct ep_list *list, const char *incarnation, int64_t now_us);

/* A whole listing follows, entry by entry, with ep_on_record(); then ep_on_listed(). */
void ep_on_listing(struct ep_list *list);
void ep_on_listed(struct ep_list *list, int64_t end, int64_t now_us);

/*
 * The store's era. returned: the store has just come back from a copy; what that lacks is taken as
 * after an outage, and what it has is no news unless its endpoint says more than was known.
 */
void ep_on_era(struct ep_list *list, int64_t era, bool returned, int64_t now_us);

/* A call to the store failed; entries that vanish meanwhile may belong to endpoints that live. */
void ep_on_away(struct ep_list *list);

/* A call to the store succeeded. Before the records that it brought are given. */
void ep_on_reached(struct ep_list *list, int64_t now_us);

/*
 * What a host of this system knew before the store was away, one by one. An endpoint that is not
 * in the list is taken for one whose entry has lapsed, if the time for coming back is not over, and
 * nothing newer is known of it or of its address. Takes rec over; returns whether it was taken.
 */
bool ep_on_recalled(struct ep_list *list, int64_t place, struct ep_rec *rec, int64_t now_us);

/* Whether the store is away, or came back so lately that living endpoints may be missing. */
bool ep_is_returning(const struct ep_list *list, int64_t now_us);

/* Entries that are missing in the store, and are kept until living endpoints must be back. */
int ep_lapsed(const struct ep_list *list);

/* Drops lapsed entries whose time is over. Returns whether there were any. */
bool ep_on_time(struct ep_list *list, int64_t now_us);

/*
 * Until when endpoints that live may be missing. A host that starts can't know whether the store
 * was away just before, and one that starts beside its return reads an empty list: in a day on
 * which all hosts were killed in an outage, 2,208 requests were refused in the two seconds until
 * the endpoints had registered again, and nearly all of these had spent their one retry.
 */
int64_t ep_whole_us(const struct ep_list *list);

/* New array of the entries (struct ep_rec with a reference each), sorted by id. */
GPtrArray *ep_snapshot(const struct ep_list *list);

G_END_DECLS

#endif
