#include "base/hd_int.h"
#include "base/met.h"
#include "base/tmr.h"

#include <ck_pr.h>
#include <string.h>

void hd_drop_body(struct hd_call *call)
{
	ck_pr_sub_64(&call->hd->bodies, call->body->len);
	g_string_free(call->body, TRUE);
	call->body = g_string_new(NULL);
}

/* Returns the largest body by any limit that the client may have gone by. */
static uint64_t hd_body_max(struct hd_call *call)
{
	struct hd *hd = call->hd;
	uint64_t max;

	pthread_mutex_lock(&hd->body_lock);
	max = recent_largest(&hd->body_max, call->began_us - CONNS_LIMIT_DELAY_US);
	pthread_mutex_unlock(&hd->body_lock);
	return max;
}

bool hd_reply_early(struct hd *hd, int fd, const struct early_response *response)
{
	if (early_reply(&hd->early, fd, response, tmr_now()) == 0)
		return true;
	met_add(met_counter("bg_early_responses_failed_total", ""), 1);
	return false;
}

/* Sends the response that hd_config.refuse() has set. */
static void hd_send_early(struct hd_call *call)
{
	const struct early_response response = {
		.status = call->status,
		.type = call->type,
		.headers = call->headers,
		.body = call->pending->str,
		.len = strcmp(call->method, "HEAD") == 0 ? 0 : call->pending->len,
	};

	call->queued = true;
	call->early_failed = !hd_reply_early(call->hd, call->fd, &response);
}

/* Answers a request that is refused by a server that does not answer such requests itself. */
static void hd_refuse_by_default(struct hd_call *call, enum hd_refusal why)
{
	static const char head[] = "{\"error\":{\"code\":\"head_too_large\"}}";

	if (why == HD_REFUSED_HEAD)
		hd_reply(call, MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE, "application/json", head,
			 sizeof(head) - 1);
}

enum MHD_Result hd_refuse_call(struct hd_call *call, enum hd_refusal why)
{
	const struct hd_config *config = &call->hd->config;

	hd_drop_body(call);
	call->refused = true;
	call->why = why;
	if (config->refuse)
		config->refuse(config->ctx, call, why);
	else
		hd_refuse_by_default(call, why);
	if (call->answered)
		hd_send_early(call);
	return MHD_NO;
}

static bool hd_may_hold(const struct hd_call *call, uint64_t own, uint64_t more)
{
	const struct hd_config *config = &call->hd->config;
	const struct hd_body_use use = {
		.total = hd_bodies_total(call->hd),
		.own = MAX(own, call->stated),
		.more = more,
	};

	return !config->may_hold || config->may_hold(config->ctx, &use);
}

/* A body that grows as it comes would be moved, and take up to twice its length. */
static void hd_reserve_body(struct hd_call *call)
{
	g_string_free(call->body, TRUE);
	call->body = g_string_sized_new(call->stated);
}

enum MHD_Result hd_admit_body(struct hd_call *call)
{
	const char *length = hd_header(call, MHD_HTTP_HEADER_CONTENT_LENGTH);
	bool has_body = hd_header(call, MHD_HTTP_HEADER_TRANSFER_ENCODING) != NULL;

	call->stated = length ? g_ascii_strtoull(length, NULL, 10) : 0;
	has_body |= call->stated > 0;
	if (!has_body || call->stated > hd_body_max(call))
		return MHD_YES;
	if (!hd_may_hold(call, 1, MAX(call->stated, 1)))
		return hd_refuse_call(call, HD_REFUSED_FULL);
	hd_reserve_body(call);
	return MHD_YES;
}

static void hd_keep_body(struct hd_call *call, const char *data, size_t len)
{
	g_string_append_len(call->body, data, (gssize)len);
	ck_pr_add_64(&call->hd->bodies, len);
}

enum MHD_Result hd_on_body(struct hd_call *call, const char *data, size_t len)
{
	size_t own = call->body->len + len;

	if (!body_pace_on_data(&call->pace, len, call->idle_us, tmr_now()))
		return hd_refuse_call(call, HD_REFUSED_SLOW);
	call->too_large |= own > hd_body_max(call);
	if (!call->too_large && !hd_may_hold(call, own, len)) {
		call->too_large = call->stated > hd_body_max(call);
		if (!call->too_large)
			return hd_refuse_call(call, HD_REFUSED_FULL);
	}
	if (call->too_large)
		hd_drop_body(call);
	else
		hd_keep_body(call, data, len);
	return MHD_YES;
}

uint64_t hd_bodies_total(const struct hd *hd)
{
	return ck_pr_load_64(&hd->bodies);
}
