#include "req/code.h"

/*
 * Properties of every code. REQ_RAN_NO is used only where nothing was ever dispatched, or where
 * every endpoint to which the request was dispatched has answered that it did not run it.
 */
static const struct req_code_info req_codes[REQ_CODE_COUNT] = {
	[REQ_OK] = {"ok", 200, REQ_RAN_YES, "answered"},
	[REQ_EBODY] = {"bad_body", 400, REQ_RAN_NO, "the body is not what this path expects"},
	[REQ_EARGUMENT] = {"bad_argument", 400, REQ_RAN_NO, "a value is not allowed"},
	[REQ_EAUTH] = {"unauthorized", 401, REQ_RAN_NO, "the bearer token is missing or wrong"},
	[REQ_EFORBIDDEN] = {"forbidden", 403, REQ_RAN_NO, "the account may not use this"},
	[REQ_ENOTFOUND] = {"not_found", 404, REQ_RAN_NO, "there is no such model, service or path"},
	[REQ_EMETHOD] = {"bad_method", 405, REQ_RAN_NO, "the path does not take this method"},
	[REQ_ETOOLARGE] = {"too_large", 413, REQ_RAN_NO, "the body is over the limit"},
	[REQ_EKEYREUSED] = {"key_reused", 422, REQ_RAN_NO,
			    "the idempotency key was used with another body"},
	[REQ_EQUEUE] = {"queue_full", 429, REQ_RAN_NO, "too many requests of the account wait"},
	[REQ_EWAIT] = {"too_long_to_wait", 429, REQ_RAN_NO,
		       "the request would start after its deadline"},
	[REQ_ENOPIPELINE] = {"no_pipeline", 503, REQ_RAN_NO,
			     "no pipeline covers every layer of the model now"},
	[REQ_ENOTREADY] = {"not_ready", 503, REQ_RAN_NO, "this host has no configuration yet"},
	[REQ_ECLAIM] = {"claim_failed", 503, REQ_RAN_NO,
			"the claim of a non-idempotent request could not be written"},
	[REQ_EBUDGET] = {"retry_budget", 503, REQ_RAN_NO,
			 "endpoints did not run the request and the retry budget is used up"},
	[REQ_ELATE] = {"deadline_before_start", 504, REQ_RAN_NO,
		       "the deadline passed before the request was dispatched"},
	[REQ_EDEADLINE] = {"deadline", 504, REQ_RAN_UNKNOWN,
			   "the deadline passed after the request was dispatched"},
	[REQ_EBROKEN] = {"broken", 502, REQ_RAN_UNKNOWN,
			 "attempts broke and no further one is allowed"},
	[REQ_EUNKNOWN] = {"unknown", 502, REQ_RAN_UNKNOWN,
			  "the request may have run; its answer cannot be had"},
	[REQ_ECALLERGONE] = {"caller_gone", 499, REQ_RAN_UNKNOWN, "the caller has gone"},
};

static const char *const req_ran_names[] = {
	[REQ_RAN_NO] = "no",
	[REQ_RAN_YES] = "yes",
	[REQ_RAN_UNKNOWN] = "unknown",
};

const struct req_code_info *req_code_info(enum req_code code)
{
	return &req_codes[code];
}

const char *req_ran_name(enum req_ran ran)
{
	return req_ran_names[ran];
}
