#include "share/share.h"

#include <math.h>

/* What was used counts half after this time: some times as long as a stream lasts. */
static const double sh_fade_s = 10;

/* Tokens below which an account is not active any more. */
static const double sh_active = 100;

/* Multiples of an equal part from which an account stands back by one and by two steps. */
static const double sh_over = 2;
static const double sh_far_over = 4;

enum {
	SH_STEP = 2, /* of urgency; leaves room for priorities between */
	SH_PRIORITY_MOST = 2
};

void sh_init(struct sh *sh)
{
	sh->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void sh_finish(struct sh *sh)
{
	g_hash_table_destroy(sh->accounts);
}

double sh_used(const struct sh_account *account, int64_t now_us)
{
	double age_s = (double)(now_us - account->used_us) / 1e6;

	return account->used * exp2(-age_s / sh_fade_s);
}

static void sh_fade(struct sh_account *account, int64_t now_us)
{
	account->used = sh_used(account, now_us);
	account->used_us = now_us;
}

/* An equal part of what all active accounts have used. */
static double sh_equal_part(struct sh *sh, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;
	double used = 0;
	int active = 0;

	g_hash_table_iter_init(&iter, sh->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct sh_account *account = value;

		sh_fade(account, now_us);
		used += account->used;
		active += account->used >= sh_active;
	}
	return used / MAX(active, 1);
}

static struct sh_account *sh_account(struct sh *sh, const char *name, int64_t now_us)
{
	struct sh_account *account = g_hash_table_lookup(sh->accounts, name);

	if (!account) {
		account = g_new0(struct sh_account, 1);
		account->used_us = now_us;
		g_hash_table_insert(sh->accounts, g_strdup(name), account);
	}
	return account;
}

int sh_charge(struct sh *sh, const char *name, double tokens, int64_t priority, int64_t now_us)
{
	struct sh_account *account = sh_account(sh, name, now_us);
	double part = sh_equal_part(sh, now_us);
	int urgency = SH_USUAL - SH_PRIORITY_MOST + (int)CLAMP(priority, 0, SH_PRIORITY_MOST);

	account->used += tokens;
	if (account->used > sh_over * part + tokens)
		urgency += SH_STEP;
	if (account->used > sh_far_over * part + tokens)
		urgency += SH_STEP;
	return MIN(urgency, (int)SH_LEAST_URGENT);
}
