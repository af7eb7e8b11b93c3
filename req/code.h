#ifndef REQ_CODE_H
#define REQ_CODE_H

#include <glib.h>

G_BEGIN_DECLS

/* Whether the request ran, as stated in the response header Bg-Ran. */
enum req_ran {
	REQ_RAN_NO,	/* it has not run and never will */
	REQ_RAN_YES,	/* it has run, and this is its answer */
	REQ_RAN_UNKNOWN /* it may have run */
};

/*
 * Every way in which a request can end. The table in code.c alone defines the HTTP status, the
 * Bg-Ran header and the error message of each code.
 */
enum req_code {
	REQ_OK,		 /* the answer is complete */
	REQ_EBODY,	 /* the body is malformed JSON or has a value of a wrong type */
	REQ_EARGUMENT,	 /* the body has a value that is not allowed */
	REQ_EAUTH,	 /* the bearer token is missing or wrong */
	REQ_EFORBIDDEN,	 /* the client account may not use the model */
	REQ_ENOTFOUND,	 /* the model, service or path is unknown */
	REQ_EMETHOD,	 /* the path does not support the HTTP method */
	REQ_ETOOLARGE,	 /* the body exceeds the size limit */
	REQ_EKEYREUSED,	 /* the idempotency key was used with another body */
	REQ_EQUEUE,	 /* too many requests of the client account are queued */
	REQ_EWAIT,	 /* the request would start after its deadline */
	REQ_ENOPIPELINE, /* no pipeline covers every layer of the model */
	REQ_ENOTREADY,	 /* this host has no configuration yet */
	REQ_ECLAIM,	 /* the claim could not be written, or its verdict came too late */
	REQ_EBUDGET,	 /* the request has not run, and no retry is allowed */
	REQ_ELATE,	 /* the deadline passed before the request was dispatched */
	REQ_EDEADLINE,	 /* the deadline passed after the request was dispatched */
	REQ_EBROKEN,	 /* an attempt that may have run failed, and no retry is possible */
	REQ_EUNKNOWN,	 /* the request may have run, but its answer cannot be obtained */
	REQ_ECALLERGONE, /* the caller closed its connection */
	REQ_CODE_COUNT
};

struct req_code_info {
	const char *name;     /* name of the code in responses, logs and metrics */
	int status;	      /* HTTP status */
	enum req_ran ran;     /* value of the header Bg-Ran */
	const char *sentence; /* error message for the caller */
};

const struct req_code_info *req_code_info(enum req_code code);

/* Returns the value of the header Bg-Ran. */
const char *req_ran_name(enum req_ran ran);

G_END_DECLS

#endif
