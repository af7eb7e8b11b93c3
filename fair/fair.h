#ifndef FAIR_FAIR_H
#define FAIR_FAIR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Start-time fair queueing over client accounts (Goyal, Vin, Cheng, 1996), with costs in tokens.
 * The account with the smallest start tag is served next. An idle account resumes at the current
 * virtual time, so it accumulates no credit. The queue is work-conserving: waiting items start
 * whenever there is capacity.
 *
 * Performs no I/O: the caller passes in the current time. All times are in microseconds.
 */
enum fair_err {
	FAIR_EFULL = -300,    /* the account's queue is full */
	FAIR_EDEADLINE = -301 /* the item would start after its deadline */
};

/* A queued request. */
struct fair_item {
	uint64_t id;
	uint64_t cost;	     /* estimated number of tokens */
	int64_t deadline_us; /* latest time at which it may start */
	int64_t queued_us;   /* time at which it was queued */
	int priority;	     /* higher starts first among items of the account */
};

struct fair_limits {
	uint32_t weight;   /* the account's share of the rate, relative to other weights */
	uint32_t queue;	   /* maximum number of waiting items */
	uint32_t inflight; /* maximum number of items started and not completed */
};

struct fair_account {
	char *name;
	struct fair_limits limits;
	GQueue *items;	      /* waiting items (struct fair_item), by priority and arrival */
	double finish_tag;    /* virtual finish time of the item started last */
	uint64_t queued_cost; /* estimated tokens of the waiting items */
	uint64_t served;      /* tokens of all completed items */
	uint32_t inflight;    /* number of items started and not completed */
};

struct fair {
	GHashTable *accounts; /* name -> struct fair_account */
	GPtrArray *order;     /* accounts in order of first use, for deterministic ties */
	double virtual_time;  /* start tag of the item started last */
	double rate;	      /* tokens a second that can be served in all */
	uint64_t queued_cost; /* estimated tokens of all waiting items */
	uint32_t queued;      /* number of all waiting items */
};

void fair_init(struct fair *fair);
void fair_finish(struct fair *fair);

/* Sets the rate in tokens a second, from which expected waits are computed. */
void fair_set_rate(struct fair *fair, double rate);

/* Returns the account, created if necessary, and sets its limits. */
struct fair_account *fair_get_account(struct fair *fair, const char *name,
				      const struct fair_limits *limits);

/*
 * Queues an item. Returns 0, FAIR_EFULL or FAIR_EDEADLINE. Sets retry_us to the time after which a
 * retry may succeed.
 */
int fair_push(struct fair *fair, struct fair_account *account, const struct fair_item *item,
	      int64_t now_us, int64_t *retry_us);

/*
 * Starts the next item: removes it from the queue and counts it as in flight at its account.
 * Returns false if no waiting item may start.
 */
bool fair_pop(struct fair *fair, struct fair_item *item, struct fair_account **account);

/* Puts an item from fair_pop() back at the head of its queue, because it cannot start now. */
void fair_requeue(struct fair *fair, struct fair_account *account, const struct fair_item *item);

/* Removes a waiting item. Returns false if no item with the id waits. */
bool fair_withdraw(struct fair *fair, uint64_t id);

/* Removes one waiting item whose deadline has passed. Returns false if there is none. */
bool fair_expire(struct fair *fair, int64_t now_us, struct fair_item *item);

/* Completes a started item: its actual cost in tokens replaces the estimate. */
void fair_complete(struct fair *fair, struct fair_account *account, uint64_t estimate,
		   uint64_t actual);

/* Counts an item in flight that another host's queue started, after that host was replaced. */
void fair_adopt(struct fair *fair, struct fair_account *account, uint64_t estimate);

/* Returns the expected wait, in microseconds, of an item that the account would queue now. */
int64_t fair_wait_us(const struct fair *fair, const struct fair_account *account);

G_END_DECLS

#endif
