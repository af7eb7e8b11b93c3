#ifndef QUAR_PART_RECENT_H
#define QUAR_PART_RECENT_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The newest crashes of endpoints that this host knows of, whatever the parts of the requests that
 * had just begun there. Unlike the crashes of a part (struct part_entry) they stay when requests
 * with a part go on, so they show how many crashes that part has nothing to do with.
 */
enum {
	/* Maximum number of crashes; the oldest goes first. */
	PART_RECENT_MAX = 256
};

struct part_recent_crash {
	uint64_t endpoint; /* hash of the endpoint's id and start time */
	int64_t at_us;	   /* earliest time that was reported, in microseconds */
	int points;	   /* greatest points of a request there, see quar/part.h */
};

struct part_recent {
	GArray *crashes; /* struct part_recent_crash, sorted by time */
};

void part_recent_init(struct part_recent *recent);
void part_recent_finish(struct part_recent *recent);

/* Adds a report of a crash. The order and number of reports doesn't matter. */
void part_recent_add(struct part_recent *recent, const struct part_recent_crash *report);

const struct part_recent_crash *part_recent_at(const struct part_recent *recent, guint i);

G_END_DECLS

#endif
