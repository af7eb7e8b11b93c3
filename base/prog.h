#ifndef BASE_PROG_H
#define BASE_PROG_H

#include "base/hd.h"
#include "base/loop.h"
#include "base/settings.h"

#include <jansson.h>

G_BEGIN_DECLS

/* Version that --version prints. */
#define PROG_VERSION "0.1.0"

/* Exit statuses of all programs. */
enum prog_exit {
	PROG_EXIT_OK = 0,     /* success */
	PROG_EXIT_FAILED = 1, /* failure while the program ran */
	PROG_EXIT_USAGE = 2   /* invalid options or settings */
};

/*
 * Common start of a daemon: parses the command line (--config FILE, --check, --log-level LEVEL,
 * --version, --help) and reads the settings file into settings. Without --config, the environment
 * variable BRONZEGAUGE_CONFIG names the file. Exits on an error, --check, --version or --help.
 */
void prog_start(int *argc, char ***argv, const char *summary, const struct settings_item *items,
		size_t n, void *settings);

/*
 * Checks settings against each other. Returns what is wrong, with section and key, to be freed with
 * g_free(); NULL: nothing.
 */
typedef char *(*prog_check_fn)(const void *settings);

/* Sets a check of the settings, before prog_start(). */
void prog_set_check(prog_check_fn check);

/*
 * Reads the settings file into settings, as prog_start() does, and checks it. Appends one line for
 * each error to errors. Returns 0, BASE_EFILE or BASE_ESETTING.
 */
int prog_load_settings(const struct settings_item *items, size_t n, void *settings,
		       GString *errors);

/* Returns the path of the settings file. Only valid after prog_start(). */
const char *prog_config_path(void);

/* Calls fn(ctx) in the loop on SIGHUP. Must be called before any thread is created. */
void prog_on_reload(struct loop *loop, void (*fn)(void *ctx), void *ctx);

/* Calls fn(ctx) in the loop on SIGTERM and SIGINT. Must be called before any thread is created. */
void prog_on_stop(struct loop *loop, void (*fn)(void *ctx), void *ctx);

/* Sends body as the response and releases the references to body and call. */
void prog_reply_json(struct hd_call *call, int status, json_t *body);

/* Returns the part of path after prefix, or NULL if path doesn't start with prefix. */
const char *prog_path_suffix(const char *path, const char *prefix);

G_END_DECLS

#endif
