#include "path/hop.h"

#include <math.h>
#include <string.h>

/*
 * Part of an error that one pause corrects. A host with 30 streams sees some 1,000 pauses a second,
 * so half of a change is learnt within 0.2 s.
 */
static const double hop_rate = 0.03;

/* One hop counts as much in an error as so many ms of expected cost. */
static const double hop_unit_ms = 10.0;

/* A pause longer than this tells of a stage at fault, not of a link. */
static const double hop_pause_most_ms = 1000.0;

/* What is not seen any more, since nothing goes that way, is believed half after this time. */
static const double hop_fade_s = 3.0;

static const double hop_scale_least = 0.2;

void hop_init(struct hop *hop)
{
	memset(hop, 0, sizeof(*hop));
	hop->scale = 2;
}

int hop_pair(int zone_a, int zone_b)
{
	int low = MIN(MIN(zone_a, zone_b), HOP_ZONES_MAX - 1);
	int high = MIN(MAX(zone_a, zone_b), HOP_ZONES_MAX - 1);

	return low * HOP_ZONES_MAX + high;
}

static void hop_fade(struct hop *hop, int pair, int64_t now_us)
{
	double age_s = (double)(now_us - hop->seen_us[pair]) / 1e6;

	if (age_s > 0)
		hop->pause_ms[pair] *= exp2(-age_s / hop_fade_s);
	hop->seen_us[pair] = now_us;
}

void hop_learn(struct hop *hop, const struct hop_path *path, double pause_ms, int64_t now_us)
{
	double error = MIN(pause_ms, hop_pause_most_ms) - hop->scale * path->cost_ms;
	double weight = path->cost_ms * path->cost_ms + hop_unit_ms * hop_unit_ms;

	for (int pair = 0; pair < HOP_PAIRS; pair++) {
		error -= path->hops[pair] * hop->pause_ms[pair];
		weight += hop_unit_ms * hop_unit_ms * path->hops[pair] * path->hops[pair];
	}
	error *= hop_rate / weight;
	hop->scale = MAX(hop->scale + error * path->cost_ms, hop_scale_least);
	for (int pair = 0; pair < HOP_PAIRS; pair++) {
		double step = error * hop_unit_ms * hop_unit_ms * path->hops[pair];

		if (path->hops[pair] == 0)
			continue;
		hop->pause_ms[pair] = MAX(hop->pause_ms[pair] + step, 0);
		hop->seen_us[pair] = now_us;
	}
}

double hop_cost_ms(struct hop *hop, int zone_a, int zone_b, int64_t now_us)
{
	int pair = hop_pair(zone_a, zone_b);

	if (zone_a == zone_b)
		return 0;
	hop_fade(hop, pair, now_us);
	return hop->pause_ms[pair] / hop->scale;
}
