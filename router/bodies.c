#include "router/bodies.h"

enum {
	BODIES_SHORT_BYTES = 16 << 10, /* a longer body is a large one */
	BODIES_SHORT_DIVISOR = 4       /* 1/4 of the total is kept for short bodies */
};

static uint64_t bodies_large_max(uint64_t total_max)
{
	return total_max - (total_max + BODIES_SHORT_DIVISOR - 1) / BODIES_SHORT_DIVISOR;
}

bool bodies_fits_one(uint64_t total_max, uint64_t body_max)
{
	return bodies_large_max(total_max) >= body_max;
}

uint64_t bodies_least_total(uint64_t body_max)
{
	return body_max + (body_max + BODIES_SHORT_DIVISOR - 2) / (BODIES_SHORT_DIVISOR - 1);
}

void bodies_limits_init(struct bodies_limits *limits, uint64_t total_max, uint64_t body_max)
{
	limits->total_max = MAX(total_max, bodies_least_total(body_max));
	limits->large_max = bodies_large_max(limits->total_max);
}

bool bodies_may_hold(const struct bodies_limits *limits, const struct hd_body_use *use)
{
	bool is_short = use->own <= BODIES_SHORT_BYTES;

	return use->total + use->more <= (is_short ? limits->total_max : limits->large_max);
}
