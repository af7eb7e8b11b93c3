#ifndef BASE_ADDR_H
#define BASE_ADDR_H

#include <glib.h>
#include <netinet/in.h>

G_BEGIN_DECLS

/* Parses a numeric IPv4 address "IP:PORT" into sin. Returns 0 or BASE_EADDR. */
int addr_parse(const char *text, struct sockaddr_in *sin) G_GNUC_WARN_UNUSED_RESULT;

/*
 * Opens a listening, non-blocking TCP socket on the address "IP:PORT". Returns the descriptor or a
 * negative base error.
 */
int addr_listen(const char *text) G_GNUC_WARN_UNUSED_RESULT;

G_END_DECLS

#endif
