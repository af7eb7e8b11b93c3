#ifndef PROG_CTL_H
#define PROG_CTL_H

#include <glib.h>
#include <jansson.h>

/* bgctl: the operators' command line. */

/* Exit statuses of bgctl. */
enum ctl_exit {
	CTL_OK = 0,
	CTL_FAILED = 1,	  /* the command failed, or a daemon could not be reached */
	CTL_USAGE = 2,	  /* invalid command line or invalid input */
	CTL_REJECTED = 3, /* the control daemon rejected the change */
	CTL_UNKNOWN = 4	  /* it is not known whether the change was accepted */
};

/* Options of the command line. */
struct ctl {
	char *control; /* operators' address (IP:PORT) of a control daemon, or a bgrouterd's metrics
			  address */
	char *token;   /* operator's bearer token; NULL: none */
	gboolean json; /* print JSON instead of a table */
	gboolean wait; /* after a change, wait until it is in force on every live host */
	gint64 expect; /* revision that a change requires to be in force; -1: any */
	gint wait_ms;  /* longest wait for a revision, in milliseconds */
	char *file;    /* path of a file with the statements of "do"; NULL: not given */
};

/* Appends a part of a response body to the GString ctx; for CURLOPT_WRITEFUNCTION. */
size_t ctl_append_body(char *data, size_t size, size_t n, void *ctx);

/*
 * Makes one HTTP call to the daemon at addr, with the JSON body send (NULL: none), whose reference
 * it takes over. Returns the HTTP status, or 0 if there was no response. *body is the response as
 * JSON, or NULL; the caller releases it.
 */
long ctl_call(const struct ctl *ctl, const char *addr, const char *method, const char *path,
	      json_t *send, json_t **body);

/*
 * Prints why a call failed, from its HTTP status and response body, and releases the body. Returns
 * CTL_FAILED.
 */
int ctl_report_failure(const char *operation, long status, json_t *body);

/* Prints a view of the deployment, such as "hosts" or "accounts". Returns the exit status. */
int ctl_show(const struct ctl *ctl, const char *view_name);

/*
 * Prints the state of one bgrouterd: the table of that name, or the single values if the name is
 * NULL. Returns the exit status.
 */
int ctl_state(const struct ctl *ctl, const char *table_name);

/* Removes a request from quarantine; content is the request's digest. Returns the exit status. */
int ctl_clear(const struct ctl *ctl, const char *content);

/*
 * Prints the log lines of the request with this id, and why it ended. files is the number of paths
 * of logs; if it is 0, standard input is read. Returns the exit status.
 */
int ctl_explain(const char *id, int files, char **paths);

/*
 * Prints which hosts run which configuration and settings. argv holds metrics addresses of
 * bgrouterds, paths of logs, or both. Returns the exit status.
 */
int ctl_spread(const struct ctl *ctl, int argc, char **argv);

/*
 * Sends statements as one change of the configuration, which is rejected unless revision expect is
 * in force (-1: any). Prints the outcome and returns the exit status.
 */
int ctl_send_change(const struct ctl *ctl, const char *statements, gint64 expect);

#endif
