#include "rt/rt.h"

#include <string.h>

enum {
	/* Seed of the hash by which a request id selects a service. */
	RT_SPLIT_SEED = 1,
	/* Number of endpoints that a request is sent to if the route states none. */
	RT_ATTEMPTS_DEFAULT = 1,
	/* Delay in ms between two availability zones for which the configuration has no delay. */
	RT_CROSS_ZONE_DEFAULT_MS = 1
};

static void rt_route_free(gpointer data);
static void rt_service_free(gpointer data);
static void rt_account_free(gpointer data);
static gint rt_compare_prefix_length(gconstpointer a, gconstpointer b);

struct rt_conf *rt_conf_new(int64_t version)
{
	struct rt_conf *conf = g_new0(struct rt_conf, 1);

	conf->version = version;
	conf->refs = 1;
	conf->routes = g_ptr_array_new_with_free_func(rt_route_free);
	conf->by_host = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      (GDestroyNotify)g_ptr_array_unref);
	conf->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, rt_service_free);
	conf->accounts = g_ptr_array_new_with_free_func(rt_account_free);
	conf->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return conf;
}

struct rt_conf *rt_conf_ref(struct rt_conf *conf)
{
	g_atomic_int_inc(&conf->refs);
	return conf;
}

void rt_conf_unref(struct rt_conf *conf)
{
	if (!conf || !g_atomic_int_dec_and_test(&conf->refs))
		return;
	g_hash_table_destroy(conf->keys);
	g_ptr_array_unref(conf->accounts);
	g_hash_table_destroy(conf->services);
	g_hash_table_destroy(conf->by_host);
	g_ptr_array_unref(conf->routes);
	g_free(conf);
}

static void rt_route_free(gpointer data)
{
	struct rt_route *route = data;

	for (guint i = 0; i < route->splits->len; i++)
		g_free(g_array_index(route->splits, struct rt_split, i).service);
	g_array_unref(route->splits);
	g_free(route->name);
	g_free(route->host);
	g_free(route->prefix);
	g_free(route);
}

static void rt_service_free(gpointer data)
{
	struct rt_service *service = data;
	GArray *kinds = service->engine.kinds;
	GArray *delays = service->engine.delays;

	for (guint i = 0; i < kinds->len; i++)
		g_free(g_array_index(kinds, struct rt_accelerator, i).name);
	for (guint i = 0; i < delays->len; i++) {
		g_free(g_array_index(delays, struct rt_delay, i).from);
		g_free(g_array_index(delays, struct rt_delay, i).to);
	}
	g_array_unref(kinds);
	g_array_unref(delays);
	g_array_unref(service->stream_priorities);
	g_free(service->name);
	g_free(service->health_path);
	g_free(service);
}

static void rt_account_free(gpointer data)
{
	struct rt_account *account = data;

	g_free(account->name);
	g_free(account);
}

struct rt_route *rt_add_route(struct rt_conf *conf, const char *name, const char *host,
			      const char *prefix)
{
	struct rt_route *route = g_new0(struct rt_route, 1);

	route->name = g_strdup(name);
	route->host = g_ascii_strdown(host, -1);
	route->prefix = g_strdup(prefix);
	route->attempts = RT_ATTEMPTS_DEFAULT;
	route->splits = g_array_new(FALSE, TRUE, sizeof(struct rt_split));
	g_ptr_array_add(conf->routes, route);
	return route;
}

void rt_add_split(struct rt_route *route, const char *service, int64_t weight)
{
	struct rt_split split = {g_strdup(service), weight};

	g_array_append_val(route->splits, split);
}

struct rt_service *rt_add_service(struct rt_conf *conf, const char *name)
{
	struct rt_service *service = g_new0(struct rt_service, 1);

	service->name = g_strdup(name);
	service->engine.kinds = g_array_new(FALSE, TRUE, sizeof(struct rt_accelerator));
	service->engine.delays = g_array_new(FALSE, TRUE, sizeof(struct rt_delay));
	service->stream_priorities = g_array_new(FALSE, TRUE, sizeof(int64_t));
	g_hash_table_replace(conf->services, service->name, service);
	return service;
}

struct rt_accelerator *rt_add_accelerator(struct rt_service *service, const char *name)
{
	struct rt_accelerator kind = {g_strdup(name), 0, 1, 1};

	g_array_append_val(service->engine.kinds, kind);
	return &g_array_index(service->engine.kinds, struct rt_accelerator,
			      service->engine.kinds->len - 1);
}

void rt_add_delay(struct rt_service *service, const char *from, const char *to, double ms)
{
	struct rt_delay delay = {g_strdup(from), g_strdup(to), ms};

	g_array_append_val(service->engine.delays, delay);
}

struct rt_account *rt_add_account(struct rt_conf *conf, const char *name)
{
	struct rt_account *account = g_new0(struct rt_account, 1);

	account->name = g_strdup(name);
	account->priority = RT_NO_PRIORITY;
	g_ptr_array_add(conf->accounts, account);
	return account;
}

void rt_add_key(struct rt_conf *conf, struct rt_account *account, const char *key)
{
	g_hash_table_replace(conf->keys, g_strdup(key), account);
}

/* Orders routes by descending length of their prefixes. */
static gint rt_compare_prefix_length(gconstpointer a, gconstpointer b)
{
	const struct rt_route *ra = *(struct rt_route *const *)a;
	const struct rt_route *rb = *(struct rt_route *const *)b;
	size_t la = strlen(ra->prefix);
	size_t lb = strlen(rb->prefix);

	return la < lb ? 1 : (la > lb ? -1 : 0);
}

/* Adds the priority to the service's list, in order, unless it is there already. */
static void rt_add_stream_priority(struct rt_service *service, int64_t priority)
{
	GArray *list = service->stream_priorities;
	int rank = rt_priority_rank(service, priority);

	if (rank < (int)list->len && g_array_index(list, int64_t, rank) == priority)
		return;
	g_array_insert_val(list, rank, priority);
}

/* Lowers the service's shortest pause target to that of the route, if it has one. */
static void rt_add_stream_gap(struct rt_service *service, int64_t gap_ms)
{
	if (gap_ms > 0 && (service->stream_gap_ms == 0 || gap_ms < service->stream_gap_ms))
		service->stream_gap_ms = gap_ms;
}

/* Notes at its services what a streaming route asks for. */
static void rt_index_streams(struct rt_conf *conf, const struct rt_route *route)
{
	if (route->type != RT_STREAMING)
		return;
	for (guint i = 0; i < route->splits->len; i++) {
		const char *name = g_array_index(route->splits, struct rt_split, i).service;
		struct rt_service *service = g_hash_table_lookup(conf->services, name);

		if (!service)
			continue;
		rt_add_stream_priority(service, route->priority);
		rt_add_stream_gap(service, route->target_gap_ms);
	}
}

void rt_conf_index_routes(struct rt_conf *conf)
{
	g_ptr_array_sort(conf->routes, rt_compare_prefix_length);
	for (guint i = 0; i < conf->routes->len; i++) {
		struct rt_route *route = conf->routes->pdata[i];
		GPtrArray *list = g_hash_table_lookup(conf->by_host, route->host);

		rt_index_streams(conf, route);
		if (!list) {
			list = g_ptr_array_new();
			g_hash_table_insert(conf->by_host, route->host, list);
		}
		g_ptr_array_add(list, route);
	}
}

const struct rt_route *rt_match_route(const struct rt_conf *conf, const char *host,
				      const char *path)
{
	char *name = g_ascii_strdown(host, (gssize)strcspn(host, ":"));
	GPtrArray *list = g_hash_table_lookup(conf->by_host, name);
	const struct rt_route *found = NULL;

	for (guint i = 0; list && !found && i < list->len; i++) {
		const struct rt_route *route = list->pdata[i];

		if (strncmp(path, route->prefix, strlen(route->prefix)) == 0)
			found = route;
	}
	g_free(name);
	return found;
}

const struct rt_account *rt_find_account(const struct rt_conf *conf, const char *key)
{
	return key ? g_hash_table_lookup(conf->keys, key) : NULL;
}

const struct rt_service *rt_select_service(const struct rt_conf *conf, const struct rt_route *route,
					   const char *request_id)
{
	const struct rt_split *splits = (const struct rt_split *)(void *)route->splits->data;
	int64_t total = 0;
	int64_t point;

	for (guint i = 0; i < route->splits->len; i++)
		total += splits[i].weight;
	if (total <= 0)
		return NULL;
	point = (int64_t)(str_hash(request_id, strlen(request_id), RT_SPLIT_SEED) %
			  (uint64_t)total);
	for (guint i = 0; i < route->splits->len; i++) {
		if (point < splits[i].weight)
			return g_hash_table_lookup(conf->services, splits[i].service);
		point -= splits[i].weight;
	}
	return NULL;
}

bool rt_is_layered(const struct rt_service *service)
{
	return service->engine.layers > 0;
}

const struct rt_accelerator *rt_find_accelerator(const struct rt_service *service, const char *name)
{
	const GArray *kinds = service->engine.kinds;

	for (guint i = 0; name && i < kinds->len; i++) {
		const struct rt_accelerator *kind = &g_array_index(kinds, struct rt_accelerator, i);

		if (strcmp(kind->name, name) == 0)
			return kind;
	}
	return NULL;
}

double rt_delay_ms(const struct rt_service *service, const char *from, const char *to)
{
	const GArray *delays = service->engine.delays;

	if (strcmp(from, to) == 0)
		return 0;
	for (guint i = 0; i < delays->len; i++) {
		const struct rt_delay *d = &g_array_index(delays, struct rt_delay, i);

		if (strcmp(d->from, from) == 0 && strcmp(d->to, to) == 0)
			return d->ms;
		if (strcmp(d->from, to) == 0 && strcmp(d->to, from) == 0)
			return d->ms;
	}
	return RT_CROSS_ZONE_DEFAULT_MS;
}

int rt_priority_rank(const struct rt_service *service, int64_t priority)
{
	const GArray *list = service->stream_priorities;
	guint rank = 0;

	while (rank < list->len && g_array_index(list, int64_t, rank) < priority)
		rank++;
	return (int)rank;
}

bool rt_may_repeat(const struct rt_route *route)
{
	if (route->type == RT_STREAMING)
		return route->resumable;
	return route->type == RT_IDEMPOTENT;
}
