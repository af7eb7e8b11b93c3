#include "quar/part_share.h"

/* Crashes that count, those within PART_SAME_EVENT_US as one. */
struct part_share_count {
	int n;
	int64_t last_us;
};

bool part_share_has(const GArray *endpoints, uint64_t endpoint)
{
	for (guint i = 0; i < endpoints->len; i++) {
		if (g_array_index(endpoints, uint64_t, i) == endpoint)
			return true;
	}
	return false;
}

static int64_t part_share_last_crash(const struct part_entry *entry)
{
	int64_t last_us = PART_NEVER;

	for (int i = 0; i < entry->n; i++) {
		if (entry->crashes[i].points != PART_ENDPOINT_ALIVE)
			last_us = MAX(last_us, entry->crashes[i].at_us);
	}
	return last_us;
}

/* Returns the greatest points of one of the parts at this crash, 0 if none was in a request. */
static int part_share_points(const GPtrArray *parts, uint64_t endpoint)
{
	int points = 0;

	for (guint i = 0; i < parts->len; i++) {
		const struct part_entry *entry = parts->pdata[i];

		for (int j = 0; j < entry->n; j++) {
			if (entry->crashes[j].endpoint == endpoint)
				points = MAX(points, entry->crashes[j].points);
		}
	}
	return points;
}

static void part_share_add(struct part_share_count *count, int64_t at_us)
{
	if (count->n > 0 && at_us - count->last_us < PART_SAME_EVENT_US)
		return;
	count->n++;
	count->last_us = at_us;
}

bool part_share_is_enough(const struct part_table *table, const GPtrArray *parts,
			  const GArray *explained, int percent)
{
	int64_t last_us = part_share_last_crash(parts->pdata[0]);
	struct part_share_count with = {0};
	struct part_share_count without = {0};

	for (guint i = 0; i < table->recent.crashes->len; i++) {
		const struct part_recent_crash *crash = part_recent_at(&table->recent, i);
		int points = part_share_points(parts, crash->endpoint);

		if (crash->at_us < last_us - PART_SHARE_BEFORE_US ||
		    crash->at_us > last_us + PART_SHARE_AFTER_US ||
		    crash->points == PART_ENDPOINT_ALIVE ||
		    part_share_has(explained, crash->endpoint))
			continue;
		if (points >= crash->points)
			part_share_add(&with, crash->at_us);
		else if (crash->points == PART_POINTS_HEAD)
			part_share_add(&without, crash->at_us);
	}
	return with.n * 100 >= percent * (with.n + without.n);
}
