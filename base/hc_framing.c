#include "base/hc_framing.h"
#include "base/fld.h"

static bool hc_is_line(const char *line)
{
	struct fld fld;

	return fld_read(&fld, line);
}

/* Returns whether all lines are fields: the library reads an odd one otherwise than others do. */
static bool hc_has_only_fields(const GPtrArray *headers)
{
	for (guint i = 0; i < headers->len; i++) {
		if (!hc_is_line(headers->pdata[i]))
			return false;
	}
	return true;
}

/* What the headers say of the end of the body. */
struct hc_framing {
	bool has_chunks;
	bool has_other_coding;
	bool has_length;
	bool has_wrong_length; /* it is no number, too large for any, or stated differently */
	guint64 length;
};

static void hc_read_length(struct hc_framing *framing, struct str value)
{
	guint64 length = 0;
	bool good = fld_read_number(value, &length);

	framing->has_wrong_length = framing->has_wrong_length || !good ||
				    (framing->has_length && framing->length != length);
	framing->has_length = true;
	framing->length = length;
}

/* The request asks for no other coding, so another one, which ends with the connection, is an
 * error. */
static void hc_read_coding(struct hc_framing *framing, struct str value)
{
	char *text = str_dup(value);
	bool is_chunked = g_ascii_strcasecmp(text, "chunked") == 0;

	framing->has_chunks = framing->has_chunks || is_chunked;
	framing->has_other_coding = framing->has_other_coding || !is_chunked;
	g_free(text);
}

static void hc_read_framing(struct hc_framing *framing, const GPtrArray *headers)
{
	*framing = (struct hc_framing){0};
	for (guint i = 0; i < headers->len; i++) {
		struct fld fld;

		if (!fld_read(&fld, headers->pdata[i]))
			continue;
		if (fld_is_named(&fld, "Content-Length"))
			hc_read_length(framing, fld.value);
		if (fld_is_named(&fld, "Transfer-Encoding"))
			hc_read_coding(framing, fld.value);
	}
}

bool hc_framing_is_usable(const GPtrArray *headers)
{
	struct hc_framing framing;

	hc_read_framing(&framing, headers);
	if (framing.has_other_coding || !hc_has_only_fields(headers))
		return false;
	/* Chunks state their lengths themselves. */
	return framing.has_chunks || !framing.has_wrong_length;
}

bool hc_framing_length(const GPtrArray *headers, uint64_t *length)
{
	struct hc_framing framing;

	hc_read_framing(&framing, headers);
	*length = framing.length;
	return framing.has_length && !framing.has_wrong_length && !framing.has_chunks &&
	       !framing.has_other_coding;
}
