#include "router/ctl.h"
#include "base/err.h"
#include "base/jl.h"
#include "base/met.h"

#include <string.h>
#include <time.h>

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
	HTTP_OK = 200
};

static void ctl_on_tick(void *ctx, int64_t now_us);
static void ctl_join(void *ctx, int64_t now_us);
static void ctl_on_joined(void *ctx, int status, int err, bool sent, const char *body, size_t len);
static void ctl_on_listed(void *ctx, int status, int err, bool sent, const char *body, size_t len);
static void ctl_post_view(struct ctl *ctl);
static void ctl_list_self(struct ctl *ctl, const char *addr);

static const struct hc_ops ctl_join_ops = {.on_done = ctl_on_joined};
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
	ctl->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ep_list_init(&ctl->endpoints);
	ctl->placer = placer_new(ctl);
	ctl->peers = peers_new(ctl);
	sf_start(ctl);
	ctl_list_self(ctl, router->settings.control);
	loop_after(loop, &ctl->ticker, CTL_TICK_MS * USEC_PER_MSEC, ctl_on_tick, ctl);
	loop_after(loop, &ctl->join_timer, 0, ctl_join, ctl);
	return ctl;
}

void ctl_finish(struct ctl *ctl)
{
	sf_stop(ctl);
	tmr_cancel(&ctl->loop->tmr, &ctl->ticker);
	tmr_cancel(&ctl->loop->tmr, &ctl->join_timer);
	peers_free(ctl->peers);
	placer_free(ctl->placer);
	hc_free(ctl->hc);
	ep_list_finish(&ctl->endpoints);
	g_hash_table_destroy(ctl->hosts);
	rt_conf_unref(ctl->conf);
	g_free(ctl);
}

void ctl_stop(struct ctl *ctl)
{
	ctl->stopping = true;
	ctl->leader = false;
	ctl_list_self(ctl, NULL);
}

void ctl_view_due(struct ctl *ctl)
{
	ctl->view_due = true;
}

static bool ctl_is_listed(const struct ctl *ctl)
{
	return ctl->topics[SEAM_ENDPOINTS].read_us > 0;
}

void ctl_first_view(struct ctl *ctl)
{
	if (!ctl->view_whole && ctl->conf && ctl_is_listed(ctl))
		ctl_post_view(ctl);
}

static void ctl_on_tick(void *ctx, int64_t now_us)
{
	struct ctl *ctl = ctx;

	ep_on_time(&ctl->endpoints, now_us);
	peers_on_tick(ctl->peers, now_us);
	placer_on_tick(ctl->placer, now_us);
	if (ctl->view_due || ctl->endpoints.changed)
		ctl_post_view(ctl);
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
	view->listed = ctl_is_listed(ctl);
	ctl->view_whole = view->conf && view->listed;
	tf_post_view(ctl->router->tf, view);
}

/* Puts this host into the store's list of hosts, or with addr NULL out of it. */
static void ctl_list_self(struct ctl *ctl, const char *addr)
{
	const struct seam_store *store = &ctl->router->seam->store;
	GString *record = store->make_record(ctl->router->settings.name, addr);
	char *url = ctl_url(ctl, store->append_path(SEAM_HOSTS));
	struct hc_request request = {
		.method = "POST",
		.url = url,
		.body = record->str,
		.body_len = record->len,
		.connect_ms = CTL_CONNECT_MS,
		.total_ms = CTL_CALL_MS,
	};

	hc_start(ctl->hc, &request, &ctl_list_ops, ctl);
	g_string_free(record, TRUE);
	g_free(url);
}

static void ctl_on_listed(void *ctx, int status, int err, bool sent, const char *body, size_t len)
{
	(void)ctx;
	(void)sent;
	(void)body;
	(void)len;
	if (status == HTTP_OK)
		return;
	jl_begin(JL_KEEP, "host_not_listed");
	jl_int("status", status);
	jl_str("error", err < 0 ? base_strerror(err) : NULL);
	jl_end();
}

/* Joins the group of hosts, or stays in it; the store says whether this host leads. */
static void ctl_join(void *ctx, int64_t now_us)
{
	struct ctl *ctl = ctx;
	const struct seam_store *store = &ctl->router->seam->store;
	char *body = store->make_join(ctl->router->settings.name, CTL_GROUP_TTL_MS,
				      MAX(ctl->generation, 0));
	char *url = ctl_url(ctl, store->join_path());
	const char *headers[] = {"Content-Type: application/json", NULL};
	struct hc_request request = {
		.method = "POST",
		.url = url,
		.headers = headers,
		.body = body,
		.body_len = strlen(body),
		.connect_ms = CTL_CONNECT_MS,
		.total_ms = CTL_CALL_MS,
	};

	(void)now_us;
	if (!ctl->stopping)
		ctl->join = hc_start(ctl->hc, &request, &ctl_join_ops, ctl);
	g_free(body);
	g_free(url);
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
	ctl->joined_us = ctl_boot_us();
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
