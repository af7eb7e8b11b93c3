#ifndef BASE_HC_INT_H
#define BASE_HC_INT_H

#include "base/hc.h"
#include "base/hc_bound.h"

#include <curl/curl.h>
#include <netinet/in.h>

/* What the files of the HTTP client share: hc.c and hc_response.c. */
struct hc {
	struct loop *loop;
	CURLM *multi;
	struct tmr timer;	   /* timeout that the library requested */
	struct tmr deferred_timer; /* starts and frees the deferred requests */
	GPtrArray *deferred; /* requests (struct hc_call) that were started inside a callback */
	GPtrArray *canceled; /* requests that were canceled inside a callback of another one */
	GPtrArray *resumed;  /* requests that hc_pause() lets go on */
	GPtrArray *failed;   /* requests that could not be started */
	bool in_callback;    /* a callback of the library is running */
	bool has_brought;    /* the library has passed on a line or a part of a body */
	char *source; /* IP address that connections come from, as the library has it; NULL: any */
};

/* A socket of the library that the loop watches. */
struct hc_sock {
	struct loop_fd lfd;
	struct hc *hc;
	struct hc_call *call; /* request on the connection; NULL: none */
	uint32_t events;      /* EPOLLIN and EPOLLOUT as the library requested them */
};

struct hc_call {
	struct hc *hc;
	CURL *easy;
	struct curl_slist *headers;
	const struct hc_ops *ops;
	void *ctx;
	GBytes *shared_body;	     /* request body; NULL: none, or the library has a copy */
	GString *body;		     /* collected response body */
	GPtrArray *response_headers; /* header lines of the response */
	bool on_head_called;	     /* on_head() was called */
	bool canceled; /* canceled inside its own callback; freed after the callback returns */
	bool callback_running;	/* a callback of this request is running */
	bool paused;		/* by hc_pause() */
	bool withheld;		/* the library holds a part of the body, as the request is paused */
	struct sockaddr_in via; /* address to connect to instead of the host in the URL */
	GByteArray *preamble;	/* bytes to send before the request; NULL: none */
	int fd;			/* socket that the preamble is sent on */
	bool incomplete;	/* the library did not take a part of the request */
	struct hc_sock *sock;	/* socket of the connection; NULL: none */
	struct hcb bound;	/* what the response has had beside its body */
	size_t body_max;	/* largest collected body, in bytes */
	unsigned int reads;	/* reads that have brought something */
	struct tmr trailer_timer; /* end of the time for lines behind the body */
};

/* Callbacks of the library: a line of a head or behind a body, and a part of a body. */
size_t hc_on_header(char *data, size_t size, size_t n, void *ctx);
size_t hc_on_body(char *data, size_t size, size_t n, void *ctx);

/* Tells the owner that the request has ended, and frees it. code: the library's result. */
void hc_finish_call(struct hc_call *call, CURLcode code);

/* Frees a request. Must not be called inside of a callback of the library. */
void hc_call_free(struct hc_call *call);

#endif
