#include "router/traffic_head.h"
#include "base/jl.h"
#include "base/met.h"
#include "router/notice.h"
#include "router/traffic_limit.h"
#include "router/traffic_rest.h"

#include <string.h>

enum {
	/*
	 * Maximum number of names of headers that are kept to log each once; an endpoint may use a
	 * new one in each answer.
	 */
	TRAF_HEAD_LOGGED_MAX = 32,
	TRAF_HEAD_STATUS_MISDIRECTED = 421 /* HTTP 421: another endpoint has the address */
};

/* Message from the control thread: the head of an answer that it received. */
struct traf_head_msg {
	struct traf *traf;
	char *endpoint; /* incarnation of the endpoint */
	struct seam_answer answer;
};

static void traf_head_log_begin(const char *event, const struct traf_ep *ep)
{
	jl_begin(JL_UNLIMITED, event);
	jl_str("endpoint", ep->rec->incarnation);
	jl_str("addr", ep->rec->addr);
}

/*
 * Logs a matter of a header of that name once; later ones are only counted, as an endpoint may
 * bring them in each answer. Returns whether the line was begun.
 */
static bool traf_head_begin_once(struct traf *traf, const struct traf_ep *ep, const char *event,
				 const char *name)
{
	char *lower = g_ascii_strdown(name, -1);
	char *key = g_strdup_printf("%s %s", event, lower);
	bool has_room = g_hash_table_size(traf->logged_headers) < TRAF_HEAD_LOGGED_MAX;

	g_free(lower);
	if (!has_room || g_hash_table_contains(traf->logged_headers, key)) {
		g_free(key);
		return false;
	}
	g_hash_table_add(traf->logged_headers, key);
	traf_head_log_begin(event, ep);
	jl_str("header", name);
	return true;
}

static void traf_head_log_unknown(struct traf *traf, const struct traf_ep *ep, const char *name,
				  const char *request)
{
	met_add(met_counter("bg_headers_unknown_total", ""), 1);
	if (!traf_head_begin_once(traf, ep, "header_unknown", name))
		return;
	jl_str("id", request);
	jl_end();
}

/* The caller does not get these headers: the HTTP server can't send them. */
static void traf_head_log_lost(struct traf *traf, const struct traf_ep *ep,
			       const struct seam_answer *answer, const char *request)
{
	const char *why = answer->lost_odd ? "why=\"odd\"" : "why=\"empty\"";

	met_add(met_counter("bg_headers_lost_total", why), (uint64_t)answer->lost_count);
	if (!traf_head_begin_once(traf, ep, "header_lost", answer->lost))
		return;
	jl_str("why", answer->lost_odd ? "odd value" : "no value");
	jl_int("unusable", answer->head.unusable);
	jl_str("id", request);
	jl_end();
}

/*
 * Logs the first unparsable demand of an endpoint for a rest period; later ones are only counted,
 * as it may send one in every answer.
 */
static void traf_head_log_rest_unreadable(struct traf_ep *ep, const struct seam_answer *answer,
					  const char *request)
{
	met_add(met_counter("bg_rests_unreadable_total", ""), 1);
	if (ep->rest_unreadable_logged)
		return;
	ep->rest_unreadable_logged = true;
	traf_head_log_begin("rest_unreadable", ep);
	jl_int("values", answer->rest_value_count);
	jl_int("unreadable", answer->rest == SEAM_REST_UNREADABLE);
	jl_str("id", request);
	jl_end();
}

static void traf_head_on_leaving(struct traf *traf, struct traf_ep *ep, const char *request)
{
	if (ep->leaving)
		return;
	ep->leaving = true;
	met_add(met_counter("bg_endpoints_leaving_total", ""), 1);
	traf_head_log_begin("endpoint_leaving", ep);
	jl_str("from", "endpoint");
	jl_str("id", request);
	jl_int("in_flight", ep->in_flight);
	jl_end();
	notice_post_leaving(traf->router->ctrl, ep->rec->incarnation);
}

/* Handles what the answer to a request or to any other call may state about the endpoint. */
static void traf_head_read(struct traf *traf, struct traf_ep *ep, const struct seam_answer *answer,
			   const char *request)
{
	if (answer->unknown)
		traf_head_log_unknown(traf, ep, answer->unknown, request);
	if (answer->lost)
		traf_head_log_lost(traf, ep, answer, request);
	if (answer->rest == SEAM_REST_UNREADABLE || answer->rest_value_count > 1)
		traf_head_log_rest_unreadable(ep, answer, request);
	if (answer->rest == SEAM_REST_STATED)
		traf_rest_on_request(traf, ep, answer->rest_us, request);
	if (answer->leaving && answer->head.status != TRAF_HEAD_STATUS_MISDIRECTED)
		traf_head_on_leaving(traf, ep, request);
}

void traf_head_of_request(struct traf *traf, struct traf_ep *ep, const struct seam_answer *answer,
			  int64_t sent_us, const char *request)
{
	traf_head_read(traf, ep, answer, request);
	if (!answer->head.not_run)
		traf_rest_on_accepted(ep);
	traf_limit_on_answer(traf, ep, answer, sent_us, request);
}

void traf_head_of_call(struct traf *traf, struct traf_ep *ep, int status, const GPtrArray *headers)
{
	struct seam_answer answer;

	traf->router->seam->wire.read_answer(status, headers, NULL, &answer);
	traf_head_read(traf, ep, &answer, NULL);
	seam_answer_finish(&answer);
}

static void traf_head_on_posted(void *ctx)
{
	struct traf_head_msg *msg = ctx;
	struct traf_ep *ep = g_hash_table_lookup(msg->traf->eps, msg->endpoint);

	if (ep)
		traf_head_read(msg->traf, ep, &msg->answer, NULL);
	seam_answer_finish(&msg->answer);
	g_free(msg->endpoint);
	g_free(msg);
}

void traf_head_post(struct traf *traf, const char *endpoint, const struct seam_answer *answer)
{
	struct traf_head_msg *msg;

	if (answer->rest == SEAM_REST_NONE && !answer->leaving && !answer->unknown)
		return;
	msg = g_new0(struct traf_head_msg, 1);
	msg->traf = traf;
	msg->endpoint = g_strdup(endpoint);
	msg->answer.head = answer->head;
	msg->answer.rest = answer->rest;
	msg->answer.rest_us = answer->rest_us;
	msg->answer.rest_value_count = answer->rest_value_count;
	msg->answer.leaving = answer->leaving;
	msg->answer.unknown = g_strdup(answer->unknown);
	loop_post(&traf->loop, traf_head_on_posted, msg);
}
