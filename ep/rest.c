#include "ep/rest.h"

#include <string.h>

bool rst_on_asked(struct rst *rst, int64_t for_us, int64_t now_us, double spread)
{
	bool is_new = !rst_is_asked(rst, now_us);

	if (for_us <= 0 || now_us + for_us <= rst->until_us)
		return false;
	if (is_new)
		rst->report_calls = 0;
	rst->until_us = now_us + for_us;
	rst->send_from_us = rst->until_us + (int64_t)(spread * RST_SPREAD_US);
	rst->trial_us = 0;
	return is_new;
}

bool rst_is_asked(const struct rst *rst, int64_t now_us)
{
	return now_us < rst->until_us;
}

bool rst_is_open(const struct rst *rst, int64_t now_us)
{
	return rst_open_us(rst, now_us) <= now_us;
}

int64_t rst_open_us(const struct rst *rst, int64_t now_us)
{
	if (rst->until_us == 0)
		return now_us;
	if (rst->trial_us == 0)
		return MAX(rst->send_from_us, now_us);
	return MAX(rst->trial_us + REST_TRIAL_US, now_us);
}

void rst_on_sent(struct rst *rst, int64_t now_us)
{
	if (rst->until_us == 0)
		return;
	if (rst->trial_us == 0)
		rst->trial_us = now_us;
	else
		memset(rst, 0, sizeof(*rst));
}

bool rst_on_taken(struct rst *rst, int64_t now_us)
{
	if (rst->trial_us == 0 || rst_is_asked(rst, now_us))
		return false;
	memset(rst, 0, sizeof(*rst));
	return true;
}

bool rst_may_call(struct rst *rst, int64_t now_us)
{
	if (!rst_is_asked(rst, now_us))
		return true;
	return rst->report_calls++ == 0;
}
