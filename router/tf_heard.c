#include "router/tf_heard.h"
#include "base/jl.h"
#include "base/met.h"
#include "router/heard.h"
#include "router/tf_limit.h"
#include "router/tf_rest.h"

#include <string.h>

enum {
	/* Headers that are remembered; an endpoint may make up a new name in each answer. */
	TF_HEARD_UNKNOWN_MAX = 16,
	TF_HEARD_STATUS_OTHER = 421 /* another endpoint has the address */
};

/* On its way from the control thread. */
struct tf_heard_msg {
	struct tf *tf;
	char *endpoint; /* its incarnation */
	struct seam_answer answer;
};

static void tf_heard_begin(const char *event, const struct tf_ep *ep)
{
	jl_begin(JL_KEEP, event);
	jl_str("endpoint", ep->rec->incarnation);
	jl_str("addr", ep->rec->addr);
}

static void tf_heard_unknown(struct tf *tf, const struct tf_ep *ep, const char *name,
			     const char *request)
{
	met_add(met_counter("bg_headers_unknown_total", ""), 1);
	if (g_hash_table_size(tf->unknown_headers) >= TF_HEARD_UNKNOWN_MAX ||
	    !g_hash_table_add(tf->unknown_headers, g_ascii_strdown(name, -1)))
		return;
	tf_heard_begin("header_unknown", ep);
	jl_str("header", name);
	jl_str("id", request);
	jl_end();
}

/* An endpoint may say it in every answer; its first value that is no time is logged. */
static void tf_heard_rest_unreadable(struct tf_ep *ep, const struct seam_answer *answer,
				     const char *request)
{
	met_add(met_counter("bg_rests_unreadable_total", ""), 1);
	if (ep->rest_unreadable)
		return;
	ep->rest_unreadable = true;
	tf_heard_begin("rest_unreadable", ep);
	jl_int("values", answer->rest_values);
	jl_int("unreadable", answer->rest == SEAM_REST_UNREADABLE);
	jl_str("id", request);
	jl_end();
}

static void tf_heard_leaving(struct tf *tf, struct tf_ep *ep, const char *request)
{
	if (ep->leaving)
		return;
	ep->leaving = true;
	met_add(met_counter("bg_endpoints_leaving_total", ""), 1);
	tf_heard_begin("endpoint_leaving", ep);
	jl_str("from", "endpoint");
	jl_str("id", request);
	jl_int("in_flight", ep->in_flight);
	jl_end();
	heard_post_leaving(tf->router->rc, ep->rec->incarnation);
}

/* What any answer may say, to a request or to another call. */
static void tf_heard_any(struct tf *tf, struct tf_ep *ep, const struct seam_answer *answer,
			 const char *request)
{
	if (answer->unknown)
		tf_heard_unknown(tf, ep, answer->unknown, request);
	if (answer->rest == SEAM_REST_UNREADABLE || answer->rest_values > 1)
		tf_heard_rest_unreadable(ep, answer, request);
	if (answer->rest == SEAM_REST_FOR)
		tf_rest_asked(tf, ep, answer->rest_us, request);
	if (answer->leaving && answer->head.status != TF_HEARD_STATUS_OTHER)
		tf_heard_leaving(tf, ep, request);
}

void tf_heard(struct tf *tf, struct tf_ep *ep, const struct seam_answer *answer, int64_t sent_us,
	      const char *request)
{
	tf_heard_any(tf, ep, answer, request);
	if (!answer->head.not_run)
		tf_rest_taken(ep);
	tf_limit_on_answer(tf, ep, answer, sent_us, request);
}

void tf_heard_call(struct tf *tf, struct tf_ep *ep, int status, const GPtrArray *headers)
{
	struct seam_answer answer;

	tf->router->seam->wire.read_answer(status, headers, NULL, &answer);
	tf_heard_any(tf, ep, &answer, NULL);
	seam_answer_finish(&answer);
}

static void tf_heard_take(void *ctx)
{
	struct tf_heard_msg *msg = ctx;
	struct tf_ep *ep = g_hash_table_lookup(msg->tf->eps, msg->endpoint);

	if (ep)
		tf_heard_any(msg->tf, ep, &msg->answer, NULL);
	seam_answer_finish(&msg->answer);
	g_free(msg->endpoint);
	g_free(msg);
}

void tf_heard_post(struct tf *tf, const char *endpoint, const struct seam_answer *answer)
{
	struct tf_heard_msg *msg;

	if (answer->rest == SEAM_REST_NONE && !answer->leaving && !answer->unknown)
		return;
	msg = g_new0(struct tf_heard_msg, 1);
	msg->tf = tf;
	msg->endpoint = g_strdup(endpoint);
	msg->answer.head = answer->head;
	msg->answer.rest = answer->rest;
	msg->answer.rest_us = answer->rest_us;
	msg->answer.rest_values = answer->rest_values;
	msg->answer.leaving = answer->leaving;
	msg->answer.unknown = g_strdup(answer->unknown);
	loop_post(&tf->loop, tf_heard_take, msg);
}
