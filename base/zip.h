#ifndef BASE_ZIP_H
#define BASE_ZIP_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Compression (deflate) of messages between hosts, some of which have links of 20 Mbit/s. Texts of
 * the store repeat their names, so they shrink tenfold.
 */

/* Replaces the content of out by the compressed len bytes at data. Returns 0 or BASE_EFRAME. */
int zip_pack(const void *data, size_t len, GByteArray *out) G_GNUC_WARN_UNUSED_RESULT;

/*
 * Decompresses the len bytes at data. Returns whole_len bytes followed by a NUL, which the caller
 * frees with g_free(), or NULL if data is damaged or its uncompressed length isn't whole_len.
 */
uint8_t *zip_unpack(const void *data, size_t len, size_t whole_len);

G_END_DECLS

#endif
