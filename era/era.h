#ifndef ERA_ERA_H
#define ERA_ERA_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The store's era rises by one each time that the store comes back from a copy some seconds old.
 * What it had acknowledged since is gone then, and it gives out offsets and generations again that
 * hosts have seen. Ordered by these alone, an endpoint that registers after the return would be
 * older than what hosts know of it, and no host's order would be taken by an engine that has seen
 * the greater generation.
 *
 * So what the store numbers is kept together with the era, in one number whose upper bits are the
 * era: a place in the log (era, offset) and a fencing number (era, generation). Numbers of a later
 * era are greater. This is the only module that makes such numbers or takes them apart. Pure.
 */
enum {
	ERA_OFFSET_BITS = 40,
	ERA_GENERATION_BITS = 32,
	/* A fencing number stays below 2^53, so that every JSON reader takes it. */
	ERA_MAX = (1 << 21) - 1,
	ERA_NONE = -1 /* a place, a fencing number or an era that is not known */
};

int64_t era_place(int64_t era, int64_t offset);
int64_t era_of_place(int64_t place);
int64_t era_offset(int64_t place);

int64_t era_fence(int64_t era, int64_t generation);
int64_t era_of_fence(int64_t fence);
int64_t era_generation(int64_t fence);

/* The newest era that this host has heard of. */
struct era {
	int64_t now; /* 0 as long as no store tells one */
	bool known;
};

enum era_news {
	ERA_SAME,   /* nothing new, or nothing told */
	ERA_FIRST,  /* the first era of this process: what it knows so far is of that era */
	ERA_RETURN, /* the store has come back from a copy, once or several times */
	ERA_PAST    /* told by somebody who has not heard of the return */
};

/* An answer of the store, or another host, tells an era; ERA_NONE: it tells none. */
enum era_news era_hear(struct era *era, int64_t told);

G_END_DECLS

#endif
