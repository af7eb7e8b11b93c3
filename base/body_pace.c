#include "base/body_pace.h"

enum {
	BODY_PACE_BYTES = 1024 /* that must come within an idle timeout */
};

void body_pace_init(struct body_pace *pace, int64_t now_us)
{
	pace->since_us = now_us;
	pace->bytes = 0;
}

bool body_pace_on_data(struct body_pace *pace, size_t n, int64_t idle_us, int64_t now_us)
{
	pace->bytes += n;
	if (pace->bytes >= BODY_PACE_BYTES) {
		body_pace_init(pace, now_us);
		return true;
	}
	return idle_us <= 0 || now_us - pace->since_us <= idle_us;
}
