#ifndef QUAR_PART_SHARE_H
#define QUAR_PART_SHARE_H

#include "quar/part.h"

G_BEGIN_DECLS

/*
 * Tells whether parts explain the crashes around theirs, or requests crash endpoints for another
 * reason. While they do, sound parts happen to be in some of the crashes, and hardly anything goes
 * on that could speak for them; but most crashes are under requests without them.
 */
enum {
	/* Time in us before the last crash of a part from which on crashes are counted. */
	PART_SHARE_BEFORE_US = 5000000,
	/* The same after it: a part that goes on crashing endpoints has a newer one by then. */
	PART_SHARE_AFTER_US = 500000,
	/* Share of the crashes, in percent, that one part must explain by itself. */
	PART_SHARE_OF_ONE = 67,
	/* The same for a part that nobody has seen going on: few sound ones are like that. */
	PART_SHARE_OF_UNSEEN = 25,
	/* The same for several parts together, of which each may be in few. */
	PART_SHARE_OF_SEVERAL = 75,
	/* Maximum number of parts that may explain the crashes together. */
	PART_SHARE_SEVERAL_MAX = 3
};

/* Returns whether the crash of this endpoint is in a list of hashes of endpoints. */
bool part_share_has(const GArray *endpoints, uint64_t endpoint);

/*
 * Returns whether the parts, of struct part_entry, together explain at least percent of the crashes
 * around those of the first one, without the endpoints in explained.
 */
bool part_share_is_enough(const struct part_table *table, const GPtrArray *parts,
			  const GArray *explained, int percent);

G_END_DECLS

#endif
