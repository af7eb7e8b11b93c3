#include "base/recent.h"

#include <string.h>

void recent_init(struct recent *recent, uint64_t value)
{
	recent->values[0] = (struct recent_value){.from_us = INT64_MIN, .value = value};
	recent->count = 1;
}

/* Merges the two oldest values into the larger one. */
static void recent_merge_oldest(struct recent *recent)
{
	struct recent_value *values = recent->values;

	values[0].value = MAX(values[0].value, values[1].value);
	recent->count--;
	memmove(&values[1], &values[2], sizeof(values[0]) * (size_t)(recent->count - 1));
}

void recent_set(struct recent *recent, uint64_t value, int64_t now_us)
{
	if (recent->values[recent->count - 1].value == value)
		return;
	if (recent->count == RECENT_VALUES_MAX)
		recent_merge_oldest(recent);
	recent->values[recent->count++] = (struct recent_value){.from_us = now_us, .value = value};
}

uint64_t recent_largest(const struct recent *recent, int64_t since_us)
{
	int i = recent->count - 1;
	uint64_t largest = recent->values[i].value;

	while (i > 0 && recent->values[i].from_us > since_us) {
		i--;
		largest = MAX(largest, recent->values[i].value);
	}
	return largest;
}
