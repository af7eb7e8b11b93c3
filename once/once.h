#ifndef ONCE_ONCE_H
#define ONCE_ONCE_H

#include "base/str.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Claims that ensure that a non-idempotent request is dispatched at most once. A claim permits one
 * attempt of one request to be dispatched for an idempotency key. Claims are records in a partition
 * of the platform's log; the first claim of a key in log order that was not released is in force.
 *
 * This code runs at the partition's home, the host that decides the claims of its keys. Two hosts
 * may act as home at the same time, because the log alone determines the result. It performs no
 * I/O: the caller passes in events and the current time, in microseconds; actions are requested
 * through callbacks.
 */
enum once_err {
	ONCE_EUNAVAILABLE = -400, /* the log is unavailable; nothing was claimed */
	ONCE_ERECORD = -401	  /* a record of the log does not hold claims */
};

enum once_verdict {
	ONCE_WON,	  /* this claim is in force: its attempt may be dispatched */
	ONCE_LOST,	  /* another claim, the winner, is in force */
	ONCE_UNAVAILABLE, /* the log is unavailable, or does not show the claim; do not dispatch */
	ONCE_VERDICT_COUNT
};

struct once_claim {
	char *key;	  /* ACCOUNT/KEY: name of the client account and idempotency key */
	char *id;	  /* id of the claim */
	char *request;	  /* id of the request at the engine */
	char *entry;	  /* host whose entry daemon may dispatch the request */
	char *endpoints;  /* names of the granted endpoints, separated by commas */
	char *digest;	  /* digest of the request's body */
	char *supersedes; /* id of the claim that this one replaces, or "" */
};

/* Identifies the request for a claim in its verdict. */
struct once_requester {
	uint64_t conn;	 /* the caller's number for the connection */
	uint64_t ask_id; /* number of the request on that connection */
};

struct once_ops {
	/* Appends a record to the partition; call once_on_appended() when done. */
	void (*append)(void *ctx, const char *record);

	/*
	 * Reads the partition from an offset to its end; call once_on_record() for each record and
	 * then once_on_read(). At most one append or read is in progress at a time.
	 */
	void (*read)(void *ctx, int64_t from);

	/* Sends the verdict. winner: the claim in force, or NULL. */
	void (*answer)(void *ctx, struct once_requester requester, enum once_verdict verdict,
		       const struct once_claim *winner);
};

struct once_settings {
	int64_t unavailable_us; /* time after a failure in which the log counts as unavailable */
	int64_t life_us;	/* time after which a claim that was read is forgotten */
};

enum once_phase {
	ONCE_IDLE,	/* no append or read is in progress */
	ONCE_APPENDING, /* an append is in progress */
	ONCE_READING	/* a read is in progress */
};

struct once {
	const struct once_ops *ops;
	void *ctx;
	struct once_settings settings;
	GHashTable *claims;   /* key -> struct once_active_claim: the claim in force */
	GHashTable *released; /* ids of claims that were released */
	GQueue *by_age;	      /* struct once_active_claim in the order in which they were read */
	GPtrArray *waiting;   /* struct once_wait: claims and releases not yet appended */
	GPtrArray *appended;  /* struct once_wait: claims and releases of the current append */
	int64_t next;	      /* offset of the next record to read */
	enum once_phase phase;
	bool caught_up;		      /* the partition has been read to its end at least once */
	bool failed;		      /* the current append failed or its answer was lost */
	int64_t unavailable_until_us; /* time until which the log counts as unavailable */
	uint64_t appends;	      /* number of appends */
};

void once_init(struct once *once, const struct once_settings *settings, const struct once_ops *ops,
	       void *ctx);
void once_finish(struct once *once);

/*
 * Handles a request for a claim, which is copied. The answer callback may be called before it
 * returns.
 */
void once_on_claim(struct once *once, struct once_requester requester,
		   const struct once_claim *claim, int64_t now_us);

/* An entry released its claim without dispatching. No verdict is sent. */
void once_on_release(struct once *once, const char *key, const char *id, int64_t now_us);

/* The append ended. ok is false if it was refused or failed, or if its answer was lost. */
void once_on_appended(struct once *once, bool ok);

/* Applies a record that was read. Returns 0 or ONCE_ERECORD. */
int once_on_record(struct once *once, int64_t offset, struct str data, int64_t now_us);

/* The read ended. next: offset of the end of the partition. ok is false if the read failed. */
void once_on_read(struct once *once, bool ok, int64_t next, int64_t now_us);

/* Forgets claims older than life_us. To be called regularly. */
void once_on_tick(struct once *once, int64_t now_us);

/* Drops the claims that wait for an append and whose connection was closed. */
void once_on_conn_closed(struct once *once, uint64_t conn);

/* Returns the partition of a key, from 0 to n - 1. */
unsigned int once_partition(const char *key, unsigned int n);

/* Copies a claim; a NULL supersedes becomes "". */
struct once_claim *once_claim_copy(const struct once_claim *claim);
void once_claim_free(struct once_claim *claim);

/* Returns the name of a verdict as used in metrics. */
const char *once_verdict_name(enum once_verdict verdict);

G_END_DECLS

#endif
