#include "prog/load.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Results of bgload: a table on standard output; JSON, CSV and a gnuplot script in files.
 */
static const char *const load_path_names[LOAD_PATH_COUNT] = {
	[LOAD_ROUTER] = "router",
	[LOAD_DIRECT] = "direct",
};

static gint load_compare_int64(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/* Returns the q-quantile (0 to 1) of values in microseconds, in milliseconds; 0 if none. */
static double load_quantile(GArray *values, double q)
{
	guint index;

	if (values->len == 0)
		return 0;
	g_array_sort(values, load_compare_int64);
	index = MIN((guint)(q * values->len), values->len - 1);
	return (double)g_array_index(values, int64_t, index) / USEC_PER_MSEC;
}

static bool load_is_empty(const struct load_total *total)
{
	uint64_t sum = 0;

	for (int r = 0; r < LOAD_RESULT_COUNT; r++)
		sum += total->results[r];
	return sum == 0;
}

static void load_print_total(const char *account, const char *path, struct load_total *t,
			     double seconds)
{
	printf("%-10s %-7s %7d %7d %6d %10.1f %7.2f %7.2f %7.2f %7.2f %8.1f %8.1f\n", account, path,
	       (int)t->results[LOAD_OK], (int)t->results[LOAD_REFUSED],
	       (int)t->results[LOAD_FAILED], (double)t->tokens / seconds,
	       load_quantile(t->first_token_us, 0.5), load_quantile(t->first_token_us, 0.95),
	       load_quantile(t->token_gap_us, 0.5), load_quantile(t->token_gap_us, 0.95),
	       load_quantile(t->duration_us, 0.5), load_quantile(t->duration_us, 0.95));
}

static json_t *load_total_json(const char *account, const char *path, struct load_total *t,
			       double seconds)
{
	return json_pack("{s:s, s:s, s:I, s:I, s:I, s:I, s:f, s:f, s:f, s:f, s:f, s:f, s:f}",
			 "account", account, "path", path, "ok", (json_int_t)t->results[LOAD_OK],
			 "refused", (json_int_t)t->results[LOAD_REFUSED], "failed",
			 (json_int_t)t->results[LOAD_FAILED], "order_errors",
			 (json_int_t)t->order_errors, "tokens_per_s", (double)t->tokens / seconds,
			 "first_p50_ms", load_quantile(t->first_token_us, 0.5), "first_p95_ms",
			 load_quantile(t->first_token_us, 0.95), "gap_p50_ms",
			 load_quantile(t->token_gap_us, 0.5), "gap_p95_ms",
			 load_quantile(t->token_gap_us, 0.95), "all_p50_ms",
			 load_quantile(t->duration_us, 0.5), "all_p95_ms",
			 load_quantile(t->duration_us, 0.95));
}

static void load_write_file(const char *prefix, const char *suffix, const char *text, size_t len)
{
	char *path = g_strconcat(prefix, suffix, NULL);

	if (!g_file_set_contents(path, text, (gssize)len, NULL))
		fprintf(stderr, "bgload: %s: cannot be written\n", path);
	g_free(path);
}

/* Writes the tokens of each account in each second as CSV, and a gnuplot script for them. */
static void load_write_throughput(const struct load *load)
{
	GString *csv = g_string_new("second");
	GString *plot = g_string_new("set terminal png size 1000,500\nset datafile separator ','\n"
				     "set xlabel 'second'\nset ylabel 'tokens a second'\n"
				     "set key autotitle columnheader\nplot ");
	int64_t seconds = load->settings.duration_ms / 1000;

	for (guint i = 0; i < load->accounts->len; i++) {
		const struct load_account *account = load->accounts->pdata[i];

		g_string_append_printf(csv, ",%s", account->name);
		g_string_append_printf(plot, "%s'%s-seconds.csv' using 1:%u with lines",
				       i > 0 ? ", " : "", load->settings.out, i + 2);
	}
	g_string_append_c(csv, '\n');
	g_string_append_c(plot, '\n');
	for (int64_t s = 0; s < seconds; s++) {
		g_string_append_printf(csv, "%d", (int)s);
		for (guint i = 0; i < load->accounts->len; i++) {
			const struct load_account *account = load->accounts->pdata[i];

			g_string_append_printf(csv, ",%" G_GUINT64_FORMAT,
					       account->tokens_by_second[s]);
		}
		g_string_append_c(csv, '\n');
	}
	load_write_file(load->settings.out, "-seconds.csv", csv->str, csv->len);
	load_write_file(load->settings.out, ".gnuplot", plot->str, plot->len);
	g_string_free(csv, TRUE);
	g_string_free(plot, TRUE);
}

static void load_print_errors(struct load *load)
{
	GHashTableIter iter;
	gpointer key;
	gpointer count;

	g_hash_table_iter_init(&iter, load->error_counts);
	while (g_hash_table_iter_next(&iter, &key, &count))
		printf("  %-28s %u\n", (char *)key, GPOINTER_TO_UINT(count));
}

bool load_report(struct load *load)
{
	double seconds = (double)load->settings.duration_ms / 1000;
	json_t *all = json_array();
	bool ordered = true;

	printf("%-10s %-7s %7s %7s %6s %10s %7s %7s %7s %7s %8s %8s\n", "ACCOUNT", "PATH", "OK",
	       "REFUSED", "FAILED", "TOKENS/S", "TTFT50", "TTFT95", "GAP50", "GAP95", "ALL50",
	       "ALL95");
	for (guint i = 0; i < load->accounts->len; i++) {
		const struct load_account *account = load->accounts->pdata[i];

		for (int path = 0; path < LOAD_PATH_COUNT; path++) {
			struct load_total *t = load_get_total(load, i, (enum load_path)path);

			if (load_is_empty(t))
				continue;
			ordered = ordered && t->order_errors == 0;
			load_print_total(account->name, load_path_names[path], t, seconds);
			json_array_append_new(
				all,
				load_total_json(account->name, load_path_names[path], t, seconds));
		}
	}
	load_print_errors(load);
	if (!ordered)
		printf("tokens were out of order, duplicated or missing\n");
	if (load->settings.out[0]) {
		char *text = json_dumps(all, JSON_INDENT(2));

		load_write_file(load->settings.out, ".json", text, strlen(text));
		load_write_file(load->settings.out, ".csv", load->csv->str, load->csv->len);
		load_write_throughput(load);
		free(text);
	}
	json_decref(all);
	return ordered;
}
