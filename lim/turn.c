#include "lim/turn.h"

/* Callers told to come back sooner would meet the same shortage. */
static const int64_t lim_turn_least_us = 100000;

int64_t lim_turn_wait_us(struct lim_turn *turn, double rate, int64_t most_us, int64_t now_us)
{
	double step_us = rate > 0 ? 1e6 / rate : (double)most_us;
	int64_t wait_us;

	turn->next_us = MAX(turn->next_us, now_us) + (int64_t)MIN(step_us, (double)most_us);
	/* Turns that callers will not wait for are none; those that come later get them. */
	if (turn->next_us - now_us > most_us)
		turn->next_us = now_us + most_us;
	wait_us = turn->next_us - now_us;
	return MAX(wait_us, MIN(lim_turn_least_us, most_us));
}
