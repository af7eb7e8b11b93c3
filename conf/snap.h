#ifndef CONF_SNAP_H
#define CONF_SNAP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Decides when this host appends a snapshot of the configuration to the log. Records expire, so a
 * snapshot must be in the log well before the oldest record that it replaces expires. The first
 * host by rendezvous hashing writes it; each further host waits longer and writes it if the hosts
 * before it have failed. Two snapshots do no harm. The module does no I/O and reads no clock; all
 * times are in microseconds.
 */
struct snap {
	int64_t every_us;     /* interval between two snapshots */
	int64_t seen_us;      /* time at which a snapshot was last known to be in the log */
	int64_t not_until_us; /* time before which a failed append is not repeated */
	bool appending;	      /* an append of this host is in progress */
};

void snap_init(struct snap *snap, int64_t every_us, int64_t now_us);

/* A snapshot was read from the log. */
void snap_on_read(struct snap *snap, int64_t now_us);

/*
 * Returns whether this host must append a snapshot now; rank is the number of hosts that precede it
 * as writers.
 */
bool snap_is_due(const struct snap *snap, unsigned int rank, int64_t now_us);

/* An append begins, and ends with or without success. A failed one is repeated after a delay. */
void snap_on_append(struct snap *snap);
void snap_on_appended(struct snap *snap, bool written, int64_t now_us);

G_END_DECLS

#endif
