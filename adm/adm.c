#include "adm/adm.h"

#include <math.h>
#include <string.h>

/* Requests that have begun count half after this time. */
static const double adm_half_s = 0.5;

/*
 * Part of a limit that may pass in the queue. The rest is for reading the prompt and for the hops,
 * 60 to 190 ms at the deployments of today.
 */
static const double adm_queue_part = 0.6;

/*
 * Requests that begin late for so long are a queue that stays. Shorter ones, as after a start of
 * all hosts, go away by themselves; refused, their callers would be later still (part of the value
 * of answers that was earned on days with failures 0.665 instead of 0.69).
 */
static const int64_t adm_stays_us = 2000000;

/* Many at once are no queue as long as none of them has waited for this part of that. */
static const double adm_fresh_part = 0.25;

/* So many may always wait: at a host with a few requests a second, one alone makes a long wait. */
static const int adm_few = 2;

/* What an account that stands back most gets of that. */
static const double adm_less_urgent_part = 0.5;

/*
 * A queue of one second at engines that just keep up has gone after some three; callers that were
 * refused come back then, not all at once.
 */
static const int64_t adm_back_least_us = 1500000;
static const int64_t adm_back_spread_us = 2500000;

void adm_init(struct adm *adm, int64_t now_us)
{
	memset(adm, 0, sizeof(*adm));
	adm->at_us = now_us;
	adm->good_us = now_us;
}

static void adm_fade(struct adm *adm, int64_t now_us)
{
	adm->begun *= exp2(-(double)(now_us - adm->at_us) / 1e6 / adm_half_s);
	adm->at_us = now_us;
}

void adm_on_begun(struct adm *adm, const struct adm_limits *limits, int64_t waited_us,
		  int64_t now_us)
{
	adm_fade(adm, now_us);
	adm->begun++;
	if (waited_us <= limits->target_us)
		adm->good_us = now_us;
}

/* Requests that begin in a second. */
static double adm_rate(const struct adm *adm)
{
	return adm->begun * log(2) / adm_half_s;
}

/* Strict from when a queue has stayed until none had to be refused for as long. */
static void adm_set_strict(struct adm *adm, int64_t now_us)
{
	if (!adm->strict && now_us - adm->good_us > adm_stays_us) {
		adm->strict = true;
		adm->refused_us = now_us;
	} else if (adm->strict && now_us - adm->refused_us > adm_stays_us) {
		adm->strict = false;
		adm->good_us = now_us;
	}
}

bool adm_admits(struct adm *adm, const struct adm_queue *queue, const struct adm_limits *limits,
		double less_urgent, int64_t now_us)
{
	double allowed_us;

	adm_fade(adm, now_us);
	if (queue->waiting <= adm_few)
		return true;
	adm_set_strict(adm, now_us);
	allowed_us = (double)(adm->strict ? limits->target_us : limits->patience_us);
	allowed_us *= adm_queue_part * (1 - (1 - adm_less_urgent_part) * less_urgent);
	if ((double)queue->oldest_us <= allowed_us * adm_fresh_part ||
	    queue->waiting * 1e6 <= allowed_us * adm_rate(adm))
		return true;
	adm->refused_us = now_us;
	return false;
}

int64_t adm_back_us(double chance)
{
	return adm_back_least_us + (int64_t)((double)adm_back_spread_us * chance);
}
