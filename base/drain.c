#include "base/drain.h"

enum drain_step drain_check(struct drain *drain, bool open, bool must_refuse)
{
	bool idle;

	drain->idle_checks = open ? 0 : drain->idle_checks + 1;
	idle = drain->idle_checks >= DRAIN_IDLE_CHECKS;
	if (!drain->refusing && (idle || must_refuse)) {
		drain->refusing = true;
		drain->idle_checks = 0;
		return DRAIN_REFUSE;
	}
	return drain->refusing && idle ? DRAIN_END : DRAIN_WAIT;
}
