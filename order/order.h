#ifndef ORDER_ORDER_H
#define ORDER_ORDER_H

#include "base/str.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Leases that decide which host may give orders to the engines of a model. Lease records stand in
 * the platform's log. Each record names the lease that it follows: in log order, the first record
 * that follows the current lease becomes the current lease, and all others are void. The offset of
 * a record is the fencing number of its lease. The module does no I/O.
 */
enum order_err {
	ORDER_ERECORD = -500 /* the record is not a valid lease record */
};

/* Current lease of a model. */
struct order_lease {
	char *holder;	     /* name of the host that holds the lease */
	int64_t fence;	     /* fencing number: offset of the lease record in the log */
	int64_t duration_us; /* duration of the lease, in microseconds */
	int64_t read_us;     /* time at which this host read the record, in microseconds */
};

/* Lease records that this host appended for a model. All times are in microseconds. */
struct order_own_state {
	int64_t asked_us;   /* start of the latest append of a lease record */
	bool asking;	    /* whether the record of that append has not been read back yet */
	int64_t granted_us; /* start of the append of the latest record that became the lease */
};

/* Leases of all models, as this host has read them. */
struct order {
	char *host;	     /* name under which this host holds leases */
	int64_t duration_us; /* duration of a lease of this host, in microseconds */
	int64_t margin_us;   /* allowance for clocks of different speeds, in microseconds */
	GHashTable *leases;  /* model -> struct order_lease */
	GHashTable *own;     /* model -> struct order_own_state */
	int64_t next;	     /* offset of the next log record to read */
};

void order_init(struct order *order, const char *host, int64_t duration_us);
void order_finish(struct order *order);

/* Applies one record of the log; records already read are ignored. Returns 0 or ORDER_ERECORD. */
int order_on_record(struct order *order, int64_t offset, struct str data, int64_t now_us);

/*
 * Returns the lease record that this host has to append now to get or renew the lease of the model,
 * or NULL if none is due. To be called only on the host that should give orders to the model's
 * engines. Free the record with free().
 */
char *order_request_lease(struct order *order, const char *model, int64_t now_us);

/* Reports that the latest append failed, so that order_request_lease() may return a record again.
 */
void order_on_append_lost(struct order *order, const char *model);

/* Returns the fencing number for an order that this host sends now; -1 if it may not send one. */
int64_t order_fencing_number(const struct order *order, const char *model, int64_t now_us);

G_END_DECLS

#endif
