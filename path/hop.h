#ifndef PATH_HOP_H
#define PATH_HOP_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Estimates how much time a hop between two availability zones adds to a token at present. The
 * estimate is updated from the pauses between events of streams, with and without such hops. The
 * module does no I/O.
 *
 * A link between zones carries the transfers of all requests one after another. If a link is slow
 * or saturated, every stream over it pauses; no other measurement of the link is available.
 */
enum {
	HOP_ZONES_MAX =
		8, /* maximum number of zones that are distinguished; later ones share a number */
	HOP_PAIRS = HOP_ZONES_MAX * HOP_ZONES_MAX /* number of pairs of availability zones */
};

/* Estimate of the time of hops between all pairs of availability zones. */
struct hop {
	double scale; /* ratio of the pause between two events to a path's expected time of a token
		       */
	double pause_ms[HOP_PAIRS];    /* time that a hop between a pair adds to a pause, in ms */
	int64_t updated_us[HOP_PAIRS]; /* time of the last change of each pause_ms, in microseconds
					*/
};

/* The hops of the pipeline of one stream. */
struct hop_path {
	double cost_ms;		 /* expected time of a token without the hops, in ms */
	uint8_t hops[HOP_PAIRS]; /* number of hops between each pair of availability zones */
};

void hop_init(struct hop *hop);

/* Returns the index of a pair of availability zones, in either order; zones count from 0. */
int hop_pair_index(int zone_a, int zone_b);

/* Updates the estimate from one pause between two events of a stream on the path. */
void hop_observe_pause(struct hop *hop, const struct hop_path *path, double pause_ms,
		       int64_t now_us);

/* Returns the ms that a hop between two zones adds to a token besides the network's delay. */
double hop_cost_ms(struct hop *hop, int zone_a, int zone_b, int64_t now_us);

G_END_DECLS

#endif
