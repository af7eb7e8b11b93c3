#include "quar/part_recent.h"

void part_recent_init(struct part_recent *recent)
{
	recent->crashes = g_array_new(FALSE, FALSE, sizeof(struct part_recent_crash));
}

void part_recent_finish(struct part_recent *recent)
{
	g_array_unref(recent->crashes);
}

const struct part_recent_crash *part_recent_at(const struct part_recent *recent, guint i)
{
	return &g_array_index(recent->crashes, struct part_recent_crash, i);
}

static int part_recent_compare(const void *a, const void *b)
{
	const struct part_recent_crash *crash_a = a;
	const struct part_recent_crash *crash_b = b;

	if (crash_a->at_us != crash_b->at_us)
		return crash_a->at_us < crash_b->at_us ? -1 : 1;
	if (crash_a->endpoint != crash_b->endpoint)
		return crash_a->endpoint < crash_b->endpoint ? -1 : 1;
	return 0;
}

static struct part_recent_crash *part_recent_find(struct part_recent *recent, uint64_t endpoint)
{
	for (guint i = 0; i < recent->crashes->len; i++) {
		struct part_recent_crash *crash =
			&g_array_index(recent->crashes, struct part_recent_crash, i);

		if (crash->endpoint == endpoint)
			return crash;
	}
	return NULL;
}

void part_recent_add(struct part_recent *recent, const struct part_recent_crash *report)
{
	struct part_recent_crash *known = part_recent_find(recent, report->endpoint);

	if (known) {
		known->points = MAX(known->points, report->points);
		if (report->at_us >= known->at_us)
			return;
		known->at_us = report->at_us;
	} else {
		g_array_append_val(recent->crashes, *report);
	}
	g_array_sort(recent->crashes, part_recent_compare);
	if (recent->crashes->len > PART_RECENT_MAX)
		g_array_remove_index(recent->crashes, 0);
}
