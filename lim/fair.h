#ifndef LIM_FAIR_H
#define LIM_FAIR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Fair sharing of permits between client accounts, for services whose endpoints all have limits.
 * The available permits are shared equally: an account must wait while another account that has
 * used fewer permits needs one. This module does no I/O.
 */
struct lim_fair {
	/* Maps the name of an account to its struct lim_usage. */
	GHashTable *accounts;
};

void lim_fair_init(struct lim_fair *fair);
void lim_fair_finish(struct lim_fair *fair);

/* Returns whether the account may use a permit now. */
bool lim_fair_may_use_permit(const struct lim_fair *fair, const char *account, int64_t now_us);

/* Counts a permit that the account used. */
void lim_fair_count_permit(struct lim_fair *fair, const char *account, int64_t now_us);

/* Records that a request of the account found no endpoint with a permit. */
void lim_fair_count_shortage(struct lim_fair *fair, const char *account, int64_t now_us);

G_END_DECLS

#endif
