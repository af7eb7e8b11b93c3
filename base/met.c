#include "base/met.h"

#include <ck_pr.h>
#include <pthread.h>
#include <string.h>

enum met_kind {
	MET_COUNTER, /* counter or gauge */
	MET_HISTOGRAM
};

/* A metric with its name and labels. */
struct met_item {
	enum met_kind kind;
	char *name;
	char *labels;
	union {
		struct met_ctr ctr;
		struct met_hist hist;
	} u;
};

static struct met_item *met_item(enum met_kind kind, const char *name, const char *labels);
static unsigned int met_bucket(uint64_t value);
static uint64_t met_bucket_max(unsigned int bucket);
static void met_write_item(const struct met_item *item, GString *out);

static pthread_mutex_t met_lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *met_items;	      /* struct met_item by "name{labels}" */
static GPtrArray *met_items_in_order; /* struct met_item in the order of creation */

/* Quantiles of a histogram that are written. */
static const double met_quantiles[] = {0.5, 0.95, 0.99};

/* Returns the metric with the given name and labels; creates it if there is none. */
static struct met_item *met_item(enum met_kind kind, const char *name, const char *labels)
{
	char *key = g_strdup_printf("%s{%s}", name, labels);
	struct met_item *item;

	pthread_mutex_lock(&met_lock);
	if (!met_items) {
		met_items = g_hash_table_new(g_str_hash, g_str_equal);
		met_items_in_order = g_ptr_array_new();
	}
	item = g_hash_table_lookup(met_items, key);
	if (item) {
		g_free(key);
	} else {
		item = g_new0(struct met_item, 1);
		item->kind = kind;
		item->name = g_strdup(name);
		item->labels = g_strdup(labels);
		g_hash_table_insert(met_items, key, item);
		g_ptr_array_add(met_items_in_order, item);
	}
	pthread_mutex_unlock(&met_lock);
	return item;
}

struct met_ctr *met_counter(const char *name, const char *labels)
{
	return &met_item(MET_COUNTER, name, labels)->u.ctr;
}

struct met_ctr *met_gauge(const char *name, const char *labels)
{
	return met_counter(name, labels);
}

void met_set(struct met_ctr *ctr, uint64_t value)
{
	ck_pr_store_64(&ctr->value, value);
}

void met_add(struct met_ctr *ctr, uint64_t n)
{
	ck_pr_add_64(&ctr->value, n);
}

uint64_t met_get(const struct met_ctr *ctr)
{
	return ck_pr_load_64(&ctr->value);
}

struct met_hist *met_histogram(const char *name, const char *labels)
{
	return &met_item(MET_HISTOGRAM, name, labels)->u.hist;
}

/* Returns the index of the bucket that counts value. */
static unsigned int met_bucket(uint64_t value)
{
	unsigned int power;
	unsigned int part;

	if (value < MET_HIST_PARTS)
		return (unsigned int)value;
	power = 63U - (unsigned int)__builtin_clzll(value);
	part = (unsigned int)(value >> (power - 3)) & (MET_HIST_PARTS - 1);
	return MIN((power - 2) * MET_HIST_PARTS + part, MET_HIST_BUCKETS - 1U);
}

/* Returns the largest value that the bucket counts. */
static uint64_t met_bucket_max(unsigned int bucket)
{
	unsigned int power;

	if (bucket < MET_HIST_PARTS)
		return bucket;
	power = bucket / MET_HIST_PARTS + 2;
	return ((uint64_t)(MET_HIST_PARTS + bucket % MET_HIST_PARTS + 1) << (power - 3)) - 1;
}

void met_observe(struct met_hist *hist, int64_t value_us)
{
	uint64_t value = value_us < 0 ? 0 : (uint64_t)value_us;

	ck_pr_add_64(&hist->count, 1);
	ck_pr_add_64(&hist->sum, value);
	ck_pr_add_64(&hist->buckets[met_bucket(value)], 1);
}

uint64_t met_quantile(const struct met_hist *hist, double q)
{
	uint64_t count = ck_pr_load_64(&hist->count);
	uint64_t want = (uint64_t)(q * (double)count);
	uint64_t seen = 0;

	if (count == 0)
		return 0;
	for (unsigned int i = 0; i < MET_HIST_BUCKETS; i++) {
		seen += ck_pr_load_64(&hist->buckets[i]);
		if (seen > want)
			return met_bucket_max(i);
	}
	return met_bucket_max(MET_HIST_BUCKETS - 1);
}

static void met_write_item(const struct met_item *item, GString *out)
{
	const char *comma = item->labels[0] ? "," : "";

	if (item->kind == MET_COUNTER) {
		g_string_append_printf(out, "%s{%s} %" G_GUINT64_FORMAT "\n", item->name,
				       item->labels, met_get(&item->u.ctr));
		return;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(met_quantiles); i++) {
		g_string_append_printf(out, "%s{%s%squantile=\"%g\"} %" G_GUINT64_FORMAT "\n",
				       item->name, item->labels, comma, met_quantiles[i],
				       met_quantile(&item->u.hist, met_quantiles[i]));
	}
	g_string_append_printf(out, "%s_sum{%s} %" G_GUINT64_FORMAT "\n", item->name, item->labels,
			       ck_pr_load_64(&item->u.hist.sum));
	g_string_append_printf(out, "%s_count{%s} %" G_GUINT64_FORMAT "\n", item->name,
			       item->labels, ck_pr_load_64(&item->u.hist.count));
}

void met_write(GString *out)
{
	pthread_mutex_lock(&met_lock);
	for (guint i = 0; met_items_in_order && i < met_items_in_order->len; i++)
		met_write_item(met_items_in_order->pdata[i], out);
	pthread_mutex_unlock(&met_lock);
}
