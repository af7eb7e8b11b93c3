#include "ep/rest.h"

#include <string.h>

bool rest_on_asked(struct rest_period *rest, int64_t for_us, int64_t now_us, double spread)
{
	bool is_new = !rest_is_active(rest, now_us);

	if (for_us <= 0 || now_us + for_us <= rest->until_us)
		return false;
	if (is_new)
		rest->report_calls = 0;
	rest->until_us = now_us + for_us;
	rest->send_from_us = rest->until_us + (int64_t)(spread * REST_SPREAD_US);
	rest->trial_us = 0;
	return is_new;
}

bool rest_is_active(const struct rest_period *rest, int64_t now_us)
{
	return now_us < rest->until_us;
}

bool rest_allows_request(const struct rest_period *rest, int64_t now_us)
{
	return rest_next_request_us(rest, now_us) <= now_us;
}

int64_t rest_next_request_us(const struct rest_period *rest, int64_t now_us)
{
	if (rest->until_us == 0)
		return now_us;
	if (rest->trial_us == 0)
		return MAX(rest->send_from_us, now_us);
	return MAX(rest->trial_us + REST_TRIAL_US, now_us);
}

void rest_on_sent(struct rest_period *rest, int64_t now_us)
{
	if (rest->until_us == 0)
		return;
	if (rest->trial_us == 0)
		rest->trial_us = now_us;
	else
		memset(rest, 0, sizeof(*rest));
}

bool rest_on_accepted(struct rest_period *rest, int64_t now_us)
{
	if (rest->trial_us == 0 || rest_is_active(rest, now_us))
		return false;
	memset(rest, 0, sizeof(*rest));
	return true;
}

bool rest_allows_report_call(struct rest_period *rest, int64_t now_us)
{
	if (!rest_is_active(rest, now_us))
		return true;
	return rest->report_calls++ == 0;
}
