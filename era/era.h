#ifndef ERA_ERA_H
#define ERA_ERA_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The store's era is a counter that rises by one each time the store is restored from a copy some
 * seconds old. Such a restore loses what the store acknowledged after the copy was made, and the
 * store then assigns log offsets and group generations again that hosts have seen already. If hosts
 * ordered records by these alone, an endpoint that registers after the restore would look older
 * than its known record, and engines that have seen the higher generation would refuse every order.
 *
 * So each number of the store is combined with the era in one integer whose upper bits are the era:
 * a place is a position in the log (era, offset), a fencing number is (era, generation). Numbers of
 * a later era are greater. Only this module composes and splits such numbers. It does no I/O.
 */
enum {
	ERA_OFFSET_BITS = 40,	  /* number of bits of the offset in a place */
	ERA_GENERATION_BITS = 32, /* number of bits of the generation in a fencing number */
	/* Highest era: fencing numbers stay below 2^53, the limit of exact integers in JSON. */
	ERA_MAX = (1 << 21) - 1,
	ERA_NONE = -1 /* an unknown place, fencing number or era */
};

/* Composes a place, and returns its parts. ERA_NONE as offset or place gives ERA_NONE. */
int64_t era_make_place(int64_t era, int64_t offset);
int64_t era_of_place(int64_t place);
int64_t era_offset_of_place(int64_t place);

/* Composes a fencing number, and returns its parts. ERA_NONE as argument gives ERA_NONE. */
int64_t era_make_fence(int64_t era, int64_t generation);
int64_t era_of_fence(int64_t fence);
int64_t era_generation_of_fence(int64_t fence);

/* The latest era that this host knows. */
struct era {
	int64_t now; /* latest known era; 0 if no store has reported one */
	bool known;  /* whether an era was reported */
};

/* How a reported era compares with the latest known one. */
enum era_change {
	ERA_UNCHANGED, /* the latest known era, or no era was reported */
	ERA_INITIAL,   /* the first era since the process started; existing data belong to it */
	ERA_ADVANCED,  /* a later era: the store was restored from a copy, once or several times */
	ERA_OUTDATED   /* an earlier era: the sender doesn't know of the restore yet */
};

/*
 * Updates the latest known era with one that the store or another host reported. reported: that
 * era, or ERA_NONE if the message contains none.
 */
enum era_change era_update(struct era *era, int64_t reported);

G_END_DECLS

#endif
