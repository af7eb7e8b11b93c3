#ifndef BASE_HD_INT_H
#define BASE_HD_INT_H

#include "base/body_pace.h"
#include "base/conns.h"
#include "base/early.h"
#include "base/hd.h"
#include "base/hd_head.h"
#include "base/intake.h"
#include "base/recent.h"

#include <microhttpd.h>
#include <pthread.h>

enum {
	HD_LARGE_MAX = 64 /* connections with a large block at once */
};

/* What the files of the HTTP server, base/hd_*.c, share. */
struct hd {
	struct MHD_Daemon *daemon;
	struct MHD_Daemon *large; /* serves requests with large heads; NULL unless any_head */
	unsigned int large_open;  /* its connections; atomic */
	bool stopping;		  /* no further connection is held; guarded by body_lock */
	struct intake intake;	  /* of hd_config.any_head */
	struct hd_config config;
	char *too_large;	    /* body of the response with status 413, JSON */
	unsigned int open_requests; /* requests in progress; atomic */
	unsigned int closing;	    /* 1: responses carry "Connection: close"; atomic */
	uint64_t unsent;	    /* unsent bytes of all responses in parts; atomic */
	uint64_t bodies;	    /* bytes of all request bodies that are held; atomic */
	struct conns conns;
	struct early early;
	int listen_fd;		   /* the library's; -1: none */
	pthread_mutex_t body_lock; /* guards the fields below */
	struct recent body_max;	   /* largest request body in bytes */
	struct recent head_max;	   /* see hd_set_head_max() */
	bool head_max_set;	   /* it has been called */
	bool body_max_set;	   /* hd_set_limits() has been called */
};

struct hd_call {
	struct hd *hd;
	struct MHD_Connection *conn;
	char *method;
	char *path;
	char *target;		 /* request target as the client sent it */
	GPtrArray *query_values; /* values that hd_query() has returned */
	struct hd_head head;	 /* memory that the request takes */
	GString *body;		 /* request body received so far */
	uint64_t stated;	 /* Content-Length of the request; 0: none */
	struct body_pace pace;	 /* pace at which the request body comes */
	int64_t idle_us;	 /* idle timeout; 0: none */
	bool headers_received;	 /* the request line and the headers were received */
	bool too_large;		 /* the request body exceeded body_max */
	bool handler_called;	 /* the handler has been called */
	bool refused;		 /* the request was refused before its body had been received */
	enum hd_refusal why;	 /* reason; valid if refused is set */
	bool early_failed;	 /* the client may not get the refusal */
	bool is_http_1_0;	 /* the client knows no chunks */
	bool says_close;	 /* the client ends the connection after the response */
	bool is_chunked;	 /* the request body is chunked */
	uint64_t framing;	 /* bytes that the framing of a chunked body has at most */
	int port;		 /* local TCP port; 0 if unknown */
	int fd;			 /* socket of the connection; -1 if unknown */
	int64_t began_us;	 /* time at which the headers had been received */
	unsigned int refs;	 /* references to this struct; atomic */
	void *owner;		 /* object of the handler, used by its thread only */

	/* lock guards all fields below. */
	pthread_mutex_t lock;
	GString *pending;   /* bytes of the response; the library hasn't read those from pending_at
			     * on */
	size_t pending_at;  /* bytes of pending that the library has read */
	uint64_t length;    /* Content-Length of a response in parts; HD_LENGTH_UNKNOWN: none */
	uint64_t expected;  /* bytes of the response body by hd_expect_length() */
	size_t low;	    /* unsent bytes at which on_drained() is called */
	bool watched;	    /* on_drained() is to be called */
	GPtrArray *headers; /* response headers: name, value, name, value, ... */
	char *type;	    /* Content-Type of the response; may be NULL */
	char *label;	    /* names the request to hd_config.on_end; may be NULL */
	uint64_t sent;	    /* bytes of the response body that the library has read */
	int status;	    /* HTTP status of the response */
	bool streaming;	    /* the response is sent in parts */
	bool answered;	    /* the status and the response headers are set */
	bool queued;	    /* the response was passed to the library */
	bool ended;	    /* the response body is complete */
	bool aborted;	    /* the response ends with a close of the connection */
	bool incomplete;    /* hd_reply_write() did not take a part of the response */
	bool closed;	    /* the library has finished the request */
	enum hd_end end;    /* how the request ended; valid if closed is set */
	bool client_closed; /* hd_client_closed() found that the client has closed */
	bool suspended;	    /* the library doesn't poll the connection until it is resumed */

	/* Of a response that hd_direct.c sends, guarded by lock. */
	bool direct;		 /* it does; the library doesn't poll the connection meanwhile */
	bool direct_ended;	 /* the library is to close the connection */
	bool direct_whole;	 /* the whole response was passed to the kernel */
	bool direct_timed_out;	 /* its client read nothing for the idle timeout */
	GString *wire;		 /* bytes that are to be sent next */
	size_t wire_at;		 /* bytes of wire that were sent */
	bool direct_last;	 /* the last chunk was added to wire */
	int64_t direct_us;	 /* when the kernel last took some of it */
	struct tmr direct_timer; /* of the intake's loop; not guarded */
};

/* Returns the socket of the connection; -1: unknown. */
int hd_fd(struct MHD_Connection *conn);

/* Has the library serve a connection. It closes fd, also if it can't. */
bool hd_add_connection(struct MHD_Daemon *daemon, int fd) G_GNUC_WARN_UNUSED_RESULT;

/* Starts one of the library's servers, which has such a block of memory for each connection. */
struct MHD_Daemon *hd_start_library(struct hd *hd, unsigned int threads, size_t memory);

/* Starts what hd_config.any_head needs. Returns 0 or BASE_ESYS. */
int hd_any_start(struct hd *hd);

/* Ends it, so that the library can be stopped. */
void hd_any_stop(struct hd *hd);

/* Frees connections that the library never had; it is stopped already. */
void hd_any_finish(struct hd *hd);

/* Holds the connection, whose request was answered, until its next head has come if that can be. */
void hd_any_on_answered(struct hd_call *call);

/* A connection of the library is about to be closed. */
void hd_any_on_closed(struct hd *hd, struct conn *conn);

/* Notes what the head of a request says of its connection. */
void hd_any_on_begin(struct hd_call *call);

/* Puts a limit in force; the first one replaces the default. */
void hd_put_in_force(struct recent *limit, bool *was_set, size_t value, int64_t now_us);

/* Returns whether the head is longer than any limit by which its client may have gone. */
bool hd_any_is_over(const struct hd_call *call);

/* Notes a piece of a request body. */
void hd_any_on_body(struct hd_call *call, size_t len);

/* Sends the response beside the library. Called with the lock held, in the library's thread. */
enum MHD_Result hd_direct_begin(struct hd_call *call);

/* Sends what has been added to the response. Called with the lock held. */
void hd_direct_resume(struct hd_call *call);

/* Sends more of a response; for struct intake_config. */
void hd_direct_on_writable(void *ctx, struct conn *conn);

/* Returns whether a header, the closing one or Connection, ends the connection. */
bool hd_response_closes(struct hd_call *call);

/* Has hd_config.on_drained called; not with the lock held. */
void hd_notify_drained(struct hd_call *call);

/* Replaces a response that has a header or status which can't be sent. */
enum MHD_Result hd_replace_refused(struct hd_call *call);

/* Moves up to max unsent bytes of the response to buf; returns their number. */
size_t hd_take_pending(struct hd_call *call, char *buf, size_t max);

/* Returns what is kept of the connection. */
struct conn *hd_conn(struct MHD_Connection *conn);

/* Returns whether the head of the request has left that many bytes for the head of the response. */
bool hd_leaves_room(const struct hd_call *call, size_t bytes);

/* Sends an error of the server itself. ran: value of the header Bg-Ran. */
enum MHD_Result hd_queue_error(struct hd_call *call, int status, const char *body, const char *ran);

/*
 * Passes the response to the library. Called with the lock held, in the library's thread. One that
 * would lack a header is replaced: its client would take it for something else.
 */
enum MHD_Result hd_queue_response(struct hd_call *call);

/* Returns the number of bytes of the response that the library hasn't read yet. */
size_t hd_pending(const struct hd_call *call);

/* Frees what is left of a response when the request has ended. */
void hd_drop_pending(struct hd_call *call);

/* Returns whether nothing but the end of the connection tells the client that the response ends. */
bool hd_is_unframed(const struct hd_call *call);

/* Resets the connection, so that its client doesn't take an unframed response for complete. */
void hd_reset(const struct hd_call *call);

/* Frees the request body received so far. */
void hd_drop_body(struct hd_call *call);

/*
 * Writes a response to the socket, see base/early.h. Returns false, and counts it, if the client
 * may not get it.
 */
bool hd_reply_early(struct hd *hd, int fd, const struct early_response *response);

/* Ends a request that is not received further; the library closes the connection. */
enum MHD_Result hd_refuse_call(struct hd_call *call, enum hd_refusal why);

/* Decides on the body of a request whose head was received. Bodies that are too large get 413. */
enum MHD_Result hd_admit_body(struct hd_call *call);

/* Takes a part of the request body. What is too large is read and dropped, and then gets 413. */
enum MHD_Result hd_on_body(struct hd_call *call, const char *data, size_t len);

#endif
