#include "base/err.h"
#include "base/frm.h"
#include "base/hc.h"
#include "base/log.h"
#include "host/host.h"
#include "msg/conf.pb-c.h"
#include "msg/kind.h"
#include "msg/once.pb-c.h"
#include "msg/pool.pb-c.h"
#include "base/prog.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * bgscript: plays many hosts towards one control daemon, to measure what each of them costs it. The
 * hosts stand in the platform's list, gossip with the daemon as often as so many would, ask it for
 * grants and claims at a rate, and take its own gossip.
 */
enum {
	USEC_PER_MSEC = 1000,
	USEC_PER_SEC = 1000000,
	SCRIPT_CONNECT_MS = 1000,
	SCRIPT_REGISTER_US = 2 * USEC_PER_SEC,
	SCRIPT_GOSSIP_US = USEC_PER_SEC,
	SCRIPT_HEARTBEAT_US = 300 * USEC_PER_MSEC,
	SCRIPT_SILENT_US = 900 * USEC_PER_MSEC,
	SCRIPT_IDLE_US = 5 * USEC_PER_SEC,
	SCRIPT_GOSSIP_PEERS = 2, /* that gossip with one daemon at a time, on average */
	SCRIPT_GOSSIP_ROUNDS = 10
};

struct script_settings {
	char *platform;
	char *target;
	char *listen;
	char *version;
	int64_t pools; /* named p0, p1, ... */
	int64_t hosts;
	int64_t entries;
	int64_t accounts;
	int64_t asks;	/* grants a second, all entries together */
	int64_t claims; /* claims a second */
	int64_t hold_ms;
	int64_t tokens;
	int64_t duration_ms;
	int64_t seed;
};

/* A grant that is held for a while. */
struct script_hold {
	struct script *s;
	struct frm_conn *conn;
	uint64_t grant_id;
	const char *pool;
	struct tmr timer;
};

struct script {
	struct script_settings settings;
	struct loop loop;
	struct hc *hc;
	struct frm_server server;
	GRand *rand;
	GPtrArray *entries; /* struct frm_conn */
	GPtrArray *pools;   /* names */
	GHashTable *asked;  /* ask id -> pool name */
	struct frm_conn *gossip[SCRIPT_GOSSIP_PEERS];
	uint64_t last_id;
	int64_t revision;
	int gossip_round;
	uint64_t granted;
	uint64_t refused;
	uint64_t verdicts;
	struct tmr register_timer;
	struct tmr gossip_timer;
	struct tmr ask_timer;
	struct tmr claim_timer;
	struct tmr end;
};

static int script_on_msg(void *ctx, struct frm_conn *conn, uint16_t kind, const uint8_t *body,
			 size_t len);
static void script_on_close(void *ctx, struct frm_conn *conn, int err);
static void script_on_http(void *ctx, int status, int err, bool sent, const char *body, size_t len);

#define SCRIPT_OFF(field) offsetof(struct script_settings, field)

static const struct set_item script_items[] = {
	{"script", "platform", SET_ADDR, SCRIPT_OFF(platform), NULL, 0, 0},
	{"script", "target", SET_ADDR, SCRIPT_OFF(target), NULL, 0, 0},
	{"script", "listen", SET_ADDR, SCRIPT_OFF(listen), NULL, 0, 0},
	{"script", "pools", SET_INT, SCRIPT_OFF(pools), "1", 1, 10000},
	{"script", "version", SET_TEXT, SCRIPT_OFF(version), "v1", 1, 0},
	{"script", "hosts", SET_INT, SCRIPT_OFF(hosts), "10", 0, 10000},
	{"script", "entries", SET_INT, SCRIPT_OFF(entries), "1", 0, 1000},
	{"script", "accounts", SET_INT, SCRIPT_OFF(accounts), "1", 1, 10000},
	{"script", "asks", SET_INT, SCRIPT_OFF(asks), "0", 0, 100000},
	{"script", "claims", SET_INT, SCRIPT_OFF(claims), "0", 0, 100000},
	{"script", "hold_ms", SET_INT, SCRIPT_OFF(hold_ms), "1000", 0, 100000},
	{"script", "tokens", SET_INT, SCRIPT_OFF(tokens), "460", 1, 1000000},
	{"script", "duration_ms", SET_INT, SCRIPT_OFF(duration_ms), "10000", 1, 3600000},
	{"script", "seed", SET_INT, SCRIPT_OFF(seed), "1", 0, INT32_MAX},
};

static const struct frm_ops script_ops = {script_on_msg, script_on_close};
static const struct frm_limits script_limits = {SCRIPT_HEARTBEAT_US, SCRIPT_SILENT_US,
						SCRIPT_IDLE_US};
static const struct hc_ops script_http_ops = {.on_done = script_on_http};

static void script_on_http(void *ctx, int status, int err, bool sent, const char *body, size_t len)
{
	(void)ctx;
	(void)status;
	(void)err;
	(void)sent;
	(void)body;
	(void)len;
}

static void script_register(void *ctx, int64_t now_us)
{
	struct script *s = ctx;

	(void)now_us;
	for (int64_t i = 0; i < s->settings.hosts; i++) {
		char *body = g_strdup_printf(
			"{\"zone\":\"z%d\",\"control\":\"%s\",\"operators\":\"%s\",\"peer\":\"%s\","
			"\"state\":\"live\"}",
			(int)(i % 5), s->settings.listen, s->settings.listen, s->settings.listen);
		char *url =
			g_strdup_printf("http://%s/hosts/script-%d", s->settings.platform, (int)i);
		struct hc_request request = {
			.method = "PUT",
			.url = url,
			.body = body,
			.body_len = strlen(body),
			.connect_ms = SCRIPT_CONNECT_MS,
			.total_ms = SCRIPT_CONNECT_MS,
		};

		hc_start(s->hc, &request, &script_http_ops, s);
		g_free(url);
		g_free(body);
	}
	loop_after(&s->loop, &s->register_timer, SCRIPT_REGISTER_US, script_register, s);
}

/* What a daemon among so many hosts gets: two partners at a time, new ones now and then. */
static void script_gossip(void *ctx, int64_t now_us)
{
	struct script *s = ctx;
	Conf__Revision msg = CONF__REVISION__INIT;

	(void)now_us;
	msg.revision = s->revision;
	msg.host = "script";
	for (int i = 0; i < SCRIPT_GOSSIP_PEERS && s->settings.hosts > 0; i++) {
		if (s->gossip[i] && s->gossip_round % SCRIPT_GOSSIP_ROUNDS == 0) {
			frm_close(s->gossip[i]);
			s->gossip[i] = NULL;
		}
		if (!s->gossip[i])
			s->gossip[i] = frm_connect(&s->loop, s->settings.target, &script_ops,
						   &script_limits, s);
		frm_send(s->gossip[i], MSG_CONF_REVISION, &msg.base);
	}
	s->gossip_round++;
	loop_after(&s->loop, &s->gossip_timer, SCRIPT_GOSSIP_US, script_gossip, s);
}

static void script_release(void *ctx, int64_t now_us)
{
	struct script_hold *hold = ctx;
	Pool__Done msg = POOL__DONE__INIT;

	(void)now_us;
	msg.grant_id = hold->grant_id;
	msg.pool = (char *)hold->pool;
	msg.tokens = (uint64_t)hold->s->settings.tokens;
	frm_send(hold->conn, MSG_POOL_DONE, &msg.base);
	g_free(hold);
}

static void script_on_grant(struct script *s, struct frm_conn *conn, const Pool__Grant *msg)
{
	struct script_hold *hold = g_new0(struct script_hold, 1);

	s->granted++;
	hold->s = s;
	hold->conn = conn;
	hold->grant_id = msg->grant_id;
	hold->pool = g_hash_table_lookup(s->asked, &msg->ask_id);
	g_hash_table_remove(s->asked, &msg->ask_id);
	loop_after(&s->loop, &hold->timer, s->settings.hold_ms * USEC_PER_MSEC, script_release,
		   hold);
}

static int script_on_msg(void *ctx, struct frm_conn *conn, uint16_t kind, const uint8_t *body,
			 size_t len)
{
	struct script *s = ctx;
	Pool__Grant *grant;
	Conf__Revision *revision;

	switch (kind) {
	case MSG_POOL_GRANT:
		grant = pool__grant__unpack(NULL, len, body);
		if (!grant)
			return BASE_EFRAME;
		script_on_grant(s, conn, grant);
		pool__grant__free_unpacked(grant, NULL);
		return 0;
	case MSG_POOL_REFUSE:
		s->refused++;
		return 0;
	case MSG_ONCE_VERDICT:
		s->verdicts++;
		return 0;
	case MSG_CONF_REVISION:
		revision = conf__revision__unpack(NULL, len, body);
		if (revision)
			s->revision = MAX(s->revision, revision->revision);
		conf__revision__free_unpacked(revision, NULL);
		return 0;
	default:
		return 0;
	}
}

static void script_on_close(void *ctx, struct frm_conn *conn, int err)
{
	struct script *s = ctx;

	(void)err;
	for (int i = 0; i < SCRIPT_GOSSIP_PEERS; i++) {
		if (s->gossip[i] == conn)
			s->gossip[i] = NULL;
	}
	for (guint i = 0; i < s->entries->len; i++) {
		if (s->entries->pdata[i] != conn)
			continue;
		fprintf(stderr, "bgscript: an entry's connection was lost\n");
		exit(PROG_EXIT_FAILED);
	}
}

static int64_t script_interval(struct script *s, int64_t rate)
{
	double wait = -log(1 - g_rand_double(s->rand)) / (double)rate;

	return (int64_t)(wait * USEC_PER_SEC);
}

static char *script_account(struct script *s)
{
	return g_strdup_printf("a%d", g_rand_int_range(s->rand, 0, (gint32)s->settings.accounts));
}

static struct frm_conn *script_entry(struct script *s)
{
	return s->entries->pdata[g_rand_int_range(s->rand, 0, (gint32)s->entries->len)];
}

static void script_ask(void *ctx, int64_t now_us)
{
	struct script *s = ctx;
	Pool__Ask msg = POOL__ASK__INIT;
	char *account = script_account(s);
	char *pool = s->pools->pdata[g_rand_int_range(s->rand, 0, (gint32)s->pools->len)];
	uint64_t id = ++s->last_id;

	(void)now_us;
	msg.ask_id = id;
	msg.pool = pool;
	msg.account = account;
	msg.version = s->settings.version;
	msg.tokens = (uint64_t)s->settings.tokens;
	msg.wait_us = 60 * (uint64_t)USEC_PER_SEC;
	g_hash_table_insert(s->asked, g_memdup2(&id, sizeof(id)), pool);
	frm_send(script_entry(s), MSG_POOL_ASK, &msg.base);
	g_free(account);
	loop_after(&s->loop, &s->ask_timer, script_interval(s, s->settings.asks), script_ask, s);
}

static void script_claim(void *ctx, int64_t now_us)
{
	struct script *s = ctx;
	Once__Claim msg = ONCE__CLAIM__INIT;
	char *key =
		g_strdup_printf("a/key-%d-%" G_GUINT64_FORMAT, (int)s->settings.seed, ++s->last_id);

	(void)now_us;
	msg.ask_id = s->last_id;
	msg.key = key;
	msg.id = key;
	msg.request = "host-0-661aad0ecb7c7-2-1";
	msg.entry = "host-0";
	msg.endpoints = "e0,e1";
	msg.digest = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";
	frm_send(script_entry(s), MSG_ONCE_CLAIM, &msg.base);
	g_free(key);
	loop_after(&s->loop, &s->claim_timer, script_interval(s, s->settings.claims), script_claim,
		   s);
}

static void script_on_end(void *ctx, int64_t now_us)
{
	struct script *s = ctx;

	(void)now_us;
	loop_stop(&s->loop);
}

static void script_begin(struct script *s)
{
	s->pools = g_ptr_array_new();
	for (int64_t i = 0; i < s->settings.pools; i++)
		g_ptr_array_add(s->pools, g_strdup_printf("p%d", (int)i));
	s->entries = g_ptr_array_new();
	for (int64_t i = 0; i < s->settings.entries; i++)
		g_ptr_array_add(s->entries, frm_connect(&s->loop, s->settings.target, &script_ops,
							&script_limits, s));
	script_register(s, 0);
	script_gossip(s, 0);
	if (s->settings.asks > 0)
		script_ask(s, 0);
	if (s->settings.claims > 0)
		script_claim(s, 0);
	loop_after(&s->loop, &s->end, s->settings.duration_ms * USEC_PER_MSEC, script_on_end, s);
}

int main(int argc, char **argv)
{
	struct script *s = g_new0(struct script, 1);
	struct frm_limits limits = script_limits;

	prog_start(&argc, &argv, "Plays many hosts towards one control daemon.", script_items,
		   G_N_ELEMENTS(script_items), &s->settings);
	if (loop_init(&s->loop) < 0)
		return PROG_EXIT_FAILED;
	s->hc = hc_new(&s->loop);
	s->rand = g_rand_new_with_seed((guint32)s->settings.seed);
	s->asked = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	if (frm_listen(&s->server, &s->loop, s->settings.listen, &script_ops, &limits, s) < 0) {
		fprintf(stderr, "bgscript: cannot listen at %s\n", s->settings.listen);
		return PROG_EXIT_FAILED;
	}
	script_begin(s);
	loop_run(&s->loop);
	printf("granted %" G_GUINT64_FORMAT " refused %" G_GUINT64_FORMAT
	       " verdicts %" G_GUINT64_FORMAT "\n",
	       s->granted, s->refused, s->verdicts);
	return PROG_EXIT_OK;
}
