#ifndef ROUTER_TRAFFIC_QUARANTINE_H
#define ROUTER_TRAFFIC_QUARANTINE_H

#include "quar/quar.h"
#include "router/crash.h"

/*
 * The quarantine in the traffic thread, which refuses quarantined requests and counts the crashes
 * that this host detects.
 */
struct traf;
struct traf_ep;

/* Counts a crash of the endpoint against the attempts cut by it (cuts: struct crash_attempt). */
void traf_quar_on_crash(struct traf *traf, const struct traf_ep *ep, const GArray *cuts);

/* Removes the crash of an endpoint that turned out to be alive from all entries, on all hosts. */
void traf_quar_remove_crash(struct traf *traf, const struct traf_ep *ep);

/*
 * Records how long an attempt of the request has run, from the response headers to the newest part
 * of the response.
 */
void traf_quar_on_part(struct traf *traf, const struct quar_id *id, int64_t lasted_us);

/* Clears a request that was served completely, so that it can't be the cause of crashes. */
void traf_quar_on_served(struct traf *traf, const struct quar_id *id);

/*
 * Shares a changed entry with other hosts, and applies the change on this host. entry may be NULL.
 * refused_before: whether the request was refused before the change.
 */
void traf_quar_share(struct traf *traf, const struct quar_entry *entry, bool refused_before);

/* Removes expired entries from time to time, and judges evidence about parts of prompts. */
void traf_quar_on_sweep(struct traf *traf, int64_t now_us);

/* Returns the points that count against a request if a crash cuts an attempt at that progress. */
int traf_quar_weight(enum crash_progress progress);

#endif
