#include "fwd/fwd.h"

#include <string.h>

enum {
	/* Maximum number of attempts for one request; a rejection takes a few ms each. */
	FWD_ATTEMPTS_MAX = 5,
	/* Largest size of an answer that is buffered until it is complete, in bytes. */
	FWD_BUFFER_MAX_BYTES = 256 << 10,
	/*
	 * Bytes and time, in microseconds, after which an answer that may not be passed on is
	 * broken off: its body, which may have no end, is of no use. A connection that is closed
	 * before its end is a reset for the endpoint, so short ones are read.
	 */
	FWD_DROP_MAX_BYTES = 64 << 10,
	FWD_DROP_MAX_US = 100000,
	FWD_STATUS_BAD_GATEWAY = 502,
	FWD_STATUS_UNAVAILABLE = 503,
	FWD_STATUS_TIMEOUT = 504,
	/* Time before the deadline, in microseconds, below which no further attempt is sent. */
	FWD_MIN_TIME_LEFT_US = 20000,
	/*
	 * Delay in microseconds before a stream that no endpoint accepts is sent again; it doubles
	 * with each further wait. Full engine memory is released as other streams end, several a
	 * second at each engine; callers disconnect after 2 s.
	 */
	FWD_RESEND_DELAY_US = 200000,
	/* Maximum number of times that FWD_RESEND_DELAY_US is doubled. */
	FWD_RESEND_DOUBLINGS_MAX = 2,
	/*
	 * Interval in microseconds at which a waiting request looks for an endpoint. An incomplete
	 * list is filled within about two seconds, and a look among 600 endpoints takes 0.1 ms.
	 */
	FWD_LOOKUP_INTERVAL_US = 50000
};

static const char *const fwd_cause_names[FWD_CAUSE_COUNT] = {
	[FWD_OK] = "ok",
	[FWD_NO_ENDPOINT] = "no_endpoint",
	[FWD_REJECTED] = "rejected",
	[FWD_UNREACHED] = "unreached",
	[FWD_BROKEN] = "broken",
	[FWD_SILENT] = "silent",
	[FWD_DEADLINE] = "deadline",
	[FWD_CALLER_DISCONNECTED] = "caller_gone",
	[FWD_CALLER_STALLED] = "caller_stalled",
	[FWD_BUDGET] = "budget",
	[FWD_FAILED] = "endpoint_failed",
	[FWD_CRASHES] = "crashes_endpoints",
	[FWD_STOPPED] = "stopped",
	[FWD_LIMITED] = "limited",
	[FWD_RESTING] = "resting",
};

static void fwd_end(struct fwd *fwd, enum fwd_cause cause);
static void fwd_set_timer(struct fwd *fwd);
static void fwd_send(struct fwd *fwd, int64_t now_us);
static void fwd_attempt_failed(struct fwd *fwd, bool ran, int64_t now_us);
static void fwd_end_unanswered(struct fwd *fwd);
static void fwd_end_with_cause(struct fwd *fwd, enum fwd_cause cause);
static void fwd_on_no_endpoint(struct fwd *fwd, int err, int64_t now_us);
static void fwd_wait_or_end(struct fwd *fwd, int64_t now_us);
static void fwd_on_event(void *ctx, const char *data, size_t len, bool ends_event);
static void fwd_conclude(struct fwd *fwd, int64_t now_us);

const char *fwd_cause_name(enum fwd_cause cause)
{
	return cause < FWD_CAUSE_COUNT ? fwd_cause_names[cause] : "unknown";
}

void fwd_init(struct fwd *fwd, const struct fwd_rules *rules, const struct fwd_ops *ops, void *ctx)
{
	memset(fwd, 0, sizeof(*fwd));
	fwd->rules = *rules;
	fwd->ops = ops;
	fwd->ctx = ctx;
	fwd->body = g_string_new(NULL);
	fwd->aside_body = g_string_new(NULL);
	sse_init(&fwd->sse);
}

void fwd_finish(struct fwd *fwd)
{
	sse_finish(&fwd->sse);
	g_string_free(fwd->body, TRUE);
	g_string_free(fwd->aside_body, TRUE);
}

static void fwd_cancel_aside(struct fwd *fwd)
{
	if (!fwd->has_aside)
		return;
	fwd->has_aside = false;
	fwd->ops->cancel_aside(fwd->ctx);
}

static void fwd_end(struct fwd *fwd, enum fwd_cause cause)
{
	fwd_cancel_aside(fwd);
	fwd->state = FWD_ENDED;
	fwd->ops->ended(fwd->ctx, cause);
}

/* Returns the silence allowed at present, in microseconds; 0 if unlimited. */
static int64_t fwd_allowed_silence_us(const struct fwd *fwd)
{
	if (fwd->held)
		return 0;
	return fwd->parts > 0 ? fwd->rules.gap_us : fwd->rules.first_us;
}

/* Returns whether the body of an answer that may not be passed on is being received. */
static bool fwd_is_dropping(const struct fwd *fwd)
{
	return fwd->state == FWD_ANSWERING && fwd->drop_us > 0;
}

static void fwd_set_timer(struct fwd *fwd)
{
	int64_t due = fwd->rules.deadline_us;
	int64_t silence = fwd_allowed_silence_us(fwd);

	/*
	 * The request may have ended in a callback. Its owner then uses the timer for another
	 * purpose, so it must not be set here.
	 */
	if (fwd->state == FWD_ENDED)
		return;
	if (silence > 0 && (fwd->state == FWD_SENT || fwd->state == FWD_ANSWERING))
		due = MIN(due, fwd->last_received_us + silence);
	if (fwd_is_dropping(fwd))
		due = MIN(due, fwd->drop_us);
	if (fwd->state == FWD_WAITING)
		due = MIN(due, fwd->resend_us);
	fwd->ops->set_timer(fwd->ctx, due);
}

void fwd_start(struct fwd *fwd, int64_t now_us)
{
	fwd_send(fwd, now_us);
}

const char *fwd_head_fault(const struct fwd_head *head)
{
	if (!head->id_matches)
		return "not the id of the request";
	if (head->unusable)
		return "head that can't be passed on";
	if (!head->sealed)
		return "no seal";
	return head->encoded ? "encoded body" : NULL;
}

/* Returns whether the answer may be passed to the caller. */
static bool fwd_is_deliverable(const struct fwd_head *head)
{
	return !fwd_head_fault(head);
}

static bool fwd_is_success(const struct fwd_head *head)
{
	return head->status / 100 == 2;
}

bool fwd_is_useless_head(const struct fwd_head *head)
{
	return !head->id_matches || (fwd_is_success(head) && !fwd_is_deliverable(head));
}

/* Returns whether the current answer is a successful one that may be passed to the caller. */
static bool fwd_has_success(const struct fwd *fwd)
{
	return fwd_is_success(&fwd->head) && fwd_is_deliverable(&fwd->head);
}

static bool fwd_has_event_stream(const struct fwd *fwd)
{
	return fwd->rules.streaming && fwd_has_success(fwd);
}

/* Prepares for the answer of another attempt. */
static void fwd_reset_answer(struct fwd *fwd)
{
	fwd->state = FWD_SENT;
	fwd->is_event_stream = false;
	fwd->passthrough = false;
	fwd->dropped = 0;
	fwd->drop_us = 0;
	memset(&fwd->head, 0, sizeof(fwd->head));
	g_string_truncate(fwd->body, 0);
	sse_discard_pending(&fwd->sse);
}

static void fwd_swap_bodies(struct fwd *fwd)
{
	GString *body = fwd->body;

	fwd->body = fwd->aside_body;
	fwd->aside_body = body;
}

/* The attempt that was set aside, which was counted as a run, is the current one again. */
static void fwd_take_back(struct fwd *fwd)
{
	fwd->has_aside = false;
	fwd->runs--;
	fwd_reset_answer(fwd);
	fwd_swap_bodies(fwd);
	fwd->state = fwd->aside_state;
	fwd->head = fwd->aside_head;
	fwd->is_event_stream = fwd_has_event_stream(fwd);
	if (fwd->state == FWD_ANSWERING && !fwd_is_deliverable(&fwd->head))
		fwd->drop_us = fwd->last_received_us + FWD_DROP_MAX_US;
	fwd->ops->take_back(fwd->ctx);
}

static void fwd_wait_for_aside(struct fwd *fwd, int64_t now_us)
{
	fwd_take_back(fwd);
	fwd_restart_silence(fwd, now_us);
}

static void fwd_send(struct fwd *fwd, int64_t now_us)
{
	int err;

	fwd->last_received_us = now_us;
	fwd_reset_answer(fwd);
	err = fwd->ops->send(fwd->ctx, fwd->sends, fwd->parts > 0 ? fwd->sse.last_id : NULL);
	if (err == FWD_EQUARANTINED) {
		fwd_end_with_cause(fwd, FWD_CRASHES);
		return;
	}
	if (err < 0) {
		if (fwd->has_aside)
			fwd_wait_for_aside(fwd, now_us);
		else if (fwd->sends == 0)
			fwd_on_no_endpoint(fwd, err, now_us);
		else
			fwd_wait_or_end(fwd, now_us);
		return;
	}
	fwd->sends++;
	fwd_set_timer(fwd);
}

/*
 * Ends the request without a regular answer. The error answer states whether the request may have
 * run; an answer that has begun is aborted.
 */
static void fwd_end_unanswered(struct fwd *fwd)
{
	bool not_run = fwd->runs == 0;
	int status = fwd->failure == FWD_SILENT || fwd->failure == FWD_DEADLINE
			     ? FWD_STATUS_TIMEOUT
			     : FWD_STATUS_BAD_GATEWAY;

	if (fwd->begun)
		fwd->ops->answer_abort(fwd->ctx);
	else
		fwd->ops->refuse(fwd->ctx, not_run ? FWD_STATUS_UNAVAILABLE : status, not_run);
	fwd_end(fwd, fwd->failure);
}

static void fwd_end_with_cause(struct fwd *fwd, enum fwd_cause cause)
{
	fwd->failure = cause;
	fwd_end_unanswered(fwd);
}

/*
 * Returns whether the request may run once more after the given number of runs. A stream of which
 * the caller has received a part is resumed, which requires the id of the last event.
 */
static bool fwd_may_run_again(const struct fwd *fwd, int runs, int64_t now_us)
{
	if (runs >= fwd->rules.runs_max || (runs > 0 && !fwd->rules.may_repeat))
		return false;
	if (fwd->begun && (fwd->parts == 0 || !sse_can_resume(&fwd->sse)))
		return false;
	return now_us + FWD_MIN_TIME_LEFT_US < fwd->rules.deadline_us;
}

static bool fwd_may_send_again(const struct fwd *fwd, int runs, int64_t now_us)
{
	return fwd->sends < FWD_ATTEMPTS_MAX && fwd_may_run_again(fwd, runs, now_us);
}

/*
 * Returns the delay before the next attempt of a stream that has begun. If the doubled delay ended
 * after the deadline, the stream would be aborted with up to that much of its time left, so the
 * shortest one is used then.
 */
static int64_t fwd_resend_delay_us(const struct fwd *fwd, int64_t now_us)
{
	int64_t delay_us = (int64_t)FWD_RESEND_DELAY_US
			   << MIN(fwd->waits, FWD_RESEND_DOUBLINGS_MAX);

	if (now_us + delay_us + FWD_MIN_TIME_LEFT_US < fwd->rules.deadline_us)
		return delay_us;
	return FWD_RESEND_DELAY_US;
}

/*
 * Schedules the next attempt of a stream that has begun, or ends the request. Without the wait, a
 * stream would be aborted with most of its time left if all engines rejected it within a few ms
 * because their memory was full for a moment. Waiting keeps the caller's connection, and each
 * attempt costs one short call that engines reject without reading the prompt.
 */
static void fwd_wait_or_end(struct fwd *fwd, int64_t now_us)
{
	int64_t wait_us = fwd_resend_delay_us(fwd, now_us);

	if (fwd->parts == 0 || !fwd_may_run_again(fwd, fwd->runs, now_us + wait_us)) {
		fwd_end_unanswered(fwd);
		return;
	}
	fwd->state = FWD_WAITING;
	fwd->waits++;
	fwd->resend_us = now_us + wait_us;
	fwd->ops->on_wait(fwd->ctx);
	fwd_set_timer(fwd);
}

/* Returns the time until which a request that was not sent yet waits for an endpoint. */
static int64_t fwd_endpoint_wait_until(const struct fwd *fwd, int err)
{
	switch (err) {
	case FWD_ENOPERMIT:
		return fwd->rules.limit_wait_until_us;
	case FWD_EPERMITQUEUE:
		return 0;
	case FWD_ERESTING:
		return fwd->rules.rest_end_us < fwd->rules.limit_wait_until_us
			       ? fwd->rules.limit_wait_until_us
			       : 0;
	default:
		return fwd->rules.list_wait_until_us;
	}
}

static enum fwd_cause fwd_cause_of_error(int err)
{
	if (err == FWD_ENOPERMIT || err == FWD_EPERMITQUEUE)
		return FWD_LIMITED;
	return err == FWD_ERESTING ? FWD_RESTING : FWD_NO_ENDPOINT;
}

/*
 * No endpoint exists for a request that was not sent yet. While the list of endpoints may be
 * incomplete, or a limit or a rest may end shortly, the request waits and looks again. This counts
 * neither as an attempt nor against the retry budget.
 */
static void fwd_on_no_endpoint(struct fwd *fwd, int err, int64_t now_us)
{
	int64_t until_us = fwd_endpoint_wait_until(fwd, err);

	fwd->failure = fwd_cause_of_error(err);
	if (now_us >= until_us) {
		fwd_wait_or_end(fwd, now_us);
		return;
	}
	fwd->state = FWD_WAITING;
	fwd->resend_us = now_us + FWD_LOOKUP_INTERVAL_US;
	if (err == FWD_ERESTING)
		fwd->resend_us = MAX(fwd->resend_us, fwd->rules.rest_end_us);
	fwd->resend_us = MIN(fwd->resend_us, until_us);
	fwd_set_timer(fwd);
}

static void fwd_send_again(struct fwd *fwd, int64_t now_us)
{
	int err = fwd->sends > 0 ? fwd->ops->charge_retry(fwd->ctx) : 0;

	if (err == FWD_EBUDGET)
		fwd->failure = FWD_BUDGET;
	if (err == FWD_EQUARANTINED)
		fwd_end_with_cause(fwd, FWD_CRASHES);
	else if (err < 0)
		fwd_wait_or_end(fwd, now_us);
	else
		fwd_send(fwd, now_us);
}

static void fwd_attempt_failed(struct fwd *fwd, bool ran, int64_t now_us)
{
	if (ran)
		fwd->runs++;
	if (fwd->has_aside) {
		fwd_wait_for_aside(fwd, now_us);
		return;
	}
	if (!fwd_may_send_again(fwd, fwd->runs, now_us)) {
		fwd_wait_or_end(fwd, now_us);
		return;
	}
	fwd_send_again(fwd, now_us);
}

bool fwd_on_head(struct fwd *fwd, const struct fwd_head *head, int64_t now_us)
{
	fwd->head = *head;
	fwd->last_received_us = now_us;
	if (fwd_is_useless_head(head)) {
		fwd->ops->drop(fwd->ctx);
		fwd->failure = FWD_BROKEN;
		fwd_attempt_failed(fwd, true, now_us);
		return false;
	}
	if (fwd_has_success(fwd))
		fwd_cancel_aside(fwd);
	if (!fwd_is_deliverable(head))
		fwd->drop_us = now_us + FWD_DROP_MAX_US;
	fwd->is_event_stream = fwd_has_event_stream(fwd);
	fwd->state = FWD_ANSWERING;
	fwd_set_timer(fwd);
	return true;
}

/* Passes on a part of an answer that has begun. */
static void fwd_pass(struct fwd *fwd, const char *data, size_t len)
{
	fwd->passed += len;
	fwd->ops->answer_data(fwd->ctx, data, len);
}

static void fwd_on_event(void *ctx, const char *data, size_t len, bool ends_event)
{
	struct fwd *fwd = ctx;

	if (!fwd->begun) {
		fwd->begun = true;
		fwd->ops->answer_begin(fwd->ctx);
	}
	if (ends_event) {
		fwd->parts++;
		fwd->waits = 0;
	}
	fwd_pass(fwd, data, len);
}

/*
 * Starts to pass on an answer that is too large for the buffer as it arrives. After that it can't
 * be replaced by the answer of another attempt.
 */
static void fwd_start_passthrough(struct fwd *fwd)
{
	if (fwd->begun)
		return;
	fwd->begun = true;
	fwd->passthrough = true;
	fwd->ops->answer_begin(fwd->ctx);
	fwd_pass(fwd, fwd->body->str, fwd->body->len);
	g_string_free(fwd->body, TRUE);
	fwd->body = g_string_new(NULL);
}

bool fwd_has_event_begin(const struct fwd *fwd)
{
	return sse_pending_bytes(&fwd->sse) > 0;
}

void fwd_pass_on(struct fwd *fwd)
{
	if (fwd->body->len > 0 && !fwd->is_event_stream)
		fwd_start_passthrough(fwd);
}

static size_t fwd_buffer_max(const struct fwd *fwd)
{
	return fwd->rules.buffer_max > 0 ? fwd->rules.buffer_max : FWD_BUFFER_MAX_BYTES;
}

size_t fwd_buffered(const struct fwd *fwd)
{
	return fwd->body->len + fwd->aside_body->len + sse_pending_bytes(&fwd->sse);
}

static void fwd_on_stream_data(struct fwd *fwd, const char *data, size_t len, int64_t now_us)
{
	size_t event_max = fwd->rules.event_max > 0 ? fwd->rules.event_max : SSE_EVENT_MAX;
	uint64_t passed_before = fwd->passed;

	sse_feed(&fwd->sse, data, len, event_max, fwd_on_event, fwd);
	if (fwd->passed > passed_before)
		fwd->last_received_us = now_us;
	fwd_set_timer(fwd);
}

/* The body of an answer that may not be passed on has no end, or a late one: its head says enough.
 */
static void fwd_stop_dropping(struct fwd *fwd, int64_t now_us)
{
	fwd->ops->drop(fwd->ctx);
	fwd_conclude(fwd, now_us);
}

/* Drops a part of an answer that may not be passed on. */
static void fwd_drop_data(struct fwd *fwd, size_t len, int64_t now_us)
{
	fwd->dropped += len;
	if (fwd_is_dropping(fwd) && fwd->dropped > FWD_DROP_MAX_BYTES)
		fwd_stop_dropping(fwd, now_us);
}

void fwd_on_data(struct fwd *fwd, const char *data, size_t len, int64_t now_us)
{
	if (fwd->is_event_stream) {
		fwd_on_stream_data(fwd, data, len, now_us);
		return;
	}
	fwd->last_received_us = now_us;
	if (fwd->passthrough) {
		fwd_pass(fwd, data, len);
		return;
	}
	if (!fwd_is_deliverable(&fwd->head)) {
		fwd_drop_data(fwd, len, now_us);
		return;
	}
	g_string_append_len(fwd->body, data, (gssize)len);
	if (fwd->body->len > fwd_buffer_max(fwd))
		fwd_start_passthrough(fwd);
}

/*
 * The endpoint sent a complete answer with an error status. It is passed to the caller unless the
 * request is sent to another endpoint. The caller of a stream that has begun can't get it, so such
 * a stream is resumed elsewhere, now or later, as after an answer that broke off.
 */
static void fwd_on_failure_answer(struct fwd *fwd, int64_t now_us)
{
	bool may_rerun = fwd->head.status >= 500 && fwd->rules.may_repeat;

	fwd->failure = FWD_FAILED;
	if ((fwd->begun && !fwd->passthrough) || (may_rerun && fwd->has_aside)) {
		fwd_attempt_failed(fwd, true, now_us);
		return;
	}
	fwd->runs++;
	if (may_rerun && fwd_may_send_again(fwd, fwd->runs, now_us) &&
	    fwd->ops->charge_retry(fwd->ctx) == 0) {
		fwd_send(fwd, now_us);
		return;
	}
	if (fwd->passthrough) {
		fwd->ops->answer_end(fwd->ctx);
	} else if (!fwd_is_deliverable(&fwd->head)) {
		fwd_end_unanswered(fwd);
		return;
	} else {
		fwd->ops->answer_complete(fwd->ctx, fwd->body->str, fwd->body->len);
	}
	fwd_end(fwd, FWD_FAILED);
}

/* Returns whether a complete answer with status 2xx that may be passed on is what it should be. */
static bool fwd_is_answer_whole(const struct fwd *fwd)
{
	if (!fwd->is_event_stream)
		return fwd->begun == fwd->passthrough;
	return (fwd->begun || fwd->rules.resumes) && !sse_is_within_event(&fwd->sse);
}

/* The endpoint sent a complete answer with status 2xx. */
static void fwd_on_success_answer(struct fwd *fwd, int64_t now_us)
{
	if (!fwd_is_deliverable(&fwd->head) || !fwd_is_answer_whole(fwd)) {
		fwd->failure = FWD_BROKEN;
		fwd_attempt_failed(fwd, true, now_us);
		return;
	}
	if (fwd->begun)
		fwd->ops->answer_end(fwd->ctx);
	else
		fwd->ops->answer_complete(fwd->ctx, fwd->body->str, fwd->body->len);
	fwd_end(fwd, FWD_OK);
}

/* Decides on an attempt of which the head has arrived, and as much of the rest as counts. */
static void fwd_conclude(struct fwd *fwd, int64_t now_us)
{
	if (fwd->head.not_run) {
		fwd->failure = FWD_REJECTED;
		fwd_attempt_failed(fwd, false, now_us);
	} else if (fwd_is_success(&fwd->head)) {
		fwd_on_success_answer(fwd, now_us);
	} else {
		fwd_on_failure_answer(fwd, now_us);
	}
}

void fwd_on_done(struct fwd *fwd, bool whole, bool sent, int64_t now_us)
{
	bool has_head = fwd->state == FWD_ANSWERING;

	if (fwd->state == FWD_ENDED)
		return;
	if (!sent) {
		fwd->failure = FWD_UNREACHED;
		fwd_attempt_failed(fwd, false, now_us);
		return;
	}
	if (has_head && (whole || fwd->head.not_run)) {
		fwd_conclude(fwd, now_us);
		return;
	}
	fwd->failure = FWD_BROKEN;
	fwd_attempt_failed(fwd, true, now_us);
}

void fwd_restart_silence(struct fwd *fwd, int64_t now_us)
{
	if (fwd->state == FWD_ENDED)
		return;
	fwd->last_received_us = now_us;
	fwd_set_timer(fwd);
}

void fwd_hold(struct fwd *fwd, bool on, int64_t now_us)
{
	fwd->held = on;
	fwd_restart_silence(fwd, now_us);
}

bool fwd_can_abandon_attempt(const struct fwd *fwd, int64_t now_us)
{
	return fwd_may_send_again(fwd, fwd->runs + 1, now_us);
}

/*
 * Keeps the current attempt beside the next one, unless the caller or the parser of events has a
 * part of its answer; else cancels it. At most two attempts are under way.
 */
static void fwd_set_aside_or_cancel(struct fwd *fwd)
{
	bool may_keep = !fwd->begun && sse_pending_bytes(&fwd->sse) == 0;

	fwd_cancel_aside(fwd);
	fwd->has_aside = may_keep && fwd->ops->set_aside(fwd->ctx);
	if (!fwd->has_aside) {
		fwd->ops->cancel(fwd->ctx);
		return;
	}
	fwd->aside_state = fwd->state;
	fwd->aside_head = fwd->head;
	fwd_swap_bodies(fwd);
}

/*
 * The retry budget is charged before the attempt is cancelled. In the opposite order, a stream that
 * is only slow would be aborted when the budget is exhausted.
 */
void fwd_abandon_attempt(struct fwd *fwd, int64_t now_us)
{
	if (fwd->held || (fwd->state != FWD_SENT && fwd->state != FWD_ANSWERING))
		return;
	if (!fwd_can_abandon_attempt(fwd, now_us) || fwd->ops->charge_retry(fwd->ctx) < 0) {
		fwd_set_timer(fwd);
		return;
	}
	fwd->failure = FWD_SILENT;
	fwd_set_aside_or_cancel(fwd);
	fwd->abandoned++;
	fwd->runs++;
	fwd_send(fwd, now_us);
}

void fwd_on_aside_progress(struct fwd *fwd)
{
	if (!fwd->has_aside)
		return;
	fwd->ops->cancel(fwd->ctx);
	fwd->runs++;
	fwd_take_back(fwd);
}

void fwd_on_aside_done(struct fwd *fwd, bool sent)
{
	if (!fwd->has_aside)
		return;
	fwd->has_aside = false;
	if (!sent)
		fwd->runs--;
}

/* Cancels the current attempt, which may have run, and ends the request. */
static void fwd_cancel_and_end(struct fwd *fwd, enum fwd_cause cause)
{
	fwd->ops->cancel(fwd->ctx);
	if (fwd->state == FWD_SENT || fwd->state == FWD_ANSWERING)
		fwd->runs++;
	fwd_end_with_cause(fwd, cause);
}

void fwd_on_quarantine(struct fwd *fwd)
{
	if (fwd->state != FWD_ENDED)
		fwd_cancel_and_end(fwd, FWD_CRASHES);
}

void fwd_on_stop(struct fwd *fwd)
{
	if (fwd->state != FWD_ENDED)
		fwd_cancel_and_end(fwd, FWD_STOPPED);
}

/* The connection to the caller has ended before the answer. */
static void fwd_end_without_caller(struct fwd *fwd, enum fwd_cause cause)
{
	if (fwd->state != FWD_ENDED)
		fwd_cancel_and_end(fwd, cause);
}

void fwd_on_caller_disconnected(struct fwd *fwd)
{
	fwd_end_without_caller(fwd, FWD_CALLER_DISCONNECTED);
}

void fwd_on_caller_stalled(struct fwd *fwd)
{
	fwd_end_without_caller(fwd, FWD_CALLER_STALLED);
}

void fwd_on_timer(struct fwd *fwd, int64_t now_us)
{
	int64_t silence = fwd_allowed_silence_us(fwd);

	if (fwd->state == FWD_ENDED)
		return;
	if (now_us >= fwd->rules.deadline_us) {
		fwd_cancel_and_end(fwd, FWD_DEADLINE);
		return;
	}
	if (fwd->state == FWD_WAITING) {
		if (now_us >= fwd->resend_us)
			fwd_send_again(fwd, now_us);
		else
			fwd_set_timer(fwd);
		return;
	}
	if (fwd_is_dropping(fwd) && now_us >= fwd->drop_us) {
		fwd_stop_dropping(fwd, now_us);
		return;
	}
	if (silence <= 0 || now_us < fwd->last_received_us + silence) {
		fwd_set_timer(fwd);
		return;
	}
	fwd->last_received_us = now_us;
	if (fwd->ops->on_silent(fwd->ctx))
		fwd_set_timer(fwd);
	else
		fwd_abandon_attempt(fwd, now_us);
}
