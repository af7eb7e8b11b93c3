#ifndef BUD_BUD_H
#define BUD_BUD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Retry budget of one service. In any time window, all hosts together may send as many retries as a
 * ratio of the requests plus a fixed number. Hosts don't coordinate retries: each host is limited
 * to the ratio of its own requests plus an equal share of the fixed number. This module does no
 * I/O.
 *
 * The number of retries that a host has sent is kept in memory only and is lost on a restart. With
 * a full share right after a restart, hosts that are killed and restart within one window would
 * together send the fixed number twice, while endpoints may be overloaded. Therefore a host has no
 * share of the fixed number until one window after its start, unless the whole system is new; until
 * then it is limited to the ratio of its own requests. For the same reason the fixed number is
 * divided by the highest number of hosts within the window, not by the current number: hosts that
 * have ended may have used their shares.
 */
enum {
	/* Number of slots into which the window is divided. */
	BUD_SLOTS = 20
};

struct bud_limits {
	/* Number of retries allowed for each request, which may be below 1. */
	double ratio;
	/* Additional retries allowed in each window, over all hosts. */
	double fixed;
	/* Length of the window in microseconds. */
	int64_t window_us;
	/* Number of hosts that share the fixed number. */
	int hosts;
	/* Time from which this host has a share of the fixed number, in microseconds. */
	int64_t fixed_from_us;
};

struct bud {
	struct bud_limits limits;
	/* Time of the first request, in microseconds; 0 if none. */
	int64_t first_us;
	/* Number of the newest slot: its time divided by the length of a slot. */
	int64_t slot;
	/* Number of requests in each slot. */
	uint32_t requests[BUD_SLOTS];
	/* Number of retries in each slot. */
	uint32_t retries[BUD_SLOTS];
	/* Highest number of hosts that shared the fixed number in each slot. */
	int hosts[BUD_SLOTS];
};

void bud_init(struct bud *bud, const struct bud_limits *limits);
void bud_set_limits(struct bud *bud, const struct bud_limits *limits, int64_t now_us);

/* Counts the first attempt of a request. */
void bud_on_request(struct bud *bud, int64_t now_us);

/* Returns the requests per second over the window or, if shorter, since the first request. */
double bud_request_rate(struct bud *bud, int64_t now_us);

/* Returns the number of retries that may be sent now. */
double bud_retries_left(struct bud *bud, int64_t now_us);

/* Charges one retry to the budget. Returns false if the budget is exhausted. */
bool bud_charge_retry(struct bud *bud, int64_t now_us);

G_END_DECLS

#endif
