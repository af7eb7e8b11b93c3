#include "base/hc_framing.h"

#include <string.h>

/* Returns the value of the line if it is the header of that name, or NULL. */
static const char *hc_header_value(const char *line, const char *name)
{
	size_t len = strlen(name);

	if (g_ascii_strncasecmp(line, name, len) != 0 || line[len] != ':')
		return NULL;
	return line + len + 1;
}

static bool hc_is_length(const char *value)
{
	char *text = g_strstrip(g_strdup(value));
	bool is_length = g_ascii_string_to_unsigned(text, 10, 0, G_MAXINT64, NULL, NULL);

	g_free(text);
	return is_length;
}

/* The request asks for no other coding, so another one, which ends with the connection, is an
 * error. */
static bool hc_is_chunked(const char *value)
{
	char *text = g_strstrip(g_strdup(value));
	bool is_chunked = g_ascii_strcasecmp(text, "chunked") == 0;

	g_free(text);
	return is_chunked;
}

bool hc_framing_is_usable(const GPtrArray *headers)
{
	for (guint i = 0; i < headers->len; i++) {
		const char *length = hc_header_value(headers->pdata[i], "Content-Length");
		const char *coding = hc_header_value(headers->pdata[i], "Transfer-Encoding");

		if ((length && !hc_is_length(length)) || (coding && !hc_is_chunked(coding)))
			return false;
	}
	return true;
}
