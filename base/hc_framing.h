#ifndef BASE_HC_FRAMING_H
#define BASE_HC_FRAMING_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * Whether the headers of a response say where its body ends, so that a client sees whether it is
 * whole. headers are lines "Name: value". The HTTP client library ignores a length that is too
 * large for a number, and a short body would pass for a whole one; with a transfer coding other
 * than chunked, it waits until the server closes the connection.
 */
bool hc_framing_is_usable(const GPtrArray *headers);

G_END_DECLS

#endif
