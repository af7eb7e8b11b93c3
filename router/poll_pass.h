#ifndef ROUTER_POLL_PASS_H
#define ROUTER_POLL_PASS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * A pass over all engines: each engine is polled once for its report, in rounds of at most a
 * second. Polling all at once opened 2,910 connections at the same time and took 19 s. During that
 * time the other readers received no round number, so they polled all engines, too. No I/O.
 */
enum {
	/*
	 * Most reports requested in a second. A report takes about 250 us of processor time, so
	 * these take 4 % of a core.
	 */
	PASS_REPORTS_PER_S = 150
};

struct pass {
	GQueue due;	  /* incarnations still to be polled, the next one first; owned */
	guint per_round;  /* number of engines to poll in a round */
	int64_t round_us; /* time between the beginnings of two rounds, in microseconds */
};

void pass_init(struct pass *pass);
void pass_finish(struct pass *pass);

/* Begins a pass over these incarnations (char *, copied). */
void pass_begin(struct pass *pass, const GPtrArray *engines);

/* Returns whether every engine of the pass has been polled. */
bool pass_is_over(const struct pass *pass);

/* Removes the next round from the pass. Returns its incarnations, to be freed with the array. */
GPtrArray *pass_next_round(struct pass *pass);

/* Adds an engine that did not answer to the next round, unless the pass is over. */
void pass_retry(struct pass *pass, const char *engine);

/* Returns the duration of a pass over that many engines, in microseconds. */
int64_t pass_duration_us(guint engines);

G_END_DECLS

#endif
