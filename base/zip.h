#ifndef BASE_ZIP_H
#define BASE_ZIP_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Deflating of what hosts hand on to each other. Texts of the store repeat their names and shrink
 * tenfold; some hosts have links of 20 Mbit/s.
 */

/* Replaces the content of out by the len bytes at data, deflated. Returns 0 or BASE_EFRAME. */
int zip_pack(const void *data, size_t len, GByteArray *out);

/* Returns the whole_len bytes that were packed, for g_free(), or NULL. A NUL follows them. */
uint8_t *zip_unpack(const void *data, size_t len, size_t whole_len);

G_END_DECLS

#endif
