#include "lim/part.h"

#include <math.h>

/* For which a permit is good once it is here; shorter than the half second that users measure by.
 */
static const int64_t lim_valid_us = 500000;

/* One that was under way for longer may be used no more: the home has given as many since. */
static const int64_t lim_late_us = 3000000;

/*
 * Requests a second to an endpoint that names zero, to learn whether it still does: only an answer
 * can tell that the limit is lifted.
 */
static const double lim_trial_rate = 0.2;

/* After a limit is lifted it is doubled in this time, over and over, and then forgotten. */
static const int64_t lim_double_us = 500000;
static const int64_t lim_ramp_us = 4000000;

/* From which a limit that is lifted grows at the least. */
static const double lim_ramp_least = 1;

bool lim_part_hear(struct lim_part *part, const struct lim_news *news)
{
	const struct lim_news before = part->news;

	if (news->said_us <= before.said_us)
		return false;
	if (!news->named && !before.named)
		return false;
	part->news = *news;
	/* One that was lifted a moment ago and is named again begins anew. */
	if (!news->named)
		part->news.rate = before.rate;
	return news->named != before.named || (news->named && news->rate != before.rate);
}

bool lim_binds(const struct lim_news *news, int64_t now_us)
{
	return news->named || (news->said_us > 0 && now_us - news->said_us < lim_ramp_us);
}

double lim_rate(const struct lim_news *news, int64_t now_us)
{
	double doublings = (double)MAX(now_us - news->said_us, 0) / (double)lim_double_us;

	if (news->named)
		return news->rate > 0 ? news->rate : lim_trial_rate;
	return MAX(news->rate, lim_ramp_least) * exp2(doublings);
}

bool lim_part_binds(const struct lim_part *part, int64_t now_us)
{
	return lim_binds(&part->news, now_us);
}

static void lim_part_expire(struct lim_part *part, int64_t now_us)
{
	if (part->permits == 0 || now_us < part->until_us)
		return;
	part->returned += part->permits;
	part->permits = 0;
}

bool lim_part_is_open(struct lim_part *part, int64_t now_us)
{
	lim_part_expire(part, now_us);
	return !lim_part_binds(part, now_us) || part->permits > 0;
}

void lim_part_take(struct lim_part *part, int64_t now_us)
{
	lim_part_expire(part, now_us);
	if (part->permits > 0)
		part->permits--;
}

void lim_part_grant(struct lim_part *part, int permits, int64_t asked_us, int64_t now_us)
{
	lim_part_expire(part, now_us);
	if (now_us - asked_us > lim_late_us) {
		part->returned += permits;
		return;
	}
	if (part->permits == 0)
		part->oldest_us = now_us;
	part->permits += permits;
	part->until_us = MIN(now_us, part->oldest_us + lim_valid_us) + lim_valid_us;
}
