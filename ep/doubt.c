#include "ep/doubt.h"

/* Length of the first period: full memory has room again within some 100 ms, as requests end. */
static const int64_t avoid_first_us = 700000;

/* Longest period: the entry of a dead endpoint expires from the list within about 4 s. */
static const int64_t avoid_max_us = 4000000;

/* Shortest extension of a running period that dbt_set() makes. */
static const int64_t avoid_min_extension_us = 500000;

int64_t dbt_on_fault(struct dbt *avoid, int64_t now_us)
{
	int64_t for_us = avoid_first_us;

	if (dbt_is_set(avoid, now_us))
		return 0;
	for (int i = 0; i < avoid->faults && for_us < avoid_max_us; i++)
		for_us *= 2;
	for_us = MIN(for_us, avoid_max_us);
	avoid->faults++;
	avoid->fault_us = now_us;
	avoid->until_us = now_us + for_us;
	return for_us;
}

void dbt_on_served(struct dbt *avoid, int64_t sent_us)
{
	if (sent_us > avoid->fault_us)
		avoid->faults = 0;
}

bool dbt_set(struct dbt *avoid, int64_t for_us, int64_t now_us)
{
	if (avoid->until_us + avoid_min_extension_us >= now_us + for_us)
		return false;
	avoid->until_us = now_us + for_us;
	return true;
}

bool dbt_is_set(const struct dbt *avoid, int64_t now_us)
{
	return avoid->until_us > now_us;
}
