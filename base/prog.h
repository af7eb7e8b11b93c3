#ifndef BASE_PROG_H
#define BASE_PROG_H

#include "base/hd.h"
#include "base/loop.h"
#include "base/set.h"

#include <jansson.h>

#define PROG_VERSION "0.1.0"

/* Exit statuses of all programs. */
enum prog_exit {
	PROG_EXIT_OK = 0,
	PROG_EXIT_FAILED = 1,
	PROG_EXIT_USAGE = 2
};

/*
 * Common start of a daemon: command line (--config FILE, else from BRONZEGAUGE_CONFIG, --check,
 * --log-level, --version, --help) and settings. Exits by itself on an error, --check or --version.
 */
void prog_start(int *argc, char ***argv, const char *summary, const struct set_item *items,
		size_t n, void *settings);

/* The settings file: --config, else what BRONZEGAUGE_CONFIG names. After prog_start(). */
const char *prog_config_path(void);

/* Calls fn(ctx) in the loop on SIGHUP. Call it before any thread is made. */
void prog_on_reload(struct loop *loop, void (*fn)(void *ctx), void *ctx);

/* Calls fn(ctx) in the loop on SIGTERM and SIGINT. Call it before any thread is made. */
void prog_on_stop(struct loop *loop, void (*fn)(void *ctx), void *ctx);

/* Answers with a JSON value, which is released, and gives back the call. */
void prog_reply_json(struct hd_call *call, int status, json_t *body);

/* The last component of a path below a prefix, or NULL if path is not below it. */
const char *prog_path_below(const char *path, const char *prefix);

#endif
