#include "lim/home.h"

#include <math.h>
#include <string.h>

/*
 * Maximum of saved permits: those that the limit allows in lim_saved_max_s seconds, but at least
 * lim_saved_min permits.
 */
static const double lim_saved_max_s = 0.5;
static const double lim_saved_min = 1;

/* Half-life of the demand of a host, in seconds. */
static const double lim_demand_half_life_s = 1.0;

/*
 * Demand in requests below which a host receives no permit, because its last request was sent to
 * another endpoint or refused.
 */
static const double lim_demand_min = 0.5;

/*
 * Longest delay until the home checks again whether it can grant a permit, in microseconds. It
 * applies when the limit allows the next permit later.
 */
static const int64_t lim_grant_delay_max_us = 1000000;

struct lim_demand {
	/* Number of requests for the endpoint, with exponential decay. */
	double wanted;
	/* Time to which the decay is applied, in microseconds. */
	int64_t updated_us;
	/*
	 * Virtual time of the host, as in weighted fair queueing: each permit advances it by the
	 * inverse of the demand. The host with the lowest virtual time receives the next permit.
	 */
	double virtual_time;
};

void lim_home_init(struct lim_home *home, int64_t now_us)
{
	memset(home, 0, sizeof(*home));
	home->updated_us = now_us;
	home->demands = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void lim_home_finish(struct lim_home *home)
{
	g_hash_table_destroy(home->demands);
}

static double lim_home_saved_max(double rate)
{
	return MAX(lim_saved_max_s * rate, lim_saved_min);
}

/* Adds the permits that the limit has allowed since the last update. */
static void lim_home_accrue(struct lim_home *home, double part, int64_t now_us)
{
	double rate = lim_current_rate(&home->news, now_us) * part;

	home->saved += rate * (double)MAX(now_us - home->updated_us, 0) / 1e6;
	home->saved = MIN(home->saved, lim_home_saved_max(rate));
	home->updated_us = now_us;
}

void lim_home_set_limit(struct lim_home *home, const struct lim_notice *notice, int64_t now_us)
{
	home->news = *notice;
	home->saved = MIN(home->saved, lim_home_saved_max(lim_current_rate(notice, now_us)));
}

static double lim_demand_now(const struct lim_demand *demand, int64_t now_us)
{
	double age_s = (double)MAX(now_us - demand->updated_us, 0) / 1e6;

	return demand->wanted * exp2(-age_s / lim_demand_half_life_s);
}

void lim_home_report_demand(struct lim_home *home, const char *host, int wanted, int returned,
			    int64_t now_us)
{
	struct lim_demand *demand = g_hash_table_lookup(home->demands, host);

	home->saved = MIN(home->saved + returned,
			  lim_home_saved_max(lim_current_rate(&home->news, now_us)));
	if (!demand && wanted <= 0)
		return;
	if (!demand) {
		demand = g_new0(struct lim_demand, 1);
		g_hash_table_insert(home->demands, g_strdup(host), demand);
	}
	/* A host can't claim permits for a time in which it had no demand. */
	demand->virtual_time = MAX(demand->virtual_time, home->virtual_time);
	demand->wanted = lim_demand_now(demand, now_us) + wanted;
	demand->updated_us = now_us;
}

void lim_home_remove_host(struct lim_home *home, const char *host)
{
	g_hash_table_remove(home->demands, host);
}

/*
 * Returns the demand of the host with the lowest virtual time, or NULL, and sets *host to its name.
 * Hosts whose demand has decayed are removed.
 */
static struct lim_demand *lim_home_next_host(struct lim_home *home, const char **host,
					     int64_t now_us)
{
	struct lim_demand *first = NULL;
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, home->demands);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		struct lim_demand *demand = value;

		if (lim_demand_now(demand, now_us) < lim_demand_min) {
			g_hash_table_iter_remove(&iter);
		} else if (!first || demand->virtual_time < first->virtual_time) {
			first = demand;
			*host = name;
		}
	}
	return first;
}

const char *lim_home_grant_next(struct lim_home *home, double part, int64_t now_us)
{
	struct lim_demand *demand;
	const char *host = NULL;

	lim_home_accrue(home, part, now_us);
	if (home->saved < 1)
		return NULL;
	demand = lim_home_next_host(home, &host, now_us);
	if (!demand)
		return NULL;
	home->saved--;
	home->virtual_time = demand->virtual_time;
	demand->virtual_time += 1 / lim_demand_now(demand, now_us);
	demand->wanted = MAX(lim_demand_now(demand, now_us) - 1, 0);
	demand->updated_us = now_us;
	return host;
}

int64_t lim_home_grant_delay_us(const struct lim_home *home, double part, int64_t now_us)
{
	double rate = lim_current_rate(&home->news, now_us) * part;
	double missing = 1 - home->saved;

	if (g_hash_table_size(home->demands) == 0)
		return -1;
	if (missing <= 0)
		return 0;
	if (missing * 1e6 >= rate * (double)lim_grant_delay_max_us)
		return lim_grant_delay_max_us;
	return (int64_t)(missing * 1e6 / rate) + 1;
}
