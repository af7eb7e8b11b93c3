#include "router/crash.h"
#include "base/err.h"
#include "base/jl.h"
#include "base/met.h"
#include "router/crash_finding.h"
#include "router/ctrl.h"
#include "router/traffic.h"
#include "router/traffic_head.h"
#include "router/traffic_quarantine.h"
#include "router/traffic_rest.h"

#include <string.h>

enum {
	/*
	 * Time limit of a probe, in milliseconds. A live endpoint answers within some milliseconds;
	 * the host of an ended one refuses the connection within one round trip.
	 */
	CRASH_CALL_MS = 250,
	/* Pause after an unclear probe, in milliseconds; the endpoint's queue may be full. */
	CRASH_RETRY_MS = 100,
	/* The same after a refused connection, in milliseconds; others are asked meanwhile. */
	CRASH_REFUSED_RETRY_MS = 20,
	/*
	 * Number of further probes of an endpoint that seems to have ended, until a report shows
	 * that it has restarted or that it is still running. The first pause is CRASH_CONFIRM_MS
	 * milliseconds, each further one twice as long, 9 s in all.
	 */
	CRASH_CONFIRM_TRIES = 5,
	CRASH_CONFIRM_MS = 300,
	/*
	 * Time for which an endpoint that has ended is not chosen, in milliseconds. After that, its
	 * missing reports show that it has ended.
	 */
	CRASH_ENDED_MS = 3000,
	HTTP_OK = 200
};

static const char *const crash_findings[] = {
	[CRASH_RESPONDING] = "alive",  [CRASH_SAME_INCARNATION] = "lives", [CRASH_ENDED] = "ended",
	[CRASH_VANISHED] = "vanished", [CRASH_UNCLEAR] = "unclear",
};

/* A check whether an endpoint at which attempts were cut has ended. */
struct crash_check {
	struct traf *traf;
	struct traf_ep *ep; /* the endpoint; the check holds a reference */
	GArray *cuts;	    /* struct crash_attempt, the attempts that were cut */
	struct tmr timer;   /* starts the next probe */
	int64_t began_us;   /* time at which the last probe began, in microseconds */
	int refusals;	    /* number of probes that were refused */
	int64_t refused_us; /* time at which the first of them began, in microseconds */
	int64_t silent_us;  /* time at which the first of the last probes that all timed out began,
			       in microseconds; 0: the last one did not */
	int tries;	    /* number of probes begun */
	int confirm_tries;  /* number of probes scheduled after the endpoint seemed to have ended */
	bool counted;	 /* the endpoint seemed to have ended, so its cut attempts were counted */
	guint n_counted; /* number of cut attempts that were counted */
};

static void crash_probe(struct crash_check *check);
static void crash_on_timer(void *ctx, int64_t now_us);
static bool crash_on_head(void *ctx, int status, const GPtrArray *headers);
static void crash_on_probed(void *ctx, int status, int err, bool sent, const char *body,
			    size_t len);

static const struct hc_ops crash_ops = {.on_head = crash_on_head, .on_done = crash_on_probed};

static void crash_attempt_clear(gpointer data)
{
	struct crash_attempt *cut = data;

	g_free(cut->account);
	g_free(cut->id);
	g_free(cut->parts);
}

static struct crash_check *crash_check_new(struct traf *traf, struct traf_ep *ep)
{
	struct crash_check *check = g_new0(struct crash_check, 1);

	check->traf = traf;
	check->ep = ep;
	ep->refs++;
	check->cuts = g_array_new(FALSE, FALSE, sizeof(struct crash_attempt));
	g_array_set_clear_func(check->cuts, crash_attempt_clear);
	return check;
}

static void crash_check_free(struct crash_check *check)
{
	check->ep->crash = NULL;
	traf_ep_unref(check->ep);
	g_array_unref(check->cuts);
	g_free(check);
}

static void crash_probe(struct crash_check *check)
{
	struct way_request request = {.http = {.method = "GET",
					       .connect_ms = CRASH_CALL_MS,
					       .total_ms = CRASH_CALL_MS,
					       .fresh = true,
					       .close = true},
				      .addr = check->ep->rec->addr,
				      .harmless = true};
	char *path = traf_probe_path(check->traf, check->ep);
	char *url = g_strdup_printf("http://%s%s", check->ep->rec->addr, path);

	check->began_us = tmr_now();
	check->tries++;
	request.http.url = url;
	way_start(check->traf->way, &request, &crash_ops, check);
	g_free(path);
	g_free(url);
}

/* Returns the start time from a report, Unix time in milliseconds; 0 if it can't be read. */
static int64_t crash_born_ms(const struct crash_check *check, struct str body)
{
	struct seam_report report;
	int64_t born_ms;

	if (check->traf->router->seam->engine.parse_report(body, &report) < 0)
		return 0;
	born_ms = report.born_ms;
	seam_report_finish(&report);
	return born_ms;
}

/* Returns whether the report is from a later incarnation than the listed one. */
static bool crash_has_restarted(const struct crash_check *check, struct str body)
{
	int64_t known_ms = check->ep->rec->born_ms;

	return known_ms != 0 && crash_born_ms(check, body) > known_ms;
}

/*
 * Returns whether the same incarnation still runs although it seemed to have ended; its report then
 * has the same start time. A network failure can refuse connections as an ended process does: after
 * five such failures, each when the same request had just begun, that request was refused for ten
 * minutes.
 */
static bool crash_is_same_incarnation(const struct crash_check *check, int status, struct str body)
{
	int64_t known_ms = check->ep->rec->born_ms;

	return check->counted && status == HTTP_OK && known_ms != 0 &&
	       crash_born_ms(check, body) == known_ms;
}

/* Returns whether another endpoint, or a later incarnation of this one, has its address. */
static bool crash_is_replaced(const struct traf *traf, const struct traf_ep *ep)
{
	return !ep->listed && g_hash_table_contains(traf->by_addr, ep->rec->addr);
}

static struct crash_evidence crash_evidence(const struct crash_check *check, int status, int err,
					    struct str body)
{
	const struct traf *traf = check->traf;
	const struct reach *reach = way_reach(traf->way);

	return (struct crash_evidence){
		.status = status,
		.err = err,
		.tries = check->tries,
		.silent_ms = check->silent_us ? (tmr_now() - check->silent_us) / TMR_US_PER_MS : 0,
		.is_same_incarnation = crash_is_same_incarnation(check, status, body),
		.sent_data = check->ep->last_data_us > check->began_us,
		.is_replaced = crash_is_replaced(traf, check->ep),
		.has_restarted = status == HTTP_OK && crash_has_restarted(check, body),
		.host_is_alone = reach_is_alone(reach),
		.heard_during_probe = traf->any_data_us > check->began_us,
		.refusals = check->refusals,
		.heard_since_refusal = reach->heard_us > check->refused_us,
	};
}

/*
 * Returns after how many ms to probe again. After a refusal another endpoint is asked, which tells
 * whether this host is cut off.
 */
static int64_t crash_retry_ms(const struct crash_check *check, int err)
{
	if (err != BASE_EREFUSED)
		return CRASH_RETRY_MS;
	way_ask_witness(check->traf->way, check->ep->rec->addr);
	return CRASH_REFUSED_RETRY_MS;
}

static bool crash_is_end(enum crash_finding finding)
{
	return finding == CRASH_ENDED || finding == CRASH_VANISHED;
}

/*
 * Drops attempts that may have been waiting, and marks the others as unconfirmed, so that attempts
 * that had just been sent count less. A busy endpoint resets excess connections, also those of
 * requests that it has never begun.
 */
static void crash_mark_unconfirmed(struct crash_check *check)
{
	for (guint i = check->cuts->len; i > 0; i--) {
		struct crash_attempt *cut =
			&g_array_index(check->cuts, struct crash_attempt, i - 1);

		if (cut->progress == CRASH_WAITING)
			g_array_remove_index_fast(check->cuts, i - 1);
		else
			cut->unconfirmed = true;
	}
}

static guint crash_count_progress(const struct crash_check *check, enum crash_progress progress)
{
	guint n = 0;

	for (guint i = 0; i < check->cuts->len; i++)
		n += g_array_index(check->cuts, struct crash_attempt, i).progress == progress;
	return n;
}

static void crash_log(const struct crash_check *check, enum crash_finding finding, int err)
{
	jl_begin(crash_is_end(finding) ? JL_UNLIMITED : JL_INFO, "cut_checked");
	jl_str("endpoint", check->ep->rec->incarnation);
	jl_str("addr", check->ep->rec->addr);
	jl_str("finding", crash_findings[finding]);
	jl_str("error", err < 0 ? base_strerror(err) : NULL);
	jl_int("tries", check->tries);
	jl_int("waiting", crash_count_progress(check, CRASH_WAITING));
	jl_int("sent", crash_count_progress(check, CRASH_SENT));
	jl_int("begun", crash_count_progress(check, CRASH_BEGUN));
	jl_int("running", crash_count_progress(check, CRASH_RUNNING));
	jl_end();
}

static bool crash_is_suspect(const struct crash_attempt *cut)
{
	return cut->progress == CRASH_BEGUN || cut->progress == CRASH_SENT;
}

/* Returns what the host had received of the attempt's answer. */
static const char *crash_progress_name(const struct crash_attempt *cut)
{
	if (cut->progress == CRASH_SENT)
		return "nothing";
	return cut->is_answered ? "parts" : "head";
}

static void crash_log_suspects(const struct crash_check *check)
{
	for (guint i = 0; i < check->cuts->len; i++) {
		const struct crash_attempt *cut =
			&g_array_index(check->cuts, struct crash_attempt, i);
		char content[QUAR_KEY_TEXT_LEN + 1];

		if (!crash_is_suspect(cut))
			continue;
		quar_key_format(&cut->key, content);
		jl_begin(JL_UNLIMITED, "cut_when_begun");
		jl_str("id", cut->id);
		jl_str("content", content);
		jl_str("account", cut->account);
		jl_str("endpoint", check->ep->rec->incarnation);
		jl_str("progress", crash_progress_name(cut));
		txn_log_parts(cut->parts, cut->n_parts);
		jl_end();
	}
}

static void crash_probe_later(struct crash_check *check, int64_t delay_ms)
{
	loop_start_timer(&check->traf->loop, &check->timer, tmr_from_ms(delay_ms), crash_on_timer,
			 check);
}

/* Sends the next probe. If the endpoint has requested a rest, waits until that is over. */
static void crash_on_timer(void *ctx, int64_t now_us)
{
	struct crash_check *check = ctx;

	if (traf_rest_may_call(check->ep))
		crash_probe(check);
	else
		crash_probe_later(check, (check->ep->rest.until_us - now_us) / TMR_US_PER_MS + 1);
}

/* The endpoint has ended or seems to have ended: counts the cut attempts as crashes. */
static void crash_count_cuts(struct crash_check *check, enum crash_finding finding)
{
	if (finding == CRASH_VANISHED)
		crash_mark_unconfirmed(check);
	met_add(met_counter("bg_endpoints_ended_total", ""), 1);
	crash_log_suspects(check);
	traf_quar_on_crash(check->traf, check->ep, check->cuts);
	check->counted = true;
	check->n_counted = check->cuts->len;
}

/*
 * It is confirmed that the endpoint has ended, or it has ended again: counts the attempts that were
 * cut since, and counts unconfirmed attempts in full. Other attempts that were counted before are
 * not counted again, because an operator may have cleared their quarantine meanwhile.
 */
static void crash_confirm(struct crash_check *check)
{
	GArray *confirmed = g_array_new(FALSE, FALSE, sizeof(struct crash_attempt));

	for (guint i = 0; i < check->cuts->len; i++) {
		struct crash_attempt *cut = &g_array_index(check->cuts, struct crash_attempt, i);

		if (i < check->n_counted && !cut->unconfirmed)
			continue;
		cut->unconfirmed = false;
		g_array_append_val(confirmed, *cut);
	}
	check->n_counted = check->cuts->len;
	if (confirmed->len > 0)
		traf_quar_on_crash(check->traf, check->ep, confirmed);
	g_array_unref(confirmed);
}

/* Returns whether the result is certain: the endpoint lives, or was replaced or removed. */
static bool crash_is_certain(const struct crash_check *check, int status,
			     enum crash_finding finding)
{
	return finding == CRASH_SAME_INCARNATION || !check->ep->listed ||
	       (finding == CRASH_ENDED && status > 0);
}

/* Schedules the next probe of an endpoint that seems to have ended, or ends the check. */
static void crash_continue_check(struct crash_check *check, int status, enum crash_finding finding)
{
	if (crash_is_certain(check, status, finding) || check->confirm_tries == CRASH_CONFIRM_TRIES)
		crash_check_free(check);
	else
		crash_probe_later(check, CRASH_CONFIRM_MS << check->confirm_tries++);
}

/*
 * Reports the endpoint as ended to both threads. The placer is informed one or two seconds before
 * reports are missing. That matters when the last endpoints that hold a range of layers end
 * together: no request is served until other endpoints have loaded that range.
 */
static void crash_report_ended(struct crash_check *check)
{
	const char *endpoint = check->ep->rec->incarnation;

	traf_mark_faulty(check->traf, check->ep, tmr_from_ms(CRASH_ENDED_MS), SUSPECT_ENDED, NULL);
	suspect_post(check->traf->router->ctrl, endpoint, CRASH_ENDED_MS, SUSPECT_ENDED);
}

/* Handles a further probe of an endpoint that seemed to have ended. */
static void crash_on_confirm_probed(struct crash_check *check, int status,
				    enum crash_finding finding)
{
	if (finding == CRASH_ENDED)
		crash_confirm(check);
	if (finding == CRASH_SAME_INCARNATION)
		traf_quar_remove_crash(check->traf, check->ep);
	crash_continue_check(check, status, finding);
}

static bool crash_on_head(void *ctx, int status, const GPtrArray *headers)
{
	const struct crash_check *check = ctx;

	traf_head_of_call(check->traf, check->ep, status, headers);
	return true;
}

/* Records since when probes are refused, and since when they time out. */
static void crash_note_error(struct crash_check *check, int err)
{
	if (err == BASE_EREFUSED && check->refusals++ == 0)
		check->refused_us = check->began_us;
	if (err != BASE_ETIMEOUT)
		check->silent_us = 0;
	else if (check->silent_us == 0)
		check->silent_us = check->began_us;
}

static void crash_on_probed(void *ctx, int status, int err, bool sent, const char *body, size_t len)
{
	struct crash_check *check = ctx;
	struct crash_evidence evidence;
	enum crash_finding finding;

	(void)sent;
	crash_note_error(check, err);
	evidence = crash_evidence(check, status, err, str_make(body, len));
	finding = crash_find(&evidence);
	if (check->counted) {
		crash_on_confirm_probed(check, status, finding);
		return;
	}
	if (crash_may_probe_again(&evidence)) {
		crash_probe_later(check, crash_retry_ms(check, err));
		return;
	}
	crash_log(check, finding, err);
	if (finding == CRASH_ENDED)
		crash_report_ended(check);
	if (!crash_is_end(finding)) {
		crash_check_free(check);
		return;
	}
	crash_count_cuts(check, finding);
	crash_continue_check(check, status, finding);
}

/* Returns whether the end is planned: the endpoint leaves, or is removed without a successor. */
static bool crash_is_planned_end(const struct traf *traf, const struct traf_ep *ep)
{
	return ep->rec->state != EP_READY || (!ep->listed && !crash_is_replaced(traf, ep));
}

void crash_on_attempt_cut(struct traf *traf, struct traf_ep *ep, const struct crash_attempt *cut)
{
	struct crash_attempt copy = *cut;

	if (crash_is_planned_end(traf, ep))
		return;
	copy.account = g_strdup(cut->account);
	copy.id = g_strdup(cut->id);
	copy.parts = g_memdup2(cut->parts, (gsize)cut->n_parts * sizeof(cut->parts[0]));
	if (!ep->crash) {
		ep->crash = crash_check_new(traf, ep);
		crash_on_timer(ep->crash, tmr_now());
	}
	g_array_append_val(ep->crash->cuts, copy);
}
