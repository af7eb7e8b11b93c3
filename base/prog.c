#include "base/prog.h"
#include "base/err.h"
#include "base/log.h"

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

enum {
	PROG_STATUS_NO_JSON = 500 /* status of a reply whose body can't be written */
};

/* A watched set of signals and its callback. */
struct prog_signal {
	struct loop_fd lfd;
	void (*fn)(void *ctx);
	void *ctx;
};

static gchar *prog_config;
static gchar *prog_log_level;
static gboolean prog_check;
static prog_check_fn prog_check_settings; /* NULL: none */
static gboolean prog_version;

static GOptionEntry prog_options[] = {
	{"config", 'c', 0, G_OPTION_ARG_FILENAME, &prog_config, "settings file (INI)", "FILE"},
	{"check", 0, 0, G_OPTION_ARG_NONE, &prog_check, "check the settings and exit", NULL},
	{"log-level", 'l', 0, G_OPTION_ARG_STRING, &prog_log_level,
	 "err, warning, notice, info or debug", "LEVEL"},
	{"version", 'V', 0, G_OPTION_ARG_NONE, &prog_version, "print the version and exit", NULL},
	{NULL, 0, 0, 0, NULL, NULL, NULL},
};

/* Prints an error message and exits. */
static void prog_usage_error(const char *program, const char *text)
{
	fprintf(stderr, "%s: %s\n", program, text);
	exit(PROG_EXIT_USAGE);
}

void prog_set_check(prog_check_fn check)
{
	prog_check_settings = check;
}

int prog_load_settings(const struct settings_item *items, size_t n, void *settings, GString *errors)
{
	int err = settings_load(prog_config, items, n, settings, errors);
	char *wrong = NULL;

	if (err == 0 && prog_check_settings)
		wrong = prog_check_settings(settings);
	if (!wrong)
		return err;
	g_string_append_printf(errors, "%s: %s\n", prog_config, wrong);
	g_free(wrong);
	return BASE_ESETTING;
}

static void prog_read_settings(const char *program, const struct settings_item *items, size_t n,
			       void *settings)
{
	GString *errors = g_string_new(NULL);

	if (!prog_config)
		prog_config = g_strdup(g_getenv("BRONZEGAUGE_CONFIG"));
	if (!prog_config)
		prog_usage_error(program, "--config FILE is missing");
	if (prog_load_settings(items, n, settings, errors) < 0) {
		fputs(errors->str, stderr);
		exit(PROG_EXIT_USAGE);
	}
	g_string_free(errors, TRUE);
	if (prog_check) {
		printf("%s: settings are well formed\n", prog_config);
		exit(PROG_EXIT_OK);
	}
}

const char *prog_config_path(void)
{
	return prog_config;
}

void prog_start(int *argc, char ***argv, const char *summary, const struct settings_item *items,
		size_t n, void *settings)
{
	GOptionContext *context = g_option_context_new(NULL);
	char *program = g_path_get_basename((*argv)[0]);
	GError *error = NULL;

	g_option_context_set_summary(context, summary);
	g_option_context_add_main_entries(context, prog_options, NULL);
	if (!g_option_context_parse(context, argc, argv, &error))
		prog_usage_error(program, error->message);
	if (*argc > 1)
		prog_usage_error(program, "takes no arguments besides options");
	if (prog_version) {
		printf("%s %s\n", program, PROG_VERSION);
		exit(PROG_EXIT_OK);
	}
	log_open(program, LOG_INFO);
	if (prog_log_level && !log_set_level(prog_log_level))
		prog_usage_error(program, "unknown log level");
	prog_read_settings(program, items, n, settings);
	g_option_context_free(context);
}

static void prog_on_signal(void *ctx, uint32_t events)
{
	struct prog_signal *watch = ctx;
	struct signalfd_siginfo info;

	(void)events;
	if (read(watch->lfd.fd, &info, sizeof(info)) == (ssize_t)sizeof(info))
		watch->fn(watch->ctx);
}

/* Ends a program that can't start: without its signals it could not be stopped. */
static void prog_fail(const char *why)
{
	log_msg(LOG_ERR, "start_failed why=%s errno=%d", why, errno);
	exit(PROG_EXIT_FAILED);
}

static void prog_watch_signals(struct loop *loop, const sigset_t *set, void (*fn)(void *ctx),
			       void *ctx)
{
	struct prog_signal *watch = g_new0(struct prog_signal, 1);

	if (pthread_sigmask(SIG_BLOCK, set, NULL) != 0)
		prog_fail("signals not blocked");
	watch->lfd.fd = signalfd(-1, set, SFD_NONBLOCK | SFD_CLOEXEC);
	watch->lfd.fn = prog_on_signal;
	watch->lfd.ctx = watch;
	watch->fn = fn;
	watch->ctx = ctx;
	if (loop_fd_add(loop, &watch->lfd, EPOLLIN) < 0)
		prog_fail("signals not watched");
}

void prog_on_stop(struct loop *loop, void (*fn)(void *ctx), void *ctx)
{
	sigset_t set;

	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	prog_watch_signals(loop, &set, fn, ctx);
}

void prog_on_reload(struct loop *loop, void (*fn)(void *ctx), void *ctx)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGHUP);
	prog_watch_signals(loop, &set, fn, ctx);
}

/* A value that is no UTF-8 text is no JSON, and json_pack() returns NULL for all that contains it.
 */
void prog_reply_json(struct hd_call *call, int status, json_t *body)
{
	static const char no_json[] = "{\"error\":{\"code\":\"no_json\"}}";
	char *text = json_dumps(body, JSON_COMPACT);

	if (text)
		hd_reply(call, status, "application/json", text, strlen(text));
	else
		hd_reply(call, PROG_STATUS_NO_JSON, "application/json", no_json, strlen(no_json));
	free(text);
	json_decref(body);
	hd_unref(call);
}

const char *prog_path_suffix(const char *path, const char *prefix)
{
	size_t len = strlen(prefix);

	return strncmp(path, prefix, len) == 0 ? path + len : NULL;
}
