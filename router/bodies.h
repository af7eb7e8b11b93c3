#ifndef ROUTER_BODIES_H
#define ROUTER_BODIES_H

#include "base/hd.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The bound on the memory of all request bodies of a host: which bodies are held and which are
 * refused. This module does no I/O.
 *
 * A quarter of the bound is kept for short bodies, so that requests with a short one are served
 * while large ones fill the rest.
 */

struct bodies_limits {
	uint64_t total_max; /* of all bodies together, in bytes */
	uint64_t large_max; /* total above which only short bodies are taken, in bytes */
};

/* Returns whether total_max leaves room for a body of body_max beside what short ones have. */
bool bodies_fits_one(uint64_t total_max, uint64_t body_max);

/* Returns the least total in bytes for which bodies_fits_one() is true. */
uint64_t bodies_least_total(uint64_t body_max);

/*
 * Fills in the limits. A total that does not leave room for one body of body_max is raised, as such
 * a body could never be served.
 */
void bodies_limits_init(struct bodies_limits *limits, uint64_t total_max, uint64_t body_max);

/* Returns whether a body may take the memory that it needs now. */
bool bodies_may_hold(const struct bodies_limits *limits, const struct hd_body_use *use);

G_END_DECLS

#endif
