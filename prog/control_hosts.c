#include "base/err.h"
#include "base/log.h"
#include "base/met.h"
#include "msg/conf.pb-c.h"
#include "msg/kind.h"
#include "prog/control.h"

#include <stdlib.h>
#include <string.h>

/*
 * Registers this host in the platform's host list and reads the list, exchanges configuration
 * revisions with other control daemons (gossip), and sends updates to entry daemons.
 */
enum {
	CONTROL_HOSTS_MAX = 4096,	 /* Limit of hosts taken from the list. */
	CONTROL_POLLS_PER_REGISTER = 2,	 /* Reads of the list per registration of this host. */
	CONTROL_GOSSIP_PEER_ROUNDS = 10, /* Gossip rounds before new peers are chosen. */

	/* Time for which the log may lag behind a peer before the peer's state is fetched. */
	CONTROL_PEER_FETCH_DELAY_US = USEC_PER_SEC
};

static void control_poll_hosts(void *ctx, int64_t now_us);
static void control_gossip(void *ctx, int64_t now_us);
static void control_send_fetch(struct control *c, struct frm_conn *conn);
static void control_on_host_list(void *ctx, int status, int err, bool sent, const char *body,
				 size_t len);
static void control_on_registered(void *ctx, int status, int err, bool sent, const char *body,
				  size_t len);

static const struct hc_ops control_hosts_ops = {.on_done = control_on_host_list};
static const struct hc_ops control_register_ops = {.on_done = control_on_registered};

void control_hosts_start(struct control *c)
{
	control_poll_hosts(c, tmr_now());
	control_gossip(c, tmr_now());
}

static bool control_is_draining(const struct control *c, const char *name)
{
	const struct conf_obj *obj = conf_get(c->clog.state, CONF_HOST, name);

	return obj && obj->value[HOST_STATE] != 0;
}

void control_hosts_register(struct control *c)
{
	bool leaving = c->stopping || control_is_draining(c, c->settings.name);
	json_t *json = json_pack("{s:s, s:s, s:s, s:s, s:s}", "zone", c->settings.zone, "control",
				 c->settings.listen, "operators", c->settings.operator_addr, "peer",
				 c->settings.peer_addr, "state", leaving ? "leaving" : "live");
	char *body = json_dumps(json, JSON_COMPACT);
	char *url = g_strdup_printf("http://%s/hosts/%s", c->settings.platform, c->settings.name);
	struct hc_request request = {
		.method = "PUT",
		.url = url,
		.body = body,
		.body_len = strlen(body),
		.connect_ms = CONTROL_CONNECT_MS,
		.total_ms = c->settings.hosts_ms,
	};

	hc_start(c->hc, &request, &control_register_ops, c);
	g_free(url);
	free(body);
	json_decref(json);
}

static void control_on_registered(void *ctx, int status, int err, bool sent, const char *body,
				  size_t len)
{
	(void)ctx;
	(void)err;
	(void)sent;
	(void)body;
	(void)len;
	if (status != 200)
		met_add(met_counter("bg_hosts_failures_total", ""), 1);
}

static void control_poll_hosts(void *ctx, int64_t now_us)
{
	struct control *c = ctx;
	char *url = g_strdup_printf("http://%s/hosts?version=%" G_GINT64_FORMAT,
				    c->settings.platform, c->hosts_version);
	struct hc_request request = {
		.method = "GET",
		.url = url,
		.connect_ms = CONTROL_CONNECT_MS,
		.total_ms = c->settings.hosts_ms,
	};

	(void)now_us;
	if (c->hosts_poll_count++ % CONTROL_POLLS_PER_REGISTER == 0)
		control_hosts_register(c);
	hc_start(c->hc, &request, &control_hosts_ops, c);
	g_free(url);
	loop_start_timer(&c->loop, &c->hosts_timer, c->settings.hosts_ms * USEC_PER_MSEC,
			 control_poll_hosts, c);
}

static void control_copy_member(char *to, size_t size, const json_t *json, const char *key)
{
	const char *text = json_string_value(json_object_get(json, key));

	g_strlcpy(to, text ? text : "", size);
}

static void control_parse_host(const struct control *c, const json_t *json, struct host *host)
{
	char state[16];

	memset(host, 0, sizeof(*host));
	control_copy_member(host->name, sizeof(host->name), json, "name");
	control_copy_member(host->zone, sizeof(host->zone), json, "zone");
	control_copy_member(host->control_addr, sizeof(host->control_addr), json, "control");
	control_copy_member(host->operator_addr, sizeof(host->operator_addr), json, "operators");
	control_copy_member(host->peer_addr, sizeof(host->peer_addr), json, "peer");
	control_copy_member(state, sizeof(state), json, "state");
	host->listed_leaving = strcmp(state, "leaving") == 0;
	host->leaving = host->listed_leaving || control_is_draining(c, host->name);
}

/*
 * If the platform does not answer, or the list has not changed, the last list stays in use. The
 * request names the version in use, so that the platform sends the list only after a change: the
 * whole list, sent to every host each second, would be far more than all other control traffic.
 */
static void control_on_host_list(void *ctx, int status, int err, bool sent, const char *body,
				 size_t len)
{
	struct control *c = ctx;
	json_t *json = status == 200 ? json_loadb(body, len, 0, NULL) : NULL;
	json_t *list = json_object_get(json, "hosts");
	size_t n = MIN(json_array_size(list), (size_t)CONTROL_HOSTS_MAX);
	struct host *items;

	(void)err;
	(void)sent;
	if (!json) {
		met_add(met_counter("bg_hosts_failures_total", ""), 1);
		return;
	}
	c->hosts_version = json_integer_value(json_object_get(json, "version"));
	if (!list) {
		json_decref(json);
		return;
	}
	items = g_new(struct host, n + 1);
	for (size_t i = 0; i < n; i++)
		control_parse_host(c, json_array_get(list, i), &items[i]);
	if (n > 0)
		host_on_list(&c->hosts, items, n);
	g_free(items);
	json_decref(json);
	control_push_updates_to_all(c);
}

static void control_send_hosts(struct control *c, struct frm_conn *conn, bool only_self)
{
	Conf__Hosts msg = CONF__HOSTS__INIT;
	guint n = c->hosts.hosts->len;
	Conf__Host *items = g_new(Conf__Host, n + 1);
	Conf__Host **list = g_new(Conf__Host *, n + 1);

	for (guint i = 0; i < n; i++) {
		struct host *host = c->hosts.hosts->pdata[i];
		bool self = strcmp(host->name, c->settings.name) == 0;
		Conf__Host *item = &items[msg.n_hosts];

		if (only_self && !self)
			continue;
		conf__host__init(item);
		item->name = host->name;
		item->zone = host->zone;
		item->control_addr = host->control_addr;
		item->operator_addr = host->operator_addr;
		item->peer_addr = host->peer_addr;
		item->leaving = host->leaving || (self && c->stopping);
		list[msg.n_hosts++] = item;
	}
	msg.hosts = list;
	frm_send(conn, MSG_CONF_HOSTS, &msg.base);
	g_free(list);
	g_free(items);
}

static void control_send_state(struct control *c, struct frm_conn *conn)
{
	Conf__State msg = CONF__STATE__INIT;

	msg.snapshot = clog_snapshot_record(&c->clog);
	frm_send(conn, MSG_CONF_STATE, &msg.base);
	free(msg.snapshot);
}

/*
 * Sends a newer configuration and the host list to a subscriber. Other connections receive only
 * this host's entry, and only while it is leaving.
 */
void control_push_updates(struct control *c, struct control_conn *conn)
{
	if (!conn->subscriber) {
		if (c->stopping)
			control_send_hosts(c, conn->conn, true);
		return;
	}
	if (c->clog.ready && conn->in_force < c->clog.revision)
		control_send_state(c, conn->conn);
	control_send_hosts(c, conn->conn, false);
}

/*
 * Recomputes which hosts are leaving: a host can be drained by the configuration while its entry in
 * the platform's list stays the same.
 */
void control_hosts_on_conf(struct control *c)
{
	for (guint i = 0; i < c->hosts.hosts->len; i++) {
		struct host *host = c->hosts.hosts->pdata[i];

		host->leaving = host->listed_leaving || control_is_draining(c, host->name);
	}
}

void control_push_updates_to_all(struct control *c)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->conns);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		control_push_updates(c, value);
}

/*
 * Sends this daemon's configuration revision to its gossip peers. New peers are chosen at random
 * every CONTROL_GOSSIP_PEER_ROUNDS rounds.
 */
static void control_gossip(void *ctx, int64_t now_us)
{
	struct control *c = ctx;
	struct frm_limits limits = control_frm_limits(c);
	Conf__Revision msg = CONF__REVISION__INIT;

	(void)now_us;
	msg.revision = c->clog.ready ? c->clog.revision : -1;
	msg.host = c->settings.name;
	for (size_t i = 0; i < G_N_ELEMENTS(c->gossip_peers); i++) {
		guint n = c->hosts.hosts->len;
		const struct host *host;

		if (c->gossip_peers[i] && c->gossip_round % CONTROL_GOSSIP_PEER_ROUNDS == 0) {
			struct frm_conn *old = c->gossip_peers[i];

			control_conn_remove(c, old);
			frm_close(old);
		}
		if (!c->gossip_peers[i] && n > 0) {
			host = c->hosts.hosts->pdata[g_rand_int_range(c->rand, 0, (gint32)n)];
			if (strcmp(host->name, c->settings.name) != 0)
				c->gossip_peers[i] = frm_connect(&c->loop, host->control_addr,
								 &control_frm_ops, &limits, c);
		}
		if (c->gossip_peers[i])
			frm_send(c->gossip_peers[i], MSG_CONF_REVISION, &msg.base);
	}
	c->gossip_round++;
	loop_start_timer(&c->loop, &c->gossip_timer, c->settings.gossip_ms * USEC_PER_MSEC,
			 control_gossip, c);
}

void control_gossip_peer_closed(struct control *c, const struct frm_conn *conn)
{
	for (size_t i = 0; i < G_N_ELEMENTS(c->gossip_peers); i++) {
		if (c->gossip_peers[i] == conn)
			c->gossip_peers[i] = NULL;
	}
}

static void control_send_fetch(struct control *c, struct frm_conn *conn)
{
	Conf__Fetch msg = CONF__FETCH__INIT;

	(void)c;
	frm_send(conn, MSG_CONF_FETCH, &msg.base);
}

/*
 * A working log delivers the same revision soon, so a higher revision is fetched from the peer only
 * if the log is unavailable or has not delivered it within a second.
 */
int control_on_revision(struct control *c, struct frm_conn *conn, const uint8_t *body, size_t len)
{
	Conf__Revision *msg = conf__revision__unpack(NULL, len, body);
	int64_t now = tmr_now();
	bool gossip_peer = conn == c->gossip_peers[0] || conn == c->gossip_peers[1];

	if (!msg)
		return BASE_EFRAME;
	if (!c->clog.ready || msg->revision > c->clog.revision) {
		if (c->higher_revision_us == 0)
			c->higher_revision_us = now;
		if (msg->revision >= 0 &&
		    (!c->log_ok || now - c->higher_revision_us > CONTROL_PEER_FETCH_DELAY_US))
			control_send_fetch(c, conn);
	} else {
		c->higher_revision_us = 0;
	}
	if (!gossip_peer && msg->revision != c->clog.revision && c->clog.ready) {
		Conf__Revision reply = CONF__REVISION__INIT;

		reply.revision = c->clog.revision;
		reply.host = c->settings.name;
		frm_send(conn, MSG_CONF_REVISION, &reply.base);
	}
	conf__revision__free_unpacked(msg, NULL);
	return 0;
}

int control_on_fetch(struct control *c, struct frm_conn *conn, const uint8_t *body, size_t len)
{
	Conf__Fetch *msg = conf__fetch__unpack(NULL, len, body);

	if (!msg)
		return BASE_EFRAME;
	if (c->clog.ready)
		control_send_state(c, conn);
	conf__fetch__free_unpacked(msg, NULL);
	return 0;
}

int control_on_state(struct control *c, struct frm_conn *conn, const uint8_t *body, size_t len)
{
	Conf__State *msg = conf__state__unpack(NULL, len, body);
	int applied;

	(void)conn;
	if (!msg)
		return BASE_EFRAME;
	applied = clog_on_peer_state(&c->clog, str_from_cstr(msg->snapshot));
	conf__state__free_unpacked(msg, NULL);
	if (applied < 0)
		return BASE_EFRAME;
	if (applied > 0) {
		log_msg(LOG_NOTICE, "config_from_peer revision=%" G_GINT64_FORMAT,
			c->clog.revision);
		met_add(met_counter("bg_config_from_peer_total", ""), 1);
		c->higher_revision_us = 0;
		control_conf_changed(c);
	}
	return 0;
}

int control_on_in_force(struct control *c, struct frm_conn *conn, const uint8_t *body, size_t len)
{
	Conf__InForce *msg = conf__in_force__unpack(NULL, len, body);
	struct control_conn *peer = frm_user_data(conn);
	bool new_subscriber;

	if (!msg)
		return BASE_EFRAME;
	new_subscriber = !peer->subscriber;
	peer->subscriber = true;
	peer->in_force = msg->revision;
	g_strlcpy(peer->host, msg->host, sizeof(peer->host));
	conf__in_force__free_unpacked(msg, NULL);
	if (new_subscriber)
		control_push_updates(c, peer);
	return 0;
}

/* Another control daemon announces that it is leaving, before the platform's list shows it. */
int control_on_hosts_msg(struct control *c, struct frm_conn *conn, const uint8_t *body, size_t len)
{
	Conf__Hosts *msg = conf__hosts__unpack(NULL, len, body);

	(void)conn;
	if (!msg)
		return BASE_EFRAME;
	for (size_t i = 0; i < msg->n_hosts; i++) {
		struct host *host = host_find(&c->hosts, msg->hosts[i]->name);

		if (host)
			host->leaving = msg->hosts[i]->leaving;
	}
	conf__hosts__free_unpacked(msg, NULL);
	return 0;
}
