#include "quar/served.h"

#include <string.h>

void served_init(struct served *served)
{
	memset(served, 0, sizeof(*served));
}

void served_record(struct served *served, const struct quar_key *key, int64_t now_us)
{
	served->keys[served->next] = *key;
	served->at_us[served->next] = now_us;
	served->next = (served->next + 1) % SERVED_ENTRIES_MAX;
	served->n = MIN(served->n + 1, (unsigned int)SERVED_ENTRIES_MAX);
}

/* Searches from the newest element back and stops at the first that is too old. */
bool served_recently(const struct served *served, const struct quar_key *key, int64_t now_us)
{
	for (unsigned int i = 1; i <= served->n; i++) {
		unsigned int at = (served->next + SERVED_ENTRIES_MAX - i) % SERVED_ENTRIES_MAX;

		if (now_us - served->at_us[at] > SERVED_WINDOW_US)
			return false;
		if (quar_key_eq(&served->keys[at], key))
			return true;
	}
	return false;
}
