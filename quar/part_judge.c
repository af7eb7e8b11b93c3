#include "quar/part.h"
#include "quar/part_share.h"

#include <stdlib.h>
#include <string.h>

/* Crashes of a part that may count, sorted by time. */
struct part_case {
	struct part_crash crashes[PART_CRASHES_MAX];
	int n;
};

static int part_compare_times(const void *a, const void *b)
{
	const struct part_crash *crash_a = a;
	const struct part_crash *crash_b = b;

	if (crash_a->at_us != crash_b->at_us)
		return crash_a->at_us < crash_b->at_us ? -1 : 1;
	return crash_a->endpoint < crash_b->endpoint ? -1 : 1;
}

/*
 * Returns whether the crash counts by now. A part that nobody has seen going on, though this host
 * has served others for a while, is not one that many requests share; all others wait until a
 * request with them may have gone on.
 */
static bool part_has_settled(const struct part_table *table, const struct part_entry *entry,
			     const struct part_crash *crash, int64_t now_us)
{
	bool is_warm = table->first_gone_on_us != PART_NEVER &&
		       now_us - table->first_gone_on_us >= PART_WARM_UP_US;

	if (is_warm && entry->proved_us == PART_NEVER)
		return true;
	return now_us - crash->at_us >=
	       (crash->points == PART_POINTS_HEAD ? PART_SETTLE_US : PART_SETTLE_WEAK_US);
}

static void part_open_case(const struct part_table *table, const struct part_entry *entry,
			   const GArray *explained, int64_t now_us, struct part_case *opened)
{
	opened->n = 0;
	for (int i = 0; i < entry->n; i++) {
		const struct part_crash *crash = &entry->crashes[i];

		if (crash->points != PART_ENDPOINT_ALIVE &&
		    part_has_settled(table, entry, crash, now_us) &&
		    !part_share_has(explained, crash->endpoint))
			opened->crashes[opened->n++] = *crash;
	}
	if (opened->n > 1)
		qsort(opened->crashes, (size_t)opened->n, sizeof(opened->crashes[0]),
		      part_compare_times);
}

/* Returns how many of the first n crashes are of the same whole request as this one. */
static int part_count_content(const struct part_case *opened, int n, uint64_t content)
{
	int same = 0;

	for (int i = 0; i < n; i++)
		same += opened->crashes[i].content == content;
	return same;
}

/* Removes the crashes that are one event with an earlier one, or too many of one request. */
static void part_drop_repeated(struct part_case *opened)
{
	int kept = 0;

	for (int i = 0; i < opened->n; i++) {
		const struct part_crash *crash = &opened->crashes[i];

		if (kept > 0 && crash->at_us - opened->crashes[kept - 1].at_us < PART_SAME_EVENT_US)
			continue;
		if (part_count_content(opened, kept, crash->content) < PART_CRASHES_OF_ONE_REQUEST)
			opened->crashes[kept++] = *crash;
	}
	opened->n = kept;
}

/* Returns whether a request has gone on since the first crash, or some must have by now. */
static bool part_is_anything_served(const struct part_table *table, const struct part_case *opened)
{
	int64_t first_us = opened->crashes[0].at_us;

	return table->newest_gone_on_us > first_us ||
	       opened->crashes[opened->n - 1].at_us - first_us >= PART_ALL_DOWN_US;
}

static void part_weigh(const struct part_table *table, const struct part_entry *entry,
		       const GArray *explained, int64_t now_us, struct part_finding *finding)
{
	struct part_case opened;

	memset(finding, 0, sizeof(*finding));
	finding->id = entry->id;
	part_open_case(table, entry, explained, now_us, &opened);
	part_drop_repeated(&opened);
	if (opened.n == 0 || !part_is_anything_served(table, &opened))
		return;
	finding->crashes = opened.n;
	for (int i = 0; i < opened.n; i++)
		finding->points += opened.crashes[i].points;
}

/* A part with the points of its crashes that are not explained yet. */
struct part_suspect {
	const struct part_entry *entry;
	struct part_finding finding;
};

/*
 * Returns whether part a is blamed rather than b. One that nobody has seen going on comes first. Of
 * others the time of the proof is chance where few requests go on at all; a sound one is in fewer
 * of the crashes.
 */
static bool part_is_blamed_before(const struct part_suspect *suspect_a,
				  const struct part_suspect *suspect_b)
{
	const struct part_entry *a = suspect_a->entry;
	const struct part_entry *b = suspect_b->entry;
	bool are_proved = a->proved_us != PART_NEVER && b->proved_us != PART_NEVER;

	if (are_proved && suspect_a->finding.points != suspect_b->finding.points)
		return suspect_a->finding.points > suspect_b->finding.points;
	if (a->proved_us != b->proved_us)
		return a->proved_us < b->proved_us;
	if (a->position != b->position)
		return a->position > b->position;
	return a->id < b->id;
}

/* Returns whether a part explains enough of the crashes around its own to be blamed alone. */
static bool part_explains_most(const struct part_table *table, const struct part_entry *entry,
			       const GArray *explained)
{
	int percent = entry->proved_us == PART_NEVER ? PART_SHARE_OF_UNSEEN : PART_SHARE_OF_ONE;
	GPtrArray *alone = g_ptr_array_new();
	bool is_enough;

	g_ptr_array_add(alone, (gpointer)entry);
	is_enough = part_share_is_enough(table, alone, explained, percent);
	g_ptr_array_unref(alone);
	return is_enough;
}

/* Verdicts while they are reached. */
struct part_judgement {
	const struct part_table *table;
	int64_t now_us;
	GPtrArray *suspects; /* struct part_entry, without those to blame */
	GArray *explained;   /* uint64_t, endpoints of crashes with a cause */
	GArray *findings;    /* struct part_finding */
};

/*
 * Finds the part to blame next for the crashes that are not explained yet. Returns whether there is
 * one.
 */
static bool part_next_to_blame(const struct part_judgement *judgement, bool alone,
			       struct part_suspect *found)
{
	found->entry = NULL;
	for (guint i = 0; i < judgement->suspects->len; i++) {
		struct part_suspect suspect = {.entry = judgement->suspects->pdata[i]};

		part_weigh(judgement->table, suspect.entry, judgement->explained, judgement->now_us,
			   &suspect.finding);
		if (suspect.finding.points < PART_POINTS_LIMIT ||
		    (alone &&
		     !part_explains_most(judgement->table, suspect.entry, judgement->explained)) ||
		    (found->entry && !part_is_blamed_before(&suspect, found)))
			continue;
		*found = suspect;
	}
	return found->entry != NULL;
}

static void part_explain(const struct part_entry *entry, GArray *explained)
{
	for (int i = 0; i < entry->n; i++) {
		if (entry->crashes[i].points != PART_ENDPOINT_ALIVE)
			g_array_append_val(explained, entry->crashes[i].endpoint);
	}
}

/* Collects the parts that have points enough if nothing else explains their crashes. */
static GPtrArray *part_find_suspects(const struct part_table *table, const GArray *explained,
				     int64_t now_us)
{
	GPtrArray *suspects = g_ptr_array_new();

	for (GList *link = table->order.head; link; link = link->next) {
		const struct part_entry *entry = link->data;
		struct part_finding weighed;

		if (entry->n * PART_POINTS_HEAD < PART_POINTS_LIMIT)
			continue;
		part_weigh(table, entry, explained, now_us, &weighed);
		if (weighed.points >= PART_POINTS_LIMIT)
			g_ptr_array_add(suspects, (gpointer)entry);
	}
	return suspects;
}

static void part_blame(struct part_judgement *judgement, struct part_suspect *found)
{
	found->finding.is_to_blame = true;
	g_array_append_val(judgement->findings, found->finding);
	part_explain(found->entry, judgement->explained);
	g_ptr_array_remove_fast(judgement->suspects, (gpointer)found->entry);
}

/* Takes back the blame of the last parts, of which the crashes are explained from here on. */
static void part_acquit(struct part_judgement *judgement, const GPtrArray *parts, guint n_explained)
{
	g_array_set_size(judgement->findings, judgement->findings->len - parts->len);
	g_array_set_size(judgement->explained, n_explained);
	for (guint i = 0; i < parts->len; i++)
		g_ptr_array_add(judgement->suspects, parts->pdata[i]);
}

/* Blames parts of which none explains most crashes, if few of them explain nearly all. */
static void part_blame_several(struct part_judgement *judgement)
{
	guint n_explained = judgement->explained->len;
	GArray *before = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GPtrArray *several = g_ptr_array_new();
	struct part_suspect found;

	if (n_explained > 0)
		g_array_append_vals(before, judgement->explained->data, n_explained);
	while (several->len < PART_SHARE_SEVERAL_MAX &&
	       part_next_to_blame(judgement, false, &found)) {
		part_blame(judgement, &found);
		g_ptr_array_add(several, (gpointer)found.entry);
	}
	if (several->len > 0 &&
	    !part_share_is_enough(judgement->table, several, before, PART_SHARE_OF_SEVERAL))
		part_acquit(judgement, several, n_explained);
	g_ptr_array_unref(several);
	g_array_unref(before);
}

/* Adds the suspects of which others explain the crashes. On the rest there is no verdict yet. */
static void part_find_explained(struct part_judgement *judgement)
{
	for (guint i = 0; i < judgement->suspects->len; i++) {
		const struct part_entry *entry = judgement->suspects->pdata[i];
		struct part_finding finding;

		part_weigh(judgement->table, entry, judgement->explained, judgement->now_us,
			   &finding);
		if (finding.points < PART_POINTS_LIMIT)
			g_array_append_val(judgement->findings, finding);
	}
}

void part_judge(const struct part_table *table, int64_t now_us, GArray *findings)
{
	struct part_judgement judgement = {
		.table = table,
		.now_us = now_us,
		.explained = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
		.findings = findings,
	};
	struct part_suspect found;

	judgement.suspects = part_find_suspects(table, judgement.explained, now_us);
	while (part_next_to_blame(&judgement, true, &found))
		part_blame(&judgement, &found);
	part_blame_several(&judgement);
	part_find_explained(&judgement);
	g_ptr_array_unref(judgement.suspects);
	g_array_unref(judgement.explained);
}
