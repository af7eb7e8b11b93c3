#include "base/jl.h"
#include "base/met.h"
#include "base/tmr.h"

#include <ck_pr.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum {
	JL_RATE_DEFAULT = 300,	   /* lines per second; a host gets about 60 requests/s at peak */
	JL_USEC_PER_SEC = 1000000, /* microseconds in a second */
	JL_LINE_END_LEN = 4,	   /* bytes reserved for the end of a line */
	JL_TEXT_MAX = 1536 /* bytes of a text as written; the rest of a longer one is cut off */
};

/* The line that a thread builds. */
struct jl_line {
	char text[JL_LINE_MAX];
	size_t len; /* bytes used in text */
	bool skip;  /* the line is dropped */
};

static char jl_host[128] = "-";
static int64_t jl_rate = JL_RATE_DEFAULT; /* lines of level JL_INFO per second */
static uint64_t jl_second;		  /* second that jl_count counts, monotonic clock; atomic */
static uint64_t jl_count;		  /* lines of level JL_INFO begun in jl_second; atomic */
static uint64_t jl_dropped;		  /* lines dropped since the last written line; atomic */
static __thread struct jl_line jl;

void jl_open(const char *host)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	g_strlcpy(jl_host, host, sizeof(jl_host));
	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void jl_set_rate(int64_t lines_per_s)
{
	jl_rate = lines_per_s;
}

/*
 * Counts a line and returns whether it is above the limit. Threads may race for the first line of a
 * second; a few lines above the limit do no harm.
 */
static bool jl_over_rate(int64_t now_us)
{
	uint64_t second = (uint64_t)(now_us / JL_USEC_PER_SEC);

	if (ck_pr_load_64(&jl_second) != second) {
		ck_pr_store_64(&jl_second, second);
		ck_pr_store_64(&jl_count, 0);
	}
	return ck_pr_faa_64(&jl_count, 1) >= (uint64_t)jl_rate;
}

static void jl_count_dropped(void)
{
	ck_pr_inc_64(&jl_dropped);
	met_add(met_counter("bg_log_left_out_total", ""), 1);
}

/* Appends the text if it fits whole; a part of a field would make the line invalid. */
static void G_GNUC_PRINTF(1, 2) jl_append(const char *format, ...)
{
	size_t room = sizeof(jl.text) - JL_LINE_END_LEN - jl.len;
	va_list args;
	int n;

	va_start(args, format);
	n = vsnprintf(jl.text + jl.len, room, format, args);
	va_end(args);
	if (n > 0 && (size_t)n < room)
		jl.len += (size_t)n;
}

void jl_begin(enum jl_level level, const char *event)
{
	int64_t now_us = tmr_now();
	uint64_t lost;

	jl.len = 0;
	jl.skip = level != JL_UNLIMITED && jl_over_rate(now_us);
	if (jl.skip) {
		jl_count_dropped();
		return;
	}
	lost = ck_pr_fas_64(&jl_dropped, 0);
	jl_append("{\"t\":%.3f,\"up\":%.3f,\"host\":\"%s\",\"event\":\"%s\"",
		  (double)g_get_real_time() / JL_USEC_PER_SEC, (double)now_us / JL_USEC_PER_SEC,
		  jl_host, event);
	if (lost > 0)
		jl_int("left_out", (int64_t)lost);
}

/* Writes the value, escaped, to a buffer of JL_TEXT_MAX + 1 bytes, as far as it fits. */
static void jl_escape(const char *value, char *text)
{
	size_t len = 0;

	for (const unsigned char *c = (const unsigned char *)value; *c; c++) {
		char piece[8];
		int n;

		if (*c == '"' || *c == '\\')
			n = snprintf(piece, sizeof(piece), "\\%c", *c);
		else if (*c < ' ' || *c > '~')
			n = snprintf(piece, sizeof(piece), "\\u%04x", *c);
		else
			n = snprintf(piece, sizeof(piece), "%c", *c);
		if (len + (size_t)n > JL_TEXT_MAX)
			break;
		memcpy(text + len, piece, (size_t)n);
		len += (size_t)n;
	}
	text[len] = '\0';
}

/*
 * The value may come from a client, so characters that could end the string or the line are
 * escaped.
 */
void jl_str(const char *name, const char *value)
{
	char text[JL_TEXT_MAX + 1];

	if (jl.skip || !value)
		return;
	jl_escape(value, text);
	jl_append(",\"%s\":\"%s\"", name, text);
}

void jl_int(const char *name, int64_t value)
{
	if (!jl.skip)
		jl_append(",\"%s\":%" G_GINT64_FORMAT, name, value);
}

void jl_hex(const char *name, uint64_t value)
{
	if (!jl.skip)
		jl_append(",\"%s\":\"%016" G_GINT64_MODIFIER "x\"", name, value);
}

void jl_real(const char *name, double value)
{
	if (!jl.skip)
		jl_append(",\"%s\":%.3f", name, value);
}

void jl_end(void)
{
	if (jl.skip)
		return;
	jl.text[jl.len++] = '}';
	jl.text[jl.len++] = '\n';
	if (write(STDOUT_FILENO, jl.text, jl.len) < 0)
		jl_count_dropped();
}
