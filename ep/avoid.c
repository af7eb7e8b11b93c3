#include "ep/avoid.h"

/* Length of the first period: full memory has room again within some 100 ms, as requests end. */
static const int64_t avoid_first_us = 700000;

/* Longest period: the entry of a dead endpoint expires from the list within about 4 s. */
static const int64_t avoid_max_us = 4000000;

/* Shortest extension of a running period that avoid_extend() makes. */
static const int64_t avoid_min_extension_us = 500000;

int64_t avoid_on_fault(struct avoid_period *avoid, int64_t now_us)
{
	int64_t for_us = avoid_first_us;

	if (avoid_is_active(avoid, now_us))
		return 0;
	for (int i = 0; i < avoid->faults && for_us < avoid_max_us; i++)
		for_us *= 2;
	for_us = MIN(for_us, avoid_max_us);
	avoid->faults++;
	avoid->fault_us = now_us;
	avoid->until_us = now_us + for_us;
	return for_us;
}

void avoid_on_served(struct avoid_period *avoid, int64_t sent_us)
{
	if (sent_us > avoid->fault_us)
		avoid->faults = 0;
}

bool avoid_extend(struct avoid_period *avoid, int64_t for_us, int64_t now_us)
{
	if (avoid->until_us + avoid_min_extension_us >= now_us + for_us)
		return false;
	avoid->until_us = now_us + for_us;
	return true;
}

bool avoid_is_active(const struct avoid_period *avoid, int64_t now_us)
{
	return avoid->until_us > now_us;
}
