#include "base/hc_framing.h"

#include <string.h>

/* Returns the value of a header line with this name and a colon, or NULL if it has another name. */
static const char *hc_header_value(const char *line, const char *name)
{
	size_t len = strlen(name);

	return g_ascii_strncasecmp(line, name, len) == 0 ? line + len : NULL;
}

static bool hc_parse_length(const char *text, guint64 *length)
{
	char *digits = g_strstrip(g_strdup(text));
	bool good = g_ascii_string_to_unsigned(digits, 10, 0, G_MAXINT64, length, NULL);

	g_free(digits);
	return good;
}

/* Returns whether the length of the body is no number, too large for any, or stated differently. */
static bool hc_has_wrong_length(const GPtrArray *headers)
{
	bool known = false;
	bool wrong = false;
	guint64 length = 0;

	for (guint i = 0; i < headers->len; i++) {
		const char *text = hc_header_value(headers->pdata[i], "Content-Length:");
		guint64 stated = 0;

		if (!text)
			continue;
		wrong = wrong || !hc_parse_length(text, &stated) || (known && stated != length);
		known = true;
		length = stated;
	}
	return wrong;
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
	bool has_chunks = false;

	for (guint i = 0; i < headers->len; i++) {
		const char *coding = hc_header_value(headers->pdata[i], "Transfer-Encoding:");

		if (coding && !hc_is_chunked(coding))
			return false;
		has_chunks = has_chunks || coding;
	}
	/* Chunks state their lengths themselves. */
	return has_chunks || !hc_has_wrong_length(headers);
}
