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
 * bgscript: simulates many hosts to measure the load that each of them causes on one control
 * daemon. The simulated hosts are in the platform's host list, send the daemon as many gossip
 * messages as that number of hosts would, request grants and claims at a given rate, and accept the
 * gossip that the daemon sends.
 */
enum {
	USEC_PER_MSEC = 1000,
	USEC_PER_SEC = 1000000,

	/* Timeout of a registration's connect, and of the whole registration, in milliseconds. */
	SCRIPT_CONNECT_MS = 1000,

	/* Intervals and timeouts, in microseconds. */
	SCRIPT_REGISTER_US = 2 * USEC_PER_SEC,	   /* Interval of registrations of each host. */
	SCRIPT_GOSSIP_US = USEC_PER_SEC,	   /* Interval of gossip messages. */
	SCRIPT_HEARTBEAT_US = 300 * USEC_PER_MSEC, /* Heartbeat interval, active connection. */
	SCRIPT_SILENT_US = 900 * USEC_PER_MSEC,	   /* Silence that closes an active connection. */
	SCRIPT_IDLE_US = 5 * USEC_PER_SEC,	   /* Heartbeat interval, idle connection. */

	/* Average number of hosts that gossip with one daemon at a time. */
	SCRIPT_GOSSIP_PEERS = 2,

	/* Gossip rounds before a host chooses new peers. */
	SCRIPT_GOSSIP_PEER_ROUNDS = 10
};

/* Settings of the simulation. */
struct script_settings {
	char *platform;	     /* Address of the platform. */
	char *target;	     /* Address of the control daemon to measure. */
	char *listen;	     /* Address at which the simulated hosts accept gossip. */
	char *version;	     /* Version of the model that requests ask for. */
	int64_t pools;	     /* Number of pools, named p0, p1, ... */
	int64_t hosts;	     /* Number of simulated hosts. */
	int64_t entries;     /* Number of connections as entry daemons. */
	int64_t accounts;    /* Number of client accounts, named a0, a1, ... */
	int64_t asks;	     /* Grants requested per second by all entry daemons together. */
	int64_t claims;	     /* Claims requested per second by all entry daemons together. */
	int64_t hold_ms;     /* Time for which a grant is held, in milliseconds. */
	int64_t tokens;	     /* Number of tokens of each request. */
	int64_t duration_ms; /* Duration of the run, in milliseconds. */
	int64_t seed;	     /* Seed of the random number generator. */
};

/* A grant that is held until its timer expires. */
struct script_held_grant {
	struct script *s;
	struct frm_conn *conn;
	uint64_t grant_id;
	const char *pool;
	struct tmr timer;
};

/* State of the simulation. */
struct script {
	struct script_settings settings;
	struct loop loop;
	struct hc *hc;
	struct frm_server server;
	GRand *rand;
	GPtrArray *entries;	 /* Connections (struct frm_conn) of simulated entry daemons. */
	GPtrArray *pools;	 /* Names of the pools. */
	GHashTable *asked_pools; /* Id of a grant request -> pool name. */
	struct frm_conn *gossip[SCRIPT_GOSSIP_PEERS]; /* Connections for gossip, or NULL. */
	uint64_t last_ask_id;	   /* Id of the newest request for a grant or a claim. */
	int64_t revision;	   /* Highest configuration revision received. */
	int gossip_round;	   /* Number of gossip rounds so far. */
	uint64_t granted;	   /* Number of grants received. */
	uint64_t refused;	   /* Number of grant requests refused. */
	uint64_t verdicts;	   /* Number of verdicts on claims received. */
	struct tmr register_timer; /* Timer of the next registration of the hosts. */
	struct tmr gossip_timer;   /* Timer of the next gossip message. */
	struct tmr ask_timer;	   /* Timer of the next request for a grant. */
	struct tmr claim_timer;	   /* Timer of the next request for a claim. */
	struct tmr end_timer;	   /* Timer of the end of the run. */
};

static int script_on_msg(void *ctx, struct frm_conn *conn, uint16_t kind, const uint8_t *body,
			 size_t len);
static void script_on_close(void *ctx, struct frm_conn *conn, int err);
static void script_on_http(void *ctx, int status, int err, bool sent, const char *body, size_t len);

#define SCRIPT_FIELD(field) offsetof(struct script_settings, field)

static const struct settings_item script_setting_items[] = {
	{"script", "platform", SETTINGS_ADDR, SCRIPT_FIELD(platform), NULL, 0, 0},
	{"script", "target", SETTINGS_ADDR, SCRIPT_FIELD(target), NULL, 0, 0},
	{"script", "listen", SETTINGS_ADDR, SCRIPT_FIELD(listen), NULL, 0, 0},
	{"script", "pools", SETTINGS_INT, SCRIPT_FIELD(pools), "1", 1, 10000},
	{"script", "version", SETTINGS_TEXT, SCRIPT_FIELD(version), "v1", 1, 0},
	{"script", "hosts", SETTINGS_INT, SCRIPT_FIELD(hosts), "10", 0, 10000},
	{"script", "entries", SETTINGS_INT, SCRIPT_FIELD(entries), "1", 0, 1000},
	{"script", "accounts", SETTINGS_INT, SCRIPT_FIELD(accounts), "1", 1, 10000},
	{"script", "asks", SETTINGS_INT, SCRIPT_FIELD(asks), "0", 0, 100000},
	{"script", "claims", SETTINGS_INT, SCRIPT_FIELD(claims), "0", 0, 100000},
	{"script", "hold_ms", SETTINGS_INT, SCRIPT_FIELD(hold_ms), "1000", 0, 100000},
	{"script", "tokens", SETTINGS_INT, SCRIPT_FIELD(tokens), "460", 1, 1000000},
	{"script", "duration_ms", SETTINGS_INT, SCRIPT_FIELD(duration_ms), "10000", 1, 3600000},
	{"script", "seed", SETTINGS_INT, SCRIPT_FIELD(seed), "1", 0, INT32_MAX},
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
	loop_start_timer(&s->loop, &s->register_timer, SCRIPT_REGISTER_US, script_register, s);
}

/*
 * Sends the gossip that one daemon among many hosts receives: from two hosts at a time, which are
 * replaced every SCRIPT_GOSSIP_PEER_ROUNDS rounds.
 */
static void script_gossip(void *ctx, int64_t now_us)
{
	struct script *s = ctx;
	Conf__Revision msg = CONF__REVISION__INIT;

	(void)now_us;
	msg.revision = s->revision;
	msg.host = "script";
	for (int i = 0; i < SCRIPT_GOSSIP_PEERS && s->settings.hosts > 0; i++) {
		if (s->gossip[i] && s->gossip_round % SCRIPT_GOSSIP_PEER_ROUNDS == 0) {
			frm_close(s->gossip[i]);
			s->gossip[i] = NULL;
		}
		if (!s->gossip[i])
			s->gossip[i] = frm_connect(&s->loop, s->settings.target, &script_ops,
						   &script_limits, s);
		frm_send(s->gossip[i], MSG_CONF_REVISION, &msg.base);
	}
	s->gossip_round++;
	loop_start_timer(&s->loop, &s->gossip_timer, SCRIPT_GOSSIP_US, script_gossip, s);
}

static void script_send_done(void *ctx, int64_t now_us)
{
	struct script_held_grant *held = ctx;
	Pool__Done msg = POOL__DONE__INIT;

	(void)now_us;
	msg.grant_id = held->grant_id;
	msg.pool = (char *)held->pool;
	msg.tokens = (uint64_t)held->s->settings.tokens;
	frm_send(held->conn, MSG_POOL_DONE, &msg.base);
	g_free(held);
}

static void script_on_grant(struct script *s, struct frm_conn *conn, const Pool__Grant *msg)
{
	struct script_held_grant *held = g_new0(struct script_held_grant, 1);

	s->granted++;
	held->s = s;
	held->conn = conn;
	held->grant_id = msg->grant_id;
	held->pool = g_hash_table_lookup(s->asked_pools, &msg->ask_id);
	g_hash_table_remove(s->asked_pools, &msg->ask_id);
	loop_start_timer(&s->loop, &held->timer, s->settings.hold_ms * USEC_PER_MSEC,
			 script_send_done, held);
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
		fprintf(stderr, "bgscript: connection of a simulated entry daemon closed\n");
		exit(PROG_EXIT_FAILED);
	}
}

/* Returns a random time to the next event of a Poisson process, in microseconds. */
static int64_t script_poisson_interval(struct script *s, int64_t rate)
{
	double wait = -log(1 - g_rand_double(s->rand)) / (double)rate;

	return (int64_t)(wait * USEC_PER_SEC);
}

static char *script_random_account(struct script *s)
{
	return g_strdup_printf("a%d", g_rand_int_range(s->rand, 0, (gint32)s->settings.accounts));
}

static struct frm_conn *script_random_entry(struct script *s)
{
	return s->entries->pdata[g_rand_int_range(s->rand, 0, (gint32)s->entries->len)];
}

static void script_send_ask(void *ctx, int64_t now_us)
{
	struct script *s = ctx;
	Pool__Ask msg = POOL__ASK__INIT;
	char *account = script_random_account(s);
	char *pool = s->pools->pdata[g_rand_int_range(s->rand, 0, (gint32)s->pools->len)];
	uint64_t id = ++s->last_ask_id;

	(void)now_us;
	msg.ask_id = id;
	msg.pool = pool;
	msg.account = account;
	msg.version = s->settings.version;
	msg.tokens = (uint64_t)s->settings.tokens;
	msg.wait_us = 60 * (uint64_t)USEC_PER_SEC;
	g_hash_table_insert(s->asked_pools, g_memdup2(&id, sizeof(id)), pool);
	frm_send(script_random_entry(s), MSG_POOL_ASK, &msg.base);
	g_free(account);
	loop_start_timer(&s->loop, &s->ask_timer, script_poisson_interval(s, s->settings.asks),
			 script_send_ask, s);
}

static void script_send_claim(void *ctx, int64_t now_us)
{
	struct script *s = ctx;
	Once__Claim msg = ONCE__CLAIM__INIT;
	char *key = g_strdup_printf("a/key-%d-%" G_GUINT64_FORMAT, (int)s->settings.seed,
				    ++s->last_ask_id);

	(void)now_us;
	msg.ask_id = s->last_ask_id;
	msg.key = key;
	msg.id = key;
	msg.request = "host-0-661aad0ecb7c7-2-1";
	msg.entry = "host-0";
	msg.endpoints = "e0,e1";
	msg.digest = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";
	frm_send(script_random_entry(s), MSG_ONCE_CLAIM, &msg.base);
	g_free(key);
	loop_start_timer(&s->loop, &s->claim_timer, script_poisson_interval(s, s->settings.claims),
			 script_send_claim, s);
}

static void script_on_end(void *ctx, int64_t now_us)
{
	struct script *s = ctx;

	(void)now_us;
	loop_stop(&s->loop);
}

static void script_start(struct script *s)
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
		script_send_ask(s, 0);
	if (s->settings.claims > 0)
		script_send_claim(s, 0);
	loop_start_timer(&s->loop, &s->end_timer, s->settings.duration_ms * USEC_PER_MSEC,
			 script_on_end, s);
}

int main(int argc, char **argv)
{
	struct script *s = g_new0(struct script, 1);
	struct frm_limits limits = script_limits;

	prog_start(&argc, &argv, "Simulator of many hosts for one control daemon.",
		   script_setting_items, G_N_ELEMENTS(script_setting_items), &s->settings);
	if (loop_init(&s->loop) < 0)
		return PROG_EXIT_FAILED;
	s->hc = hc_new(&s->loop);
	s->rand = g_rand_new_with_seed((guint32)s->settings.seed);
	s->asked_pools = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	if (frm_listen(&s->server, &s->loop, s->settings.listen, &script_ops, &limits, s) < 0) {
		fprintf(stderr, "bgscript: cannot listen at %s\n", s->settings.listen);
		return PROG_EXIT_FAILED;
	}
	script_start(s);
	loop_run(&s->loop);
	printf("granted %" G_GUINT64_FORMAT " refused %" G_GUINT64_FORMAT
	       " verdicts %" G_GUINT64_FORMAT "\n",
	       s->granted, s->refused, s->verdicts);
	return PROG_EXIT_OK;
}
