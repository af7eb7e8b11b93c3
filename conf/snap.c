#include "conf/snap.h"

#include <string.h>

/* Time by which each further host in the order of writers waits longer, in microseconds. */
static const int64_t snap_rank_delay_us = 500000;

/*
 * Time after a failed append until the next one, in microseconds. A log that is away for a moment
 * is back by then, and there are many attempts before the records expire.
 */
static const int64_t snap_retry_us = 2000000;

void snap_init(struct snap *snap, int64_t every_us, int64_t now_us)
{
	memset(snap, 0, sizeof(*snap));
	snap->every_us = every_us;
	snap->seen_us = now_us;
}

void snap_on_read(struct snap *snap, int64_t now_us)
{
	snap->seen_us = now_us;
}

bool snap_is_due(const struct snap *snap, unsigned int rank, int64_t now_us)
{
	if (snap->appending || now_us < snap->not_until_us)
		return false;
	return now_us - snap->seen_us >= snap->every_us + rank * snap_rank_delay_us;
}

void snap_on_append(struct snap *snap)
{
	snap->appending = true;
}

void snap_on_appended(struct snap *snap, bool written, int64_t now_us)
{
	snap->appending = false;
	if (written)
		snap->seen_us = now_us;
	else
		snap->not_until_us = now_us + snap_retry_us;
}
