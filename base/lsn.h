#ifndef BASE_LSN_H
#define BASE_LSN_H

#include "base/loop.h"

#include <stdbool.h>

G_BEGIN_DECLS

/*
 * Listening sockets. Closing one resets the connections that wait in its queue, and those whose
 * handshake is complete for the client and not for the kernel here: their clients may have sent a
 * request. So a server that stops first refuses, serves those, and then closes.
 */

/*
 * Lets no further client connect; connections that clients have begun to make are still made.
 * Returns 0 or BASE_ESYS; then clients can connect until the socket is closed.
 */
int lsn_refuse(int fd) G_GNUC_WARN_UNUSED_RESULT;

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
