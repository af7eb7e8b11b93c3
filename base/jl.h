#ifndef BASE_JL_H
#define BASE_JL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Structured log on standard output: one JSON object per line, with "t" (Unix time in seconds),
 * "up" (monotonic clock in seconds), "host" and "event", followed by the members of the event. A
 * line is written whole or not at all, and writing never blocks. Lines are dropped if the pipe is
 * full or if too many are written in a second. The counter bg_log_left_out_total counts dropped
 * lines; the member "left_out" of the next line has the number dropped since the last line.
 *
 *   jl_begin(JL_INFO, "sent");
 *   jl_str("id", id);
 *   jl_int("attempt", 1);
 *   jl_end();
 *
 * Any thread may write lines; each thread builds its line in its own buffer.
 */
enum jl_level {
	JL_UNLIMITED, /* exempt from the limit on lines per second: failed request, start, stop or
		    loss of a dependency */
	JL_INFO	      /* dropped above the limit on lines per second */
};

enum {
	JL_LINE_MAX = 4096 /* bytes of a line; not above PIPE_BUF, so that write() is atomic */
};

/* Sets the value of the member "host" and makes standard output non-blocking. */
void jl_open(const char *host);

/* Sets the number of lines of level JL_INFO that may be written per second. */
void jl_set_rate(int64_t lines_per_s);

/* Begins a line of the calling thread. */
void jl_begin(enum jl_level level, const char *event);

/* Adds a string member; does nothing if value is NULL. */
void jl_str(const char *name, const char *value);

/* Adds an integer member. */
void jl_int(const char *name, int64_t value);

/* Adds a string member that holds value as 16 hexadecimal digits. */
void jl_hex(const char *name, uint64_t value);

/* Adds a number member with three decimals. */
void jl_real(const char *name, double value);

/* Writes the line, or drops it if the pipe is full. */
void jl_end(void);

G_END_DECLS

#endif
