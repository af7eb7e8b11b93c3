#ifndef BASE_RND_H
#define BASE_RND_H

#include <stdint.h>

/*
 * Random numbers from a seed (a linear congruential generator): repeatable, for decisions that are
 * replayed in tests. Not for secrets.
 */
static inline uint32_t rnd_step(uint32_t *seed)
{
	*seed = *seed * 1664525U + 1013904223U;
	return *seed;
}

/* A number from 0 up to, but not including, 1. The low bits repeat soon, so they are left out. */
static inline double rnd_unit(uint32_t *seed)
{
	return (double)(rnd_step(seed) >> 8) / (double)(1U << 24);
}

#endif
