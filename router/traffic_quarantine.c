#include "router/traffic_quarantine.h"
#include "base/jl.h"
#include "base/met.h"
#include "base/str.h"
#include "quar/quar_served.h"
#include "router/quarantine.h"
#include "router/ctrl.h"
#include "router/traffic.h"
#include "router/traffic_part.h"

#include <string.h>

enum {
	TRAF_QUAR_EXPIRE_MS = 10000 /* interval between two removals of expired entries, in ms */
};

/* Changed entries that the control thread posts to the traffic thread. */
struct traf_quar_msg {
	struct traf *traf;
	GPtrArray *entries;
};

int traf_quar_weight(enum crash_progress progress)
{
	return progress == CRASH_BEGUN || progress == CRASH_SENT ? QUAR_WEIGHT_STRONG
								 : QUAR_WEIGHT_WEAK;
}

static int traf_quar_cut_weight(const struct crash_attempt *cut)
{
	if (cut->progress == CRASH_SENT && cut->unconfirmed)
		return QUAR_WEIGHT_WEAK;
	return traf_quar_weight(cut->progress);
}

/*
 * Returns whether the entry has to be sent to other hosts. That includes a first crash
 * before any response, because such a request may be sent to one host after the other, each of
 * which would detect only one crash.
 */
static bool traf_quar_must_share(const struct quar_entry *entry, const struct crash_attempt *cut)
{
	return quar_is_propagated(entry) || cut->progress == CRASH_SENT;
}

static uint64_t traf_quar_endpoint_hash(const struct traf_ep *ep)
{
	const char *incarnation = ep->rec->incarnation;

	return str_hash(incarnation, strlen(incarnation), 0);
}

/*
 * Logs that a request is refused from now on, or no longer. A refused request is also ended if it
 * is in progress on this host, because its attempts that wait at endpoints would crash them once
 * begun.
 */
static void traf_quar_enforce(struct traf *traf, const struct quar_entry *entry, const char *from)
{
	quarantine_log(entry, from, tmr_now());
	if (entry->until_us == 0) {
		if (quar_key_is_part(&entry->key))
			traf_part_on_lifted(traf, entry->key.low);
		return;
	}
	met_add(met_counter("bg_quarantined_total", ""), 1);
	for (guint i = traf->reqs->len; i > 0; i--)
		txn_on_quarantine(traf->reqs->pdata[i - 1], entry);
}

static bool traf_quar_is_refused(const struct traf *traf, const struct quar_id *id)
{
	const struct quar_entry *entry = quar_find(&traf->quar, id);

	return entry && entry->until_us > 0;
}

/* Returns the longest time that an attempt of the request has run on this host, in microseconds. */
static int64_t traf_quar_longest_us(const struct traf *traf, const struct quar_id *id)
{
	int64_t longest_us = 0;

	for (guint i = 0; i < traf->reqs->len; i++)
		longest_us = MAX(longest_us, txn_answer_duration_us(traf->reqs->pdata[i], id));
	return longest_us;
}

/* Counts one crash; an entry that other hosts need is appended to shared. */
static void traf_quar_count_crash(struct traf *traf, uint64_t endpoint,
				  const struct crash_attempt *cut, GPtrArray *shared)
{
	const struct quar_id id = {cut->key, cut->account};
	bool refused_before = traf_quar_is_refused(traf, &id);
	int64_t longest_us;
	int64_t now_us = tmr_now();
	const struct quar_entry *entry;

	if (served_recently(&traf->served, &cut->key, now_us))
		return;
	longest_us = traf_quar_longest_us(traf, &id);
	traf_quar_on_part(traf, &id, longest_us);
	entry = quar_on_crash(&traf->quar, &id, endpoint, traf_quar_cut_weight(cut), cut->lasted_us,
			      now_us);
	if (!entry)
		return;
	quar_on_progress(&traf->quar, &id, MAX(cut->lasted_us, longest_us), now_us);
	if (traf_quar_must_share(entry, cut))
		g_ptr_array_add(shared, quar_entry_dup(entry));
	if (refused_before != (entry->until_us > 0))
		traf_quar_enforce(traf, entry, "this host");
}

void traf_quar_on_crash(struct traf *traf, const struct traf_ep *ep, const GArray *cuts)
{
	uint64_t endpoint = traf_quar_endpoint_hash(ep);
	GPtrArray *shared = quarantine_list_new();

	for (guint i = 0; i < cuts->len; i++)
		traf_quar_count_crash(traf, endpoint, &g_array_index(cuts, struct crash_attempt, i),
				      shared);
	if (shared->len > 0)
		quarantine_post(traf->router->ctrl, g_ptr_array_ref(shared));
	g_ptr_array_unref(shared);
	traf_part_on_crash(traf, endpoint, cuts);
}

static void traf_quar_add_shared(void *ctx, const struct quar_entry *entry)
{
	g_ptr_array_add(ctx, quar_entry_dup(entry));
}

void traf_quar_remove_crash(struct traf *traf, const struct traf_ep *ep)
{
	GPtrArray *shared = quarantine_list_new();

	quar_on_endpoint_alive(&traf->quar, traf_quar_endpoint_hash(ep), tmr_now(),
			       traf_quar_add_shared, shared);
	jl_begin(JL_UNLIMITED, "endpoint_lives");
	jl_str("endpoint", ep->rec->incarnation);
	jl_int("taken_back", shared->len);
	jl_end();
	if (shared->len > 0)
		quarantine_post(traf->router->ctrl, g_ptr_array_ref(shared));
	g_ptr_array_unref(shared);
	traf_part_remove_crash(traf, traf_quar_endpoint_hash(ep));
}

void traf_quar_share(struct traf *traf, const struct quar_entry *entry, bool refused_before)
{
	GPtrArray *shared;

	if (!entry)
		return;
	if (refused_before != (entry->until_us > 0))
		traf_quar_enforce(traf, entry, "this host");
	shared = quarantine_list_new();
	g_ptr_array_add(shared, quar_entry_dup(entry));
	quarantine_post(traf->router->ctrl, shared);
}

void traf_quar_on_part(struct traf *traf, const struct quar_id *id, int64_t lasted_us)
{
	bool refused_before = traf_quar_is_refused(traf, id);

	traf_quar_share(traf, quar_on_progress(&traf->quar, id, lasted_us, tmr_now()),
			refused_before);
}

void traf_quar_on_served(struct traf *traf, const struct quar_id *id)
{
	bool refused_before = traf_quar_is_refused(traf, id);

	served_record(&traf->served, &id->key, tmr_now());
	traf_quar_share(traf, quar_clear(&traf->quar, id, tmr_now()), refused_before);
}

/* Applies an entry from another host, and shares it if this host has cleared it. */
static void traf_quar_merge(struct traf *traf, const struct quar_entry *other)
{
	const struct quar_id id = {other->key, other->account};
	bool refused_before = traf_quar_is_refused(traf, &id);
	bool cleared;
	const struct quar_entry *entry =
		quar_merge_or_clear(&traf->quar, &traf->served, other, tmr_now(), &cleared);

	/* The merged entry refused the request, if only within this call, so its end is logged. */
	if (cleared)
		traf_quar_share(traf, entry, true);
	else if (entry && refused_before != (entry->until_us > 0))
		traf_quar_enforce(traf, entry, "another host");
}

static void traf_quar_on_post(void *ctx)
{
	struct traf_quar_msg *msg = ctx;

	for (guint i = 0; i < msg->entries->len; i++)
		traf_quar_merge(msg->traf, msg->entries->pdata[i]);
	g_ptr_array_unref(msg->entries);
	g_free(msg);
}

void traf_quar_post(struct traf *traf, const GPtrArray *entries)
{
	struct traf_quar_msg *msg = g_new0(struct traf_quar_msg, 1);

	msg->traf = traf;
	msg->entries = quarantine_list_new();
	for (guint i = 0; i < entries->len; i++)
		g_ptr_array_add(msg->entries, quar_entry_dup(entries->pdata[i]));
	loop_post(&traf->loop, traf_quar_on_post, msg);
}

void traf_quar_on_sweep(struct traf *traf, int64_t now_us)
{
	traf->quar.may_try = g_atomic_int_get(&traf->router->tries_refused);
	traf_part_on_sweep(traf, now_us);
	if (now_us < traf->quar_expire_us)
		return;
	traf->quar_expire_us = now_us + tmr_from_ms(TRAF_QUAR_EXPIRE_MS);
	quar_expire(&traf->quar, now_us, NULL, NULL);
}
