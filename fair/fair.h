#ifndef FAIR_FAIR_H
#define FAIR_FAIR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Start-time fair queueing over client accounts (Goyal, Vin, Cheng, 1996), in units of tokens.
 * Pure. The account with the smallest start tag goes next; an idle account starts at the current
 * virtual time, so it banks nothing; whoever waits is served whenever there is room, so nothing
 * stays idle while anyone waits.
 */
enum fair_err {
	FAIR_EFULL = -300,    /* the account's queue is full */
	FAIR_EDEADLINE = -301 /* it would start after its deadline */
};

struct fair_item {
	uint64_t id;
	uint64_t cost;	     /* estimated tokens */
	int64_t deadline_us; /* latest start */
	int64_t queued_us;
	int priority; /* higher goes first within the account */
};

struct fair_limits {
	uint32_t weight;   /* the account's share */
	uint32_t queue;	   /* items waiting at most */
	uint32_t inflight; /* items started and not finished at most */
};

struct fair_account {
	char *name;
	struct fair_limits limits;
	GQueue *items;
	double finish; /* finish tag of what was started last */
	uint64_t queued_cost;
	uint64_t served; /* tokens, as corrected at the end */
	uint32_t inflight;
};

struct fair {
	GHashTable *accounts; /* name -> struct fair_account */
	GPtrArray *order;     /* the same, in order of first use: makes ties deterministic */
	double virtual_time;
	double rate; /* tokens a second that the resource gives */
	uint64_t queued_cost;
	uint32_t queued;
};

void fair_init(struct fair *fair);
void fair_finish(struct fair *fair);

/* Tokens a second that can be served in all; used to tell how long a wait will be. */
void fair_set_rate(struct fair *fair, double rate);

/* Returns the account, made with the limits if it is new; limits are renewed in any case. */
struct fair_account *fair_get(struct fair *fair, const char *name,
			      const struct fair_limits *limits);

/*
 * Queues an item. Returns 0, FAIR_EFULL or FAIR_EDEADLINE, then with the time in microseconds after
 * which it is worth asking again.
 */
int fair_push(struct fair *fair, struct fair_account *account, const struct fair_item *item,
	      int64_t now_us, int64_t *retry_us);

/*
 * Takes the item that goes next. Returns false when nobody waits who may start. account is that of
 * the item, whose in-flight count is raised.
 */
bool fair_pop(struct fair *fair, struct fair_item *item, struct fair_account **account);

/* Puts back an item that was popped but could not be placed. */
void fair_unpop(struct fair *fair, struct fair_account *account, const struct fair_item *item);

/* Takes an item out. Returns false when it does not wait any more. */
bool fair_withdraw(struct fair *fair, uint64_t id);

/* Takes out an item whose deadline has passed. Returns false when there is none. */
bool fair_expire(struct fair *fair, int64_t now_us, struct fair_item *item);

/* A started item has ended: what it really cost replaces the estimate. */
void fair_done(struct fair *fair, struct fair_account *account, uint64_t estimate, uint64_t actual);

/* A started item that this queue has not seen: a new home learns what is in flight. */
void fair_adopt(struct fair *fair, struct fair_account *account, uint64_t estimate);

/* Expected wait in microseconds of an item that the account would queue now. */
int64_t fair_wait_us(const struct fair *fair, const struct fair_account *account);

G_END_DECLS

#endif
