#include "ep/rest.h"

#include <string.h>

bool rst_on_asked(struct rst *rest, int64_t for_us, int64_t now_us, double spread)
{
	bool is_new = !rst_is_asked(rest, now_us);

	if (for_us <= 0 || now_us + for_us <= rest->until_us)
		return false;
	if (is_new)
		rest->report_calls = 0;
	rest->until_us = now_us + for_us;
	rest->send_from_us = rest->until_us + (int64_t)(spread * RST_SPREAD_US);
	rest->trial_us = 0;
	return is_new;
}

bool rst_is_asked(const struct rst *rest, int64_t now_us)
{
	return now_us < rest->until_us;
}

bool rst_is_open(const struct rst *rest, int64_t now_us)
{
	return rst_open_us(rest, now_us) <= now_us;
}

int64_t rst_open_us(const struct rst *rest, int64_t now_us)
{
	if (rest->until_us == 0)
		return now_us;
	if (rest->trial_us == 0)
		return MAX(rest->send_from_us, now_us);
	return MAX(rest->trial_us + REST_TRIAL_US, now_us);
}

void rst_on_sent(struct rst *rest, int64_t now_us)
{
	if (rest->until_us == 0)
		return;
	if (rest->trial_us == 0)
		rest->trial_us = now_us;
	else
		memset(rest, 0, sizeof(*rest));
}

bool rst_on_taken(struct rst *rest, int64_t now_us)
{
	if (rest->trial_us == 0 || rst_is_asked(rest, now_us))
		return false;
	memset(rest, 0, sizeof(*rest));
	return true;
}

bool rst_may_call(struct rst *rest, int64_t now_us)
{
	if (!rst_is_asked(rest, now_us))
		return true;
	return rest->report_calls++ == 0;
}
