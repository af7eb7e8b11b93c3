#include "prog/ctl_spread.h"

#include <stdio.h>
#include <string.h>

enum {
	SPREAD_MAX_PRINTED = 20 /* largest number of hosts printed of one list */
};

/* One version of the configuration, with the hosts on which it came into force. */
struct spread_version {
	gint64 version;
	GPtrArray *rows; /* struct spread_row, the first of each host, in order of time */
};

static void spread_row_clear(gpointer data)
{
	struct spread_row *row = data;

	g_free(row->host);
	g_free(row->digest);
	g_free(row->source);
}

void spread_init(struct spread *spread)
{
	memset(spread, 0, sizeof(*spread));
	spread->rows = g_array_new(FALSE, TRUE, sizeof(struct spread_row));
	g_array_set_clear_func(spread->rows, spread_row_clear);
	spread->unreachable = g_ptr_array_new_with_free_func(g_free);
	spread->restart_pending = g_ptr_array_new_with_free_func(g_free);
}

void spread_finish(struct spread *spread)
{
	g_array_unref(spread->rows);
	g_ptr_array_unref(spread->unreachable);
	g_ptr_array_unref(spread->restart_pending);
}

static const char *spread_digest_text(const struct spread_row *row)
{
	return row->digest ? row->digest : "not told";
}

static gint spread_by_time(gconstpointer a, gconstpointer b)
{
	const struct spread_row *ra = a;
	const struct spread_row *rb = b;
	int hosts = strcmp(ra->host, rb->host);

	if (ra->since_ms != rb->since_ms)
		return ra->since_ms < rb->since_ms ? -1 : 1;
	return hosts;
}

/* Returns the rows of one kind in order of time; the spread keeps ownership of the rows. */
static GPtrArray *spread_rows_of_kind(const struct spread *spread, enum spread_kind kind)
{
	GPtrArray *rows = g_ptr_array_new();

	g_array_sort(spread->rows, spread_by_time);
	for (guint i = 0; i < spread->rows->len; i++) {
		struct spread_row *row = &g_array_index(spread->rows, struct spread_row, i);

		if (row->kind == kind)
			g_ptr_array_add(rows, row);
	}
	return rows;
}

static void spread_version_free(gpointer data)
{
	struct spread_version *version = data;

	g_ptr_array_unref(version->rows);
	g_free(version);
}

/* Returns the version with this number, which is added if it is not there yet. */
static struct spread_version *spread_get_version(GPtrArray *versions, gint64 number)
{
	struct spread_version *version;

	for (guint i = 0; i < versions->len; i++) {
		version = versions->pdata[i];
		if (version->version == number)
			return version;
	}
	version = g_new0(struct spread_version, 1);
	version->version = number;
	version->rows = g_ptr_array_new();
	g_ptr_array_add(versions, version);
	return version;
}

static bool spread_has_host(const GPtrArray *rows, const char *host)
{
	for (guint i = 0; i < rows->len; i++) {
		if (strcmp(((const struct spread_row *)rows->pdata[i])->host, host) == 0)
			return true;
	}
	return false;
}

static gint spread_by_version(gconstpointer a, gconstpointer b)
{
	const struct spread_version *va = *(struct spread_version *const *)a;
	const struct spread_version *vb = *(struct spread_version *const *)b;

	return va->version < vb->version ? -1 : va->version > vb->version;
}

/* Returns the versions in ascending order, each with all hosts that ever had it in force. */
static GPtrArray *spread_versions(const GPtrArray *rows)
{
	GPtrArray *versions = g_ptr_array_new_with_free_func(spread_version_free);

	for (guint i = 0; i < rows->len; i++) {
		struct spread_row *row = rows->pdata[i];
		struct spread_version *version = spread_get_version(versions, row->version);

		if (!spread_has_host(version->rows, row->host))
			g_ptr_array_add(version->rows, row);
	}
	g_ptr_array_sort(versions, spread_by_version);
	return versions;
}

/* Returns when a version came into force on the first, the middle and the last host. */
static json_t *spread_version_json(const struct spread_version *version)
{
	const struct spread_row *first = version->rows->pdata[0];
	const struct spread_row *middle = version->rows->pdata[(version->rows->len - 1) / 2];
	const struct spread_row *last = version->rows->pdata[version->rows->len - 1];
	json_t *digests = json_object();
	int different;

	for (guint i = 0; i < version->rows->len; i++) {
		const struct spread_row *row = version->rows->pdata[i];

		json_object_set_new(digests, spread_digest_text(row), json_true());
	}
	different = (int)json_object_size(digests);
	json_decref(digests);
	return json_pack("{s:I, s:i, s:i, s:I, s:s, s:I, s:I, s:s, s:s?}", "version",
			 (json_int_t)version->version, "hosts", (int)version->rows->len, "digests",
			 different, "first_ms", (json_int_t)first->since_ms, "first", first->host,
			 "middle_after_ms", (json_int_t)(middle->since_ms - first->since_ms),
			 "last_after_ms", (json_int_t)(last->since_ms - first->since_ms), "last",
			 last->host, "by", last->source);
}

/* Returns the latest row of each host, by host name; rows are in order of time. */
static GHashTable *spread_latest_rows(const GPtrArray *rows)
{
	GHashTable *latest = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < rows->len; i++) {
		struct spread_row *row = rows->pdata[i];

		g_hash_table_replace(latest, row->host, row);
	}
	return latest;
}

/* Returns the hosts whose latest version is not the newest version of all hosts. */
static json_t *spread_hosts_behind(const GPtrArray *rows, const struct spread_version *newest)
{
	const struct spread_row *first = newest->rows->pdata[0];
	GHashTable *latest = spread_latest_rows(rows);
	json_t *behind = json_array();
	GList *hosts = g_list_sort(g_hash_table_get_keys(latest), (GCompareFunc)strcmp);

	for (GList *host = hosts; host; host = host->next) {
		const struct spread_row *row = g_hash_table_lookup(latest, host->data);

		if (row->version == newest->version)
			continue;
		json_array_append_new(behind, json_pack("{s:s, s:I, s:I}", "host", row->host,
							"version", (json_int_t)row->version,
							"since_ms", (json_int_t)first->since_ms));
	}
	g_list_free(hosts);
	g_hash_table_destroy(latest);
	return behind;
}

/* Returns the digest that most hosts run, the first in alphabetical order if several do. */
static const char *spread_most_common_digest(GHashTable *latest)
{
	GHashTable *counts = g_hash_table_new(g_str_hash, g_str_equal);
	const char *usual = NULL;
	guint most = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, latest);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct spread_row *row = value;
		const char *digest = spread_digest_text(row);
		guint n = GPOINTER_TO_UINT(g_hash_table_lookup(counts, digest)) + 1;

		g_hash_table_replace(counts, (gpointer)digest, GUINT_TO_POINTER(n));
		if (!usual || n > most || (n == most && strcmp(digest, usual) < 0)) {
			most = n;
			usual = digest;
		}
	}
	g_hash_table_destroy(counts);
	return usual;
}

/* Returns the most common settings, and the hosts that run others. */
static json_t *spread_settings_json(const GPtrArray *rows)
{
	GHashTable *latest = spread_latest_rows(rows);
	const char *usual = spread_most_common_digest(latest);
	GList *hosts = g_list_sort(g_hash_table_get_keys(latest), (GCompareFunc)strcmp);
	json_t *others = json_array();

	for (GList *host = hosts; host; host = host->next) {
		const struct spread_row *row = g_hash_table_lookup(latest, host->data);

		if (strcmp(spread_digest_text(row), usual) == 0)
			continue;
		json_array_append_new(others,
				      json_pack("{s:s, s:s?, s:I, s:s?}", "host", row->host,
						"digest", row->digest, "since_ms",
						(json_int_t)row->since_ms, "by", row->source));
	}
	g_list_free(hosts);
	g_hash_table_destroy(latest);
	return json_pack("{s:s?, s:o}", "usual", usual, "others", others);
}

/* Returns the time at which a newer version first came into force on any host, as Unix time in
 * milliseconds; 0 if there is no newer version. */
static gint64 spread_newer_since(const GPtrArray *versions, gint64 number)
{
	gint64 since_ms = 0;

	for (guint i = 0; i < versions->len; i++) {
		const struct spread_version *version = versions->pdata[i];
		const struct spread_row *first = version->rows->pdata[0];

		if (version->version > number && (since_ms == 0 || first->since_ms < since_ms))
			since_ms = first->since_ms;
	}
	return since_ms;
}

static const char *spread_member_text(const json_t *row, const char *member)
{
	const char *text = json_string_value(json_object_get(row, member));

	return text ? text : "-";
}

static long long spread_member_int(const json_t *row, const char *member)
{
	return json_integer_value(json_object_get(row, member));
}

/*
 * Returns, for each host, the number of requests that it sent on or denied under a version after a
 * newer one had come into force on some host, and the longest time after that.
 */
static json_t *spread_outdated_decisions(const GPtrArray *decisions, const GPtrArray *versions)
{
	GHashTable *hosts = g_hash_table_new(g_str_hash, g_str_equal);
	json_t *list = json_array();

	for (guint i = 0; i < decisions->len; i++) {
		const struct spread_row *row = decisions->pdata[i];
		gint64 newer_ms = spread_newer_since(versions, row->version);
		json_t *host = g_hash_table_lookup(hosts, row->host);
		gint64 after_ms = row->since_ms - newer_ms;

		if (newer_ms == 0 || after_ms <= 0)
			continue;
		if (!host) {
			host = json_pack("{s:s, s:i, s:i}", "host", row->host, "requests", 0,
					 "latest_after_ms", 0);
			json_array_append_new(list, host);
			g_hash_table_insert(hosts, row->host, host);
		}
		json_object_set_new(host, "requests",
				    json_integer(spread_member_int(host, "requests") + 1));
		after_ms = MAX(after_ms, spread_member_int(host, "latest_after_ms"));
		json_object_set_new(host, "latest_after_ms", json_integer(after_ms));
	}
	g_hash_table_destroy(hosts);
	return list;
}

static json_t *spread_string_array(const GPtrArray *names)
{
	json_t *list = json_array();

	for (guint i = 0; i < names->len; i++)
		json_array_append_new(list, json_string(names->pdata[i]));
	return list;
}

json_t *spread_report(const struct spread *spread)
{
	GPtrArray *confs = spread_rows_of_kind(spread, SPREAD_CONF);
	GPtrArray *settings = spread_rows_of_kind(spread, SPREAD_SETTINGS);
	GPtrArray *decisions = spread_rows_of_kind(spread, SPREAD_DECISION);
	GPtrArray *versions = spread_versions(confs);
	json_t *list = json_array();
	json_t *report;

	for (guint i = 0; i < versions->len; i++)
		json_array_append_new(list, spread_version_json(versions->pdata[i]));
	report = json_pack("{s:o, s:o, s:o, s:o, s:o, s:o, s:i}", "versions", list, "behind",
			   versions->len > 0
				   ? spread_hosts_behind(confs, versions->pdata[versions->len - 1])
				   : json_array(),
			   "settings", spread_settings_json(settings), "waiting",
			   spread_string_array(spread->restart_pending), "old_answers",
			   spread_outdated_decisions(decisions, versions), "silent",
			   spread_string_array(spread->unreachable), "unreadable_lines",
			   (int)spread->non_json_lines);
	g_ptr_array_unref(versions);
	g_ptr_array_unref(confs);
	g_ptr_array_unref(settings);
	g_ptr_array_unref(decisions);
	return report;
}

static void spread_print_time(long long ms)
{
	GDateTime *time = g_date_time_new_from_unix_utc(ms / 1000);
	char *text = time ? g_date_time_format(time, "%Y-%m-%d %H:%M:%S") : g_strdup("-");

	printf("%s.%03lld", text, ms % 1000);
	g_free(text);
	if (time)
		g_date_time_unref(time);
}

static void spread_print_versions(const json_t *versions)
{
	size_t i;
	json_t *row;

	printf("%-10s %6s %-24s %10s %10s  %s\n", "version", "hosts", "first (UTC)", "middle +ms",
	       "last +ms", "last host");
	json_array_foreach(versions, i, row)
	{
		printf("%-10lld %6lld ", spread_member_int(row, "version"),
		       spread_member_int(row, "hosts"));
		spread_print_time(spread_member_int(row, "first_ms"));
		printf(" %11lld %10lld  %s%s\n", spread_member_int(row, "middle_after_ms"),
		       spread_member_int(row, "last_after_ms"), spread_member_text(row, "last"),
		       spread_member_int(row, "digests") > 1 ? "  DIGESTS DIFFER" : "");
	}
}

/* Prints the first SPREAD_MAX_PRINTED items of a list; --json prints all. */
static void spread_print_list(const char *title, const json_t *list,
			      void (*print)(const json_t *item))
{
	size_t n = json_array_size(list);

	for (size_t i = 0; i < MIN(n, SPREAD_MAX_PRINTED); i++) {
		printf("%-16s ", title);
		print(json_array_get(list, i));
		putchar('\n');
	}
	if (n > SPREAD_MAX_PRINTED)
		printf("%-16s and %zu more\n", title, n - SPREAD_MAX_PRINTED);
}

static void spread_print_behind(const json_t *item)
{
	printf("%s has %lld, since ", spread_member_text(item, "host"),
	       spread_member_int(item, "version"));
	spread_print_time(spread_member_int(item, "since_ms"));
}

static void spread_print_settings(const json_t *item)
{
	printf("%s runs %s (%s)", spread_member_text(item, "host"),
	       spread_member_text(item, "digest"), spread_member_text(item, "by"));
}

static void spread_print_outdated(const json_t *item)
{
	printf("%s: %lld requests, the latest after %lld ms", spread_member_text(item, "host"),
	       spread_member_int(item, "requests"), spread_member_int(item, "latest_after_ms"));
}

static void spread_print_string(const json_t *item)
{
	fputs(json_string_value(item), stdout);
}

static void spread_print(const json_t *report)
{
	const json_t *settings = json_object_get(report, "settings");

	spread_print_versions(json_object_get(report, "versions"));
	spread_print_list("behind", json_object_get(report, "behind"), spread_print_behind);
	printf("%-16s %s\n", "settings", spread_member_text(settings, "usual"));
	spread_print_list("other settings", json_object_get(settings, "others"),
			  spread_print_settings);
	spread_print_list("needs a restart", json_object_get(report, "waiting"),
			  spread_print_string);
	spread_print_list("old answers", json_object_get(report, "old_answers"),
			  spread_print_outdated);
	spread_print_list("no answer", json_object_get(report, "silent"), spread_print_string);
	if (spread_member_int(report, "unreadable_lines") > 0)
		printf("%-16s %lld lines\n", "not JSON",
		       spread_member_int(report, "unreadable_lines"));
}

/* Returns whether an argument is the path of a log rather than an address. */
static bool spread_is_file(const char *word)
{
	return strchr(word, ':') == NULL || g_file_test(word, G_FILE_TEST_EXISTS);
}

int ctl_spread(const struct ctl *ctl, int argc, char **argv)
{
	GPtrArray *addrs = g_ptr_array_new();
	struct spread spread;
	json_t *report;
	int err = 0;

	spread_init(&spread);
	for (int i = 0; err == 0 && i < argc; i++) {
		if (spread_is_file(argv[i]))
			err = gather_from_log(&spread, argv[i]);
		else
			g_ptr_array_add(addrs, argv[i]);
	}
	if (err == 0) {
		gather_from_hosts(&spread, (int)addrs->len, (char **)addrs->pdata);
		report = spread_report(&spread);
		if (ctl->json)
			json_dumpf(report, stdout, JSON_INDENT(2));
		else
			spread_print(report);
		json_decref(report);
	}
	g_ptr_array_unref(addrs);
	spread_finish(&spread);
	return err == 0 ? CTL_OK : CTL_FAILED;
}
