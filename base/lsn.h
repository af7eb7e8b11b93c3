#ifndef BASE_LSN_H
#define BASE_LSN_H

#include <glib.h>

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

G_END_DECLS

#endif
