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

G_END_DECLS

#endif
