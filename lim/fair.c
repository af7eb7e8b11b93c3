#include "lim/fair.h"

#include <math.h>

/* What an account has used counts half after this time. */
static const double lim_use_fade_s = 10;

/* For which an account counts as one that wants a permit. */
static const int64_t lim_lacked_us = 400000;

struct lim_use {
	double used;
	int64_t used_us;
	int64_t lacked_us; /* when it last lacked a permit; 0: never */
};

void lim_fair_init(struct lim_fair *fair)
{
	fair->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void lim_fair_finish(struct lim_fair *fair)
{
	g_hash_table_destroy(fair->accounts);
}

static struct lim_use *lim_fair_of(struct lim_fair *fair, const char *account)
{
	struct lim_use *use = g_hash_table_lookup(fair->accounts, account);

	if (!use) {
		use = g_new0(struct lim_use, 1);
		g_hash_table_insert(fair->accounts, g_strdup(account), use);
	}
	return use;
}

static double lim_used(const struct lim_use *use, int64_t now_us)
{
	double age_s = (double)(now_us - use->used_us) / 1e6;

	return use->used * exp2(-age_s / lim_use_fade_s);
}

bool lim_fair_may_take(const struct lim_fair *fair, const char *account, int64_t now_us)
{
	const struct lim_use *own = g_hash_table_lookup(fair->accounts, account);
	double used = own ? lim_used(own, now_us) : 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fair->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct lim_use *use = value;

		if (use == own || use->lacked_us == 0 || now_us - use->lacked_us > lim_lacked_us)
			continue;
		if (lim_used(use, now_us) < used)
			return false;
	}
	return true;
}

void lim_fair_took(struct lim_fair *fair, const char *account, int64_t now_us)
{
	struct lim_use *use = lim_fair_of(fair, account);

	use->used = lim_used(use, now_us) + 1;
	use->used_us = now_us;
	use->lacked_us = 0;
}

void lim_fair_lacked(struct lim_fair *fair, const char *account, int64_t now_us)
{
	lim_fair_of(fair, account)->lacked_us = now_us;
}
