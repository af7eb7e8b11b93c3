#include "bud/bud.h"

#include <string.h>

/*
 * The window that is judged may begin anywhere, so its edges may hold a part of ours more; and
 * hosts may disagree on how many they are.
 */
static const double bud_caution = 0.8;

/* A rate is not taken over less: two requests at once would look like a flood. */
static const int64_t bud_least_span_us = 1000000;

static void bud_clear_slot(struct bud *bud, int64_t slot)
{
	bud->requests[slot % BUD_SLOTS] = 0;
	bud->repeats[slot % BUD_SLOTS] = 0;
	bud->hosts[slot % BUD_SLOTS] = bud->limits.hosts;
}

static void bud_advance(struct bud *bud, int64_t now_us)
{
	int64_t slot = now_us / MAX(bud->limits.window_us / BUD_SLOTS, 1);
	int64_t first = MAX(bud->slot, slot - BUD_SLOTS) + 1;

	for (int64_t s = first; s <= slot; s++)
		bud_clear_slot(bud, s);
	bud->slot = MAX(bud->slot, slot);
}

void bud_init(struct bud *bud, const struct bud_limits *limits)
{
	memset(bud, 0, sizeof(*bud));
	bud->limits = *limits;
	for (int i = 0; i < BUD_SLOTS; i++)
		bud_clear_slot(bud, i);
}

void bud_set_limits(struct bud *bud, const struct bud_limits *limits, int64_t now_us)
{
	int *hosts;

	bud_advance(bud, now_us);
	bud->limits = *limits;
	hosts = &bud->hosts[bud->slot % BUD_SLOTS];
	*hosts = MAX(*hosts, limits->hosts);
}

/* This host's share of the fixed number. */
static double bud_share(const struct bud *bud, int64_t now_us)
{
	int hosts = 1;

	if (now_us < bud->limits.fixed_from_us)
		return 0;
	for (int i = 0; i < BUD_SLOTS; i++)
		hosts = MAX(hosts, bud->hosts[i]);
	return bud->limits.fixed / hosts;
}

void bud_on_request(struct bud *bud, int64_t now_us)
{
	bud_advance(bud, now_us);
	if (bud->first_us == 0)
		bud->first_us = now_us;
	bud->requests[bud->slot % BUD_SLOTS]++;
}

double bud_rate(struct bud *bud, int64_t now_us)
{
	int64_t span_us = MIN(now_us - bud->first_us, bud->limits.window_us);
	double requests = 0;

	if (bud->first_us == 0)
		return 0;
	bud_advance(bud, now_us);
	for (int i = 0; i < BUD_SLOTS; i++)
		requests += bud->requests[i];
	return requests * 1e6 / (double)MAX(span_us, bud_least_span_us);
}

double bud_left(struct bud *bud, int64_t now_us)
{
	double requests = 0;
	double repeats = 0;
	double allowed;

	bud_advance(bud, now_us);
	for (int i = 0; i < BUD_SLOTS; i++) {
		requests += bud->requests[i];
		repeats += bud->repeats[i];
	}
	allowed = bud->limits.ratio * requests + bud_share(bud, now_us);
	return MAX(allowed * bud_caution - repeats, 0);
}

bool bud_take(struct bud *bud, int64_t now_us)
{
	if (bud_left(bud, now_us) < 1)
		return false;
	bud->repeats[bud->slot % BUD_SLOTS]++;
	return true;
}
