#include "quar/quar.h"

#include <string.h>

/*
 * Length of the first term, in microseconds: 10 minutes. Operators need some minutes to see which
 * request crashes their endpoints and to stop its caller. After the term the request may run again,
 * at the price of one more crash, because a new version of the model or a bug fix may have made it
 * harmless.
 */
static const int64_t quar_first_term_us = G_GINT64_CONSTANT(600000000);

/*
 * Length of the first term, in microseconds, of a request that runs for a while before the
 * endpoints crash. It is short because the request may be harmless: where a few endpoints crash in
 * a row, a request that many callers send may be running at six of them. It is retried soon, and
 * its entry is cleared when it is served.
 */
static const int64_t quar_first_term_long_running_us = G_GINT64_CONSTANT(2000000);

/*
 * Greatest difference, in microseconds, between the running times of attempts that crash their
 * endpoints for the same reason. The attempts of such a request last equally long except for the
 * speed of the endpoints, by which they differed by 70 ms in recorded crashes.
 */
static const int64_t quar_duration_tolerance_us = 500000;

/*
 * Factor by which each term is longer than the one before: 10 minutes, 1 hour, 6 hours, 36 hours;
 * or 2, 12, 72, 432 s.
 */
static const int64_t quar_term_factor = 6;

enum {
	QUAR_TERM_GROWTH_MAX = 3 /* number of times that the term is lengthened */
};

/* Time in microseconds for which an entry is kept after its last update. */
static const int64_t quar_retention_us = G_GINT64_CONSTANT(600000000);

/*
 * Time in microseconds for which an entry that has been refused is kept after its term: a day.
 * Without it, a request that comes once an hour would be new each time, and crash three more
 * endpoints.
 */
static const int64_t quar_refused_retention_us = G_GINT64_CONSTANT(86400000000);

static guint quar_hash(gconstpointer key)
{
	return (guint)((const struct quar_key *)key)->low;
}

static gboolean quar_equal(gconstpointer a, gconstpointer b)
{
	return quar_key_eq(a, b);
}

static void quar_destroy_value(gpointer data)
{
	quar_entry_free(data);
}

void quar_init(struct quar *quar, int limit)
{
	quar->limit = limit;
	quar->n_parts = 0;
	quar->may_try = true;
	g_queue_init(&quar->order);
	quar->entries = g_hash_table_new_full(quar_hash, quar_equal, NULL, quar_destroy_value);
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

/*
 * Returns the entry of this account and digest, or NULL. If requests of two accounts have the same
 * digest, only the account that came first has an entry.
 */
static struct quar_entry *quar_lookup(const struct quar *quar, const struct quar_id *id)
{
	struct quar_entry *entry = g_hash_table_lookup(quar->entries, &id->key);

	return entry && strcmp(entry->account, id->account) == 0 ? entry : NULL;
}

const struct quar_entry *quar_find(const struct quar *quar, const struct quar_id *id)
{
	return quar_lookup(quar, id);
}

static bool quar_is_long_running(const struct quar_entry *entry)
{
	return entry->lasted_us >= QUAR_LONG_RUNNING_US;
}

static int quar_crash_points(const struct quar_entry *entry, const struct quar_crash *crash)
{
	if (crash->weight == QUAR_ENDPOINT_ALIVE)
		return 0;
	return quar_is_long_running(entry) ? QUAR_WEIGHT_WEAK : crash->weight;
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
	       (quar_is_long_running(entry) ? MIN(weight, (int)QUAR_WEIGHT_WEAK) : weight);
}

bool quar_is_propagated(const struct quar_entry *entry)
{
	if (entry->epoch > 0 || entry->n > 1)
		return true;
	return entry->n > 0 && entry->crashes[0].weight >= QUAR_WEIGHT_STRONG;
}

bool quar_is_persistent(const struct quar_entry *entry)
{
	return entry->epoch > 0 || entry->until_us > 0 || entry->n > 1;
}

static void quar_remove(struct quar *quar, struct quar_entry *entry)
{
	quar->n_parts -= quar_key_is_part(&entry->key);
	g_queue_unlink(&quar->order, &entry->link);
	g_hash_table_remove(quar->entries, &entry->key);
}

/* Sets the time of the last update and moves the entry to the end of the order queue. */
static void quar_mark_updated(struct quar *quar, struct quar_entry *entry, int64_t at_us)
{
	entry->last_us = MAX(entry->last_us, at_us);
	g_queue_unlink(&quar->order, &entry->link);
	g_queue_push_tail_link(&quar->order, &entry->link);
}

/*
 * Removes an entry if the table is full: the oldest one that isn't refused, or else the oldest of
 * all.
 */
static void quar_evict_if_full(struct quar *quar)
{
	GList *link = quar->order.head;

	if (!link || g_hash_table_size(quar->entries) < QUAR_ENTRIES_MAX)
		return;
	while (link && ((struct quar_entry *)link->data)->until_us > 0)
		link = link->next;
	if (!link)
		link = g_queue_peek_head_link(&quar->order);
	quar_remove(quar, link->data);
}

/*
 * Returns the request's entry and creates it if needed. Returns NULL if a request of another
 * account with the same digest has an entry.
 */
static struct quar_entry *quar_find_or_add(struct quar *quar, const struct quar_id *id)
{
	struct quar_entry *entry = quar_lookup(quar, id);

	if (entry)
		return entry;
	if (g_hash_table_contains(quar->entries, &id->key))
		return NULL;
	quar_evict_if_full(quar);
	entry = g_new0(struct quar_entry, 1);
	entry->key = id->key;
	entry->account = g_strdup(id->account);
	entry->link.data = entry;
	quar->n_parts += quar_key_is_part(&entry->key);
	g_hash_table_insert(quar->entries, &entry->key, entry);
	g_queue_push_tail_link(&quar->order, &entry->link);
	return entry;
}

static struct quar_crash *quar_find_crash(struct quar_entry *entry, uint64_t endpoint)
{
	for (int i = 0; i < entry->n; i++) {
		if (entry->crashes[i].endpoint == endpoint)
			return &entry->crashes[i];
	}
	return NULL;
}

/*
 * Returns an element of crashes for one more crash. If all are in use, an endpoint found alive is
 * replaced; returns NULL if there is none.
 */
static struct quar_crash *quar_alloc_crash(struct quar_entry *entry)
{
	if (entry->n < QUAR_CRASHES_MAX)
		return &entry->crashes[entry->n++];
	for (int i = 0; i < entry->n; i++) {
		if (entry->crashes[i].weight == QUAR_ENDPOINT_ALIVE)
			return &entry->crashes[i];
	}
	return NULL;
}

/* Adds the crash or raises its weight. Returns whether the entry changed. */
static bool quar_add_crash(struct quar_entry *entry, uint64_t endpoint, int weight)
{
	struct quar_crash *crash = quar_find_crash(entry, endpoint);

	if (crash && crash->weight >= weight)
		return false;
	if (!crash && (weight != QUAR_ENDPOINT_ALIVE || entry->n < QUAR_CRASHES_MAX))
		crash = quar_alloc_crash(entry);
	if (!crash)
		return false;
	*crash = (struct quar_crash){endpoint, weight};
	return true;
}

static int64_t quar_term_after(int terms, bool long_running)
{
	int64_t term_us = long_running ? quar_first_term_long_running_us : quar_first_term_us;

	for (int i = 0; i < MIN(terms, (int)QUAR_TERM_GROWTH_MAX); i++)
		term_us *= quar_term_factor;
	return term_us;
}

static void quar_refuse_if_over_limit(const struct quar *quar, struct quar_entry *entry,
				      int64_t now_us)
{
	if (entry->until_us > 0 || quar_entry_points(entry) < quar->limit)
		return;
	entry->until_us = now_us + quar_term_after(entry->terms, quar_is_long_running(entry));
	entry->terms++;
}

/* Ends the refusal if the points without the endpoints found alive are below the limit. */
static void quar_lift_refusal_if_under_limit(const struct quar *quar, struct quar_entry *entry)
{
	if (entry->until_us == 0 || quar_entry_points(entry) >= quar->limit)
		return;
	entry->until_us = 0;
	entry->terms = MAX(entry->terms - 1, 0);
}

int64_t quar_next_term_us(const struct quar *quar, const struct quar_id *id)
{
	const struct quar_entry *entry = quar_lookup(quar, id);

	return entry ? quar_term_after(entry->terms, quar_is_long_running(entry))
		     : quar_first_term_us;
}

static void quar_start_epoch(struct quar *quar, struct quar_entry *entry, int base, int64_t now_us)
{
	entry->epoch++;
	entry->base = base;
	entry->n = 0;
	entry->until_us = 0;
	entry->trial_us = 0;
	quar_mark_updated(quar, entry, now_us);
}

/*
 * After a term the request may run again. The new epoch starts QUAR_WEIGHT_STRONG points below the
 * limit, so that one more crash begins a longer term.
 */
static void quar_end_term_if_over(struct quar *quar, struct quar_entry *entry, int64_t now_us)
{
	bool may_try = quar->may_try || quar_is_long_running(entry);

	if (may_try && entry->until_us > 0 && now_us >= entry->until_us)
		quar_start_epoch(quar, entry, quar->limit - QUAR_WEIGHT_STRONG, now_us);
}

const struct quar_entry *quar_on_crash(struct quar *quar, const struct quar_id *id,
				       uint64_t endpoint, int weight, int64_t lasted_us,
				       int64_t now_us)
{
	struct quar_entry *entry = quar_find_or_add(quar, id);

	if (!entry || lasted_us + quar_duration_tolerance_us < entry->lasted_us)
		return NULL;
	quar_end_term_if_over(quar, entry, now_us);
	if (!quar_add_crash(entry, endpoint, weight))
		return NULL;
	quar_mark_updated(quar, entry, now_us);
	quar_refuse_if_over_limit(quar, entry, now_us);
	return entry;
}

/*
 * Raises the longest known running time. When it reaches QUAR_LONG_RUNNING_US, the refusal is
 * lifted, because the points behind it were counted for a request that crashes endpoints at the
 * start.
 */
static void quar_update_longest_run(struct quar_entry *entry, int64_t lasted_us)
{
	if (!quar_is_long_running(entry) && lasted_us >= QUAR_LONG_RUNNING_US) {
		entry->until_us = 0;
		entry->terms = 0;
	}
	entry->lasted_us = MAX(entry->lasted_us, lasted_us);
}

const struct quar_entry *quar_on_progress(struct quar *quar, const struct quar_id *id,
					  int64_t lasted_us, int64_t now_us)
{
	struct quar_entry *entry = quar_lookup(quar, id);
	bool before;

	if (!entry || lasted_us <= entry->lasted_us)
		return NULL;
	before = quar_is_long_running(entry);
	quar_update_longest_run(entry, lasted_us);
	quar_refuse_if_over_limit(quar, entry, now_us);
	return !before && quar_is_long_running(entry) && quar_is_propagated(entry) ? entry : NULL;
}

const struct quar_entry *quar_clear(struct quar *quar, const struct quar_id *id, int64_t now_us)
{
	struct quar_entry *entry = quar_lookup(quar, id);

	if (!entry || quar_entry_points(entry) == 0)
		return NULL;
	if (!quar_is_propagated(entry)) {
		quar_remove(quar, entry);
		return NULL;
	}
	quar_start_epoch(quar, entry, 0, now_us);
	entry->terms = 0;
	return entry;
}

void quar_on_endpoint_alive(struct quar *quar, uint64_t endpoint, int64_t now_us, quar_fn fn,
			    void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quar->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct quar_entry *entry = value;
		struct quar_crash *crash = quar_find_crash(entry, endpoint);

		if (!crash || crash->weight == QUAR_ENDPOINT_ALIVE)
			continue;
		crash->weight = QUAR_ENDPOINT_ALIVE;
		quar_lift_refusal_if_under_limit(quar, entry);
		quar_mark_updated(quar, entry, now_us);
		fn(ctx, entry);
	}
}

/* Replaces the contents by those of an entry that is of a later epoch or the first one received. */
static void quar_replace_entry(struct quar_entry *entry, const struct quar_entry *other)
{
	char *account = entry->account;
	GList link = entry->link;

	*entry = *other;
	entry->account = account;
	entry->link = link;
}

/*
 * Merges the terms. Those of the other host are ignored if the two hosts disagree on whether the
 * request is long-running, because its terms then have other lengths.
 */
static bool quar_merge_term(struct quar_entry *entry, const struct quar_entry *other)
{
	bool changed = other->terms > entry->terms || (other->until_us > 0 && entry->until_us == 0);

	if (quar_is_long_running(other) != quar_is_long_running(entry))
		return false;
	entry->terms = MAX(entry->terms, other->terms);
	entry->until_us = MAX(entry->until_us, other->until_us);
	return changed;
}

static bool quar_merge_entry(struct quar *quar, struct quar_entry *entry,
			     const struct quar_entry *other, int64_t now_us)
{
	bool changed = other->base < entry->base ||
		       (quar_is_long_running(other) && !quar_is_long_running(entry));

	for (int i = 0; i < other->n; i++)
		changed |=
			quar_add_crash(entry, other->crashes[i].endpoint, other->crashes[i].weight);
	entry->base = MIN(entry->base, other->base);
	quar_update_longest_run(entry, other->lasted_us);
	changed |= quar_merge_term(entry, other);
	quar_mark_updated(quar, entry, other->last_us);
	quar_lift_refusal_if_under_limit(quar, entry);
	quar_refuse_if_over_limit(quar, entry, now_us);
	return changed;
}

const struct quar_entry *quar_merge_remote(struct quar *quar, const struct quar_entry *other,
					   int64_t now_us)
{
	const struct quar_id id = {other->key, other->account};
	bool known = quar_lookup(quar, &id) != NULL;
	struct quar_entry *entry = quar_find_or_add(quar, &id);

	if (!entry)
		return NULL;
	quar_end_term_if_over(quar, entry, now_us);
	if (!known || other->epoch > entry->epoch) {
		quar_replace_entry(entry, other);
		quar_refuse_if_over_limit(quar, entry, now_us);
		return entry;
	}
	if (other->epoch < entry->epoch)
		return NULL;
	return quar_merge_entry(quar, entry, other, now_us) ? entry : NULL;
}

const struct quar_entry *quar_blame(struct quar *quar, const struct quar_id *id, int64_t now_us)
{
	struct quar_entry *entry = quar_find_or_add(quar, id);

	if (!entry || entry->until_us > 0)
		return NULL;
	quar_start_epoch(quar, entry, quar->limit, now_us);
	quar_refuse_if_over_limit(quar, entry, now_us);
	return entry;
}

static bool quar_entry_is_on_trial(const struct quar *quar, const struct quar_entry *entry)
{
	return entry->until_us == 0 && entry->terms > 0 && !quar_is_long_running(entry) &&
	       entry->base == quar->limit - QUAR_WEIGHT_STRONG;
}

bool quar_is_on_trial(const struct quar *quar, const struct quar_id *id)
{
	const struct quar_entry *entry = quar_lookup(quar, id);

	return entry && quar_entry_is_on_trial(quar, entry);
}

bool quar_may_run(struct quar *quar, const struct quar_id *id, int64_t now_us)
{
	struct quar_entry *entry = quar_lookup(quar, id);

	if (quar_remaining_us(quar, id, now_us) > 0)
		return false;
	if (!entry || !quar_entry_is_on_trial(quar, entry))
		return true;
	if (entry->trial_us > 0 && now_us - entry->trial_us < QUAR_TRIAL_US)
		return false;
	entry->trial_us = now_us;
	return true;
}

/* A term that is over lasts on at hosts that don't try the request. */
int64_t quar_remaining_us(struct quar *quar, const struct quar_id *id, int64_t now_us)
{
	struct quar_entry *entry = quar_lookup(quar, id);

	if (!entry)
		return 0;
	quar_end_term_if_over(quar, entry, now_us);
	if (entry->until_us == 0)
		return 0;
	return entry->until_us > now_us ? entry->until_us - now_us : QUAR_TRIAL_US;
}

static int64_t quar_expiry_us(const struct quar_entry *entry)
{
	int64_t kept_us = entry->terms > 0 ? quar_refused_retention_us : quar_retention_us;

	return MAX(entry->last_us, entry->until_us) + kept_us;
}

void quar_expire(struct quar *quar, int64_t now_us, quar_fn fn, void *ctx)
{
	GList *next;

	for (GList *link = quar->order.head; link; link = next) {
		struct quar_entry *entry = link->data;

		next = link->next;
		if (now_us < quar_expiry_us(entry))
			continue;
		if (fn)
			fn(ctx, entry);
		quar_remove(quar, entry);
	}
}

void quar_foreach(const struct quar *quar, quar_fn fn, void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, quar->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		fn(ctx, value);
}
