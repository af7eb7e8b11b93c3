#include "prog/ctl_spread.h"

#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

/*
 * Collects the observations for "bgctl spread": from the metrics addresses of hosts, which are all
 * queried in parallel, or from their logs. Both give rows of the same type.
 */
enum {
	GATHER_CALL_TIMEOUT_MS = 1500, /* a working host responds within some milliseconds */
	GATHER_POLL_INTERVAL_MS = 100,
	HTTP_OK = 200
};

/* One HTTP call to a host. */
struct gather_call {
	const char *addr; /* metrics address (IP:PORT) */
	GString *body;	  /* response received so far */
	CURL *easy;
};

static void gather_add_row(struct spread *spread, const char *host, enum spread_kind kind,
			   const json_t *from, gint64 since_ms)
{
	struct spread_row row = {.kind = kind, .since_ms = since_ms};

	row.host = g_strdup(host);
	row.version = json_integer_value(json_object_get(from, "version"));
	row.digest = g_strdup(json_string_value(json_object_get(from, "digest")));
	row.source = g_strdup(json_string_value(json_object_get(from, "by")));
	g_array_append_val(spread->rows, row);
}

static void gather_add_unreachable(struct spread *spread, const char *addr, const char *reason)
{
	g_ptr_array_add(spread->unreachable, g_strdup_printf("%s (%s)", addr, reason));
}

/* Adds the observations in the response of one host to GET /state. */
static void gather_parse_state(struct spread *spread, const char *addr, const GString *body)
{
	json_t *json = json_loadb(body->str, body->len, 0, NULL);
	const json_t *runs = json_object_get(json, "runs");
	const char *host = json_string_value(json_object_get(json, "host"));
	const char *waiting = json_string_value(json_object_get(runs, "waiting"));
	const json_t *conf = json_object_get(runs, "configuration");
	const json_t *settings = json_object_get(runs, "settings");

	if (!host || !conf || !settings) {
		gather_add_unreachable(spread, addr, "its answer is not that of a bgrouterd");
		json_decref(json);
		return;
	}
	gather_add_row(spread, host, SPREAD_CONF, conf,
		       json_integer_value(json_object_get(conf, "since_ms")));
	gather_add_row(spread, host, SPREAD_SETTINGS, settings,
		       json_integer_value(json_object_get(settings, "since_ms")));
	if (waiting && *waiting)
		g_ptr_array_add(spread->restart_pending, g_strdup_printf("%s (%s)", host, waiting));
	json_decref(json);
}

static void gather_start_call(CURLM *multi, struct gather_call *call)
{
	char *url = g_strdup_printf("http://%s/state", call->addr);

	call->body = g_string_new(NULL);
	call->easy = curl_easy_init();
	curl_easy_setopt(call->easy, CURLOPT_URL, url);
	curl_easy_setopt(call->easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(call->easy, CURLOPT_TIMEOUT_MS, (long)GATHER_CALL_TIMEOUT_MS);
	curl_easy_setopt(call->easy, CURLOPT_WRITEFUNCTION, ctl_append_body);
	curl_easy_setopt(call->easy, CURLOPT_WRITEDATA, call->body);
	curl_multi_add_handle(multi, call->easy);
	g_free(url);
}

static void gather_finish_call(struct spread *spread, CURLM *multi, struct gather_call *call)
{
	long status = 0;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	if (status == HTTP_OK)
		gather_parse_state(spread, call->addr, call->body);
	else
		gather_add_unreachable(spread, call->addr, status == 0 ? "no answer" : "refused");
	curl_multi_remove_handle(multi, call->easy);
	curl_easy_cleanup(call->easy);
	g_string_free(call->body, TRUE);
}

void gather_from_hosts(struct spread *spread, int n, char **addrs)
{
	struct gather_call *calls = g_new0(struct gather_call, n);
	CURLM *multi = curl_multi_init();
	int running = n;

	for (int i = 0; i < n; i++) {
		calls[i].addr = addrs[i];
		gather_start_call(multi, &calls[i]);
	}
	while (running > 0 && curl_multi_perform(multi, &running) == CURLM_OK && running > 0)
		curl_multi_poll(multi, NULL, 0, GATHER_POLL_INTERVAL_MS, NULL);
	for (int i = 0; i < n; i++)
		gather_finish_call(spread, multi, &calls[i]);
	curl_multi_cleanup(multi);
	g_free(calls);
}

/*
 * Returns whether a log line records the decision of a host to send on or to deny a request under
 * the configuration in force. Later attempts don't count: a request keeps the configuration under
 * which it was admitted.
 */
static bool gather_is_decision(const char *event, const json_t *line)
{
	if (!json_object_get(line, "version"))
		return false;
	if (strcmp(event, "sent") == 0)
		return json_integer_value(json_object_get(line, "attempt")) == 0;
	return strcmp(event, "denied") == 0;
}

/*
 * Adds the observation in a log line, if there is one. Lines on configurations and on settings have
 * different members for digest and source.
 */
static void gather_add_log_line(struct spread *spread, const json_t *line)
{
	const char *event = json_string_value(json_object_get(line, "event"));
	const char *host = json_string_value(json_object_get(line, "host"));
	gint64 at_ms = (gint64)(json_number_value(json_object_get(line, "t")) * 1000);
	json_t *row;

	if (!event || !host)
		return;
	if (strcmp(event, "configuration") == 0) {
		row = json_pack("{s:O, s:O?, s:O?}", "version", json_object_get(line, "version"),
				"digest", json_object_get(line, "digest"), "by",
				json_object_get(line, "from"));
		gather_add_row(spread, host, SPREAD_CONF, row, at_ms);
		json_decref(row);
	} else if (strcmp(event, "start") == 0 || strcmp(event, "reload") == 0) {
		row = json_pack("{s:O?, s:O?}", "digest", json_object_get(line, "settings"), "by",
				json_object_get(line, "by"));
		gather_add_row(spread, host, SPREAD_SETTINGS, row, at_ms);
		json_decref(row);
	} else if (gather_is_decision(event, line)) {
		gather_add_row(spread, host, SPREAD_DECISION, line, at_ms);
	}
}

int gather_from_log(struct spread *spread, const char *path)
{
	FILE *file = fopen(path, "r");
	char *text = NULL;
	size_t size = 0;
	ssize_t len;

	if (!file) {
		fprintf(stderr, "bgctl: spread: %s: cannot be read\n", path);
		return -1;
	}
	while ((len = getline(&text, &size, file)) > 0) {
		json_t *line = json_loadb(text, (size_t)len, 0, NULL);

		if (line)
			gather_add_log_line(spread, line);
		else
			spread->non_json_lines++;
		json_decref(line);
	}
	free(text);
	fclose(file);
	return 0;
}
