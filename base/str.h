#ifndef BASE_STR_H
#define BASE_STR_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

G_BEGIN_DECLS

/* A view of len bytes that the caller owns; not NUL-terminated. */
struct str {
	const char *data;
	size_t len;
};

/* Returns a view of a NUL-terminated string; cstr may be NULL. */
static inline struct str str_from_cstr(const char *cstr)
{
	struct str s = {cstr, cstr ? strlen(cstr) : 0};
	return s;
}

/* Returns a view of len bytes at data. */
static inline struct str str_make(const char *data, size_t len)
{
	struct str s = {data, len};
	return s;
}

/* Returns whether a and b hold the same bytes. */
static inline bool str_eq(struct str a, struct str b)
{
	return a.len == b.len && (a.len == 0 || memcmp(a.data, b.data, a.len) == 0);
}

/* Returns whether a holds the same bytes as the NUL-terminated string cstr. */
static inline bool str_eq_cstr(struct str a, const char *cstr)
{
	return str_eq(a, str_from_cstr(cstr));
}

/* Returns a NUL-terminated copy that the caller frees with g_free(). */
static inline char *str_dup(struct str s)
{
	return g_strndup(s.data ? s.data : "", s.len);
}

/* Parses an unsigned decimal number. Returns false if s contains anything else. */
bool str_to_u64(struct str s, uint64_t *value);

/* Returns the 64-bit XXH3 hash of len bytes at data with the given seed. */
uint64_t str_hash(const void *data, size_t len, uint64_t seed);

G_END_DECLS

#endif
