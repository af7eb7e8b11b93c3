#include "base/hd_head.h"
#include "base/tcp_read.h"

#include <string.h>

enum {
	HD_FIELD_MEMORY = 64, /* bytes that the library needs for each header or cookie */
	/* The library begins with this part of the block as the buffer that it reads into, and ...
	 */
	HD_READ_BUFFER_PART = 2,
	/* ... adds no more than this to a head that fills it. */
	HD_READ_BUFFER_GROWTH_PART = 4
};

static bool hd_is_cookie_line(const char *line, size_t len)
{
	static const char name[] = "cookie";

	return len >= sizeof(name) - 1 && g_ascii_strncasecmp(line, name, sizeof(name) - 1) == 0;
}

/* Counts what the library makes of a line; a line that begins with a blank may go on with cookies.
 */
static void hd_measure_line(struct hd_size *size, const char *line, size_t len)
{
	bool goes_on = line[0] == ' ' || line[0] == '\t';

	size->fields++;
	size->folded |= goes_on;
	if (!hd_is_cookie_line(line, len) && !goes_on)
		return;
	size->copied += len;
	size->fields++;
	for (size_t i = 0; i < len; i++)
		size->fields += line[i] == ';' || line[i] == ',';
}

void hd_head_measure(const char *data, size_t len, struct hd_size *size)
{
	const char *end = data + len;
	const char *line = data;
	const char *newline;

	memset(size, 0, sizeof(*size));
	while (!size->whole && (newline = memchr(line, '\n', (size_t)(end - line)))) {
		size_t n = (size_t)(newline - line) + 1;
		bool is_empty = n == 1 || (n == 2 && line[0] == '\r');

		if (size->line_bytes > 0 && is_empty)
			size->whole = true;
		else if (size->line_bytes > 0)
			hd_measure_line(size, line, n);
		else if (!is_empty)
			size->line_bytes = n;
		line = newline + 1;
	}
	size->bytes = size->whole ? (size_t)(line - data) : len;
}

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
	/* There are no arguments, unless a library takes the query from elsewhere. */
	int n = MHD_get_connection_values(
		conn, MHD_HEADER_KIND | MHD_COOKIE_KIND | MHD_GET_ARGUMENT_KIND, NULL, NULL);

	return n > 0 ? (unsigned int)n : 0;
}

void hd_head_read(struct hd_head *head, struct MHD_Connection *conn)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(conn, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
	const char *cookies = MHD_lookup_connection_value(conn, MHD_HEADER_KIND, "Cookie");

	head->bytes = info ? info->header_size : head->block / HD_READ_BUFFER_PART;
	head->fields = hd_count_fields(conn);
	head->memory = (size_t)head->fields * HD_FIELD_MEMORY;
	if (cookies)
		head->memory += strlen(cookies) + HD_FIELD_MEMORY;
}

/* Their bytes are not counted as read, so they count as sent behind the request. */
void hd_head_read_trailers(struct hd_head *head, struct MHD_Connection *conn)
{
	int n = MHD_get_connection_values(conn, MHD_FOOTER_KIND, NULL, NULL);

	if (n <= 0)
		return;
	head->fields += (unsigned int)n;
	head->memory += (size_t)n * HD_FIELD_MEMORY;
}

/* Returns the most bytes that the library may have read behind the head. */
static size_t hd_behind_max(size_t block, size_t bytes)
{
	return MAX(block / HD_READ_BUFFER_PART, bytes + block / HD_READ_BUFFER_GROWTH_PART) - bytes;
}

static size_t hd_left(size_t block, size_t used)
{
	return used < block ? block - used : 0;
}

/* Returns the bytes that the library has read behind the request. */
static size_t hd_behind(const struct hd_head *head, int fd, uint64_t earlier)
{
	size_t max = hd_behind_max(head->block, head->bytes);
	uint64_t known = earlier + head->bytes + head->body_bytes;
	uint64_t read;

	if (!tcp_read_bytes(fd, &read))
		return max;
	return read > known ? MIN(read - known, max) : 0;
}

size_t hd_head_room(const struct hd_head *head, int fd, uint64_t earlier)
{
	return hd_left(head->block, head->bytes + head->memory + hd_behind(head, fd, earlier));
}

bool hd_head_leaves(const struct hd_head *head, size_t need, int fd, uint64_t earlier)
{
	size_t behind_max = hd_behind_max(head->block, head->bytes);

	if (hd_left(head->block, head->bytes + head->memory + behind_max) >= need)
		return true;
	return hd_head_room(head, fd, earlier) >= need;
}

bool hd_head_is_usual(const struct hd_size *size)
{
	size_t memory = size->fields * HD_FIELD_MEMORY + size->copied;
	size_t behind_max = hd_behind_max(HD_CONNECTION_MEMORY, size->bytes);

	/* The library joins such lines in a copy behind its read buffer, which stays in use whole.
	 */
	if (size->folded)
		return false;
	return hd_left(HD_CONNECTION_MEMORY, size->bytes + memory + behind_max) >=
	       HD_RESPONSE_ROOM_MIN;
}
