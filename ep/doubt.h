#ifndef EP_DOUBT_H
#define EP_DOUBT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * For how long one host passes an endpoint over that others say is at fault. The cause may pass in
 * a moment (its memory is full) or stay (it is dead, and its entry has not lapsed yet), and an
 * answer does not tell which. So the first time is short, and each further one without anything
 * served in between lasts twice as long. Pure.
 *
 * Tried anew every 0.7 s by each of seven hosts, one dead endpoint that stayed listed for 14 s
 * rejected 411 requests; each was sent again, which spent the budget of repeats for all others.
 */
struct dbt {
	int faults;	  /* in a row */
	int64_t fault_us; /* when the last one was counted */
	int64_t until_us; /* it is passed over until then */
};

/* It was named at fault. Returns for how long it is passed over, or 0 if it was already. */
int64_t dbt_on_fault(struct dbt *dbt, int64_t now_us);

/* A request that was sent at that time was served through it. */
void dbt_on_served(struct dbt *dbt, int64_t sent_us);

/* Passes it over for that time, for another reason. Returns false if that is little news. */
bool dbt_set(struct dbt *dbt, int64_t for_us, int64_t now_us);

bool dbt_is_set(const struct dbt *dbt, int64_t now_us);

G_END_DECLS

#endif
