#include "router/rc.h"
#include "base/err.h"
#include "base/jl.h"
#include "base/met.h"
#include "base/zip.h"

#include <string.h>
#include <time.h>

enum {
	RC_TICK_MS = 100,
	/*
	 * The group's member that is silent for so long loses what it leads. Three joins may be
	 * lost before that.
	 */
	RC_GROUP_TTL_MS = 4000,
	RC_JOIN_MS = 1200,
	RC_CALL_MS = 1000,
	RC_CONNECT_MS = 500,
	RC_LIST_RETRY_MS = 2000,
	RC_LOADS_MS = 5000, /* after which paces that are not as usual are handed on again */
	RC_NEWS_MS = 500,
	RC_HOPS_MAX = 5, /* follower, its reader, the other readers, their followers */
	HTTP_OK = 200
};

static void rc_on_tick(void *ctx, int64_t now_us);
static void rc_join(void *ctx, int64_t now_us);
static void rc_on_joined(void *ctx, int status, int err, bool sent, const char *body, size_t len);
static void rc_on_listed(void *ctx, int status, int err, bool sent, const char *body, size_t len);
static void rc_on_left(void *ctx, int status, int err, bool sent, const char *body, size_t len);
static void rc_post_view(struct rc *rc);
static void rc_list_self(struct rc *rc, bool listed);
static void rc_host_free(gpointer data);
static void rc_list_again(void *ctx, int64_t now_us);
static void rc_leave(struct rc *rc);

static const struct hc_ops rc_join_ops = {.on_done = rc_on_joined};
static const struct hc_ops rc_leave_ops = {.on_done = rc_on_left};
static const struct hc_ops rc_list_ops = {.on_done = rc_on_listed};

int64_t rc_boot_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * TMR_US_PER_S + ts.tv_nsec / 1000;
}

char *rc_url(const struct rc *rc, char *path)
{
	char *url = g_strdup_printf("http://%s%s", rc->router->settings.store, path);

	g_free(path);
	return url;
}

struct rc *rc_start(struct router *router, struct loop *loop)
{
	struct rc *rc = g_new0(struct rc, 1);

	rc->router = router;
	rc->loop = loop;
	rc->hc = hc_new(loop);
	lead_init(&rc->lead, tmr_ms(RC_GROUP_TTL_MS));
	rc->round.heard_us = tmr_now();
	rc->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, rc_host_free);
	ep_list_init(&rc->endpoints);
	rc->conf_packed = g_byte_array_new();
	rc->seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	rc->dead = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	rc->loads = rc_loads_new();
	rc->polled = rc_loads_new();
	rc->placer = placer_new(rc);
	rc->poll = poll_new(rc);
	rc->feed = feed_new(rc);
	rc->follow = follow_new(rc);
	rc_set_direct(rc, true);
	rc_list_self(rc, true);
	loop_after(loop, &rc->ticker, tmr_ms(RC_TICK_MS), rc_on_tick, rc);
	return rc;
}

void rc_finish(struct rc *rc)
{
	rc_set_direct(rc, false);
	rc_set_candidate(rc, false);
	tmr_cancel(&rc->loop->tmr, &rc->ticker);
	tmr_cancel(&rc->loop->tmr, &rc->list_timer);
	follow_free(rc->follow);
	feed_free(rc->feed);
	placer_free(rc->placer);
	poll_free(rc->poll);
	g_array_unref(rc->loads);
	g_array_unref(rc->polled);
	hc_free(rc->hc);
	ep_list_finish(&rc->endpoints);
	g_hash_table_destroy(rc->hosts);
	g_hash_table_destroy(rc->seen);
	g_hash_table_destroy(rc->dead);
	g_byte_array_unref(rc->conf_packed);
	rt_conf_unref(rc->conf);
	g_free(rc);
}

void rc_stop(struct rc *rc)
{
	rc->stopping = true;
	rc_leave(rc);
	rc_list_self(rc, false);
}

void rc_view_due(struct rc *rc)
{
	rc->view_due = true;
}

void rc_first_view(struct rc *rc)
{
	if (!rc->view_whole && rc->conf && rc->listed)
		rc_post_view(rc);
}

void rc_set_direct(struct rc *rc, bool direct)
{
	if (direct == rc->direct)
		return;
	rc->direct = direct;
	if (direct)
		sf_start(rc);
	else
		sf_stop(rc);
}

void rc_set_candidate(struct rc *rc, bool candidate)
{
	if (candidate == rc->candidate)
		return;
	rc->candidate = candidate;
	if (candidate) {
		loop_after(rc->loop, &rc->join_timer, 0, rc_join, rc);
		return;
	}
	tmr_cancel(&rc->loop->tmr, &rc->join_timer);
	if (rc->join)
		hc_cancel(rc->join);
	rc->join = NULL;
	rc_leave(rc);
}

static void rc_log_conf(const struct rt_conf *conf, int64_t before, const char *from)
{
	jl_begin(JL_KEEP, "configuration");
	jl_int("version", conf->version);
	jl_int("before", before);
	jl_str("from", from);
	jl_int("routes", conf->routes->len);
	jl_int("accounts", conf->accounts->len);
	jl_end();
}

static void rc_log_not_packed(const struct rt_conf *conf)
{
	jl_begin(JL_KEEP, "configuration_not_packed");
	jl_int("version", conf->version);
	jl_end();
}

void rc_take_conf(struct rc *rc, struct str text, const char *from)
{
	char *error = NULL;
	struct rt_conf *conf = rc->router->seam->decl.read_conf(text, &error);
	int64_t before = rc->conf ? rc->conf->version : -1;

	if (!conf) {
		jl_begin(JL_KEEP, "configuration_unreadable");
		jl_str("from", from);
		jl_str("error", error);
		jl_end();
		g_free(error);
		return;
	}
	if (conf->version <= before) {
		rt_conf_unref(conf);
		return;
	}
	rc_log_conf(conf, before, from);
	rt_conf_unref(rc->conf);
	rc->conf = conf;
	/* 1,500 routes are 400 KB, which took seconds to a third of all hosts as they are. */
	if (zip_pack(text.data, text.len, rc->conf_packed) < 0)
		rc_log_not_packed(conf);
	rc->conf_len = text.len;
	rc_view_due(rc);
}

void rc_take_endpoint(struct rc *rc, int64_t offset, const char *id, struct str text)
{
	char *error = NULL;
	struct ep_rec *rec = NULL;

	if (text.data) {
		rec = rc->router->seam->decl.read_endpoint(id, text, &error);
		if (!rec) {
			jl_begin(JL_KEEP, "endpoint_unreadable");
			jl_str("endpoint", id);
			jl_str("error", error);
			jl_end();
			g_free(error);
			return;
		}
		rec->text = str_dup(text);
	}
	feed_on_record(rc->feed, offset, id, text);
	ep_on_record(&rc->endpoints, offset, id, rec, tmr_now());
}

static void rc_host_free(gpointer data)
{
	struct rc_host *host = data;

	g_free(host->addr);
	g_free(host);
}

/* The text is "ADDRESS CAPACITY". */
void rc_take_host(struct rc *rc, const char *name, struct str text)
{
	const struct rc_host *before = g_hash_table_lookup(rc->hosts, name);
	char *copy = text.data ? str_dup(text) : NULL;
	char **words = copy ? g_strsplit(copy, " ", 2) : NULL;
	struct rc_host *host;

	g_free(copy);
	if (!words || !words[0]) {
		g_strfreev(words);
		if (!g_hash_table_remove(rc->hosts, name))
			return;
	} else {
		host = g_new0(struct rc_host, 1);
		host->addr = g_strdup(words[0]);
		host->capacity = words[1] ? g_ascii_strtod(words[1], NULL) : 0;
		g_strfreev(words);
		if (before && strcmp(before->addr, host->addr) == 0) {
			rc_host_free(host);
			return;
		}
		g_hash_table_replace(rc->hosts, g_strdup(name), host);
	}
	rc->hosts_version++;
	follow_on_hosts(rc->follow);
	rc_view_due(rc);
}

static void rc_load_clear(gpointer data)
{
	g_free(((struct router_load *)data)->endpoint);
}

GArray *rc_loads_new(void)
{
	GArray *loads = g_array_new(FALSE, TRUE, sizeof(struct router_load));

	g_array_set_clear_func(loads, rc_load_clear);
	return loads;
}

void rc_take_loads(struct rc *rc, GArray *loads)
{
	g_array_unref(rc->loads);
	rc->loads = loads;
	rc->loads_version++;
	rc->loads_us = tmr_now();
	tf_post_loads(rc->router->tf, loads);
	feed_flush(rc->feed);
}

static GHashTable *rc_index_loads(const GArray *loads)
{
	GHashTable *index = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < loads->len; i++) {
		struct router_load *load = &g_array_index(loads, struct router_load, i);

		g_hash_table_insert(index, load->endpoint, load);
	}
	return index;
}

/* old: NULL is an engine that nothing was heard of, which is taken to be as usual. */
static bool rc_load_differs(const struct router_load *old, const struct router_load *load)
{
	int full = MAX(load->full, (int)ROUTER_FULL_NEWS);
	int old_full = old ? MAX(old->full, (int)ROUTER_FULL_NEWS) : ROUTER_FULL_NEWS;

	return (old ? old->pace : 1) != load->pace || old_full != full;
}

/* What the others should hear: what has changed, and after a while again what is not as usual. */
static GArray *rc_news_of_round(const struct rc *rc, const GArray *loads, bool again, bool *changed)
{
	GHashTable *before = rc_index_loads(rc->polled);
	GArray *news = rc_loads_new();

	*changed = false;
	for (guint i = 0; i < loads->len; i++) {
		const struct router_load *load = &g_array_index(loads, struct router_load, i);
		const struct router_load *old = g_hash_table_lookup(before, load->endpoint);
		bool differs = rc_load_differs(old, load);
		struct router_load copy = *load;

		if (!differs && !(again && rc_load_differs(NULL, load)))
			continue;
		*changed = *changed || differs;
		copy.endpoint = g_strdup(load->endpoint);
		g_array_append_val(news, copy);
	}
	g_hash_table_destroy(before);
	return news;
}

/*
 * Engines hardly ever change their pace, and nothing else of a report is used by other hosts. Whole
 * rounds were the most of what a feed carried: 16 MB a second at a reader of 300 hosts with 3,000
 * engines, and changes of the configuration waited behind them for 5 s.
 */
void rc_take_round(struct rc *rc, GArray *loads)
{
	bool again = tmr_now() - rc->loads_us >= tmr_ms(RC_LOADS_MS);
	bool changed;
	GArray *news = rc_news_of_round(rc, loads, again, &changed);

	rank_round_done(&rc->round);
	g_array_unref(rc->polled);
	rc->polled = loads;
	if (news->len > 0 && (changed || again))
		rc_take_loads(rc, news);
	else
		g_array_unref(news);
}

struct rc_suspect_msg {
	struct rc *rc;
	char *endpoint;
	char *why;
	int64_t for_ms;
};

static void rc_take_own_suspect(void *ctx)
{
	struct rc_suspect_msg *msg = ctx;
	struct rc_suspect suspect = {msg->endpoint, msg->for_ms, msg->why, 0};

	rc_on_suspect(msg->rc, &suspect, NULL);
	g_free(msg->endpoint);
	g_free(msg->why);
	g_free(msg);
}

void rc_post_suspect(struct rc *rc, const char *endpoint, int64_t for_ms, const char *why)
{
	struct rc_suspect_msg *msg = g_new0(struct rc_suspect_msg, 1);

	msg->rc = rc;
	msg->endpoint = g_strdup(endpoint);
	msg->why = g_strdup(why);
	msg->for_ms = for_ms;
	loop_post(rc->loop, rc_take_own_suspect, msg);
}

static void rc_set_time(GHashTable *table, const char *endpoint, int64_t time_us)
{
	int64_t *value = g_hash_table_lookup(table, endpoint);

	if (!value) {
		value = g_new0(int64_t, 1);
		g_hash_table_insert(table, g_strdup(endpoint), value);
	}
	*value = time_us;
}

/* The same news may come by two ways; each is passed on once in a while. */
static bool rc_is_news(struct rc *rc, const char *endpoint, int64_t now_us)
{
	const int64_t *last = g_hash_table_lookup(rc->seen, endpoint);

	if (last && now_us - *last < tmr_ms(RC_NEWS_MS))
		return false;
	rc_set_time(rc->seen, endpoint, now_us);
	return true;
}

bool rc_polls(const struct rc *rc)
{
	return rank_round_is_ours(&rc->round, &rc->rank, tmr_now());
}

bool rc_is_dead(const struct rc *rc, const char *endpoint, int64_t now_us)
{
	const int64_t *until = g_hash_table_lookup(rc->dead, endpoint);

	return until && now_us < *until;
}

void rc_on_suspect(struct rc *rc, const struct rc_suspect *suspect, const void *source)
{
	struct rc_suspect passed = *suspect;

	if (!rc_is_news(rc, suspect->endpoint, tmr_now()))
		return;
	if (strcmp(suspect->why, RC_NO_REPORT) == 0) {
		rc_set_time(rc->dead, suspect->endpoint, tmr_now() + tmr_ms(suspect->for_ms));
		placer_on_change(rc->placer);
	}
	if (source)
		tf_post_suspect(rc->router->tf, suspect->endpoint, suspect->for_ms, suspect->why);
	if (++passed.hops > RC_HOPS_MAX)
		return;
	feed_send_suspect(rc->feed, &passed, source);
	follow_send_suspect(rc->follow, &passed, source);
}

static void rc_on_tick(void *ctx, int64_t now_us)
{
	struct rc *rc = ctx;

	if (ep_on_time(&rc->endpoints, now_us))
		feed_on_listing(rc->feed);
	follow_on_tick(rc->follow, now_us);
	placer_on_tick(rc->placer, now_us);
	poll_on_tick(rc->poll, now_us);
	if (rc->view_due || rc->endpoints.changed)
		rc_post_view(rc);
	feed_flush(rc->feed);
	state_gauges(rc, now_us);
	loop_after(rc->loop, &rc->ticker, tmr_ms(RC_TICK_MS), rc_on_tick, rc);
}

static void rc_post_view(struct rc *rc)
{
	struct router_view *view = g_new0(struct router_view, 1);

	rc->view_due = false;
	rc->endpoints.changed = false;
	view->conf = rc->conf ? rt_conf_ref(rc->conf) : NULL;
	view->endpoints = ep_snapshot(&rc->endpoints);
	view->hosts = MAX((int)g_hash_table_size(rc->hosts), 1);
	view->fence = rc->lead.newest;
	view->listed = rc->listed;
	rc->view_whole = view->conf && view->listed;
	placer_on_change(rc->placer);
	tf_post_view(rc->router->tf, view);
}

/* A call to the store with a body; path and body are taken over. */
static struct hc_call *rc_post(struct rc *rc, char *path, char *body, size_t len,
			       const struct hc_ops *ops)
{
	const char *headers[] = {"Content-Type: application/json", NULL};
	char *url = rc_url(rc, path);
	struct hc_request request = {
		.method = "POST",
		.url = url,
		.headers = headers,
		.body = body,
		.body_len = len,
		.connect_ms = RC_CONNECT_MS,
		.total_ms = RC_CALL_MS,
	};
	struct hc_call *call = hc_start(rc->hc, &request, ops, rc);

	g_free(url);
	g_free(body);
	return call;
}

/* Puts this host into the store's list of hosts, or out of it. */
static void rc_list_self(struct rc *rc, bool listed)
{
	const struct router_settings *s = &rc->router->settings;
	const struct seam_store *store = &rc->router->seam->store;
	const char *addr = s->control_known_as[0] ? s->control_known_as : s->control;
	char *text = g_strdup_printf("%s %.3f", addr, s->link_mbps * s->cores);
	GString *record = store->make_record(s->name, listed ? text : NULL);
	size_t len = record->len;

	g_free(text);
	rc_post(rc, store->append_path(SEAM_HOSTS), g_string_free(record, FALSE), len,
		&rc_list_ops);
}

/* A lead that nobody uses would stay with this host until its place lapses. */
static void rc_leave(struct rc *rc)
{
	const struct seam_store *store = &rc->router->seam->store;
	char *body = store->make_leave(rc->router->settings.name);

	if (rc->lead.joined_us > 0)
		rc_post(rc, store->leave_path(), body, strlen(body), &rc_leave_ops);
	else
		g_free(body);
	lead_on_left(&rc->lead);
}

static void rc_on_left(void *ctx, int status, int err, bool sent, const char *body, size_t len)
{
	(void)ctx;
	(void)sent;
	(void)body;
	(void)len;
	if (status == HTTP_OK)
		return;
	jl_begin(JL_KEEP, "group_not_left");
	jl_int("status", status);
	jl_str("error", err < 0 ? base_strerror(err) : NULL);
	jl_end();
}

static void rc_on_listed(void *ctx, int status, int err, bool sent, const char *body, size_t len)
{
	struct rc *rc = ctx;

	(void)sent;
	(void)body;
	(void)len;
	if (status == HTTP_OK)
		return;
	if (!rc->stopping)
		loop_after(rc->loop, &rc->list_timer, tmr_ms(RC_LIST_RETRY_MS), rc_list_again, rc);
	jl_begin(JL_KEEP, "host_not_listed");
	jl_int("status", status);
	jl_str("error", err < 0 ? base_strerror(err) : NULL);
	jl_end();
}

static void rc_list_again(void *ctx, int64_t now_us)
{
	struct rc *rc = ctx;

	(void)now_us;
	rc_list_self(rc, true);
}

/* Joins the group of hosts, or stays in it; the store says whether this host leads. */
static void rc_join(void *ctx, int64_t now_us)
{
	struct rc *rc = ctx;
	const struct seam_store *store = &rc->router->seam->store;
	char *body;

	(void)now_us;
	if (rc->stopping)
		return;
	body = store->make_join(rc->router->settings.name, RC_GROUP_TTL_MS,
				MAX(rc->lead.newest, 0));
	lead_on_join(&rc->lead, rc_boot_us());
	rc->join = rc_post(rc, store->join_path(), body, strlen(body), &rc_join_ops);
}

static void rc_on_joined(void *ctx, int status, int err, bool sent, const char *body, size_t len)
{
	struct rc *rc = ctx;
	int64_t generation = rc->lead.newest;
	bool leader = false;

	(void)err;
	(void)sent;
	rc->join = NULL;
	loop_after(rc->loop, &rc->join_timer, tmr_ms(RC_JOIN_MS), rc_join, rc);
	if (status != HTTP_OK ||
	    rc->router->seam->store.parse_join(str_make(body, len), &generation, &leader) < 0)
		return;
	if (lead_on_joined(&rc->lead, generation, leader)) {
		jl_begin(JL_KEEP, "group");
		jl_int("generation", generation);
		jl_int("leader", leader);
		jl_end();
		rc_view_due(rc);
	}
}

void rc_take_generation(struct rc *rc, int64_t generation)
{
	lead_on_heard(&rc->lead, generation);
	rc_view_due(rc);
	if (rc->candidate && !rc->join)
		loop_after(rc->loop, &rc->join_timer, 0, rc_join, rc);
}

/* The clock goes on while the machine is suspended. */
bool rc_may_order(const struct rc *rc)
{
	return !rc->stopping && lead_may_order(&rc->lead, rc_boot_us());
}
