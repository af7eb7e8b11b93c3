#ifndef BASE_MET_H
#define BASE_MET_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Counters, gauges and histograms by name and labels, written in the Prometheus text format.
 * A counter is one atomic word. A histogram is log-linear: each power of two is divided into 8
 * buckets, so a bucket is at most 12.5 % wide. All functions may be called from any thread.
 */
enum {
	MET_HIST_PARTS = 8,		       /* buckets for each power of two */
	MET_HIST_BUCKETS = 40 * MET_HIST_PARTS /* buckets of a histogram */
};

/* A histogram. All fields are atomic. */
struct met_hist {
	uint64_t count;			    /* number of values */
	uint64_t sum;			    /* sum of the values, in microseconds */
	uint64_t buckets[MET_HIST_BUCKETS]; /* number of values in each bucket */
};

/* A counter or a gauge; value is atomic. */
struct met_ctr {
	uint64_t value;
};

/*
 * Returns the counter with the given name and labels. The first call creates it; it is never freed.
 * labels is the text between braces, e.g. "account=\"a\"", or "".
 */
struct met_ctr *met_counter(const char *name, const char *labels);

/* Adds n to a counter. */
void met_add(struct met_ctr *ctr, uint64_t n);

/* Returns the value of a counter or a gauge. */
uint64_t met_get(const struct met_ctr *ctr);

/* Returns a gauge, a value that may also decrease. Otherwise the same as met_counter(). */
struct met_ctr *met_gauge(const char *name, const char *labels);

/* Sets the value of a gauge. */
void met_set(struct met_ctr *ctr, uint64_t value);

/* Returns a histogram of values in microseconds. Otherwise the same as met_counter(). */
struct met_hist *met_histogram(const char *name, const char *labels);

/* Adds a value to a histogram; a negative value counts as 0. */
void met_observe(struct met_hist *hist, int64_t value_us);

/*
 * Returns the quantile q (0..1) of a histogram, in microseconds, as the largest value of the bucket
 * that contains it; 0 if the histogram is empty.
 */
uint64_t met_quantile(const struct met_hist *hist, double q);

/* Appends all counters, gauges and histograms to out in the Prometheus text format. */
void met_write(GString *out);

G_END_DECLS

#endif
