#include "bud/bud.h"

#include <string.h>

/*
 * Part of the budget that is used. The bound applies to windows that begin at any time, so a window
 * may overlap one slot more than the slots that are counted, and hosts may disagree on the number
 * of hosts.
 */
static const double bud_safety_factor = 0.8;

/*
 * Shortest time over which a rate is computed, in microseconds. Over a shorter time, two
 * simultaneous requests would give a very high rate.
 */
static const int64_t bud_rate_span_min_us = 1000000;

static void bud_reset_slot(struct bud *bud, int64_t slot)
{
	bud->requests[slot % BUD_SLOTS] = 0;
	bud->retries[slot % BUD_SLOTS] = 0;
	bud->hosts[slot % BUD_SLOTS] = bud->limits.hosts;
}

/* Makes the slot of now_us the newest one and resets the slots in between. */
static void bud_advance_slots(struct bud *bud, int64_t now_us)
{
	int64_t slot = now_us / MAX(bud->limits.window_us / BUD_SLOTS, 1);
	int64_t first = MAX(bud->slot, slot - BUD_SLOTS) + 1;

	for (int64_t s = first; s <= slot; s++)
		bud_reset_slot(bud, s);
	bud->slot = MAX(bud->slot, slot);
}

void bud_init(struct bud *bud, const struct bud_limits *limits)
{
	memset(bud, 0, sizeof(*bud));
	bud->limits = *limits;
	for (int i = 0; i < BUD_SLOTS; i++)
		bud_reset_slot(bud, i);
}

void bud_set_limits(struct bud *bud, const struct bud_limits *limits, int64_t now_us)
{
	int *hosts;

	bud_advance_slots(bud, now_us);
	bud->limits = *limits;
	hosts = &bud->hosts[bud->slot % BUD_SLOTS];
	*hosts = MAX(*hosts, limits->hosts);
}

/* Returns this host's share of the fixed number of retries. */
static double bud_fixed_share(const struct bud *bud, int64_t now_us)
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
	bud_advance_slots(bud, now_us);
	if (bud->first_us == 0)
		bud->first_us = now_us;
	bud->requests[bud->slot % BUD_SLOTS]++;
}

double bud_request_rate(struct bud *bud, int64_t now_us)
{
	int64_t span_us = MIN(now_us - bud->first_us, bud->limits.window_us);
	double requests = 0;

	if (bud->first_us == 0)
		return 0;
	bud_advance_slots(bud, now_us);
	for (int i = 0; i < BUD_SLOTS; i++)
		requests += bud->requests[i];
	return requests * 1e6 / (double)MAX(span_us, bud_rate_span_min_us);
}

double bud_retries_left(struct bud *bud, int64_t now_us)
{
	double requests = 0;
	double retries = 0;
	double allowed;

	bud_advance_slots(bud, now_us);
	for (int i = 0; i < BUD_SLOTS; i++) {
		requests += bud->requests[i];
		retries += bud->retries[i];
	}
	allowed = bud->limits.ratio * requests + bud_fixed_share(bud, now_us);
	return MAX(allowed * bud_safety_factor - retries, 0);
}

bool bud_charge_retry(struct bud *bud, int64_t now_us)
{
	if (bud_retries_left(bud, now_us) < 1)
		return false;
	bud->retries[bud->slot % BUD_SLOTS]++;
	return true;
}
