#ifndef BASE_RECENT_H
#define BASE_RECENT_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The values that a setting had of late. A client that acts by one value may be met by the next
 * one, so limits are judged by the largest value that was in force meanwhile. Times are in
 * microseconds.
 */

enum {
	RECENT_VALUES_MAX = 16 /* values that are kept; above it, older ones count for longer */
};

struct recent_value {
	int64_t from_us; /* time from which on the value is in force */
	uint64_t value;
};

struct recent {
	struct recent_value values[RECENT_VALUES_MAX]; /* oldest first */
	int count;
};

/* Sets the first value, which counts as in force at all times before. */
void recent_init(struct recent *recent, uint64_t value);

/* Puts a value in force from now_us on; times must not decrease. */
void recent_set(struct recent *recent, uint64_t value, int64_t now_us);

/* Returns the largest value that was in force at since_us or later. */
uint64_t recent_largest(const struct recent *recent, int64_t since_us);

G_END_DECLS

#endif
