#include "reach/reach.h"

enum {
	/* Endpoints in a row that must not answer before the host itself is in doubt. */
	REACH_IN_A_ROW = 2,
	/* The same before requests are refused. */
	REACH_ISOLATED_MIN = 4,
	/* Time for which a failed call is remembered, in us. */
	REACH_KEEP_US = 3000000,
	/* Time for which other hosts are not asked again after they failed, in us. */
	REACH_OPINION_US = 1000000,
	/* Interval between two probes, in us. */
	REACH_PROBE_US = 200000,
	/* The same while endpoints answer again, and for how long that lasts, in us. */
	REACH_REGAIN_PROBE_US = 20000,
	REACH_REGAIN_US = 1000000
};

void reach_init(struct reach *reach)
{
	*reach = (struct reach){
		.points = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free)};
}

void reach_finish(struct reach *reach)
{
	g_hash_table_destroy(reach->points);
	g_free(reach->witness);
}

/* An endpoint answered a call that began at that time. */
static void reach_note_heard(struct reach *reach, const char *addr, int64_t began_us)
{
	if (began_us < reach->heard_us)
		return;
	reach->heard_us = began_us;
	if (g_strcmp0(reach->witness, addr) == 0)
		return;
	g_free(reach->witness);
	reach->witness = g_strdup(addr);
}

bool reach_on_answer(struct reach *reach, const char *addr, enum reach_way way, int64_t began_us,
		     int64_t now_us)
{
	struct reach_point *point = g_hash_table_lookup(reach->points, addr);
	bool regained;

	reach_note_heard(reach, addr, began_us);
	if (way == REACH_TUNNEL) {
		if (point)
			point->verdict = REACH_NOT_HERE;
		return false;
	}
	reach->answered_us = MAX(reach->answered_us, began_us);
	if (!point || began_us < point->began_us)
		return false;
	regained = point->verdict == REACH_NOT_HERE;
	if (regained)
		reach->regained_us = now_us;
	g_hash_table_remove(reach->points, addr);
	return regained;
}

void reach_on_failure(struct reach *reach, const char *addr, int64_t began_us, int64_t now_us)
{
	struct reach_point *point = g_hash_table_lookup(reach->points, addr);

	if (!point) {
		point = g_new0(struct reach_point, 1);
		point->verdict = REACH_UNCLEAR;
		point->first_us = began_us;
		g_hash_table_insert(reach->points, g_strdup(addr), point);
	}
	point->began_us = MAX(point->began_us, began_us);
	point->failed_us = now_us;
}

void reach_on_tunnel_failure(struct reach *reach, const char *addr, int64_t now_us)
{
	struct reach_point *point = g_hash_table_lookup(reach->points, addr);

	if (!point)
		return;
	point->verdict = REACH_SILENT;
	point->silent_us = now_us;
	point->failed_us = MAX(point->failed_us, now_us);
}

enum reach_verdict reach_judge(const struct reach *reach, const char *addr)
{
	const struct reach_point *point = g_hash_table_lookup(reach->points, addr);

	return point ? point->verdict : REACH_ANSWERS;
}

enum reach_way reach_choose(const struct reach *reach, const char *addr)
{
	enum reach_verdict verdict = reach_judge(reach, addr);

	if (verdict == REACH_NOT_HERE)
		return REACH_TUNNEL;
	return verdict != REACH_SILENT && reach_is_cut(reach) ? REACH_TUNNEL : REACH_DIRECT;
}

bool reach_wants_tunnel(const struct reach *reach, const char *addr, int64_t now_us)
{
	const struct reach_point *point = g_hash_table_lookup(reach->points, addr);

	return !point || point->silent_us == 0 || now_us - point->silent_us >= REACH_OPINION_US;
}

/* Returns the bit of the verdict in a set of verdicts. */
static unsigned int reach_bit(enum reach_verdict verdict)
{
	return 1U << verdict;
}

/*
 * Counts the endpoints with one of the verdicts whose first failed call since an answer, or whose
 * latest one, began after that time.
 */
static int reach_count(const struct reach *reach, unsigned int verdicts, bool first,
		       int64_t after_us)
{
	GHashTableIter iter;
	gpointer value;
	int n = 0;

	g_hash_table_iter_init(&iter, reach->points);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct reach_point *point = value;

		n += (verdicts & reach_bit(point->verdict)) != 0 &&
		     (first ? point->first_us : point->began_us) > after_us;
	}
	return n;
}

static unsigned int reach_any_verdict(void)
{
	return reach_bit(REACH_UNCLEAR) | reach_bit(REACH_NOT_HERE) | reach_bit(REACH_SILENT);
}

bool reach_is_cut(const struct reach *reach)
{
	return reach_count(reach, reach_bit(REACH_NOT_HERE), false, reach->answered_us) >=
	       REACH_IN_A_ROW;
}

bool reach_is_doubtful(const struct reach *reach)
{
	return reach_count(reach, reach_any_verdict(), false, reach->answered_us) >= REACH_IN_A_ROW;
}

/* Returns whether the witness has one of the verdicts since it was heard. */
static bool reach_has_lost_witness(const struct reach *reach, unsigned int verdicts)
{
	const struct reach_point *point =
		reach->witness ? g_hash_table_lookup(reach->points, reach->witness) : NULL;

	return point && (verdicts & reach_bit(point->verdict)) != 0 &&
	       point->began_us > reach->heard_us;
}

/*
 * Returns whether that many endpoints with one of the verdicts tell that none answers this host.
 * Those that failed before any was heard last, and still fail, tell nothing while the witness
 * stands.
 */
static bool reach_is_unheard(const struct reach *reach, unsigned int verdicts, int min)
{
	if (reach_count(reach, verdicts, true, reach->heard_us) >= min)
		return true;
	return reach_has_lost_witness(reach, verdicts) &&
	       reach_count(reach, verdicts, false, reach->heard_us) >= min;
}

bool reach_is_alone(const struct reach *reach)
{
	return reach_is_unheard(reach, reach_any_verdict(), REACH_IN_A_ROW);
}

bool reach_is_isolated(const struct reach *reach)
{
	int min = CLAMP(reach->known, REACH_IN_A_ROW, REACH_ISOLATED_MIN);

	return reach_is_unheard(reach, reach_bit(REACH_SILENT), min);
}

const char *reach_witness_to_ask(const struct reach *reach)
{
	unsigned int any = reach_any_verdict();

	if (!reach->witness || reach_has_lost_witness(reach, any) ||
	    reach_count(reach, any, false, reach->heard_us) < REACH_IN_A_ROW)
		return NULL;
	return reach->witness;
}

void reach_drop_witness(struct reach *reach)
{
	g_clear_pointer(&reach->witness, g_free);
}

int reach_count_not_here(const struct reach *reach)
{
	return reach_count(reach, reach_bit(REACH_NOT_HERE), false, 0);
}

const char *reach_next_probe(struct reach *reach, int64_t now_us)
{
	bool regaining = reach->regained_us > 0 && now_us - reach->regained_us < REACH_REGAIN_US;
	int64_t interval_us = regaining ? REACH_REGAIN_PROBE_US : REACH_PROBE_US;
	bool isolated = reach_is_isolated(reach);
	struct reach_point *next = NULL;
	const char *next_addr = NULL;
	GHashTableIter iter;
	gpointer addr;
	gpointer value;

	if (now_us - reach->probe_us < interval_us)
		return NULL;
	g_hash_table_iter_init(&iter, reach->points);
	while (g_hash_table_iter_next(&iter, &addr, &value)) {
		struct reach_point *point = value;

		if (point->verdict != REACH_NOT_HERE && !isolated)
			continue;
		if (!next || point->probe_us < next->probe_us) {
			next = point;
			next_addr = addr;
		}
	}
	if (!next)
		return NULL;
	next->probe_us = now_us;
	reach->probe_us = now_us;
	return next_addr;
}

static gboolean reach_is_old(gpointer addr, gpointer value, gpointer before_us)
{
	const struct reach_point *point = value;

	(void)addr;
	return point->verdict != REACH_NOT_HERE && point->failed_us < *(const int64_t *)before_us;
}

void reach_expire(struct reach *reach, int64_t now_us)
{
	int64_t before_us = now_us - REACH_KEEP_US;

	g_hash_table_foreach_remove(reach->points, reach_is_old, &before_us);
}

static gboolean reach_is_unlisted(gpointer addr, gpointer value, gpointer listed)
{
	(void)value;
	return !g_hash_table_contains(listed, addr);
}

void reach_keep_listed(struct reach *reach, GHashTable *listed)
{
	g_hash_table_foreach_remove(reach->points, reach_is_unlisted, listed);
	if (reach->witness && !g_hash_table_contains(listed, reach->witness))
		reach_drop_witness(reach);
	reach->known = (int)g_hash_table_size(listed);
}
