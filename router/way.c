#include "router/way.h"
#include "base/err.h"
#include "base/jl.h"
#include "base/met.h"
#include "base/rnd.h"
#include "router/tunnel.h"

#include <string.h>

enum {
	/*
	 * Time for a direct connection, in ms, if another host can be asked for a tunnel after it.
	 * A live endpoint accepts within a few ms.
	 */
	WAY_DIRECT_MS = 150,
	/* Time for a gateway's connection to an endpoint, in ms, and for its answer besides. */
	WAY_TUNNEL_MS = 150,
	WAY_ANSWER_MS = 150,
	/*
	 * Gateways that must not reach the endpoint before it counts as silent: one, but if this
	 * host itself does not reach some endpoints, gateways may be cut off with it.
	 */
	WAY_OPINIONS = 1,
	WAY_OPINIONS_IN_DOUBT = 3,
	WAY_ASKED_MAX = 4, /* most gateways that are asked for one call */
	/* Interval in ms of looking whether endpoints that are not reached answer again. */
	WAY_PROBE_TICK_MS = 20,
	/*
	 * Age in us of a quick direct call without an answer at which its endpoint is probed, if no
	 * direct call that began since was answered.
	 */
	WAY_UNANSWERED_US = 250000,
	/* Least interval in us between two probes that show whether any endpoint answers. */
	WAY_ALONE_PROBE_US = 100000,
	/* Time limit of a probe, in ms. */
	WAY_PROBE_MS = 300,
	/* Largest body of a response that is taken whole: a report or what answers a probe. */
	WAY_BODY_MAX_BYTES = 256 << 10
};

/* Where a call is. */
enum way_stage {
	WAY_STAGE_DIRECT, /* called directly */
	WAY_STAGE_DIAL,	  /* a gateway was asked for a tunnel */
	WAY_STAGE_TUNNEL  /* called through a tunnel */
};

struct way_call {
	struct way *way;
	const struct hc_ops *ops;
	void *ctx;
	struct way_request request; /* with copies of all texts */
	enum way_stage stage;
	struct hc_call *http;
	struct tunnel_dial *dial;
	struct tmr timer;   /* ends a call that has failed at once */
	char *gateway;	    /* name of the gateway that was asked last; NULL: none */
	char *missed;	    /* name of one that does not reach the endpoint; NULL: none */
	int gateways;	    /* number of gateways that were asked */
	int not_reached;    /* number of those that do not reach the endpoint */
	bool cut_off;	    /* one of those is cut off itself */
	bool direct_failed; /* the direct call has failed */
	int err;	    /* error of the last way tried, a base error */
	bool sent;	    /* the endpoint may have received the request */
	bool headed;	    /* the head of an answer has arrived */
	bool counted;	    /* counts as an open tunnel of its gateway */
	bool paused;	    /* by way_pause() */
	int64_t began_us;   /* time at which the present way was begun */
	GList link;	    /* in way->unanswered, while direct, quick and without an answer */
	bool linked;
	bool callback_running;
	bool canceled;
};

struct way {
	struct loop *loop;
	struct hc *hc;
	char *self;
	struct reach reach;
	struct gws gws;
	const struct way_ops *ops;
	void *ctx;
	struct tmr tick;
	GQueue unanswered;	/* quick direct calls without an answer, oldest first */
	struct way_call *probe; /* probe under way; NULL: none */
	int64_t alone_probe_us; /* time of the last probe that shows whether any answers */
	bool kept_probe;	/* the next probe while isolated takes a kept connection */
	uint32_t seed;
	int open;	  /* tunnels in use */
	bool lost_logged; /* the log says that endpoints are not reached */
	uint64_t tunnels; /* tunnels since then */
};

static bool way_on_head(void *ctx, int status, const GPtrArray *headers);
static void way_before_data(void *ctx, size_t len);
static void way_on_data(void *ctx, const char *data, size_t len);
static void way_on_excess(void *ctx);
static void way_on_done(void *ctx, int status, int err, bool sent, const char *body, size_t len);
static void way_on_tunnel(void *ctx, const struct tunnel_answer *answer);
static void way_on_probe_tick(void *ctx, int64_t now_us);
static void way_send_direct(struct way_call *call);
static void way_send_dial(struct way_call *call);
static void way_probe_any(struct way *way);
static void way_call_free(struct way_call *call);

/*
 * Callbacks given to the HTTP client: of a call whose owner takes parts of the body, and of one
 * whose owner takes the whole.
 */
static const struct hc_ops way_part_ops = {
	.on_head = way_on_head,
	.before_data = way_before_data,
	.on_data = way_on_data,
	.all_data = true,
	.on_excess = way_on_excess,
	.on_done = way_on_done,
};
static const struct hc_ops way_whole_ops = {
	.on_head = way_on_head,
	.on_excess = way_on_excess,
	.on_done = way_on_done,
};

struct way *way_new(struct loop *loop, struct hc *hc, const char *self, const char *zone,
		    const struct way_ops *ops, void *ctx)
{
	struct way *way = g_new0(struct way, 1);

	way->loop = loop;
	way->hc = hc;
	way->self = g_strdup(self);
	way->ops = ops;
	way->ctx = ctx;
	way->seed = (uint32_t)g_str_hash(self);
	reach_init(&way->reach);
	gws_init(&way->gws, zone);
	g_queue_init(&way->unanswered);
	return way;
}

void way_free(struct way *way)
{
	tmr_cancel(&way->loop->tmr, &way->tick);
	if (way->probe)
		way_cancel(way->probe);
	reach_finish(&way->reach);
	gws_finish(&way->gws);
	g_free(way->self);
	g_free(way);
}

void way_set_gateways(struct way *way, const GPtrArray *gateways)
{
	gws_set_hosts(&way->gws, gateways);
}

static bool way_add_addr(void *set, const char *addr)
{
	g_hash_table_add(set, (char *)addr);
	return true;
}

/* The whole list is read only if an endpoint has to be looked for in it. */
void way_on_list(struct way *way, int n)
{
	GHashTable *addrs;

	way->reach.known = n;
	if (g_hash_table_size(way->reach.points) == 0)
		return;
	addrs = g_hash_table_new(g_str_hash, g_str_equal);
	way->ops->each_endpoint(way->ctx, way_add_addr, addrs);
	reach_keep_listed(&way->reach, addrs);
	g_hash_table_destroy(addrs);
}

const struct reach *way_reach(const struct way *way)
{
	return &way->reach;
}

int way_open_tunnels(const struct way *way)
{
	return way->open;
}

const char *way_gateway(const struct way_call *call)
{
	return call->stage == WAY_STAGE_TUNNEL ? call->gateway : NULL;
}

bool way_is_direct(const struct way_call *call)
{
	return call->stage == WAY_STAGE_DIRECT;
}

/* Logs when endpoints are not reached any more, and when all are again. */
static void way_log_reach(struct way *way)
{
	int lost = reach_count_not_here(&way->reach);

	if ((lost > 0) == way->lost_logged)
		return;
	way->lost_logged = lost > 0;
	jl_begin(JL_INFO, lost > 0 ? "reach_lost" : "reach_regained");
	jl_int("not_here", lost);
	jl_int("endpoints", way->reach.known);
	jl_int("tunnels", (int64_t)way->tunnels);
	if (way->reach.answered_us > 0)
		jl_int("last_answer_ms", (tmr_now() - way->reach.answered_us) / TMR_US_PER_MS);
	jl_end();
	way->tunnels = 0;
}

static void way_start_probe_tick(struct way *way)
{
	if (!tmr_is_set(&way->tick))
		loop_start_timer(way->loop, &way->tick, tmr_from_ms(WAY_PROBE_TICK_MS),
				 way_on_probe_tick, way);
}

static void way_unlink(struct way_call *call)
{
	if (call->linked)
		g_queue_unlink(&call->way->unanswered, &call->link);
	call->linked = false;
}

/* Ends the count of the call as an open tunnel. */
static void way_uncount(struct way_call *call)
{
	struct gws_host *host = call->gateway ? gws_find(&call->way->gws, call->gateway) : NULL;

	if (!call->counted)
		return;
	call->counted = false;
	call->way->open--;
	if (host)
		host->open = MAX(host->open - 1, 0);
}

static void way_call_free(struct way_call *call)
{
	struct hc_request *http = &call->request.http;

	if (call->way->probe == call)
		call->way->probe = NULL;
	way_unlink(call);
	way_uncount(call);
	tmr_cancel(&call->way->loop->tmr, &call->timer);
	g_free((char *)http->method);
	g_free((char *)http->url);
	g_strfreev((char **)http->headers);
	g_free((char *)http->body);
	g_clear_pointer(&http->shared_body, g_bytes_unref);
	g_free((char *)http->target);
	g_free((char *)call->request.addr);
	g_free((char *)call->request.id);
	g_free((char *)call->request.gateway);
	g_free(call->gateway);
	g_free(call->missed);
	g_free(call);
}

/* Keeps the call while its owner is told something, as the owner may cancel it then. */
static void way_hold(struct way_call *call)
{
	call->callback_running = true;
}

/* Ends way_hold(). Returns false if the call was canceled, and is freed now. */
static bool way_release(struct way_call *call)
{
	call->callback_running = false;
	if (!call->canceled)
		return true;
	way_call_free(call);
	return false;
}

static void way_copy_request(struct way_call *call, const struct way_request *from)
{
	struct hc_request *http = &call->request.http;

	call->request = *from;
	http->body_max = WAY_BODY_MAX_BYTES;
	http->method = g_strdup(from->http.method);
	http->url = g_strdup(from->http.url);
	http->headers = (const char *const *)g_strdupv((char **)from->http.headers);
	if (from->http.shared_body) {
		g_bytes_ref(http->shared_body);
	} else if (from->http.body) {
		char *body = g_malloc0(from->http.body_len + 1);

		memcpy(body, from->http.body, from->http.body_len);
		http->body = body;
	}
	http->target = g_strdup(from->http.target);
	call->request.addr = g_strdup(from->addr);
	call->request.id = g_strdup(from->id);
	call->request.gateway = g_strdup(from->gateway);
}

static struct way_call *way_call_new(struct way *way, const struct way_request *request,
				     const struct hc_ops *ops, void *ctx)
{
	struct way_call *call = g_new0(struct way_call, 1);

	call->way = way;
	call->ops = ops;
	call->ctx = ctx;
	call->link.data = call;
	way_copy_request(call, request);
	return call;
}

struct way_call *way_start(struct way *way, const struct way_request *request,
			   const struct hc_ops *ops, void *ctx)
{
	struct way_call *call = way_call_new(way, request, ops, ctx);

	if (request->gateway || reach_choose(&way->reach, request->addr) == REACH_TUNNEL)
		way_send_dial(call);
	else
		way_send_direct(call);
	return call;
}

/* Ends the call without an answer. */
static void way_fail(struct way_call *call)
{
	call->callback_running = true;
	if (!call->canceled)
		call->ops->on_done(call->ctx, 0, call->err, call->sent, "", 0);
	way_call_free(call);
}

static void way_on_failed(void *ctx, int64_t now_us)
{
	(void)now_us;
	way_fail(ctx);
}

static const struct hc_ops *way_http_ops(const struct way_call *call)
{
	return call->ops->on_data ? &way_part_ops : &way_whole_ops;
}

static void way_start_http(struct way_call *call, const struct hc_request *http)
{
	call->http = hc_start(call->way->hc, http, way_http_ops(call), call);
	hc_pause(call->http, call->paused);
}

static void way_send_direct(struct way_call *call)
{
	struct way *way = call->way;
	struct hc_request http = call->request.http;

	call->stage = WAY_STAGE_DIRECT;
	call->began_us = tmr_now();
	if (way->gws.hosts->len > 0 && !call->direct_failed)
		http.connect_ms = MIN(http.connect_ms, (int64_t)WAY_DIRECT_MS);
	if (call->request.quick) {
		g_queue_push_tail_link(&way->unanswered, &call->link);
		call->linked = true;
	}
	way_start_http(call, &http);
}

/* Chooses the gateway to ask next, or NULL if none is left. */
static struct gws_host *way_choose_gateway(const struct way_call *call)
{
	struct way *way = call->way;
	bool in_doubt = reach_is_alone(&way->reach) || reach_count_not_here(&way->reach) > 0;
	int most = in_doubt ? WAY_OPINIONS_IN_DOUBT : WAY_OPINIONS;
	struct gws_host *tried = call->gateway ? gws_find(&way->gws, call->gateway) : NULL;
	struct gws_host *wanted =
		call->request.gateway ? gws_find(&way->gws, call->request.gateway) : NULL;

	if (call->not_reached >= most || call->gateways >= WAY_ASKED_MAX)
		return NULL;
	if (wanted && call->gateways == 0)
		return wanted;
	return gws_choose(&way->gws, tried, &way->seed, tmr_now());
}

/*
 * No other host is left to ask. What was not tried yet is a direct call; else the call ends. It
 * ends in the loop, as the owner has not got the call yet if it has just been started.
 */
static void way_end_dial(struct way_call *call)
{
	struct way *way = call->way;

	if (call->not_reached > 0 || call->cut_off)
		reach_on_tunnel_failure(&way->reach, call->request.addr, tmr_now());
	way_probe_any(way);
	if (!call->direct_failed) {
		way_send_direct(call);
		return;
	}
	loop_start_timer(way->loop, &call->timer, 0, way_on_failed, call);
}

static void way_send_dial(struct way_call *call)
{
	struct way *way = call->way;
	struct gws_host *host = way_choose_gateway(call);
	int64_t connect_ms = MIN(call->request.http.connect_ms, (int64_t)WAY_TUNNEL_MS);
	struct tunnel_ask ask = {.addr = call->request.addr,
				 .request = call->request.id,
				 .host = way->self,
				 .connect_ms = connect_ms,
				 .answer_ms = connect_ms + WAY_ANSWER_MS};

	call->stage = WAY_STAGE_DIAL;
	call->began_us = tmr_now();
	if (!host) {
		call->cut_off = call->cut_off || gws_none_reaches(&way->gws, call->began_us);
		way_end_dial(call);
		return;
	}
	g_free(call->gateway);
	call->gateway = g_strdup(host->name);
	call->gateways++;
	ask.gateway = host->addr;
	call->dial = tunnel_dial(way->loop, &ask, way_on_tunnel, call);
	if (!call->dial)
		way_end_dial(call);
}

static void way_notify_gateway_lost(const struct way *way, const char *gateway)
{
	if (way->ops->on_gateway_lost)
		way->ops->on_gateway_lost(way->ctx, gateway);
}

/*
 * The endpoint answered through a tunnel, or accepted a connection after it had not accepted a
 * direct one.
 */
static void way_on_reached(struct way_call *call, int64_t began_us)
{
	struct way *way = call->way;
	const char *addr = call->request.addr;
	enum reach_verdict before = reach_judge(&way->reach, addr);

	reach_on_answer(&way->reach, addr, REACH_TUNNEL, began_us, tmr_now());
	if (before == REACH_NOT_HERE || reach_judge(&way->reach, addr) != REACH_NOT_HERE)
		return;
	way_log_reach(way);
	way_start_probe_tick(way);
	if (way->ops->on_lost)
		way->ops->on_lost(way->ctx, addr, call->err == BASE_ETIMEOUT);
}

static void way_send_tunnel(struct way_call *call, const struct tunnel_answer *answer)
{
	struct way *way = call->way;
	struct gws_host *host = gws_find(&way->gws, call->gateway);
	struct hc_request http = call->request.http;
	GByteArray *preamble = tunnel_preamble(answer->token);

	call->stage = WAY_STAGE_TUNNEL;
	call->counted = true;
	way->open++;
	way->tunnels++;
	host->open++;
	met_add(met_counter("bg_tunnels_total", ""), 1);
	http.via = host->addr;
	http.preamble = preamble;
	http.fresh = true;
	http.close = true;
	way_start_http(call, &http);
	g_byte_array_unref(preamble);
	way_hold(call);
	if (call->direct_failed && !call->sent)
		way_on_reached(call, call->began_us);
	if (call->missed)
		way_notify_gateway_lost(way, call->missed);
	way_release(call);
}

static void way_on_tunnel(void *ctx, const struct tunnel_answer *answer)
{
	struct way_call *call = ctx;
	struct way *way = call->way;
	struct gws_host *host = gws_find(&way->gws, call->gateway);

	call->dial = NULL;
	if (host)
		gws_on_result(host, answer->result, answer->open, tmr_now());
	if (answer->result == GWS_OPENED && host) {
		way_send_tunnel(call, answer);
		return;
	}
	if (answer->result == GWS_NOT_REACHED) {
		call->not_reached++;
		g_free(call->missed);
		call->missed = g_strdup(call->gateway);
	}
	call->cut_off = call->cut_off || answer->result == GWS_CUT_OFF;
	if (!call->direct_failed)
		call->err = answer->refused ? BASE_EREFUSED : BASE_ETIMEOUT;
	way_hold(call);
	if (answer->result == GWS_NO_ANSWER)
		way_notify_gateway_lost(way, call->gateway);
	if (way_release(call))
		way_send_dial(call);
}

static void way_note_answer(struct way_call *call)
{
	struct way *way = call->way;

	way_unlink(call);
	if (call->stage == WAY_STAGE_TUNNEL)
		way_on_reached(call, call->began_us);
	else if (reach_on_answer(&way->reach, call->request.addr, REACH_DIRECT, call->began_us,
				 tmr_now()))
		way_log_reach(way);
}

static bool way_on_head(void *ctx, int status, const GPtrArray *headers)
{
	struct way_call *call = ctx;
	bool go_on = true;

	call->headed = true;
	way_hold(call);
	way_note_answer(call);
	if (call->ops->on_head && !call->canceled)
		go_on = call->ops->on_head(call->ctx, status, headers);
	call->canceled = call->canceled || !go_on;
	return way_release(call);
}

static void way_before_data(void *ctx, size_t len)
{
	struct way_call *call = ctx;

	if (!call->ops->before_data)
		return;
	way_hold(call);
	call->ops->before_data(call->ctx, len);
	way_release(call);
}

static void way_on_data(void *ctx, const char *data, size_t len)
{
	struct way_call *call = ctx;

	way_hold(call);
	call->ops->on_data(call->ctx, data, len);
	way_release(call);
}

static void way_on_excess(void *ctx)
{
	struct way_call *call = ctx;

	way_hold(call);
	if (call->ops->on_excess && !call->canceled)
		call->ops->on_excess(call->ctx);
	call->callback_running = false;
}

/*
 * Returns whether a tunnel should be tried after the direct call has failed. A call that may have
 * arrived is repeated only if it is harmless and no endpoint answers this host directly: a busy
 * endpoint is slow for others, too.
 */
static bool way_may_tunnel(const struct way_call *call)
{
	const struct way *way = call->way;

	if (call->request.one_way || call->gateways > 0 || way->gws.hosts->len == 0)
		return false;
	if (call->sent && !(call->request.harmless && reach_is_doubtful(&way->reach)))
		return false;
	return reach_wants_tunnel(&way->reach, call->request.addr, tmr_now());
}

/*
 * A call through a tunnel has ended without the head of an answer. Returns whether it goes on by
 * another way: if it had not been sent, or if it is harmless, to get another host's opinion.
 */
static bool way_on_unanswered_tunnel(struct way_call *call, bool sent)
{
	struct way *way = call->way;
	struct gws_host *host = gws_find(&way->gws, call->gateway);

	way_uncount(call);
	if (host)
		gws_on_result(host, GWS_NOT_REACHED, 0, tmr_now());
	if (sent && !call->request.harmless)
		return false;
	if (sent)
		call->not_reached++;
	way_send_dial(call);
	return true;
}

/* A direct call has ended without the head of an answer. Returns whether it goes on by a tunnel. */
static bool way_on_unanswered_direct(struct way_call *call)
{
	struct way *way = call->way;

	call->direct_failed = true;
	reach_on_failure(&way->reach, call->request.addr, call->began_us, tmr_now());
	if (!way_may_tunnel(call)) {
		way_probe_any(way);
		return false;
	}
	way_send_dial(call);
	return true;
}

static bool way_on_unanswered(struct way_call *call, bool sent)
{
	if (call->stage == WAY_STAGE_TUNNEL)
		return way_on_unanswered_tunnel(call, sent);
	return way_on_unanswered_direct(call);
}

static void way_on_done(void *ctx, int status, int err, bool sent, const char *body, size_t len)
{
	struct way_call *call = ctx;

	call->http = NULL;
	way_unlink(call);
	call->sent = call->sent || sent;
	if (err < 0)
		call->err = err;
	if (err < 0 && !call->headed && way_on_unanswered(call, sent))
		return;
	call->callback_running = true;
	call->ops->on_done(call->ctx, status, err, call->sent, body, len);
	way_call_free(call);
}

void way_pause(struct way_call *call, bool on)
{
	call->paused = on;
	if (call->http)
		hc_pause(call->http, on);
}

void way_cancel(struct way_call *call)
{
	call->canceled = true;
	if (call->http)
		hc_cancel(call->http);
	if (call->dial)
		tunnel_cancel(call->dial);
	if (!call->callback_running)
		way_call_free(call);
}

static void way_on_probed(void *ctx, int status, int err, bool sent, const char *body, size_t len)
{
	struct way *way = ctx;

	(void)status;
	(void)err;
	(void)sent;
	(void)body;
	(void)len;
	way->probe = NULL;
}

static const struct hc_ops way_probe_ops = {.on_done = way_on_probed};

/*
 * Probes the endpoint, directly, or as any harmless call if its ways are unknown. fresh: on a new
 * connection. The call keeps a copy of addr.
 */
static void way_probe(struct way *way, const char *addr, bool fresh)
{
	char *path = way->ops->probe_path ? way->ops->probe_path(way->ctx, addr) : NULL;
	char *url = g_strdup_printf("http://%s%s", addr, path ? path : "");
	const struct way_request request = {
		.http = {.method = "GET",
			 .url = url,
			 .connect_ms = WAY_PROBE_MS,
			 .total_ms = WAY_PROBE_MS,
			 .fresh = fresh,
			 .close = fresh},
		.addr = addr,
		.harmless = true,
		.one_way = reach_judge(&way->reach, addr) == REACH_NOT_HERE,
	};

	if (path) {
		way->probe = way_call_new(way, &request, &way_probe_ops, way);
		met_add(met_counter("bg_reach_probes_total", ""), 1);
		way_send_direct(way->probe);
	}
	g_free(path);
	g_free(url);
}

/* The choice of an endpoint to probe: the first one after some that are skipped, else the last one.
 */
struct way_any {
	struct way *way;
	guint skip;	    /* endpoints still to skip */
	const char *except; /* address not to choose; NULL: none */
	char *addr;	    /* chosen so far; NULL: none */
};

static bool way_choose_any(void *ctx, const char *addr)
{
	struct way_any *any = ctx;

	if (reach_judge(&any->way->reach, addr) != REACH_SILENT &&
	    g_strcmp0(addr, any->except) != 0) {
		g_free(any->addr);
		any->addr = g_strdup(addr);
	}
	if (any->skip == 0)
		return any->addr == NULL;
	any->skip--;
	return true;
}

/* Returns the address of any endpoint that may answer, to be freed; NULL if there is none. */
static char *way_any_addr(struct way *way, const char *except)
{
	struct way_any any = {.way = way, .except = except};

	any.skip = way->reach.known > 0 ? rnd_next(&way->seed) % (guint)way->reach.known : 0;
	way->ops->each_endpoint(way->ctx, way_choose_any, &any);
	return any.addr;
}

/* A search for one address in the list of endpoints. */
struct way_search {
	const char *addr;
	bool found;
};

static bool way_compare_addr(void *ctx, const char *addr)
{
	struct way_search *search = ctx;

	search->found = strcmp(addr, search->addr) == 0;
	return !search->found;
}

/* Returns the address of the witness if it is to be asked, or NULL. */
static const char *way_witness_addr(struct way *way)
{
	struct way_search search = {.addr = reach_witness_to_ask(&way->reach)};

	if (!search.addr)
		return NULL;
	way->ops->each_endpoint(way->ctx, way_compare_addr, &search);
	if (search.found)
		return search.addr;
	reach_drop_witness(&way->reach);
	return NULL;
}

/*
 * Probes the witness or any endpoint that may answer if several others in a row did not. In quiet
 * times no other call would show whether those have ended or this host is cut off, and calls that
 * may arrive only once don't show whether other hosts reach their endpoints.
 */
static void way_probe_any(struct way *way)
{
	int64_t now_us = tmr_now();
	const char *witness;
	char *any = NULL;

	if (way->probe || now_us - way->alone_probe_us < WAY_ALONE_PROBE_US)
		return;
	witness = way_witness_addr(way);
	if (!witness && reach_is_alone(&way->reach))
		any = way_any_addr(way, NULL);
	if (!witness && !any)
		return;
	way->alone_probe_us = now_us;
	way_probe(way, witness ? witness : any, true);
	g_free(any);
}

void way_ask_witness(struct way *way, const char *except)
{
	const char *witness = way->reach.witness;
	char *any;

	if (way->probe)
		return;
	if (witness && strcmp(witness, except) != 0 &&
	    reach_judge(&way->reach, witness) == REACH_ANSWERS) {
		way_probe(way, witness, true);
		return;
	}
	any = way_any_addr(way, except);
	if (any)
		way_probe(way, any, true);
	g_free(any);
}

/*
 * Probes an endpoint on behalf of a host that refuses all requests: by turns one that is silent, on
 * a new connection, and any, on a kept one. Where only new connections fail, nothing else would
 * show that the kept ones go on.
 */
static void way_probe_isolated(struct way *way, const char *silent)
{
	char *any = way->kept_probe ? way_any_addr(way, NULL) : NULL;

	way_probe(way, any ? any : silent, !way->kept_probe);
	way->kept_probe = !way->kept_probe;
	g_free(any);
}

/* Probes endpoints that are not reached, until all answer directly again. */
static void way_on_probe_tick(void *ctx, int64_t now_us)
{
	struct way *way = ctx;
	const char *addr = way->probe ? NULL : reach_next_probe(&way->reach, now_us);

	if (addr && reach_is_isolated(&way->reach))
		way_probe_isolated(way, addr);
	else if (addr)
		way_probe(way, addr, true);
	if (reach_count_not_here(&way->reach) > 0 || reach_is_isolated(&way->reach))
		way_start_probe_tick(way);
}

/*
 * Probes the endpoint of a quick call that waits for long while no other direct call is answered:
 * the call may have been sent just before this host was cut off.
 */
static void way_probe_unanswered(struct way *way, int64_t now_us)
{
	const struct way_call *oldest = g_queue_peek_head(&way->unanswered);

	if (!oldest || way->probe || way->gws.hosts->len == 0 ||
	    now_us - oldest->began_us < WAY_UNANSWERED_US ||
	    way->reach.answered_us > oldest->began_us)
		return;
	way_probe(way, oldest->request.addr, true);
}

void way_sweep(struct way *way, int64_t now_us)
{
	reach_expire(&way->reach, now_us);
	way_log_reach(way);
	way_probe_unanswered(way, now_us);
	way_probe_any(way);
	if (reach_is_isolated(&way->reach))
		way_start_probe_tick(way);
}
