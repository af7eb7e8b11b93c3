#include "prog/load.h"
#include "base/err.h"
#include "base/log.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	LOAD_CONNECT_TIMEOUT_MS = 1000,
	LOAD_PROGRESS_INTERVAL_US = USEC_PER_SEC,
	LOAD_RETRY_DELAY_US = 1000000 /* pause before a retry */
};

static void load_on_arrival(void *ctx, int64_t now_us);
static void load_start_call(struct load_account *account);
static void load_send_call(struct load_call *call);
static void load_on_data(void *ctx, const char *data, size_t len);
static void load_on_done(void *ctx, int status, int err, bool sent, const char *body, size_t len);

#define LOAD_OFFSET(field) offsetof(struct load_settings, field)

static const struct settings_item load_items[] = {
	{"load", "entries", SETTINGS_TEXT, LOAD_OFFSET(entries), NULL, 1, 0},
	{"load", "accounts", SETTINGS_TEXT, LOAD_OFFSET(accounts), NULL, 1, 0},
	{"load", "rates", SETTINGS_TEXT, LOAD_OFFSET(rates), "1", 1, 0},
	{"load", "tokens", SETTINGS_TEXT, LOAD_OFFSET(tokens), "16-16", 1, 0},
	{"load", "model", SETTINGS_TEXT, LOAD_OFFSET(model), NULL, 1, 0},
	{"load", "declarations", SETTINGS_TEXT, LOAD_OFFSET(declarations), "", 0, 0},
	{"load", "service", SETTINGS_TEXT, LOAD_OFFSET(service), "", 0, 0},
	{"load", "out", SETTINGS_TEXT, LOAD_OFFSET(out), "", 0, 0},
	{"load", "closed", SETTINGS_INT, LOAD_OFFSET(closed), "0", 0, 1},
	{"load", "direct", SETTINGS_INT, LOAD_OFFSET(direct), "0", 0, 100},
	{"load", "service_percent", SETTINGS_INT, LOAD_OFFSET(service_percent), "0", 0, 100},
	{"load", "once_percent", SETTINGS_INT, LOAD_OFFSET(once_percent), "0", 0, 100},
	{"load", "prompt_chars", SETTINGS_INT, LOAD_OFFSET(prompt_chars), "200", 1, 1000000},
	{"load", "duration_ms", SETTINGS_INT, LOAD_OFFSET(duration_ms), "5000", 1, 3600000},
	{"load", "drain_ms", SETTINGS_INT, LOAD_OFFSET(drain_ms), "30000", 0, 3600000},
	{"load", "deadline_ms", SETTINGS_INT, LOAD_OFFSET(deadline_ms), "60000", 1, 3600000},
	{"load", "seed", SETTINGS_INT, LOAD_OFFSET(seed), "1", 0, INT32_MAX},
	{"load", "retry", SETTINGS_INT, LOAD_OFFSET(retry), "0", 0, 100},
};

static const struct hc_ops load_ops = {.on_data = load_on_data, .on_done = load_on_done};

struct load_total *load_get_total(struct load *load, guint account, enum load_path path)
{
	return &load->totals[account * LOAD_PATH_COUNT + path];
}

static struct load_total *load_call_total(const struct load_call *call)
{
	guint index = 0;

	g_ptr_array_find(call->load->accounts, call->account, &index);
	return load_get_total(call->load, index, call->path);
}

static void load_call_free(struct load_call *call)
{
	tmr_cancel(&call->load->loop.tmr, &call->retry_timer);
	g_string_free(call->sse_buffer, TRUE);
	g_free(call);
}

/* Returns a random number between the two limits, inclusive. */
static int64_t load_random_int(struct load *load, int64_t min, int64_t max)
{
	if (min >= max)
		return min;
	return g_rand_int_range(load->rand, (gint32)min, (gint32)max + 1);
}

/* Returns true with the given probability. */
static bool load_random_percent(struct load *load, int64_t percent)
{
	return g_rand_int_range(load->rand, 0, 100) < percent;
}

/* Schedules the next request after an exponentially distributed time (Poisson arrivals). */
static void load_schedule_arrival(struct load_account *account)
{
	struct load *load = account->load;
	double wait = -log(1 - g_rand_double(load->rand)) / account->rate;

	loop_start_timer(&load->loop, &account->arrival_timer, (int64_t)(wait * USEC_PER_SEC),
			 load_on_arrival, account);
}

static void load_on_arrival(void *ctx, int64_t now_us)
{
	struct load_account *account = ctx;

	(void)now_us;
	if (account->load->stopping)
		return;
	load_start_call(account);
	load_schedule_arrival(account);
}

static void load_start_call(struct load_account *account)
{
	struct load *load = account->load;
	struct load_call *call = g_new0(struct load_call, 1);

	call->load = load;
	call->account = account;
	call->id = ++load->last_id;
	call->path = load_random_percent(load, load->settings.direct) ? LOAD_DIRECT : LOAD_ROUTER;
	call->service = call->path == LOAD_ROUTER && load->settings.service[0] &&
			load_random_percent(load, load->settings.service_percent);
	call->expected_tokens =
		(uint64_t)load_random_int(load, account->min_tokens, account->max_tokens);
	call->non_idempotent =
		call->service || load_random_percent(load, load->settings.once_percent);
	call->sse_buffer = g_string_new(NULL);
	load->open_calls++;
	load_send_call(call);
}

static char *load_prompt(struct load *load, uint64_t id)
{
	GString *prompt = g_string_new(NULL);

	g_string_append_printf(prompt, "request %" G_GUINT64_FORMAT " ", id);
	while ((int64_t)prompt->len < load->settings.prompt_chars)
		g_string_append_c(prompt, 'x');
	return g_string_free(prompt, FALSE);
}

/*
 * Returns the route of a direct call: a pair of endpoints for the first and the second stage,
 * chosen by id. Sets *address to the first stage's address.
 */
static json_t *load_direct_route(struct load *load, uint64_t id, const char **address)
{
	guint pairs = load->direct_endpoints->len / 2;
	json_t *route = json_array();

	for (guint i = 0; i < 2; i++) {
		const struct conf_obj *e =
			conf_get(load->conf, CONF_ENDPOINT,
				 load->direct_endpoints->pdata[2 * (id % MAX(pairs, 1)) + i]);

		if (i == 0)
			*address = e->text[ENDPOINT_ADDRESS];
		json_array_append_new(route,
				      json_pack("{s:s, s:s, s:I, s:I}", "endpoint", e->name,
						"address", e->text[ENDPOINT_ADDRESS], "first",
						(json_int_t)e->value[ENDPOINT_LAYERS], "last",
						(json_int_t)e->last_layer));
	}
	return route;
}

/* Returns the JSON body of a request. Sets *address to that of the engine if the call is direct. */
static char *load_request_body(struct load *load, const struct load_call *call,
			       const char **address)
{
	char *prompt = load_prompt(load, call->id);
	json_t *json =
		json_pack("{s:s, s:s, s:I, s:b}", "model", load->settings.model, "prompt", prompt,
			  "max_tokens", (json_int_t)call->expected_tokens, "stream", 1);
	char *text;

	if (call->path == LOAD_DIRECT) {
		char *id = g_strdup_printf("direct-%" G_GUINT64_FORMAT, call->id);
		const struct conf_obj *model =
			conf_get(load->conf, CONF_MODEL, load->settings.model);

		json_object_set_new(json, "version", json_string(model->text[MODEL_VERSION]));
		json_object_set_new(json, "request_id", json_string(id));
		json_object_set_new(json, "attempt", json_integer(1));
		json_object_set_new(json, "route", load_direct_route(load, call->id, address));
		g_free(id);
	}
	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	g_free(prompt);
	return text;
}

static void load_send_call(struct load_call *call)
{
	struct load *load = call->load;
	struct load_account *account = call->account;
	const char *address = load->entries->pdata[(account->next_entry++) % load->entries->len];
	char *body = load_request_body(load, call, &address);
	char *url;
	char *auth = g_strdup_printf("Authorization: Bearer %s", account->token);
	char *key = g_strdup_printf("Idempotency-Key: load-%" G_GINT64_FORMAT "-%" G_GUINT64_FORMAT,
				    load->settings.seed, call->id);
	const char *headers[6] = {auth, "Content-Type: application/json", NULL};
	struct hc_request request = {
		.method = "POST",
		.headers = headers,
		.body = body,
		.body_len = strlen(body),
		.connect_ms = LOAD_CONNECT_TIMEOUT_MS,
		.total_ms = load->settings.deadline_ms,
	};

	if (call->service)
		url = g_strdup_printf("http://%s/svc/%s/load", address, load->settings.service);
	else
		url = g_strdup_printf("http://%s/v1/completions", address);
	if (call->non_idempotent) {
		headers[2] = key;
		headers[3] = "Bg-Idempotent: no";
	}
	call->start_us = tmr_now();
	call->last_token_us = call->start_us;
	request.url = url;
	call->hc = hc_start(load->hc, &request, &load_ops, call);
	g_free(url);
	g_free(auth);
	g_free(key);
	free(body);
}

/* Records a token; text is the token's index in the answer, as a decimal number. */
static void load_on_token(struct load_call *call, const char *text)
{
	struct load_total *total = load_call_total(call);
	int64_t now = tmr_now();
	int64_t wait = now - call->last_token_us;
	guint64 index = g_ascii_strtoull(text, NULL, 10);
	int64_t second = (now - call->load->start_us) / USEC_PER_SEC;

	if (index != call->received_tokens)
		total->order_errors++;
	if (call->received_tokens++ == 0)
		g_array_append_val(total->first_token_us, wait);
	else
		g_array_append_val(total->token_gap_us, wait);
	if (call->first_token_us == 0)
		call->first_token_us = wait;
	call->last_token_us = now;
	total->tokens++;
	if (second >= 0 && second < (int64_t)G_N_ELEMENTS(call->account->tokens_by_second))
		call->account->tokens_by_second[second]++;
}

static void load_on_event(struct load_call *call, const char *payload, size_t len)
{
	json_t *json;
	const char *text;

	if (len >= 6 && strncmp(payload, "[DONE]", 6) == 0) {
		call->done = true;
		return;
	}
	json = json_loadb(payload, len, 0, NULL);
	text = json_string_value(json_object_get(json, "text"));
	if (call->path == LOAD_ROUTER)
		text = json_string_value(json_object_get(
			json_array_get(json_object_get(json, "choices"), 0), "text"));
	if (json_object_get(json, "error"))
		call->error = true;
	if (json_is_true(json_object_get(json, "done")))
		call->done = true;
	if (text && text[0])
		load_on_token(call, text);
	json_decref(json);
}

static void load_on_data(void *ctx, const char *data, size_t len)
{
	struct load_call *call = ctx;
	char *end;

	g_string_append_len(call->sse_buffer, data, (gssize)len);
	if (call->service)
		return;
	while ((end = strstr(call->sse_buffer->str, "\n\n"))) {
		const char *payload = prog_path_suffix(call->sse_buffer->str, "data: ");

		if (payload)
			load_on_event(call, payload, (size_t)(end - payload));
		g_string_erase(call->sse_buffer, 0, end - call->sse_buffer->str + 2);
	}
}

/* Derives the result of an attempt from its HTTP status and the tokens received. */
static enum load_result load_classify(const struct load_call *call, int status)
{
	if (status == 200 && call->service)
		return LOAD_OK;
	if (status == 200 && call->done && !call->error &&
	    call->received_tokens == call->expected_tokens)
		return LOAD_OK;
	return status == 429 || status == 503 ? LOAD_REFUSED : LOAD_FAILED;
}

static void load_count_error(struct load *load, int status, const char *body, size_t len)
{
	json_t *json = json_loadb(body, len, 0, NULL);
	const char *code =
		json_string_value(json_object_get(json_object_get(json, "error"), "code"));
	char *name = g_strdup_printf("%d %s", status, code ? code : "");
	gpointer count = g_hash_table_lookup(load->error_counts, name);

	g_hash_table_replace(load->error_counts, name,
			     GUINT_TO_POINTER(GPOINTER_TO_UINT(count) + 1));
	json_decref(json);
}

static void load_on_retry(void *ctx, int64_t now_us)
{
	struct load_call *call = ctx;

	(void)now_us;
	call->received_tokens = 0;
	call->done = false;
	call->error = false;
	call->first_token_us = 0;
	g_string_truncate(call->sse_buffer, 0);
	load_send_call(call);
}

static void load_on_done(void *ctx, int status, int err, bool sent, const char *body, size_t len)
{
	struct load_call *call = ctx;
	struct load *load = call->load;
	struct load_total *total = load_call_total(call);
	enum load_result result = load_classify(call, status);
	int64_t all = tmr_now() - call->start_us;

	(void)err;
	(void)sent;
	total->results[result]++;
	if (result == LOAD_OK)
		g_array_append_val(total->duration_us, all);
	else
		load_count_error(load, status, body, len);
	g_string_append_printf(load->csv,
			       "%" G_GINT64_FORMAT ",%s,%s,%d,%d,%" G_GUINT64_FORMAT
			       ",%" G_GINT64_FORMAT ",%" G_GINT64_FORMAT "\n",
			       call->start_us - load->start_us, call->account->name,
			       call->path == LOAD_DIRECT ? "direct" : "router", status, result,
			       call->received_tokens, call->first_token_us, all);
	if (result != LOAD_OK && call->retries++ < load->settings.retry) {
		loop_start_timer(&load->loop, &call->retry_timer, LOAD_RETRY_DELAY_US,
				 load_on_retry, call);
		return;
	}
	load->open_calls--;
	if (load->settings.closed && !load->stopping)
		load_start_call(call->account);
	load_call_free(call);
	if (load->stopping && load->open_calls == 0)
		loop_stop(&load->loop);
}

static void load_on_drain_timeout(void *ctx, int64_t now_us)
{
	struct load *load = ctx;

	(void)now_us;
	loop_stop(&load->loop);
}

static void load_on_end(void *ctx, int64_t now_us)
{
	struct load *load = ctx;

	(void)now_us;
	load->stopping = true;
	if (load->open_calls == 0)
		loop_stop(&load->loop);
	loop_start_timer(&load->loop, &load->end_timer, load->settings.drain_ms * USEC_PER_MSEC,
			 load_on_drain_timeout, load);
}

static void load_on_progress(void *ctx, int64_t now_us)
{
	struct load *load = ctx;

	fprintf(stderr, "\r%5.1f s  started %" G_GUINT64_FORMAT "  open %" G_GUINT64_FORMAT "   ",
		(double)(now_us - load->start_us) / USEC_PER_SEC, load->last_id, load->open_calls);
	loop_start_timer(&load->loop, &load->progress_timer, LOAD_PROGRESS_INTERVAL_US,
			 load_on_progress, load);
}

/* Returns the i-th item (from 0) of a comma-separated list, or the last if there are fewer. */
static char *load_list_item(const char *list, guint i)
{
	gchar **parts = g_strsplit(list, ",", -1);
	char *part = g_strdup(g_strstrip(parts[MIN(i, g_strv_length(parts) - 1)]));

	g_strfreev(parts);
	return part;
}

static void load_add_account(struct load *load, const char *text, guint i)
{
	struct load_account *account = g_new0(struct load_account, 1);
	const char *equals = strchr(text, '=');
	char *rate = load_list_item(load->settings.rates, i);
	char *tokens = load_list_item(load->settings.tokens, i);
	const char *dash = strchr(tokens, '-');

	account->load = load;
	account->name = equals ? g_strndup(text, (gsize)(equals - text)) : g_strdup("?");
	account->token = g_strdup(equals ? equals + 1 : text);
	account->rate = g_ascii_strtod(rate, NULL);
	account->min_tokens = g_ascii_strtoll(tokens, NULL, 10);
	account->max_tokens = dash ? g_ascii_strtoll(dash + 1, NULL, 10) : account->min_tokens;
	g_ptr_array_add(load->accounts, account);
	g_free(rate);
	g_free(tokens);
}

static void load_init(struct load *load)
{
	gchar **entries = g_strsplit(load->settings.entries, ",", -1);
	gchar **accounts = g_strsplit(load->settings.accounts, ",", -1);
	gsize n;

	load->entries = g_ptr_array_new();
	for (gchar **e = entries; *e; e++)
		g_ptr_array_add(load->entries, g_strdup(g_strstrip(*e)));
	load->accounts = g_ptr_array_new();
	for (guint i = 0; accounts[i]; i++)
		load_add_account(load, g_strstrip(accounts[i]), i);
	g_strfreev(entries);
	g_strfreev(accounts);
	n = (gsize)load->accounts->len * LOAD_PATH_COUNT;
	load->totals = g_new0(struct load_total, n);
	for (gsize i = 0; i < n; i++) {
		load->totals[i].first_token_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
		load->totals[i].token_gap_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
		load->totals[i].duration_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	}
	load->csv = g_string_new("start_us,account,path,status,result,tokens,first_us,all_us\n");
	load->error_counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	load->rand = g_rand_new_with_seed((guint32)load->settings.seed);
}

/*
 * Appends the endpoint's name if its stage is next: names alternate between an endpoint that holds
 * layer 0 and one that does not. Endpoints are visited in order of name.
 */
static void load_add_direct_endpoint(void *ctx, const struct conf_obj *endpoint)
{
	struct load *load = ctx;
	bool first = endpoint->value[ENDPOINT_LAYERS] == 0;

	if (first == (load->direct_endpoints->len % 2 == 0))
		g_ptr_array_add(load->direct_endpoints, endpoint->name);
}

static void load_read_declarations(struct load *load)
{
	struct conf_state *empty = conf_state_new();
	struct conf_problem problem;
	char *text = NULL;
	int err;

	load->direct_endpoints = g_ptr_array_new();
	if (!load->settings.declarations[0])
		return;
	if (!g_file_get_contents(load->settings.declarations, &text, NULL, NULL) ||
	    !(load->conf = conf_apply(empty, str_from_cstr(text), &problem, &err))) {
		fprintf(stderr, "bgload: %s: cannot be read or is not valid\n",
			load->settings.declarations);
		exit(PROG_EXIT_USAGE);
	}
	conf_for_each(load->conf, CONF_ENDPOINT, load_add_direct_endpoint, load);
	conf_state_unref(empty);
	g_free(text);
}

static void load_run(struct load *load)
{
	load->start_us = tmr_now();
	for (guint i = 0; i < load->accounts->len; i++) {
		struct load_account *account = load->accounts->pdata[i];

		for (int n = 0; load->settings.closed && n < (int)account->rate; n++)
			load_start_call(account);
		if (!load->settings.closed)
			load_schedule_arrival(account);
	}
	loop_start_timer(&load->loop, &load->end_timer, load->settings.duration_ms * USEC_PER_MSEC,
			 load_on_end, load);
	loop_start_timer(&load->loop, &load->progress_timer, LOAD_PROGRESS_INTERVAL_US,
			 load_on_progress, load);
	loop_run(&load->loop);
	fputc('\n', stderr);
}

int main(int argc, char **argv)
{
	struct load *load = g_new0(struct load, 1);

	prog_start(&argc, &argv, "Load generator.", load_items, G_N_ELEMENTS(load_items),
		   &load->settings);
	if (loop_init(&load->loop) < 0)
		return PROG_EXIT_FAILED;
	load->hc = hc_new(&load->loop);
	load_init(load);
	load_read_declarations(load);
	load_run(load);
	return load_report(load) ? PROG_EXIT_OK : PROG_EXIT_FAILED;
}
