#include "base/log.h"
#include "base/met.h"
#include "prog/control.h"

#include <stdlib.h>
#include <string.h>

/* The operators' HTTP interface: reports of this daemon's state, and configuration changes. */
typedef void (*control_http_fn)(struct control *c, struct hd_call *call, const char *operator_name);

struct control_http_route {
	const char *method;
	const char *path;
	bool no_auth; /* The call needs no operator's token. */
	control_http_fn fn;
};

/* An operator's call on its way from the HTTP library's thread to the event loop. */
struct control_http_task {
	struct control *c;
	struct hd_call *call;
};

static void control_http_health(struct control *c, struct hd_call *call, const char *operator_name);
static void control_http_metrics(struct control *c, struct hd_call *call,
				 const char *operator_name);
static void control_http_change(struct control *c, struct hd_call *call, const char *operator_name);
static void control_http_config(struct control *c, struct hd_call *call, const char *operator_name);
static void control_http_status(struct control *c, struct hd_call *call, const char *operator_name);
static void control_http_hosts(struct control *c, struct hd_call *call, const char *operator_name);
static void control_http_pools(struct control *c, struct hd_call *call, const char *operator_name);
static void control_http_cost(struct control *c, struct hd_call *call, const char *operator_name);

static const struct control_http_route control_http_routes[] = {
	{"GET", "/healthz", true, control_http_health},
	{"GET", "/metrics", true, control_http_metrics},
	{"GET", "/v1/status", true, control_http_status},
	{"POST", "/v1/change", false, control_http_change},
	{"GET", "/v1/config", false, control_http_config},
	{"GET", "/v1/hosts", false, control_http_hosts},
	{"GET", "/v1/pools", false, control_http_pools},
	{"GET", "/v1/cost", false, control_http_cost},
};

static void control_http_error(struct hd_call *call, int status, const char *code, const char *text)
{
	prog_reply_json(call, status, json_pack("{s:s, s:s}", "error", code, "reason", text));
}

static void control_http_health(struct control *c, struct hd_call *call, const char *operator_name)
{
	(void)c;
	(void)operator_name;
	hd_reply(call, 200, "text/plain", "ok\n", 3);
	hd_unref(call);
}

static void control_http_metrics(struct control *c, struct hd_call *call, const char *operator_name)
{
	GString *out = g_string_new(NULL);

	(void)operator_name;
	g_string_append_printf(out, "bg_config_revision{} %" G_GINT64_FORMAT "\n",
			       c->clog.revision);
	g_string_append_printf(out, "bg_control_cpu_us_total{} %" G_GINT64_FORMAT "\n", c->cpu_us);
	met_write(out);
	hd_reply(call, 200, "text/plain; version=0.0.4", out->str, out->len);
	hd_unref(call);
	g_string_free(out, TRUE);
}

/*
 * Returns the configuration revision in force on this host: the lowest of this daemon's and its
 * entry daemons'. Stores the number of entry daemons in entries.
 */
static int64_t control_lowest_revision(const struct control *c, int *entries)
{
	GHashTableIter iter;
	gpointer value;
	int64_t lowest = c->clog.ready ? c->clog.revision : -1;

	*entries = 0;
	g_hash_table_iter_init(&iter, c->conns);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct control_conn *conn = value;

		if (!conn->subscriber)
			continue;
		(*entries)++;
		lowest = MIN(lowest, conn->in_force);
	}
	return lowest;
}

static void control_http_status(struct control *c, struct hd_call *call, const char *operator_name)
{
	int entries;
	int64_t in_force = control_lowest_revision(c, &entries);

	(void)operator_name;
	prog_reply_json(call, 200,
			json_pack("{s:s, s:b, s:b, s:I, s:I, s:i, s:I, s:b}", "host",
				  c->settings.name, "ready", c->clog.ready, "log_ok", c->log_ok,
				  "revision", (json_int_t)c->clog.revision, "in_force",
				  (json_int_t)in_force, "entries", entries, "divergences",
				  (json_int_t)c->clog.divergences, "stopping", c->stopping));
}

static void control_http_change(struct control *c, struct hd_call *call, const char *operator_name)
{
	size_t len;
	const char *body = hd_body(call, &len);
	json_error_t error;
	json_t *json = json_loadb(body, len, 0, &error);
	json_t *statements = json_object_get(json, "statements");
	const char *id = json_string_value(json_object_get(json, "id"));
	json_t *expect = json_object_get(json, "expect");

	if (!json_is_string(statements) || !id || strlen(id) > CONF_NAME_MAX) {
		control_http_error(call, 400, "bad_body",
				   "expected an object with statements and id");
	} else if (!c->clog.ready) {
		control_http_error(call, 503, "not_ready", "this host has no configuration yet");
	} else {
		log_msg(LOG_INFO, "command id=%s by=%s", id, operator_name);
		control_command_start(
			c, call, id, operator_name,
			json_is_integer(expect) ? json_integer_value(expect) : -1,
			str_make(json_string_value(statements), json_string_length(statements)));
	}
	json_decref(json);
}

static void control_http_config(struct control *c, struct hd_call *call, const char *operator_name)
{
	GString *text = g_string_new(NULL);

	(void)operator_name;
	conf_export(c->clog.state, text);
	prog_reply_json(call, 200,
			json_pack("{s:I, s:s%}", "revision", (json_int_t)c->clog.revision, "text",
				  text->str, text->len));
	g_string_free(text, TRUE);
}

static void control_http_hosts(struct control *c, struct hd_call *call, const char *operator_name)
{
	json_t *list = json_array();
	int64_t now = tmr_now();

	(void)operator_name;
	for (guint i = 0; i < c->hosts.hosts->len; i++) {
		const struct host *host = c->hosts.hosts->pdata[i];

		json_array_append_new(list, json_pack("{s:s, s:s, s:s, s:s, s:b, s:b}", "name",
						      host->name, "zone", host->zone, "operators",
						      host->operator_addr, "control",
						      host->control_addr, "leaving", host->leaving,
						      "suspected", host->suspect_until_us > now));
	}
	prog_reply_json(call, 200, json_pack("{s:o}", "hosts", list));
}

static json_t *control_pool_accounts(const struct pool *pool)
{
	json_t *list = json_array();

	for (guint i = 0; i < pool->fair.order->len; i++) {
		const struct fair_account *a = pool->fair.order->pdata[i];

		json_array_append_new(list,
				      json_pack("{s:s, s:i, s:i, s:i, s:I}", "account", a->name,
						"share", (int)a->limits.weight, "waiting",
						(int)g_queue_get_length(a->items), "in_flight",
						(int)a->inflight, "tokens", (json_int_t)a->served));
	}
	return list;
}

static json_t *control_pool_endpoints(const struct pool *pool)
{
	json_t *list = json_array();

	for (guint i = 0; i < pool->endpoints->len; i++) {
		const struct pool_endpoint *e = pool->endpoints->pdata[i];
		const char *state = e->down	  ? "down"
				    : e->leaving  ? "leaving"
				    : e->draining ? "draining"
						  : "admitted";

		json_array_append_new(
			list, json_pack("{s:s, s:s, s:i, s:i, s:s, s:i, s:i, s:i, s:I}", "endpoint",
					e->name, "version", e->version, "first", e->first, "last",
					e->last, "state", state, "in_flight", e->inflight, "slots",
					e->slots, "reported", e->reported, "granted",
					(json_int_t)e->granted));
	}
	return list;
}

static void control_http_pools(struct control *c, struct hd_call *call, const char *operator_name)
{
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer value;

	(void)operator_name;
	g_hash_table_iter_init(&iter, c->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct pool *pool = &((struct control_pool *)value)->pool;

		json_array_append_new(list, json_pack("{s:s, s:s, s:s, s:I, s:i, s:o, s:o}", "pool",
						      pool->name, "home", c->settings.name, "model",
						      pool->model ? pool->model : "", "bound",
						      (json_int_t)pool->bound, "pipelines",
						      (int)pool->paths->len, "accounts",
						      control_pool_accounts(pool), "endpoints",
						      control_pool_endpoints(pool)));
	}
	prog_reply_json(call, 200, json_pack("{s:o}", "pools", list));
}

static json_t *control_counter_json(const char *name)
{
	return json_integer((json_int_t)met_get(met_counter(name, "")));
}

static long control_resident_kb(void)
{
	char *text = NULL;
	const char *line;
	long kb = 0;

	if (!g_file_get_contents("/proc/self/status", &text, NULL, NULL))
		return 0;
	line = strstr(text, "VmRSS:");
	if (line)
		kb = strtol(line + strlen("VmRSS:"), NULL, 10);
	g_free(text);
	return kb;
}

/* Reports the resources used since the start; tools/slopes computes differences of them. */
static void control_http_cost(struct control *c, struct hd_call *call, const char *operator_name)
{
	static const char *const counters[] = {
		"bg_frames_sent_total",		"bg_frames_received_total",
		"bg_frame_bytes_sent_total",	"bg_frame_bytes_received_total",
		"bg_frame_segments_sent_total", "bg_frame_segments_received_total",
		"bg_http_calls_total",		"bg_http_bytes_sent_total",
		"bg_http_bytes_received_total", "bg_load_polls_total",
	};
	json_t *json = json_pack("{s:s, s:I, s:I, s:i}", "host", c->settings.name, "up_us",
				 (json_int_t)(tmr_now() - c->started_us), "cpu_us",
				 (json_int_t)c->cpu_us, "resident_kb", (int)control_resident_kb());

	(void)operator_name;
	for (size_t i = 0; i < G_N_ELEMENTS(counters); i++)
		json_object_set_new(json, counters[i], control_counter_json(counters[i]));
	prog_reply_json(call, 200, json);
}

/*
 * Checks the bearer token of a call, which has the form NAME.SECRET. As long as no operator is
 * declared, only the bootstrap token of the settings file is valid. Returns the operator's name, to
 * be freed with g_free(), or NULL.
 */
static char *control_http_authenticate(const struct control *c, struct hd_call *call)
{
	const char *header = hd_header(call, "Authorization");
	const char *token = header ? prog_path_suffix(header, "Bearer ") : NULL;
	const char *dot = token ? strchr(token, '.') : NULL;
	const struct conf_obj *operator;
	char *name;

	if (!dot)
		return NULL;
	if (conf_count(c->clog.state, CONF_OPERATOR) == 0)
		return c->settings.bootstrap[0] && conf_secret_matches(c->settings.bootstrap, token)
			       ? g_strdup("bootstrap")
			       : NULL;
	name = g_strndup(token, (gsize)(dot - token));
	operator= conf_get(c->clog.state, CONF_OPERATOR, name);
	if (operator&& conf_secret_matches(operator->text[OPERATOR_TOKEN], token))
		return name;
	g_free(name);
	return NULL;
}

static void control_http_dispatch(struct control *c, struct hd_call *call)
{
	bool known = false;

	for (size_t i = 0; i < G_N_ELEMENTS(control_http_routes); i++) {
		const struct control_http_route *route = &control_http_routes[i];
		char *operator_name;

		if (strcmp(hd_path(call), route->path) != 0)
			continue;
		known = true;
		if (strcmp(hd_method(call), route->method) != 0)
			continue;
		operator_name = route->no_auth ? g_strdup("") : control_http_authenticate(c, call);
		if (operator_name)
			route->fn(c, call, operator_name);
		else
			control_http_error(call, 401, "unauthorized",
					   "a valid operator token is required");
		g_free(operator_name);
		return;
	}
	control_http_error(call, known ? 405 : 404, known ? "bad_method" : "not_found",
			   "no such path or method");
}

static void control_http_on_call(void *ctx)
{
	struct control_http_task *task = ctx;

	control_http_dispatch(task->c, task->call);
	g_free(task);
}

void control_http_handler(void *ctx, struct hd_call *call)
{
	struct control_http_task *task = g_new(struct control_http_task, 1);

	task->c = ctx;
	task->call = call;
	loop_post(&task->c->loop, control_http_on_call, task);
}
