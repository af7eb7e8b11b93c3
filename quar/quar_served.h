#ifndef QUAR_QUAR_SERVED_H
#define QUAR_QUAR_SERVED_H

#include "quar/quar.h"
#include "quar/served.h"

G_BEGIN_DECLS

/*
 * Merges an entry received from another host, as quar_merge_remote() does, and then clears it if it
 * refuses a request that this host has served completely a short time ago. The other host may have
 * counted crashes of endpoints at which a harmless request of many callers was running, without
 * having served that request itself. Returns the entry if it changed, else NULL. Sets *cleared if
 * the entry was cleared; the other hosts then need the entry.
 */
const struct quar_entry *quar_merge_or_clear(struct quar *quar, const struct served *served,
					     const struct quar_entry *other, int64_t now_us,
					     bool *cleared);

G_END_DECLS

#endif
