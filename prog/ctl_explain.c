#include "prog/ctl.h"
#include "prog/ctl_delays.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * "bgctl explain ID": prints the log lines of one request from the structured logs of all hosts, in
 * order of time, where it waited for endpoints that failed, and one sentence on why it ended. Reads
 * files or standard input and calls no host.
 */
struct explain {
	const char *id;	       /* id of the request */
	GPtrArray *lines;      /* json_t, log lines of the request */
	size_t non_json_lines; /* number of log lines that are not JSON */
};

/* Members of a log line that are not printed as NAME=VALUE. */
static const char *const explain_hidden_members[] = {"t", "up", "host", "event", "id"};

static const struct {
	const char *cause;
	const char *sentence;
} explain_causes[] = {
	{"ok", "It was answered."},
	{"no_endpoint", "Refused, not run: no endpoint of its service was listed, or no pipeline "
			"holds every layer. See 'place' lines and the endpoint list of that time."},
	{"rejected",
	 "Refused, not run: the endpoints it was sent to said that they did not run it."},
	{"unreached", "Refused, not run: no connection to an endpoint could be made."},
	{"broken",
	 "It may have run: the endpoint's answer was incomplete or was not an answer to it."},
	{"silent", "It may have run: the endpoint sent nothing for too long."},
	{"deadline", "The caller's deadline or the route's timeout passed."},
	{"caller_gone", "The caller disconnected before the end."},
	{"caller_stalled",
	 "Broken off: the caller read nothing of the answer for the idle time of connections; see "
	 "its 'held' and 'connection_ended' lines."},
	{"budget",
	 "It failed at an endpoint and was not sent again: the retry budget was used up."},
	{"endpoint_failed", "The endpoint's error response was passed on to the caller."},
	{"full", "Refused, not run: there was no room for the request."},
	{"no_configuration", "Refused, not run: the host had no configuration yet."},
	{"no_route", "Refused, not run: no route of the configuration matches host and path."},
	{"unknown_key", "Refused, not run: no client account of the configuration has the key."},
	{"no_service", "Refused, not run: its route names a service that does not exist."},
	{"overload", "Refused, not run: it would have started too late; see the 'overload' line."},
	{"crashes_endpoints",
	 "It is in quarantine: endpoints crashed while they ran a request with the same "
	 "'content'; see the 'quarantined' line."},
	{"limited",
	 "Refused, not run: all endpoints for it have announced limits, which were used up; "
	 "see the 'limit_refused' line and 'limit_named' lines of that time."},
	{"resting",
	 "Refused, not run: all endpoints for it had asked this host to send nothing for a while; "
	 "see its 'rest_refused' line and 'rest_asked' lines of that host before."},
	{"not_reached",
	 "Refused, not run: neither this host nor those that it asked reached any endpoint; see the "
	 "'no_endpoint_answers' line."},
	{"stopped",
	 "The host stopped, and the grace time was over before the answer was complete."},
	{"stopping",
	 "Refused, not run: the host was about to stop and could not have completed it."},
};

/* What the line "connection_ended" says of the caller; end NULL: any. */
static const struct {
	const char *caller_got;
	const char *end;
	const char *sentence;
} explain_ends[] = {
	{"broken_off", "timeout",
	 "Its answer was broken off: it took nothing of it for the idle timeout."},
	{"broken_off", NULL,
	 "Its answer was broken off, and its connection ended in a way that can't be taken for the "
	 "end of the answer."},
	{"caller_left", NULL, "It closed the connection before it had the whole answer."},
	{"not_read", NULL, "Its connection ended before the whole request had been read."},
	{"unanswered", "timeout",
	 "Its connection ended without a whole answer, by the idle timeout: nothing had moved on it "
	 "for that long."},
	{"unanswered", "shutdown",
	 "Its connection ended without a whole answer, when the host's process ended."},
	{"unanswered", NULL,
	 "Its connection ended without a whole answer, by no decision of the host: report it."},
};

static bool explain_is_hidden(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(explain_hidden_members); i++) {
		if (strcmp(name, explain_hidden_members[i]) == 0)
			return true;
	}
	return false;
}

/* Adds a line of a log if it is one of the request; text before the first "{" is skipped. */
static void explain_add_line(struct explain *explain, const char *line)
{
	const char *object = strchr(line, '{');
	json_t *json = object ? json_loads(object, JSON_DISABLE_EOF_CHECK, NULL) : NULL;
	const char *id = json_string_value(json_object_get(json, "id"));

	if (!json)
		explain->non_json_lines++;
	if (id && strcmp(id, explain->id) == 0)
		g_ptr_array_add(explain->lines, json_incref(json));
	json_decref(json);
}

static void explain_read_file(struct explain *explain, FILE *file)
{
	char *line = NULL;
	size_t size = 0;

	while (getline(&line, &size, file) >= 0)
		explain_add_line(explain, line);
	free(line);
}

static gint explain_by_time(gconstpointer a, gconstpointer b)
{
	double ta = json_number_value(json_object_get(*(json_t *const *)a, "t"));
	double tb = json_number_value(json_object_get(*(json_t *const *)b, "t"));

	return ta < tb ? -1 : (ta > tb ? 1 : 0);
}

/* Prints a line with its time after start_s, the Unix time of the first line, in seconds. */
static void explain_print_line(const json_t *line, double start_s)
{
	const char *event = json_string_value(json_object_get(line, "event"));
	const char *host = json_string_value(json_object_get(line, "host"));
	const char *name;
	json_t *value;

	printf("%+9.3f s  %-20s %-16s", json_number_value(json_object_get(line, "t")) - start_s,
	       host ? host : "-", event ? event : "-");
	json_object_foreach((json_t *)line, name, value)
	{
		char *text;

		if (explain_is_hidden(name))
			continue;
		text = json_dumps(value, JSON_ENCODE_ANY);
		printf(" %s=%s", name, text);
		free(text);
	}
	printf("\n");
}

static const char *explain_cause_text(const char *cause)
{
	for (size_t i = 0; i < G_N_ELEMENTS(explain_causes); i++) {
		if (cause && strcmp(cause, explain_causes[i].cause) == 0)
			return explain_causes[i].sentence;
	}
	return "No log line states how it ended: the host may have been killed, or its log is missing.";
}

/* Returns the cause from the last line that ends the request; NULL if there is none. */
static const char *explain_find_cause(const struct explain *explain)
{
	const char *cause = NULL;

	for (guint i = 0; i < explain->lines->len; i++) {
		const json_t *line = explain->lines->pdata[i];
		const char *event = json_string_value(json_object_get(line, "event"));

		if (event && strcmp(event, "ended") == 0)
			cause = json_string_value(json_object_get(line, "cause"));
		else if (event && strcmp(event, "denied") == 0)
			cause = json_string_value(json_object_get(line, "code"));
	}
	return cause;
}

static const char *explain_end_text(const char *caller_got, const char *end)
{
	for (size_t i = 0; i < G_N_ELEMENTS(explain_ends); i++) {
		if (g_strcmp0(caller_got, explain_ends[i].caller_got) != 0)
			continue;
		if (!explain_ends[i].end || g_strcmp0(end, explain_ends[i].end) == 0)
			return explain_ends[i].sentence;
	}
	return NULL;
}

/* Prints what the caller got if it was no whole answer. */
static void explain_print_ends(const struct explain *explain)
{
	for (guint i = 0; i < explain->lines->len; i++) {
		const json_t *line = explain->lines->pdata[i];
		const char *event = json_string_value(json_object_get(line, "event"));
		const char *text;

		if (g_strcmp0(event, "connection_ended") != 0)
			continue;
		text = explain_end_text(json_string_value(json_object_get(line, "caller_got")),
					json_string_value(json_object_get(line, "end")));
		if (text)
			printf("caller: %s\n", text);
	}
}

static int explain_report(const struct explain *explain)
{
	double start_s;

	if (explain->lines->len == 0) {
		fprintf(stderr,
			"bgctl: explain: no log line has the id %s (%zu lines are not JSON)\n",
			explain->id, explain->non_json_lines);
		return CTL_FAILED;
	}
	g_ptr_array_sort(explain->lines, explain_by_time);
	start_s = json_number_value(json_object_get(explain->lines->pdata[0], "t"));
	for (guint i = 0; i < explain->lines->len; i++)
		explain_print_line(explain->lines->pdata[i], start_s);
	delays_print(explain->lines, start_s);
	printf("cause: %s\n", explain_cause_text(explain_find_cause(explain)));
	explain_print_ends(explain);
	return CTL_OK;
}

int ctl_explain(const char *id, int files, char **paths)
{
	struct explain explain = {id, g_ptr_array_new_with_free_func((GDestroyNotify)json_decref),
				  0};
	int result = CTL_OK;

	for (int i = 0; i < files && result == CTL_OK; i++) {
		FILE *file = fopen(paths[i], "r");

		if (!file) {
			fprintf(stderr, "bgctl: explain: %s: cannot be read\n", paths[i]);
			result = CTL_USAGE;
		} else {
			explain_read_file(&explain, file);
			fclose(file);
		}
	}
	if (files == 0)
		explain_read_file(&explain, stdin);
	if (result == CTL_OK)
		result = explain_report(&explain);
	g_ptr_array_unref(explain.lines);
	return result;
}
