#ifndef ROUTER_LISTING_H
#define ROUTER_LISTING_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * When a host writes itself into the store's list of hosts, in the first start of all. The store
 * takes these entries one after the other, 2 ms each, and rejects what has to wait for 2 s: with
 * all hosts writing at once, 984 of them know each other only after 2 s, and of 1,968 a part is
 * rejected. Only some have to be found there: a host tells its name to the one that feeds it, and
 * the first reader writes all that it was told of in one call. So hosts write themselves over some
 * seconds, and those that have been told of meanwhile don't. Pure.
 */
enum {
	LS_SPREAD_MS = 5000,
	LS_LOOK_MS = 600, /* after its start, when a host has looked at the list */
	LS_FEW_HOSTS = 10 /* who finds fewer in the list does not wait any more */
};

/* How long the host waits from now on; known: hosts that it knows. */
int64_t ls_wait_us(const char *name, unsigned int known, int64_t since_start_us);

G_END_DECLS

#endif
