#include "router/ctl.h"
#include "base/err.h"
#include "base/jl.h"
#include "base/met.h"

#include <string.h>
#include <time.h>
#include <zlib.h>

enum {
	USEC_PER_MSEC = 1000,
	USEC_PER_SEC = 1000000,
	CTL_TICK_MS = 100,
	/*
	 * The group's member that is silent for so long loses what it leads. Three joins may be
	 * lost before that.
	 */
	CTL_GROUP_TTL_MS = 4000,
	CTL_JOIN_MS = 1200,
	CTL_CALL_MS = 1000,
	CTL_CONNECT_MS = 500,
	CTL_LIST_RETRY_MS = 2000,
	CTL_NEWS_MS = 500,
	CTL_HOPS_MAX = 5, /* follower, its reader, the other readers, their followers */
	HTTP_OK = 200
};

static void ctl_on_tick(void *ctx, int64_t now_us);
static void ctl_join(void *ctx, int64_t now_us);
static void ctl_on_joined(void *ctx, int status, int err, bool sent, const char *body, size_t len);
static void ctl_on_listed(void *ctx, int status, int err, bool sent, const char *body, size_t len);
static void ctl_on_left(void *ctx, int status, int err, bool sent, const char *body, size_t len);
static void ctl_post_view(struct ctl *ctl);
static void ctl_list_self(struct ctl *ctl, bool listed);
static void ctl_host_free(gpointer data);
static void ctl_list_again(void *ctx, int64_t now_us);
static void ctl_leave(struct ctl *ctl);

static const struct hc_ops ctl_join_ops = {.on_done = ctl_on_joined};
static const struct hc_ops ctl_leave_ops = {.on_done = ctl_on_left};
static const struct hc_ops ctl_list_ops = {.on_done = ctl_on_listed};

int64_t ctl_boot_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * USEC_PER_SEC + ts.tv_nsec / 1000;
}

char *ctl_url(const struct ctl *ctl, char *path)
{
	char *url = g_strdup_printf("http://%s%s", ctl->router->settings.store, path);

	g_free(path);
	return url;
}

struct ctl *ctl_start(struct router *router, struct loop *loop)
{
	struct ctl *ctl = g_new0(struct ctl, 1);

	ctl->router = router;
	ctl->loop = loop;
	ctl->hc = hc_new(loop);
	ctl->generation = -1;
	ctl->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, ctl_host_free);
	ep_list_init(&ctl->endpoints);
	ctl->conf_packed = g_byte_array_new();
	ctl->seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ctl->loads = ctl_loads_new();
	ctl->placer = placer_new(ctl);
	ctl->poll = poll_new(ctl);
	ctl->feed = feed_new(ctl);
	ctl->follow = follow_new(ctl);
	ctl_set_direct(ctl, true);
	ctl_list_self(ctl, true);
	loop_after(loop, &ctl->ticker, CTL_TICK_MS * USEC_PER_MSEC, ctl_on_tick, ctl);
	return ctl;
}

void ctl_finish(struct ctl *ctl)
{
	ctl_set_direct(ctl, false);
	ctl_set_candidate(ctl, false);
	tmr_cancel(&ctl->loop->tmr, &ctl->ticker);
	tmr_cancel(&ctl->loop->tmr, &ctl->list_timer);
	follow_free(ctl->follow);
	feed_free(ctl->feed);
	placer_free(ctl->placer);
	poll_free(ctl->poll);
	g_array_unref(ctl->loads);
	hc_free(ctl->hc);
	ep_list_finish(&ctl->endpoints);
	g_hash_table_destroy(ctl->hosts);
	g_hash_table_destroy(ctl->seen);
	g_byte_array_unref(ctl->conf_packed);
	rt_conf_unref(ctl->conf);
	g_free(ctl);
}

void ctl_stop(struct ctl *ctl)
{
	ctl->stopping = true;
	ctl->leader = false;
	ctl_leave(ctl);
	ctl_list_self(ctl, false);
}

void ctl_view_due(struct ctl *ctl)
{
	ctl->view_due = true;
}

void ctl_first_view(struct ctl *ctl)
{
	if (!ctl->view_whole && ctl->conf && ctl->listed)
		ctl_post_view(ctl);
}

void ctl_set_direct(struct ctl *ctl, bool direct)
{
	if (direct == ctl->direct)
		return;
	ctl->direct = direct;
	if (direct)
		sf_start(ctl);
	else
		sf_stop(ctl);
}

void ctl_set_candidate(struct ctl *ctl, bool candidate)
{
	if (candidate == ctl->candidate)
		return;
	ctl->candidate = candidate;
	if (candidate) {
		loop_after(ctl->loop, &ctl->join_timer, 0, ctl_join, ctl);
		return;
	}
	tmr_cancel(&ctl->loop->tmr, &ctl->join_timer);
	if (ctl->join)
		hc_cancel(ctl->join);
	ctl->join = NULL;
	ctl->leader = false;
	ctl_leave(ctl);
}

static void ctl_log_conf(const struct rt_conf *conf, int64_t before, const char *from)
{
	jl_begin(JL_KEEP, "configuration");
	jl_int("version", conf->version);
	jl_int("before", before);
	jl_str("from", from);
	jl_int("routes", conf->routes->len);
	jl_int("accounts", conf->accounts->len);
	jl_end();
}

/*
 * A reader hands the configuration to a third of all hosts, over a link of perhaps 20 Mbit/s: 1,500
 * routes are 400 KB, which took seconds as they are.
 */
static void ctl_pack_conf(struct ctl *ctl, struct str text)
{
	uLongf len = compressBound(text.len);

	g_byte_array_set_size(ctl->conf_packed, (guint)len);
	if (compress2(ctl->conf_packed->data, &len, (const Bytef *)text.data, text.len,
		      Z_BEST_SPEED) != Z_OK)
		len = 0;
	g_byte_array_set_size(ctl->conf_packed, (guint)len);
	ctl->conf_len = text.len;
}

void ctl_take_conf(struct ctl *ctl, struct str text, const char *from)
{
	char *error = NULL;
	struct rt_conf *conf = ctl->router->seam->decl.read_conf(text, &error);
	int64_t before = ctl->conf ? ctl->conf->version : -1;

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
	ctl_log_conf(conf, before, from);
	rt_conf_unref(ctl->conf);
	ctl->conf = conf;
	ctl_pack_conf(ctl, text);
	ctl_view_due(ctl);
}

void ctl_take_endpoint(struct ctl *ctl, int64_t offset, const char *id, struct str text)
{
	char *error = NULL;
	struct ep_rec *rec = NULL;

	if (text.data) {
		rec = ctl->router->seam->decl.read_endpoint(id, text, &error);
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
	feed_on_record(ctl->feed, offset, id, text);
	ep_on_record(&ctl->endpoints, offset, id, rec, tmr_now());
}

static void ctl_host_free(gpointer data)
{
	struct ctl_host *host = data;

	g_free(host->addr);
	g_free(host);
}

/* The text is "ADDRESS CAPACITY". */
void ctl_take_host(struct ctl *ctl, const char *name, struct str text)
{
	const struct ctl_host *before = g_hash_table_lookup(ctl->hosts, name);
	char *copy = text.data ? str_dup(text) : NULL;
	char **words = copy ? g_strsplit(copy, " ", 2) : NULL;
	struct ctl_host *host;

	g_free(copy);
	if (!words || !words[0]) {
		g_strfreev(words);
		if (!g_hash_table_remove(ctl->hosts, name))
			return;
	} else {
		host = g_new0(struct ctl_host, 1);
		host->addr = g_strdup(words[0]);
		host->capacity = words[1] ? g_ascii_strtod(words[1], NULL) : 0;
		g_strfreev(words);
		if (before && strcmp(before->addr, host->addr) == 0) {
			ctl_host_free(host);
			return;
		}
		g_hash_table_replace(ctl->hosts, g_strdup(name), host);
	}
	ctl->hosts_version++;
	follow_on_hosts(ctl->follow);
	ctl_view_due(ctl);
}

static void ctl_load_clear(gpointer data)
{
	g_free(((struct router_load *)data)->endpoint);
}

GArray *ctl_loads_new(void)
{
	GArray *loads = g_array_new(FALSE, TRUE, sizeof(struct router_load));

	g_array_set_clear_func(loads, ctl_load_clear);
	return loads;
}

void ctl_take_loads(struct ctl *ctl, GArray *loads)
{
	g_array_unref(ctl->loads);
	ctl->loads = loads;
	ctl->loads_version++;
	tf_post_loads(ctl->router->tf, loads);
	feed_flush(ctl->feed);
}

struct ctl_suspect_msg {
	struct ctl *ctl;
	char *endpoint;
	char *why;
	int64_t for_ms;
};

static void ctl_take_own_suspect(void *ctx)
{
	struct ctl_suspect_msg *msg = ctx;
	struct ctl_suspect suspect = {msg->endpoint, msg->for_ms, msg->why, 0};

	ctl_on_suspect(msg->ctl, &suspect, NULL);
	g_free(msg->endpoint);
	g_free(msg->why);
	g_free(msg);
}

void ctl_post_suspect(struct ctl *ctl, const char *endpoint, int64_t for_ms, const char *why)
{
	struct ctl_suspect_msg *msg = g_new0(struct ctl_suspect_msg, 1);

	msg->ctl = ctl;
	msg->endpoint = g_strdup(endpoint);
	msg->why = g_strdup(why);
	msg->for_ms = for_ms;
	loop_post(ctl->loop, ctl_take_own_suspect, msg);
}

/* The same news may come by two ways; each is passed on once in a while. */
static bool ctl_is_news(struct ctl *ctl, const char *endpoint, int64_t now_us)
{
	int64_t *last = g_hash_table_lookup(ctl->seen, endpoint);

	if (last && now_us - *last < CTL_NEWS_MS * USEC_PER_MSEC)
		return false;
	if (!last) {
		last = g_new0(int64_t, 1);
		g_hash_table_insert(ctl->seen, g_strdup(endpoint), last);
	}
	*last = now_us;
	return true;
}

void ctl_on_suspect(struct ctl *ctl, const struct ctl_suspect *suspect, const void *source)
{
	struct ctl_suspect passed = *suspect;

	if (!ctl_is_news(ctl, suspect->endpoint, tmr_now()))
		return;
	if (source)
		tf_post_suspect(ctl->router->tf, suspect->endpoint, suspect->for_ms, suspect->why);
	if (++passed.hops > CTL_HOPS_MAX)
		return;
	feed_send_suspect(ctl->feed, &passed, source);
	follow_send_suspect(ctl->follow, &passed, source);
}

static void ctl_on_tick(void *ctx, int64_t now_us)
{
	struct ctl *ctl = ctx;

	if (ep_on_time(&ctl->endpoints, now_us))
		feed_on_listing(ctl->feed);
	follow_on_tick(ctl->follow, now_us);
	placer_on_tick(ctl->placer, now_us);
	poll_on_tick(ctl->poll, now_us);
	if (ctl->view_due || ctl->endpoints.changed)
		ctl_post_view(ctl);
	feed_flush(ctl->feed);
	loop_after(ctl->loop, &ctl->ticker, CTL_TICK_MS * USEC_PER_MSEC, ctl_on_tick, ctl);
}

static void ctl_post_view(struct ctl *ctl)
{
	struct router_view *view = g_new0(struct router_view, 1);

	ctl->view_due = false;
	ctl->endpoints.changed = false;
	view->conf = ctl->conf ? rt_conf_ref(ctl->conf) : NULL;
	view->endpoints = ep_snapshot(&ctl->endpoints);
	view->hosts = MAX((int)g_hash_table_size(ctl->hosts), 1);
	view->fence = ctl->generation;
	view->listed = ctl->listed;
	ctl->view_whole = view->conf && view->listed;
	tf_post_view(ctl->router->tf, view);
}

/* A call to the store with a body; path and body are taken over. */
static struct hc_call *ctl_post(struct ctl *ctl, char *path, char *body, size_t len,
				const struct hc_ops *ops)
{
	const char *headers[] = {"Content-Type: application/json", NULL};
	char *url = ctl_url(ctl, path);
	struct hc_request request = {
		.method = "POST",
		.url = url,
		.headers = headers,
		.body = body,
		.body_len = len,
		.connect_ms = CTL_CONNECT_MS,
		.total_ms = CTL_CALL_MS,
	};
	struct hc_call *call = hc_start(ctl->hc, &request, ops, ctl);

	g_free(url);
	g_free(body);
	return call;
}

/* Puts this host into the store's list of hosts, or out of it. */
static void ctl_list_self(struct ctl *ctl, bool listed)
{
	const struct router_settings *s = &ctl->router->settings;
	const struct seam_store *store = &ctl->router->seam->store;
	char *text = g_strdup_printf("%s %.3f", s->control, s->link_mbps * s->cores);
	GString *record = store->make_record(s->name, listed ? text : NULL);
	size_t len = record->len;

	g_free(text);
	ctl_post(ctl, store->append_path(SEAM_HOSTS), g_string_free(record, FALSE), len,
		 &ctl_list_ops);
}

/* A lead that nobody uses would stay with this host until its place lapses. */
static void ctl_leave(struct ctl *ctl)
{
	const struct seam_store *store = &ctl->router->seam->store;
	char *body = store->make_leave(ctl->router->settings.name);

	if (ctl->joined_us > 0)
		ctl_post(ctl, store->leave_path(), body, strlen(body), &ctl_leave_ops);
	else
		g_free(body);
	ctl->joined_us = 0;
}

static void ctl_on_left(void *ctx, int status, int err, bool sent, const char *body, size_t len)
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

static void ctl_on_listed(void *ctx, int status, int err, bool sent, const char *body, size_t len)
{
	struct ctl *ctl = ctx;

	(void)sent;
	(void)body;
	(void)len;
	if (status == HTTP_OK)
		return;
	if (!ctl->stopping)
		loop_after(ctl->loop, &ctl->list_timer, CTL_LIST_RETRY_MS * USEC_PER_MSEC,
			   ctl_list_again, ctl);
	jl_begin(JL_KEEP, "host_not_listed");
	jl_int("status", status);
	jl_str("error", err < 0 ? base_strerror(err) : NULL);
	jl_end();
}

static void ctl_list_again(void *ctx, int64_t now_us)
{
	struct ctl *ctl = ctx;

	(void)now_us;
	ctl_list_self(ctl, true);
}

/* Joins the group of hosts, or stays in it; the store says whether this host leads. */
static void ctl_join(void *ctx, int64_t now_us)
{
	struct ctl *ctl = ctx;
	const struct seam_store *store = &ctl->router->seam->store;
	char *body;

	(void)now_us;
	if (ctl->stopping)
		return;
	body = store->make_join(ctl->router->settings.name, CTL_GROUP_TTL_MS,
				MAX(ctl->generation, 0));
	ctl->join_began_us = ctl_boot_us();
	ctl->join = ctl_post(ctl, store->join_path(), body, strlen(body), &ctl_join_ops);
}

static void ctl_on_joined(void *ctx, int status, int err, bool sent, const char *body, size_t len)
{
	struct ctl *ctl = ctx;
	int64_t generation = ctl->generation;
	bool leader = false;

	(void)err;
	(void)sent;
	ctl->join = NULL;
	loop_after(ctl->loop, &ctl->join_timer, CTL_JOIN_MS * USEC_PER_MSEC, ctl_join, ctl);
	if (status != HTTP_OK ||
	    ctl->router->seam->store.parse_join(str_make(body, len), &generation, &leader) < 0)
		return;
	if (leader != ctl->leader || generation != ctl->generation) {
		jl_begin(JL_KEEP, "group");
		jl_int("generation", generation);
		jl_int("leader", leader);
		jl_end();
		ctl_view_due(ctl);
	}
	ctl->generation = generation;
	ctl->leader = leader;
	ctl->joined_us = ctl->join_began_us;
}

/*
 * A host that was suspended wakes and still believes that it leads. The clock used here goes on
 * meanwhile, so its right has lapsed by the time at which the store may have given it to another.
 */
bool ctl_may_order(const struct ctl *ctl)
{
	return ctl->leader && !ctl->stopping &&
	       ctl_boot_us() - ctl->joined_us < (int64_t)CTL_GROUP_TTL_MS * USEC_PER_MSEC;
}
