#include "share/share.h"

#include <math.h>

/* Half-life of token usage in seconds; a few times the duration of a stream. */
static const double sh_half_life_s = 10;

/* Usage in tokens below which an account doesn't count as active. */
static const double sh_active_tokens_min = 100;

/* Multiples of an equal share above which the urgency is lowered by one step and by two steps. */
static const double sh_first_step_multiple = 2;
static const double sh_second_step_multiple = 4;

enum {
	/* Amount by which a step lowers the urgency; priorities lie in between. */
	SH_URGENCY_STEP = 2,
	/* Highest number of a priority that is distinguished. */
	SH_PRIORITY_MAX = 2
};

void sh_init(struct sh *sh)
{
	sh->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void sh_finish(struct sh *sh)
{
	g_hash_table_destroy(sh->accounts);
}

double sh_tokens_used(const struct sh_account *account, int64_t now_us)
{
	double age_s = (double)(now_us - account->used_us) / 1e6;

	return account->used * exp2(-age_s / sh_half_life_s);
}

static void sh_apply_decay(struct sh_account *account, int64_t now_us)
{
	account->used = sh_tokens_used(account, now_us);
	account->used_us = now_us;
}

/* Returns the total token usage divided by the number of active accounts. */
static double sh_equal_share(struct sh *sh, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;
	double used = 0;
	int active = 0;

	g_hash_table_iter_init(&iter, sh->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct sh_account *account = value;

		sh_apply_decay(account, now_us);
		used += account->used;
		active += account->used >= sh_active_tokens_min;
	}
	return used / MAX(active, 1);
}

static struct sh_account *sh_find_or_add_account(struct sh *sh, const char *name, int64_t now_us)
{
	struct sh_account *account = g_hash_table_lookup(sh->accounts, name);

	if (!account) {
		account = g_new0(struct sh_account, 1);
		account->used_us = now_us;
		g_hash_table_insert(sh->accounts, g_strdup(name), account);
	}
	return account;
}

/* Returns how many steps the account's usage is above an equal share. */
static int sh_overuse(const struct sh_account *account, double equal_share, double tokens)
{
	return (account->used > sh_first_step_multiple * equal_share + tokens) +
	       (account->used > sh_second_step_multiple * equal_share + tokens);
}

/* Returns the urgency at that level of the class; classes divide the range of urgencies evenly. */
static int sh_class_urgency(const struct sh_priority *priority, int level)
{
	int rank = CLAMP(priority->class_rank, 0, priority->class_count - 1);
	int first = rank * (SH_URGENCY_LOWEST + 1) / priority->class_count;
	int next = (rank + 1) * (SH_URGENCY_LOWEST + 1) / priority->class_count;

	return MAX(MIN(first + level, next - 1), first);
}

int sh_charge(struct sh *sh, const char *name, double tokens, const struct sh_priority *priority,
	      int64_t now_us)
{
	struct sh_account *account = sh_find_or_add_account(sh, name, now_us);
	double equal_share = sh_equal_share(sh, now_us);
	int level = (int)CLAMP(priority->priority, 0, SH_PRIORITY_MAX);
	int overuse;

	account->used += tokens;
	overuse = sh_overuse(account, equal_share, tokens);
	if (priority->class_count > 1)
		return sh_class_urgency(priority, level + overuse);
	return MIN(SH_URGENCY_DEFAULT - SH_PRIORITY_MAX + level + SH_URGENCY_STEP * overuse,
		   (int)SH_URGENCY_LOWEST);
}
