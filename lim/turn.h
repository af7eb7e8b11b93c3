#ifndef LIM_TURN_H
#define LIM_TURN_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * When callers that are refused for limits should come back: each is told a turn of its own, as far
 * apart as the limits allow, instead of all the same moment. Pure.
 */
struct lim_turn {
	int64_t next_us; /* of the next caller */
};

/*
 * How long to wait; rate: requests a second that the limits leave to this host, most_us: longer
 * callers do not wait.
 */
int64_t lim_turn_wait_us(struct lim_turn *turn, double rate, int64_t most_us, int64_t now_us);

G_END_DECLS

#endif
