#include "base/str.h"

#include <xxhash.h>

bool str_to_u64(struct str s, uint64_t *value)
{
	char *copy = str_dup(s);
	bool ok = g_ascii_string_to_unsigned(copy, 10, 0, G_MAXUINT64, value, NULL);

	g_free(copy);
	return ok;
}

uint64_t str_hash(const void *data, size_t len, uint64_t seed)
{
	return XXH3_64bits_withSeed(data, len, seed);
}
