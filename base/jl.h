#ifndef BASE_JL_H
#define BASE_JL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Structured log on standard output: one JSON object a line, with "t" (seconds of the time of day),
 * "up" (seconds of the monotonic clock), "host" and "event", then the event's own members. A line
 * is written whole or not at all and never waited for: a full pipe, or too many lines in a second,
 * leaves lines out, which the counter bg_log_left_out_total and the next line's "left_out" tell.
 *
 *   jl_begin(JL_INFO, "sent");
 *   jl_str("id", id);
 *   jl_int("attempt", 1);
 *   jl_end();
 *
 * Any thread may write lines; each has a line of its own under way.
 */
enum jl_level {
	JL_KEEP, /* ends a request badly, or start, stop, lost dependency: beyond the limit on lines
		  */
	JL_INFO
};

enum {
	JL_LINE_MAX = 2048 /* bytes; below the size that a pipe takes whole */
};

void jl_open(const char *host);

/* Lines of JL_INFO that may be written in a second. */
void jl_set_rate(int64_t lines_per_s);

void jl_begin(enum jl_level level, const char *event);
void jl_str(const char *name, const char *value);
void jl_int(const char *name, int64_t value);
void jl_hex(const char *name, uint64_t value); /* as a text of 16 digits */
void jl_real(const char *name, double value);
void jl_end(void);

G_END_DECLS

#endif
