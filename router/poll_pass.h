#ifndef ROUTER_POLL_PASS_H
#define ROUTER_POLL_PASS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * A pass over all engines, each asked once for its report, in rounds of at most a second. Asking
 * all at once held 2,910 connections in one moment; and since the other readers heard of no round
 * for the 19 s that it took, they asked all engines, too. Pure.
 */
enum {
	/* Reports a second at most: one costs some 250 us, so these 4 % of a core. */
	PP_PER_S = 150
};

struct pp {
	GQueue due; /* incarnations that are still to be asked, in this order; owned */
	guint per_round;
	int64_t round_us; /* between the beginnings of two rounds */
};

void pp_init(struct pp *pp);
void pp_finish(struct pp *pp);

/* A pass over these incarnations (char *, copied) begins. */
void pp_begin(struct pp *pp, const GPtrArray *engines);

/* Whether all have been asked. */
bool pp_is_over(const struct pp *pp);

/* Takes those of the next round: incarnations, to be freed with the array. */
GPtrArray *pp_take(struct pp *pp);

/* One that did not answer is asked in the next round once more. */
void pp_ask_again(struct pp *pp, const char *engine);

/* How long a pass over so many takes. */
int64_t pp_pass_us(guint engines);

G_END_DECLS

#endif
