#include "lim/fair.h"

#include <math.h>

/* Half-life of the number of permits that an account has used, in seconds. */
static const double lim_usage_half_life_s = 10;

/* Time in microseconds for which an account counts as short of permits. */
static const int64_t lim_shortage_valid_us = 400000;

struct lim_usage {
	/* Number of permits used up to decayed_us, with exponential decay. */
	double permits_used;
	/* Time to which the decay is applied, in microseconds. */
	int64_t decayed_us;
	/* Time at which the account last lacked a permit, in microseconds; 0 if never. */
	int64_t shortage_us;
};

void lim_fair_init(struct lim_fair *fair)
{
	fair->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void lim_fair_finish(struct lim_fair *fair)
{
	g_hash_table_destroy(fair->accounts);
}

static struct lim_usage *lim_fair_find_or_add(struct lim_fair *fair, const char *account)
{
	struct lim_usage *usage = g_hash_table_lookup(fair->accounts, account);

	if (!usage) {
		usage = g_new0(struct lim_usage, 1);
		g_hash_table_insert(fair->accounts, g_strdup(account), usage);
	}
	return usage;
}

static double lim_current_usage(const struct lim_usage *usage, int64_t now_us)
{
	double age_s = (double)(now_us - usage->decayed_us) / 1e6;

	return usage->permits_used * exp2(-age_s / lim_usage_half_life_s);
}

bool lim_fair_may_use_permit(const struct lim_fair *fair, const char *account, int64_t now_us)
{
	const struct lim_usage *own = g_hash_table_lookup(fair->accounts, account);
	double permits_used = own ? lim_current_usage(own, now_us) : 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, fair->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct lim_usage *usage = value;

		if (usage == own || usage->shortage_us == 0 ||
		    now_us - usage->shortage_us > lim_shortage_valid_us)
			continue;
		if (lim_current_usage(usage, now_us) < permits_used)
			return false;
	}
	return true;
}

void lim_fair_count_permit(struct lim_fair *fair, const char *account, int64_t now_us)
{
	struct lim_usage *usage = lim_fair_find_or_add(fair, account);

	usage->permits_used = lim_current_usage(usage, now_us) + 1;
	usage->decayed_us = now_us;
	usage->shortage_us = 0;
}

void lim_fair_count_shortage(struct lim_fair *fair, const char *account, int64_t now_us)
{
	lim_fair_find_or_add(fair, account)->shortage_us = now_us;
}
