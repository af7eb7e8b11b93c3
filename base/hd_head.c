#include "base/hd_head.h"
#include "base/tcp_read.h"

#include <string.h>

enum {
	HD_FIELD_MEMORY = 64, /* bytes that the library needs for each header or cookie */
	/* The library begins with this part of the memory as the buffer that it reads into, and ...
	 */
	HD_READ_BUFFER = HD_CONNECTION_MEMORY / 2,
	/* ... adds no more than this to a head that fills it. */
	HD_READ_BUFFER_GROWTH = HD_CONNECTION_MEMORY / 4
};

void hd_hide_query(const char *target)
{
	/* It lies in the library's own buffer, which the library changes as it parses it. */
	char *query = (char *)(uintptr_t)strchr(target, '?');

	if (query)
		memset(query, '\0', strlen(query));
}

char *hd_query_value(const char *target, const char *name)
{
	const char *query = strchr(target, '?');
	GUriParamsIter iter;
	char *key;
	char *value;

	if (!query)
		return NULL;
	g_uri_params_iter_init(&iter, query + 1, -1, "&", G_URI_PARAMS_WWW_FORM);
	while (g_uri_params_iter_next(&iter, &key, &value, NULL)) {
		bool found = strcmp(key, name) == 0;

		g_free(key);
		if (found)
			return value;
		g_free(value);
	}
	return NULL;
}

static unsigned int hd_count_fields(struct MHD_Connection *conn)
{
	int n = MHD_get_connection_values(conn, MHD_HEADER_KIND, NULL, NULL) +
		MHD_get_connection_values(conn, MHD_COOKIE_KIND, NULL, NULL);

	return n > 0 ? (unsigned int)n : 0;
}

void hd_head_read(struct hd_head *head, struct MHD_Connection *conn)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(conn, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
	const char *cookies = MHD_lookup_connection_value(conn, MHD_HEADER_KIND, "Cookie");

	head->bytes = info ? info->header_size : HD_READ_BUFFER;
	head->fields = hd_count_fields(conn);
	head->memory = (size_t)head->fields * HD_FIELD_MEMORY;
	if (cookies)
		head->memory += strlen(cookies) + HD_FIELD_MEMORY;
}

static size_t hd_left(size_t used)
{
	return used < HD_CONNECTION_MEMORY ? HD_CONNECTION_MEMORY - used : 0;
}

/* Returns the most bytes that the library may have read behind the head. */
static size_t hd_behind_max(const struct hd_head *head)
{
	return MAX(HD_READ_BUFFER, head->bytes + HD_READ_BUFFER_GROWTH) - head->bytes;
}

/* Returns the bytes that the library has read behind the request. */
static size_t hd_behind(const struct hd_head *head, int fd, uint64_t earlier)
{
	size_t max = hd_behind_max(head);
	uint64_t known = earlier + head->bytes + head->body_bytes;
	uint64_t read;

	if (!tcp_read_bytes(fd, &read))
		return max;
	return read > known ? MIN(read - known, max) : 0;
}

size_t hd_head_room(const struct hd_head *head, int fd, uint64_t earlier)
{
	return hd_left(head->bytes + head->memory + hd_behind(head, fd, earlier));
}

bool hd_head_leaves(const struct hd_head *head, size_t need, int fd, uint64_t earlier)
{
	if (hd_left(head->bytes + head->memory + hd_behind_max(head)) >= need)
		return true;
	return hd_head_room(head, fd, earlier) >= need;
}
