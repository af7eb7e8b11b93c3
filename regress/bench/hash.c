#include "base/str.h"
#include "base/tmr.h"
#include "host/host.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

/*
 * Homes by hashing: rendezvous against random disk labeling ("Hash-based labeling techniques for
 * storage scaling"), and jump hashing. Random disk labeling puts each host at a random slot of a
 * table of P slots, P prime; a key starts at a random slot and steps by a random length until it
 * meets a host. Prints a table for docs/DESIGN.md; "make bench-hash".
 */
enum {
	BENCH_KEYS = 100000,
	BENCH_HOSTS_MAX = 400,
	BENCH_SLOTS = 1009,
	BENCH_EMPTY = -1
};

struct bench_list {
	int hosts[BENCH_HOSTS_MAX]; /* numbers of the hosts, in order of arrival */
	int count;
	int slots[BENCH_SLOTS];
};

typedef int (*bench_fn)(const struct bench_list *list, uint64_t key);

struct bench_method {
	const char *name;
	bench_fn fn;
};

/* Made once, as host_on_list() does. */
static uint64_t bench_seeds[BENCH_HOSTS_MAX];

static void bench_seeds_init(void)
{
	for (int host = 0; host < BENCH_HOSTS_MAX; host++) {
		char name[32];

		g_snprintf(name, sizeof(name), "host-%d", host);
		bench_seeds[host] = str_hash(name, strlen(name), 0);
	}
}

static int bench_rendezvous(const struct bench_list *list, uint64_t key)
{
	uint64_t best = 0;
	int found = BENCH_EMPTY;

	for (int i = 0; i < list->count; i++) {
		struct host host = {.seed = bench_seeds[list->hosts[i]]};
		uint64_t weight = host_weight(&host, key);

		if (found != BENCH_EMPTY && weight <= best)
			continue;
		best = weight;
		found = list->hosts[i];
	}
	return found;
}

static int bench_labeling(const struct bench_list *list, uint64_t key)
{
	uint64_t at = str_hash(&key, sizeof(key), 1) % BENCH_SLOTS;
	uint64_t step = str_hash(&key, sizeof(key), 2) % (BENCH_SLOTS - 1) + 1;

	while (list->slots[at] == BENCH_EMPTY)
		at = (at + step) % BENCH_SLOTS;
	return list->slots[at];
}

/* Lamping and Veach, 2014: a bucket among count; buckets are places in the list. */
static int bench_jump(const struct bench_list *list, uint64_t key)
{
	int64_t bucket = -1;
	int64_t next = 0;

	while (next < list->count) {
		bucket = next;
		key = key * UINT64_C(2862933555777941757) + 1;
		next = (int64_t)((double)(bucket + 1) *
				 ((double)(INT64_C(1) << 31) / (double)((key >> 33) + 1)));
	}
	return list->hosts[bucket];
}

static const struct bench_method bench_methods[] = {
	{"rendezvous", bench_rendezvous},
	{"random labeling", bench_labeling},
	{"jump", bench_jump},
};

/* A host's slot is drawn by its name; when it is taken the next draw counts. */
static void bench_label(struct bench_list *list)
{
	for (int i = 0; i < BENCH_SLOTS; i++)
		list->slots[i] = BENCH_EMPTY;
	for (int i = 0; i < list->count; i++) {
		uint64_t seed = bench_seeds[list->hosts[i]];
		uint64_t draw = seed;

		while (list->slots[draw % BENCH_SLOTS] != BENCH_EMPTY)
			draw = str_hash(&draw, sizeof(draw), seed);
		list->slots[draw % BENCH_SLOTS] = list->hosts[i];
	}
}

static struct bench_list bench_list_of(int count, int without_from, int without)
{
	struct bench_list list = {.count = 0};

	for (int i = 0; i < count; i++) {
		if (i < without_from || i >= without_from + without)
			list.hosts[list.count++] = i;
	}
	bench_label(&list);
	return list;
}

static uint64_t bench_key(int i)
{
	return str_hash(&i, sizeof(i), 7);
}

static double bench_moved(bench_fn fn, const struct bench_list *a, const struct bench_list *b)
{
	int moved = 0;

	for (int i = 0; i < BENCH_KEYS; i++)
		moved += fn(a, bench_key(i)) != fn(b, bench_key(i));
	return 100.0 * moved / BENCH_KEYS;
}

static void bench_row(int hosts, const struct bench_method *method)
{
	struct bench_list list = bench_list_of(hosts, 0, 0);
	struct bench_list lost = bench_list_of(hosts, hosts / 2, 1);
	struct bench_list behind = bench_list_of(hosts, hosts / 3, MAX(hosts / 50, 1));
	int load[BENCH_HOSTS_MAX] = {0};
	double mean = (double)BENCH_KEYS / hosts;
	double square = 0;
	int most = 0;
	int64_t start = tmr_now();
	double ns;

	for (int i = 0; i < BENCH_KEYS; i++)
		load[method->fn(&list, bench_key(i))]++;
	ns = (double)(tmr_now() - start) * 1000 / BENCH_KEYS;
	for (int h = 0; h < hosts; h++) {
		most = MAX(most, load[h]);
		square += (load[h] - mean) * (load[h] - mean);
	}
	printf("| %d | %s | %.2f | %.3f | %.2f | %.2f | %.2f | %.0f |\n", hosts, method->name,
	       most / mean, sqrt(square / hosts) / mean, 100.0 / hosts,
	       bench_moved(method->fn, &list, &lost), bench_moved(method->fn, &list, &behind), ns);
}

int main(void)
{
	static const int sizes[] = {7, 370};

	bench_seeds_init();
	printf("| hosts | method | fullest / mean | deviation / mean | least that must move on a loss "
	       "%% | moved %% | differ when one list lacks 2 %% of hosts %% | ns a look-up |\n"
	       "|---|---|---|---|---|---|---|---|\n");
	for (size_t s = 0; s < G_N_ELEMENTS(sizes); s++) {
		for (size_t m = 0; m < G_N_ELEMENTS(bench_methods); m++)
			bench_row(sizes[s], &bench_methods[m]);
	}
	return 0;
}
