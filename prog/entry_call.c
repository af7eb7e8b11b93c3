#include "prog/entry_call.h"
#include "base/err.h"
#include "base/log.h"
#include "base/met.h"
#include "once/once.h"

#include <ck_pr.h>
#include <string.h>

/*
 * Requests in the traffic thread: checks what the HTTP threads have parsed, starts the request
 * state machine (req/), passes it events of the control thread, and removes old requests.
 */
enum {
	ENTRY_SWEEP_US = 200000 /* interval of checks for disconnected callers, in microseconds */
};

static void entry_call_authorize(struct entry_call *call);
static void entry_call_start(struct entry_call *call);

void entry_call_free(struct entry_call *call)
{
	if (call->hc)
		hc_cancel(call->hc);
	if (call->req_ready)
		req_finish(&call->req);
	if (call->http)
		hd_unref(call->http);
	if (call->stages)
		g_ptr_array_free(call->stages, TRUE);
	g_string_free(call->sse_buffer, TRUE);
	g_ptr_array_free(call->tokens, TRUE);
	g_ptr_array_free(call->claim_ids, TRUE);
	g_ptr_array_free(call->joiners, TRUE);
	g_free(call->request);
	g_free(call->account);
	g_free(call->model);
	g_free(call->version);
	g_free(call->prompt);
	g_free(call->key);
	g_free(call->digest);
	g_free(call->service);
	g_free(call->method);
	g_free(call->service_path);
	g_free(call->body);
	g_free(call->content_type);
	g_free(call->service_type);
	g_free(call->faulty_endpoint);
	g_free(call->run_id);
	g_free(call->run_address);
	g_free(call->winner_id);
	g_free(call->winner_entry);
	g_free(call);
}

void entry_post_call(void *task)
{
	struct entry_call *call = task;
	struct entry *e = call->entry;

	call->id = ++e->traffic.last_id;
	ck_pr_inc_uint(&e->open_calls);
	g_hash_table_insert(e->traffic.calls, &call->id, call);
	entry_call_authorize(call);
}

/* Answers a call with an error and frees it; its state machine was not started. */
static void entry_call_refuse(struct entry_call *call, enum req_code code, const char *detail)
{
	struct entry *e = call->entry;
	char *labels =
		g_strdup_printf("account=\"%s\",code=\"%s\"", call->account ? call->account : "",
				req_code_info(code)->name);

	met_add(met_counter("bg_requests_total", labels), 1);
	g_free(labels);
	entry_answer_error(call->http, call->request, code, detail, 0);
	call->http = NULL;
	g_hash_table_remove(e->traffic.calls, &call->id);
	ck_pr_dec_uint(&e->open_calls);
	entry_call_free(call);
}

/*
 * Returns the client account that the bearer token belongs to, or NULL. The token has the form
 * NAME.SECRET, so that only the hash of the named account has to be compared.
 */
static const struct conf_obj *entry_call_account(const struct entry_call *call)
{
	const char *token = call->account;
	const char *dot = token ? strchr(token, '.') : NULL;
	const struct conf_obj *account;
	char *name;

	if (!dot)
		return NULL;
	name = g_strndup(token, (gsize)(dot - token));
	account = conf_get(call->entry->traffic.conf, CONF_ACCOUNT, name);
	g_free(name);
	if (account && conf_secret_matches(account->text[ACCOUNT_TOKEN], token))
		return account;
	return NULL;
}

/*
 * Splits MODEL@VERSION; without @VERSION, the version that the configuration declares as current is
 * used. Returns false if the model is unknown.
 */
static bool entry_call_version(struct entry_call *call)
{
	char *at = strchr(call->model, '@');
	const struct conf_obj *model;

	if (at) {
		call->version = g_strdup(at + 1);
		*at = '\0';
	}
	model = conf_get(call->entry->traffic.conf, CONF_MODEL, call->model);
	if (model && !call->version)
		call->version = g_strdup(model->text[MODEL_VERSION]);
	return model != NULL;
}

static void entry_call_authorize(struct entry_call *call)
{
	struct entry *e = call->entry;
	const struct conf_obj *account;
	const struct conf_obj *service;

	if (!e->traffic.conf) {
		entry_call_refuse(call, REQ_ENOTREADY, NULL);
		return;
	}
	account = entry_call_account(call);
	if (!account) {
		g_clear_pointer(&call->account, g_free);
		entry_call_refuse(call, REQ_EAUTH, NULL);
		return;
	}
	g_free(call->account);
	call->account = g_strdup(account->name);
	if (call->kind == ENTRY_SERVICE) {
		service = conf_get(e->traffic.conf, CONF_SERVICE, call->service);
		if (!service) {
			entry_call_refuse(call, REQ_ENOTFOUND, "service");
			return;
		}
		if (service->value[SERVICE_IDEMPOTENT] == 0 && strcmp(call->method, "GET") != 0)
			call->idempotent = false;
	} else if (!entry_call_version(call)) {
		entry_call_refuse(call, REQ_ENOTFOUND, "model");
		return;
	} else if (!conf_account_allows_model(account, call->model, call->version)) {
		entry_call_refuse(call, REQ_EFORBIDDEN, "model");
		return;
	} else if (call->max_tokens > (uint64_t)account->value[ACCOUNT_MAX_TOKENS]) {
		entry_call_refuse(call, REQ_EARGUMENT, "max_tokens");
		return;
	}
	entry_call_start(call);
}

struct entry_estimates *entry_call_estimates(struct entry_call *call)
{
	GHashTable *estimates_by_name = call->entry->traffic.estimates_by_name;
	const char *name = call->kind == ENTRY_SERVICE ? call->service : call->model;
	struct entry_estimates *estimates = g_hash_table_lookup(estimates_by_name, name);

	if (!estimates) {
		estimates = g_new0(struct entry_estimates, 1);
		g_hash_table_insert(estimates_by_name, g_strdup(name), estimates);
	}
	return estimates;
}

static void entry_call_start(struct entry_call *call)
{
	struct entry *e = call->entry;
	struct entry_estimates *estimates = entry_call_estimates(call);
	struct req_params params = {
		.settings = &e->traffic.req_settings,
		.budget = &e->traffic.budget,
		.first_est = &estimates->first,
		.gap_est = &estimates->gap,
		.idempotent = call->idempotent,
		.service = call->kind == ENTRY_SERVICE,
		.deadline_us = call->deadline_us,
		.seed = (uint64_t)e->settings.seed + call->id,
	};

	req_init(&call->req, &params, &entry_req_ops, call);
	call->req_ready = true;
	log_msg(LOG_DEBUG, "request request=%s account=%s", call->request, call->account);
	req_start(&call->req, tmr_now());
}

static void entry_event_free(struct entry_event *event)
{
	if (event->stages)
		g_ptr_array_free(event->stages, TRUE);
	if (event->hosts)
		g_ptr_array_free(event->hosts, TRUE);
	conf_state_unref(event->conf);
	g_free(event->winner_id);
	g_free(event->winner_run_id);
	g_free(event->winner_entry);
	g_free(event->winner_endpoints);
	g_free(event->winner_digest);
	g_free(event);
}

static void entry_call_on_granted(struct entry_call *call, struct entry_event *event)
{
	guint n = event->stages ? event->stages->len : 0;
	char **names = g_new0(char *, n + 1);

	for (guint i = 0; i < n; i++)
		names[i] = ((struct entry_stage *)event->stages->pdata[i])->name;
	if (call->req.state != REQ_DONE && call->req.attempt == event->attempt) {
		if (call->stages)
			g_ptr_array_free(call->stages, TRUE);
		call->stages = event->stages;
		event->stages = NULL;
	}
	req_on_granted(&call->req, event->attempt, names, tmr_now());
	g_free(names);
}

/* Returns the address of the first of the named endpoints, or NULL if it is unknown. */
static const char *entry_stage_address(struct entry *e, const char *endpoints)
{
	char *first = g_strndup(endpoints, strcspn(endpoints, ","));
	const struct conf_obj *obj = conf_get(e->traffic.conf, CONF_ENDPOINT, first);

	g_free(first);
	return obj ? obj->text[ENDPOINT_ADDRESS] : NULL;
}

static void entry_call_on_claim(struct entry_call *call, struct entry_event *event)
{
	enum req_claim_verdict verdict = REQ_CLAIM_LOG_UNAVAILABLE;

	if (event->verdict == ONCE_WON)
		verdict = REQ_CLAIM_WON;
	if (event->verdict == ONCE_LOST && call->req.state == REQ_WAIT_CLAIM) {
		verdict = strcmp(event->winner_digest, call->digest) == 0 ? REQ_CLAIM_LOST
									  : REQ_CLAIM_KEY_REUSED;
		g_free(call->winner_id);
		g_free(call->winner_entry);
		g_free(call->run_id);
		g_free(call->run_address);
		call->winner_id = g_strdup(event->winner_id);
		call->winner_entry = g_strdup(event->winner_entry);
		call->run_id = g_strdup(event->winner_run_id);
		call->run_address =
			g_strdup(entry_stage_address(call->entry, event->winner_endpoints));
	}
	req_on_claim(&call->req, event->attempt, verdict, tmr_now());
}

static void entry_traffic_set_view(struct entry *e, struct entry_event *event)
{
	conf_state_unref(e->traffic.conf);
	e->traffic.conf = event->conf;
	event->conf = NULL;
	if (e->traffic.hosts)
		g_ptr_array_free(e->traffic.hosts, TRUE);
	e->traffic.hosts = event->hosts;
	event->hosts = NULL;
	ck_pr_store_64(&e->revision, (uint64_t)event->revision);
}

void entry_on_event(void *task)
{
	struct entry_event *event = task;
	struct entry *e = event->entry;
	struct entry_call *call = g_hash_table_lookup(e->traffic.calls, &event->call_id);

	if (event->kind == ENTRY_EVENT_VIEW) {
		entry_traffic_set_view(e, event);
	} else if (event->kind == ENTRY_EVENT_DRAIN) {
		e->traffic.draining = true;
	} else if (call && !call->finished) {
		if (event->kind == ENTRY_EVENT_GRANTED)
			entry_call_on_granted(call, event);
		else if (event->kind == ENTRY_EVENT_REFUSED)
			req_on_refused(&call->req, event->attempt, event->refusal, event->retry_us,
				       tmr_now());
		else if (event->kind == ENTRY_EVENT_ATTEMPT_FAILED)
			req_on_attempt_failed(&call->req, event->attempt, event->failure, NULL,
					      tmr_now());
		else
			entry_call_on_claim(call, event);
	}
	entry_event_free(event);
}

static void entry_call_remove(struct entry *e, struct entry_call *call)
{
	for (guint i = 0; i < call->claim_ids->len; i++)
		g_hash_table_remove(e->traffic.claims, call->claim_ids->pdata[i]);
	g_hash_table_remove(e->traffic.calls, &call->id);
	entry_call_free(call);
}

static void entry_remove_expired_calls(struct entry *e, int64_t now_us)
{
	int64_t keep_us = e->settings.finished_keep_s * USEC_PER_SEC;

	for (GList *l = e->traffic.finished_calls->head; l;) {
		struct entry_call *call = l->data;
		GList *next = l->next;

		if (call->claim_ids->len == 0 || now_us - call->finished_us > keep_us) {
			g_queue_delete_link(e->traffic.finished_calls, l);
			entry_call_remove(e, call);
		}
		l = next;
	}
}

/* Ends the requests of disconnected callers, so that they do not continue to occupy endpoints. */
static void entry_on_sweep_timer(void *ctx, int64_t now_us)
{
	struct entry *e = ctx;
	GList *calls = g_hash_table_get_values(e->traffic.calls);

	for (GList *l = calls; l; l = l->next) {
		struct entry_call *call = l->data;

		if (call->finished || !call->http)
			continue;
		if (!call->too_slow && !hd_client_closed(call->http))
			continue;
		hd_abort(call->http);
		hd_unref(call->http);
		call->http = NULL;
		met_add(met_counter("bg_callers_gone_total", ""), 1);
		req_on_caller_disconnected(&call->req, now_us);
	}
	g_list_free(calls);
	entry_remove_expired_calls(e, now_us);
	e->traffic.cpu_us = loop_thread_cpu_us();
	loop_start_timer(&e->traffic.loop, &e->traffic.sweep_timer, ENTRY_SWEEP_US,
			 entry_on_sweep_timer, e);
}

static void *entry_traffic_main(void *ctx)
{
	struct entry *e = ctx;

	loop_run(&e->traffic.loop);
	return NULL;
}

static void entry_traffic_settings(struct entry *e)
{
	const struct entry_settings *s = &e->settings;
	struct req_settings *r = &e->traffic.req_settings;

	r->first_floor_us = s->first_floor_ms * USEC_PER_MSEC;
	r->first_ceiling_us = s->first_ceiling_ms * USEC_PER_MSEC;
	r->gap_floor_us = s->gap_floor_ms * USEC_PER_MSEC;
	r->gap_ceiling_us = s->gap_ceiling_ms * USEC_PER_MSEC;
	r->claim_timeout_us = s->claim_ms * USEC_PER_MSEC;
	r->claim_max_age_us = s->dispatch_ms * USEC_PER_MSEC;
	r->backoff_us = s->backoff_ms * USEC_PER_MSEC;
	r->resume_timeout_us = s->resume_ms * USEC_PER_MSEC;
	r->retry_after_us = USEC_PER_SEC;
	r->attempts = (unsigned int)s->attempts_max;
	req_budget_init(&e->traffic.budget, (double)s->retry_burst, (double)s->retry_percent / 100);
}

int entry_traffic_start(struct entry *e)
{
	struct entry_traffic *t = &e->traffic;
	int err = loop_init(&t->loop);

	if (err < 0)
		return err;
	entry_traffic_settings(e);
	t->hc = hc_new(&t->loop);
	t->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	t->claims = g_hash_table_new(g_str_hash, g_str_equal);
	t->finished_calls = g_queue_new();
	t->estimates_by_name = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	err = entry_join_start(e);
	if (err < 0) {
		log_msg(LOG_ERR, "listen_failed addr=%s reason=\"%s\"", e->settings.peer,
			base_strerror(err));
		return err;
	}
	loop_start_timer(&t->loop, &t->sweep_timer, ENTRY_SWEEP_US, entry_on_sweep_timer, e);
	if (pthread_create(&t->thread, NULL, entry_traffic_main, e) != 0)
		return BASE_ESYS;
	return 0;
}
