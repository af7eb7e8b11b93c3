#include "prog/ctl.h"

#include <stdio.h>
#include <string.h>

/*
 * What 'bgctl state' prints: what one bgrouterd believes, from the port of its metrics. A list is
 * printed as a table of the members named here.
 */
enum {
	CTL_STATUS_OK = 200,
	CTL_STATUS_NOT_FOUND = 404
};

struct ctl_column {
	const char *member;
	int width;
};

/* Whether a row of the list is printed. */
typedef gboolean (*ctl_shows_fn)(const json_t *row);

struct ctl_table {
	const char *name;
	struct ctl_column columns[10]; /* ends with a NULL member */
	const char *list;	       /* of the answer; NULL: the one of that name */
	ctl_shows_fn shows;	       /* NULL: all rows are printed */
};

/* Tables that show some of the endpoints only: rows that say nothing would hide those that do. */
static gboolean ctl_has_permits(const json_t *row)
{
	return json_integer_value(json_object_get(row, "permits")) > 0 ||
	       json_integer_value(json_object_get(row, "permits_used")) > 0;
}

static gboolean ctl_is_fault(const json_t *row)
{
	return json_integer_value(json_object_get(row, "doubted_ms")) > 0 ||
	       json_integer_value(json_object_get(row, "suspected_ms")) > 0 ||
	       json_number_value(json_object_get(row, "pace")) > 1;
}

static const struct ctl_table ctl_tables[] = {
	{.name = "hosts", .columns = {{"name", 24}, {"addr", 22}, {"capacity", 10}}},
	{.name = "endpoints",
	 .columns = {{"id", 14},
		     {"service", 14},
		     {"addr", 22},
		     {"zone", 14},
		     {"state", 10},
		     {"from", 5},
		     {"to", 5},
		     {"in_flight", 10},
		     {"full", 6}}},
	{.name = "faults",
	 .columns =
		 {{"id", 14}, {"addr", 22}, {"doubted_ms", 11}, {"suspected_ms", 13}, {"pace", 6}},
	 .list = "endpoints",
	 .shows = ctl_is_fault},
	{.name = "accounts", .columns = {{"name", 24}, {"tokens", 12}}},
	{.name = "quarantine",
	 .columns = {{"content", 32},
		     {"account", 16},
		     {"crashes", 8},
		     {"points", 7},
		     {"term", 5},
		     {"refused_ms", 11},
		     {"age_ms", 9}}},
	{.name = "limits",
	 .columns = {{"endpoint", 24},
		     {"named", 6},
		     {"rate", 9},
		     {"age_ms", 9},
		     {"home", 20},
		     {"asked_by", 9},
		     {"part", 6}}},
	{.name = "rests",
	 .columns = {{"endpoint", 24},
		     {"addr", 22},
		     {"host", 20},
		     {"left_ms", 9},
		     {"age_ms", 9},
		     {"said_to", 24}}},
	{.name = "permits",
	 .columns = {{"id", 24}, {"addr", 22}, {"permits", 8}, {"permits_used", 13}},
	 .list = "endpoints",
	 .shows = ctl_has_permits},
	{.name = "budgets", .columns = {{"service", 24}, {"left", 10}, {"requests_per_s", 15}}},
};

static void ctl_print_value(const json_t *value, int width)
{
	if (json_is_string(value))
		printf("%-*s ", width, json_string_value(value));
	else if (json_is_integer(value))
		printf("%-*lld ", width, (long long)json_integer_value(value));
	else if (json_is_real(value))
		printf("%-*.2f ", width, json_real_value(value));
	else
		printf("%-*s ", width,
		       json_is_true(value)    ? "yes"
		       : json_is_false(value) ? "no"
					      : "-");
}

static void ctl_print_table(const struct ctl_table *table, const json_t *rows, ctl_shows_fn shows)
{
	size_t i;
	json_t *row;

	for (const struct ctl_column *c = table->columns; c->member; c++)
		printf("%-*s ", c->width, c->member);
	putchar('\n');
	json_array_foreach(rows, i, row)
	{
		if (shows && !shows(row))
			continue;
		for (const struct ctl_column *c = table->columns; c->member; c++)
			ctl_print_value(json_object_get(row, c->member), c->width);
		putchar('\n');
	}
}

/* The single values of the answer. */
static void ctl_print_summary(json_t *body)
{
	const char *member;
	json_t *value;

	json_object_foreach(body, member, value)
	{
		if (json_is_array(value))
			continue;
		printf("%-16s ", member);
		ctl_print_value(value, 0);
		putchar('\n');
	}
}

static const struct ctl_table *ctl_table_of(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(ctl_tables); i++) {
		if (strcmp(ctl_tables[i].name, name) == 0)
			return &ctl_tables[i];
	}
	return NULL;
}

int ctl_state(const struct ctl *ctl, const char *what)
{
	const struct ctl_table *table = what ? ctl_table_of(what) : NULL;
	json_t *body;
	long status;

	if (what && !table) {
		fprintf(stderr, "bgctl: state: '%s' is none of", what);
		for (size_t i = 0; i < G_N_ELEMENTS(ctl_tables); i++)
			fprintf(stderr, " %s", ctl_tables[i].name);
		fputc('\n', stderr);
		return CTL_USAGE;
	}
	status = ctl_call(ctl, ctl->control, "GET", "/state", NULL, &body);
	if (status != 200)
		return ctl_fail("state", status, body);
	if (ctl->json)
		json_dumpf(body, stdout, JSON_INDENT(2));
	else if (table)
		ctl_print_table(table, json_object_get(body, table->list ? table->list : what),
				table->shows);
	else
		ctl_print_summary(body);
	json_decref(body);
	return CTL_OK;
}

int ctl_clear(const struct ctl *ctl, const char *content)
{
	char *path = g_strdup_printf("/quarantine/clear?content=%s", content);
	json_t *body;
	long status = ctl_call(ctl, ctl->control, "POST", path, NULL, &body);

	g_free(path);
	if (status == CTL_STATUS_NOT_FOUND) {
		fprintf(stderr,
			"bgctl: clear: '%s' is not in quarantine there; see "
			"'bgctl state quarantine'\n",
			content);
		json_decref(body);
		return CTL_FAILED;
	}
	if (status != CTL_STATUS_OK)
		return ctl_fail("clear", status, body);
	printf("cleared %s on all hosts\n", content);
	json_decref(body);
	return CTL_OK;
}
