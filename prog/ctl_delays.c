#include "prog/ctl_delays.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

enum {
	DELAY_HTTP_OK = 200,
	DELAY_HTTP_ACCEPTED = 202,
	DELAY_MS_PER_S = 1000
};

/* The log lines of the request on one host, as far as they have been read. */
struct delay {
	double start_s;	       /* Unix time that printed times count from, in seconds */
	const char *pipeline;  /* pipeline in use, as ADDRESS=FROM-TO,...; NULL if none */
	const char *ordered;   /* pipeline that was ordered instead; NULL if none */
	const char *endpoint;  /* first stage of that pipeline; NULL if not stated */
	const json_t *failure; /* line of the first failure of the present delay; NULL if none */
	double begin_s;	       /* Unix time at which the present delay began, in seconds */
	int failures;	       /* number of failures in the present delay */
};

/* What a log line means for the delay of its request. */
enum delay_step {
	DELAY_SENT,	/* the request was sent, to begin or to go on */
	DELAY_ORDERED,	/* the pipeline's faulty stages are being replaced */
	DELAY_REPAIRED, /* the result of that */
	DELAY_SILENT,	/* nothing came for too long */
	DELAY_FAILED,	/* an attempt ended without a complete answer */
	DELAY_ENDED	/* the request has ended */
};

static const struct {
	const char *event;
	enum delay_step step;
} delay_steps[] = {
	{"sent", DELAY_SENT},	  {"repair", DELAY_ORDERED},	    {"repaired", DELAY_REPAIRED},
	{"silent", DELAY_SILENT}, {"attempt_failed", DELAY_FAILED}, {"ended", DELAY_ENDED},
};

static const char *delay_text(const json_t *line, const char *name)
{
	return json_string_value(json_object_get(line, name));
}

static double delay_number(const json_t *line, const char *name)
{
	return json_number_value(json_object_get(line, name));
}

/*
 * Prints the stage of the pipeline that has the address: its place, and its layers FROM-TO. Prints
 * nothing if no stage has it.
 */
static void delay_print_stage(const char *pipeline, const char *addr)
{
	char **stages = g_strsplit(pipeline ? pipeline : "", ",", -1);
	guint n = g_strv_length(stages);

	for (guint i = 0; addr && i < n; i++) {
		char *layers = strrchr(stages[i], '=');

		if (!layers)
			continue;
		*layers++ = '\0';
		if (strcmp(stages[i], addr) == 0)
			printf(" (stage %u of %u, layers %s)", i + 1, n, layers);
	}
	g_strfreev(stages);
}

/* Prints the endpoint at fault: the one that the line names, else the first stage. */
static void delay_print_place(const struct delay *delay)
{
	const char *culprit = delay_text(delay->failure, "culprit");
	const char *endpoint = delay_text(delay->failure, "endpoint");

	if (!endpoint)
		endpoint = delay->endpoint;
	if (culprit || endpoint)
		printf(" at %s", culprit ? culprit : endpoint);
	delay_print_stage(delay->pipeline, culprit);
}

static void delay_print_reason(const json_t *failure)
{
	const char *reason = delay_text(failure, "finding");

	if (!reason)
		reason = delay_text(failure, "error");
	if (reason)
		printf(" %s", reason);
	else
		printf(" status %.0f", delay_number(failure, "status"));
}

/* Prints the present delay, which ended with this line, and forgets it. */
static void delay_close(struct delay *delay, const json_t *line, const char *outcome)
{
	double end_s = delay_number(line, "t");

	if (!delay->failure)
		return;
	printf("delay: %+.3f s, %.0f ms:", delay->begin_s - delay->start_s,
	       (end_s - delay->begin_s) * DELAY_MS_PER_S);
	delay_print_reason(delay->failure);
	delay_print_place(delay);
	if (delay->failures > 1)
		printf(", %d failures in all", delay->failures);
	printf("; %s\n", outcome);
	delay->failure = NULL;
	delay->failures = 0;
}

/* The time in which a silent stream was still expected to go on is part of the delay. */
static void delay_open(struct delay *delay, const json_t *line)
{
	delay->failures++;
	if (delay->failure)
		return;
	delay->failure = line;
	delay->begin_s = delay_number(line, "t") - delay_number(line, "silent_ms") / DELAY_MS_PER_S;
}

static void delay_on_sent(struct delay *delay, const json_t *line)
{
	delay_close(delay, line, "sent again");
	delay->pipeline = delay_text(line, "pipeline");
	delay->ordered = NULL;
	delay->endpoint = delay_text(line, "endpoint");
}

static void delay_on_repaired(struct delay *delay, const json_t *line)
{
	int status = (int)delay_number(line, "status");

	if (status != DELAY_HTTP_OK && status != DELAY_HTTP_ACCEPTED)
		return;
	delay_close(delay, line, "stages replaced");
	if (delay->ordered)
		delay->pipeline = delay->ordered;
}

/* A silent stream that ended well without any other step has gone on by itself, at no known time.
 */
static void delay_on_ended(struct delay *delay, const json_t *line)
{
	const char *cause = delay_text(line, "cause");

	if (cause && strcmp(cause, "ok") == 0)
		delay_close(delay, delay->failure, "it went on by itself");
	else
		delay_close(delay, line, "not sent again");
}

static void delay_on_step(struct delay *delay, enum delay_step step, const json_t *line)
{
	switch (step) {
	case DELAY_SENT:
		delay_on_sent(delay, line);
		break;
	case DELAY_ORDERED:
		delay->ordered = delay_text(line, "pipeline");
		break;
	case DELAY_REPAIRED:
		delay_on_repaired(delay, line);
		break;
	case DELAY_SILENT:
	case DELAY_FAILED:
		delay_open(delay, line);
		break;
	case DELAY_ENDED:
		delay_on_ended(delay, line);
		break;
	}
}

static void delay_on_line(struct delay *delay, const json_t *line)
{
	const char *event = delay_text(line, "event");

	for (size_t i = 0; event && i < G_N_ELEMENTS(delay_steps); i++) {
		if (strcmp(event, delay_steps[i].event) == 0)
			delay_on_step(delay, delay_steps[i].step, line);
	}
}

static const char *delay_host(const json_t *line)
{
	const char *host = delay_text(line, "host");

	return host ? host : "";
}

/* Whether an earlier line is of the same host. */
static bool delay_is_host_known(const GPtrArray *lines, guint n, const char *host)
{
	for (guint i = 0; i < n; i++) {
		if (strcmp(delay_host(lines->pdata[i]), host) == 0)
			return true;
	}
	return false;
}

/* A caller may send the same id to several hosts; each has its own attempts. */
void delays_print(const GPtrArray *lines, double start_s)
{
	for (guint i = 0; i < lines->len; i++) {
		const char *host = delay_host(lines->pdata[i]);
		struct delay delay = {.start_s = start_s};

		if (delay_is_host_known(lines, i, host))
			continue;
		for (guint j = i; j < lines->len; j++) {
			if (strcmp(delay_host(lines->pdata[j]), host) == 0)
				delay_on_line(&delay, lines->pdata[j]);
		}
		delay_close(&delay, delay.failure, "no later line of the host");
	}
}
