#include "router/reg_delay.h"
#include "base/str.h"

#include <stdbool.h>
#include <string.h>

enum {
	REG_US_PER_MS = 1000
};

int64_t reg_delay_us(const char *name, unsigned int known_hosts, int64_t since_start_us)
{
	int64_t at_us = (int64_t)(str_hash(name, strlen(name), 0) % REG_SPREAD_MS) * REG_US_PER_MS;
	bool list_was_read = since_start_us >= (int64_t)REG_FIRST_READ_MS * REG_US_PER_MS;

	return list_was_read && known_hosts < REG_ENOUGH_HOSTS ? 0 : MAX(at_us - since_start_us, 0);
}
