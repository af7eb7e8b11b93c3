#include "base/drain.h"

enum drain_step drain_check(struct drain *drain, bool open, bool must_quiesce)
{
	bool idle;

	drain->idle_checks = open ? 0 : drain->idle_checks + 1;
	idle = drain->idle_checks >= DRAIN_IDLE_CHECKS;
	if (!drain->quiesced && (idle || must_quiesce)) {
		drain->quiesced = true;
		drain->idle_checks = 0;
		return DRAIN_QUIESCE;
	}
	return drain->quiesced && idle ? DRAIN_END : DRAIN_WAIT;
}
