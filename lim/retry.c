#include "lim/retry.h"

/* Shortest retry delay in microseconds; an earlier retry would be refused for the same reason. */
static const int64_t lim_retry_delay_min_us = 100000;

int64_t lim_retry_delay_us(struct lim_retry *retry, double rate, int64_t max_delay_us,
			   int64_t now_us)
{
	double interval_us = rate > 0 ? 1e6 / rate : (double)max_delay_us;
	int64_t wait_us;

	retry->next_us =
		MAX(retry->next_us, now_us) + (int64_t)MIN(interval_us, (double)max_delay_us);
	/* Retry times beyond max_delay_us are not assigned; later callers receive them. */
	if (retry->next_us - now_us > max_delay_us)
		retry->next_us = now_us + max_delay_us;
	wait_us = retry->next_us - now_us;
	return MAX(wait_us, MIN(lim_retry_delay_min_us, max_delay_us));
}
