#ifndef BASE_INTAKE_H
#define BASE_INTAKE_H

#include "base/conns.h"
#include "base/hd_head.h"
#include "base/loop.h"

#include <pthread.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * Accepts the connections of an HTTP server and holds them until the head of their next request has
 * come, which stays unread. The HTTP library has one size of memory for all connections of a server
 * and takes whatever comes, so only what is measured before it reads can choose the memory.
 *
 * It has a thread of its own, in which the functions of struct intake_config are called.
 */

enum {
	INTAKE_HEAD_MAX = 65536 /* bytes of a head that are looked at; a longer one isn't whole */
};

struct intake_config {
	int listen_fd;		       /* -1: none */
	bool (*may_accept)(void *ctx); /* whether to take a new connection; NULL: always */
	void *may_accept_ctx;	       /* first argument of may_accept */
	/*
	 * A head has come, or a part that is not getting longer. The connection is not held any
	 * more.
	 */
	void (*on_head)(void *ctx, struct conn *conn, const struct hd_size *size);
	void (*on_end)(void *ctx, struct conn *conn);	   /* the client has ended the connection */
	void (*on_writable)(void *ctx, struct conn *conn); /* see intake_await_writable() */
	void *ctx;
};

struct intake {
	struct intake_config config;
	struct conns *conns;
	struct loop loop;
	pthread_t thread;
	struct loop_fd listener;
	struct tmr accept_timer; /* until connections are accepted again */
	struct tmr parts_timer;	 /* of the oldest of parts */
	GQueue parts;		 /* struct conn with a part of a head, oldest first */
	char *buf;		 /* INTAKE_HEAD_MAX bytes */
};

/* Starts the thread. Returns 0 or BASE_ESYS. */
int intake_start(struct intake *intake, struct conns *conns,
		 const struct intake_config *config) G_GNUC_WARN_UNUSED_RESULT;

/* Ends the thread; connections stay as they are. */
void intake_stop(struct intake *intake);

/* Holds a connection. Any thread may call this; the connection is the intake's from here on. */
void intake_await(struct intake *intake, struct conn *conn);

/* Has on_writable() called once more data can be sent. Any thread may call this. */
void intake_await_writable(struct intake *intake, struct conn *conn);

G_END_DECLS

#endif
