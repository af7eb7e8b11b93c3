#ifndef ROUTER_GATEWAY_H
#define ROUTER_GATEWAY_H

#include "base/loop.h"
#include "msg/tunnel.pb-c.h"
#include "reach/reach.h"

G_BEGIN_DECLS

/*
 * Tunnels that this host opens for others: a host that does not reach an endpoint asks for a
 * connection to it (msg/tunnel.proto), and bytes pass unchanged between the two connections. The
 * asking host decides everything about the request; this one only passes bytes on, always over a
 * connection of its own, so tunnels never lead through several hosts. Runs in the traffic thread.
 */
struct gateway;

/*
 * Creates the gateway. reach: what this thread knows of its ways; source: address that connections
 * to endpoints come from, or "".
 */
struct gateway *gateway_new(struct loop *loop, const struct reach *reach, const char *source);

/*
 * Handles a request for a tunnel that was received on the socket fd; takes over both. refusal:
 * result that is answered instead of opening the tunnel, or 0. May be called in any thread.
 */
void gateway_post_open(struct gateway *gateway, int fd, Tunnel__Open *open, Tunnel__Result refusal);

/*
 * Attaches the socket fd to the tunnel that has the token; rest holds the bytes that were received
 * on it after the message. Takes over fd and rest. May be called in any thread.
 */
void gateway_post_attach(struct gateway *gateway, int fd, uint64_t token, GByteArray *rest);

/* Returns the number of open tunnels. May be called in any thread. */
unsigned int gateway_open_tunnels(const struct gateway *gateway);

G_END_DECLS

#endif
