#include "ep/doubt.h"

/* Length of the first period: full memory has room again within some 100 ms, as requests end. */
static const int64_t avoid_first_us = 700000;

/* Longest period: the entry of a dead endpoint expires from the list within about 4 s. */
static const int64_t avoid_max_us = 4000000;

/* Shortest extension of a running period that dbt_set() makes. */
static const int64_t avoid_min_extension_us = 500000;

int64_t dbt_on_fault(struct dbt *dbt, int64_t now_us)
{
	int64_t for_us = avoid_first_us;

	if (dbt_is_set(dbt, now_us))
		return 0;
	for (int i = 0; i < dbt->faults && for_us < avoid_max_us; i++)
		for_us *= 2;
	for_us = MIN(for_us, avoid_max_us);
	dbt->faults++;
	dbt->fault_us = now_us;
	dbt->until_us = now_us + for_us;
	return for_us;
}

void dbt_on_served(struct dbt *dbt, int64_t sent_us)
{
	if (sent_us > dbt->fault_us)
		dbt->faults = 0;
}

bool dbt_set(struct dbt *dbt, int64_t for_us, int64_t now_us)
{
	if (dbt->until_us + avoid_min_extension_us >= now_us + for_us)
		return false;
	dbt->until_us = now_us + for_us;
	return true;
}

bool dbt_is_set(const struct dbt *dbt, int64_t now_us)
{
	return dbt->until_us > now_us;
}
