#include "router/crash.h"
#include "base/err.h"
#include "base/jl.h"
#include "base/met.h"
#include "router/rc.h"
#include "router/tf.h"
#include "router/tf_heard.h"
#include "router/tf_quar.h"
#include "router/tf_rest.h"

#include <string.h>

enum {
	/* An endpoint that lives answers within some ms; ended ones refuse within one round trip.
	 */
	CRASH_CALL_MS = 250,
	/* Between two tries, where the first one told nothing: the endpoint's queue was full. */
	CRASH_AGAIN_MS = 100,
	CRASH_TRIES = 3,
	/*
	 * How often one that seems to have ended is asked once more, until it tells that it has
	 * started again, or that it lives; each pause is twice as long, 9 s in all.
	 */
	CRASH_PROOFS = 5,
	CRASH_PROOF_MS = 300,
	/* For which one that has ended is passed over; missed reports tell of it from then on. */
	CRASH_ENDED_MS = 3000,
	HTTP_OK = 200
};

enum crash_finding {
	CRASH_ALIVE,
	CRASH_LIVES,	/* proved: the same incarnation goes on */
	CRASH_ENDED,	/* it takes no connections, or another incarnation stands there */
	CRASH_VANISHED, /* it takes no connections; an endpoint that is very busy may do that, too
			 */
	CRASH_UNCLEAR	/* this host may be the one that is cut off, or the endpoint is busy */
};

static const char *const crash_findings[] = {
	[CRASH_ALIVE] = "alive",       [CRASH_LIVES] = "lives",	    [CRASH_ENDED] = "ended",
	[CRASH_VANISHED] = "vanished", [CRASH_UNCLEAR] = "unclear",
};

/* An endpoint at which attempts were cut, being asked whether it lives. */
struct crash_check {
	struct tf *tf;
	struct tf_ep *ep; /* holds a reference */
	GArray *cuts;	  /* struct crash_cut */
	struct tmr timer;
	int64_t began_us;
	int tries;
	int proofs;   /* tries after it had seemed to end */
	bool counted; /* what was cut counts, as far as that goes without a proof */
	guint told;   /* cuts that were counted */
};

static void crash_ask(struct crash_check *check);
static void crash_on_again(void *ctx, int64_t now_us);
static bool crash_on_head(void *ctx, int status, const GPtrArray *headers);
static void crash_on_checked(void *ctx, int status, int err, bool sent, const char *body,
			     size_t len);

static const struct hc_ops crash_ops = {.on_head = crash_on_head, .on_done = crash_on_checked};

static void crash_cut_clear(gpointer data)
{
	struct crash_cut *cut = data;

	g_free(cut->account);
	g_free(cut->id);
}

static struct crash_check *crash_check_new(struct tf *tf, struct tf_ep *ep)
{
	struct crash_check *check = g_new0(struct crash_check, 1);

	check->tf = tf;
	check->ep = ep;
	ep->refs++;
	check->cuts = g_array_new(FALSE, FALSE, sizeof(struct crash_cut));
	g_array_set_clear_func(check->cuts, crash_cut_clear);
	return check;
}

static void crash_check_free(struct crash_check *check)
{
	check->ep->crash = NULL;
	tf_ep_unref(check->ep);
	g_array_unref(check->cuts);
	g_free(check);
}

/* What the endpoint answers without running anything: its report, or its health. */
static const char *crash_path(const struct crash_check *check)
{
	const struct tf *tf = check->tf;
	const struct rt_service *service =
		g_hash_table_lookup(tf->view->conf->services, check->ep->rec->service);

	if (!service || rt_is_layered(service))
		return tf->router->seam->engine.report_path();
	return service->health_path ? service->health_path : "/";
}

static void crash_ask(struct crash_check *check)
{
	struct hc_request request = {.method = "GET",
				     .connect_ms = CRASH_CALL_MS,
				     .total_ms = CRASH_CALL_MS,
				     .fresh = true,
				     .close = true};
	char *url = g_strdup_printf("http://%s%s", check->ep->rec->addr, crash_path(check));

	check->began_us = tmr_now();
	check->tries++;
	request.url = url;
	hc_start(check->tf->hc, &request, &crash_ops, check);
	g_free(url);
}

/* The start that the report tells; 0: none. */
static int64_t crash_born_ms(const struct crash_check *check, struct str body)
{
	struct seam_report report;
	int64_t born_ms;

	if (check->tf->router->seam->engine.parse_report(body, &report) < 0)
		return 0;
	born_ms = report.born_ms;
	seam_report_finish(&report);
	return born_ms;
}

/* Whether the report is of a later start than the one at which the attempts were cut. */
static bool crash_has_restarted(const struct crash_check *check, struct str body)
{
	int64_t known_ms = check->ep->rec->born_ms;

	return known_ms != 0 && crash_born_ms(check, body) > known_ms;
}

/*
 * Whether one that seemed to have ended goes on. A cut of the network refuses connections as an
 * ended process does; five such cuts, each when the same request had just begun, had it refused for
 * ten minutes. The start that it tells is the same then.
 */
static bool crash_lives(const struct crash_check *check, int status, struct str body)
{
	int64_t known_ms = check->ep->rec->born_ms;

	return check->counted && status == HTTP_OK && known_ms != 0 &&
	       crash_born_ms(check, body) == known_ms;
}

/* Another endpoint, or its own next incarnation, stands at its address. */
static bool crash_is_replaced(const struct tf *tf, const struct tf_ep *ep)
{
	return !ep->listed && g_hash_table_contains(tf->by_addr, ep->rec->addr);
}

/*
 * Only a refused connection shows by itself that the process has ended. Silence does only where
 * this host has heard others meanwhile. A connection that is closed may be one too many for a busy
 * endpoint; several in a row, and nothing else from there, are its end behind a proxy.
 */
static enum crash_finding crash_find(const struct crash_check *check, int status, int err,
				     struct str body)
{
	if (crash_lives(check, status, body))
		return CRASH_LIVES;
	if (check->ep->progress_us > check->began_us)
		return CRASH_ALIVE;
	if (crash_is_replaced(check->tf, check->ep))
		return CRASH_ENDED;
	if (status == HTTP_OK && crash_has_restarted(check, body))
		return CRASH_ENDED;
	if (status > 0)
		return CRASH_ALIVE;
	if (err == BASE_EREFUSED)
		return CRASH_ENDED;
	if (err == BASE_ETIMEOUT && check->tf->heard_us > check->began_us)
		return CRASH_VANISHED;
	if (err == BASE_ECLOSED && check->tries == CRASH_TRIES)
		return CRASH_VANISHED;
	return CRASH_UNCLEAR;
}

static bool crash_is_end(enum crash_finding finding)
{
	return finding == CRASH_ENDED || finding == CRASH_VANISHED;
}

/*
 * A busy endpoint resets connections that are too many for it, and a request with them that it has
 * never begun. So what may have been waiting there is counted only where the end is proved, and
 * what had just been sent counts less until then.
 */
static void crash_weigh_unproved(struct crash_check *check)
{
	for (guint i = check->cuts->len; i > 0; i--) {
		struct crash_cut *cut = &g_array_index(check->cuts, struct crash_cut, i - 1);

		if (cut->progress == CRASH_WAITING)
			g_array_remove_index_fast(check->cuts, i - 1);
		else
			cut->unproved = true;
	}
}

static guint crash_count(const struct crash_check *check, enum crash_progress progress)
{
	guint n = 0;

	for (guint i = 0; i < check->cuts->len; i++)
		n += g_array_index(check->cuts, struct crash_cut, i).progress == progress;
	return n;
}

static void crash_log(const struct crash_check *check, enum crash_finding finding, int err)
{
	jl_begin(crash_is_end(finding) ? JL_KEEP : JL_INFO, "cut_checked");
	jl_str("endpoint", check->ep->rec->incarnation);
	jl_str("addr", check->ep->rec->addr);
	jl_str("finding", crash_findings[finding]);
	jl_str("error", err < 0 ? base_strerror(err) : NULL);
	jl_int("tries", check->tries);
	jl_int("waiting", crash_count(check, CRASH_WAITING));
	jl_int("sent", crash_count(check, CRASH_SENT));
	jl_int("begun", crash_count(check, CRASH_BEGUN));
	jl_int("running", crash_count(check, CRASH_RUNNING));
	jl_end();
}

static bool crash_is_suspect(const struct crash_cut *cut)
{
	return cut->progress == CRASH_BEGUN || cut->progress == CRASH_SENT;
}

static void crash_log_begun(const struct crash_check *check)
{
	for (guint i = 0; i < check->cuts->len; i++) {
		const struct crash_cut *cut = &g_array_index(check->cuts, struct crash_cut, i);
		char content[QUAR_TEXT_LEN + 1];

		if (!crash_is_suspect(cut))
			continue;
		quar_key_text(&cut->key, content);
		jl_begin(JL_KEEP, "cut_when_begun");
		jl_str("id", cut->id);
		jl_str("content", content);
		jl_str("account", cut->account);
		jl_str("endpoint", check->ep->rec->incarnation);
		jl_end();
	}
}

static void crash_ask_in(struct crash_check *check, int64_t delay_ms)
{
	loop_after(&check->tf->loop, &check->timer, tmr_ms(delay_ms), crash_on_again, check);
}

/* One that wants rest is asked once, and then when the rest is over. */
static void crash_on_again(void *ctx, int64_t now_us)
{
	struct crash_check *check = ctx;

	if (tf_rest_may_call(check->ep))
		crash_ask(check);
	else
		crash_ask_in(check, (check->ep->rest.until_us - now_us) / TMR_US_PER_MS + 1);
}

/* The endpoint has ended, or so it seems: what was cut there counts. */
static void crash_count_cuts(struct crash_check *check, enum crash_finding finding)
{
	if (finding == CRASH_VANISHED)
		crash_weigh_unproved(check);
	met_add(met_counter("bg_endpoints_ended_total", ""), 1);
	crash_log_begun(check);
	tf_quar_crashed(check->tf, check->ep, check->cuts);
	check->counted = true;
	check->told = check->cuts->len;
}

/*
 * It has ended, or has again: what was cut since counts, and what had just been sent in full. What
 * was counted before is not counted once more: an operator may have cleared it meanwhile.
 */
static void crash_prove(struct crash_check *check)
{
	GArray *news = g_array_new(FALSE, FALSE, sizeof(struct crash_cut));

	for (guint i = 0; i < check->cuts->len; i++) {
		struct crash_cut *cut = &g_array_index(check->cuts, struct crash_cut, i);

		if (i < check->told && !cut->unproved)
			continue;
		cut->unproved = false;
		g_array_append_val(news, *cut);
	}
	check->told = check->cuts->len;
	if (news->len > 0)
		tf_quar_crashed(check->tf, check->ep, news);
	g_array_unref(news);
}

/* Another incarnation stands at its address, or its entry has gone with it. */
static bool crash_is_over(const struct crash_check *check, int status, enum crash_finding finding)
{
	return finding == CRASH_LIVES || !check->ep->listed ||
	       (finding == CRASH_ENDED && status > 0);
}

/* One that seemed to end is looked after until it is certain, or for some seconds. */
static void crash_follow(struct crash_check *check, int status, enum crash_finding finding)
{
	if (crash_is_over(check, status, finding) || check->proofs == CRASH_PROOFS)
		crash_check_free(check);
	else
		crash_ask_in(check, CRASH_PROOF_MS << check->proofs++);
}

/*
 * The placer hears it from here a second or two before reports are missed. When the last endpoints
 * of a range end together, nothing is served until others have loaded it.
 */
static void crash_tell_ended(struct crash_check *check)
{
	const char *endpoint = check->ep->rec->incarnation;

	tf_suspect(check->tf, check->ep, tmr_ms(CRASH_ENDED_MS), SUSPECT_ENDED, NULL);
	suspect_post(check->tf->router->rc, endpoint, CRASH_ENDED_MS, SUSPECT_ENDED);
}

/* It had seemed to end before. */
static void crash_on_checked_again(struct crash_check *check, int status,
				   enum crash_finding finding)
{
	if (finding == CRASH_ENDED)
		crash_prove(check);
	if (finding == CRASH_LIVES)
		tf_quar_lives(check->tf, check->ep);
	crash_follow(check, status, finding);
}

static bool crash_on_head(void *ctx, int status, const GPtrArray *headers)
{
	const struct crash_check *check = ctx;

	tf_heard_call(check->tf, check->ep, status, headers);
	return true;
}

static void crash_on_checked(void *ctx, int status, int err, bool sent, const char *body,
			     size_t len)
{
	struct crash_check *check = ctx;
	enum crash_finding finding = crash_find(check, status, err, str_make(body, len));

	(void)sent;
	if (check->counted) {
		crash_on_checked_again(check, status, finding);
		return;
	}
	if (finding == CRASH_UNCLEAR && check->tries < CRASH_TRIES) {
		crash_ask_in(check, CRASH_AGAIN_MS);
		return;
	}
	crash_log(check, finding, err);
	if (finding == CRASH_ENDED)
		crash_tell_ended(check);
	if (!crash_is_end(finding)) {
		crash_check_free(check);
		return;
	}
	crash_count_cuts(check, finding);
	crash_follow(check, status, finding);
}

/* One that is leaving ends on its own account; one that is replaced at its address has ended. */
static bool crash_is_planned(const struct tf *tf, const struct tf_ep *ep)
{
	return ep->rec->state != EP_READY || (!ep->listed && !crash_is_replaced(tf, ep));
}

void crash_on_cut(struct tf *tf, struct tf_ep *ep, const struct crash_cut *cut)
{
	struct crash_cut copy = *cut;

	if (crash_is_planned(tf, ep))
		return;
	copy.account = g_strdup(cut->account);
	copy.id = g_strdup(cut->id);
	if (!ep->crash) {
		ep->crash = crash_check_new(tf, ep);
		crash_on_again(ep->crash, tmr_now());
	}
	g_array_append_val(ep->crash->cuts, copy);
}
