#ifndef EP_EP_H
#define EP_EP_H

#include "base/str.h"
#include "era/era.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The list of endpoints that have registered themselves in the store. While the store is reachable,
 * an endpoint whose entry disappears is dropped at once. During an outage of the store, entries
 * expire although their endpoints still run, so an expired (lapsed) entry is kept until the store
 * has been back long enough for the endpoint to register again.
 *
 * Records are ordered by their places in the store's log (era/era.h). A store that was restored
 * from a copy lists the state of some seconds earlier, and the lost records are written again in
 * any order. In that case the endpoint's own counters, its start time and its number of heartbeats,
 * show which record is newer. Without them this host would send requests to an endpoint that has
 * ended, or for layers that an endpoint no longer holds. For a store without eras the places alone
 * decide.
 *
 * The module does no I/O: records and the time are passed in. All times are in microseconds of the
 * caller's clock, except those that are marked as Unix time.
 */
enum ep_state {
	EP_READY,
	EP_DRAINING
};

/* What an endpoint reports about itself. A record is immutable once it is in a list. */
struct ep_rec {
	char *id;
	int64_t born_ms; /* Unix time of the endpoint's start, in milliseconds; 0 if not reported */
	char *incarnation; /* "id@born_ms"; identifies one run of the endpoint */
	char *service;
	char *addr;
	char *zone;
	char *kind; /* type of the accelerator; NULL for a plain service */
	enum ep_state state;
	int slots;	   /* number of requests that the endpoint runs at once */
	int layer_from;	   /* first model layer that the endpoint holds */
	int layer_to;	   /* one past the last layer; equal to layer_from if it holds none */
	int64_t heartbeat; /* number of heartbeats since the endpoint's start; 0 if not reported */
	int64_t cold_ms; /* remaining time for which the endpoint is slow after its start, in ms */
	char *text;	 /* the record as it was read, for forwarding to other hosts; or NULL */
	gint refs;
};

struct ep_rec *ep_rec_new(const char *id, int64_t born_ms);
struct ep_rec *ep_rec_ref(struct ep_rec *rec);
void ep_rec_unref(struct ep_rec *rec);

/* An entry of the list. */
struct ep_entry {
	struct ep_rec *rec;
	int64_t place; /* place of the record in the store's log */
	bool lapsed;   /* missing in the store, but kept for now since its endpoint may still run */
	bool seen;     /* whether the listing that is being read contains the entry */
	/*
	 * Whether the record is known to be newer than the last outage of the store, which shows
	 * that the endpoint still runs. Other hosts may hold the entry as lapsed until they get
	 * such a record.
	 */
	bool confirmed;
};

/* The endpoint that registered last at an address. */
struct ep_addr_owner {
	char *id;
	int64_t place; /* place in the store's log of the record that gives the address */
	int64_t at_us; /* time at which that record was processed */
};

/* What is kept about an incarnation after it has announced that it leaves, or was removed. */
struct ep_tombstone {
	int64_t place;	   /* place of the removal in the store's log; 0 if not removed yet */
	int64_t born_ms;   /* Unix time of the incarnation's start, in milliseconds */
	int64_t heartbeat; /* latest known heartbeat number of the incarnation; 0 if none */
	int64_t at_us;	   /* time at which this tombstone was created */
};

/* Returns whether requests may be routed to endpoints of the service. */
typedef bool (*ep_service_fn)(void *ctx, const char *service);

struct ep_list {
	ep_service_fn is_service; /* NULL: any service may be routed to */
	void *ctx;		  /* first argument of is_service */
	GHashTable *entries;	  /* id -> struct ep_entry */
	GHashTable *departures;	  /* id that announced that it leaves -> struct ep_tombstone */
	GHashTable *removals;	  /* id of a removed entry -> struct ep_tombstone */
	GHashTable *addr_owners;  /* address -> struct ep_addr_owner */
	bool store_failing;	  /* the last call to the store failed */
	int64_t failed_us;	  /* time at which the last outage began */
	int64_t store_back_us;	  /* time of the last end of an outage of the store; -1 if none */
	int64_t listed_us;	  /* time of the first complete listing; -1 if none */
	int64_t next;		  /* place in the store's log of the next record to read */
	int64_t era;		  /* latest known era of the store */
	bool store_has_eras;	  /* the store reports eras, so it may be restored from a copy */
	bool listing;		  /* a complete listing is being read */
	bool changed;		  /* set with each change to the list; cleared by the caller */
	guint version;		  /* number of changes to the entries; heartbeats don't count */
};

void ep_list_init(struct ep_list *list);

/*
 * Sets which services are known. A record of another service may be anybody's, so it does not take
 * an address from an endpoint that is in use.
 */
void ep_set_services(struct ep_list *list, ep_service_fn is_service, void *ctx);

/* Returns a new set of the listed incarnations. The strings belong to the list. */
GHashTable *ep_incarnation_set(const struct ep_list *list);

/* Frees the content of the list. */
void ep_list_finish(struct ep_list *list);

/* What a record changed in the list. */
enum ep_record_effect {
	EP_OUTDATED,  /* nothing: a newer record of the endpoint or of its address is known */
	EP_HEARTBEAT, /* the endpoint still runs, and its record is otherwise unchanged */
	EP_CONFIRMED, /* as EP_HEARTBEAT, and it is the first one after an outage of the store */
	EP_CHANGED    /* an entry was added, changed or removed */
};

/* Processes one record of the log and takes ownership of rec. NULL as rec removes the entry. */
enum ep_record_effect ep_on_record(struct ep_list *list, int64_t place, const char *id,
				   struct ep_rec *rec, int64_t now_us);

/*
 * The endpoint itself has announced that it leaves. This overrides its entry for the rest of this
 * incarnation. Returns false if the announcement was known already.
 */
bool ep_on_leaving(struct ep_list *list, const char *incarnation, int64_t now_us);

/*
 * Begin and end a complete listing. In between, ep_on_record() is called for each entry; entries
 * that the listing lacks are removed, or kept as lapsed, at its end. end: place of the first record
 * after the listing.
 */
void ep_begin_listing(struct ep_list *list);
void ep_end_listing(struct ep_list *list, int64_t end, int64_t now_us);

/*
 * Sets the store's era. restored: the store has just been restored from a copy. Entries that the
 * copy lacks are then treated as after an outage, and an entry that it contains counts as a change
 * only if the endpoint's counters are higher than the known ones.
 */
void ep_on_store_era(struct ep_list *list, int64_t era, bool restored, int64_t now_us);

/* A call to the store failed. Entries that expire from now on may belong to running endpoints. */
void ep_on_store_failure(struct ep_list *list, int64_t now_us);

/* A call to the store succeeded. Must be called before the records that the call returned. */
void ep_on_store_success(struct ep_list *list, int64_t now_us);

/*
 * Another host has reached the store all the time since then. If the last outage that this host saw
 * began later, only this host was cut off; if it is long enough ago, all running endpoints are back
 * in the store. Either way entries are missing because their endpoints left, so they are not kept
 * as lapsed any longer. Otherwise this host sends requests to endpoints seconds
 * after all other hosts have stopped. Returns whether that is so.
 */
bool ep_on_no_outage(struct ep_list *list, int64_t since_us, int64_t now_us);

/* Returns the time since which this host has reached the store without an outage; -1: it hasn't. */
int64_t ep_no_outage_since_us(const struct ep_list *list);

/*
 * Adds one entry that a host of this system knew before an outage of the store. The entry is added
 * as lapsed if the list lacks the endpoint, running endpoints may still be missing, and nothing
 * newer is known of the endpoint or of its address. Takes ownership of rec. Returns whether it was
 * added.
 */
bool ep_add_recalled(struct ep_list *list, int64_t place, struct ep_rec *rec, int64_t now_us);

/* Whether running endpoints may be missing: the store is unreachable or only just came back. */
bool ep_may_lack_entries(const struct ep_list *list, int64_t now_us);

/* Number of entries that are missing in the store but still kept. */
int ep_count_lapsed(const struct ep_list *list);

/* Drops lapsed entries and old tombstones that are due. Returns whether an entry was dropped. */
bool ep_drop_expired(struct ep_list *list, int64_t now_us);

/*
 * Time until which running endpoints may be missing from the list. A starting host can't know
 * whether the store has just had an outage; if it has, the first listing may be empty. In a test in
 * which all hosts were killed during an outage, 2,208 requests were refused in the two seconds
 * until the endpoints had registered again, and nearly all of them had used their only retry.
 */
int64_t ep_complete_us(const struct ep_list *list);

/* New array of the entries (struct ep_rec with a reference each), sorted by id. */
GPtrArray *ep_snapshot(const struct ep_list *list);

G_END_DECLS

#endif
