#include "lim/home.h"

#include <math.h>
#include <string.h>

/* What is saved up at the most, as a time of the limit, and at the least, in permits. */
static const double lim_saved_s = 0.5;
static const double lim_saved_least = 1;

/* What a host wanted counts half after this time. */
static const double lim_need_fade_s = 1.0;

/* Below which a host gets no permit: its last request has gone elsewhere, or was refused. */
static const double lim_need_least = 0.5;

/* Between two looks where the limit allows less. */
static const int64_t lim_wait_most_us = 1000000;

struct lim_need {
	double wanted; /* requests that would go there, fading */
	int64_t at_us;
	double turn; /* grows by each permit, the slower the more it needs; the least is next */
};

void lim_home_init(struct lim_home *home, int64_t now_us)
{
	memset(home, 0, sizeof(*home));
	home->at_us = now_us;
	home->needs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void lim_home_finish(struct lim_home *home)
{
	g_hash_table_destroy(home->needs);
}

static double lim_home_cap(double rate)
{
	return MAX(lim_saved_s * rate, lim_saved_least);
}

static void lim_home_save(struct lim_home *home, double part, int64_t now_us)
{
	double rate = lim_rate(&home->news, now_us) * part;

	home->saved += rate * (double)MAX(now_us - home->at_us, 0) / 1e6;
	home->saved = MIN(home->saved, lim_home_cap(rate));
	home->at_us = now_us;
}

void lim_home_set(struct lim_home *home, const struct lim_news *news, int64_t now_us)
{
	home->news = *news;
	home->saved = MIN(home->saved, lim_home_cap(lim_rate(news, now_us)));
}

static double lim_need_now(const struct lim_need *need, int64_t now_us)
{
	double age_s = (double)MAX(now_us - need->at_us, 0) / 1e6;

	return need->wanted * exp2(-age_s / lim_need_fade_s);
}

void lim_home_ask(struct lim_home *home, const char *host, int wanted, int returned, int64_t now_us)
{
	struct lim_need *need = g_hash_table_lookup(home->needs, host);

	home->saved = MIN(home->saved + returned, lim_home_cap(lim_rate(&home->news, now_us)));
	if (!need && wanted <= 0)
		return;
	if (!need) {
		need = g_new0(struct lim_need, 1);
		g_hash_table_insert(home->needs, g_strdup(host), need);
	}
	/* Who needed nothing for a while has no claim on what it did not take. */
	need->turn = MAX(need->turn, home->turn);
	need->wanted = lim_need_now(need, now_us) + wanted;
	need->at_us = now_us;
}

void lim_home_leave(struct lim_home *home, const char *host)
{
	g_hash_table_remove(home->needs, host);
}

/* The host whose turn it is, or NULL; those that need nothing any more are forgotten. */
static struct lim_need *lim_home_first(struct lim_home *home, const char **host, int64_t now_us)
{
	struct lim_need *first = NULL;
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, home->needs);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		struct lim_need *need = value;

		if (lim_need_now(need, now_us) < lim_need_least) {
			g_hash_table_iter_remove(&iter);
		} else if (!first || need->turn < first->turn) {
			first = need;
			*host = name;
		}
	}
	return first;
}

const char *lim_home_next(struct lim_home *home, double part, int64_t now_us)
{
	struct lim_need *need;
	const char *host = NULL;

	lim_home_save(home, part, now_us);
	if (home->saved < 1)
		return NULL;
	need = lim_home_first(home, &host, now_us);
	if (!need)
		return NULL;
	home->saved--;
	home->turn = need->turn;
	need->turn += 1 / lim_need_now(need, now_us);
	need->wanted = MAX(lim_need_now(need, now_us) - 1, 0);
	need->at_us = now_us;
	return host;
}

int64_t lim_home_wait_us(const struct lim_home *home, double part, int64_t now_us)
{
	double rate = lim_rate(&home->news, now_us) * part;
	double missing = 1 - home->saved;

	if (g_hash_table_size(home->needs) == 0)
		return -1;
	if (missing <= 0)
		return 0;
	if (missing * 1e6 >= rate * (double)lim_wait_most_us)
		return lim_wait_most_us;
	return (int64_t)(missing * 1e6 / rate) + 1;
}
