#ifndef BASE_TCP_END_H
#define BASE_TCP_END_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * Returns whether the peer has closed or reset the connection. Bytes that lie unread before its end
 * do not hide it. Nothing is read.
 */
bool tcp_peer_has_closed(int fd);

/*
 * Has the kernel reset the connection whenever it is closed: what has not been sent is dropped, and
 * the peer sees no regular end. Returns -1 on failure.
 */
int tcp_reset_on_close(int fd) G_GNUC_WARN_UNUSED_RESULT;

G_END_DECLS

#endif
