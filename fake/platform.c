#include "base/err.h"
#include "base/log.h"
#include "base/prog.h"

#include <string.h>

/*
 * Simulates the platform: an append-only log with streams and offsets, the list of hosts, and the
 * weight store. POST /fault injects failures. All requests are handled in one thread.
 */
enum {
	PLATFORM_READ_MAX = 1000,     /* most records in one reply */
	PLATFORM_BODY_MAX = 8 << 20,  /* largest request body, in bytes */
	PLATFORM_TICK_US = 20000,     /* interval of the periodic timer, in microseconds */
	PLATFORM_WAIT_MAX_MS = 30000, /* longest wait of a reader, in milliseconds */
	USEC_PER_MSEC = 1000,
	USEC_PER_SEC = 1000000
};

enum platform_log_fault {
	PLATFORM_LOG_OK,
	PLATFORM_LOG_OUT,    /* requests are answered with status 503 */
	PLATFORM_LOG_SILENT, /* requests are not answered until the fault ends */
	PLATFORM_LOG_SLOW,   /* requests are delayed by fault_ms */
	PLATFORM_LOG_LOSE,   /* appends take effect, but the connection is closed without a reply */
	PLATFORM_LOG_FAULT_COUNT
};

struct platform_settings {
	char *listen;		    /* listening address */
	int64_t retention_s;	    /* age at which log records expire, in seconds */
	int64_t host_ttl_ms;	    /* age at which host registrations expire, in milliseconds */
	int64_t host_lag_ms;	    /* minimum age at which the host list is refreshed, in ms */
	int64_t weight_bytes_per_s; /* transfer rate of the weight store, in bytes per second */
};

/* Record of a log stream. */
struct platform_record {
	int64_t at_us; /* time of the append, in microseconds */
	char *data;
	size_t len;
};

struct platform_stream {
	GQueue *records; /* struct platform_record, oldest first */
	int64_t first;	 /* offset of the oldest record kept */
};

struct platform_host {
	json_t *info;	 /* registration as sent by the host, with its name */
	int64_t seen_us; /* time of the last registration, in microseconds */
};

/* Request of a reader that waits for the next record, or request with a delayed reply. */
struct platform_wait {
	struct hd_call *call;
	char *stream;	  /* name of the stream or weights; NULL if a fault delays the request */
	int64_t from;	  /* offset of the first record requested */
	int64_t until_us; /* end of the wait, in microseconds; INT64_MAX: end of the fault */
};

struct platform {
	struct platform_settings settings;
	struct loop loop;
	struct hd *hd;
	struct tmr tick;
	GHashTable *streams;	 /* name -> struct platform_stream */
	GHashTable *hosts;	 /* name -> struct platform_host */
	GPtrArray *waits;	 /* struct platform_wait of readers */
	GPtrArray *delayed;	 /* struct platform_wait of delayed replies */
	json_t *host_list;	 /* host list as of the last refresh */
	int64_t host_version;	 /* version of host_list */
	int64_t host_list_us;	 /* time of the last refresh of host_list, in microseconds */
	int64_t weights_free_us; /* end of the last weight transfer, in microseconds */
	enum platform_log_fault fault;
	int64_t fault_ms;  /* delay of PLATFORM_LOG_SLOW, in milliseconds */
	bool hosts_frozen; /* host_list is not refreshed */
	uint64_t appends;  /* number of records appended since the start */
};

typedef void (*platform_fn)(struct platform *p, struct hd_call *call, const char *rest);

struct platform_route {
	const char *method;
	const char *prefix;
	platform_fn fn;
};

/* Request that an HTTP thread posts to the event loop. */
struct platform_posted_call {
	struct platform *p;
	struct hd_call *call;
};

static void platform_append(struct platform *p, struct hd_call *call, const char *rest);
static void platform_read(struct platform *p, struct hd_call *call, const char *rest);
static void platform_hosts(struct platform *p, struct hd_call *call, const char *rest);
static void platform_host_put(struct platform *p, struct hd_call *call, const char *rest);
static void platform_host_delete(struct platform *p, struct hd_call *call, const char *rest);
static void platform_weights(struct platform *p, struct hd_call *call, const char *rest);
static void platform_set_fault(struct platform *p, struct hd_call *call, const char *rest);
static void platform_stats(struct platform *p, struct hd_call *call, const char *rest);

#define PLATFORM_OFF(field) offsetof(struct platform_settings, field)

static const struct settings_item platform_items[] = {
	{"platform", "listen", SETTINGS_ADDR, PLATFORM_OFF(listen), NULL, 0, 0},
	{"platform", "retention_s", SETTINGS_INT, PLATFORM_OFF(retention_s), "3600", 1, 1000000},
	{"platform", "host_ttl_ms", SETTINGS_INT, PLATFORM_OFF(host_ttl_ms), "5000", 10, 1000000},
	{"platform", "host_lag_ms", SETTINGS_INT, PLATFORM_OFF(host_lag_ms), "500", 0, 1000000},
	{"platform", "weight_bytes_per_s", SETTINGS_INT, PLATFORM_OFF(weight_bytes_per_s),
	 "1000000000", 1, INT64_MAX},
};

static const struct platform_route platform_routes[] = {
	{"POST", "/log/", platform_append},	     {"GET", "/log/", platform_read},
	{"GET", "/hosts", platform_hosts},	     {"PUT", "/hosts/", platform_host_put},
	{"DELETE", "/hosts/", platform_host_delete}, {"GET", "/weights/", platform_weights},
	{"POST", "/fault", platform_set_fault},	     {"GET", "/stats", platform_stats},
};

static const char *const platform_fault_names[PLATFORM_LOG_FAULT_COUNT] = {
	[PLATFORM_LOG_OK] = "ok",	  [PLATFORM_LOG_OUT] = "out",
	[PLATFORM_LOG_SILENT] = "silent", [PLATFORM_LOG_SLOW] = "slow",
	[PLATFORM_LOG_LOSE] = "lose",
};

static void platform_record_free(gpointer data)
{
	struct platform_record *record = data;

	g_free(record->data);
	g_free(record);
}

static struct platform_stream *platform_stream(struct platform *p, const char *name)
{
	struct platform_stream *stream = g_hash_table_lookup(p->streams, name);

	if (!stream) {
		stream = g_new0(struct platform_stream, 1);
		stream->records = g_queue_new();
		g_hash_table_insert(p->streams, g_strdup(name), stream);
	}
	return stream;
}

static int64_t platform_end_offset(const struct platform_stream *stream)
{
	return stream->first + g_queue_get_length(stream->records);
}

static json_t *platform_read_json(const struct platform_stream *stream, int64_t from)
{
	json_t *records = json_array();
	int64_t offset = MAX(from, stream->first);
	const GList *l = g_queue_peek_nth_link(stream->records, (guint)(offset - stream->first));

	for (; l && json_array_size(records) < PLATFORM_READ_MAX; l = l->next, offset++) {
		const struct platform_record *record = l->data;

		json_array_append_new(records,
				      json_pack("{s:I, s:s%}", "offset", (json_int_t)offset, "data",
						record->data, record->len));
	}
	return json_pack("{s:I, s:I, s:o}", "first", (json_int_t)stream->first, "end",
			 (json_int_t)platform_end_offset(stream), "records", records);
}

static void platform_reply_records(struct platform *p, struct hd_call *call, const char *stream,
				   int64_t from)
{
	prog_reply_json(call, 200, platform_read_json(platform_stream(p, stream), from));
}

static void platform_wait_free(gpointer data)
{
	struct platform_wait *wait = data;

	g_free(wait->stream);
	g_free(wait);
}

/* Adds the request to the list; it is answered when its wait ends. */
static void platform_delay_reply(GPtrArray *list, struct hd_call *call, const char *stream,
				 int64_t from, int64_t until_us)
{
	struct platform_wait *wait = g_new0(struct platform_wait, 1);

	wait->call = call;
	wait->stream = g_strdup(stream);
	wait->from = from;
	wait->until_us = until_us;
	g_ptr_array_add(list, wait);
}

/* Answers readers for which a record has been appended or whose wait has ended. */
static void platform_answer_waits(struct platform *p)
{
	int64_t now = tmr_now();

	for (guint i = p->waits->len; i-- > 0;) {
		struct platform_wait *wait = p->waits->pdata[i];
		const struct platform_stream *stream = platform_stream(p, wait->stream);

		if (platform_end_offset(stream) <= wait->from && now < wait->until_us)
			continue;
		platform_reply_records(p, wait->call, wait->stream, wait->from);
		g_ptr_array_remove_index_fast(p->waits, i);
	}
}

static void platform_append(struct platform *p, struct hd_call *call, const char *rest)
{
	struct platform_stream *stream = platform_stream(p, rest);
	struct platform_record *record = g_new0(struct platform_record, 1);
	const char *body = hd_body(call, &record->len);

	record->data = g_memdup2(body, record->len);
	record->at_us = tmr_now();
	g_queue_push_tail(stream->records, record);
	p->appends++;
	platform_answer_waits(p);
	if (p->fault == PLATFORM_LOG_LOSE) {
		hd_abort(call);
		hd_unref(call);
		return;
	}
	prog_reply_json(call, 200,
			json_pack("{s:I}", "offset", (json_int_t)platform_end_offset(stream) - 1));
}

static int64_t platform_query_number(struct hd_call *call, const char *name)
{
	const char *text = hd_query(call, name);

	return text ? g_ascii_strtoll(text, NULL, 10) : 0;
}

static void platform_read(struct platform *p, struct hd_call *call, const char *rest)
{
	int64_t from = platform_query_number(call, "from");
	int64_t wait_ms = MIN(platform_query_number(call, "wait_ms"), PLATFORM_WAIT_MAX_MS);

	if (wait_ms > 0 && platform_end_offset(platform_stream(p, rest)) <= from)
		platform_delay_reply(p->waits, call, rest, from,
				     tmr_now() + wait_ms * USEC_PER_MSEC);
	else
		platform_reply_records(p, call, rest, from);
}

static void platform_host_free(gpointer data)
{
	struct platform_host *host = data;

	json_decref(host->info);
	g_free(host);
}

static void platform_refresh_hosts(struct platform *p)
{
	GHashTableIter iter;
	gpointer value;
	int64_t now = tmr_now();
	json_t *old = json_copy(p->host_list);

	json_array_clear(p->host_list);
	g_hash_table_iter_init(&iter, p->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct platform_host *host = value;

		if (now - host->seen_us < p->settings.host_ttl_ms * USEC_PER_MSEC)
			json_array_append(p->host_list, host->info);
	}
	p->host_list_us = now;
	if (!json_equal(old, p->host_list))
		p->host_version++;
	json_decref(old);
}

/* Omits the list if the version in the query is the current one. */
static void platform_hosts(struct platform *p, struct hd_call *call, const char *rest)
{
	(void)rest;
	if (!p->hosts_frozen &&
	    tmr_now() - p->host_list_us >= p->settings.host_lag_ms * USEC_PER_MSEC)
		platform_refresh_hosts(p);
	if (platform_query_number(call, "version") == p->host_version && p->host_version > 0)
		prog_reply_json(call, 200,
				json_pack("{s:I}", "version", (json_int_t)p->host_version));
	else
		prog_reply_json(call, 200,
				json_pack("{s:I, s:O}", "version", (json_int_t)p->host_version,
					  "hosts", p->host_list));
}

static void platform_host_put(struct platform *p, struct hd_call *call, const char *rest)
{
	struct platform_host *host;
	size_t len;
	const char *body = hd_body(call, &len);
	json_t *info = json_loadb(body, len, 0, NULL);

	if (!json_is_object(info)) {
		json_decref(info);
		prog_reply_json(call, 400, json_pack("{s:s}", "error", "expected an object"));
		return;
	}
	host = g_new0(struct platform_host, 1);
	host->info = info;
	host->seen_us = tmr_now();
	json_object_set_new(host->info, "name", json_string(rest));
	g_hash_table_replace(p->hosts, g_strdup(rest), host);
	prog_reply_json(call, 200, json_object());
}

static void platform_host_delete(struct platform *p, struct hd_call *call, const char *rest)
{
	g_hash_table_remove(p->hosts, rest);
	prog_reply_json(call, 200, json_object());
}

/* Queues a transfer from the weight store, which performs one at a time; replies at its end. */
static void platform_weights(struct platform *p, struct hd_call *call, const char *rest)
{
	int64_t bytes = MAX(platform_query_number(call, "bytes"), 1);
	int64_t start = MAX(p->weights_free_us, tmr_now());

	p->weights_free_us = start + bytes * USEC_PER_SEC / p->settings.weight_bytes_per_s;
	platform_delay_reply(p->delayed, call, rest, 0, p->weights_free_us);
}

static void platform_set_fault(struct platform *p, struct hd_call *call, const char *rest)
{
	size_t len;
	const char *body = hd_body(call, &len);
	json_t *json = json_loadb(body, len, 0, NULL);
	const char *log = json_string_value(json_object_get(json, "log"));

	(void)rest;
	for (int i = 0; log && i < PLATFORM_LOG_FAULT_COUNT; i++) {
		if (strcmp(log, platform_fault_names[i]) == 0)
			p->fault = (enum platform_log_fault)i;
	}
	if (json_object_get(json, "ms"))
		p->fault_ms = json_integer_value(json_object_get(json, "ms"));
	if (json_object_get(json, "hosts_frozen"))
		p->hosts_frozen = json_is_true(json_object_get(json, "hosts_frozen"));
	json_decref(json);
	log_msg(LOG_INFO, "fault log=%s ms=%d hosts_frozen=%d", platform_fault_names[p->fault],
		(int)p->fault_ms, p->hosts_frozen);
	prog_reply_json(call, 200, json_object());
}

static void platform_stats(struct platform *p, struct hd_call *call, const char *rest)
{
	(void)rest;
	prog_reply_json(call, 200, json_pack("{s:I}", "appends", (json_int_t)p->appends));
}

static void platform_dispatch(struct platform *p, struct hd_call *call)
{
	for (size_t i = 0; i < G_N_ELEMENTS(platform_routes); i++) {
		const struct platform_route *route = &platform_routes[i];
		const char *rest = prog_path_suffix(hd_path(call), route->prefix);

		if (rest && strcmp(hd_method(call), route->method) == 0) {
			route->fn(p, call, rest);
			return;
		}
	}
	prog_reply_json(call, 404, json_pack("{s:s}", "error", "no such path"));
}

static void platform_on_call(void *ctx)
{
	struct platform_posted_call *posted = ctx;
	struct platform *p = posted->p;
	struct hd_call *call = posted->call;
	bool is_log = g_str_has_prefix(hd_path(call), "/log/");

	g_free(posted);
	if (is_log && p->fault == PLATFORM_LOG_OUT) {
		prog_reply_json(call, 503, json_pack("{s:s}", "error", "out"));
	} else if (is_log && p->fault == PLATFORM_LOG_SILENT) {
		platform_delay_reply(p->delayed, call, NULL, 0, INT64_MAX);
	} else if (is_log && p->fault == PLATFORM_LOG_SLOW) {
		platform_delay_reply(p->delayed, call, NULL, 0,
				     tmr_now() + p->fault_ms * USEC_PER_MSEC);
	} else {
		platform_dispatch(p, call);
	}
}

static void platform_handler(void *ctx, struct hd_call *call)
{
	struct platform_posted_call *posted = g_new(struct platform_posted_call, 1);

	posted->p = ctx;
	posted->call = call;
	loop_post(&posted->p->loop, platform_on_call, posted);
}

static void platform_release_delayed(struct platform *p, int64_t now_us)
{
	for (guint i = p->delayed->len; i-- > 0;) {
		struct platform_wait *wait = p->delayed->pdata[i];
		struct hd_call *call = wait->call;
		bool weights = wait->stream != NULL;

		if (now_us < wait->until_us &&
		    (wait->until_us != INT64_MAX || p->fault == PLATFORM_LOG_SILENT))
			continue;
		g_ptr_array_remove_index_fast(p->delayed, i);
		if (weights)
			prog_reply_json(call, 200, json_object());
		else
			platform_dispatch(p, call);
	}
}

static void platform_expire_records(struct platform *p, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, p->streams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct platform_stream *stream = value;
		const struct platform_record *oldest;

		while ((oldest = g_queue_peek_head(stream->records)) &&
		       now_us - oldest->at_us > p->settings.retention_s * USEC_PER_SEC) {
			platform_record_free(g_queue_pop_head(stream->records));
			stream->first++;
		}
	}
}

static void platform_on_tick(void *ctx, int64_t now_us)
{
	struct platform *p = ctx;

	platform_answer_waits(p);
	platform_release_delayed(p, now_us);
	platform_expire_records(p, now_us);
	loop_start_timer(&p->loop, &p->tick, PLATFORM_TICK_US, platform_on_tick, p);
}

static void platform_stop(void *ctx)
{
	struct platform *p = ctx;

	loop_stop(&p->loop);
}

int main(int argc, char **argv)
{
	/* Static, because the HTTP library's threads may still post a call while main() returns. */
	static struct platform p;
	struct hd_config config = {
		.threads = 2,
		.body_max = PLATFORM_BODY_MAX,
		.pending_max = PLATFORM_BODY_MAX,
		.handler = platform_handler,
		.ctx = &p,
	};

	prog_start(&argc, &argv, "Simulator of the platform: log, host list, weight store.",
		   platform_items, G_N_ELEMENTS(platform_items), &p.settings);
	if (loop_init(&p.loop) < 0)
		return PROG_EXIT_FAILED;
	prog_on_stop(&p.loop, platform_stop, &p);
	p.streams = g_hash_table_new(g_str_hash, g_str_equal);
	p.hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, platform_host_free);
	p.waits = g_ptr_array_new_with_free_func(platform_wait_free);
	p.delayed = g_ptr_array_new_with_free_func(platform_wait_free);
	p.host_list = json_array();
	config.addr = p.settings.listen;
	p.hd = hd_start(&config);
	if (!p.hd) {
		log_msg(LOG_ERR, "listen_failed addr=%s", p.settings.listen);
		return PROG_EXIT_FAILED;
	}
	log_msg(LOG_INFO, "started listen=%s", p.settings.listen);
	loop_start_timer(&p.loop, &p.tick, PLATFORM_TICK_US, platform_on_tick, &p);
	loop_run(&p.loop);
	log_msg(LOG_INFO, "stopped");
	return PROG_EXIT_OK;
}
