#ifndef LIM_HOME_H
#define LIM_HOME_H

#include "lim/part.h"

G_BEGIN_DECLS

/*
 * One host, the home, divides the limit of an endpoint: it gives one permit after the other, as the
 * limit allows, each for one request. The host that gets the next one is chosen by need: one from
 * which twice as many requests want to go there gets twice as many. Unused permits come back.
 *
 * In any time T the endpoint gets at most what the limit allows in T and in the time that a permit
 * may be on its way and kept, and what was saved up: half a second's, or one. Pure.
 */
struct lim_home {
	struct lim_news news;
	double saved; /* permits that may be given now; fractions are kept */
	int64_t at_us;
	double turn;	   /* of the host that was served last; others begin from there */
	GHashTable *needs; /* host -> struct lim_need */
};

void lim_home_init(struct lim_home *home, int64_t now_us);
void lim_home_finish(struct lim_home *home);

/* The limit has another value. What is saved up is not more than the new one allows. */
void lim_home_set(struct lim_home *home, const struct lim_news *news, int64_t now_us);

/* So many requests of a host would go there since it last asked; it gives so many permits back. */
void lim_home_ask(struct lim_home *home, const char *host, int wanted, int returned,
		  int64_t now_us);

/* The host is gone, or asks another home. */
void lim_home_leave(struct lim_home *home, const char *host);

/* The host that gets a permit now, or NULL; part: of the limit that this home may divide, 0..1. */
const char *lim_home_next(struct lim_home *home, double part, int64_t now_us);

/* How long until there may be a next one; -1: nobody needs one. */
int64_t lim_home_wait_us(const struct lim_home *home, double part, int64_t now_us);

G_END_DECLS

#endif
