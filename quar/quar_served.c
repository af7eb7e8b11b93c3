#include "quar/quar_served.h"

const struct quar_entry *quar_merge_or_clear(struct quar *quar, const struct served *served,
					     const struct quar_entry *other, int64_t now_us,
					     bool *cleared)
{
	const struct quar_id id = {other->key, other->account};
	const struct quar_entry *entry = quar_merge_remote(quar, other, now_us);

	*cleared = false;
	if (!entry || entry->until_us == 0 || !served_recently(served, &id.key, now_us))
		return entry;
	/* An entry that other hosts don't need is freed; NULL is returned then. */
	entry = quar_clear(quar, &id, now_us);
	*cleared = entry != NULL;
	return entry;
}
