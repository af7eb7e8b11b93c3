#ifndef PROG_CTL_SPREAD_H
#define PROG_CTL_SPREAD_H

#include "prog/ctl.h"

#include <stdbool.h>

/*
 * "bgctl spread": which hosts run which configuration and settings, since when, and which hosts
 * have an older configuration than others.
 */
enum spread_kind {
	SPREAD_CONF,	 /* a configuration came into force on a host */
	SPREAD_SETTINGS, /* settings came into force on a host */
	SPREAD_DECISION	 /* a host sent on or denied a request under a configuration */
};

/* One observation of a host, from its metrics address or from its log. */
struct spread_row {
	char *host; /* name of the host */
	enum spread_kind kind;
	gint64 version;	 /* version of the configuration; 0 for settings, which have none */
	char *digest;	 /* digest of the configuration or settings; NULL: unknown */
	gint64 since_ms; /* time of the observed event, Unix time in milliseconds */
	char *source;	 /* where the configuration or settings came from; NULL: unknown */
};

/* All observations of one run of "bgctl spread". */
struct spread {
	GArray *rows;		    /* struct spread_row, in any order */
	GPtrArray *unreachable;	    /* texts "ADDR (REASON)" of hosts without a valid response */
	GPtrArray *restart_pending; /* texts "HOST (SETTINGS)"; settings that need a restart */
	guint non_json_lines;	    /* number of log lines that are not JSON */
};

void spread_init(struct spread *spread);
void spread_finish(struct spread *spread);

/* Returns the report as JSON, with times in milliseconds; the caller releases it. */
json_t *spread_report(const struct spread *spread);

/* Adds the observations of n hosts, which are queried at their metrics addresses (IP:PORT). */
void gather_from_hosts(struct spread *spread, int n, char **addrs);

/* Adds the observations in the log at path. Returns 0, or -1 if the file cannot be read. */
int gather_from_log(struct spread *spread, const char *path);

#endif
