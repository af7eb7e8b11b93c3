#include "base/fld.h"

static bool fld_is_blank(char c)
{
	return c == ' ' || c == '\t';
}

/* Returns whether the character may stand in a name, RFC 9110, "token". */
static bool fld_is_name_char(char c)
{
	return g_ascii_isalnum(c) || (c != '\0' && strchr("!#$%&'*+-.^_`|~", c));
}

static struct str fld_trim(const char *text)
{
	size_t len;

	while (fld_is_blank(*text))
		text++;
	len = strlen(text);
	while (len > 0 && fld_is_blank(text[len - 1]))
		len--;
	return str_make(text, len);
}

bool fld_is_name(struct str name)
{
	for (size_t i = 0; i < name.len; i++) {
		if (!fld_is_name_char(name.data[i]))
			return false;
	}
	return name.len > 0;
}

bool fld_read(struct fld *fld, const char *line)
{
	const char *colon = strchr(line, ':');

	if (!colon)
		return false;
	fld->name = str_make(line, (size_t)(colon - line));
	fld->value = fld_trim(colon + 1);
	return fld_is_name(fld->name);
}

bool fld_is_named(const struct fld *fld, const char *name)
{
	return fld->name.len == strlen(name) &&
	       g_ascii_strncasecmp(fld->name.data, name, fld->name.len) == 0;
}

enum fld_state fld_value_state(struct str value)
{
	for (size_t i = 0; i < value.len; i++) {
		if (g_ascii_iscntrl(value.data[i]) && value.data[i] != '\t')
			return FLD_ODD;
	}
	return value.len > 0 ? FLD_SENDABLE : FLD_EMPTY;
}

bool fld_can_send(const char *name, const char *value)
{
	return fld_is_name(str_from_cstr(name)) &&
	       fld_value_state(str_from_cstr(value)) == FLD_SENDABLE;
}

bool fld_read_number(struct str value, guint64 *number)
{
	char *text = str_dup(value);
	bool good = g_ascii_string_to_unsigned(text, 10, 0, G_MAXINT64, number, NULL);

	g_free(text);
	return good;
}
