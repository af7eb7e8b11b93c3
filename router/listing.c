#include "router/listing.h"
#include "base/str.h"

#include <stdbool.h>
#include <string.h>

enum {
	LS_US_PER_MS = 1000
};

int64_t ls_wait_us(const char *name, unsigned int known, int64_t since_start_us)
{
	int64_t at_us = (int64_t)(str_hash(name, strlen(name), 0) % LS_SPREAD_MS) * LS_US_PER_MS;
	bool looked = since_start_us >= (int64_t)LS_LOOK_MS * LS_US_PER_MS;

	return looked && known < LS_FEW_HOSTS ? 0 : MAX(at_us - since_start_us, 0);
}
