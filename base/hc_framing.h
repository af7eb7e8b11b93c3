#ifndef BASE_HC_FRAMING_H
#define BASE_HC_FRAMING_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Returns whether the headers of a response say where its body ends, so that a client sees whether
 * it is whole. headers are lines "Name: value". The HTTP client library goes by the last one of
 * several lengths, ignores one that is too large for a number, so that a short body would pass for
 * a whole one, and with a transfer coding other than chunked waits until the server closes the
 * connection. It takes lines that are no fields for what they are not: "Transfer-Encoding :" names
 * no coding to it, so that the chunks' lengths would pass for a part of the body.
 */
bool hc_framing_is_usable(const GPtrArray *headers);

/* Returns whether the headers state the length of the body, and sets it, in bytes. */
bool hc_framing_length(const GPtrArray *headers, uint64_t *length);

G_END_DECLS

#endif
