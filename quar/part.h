#ifndef QUAR_PART_H
#define QUAR_PART_H

#include "quar/part_recent.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Finds out which part of a prompt crashes the endpoints that begin to answer on it. Requests share
 * parts, so the requests that crash endpoints may all differ as a whole, and the quarantine of
 * whole requests (quar/quar.h) never counts two crashes of the same one. One notices by endpoints
 * that crash one after the other, each shortly after it began different requests.
 *
 * Each host records in which crashes a part was in a request that had just begun, and when a
 * request with the part was last seen to go on. A part that crashes endpoints is in each of its
 * crashes, and no request with it goes on; a sound part is in few of them, or requests with it go
 * on elsewhere, which discards the crashes before. Hosts send each other this evidence. Merging
 * gives the same on all hosts, whatever the order and number of messages: crashes form a set, and
 * the newest proof wins. part_judge() derives from it which parts are to blame.
 *
 * The functions do no input or output and read no clock.
 */
enum {
	/*
	 * Points for a crash at which the request had the head of its answer and nothing else. The
	 * cause of a crash has usually come exactly so far, and few of the others there.
	 */
	PART_POINTS_HEAD = 5,
	/* Points for a crash at which the request had just been sent, or had a little more. */
	PART_POINTS_OTHER = 3,
	/*
	 * Marks an endpoint that was taken for crashed and then found alive; it adds no points.
	 * Greater than the points, because a merge keeps the greatest value.
	 */
	PART_ENDPOINT_ALIVE = 6,
	/* Points from which on a part is to blame: three crashes, or five of the other kind. */
	PART_POINTS_LIMIT = 15,
	/* Maximum number of crashes that are recorded of one part. */
	PART_CRASHES_MAX = 24,
	/*
	 * Crashes within this time, in microseconds, of one that counts don't count: endpoints of a
	 * zone that end together are one event.
	 */
	PART_SAME_EVENT_US = 100000,
	/*
	 * Number of crashes that count of one whole request. A request that crashes endpoints by
	 * itself is a matter of the quarantine of whole requests; its parts are not to blame.
	 */
	PART_CRASHES_OF_ONE_REQUEST = 2,
	/* Time in us from the head of an answer from which on its request has gone on. */
	PART_GONE_ON_US = 300000,
	/*
	 * Time in microseconds for which the crashes of a part that was sound before wait for a
	 * request that goes on: longer than PART_GONE_ON_US and a delay of some messages.
	 */
	PART_SETTLE_US = 500000,
	/* The same for crashes with PART_POINTS_OTHER, which a part that many share has often. */
	PART_SETTLE_WEAK_US = 2000000,
	/*
	 * Time in us that the crashes have to span if no request at all has gone on since the first
	 * of them. When all endpoints end together, nothing can speak for any part.
	 */
	PART_ALL_DOWN_US = 1000000,
	/* Time in us from which on a host knows which parts are in use, and a new part is new. */
	PART_WARM_UP_US = 5000000,
	/*
	 * Maximum number of parts in a table; one takes 130 bytes, and 770 more with crashes. The
	 * part that was updated longest ago goes first, of those without crashes.
	 */
	PART_ENTRIES_MAX = 4096,
	PART_NO_POSITION = -1
};

/* Time in microseconds for which an entry is kept after its last update. */
#define PART_RETENTION_US G_GINT64_CONSTANT(600000000)

/* Time of a proof that does not exist; earlier than any other. */
#define PART_NEVER G_MININT64

/* An endpoint that crashed when a request with the part had just begun there. */
struct part_crash {
	uint64_t endpoint; /* hash of the endpoint's id and start time */
	uint64_t content;  /* hash of the whole request */
	int64_t at_us;	   /* time of the crash, in microseconds */
	int points;	   /* PART_POINTS_HEAD, PART_POINTS_OTHER or PART_ENDPOINT_ALIVE */
};

/* What is known about one part of prompts. */
struct part_entry {
	uint64_t id;
	int64_t proved_us;  /* start of the newest answer that went on, in us; or PART_NEVER */
	int64_t settled_us; /* crashes up to this time, in us, count no more; or PART_NEVER */
	int64_t last_us;    /* time of the last update, in microseconds */
	int position;	    /* greatest index of the part in the prompts of crashes */
	int n;		    /* number of valid elements of crashes */
	struct part_crash *crashes; /* PART_CRASHES_MAX elements; NULL if there were none yet */
	GList link;		    /* element of the table's order queue */
};

struct part_table {
	GHashTable *entries; /* id -> struct part_entry */
	GQueue order;	     /* all entries, the most recently updated last */
	struct part_recent recent;
	/*
	 * Start of the first and the newest answer of this host that went on, whatever its parts,
	 * in microseconds; PART_NEVER if there was none.
	 */
	int64_t first_gone_on_us;
	int64_t newest_gone_on_us;
};

void part_init(struct part_table *table);
void part_finish(struct part_table *table);

/* Returns a copy that is in no table; free it with part_entry_free(). */
struct part_entry *part_entry_dup(const struct part_entry *entry);
struct part_entry *part_entry_new(uint64_t id);
void part_entry_free(struct part_entry *entry);

/* Returns the part's entry, or NULL. It is valid until the table changes. */
const struct part_entry *part_find(const struct part_table *table, uint64_t id);

/* Adds a crash to an entry, or what is new of it. Returns whether the entry changed. */
bool part_entry_add_crash(struct part_entry *entry, const struct part_crash *crash);

/*
 * Records a crash of an endpoint at which a request with the part had just begun. position is the
 * index of the part in the prompt. Returns the entry if it changed, else NULL.
 */
const struct part_entry *part_on_crash(struct part_table *table, uint64_t id, int position,
				       const struct part_crash *crash);

/*
 * Records that an answer that began at head_us went on, so the part was sound at that time. Returns
 * the entry if other hosts need that, else NULL.
 */
const struct part_entry *part_on_gone_on(struct part_table *table, uint64_t id, int64_t head_us,
					 int64_t now_us);

/* Records that an answer went on, of a request with any parts or none. */
void part_on_any_gone_on(struct part_table *table, int64_t head_us);

/* Discards what speaks against the part, because other parts explain its crashes. */
void part_absolve(struct part_table *table, uint64_t id, int64_t now_us);

/*
 * Discards what speaks against the part and, of the same crashes, against all others. The part was
 * to blame, and has been let in again.
 */
void part_settle(struct part_table *table, uint64_t id, int64_t now_us);

typedef void (*part_fn)(void *ctx, const struct part_entry *entry);

/* Withdraws the crash of an endpoint that is alive. fn is called for each entry that changes. */
void part_on_endpoint_alive(struct part_table *table, uint64_t endpoint, int64_t now_us, part_fn fn,
			    void *ctx);

enum part_merged {
	PART_MERGED_NOTHING = 0,
	PART_MERGED_CHANGE = 1, /* the entry changed; other hosts need it */
	PART_MERGED_REPLY = 2	/* this host knows a newer proof, which the sender lacks */
};

/* Merges an entry received from another host. Returns a sum of enum part_merged. */
int part_merge(struct part_table *table, const struct part_entry *other, int64_t now_us);

/* Removes outdated entries. */
void part_expire(struct part_table *table, int64_t now_us);

void part_foreach(const struct part_table *table, part_fn fn, void *ctx);

/* Verdict on one part. */
struct part_finding {
	uint64_t id;
	bool is_to_blame; /* false: other parts explain the crashes of this one */
	int crashes;	  /* number of crashes that count */
	int points;	  /* sum of their points */
};

/*
 * Finds the parts with PART_POINTS_LIMIT points or more. Of several in the same crashes one is to
 * blame: that without a proof, then that with the most points or the oldest proof, then the one
 * later in the prompt, since first parts are shared by most. The crashes that it explains don't
 * count against others. It must besides explain enough of the crashes around its own, alone or with
 * few others (quar/part_share.h); else there is no verdict on it yet. Appends to findings, of
 * struct part_finding.
 */
void part_judge(const struct part_table *table, int64_t now_us, GArray *findings);

G_END_DECLS

#endif
