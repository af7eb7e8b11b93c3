#include "path/hop.h"

#include <math.h>
#include <string.h>

/*
 * Part of the prediction error that one pause corrects. A host with 30 streams observes about 1,000
 * pauses per second, so the estimate follows half of a change within 0.2 s.
 */
static const double hop_learning_rate = 0.03;

/* Weight of one hop in an error, as the number of ms of expected cost that weigh as much. */
static const double hop_weight_ms = 10.0;

/* Longer pauses count as this many ms, because a faulty stage causes them and not a slow link. */
static const double hop_pause_max_ms = 1000.0;

/*
 * Half-life of the estimate of a pair that no stream uses, in seconds. It decays so that a link
 * that is avoided as slow is tried again.
 */
static const double hop_half_life_s = 3.0;

/* Lower bound of the scale, by which estimates are divided. */
static const double hop_scale_min = 0.2;

void hop_init(struct hop *hop)
{
	memset(hop, 0, sizeof(*hop));
	hop->scale = 2;
}

int hop_pair_index(int zone_a, int zone_b)
{
	int low = MIN(MIN(zone_a, zone_b), HOP_ZONES_MAX - 1);
	int high = MIN(MAX(zone_a, zone_b), HOP_ZONES_MAX - 1);

	return low * HOP_ZONES_MAX + high;
}

/* Reduces the estimate of a pair by the time that has passed since its last change. */
static void hop_decay(struct hop *hop, int pair, int64_t now_us)
{
	double age_s = (double)(now_us - hop->updated_us[pair]) / 1e6;

	if (age_s > 0)
		hop->pause_ms[pair] *= exp2(-age_s / hop_half_life_s);
	hop->updated_us[pair] = now_us;
}

void hop_observe_pause(struct hop *hop, const struct hop_path *path, double pause_ms,
		       int64_t now_us)
{
	double error = MIN(pause_ms, hop_pause_max_ms) - hop->scale * path->cost_ms;
	double weight = path->cost_ms * path->cost_ms + hop_weight_ms * hop_weight_ms;

	for (int pair = 0; pair < HOP_PAIRS; pair++) {
		error -= path->hops[pair] * hop->pause_ms[pair];
		weight += hop_weight_ms * hop_weight_ms * path->hops[pair] * path->hops[pair];
	}
	error *= hop_learning_rate / weight;
	hop->scale = MAX(hop->scale + error * path->cost_ms, hop_scale_min);
	for (int pair = 0; pair < HOP_PAIRS; pair++) {
		double step = error * hop_weight_ms * hop_weight_ms * path->hops[pair];

		if (path->hops[pair] == 0)
			continue;
		hop->pause_ms[pair] = MAX(hop->pause_ms[pair] + step, 0);
		hop->updated_us[pair] = now_us;
	}
}

double hop_cost_ms(struct hop *hop, int zone_a, int zone_b, int64_t now_us)
{
	int pair = hop_pair_index(zone_a, zone_b);

	if (zone_a == zone_b)
		return 0;
	hop_decay(hop, pair, now_us);
	return hop->pause_ms[pair] / hop->scale;
}
