#include "quar/quar_ready.h"

bool quar_ready_may_serve(struct quar_ready *ready, int64_t now_us)
{
	if (ready->known)
		return true;
	if (ready->until_us == 0)
		ready->until_us = now_us + QUAR_READY_WAIT_US;
	return now_us >= ready->until_us;
}
