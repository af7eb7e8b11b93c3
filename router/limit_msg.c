#include "base/tmr.h"
#include "router/limits.h"

#include <math.h>

enum {
	/* More in one message would be another host's mistake. */
	LIMIT_COUNT_MAX = 100000
};

void limit_items_init(struct limit_items *items, const GArray *notes)
{
	int64_t now_us = tmr_boot_now();

	items->n = notes->len;
	items->values = g_new0(Feed__Limit, notes->len + 1);
	items->refs = g_new0(Feed__Limit *, notes->len + 1);
	for (guint i = 0; i < notes->len; i++) {
		const struct limit_note *note = &g_array_index(notes, struct limit_note, i);
		Feed__Limit *item = &items->values[i];

		feed__limit__init(item);
		item->endpoint = note->endpoint;
		item->named = note->news.named;
		item->rate = note->news.rate;
		item->age_ms = (now_us - note->news.said_us) / TMR_US_PER_MS;
		item->wanted = note->wanted;
		item->returned = note->returned;
		item->permits = note->permits;
		items->refs[i] = item;
	}
}

void limit_items_finish(struct limit_items *items)
{
	g_free(items->values);
	g_free(items->refs);
}

/* What the other host can't have meant is cut to what it can. */
void limit_note_read(struct limit_note *note, const Feed__Limit *from, int64_t now_us)
{
	bool readable = isfinite(from->rate) && from->rate >= 0;

	note->endpoint = from->endpoint;
	note->news.named = from->named;
	note->news.rate = readable ? from->rate : 0;
	/* What was said before this host was booted is news to it all the same. */
	note->news.said_us = MAX(now_us - tmr_ms(MAX(from->age_ms, 0)), 1);
	note->wanted = CLAMP(from->wanted, 0, LIMIT_COUNT_MAX);
	note->returned = CLAMP(from->returned, 0, LIMIT_COUNT_MAX);
	note->permits = CLAMP(from->permits, 0, LIMIT_COUNT_MAX);
	note->asked_us = 0;
}
