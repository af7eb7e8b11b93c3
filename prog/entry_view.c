#include "base/err.h"
#include "base/log.h"
#include "base/met.h"
#include "msg/conf.pb-c.h"
#include "msg/kind.h"
#include "prog/entry.h"

#include <ck_pr.h>
#include <string.h>

/*
 * The entry daemon's view of the configuration and the hosts. The control daemon of the same host
 * sends it; if that is unreachable, the control daemon of another host. The last view stays in use
 * meanwhile.
 */
enum {
	ENTRY_VIEW_RETRY_US = 200000, /* delay before connecting again, in microseconds */
	ENTRY_VIEW_OWN_FAILURES = 3   /* failures after which other hosts are also tried */
};

static int entry_view_on_msg(void *ctx, struct frm_conn *conn, uint16_t kind, const uint8_t *body,
			     size_t len);
static void entry_view_on_close(void *ctx, struct frm_conn *conn, int err);
static void entry_view_connect(void *ctx, int64_t now_us);
static int entry_view_on_state(struct entry *e, const uint8_t *body, size_t len);
static void entry_view_publish(struct entry *e);

static const struct frm_ops entry_view_ops = {entry_view_on_msg, entry_view_on_close};

void entry_view_start(struct entry *e)
{
	clog_init(&e->view.clog);
	e->view.reported_revision = -1;
	host_table_init(&e->view.hosts, e->settings.suspect_ms * USEC_PER_MSEC);
	entry_view_connect(e, tmr_now());
}

/* Reports the revision in force to the control daemon. */
static void entry_view_send_in_force(struct entry *e)
{
	Conf__InForce msg = CONF__IN_FORCE__INIT;
	uint64_t in_force = ck_pr_load_64(&e->revision);

	msg.revision = e->view.clog.ready ? (int64_t)in_force : -1;
	msg.host = e->settings.name;
	if (e->view.conn)
		frm_send(e->view.conn, MSG_CONF_IN_FORCE, &msg.base);
}

/* Returns the address of the control daemon of a random host, or NULL if none is known. */
static const char *entry_view_other_addr(struct entry *e)
{
	guint n = e->view.hosts.hosts->len;
	const struct host *host;

	if (n == 0)
		return NULL;
	host = e->view.hosts.hosts->pdata[g_rand_int_range(e->broker.rand, 0, (gint32)n)];
	return host->control_addr;
}

static void entry_view_connect(void *ctx, int64_t now_us)
{
	struct entry *e = ctx;
	struct frm_limits limits = entry_conn_limits(e);
	const char *addr = e->settings.control;

	(void)now_us;
	if (e->view.conn)
		return;
	e->view.from_own_host = true;
	if (e->view.failures >= ENTRY_VIEW_OWN_FAILURES && e->view.failures % 2 == 0 &&
	    entry_view_other_addr(e)) {
		addr = entry_view_other_addr(e);
		e->view.from_own_host = strcmp(addr, e->settings.control) == 0;
	}
	e->view.conn = frm_connect(&e->loop, addr, &entry_view_ops, &limits, e);
	frm_set_active(e->view.conn, true);
	entry_view_send_in_force(e);
}

static void entry_view_on_close(void *ctx, struct frm_conn *conn, int err)
{
	struct entry *e = ctx;

	(void)conn;
	if (e->view.failures == 0)
		log_msg(LOG_WARNING, "control_lost reason=\"%s\"", base_strerror(err));
	e->view.conn = NULL;
	e->view.failures++;
	loop_start_timer(&e->loop, &e->view.retry_timer, ENTRY_VIEW_RETRY_US, entry_view_connect,
			 e);
}

static int entry_view_on_msg(void *ctx, struct frm_conn *conn, uint16_t kind, const uint8_t *body,
			     size_t len)
{
	struct entry *e = ctx;

	if (e->view.from_own_host && e->view.failures > 0) {
		e->view.failures = 0;
		log_msg(LOG_NOTICE, "control_back");
	}
	switch (kind) {
	case MSG_CONF_STATE:
		return entry_view_on_state(e, body, len);
	case MSG_CONF_HOSTS:
		return entry_view_on_hosts(e, conn, body, len);
	case MSG_CONF_REVISION:
		return 0;
	default:
		return BASE_EFRAME;
	}
}

static int entry_view_on_state(struct entry *e, const uint8_t *body, size_t len)
{
	Conf__State *msg = conf__state__unpack(NULL, len, body);
	int taken;

	if (!msg)
		return BASE_EFRAME;
	taken = clog_on_peer_state(&e->view.clog, str_from_cstr(msg->snapshot));
	conf__state__free_unpacked(msg, NULL);
	if (taken < 0)
		return BASE_EFRAME;
	if (taken > 0) {
		entry_broker_on_conf(e);
		entry_view_publish(e);
	}
	return 0;
}

/* Sends a copy of the view to the traffic thread. */
static void entry_view_publish(struct entry *e)
{
	struct entry_event *event = g_new0(struct entry_event, 1);

	event->kind = ENTRY_EVENT_VIEW;
	event->conf = conf_state_ref(e->view.clog.state);
	event->revision = e->view.clog.revision;
	event->hosts = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; i < e->view.hosts.hosts->len; i++)
		g_ptr_array_add(event->hosts,
				g_memdup2(e->view.hosts.hosts->pdata[i], sizeof(struct host)));
	entry_send_event(e, event);
}

/*
 * The host is not ready while the configuration declares it as draining. Its state in the list of
 * hosts is not used, since that is also "leaving" while only the control daemon restarts.
 */
static void entry_view_set_ready(struct entry *e)
{
	const struct conf_obj *self = conf_get(e->view.clog.state, CONF_HOST, e->settings.name);
	bool draining = self && self->value[HOST_STATE] != 0;

	ck_pr_store_uint(&e->ready, e->view.clog.ready && !e->stopping && !draining);
}

/*
 * A revision is in force on this host once the traffic thread, which handles requests, uses it.
 * Only then is it reported to the control daemon.
 */
void entry_view_report_in_force(struct entry *e)
{
	int64_t now = (int64_t)ck_pr_load_64(&e->revision);

	entry_view_set_ready(e);
	if (!e->view.clog.ready || now != e->view.clog.revision || now == e->view.reported_revision)
		return;
	e->view.reported_revision = now;
	entry_view_send_in_force(e);
}

static void entry_view_unpack_host(const Conf__Host *msg, struct host *host)
{
	memset(host, 0, sizeof(*host));
	g_strlcpy(host->name, msg->name, sizeof(host->name));
	g_strlcpy(host->zone, msg->zone, sizeof(host->zone));
	g_strlcpy(host->control_addr, msg->control_addr, sizeof(host->control_addr));
	g_strlcpy(host->operator_addr, msg->operator_addr, sizeof(host->operator_addr));
	g_strlcpy(host->peer_addr, msg->peer_addr, sizeof(host->peer_addr));
	host->leaving = msg->leaving;
}

/*
 * The control daemon that the view comes from sets the whole list of hosts. From any other control
 * daemon, only the "leaving" state of known hosts is used; it reports just its own.
 */
int entry_view_on_hosts(struct entry *e, struct frm_conn *conn, const uint8_t *body, size_t len)
{
	Conf__Hosts *msg = conf__hosts__unpack(NULL, len, body);
	struct host *items;

	if (!msg)
		return BASE_EFRAME;
	items = g_new(struct host, msg->n_hosts + 1);
	for (size_t i = 0; i < msg->n_hosts; i++) {
		struct host *known = host_find(&e->view.hosts, msg->hosts[i]->name);

		entry_view_unpack_host(msg->hosts[i], &items[i]);
		if (conn != e->view.conn && known)
			known->leaving = items[i].leaving;
	}
	if (conn == e->view.conn && msg->n_hosts > 0)
		host_on_list(&e->view.hosts, items, msg->n_hosts);
	g_free(items);
	conf__hosts__free_unpacked(msg, NULL);
	entry_broker_on_hosts(e);
	entry_view_publish(e);
	return 0;
}
