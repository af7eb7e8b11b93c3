#include "prog/ctl.h"

#include <stdio.h>
#include <string.h>

/*
 * "bgctl state": the state of one bgrouterd, from its metrics address. An array in the response is
 * printed as a table with the columns listed here.
 */
enum {
	CTL_HTTP_OK = 200,
	CTL_HTTP_NOT_FOUND = 404
};

struct ctl_column {
	const char *member; /* JSON member, which is the title of the column, too */
	int width;	    /* width in characters */
};

/* Returns whether a row is printed. */
typedef gboolean (*ctl_row_filter_fn)(const json_t *row);

struct ctl_table {
	const char *name;	       /* argument of "bgctl state" */
	struct ctl_column columns[10]; /* ends with a NULL member */
	const char *list;	       /* array in the response; NULL: the one called name */
	ctl_row_filter_fn filter;      /* selects the rows to print; NULL: all rows */
};

/* Filters for tables of endpoints: without them, rows without information would hide the others. */
static gboolean ctl_has_permits(const json_t *row)
{
	return json_integer_value(json_object_get(row, "permits")) > 0 ||
	       json_integer_value(json_object_get(row, "permits_used")) > 0;
}

static gboolean ctl_has_fault(const json_t *row)
{
	const char *reach = json_string_value(json_object_get(row, "reach"));

	return (reach && strcmp(reach, "answers") != 0) ||
	       json_integer_value(json_object_get(row, "doubted_ms")) > 0 ||
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
	 .columns = {{"id", 14},
		     {"addr", 22},
		     {"doubted_ms", 11},
		     {"suspected_ms", 13},
		     {"pace", 6},
		     {"reach", 9}},
	 .list = "endpoints",
	 .filter = ctl_has_fault},
	{.name = "ranges",
	 .columns = {{"service", 14},
		     {"from", 5},
		     {"to", 5},
		     {"holders", 8},
		     {"healthy", 8},
		     {"in_flight", 10},
		     {"full", 6},
		     {"fullest", 8}}},
	{.name = "classes",
	 .columns = {{"service", 14},
		     {"class", 6},
		     {"waiting", 8},
		     {"oldest_ms", 10},
		     {"begun_per_s", 12},
		     {"strict", 7},
		     {"refused_ms", 11}}},
	{.name = "accounts", .columns = {{"name", 24}, {"tokens", 12}}},
	{.name = "quarantine",
	 .columns = {{"content", 32},
		     {"account", 16},
		     {"crashes", 8},
		     {"points", 7},
		     {"term", 5},
		     {"refused_ms", 11},
		     {"age_ms", 9}}},
	{.name = "parts",
	 .columns = {{"content", 32},
		     {"crashes", 8},
		     {"points", 7},
		     {"position", 9},
		     {"went_on_ms_ago", 15},
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
	{.name = "answers",
	 .columns = {{"id", 24},
		     {"route", 14},
		     {"endpoint", 14},
		     {"held_ms", 9},
		     {"unsent", 9},
		     {"passed", 12}}},
	{.name = "permits",
	 .columns = {{"id", 24}, {"addr", 22}, {"permits", 8}, {"permits_used", 13}},
	 .list = "endpoints",
	 .filter = ctl_has_permits},
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

static void ctl_print_table(const struct ctl_table *table, const json_t *rows,
			    ctl_row_filter_fn filter)
{
	size_t i;
	json_t *row;

	for (const struct ctl_column *c = table->columns; c->member; c++)
		printf("%-*s ", c->width, c->member);
	putchar('\n');
	json_array_foreach(rows, i, row)
	{
		if (filter && !filter(row))
			continue;
		for (const struct ctl_column *c = table->columns; c->member; c++)
			ctl_print_value(json_object_get(row, c->member), c->width);
		putchar('\n');
	}
}

/* Prints all members of the response that are not arrays. */
static void ctl_print_scalars(json_t *body)
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

static const struct ctl_table *ctl_find_table(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(ctl_tables); i++) {
		if (strcmp(ctl_tables[i].name, name) == 0)
			return &ctl_tables[i];
	}
	return NULL;
}

int ctl_state(const struct ctl *ctl, const char *table_name)
{
	const struct ctl_table *table = table_name ? ctl_find_table(table_name) : NULL;
	json_t *body;
	long status;

	if (table_name && !table) {
		fprintf(stderr, "bgctl: state: unknown table '%s', expected one of:", table_name);
		for (size_t i = 0; i < G_N_ELEMENTS(ctl_tables); i++)
			fprintf(stderr, " %s", ctl_tables[i].name);
		fputc('\n', stderr);
		return CTL_USAGE;
	}
	status = ctl_call(ctl, ctl->control, "GET", "/state", NULL, &body);
	if (status != 200)
		return ctl_report_failure("state", status, body);
	if (ctl->json)
		json_dumpf(body, stdout, JSON_INDENT(2));
	else if (table)
		ctl_print_table(table,
				json_object_get(body, table->list ? table->list : table_name),
				table->filter);
	else
		ctl_print_scalars(body);
	json_decref(body);
	return CTL_OK;
}

int ctl_clear(const struct ctl *ctl, const char *content)
{
	char *path = g_strdup_printf("/quarantine/clear?content=%s", content);
	json_t *body;
	long status = ctl_call(ctl, ctl->control, "POST", path, NULL, &body);

	g_free(path);
	if (status == CTL_HTTP_NOT_FOUND) {
		fprintf(stderr,
			"bgctl: clear: '%s' is not in quarantine on that host; see "
			"'bgctl state quarantine'\n",
			content);
		json_decref(body);
		return CTL_FAILED;
	}
	if (status != CTL_HTTP_OK)
		return ctl_report_failure("clear", status, body);
	printf("cleared %s on all hosts\n", content);
	json_decref(body);
	return CTL_OK;
}
