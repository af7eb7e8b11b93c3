#include "router/gateway.h"
#include "base/addr.h"
#include "base/frm.h"
#include "base/jl.h"
#include "base/met.h"
#include "base/tcp_end.h"
#include "msg/kind.h"

#include <ck_pr.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdbool.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	GATEWAY_TUNNELS_MAX = 1024, /* most tunnels at a time; each has two sockets */
	GATEWAY_READ_LEN = 16384,   /* bytes read at a time */
	/* Longest time for the connection to an endpoint, in ms, whatever the asking host states.
	 */
	GATEWAY_CONNECT_MAX_MS = 1000,
	/* Time in ms for the asking host to attach a connection to an opened tunnel. */
	GATEWAY_ATTACH_MS = 1000,
	/* Time in ms for the asking host to close its connection after the endpoint has closed its.
	 */
	GATEWAY_LINGER_MS = 5000,
	/* Keep-alive of the asking host's connection: idle time and interval in s, lost probes. */
	GATEWAY_KEEPALIVE_S = 5,
	GATEWAY_KEEPALIVE_PROBES = 3
};

/* A connection of a tunnel. */
struct gateway_side {
	struct loop_fd lfd; /* fd is -1 if there is no socket */
	struct gateway_tunnel *tunnel;
	struct gateway_side *peer; /* the other connection; NULL: none */
	GByteArray *unsent;	   /* bytes from the peer that the socket has not accepted yet */
	bool ended;		   /* the socket will deliver no more bytes */
};

enum gateway_state {
	GATEWAY_CONNECTING, /* the connection to the endpoint is being made */
	GATEWAY_OPENED,	    /* it is made; no connection of the asking host is attached yet */
	GATEWAY_ATTACHED    /* bytes pass */
};

struct gateway_tunnel {
	struct gateway *gateway;
	enum gateway_state state;
	struct gateway_side ask;      /* connection on which the tunnel was asked for */
	struct gateway_side host;     /* connection of the asking host that was attached */
	struct gateway_side endpoint; /* connection to the endpoint */
	struct tmr timer;	      /* end of the time to connect, to attach or to close */
	uint64_t token;
	bool closed;	 /* freed later by the loop */
	char *addr;	 /* address of the endpoint */
	char *request;	 /* id of the caller's request; "": none */
	char *host_name; /* name of the asking host */
	int64_t began_us;
	uint64_t bytes; /* bytes that have passed, both ways */
};

struct gateway {
	struct loop *loop;
	const struct reach *reach;
	char *source;	     /* address that connections to endpoints come from; "": any */
	GHashTable *tunnels; /* token (uint64_t) -> struct gateway_tunnel */
	unsigned int open;   /* atomic: number of tunnels */
};

/* A message from the control thread: a request for a tunnel, or a connection to attach to one. */
struct gateway_msg {
	struct gateway *gateway;
	int fd;
	Tunnel__Open *open;	/* request for a tunnel, or NULL */
	Tunnel__Result refusal; /* result of the request; 0: not refused */
	uint64_t token;		/* tunnel to attach to */
	GByteArray *rest;	/* bytes that were received after the message */
};

static void gateway_on_event(void *ctx, uint32_t events);
static void gateway_on_timeout(void *ctx, int64_t now_us);

struct gateway *gateway_new(struct loop *loop, const struct reach *reach, const char *source)
{
	struct gateway *gateway = g_new0(struct gateway, 1);

	gateway->loop = loop;
	gateway->reach = reach;
	gateway->source = g_strdup(source);
	gateway->tunnels = g_hash_table_new(g_int64_hash, g_int64_equal);
	return gateway;
}

unsigned int gateway_open_tunnels(const struct gateway *gateway)
{
	return ck_pr_load_uint(&gateway->open);
}

/* Takes over the socket fd. Returns a negative base error if the loop can't watch it. */
static int gateway_side_init(struct gateway_side *side, int fd, uint32_t events)
{
	const int one = 1;

	side->lfd.fd = fd;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return loop_fd_add(side->tunnel->gateway->loop, &side->lfd, events);
}

static void gateway_side_close(struct gateway_side *side)
{
	if (side->lfd.fd < 0)
		return;
	loop_fd_del(side->tunnel->gateway->loop, &side->lfd);
	close(side->lfd.fd);
	side->lfd.fd = -1;
}

static void gateway_free(void *ctx)
{
	struct gateway_tunnel *tunnel = ctx;

	g_byte_array_unref(tunnel->ask.unsent);
	g_byte_array_unref(tunnel->host.unsent);
	g_byte_array_unref(tunnel->endpoint.unsent);
	g_free(tunnel->addr);
	g_free(tunnel->request);
	g_free(tunnel->host_name);
	g_free(tunnel);
}

static void gateway_log(const struct gateway_tunnel *tunnel, const char *event, const char *why)
{
	jl_begin(JL_INFO, event);
	if (tunnel->request[0])
		jl_str("id", tunnel->request);
	jl_str("for_host", tunnel->host_name);
	jl_str("addr", tunnel->addr);
	jl_str("why", why);
	jl_int("took_ms", (tmr_now() - tunnel->began_us) / TMR_US_PER_MS);
	jl_int("bytes", (int64_t)tunnel->bytes);
	jl_end();
}

/*
 * An asking host that gives its request up resets its connection. The endpoint must not receive the
 * rest of the request then, nor take what it has for the whole.
 */
static void gateway_pass_reset(const struct gateway_tunnel *tunnel)
{
	if (tunnel->state != GATEWAY_ATTACHED || tunnel->host.ended || tunnel->endpoint.ended)
		return;
	if (tcp_reset_on_close(tunnel->endpoint.lfd.fd) < 0)
		met_add(met_counter("bg_endpoint_resets_failed_total", ""), 1);
}

static void gateway_close(struct gateway_tunnel *tunnel, const char *why)
{
	struct gateway *gateway = tunnel->gateway;

	if (tunnel->closed)
		return;
	tunnel->closed = true;
	if (tunnel->state == GATEWAY_ATTACHED)
		gateway_log(tunnel, "tunnel_ended", why);
	gateway_pass_reset(tunnel);
	tmr_cancel(&gateway->loop->tmr, &tunnel->timer);
	gateway_side_close(&tunnel->ask);
	gateway_side_close(&tunnel->host);
	gateway_side_close(&tunnel->endpoint);
	g_hash_table_remove(gateway->tunnels, &tunnel->token);
	ck_pr_dec_uint(&gateway->open);
	loop_post(gateway->loop, gateway_free, tunnel);
}

/* Notices an asking host that is gone without having closed the connection. */
static void gateway_set_keepalive(int fd)
{
	const int on = 1;
	const int seconds = GATEWAY_KEEPALIVE_S;
	const int probes = GATEWAY_KEEPALIVE_PROBES;

	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof(seconds));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof(seconds));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

/*
 * Sets the events that a connection is watched for: a side is read only while its peer takes all.
 * Returns a negative base error if the loop can't watch it.
 */
static int gateway_watch(struct gateway_side *side)
{
	uint32_t events = 0;

	if (side->lfd.fd < 0)
		return 0;
	if (!side->ended && side->peer->unsent->len == 0)
		events |= EPOLLIN;
	if (side->unsent->len > 0)
		events |= EPOLLOUT;
	return loop_fd_mod(side->tunnel->gateway->loop, &side->lfd, events);
}

/* Watches both sides; ends the tunnel if that fails, as it would pass nothing any more. */
static void gateway_watch_both(struct gateway_tunnel *tunnel)
{
	if (gateway_watch(&tunnel->host) < 0 || gateway_watch(&tunnel->endpoint) < 0)
		gateway_close(tunnel, "not watched");
}

/* Sends bytes on the connection and keeps what it does not accept. Returns false on an error. */
static bool gateway_send(struct gateway_side *side, const uint8_t *data, size_t len)
{
	ssize_t n = 0;

	if (side->lfd.fd < 0)
		return true; /* the endpoint has ended the connection; nobody takes the bytes */
	if (side->unsent->len == 0 && len > 0)
		n = send(side->lfd.fd, data, len, MSG_NOSIGNAL);
	if (n < 0 && errno != EAGAIN && errno != EINTR)
		return false;
	n = MAX(n, 0);
	g_byte_array_append(side->unsent, data + n, (guint)(len - (size_t)n));
	return true;
}

/* Sends what the connection did not accept before. Returns false on an error. */
static bool gateway_flush(struct gateway_side *side)
{
	ssize_t n = send(side->lfd.fd, side->unsent->data, side->unsent->len, MSG_NOSIGNAL);

	if (n < 0)
		return errno == EAGAIN || errno == EINTR;
	g_byte_array_remove_range(side->unsent, 0, (guint)n);
	return true;
}

/*
 * Passes the regular end of the endpoint's connection on, once all bytes were sent. The asking host
 * then closes its connection; until then it stays open, as a close would reset it.
 */
static void gateway_pass_end(struct gateway_tunnel *tunnel)
{
	if (!tunnel->endpoint.ended || tunnel->host.unsent->len > 0 || tmr_is_set(&tunnel->timer))
		return;
	shutdown(tunnel->host.lfd.fd, SHUT_WR);
	loop_start_timer(tunnel->gateway->loop, &tunnel->timer, tmr_from_ms(GATEWAY_LINGER_MS),
			 gateway_on_timeout, tunnel);
}

/* Reads bytes from one side and sends them on the other. Returns why the tunnel ends, or NULL. */
static const char *gateway_pump(struct gateway_side *side)
{
	struct gateway_tunnel *tunnel = side->tunnel;
	uint8_t buf[GATEWAY_READ_LEN];
	ssize_t n = recv(side->lfd.fd, buf, sizeof(buf), 0);

	if (n < 0)
		return errno == EAGAIN || errno == EINTR ? NULL : "broken";
	if (n == 0) {
		side->ended = true;
		if (side == &tunnel->host)
			return "closed";
		gateway_side_close(side);
		return NULL;
	}
	tunnel->bytes += (uint64_t)n;
	return gateway_send(side->peer, buf, (size_t)n) ? NULL : "broken";
}

/* Answers the request for the tunnel and ends the connection that it came on. */
static void gateway_answer(struct gateway_tunnel *tunnel, Tunnel__Result result)
{
	Tunnel__Opened msg = TUNNEL__OPENED__INIT;
	GByteArray *frame;

	msg.result = result;
	msg.open = (int32_t)gateway_open_tunnels(tunnel->gateway);
	msg.token = tunnel->token;
	frame = frm_pack(MSG_TUNNEL_OPENED, &msg.base);
	gateway_send(&tunnel->ask, frame->data, frame->len);
	gateway_side_close(&tunnel->ask);
	g_byte_array_unref(frame);
}

static void gateway_refuse(struct gateway_tunnel *tunnel, Tunnel__Result result)
{
	gateway_answer(tunnel, result);
	gateway_close(tunnel, "refused");
}

static void gateway_on_timeout(void *ctx, int64_t now_us)
{
	struct gateway_tunnel *tunnel = ctx;

	(void)now_us;
	if (tunnel->state == GATEWAY_CONNECTING)
		gateway_refuse(tunnel, TUNNEL__RESULT__TIMEOUT);
	else
		gateway_close(tunnel, "ended");
}

static void gateway_on_connected(struct gateway_tunnel *tunnel)
{
	struct loop *loop = tunnel->gateway->loop;
	int err = 0;
	socklen_t len = sizeof(err);

	if (getsockopt(tunnel->endpoint.lfd.fd, SOL_SOCKET, SO_ERROR, &err, &len) < 0 || err != 0) {
		gateway_refuse(tunnel, TUNNEL__RESULT__REFUSED);
		return;
	}
	if (loop_fd_mod(loop, &tunnel->endpoint.lfd, 0) < 0) {
		gateway_refuse(tunnel, TUNNEL__RESULT__BUSY);
		return;
	}
	tunnel->state = GATEWAY_OPENED;
	loop_start_timer(loop, &tunnel->timer, tmr_from_ms(GATEWAY_ATTACH_MS), gateway_on_timeout,
			 tunnel);
	gateway_answer(tunnel, TUNNEL__RESULT__OPENED);
}

/* Handles an event of an attached tunnel. Returns why the tunnel ends, or NULL. */
static const char *gateway_pass(struct gateway_side *side, uint32_t events)
{
	if (events & EPOLLOUT && side->unsent->len > 0 && !gateway_flush(side))
		return "broken";
	if (events & EPOLLIN)
		return gateway_pump(side);
	return events & (EPOLLERR | EPOLLHUP) ? "broken" : NULL;
}

static void gateway_on_event(void *ctx, uint32_t events)
{
	struct gateway_side *side = ctx;
	struct gateway_tunnel *tunnel = side->tunnel;
	const char *why;

	if (tunnel->state == GATEWAY_CONNECTING && side == &tunnel->endpoint) {
		gateway_on_connected(tunnel);
		return;
	}
	why = tunnel->state == GATEWAY_ATTACHED ? gateway_pass(side, events) : "given up";
	if (why) {
		gateway_close(tunnel, why);
		return;
	}
	gateway_pass_end(tunnel);
	gateway_watch_both(tunnel);
}

/* Returns false if the socket can't have the address that connections shall come from. */
static bool gateway_bind_source(const struct gateway *gateway, int fd)
{
	struct sockaddr_in from;

	if (!gateway->source[0])
		return true;
	if (addr_parse(gateway->source, &from) < 0)
		return false;
	from.sin_port = 0;
	return bind(fd, (struct sockaddr *)&from, sizeof(from)) == 0;
}

/* Returns whether connect() failed because this host lacks something. */
static bool gateway_lacks_resources(int err)
{
	return err == EADDRNOTAVAIL || err == EAGAIN || err == ENOBUFS || err == ENOMEM;
}

/*
 * Starts to connect to the endpoint. Returns the result with which the tunnel is refused, or 0. A
 * lack of this host's own is "busy": the asking host takes "refused" for evidence against the
 * endpoint.
 */
static Tunnel__Result gateway_connect(struct gateway_tunnel *tunnel)
{
	struct sockaddr_in to;
	int fd;

	if (addr_parse(tunnel->addr, &to) < 0)
		return TUNNEL__RESULT__REFUSED;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return TUNNEL__RESULT__BUSY;
	if (gateway_side_init(&tunnel->endpoint, fd, 0) < 0 ||
	    !gateway_bind_source(tunnel->gateway, fd))
		return TUNNEL__RESULT__BUSY;
	if (connect(fd, (struct sockaddr *)&to, sizeof(to)) < 0 && errno != EINPROGRESS)
		return gateway_lacks_resources(errno) ? TUNNEL__RESULT__BUSY
						      : TUNNEL__RESULT__REFUSED;
	if (loop_fd_mod(tunnel->gateway->loop, &tunnel->endpoint.lfd, EPOLLOUT) < 0)
		return TUNNEL__RESULT__BUSY;
	return TUNNEL__RESULT__UNSPECIFIED;
}

/* Returns the result with which a tunnel to the endpoint is refused, or 0. */
static Tunnel__Result gateway_refusal(const struct gateway *gateway, const char *addr)
{
	if (gateway_open_tunnels(gateway) > GATEWAY_TUNNELS_MAX)
		return TUNNEL__RESULT__BUSY;
	if (reach_choose(gateway->reach, addr) == REACH_TUNNEL || reach_is_alone(gateway->reach))
		return TUNNEL__RESULT__CUT_OFF;
	return TUNNEL__RESULT__UNSPECIFIED;
}

static uint64_t gateway_new_token(const struct gateway *gateway)
{
	uint64_t token;

	do {
		token = (uint64_t)g_random_int() << 32 | g_random_int();
	} while (token == 0 || g_hash_table_contains(gateway->tunnels, &token));
	return token;
}

static struct gateway_tunnel *gateway_tunnel_new(struct gateway *gateway, const Tunnel__Open *open)
{
	struct gateway_tunnel *tunnel = g_new0(struct gateway_tunnel, 1);
	struct gateway_side *sides[] = {&tunnel->ask, &tunnel->host, &tunnel->endpoint};

	tunnel->gateway = gateway;
	tunnel->addr = g_strdup(open->addr);
	tunnel->request = g_strdup(open->request);
	tunnel->host_name = g_strdup(open->host);
	tunnel->began_us = tmr_now();
	tunnel->token = gateway_new_token(gateway);
	for (size_t i = 0; i < G_N_ELEMENTS(sides); i++) {
		sides[i]->tunnel = tunnel;
		sides[i]->unsent = g_byte_array_new();
		sides[i]->lfd = (struct loop_fd){.fd = -1, .fn = gateway_on_event, .ctx = sides[i]};
	}
	tunnel->host.peer = &tunnel->endpoint;
	tunnel->endpoint.peer = &tunnel->host;
	g_hash_table_insert(gateway->tunnels, &tunnel->token, tunnel);
	ck_pr_inc_uint(&gateway->open);
	return tunnel;
}

/* Returns the result with which the tunnel is refused, or 0 if the connection is being made. */
static Tunnel__Result gateway_begin(struct gateway_tunnel *tunnel, const struct gateway_msg *msg)
{
	/* The end of the connection asked on shows that the asking host has given up. */
	int err = gateway_side_init(&tunnel->ask, msg->fd, EPOLLIN);
	Tunnel__Result refusal = msg->refusal;

	if (refusal == 0)
		refusal = gateway_refusal(tunnel->gateway, tunnel->addr);
	if (refusal != 0)
		return refusal;
	refusal = err < 0 ? TUNNEL__RESULT__BUSY : gateway_connect(tunnel);
	if (refusal == TUNNEL__RESULT__BUSY)
		gateway_log(tunnel, "tunnel_refused", "no free socket");
	return refusal;
}

static void gateway_open(struct gateway *gateway, const struct gateway_msg *msg)
{
	struct gateway_tunnel *tunnel = gateway_tunnel_new(gateway, msg->open);
	int64_t connect_ms = CLAMP(msg->open->connect_ms, 1, GATEWAY_CONNECT_MAX_MS);
	Tunnel__Result refusal = gateway_begin(tunnel, msg);

	if (refusal != 0) {
		gateway_refuse(tunnel, refusal);
		return;
	}
	loop_start_timer(gateway->loop, &tunnel->timer, tmr_from_ms(connect_ms), gateway_on_timeout,
			 tunnel);
}

static void gateway_attach(struct gateway *gateway, const struct gateway_msg *msg)
{
	struct gateway_tunnel *tunnel = g_hash_table_lookup(gateway->tunnels, &msg->token);

	if (!tunnel || tunnel->state != GATEWAY_OPENED) {
		close(msg->fd);
		return;
	}
	tmr_cancel(&gateway->loop->tmr, &tunnel->timer);
	tunnel->state = GATEWAY_ATTACHED;
	/*
	 * If this process is killed in the middle of an answer without a length, the asking host
	 * must not take the end of the connection for the end of the answer. A regular end is a
	 * shutdown before the close.
	 */
	if (gateway_side_init(&tunnel->host, msg->fd, 0) < 0 || tcp_reset_on_close(msg->fd) < 0) {
		gateway_close(tunnel, "not watched");
		return;
	}
	gateway_set_keepalive(msg->fd);
	gateway_log(tunnel, "tunnel_opened", NULL);
	met_add(met_counter("bg_tunnels_carried_total", ""), 1);
	tunnel->bytes = msg->rest->len;
	if (!gateway_send(&tunnel->endpoint, msg->rest->data, msg->rest->len)) {
		gateway_close(tunnel, "broken");
		return;
	}
	gateway_watch_both(tunnel);
}

static void gateway_on_msg(void *ctx)
{
	struct gateway_msg *msg = ctx;

	if (msg->open) {
		gateway_open(msg->gateway, msg);
		tunnel__open__free_unpacked(msg->open, NULL);
	} else {
		gateway_attach(msg->gateway, msg);
		g_byte_array_unref(msg->rest);
	}
	g_free(msg);
}

void gateway_post_open(struct gateway *gateway, int fd, Tunnel__Open *open, Tunnel__Result refusal)
{
	struct gateway_msg *msg = g_new0(struct gateway_msg, 1);

	*msg = (struct gateway_msg){.gateway = gateway, .fd = fd, .open = open, .refusal = refusal};
	loop_post(gateway->loop, gateway_on_msg, msg);
}

void gateway_post_attach(struct gateway *gateway, int fd, uint64_t token, GByteArray *rest)
{
	struct gateway_msg *msg = g_new0(struct gateway_msg, 1);

	*msg = (struct gateway_msg){.gateway = gateway, .fd = fd, .token = token, .rest = rest};
	loop_post(gateway->loop, gateway_on_msg, msg);
}
