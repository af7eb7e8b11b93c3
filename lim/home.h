#ifndef LIM_HOME_H
#define LIM_HOME_H

#include "lim/permits.h"

G_BEGIN_DECLS

/*
 * Division of an endpoint's limit among hosts. One host, the home of the limit, grants permits at
 * the rate of the limit; each permit allows one request. Hosts receive permits in proportion to
 * their demand, the number of requests that they would send to the endpoint. Hosts return unused
 * permits to the home. This module does no I/O.
 *
 * In any time T the endpoint receives at most the number of requests that the limit allows in T
 * plus the time for which a permit may be on its way and kept, plus the saved permits: at
 * most those of half a second, or one permit if that is more.
 */
struct lim_home {
	/* Newest statement of the endpoint about its limit. */
	struct lim_notice news;
	/* Number of permits that may be granted now, including fractions. */
	double saved;
	/* Time up to which permits are accrued, in microseconds. */
	int64_t updated_us;
	/* Virtual time of the host that received the last permit; other hosts start from it. */
	double virtual_time;
	/* Maps the name of a host to its struct lim_demand. */
	GHashTable *demands;
};

void lim_home_init(struct lim_home *home, int64_t now_us);
void lim_home_finish(struct lim_home *home);

/* Changes the limit. Saved permits in excess of the new limit's maximum are dropped. */
void lim_home_set_limit(struct lim_home *home, const struct lim_notice *notice, int64_t now_us);

/*
 * Records the demand of a host. wanted is the number of requests that it would have sent to the
 * endpoint since its last call, returned the number of permits that it returns unused.
 */
void lim_home_report_demand(struct lim_home *home, const char *host, int wanted, int returned,
			    int64_t now_us);

/* Removes a host that has ended or uses another home. */
void lim_home_remove_host(struct lim_home *home, const char *host);

/*
 * Grants one permit. Returns the host that receives it, or NULL if no permit is available or no
 * host needs one. part is the part of the limit that this home may divide, from 0 to 1.
 */
const char *lim_home_grant_next(struct lim_home *home, double part, int64_t now_us);

/* Returns the time in microseconds until the next permit may be available; -1 without demand. */
int64_t lim_home_grant_delay_us(const struct lim_home *home, double part, int64_t now_us);

G_END_DECLS

#endif
