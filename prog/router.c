#include "base/drain.h"
#include "base/jl.h"
#include "base/met.h"
#include "platform/pf.h"
#include "base/prog.h"
#include "router/bodies.h"
#include "router/ends.h"
#include "router/gateway.h"
#include "router/router.h"

#include <ck_pr.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>

enum {
	/*
	 * Time for which a stopping host serves new connections, in milliseconds. The balancer
	 * stops sending them only after two readiness checks, a second apart.
	 */
	ROUTER_STOP_SERVE_MS = 3000,

	/* Interval of checks whether a stopping host can exit, in milliseconds. */
	ROUTER_STOP_POLL_MS = 100,

	/* Part of the grace time reserved for the exit itself, in milliseconds. */
	ROUTER_EXIT_RESERVE_MS = 400,

	/*
	 * Time before the end of the grace time, in milliseconds, at which the host lets no
	 * further client connect and at which it ends what is still open.
	 */
	ROUTER_REFUSE_RESERVE_MS = 1000,
	ROUTER_END_RESERVE_MS = 600,

	/* Interval of checks whether the settings file has changed, in milliseconds. */
	ROUTER_SETTINGS_POLL_MS = 2000,

	ROUTER_THREADS = 1 /* Threads of each HTTP server. */
};

/* A row of the table of settings: section and key of the file, type, field, default and range. */
#define ITEM(section, key, type, field, initial, min, max)                                         \
	{                                                                                          \
		section, key, type, offsetof(struct router_settings, field), initial, min, max     \
	}

const struct settings_item router_setting_items[] = {
	ITEM("host", "name", SETTINGS_TEXT, name, NULL, 1, 0),
	ITEM("host", "zone", SETTINGS_TEXT, zone, NULL, 1, 0),
	ITEM("host", "first_start", SETTINGS_INT, first_start, "0", 0, 1),
	ITEM("host", "link_mbps", SETTINGS_REAL, link_mbps, "1000", 0, 1000000),
	ITEM("host", "cores", SETTINGS_REAL, cores, "1", 0, 1024),
	ITEM("host", "source", SETTINGS_ADDR, source, "", 0, 0),
	ITEM("listen", "front", SETTINGS_ADDR, front, NULL, 0, 0),
	ITEM("listen", "ready", SETTINGS_ADDR, ready, NULL, 0, 0),
	ITEM("listen", "metrics", SETTINGS_ADDR, metrics, NULL, 0, 0),
	ITEM("listen", "control", SETTINGS_ADDR, control, NULL, 0, 0),
	ITEM("listen", "control_known_as", SETTINGS_ADDR, control_known_as, "", 0, 0),
	ITEM("hosts", "seeds", SETTINGS_TEXT, seeds, "", 0, 0),
	ITEM("store", "address", SETTINGS_ADDR, store, NULL, 0, 0),
	ITEM("store", "apply_ms", SETTINGS_INT, apply_ms, "2000", 10, 600000),
	ITEM("endpoints", "drain_ms", SETTINGS_INT, drain_ms, "2000", 10, 600000),
	ITEM("endpoints", "heartbeat_ms", SETTINGS_INT, heartbeat_ms, "1200", 10, 600000),
	ITEM("repeats", "ratio", SETTINGS_REAL, repeat_ratio, "0.2", 0, 1000),
	ITEM("repeats", "window_s", SETTINGS_REAL, repeat_window_s, "10", 1, 3600),
	ITEM("repeats", "fixed", SETTINGS_REAL, repeat_fixed, "10", 0, 1000000),
	ITEM("stop", "grace_s", SETTINGS_INT, grace_s, "8", 1, 3600),
	ITEM("requests", "body_total_mb", SETTINGS_INT, body_total_mb, "64", 1, 1048576),
	ITEM("answers", "unsent_kb", SETTINGS_INT, answer_unsent_kb, "256", 32, 1048576),
	ITEM("answers", "unsent_total_mb", SETTINGS_INT, answers_unsent_mb, "48", 1, 1048576),
	ITEM("log", "lines_per_s", SETTINGS_INT, log_lines, "300", 0, 1000000),
};
const size_t router_setting_items_n = G_N_ELEMENTS(router_setting_items);

/* Sections whose settings should be the same on all hosts; the others identify a host. */
static const char *const router_shared_sections[] = {"store", "endpoints", "repeats",
						     "stop",  "log",	   NULL};

#define ROUTER_STATE_PATH "/state"
#define ROUTER_CLEAR_PATH "/quarantine/clear"

/*
 * Identifies a state of the settings file, to detect changes. The modification time includes
 * nanoseconds: with seconds alone, the second of two changes within one second would not be
 * detected until a third change.
 */
struct router_file_stamp {
	struct timespec time; /* Time of the last modification. */
	ino_t inode;	      /* Detects a replacement by a file with an older time. */
	off_t size;	      /* Size in bytes. */
};

struct router_main {
	struct router router;
	struct loop loop;
	struct tmr stop_timer;	   /* Timer of the next check whether the host can exit. */
	struct tmr settings_timer; /* Timer of the next check for a changed settings file. */
	struct drain drain;	   /* Progress of a stop. */
	bool ended_requests;	   /* The requests that were open have been ended. */
	bool closed;		   /* Connections without an open request have been closed. */
	struct router_file_stamp settings_file; /* The settings file when it was last checked. */
};

static struct router_main router_main;

static void router_on_ready_call(void *ctx, struct hd_call *call)
{
	struct router *router = ctx;
	bool ready = g_atomic_int_get(&router->is_ready) && !g_atomic_int_get(&router->stopping);
	const char *path = router->seam->wire.ready_path();

	if (strcmp(hd_path(call), path) != 0)
		hd_reply(call, 404, "text/plain", "", 0);
	else
		hd_reply(call, ready ? 200 : 503, "text/plain", "", 0);
	hd_unref(call);
}

static void router_on_metrics_call(void *ctx, struct hd_call *call)
{
	GString *text;

	if (strcmp(hd_path(call), ROUTER_STATE_PATH) == 0) {
		state_reply(ctx, call);
		return;
	}
	if (strcmp(hd_path(call), ROUTER_CLEAR_PATH) == 0 && strcmp(hd_method(call), "POST") == 0) {
		state_clear_quarantine(ctx, call);
		return;
	}
	text = g_string_new(NULL);
	met_write(text);
	hd_reply(call, 200, "text/plain", text->str, text->len);
	g_string_free(text, TRUE);
	hd_unref(call);
}

static struct hd *router_start_server(const struct hd_config *config)
{
	struct hd *hd = hd_start(config);

	if (hd)
		return hd;
	jl_begin(JL_UNLIMITED, "listen_failed");
	jl_str("addr", config->addr);
	jl_end();
	exit(PROG_EXIT_FAILED);
}

/* Starts the HTTP server for callers. */
static struct hd *router_listen_front(struct router *router)
{
	const struct hd_config config = {
		.addr = router->settings.front,
		.threads = ROUTER_THREADS,
		.any_head = true,
		.body_max = ROUTER_BODY_MAX,
		.handler = traf_on_call,
		.may_accept = traf_may_accept,
		.may_hold = traf_may_hold_body,
		.refuse = traf_refuse_body,
		.on_end = ends_on_request,
		.on_drained = traf_on_drained,
		.ctx = router,
	};

	return router_start_server(&config);
}

/* Starts an HTTP server for the platform and for operators. */
static struct hd *router_listen(const char *addr, hd_handler handler, struct router *router)
{
	const struct hd_config config = {
		.addr = addr,
		.threads = ROUTER_THREADS,
		.body_max = ROUTER_BODY_MAX,
		.handler = handler,
		.ctx = router,
	};

	return router_start_server(&config);
}

/* Logs an event of the process together with its main settings. */
static void router_log_event(const char *event, const char *detail)
{
	const struct router *router = &router_main.router;
	const struct router_settings *s = &router->settings;

	jl_begin(JL_UNLIMITED, event);
	jl_str("zone", s->zone);
	jl_str("front", s->front);
	jl_str("store", s->store);
	jl_int("first_start", s->first_start);
	jl_hex("settings", router->settings_origin.digest);
	jl_str("by", router->settings_origin.by);
	jl_str("waiting", router->settings_waiting);
	jl_str("detail", detail);
	jl_end();
}

/* Records the digest of the settings in force and the cause of the last change. */
static void router_set_origin(struct router *router, const char *cause)
{
	router_origin_set(&router->settings_origin,
			  settings_digest(router_setting_items, router_setting_items_n,
					  &router->settings, router_shared_sections),
			  cause);
}

/*
 * Applies the settings that can change while the program runs. Other changes take effect at the
 * next restart; their keys are reported as waiting, so that operators know that the host runs with
 * other settings than its file contains. Returns whether anything has changed.
 */
static bool router_apply_settings(struct router *router, struct router_settings *fresh,
				  const char *cause)
{
	GString *waiting = g_string_new(NULL);
	char *before = router->settings_waiting;
	uint64_t digest = router->settings_origin.digest;
	bool changed;

	router->settings.log_lines = fresh->log_lines;
	router->settings.grace_s = fresh->grace_s;
	fresh->first_start = router->settings.first_start;
	jl_set_rate(fresh->log_lines);
	settings_differing(router_setting_items, router_setting_items_n, &router->settings, fresh,
			   waiting);
	router->settings_waiting = g_string_free(waiting, FALSE);
	router_set_origin(router, cause);
	changed = digest != router->settings_origin.digest ||
		  strcmp(before ? before : "", router->settings_waiting) != 0;
	g_free(before);
	return changed;
}

/*
 * Reads the settings file again. A file without effective changes, such as one that was changed
 * back or was read at the start already, is logged only if the reload was requested.
 */
static void router_reload(struct router_main *m, const char *cause, bool requested)
{
	struct router_origin before = m->router.settings_origin;
	struct router_settings fresh;
	GString *errors = g_string_new(NULL);

	memset(&fresh, 0, sizeof(fresh));
	if (prog_load_settings(router_setting_items, router_setting_items_n, &fresh, errors) < 0) {
		g_strdelimit(errors->str, "\n", ' ');
		router_log_event("reload_failed", errors->str);
	} else if (router_apply_settings(&m->router, &fresh, cause) || requested) {
		router_log_event("reload", NULL);
	} else {
		m->router.settings_origin = before;
	}
	settings_clear(router_setting_items, router_setting_items_n, &fresh);
	g_string_free(errors, TRUE);
}

static void router_on_reload(void *ctx)
{
	router_reload(ctx, "signal", true);
}

/*
 * Returns whether the settings file has changed. A missing file is no change: it may be about to be
 * replaced.
 */
static bool router_file_changed(struct router_file_stamp *file)
{
	struct router_file_stamp now;
	struct stat st;

	if (stat(prog_config_path(), &st) < 0)
		return false;
	memset(&now, 0, sizeof(now));
	now.time = st.st_mtim;
	now.inode = st.st_ino;
	now.size = st.st_size;
	if (memcmp(&now, file, sizeof(now)) == 0)
		return false;
	*file = now;
	return true;
}

static void router_on_settings_timer(void *ctx, int64_t now_us)
{
	struct router_main *m = ctx;

	(void)now_us;
	if (router_file_changed(&m->settings_file))
		router_reload(m, "file", false);
	loop_start_timer(&m->loop, &m->settings_timer, tmr_from_ms(ROUTER_SETTINGS_POLL_MS),
			 router_on_settings_timer, m);
}

/* Logs what is still open when the process ends: callers of these requests get no whole answer. */
static void router_log_cut(const struct router_main *m)
{
	jl_begin(JL_UNLIMITED, "stop_cuts");
	jl_int("requests", hd_open_requests(m->router.front));
	jl_int("tunnels", gateway_open_tunnels(traf_gateway(m->router.traf)));
	jl_end();
}

/* Returns whether a request or a tunnel is open. */
static bool router_is_open(const struct router *router)
{
	return traf_open_requests(router->traf) > 0 || hd_open_requests(router->front) > 0 ||
	       gateway_open_tunnels(traf_gateway(router->traf)) > 0;
}

static void router_end_requests(struct router_main *m)
{
	if (m->ended_requests)
		return;
	m->ended_requests = true;
	traf_end_requests(m->router.traf);
}

/* Closes what callers keep open, so that no request is read between the last check and the exit. */
static void router_close_idle(struct router_main *m)
{
	m->closed = true;
	hd_close_all_idle(m->router.front);
}

/*
 * Takes the next step of a stop, see base/drain.h. Connections are accepted until the balancer has
 * had time to stop sending them. Shortly before the end of the grace time, when the process would
 * be killed, each step is taken in any case.
 */
static void router_on_stop_timer(void *ctx, int64_t now_us)
{
	struct router_main *m = ctx;
	int64_t since_ms = (now_us - m->router.stop_us) / TMR_US_PER_MS;
	int64_t left_ms = m->router.settings.grace_s * 1000 - since_ms;
	bool open = router_is_open(&m->router);
	enum drain_step step = DRAIN_WAIT;
	bool may_end;

	if (since_ms >= ROUTER_STOP_SERVE_MS)
		step = drain_check(&m->drain, open, left_ms <= ROUTER_REFUSE_RESERVE_MS);
	if (step == DRAIN_REFUSE)
		hd_refuse(m->router.front);
	may_end = step == DRAIN_END && m->closed;
	if (left_ms <= ROUTER_END_RESERVE_MS)
		router_end_requests(m);
	if (step == DRAIN_END || m->ended_requests)
		router_close_idle(m);
	if (!may_end && left_ms > ROUTER_EXIT_RESERVE_MS) {
		loop_start_timer(&m->loop, &m->stop_timer, tmr_from_ms(ROUTER_STOP_POLL_MS),
				 router_on_stop_timer, m);
		return;
	}
	if (open)
		router_log_cut(m);
	loop_stop(&m->loop);
}

static void router_on_stop(void *ctx)
{
	struct router_main *m = ctx;

	if (m->router.stop_us > 0)
		return;
	m->router.stop_us = tmr_now();
	router_log_event("stopping", NULL);
	g_atomic_int_set(&m->router.stopping, 1);
	hd_set_connection_close(m->router.front);
	hd_release_responses(m->router.front);
	ctrl_stop(m->router.ctrl);
	loop_start_timer(&m->loop, &m->stop_timer, 0, router_on_stop_timer, m);
}

/* Ends a process that can't start: callers would wait for answers that nobody gives. */
static void router_fail_start(const char *part)
{
	jl_begin(JL_UNLIMITED, "start_failed");
	jl_str("part", part);
	jl_end();
	exit(PROG_EXIT_FAILED);
}

/* A total below one answer would hold each answer at once, although it is alone. */
static char *router_check_answers(const struct router_settings *s)
{

	if (s->answers_unsent_mb << 10 >= s->answer_unsent_kb)
		return NULL;
	return g_strdup_printf("[answers] unsent_total_mb = '%" G_GINT64_FORMAT
			       "': less than one answer, unsent_kb = '%" G_GINT64_FORMAT "'",
			       s->answers_unsent_mb, s->answer_unsent_kb);
}

/* A total below one body would refuse it each time, although it is alone. */
static char *router_check_bodies(const struct router_settings *s)
{
	uint64_t least = bodies_least_total(ROUTER_BODY_MAX);

	if (bodies_fits_one((uint64_t)s->body_total_mb << 20, ROUTER_BODY_MAX))
		return NULL;
	return g_strdup_printf("[requests] body_total_mb = '%" G_GINT64_FORMAT
			       "': less than one body of %d MiB and the quarter that is kept for "
			       "short bodies: at least %d",
			       s->body_total_mb, ROUTER_BODY_MAX >> 20,
			       (int)((least + (1 << 20) - 1) >> 20));
}

static char *router_check_settings(const void *settings)
{
	char *error = router_check_answers(settings);

	return error ? error : router_check_bodies(settings);
}

int main(int argc, char **argv)
{
	struct router_main *m = &router_main;
	struct router *router = &m->router;

	prog_set_check(router_check_settings);
	prog_start(&argc, &argv, "Request router of a bronzegauge host on the users' platform.",
		   router_setting_items, router_setting_items_n, &router->settings);
	jl_open(router->settings.name);
	jl_set_rate(router->settings.log_lines);
	if (loop_init(&m->loop) < 0)
		router_fail_start("control loop");
	prog_on_stop(&m->loop, router_on_stop, m);
	prog_on_reload(&m->loop, router_on_reload, m);
	router->seam = &pf_seam;
	/* A request may arrive as soon as a server listens, and its handler needs both. */
	router->ctrl = ctrl_new(router, &m->loop);
	router->traf = traf_start(router);
	if (!router->traf)
		router_fail_start("traffic thread");
	router->front = router_listen_front(router);
	router->ready_hd = router_listen(router->settings.ready, router_on_ready_call, router);
	router->metrics_hd =
		router_listen(router->settings.metrics, router_on_metrics_call, router);
	ctrl_start(router->ctrl);
	router_set_origin(router, "start");
	loop_start_timer(&m->loop, &m->settings_timer, tmr_from_ms(ROUTER_SETTINGS_POLL_MS),
			 router_on_settings_timer, m);
	router_log_event("start", PROG_VERSION);
	loop_run(&m->loop);
	router_log_event("stop", NULL);
	_Exit(PROG_EXIT_OK);
}
