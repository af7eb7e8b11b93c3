#ifndef LIM_FAIR_H
#define LIM_FAIR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Which client account may use a permit where all endpoints of a service are limited: what is left
 * is shared by equal portions. An account waits while another one that has used less wants one.
 * Pure.
 */
struct lim_fair {
	GHashTable *accounts; /* name -> struct lim_use */
};

void lim_fair_init(struct lim_fair *fair);
void lim_fair_finish(struct lim_fair *fair);

/* Whether the account may use a permit now. */
bool lim_fair_may_take(const struct lim_fair *fair, const char *account, int64_t now_us);

void lim_fair_took(struct lim_fair *fair, const char *account, int64_t now_us);

/* A request of the account found nobody to go to. */
void lim_fair_lacked(struct lim_fair *fair, const char *account, int64_t now_us);

G_END_DECLS

#endif
