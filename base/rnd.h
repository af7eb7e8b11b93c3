#ifndef BASE_RND_H
#define BASE_RND_H

#include <stdint.h>

/*
 * Pseudo-random numbers (a linear congruential generator). The same seed gives the same numbers, so
 * that tests can replay decisions. Not for secrets.
 */

/* Advances the generator and returns the next 32 bits. */
static inline uint32_t rnd_next(uint32_t *seed)
{
	*seed = *seed * 1664525U + 1013904223U;
	return *seed;
}

/*
 * Returns a number from 0 up to, but not including, 1. The low bits of the generator have a short
 * period, so only the high 24 bits are used.
 */
static inline double rnd_uniform(uint32_t *seed)
{
	return (double)(rnd_next(seed) >> 8) / (double)(1U << 24);
}

#endif
