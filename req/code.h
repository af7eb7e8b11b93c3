#ifndef REQ_CODE_H
#define REQ_CODE_H

#include <glib.h>

G_BEGIN_DECLS

/* What the answer says about whether the request ran: header Bg-Ran. */
enum req_ran {
	REQ_RAN_NO, /* certainly not, and it never will */
	REQ_RAN_YES,
	REQ_RAN_UNKNOWN
};

/*
 * Every way in which a request can end. The table in code.c gives each its HTTP status, its Bg-Ran
 * and its sentence; there is no other place that decides them.
 */
enum req_code {
	REQ_OK,
	REQ_EBODY,	 /* malformed JSON or a wrong type */
	REQ_EARGUMENT,	 /* a value that is not allowed */
	REQ_EAUTH,	 /* missing or wrong token */
	REQ_EFORBIDDEN,	 /* the account may not use the model */
	REQ_ENOTFOUND,	 /* unknown model, service or path */
	REQ_EMETHOD,	 /* wrong HTTP method */
	REQ_ETOOLARGE,	 /* body over the limit */
	REQ_EKEYREUSED,	 /* the key was used with another body */
	REQ_EQUEUE,	 /* too many requests of the account wait */
	REQ_EWAIT,	 /* it would start after its deadline */
	REQ_ENOPIPELINE, /* no pipeline covers every layer */
	REQ_ENOTREADY,	 /* this host has no configuration yet */
	REQ_ECLAIM,	 /* the claim could not be written: the log is out */
	REQ_EBUDGET,	 /* not run so far, and the budget for retries is used up */
	REQ_ELATE,	 /* the deadline passed before it was dispatched */
	REQ_EDEADLINE,	 /* the deadline passed after it was dispatched */
	REQ_EBROKEN,	 /* attempts broke, and no further one is allowed */
	REQ_EUNKNOWN,	 /* non-idempotent, dispatched, and its answer cannot be had */
	REQ_ECALLERGONE, /* nobody is left to answer */
	REQ_CODE_COUNT
};

struct req_code_info {
	const char *name;
	int status;
	enum req_ran ran;
	const char *sentence;
};

const struct req_code_info *req_code_info(enum req_code code);
const char *req_ran_name(enum req_ran ran);

G_END_DECLS

#endif
