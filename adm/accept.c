#include "adm/accept.h"

/* A request that had hardly waited was not held up by others, however long ago the last one was. */
int64_t accept_mean_pace_us(int64_t pace_us, int64_t since_us, int64_t lag_us)
{
	return pace_us + (MIN(since_us, lag_us) - pace_us) / ACCEPT_PACE_PARTS;
}

/*
 * What was handled before the present requests came does not count, but for the time that one
 * takes. A host that had been idle would close the second of two connections that are made at once.
 */
bool accept_must_refuse(const struct accept_state *state, int64_t now_us)
{
	bool is_handling = state->handled_us >= state->since_us;

	if (state->waiting == 0 || state->hosts <= 1)
		return false;
	if (is_handling && state->lag_us >= ACCEPT_LAG_MAX_US)
		return true;
	if (state->waiting * state->pace_us >= ACCEPT_LAG_MAX_US)
		return true;
	return now_us - MAX(state->handled_us, state->since_us) >= ACCEPT_LAG_MAX_US;
}
