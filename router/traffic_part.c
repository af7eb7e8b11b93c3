#include "router/traffic_part.h"
#include "base/jl.h"
#include "base/met.h"
#include "router/ctrl.h"
#include "router/part_msg.h"
#include "router/quarantine.h"
#include "router/traffic.h"
#include "router/traffic_quarantine.h"

enum {
	TRAF_PART_EXPIRE_MS = 10000, /* interval between two removals of expired entries, in ms */
	/* Time after the last news for which evidence is judged again, in ms; longer than it
	 * takes to settle. */
	TRAF_PART_JUDGE_MS = 4000
};

/* Evidence that the control thread posts to the traffic thread. */
struct traf_part_msg {
	struct traf *traf;
	GPtrArray *entries;
};

/* Tells other hosts; takes over the list. */
static void traf_part_share(struct traf *traf, GPtrArray *entries)
{
	if (entries->len > 0)
		quarantine_post_evidence(traf->router->ctrl, entries);
	else
		g_ptr_array_unref(entries);
}

/*
 * Returns the points that a crash counts against the parts of a request, 0 for none: a request that
 * has gone on, now or at another endpoint before, has begun without harm.
 */
static int traf_part_points(const struct crash_attempt *cut)
{
	if (cut->lasted_us >= PART_GONE_ON_US)
		return 0;
	if (cut->progress == CRASH_BEGUN && !cut->is_answered && !cut->unconfirmed)
		return PART_POINTS_HEAD;
	if (cut->progress == CRASH_BEGUN || (cut->progress == CRASH_SENT && !cut->unconfirmed))
		return PART_POINTS_OTHER;
	return 0;
}

/* Returns a copy of an entry without crashes but this one: what other hosts need of a change. */
static struct part_entry *traf_part_news(const struct part_entry *entry,
					 const struct part_crash *crash)
{
	struct part_entry *news = part_entry_new(entry->id);

	news->proved_us = entry->proved_us;
	news->position = entry->position;
	if (crash)
		part_entry_add_crash(news, crash);
	return news;
}

/* A trial of the part has crashed another endpoint: its next term begins at once. */
static void traf_part_on_trial_crash(struct traf *traf, uint64_t part, uint64_t endpoint)
{
	const struct quar_id id = {quar_key_of_part(part), ""};
	const struct quar_entry *entry;

	if (traf->quar.n_parts == 0 || !quar_is_on_trial(&traf->quar, &id))
		return;
	entry = quar_on_crash(&traf->quar, &id, endpoint, QUAR_WEIGHT_STRONG, 0, tmr_now());
	traf_quar_share(traf, entry, false);
}

static void traf_part_count_crash(struct traf *traf, uint64_t endpoint,
				  const struct crash_attempt *cut, GPtrArray *shared)
{
	const struct part_crash crash = {
		.endpoint = endpoint,
		.content = cut->key.low,
		.at_us = tmr_now(),
		.points = traf_part_points(cut),
	};

	if (crash.points == 0)
		return;
	for (int i = 0; i < cut->n_parts; i++) {
		const struct part_entry *entry =
			part_on_crash(&traf->parts, cut->parts[i], i, &crash);

		if (entry)
			g_ptr_array_add(shared, traf_part_news(entry, &crash));
		if (crash.points == PART_POINTS_HEAD)
			traf_part_on_trial_crash(traf, cut->parts[i], endpoint);
	}
}

/* Writes the lower halves of the digests of the requests under which endpoints crashed. */
static void traf_part_log_requests(const struct part_entry *entry)
{
	GString *text = g_string_new(NULL);

	for (int i = 0; i < entry->n; i++)
		g_string_append_printf(text, "%s%016" G_GINT64_MODIFIER "x", i > 0 ? "," : "",
				       entry->crashes[i].content);
	jl_str("contents_end_with", text->str);
	g_string_free(text, TRUE);
}

static void traf_part_log(const struct part_entry *entry, const struct part_finding *finding,
			  int64_t now_us)
{
	jl_begin(JL_UNLIMITED, "part_blamed");
	jl_hex("part", entry->id);
	jl_int("crashes", finding->crashes);
	jl_int("points", finding->points);
	jl_int("position", entry->position);
	jl_int("went_on_ms_ago",
	       entry->proved_us == PART_NEVER ? -1 : (now_us - entry->proved_us) / TMR_US_PER_MS);
	traf_part_log_requests(entry);
	jl_end();
}

static void traf_part_blame(struct traf *traf, const struct part_finding *finding, int64_t now_us)
{
	const struct quar_id id = {quar_key_of_part(finding->id), ""};
	const struct part_entry *part = part_find(&traf->parts, finding->id);
	const struct quar_entry *entry = quar_blame(&traf->quar, &id, now_us);

	if (!entry)
		return;
	met_add(met_counter("bg_parts_blamed_total", ""), 1);
	traf_quar_share(traf, entry, false);
	traf_part_log(part, finding, now_us);
}

/* Lifts the refusal of a part, if there is one; other hosts do the same. */
static void traf_part_lift(struct traf *traf, uint64_t part, int64_t now_us)
{
	const struct quar_id id = {quar_key_of_part(part), ""};
	const struct quar_entry *entry = quar_find(&traf->quar, &id);
	bool refused_before = entry && entry->until_us > 0;

	if (entry)
		traf_quar_share(traf, quar_clear(&traf->quar, &id, now_us), refused_before);
}

static void traf_part_judge(struct traf *traf, int64_t now_us)
{
	GArray *findings = g_array_new(FALSE, FALSE, sizeof(struct part_finding));

	part_judge(&traf->parts, now_us, findings);
	for (guint i = 0; i < findings->len; i++) {
		const struct part_finding *finding =
			&g_array_index(findings, struct part_finding, i);

		if (finding->is_to_blame) {
			traf_part_blame(traf, finding, now_us);
			continue;
		}
		part_absolve(&traf->parts, finding->id, now_us);
		traf_part_lift(traf, finding->id, now_us);
	}
	g_array_unref(findings);
}

static void traf_part_judge_soon(struct traf *traf)
{
	int64_t now_us = tmr_now();

	traf->parts_judge_until_us = now_us + tmr_from_ms(TRAF_PART_JUDGE_MS);
	traf_part_judge(traf, now_us);
}

void traf_part_on_crash(struct traf *traf, uint64_t endpoint, const GArray *cuts)
{
	GPtrArray *shared = part_msg_list_new();

	for (guint i = 0; i < cuts->len; i++)
		traf_part_count_crash(traf, endpoint, &g_array_index(cuts, struct crash_attempt, i),
				      shared);
	traf_part_share(traf, shared);
	traf_part_judge_soon(traf);
}

static void traf_part_add_shared(void *ctx, const struct part_entry *entry)
{
	g_ptr_array_add(ctx, part_entry_dup(entry));
}

void traf_part_remove_crash(struct traf *traf, uint64_t endpoint)
{
	GPtrArray *shared = part_msg_list_new();

	part_on_endpoint_alive(&traf->parts, endpoint, tmr_now(), traf_part_add_shared, shared);
	traf_part_share(traf, shared);
}

void traf_part_on_gone_on(struct traf *traf, const uint64_t *parts, int n, int64_t head_us)
{
	int64_t now_us = tmr_now();
	GPtrArray *shared;

	part_on_any_gone_on(&traf->parts, head_us);
	if (n == 0)
		return;
	shared = part_msg_list_new();
	for (int i = 0; i < n; i++) {
		const struct part_entry *entry =
			part_on_gone_on(&traf->parts, parts[i], head_us, now_us);

		if (entry)
			g_ptr_array_add(shared, traf_part_news(entry, NULL));
		if (traf->quar.n_parts > 0 && part_find(&traf->parts, parts[i])->n == 0)
			traf_part_lift(traf, parts[i], now_us);
	}
	traf_part_share(traf, shared);
}

void traf_part_on_lifted(struct traf *traf, uint64_t part)
{
	part_settle(&traf->parts, part, tmr_now());
}

static void traf_part_count_suspect(void *ctx, const struct part_entry *entry)
{
	*(uint64_t *)ctx += entry->n > 0;
}

void traf_part_on_sweep(struct traf *traf, int64_t now_us)
{
	uint64_t suspects = 0;

	if (now_us < traf->parts_judge_until_us)
		traf_part_judge(traf, now_us);
	if (now_us < traf->parts_expire_us)
		return;
	traf->parts_expire_us = now_us + tmr_from_ms(TRAF_PART_EXPIRE_MS);
	part_expire(&traf->parts, now_us);
	part_foreach(&traf->parts, traf_part_count_suspect, &suspects);
	met_set(met_gauge("bg_parts_suspected", ""), suspects);
	met_set(met_gauge("bg_parts_known", ""), g_hash_table_size(traf->parts.entries));
}

static void traf_part_merge(struct traf *traf, const GPtrArray *entries)
{
	GPtrArray *replies = part_msg_list_new();
	int64_t now_us = tmr_now();
	bool changed = false;

	for (guint i = 0; i < entries->len; i++) {
		const struct part_entry *other = entries->pdata[i];

		int merged = part_merge(&traf->parts, other, now_us);

		changed |= merged & PART_MERGED_CHANGE;
		if (merged & PART_MERGED_REPLY)
			g_ptr_array_add(replies,
					traf_part_news(part_find(&traf->parts, other->id), NULL));
	}
	traf_part_share(traf, replies);
	if (changed)
		traf_part_judge_soon(traf);
}

static void traf_part_on_post(void *ctx)
{
	struct traf_part_msg *msg = ctx;

	traf_part_merge(msg->traf, msg->entries);
	g_ptr_array_unref(msg->entries);
	g_free(msg);
}

void traf_part_post(struct traf *traf, const GPtrArray *entries)
{
	struct traf_part_msg *msg = g_new0(struct traf_part_msg, 1);

	msg->traf = traf;
	msg->entries = part_msg_list_new();
	for (guint i = 0; i < entries->len; i++)
		g_ptr_array_add(msg->entries, part_entry_dup(entries->pdata[i]));
	loop_post(&traf->loop, traf_part_on_post, msg);
}
