#ifndef ONCE_ONCE_H
#define ONCE_ONCE_H

#include "base/str.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Claims for non-idempotent requests. A claim says that one attempt of one request may be
 * dispatched for a key. Claims are records of a partition of the platform's log, and the first
 * claim of a key in log order is the only one that counts. Pure: this is the decision of the home
 * of one partition; several homes may exist at once without harm.
 */
enum once_err {
	ONCE_EOUT = -400,   /* the log is out: nothing was claimed */
	ONCE_ERECORD = -401 /* a record is not one of ours */
};

enum once_verdict {
	ONCE_WON,  /* this claim counts: dispatch */
	ONCE_LOST, /* another claim counts: see the winner */
	ONCE_OUT,  /* the log cannot be used: not claimed as far as this home knows */
	ONCE_VERDICT_COUNT
};

struct once_claim {
	char *key;	  /* ACCOUNT/KEY */
	char *id;	  /* of the claim */
	char *request;	  /* id of the request at the engine */
	char *entry;	  /* host whose entry daemon may dispatch it */
	char *endpoints;  /* names of the route, with commas between */
	char *digest;	  /* of the request's body */
	char *supersedes; /* claim that is released with it, or "" */
};

/* Who waits for a verdict: the caller's own numbers. */
struct once_asker {
	uint64_t conn;
	uint64_t ask_id;
};

struct once_ops {
	/* Append the record to the partition's stream. One at a time. */
	void (*append)(void *ctx, const char *record);

	/* Read the partition from this offset to its end. One at a time. */
	void (*read)(void *ctx, int64_t from);

	void (*answer)(void *ctx, struct once_asker asker, enum once_verdict verdict,
		       const struct once_claim *winner);
};

struct once_settings {
	int64_t out_us;	 /* after a failure the log counts as out for so long */
	int64_t life_us; /* a claim is forgotten after this time since it was read */
};

enum once_phase {
	ONCE_IDLE,
	ONCE_APPENDING,
	ONCE_READING
};

struct once {
	const struct once_ops *ops;
	void *ctx;
	struct once_settings settings;
	GHashTable *claims;   /* key -> struct once_held: the claim that counts */
	GHashTable *released; /* ids of claims that were released */
	GQueue *by_age;	      /* struct once_held in order of reading */
	GPtrArray *waiting;   /* struct once_wait: not yet in an append */
	GPtrArray *appended;  /* struct once_wait: in the append under way */
	int64_t next;	      /* offset of the next record to read */
	enum once_phase phase;
	bool caught_up; /* the partition has been read to its end once */
	bool failed;	/* the append under way failed or its answer was lost */
	int64_t out_until_us;
	uint64_t appends;
};

void once_init(struct once *once, const struct once_settings *settings, const struct once_ops *ops,
	       void *ctx);
void once_finish(struct once *once);

/* Someone wants to dispatch under a claim. claim is copied. */
void once_on_ask(struct once *once, struct once_asker asker, const struct once_claim *claim,
		 int64_t now_us);

/* An entry gave its claim up without dispatching; no answer is expected. */
void once_on_release(struct once *once, const char *key, const char *id, int64_t now_us);

/* The append ended. ok false: refused, failed, or its answer was lost. */
void once_on_appended(struct once *once, bool ok);

/* One record that was read. Returns 0 or ONCE_ERECORD. */
int once_on_record(struct once *once, int64_t offset, struct str data, int64_t now_us);

/* The read reached the end of the partition, where the next record will stand, or failed. */
void once_on_read(struct once *once, bool ok, int64_t next, int64_t now_us);

/* Forgets old claims. */
void once_on_tick(struct once *once, int64_t now_us);

/* Askers that have gone are answered to nobody. */
void once_on_conn_gone(struct once *once, uint64_t conn);

/* The partition of a key among n. */
unsigned int once_partition(const char *key, unsigned int n);

struct once_claim *once_claim_copy(const struct once_claim *claim);
void once_claim_free(struct once_claim *claim);

const char *once_verdict_name(enum once_verdict verdict);

G_END_DECLS

#endif
