#ifndef PROG_CTL_SPREAD_H
#define PROG_CTL_SPREAD_H

#include "prog/ctl.h"

#include <stdbool.h>

/*
 * "bgctl spread": which hosts run which configuration and settings, since when, and who is behind.
 */
enum spread_kind {
	SPREAD_CONF,	 /* a configuration came into force on a host */
	SPREAD_SETTINGS, /* so did settings */
	SPREAD_ANSWER	 /* a request was sent on or denied by that version */
};

/* One thing that a host has said. */
struct spread_row {
	char *host;
	enum spread_kind kind;
	gint64 version;	 /* of a configuration; settings have none */
	char *digest;	 /* NULL: not told */
	gint64 since_ms; /* Unix time */
	char *by;	 /* how the host came by it; NULL: not told */
};

struct spread {
	GArray *rows;	    /* struct spread_row, in any order */
	GPtrArray *silent;  /* hosts that did not answer, with the reason */
	GPtrArray *waiting; /* hosts with settings that need a restart */
	guint unreadable;   /* lines of logs that are no JSON */
};

void spread_init(struct spread *spread);
void spread_finish(struct spread *spread);

/* The report as JSON; times in ms. */
json_t *spread_report(const struct spread *spread);

/* ctl_gather.c: from hosts' metrics addresses, and from one log; -1: it can't be read. */
void gather_hosts(struct spread *spread, int n, char **addrs);
int gather_log(struct spread *spread, const char *path);

#endif
