#include "quar/part.h"

#include <string.h>

/* Least time in us by which a proof is newer than the known one for other hosts to be told. */
static const int64_t part_proof_step_us = 1000000;

static void part_destroy_value(gpointer data)
{
	part_entry_free(data);
}

void part_init(struct part_table *table)
{
	memset(table, 0, sizeof(*table));
	g_queue_init(&table->order);
	part_recent_init(&table->recent);
	table->entries =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, part_destroy_value);
	table->first_gone_on_us = PART_NEVER;
	table->newest_gone_on_us = PART_NEVER;
}

void part_finish(struct part_table *table)
{
	g_hash_table_destroy(table->entries);
	part_recent_finish(&table->recent);
}

struct part_entry *part_entry_new(uint64_t id)
{
	struct part_entry *entry = g_new0(struct part_entry, 1);

	entry->id = id;
	entry->proved_us = PART_NEVER;
	entry->settled_us = PART_NEVER;
	entry->position = PART_NO_POSITION;
	entry->link.data = entry;
	return entry;
}

struct part_entry *part_entry_dup(const struct part_entry *entry)
{
	struct part_entry *copy = part_entry_new(entry->id);

	copy->proved_us = entry->proved_us;
	copy->settled_us = entry->settled_us;
	copy->last_us = entry->last_us;
	copy->position = entry->position;
	for (int i = 0; i < entry->n; i++)
		part_entry_add_crash(copy, &entry->crashes[i]);
	return copy;
}

void part_entry_free(struct part_entry *entry)
{
	g_free(entry->crashes);
	g_free(entry);
}

static struct part_entry *part_lookup(const struct part_table *table, uint64_t id)
{
	return g_hash_table_lookup(table->entries, &id);
}

const struct part_entry *part_find(const struct part_table *table, uint64_t id)
{
	return part_lookup(table, id);
}

static void part_remove(struct part_table *table, struct part_entry *entry)
{
	g_queue_unlink(&table->order, &entry->link);
	g_hash_table_remove(table->entries, &entry->id);
}

static void part_mark_updated(struct part_table *table, struct part_entry *entry, int64_t at_us)
{
	entry->last_us = MAX(entry->last_us, at_us);
	g_queue_unlink(&table->order, &entry->link);
	g_queue_push_tail_link(&table->order, &entry->link);
}

static void part_evict_if_full(struct part_table *table)
{
	GList *link = table->order.head;

	if (!link || g_hash_table_size(table->entries) < PART_ENTRIES_MAX)
		return;
	while (link && ((struct part_entry *)link->data)->n > 0)
		link = link->next;
	part_remove(table, link ? link->data : table->order.head->data);
}

static struct part_entry *part_find_or_add(struct part_table *table, uint64_t id)
{
	struct part_entry *entry = part_lookup(table, id);

	if (entry)
		return entry;
	part_evict_if_full(table);
	entry = part_entry_new(id);
	g_hash_table_insert(table->entries, &entry->id, entry);
	g_queue_push_tail_link(&table->order, &entry->link);
	return entry;
}

/*
 * Returns whether crash a is kept rather than b if there is room for one. What is learned of a
 * crash only raises its rank, so hosts keep the same ones in whatever order they learn it. Times
 * have no part in it, since they differ by some ms between hosts.
 */
static bool part_is_kept_before(const struct part_crash *a, const struct part_crash *b)
{
	if (a->points != b->points)
		return a->points > b->points;
	if (a->content != b->content)
		return a->content < b->content;
	return a->endpoint < b->endpoint;
}

/*
 * Of two reports of one crash, the one with more points holds, and the earlier time. Hosts notice a
 * crash some ms apart, which is no news.
 */
static bool part_merge_crash(struct part_crash *crash, const struct part_crash *other)
{
	bool is_stronger = other->points > crash->points ||
			   (other->points == crash->points && other->content < crash->content);
	bool is_earlier = crash->at_us - other->at_us >= PART_SAME_EVENT_US;

	if (is_stronger) {
		crash->points = other->points;
		crash->content = other->content;
	}
	crash->at_us = MIN(crash->at_us, other->at_us);
	return is_stronger || is_earlier;
}

static struct part_crash *part_last_kept(struct part_entry *entry)
{
	struct part_crash *last = &entry->crashes[0];

	for (int i = 1; i < entry->n; i++) {
		if (part_is_kept_before(last, &entry->crashes[i]))
			last = &entry->crashes[i];
	}
	return last;
}

static bool part_is_settled(const struct part_entry *entry, const struct part_crash *crash)
{
	return crash->at_us <= MAX(entry->proved_us, entry->settled_us);
}

bool part_entry_add_crash(struct part_entry *entry, const struct part_crash *crash)
{
	struct part_crash *last;

	if (part_is_settled(entry, crash))
		return false;
	for (int i = 0; i < entry->n; i++) {
		if (entry->crashes[i].endpoint == crash->endpoint)
			return part_merge_crash(&entry->crashes[i], crash);
	}
	if (!entry->crashes)
		entry->crashes = g_new0(struct part_crash, PART_CRASHES_MAX);
	if (entry->n < PART_CRASHES_MAX) {
		entry->crashes[entry->n++] = *crash;
		return true;
	}
	last = part_last_kept(entry);
	if (!part_is_kept_before(crash, last))
		return false;
	*last = *crash;
	return true;
}

/* Drops the crashes that count no more. Returns how many. */
static int part_drop_settled(struct part_entry *entry)
{
	int before = entry->n;

	for (int i = entry->n; i > 0; i--) {
		if (part_is_settled(entry, &entry->crashes[i - 1]))
			entry->crashes[i - 1] = entry->crashes[--entry->n];
	}
	return before - entry->n;
}

/* Sets the time of the newest proof and drops the crashes before it. Returns how many. */
static int part_prove(struct part_entry *entry, int64_t proved_us)
{
	entry->proved_us = MAX(entry->proved_us, proved_us);
	return part_drop_settled(entry);
}

static void part_note_recent(struct part_table *table, const struct part_crash *crash)
{
	const struct part_recent_crash report = {crash->endpoint, crash->at_us, crash->points};

	part_recent_add(&table->recent, &report);
}

const struct part_entry *part_on_crash(struct part_table *table, uint64_t id, int position,
				       const struct part_crash *crash)
{
	struct part_entry *entry = part_find_or_add(table, id);

	part_note_recent(table, crash);
	if (!part_entry_add_crash(entry, crash))
		return NULL;
	entry->position = MAX(entry->position, position);
	part_mark_updated(table, entry, crash->at_us);
	return entry;
}

void part_on_any_gone_on(struct part_table *table, int64_t head_us)
{
	if (table->first_gone_on_us == PART_NEVER)
		table->first_gone_on_us = head_us;
	table->newest_gone_on_us = MAX(table->newest_gone_on_us, head_us);
}

const struct part_entry *part_on_gone_on(struct part_table *table, uint64_t id, int64_t head_us,
					 int64_t now_us)
{
	struct part_entry *entry = part_find_or_add(table, id);
	bool is_new =
		entry->proved_us == PART_NEVER || head_us - entry->proved_us >= part_proof_step_us;
	bool is_suspect = entry->n > 0;
	int dropped = part_prove(entry, head_us);

	part_mark_updated(table, entry, now_us);
	return is_suspect && (is_new || dropped > 0) ? entry : NULL;
}

void part_absolve(struct part_table *table, uint64_t id, int64_t now_us)
{
	struct part_entry *entry = part_lookup(table, id);

	if (!entry)
		return;
	entry->settled_us = now_us;
	part_drop_settled(entry);
}

/*
 * Makes the crash of the endpoint count no more, for this part and as a recent one. Returns whether
 * it counted before.
 */
static bool part_withdraw(struct part_table *table, struct part_entry *entry, uint64_t endpoint)
{
	for (int i = 0; i < entry->n; i++) {
		struct part_crash *crash = &entry->crashes[i];

		if (crash->endpoint != endpoint || crash->points == PART_ENDPOINT_ALIVE)
			continue;
		crash->points = PART_ENDPOINT_ALIVE;
		part_note_recent(table, crash);
		return true;
	}
	return false;
}

void part_settle(struct part_table *table, uint64_t id, int64_t now_us)
{
	struct part_entry *entry = part_lookup(table, id);

	if (!entry)
		return;
	for (GList *link = table->order.head; link; link = link->next) {
		for (int i = 0; link->data != entry && i < entry->n; i++)
			part_withdraw(table, link->data, entry->crashes[i].endpoint);
	}
	part_absolve(table, id, now_us);
}

void part_on_endpoint_alive(struct part_table *table, uint64_t endpoint, int64_t now_us, part_fn fn,
			    void *ctx)
{
	for (GList *link = table->order.head; link; link = link->next) {
		struct part_entry *entry = link->data;

		if (!part_withdraw(table, entry, endpoint))
			continue;
		entry->last_us = now_us;
		fn(ctx, entry);
	}
}

int part_merge(struct part_table *table, const struct part_entry *other, int64_t now_us)
{
	struct part_entry *entry = part_find_or_add(table, other->id);
	bool is_newer = other->proved_us != PART_NEVER &&
			(entry->proved_us == PART_NEVER ||
			 other->proved_us - entry->proved_us >= part_proof_step_us);
	bool knows_newer = entry->proved_us != PART_NEVER &&
			   (other->proved_us == PART_NEVER ||
			    entry->proved_us - other->proved_us >= part_proof_step_us);
	bool is_refuted = false;
	bool changed = false;

	for (int i = 0; i < other->n; i++) {
		part_note_recent(table, &other->crashes[i]);
		is_refuted |= other->crashes[i].at_us <= entry->proved_us;
		changed |= part_entry_add_crash(entry, &other->crashes[i]);
	}
	changed |= part_prove(entry, other->proved_us) > 0 || (is_newer && entry->n > 0);
	entry->position = MAX(entry->position, other->position);
	part_mark_updated(table, entry, now_us);
	return (changed ? PART_MERGED_CHANGE : PART_MERGED_NOTHING) |
	       (other->n > 0 && (knows_newer || is_refuted) ? PART_MERGED_REPLY
							    : PART_MERGED_NOTHING);
}

void part_expire(struct part_table *table, int64_t now_us)
{
	GList *next;

	for (GList *link = table->order.head; link; link = next) {
		struct part_entry *entry = link->data;

		next = link->next;
		if (now_us >= entry->last_us + PART_RETENTION_US)
			part_remove(table, entry);
	}
}

void part_foreach(const struct part_table *table, part_fn fn, void *ctx)
{
	for (GList *link = table->order.head, *next; link; link = next) {
		next = link->next;
		fn(ctx, link->data);
	}
}
