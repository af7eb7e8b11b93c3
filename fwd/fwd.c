#include "fwd/fwd.h"

#include <string.h>

enum {
	FWD_SENDS_MAX = 5,	  /* of one request; rejections come back within a few ms each */
	FWD_KEEP_MAX = 256 << 10, /* answers up to this size are kept until they are whole */
	FWD_STATUS_BAD_GATEWAY = 502,
	FWD_STATUS_UNAVAILABLE = 503,
	FWD_STATUS_TIMEOUT = 504,
	FWD_LEAST_LEFT_US = 20000, /* with less time left another attempt can't answer */
	/*
	 * Before a stream that nobody takes is sent again; doubles. Memory that is full becomes
	 * free as other streams end, several a second at each engine; callers leave after 2 s.
	 */
	FWD_WAIT_US = 200000,
	FWD_WAIT_DOUBLINGS = 2,
	/*
	 * Between looks for an endpoint in a list that is not whole: it is filled within some two
	 * seconds, and a look among 600 endpoints costs 0.1 ms.
	 */
	FWD_LISTING_US = 50000
};

static const char *const fwd_cause_names[FWD_CAUSES] = {
	[FWD_OK] = "ok",
	[FWD_NO_ENDPOINT] = "no_endpoint",
	[FWD_REJECTED] = "rejected",
	[FWD_UNREACHED] = "unreached",
	[FWD_BROKEN] = "broken",
	[FWD_SILENT] = "silent",
	[FWD_DEADLINE] = "deadline",
	[FWD_CALLER_GONE] = "caller_gone",
	[FWD_BUDGET] = "budget",
	[FWD_FAILED] = "endpoint_failed",
	[FWD_CRASHES] = "crashes_endpoints",
	[FWD_LIMITED] = "limited",
	[FWD_RESTING] = "resting",
};

static void fwd_end(struct fwd *fwd, enum fwd_cause cause);
static void fwd_arm(struct fwd *fwd);
static void fwd_send(struct fwd *fwd, int64_t now_us);
static void fwd_attempt_failed(struct fwd *fwd, bool ran, int64_t now_us);
static void fwd_close(struct fwd *fwd);
static void fwd_close_as(struct fwd *fwd, enum fwd_cause cause);
static void fwd_on_nobody(struct fwd *fwd, int err, int64_t now_us);
static void fwd_wait_or_close(struct fwd *fwd, int64_t now_us);
static void fwd_on_event(void *ctx, const char *data, size_t len);

const char *fwd_cause_name(enum fwd_cause cause)
{
	return cause < FWD_CAUSES ? fwd_cause_names[cause] : "unknown";
}

void fwd_init(struct fwd *fwd, const struct fwd_rules *rules, const struct fwd_ops *ops, void *ctx)
{
	memset(fwd, 0, sizeof(*fwd));
	fwd->rules = *rules;
	fwd->ops = ops;
	fwd->ctx = ctx;
	fwd->body = g_string_new(NULL);
	sse_init(&fwd->sse);
}

void fwd_finish(struct fwd *fwd)
{
	sse_finish(&fwd->sse);
	g_string_free(fwd->body, TRUE);
}

static void fwd_end(struct fwd *fwd, enum fwd_cause cause)
{
	fwd->state = FWD_ENDED;
	fwd->ops->ended(fwd->ctx, cause);
}

static void fwd_arm(struct fwd *fwd)
{
	int64_t due = fwd->rules.deadline_us;
	int64_t silence = fwd->parts > 0 ? fwd->rules.gap_us : fwd->rules.first_us;

	/* It may have ended in a callback; its owner has other uses for the timer then. */
	if (fwd->state == FWD_ENDED)
		return;
	if (silence > 0 && (fwd->state == FWD_SENT || fwd->state == FWD_ANSWERING))
		due = MIN(due, fwd->heard_us + silence);
	if (fwd->state == FWD_WAITING)
		due = MIN(due, fwd->again_us);
	fwd->ops->set_timer(fwd->ctx, due);
}

void fwd_start(struct fwd *fwd, int64_t now_us)
{
	fwd_send(fwd, now_us);
}

static void fwd_send(struct fwd *fwd, int64_t now_us)
{
	int err;

	fwd->state = FWD_SENT;
	fwd->events = false;
	fwd->spilled = false;
	fwd->heard_us = now_us;
	memset(&fwd->head, 0, sizeof(fwd->head));
	g_string_truncate(fwd->body, 0);
	sse_drop(&fwd->sse);
	err = fwd->ops->send(fwd->ctx, fwd->sends, fwd->parts > 0 ? fwd->sse.last_id : NULL);
	if (err == FWD_ECRASHES) {
		fwd_close_as(fwd, FWD_CRASHES);
		return;
	}
	if (err < 0) {
		if (fwd->sends == 0)
			fwd_on_nobody(fwd, err, now_us);
		else
			fwd_wait_or_close(fwd, now_us);
		return;
	}
	fwd->sends++;
	fwd_arm(fwd);
}

/* No attempt is left: the caller is told what is true of the request. */
static void fwd_close(struct fwd *fwd)
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

static void fwd_close_as(struct fwd *fwd, enum fwd_cause cause)
{
	fwd->failure = cause;
	fwd_close(fwd);
}

/*
 * Whether the request may run once more. A stream that the caller has a part of goes on from there;
 * it needs the id of the last event for that.
 */
static bool fwd_may_run(const struct fwd *fwd, int runs, int64_t now_us)
{
	if (runs >= fwd->rules.runs_max || (runs > 0 && !fwd->rules.may_repeat))
		return false;
	if (fwd->begun && (fwd->parts == 0 || !fwd->sse.has_id))
		return false;
	return now_us + FWD_LEAST_LEFT_US < fwd->rules.deadline_us;
}

static bool fwd_may_send(const struct fwd *fwd, int runs, int64_t now_us)
{
	return fwd->sends < FWD_SENDS_MAX && fwd_may_run(fwd, runs, now_us);
}

/*
 * What goes wrong without waiting: engines' memory is full for a moment, all of them reject a
 * stream within some ms, and its caller sees it cut with most of its time left. Waiting keeps the
 * caller's connection, and each try costs one short call that engines reject without reading the
 * prompt.
 */
static void fwd_wait_or_close(struct fwd *fwd, int64_t now_us)
{
	int64_t wait_us = (int64_t)FWD_WAIT_US << MIN(fwd->waits, FWD_WAIT_DOUBLINGS);

	if (fwd->parts == 0 || !fwd_may_run(fwd, fwd->runs, now_us + wait_us)) {
		fwd_close(fwd);
		return;
	}
	fwd->state = FWD_WAITING;
	fwd->waits++;
	fwd->again_us = now_us + wait_us;
	fwd->ops->on_wait(fwd->ctx);
	fwd_arm(fwd);
}

/* Until when a request that was sent nowhere yet waits for an endpoint. */
static int64_t fwd_nobody_until(const struct fwd *fwd, int err)
{
	switch (err) {
	case FWD_ELIMIT:
		return fwd->rules.limit_us;
	case FWD_ELIMITED:
		return 0;
	case FWD_ERESTS:
		return fwd->rules.rest_us < fwd->rules.limit_us ? fwd->rules.limit_us : 0;
	default:
		return fwd->rules.listing_us;
	}
}

static enum fwd_cause fwd_cause_of_nobody(int err)
{
	if (err == FWD_ELIMIT || err == FWD_ELIMITED)
		return FWD_LIMITED;
	return err == FWD_ERESTS ? FWD_RESTING : FWD_NO_ENDPOINT;
}

/*
 * There is no endpoint for a request that was sent nowhere yet. While the list may lack some that
 * live, or limits may leave room or rests end in a moment, it is looked for again; this costs
 * neither an attempt nor a repeat.
 */
static void fwd_on_nobody(struct fwd *fwd, int err, int64_t now_us)
{
	int64_t until_us = fwd_nobody_until(fwd, err);

	fwd->failure = fwd_cause_of_nobody(err);
	if (now_us >= until_us) {
		fwd_wait_or_close(fwd, now_us);
		return;
	}
	fwd->state = FWD_WAITING;
	fwd->again_us = now_us + FWD_LISTING_US;
	if (err == FWD_ERESTS)
		fwd->again_us = MAX(fwd->again_us, fwd->rules.rest_us);
	fwd->again_us = MIN(fwd->again_us, until_us);
	fwd_arm(fwd);
}

static void fwd_send_again(struct fwd *fwd, int64_t now_us)
{
	int err = fwd->sends > 0 ? fwd->ops->take_repeat(fwd->ctx) : 0;

	if (err == FWD_EBUDGET)
		fwd->failure = FWD_BUDGET;
	if (err == FWD_ECRASHES)
		fwd_close_as(fwd, FWD_CRASHES);
	else if (err < 0)
		fwd_wait_or_close(fwd, now_us);
	else
		fwd_send(fwd, now_us);
}

static void fwd_attempt_failed(struct fwd *fwd, bool ran, int64_t now_us)
{
	if (ran)
		fwd->runs++;
	if (!fwd_may_send(fwd, fwd->runs, now_us)) {
		fwd_wait_or_close(fwd, now_us);
		return;
	}
	fwd_send_again(fwd, now_us);
}

/* Whether the answer is one that this request may be given. */
static bool fwd_is_proper(const struct fwd_head *head)
{
	return head->ours && !head->encoded && head->sealed;
}

bool fwd_on_head(struct fwd *fwd, const struct fwd_head *head, int64_t now_us)
{
	fwd->head = *head;
	fwd->heard_us = now_us;
	if (!head->ours) {
		fwd->failure = FWD_BROKEN;
		fwd_attempt_failed(fwd, true, now_us);
		return false;
	}
	if (fwd->rules.streaming && head->status / 100 == 2 && fwd_is_proper(head))
		fwd->events = true;
	fwd->state = FWD_ANSWERING;
	fwd_arm(fwd);
	return true;
}

static void fwd_on_event(void *ctx, const char *data, size_t len)
{
	struct fwd *fwd = ctx;

	if (!fwd->begun) {
		fwd->begun = true;
		fwd->ops->answer_begin(fwd->ctx);
	}
	fwd->parts++;
	fwd->waits = 0;
	fwd->ops->answer_data(fwd->ctx, data, len);
}

/* An answer too large to keep is handed on as it comes; it can't be replaced after that. */
static void fwd_spill(struct fwd *fwd)
{
	if (fwd->begun)
		return;
	fwd->begun = true;
	fwd->spilled = true;
	fwd->ops->answer_begin(fwd->ctx);
	fwd->ops->answer_data(fwd->ctx, fwd->body->str, fwd->body->len);
	g_string_truncate(fwd->body, 0);
}

void fwd_on_data(struct fwd *fwd, const char *data, size_t len, int64_t now_us)
{
	uint64_t before = fwd->parts;

	if (fwd->events) {
		if (sse_feed(&fwd->sse, data, len, fwd_on_event, fwd) < 0) {
			fwd->failure = FWD_BROKEN;
			fwd->ops->cancel(fwd->ctx);
			fwd_attempt_failed(fwd, true, now_us);
			return;
		}
		if (fwd->parts > before)
			fwd->heard_us = now_us;
		fwd_arm(fwd);
		return;
	}
	fwd->heard_us = now_us;
	if (fwd->spilled) {
		fwd->ops->answer_data(fwd->ctx, data, len);
		return;
	}
	if (!fwd_is_proper(&fwd->head))
		return; /* it will not be handed on */
	g_string_append_len(fwd->body, data, (gssize)len);
	if (fwd->body->len > FWD_KEEP_MAX)
		fwd_spill(fwd);
}

/* A failure that the endpoint itself reports, whole: handed on unless it may run elsewhere. */
static void fwd_on_failure_answer(struct fwd *fwd, int64_t now_us)
{
	bool again = fwd->head.status >= 500 && fwd->rules.may_repeat;

	fwd->failure = FWD_FAILED;
	fwd->runs++;
	if (again && fwd_may_send(fwd, fwd->runs, now_us) && fwd->ops->take_repeat(fwd->ctx) == 0) {
		fwd_send(fwd, now_us);
		return;
	}
	if (fwd->spilled) {
		fwd->ops->answer_end(fwd->ctx);
	} else if (fwd->begun) {
		fwd->ops->answer_abort(fwd->ctx);
	} else if (!fwd_is_proper(&fwd->head)) {
		fwd_close(fwd);
		return;
	} else {
		fwd->ops->answer_whole(fwd->ctx, fwd->body->str, fwd->body->len);
	}
	fwd_end(fwd, FWD_FAILED);
}

static void fwd_on_whole(struct fwd *fwd, int64_t now_us)
{
	if (!fwd_is_proper(&fwd->head)) {
		fwd->failure = FWD_BROKEN;
		fwd_attempt_failed(fwd, true, now_us);
		return;
	}
	if (fwd->begun != (fwd->events || fwd->spilled) || sse_pending(&fwd->sse) > 0) {
		fwd->failure = FWD_BROKEN;
		fwd_attempt_failed(fwd, true, now_us);
		return;
	}
	if (fwd->begun)
		fwd->ops->answer_end(fwd->ctx);
	else
		fwd->ops->answer_whole(fwd->ctx, fwd->body->str, fwd->body->len);
	fwd_end(fwd, FWD_OK);
}

void fwd_on_done(struct fwd *fwd, bool whole, bool sent, int64_t now_us)
{
	bool headed = fwd->state == FWD_ANSWERING;

	if (fwd->state == FWD_ENDED)
		return;
	if (!sent) {
		fwd->failure = FWD_UNREACHED;
		fwd_attempt_failed(fwd, false, now_us);
		return;
	}
	if (headed && fwd->head.not_run) {
		fwd->failure = FWD_REJECTED;
		fwd_attempt_failed(fwd, false, now_us);
		return;
	}
	if (!whole || !headed) {
		fwd->failure = FWD_BROKEN;
		fwd_attempt_failed(fwd, true, now_us);
		return;
	}
	if (fwd->head.status / 100 == 2)
		fwd_on_whole(fwd, now_us);
	else
		fwd_on_failure_answer(fwd, now_us);
}

void fwd_on_sign(struct fwd *fwd, int64_t now_us)
{
	if (fwd->state == FWD_ENDED)
		return;
	fwd->heard_us = now_us;
	fwd_arm(fwd);
}

bool fwd_may_give_up(const struct fwd *fwd, int64_t now_us)
{
	return fwd_may_send(fwd, fwd->runs + 1, now_us);
}

/*
 * An attempt that may still bring something is only given up for one that can be made: to cancel it
 * first and then find the budget spent would cut a stream that was merely slow.
 */
void fwd_give_up_attempt(struct fwd *fwd, int64_t now_us)
{
	if (fwd->state != FWD_SENT && fwd->state != FWD_ANSWERING)
		return;
	if (!fwd_may_give_up(fwd, now_us) || fwd->ops->take_repeat(fwd->ctx) < 0) {
		fwd_arm(fwd);
		return;
	}
	fwd->failure = FWD_SILENT;
	fwd->ops->cancel(fwd->ctx);
	fwd->runs++;
	fwd_send(fwd, now_us);
}

/* Nothing more is to be done; what is known of the request's run goes to the caller. */
static void fwd_stop(struct fwd *fwd, enum fwd_cause cause)
{
	fwd->ops->cancel(fwd->ctx);
	if (fwd->state == FWD_SENT || fwd->state == FWD_ANSWERING)
		fwd->runs++;
	fwd_close_as(fwd, cause);
}

void fwd_on_quarantine(struct fwd *fwd)
{
	if (fwd->state != FWD_ENDED)
		fwd_stop(fwd, FWD_CRASHES);
}

void fwd_on_caller_gone(struct fwd *fwd)
{
	if (fwd->state == FWD_ENDED)
		return;
	fwd->ops->cancel(fwd->ctx);
	fwd->ops->answer_abort(fwd->ctx);
	fwd_end(fwd, FWD_CALLER_GONE);
}

void fwd_on_time(struct fwd *fwd, int64_t now_us)
{
	int64_t silence = fwd->parts > 0 ? fwd->rules.gap_us : fwd->rules.first_us;

	if (fwd->state == FWD_ENDED)
		return;
	if (now_us >= fwd->rules.deadline_us) {
		fwd_stop(fwd, FWD_DEADLINE);
		return;
	}
	if (fwd->state == FWD_WAITING) {
		if (now_us >= fwd->again_us)
			fwd_send_again(fwd, now_us);
		else
			fwd_arm(fwd);
		return;
	}
	if (silence <= 0 || now_us < fwd->heard_us + silence) {
		fwd_arm(fwd);
		return;
	}
	fwd->heard_us = now_us;
	if (fwd->ops->on_silent(fwd->ctx))
		fwd_arm(fwd);
	else
		fwd_give_up_attempt(fwd, now_us);
}
