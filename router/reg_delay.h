#ifndef ROUTER_REG_DELAY_H
#define ROUTER_REG_DELAY_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Delay before a host registers itself in the store's list of hosts when the whole system starts
 * for the first time.
 *
 * The store processes these entries one by one, 2 ms each, and rejects calls that would be queued
 * for more than 2 s. If all hosts wrote at once, 984 hosts would take 2 s to find each other, and
 * some of 1,968 hosts would be rejected. Not every host needs to write its own entry: each host
 * sends its name to its feeder, and the first reader writes all names that it received in one call.
 * Therefore hosts spread their own writes over several seconds, and a host that has been registered
 * by then does not write. Pure functions.
 */
enum {
	/* Period over which hosts spread their own writes, in milliseconds. */
	REG_SPREAD_MS = 5000,
	/* Time from its start after which a host has read the list once, in milliseconds. */
	REG_FIRST_READ_MS = 600,
	/* A host that knows fewer hosts than this after that read registers itself at once. */
	REG_ENOUGH_HOSTS = 10
};

/*
 * Returns the remaining delay of the host in microseconds. "known_hosts" is the number of hosts
 * that it knows, "since_start_us" the time since its process started.
 */
int64_t reg_delay_us(const char *name, unsigned int known_hosts, int64_t since_start_us);

G_END_DECLS

#endif
