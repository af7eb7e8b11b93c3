#include "adm/adm.h"

#include <math.h>
#include <string.h>

/* Half-life of the number of requests that have begun, in seconds. */
static const double adm_half_life_s = 0.5;

/*
 * Part of a time limit that a request may spend in the queue. The rest is needed to read the prompt
 * and for network hops, 60 to 190 ms at current deployments.
 */
static const double adm_queue_wait_ratio = 0.6;

/*
 * Time for which requests must begin late, in microseconds, before strict mode starts; strict mode
 * ends after the same time without a refusal. Shorter queues, as after a start of all hosts, drain
 * without refusals, which would delay the callers further: refusing them reduced the earned part of
 * the value of answers on days with failures from 0.69 to 0.665.
 */
static const int64_t adm_strict_after_us = 2000000;

/*
 * Part of the allowed wait up to which the oldest request may have waited without any refusal. It
 * admits a burst of requests that arrive together.
 */
static const double adm_fresh_queue_ratio = 0.25;

/*
 * Number of requests that may always wait. At a host with a few requests per second, a single
 * waiting request gives a long estimate.
 */
static const int adm_always_admitted = 2;

/* Part of the allowed wait that applies to the least urgent requests. */
static const double adm_least_urgent_ratio = 0.5;

/*
 * Shortest retry delay and the range added to it, in microseconds. With engines that have just
 * enough capacity, a queue of one second drains in about three seconds; the retries of refused
 * callers are spread around that time.
 */
static const int64_t adm_retry_delay_min_us = 1500000;
static const int64_t adm_retry_delay_spread_us = 2500000;

void adm_init(struct adm *adm, int64_t now_us)
{
	memset(adm, 0, sizeof(*adm));
	adm->decayed_us = now_us;
	adm->last_timely_us = now_us;
}

void adm_service_init(struct adm_service *service, int64_t now_us)
{
	for (int i = 0; i < ADM_CLASSES_MAX; i++)
		adm_init(&service->classes[i], now_us);
}

struct adm *adm_of_class(struct adm_service *service, int rank)
{
	return &service->classes[CLAMP(rank, 0, ADM_CLASSES_MAX - 1)];
}

void adm_service_on_first_token(struct adm_service *service, int rank,
				const struct adm_limits *limits, int64_t waited_us, int64_t now_us)
{
	for (int i = CLAMP(rank, 0, ADM_CLASSES_MAX - 1); i < ADM_CLASSES_MAX; i++)
		adm_on_first_token(&service->classes[i], limits, waited_us, now_us);
}

/* Returns how much of an earlier count is left at that time. */
static double adm_decay(const struct adm *adm, int64_t now_us)
{
	return exp2(-(double)(now_us - adm->decayed_us) / 1e6 / adm_half_life_s);
}

static void adm_apply_decay(struct adm *adm, int64_t now_us)
{
	adm->begun *= adm_decay(adm, now_us);
	adm->decayed_us = now_us;
}

void adm_on_first_token(struct adm *adm, const struct adm_limits *limits, int64_t waited_us,
			int64_t now_us)
{
	adm_apply_decay(adm, now_us);
	adm->begun++;
	if (waited_us <= limits->target_us)
		adm->last_timely_us = now_us;
}

double adm_begin_rate(const struct adm *adm, int64_t now_us)
{
	return adm->begun * adm_decay(adm, now_us) * log(2) / adm_half_life_s;
}

/*
 * Starts strict mode when a queue has persisted for adm_strict_after_us, and ends it when no
 * request was refused for the same time.
 */
static void adm_update_strict(struct adm *adm, int64_t now_us)
{
	if (!adm->strict && now_us - adm->last_timely_us > adm_strict_after_us) {
		adm->strict = true;
		adm->last_refused_us = now_us;
	} else if (adm->strict && now_us - adm->last_refused_us > adm_strict_after_us) {
		adm->strict = false;
		adm->last_timely_us = now_us;
	}
}

bool adm_admits(struct adm *adm, const struct adm_queue *queue, const struct adm_limits *limits,
		double less_urgent, int64_t now_us)
{
	double allowed_us;

	adm_apply_decay(adm, now_us);
	if (queue->waiting <= adm_always_admitted)
		return true;
	adm_update_strict(adm, now_us);
	allowed_us = (double)(adm->strict ? limits->target_us : limits->patience_us);
	allowed_us *= adm_queue_wait_ratio * (1 - (1 - adm_least_urgent_ratio) * less_urgent);
	if ((double)queue->oldest_us <= allowed_us * adm_fresh_queue_ratio ||
	    queue->waiting * 1e6 <= allowed_us * adm_begin_rate(adm, now_us))
		return true;
	adm->last_refused_us = now_us;
	return false;
}

int64_t adm_retry_delay_us(double chance)
{
	return adm_retry_delay_min_us + (int64_t)((double)adm_retry_delay_spread_us * chance);
}
