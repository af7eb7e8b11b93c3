#include "base/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

enum {
	LOG_LINE_MAX = 2048 /* bytes of a line; longer lines are truncated */
};

static const char *log_program = "bronzegauge";
static int log_level = LOG_INFO;

static const struct {
	const char *name;
	int level;
} log_levels[] = {
	{"err", LOG_ERR},   {"warning", LOG_WARNING}, {"notice", LOG_NOTICE},
	{"info", LOG_INFO}, {"debug", LOG_DEBUG},
};

void log_open(const char *program, int level)
{
	log_program = program;
	log_level = level;
}

gboolean log_set_level(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(log_levels); i++) {
		if (strcmp(log_levels[i].name, name) == 0) {
			log_level = log_levels[i].level;
			return TRUE;
		}
	}
	return FALSE;
}

/*
 * Each line is one write(), so that lines of several threads do not mix. Line breaks inside a value
 * are replaced by spaces, because text of a client could otherwise forge a log line.
 */
void log_msg(int priority, const char *format, ...)
{
	char line[LOG_LINE_MAX];
	va_list args;
	size_t head;
	size_t len;

	if (priority > log_level)
		return;
	head = (size_t)snprintf(line, sizeof(line), "<%d>%s[%d]: ", priority, log_program,
				(int)getpid());
	va_start(args, format);
	vsnprintf(line + head, sizeof(line) - head - 1, format, args);
	va_end(args);
	len = strlen(line);
	for (size_t i = head; i < len; i++) {
		if (line[i] == '\n' || line[i] == '\r')
			line[i] = ' ';
	}
	line[len] = '\n';
	if (write(STDERR_FILENO, line, len + 1) < 0)
		return;
}
