#include "base/err.h"
#include "base/log.h"
#include "base/met.h"
#include "msg/kind.h"
#include "prog/entry_broker.h"

#include <string.h>

/* Connections to the control daemons that are homes of pools and of idempotency keys. */

typedef int (*entry_home_fn)(struct entry *e, const uint8_t *body, size_t len);

static int entry_home_on_msg(void *ctx, struct frm_conn *conn, uint16_t kind, const uint8_t *body,
			     size_t len);
static void entry_home_on_close(void *ctx, struct frm_conn *conn, int err);

static const struct frm_ops entry_home_ops = {entry_home_on_msg, entry_home_on_close};

static const entry_home_fn entry_home_msgs[MSG_KIND_COUNT] = {
	[MSG_POOL_GRANT] = entry_on_grant,
	[MSG_POOL_REFUSE] = entry_on_refuse,
	[MSG_POOL_HELD] = entry_on_held,
	[MSG_ONCE_VERDICT] = entry_on_verdict,
};

struct frm_limits entry_conn_limits(const struct entry *e)
{
	struct frm_limits limits = {e->settings.heartbeat_ms * USEC_PER_MSEC,
				    e->settings.silent_ms * USEC_PER_MSEC,
				    e->settings.idle_ms * USEC_PER_MSEC};

	return limits;
}

const struct host *entry_home_host(const struct entry *e, const char *key)
{
	int64_t now = tmr_now();
	const struct host *host = host_home(&e->view.hosts, key, 0, now);

	return host && host->suspect_until_us <= now ? host : NULL;
}

struct entry_home *entry_home_connect(struct entry *e, const struct host *host)
{
	struct entry_home *home = g_hash_table_lookup(e->broker.homes, host->name);
	struct frm_limits limits = entry_conn_limits(e);

	if (home)
		return home;
	home = g_new0(struct entry_home, 1);
	home->entry = e;
	home->host = g_strdup(host->name);
	home->conn = frm_connect(&e->loop, host->control_addr, &entry_home_ops, &limits, home);
	if (!home->conn) {
		g_free(home->host);
		g_free(home);
		return NULL;
	}
	g_hash_table_insert(e->broker.homes, home->host, home);
	return home;
}

struct entry_home *entry_home_find(struct entry *e, const char *host)
{
	return host ? g_hash_table_lookup(e->broker.homes, host) : NULL;
}

/* The connection uses the short heartbeat interval only while an answer is pending. */
void entry_home_begin_wait(struct entry_home *home)
{
	home->unanswered++;
	frm_set_active(home->conn, true);
}

void entry_home_end_wait(struct entry_home *home)
{
	if (!home || home->unanswered == 0)
		return;
	home->unanswered--;
	if (home->unanswered == 0)
		frm_set_active(home->conn, false);
}

static int entry_home_on_msg(void *ctx, struct frm_conn *conn, uint16_t kind, const uint8_t *body,
			     size_t len)
{
	struct entry_home *home = ctx;
	struct entry *e = home->entry;

	host_on_evidence(&e->view.hosts, home->host, HOST_ANSWERED, tmr_now());
	if (kind == MSG_CONF_HOSTS)
		return entry_view_on_hosts(e, conn, body, len);
	if (kind >= MSG_KIND_COUNT || !entry_home_msgs[kind])
		return BASE_EFRAME;
	return entry_home_msgs[kind](e, body, len);
}

/*
 * The connection to a home was closed or has been silent for too long. Waiting for its answers
 * would stall every request of its pools, so its grants and claims move to the next home at once.
 */
static void entry_home_on_close(void *ctx, struct frm_conn *conn, int err)
{
	struct entry_home *home = ctx;
	struct entry *e = home->entry;

	(void)conn;
	log_msg(LOG_WARNING, "home_lost host=%s reason=\"%s\"", home->host, base_strerror(err));
	met_add(met_counter("bg_homes_lost_total", ""), 1);
	host_on_evidence(&e->view.hosts, home->host,
			 err == BASE_ESILENT ? HOST_TIMED_OUT : HOST_REFUSED, tmr_now());
	g_hash_table_remove(e->broker.homes, home->host);
	entry_grants_home_lost(e, home->host);
	entry_claims_home_lost(e, home->host);
	g_free(home->host);
	g_free(home);
}
