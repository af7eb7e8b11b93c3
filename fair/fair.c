#include "fair/fair.h"

#include <string.h>

enum {
	USEC_PER_SEC = 1000000,
	FAIR_RETRY_MIN_US = 100000 /* minimum retry time given to callers, in microseconds */
};

static struct fair_account *fair_next_account(const struct fair *fair);
static double fair_start_tag(const struct fair *fair, const struct fair_account *account);
static void fair_remove(struct fair *fair, struct fair_account *account, GList *link);

static void fair_account_free(gpointer data)
{
	struct fair_account *account = data;

	g_queue_free_full(account->items, g_free);
	g_free(account->name);
	g_free(account);
}

void fair_init(struct fair *fair)
{
	memset(fair, 0, sizeof(*fair));
	fair->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, fair_account_free);
	fair->order = g_ptr_array_new();
	fair->rate = 1;
}

void fair_finish(struct fair *fair)
{
	g_ptr_array_free(fair->order, TRUE);
	g_hash_table_destroy(fair->accounts);
}

void fair_set_rate(struct fair *fair, double rate)
{
	fair->rate = MAX(rate, 1);
}

struct fair_account *fair_get_account(struct fair *fair, const char *name,
				      const struct fair_limits *limits)
{
	struct fair_account *account = g_hash_table_lookup(fair->accounts, name);

	if (!account) {
		account = g_new0(struct fair_account, 1);
		account->name = g_strdup(name);
		account->items = g_queue_new();
		g_hash_table_insert(fair->accounts, account->name, account);
		g_ptr_array_add(fair->order, account);
	}
	account->limits = *limits;
	return account;
}

/* Returns the virtual start time of the account's next item. */
static double fair_start_tag(const struct fair *fair, const struct fair_account *account)
{
	return MAX(fair->virtual_time, account->finish_tag);
}

/*
 * Divides the account's queued tokens by its share of the rate, on the assumption that the accounts
 * that wait now continue to have waiting items.
 */
int64_t fair_wait_us(const struct fair *fair, const struct fair_account *account)
{
	double weights = account->limits.weight;
	double rate;

	if (fair->queued == 0)
		return 0;
	for (guint i = 0; i < fair->order->len; i++) {
		const struct fair_account *other = fair->order->pdata[i];

		if (other != account && !g_queue_is_empty(other->items))
			weights += other->limits.weight;
	}
	rate = fair->rate * account->limits.weight / weights;
	return (int64_t)((double)account->queued_cost / rate * USEC_PER_SEC);
}

int fair_push(struct fair *fair, struct fair_account *account, const struct fair_item *item,
	      int64_t now_us, int64_t *retry_us)
{
	int64_t wait = fair_wait_us(fair, account);
	struct fair_item *copy;
	GList *after;

	*retry_us = MAX(wait, FAIR_RETRY_MIN_US);
	if (g_queue_get_length(account->items) >= account->limits.queue)
		return FAIR_EFULL;
	if (now_us + wait > item->deadline_us)
		return FAIR_EDEADLINE;
	copy = g_memdup2(item, sizeof(*item));
	copy->queued_us = now_us;
	after = account->items->tail;
	while (after && ((struct fair_item *)after->data)->priority < item->priority)
		after = after->prev;
	if (after)
		g_queue_insert_after(account->items, after, copy);
	else
		g_queue_push_head(account->items, copy);
	account->queued_cost += item->cost;
	fair->queued_cost += item->cost;
	fair->queued++;
	return 0;
}

/* Returns the account with the smallest start tag that has an item which may start, or NULL. */
static struct fair_account *fair_next_account(const struct fair *fair)
{
	struct fair_account *best = NULL;

	for (guint i = 0; i < fair->order->len; i++) {
		struct fair_account *account = fair->order->pdata[i];

		if (g_queue_is_empty(account->items))
			continue;
		if (account->inflight >= account->limits.inflight)
			continue;
		if (!best || fair_start_tag(fair, account) < fair_start_tag(fair, best))
			best = account;
	}
	return best;
}

static void fair_remove(struct fair *fair, struct fair_account *account, GList *link)
{
	struct fair_item *item = link->data;

	account->queued_cost -= item->cost;
	fair->queued_cost -= item->cost;
	fair->queued--;
	g_queue_delete_link(account->items, link);
	g_free(item);
}

bool fair_pop(struct fair *fair, struct fair_item *item, struct fair_account **account)
{
	struct fair_account *next = fair_next_account(fair);
	double start;

	if (!next)
		return false;
	*item = *(struct fair_item *)next->items->head->data;
	*account = next;
	start = fair_start_tag(fair, next);
	fair->virtual_time = start;
	next->finish_tag = start + (double)item->cost / next->limits.weight;
	next->inflight++;
	fair_remove(fair, next, next->items->head);
	return true;
}

void fair_requeue(struct fair *fair, struct fair_account *account, const struct fair_item *item)
{
	account->finish_tag -= (double)item->cost / account->limits.weight;
	account->inflight--;
	account->queued_cost += item->cost;
	fair->queued_cost += item->cost;
	fair->queued++;
	g_queue_push_head(account->items, g_memdup2(item, sizeof(*item)));
}

bool fair_withdraw(struct fair *fair, uint64_t id)
{
	for (guint i = 0; i < fair->order->len; i++) {
		struct fair_account *account = fair->order->pdata[i];

		for (GList *l = account->items->head; l; l = l->next) {
			if (((struct fair_item *)l->data)->id != id)
				continue;
			fair_remove(fair, account, l);
			return true;
		}
	}
	return false;
}

bool fair_expire(struct fair *fair, int64_t now_us, struct fair_item *item)
{
	for (guint i = 0; i < fair->order->len; i++) {
		struct fair_account *account = fair->order->pdata[i];

		for (GList *l = account->items->head; l; l = l->next) {
			*item = *(struct fair_item *)l->data;
			if (item->deadline_us > now_us)
				continue;
			fair_remove(fair, account, l);
			return true;
		}
	}
	return false;
}

/*
 * Corrects the finish tag by the difference from the estimate. Otherwise an account would be
 * charged for tokens that it did not receive when an answer is short, or receive tokens without
 * charge when an answer is long.
 */
void fair_complete(struct fair *fair, struct fair_account *account, uint64_t estimate,
		   uint64_t actual)
{
	(void)fair;
	account->finish_tag += ((double)actual - (double)estimate) / account->limits.weight;
	account->served += actual;
	if (account->inflight > 0)
		account->inflight--;
}

void fair_adopt(struct fair *fair, struct fair_account *account, uint64_t estimate)
{
	account->finish_tag =
		fair_start_tag(fair, account) + (double)estimate / account->limits.weight;
	account->inflight++;
}
