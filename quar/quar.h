#ifndef QUAR_QUAR_H
#define QUAR_QUAR_H

#include "quar/quar_key.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Quarantine of requests that crash the endpoints that run them. Without it, such a request is sent
 * on to the next endpoint, its caller repeats it, and it arrives at other hosts as well; each time
 * one more endpoint crashes, loses all the requests that run there and is empty for seconds. Such a
 * request is recognised by endpoints that crash one after the other shortly after they started an
 * attempt with the same content.
 *
 * A crashing endpoint takes all its requests with it, most of which didn't cause the crash, so one
 * crash proves nothing. The quarantine counts at how many different endpoints a content was running
 * when they crashed. Each such crash adds points, by its weight; from QUAR_REFUSAL_POINTS points on
 * the request is refused for a period called a term, which is longer each time. A request that is
 * served completely can't be the cause, and its entry is cleared.
 *
 * An entry may also stand for all requests with one part in their prompts. quar/part.h finds out
 * which part that is; here it has its terms, like a whole request.
 *
 * Hosts send their entries to each other. Merging gives the same entry on all hosts, whatever the
 * order and number of the messages: the crashes form a set, and an entry of a higher epoch replaces
 * one of a lower epoch. The functions do no input or output and read no clock.
 */
enum {
	/*
	 * Weight, in points, of a crash while the attempt had just started. A request that crashes
	 * endpoints does so at that time.
	 */
	QUAR_WEIGHT_STRONG = 2,
	/*
	 * Weight, in points, of a crash while the attempt had run longer or may still have waited
	 * in the endpoint's queue.
	 */
	QUAR_WEIGHT_WEAK = 1,
	/*
	 * Marks an endpoint that was taken for crashed and then found alive; it adds no points. It
	 * is greater than the weights because a merge keeps the greatest value, so hosts that
	 * recorded the crash earlier end with the same entry.
	 */
	QUAR_ENDPOINT_ALIVE = 3,
	/*
	 * Time in microseconds for which an attempt counts as just started. In recorded crashes the
	 * request that caused them had run for 60 to 130 ms, most others there for seconds.
	 */
	QUAR_JUST_STARTED_US = 500000,
	/*
	 * Running time in microseconds from which on an attempt shows that its request doesn't
	 * crash endpoints at the start.
	 */
	QUAR_LONG_RUNNING_US = 1000000,
	/*
	 * Points from which on a request is refused: three endpoints that crashed just after the
	 * request started, or six at which it had run longer.
	 * QuarModelTest.LimitOfTwoCrashesRefusesMoreHarmlessRequests compares this with two
	 * endpoints.
	 */
	QUAR_REFUSAL_POINTS = 3 * QUAR_WEIGHT_STRONG,
	/* Maximum number of crashes that one entry records. */
	QUAR_CRASHES_MAX = QUAR_REFUSAL_POINTS / QUAR_WEIGHT_WEAK,
	/*
	 * Maximum number of entries in a table. An entry takes some 200 bytes, so the table takes
	 * 0.8 MB. The oldest entry that isn't refused is removed first.
	 */
	QUAR_ENTRIES_MAX = 4096,
	/*
	 * Time in us for which the outcome of a trial is awaited, see quar_may_run(), and after
	 * which those that were refused meanwhile may return.
	 */
	QUAR_TRIAL_US = 10000000
};

/* One endpoint that crashed while the request was running there. */
struct quar_crash {
	uint64_t endpoint; /* hash of the endpoint's id and start time */
	int weight;	   /* QUAR_WEIGHT_STRONG, QUAR_WEIGHT_WEAK or QUAR_ENDPOINT_ALIVE */
};

/* Crash history of one request content. */
struct quar_entry {
	struct quar_key key;
	char *account; /* name of the client account; "" if none */
	/*
	 * Number of times that the entry was cleared or a term ended. Each increment discards the
	 * crashes counted before it.
	 */
	uint32_t epoch;
	int base;	   /* points at the start of this epoch */
	int terms;	   /* number of terms since the entry was created or cleared */
	int64_t lasted_us; /* longest known running time in microseconds, see quar_on_progress() */
	int n;		   /* number of valid elements of crashes */
	struct quar_crash crashes[QUAR_CRASHES_MAX];
	int64_t last_us;  /* time of the last update, in microseconds */
	int64_t until_us; /* time at which the refusal ends, in microseconds; 0 if not refused */
	int64_t trial_us; /* time at which this host let the last trial run, in us; 0: none */
	GList link;	  /* element of the table's order queue */
};

/* Table of the entries that one host knows. */
struct quar {
	int limit;	     /* points from which on a request is refused */
	GHashTable *entries; /* struct quar_key -> struct quar_entry */
	GQueue order;	     /* all entries, the most recently updated last */
	int n_parts;	     /* number of entries that stand for parts of prompts */
	bool may_try;	     /* whether this host tries requests whose term is over */
};

/* Identifies a request. The account is compared in addition to the digest, see quar_key.h. */
struct quar_id {
	struct quar_key key;
	const char *account; /* name of the client account; "" if none */
};

/* Initializes an empty table. limit is QUAR_REFUSAL_POINTS, except in tests that compare other
 * limits. */
void quar_init(struct quar *quar, int limit);
void quar_finish(struct quar *quar);

/* Returns a copy that is in no table; free it with quar_entry_free(). */
struct quar_entry *quar_entry_dup(const struct quar_entry *entry);
void quar_entry_free(struct quar_entry *entry);

/* Returns the request's entry, or NULL. It is valid until the table changes. */
const struct quar_entry *quar_find(const struct quar *quar, const struct quar_id *id);

/*
 * Records that the endpoint crashed while an attempt of the request was running there. lasted_us is
 * the time from the head of the attempt's answer to its newest part. The crash isn't counted if
 * another attempt ran for much longer: a request that crashes endpoints at some point of its answer
 * never gets further, while a harmless request that many callers send is running at every endpoint
 * that crashes. Returns the entry if it changed, else NULL.
 */
const struct quar_entry *quar_on_crash(struct quar *quar, const struct quar_id *id,
				       uint64_t endpoint, int weight, int64_t lasted_us,
				       int64_t now_us);

/*
 * Records the running time of an attempt: lasted_us is the time in microseconds from the head of
 * its answer to the newest part. From QUAR_LONG_RUNNING_US on the request doesn't crash endpoints
 * at the start, and its crashes count QUAR_WEIGHT_WEAK only. Returns the entry if other hosts need
 * the change, else NULL.
 */
const struct quar_entry *quar_on_progress(struct quar *quar, const struct quar_id *id,
					  int64_t lasted_us, int64_t now_us);

/*
 * Clears the request's entry after the request was served completely or at an operator's command.
 * Returns the entry if other hosts need the change, else NULL.
 */
const struct quar_entry *quar_clear(struct quar *quar, const struct quar_id *id, int64_t now_us);

/* Callback that receives an entry; ctx is the caller's pointer. */
typedef void (*quar_fn)(void *ctx, const struct quar_entry *entry);

/*
 * Withdraws the crashes counted at an endpoint that was taken for crashed and is alive; a network
 * partition refuses connections, too. fn is called for each entry that changes.
 */
void quar_on_endpoint_alive(struct quar *quar, uint64_t endpoint, int64_t now_us, quar_fn fn,
			    void *ctx);

/* Merges an entry received from another host. Returns the entry if it changed, else NULL. */
const struct quar_entry *quar_merge_remote(struct quar *quar, const struct quar_entry *other,
					   int64_t now_us);

/*
 * Refuses the requests with a part that is to blame for crashes, in a new epoch. Returns the entry,
 * or NULL if they are refused already.
 */
const struct quar_entry *quar_blame(struct quar *quar, const struct quar_id *id, int64_t now_us);

/*
 * Returns whether a new request may run, after its term too. One of all hosts (may_try) lets one
 * run at a time after a term; the others go on refusing until they are told how that went. If each
 * host tried for itself, each term would end with a crash for every host.
 */
bool quar_may_run(struct quar *quar, const struct quar_id *id, int64_t now_us);

/* Returns whether the term of the request is over and a trial has not cleared it yet. */
bool quar_is_on_trial(const struct quar *quar, const struct quar_id *id);

/* Returns how long the request is still refused, in microseconds; 0 if it isn't refused. */
int64_t quar_remaining_us(struct quar *quar, const struct quar_id *id, int64_t now_us);

/* Returns the length, in microseconds, of the term that the next refusal would have. */
int64_t quar_next_term_us(const struct quar *quar, const struct quar_id *id);

/* Returns the points counted against the request; from QUAR_REFUSAL_POINTS on it is refused. */
int quar_points(const struct quar *quar, const struct quar_id *id);
int quar_entry_points(const struct quar_entry *entry);

/* Returns the points that the request would have after one more crash of the given weight. */
int quar_points_after(const struct quar *quar, const struct quar_id *id, int weight);

/*
 * Returns whether the entry is sent to other hosts. An entry whose only crash is a weak one isn't
 * sent, because each crash creates about a hundred of these.
 */
bool quar_is_propagated(const struct quar_entry *entry);

/*
 * Returns whether the entry is written to the store, so that it survives a restart of all hosts.
 * An entry with a single crash isn't written; if it is lost, the request crashes one more endpoint.
 */
bool quar_is_persistent(const struct quar_entry *entry);

/* Removes outdated entries. fn, if not NULL, is called for each entry before its removal. */
void quar_expire(struct quar *quar, int64_t now_us, quar_fn fn, void *ctx);

/* Calls fn for each entry, in no particular order. */
void quar_foreach(const struct quar *quar, quar_fn fn, void *ctx);

G_END_DECLS

#endif
