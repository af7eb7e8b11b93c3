#include "prog/entry.h"
#include "base/err.h"
#include "base/log.h"
#include "base/met.h"

#include <ck_pr.h>
#include <string.h>

enum {
	ENTRY_TICK_US = 50000 /* interval of the control thread's periodic work, in microseconds */
};

#define ENTRY_OFF(field) offsetof(struct entry_settings, field)

static const struct settings_item entry_items[] = {
	{"host", "name", SETTINGS_TEXT, ENTRY_OFF(name), NULL, 1, 0},
	{"host", "zone", SETTINGS_TEXT, ENTRY_OFF(zone), NULL, 1, 0},
	{"entry", "listen", SETTINGS_ADDR, ENTRY_OFF(listen), NULL, 0, 0},
	{"entry", "peer", SETTINGS_ADDR, ENTRY_OFF(peer), NULL, 0, 0},
	{"entry", "control", SETTINGS_ADDR, ENTRY_OFF(control), NULL, 0, 0},
	{"entry", "threads", SETTINGS_INT, ENTRY_OFF(threads), "2", 1, 64},
	{"entry", "seed", SETTINGS_INT, ENTRY_OFF(seed), "1", 0, INT32_MAX},
	{"entry", "body_max", SETTINGS_INT, ENTRY_OFF(body_max), "1048576", 1024, 1 << 30},
	{"entry", "pending_max", SETTINGS_INT, ENTRY_OFF(pending_max), "262144", 1024, 1 << 30},
	{"entry", "deadline_ms", SETTINGS_INT, ENTRY_OFF(deadline_ms), "120000", 1, 86400000},
	{"entry", "drain_ms", SETTINGS_INT, ENTRY_OFF(drain_ms), "1000", 0, 600000},
	{"entry", "keep_s", SETTINGS_INT, ENTRY_OFF(finished_keep_s), "120", 1, 86400},
	{"peers", "heartbeat_ms", SETTINGS_INT, ENTRY_OFF(heartbeat_ms), "300", 10, 600000},
	{"peers", "silent_ms", SETTINGS_INT, ENTRY_OFF(silent_ms), "900", 10, 600000},
	{"peers", "idle_ms", SETTINGS_INT, ENTRY_OFF(idle_ms), "5000", 10, 600000},
	{"peers", "suspect_ms", SETTINGS_INT, ENTRY_OFF(suspect_ms), "2000", 10, 600000},
	{"claims", "partitions", SETTINGS_INT, ENTRY_OFF(claim_partitions), "64", 1, 4096},
	{"claims", "claim_ms", SETTINGS_INT, ENTRY_OFF(claim_ms), "4000", 1, 600000},
	{"claims", "dispatch_ms", SETTINGS_INT, ENTRY_OFF(dispatch_ms), "4000", 1, 600000},
	{"attempts", "first_floor_ms", SETTINGS_INT, ENTRY_OFF(first_floor_ms), "700", 1, 600000},
	{"attempts", "first_ceiling_ms", SETTINGS_INT, ENTRY_OFF(first_ceiling_ms), "5000", 1,
	 600000},
	{"attempts", "gap_floor_ms", SETTINGS_INT, ENTRY_OFF(gap_floor_ms), "500", 1, 600000},
	{"attempts", "gap_ceiling_ms", SETTINGS_INT, ENTRY_OFF(gap_ceiling_ms), "3000", 1, 600000},
	{"attempts", "backoff_ms", SETTINGS_INT, ENTRY_OFF(backoff_ms), "100", 1, 600000},
	{"attempts", "resume_ms", SETTINGS_INT, ENTRY_OFF(resume_ms), "10000", 1, 600000},
	{"attempts", "most", SETTINGS_INT, ENTRY_OFF(attempts_max), "4", 1, 100},
	{"attempts", "retry_burst", SETTINGS_INT, ENTRY_OFF(retry_burst), "200", 0, 1000000},
	{"attempts", "retry_percent", SETTINGS_INT, ENTRY_OFF(retry_percent), "20", 0, 100},
};

static void entry_on_tick(void *ctx, int64_t now_us)
{
	struct entry *e = ctx;

	e->cpu_us = loop_thread_cpu_us();
	entry_broker_tick(e, now_us);
	entry_view_report_in_force(e);
	loop_start_timer(&e->loop, &e->tick_timer, ENTRY_TICK_US, entry_on_tick, e);
}

static void entry_on_drain_timer(void *ctx, int64_t now_us)
{
	struct entry *e = ctx;
	bool drain_over = now_us - e->stop_us >= e->settings.drain_ms * USEC_PER_MSEC;
	bool open = ck_pr_load_uint(&e->open_calls) > 0 || hd_open_requests(e->hd) > 0;
	enum drain_step step = drain_over ? drain_check(&e->drain, open, false) : DRAIN_WAIT;

	if (step == DRAIN_END) {
		loop_stop(&e->loop);
		return;
	}
	if (step == DRAIN_REFUSE)
		hd_refuse(e->hd);
	loop_start_timer(&e->loop, &e->drain_timer, ENTRY_TICK_US, entry_on_drain_timer, e);
}

/*
 * Shuts down gracefully. /readyz reports "not ready", but the load balancer reacts with a delay, so
 * requests that still arrive are served. The daemon exits after drain_ms, once no answer is being
 * sent to a caller and no run is continuing without its caller.
 */
static void entry_begin_shutdown(void *ctx)
{
	struct entry *e = ctx;
	struct entry_event *event;

	if (e->stopping)
		return;
	e->stopping = true;
	e->stop_us = tmr_now();
	ck_pr_store_uint(&e->ready, 0);
	log_msg(LOG_NOTICE, "stopping open_calls=%u", ck_pr_load_uint(&e->open_calls));
	event = g_new0(struct entry_event, 1);
	event->kind = ENTRY_EVENT_DRAIN;
	entry_send_event(e, event);
	entry_on_drain_timer(e, e->stop_us);
}

static int entry_listen(struct entry *e)
{
	struct hd_config config = {
		.addr = e->settings.listen,
		.threads = (unsigned int)e->settings.threads,
		.body_max = (size_t)e->settings.body_max,
		.pending_max = (size_t)e->settings.pending_max,
		.too_large = "{\"error\":{\"code\":\"too_large\",\"message\":"
			     "\"the body is over the limit\"}}",
		.handler = entry_http_handler,
		.ctx = e,
	};

	e->hd = hd_start(&config);
	if (!e->hd) {
		log_msg(LOG_ERR, "listen_failed addr=%s", e->settings.listen);
		return BASE_ESYS;
	}
	return 0;
}

int main(int argc, char **argv)
{
	struct entry *e = g_new0(struct entry, 1);

	prog_start(&argc, &argv, "Entry daemon of a bronzegauge host.", entry_items,
		   G_N_ELEMENTS(entry_items), &e->settings);
	if (loop_init(&e->loop) < 0)
		return PROG_EXIT_FAILED;
	prog_on_stop(&e->loop, entry_begin_shutdown, e);
	e->started_us = tmr_now();
	e->boot_id =
		g_strdup_printf("%s-%" G_GINT64_MODIFIER "x", e->settings.name, g_get_real_time());
	entry_broker_start(e);
	if (entry_traffic_start(e) < 0)
		return PROG_EXIT_FAILED;
	entry_view_start(e);
	if (entry_listen(e) < 0)
		return PROG_EXIT_FAILED;
	loop_start_timer(&e->loop, &e->tick_timer, ENTRY_TICK_US, entry_on_tick, e);
	log_msg(LOG_INFO, "started host=%s listen=%s", e->settings.name, e->settings.listen);
	loop_run(&e->loop);
	log_msg(LOG_INFO, "stopped host=%s", e->settings.name);
	return PROG_EXIT_OK;
}
