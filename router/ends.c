#include "router/ends.h"
#include "base/jl.h"
#include "base/met.h"

#include <stdio.h>

static const char *const ends_names[ENDS_COUNT] = {
	[ENDS_WHOLE] = "whole",	       [ENDS_BROKEN] = "broken_off",
	[ENDS_CALLER] = "caller_left", [ENDS_UNANSWERED] = "unanswered",
	[ENDS_UNREAD] = "not_read",
};

enum ends_kind ends_kind_of(const struct hd_outcome *outcome)
{
	if (!outcome->received)
		return ENDS_UNREAD;
	switch (outcome->end) {
	case HD_END_WHOLE:
		return outcome->begun && outcome->unsent == 0 ? ENDS_WHOLE : ENDS_UNANSWERED;
	case HD_END_ABORTED:
	case HD_END_TIMEOUT:
		return outcome->begun ? ENDS_BROKEN : ENDS_UNANSWERED;
	case HD_END_CLIENT:
		return ENDS_CALLER;
	default:
		return ENDS_UNANSWERED;
	}
}

static void ends_log(enum ends_kind kind, const char *label, const struct hd_outcome *outcome)
{
	jl_begin(kind == ENDS_UNREAD ? JL_INFO : JL_UNLIMITED, "connection_ended");
	jl_str("id", label);
	jl_str("caller_got", ends_names[kind]);
	jl_str("end", hd_end_name(outcome->end));
	jl_int("status", outcome->begun ? outcome->status : 0);
	jl_int("sent", (int64_t)outcome->sent);
	jl_int("unsent", (int64_t)outcome->unsent);
	jl_end();
}

bool ends_is_short(const struct hd_outcome *outcome)
{
	return outcome->end == HD_END_WHOLE && outcome->expected != HD_LENGTH_UNKNOWN &&
	       outcome->expected != outcome->sent + outcome->unsent;
}

static void ends_note_short(const char *label, const struct hd_outcome *outcome)
{
	bool is_short = ends_is_short(outcome);

	met_add(met_counter("bg_answers_short_total", ""), is_short ? 1 : 0);
	if (!is_short)
		return;
	jl_begin(JL_UNLIMITED, "answer_short");
	jl_str("id", label);
	jl_int("sent", (int64_t)outcome->sent);
	jl_int("expected", (int64_t)outcome->expected);
	jl_end();
}

void ends_on_request(void *ctx, const char *label, const struct hd_outcome *outcome)
{
	enum ends_kind kind;
	char labels[64];

	(void)ctx;
	ends_note_short(label, outcome);
	kind = ends_kind_of(outcome);
	if (kind != ENDS_WHOLE)
		ends_log(kind, label, outcome);
	snprintf(labels, sizeof(labels), "caller_got=\"%s\",end=\"%s\"", ends_names[kind],
		 hd_end_name(outcome->end));
	met_add(met_counter("bg_request_ends_total", labels), 1);
	met_add(met_counter("bg_requests_unanswered_total", ""), kind == ENDS_UNANSWERED ? 1 : 0);
}
