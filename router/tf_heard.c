#include "router/tf_heard.h"
#include "base/jl.h"
#include "base/met.h"
#include "router/tf_limit.h"

#include <string.h>

enum {
	/* Headers that are remembered; an endpoint may make up a new name in each answer. */
	TF_HEARD_UNKNOWN_MAX = 16
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

void tf_heard(struct tf *tf, struct tf_ep *ep, const struct seam_answer *answer, int64_t sent_us,
	      const char *request)
{
	if (answer->unknown)
		tf_heard_unknown(tf, ep, answer->unknown, request);
	if (answer->rest == SEAM_REST_UNREADABLE ||
	    (answer->rest == SEAM_REST_FOR && answer->rest_values > 1))
		tf_heard_rest_unreadable(ep, answer, request);
	tf_limit_on_answer(tf, ep, answer, sent_us, request);
}
