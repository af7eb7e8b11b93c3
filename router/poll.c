#include "base/jl.h"
#include "base/met.h"
#include "router/poll_pass.h"
#include "router/rc.h"

#include <string.h>

enum {
	POLL_CALL_MS = 600, /* what has not answered by then is left out of the round */
	/* Engines close a connection that is idle for so long, so it is not kept for the next. */
	POLL_KEEP_MS = 3000,
	/*
	 * Rounds in a row without an answer after which an engine is taken to be dead, on all
	 * hosts. While the store is away its list does not shrink: in an outage of 11 s, two dead
	 * engines that stayed listed rejected 800 requests. One round may miss for a full queue.
	 */
	POLL_MISSES = 2,
	POLL_DEAD_MS = 1500, /* for which that holds beyond the next round, which renews it */
	HTTP_OK = 200
};

/* One engine asked in the present round. */
struct poll_call {
	struct poll *poll;
	char *endpoint; /* its incarnation */
	int64_t born_ms;
	struct hc_call *call;
};

struct poll {
	struct rc *rc;
	GPtrArray *calls;   /* struct poll_call */
	GArray *loads;	    /* struct router_load, of the present round; NULL: between rounds */
	guint asked;	    /* engines in the present round */
	guint misses;	    /* of the last round that was logged */
	GHashTable *missed; /* incarnation -> times in a row without an answer */
	GPtrArray *silent;  /* incarnations that did not answer in the present round */
	struct pp pass;
	guint engines; /* in the present pass */
	int64_t next_us;
};

static bool poll_on_head(void *ctx, int status, const GPtrArray *headers);
static void poll_on_done(void *ctx, int status, int err, bool sent, const char *body, size_t len);

static const struct hc_ops poll_ops = {.on_head = poll_on_head, .on_done = poll_on_done};

static void poll_call_free(gpointer data)
{
	struct poll_call *call = data;

	if (call->call)
		hc_cancel(call->call);
	g_free(call->endpoint);
	g_free(call);
}

struct poll *poll_new(struct rc *rc)
{
	struct poll *poll = g_new0(struct poll, 1);

	poll->rc = rc;
	poll->calls = g_ptr_array_new_with_free_func(poll_call_free);
	poll->missed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	poll->silent = g_ptr_array_new_with_free_func(g_free);
	pp_init(&poll->pass);
	return poll;
}

void poll_free(struct poll *poll)
{
	g_ptr_array_unref(poll->calls);
	g_hash_table_destroy(poll->missed);
	g_ptr_array_unref(poll->silent);
	pp_finish(&poll->pass);
	g_clear_pointer(&poll->loads, g_array_unref);
	g_free(poll);
}

static void poll_ask(struct poll *poll, const struct ep_rec *rec)
{
	struct rc *rc = poll->rc;
	struct poll_call *call = g_new0(struct poll_call, 1);
	char *url =
		g_strdup_printf("http://%s%s", rec->addr, rc->router->seam->engine.report_path());
	struct hc_request request = {
		.method = "GET",
		.url = url,
		.connect_ms = POLL_CALL_MS,
		.total_ms = POLL_CALL_MS,
		.close = pp_pass_us(poll->engines) > tmr_ms(POLL_KEEP_MS),
	};

	call->poll = poll;
	call->endpoint = g_strdup(rec->incarnation);
	call->born_ms = rec->born_ms;
	g_ptr_array_add(poll->calls, call);
	call->call = hc_start(rc->hc, &request, &poll_ops, call);
	g_free(url);
}

static bool poll_is_engine(const struct rc *rc, const struct ep_rec *rec)
{
	const struct rt_service *service = g_hash_table_lookup(rc->conf->services, rec->service);

	return service && rt_is_layered(service) && rec->layer_to > rec->layer_from;
}

static gboolean poll_is_gone(gpointer incarnation, gpointer missed, gpointer listed)
{
	(void)missed;
	return !g_hash_table_contains(listed, incarnation);
}

/* All engines that are listed now. */
static void poll_begin_pass(struct poll *poll)
{
	GHashTable *listed = ep_incarnations(&poll->rc->endpoints);
	GPtrArray *engines = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, poll->rc->endpoints.entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct ep_entry *entry = value;

		if (poll_is_engine(poll->rc, entry->rec))
			g_ptr_array_add(engines, entry->rec->incarnation);
	}
	g_hash_table_foreach_remove(poll->missed, poll_is_gone, listed);
	poll->engines = engines->len;
	pp_begin(&poll->pass, engines);
	g_ptr_array_unref(engines);
	g_hash_table_destroy(listed);
}

static const struct ep_rec *poll_listed(const struct poll *poll, const char *incarnation)
{
	char *id = g_strndup(incarnation, (gsize)(strrchr(incarnation, '@') - incarnation));
	const struct ep_entry *entry = g_hash_table_lookup(poll->rc->endpoints.entries, id);

	g_free(id);
	return entry && strcmp(entry->rec->incarnation, incarnation) == 0 ? entry->rec : NULL;
}

static void poll_begin(struct poll *poll)
{
	GPtrArray *round;

	if (pp_is_over(&poll->pass))
		poll_begin_pass(poll);
	round = pp_take(&poll->pass);
	poll->loads = loads_new();
	g_ptr_array_set_size(poll->silent, 0);
	for (guint i = 0; i < round->len; i++) {
		const struct ep_rec *rec = poll_listed(poll, round->pdata[i]);

		/* One that wants nothing is asked in the next pass after that. */
		if (rec && !heard_rests(poll->rc, rec->incarnation, tmr_now()))
			poll_ask(poll, rec);
	}
	g_ptr_array_unref(round);
}

/*
 * Where most engines of a round did not answer, this host itself is slow or cut off, and says
 * nothing about them.
 */
static void poll_tell_dead(struct poll *poll, guint answered)
{
	int64_t for_ms = POLL_DEAD_MS + pp_pass_us(poll->engines) / TMR_US_PER_MS;

	if (answered * 2 < poll->asked)
		return;
	for (guint i = 0; i < poll->silent->len; i++) {
		const char *id = poll->silent->pdata[i];
		const struct suspect suspect = {id, for_ms, SUSPECT_NO_REPORT, 0};

		if (GPOINTER_TO_INT(g_hash_table_lookup(poll->missed, id)) >= POLL_MISSES)
			suspect_on_news(poll->rc, &suspect, poll);
		else
			pp_ask_again(&poll->pass, id);
	}
}

/* A line when the number of silent engines changes. */
static void poll_log_round(const struct poll *poll, guint answered)
{
	if (poll->misses == g_hash_table_size(poll->missed))
		return;
	jl_begin(JL_KEEP, "reports");
	jl_int("asked", poll->asked);
	jl_int("answered", answered);
	jl_int("silent", g_hash_table_size(poll->missed));
	jl_end();
}

static void poll_end(struct poll *poll)
{
	GArray *loads = g_steal_pointer(&poll->loads);

	poll_tell_dead(poll, loads->len);
	poll_log_round(poll, loads->len);
	poll->misses = g_hash_table_size(poll->missed);
	if (loads->len > 0)
		loads_take_round(poll->rc, loads);
	else
		g_array_unref(loads);
}

/*
 * One reader asks; the others hear of it through the feed. Two that both believe that it is for
 * them cost some calls more.
 */
void poll_on_tick(struct poll *poll, int64_t now_us)
{
	struct rc *rc = poll->rc;

	if (!rc_polls(rc) || rc->stopping || !rc->conf) {
		g_ptr_array_set_size(poll->calls, 0);
		g_clear_pointer(&poll->loads, g_array_unref);
		return;
	}
	if (now_us < poll->next_us || poll->loads)
		return;
	poll_begin(poll);
	poll->asked = poll->calls->len;
	poll->next_us = now_us + poll->pass.round_us;
	if (poll->calls->len == 0)
		poll_end(poll);
}

/* In eighths, so that not every report is news to the other hosts. */
static int poll_eighths(const struct seam_report *report)
{
	double part = report->kv_total > 0 ? report->kv_used / report->kv_total : 0;

	return (int)(CLAMP(part, 0, 1) * ROUTER_FULL + 0.5);
}

static void poll_note_miss(struct poll *poll, const char *endpoint)
{
	gpointer missed = g_hash_table_lookup(poll->missed, endpoint);

	g_hash_table_replace(poll->missed, g_strdup(endpoint),
			     GINT_TO_POINTER(GPOINTER_TO_INT(missed) + 1));
	g_ptr_array_add(poll->silent, g_strdup(endpoint));
}

/* Takes the report of an engine that is as it is listed. */
static void poll_take(struct poll *poll, const struct poll_call *call,
		      const struct seam_report *report)
{
	const struct router_load load = {g_strdup(call->endpoint), report->pace,
					 poll_eighths(report)};

	g_array_append_val(poll->loads, load);
	g_hash_table_remove(poll->missed, call->endpoint);
}

/*
 * The engine has started again since it was listed: what the list says of its layers is of an
 * incarnation that is gone. Without this, pipelines would go through it until its next heartbeat.
 */
static void poll_tell_restarted(struct poll *poll, const struct poll_call *call)
{
	const struct suspect suspect = {call->endpoint, POLL_DEAD_MS, SUSPECT_RESTARTED, 0};

	suspect_on_news(poll->rc, &suspect, poll);
}

static bool poll_on_head(void *ctx, int status, const GPtrArray *headers)
{
	const struct poll_call *call = ctx;

	heard_head(call->poll->rc, call->endpoint, status, headers);
	return true;
}

static void poll_on_done(void *ctx, int status, int err, bool sent, const char *body, size_t len)
{
	struct poll_call *call = ctx;
	struct poll *poll = call->poll;
	struct seam_report report;

	(void)err;
	(void)sent;
	call->call = NULL;
	if (status == HTTP_OK &&
	    poll->rc->router->seam->engine.parse_report(str_make(body, len), &report) == 0) {
		if (report.born_ms != 0 && report.born_ms > call->born_ms)
			poll_tell_restarted(poll, call);
		else
			poll_take(poll, call, &report);
		seam_report_finish(&report);
	} else {
		met_add(met_counter("bg_reports_missed_total", ""), 1);
		poll_note_miss(poll, call->endpoint);
	}
	g_ptr_array_remove_fast(poll->calls, call);
	if (poll->calls->len == 0)
		poll_end(poll);
}
