#ifndef ROUTER_TRAFFIC_PART_H
#define ROUTER_TRAFFIC_PART_H

#include "quar/part.h"
#include "quar/quar_key.h"
#include "router/crash.h"

/*
 * The evidence about parts of prompts in the traffic thread: records it for this host's requests
 * and puts parts that are to blame for crashes into quarantine.
 */
struct traf;

/*
 * Counts a crash of an endpoint against the parts of the requests that had just begun there (cuts:
 * struct crash_attempt). endpoint is the hash of its incarnation.
 */
void traf_part_on_crash(struct traf *traf, uint64_t endpoint, const GArray *cuts);

/* Withdraws the crash of an endpoint that turned out to be alive. */
void traf_part_remove_crash(struct traf *traf, uint64_t endpoint);

/*
 * Records that an answer that began at head_us went on or was received whole, so the parts of its
 * request don't crash endpoints.
 */
void traf_part_on_gone_on(struct traf *traf, const uint64_t *parts, int n, int64_t head_us);

/* Discards the evidence against a part whose refusal has been lifted, or is over. */
void traf_part_on_lifted(struct traf *traf, uint64_t part);

/* Judges evidence that has had time to be refuted, and removes expired entries. */
void traf_part_on_sweep(struct traf *traf, int64_t now_us);

/* Passes evidence of other hosts (struct part_entry) to the traffic thread. From any thread. */
void traf_part_post(struct traf *traf, const GPtrArray *entries);

#endif
