#include "router/store_call.h"
#include "base/err.h"
#include "router/ctrl.h"

#include <string.h>

enum {
	STORE_CONNECT_MS = 500,	       /* Time limit for connecting to the store, in milliseconds */
	STORE_BODY_MAX_BYTES = 4 << 20 /* largest body of an answer; pages and reads have 1 MB */
};

struct store_call {
	struct ctrl *ctrl;
	struct hc_call *http; /* NULL once the HTTP call has ended */
	store_fn fn;	      /* NULL if canceled while its answer was being processed */
	void *ctx;
	int64_t era; /* Era of the store that the answer states; ERA_NONE if none */
};

static bool store_call_on_head(void *ctx, int status, const GPtrArray *headers);
static void store_call_on_done(void *ctx, int status, int err, bool sent, const char *body,
			       size_t len);

static const struct hc_ops store_call_ops = {
	.on_head = store_call_on_head,
	.on_done = store_call_on_done,
};

struct store_call *store_call(struct ctrl *ctrl, const struct store_request *request, store_fn fn,
			      void *ctx)
{
	const char *headers[] = {"Content-Type: application/json", NULL};
	char *url = g_strdup_printf("http://%s%s", ctrl->router->settings.store, request->path);
	struct store_call *call = g_new0(struct store_call, 1);
	struct hc_request http = {
		.method = request->body || request->json ? "POST" : "GET",
		.url = url,
		.headers = request->json ? headers : NULL,
		.body = request->body ? request->body->str : request->json,
		.connect_ms = STORE_CONNECT_MS,
		.total_ms = request->total_ms,
		.body_max = STORE_BODY_MAX_BYTES,
		.fresh = request->fresh,
	};

	if (request->body)
		http.body_len = request->body->len;
	else if (request->json)
		http.body_len = strlen(request->json);
	call->ctrl = ctrl;
	call->fn = fn;
	call->ctx = ctx;
	call->era = ERA_NONE;
	g_hash_table_add(ctrl->store_calls, call);
	call->http = hc_start(ctrl->hc, &http, &store_call_ops, call);
	g_free(url);
	g_free(request->path);
	return call;
}

void store_call_cancel(struct store_call *call)
{
	call->fn = NULL;
	if (!call->http)
		return;
	hc_cancel(call->http);
	g_hash_table_remove(call->ctrl->store_calls, call);
}

static bool store_call_on_head(void *ctx, int status, const GPtrArray *headers)
{
	struct store_call *call = ctx;

	(void)status;
	call->era = call->ctrl->router->seam->store.read_era(headers);
	return true;
}

static void store_call_on_done(void *ctx, int status, int err, bool sent, const char *body,
			       size_t len)
{
	struct store_call *call = ctx;
	struct ctrl *ctrl = call->ctrl;
	struct store_answer answer = {status, err, str_make(body, len)};
	enum era_change news;

	(void)sent;
	call->http = NULL;
	news = ctrl_on_era(ctrl, call->era, "store");
	if (news == ERA_ADVANCED)
		answer = (struct store_answer){0, STORE_ERESTORED, str_make(NULL, 0)};
	if (news == ERA_OUTDATED)
		answer = (struct store_answer){0, STORE_ESTALE, str_make(NULL, 0)};
	if (call->fn)
		call->fn(call->ctx, &answer);
	g_hash_table_remove(ctrl->store_calls, call);
}

const char *store_strerror(int err)
{
	switch (err) {
	case STORE_ERESTORED:
		return "the store was restored from an older copy";
	case STORE_ESTALE:
		return "the answer dates from before the store was restored";
	default:
		return base_strerror(err);
	}
}
