#ifndef FWD_FWD_H
#define FWD_FWD_H

#include "sse/sse.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * State machine that forwards one request to endpoints and returns the answer to the caller. It
 * decides when the request is sent again and when and how it ends. It does no I/O: the owner passes
 * in events and the current time, and the state machine acts through the callbacks in struct
 * fwd_ops. Every request ends with exactly one of answer_complete(), answer_end(), answer_abort()
 * and refuse().
 *
 *   waiting --send--> sent --head--> answering --end--> ended
 *      ^                |                |
 *      +-- not run, or may run again ----+
 *
 * Between two attempts, a request waits only if it is a stream, its caller has received a part of
 * the answer, and no endpoint accepts it at present. Before the first attempt, a request waits only
 * while the list of endpoints may be incomplete, or while a limit or a rest may end in time. Every
 * other request without an endpoint is refused immediately.
 */

/* Error codes of the callbacks send() and charge_retry(). */
enum fwd_err {
	/* No usable endpoint exists at present. */
	FWD_ENOENDPOINT = -900,
	/* The retry budget is exhausted. */
	FWD_EBUDGET = -901,
	/* Endpoints crashed while they ran this request; it must not be sent to another one. */
	FWD_EQUARANTINED = -902,
	/* The limits of all endpoints are reached; one may accept the request shortly. */
	FWD_ENOPERMIT = -903,
	/* As FWD_ENOPERMIT, but too many requests wait already, so this one must not wait. */
	FWD_EPERMITQUEUE = -904,
	/* All endpoints for the request asked this host to send nothing for some time (a rest). */
	FWD_ERESTING = -905
};

/* Reason why a request ended. fwd_cause_name() returns the text for the log. */
enum fwd_cause {
	/* An endpoint answered with status 2xx. */
	FWD_OK,
	/* No usable endpoint existed. */
	FWD_NO_ENDPOINT,
	/* Endpoints stated that they did not run the request. */
	FWD_REJECTED,
	/* No connection to an endpoint could be established. */
	FWD_UNREACHED,
	/* The answer was incomplete, malformed or not an answer to this request. */
	FWD_BROKEN,
	/* The endpoint sent nothing for longer than the allowed silence. */
	FWD_SILENT,
	/* The deadline of the caller or of the route passed. */
	FWD_DEADLINE,
	/* The caller disconnected. */
	FWD_CALLER_DISCONNECTED,
	/* The request could have been sent again, but the retry budget was exhausted. */
	FWD_BUDGET,
	/* An endpoint answered with an error status, which was passed to the caller. */
	FWD_FAILED,
	/* The request is in quarantine because endpoints crashed while they ran it. */
	FWD_CRASHES,
	/* The limits of all endpoints were reached. */
	FWD_LIMITED,
	/* All endpoints for the request asked this host to send nothing for some time. */
	FWD_RESTING,
	/* The process is about to end. */
	FWD_STOPPED,
	/* The caller read nothing of its answer for the idle time. */
	FWD_CALLER_STALLED,
	/* Number of causes. */
	FWD_CAUSE_COUNT
};

/* Returns the name of the cause in the log. */
const char *fwd_cause_name(enum fwd_cause cause);

/* Rules for one request. All times are in microseconds. */
struct fwd_rules {
	/* Whether the request may run more than once. */
	bool may_repeat;
	/* Whether a successful answer is a stream of events. */
	bool streaming;
	/*
	 * Whether the caller resumes a stream that it has received a part of. Only such a stream
	 * may have no events: its caller may have received the last one.
	 */
	bool resumes;
	/* Maximum number of endpoints that may run the request. */
	int runs_max;
	/* The earlier of the deadlines of the caller and the route, in microseconds. */
	int64_t deadline_us;
	/*
	 * Silence allowed before the first event or byte of the answer, in microseconds; 0 if
	 * unlimited.
	 */
	int64_t first_us;
	/* Silence allowed between two events, in microseconds; 0 if unlimited. */
	int64_t gap_us;
	/* Time until which the request waits, in microseconds, if no endpoint for it is listed. */
	int64_t list_wait_until_us;
	/*
	 * Time until which the request waits, in microseconds, if limits or rests exclude all
	 * endpoints.
	 */
	int64_t limit_wait_until_us;
	/*
	 * Largest size of an answer that is buffered until it is complete, in bytes; a larger one
	 * is passed on as it arrives. 0: FWD_BUFFER_MAX_BYTES.
	 */
	size_t buffer_max;
	/*
	 * Largest size of an event that is buffered until it is complete, in bytes; a larger one is
	 * passed on as it arrives, and the stream can't be resumed inside of it. 0: SSE_EVENT_MAX.
	 */
	size_t event_max;
	/*
	 * Time at which the first endpoint may be used again, in microseconds; valid after
	 * FWD_ERESTING.
	 */
	int64_t rest_end_us;
};

/* Properties of the status line and the headers of an endpoint's answer. */
struct fwd_head {
	/* HTTP status code. */
	int status;
	/* Whether the endpoint states that it did not run the request. */
	bool not_run;
	/* Whether the answer bears the endpoint's seal, which proves its origin. */
	bool sealed;
	/* Whether the answer bears the id of this request. */
	bool id_matches;
	/* Whether the body has a content encoding and so isn't the original body. */
	bool encoded;
	/* Whether the head contradicts itself, or a part of it that counts can't be passed on. */
	bool unusable;
};

/* Returns why an answer with that head may not be passed to the caller, or NULL if it may. */
const char *fwd_head_fault(const struct fwd_head *head);

/*
 * Returns whether nothing that follows that head is of use: it is not of this request's answer, or
 * of a success that may not be passed on. Its body may have no end.
 */
bool fwd_is_useless_head(const struct fwd_head *head);

struct fwd_ops {
	/*
	 * Chooses endpoints and sends the request. attempt is the number of attempts sent before;
	 * resume_after is the id of the last event that the caller has received, or NULL. Returns 0
	 * or a negative FWD_E code.
	 */
	int (*send)(void *ctx, int attempt, const char *resume_after);

	/* Charges one more attempt to the retry budget. Returns 0 or a negative FWD_E code. */
	int (*charge_retry)(void *ctx);

	/* Cancels the current attempt; fwd_on_done() must not be called for it. */
	void (*cancel)(void *ctx);

	/*
	 * Keeps the current attempt, of whose answer the caller has nothing, beside the next one.
	 * Returns false if it can't be kept. Without this, a request whose endpoint is only silent
	 * for a moment is lost if the next attempt fails.
	 */
	bool (*set_aside)(void *ctx);

	/*
	 * The current attempt has ended or was cancelled; the one that was set aside takes its
	 * place.
	 */
	void (*take_back)(void *ctx);

	/* Cancels the attempt that was set aside; fwd_on_aside_done() must not be called for it. */
	void (*cancel_aside)(void *ctx);

	/*
	 * No endpoint accepts the request at present. It will be sent again later; endpoints that
	 * rejected it may then be chosen again.
	 */
	void (*on_wait)(void *ctx);

	/*
	 * The endpoint has been silent for the allowed time. If this returns true, the attempt
	 * continues and the allowed silence starts again. Otherwise the attempt is abandoned if the
	 * request may be sent again.
	 */
	bool (*on_silent)(void *ctx);

	/* Sends the complete body of the endpoint's answer to the caller, unchanged. */
	void (*answer_complete)(void *ctx, const char *body, size_t len);

	/* Send the endpoint's answer to the caller in parts. */
	void (*answer_begin)(void *ctx);
	void (*answer_data)(void *ctx, const char *data, size_t len);
	void (*answer_end)(void *ctx);

	/* Aborts the answer in a way that the caller can't mistake for its regular end. */
	void (*answer_abort)(void *ctx);

	/*
	 * Sends an error answer of this host to the caller. not_run states that the request has not
	 * run and will not run.
	 */
	void (*refuse)(void *ctx, int status, bool not_run);

	/* Schedules a call of fwd_on_timer() at due_us; replaces the previous schedule. */
	void (*set_timer)(void *ctx, int64_t due_us);

	/* The request has ended. No callback is called after this one. */
	void (*ended)(void *ctx, enum fwd_cause cause);

	/*
	 * Cancels the current attempt as cancel() does, as its answer is of no use. The attempt has
	 * failed, by its endpoint's fault unless that has rejected the request.
	 */
	void (*drop)(void *ctx);
};

enum fwd_state {
	/* No attempt is in progress; the request is sent at resend_us. */
	FWD_WAITING,
	/* An attempt was sent; the head of its answer has not arrived. */
	FWD_SENT,
	/* The head of the answer has arrived. */
	FWD_ANSWERING,
	/* The request has ended. */
	FWD_ENDED
};

struct fwd {
	struct fwd_rules rules;
	const struct fwd_ops *ops;
	void *ctx;
	enum fwd_state state;
	/* Head of the current attempt's answer. */
	struct fwd_head head;
	/* Parser for a stream of events. */
	struct sse sse;
	/* Body of an answer that is buffered until it is complete. */
	GString *body;
	/* Number of attempts that were sent. */
	int sends;
	/* Number of these attempts in which an endpoint may have run the request. */
	int runs;
	/* Number of attempts that were abandoned, although they might have gone on. */
	int abandoned;
	/* Whether a silent attempt is kept beside the current one; it counts as a run. */
	bool has_aside;
	/* State of that attempt, and what has arrived of its answer. */
	enum fwd_state aside_state;
	struct fwd_head aside_head;
	GString *aside_body;
	/* Whether the caller has received the head of an answer. */
	bool begun;
	/* Whether the current answer is a stream of events. */
	bool is_event_stream;
	/* Whether the current answer exceeded the buffer and is passed on as it arrives. */
	bool passthrough;
	/* Number of events passed to the caller, over all attempts. */
	uint64_t parts;
	/* Bytes of the answer passed to the caller, over all attempts. */
	uint64_t passed;
	/* Bytes of the current answer that were dropped, as it may not be passed on. */
	size_t dropped;
	/* Time at which such an answer is broken off, in microseconds; 0: it may be passed on. */
	int64_t drop_us;
	/* Time of the last progress of the attempt, in microseconds; the silence starts here. */
	int64_t last_received_us;
	/* In FWD_WAITING: time at which the request is sent, in microseconds. */
	int64_t resend_us;
	/* Number of waits since the last event was passed to the caller. */
	int waits;
	/* Whether the caller holds the attempt back, see fwd_hold(). */
	bool held;
	/* Cause for which the last attempt failed. */
	enum fwd_cause failure;
};

/* Initializes the state machine; rules are copied. fwd_finish() frees its buffers. */
void fwd_init(struct fwd *fwd, const struct fwd_rules *rules, const struct fwd_ops *ops, void *ctx);
void fwd_finish(struct fwd *fwd);

/* Sends the request for the first time. */
void fwd_start(struct fwd *fwd, int64_t now_us);

/*
 * The head of the current attempt's answer arrived. Returns false if it is useless; the attempt was
 * dropped then, and fwd_on_data() and fwd_on_done() must not be called for it.
 */
bool fwd_on_head(struct fwd *fwd, const struct fwd_head *head, int64_t now_us);

/* A part of the current answer's body arrived. */
void fwd_on_data(struct fwd *fwd, const char *data, size_t len, int64_t now_us);

/*
 * The current attempt ended. whole states that its answer is complete, sent that the endpoint may
 * have received the request.
 */
void fwd_on_done(struct fwd *fwd, bool whole, bool sent, int64_t now_us);

/*
 * Returns whether the request could be sent again if the current attempt, which may run, is
 * abandoned.
 */
bool fwd_can_abandon_attempt(const struct fwd *fwd, int64_t now_us);

/* Returns the bytes of answers that are buffered. */
size_t fwd_buffered(const struct fwd *fwd);

/* Returns whether the begin of an event is buffered, which is passed on only when it is whole. */
bool fwd_has_event_begin(const struct fwd *fwd);

/*
 * Passes on what is buffered of the answer, and all that follows. After that it can't be replaced
 * by the answer of another attempt.
 */
void fwd_pass_on(struct fwd *fwd);

/* Restarts the allowed silence, after a sign of progress other than data of the answer. */
void fwd_restart_silence(struct fwd *fwd, int64_t now_us);

/*
 * States whether the attempt is held back (on), as the caller reads more slowly than the endpoint
 * sends. Then the endpoint is not silent, whatever it sends, and the attempt is not abandoned; the
 * deadline holds. The allowed silence starts again when the attempt goes on.
 */
void fwd_hold(struct fwd *fwd, bool on, int64_t now_us);

/*
 * Sends the request again, if possible, in place of the current attempt; else, or if the attempt is
 * held back, does nothing. If the caller has nothing of the answer yet, the attempt may be set
 * aside until the next one brings a successful head.
 */
void fwd_abandon_attempt(struct fwd *fwd, int64_t now_us);

/*
 * More of the answer to the attempt that was set aside arrives, or its regular end: that attempt
 * becomes the current one, and the other one is cancelled. The function for what arrived must be
 * called next.
 */
void fwd_on_aside_progress(struct fwd *fwd);

/*
 * The attempt that was set aside ended without a complete answer. sent states that the endpoint may
 * have received the request.
 */
void fwd_on_aside_done(struct fwd *fwd, bool sent);

/*
 * Ends the request because it was put in quarantine. An attempt that is still queued would crash
 * its endpoint once it starts, so it is cancelled. The answer states whether the request may have
 * run.
 */
void fwd_on_quarantine(struct fwd *fwd);

/*
 * Ends the request because the process is about to end. Without this the caller's connection would
 * end with the process and nothing would tell whether the request has run.
 */
void fwd_on_stop(struct fwd *fwd);

/*
 * The caller disconnected. It is answered all the same: a caller that only shut down its sending
 * direction, which HTTP allows, looks alike and still reads.
 */
void fwd_on_caller_disconnected(struct fwd *fwd);

/* The caller was disconnected, as it read nothing for the idle time. */
void fwd_on_caller_stalled(struct fwd *fwd);

/* The timer set by set_timer() expired. */
void fwd_on_timer(struct fwd *fwd, int64_t now_us);

G_END_DECLS

#endif
