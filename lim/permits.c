#include "lim/permits.h"

#include <math.h>

/*
 * Time in microseconds for which a received permit is valid. It must not exceed the half second
 * over which users measure the limit.
 */
static const int64_t lim_permit_valid_us = 500000;

/*
 * Age in microseconds of the request for permits above which its answer is not used, because the
 * home has granted the same number of permits again since.
 */
static const int64_t lim_grant_age_max_us = 3000000;

/*
 * Requests per second to an endpoint whose limit is zero. They serve as probes, since an endpoint
 * states only in its answers that the limit was lifted.
 */
static const double lim_probe_rate = 0.2;

/*
 * After a limit was lifted, it doubles every lim_lifted_doubling_us microseconds and no longer
 * applies after lim_lifted_duration_us microseconds.
 */
static const int64_t lim_lifted_doubling_us = 500000;
static const int64_t lim_lifted_duration_us = 4000000;

/* Lowest rate from which a lifted limit grows, in requests per second. */
static const double lim_lifted_rate_min = 1;

bool lim_permits_update_limit(struct lim_permits *held, const struct lim_notice *notice)
{
	const struct lim_notice previous = held->news;

	if (notice->stated_us <= previous.stated_us)
		return false;
	if (!notice->named && !previous.named)
		return false;
	held->news = *notice;
	/* A lifted limit grows from its last rate; a limit that is stated again replaces it. */
	if (!notice->named)
		held->news.rate = previous.rate;
	return notice->named != previous.named || (notice->named && notice->rate != previous.rate);
}

bool lim_is_in_force(const struct lim_notice *notice, int64_t now_us)
{
	return notice->named ||
	       (notice->stated_us > 0 && now_us - notice->stated_us < lim_lifted_duration_us);
}

double lim_current_rate(const struct lim_notice *notice, int64_t now_us)
{
	double doublings =
		(double)MAX(now_us - notice->stated_us, 0) / (double)lim_lifted_doubling_us;

	if (notice->named)
		return notice->rate > 0 ? notice->rate : lim_probe_rate;
	return MAX(notice->rate, lim_lifted_rate_min) * exp2(doublings);
}

bool lim_permits_are_required(const struct lim_permits *held, int64_t now_us)
{
	return lim_is_in_force(&held->news, now_us);
}

/* Drops expired permits and counts them as permits to return. */
static void lim_permits_expire(struct lim_permits *held, int64_t now_us)
{
	if (held->permits == 0 || now_us < held->expires_us)
		return;
	held->returned += held->permits;
	held->permits = 0;
}

bool lim_permits_may_send(struct lim_permits *held, int64_t now_us)
{
	lim_permits_expire(held, now_us);
	return !lim_permits_are_required(held, now_us) || held->permits > 0;
}

void lim_permits_use(struct lim_permits *held, int64_t now_us)
{
	lim_permits_expire(held, now_us);
	if (held->permits > 0)
		held->permits--;
}

void lim_permits_add(struct lim_permits *held, int permits, int64_t asked_us, int64_t now_us)
{
	lim_permits_expire(held, now_us);
	if (now_us - asked_us > lim_grant_age_max_us) {
		held->returned += permits;
		return;
	}
	if (held->permits == 0)
		held->oldest_received_us = now_us;
	held->permits += permits;
	held->expires_us =
		MIN(now_us, held->oldest_received_us + lim_permit_valid_us) + lim_permit_valid_us;
}
