#include "quar/quar.h"

#include <string.h>

/*
 * The first term. Operators need some minutes to see what ends their endpoints and to have the
 * caller stopped; one crash more after that is the price of a body that has become harmless, since
 * another version of the model is out or the fault is mended.
 */
static const int64_t quar_term_us = G_GINT64_CONSTANT(600000000);

/*
 * The first term of a request that goes on for a while before it crashes endpoints, if it is that
 * one at all: where endpoints are few and end in a row, an innocent one that many callers send may
 * be under way at six of them. It is tried again soon, and cleared when it is served.
 */
static const int64_t quar_term_goes_on_us = G_GINT64_CONSTANT(2000000);

/*
 * Attempts of a request that crashes endpoints last alike, within what endpoints differ in pace: by
 * 70 ms at the recorded ends.
 */
static const int64_t quar_further_us = 500000;

/* Each term is so many times as long: 10 minutes, 1 hour, 6 hours, 36 hours; or 2, 12, 72, 432 s.
 */
static const int64_t quar_term_x = 6;

enum {
	QUAR_TERMS_MAX = 3 /* after which terms grow no more */
};

/* For which an entry is remembered after the last that was learnt of it, or after its term. */
static const int64_t quar_memory_us = G_GINT64_CONSTANT(600000000);

static guint quar_hash(gconstpointer key)
{
	return (guint)((const struct quar_key *)key)->low;
}

static gboolean quar_equal(gconstpointer a, gconstpointer b)
{
	return quar_key_eq(a, b);
}

static void quar_free(gpointer data)
{
	quar_entry_free(data);
}

void quar_init(struct quar *quar, int limit)
{
	quar->limit = limit;
	g_queue_init(&quar->order);
	quar->entries = g_hash_table_new_full(quar_hash, quar_equal, NULL, quar_free);
}

void quar_finish(struct quar *quar)
{
	g_hash_table_destroy(quar->entries);
}

struct quar_entry *quar_entry_dup(const struct quar_entry *entry)
{
	struct quar_entry *copy = g_new(struct quar_entry, 1);

	*copy = *entry;
	memset(&copy->link, 0, sizeof(copy->link));
	copy->account = g_strdup(entry->account);
	return copy;
}

void quar_entry_free(struct quar_entry *entry)
{
	g_free(entry->account);
	g_free(entry);
}

/* Of two accounts whose requests have one digest, the first one's are looked at. */
static struct quar_entry *quar_lookup(const struct quar *quar, const struct quar_id *id)
{
	struct quar_entry *entry = g_hash_table_lookup(quar->entries, &id->key);

	return entry && strcmp(entry->account, id->account) == 0 ? entry : NULL;
}

const struct quar_entry *quar_find(const struct quar *quar, const struct quar_id *id)
{
	return quar_lookup(quar, id);
}

static bool quar_goes_on(const struct quar_entry *entry)
{
	return entry->lasted_us >= QUAR_GOES_ON_US;
}

static int quar_crash_points(const struct quar_entry *entry, const struct quar_crash *crash)
{
	if (crash->weight == QUAR_LIVES)
		return 0;
	return quar_goes_on(entry) ? QUAR_WEAK : crash->weight;
}

int quar_entry_points(const struct quar_entry *entry)
{
	int points = entry->base;

	for (int i = 0; i < entry->n; i++)
		points += quar_crash_points(entry, &entry->crashes[i]);
	return points;
}

int quar_points(const struct quar *quar, const struct quar_id *id)
{
	const struct quar_entry *entry = quar_lookup(quar, id);

	return entry ? quar_entry_points(entry) : 0;
}

int quar_points_after(const struct quar *quar, const struct quar_id *id, int weight)
{
	const struct quar_entry *entry = quar_lookup(quar, id);

	if (!entry)
		return weight;
	return quar_entry_points(entry) +
	       (quar_goes_on(entry) ? MIN(weight, (int)QUAR_WEAK) : weight);
}

bool quar_is_told(const struct quar_entry *entry)
{
	if (entry->epoch > 0 || entry->n > 1)
		return true;
	return entry->n > 0 && entry->crashes[0].weight >= QUAR_STRONG;
}

bool quar_is_kept(const struct quar_entry *entry)
{
	return entry->epoch > 0 || entry->until_us > 0 || entry->n > 1;
}

static void quar_drop(struct quar *quar, struct quar_entry *entry)
{
	g_queue_unlink(&quar->order, &entry->link);
	g_hash_table_remove(quar->entries, &entry->key);
}

/* Something was learnt of the entry. */
static void quar_touch(struct quar *quar, struct quar_entry *entry, int64_t at_us)
{
	entry->last_us = MAX(entry->last_us, at_us);
	g_queue_unlink(&quar->order, &entry->link);
	g_queue_push_tail_link(&quar->order, &entry->link);
}

/* Of those that are not refused the oldest one goes, or the oldest of all. */
static void quar_make_room(struct quar *quar)
{
	GList *link = quar->order.head;

	if (!link || g_hash_table_size(quar->entries) < QUAR_ENTRIES_MAX)
		return;
	while (link && ((struct quar_entry *)link->data)->until_us > 0)
		link = link->next;
	if (!link)
		link = g_queue_peek_head_link(&quar->order);
	quar_drop(quar, link->data);
}

/* Returns NULL where another account's request has the same digest. */
static struct quar_entry *quar_need(struct quar *quar, const struct quar_id *id)
{
	struct quar_entry *entry = quar_lookup(quar, id);

	if (entry)
		return entry;
	if (g_hash_table_contains(quar->entries, &id->key))
		return NULL;
	quar_make_room(quar);
	entry = g_new0(struct quar_entry, 1);
	entry->key = id->key;
	entry->account = g_strdup(id->account);
	entry->link.data = entry;
	g_hash_table_insert(quar->entries, &entry->key, entry);
	g_queue_push_tail_link(&quar->order, &entry->link);
	return entry;
}

static struct quar_crash *quar_crash_at(struct quar_entry *entry, uint64_t endpoint)
{
	for (int i = 0; i < entry->n; i++) {
		if (entry->crashes[i].endpoint == endpoint)
			return &entry->crashes[i];
	}
	return NULL;
}

/* A place for one more crash: endpoints that live give way. NULL: all have ended. */
static struct quar_crash *quar_crash_room(struct quar_entry *entry)
{
	if (entry->n < QUAR_CRASHES_MAX)
		return &entry->crashes[entry->n++];
	for (int i = 0; i < entry->n; i++) {
		if (entry->crashes[i].weight == QUAR_LIVES)
			return &entry->crashes[i];
	}
	return NULL;
}

/* Adds the crash, or raises its weight. Returns whether that changed anything. */
static bool quar_add_crash(struct quar_entry *entry, uint64_t endpoint, int weight)
{
	struct quar_crash *crash = quar_crash_at(entry, endpoint);

	if (crash && crash->weight >= weight)
		return false;
	if (!crash && (weight != QUAR_LIVES || entry->n < QUAR_CRASHES_MAX))
		crash = quar_crash_room(entry);
	if (!crash)
		return false;
	*crash = (struct quar_crash){endpoint, weight};
	return true;
}

static int64_t quar_term_after(int terms, bool goes_on)
{
	int64_t term_us = goes_on ? quar_term_goes_on_us : quar_term_us;

	for (int i = 0; i < MIN(terms, (int)QUAR_TERMS_MAX); i++)
		term_us *= quar_term_x;
	return term_us;
}

static void quar_begin_term(const struct quar *quar, struct quar_entry *entry, int64_t now_us)
{
	if (entry->until_us > 0 || quar_entry_points(entry) < quar->limit)
		return;
	entry->until_us = now_us + quar_term_after(entry->terms, quar_goes_on(entry));
	entry->terms++;
}

/* Without the endpoints that live the request is not refused any more. */
static void quar_end_refusal(const struct quar *quar, struct quar_entry *entry)
{
	if (entry->until_us == 0 || quar_entry_points(entry) >= quar->limit)
		return;
	entry->until_us = 0;
	entry->terms = MAX(entry->terms - 1, 0);
}

int64_t quar_next_term_us(const struct quar *quar, const struct quar_id *id)
{
	const struct quar_entry *entry = quar_lookup(quar, id);

	return entry ? quar_term_after(entry->terms, quar_goes_on(entry)) : quar_term_us;
}

static void quar_next_epoch(struct quar *quar, struct quar_entry *entry, int base, int64_t now_us)
{
	entry->epoch++;
	entry->base = base;
	entry->n = 0;
	entry->until_us = 0;
	quar_touch(quar, entry, now_us);
}

/* After a term the request may run again; one more crash, and it is refused for longer. */
static void quar_end_term(struct quar *quar, struct quar_entry *entry, int64_t now_us)
{
	if (entry->until_us > 0 && now_us >= entry->until_us)
		quar_next_epoch(quar, entry, quar->limit - QUAR_STRONG, now_us);
}

const struct quar_entry *quar_on_crash(struct quar *quar, const struct quar_id *id,
				       uint64_t endpoint, int weight, int64_t lasted_us,
				       int64_t now_us)
{
	struct quar_entry *entry = quar_need(quar, id);

	if (!entry || lasted_us + quar_further_us < entry->lasted_us)
		return NULL;
	quar_end_term(quar, entry, now_us);
	if (!quar_add_crash(entry, endpoint, weight))
		return NULL;
	quar_touch(quar, entry, now_us);
	quar_begin_term(quar, entry, now_us);
	return entry;
}

/* What it was refused for was counted as if it crashed endpoints as it begins; that may not hold.
 */
static void quar_set_lasted(struct quar_entry *entry, int64_t lasted_us)
{
	if (!quar_goes_on(entry) && lasted_us >= QUAR_GOES_ON_US) {
		entry->until_us = 0;
		entry->terms = 0;
	}
	entry->lasted_us = MAX(entry->lasted_us, lasted_us);
}

const struct quar_entry *quar_on_part(struct quar *quar, const struct quar_id *id,
				      int64_t lasted_us, int64_t now_us)
{
	struct quar_entry *entry = quar_lookup(quar, id);
	bool before;

	if (!entry || lasted_us <= entry->lasted_us)
		return NULL;
	before = quar_goes_on(entry);
	quar_set_lasted(entry, lasted_us);
	quar_begin_term(quar, entry, now_us);
	return !before && quar_goes_on(entry) && quar_is_told(entry) ? entry : NULL;
}

const struct quar_entry *quar_clear(struct quar *quar, const struct quar_id *id, int64_t now_us)
{
	struct quar_entry *entry = quar_lookup(quar, id);

	if (!entry || quar_entry_points(entry) == 0)
		return NULL;
	if (!quar_is_told(entry)) {
		quar_drop(quar, entry);
		return NULL;
	}
	quar_next_epoch(quar, entry, 0, now_us);
	entry->terms = 0;
	return entry;
}

void quar_on_lives(struct quar *quar, uint64_t endpoint, int64_t now_us, quar_fn fn, void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quar->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct quar_entry *entry = value;
		struct quar_crash *crash = quar_crash_at(entry, endpoint);

		if (!crash || crash->weight == QUAR_LIVES)
			continue;
		crash->weight = QUAR_LIVES;
		quar_end_refusal(quar, entry);
		quar_touch(quar, entry, now_us);
		fn(ctx, entry);
	}
}

/* The other one is of a later epoch: it replaces all. */
static void quar_replace(struct quar_entry *entry, const struct quar_entry *other)
{
	char *account = entry->account;
	GList link = entry->link;

	*entry = *other;
	entry->account = account;
	entry->link = link;
}

/* Terms count only from who knows as much of how the request goes on. */
static bool quar_merge_term(struct quar_entry *entry, const struct quar_entry *other)
{
	bool news = other->terms > entry->terms || (other->until_us > 0 && entry->until_us == 0);

	if (quar_goes_on(other) != quar_goes_on(entry))
		return false;
	entry->terms = MAX(entry->terms, other->terms);
	entry->until_us = MAX(entry->until_us, other->until_us);
	return news;
}

static bool quar_merge(struct quar *quar, struct quar_entry *entry, const struct quar_entry *other,
		       int64_t now_us)
{
	bool news = other->base < entry->base || (quar_goes_on(other) && !quar_goes_on(entry));

	for (int i = 0; i < other->n; i++)
		news |= quar_add_crash(entry, other->crashes[i].endpoint, other->crashes[i].weight);
	entry->base = MIN(entry->base, other->base);
	quar_set_lasted(entry, other->lasted_us);
	news |= quar_merge_term(entry, other);
	quar_touch(quar, entry, other->last_us);
	quar_end_refusal(quar, entry);
	quar_begin_term(quar, entry, now_us);
	return news;
}

const struct quar_entry *quar_take(struct quar *quar, const struct quar_entry *other,
				   int64_t now_us)
{
	const struct quar_id id = {other->key, other->account};
	bool known = quar_lookup(quar, &id) != NULL;
	struct quar_entry *entry = quar_need(quar, &id);

	if (!entry)
		return NULL;
	quar_end_term(quar, entry, now_us);
	if (!known || other->epoch > entry->epoch) {
		quar_replace(entry, other);
		quar_begin_term(quar, entry, now_us);
		return entry;
	}
	if (other->epoch < entry->epoch)
		return NULL;
	return quar_merge(quar, entry, other, now_us) ? entry : NULL;
}

int64_t quar_left_us(struct quar *quar, const struct quar_id *id, int64_t now_us)
{
	struct quar_entry *entry = quar_lookup(quar, id);

	if (!entry)
		return 0;
	quar_end_term(quar, entry, now_us);
	return MAX(entry->until_us - now_us, 0);
}

void quar_expire(struct quar *quar, int64_t now_us, quar_fn fn, void *ctx)
{
	GList *next;

	for (GList *link = quar->order.head; link; link = next) {
		struct quar_entry *entry = link->data;

		next = link->next;
		if (now_us < MAX(entry->last_us, entry->until_us) + quar_memory_us)
			continue;
		if (fn)
			fn(ctx, entry);
		quar_drop(quar, entry);
	}
}

void quar_each(const struct quar *quar, quar_fn fn, void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quar->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		fn(ctx, value);
}
