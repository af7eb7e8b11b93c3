#include "router/crash_finding.h"
#include "base/err.h"

/*
 * A refused connection shows that the process has ended, unless this host's own connections are
 * cut: then all are refused, and the first endpoint that is probed would be told to all hosts as
 * dead. So another endpoint has to answer a call that began later; data of an older one may have
 * been under way. Where there is none to answer, many probes have to be refused.
 */
static enum crash_finding crash_find_refused(const struct crash_evidence *evidence)
{
	if (evidence->host_is_alone)
		return CRASH_UNCLEAR;
	return evidence->heard_since_refusal || evidence->refusals >= CRASH_REFUSALS
		       ? CRASH_ENDED
		       : CRASH_UNCLEAR;
}

/*
 * Data of an endpoint shows that it lives. If the probe was refused, though, the data may have been
 * on its way when the process ended; then later probes find none.
 */
static enum crash_finding crash_find_sending(const struct crash_evidence *evidence)
{
	if (evidence->err == BASE_EREFUSED && evidence->refusals < CRASH_REFUSALS)
		return CRASH_UNCLEAR;
	return CRASH_RESPONDING;
}

/*
 * A timeout shows that the endpoint has ended only if this host has received data from other
 * endpoints meanwhile, and nothing from this one for longer than a sound endpoint stands still:
 * else the requests that run there would count as the cause of its end, and be refused. A
 * connection that is closed may exceed the limit of a busy endpoint; if several probes in a row are
 * closed and the endpoint sends nothing else, it has ended behind a proxy.
 */
enum crash_finding crash_find(const struct crash_evidence *evidence)
{
	if (evidence->is_same_incarnation)
		return CRASH_SAME_INCARNATION;
	if (evidence->sent_data)
		return crash_find_sending(evidence);
	if (evidence->is_replaced || evidence->has_restarted)
		return CRASH_ENDED;
	if (evidence->status > 0)
		return CRASH_RESPONDING;
	if (evidence->err == BASE_EREFUSED)
		return crash_find_refused(evidence);
	if (evidence->err == BASE_ETIMEOUT && evidence->heard_during_probe &&
	    evidence->silent_ms >= CRASH_SILENT_MS)
		return CRASH_VANISHED;
	if (evidence->err == BASE_ECLOSED && evidence->tries == CRASH_TRIES)
		return CRASH_VANISHED;
	return CRASH_UNCLEAR;
}

bool crash_may_probe_again(const struct crash_evidence *evidence)
{
	if (crash_find(evidence) != CRASH_UNCLEAR)
		return false;
	if (evidence->err == BASE_EREFUSED)
		return evidence->refusals < CRASH_REFUSALS;
	if (evidence->err == BASE_ETIMEOUT)
		return evidence->silent_ms < CRASH_SILENT_MS;
	return evidence->tries < CRASH_TRIES;
}
