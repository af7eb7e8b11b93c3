#include "base/zip.h"
#include "base/err.h"

#include <zlib.h>

enum {
	ZIP_UNPACKED_MAX = 64 << 20 /* largest uncompressed length in bytes; a larger one is an
				       error or an attack */
};

int zip_pack(const void *data, size_t len, GByteArray *out)
{
	uLongf packed = compressBound((uLong)len);
	int err;

	g_byte_array_set_size(out, (guint)packed);
	err = compress2(out->data, &packed, data, (uLong)len, Z_BEST_SPEED);
	g_byte_array_set_size(out, err == Z_OK ? (guint)packed : 0);
	return err == Z_OK ? 0 : BASE_EFRAME;
}

uint8_t *zip_unpack(const void *data, size_t len, size_t whole_len)
{
	uLongf whole = (uLongf)whole_len;
	uint8_t *text;

	if (whole_len > ZIP_UNPACKED_MAX)
		return NULL;
	text = g_malloc(whole_len + 1);
	if (uncompress(text, &whole, data, (uLong)len) != Z_OK || whole != whole_len) {
		g_free(text);
		return NULL;
	}
	text[whole_len] = '\0';
	return text;
}
