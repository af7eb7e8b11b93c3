#include "base/tmr.h"
#include "router/limits.h"

#include <math.h>

enum {
	/* Maximum of each count in a message; a greater one is an error of the sender. */
	LIMIT_COUNT_MAX = 100000
};

void limit_items_init(struct limit_items *items, const GArray *updates)
{
	int64_t now_us = tmr_boot_now();

	items->n = updates->len;
	items->values = g_new0(Feed__Limit, updates->len + 1);
	items->refs = g_new0(Feed__Limit *, updates->len + 1);
	for (guint i = 0; i < updates->len; i++) {
		const struct limit_update *update = &g_array_index(updates, struct limit_update, i);
		Feed__Limit *item = &items->values[i];

		feed__limit__init(item);
		item->endpoint = update->endpoint;
		item->named = update->limit.named;
		item->rate = update->limit.rate;
		item->age_ms = (now_us - update->limit.stated_us) / TMR_US_PER_MS;
		item->wanted = update->wanted;
		item->returned = update->returned;
		item->permits = update->permits;
		items->refs[i] = item;
	}
}

void limit_items_finish(struct limit_items *items)
{
	g_free(items->values);
	g_free(items->refs);
}

void limit_update_unpack(struct limit_update *update, const Feed__Limit *from, int64_t now_us)
{
	bool readable = isfinite(from->rate) && from->rate >= 0;

	update->endpoint = from->endpoint;
	update->limit.named = from->named;
	update->limit.rate = readable ? from->rate : 0;
	/* A limit announced before this host was booted is valid; 0 would mean that none was. */
	update->limit.stated_us = MAX(now_us - tmr_from_ms(MAX(from->age_ms, 0)), 1);
	update->wanted = CLAMP(from->wanted, 0, LIMIT_COUNT_MAX);
	update->returned = CLAMP(from->returned, 0, LIMIT_COUNT_MAX);
	update->permits = CLAMP(from->permits, 0, LIMIT_COUNT_MAX);
	update->asked_us = 0;
}
