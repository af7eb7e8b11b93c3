#ifndef PROG_CTL_DELAYS_H
#define PROG_CTL_DELAYS_H

#include <glib.h>

G_BEGIN_DECLS

/*
 * Prints where a request waited because an endpoint failed: one line for each delay, with the stage
 * of the pipeline that was at fault. Several failures in a row without an answer between are one
 * delay. lines: log lines of the request as json_t, in order of time; start_s: Unix time that the
 * printed times count from, in seconds.
 */
void delays_print(const GPtrArray *lines, double start_s);

G_END_DECLS

#endif
