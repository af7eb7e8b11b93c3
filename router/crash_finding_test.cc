#include "base/err.h"
#include "router/crash_finding.h"

#include <gtest/gtest.h>

namespace
{

/* Guards against sound endpoints that are told to all hosts as ended when a host's connections are
 * cut. */
TEST(CrashFindingTest, FindingFollowsFromTheEvidence)
{
	crash_evidence alone = {}, heard = {}, restarted = {}, replaced = {}, same = {}, data = {},
		       sending = {}, last_data = {}, still = {}, silent = {}, cut = {};
	alone.host_is_alone = true;
	alone.heard_since_refusal = true;
	heard.heard_since_refusal = true;
	heard.heard_during_probe = true;
	restarted.has_restarted = true;
	replaced.is_replaced = true;
	same.is_same_incarnation = true;
	data.sent_data = true;
	sending.heard_during_probe = true;
	still = silent = heard;
	still.silent_ms = CRASH_SILENT_MS - 1;
	silent.silent_ms = cut.silent_ms = CRASH_SILENT_MS;
	last_data = heard;
	last_data.sent_data = true;
	const struct {
		const char *what;
		crash_evidence evidence;
		int status, err, tries;
		crash_finding finding;
	} cases[] = {
		{"refused, others are heard", heard, 0, BASE_EREFUSED, 1, CRASH_ENDED},
		{"refused, nobody is heard yet", {}, 0, BASE_EREFUSED, 1, CRASH_UNCLEAR},
		{"refused again", {}, 0, BASE_EREFUSED, CRASH_REFUSALS - 1, CRASH_UNCLEAR},
		{"refused too often", {}, 0, BASE_EREFUSED, CRASH_REFUSALS, CRASH_ENDED},
		{"refused, others go on sending on older connections", sending, 0, BASE_EREFUSED, 1,
		 CRASH_UNCLEAR},
		{"refused, and its last data is read meanwhile", last_data, 0, BASE_EREFUSED, 1,
		 CRASH_UNCLEAR},
		{"refuses again and again and goes on sending", last_data, 0, BASE_EREFUSED,
		 CRASH_REFUSALS, CRASH_RESPONDING},
		{"refused by all", alone, 0, BASE_EREFUSED, CRASH_REFUSALS, CRASH_UNCLEAR},
		{"timeout, others are heard", heard, 0, BASE_ETIMEOUT, 1, CRASH_UNCLEAR},
		{"timeouts for as long as a sound one may stand still", still, 0, BASE_ETIMEOUT, 5,
		 CRASH_UNCLEAR},
		{"timeouts for longer, others are heard", silent, 0, BASE_ETIMEOUT, 6,
		 CRASH_VANISHED},
		{"timeouts for longer, nobody is heard", cut, 0, BASE_ETIMEOUT, 6, CRASH_UNCLEAR},
		{"timeout, nobody is heard", {}, 0, BASE_ETIMEOUT, 3, CRASH_UNCLEAR},
		{"closed", heard, 0, BASE_ECLOSED, 1, CRASH_UNCLEAR},
		{"closed three times", heard, 0, BASE_ECLOSED, 3, CRASH_VANISHED},
		{"answers", {}, 200, 0, 1, CRASH_RESPONDING},
		{"rejects", {}, 503, 0, 1, CRASH_RESPONDING},
		{"sends data while probes time out", data, 0, BASE_ETIMEOUT, 1, CRASH_RESPONDING},
		{"answers after a restart", restarted, 200, 0, 1, CRASH_ENDED},
		{"another one is at its address", replaced, 0, BASE_ETIMEOUT, 1, CRASH_ENDED},
		{"seemed to have ended and lives", same, 200, 0, 2, CRASH_SAME_INCARNATION},
	};
	for (const auto &c : cases) {
		crash_evidence evidence = c.evidence;

		evidence.status = c.status;
		evidence.err = c.err;
		evidence.tries = c.tries;
		evidence.refusals = c.err == BASE_EREFUSED ? c.tries : 0;
		EXPECT_EQ(crash_find(&evidence), c.finding) << c.what;
	}
}

/* Guards against checks that end before they can tell, or never. */
TEST(CrashFindingTest, ProbesGoOnWhileTheyCanTellMore)
{
	const struct {
		const char *what;
		int status, err, tries, refusals;
		int64_t silent_ms;
		bool again;
	} cases[] = {
		{"timed out once", 0, BASE_ETIMEOUT, 1, 0, 250, true},
		{"timed out often", 0, BASE_ETIMEOUT, CRASH_TRIES, 0, CRASH_SILENT_MS - 1, true},
		{"timed out for long", 0, BASE_ETIMEOUT, CRASH_TRIES, 0, CRASH_SILENT_MS, false},
		{"closed once", 0, BASE_ECLOSED, 1, 0, 0, true},
		{"closed often", 0, BASE_ECLOSED, CRASH_TRIES, 0, 0, false},
		{"refused", 0, BASE_EREFUSED, CRASH_TRIES, CRASH_TRIES, 0, true},
		{"refused often", 0, BASE_EREFUSED, CRASH_REFUSALS, CRASH_REFUSALS, 0, false},
		{"answered", 200, 0, 1, 0, 0, false},
	};
	for (const auto &c : cases) {
		crash_evidence evidence{};

		evidence.status = c.status;
		evidence.err = c.err;
		evidence.tries = c.tries;
		evidence.refusals = c.refusals;
		evidence.silent_ms = c.silent_ms;
		EXPECT_EQ(crash_may_probe_again(&evidence), c.again) << c.what;
	}
}

} // namespace
