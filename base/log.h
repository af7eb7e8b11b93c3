#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <glib.h>
#include <syslog.h>

G_BEGIN_DECLS

/*
 * Log lines with syslog priorities on standard error:
 *   <PRIORITY>PROGRAM[PID]: EVENT key=value key=value
 * Levels are those of syslog.h (LOG_ERR, LOG_INFO, ...).
 */

/* Sets the program name and the level. program must stay valid. */
void log_open(const char *program, int level);

/* Sets the level from its name (err, warning, notice, info, debug). Returns false if unknown. */
gboolean log_set_level(const char *name);

/* Writes one line unless the level excludes priority. The format is "event key=value ...". */
void log_msg(int priority, const char *format, ...) G_GNUC_PRINTF(2, 3);

G_END_DECLS

#endif
