#include "base/jl.h"
#include "base/met.h"
#include "router/poll_miss.h"
#include "router/poll_pass.h"
#include "router/ctrl.h"

#include <string.h>

enum {
	/* Time limit of a request for a report, in milliseconds. */
	POLL_CALL_MS = 600,
	/*
	 * Time after which engines close an idle connection, in milliseconds. If a pass takes
	 * longer, connections are not kept for the next pass.
	 */
	POLL_KEEPALIVE_MS = 3000,
	/*
	 * An engine is considered dead for the duration of a pass and this time, in milliseconds,
	 * unless the next pass renews that.
	 */
	POLL_DEAD_MS = 1500,
	HTTP_OK = 200
};

/* A request for a report in the present round. */
struct poll_call {
	struct poll *poll;
	char *endpoint;	 /* incarnation of the engine */
	int64_t born_ms; /* start time of that incarnation, Unix time in milliseconds */
	struct way_call *call;
};

struct poll {
	struct ctrl *ctrl;
	GPtrArray *calls;      /* struct poll_call, the requests under way */
	GArray *loads;	       /* struct router_load, from the present round; NULL between rounds */
	guint asked;	       /* number of engines polled in the present round */
	guint last_silent;     /* number of silent engines at the end of the previous round */
	struct miss miss;      /* engines that did not answer */
	struct pass pass;      /* engines still to be polled in the present pass */
	guint pass_engines;    /* number of engines in the present pass */
	int64_t next_round_us; /* time at which the next round begins, in microseconds */
};

static bool poll_on_head(void *ctx, int status, const GPtrArray *headers);
static void poll_on_done(void *ctx, int status, int err, bool sent, const char *body, size_t len);

static const struct hc_ops poll_ops = {.on_head = poll_on_head, .on_done = poll_on_done};

static void poll_call_free(gpointer data)
{
	struct poll_call *call = data;

	if (call->call)
		way_cancel(call->call);
	g_free(call->endpoint);
	g_free(call);
}

struct poll *poll_new(struct ctrl *ctrl)
{
	struct poll *poll = g_new0(struct poll, 1);

	poll->ctrl = ctrl;
	poll->calls = g_ptr_array_new_with_free_func(poll_call_free);
	miss_init(&poll->miss);
	pass_init(&poll->pass);
	return poll;
}

void poll_free(struct poll *poll)
{
	g_ptr_array_unref(poll->calls);
	miss_finish(&poll->miss);
	pass_finish(&poll->pass);
	g_clear_pointer(&poll->loads, g_array_unref);
	g_free(poll);
}

static void poll_ask(struct poll *poll, const struct ep_rec *rec)
{
	struct ctrl *ctrl = poll->ctrl;
	struct poll_call *call = g_new0(struct poll_call, 1);
	char *url =
		g_strdup_printf("http://%s%s", rec->addr, ctrl->router->seam->engine.report_path());
	struct way_request request = {
		.http = {.method = "GET",
			 .url = url,
			 .connect_ms = POLL_CALL_MS,
			 .total_ms = POLL_CALL_MS,
			 .close = pass_duration_us(poll->pass_engines) >
				  tmr_from_ms(POLL_KEEPALIVE_MS)},
		.addr = rec->addr,
		.harmless = true,
	};

	call->poll = poll;
	call->endpoint = g_strdup(rec->incarnation);
	call->born_ms = rec->born_ms;
	g_ptr_array_add(poll->calls, call);
	call->call = way_start(ctrl->way, &request, &poll_ops, call);
	g_free(url);
}

static bool poll_is_engine(const struct ctrl *ctrl, const struct ep_rec *rec)
{
	const struct rt_service *service = g_hash_table_lookup(ctrl->conf->services, rec->service);

	return service && rt_is_layered(service) && rec->layer_to > rec->layer_from;
}

/* Begins a pass over all engines that are listed now. */
static void poll_begin_pass(struct poll *poll)
{
	GHashTable *listed = ep_incarnation_set(&poll->ctrl->endpoints);
	GPtrArray *engines = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, poll->ctrl->endpoints.entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct ep_entry *entry = value;

		if (poll_is_engine(poll->ctrl, entry->rec))
			g_ptr_array_add(engines, entry->rec->incarnation);
	}
	miss_forget_unlisted(&poll->miss, listed);
	poll->pass_engines = engines->len;
	pass_begin(&poll->pass, engines);
	g_ptr_array_unref(engines);
	g_hash_table_destroy(listed);
}

static const struct ep_rec *poll_find_listed(const struct poll *poll, const char *incarnation)
{
	char *id = g_strndup(incarnation, (gsize)(strrchr(incarnation, '@') - incarnation));
	const struct ep_entry *entry = g_hash_table_lookup(poll->ctrl->endpoints.entries, id);

	g_free(id);
	return entry && strcmp(entry->rec->incarnation, incarnation) == 0 ? entry->rec : NULL;
}

static void poll_begin(struct poll *poll)
{
	GPtrArray *round;

	if (pass_is_over(&poll->pass))
		poll_begin_pass(poll);
	round = pass_next_round(&poll->pass);
	poll->loads = loads_new();
	miss_begin(&poll->miss);
	for (guint i = 0; i < round->len; i++) {
		const struct ep_rec *rec = poll_find_listed(poll, round->pdata[i]);

		/* An engine that has requested a rest is left out until its rest is over. */
		if (rec && !notice_in_backoff(poll->ctrl, rec->incarnation, tmr_now()))
			poll_ask(poll, rec);
	}
	g_ptr_array_unref(round);
}

/* Reports an engine as dead that has not answered repeatedly, or polls it again soon. */
static void poll_on_silent(void *ctx, const char *engine, bool is_dead)
{
	struct poll *poll = ctx;
	int64_t for_ms = POLL_DEAD_MS + pass_duration_us(poll->pass_engines) / TMR_US_PER_MS;
	const struct suspect suspect = {engine, for_ms, SUSPECT_NO_REPORT, 0};

	if (is_dead)
		suspect_apply(poll->ctrl, &suspect, poll);
	else
		pass_retry(&poll->pass, engine);
}

/* Logs the round if the number of silent engines has changed. */
static void poll_log_round(const struct poll *poll, guint answered)
{
	if (poll->last_silent == miss_count_silent(&poll->miss))
		return;
	jl_begin(JL_UNLIMITED, "reports");
	jl_int("asked", poll->asked);
	jl_int("answered", answered);
	jl_int("silent", miss_count_silent(&poll->miss));
	jl_end();
}

static void poll_end(struct poll *poll)
{
	GArray *loads = g_steal_pointer(&poll->loads);

	poll_log_round(poll, loads->len);
	miss_end(&poll->miss, poll_on_silent, poll);
	poll->last_silent = miss_count_silent(&poll->miss);
	if (loads->len > 0)
		loads_publish_round(poll->ctrl, loads);
	else
		g_array_unref(loads);
}

/*
 * Only one reader polls the engines; the other hosts receive the loads through the feed. If two
 * readers poll at the same time, this only costs additional calls.
 */
void poll_on_tick(struct poll *poll, int64_t now_us)
{
	struct ctrl *ctrl = poll->ctrl;

	if (!ctrl_polls_engines(ctrl) || ctrl->stopping || !ctrl->conf) {
		g_ptr_array_set_size(poll->calls, 0);
		g_clear_pointer(&poll->loads, g_array_unref);
		return;
	}
	if (now_us < poll->next_round_us || poll->loads)
		return;
	poll_begin(poll);
	poll->asked = poll->calls->len;
	poll->next_round_us = now_us + poll->pass.round_us;
	if (poll->calls->len == 0)
		poll_end(poll);
}

/* Returns the used memory in eighths, so that small changes are not sent to the other hosts. */
static int poll_memory_eighths(const struct seam_report *report)
{
	double part = report->kv_total > 0 ? report->kv_used / report->kv_total : 0;

	return (int)(CLAMP(part, 0, 1) * ROUTER_MEMORY_STEPS + 0.5);
}

/* Stores the report of an engine whose listed incarnation is still running. */
static void poll_store_report(struct poll *poll, const struct poll_call *call,
			      const struct seam_report *report)
{
	const struct router_load load = {g_strdup(call->endpoint), report->pace,
					 poll_memory_eighths(report)};

	g_array_append_val(poll->loads, load);
	miss_on_answer(&poll->miss, call->endpoint);
}

/*
 * Reports that the engine has restarted since it was listed, so the listed layers are those of an
 * earlier incarnation. Without this, pipelines would use the engine until its next heartbeat.
 */
static void poll_post_restarted(struct poll *poll, const struct poll_call *call)
{
	const struct suspect suspect = {call->endpoint, POLL_DEAD_MS, SUSPECT_RESTARTED, 0};

	suspect_apply(poll->ctrl, &suspect, poll);
}

static bool poll_on_head(void *ctx, int status, const GPtrArray *headers)
{
	const struct poll_call *call = ctx;

	notice_read_headers(call->poll->ctrl, call->endpoint, status, headers);
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
	    poll->ctrl->router->seam->engine.parse_report(str_make(body, len), &report) == 0) {
		if (report.born_ms != 0 && report.born_ms > call->born_ms)
			poll_post_restarted(poll, call);
		else
			poll_store_report(poll, call, &report);
		seam_report_finish(&report);
	} else {
		met_add(met_counter("bg_reports_missed_total", ""), 1);
		miss_on_silence(&poll->miss, call->endpoint);
	}
	g_ptr_array_remove_fast(poll->calls, call);
	if (poll->calls->len == 0)
		poll_end(poll);
}
