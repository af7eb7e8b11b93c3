#include "prog/ctl.h"
#include "conf/conf.h"
#include "base/prog.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Runs a command with the arguments that follow its name. Returns the exit status. */
typedef int (*ctl_command_fn)(struct ctl *ctl, int argc, char **argv);

struct ctl_command {
	const char *name;
	const char *args; /* arguments, as shown in the usage message */
	const char *help; /* one-line description */
	ctl_command_fn fn;
	gboolean local; /* runs without --control */
};

static int ctl_do(struct ctl *ctl, int argc, char **argv);
static int ctl_diff(struct ctl *ctl, int argc, char **argv);
static int ctl_apply(struct ctl *ctl, int argc, char **argv);
static int ctl_export(struct ctl *ctl, int argc, char **argv);
static int ctl_show_command(struct ctl *ctl, int argc, char **argv);
static int ctl_watch(struct ctl *ctl, int argc, char **argv);
static int ctl_wait_command(struct ctl *ctl, int argc, char **argv);
static int ctl_secret(struct ctl *ctl, int argc, char **argv);
static int ctl_explain_command(struct ctl *ctl, int argc, char **argv);
static int ctl_state_command(struct ctl *ctl, int argc, char **argv);
static int ctl_clear_command(struct ctl *ctl, int argc, char **argv);
static int ctl_spread_command(struct ctl *ctl, int argc, char **argv);
static int ctl_wait_in_force(const struct ctl *ctl, gint64 revision);

static const struct ctl_command ctl_commands[] = {
	{"do", "[STATEMENT...]", "send statements (arguments, --file, or standard input)", ctl_do,
	 FALSE},
	{"diff", "FILE", "print the changes that 'apply' would make", ctl_diff, FALSE},
	{"apply", "FILE", "make the configuration what the file declares", ctl_apply, FALSE},
	{"export", "", "print the configuration as declarations", ctl_export, FALSE},
	{"show", "WHAT", "status, hosts, endpoints, accounts, usage, bound, cost, config",
	 ctl_show_command, FALSE},
	{"watch", "WHAT", "repeat 'show' every second", ctl_watch, FALSE},
	{"wait", "REVISION", "wait until the revision is in force on every live host",
	 ctl_wait_command, FALSE},
	{"explain", "ID [FILE...]",
	 "a request's log lines and outcome from hosts' logs (files, or standard input)",
	 ctl_explain_command, TRUE},
	{"state", "[WHAT]",
	 "state of a bgrouterd (--control: its metrics address): hosts, endpoints, faults, "
	 "ranges, classes, accounts, budgets, quarantine, parts, rests, limits, permits, answers",
	 ctl_state_command, FALSE},
	{"clear", "CONTENT",
	 "remove a request from quarantine (--control: a bgrouterd's metrics address)",
	 ctl_clear_command, FALSE},
	{"spread", "ADDR... | LOG...",
	 "which hosts run which configuration and settings, since when, and which are outdated",
	 ctl_spread_command, TRUE},
	{"secret", "NAME", "generate a token and its salted hash", ctl_secret, TRUE},
};

enum {
	CTL_CALL_TIMEOUT_MS = 10000,
	CTL_POLL_INTERVAL_US = 50000,	 /* pause of "wait" between two checks */
	CTL_WATCH_INTERVAL_US = 1000000, /* pause of "watch" between two prints */
	CTL_SECRET_BYTES = 16		 /* random bytes of a token or a salt */
};

size_t ctl_append_body(char *data, size_t size, size_t n, void *ctx)
{
	g_string_append_len(ctx, data, (gssize)(size * n));
	return size * n;
}

long ctl_call(const struct ctl *ctl, const char *addr, const char *method, const char *path,
	      json_t *send, json_t **body)
{
	CURL *easy = curl_easy_init();
	char *url = g_strdup_printf("http://%s%s", addr, path);
	char *auth = g_strdup_printf("Authorization: Bearer %s", ctl->token ? ctl->token : "");
	struct curl_slist *headers = curl_slist_append(NULL, auth);
	char *text = send ? json_dumps(send, JSON_COMPACT) : NULL;
	GString *answer = g_string_new(NULL);
	long status = 0;

	headers = curl_slist_append(headers, "Expect:");
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)CTL_CALL_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, ctl_append_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, answer);
	if (text)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, text);
	if (curl_easy_perform(easy) == CURLE_OK)
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	*body = json_loadb(answer->str, answer->len, 0, NULL);
	curl_slist_free_all(headers);
	curl_easy_cleanup(easy);
	g_string_free(answer, TRUE);
	g_free(url);
	g_free(auth);
	free(text);
	json_decref(send);
	return status;
}

int ctl_report_failure(const char *operation, long status, json_t *body)
{
	const char *reason = json_string_value(json_object_get(body, "reason"));

	if (status == 0)
		fprintf(stderr, "bgctl: %s: no answer from the control daemon\n", operation);
	else
		fprintf(stderr, "bgctl: %s: status %ld: %s\n", operation, status,
			reason ? reason : "");
	json_decref(body);
	return CTL_FAILED;
}

static char *ctl_read_stream(FILE *file)
{
	GString *text = g_string_new(NULL);
	char buf[4096];
	size_t n;

	while ((n = fread(buf, 1, sizeof(buf), file)) > 0)
		g_string_append_len(text, buf, (gssize)n);
	return g_string_free(text, FALSE);
}

/*
 * Returns the text of the file at path ("-": standard input), or prints an error and returns NULL.
 */
static char *ctl_read_file(const char *path)
{
	FILE *file = strcmp(path, "-") == 0 ? stdin : fopen(path, "r");
	char *text;

	if (!file) {
		fprintf(stderr, "bgctl: %s: cannot be read\n", path);
		return NULL;
	}
	text = ctl_read_stream(file);
	if (file != stdin)
		fclose(file);
	if (!g_utf8_validate(text, -1, NULL)) {
		fprintf(stderr, "bgctl: %s: not UTF-8\n", path);
		g_clear_pointer(&text, g_free);
	}
	return text;
}

/*
 * Returns the configuration in force at the control daemon and its revision, or prints an error and
 * returns NULL.
 */
static char *ctl_fetch_config(const struct ctl *ctl, gint64 *revision)
{
	json_t *body;
	long status = ctl_call(ctl, ctl->control, "GET", "/v1/config", NULL, &body);
	char *text;

	if (status != 200) {
		ctl_report_failure("config", status, body);
		return NULL;
	}
	text = g_strdup(json_string_value(json_object_get(body, "text")));
	*revision = json_integer_value(json_object_get(body, "revision"));
	json_decref(body);
	return text;
}

static void ctl_print_rejection(const json_t *body, const char *statements)
{
	const char *reason = json_string_value(json_object_get(body, "reason"));
	int line = (int)json_integer_value(json_object_get(body, "line"));
	int column = (int)json_integer_value(json_object_get(body, "column"));
	gchar **lines;

	if (line == 0) {
		fprintf(stderr, "rejected: %s\n", reason ? reason : "");
		return;
	}
	lines = g_strsplit(statements, "\n", -1);
	fprintf(stderr, "rejected: line %d, column %d: %s\n", line, column, reason ? reason : "");
	if (line <= (int)g_strv_length(lines))
		fprintf(stderr, "  %s\n  %*s^\n", lines[line - 1], column - 1, "");
	g_strfreev(lines);
}

int ctl_send_change(const struct ctl *ctl, const char *statements, gint64 expect)
{
	char *id = g_uuid_string_random();
	json_t *body;
	long status = ctl_call(ctl, ctl->control, "POST", "/v1/change",
			       json_pack("{s:s, s:s, s:I}", "statements", statements, "id", id,
					 "expect", (json_int_t)expect),
			       &body);
	const char *outcome = json_string_value(json_object_get(body, "outcome"));
	gint64 revision = json_integer_value(json_object_get(body, "revision"));
	int result = CTL_OK;

	if (!outcome) {
		result = status == 0 ? CTL_UNKNOWN : CTL_FAILED;
		ctl_report_failure("change", status, json_incref(body));
	} else if (strcmp(outcome, "accepted") == 0) {
		printf("accepted, revision %" G_GINT64_FORMAT "\n", revision);
		if (ctl->wait)
			result = ctl_wait_in_force(ctl, revision);
	} else if (strcmp(outcome, "rejected") == 0) {
		ctl_print_rejection(body, statements);
		result = CTL_REJECTED;
	} else {
		fprintf(stderr, "%s: %s (command %s)\n", outcome,
			json_string_value(json_object_get(body, "reason")), id);
		result = strcmp(outcome, "unknown") == 0 ? CTL_UNKNOWN : CTL_FAILED;
	}
	json_decref(body);
	g_free(id);
	return result;
}

static int ctl_do(struct ctl *ctl, int argc, char **argv)
{
	char *text;
	int result;

	if (argc > 0)
		text = g_strjoinv("\n", argv);
	else
		text = ctl_read_file(ctl->file ? ctl->file : "-");
	if (!text)
		return CTL_USAGE;
	result = ctl_send_change(ctl, text, ctl->expect);
	g_free(text);
	return result;
}

static struct conf_state *ctl_parse_config(const char *name, const char *text)
{
	struct conf_state *empty = conf_state_new();
	struct conf_problem problem;
	int err;
	struct conf_state *state = conf_apply(empty, str_from_cstr(text), &problem, &err);

	conf_state_unref(empty);
	if (!state)
		fprintf(stderr, "bgctl: %s:%d:%d: %s\n", name, problem.line, problem.column,
			problem.text);
	return state;
}

/*
 * Returns the statements that change the configuration in force to the one declared in the file at
 * path, and the revision in force. Prints an error and returns NULL on failure.
 */
static GString *ctl_config_diff(const struct ctl *ctl, const char *path, gint64 *revision)
{
	char *wanted_text = ctl_read_file(path);
	struct conf_state *wanted = wanted_text ? ctl_parse_config(path, wanted_text) : NULL;
	char *now_text = wanted ? ctl_fetch_config(ctl, revision) : NULL;
	struct conf_state *now =
		now_text ? ctl_parse_config("configuration in force", now_text) : NULL;
	GString *diff = NULL;

	if (now) {
		diff = g_string_new(NULL);
		conf_diff(now, wanted, diff);
	}
	conf_state_unref(now);
	conf_state_unref(wanted);
	g_free(now_text);
	g_free(wanted_text);
	return diff;
}

static int ctl_diff(struct ctl *ctl, int argc, char **argv)
{
	gint64 revision;
	GString *diff;

	if (argc != 1)
		return CTL_USAGE;
	diff = ctl_config_diff(ctl, argv[0], &revision);
	if (!diff)
		return CTL_FAILED;
	fputs(diff->str, stdout);
	g_string_free(diff, TRUE);
	return CTL_OK;
}

/*
 * Sends all differences as one change, which is rejected if the revision that they were computed
 * against is no longer in force.
 */
static int ctl_apply(struct ctl *ctl, int argc, char **argv)
{
	gint64 revision;
	GString *diff;
	int result;

	if (argc != 1)
		return CTL_USAGE;
	diff = ctl_config_diff(ctl, argv[0], &revision);
	if (!diff)
		return CTL_FAILED;
	if (diff->len == 0) {
		printf("nothing to change, revision %" G_GINT64_FORMAT "\n", revision);
		result = ctl->wait ? ctl_wait_in_force(ctl, revision) : CTL_OK;
	} else {
		result = ctl_send_change(ctl, diff->str, ctl->expect >= 0 ? ctl->expect : revision);
	}
	g_string_free(diff, TRUE);
	return result;
}

static int ctl_export(struct ctl *ctl, int argc, char **argv)
{
	gint64 revision;
	char *text;

	(void)argv;
	if (argc != 0)
		return CTL_USAGE;
	text = ctl_fetch_config(ctl, &revision);
	if (!text)
		return CTL_FAILED;
	fputs(text, stdout);
	g_free(text);
	return CTL_OK;
}

/*
 * Returns the names of the hosts that do not have the revision in force or do not respond, each
 * after a space; "" if all have it. Hosts that are leaving are not counted.
 */
static char *ctl_hosts_behind(const struct ctl *ctl, gint64 revision)
{
	json_t *body;
	long status = ctl_call(ctl, ctl->control, "GET", "/v1/hosts", NULL, &body);
	GString *missing = g_string_new(NULL);
	size_t i;
	json_t *host;

	if (status != 200)
		g_string_append(missing, "(no list of hosts)");
	json_array_foreach(json_object_get(body, "hosts"), i, host)
	{
		const char *addr = json_string_value(json_object_get(host, "operators"));
		json_t *own;

		if (json_is_true(json_object_get(host, "leaving")))
			continue;
		status = ctl_call(ctl, addr, "GET", "/v1/status", NULL, &own);
		if (status != 200 ||
		    json_integer_value(json_object_get(own, "in_force")) < revision)
			g_string_append_printf(missing, " %s",
					       json_string_value(json_object_get(host, "name")));
		json_decref(own);
	}
	json_decref(body);
	return g_string_free(missing, FALSE);
}

static int ctl_wait_in_force(const struct ctl *ctl, gint64 revision)
{
	gint64 start = g_get_monotonic_time();
	char *missing = ctl_hosts_behind(ctl, revision);

	while (missing[0]) {
		if (g_get_monotonic_time() - start > (gint64)ctl->wait_ms * 1000) {
			fprintf(stderr, "revision %" G_GINT64_FORMAT " is not in force on:%s\n",
				revision, missing);
			g_free(missing);
			return CTL_FAILED;
		}
		g_usleep(CTL_POLL_INTERVAL_US);
		g_free(missing);
		missing = ctl_hosts_behind(ctl, revision);
	}
	g_free(missing);
	printf("in force everywhere after %.2f s\n",
	       (double)(g_get_monotonic_time() - start) / 1e6);
	return CTL_OK;
}

static int ctl_wait_command(struct ctl *ctl, int argc, char **argv)
{
	if (argc != 1)
		return CTL_USAGE;
	return ctl_wait_in_force(ctl, g_ascii_strtoll(argv[0], NULL, 10));
}

static int ctl_show_command(struct ctl *ctl, int argc, char **argv)
{
	if (argc != 1)
		return CTL_USAGE;
	return ctl_show(ctl, argv[0]);
}

static int ctl_watch(struct ctl *ctl, int argc, char **argv)
{
	int result = CTL_USAGE;

	while (argc == 1) {
		fputs("\033[H\033[2J", stdout);
		result = ctl_show(ctl, argv[0]);
		fflush(stdout);
		if (result != CTL_OK)
			break;
		g_usleep(CTL_WATCH_INTERVAL_US);
	}
	return result;
}

static char *ctl_random_hex(void)
{
	guint8 bytes[CTL_SECRET_BYTES];
	FILE *file = fopen("/dev/urandom", "r");
	GString *hex = g_string_new(NULL);

	if (!file || fread(bytes, 1, sizeof(bytes), file) != sizeof(bytes)) {
		fputs("bgctl: no random numbers\n", stderr);
		exit(CTL_FAILED);
	}
	fclose(file);
	for (size_t i = 0; i < sizeof(bytes); i++)
		g_string_append_printf(hex, "%02x", bytes[i]);
	return g_string_free(hex, FALSE);
}

static int ctl_state_command(struct ctl *ctl, int argc, char **argv)
{
	if (argc > 1)
		return CTL_USAGE;
	return ctl_state(ctl, argc == 1 ? argv[0] : NULL);
}

static int ctl_clear_command(struct ctl *ctl, int argc, char **argv)
{
	if (argc != 1)
		return CTL_USAGE;
	return ctl_clear(ctl, argv[0]);
}

static int ctl_spread_command(struct ctl *ctl, int argc, char **argv)
{
	if (argc < 1)
		return CTL_USAGE;
	return ctl_spread(ctl, argc, argv);
}

static int ctl_explain_command(struct ctl *ctl, int argc, char **argv)
{
	(void)ctl;
	if (argc < 1) {
		fprintf(stderr, "bgctl: explain: an id is missing\n");
		return CTL_USAGE;
	}
	return ctl_explain(argv[0], argc - 1, argv + 1);
}

static int ctl_secret(struct ctl *ctl, int argc, char **argv)
{
	char *secret;
	char *salt;
	char *token;
	char *hash;

	(void)ctl;
	if (argc != 1)
		return CTL_USAGE;
	secret = ctl_random_hex();
	salt = ctl_random_hex();
	token = g_strdup_printf("%s.%s", argv[0], secret);
	hash = conf_secret_hash(salt, token);
	printf("token %s\nhash %s\n", token, hash);
	g_free(hash);
	g_free(token);
	g_free(salt);
	g_free(secret);
	return CTL_OK;
}

static char *ctl_help_summary(void)
{
	GString *text = g_string_new("Commands:\n");

	for (size_t i = 0; i < G_N_ELEMENTS(ctl_commands); i++)
		g_string_append_printf(text, "  %-7s %-15s %s\n", ctl_commands[i].name,
				       ctl_commands[i].args, ctl_commands[i].help);
	g_string_append(text,
			"Any other words are sent as one statement: bgctl drain endpoint e1\n"
			"Exit status: 0 success, 1 failure, 2 wrong usage, 3 change rejected, "
			"4 outcome unknown.");
	return g_string_free(text, FALSE);
}

static gboolean ctl_is_local(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(ctl_commands); i++) {
		if (strcmp(name, ctl_commands[i].name) == 0)
			return ctl_commands[i].local;
	}
	return FALSE;
}

static int ctl_run_command(struct ctl *ctl, int argc, char **argv)
{
	char *statement;
	int result;

	for (size_t i = 0; i < G_N_ELEMENTS(ctl_commands); i++) {
		if (strcmp(argv[0], ctl_commands[i].name) != 0)
			continue;
		result = ctl_commands[i].fn(ctl, argc - 1, argv + 1);
		if (result == CTL_USAGE)
			fprintf(stderr, "bgctl: usage: bgctl %s %s\n", ctl_commands[i].name,
				ctl_commands[i].args);
		return result;
	}
	statement = g_strjoinv(" ", argv);
	result = ctl_send_change(ctl, statement, ctl->expect);
	g_free(statement);
	return result;
}

int main(int argc, char **argv)
{
	struct ctl ctl = {.expect = -1, .wait_ms = 8000};
	gboolean version = FALSE;
	GOptionEntry options[] = {
		{"control", 'c', 0, G_OPTION_ARG_STRING, &ctl.control,
		 "operators' address of a control daemon (or BRONZEGAUGE_CONTROL)", "IP:PORT"},
		{"token", 't', 0, G_OPTION_ARG_STRING, &ctl.token,
		 "operator's token (or BRONZEGAUGE_TOKEN)", "TOKEN"},
		{"file", 'f', 0, G_OPTION_ARG_FILENAME, &ctl.file,
		 "file with the statements of 'do'", "FILE"},
		{"json", 'j', 0, G_OPTION_ARG_NONE, &ctl.json, "print JSON", NULL},
		{"wait", 'w', 0, G_OPTION_ARG_NONE, &ctl.wait,
		 "return when the change is in force on every live host", NULL},
		{"wait-ms", 0, 0, G_OPTION_ARG_INT, &ctl.wait_ms,
		 "longest time to wait for a revision, in milliseconds", "MS"},
		{"expect", 'e', 0, G_OPTION_ARG_INT64, &ctl.expect,
		 "reject the change unless this revision is in force", "N"},
		{"version", 'V', 0, G_OPTION_ARG_NONE, &version, "print the version", NULL},
		{NULL, 0, 0, 0, NULL, NULL, NULL},
	};
	GOptionContext *context = g_option_context_new("COMMAND [ARGUMENT...]");
	GError *error = NULL;
	char *summary = ctl_help_summary();
	int status;

	g_option_context_set_summary(context, summary);
	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "bgctl: %s\n", error->message);
		return CTL_USAGE;
	}
	g_option_context_free(context);
	g_free(summary);
	if (version) {
		printf("bgctl %s\n", PROG_VERSION);
		return CTL_OK;
	}
	if (argc < 2) {
		fputs("bgctl: a command is missing; see bgctl --help\n", stderr);
		return CTL_USAGE;
	}
	if (!ctl.control)
		ctl.control = g_strdup(g_getenv("BRONZEGAUGE_CONTROL"));
	if (!ctl.token)
		ctl.token = g_strdup(g_getenv("BRONZEGAUGE_TOKEN"));
	if (!ctl.control && !ctl_is_local(argv[1])) {
		fputs("bgctl: --control or BRONZEGAUGE_CONTROL is missing\n", stderr);
		return CTL_USAGE;
	}
	status = ctl_run_command(&ctl, argc - 1, argv + 1);
	g_free(ctl.control);
	g_free(ctl.token);
	g_free(ctl.file);
	return status;
}
