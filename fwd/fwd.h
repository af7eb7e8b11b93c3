#ifndef FWD_FWD_H
#define FWD_FWD_H

#include "sse/sse.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The life of one request on its way to an endpoint and of its answer back: what may be sent again,
 * what the caller is told, and when. Pure: events and the time go in, actions come out through
 * callbacks; every request ends by exactly one of answer_whole(), answer_end(), answer_abort() and
 * refuse().
 *
 *   waiting --send--> sent --head--> answering --end--> ended
 *      ^                |                |
 *      +-- not run, or may run again ----+
 *
 * It waits between two sendings only as a stream that its caller has a part of and that nobody
 * takes at present, and before the first one only while endpoints that live may be missing in the
 * list; anybody else is refused at once.
 */
enum fwd_err {
	FWD_ENOENDPOINT = -900, /* no usable endpoint at present */
	FWD_EBUDGET = -901,	/* the budget of repeats is spent */
	FWD_ECRASHES = -902, /* endpoints ended while they ran it; it is sent to no more of them */
	FWD_ELIMIT = -903,   /* endpoints take no more now; one may take it in a moment */
	FWD_ELIMITED = -904, /* the same, and too many wait for that moment */
	FWD_ERESTS = -905    /* all endpoints for it want nothing of this host now */
};

/* Why a request ended as it did; also the text in the log. */
enum fwd_cause {
	FWD_OK,
	FWD_NO_ENDPOINT, /* nobody to send it to */
	FWD_REJECTED,	 /* endpoints said that they did not run it */
	FWD_UNREACHED,	 /* no connection to an endpoint came about */
	FWD_BROKEN,	 /* the answer broke off or was not an answer to this request */
	FWD_SILENT,	 /* the endpoint sent nothing for too long */
	FWD_DEADLINE,	 /* the caller's or the route's time is over */
	FWD_CALLER_GONE,
	FWD_BUDGET,  /* it might have been sent again, but for the budget */
	FWD_FAILED,  /* the endpoint's own failure was handed on */
	FWD_CRASHES, /* it is in quarantine: endpoints ended while they ran it */
	FWD_LIMITED, /* all endpoints for it have named limits, which leave no room */
	FWD_RESTING, /* all endpoints for it want nothing of this host now */
	FWD_CAUSES
};

const char *fwd_cause_name(enum fwd_cause cause);

struct fwd_rules {
	bool may_repeat; /* may run more than once */
	bool streaming;
	int runs_max;	     /* endpoints that may run it */
	int64_t deadline_us; /* of the caller and of the route, whichever is first */
	int64_t first_us;    /* silence allowed before the first byte or event */
	int64_t gap_us;	     /* silence allowed between events */
	int64_t listing_us;  /* until then it waits where there is no endpoint for it */
	int64_t limit_us;    /* until then it waits where limits or rests leave none for it */
	int64_t rest_us;     /* after FWD_ERESTS: when one of them is to be had */
};

/* What the head of an endpoint's answer says. */
struct fwd_head {
	int status;
	bool not_run; /* the endpoint states that it did not run the request */
	bool sealed;  /* bears the endpoint's proof */
	bool ours;    /* bears the id of this request */
	bool encoded; /* the body is not the endpoint's own */
};

struct fwd_ops {
	/*
	 * Chooses endpoints and sends the request; resume_after is the id of the last event that
	 * the caller has, or NULL. Returns 0 or a negative FWD_E.
	 */
	int (*send)(void *ctx, int attempt, const char *resume_after);

	/* Takes one more sending from the budget. Returns 0 or a negative FWD_E. */
	int (*take_repeat)(void *ctx);

	/* Ends the attempt under way, without on_done. */
	void (*cancel)(void *ctx);

	/* Nobody takes the request now; it is sent again later, also to those that rejected it. */
	void (*on_wait)(void *ctx);

	/*
	 * The attempt under way is silent. Returns true when it is to be kept, so that silence is
	 * allowed once more; else it is given up, if the request may be sent again.
	 */
	bool (*on_silent)(void *ctx);

	/* The whole answer of the endpoint, unchanged. */
	void (*answer_whole)(void *ctx, const char *body, size_t len);

	/* The endpoint's answer in parts. */
	void (*answer_begin)(void *ctx);
	void (*answer_data)(void *ctx, const char *data, size_t len);
	void (*answer_end)(void *ctx);

	/* Breaks an answer off so that it can't look complete. */
	void (*answer_abort)(void *ctx);

	/* An answer of our own; not_run: the request has not run and never will. */
	void (*refuse)(void *ctx, int status, bool not_run);

	/* Asks for fwd_on_time() at due_us; replaces what was asked before. */
	void (*set_timer)(void *ctx, int64_t due_us);

	/* The request has ended; nothing is called after this. */
	void (*ended)(void *ctx, enum fwd_cause cause);
};

enum fwd_state {
	FWD_WAITING,
	FWD_SENT,
	FWD_ANSWERING,
	FWD_ENDED
};

struct fwd {
	struct fwd_rules rules;
	const struct fwd_ops *ops;
	void *ctx;
	enum fwd_state state;
	struct fwd_head head;
	struct sse sse;
	GString *body; /* of an answer that is kept until it is whole */
	int sends;     /* attempts that were sent */
	int runs;      /* of these, those that may have run */
	bool begun;    /* the caller has the head of an answer */
	bool events;   /* the answer under way is a stream of events */
	bool spilled;  /* the answer under way was too large to keep and is handed on as it comes */
	uint64_t parts;		/* events handed on */
	int64_t heard_us;	/* when the endpoint was last heard of */
	int64_t again_us;	/* in FWD_WAITING: when it is sent, or sent again */
	int waits;		/* in a row without anything handed on in between */
	enum fwd_cause failure; /* of the last attempt */
};

void fwd_init(struct fwd *fwd, const struct fwd_rules *rules, const struct fwd_ops *ops, void *ctx);
void fwd_finish(struct fwd *fwd);

/* Sends the request for the first time. resume_after: id that the caller itself goes on from. */
void fwd_start(struct fwd *fwd, int64_t now_us);

/* Events of the attempt under way. on_head returns false if the attempt is to be given up. */
bool fwd_on_head(struct fwd *fwd, const struct fwd_head *head, int64_t now_us);
void fwd_on_data(struct fwd *fwd, const char *data, size_t len, int64_t now_us);

/* The attempt has ended; whole: its answer is complete; sent: the endpoint may have got it. */
void fwd_on_done(struct fwd *fwd, bool whole, bool sent, int64_t now_us);

/* Whether the request could be sent again if the attempt under way, which may run, is given up. */
bool fwd_may_give_up(const struct fwd *fwd, int64_t now_us);

/* Something else was heard of the attempt: silence counts from now. */
void fwd_on_sign(struct fwd *fwd, int64_t now_us);

/* Gives the attempt under way up and sends again, if that is possible; else the attempt goes on. */
void fwd_give_up_attempt(struct fwd *fwd, int64_t now_us);

/*
 * The request is in quarantine from now on: an attempt that waits somewhere would end the endpoint
 * when it begins, so it is ended, and its caller told what is true of it.
 */
void fwd_on_quarantine(struct fwd *fwd);

void fwd_on_caller_gone(struct fwd *fwd);
void fwd_on_time(struct fwd *fwd, int64_t now_us);

G_END_DECLS

#endif
