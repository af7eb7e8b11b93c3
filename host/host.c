#include "host/host.h"
#include "base/str.h"

#include <string.h>

enum {
	HOST_FAILURES_MAX = 4 /* failures in a row after which suspicions grow no longer */
};

static gint host_compare_names(gconstpointer a, gconstpointer b);
static const struct host *host_find_ranked(const struct host_table *table, uint64_t hash,
					   unsigned int rank, int64_t now_us);
static const struct host *host_least_suspected(const struct host_table *table);

static gint host_compare_names(gconstpointer a, gconstpointer b)
{
	const struct host *x = *(const struct host *const *)a;
	const struct host *y = *(const struct host *const *)b;

	return strcmp(x->name, y->name);
}

void host_table_init(struct host_table *table, int64_t suspect_us)
{
	table->hosts = g_ptr_array_new_with_free_func(g_free);
	table->suspect_us = suspect_us;
}

void host_table_finish(struct host_table *table)
{
	g_ptr_array_free(table->hosts, TRUE);
}

struct host *host_find(const struct host_table *table, const char *name)
{
	for (guint i = 0; i < table->hosts->len; i++) {
		struct host *host = table->hosts->pdata[i];

		if (strcmp(host->name, name) == 0)
			return host;
	}
	return NULL;
}

void host_on_list(struct host_table *table, const struct host *items, size_t n)
{
	GPtrArray *next = g_ptr_array_new_with_free_func(g_free);
	GHashTable *before = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < table->hosts->len; i++) {
		struct host *host = table->hosts->pdata[i];

		g_hash_table_insert(before, host->name, host);
	}
	for (size_t i = 0; i < n; i++) {
		struct host *copy = g_memdup2(&items[i], sizeof(items[i]));
		const struct host *old = g_hash_table_lookup(before, copy->name);

		copy->seed = str_hash(copy->name, strlen(copy->name), 0);
		copy->suspect_until_us = old ? old->suspect_until_us : 0;
		copy->failures = old ? old->failures : 0;
		g_ptr_array_add(next, copy);
	}
	g_hash_table_destroy(before);
	g_ptr_array_sort(next, host_compare_names);
	g_ptr_array_free(table->hosts, TRUE);
	table->hosts = next;
}

/*
 * The platform's list contains a dead host for a while. A host that only followed the list would
 * send each request for a grant to the dead host and wait for the timeout each time. Its own
 * observations therefore take effect at once, but only for a limited time, since the failure may be
 * that of a link and not of the host.
 */
void host_on_evidence(struct host_table *table, const char *name, enum host_evidence evidence,
		      int64_t now_us)
{
	struct host *host = host_find(table, name);

	if (!host)
		return;
	if (evidence == HOST_ANSWERED) {
		host->failures = 0;
		host->suspect_until_us = 0;
		return;
	}
	host->failures = MIN(host->failures + 1, HOST_FAILURES_MAX);
	host->suspect_until_us = now_us + table->suspect_us * host->failures;
}

/* Mixes the bits as splitmix64 does, so that similar seeds give unrelated weights. */
uint64_t host_weight(const struct host *host, uint64_t key_hash)
{
	uint64_t x = host->seed ^ key_hash;

	x = (x ^ (x >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	x = (x ^ (x >> 27)) * UINT64_C(0x94d049bb133111eb);
	return x ^ (x >> 31);
}

/* Returns whether the host can be a home: neither leaving nor suspected. */
static bool host_usable(const struct host *host, int64_t now_us)
{
	return !host->leaving && host->suspect_until_us <= now_us;
}

/* Returns the usable host whose weight is the rank-th highest (0 is the highest), or NULL. */
static const struct host *host_find_ranked(const struct host_table *table, uint64_t hash,
					   unsigned int rank, int64_t now_us)
{
	const struct host *found = NULL;
	uint64_t below = UINT64_MAX;

	for (unsigned int r = 0; r <= rank; r++) {
		uint64_t best = 0;

		found = NULL;
		for (guint i = 0; i < table->hosts->len; i++) {
			const struct host *host = table->hosts->pdata[i];
			uint64_t weight = host_weight(host, hash);

			if (!host_usable(host, now_us))
				continue;
			if (weight >= below || (found && weight <= best))
				continue;
			best = weight;
			found = host;
		}
		if (!found)
			return NULL;
		below = best;
	}
	return found;
}

/*
 * Returns the host whose suspicion ends first, preferably one that is not leaving. If all hosts are
 * suspected, the oldest suspicion is the most likely to be out of date.
 */
static const struct host *host_least_suspected(const struct host_table *table)
{
	const struct host *best = NULL;

	for (guint i = 0; i < table->hosts->len; i++) {
		const struct host *host = table->hosts->pdata[i];

		if (!best || host->leaving < best->leaving ||
		    (host->leaving == best->leaving &&
		     host->suspect_until_us < best->suspect_until_us))
			best = host;
	}
	return best;
}

const struct host *host_home(const struct host_table *table, const char *key, unsigned int rank,
			     int64_t now_us)
{
	uint64_t hash = str_hash(key, strlen(key), 0);
	const struct host *host = host_find_ranked(table, hash, rank, now_us);

	if (host || rank > 0)
		return host;
	return host_least_suspected(table);
}

unsigned int host_homes(const struct host_table *table, const char *key, const struct host **homes,
			unsigned int max, int64_t now_us)
{
	uint64_t hash = str_hash(key, strlen(key), 0);
	unsigned int n = 0;

	for (guint i = 0; i < table->hosts->len; i++) {
		const struct host *host = table->hosts->pdata[i];
		uint64_t weight = host_weight(host, hash);
		unsigned int at;

		if (!host_usable(host, now_us))
			continue;
		for (at = MIN(n, max); at > 0 && host_weight(homes[at - 1], hash) < weight; at--) {
			if (at < max)
				homes[at] = homes[at - 1];
		}
		if (at == max)
			continue;
		homes[at] = host;
		n = MIN(n + 1, max);
	}
	return n;
}

unsigned int host_live_count(const struct host_table *table)
{
	unsigned int n = 0;

	for (guint i = 0; i < table->hosts->len; i++) {
		const struct host *host = table->hosts->pdata[i];

		n += !host->leaving;
	}
	return n;
}
