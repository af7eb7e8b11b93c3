#ifndef BASE_LSN_H
#define BASE_LSN_H

#include "base/loop.h"

#include <stdbool.h>

G_BEGIN_DECLS

/*
 * A listening socket that is to be closed. Closing it resets the connections that wait in its
 * queue, and those whose handshake the client has completed and the kernel here has not: their
 * clients may have sent a request.
 */

/* Lets no further client connect. Where the kernel does not support it, some still may. */
void lsn_refuse(int fd);

/*
 * Accepts a connection that clients have made. Returns its descriptor, -EAGAIN if there is none at
 * present, or another negative errno.
 */
int lsn_accept(int fd) G_GNUC_WARN_UNUSED_RESULT;

/* Takes over a connection that was accepted. */
typedef void (*lsn_fn)(void *ctx, int fd);

/* A listening socket of a loop. It can be closed while the connections it made go on. */
struct lsn {
	struct loop *loop;
	struct loop_fd lfd;
	lsn_fn on_connection;
	void *ctx;
	bool open;
};

/* Listens on "IP:PORT" unless it is open already. Returns 0 or a negative base error. */
int lsn_open(struct lsn *lsn, struct loop *loop, const char *addr, lsn_fn on_connection,
	     void *ctx) G_GNUC_WARN_UNUSED_RESULT;
void lsn_close(struct lsn *lsn);

G_END_DECLS

#endif
