#ifndef QUAR_QUAR_H
#define QUAR_QUAR_H

#include "quar/quar_key.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Quarantine of requests that crash the endpoints that run them. What goes wrong without it: such a
 * request is sent to the next endpoint, its caller tries again, it comes again at other hosts; each
 * time one more endpoint ends, with all that runs there, and is empty for seconds. One notices
 * endpoints that end one after the other with the same content among what they had just begun.
 *
 * An endpoint takes all its requests with it when it ends, and most are innocent, so one crash
 * proves nothing. What is counted is at how many different endpoints a content was under way when
 * they ended; from QUAR_LIMIT points on it is refused, for a term that is longer each time.
 * Whatever is served whole cannot be the cause and is cleared.
 *
 * Hosts tell each other their entries, and entries merge to the same on all of them in whatever
 * order and however often they come: crashes are a set, and an entry of a higher epoch replaces one
 * of a lower. Pure.
 */
enum {
	/* Attempts that had just begun: a request that crashes endpoints does so then. */
	QUAR_STRONG = 2,
	/* Those that had gone on, or may have waited for their turn. */
	QUAR_WEAK = 1,
	/*
	 * Instead of a weight, and the greatest of them: the endpoint has turned out to live, and
	 * counts no more. Hosts that heard of its end before merge to the same.
	 */
	QUAR_LIVES = 3,
	/*
	 * For how long an attempt has just begun: at recorded ends of endpoints the request that
	 * caused them had run for 60 to 130 ms, and most of the others there for seconds.
	 */
	QUAR_BEGIN_US = 500000,
	/* After this time an attempt is not one of a request that crashes endpoints as it begins.
	 */
	QUAR_GOES_ON_US = 1000000,
	/*
	 * Three endpoints under a request that had just begun, six under one that had gone on.
	 * TwoCrashesRefuseMoreInnocentOnes of QuarModelTest has the figures of two instead of
	 * three.
	 */
	QUAR_LIMIT = 3 * QUAR_STRONG,
	QUAR_CRASHES_MAX = QUAR_LIMIT / QUAR_WEAK,
	/* Entries that are kept; one is some 200 bytes, so 0.8 MB. The oldest go first. */
	QUAR_ENTRIES_MAX = 4096
};

struct quar_crash {
	uint64_t endpoint; /* hash of its incarnation */
	int weight;	   /* QUAR_STRONG, QUAR_WEAK or QUAR_LIVES */
};

struct quar_entry {
	struct quar_key key;
	char *account;	/* "": none */
	uint32_t epoch; /* raised when it is cleared, or a term is over: older crashes count no more
			 */
	int base;	/* points that it begins this epoch with */
	int terms;	/* for which it was refused so far */
	int64_t lasted_us; /* longest that an attempt has gone on, as far as is known */
	int n;
	struct quar_crash crashes[QUAR_CRASHES_MAX];
	int64_t last_us;  /* when something was last learnt of it */
	int64_t until_us; /* it is refused until then; 0: it is not */
	GList link;	  /* of the table's order */
};

struct quar {
	int limit;	     /* points from which on a request is refused */
	GHashTable *entries; /* struct quar_key -> struct quar_entry */
	GQueue order;	     /* of them; what was learnt last stands last */
};

/* Which request is meant. The account is compared besides, see quar_key.h. */
struct quar_id {
	struct quar_key key;
	const char *account;
};

/* limit: QUAR_LIMIT, or another one to compare it with. */
void quar_init(struct quar *quar, int limit);
void quar_finish(struct quar *quar);

struct quar_entry *quar_entry_dup(const struct quar_entry *entry);
void quar_entry_free(struct quar_entry *entry);

/* The entry, or NULL; valid until the next change. */
const struct quar_entry *quar_find(const struct quar *quar, const struct quar_id *id);

/*
 * The endpoint ended while the request was under way there, and had gone on for that long. It is
 * not counted where another attempt has gone on for much longer: what crashes endpoints at some
 * point of its answer gets no further anywhere, while an innocent request that many callers send is
 * under way at every endpoint that ends. Returns the entry if that is news, else NULL.
 */
const struct quar_entry *quar_on_crash(struct quar *quar, const struct quar_id *id,
				       uint64_t endpoint, int weight, int64_t lasted_us,
				       int64_t now_us);

/*
 * An attempt of the request has gone on for that long, from the head of its answer to the newest
 * part. From QUAR_GOES_ON_US on it is not what crashes endpoints as it begins, and its crashes
 * weigh less. Returns the entry if other hosts are to hear of that, else NULL.
 */
const struct quar_entry *quar_on_part(struct quar *quar, const struct quar_id *id,
				      int64_t lasted_us, int64_t now_us);

/*
 * The request was served whole, or an operator has cleared it. Returns the entry if other hosts
 * are to hear of that, else NULL.
 */
const struct quar_entry *quar_clear(struct quar *quar, const struct quar_id *id, int64_t now_us);

/*
 * The endpoint has not ended, as it had seemed: a cut of the network refuses connections, too. What
 * was counted at it is taken back; fn is called for each entry that this changes.
 */
typedef void (*quar_fn)(void *ctx, const struct quar_entry *entry);
void quar_on_lives(struct quar *quar, uint64_t endpoint, int64_t now_us, quar_fn fn, void *ctx);

/* Merges what another host knows. Returns the entry if that is news, else NULL. */
const struct quar_entry *quar_take(struct quar *quar, const struct quar_entry *other,
				   int64_t now_us);

/* For how long the request is still refused; 0: it is not. */
int64_t quar_left_us(struct quar *quar, const struct quar_id *id, int64_t now_us);

/* For how long it would be refused if it crashed its last allowed endpoint now. */
int64_t quar_next_term_us(const struct quar *quar, const struct quar_id *id);

/* Points against the request; from QUAR_LIMIT on it is refused. */
int quar_points(const struct quar *quar, const struct quar_id *id);
int quar_entry_points(const struct quar_entry *entry);

/* The same after one more crash of that weight; 0: none. */
int quar_points_after(const struct quar *quar, const struct quar_id *id, int weight);

/*
 * Whether other hosts are told: not of an attempt that had gone on when one endpoint ended, of
 * which each crash leaves a hundred.
 */
bool quar_is_told(const struct quar_entry *entry);

/* Whether it outlives the hosts: a count that is lost once leaves one more crash. */
bool quar_is_kept(const struct quar_entry *entry);

/* Drops what is outdated; fn is called for each before it goes. */
void quar_expire(struct quar *quar, int64_t now_us, quar_fn fn, void *ctx);

void quar_each(const struct quar *quar, quar_fn fn, void *ctx);

G_END_DECLS

#endif
