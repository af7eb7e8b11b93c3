#include "base/settings.h"
#include "base/addr.h"
#include "base/err.h"
#include "base/str.h"

#include <ini.h>
#include <stdio.h>

/* State of settings_load(). */
struct settings_reader {
	const char *path;
	FILE *file;
	int line; /* number of the line that was read last */
	const struct settings_item *items;
	size_t n;	 /* number of items */
	char *target;	 /* settings struct */
	bool *seen;	 /* for each item, whether the file has it */
	GString *errors; /* messages, one line each */
};

static int settings_on_pair(void *user, const char *section, const char *name, const char *value);
static char *settings_read_line(char *buf, int size, void *stream);
static const char *settings_store(const struct settings_item *item, char *target,
				  const char *value);
static const char *settings_store_int(const struct settings_item *item, char *target,
				      const char *value);
static const char *settings_store_real(const struct settings_item *item, char *target,
				       const char *value);
static const struct settings_item *settings_find(const struct settings_reader *r,
						 const char *section, const char *name);

static const struct settings_item *settings_find(const struct settings_reader *r,
						 const char *section, const char *name)
{
	for (size_t i = 0; i < r->n; i++) {
		const struct settings_item *item = &r->items[i];

		if (strcmp(item->section, section) == 0 && strcmp(item->key, name) == 0)
			return item;
	}
	return NULL;
}

static const char *settings_store_int(const struct settings_item *item, char *target,
				      const char *value)
{
	static __thread char problem[128];
	gint64 number;

	if (g_ascii_string_to_signed(value, 10, item->min, item->max, &number, NULL)) {
		*(int64_t *)(target + item->offset) = number;
		return NULL;
	}
	g_snprintf(problem, sizeof(problem),
		   "expected a whole number from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
		   item->min, item->max);
	return problem;
}

static const char *settings_store_real(const struct settings_item *item, char *target,
				       const char *value)
{
	static __thread char problem[128];
	char *end;
	double number = g_ascii_strtod(value, &end);

	if (end != value && *end == '\0' && number >= (double)item->min &&
	    number <= (double)item->max) {
		*(double *)(void *)(target + item->offset) = number;
		return NULL;
	}
	g_snprintf(problem, sizeof(problem),
		   "expected a number from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT, item->min,
		   item->max);
	return problem;
}

/* Stores a value in the field of the item. Returns NULL, or a message with the expected form. */
static const char *settings_store(const struct settings_item *item, char *target, const char *value)
{
	char **text = (char **)(target + item->offset);
	struct sockaddr_in sin;

	if (item->type == SETTINGS_INT)
		return settings_store_int(item, target, value);
	if (item->type == SETTINGS_REAL)
		return settings_store_real(item, target, value);
	if (item->type == SETTINGS_ADDR && (value[0] != '\0' || !item->initial) &&
	    addr_parse(value, &sin) < 0)
		return "expected an address IP:PORT";
	if (item->type == SETTINGS_TEXT && item->min > 0 && value[0] == '\0')
		return "expected a text that is not empty";
	g_free(*text);
	*text = g_strdup(value);
	return NULL;
}

/* Counts lines, because the packaged library doesn't pass the line number to its handler. */
static char *settings_read_line(char *buf, int size, void *stream)
{
	struct settings_reader *r = stream;

	r->line++;
	return fgets(buf, size, r->file);
}

static int settings_on_pair(void *user, const char *section, const char *name, const char *value)
{
	struct settings_reader *r = user;
	const struct settings_item *item = settings_find(r, section, name);
	const char *problem;

	if (!item) {
		g_string_append_printf(r->errors, "%s:%d: unknown key '%s' in section [%s]\n",
				       r->path, r->line, name, section);
		return 1;
	}
	problem = settings_store(item, r->target, value);
	if (problem)
		g_string_append_printf(r->errors, "%s:%d: [%s] %s = '%s': %s\n", r->path, r->line,
				       section, name, value, problem);
	r->seen[item - r->items] = true;
	return 1;
}

int settings_load(const char *path, const struct settings_item *items, size_t n, void *target,
		  GString *errors)
{
	struct settings_reader r = {path, NULL, 0, items, n, target, NULL, errors};
	int line;

	for (size_t i = 0; i < n; i++) {
		if (items[i].initial)
			settings_store(&items[i], target, items[i].initial);
	}
	r.file = fopen(path, "r");
	if (!r.file) {
		g_string_append_printf(errors, "%s: cannot be read\n", path);
		return BASE_EFILE;
	}
	r.seen = g_new0(bool, n);
	line = ini_parse_stream(settings_read_line, &r, settings_on_pair, &r);
	fclose(r.file);
	if (line != 0)
		g_string_append_printf(errors, "%s:%d: expected [section] or key = value\n", path,
				       line);
	for (size_t i = 0; line == 0 && i < n; i++) {
		if (!items[i].initial && !r.seen[i])
			g_string_append_printf(errors, "%s: [%s] %s is missing\n", path,
					       items[i].section, items[i].key);
	}
	g_free(r.seen);
	return errors->len > 0 ? BASE_ESETTING : 0;
}

static void settings_write_value(const struct settings_item *item, const void *target, GString *out)
{
	const char *field = (const char *)target + item->offset;

	if (item->type == SETTINGS_INT)
		g_string_append_printf(out, "%" G_GINT64_FORMAT,
				       *(const int64_t *)(const void *)field);
	else if (item->type == SETTINGS_REAL)
		g_string_append_printf(out, "%.9g", *(const double *)(const void *)field);
	else
		g_string_append(out, *(char *const *)(const void *)field);
}

uint64_t settings_digest(const struct settings_item *items, size_t n, const void *target,
			 const char *const *sections)
{
	GString *text = g_string_new(NULL);
	uint64_t digest;

	for (size_t i = 0; i < n; i++) {
		if (!g_strv_contains(sections, items[i].section))
			continue;
		g_string_append_printf(text, "%s.%s=", items[i].section, items[i].key);
		settings_write_value(&items[i], target, text);
		g_string_append_c(text, '\n');
	}
	digest = str_hash(text->str, text->len, 0);
	g_string_free(text, TRUE);
	return digest;
}

void settings_differing(const struct settings_item *items, size_t n, const void *a, const void *b,
			GString *keys)
{
	GString *one = g_string_new(NULL);
	GString *other = g_string_new(NULL);

	for (size_t i = 0; i < n; i++) {
		g_string_truncate(one, 0);
		g_string_truncate(other, 0);
		settings_write_value(&items[i], a, one);
		settings_write_value(&items[i], b, other);
		if (!g_string_equal(one, other))
			g_string_append_printf(keys, "%s%s.%s", keys->len > 0 ? "," : "",
					       items[i].section, items[i].key);
	}
	g_string_free(one, TRUE);
	g_string_free(other, TRUE);
}

void settings_clear(const struct settings_item *items, size_t n, void *target)
{
	for (size_t i = 0; i < n; i++) {
		char **text = (char **)((char *)target + items[i].offset);

		if (items[i].type == SETTINGS_TEXT || items[i].type == SETTINGS_ADDR)
			g_clear_pointer(text, g_free);
	}
}
