#ifndef BASE_MET_H
#define BASE_MET_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Counters, gauges and histograms by name and labels, written out in the Prometheus text format.
 * A counter is one atomic word. A histogram is log-linear: 8 parts to each power of two, so a
 * bucket is at most 12.5 % wide. All functions may be called from any thread.
 */
enum {
	MET_HIST_PARTS = 8,
	MET_HIST_BUCKETS = 40 * MET_HIST_PARTS
};

struct met_hist {
	uint64_t count;
	uint64_t sum;
	uint64_t buckets[MET_HIST_BUCKETS];
};

struct met_ctr {
	uint64_t value;
};

/*
 * Returns the counter of that name and labels, made at the first call; it lives as long as the
 * process. labels is the text between braces, e.g. "account=\"a\"", or "".
 */
struct met_ctr *met_counter(const char *name, const char *labels);
void met_add(struct met_ctr *ctr, uint64_t n);
uint64_t met_get(const struct met_ctr *ctr);

/* As met_counter(), for a value that goes up and down. */
struct met_ctr *met_gauge(const char *name, const char *labels);
void met_set(struct met_ctr *ctr, uint64_t value);

/* As met_counter(); values are microseconds. */
struct met_hist *met_histogram(const char *name, const char *labels);
void met_observe(struct met_hist *hist, int64_t value_us);

/* Upper edge of the bucket in which the q-th part (0..1) of the values lies; 0 when empty. */
uint64_t met_quantile(const struct met_hist *hist, double q);

/* Appends all counters and histograms in the Prometheus text format. */
void met_write(GString *out);

G_END_DECLS

#endif
