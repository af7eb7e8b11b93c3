#include "prog/ctl.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * "bgctl explain ID": the story of one request from the structured logs of all hosts, in order of
 * time, and its cause in one sentence. It reads files or standard input and calls nobody.
 */
struct explain {
	const char *id;
	GPtrArray *lines; /* json_t, those of the request */
	size_t skipped;	  /* lines that are no JSON */
};

/* Members that every line has, or that are shown in another way. */
static const char *const explain_plain[] = {"t", "up", "host", "event", "id"};

static const struct {
	const char *cause;
	const char *sentence;
} explain_causes[] = {
	{"ok", "It was answered."},
	{"no_endpoint", "Refused, not run: no endpoint of its service was listed, or no pipeline "
			"holds every layer. See 'place' lines and the endpoint list of that time."},
	{"rejected",
	 "Refused, not run: the endpoints it was sent to said that they did not run it."},
	{"unreached", "Refused, not run: no connection to an endpoint came about."},
	{"broken", "It may have run: the endpoint's answer broke off or was not an answer to it."},
	{"silent", "It may have run: the endpoint sent nothing for too long."},
	{"deadline", "Its time was over, the caller's or that of the route."},
	{"caller_gone", "The caller left before the end."},
	{"budget",
	 "It failed at an endpoint and was not sent again: the budget of repeats was spent."},
	{"endpoint_failed", "The endpoint's own failure was handed on."},
	{"full", "Refused, not run: no room."},
	{"no_configuration", "Refused, not run: the host had no configuration yet."},
	{"no_route", "Refused, not run: no route of the configuration matches host and path."},
	{"unknown_key", "Refused, not run: no client account of the configuration holds the key."},
	{"no_service", "Refused, not run: its route names no service that exists."},
	{"overload", "Refused, not run: it would have begun too late; see the 'overload' line."},
	{"crashes_endpoints",
	 "It is in quarantine: endpoints ended while they ran a request with its 'content'; see "
	 "the 'quarantined' line."},
	{"limited",
	 "Refused, not run: all endpoints for it have named limits, and nothing was left of them; "
	 "see the 'limit_refused' line and 'limit_named' lines of that time."},
	{"resting", "Refused, not run: all endpoints for it had asked this host for rest; see its "
		    "'rest_refused' line and 'rest_asked' lines of that host before."},
	{"stopping", "Refused, not run: the host was about to stop and could not have ended it."},
};

static bool explain_is_plain(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(explain_plain); i++) {
		if (strcmp(name, explain_plain[i]) == 0)
			return true;
	}
	return false;
}

static void explain_take(struct explain *explain, const char *line)
{
	const char *object = strchr(line, '{');
	json_t *json = object ? json_loads(object, JSON_DISABLE_EOF_CHECK, NULL) : NULL;
	const char *id = json_string_value(json_object_get(json, "id"));

	if (!json)
		explain->skipped++;
	if (id && strcmp(id, explain->id) == 0)
		g_ptr_array_add(explain->lines, json_incref(json));
	json_decref(json);
}

static void explain_read(struct explain *explain, FILE *file)
{
	char *line = NULL;
	size_t size = 0;

	while (getline(&line, &size, file) >= 0)
		explain_take(explain, line);
	free(line);
}

static gint explain_by_time(gconstpointer a, gconstpointer b)
{
	double ta = json_number_value(json_object_get(*(json_t *const *)a, "t"));
	double tb = json_number_value(json_object_get(*(json_t *const *)b, "t"));

	return ta < tb ? -1 : (ta > tb ? 1 : 0);
}

static void explain_print(const json_t *line, double began)
{
	const char *event = json_string_value(json_object_get(line, "event"));
	const char *host = json_string_value(json_object_get(line, "host"));
	const char *name;
	json_t *value;

	printf("%+9.3f s  %-20s %-16s", json_number_value(json_object_get(line, "t")) - began,
	       host ? host : "-", event ? event : "-");
	json_object_foreach((json_t *)line, name, value)
	{
		char *text;

		if (explain_is_plain(name))
			continue;
		text = json_dumps(value, JSON_ENCODE_ANY);
		printf(" %s=%s", name, text);
		free(text);
	}
	printf("\n");
}

static const char *explain_sentence(const char *cause)
{
	for (size_t i = 0; i < G_N_ELEMENTS(explain_causes); i++) {
		if (cause && strcmp(cause, explain_causes[i].cause) == 0)
			return explain_causes[i].sentence;
	}
	return "No line tells how it ended: the host may have been killed, or its log is missing.";
}

/* The cause stands in the last line that ends the request. */
static const char *explain_cause(const struct explain *explain)
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

static int explain_report(const struct explain *explain)
{
	double began;

	if (explain->lines->len == 0) {
		fprintf(stderr, "bgctl: explain: no line names %s (%zu lines were no JSON)\n",
			explain->id, explain->skipped);
		return CTL_FAILED;
	}
	g_ptr_array_sort(explain->lines, explain_by_time);
	began = json_number_value(json_object_get(explain->lines->pdata[0], "t"));
	for (guint i = 0; i < explain->lines->len; i++)
		explain_print(explain->lines->pdata[i], began);
	printf("cause: %s\n", explain_sentence(explain_cause(explain)));
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
			explain_read(&explain, file);
			fclose(file);
		}
	}
	if (files == 0)
		explain_read(&explain, stdin);
	if (result == CTL_OK)
		result = explain_report(&explain);
	g_ptr_array_unref(explain.lines);
	return result;
}
