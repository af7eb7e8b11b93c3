#ifndef PATH_HOP_H
#define PATH_HOP_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * What a hop between two availability zones costs a token at present, learnt from the pauses
 * between events of the streams that make such hops and of those that do not. Pure.
 *
 * Links between zones are shared by all requests, one transfer after another. When one of them is
 * slow or full, every stream over it pauses; nothing tells so but the streams themselves.
 */
enum {
	HOP_ZONES_MAX = 8, /* more zones than that are not told apart */
	HOP_PAIRS = HOP_ZONES_MAX * HOP_ZONES_MAX
};

struct hop {
	double scale;		    /* pause between events for each ms of a path's expected cost */
	double pause_ms[HOP_PAIRS]; /* that a hop adds to a pause, by pair */
	int64_t seen_us[HOP_PAIRS]; /* when that was last learnt or faded */
};

/* The hops of one stream's pipeline, and what its path was expected to cost without them. */
struct hop_path {
	double cost_ms;
	uint8_t hops[HOP_PAIRS];
};

void hop_init(struct hop *hop);

/* Number of the pair; zones count from 0. The order of the two does not matter. */
int hop_pair(int zone_a, int zone_b);

/* A stream on that path has paused for so long between two events. */
void hop_learn(struct hop *hop, const struct hop_path *path, double pause_ms, int64_t now_us);

/* What such a hop adds to the time of a token, beyond the delay of the network. */
double hop_cost_ms(struct hop *hop, int zone_a, int zone_b, int64_t now_us);

G_END_DECLS

#endif
