#include "base/str.h"
#include "base/tmr.h"
#include "host/host.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

/*
 * Compares three hash methods that map a key to its home host: rendezvous hashing, random disk
 * labeling ("Hash-based labeling techniques for storage scaling") and jump hashing. Random disk
 * labeling puts each host at a random slot of a table of P slots, P prime; a look-up starts at a
 * random slot and advances by a random step, both derived from the key, until it finds a host. Run
 * by "make bench-hash"; prints the table in docs/DESIGN.md.
 */
enum {
	BENCH_KEYS = 100000,   /* number of keys that are looked up for each table row */
	BENCH_HOSTS_MAX = 400, /* capacity of a host list, in hosts */
	BENCH_SLOTS = 1009,    /* slots in the table; a prime, so any step visits every slot */
	BENCH_NO_HOST = -1     /* host number of an empty slot, or the result if no host is found */
};

/* Hosts among which keys are distributed, as a list and as a random labeling table. */
struct bench_list {
	int hosts[BENCH_HOSTS_MAX]; /* host numbers, in ascending order */
	int count;		    /* number of entries used in hosts */
	int slots[BENCH_SLOTS];	    /* host number in each slot, or BENCH_NO_HOST */
};

/* Returns the number of the host that is the key's home. */
typedef int (*bench_lookup_fn)(const struct bench_list *list, uint64_t key);

/* Hash method under comparison. */
struct bench_method {
	const char *name;	/* name in the printed table */
	bench_lookup_fn lookup; /* finds a key's home */
};

/* Hash seed of each host number, computed once, as host_on_list() computes it for a listed host. */
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
	int found = BENCH_NO_HOST;

	for (int i = 0; i < list->count; i++) {
		struct host host = {.seed = bench_seeds[list->hosts[i]]};
		uint64_t weight = host_weight(&host, key);

		if (found != BENCH_NO_HOST && weight <= best)
			continue;
		best = weight;
		found = list->hosts[i];
	}
	return found;
}

static int bench_random_labeling(const struct bench_list *list, uint64_t key)
{
	uint64_t at = str_hash(&key, sizeof(key), 1) % BENCH_SLOTS;
	uint64_t step = str_hash(&key, sizeof(key), 2) % (BENCH_SLOTS - 1) + 1;

	while (list->slots[at] == BENCH_NO_HOST)
		at = (at + step) % BENCH_SLOTS;
	return list->slots[at];
}

/* Jump consistent hash (Lamping and Veach, 2014). A bucket is an index in the list of hosts. */
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
	{"random labeling", bench_random_labeling},
	{"jump", bench_jump},
};

/* Puts each host at a slot derived from its seed; if the slot is occupied, hashes again. */
static void bench_fill_slots(struct bench_list *list)
{
	for (int i = 0; i < BENCH_SLOTS; i++)
		list->slots[i] = BENCH_NO_HOST;
	for (int i = 0; i < list->count; i++) {
		uint64_t seed = bench_seeds[list->hosts[i]];
		uint64_t draw = seed;

		while (list->slots[draw % BENCH_SLOTS] != BENCH_NO_HOST)
			draw = str_hash(&draw, sizeof(draw), seed);
		list->slots[draw % BENCH_SLOTS] = list->hosts[i];
	}
}

/* Makes a list of hosts 0 to count - 1, without the omit_count hosts that start at omit_from. */
static struct bench_list bench_make_list(int count, int omit_from, int omit_count)
{
	struct bench_list list = {.count = 0};

	for (int i = 0; i < count; i++) {
		if (i < omit_from || i >= omit_from + omit_count)
			list.hosts[list.count++] = i;
	}
	bench_fill_slots(&list);
	return list;
}

static uint64_t bench_key(int i)
{
	return str_hash(&i, sizeof(i), 7);
}

/* Returns the percentage of keys whose home differs between two lists. */
static double bench_moved_percent(bench_lookup_fn lookup, const struct bench_list *a,
				  const struct bench_list *b)
{
	int moved = 0;

	for (int i = 0; i < BENCH_KEYS; i++)
		moved += lookup(a, bench_key(i)) != lookup(b, bench_key(i));
	return 100.0 * moved / BENCH_KEYS;
}

/* Measures one method with a number of hosts and prints its table row. */
static void bench_print_row(int hosts, const struct bench_method *method)
{
	struct bench_list list = bench_make_list(hosts, 0, 0);
	struct bench_list lost = bench_make_list(hosts, hosts / 2, 1);
	struct bench_list incomplete = bench_make_list(hosts, hosts / 3, MAX(hosts / 50, 1));
	int load[BENCH_HOSTS_MAX] = {0};
	double mean = (double)BENCH_KEYS / hosts;
	double square = 0;
	int most = 0;
	int64_t start = tmr_now();
	double ns;

	for (int i = 0; i < BENCH_KEYS; i++)
		load[method->lookup(&list, bench_key(i))]++;
	ns = (double)(tmr_now() - start) * 1000 / BENCH_KEYS;
	for (int h = 0; h < hosts; h++) {
		most = MAX(most, load[h]);
		square += (load[h] - mean) * (load[h] - mean);
	}
	printf("| %d | %s | %.2f | %.3f | %.2f | %.2f | %.2f | %.0f |\n", hosts, method->name,
	       most / mean, sqrt(square / hosts) / mean, 100.0 / hosts,
	       bench_moved_percent(method->lookup, &list, &lost),
	       bench_moved_percent(method->lookup, &list, &incomplete), ns);
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
			bench_print_row(sizes[s], &bench_methods[m]);
	}
	return 0;
}
