#include "prog/ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * "bgctl show". The state of a pool is known to its home only, so every host is queried and the
 * responses are merged.
 */
/* Prints a table of the merged responses. */
typedef void (*ctl_print_fn)(json_t *list);

struct ctl_view {
	const char *name;   /* argument of "bgctl show" */
	const char *path;   /* HTTP path of a control daemon */
	const char *member; /* array in each response that is merged; NULL: the whole response */
	ctl_print_fn print;
};

static void ctl_print_status(json_t *list);
static void ctl_print_hosts(json_t *list);
static void ctl_print_endpoints(json_t *list);
static void ctl_print_accounts(json_t *list);
static void ctl_print_bound(json_t *list);
static void ctl_print_cost(json_t *list);
static void ctl_print_config(json_t *list);

static const struct ctl_view ctl_views[] = {
	{"status", "/v1/status", NULL, ctl_print_status},
	{"hosts", "/v1/hosts", NULL, ctl_print_hosts},
	{"endpoints", "/v1/pools", "pools", ctl_print_endpoints},
	{"accounts", "/v1/pools", "pools", ctl_print_accounts},
	{"usage", "/v1/pools", "pools", ctl_print_accounts},
	{"bound", "/v1/pools", "pools", ctl_print_bound},
	{"cost", "/v1/cost", NULL, ctl_print_cost},
	{"config", "/v1/config", NULL, ctl_print_config},
};

static const char *ctl_member_text(const json_t *json, const char *key)
{
	const char *text = json_string_value(json_object_get(json, key));

	return text ? text : "";
}

static long long ctl_member_int(const json_t *json, const char *key)
{
	return (long long)json_integer_value(json_object_get(json, key));
}

static const char *ctl_member_yes_no(const json_t *json, const char *key)
{
	return json_is_true(json_object_get(json, key)) ? "yes" : "no";
}

static void ctl_print_status(json_t *list)
{
	size_t i;
	json_t *s;

	printf("%-12s %-6s %-7s %9s %9s %8s\n", "HOST", "READY", "LOG-OK", "REVISION", "IN-FORCE",
	       "ENTRIES");
	json_array_foreach(list, i, s)
	{
		printf("%-12s %-6s %-7s %9lld %9lld %8lld\n", ctl_member_text(s, "host"),
		       ctl_member_yes_no(s, "ready"), ctl_member_yes_no(s, "log_ok"),
		       ctl_member_int(s, "revision"), ctl_member_int(s, "in_force"),
		       ctl_member_int(s, "entries"));
	}
}

static void ctl_print_hosts(json_t *list)
{
	json_t *hosts = json_object_get(json_array_get(list, 0), "hosts");
	size_t i;
	json_t *h;

	printf("%-12s %-12s %-8s %-10s %s\n", "HOST", "ZONE", "LEAVING", "SUSPECTED", "OPERATORS");
	json_array_foreach(hosts, i, h)
	{
		printf("%-12s %-12s %-8s %-10s %s\n", ctl_member_text(h, "name"),
		       ctl_member_text(h, "zone"), ctl_member_yes_no(h, "leaving"),
		       ctl_member_yes_no(h, "suspected"), ctl_member_text(h, "operators"));
	}
}

static void ctl_print_endpoints(json_t *list)
{
	size_t i;
	size_t j;
	json_t *pool;
	json_t *e;

	printf("%-12s %-12s %-9s %-9s %-9s %10s %6s %9s\n", "POOL", "ENDPOINT", "VERSION", "LAYERS",
	       "STATE", "IN-FLIGHT", "SLOTS", "REPORTED");
	json_array_foreach(list, i, pool)
	{
		json_array_foreach(json_object_get(pool, "endpoints"), j, e)
		{
			char layers[32];

			g_snprintf(layers, sizeof(layers), "%lld-%lld", ctl_member_int(e, "first"),
				   ctl_member_int(e, "last"));
			printf("%-12s %-12s %-9s %-9s %-9s %10lld %6lld %9lld\n",
			       ctl_member_text(pool, "pool"), ctl_member_text(e, "endpoint"),
			       ctl_member_text(e, "version"), layers, ctl_member_text(e, "state"),
			       ctl_member_int(e, "in_flight"), ctl_member_int(e, "slots"),
			       ctl_member_int(e, "reported"));
		}
	}
}

static void ctl_print_accounts(json_t *list)
{
	size_t i;
	size_t j;
	json_t *pool;
	json_t *a;

	printf("%-12s %-16s %6s %8s %10s %12s\n", "POOL", "ACCOUNT", "SHARE", "WAITING",
	       "IN-FLIGHT", "TOKENS");
	json_array_foreach(list, i, pool)
	{
		json_array_foreach(json_object_get(pool, "accounts"), j, a)
		{
			printf("%-12s %-16s %6lld %8lld %10lld %12lld\n",
			       ctl_member_text(pool, "pool"), ctl_member_text(a, "account"),
			       ctl_member_int(a, "share"), ctl_member_int(a, "waiting"),
			       ctl_member_int(a, "in_flight"), ctl_member_int(a, "tokens"));
		}
	}
}

static void ctl_print_bound(json_t *list)
{
	size_t i;
	json_t *pool;

	printf("%-12s %-12s %-12s %9s %14s\n", "POOL", "MODEL", "HOME", "PIPELINES",
	       "BOUND-TOKENS/S");
	json_array_foreach(list, i, pool)
	{
		printf("%-12s %-12s %-12s %9lld %14lld\n", ctl_member_text(pool, "pool"),
		       ctl_member_text(pool, "model"), ctl_member_text(pool, "home"),
		       ctl_member_int(pool, "pipelines"), ctl_member_int(pool, "bound"));
	}
}

static void ctl_print_cost(json_t *list)
{
	size_t i;
	json_t *c;

	printf("%-12s %10s %10s %12s %14s %14s\n", "HOST", "UP-S", "CPU-MS", "RESIDENT-KB",
	       "BYTES-SENT", "BYTES-RECEIVED");
	json_array_foreach(list, i, c)
	{
		printf("%-12s %10lld %10lld %12lld %14lld %14lld\n", ctl_member_text(c, "host"),
		       ctl_member_int(c, "up_us") / 1000000, ctl_member_int(c, "cpu_us") / 1000,
		       ctl_member_int(c, "resident_kb"),
		       ctl_member_int(c, "bg_frame_bytes_sent_total") +
			       ctl_member_int(c, "bg_http_bytes_sent_total"),
		       ctl_member_int(c, "bg_frame_bytes_received_total") +
			       ctl_member_int(c, "bg_http_bytes_received_total"));
	}
}

static void ctl_print_config(json_t *list)
{
	const json_t *config = json_array_get(list, 0);

	printf("# revision %lld\n%s", ctl_member_int(config, "revision"),
	       ctl_member_text(config, "text"));
}

static const struct ctl_view *ctl_find_view(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(ctl_views); i++) {
		if (strcmp(ctl_views[i].name, name) == 0)
			return &ctl_views[i];
	}
	return NULL;
}

/*
 * Queries every listed host and merges the responses. Prints an error for a host without a valid
 * response and leaves it out.
 */
static json_t *ctl_query_hosts(const struct ctl *ctl, const struct ctl_view *view, json_t *hosts)
{
	json_t *all = json_array();
	size_t i;
	json_t *host;

	json_array_foreach(hosts, i, host)
	{
		json_t *body;
		long status = ctl_call(ctl, ctl_member_text(host, "operators"), "GET", view->path,
				       NULL, &body);

		if (status != 200) {
			fprintf(stderr, "bgctl: %s: no valid response (status %ld)\n",
				ctl_member_text(host, "name"), status);
			json_decref(body);
			continue;
		}
		if (view->member)
			json_array_extend(all, json_object_get(body, view->member));
		else
			json_array_append(all, body);
		json_decref(body);
	}
	return all;
}

int ctl_show(const struct ctl *ctl, const char *view_name)
{
	const struct ctl_view *view = ctl_find_view(view_name);
	gboolean single_call = strcmp(view_name, "hosts") == 0 || strcmp(view_name, "config") == 0;
	json_t *body;
	json_t *list;
	long status;

	if (!view) {
		fprintf(stderr, "bgctl: show: unknown view '%s'\n", view_name);
		return CTL_USAGE;
	}
	status = ctl_call(ctl, ctl->control, "GET", single_call ? view->path : "/v1/hosts", NULL,
			  &body);
	if (status != 200)
		return ctl_report_failure(view_name, status, body);
	list = single_call ? json_pack("[O]", body)
			   : ctl_query_hosts(ctl, view, json_object_get(body, "hosts"));
	if (ctl->json) {
		json_dumpf(list, stdout, JSON_INDENT(2));
		putchar('\n');
	} else {
		view->print(list);
	}
	json_decref(list);
	json_decref(body);
	return CTL_OK;
}
