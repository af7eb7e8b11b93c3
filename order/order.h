#ifndef ORDER_ORDER_H
#define ORDER_ORDER_H

#include "base/str.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Who may give orders to the engines of a model: a lease in the platform's log. A lease record
 * names the one it follows; in log order, the first that follows the current lease is the next one
 * and all others are void. The offset of the record is the fencing number. Pure.
 */
enum order_err {
	ORDER_ERECORD = -500 /* a record is not one of ours */
};

struct order_lease {
	char *holder;
	int64_t fence; /* offset of the record */
	int64_t duration_us;
	int64_t read_us; /* when this node read it */
};

struct order_own {
	int64_t asked_us;   /* when the append of the latest lease record was begun */
	bool asking;	    /* that append has not been read back */
	int64_t granted_us; /* when the append of the lease that counts was begun, at the latest */
};

struct order {
	char *host;
	int64_t duration_us;
	int64_t margin_us;  /* for clocks that run at different speeds */
	GHashTable *leases; /* model -> struct order_lease */
	GHashTable *own;    /* model -> struct order_own */
	int64_t next;	    /* offset of the next record to read */
};

void order_init(struct order *order, const char *host, int64_t duration_us);
void order_finish(struct order *order);

/* One record of the stream. Returns 0 or ORDER_ERECORD. */
int order_on_record(struct order *order, int64_t offset, struct str data, int64_t now_us);

/*
 * Whether this node, if it should be the orderer of the model, has to append a lease record now;
 * the record is returned and must be freed with free(). NULL: not now.
 */
char *order_ask(struct order *order, const char *model, int64_t now_us);

/* The append under way has failed or is lost; it may be asked for again. */
void order_on_append_lost(struct order *order, const char *model);

/* The fencing number under which this node may send an order now, or -1: it may not. */
int64_t order_fence(const struct order *order, const char *model, int64_t now_us);

G_END_DECLS

#endif
