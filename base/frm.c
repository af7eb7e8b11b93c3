#define _GNU_SOURCE
#include "base/frm.h"
#include "base/addr.h"
#include "base/err.h"
#include "base/log.h"
#include "base/met.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	FRM_ACCEPT_PAUSE_MS = 100,  /* time until the next accept after one that failed */
	FRM_READ_LEN = 65536,	    /* bytes of the receive buffer */
	FRM_IDLE_HEARTBEATS_MAX = 3 /* heartbeat intervals without received data after which an idle
				       connection is closed */
};

struct frm_conn {
	struct loop *loop;
	struct loop_fd lfd;
	const struct frm_ops *ops;
	struct frm_limits limits;
	void *ctx;
	void *data;		   /* pointer stored by frm_set_user_data() */
	struct frm_server *server; /* server that accepted the connection; NULL: frm_connect() */
	struct tmr heartbeat;	   /* next check of the connection */
	GByteArray *in;		   /* received bytes that are not handled yet */
	GByteArray *out;	   /* queued bytes; those before out_offset were sent */
	guint out_offset;	   /* offset in out of the first unsent byte */
	int64_t received_us;	   /* time of the last received data, in microseconds */
	int64_t sent_us;	   /* time at which the last frame was queued, in microseconds */
	int64_t active_us;	   /* time of the last change of active, in microseconds */
	bool active;		   /* value set by frm_set_active() */
	bool connecting;	   /* connect() has not finished yet */
	int err;     /* error with which the connection ends at the next check; 0: none */
	bool closed; /* closed, but freed later by the loop, as a callback may still be running */
};

static struct frm_conn *frm_new(struct loop *loop, int fd, const struct frm_ops *ops,
				const struct frm_limits *limits, void *ctx);
static void frm_on_event(void *ctx, uint32_t events);
static void frm_on_accept(void *ctx, uint32_t events);
static void frm_on_accept_pause_end(void *ctx, int64_t now_us);
static void frm_on_heartbeat(void *ctx, int64_t now_us);
static void frm_set_timer(struct frm_conn *conn);
static void frm_close_error(struct frm_conn *conn, int err);
static void frm_free(void *ctx);
static void frm_flush(struct frm_conn *conn);
static guint frm_unsent(const struct frm_conn *conn);
static void frm_read(struct frm_conn *conn);
static int frm_handle_frame(struct frm_conn *conn);
static void frm_append(struct frm_conn *conn, uint16_t kind, const uint8_t *body, size_t len);

/*
 * Counters of all connections. They are looked up once, because a look-up for each frame would cost
 * more than handling the frame.
 */
enum frm_counter {
	FRM_SENT,
	FRM_BYTES_SENT,
	FRM_SEGMENTS_SENT,
	FRM_RECEIVED,
	FRM_BYTES_RECEIVED,
	FRM_SEGMENTS_RECEIVED,
	FRM_REFUSED,
	FRM_SILENT,
	FRM_ACCEPTS_FAILED,
	FRM_DROPPED,
	FRM_COUNTER_COUNT
};

static const char *const frm_counter_names[FRM_COUNTER_COUNT] = {
	[FRM_SENT] = "bg_frames_sent_total",
	[FRM_BYTES_SENT] = "bg_frame_bytes_sent_total",
	[FRM_SEGMENTS_SENT] = "bg_frame_segments_sent_total",
	[FRM_RECEIVED] = "bg_frames_received_total",
	[FRM_BYTES_RECEIVED] = "bg_frame_bytes_received_total",
	[FRM_SEGMENTS_RECEIVED] = "bg_frame_segments_received_total",
	[FRM_REFUSED] = "bg_frames_refused_total",
	[FRM_SILENT] = "bg_connections_silent_total",
	[FRM_ACCEPTS_FAILED] = "bg_accepts_failed_total",
	[FRM_DROPPED] = "bg_frames_dropped_total",
};

static struct met_ctr *frm_counters[FRM_COUNTER_COUNT];
static pthread_once_t frm_counters_once = PTHREAD_ONCE_INIT;

static void frm_counters_init(void)
{
	for (int i = 0; i < FRM_COUNTER_COUNT; i++)
		frm_counters[i] = met_counter(frm_counter_names[i], "");
}

static void frm_count(enum frm_counter counter, uint64_t n)
{
	met_add(frm_counters[counter], n);
}

int frm_parse(const uint8_t *data, size_t len, uint16_t *kind, const uint8_t **body,
	      size_t *body_len)
{
	uint32_t n;
	uint16_t k;

	if (len < FRM_HEADER_LEN)
		return 0;
	memcpy(&n, data, sizeof(n));
	memcpy(&k, data + sizeof(n), sizeof(k));
	n = ntohl(n);
	if (n > FRM_BODY_MAX)
		return BASE_EFRAME;
	if (len < FRM_HEADER_LEN + (size_t)n)
		return 0;
	*kind = ntohs(k);
	*body = data + FRM_HEADER_LEN;
	*body_len = n;
	return FRM_HEADER_LEN + (int)n;
}

static struct frm_conn *frm_new(struct loop *loop, int fd, const struct frm_ops *ops,
				const struct frm_limits *limits, void *ctx)
{
	struct frm_conn *conn = g_new0(struct frm_conn, 1);
	int one = 1;

	pthread_once(&frm_counters_once, frm_counters_init);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	conn->loop = loop;
	conn->lfd.fd = fd;
	conn->lfd.fn = frm_on_event;
	conn->lfd.ctx = conn;
	conn->ops = ops;
	conn->limits = *limits;
	conn->ctx = ctx;
	conn->in = g_byte_array_new();
	conn->out = g_byte_array_new();
	conn->received_us = tmr_now();
	conn->sent_us = conn->received_us;
	frm_set_timer(conn);
	return conn;
}

struct frm_conn *frm_connect(struct loop *loop, const char *addr, const struct frm_ops *ops,
			     const struct frm_limits *limits, void *ctx)
{
	struct sockaddr_in sin;
	struct frm_conn *conn;
	int fd;

	if (addr_parse(addr, &sin) < 0)
		return NULL;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0) {
		log_msg(LOG_WARNING, "connect_failed addr=%s errno=%d", addr, errno);
		return NULL;
	}
	conn = frm_new(loop, fd, ops, limits, ctx);
	conn->connecting = true;
	frm_set_timer(conn);
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) < 0 && errno != EINPROGRESS) {
		/* The loop then gets an error event for the socket, which leads to on_close(). */
		log_msg(LOG_DEBUG, "connect_failed addr=%s errno=%d", addr, errno);
	}
	if (loop_fd_add(loop, &conn->lfd, EPOLLIN | EPOLLOUT) < 0) {
		log_msg(LOG_WARNING, "connect_failed addr=%s errno=%d", addr, errno);
		frm_close(conn);
		return NULL;
	}
	return conn;
}

int frm_listen(struct frm_server *server, struct loop *loop, const char *addr,
	       const struct frm_ops *ops, const struct frm_limits *limits, void *ctx)
{
	int fd = addr_listen(addr);

	if (fd < 0)
		return fd;
	server->loop = loop;
	server->lfd.fd = fd;
	server->lfd.fn = frm_on_accept;
	server->lfd.ctx = server;
	server->ops = ops;
	server->limits = *limits;
	server->ctx = ctx;
	server->conns = g_ptr_array_new();
	memset(&server->accept_pause, 0, sizeof(server->accept_pause));
	return loop_fd_add(loop, &server->lfd, EPOLLIN);
}

void frm_server_finish(struct frm_server *server)
{
	tmr_cancel(&server->loop->tmr, &server->accept_pause);
	loop_fd_del(server->loop, &server->lfd);
	close(server->lfd.fd);
	while (server->conns->len > 0)
		frm_close(server->conns->pdata[0]);
	g_ptr_array_free(server->conns, TRUE);
}

/*
 * Counts a connection that could not be accepted, and pauses the listening socket: without free
 * descriptors it stays readable, and the loop would do nothing else.
 */
static void frm_on_accept_failed(struct frm_server *server, int error)
{
	pthread_once(&frm_counters_once, frm_counters_init);
	frm_count(FRM_ACCEPTS_FAILED, 1);
	log_msg(LOG_WARNING, "accept_failed fd=%d errno=%d", server->lfd.fd, error);
	if (loop_fd_mod(server->loop, &server->lfd, 0) < 0)
		log_msg(LOG_ERR, "accept_not_paused fd=%d", server->lfd.fd);
	loop_start_timer(server->loop, &server->accept_pause, tmr_from_ms(FRM_ACCEPT_PAUSE_MS),
			 frm_on_accept_pause_end, server);
}

static void frm_on_accept_pause_end(void *ctx, int64_t now_us)
{
	struct frm_server *server = ctx;

	(void)now_us;
	if (loop_fd_mod(server->loop, &server->lfd, EPOLLIN) < 0)
		frm_on_accept_failed(server, errno);
}

/* Returns whether accept4() has no connection to return, because its peer has closed it. */
static bool frm_is_none_waiting(int error)
{
	return error == EAGAIN || error == EINTR || error == ECONNABORTED;
}

static void frm_on_accept(void *ctx, uint32_t events)
{
	struct frm_server *server = ctx;
	struct frm_conn *conn;
	int fd = accept4(server->lfd.fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	(void)events;
	if (fd < 0) {
		if (!frm_is_none_waiting(errno))
			frm_on_accept_failed(server, errno);
		return;
	}
	conn = frm_new(server->loop, fd, server->ops, &server->limits, server->ctx);
	conn->server = server;
	g_ptr_array_add(server->conns, conn);
	if (loop_fd_add(server->loop, &conn->lfd, EPOLLIN) < 0) {
		frm_on_accept_failed(server, errno);
		frm_close(conn);
	}
}

static void frm_free(void *ctx)
{
	struct frm_conn *conn = ctx;

	g_byte_array_free(conn->in, TRUE);
	g_byte_array_free(conn->out, TRUE);
	g_free(conn);
}

/* Ends the connection but keeps its socket open. */
static void frm_release(struct frm_conn *conn)
{
	conn->closed = true;
	tmr_cancel(&conn->loop->tmr, &conn->heartbeat);
	loop_fd_del(conn->loop, &conn->lfd);
	if (conn->server)
		g_ptr_array_remove_fast(conn->server->conns, conn);
	loop_post(conn->loop, frm_free, conn);
}

void frm_close(struct frm_conn *conn)
{
	if (conn->closed)
		return;
	frm_release(conn);
	close(conn->lfd.fd);
}

int frm_detach(struct frm_conn *conn, GByteArray *rest)
{
	uint16_t kind;
	const uint8_t *body;
	size_t len;
	int frame = frm_parse(conn->in->data, conn->in->len, &kind, &body, &len);

	if (conn->closed)
		return BASE_EFRAME;
	if (frame <= 0 || frm_unsent(conn) > 0) {
		frm_close(conn);
		return BASE_EFRAME;
	}
	g_byte_array_append(rest, conn->in->data + frame, conn->in->len - (guint)frame);
	frm_release(conn);
	return conn->lfd.fd;
}

/* Appends the header of a frame whose message has len bytes. */
static void frm_append_header(GByteArray *bytes, uint16_t kind, size_t len)
{
	uint32_t n = htonl((uint32_t)len);
	uint16_t k = htons(kind);

	g_byte_array_append(bytes, (const uint8_t *)&n, sizeof(n));
	g_byte_array_append(bytes, (const uint8_t *)&k, sizeof(k));
}

GByteArray *frm_pack(uint16_t kind, const ProtobufCMessage *msg)
{
	size_t len = protobuf_c_message_get_packed_size(msg);
	GByteArray *frame = g_byte_array_sized_new((guint)(FRM_HEADER_LEN + len));

	frm_append_header(frame, kind, len);
	g_byte_array_set_size(frame, (guint)(FRM_HEADER_LEN + len));
	protobuf_c_message_pack(msg, frame->data + FRM_HEADER_LEN);
	return frame;
}

/* Reports the error to the owner of the connection and closes it. */
static void frm_close_error(struct frm_conn *conn, int err)
{
	if (conn->closed)
		return;
	conn->ops->on_close(conn->ctx, conn, err);
	frm_close(conn);
}

static void frm_append(struct frm_conn *conn, uint16_t kind, const uint8_t *body, size_t len)
{
	conn->sent_us = tmr_now();
	frm_append_header(conn->out, kind, len);
	if (len > 0)
		g_byte_array_append(conn->out, body, (guint)len);
	frm_count(FRM_SENT, 1);
	frm_count(FRM_BYTES_SENT, FRM_HEADER_LEN + len);
}

static void frm_drop(uint16_t kind, size_t len, int err)
{
	frm_count(FRM_DROPPED, 1);
	log_msg(LOG_WARNING, "frame_dropped kind=%d len=%zu error=%s", kind, len,
		base_strerror(err));
}

/*
 * Ends the connection in the loop: its owner may be sending, or walking over its connections, and
 * must not lose conn meanwhile.
 */
static void frm_end_later(struct frm_conn *conn, int err)
{
	conn->err = err;
	loop_start_timer(conn->loop, &conn->heartbeat, 0, frm_on_heartbeat, conn);
}

void frm_send(struct frm_conn *conn, uint16_t kind, const ProtobufCMessage *msg)
{
	size_t len = protobuf_c_message_get_packed_size(msg);
	uint8_t *body;

	if (conn->closed || conn->err < 0) {
		frm_drop(kind, len, conn->closed ? BASE_ECLOSED : conn->err);
		return;
	}
	if (len > FRM_BODY_MAX) {
		frm_drop(kind, len, BASE_EFRAME);
		frm_end_later(conn, BASE_EFRAME);
		return;
	}
	body = g_malloc(len + 1);
	protobuf_c_message_pack(msg, body);
	frm_append(conn, kind, body, len);
	g_free(body);
	if (!conn->connecting)
		frm_flush(conn);
}

/* Returns the number of queued bytes that are not sent yet. */
static guint frm_unsent(const struct frm_conn *conn)
{
	return conn->out->len - conn->out_offset;
}

/*
 * Removes the sent bytes from the buffer once they are at least as many as the unsent ones, so that
 * each byte is moved at most once. Otherwise a peer that reads a large message in small pieces
 * would have the rest of it moved for each piece.
 */
static void frm_discard_sent(struct frm_conn *conn)
{
	if (conn->out_offset < frm_unsent(conn))
		return;
	g_byte_array_remove_range(conn->out, 0, conn->out_offset);
	conn->out_offset = 0;
}

/*
 * Sends as much as the socket accepts. An error is handled by the event that follows it, so that
 * conn is never freed while a caller sends.
 */
static void frm_flush(struct frm_conn *conn)
{
	ssize_t n = 1;

	while (frm_unsent(conn) > 0 && n > 0) {
		n = send(conn->lfd.fd, conn->out->data + conn->out_offset, frm_unsent(conn),
			 MSG_NOSIGNAL);
		if (n <= 0)
			break;
		conn->out_offset += (guint)n;
		frm_count(FRM_SEGMENTS_SENT, 1);
	}
	frm_discard_sent(conn);
	if (loop_fd_mod(conn->loop, &conn->lfd,
			frm_unsent(conn) > 0 ? EPOLLIN | EPOLLOUT : EPOLLIN) < 0)
		frm_end_later(conn, BASE_ESYS);
}

/* Returns the interval of heartbeats in microseconds. */
static int64_t frm_interval(const struct frm_conn *conn)
{
	bool often = conn->active || conn->connecting;

	return often ? conn->limits.heartbeat_us : conn->limits.idle_us;
}

static void frm_set_timer(struct frm_conn *conn)
{
	if (conn->err < 0)
		return;
	loop_start_timer(conn->loop, &conn->heartbeat, frm_interval(conn), frm_on_heartbeat, conn);
}

void frm_set_active(struct frm_conn *conn, bool active)
{
	if (conn->closed || conn->active == active)
		return;
	conn->active = active;
	conn->active_us = tmr_now();
	frm_set_timer(conn);
}

/*
 * Returns whether this process was paused. After a pause all peers look silent, because the process
 * received nothing meanwhile, and a daemon would close all healthy connections at once. The pause
 * shows in this timer, which then fires late; the silence is then measured from the present time.
 */
static bool frm_was_paused(const struct frm_conn *conn, int64_t now_us)
{
	return now_us - conn->heartbeat.due_us > conn->limits.heartbeat_us;
}

/* Returns whether nothing was received within the time limit. */
static bool frm_is_silent(const struct frm_conn *conn, int64_t now_us)
{
	if (conn->active || conn->connecting)
		return now_us - MAX(conn->received_us, conn->active_us) > conn->limits.silent_us;
	return now_us - conn->received_us > FRM_IDLE_HEARTBEATS_MAX * conn->limits.idle_us;
}

/*
 * Returns whether nothing was sent or nothing was received for an interval. Both directions are
 * checked, because a peer that sends much but receives nothing would also close a healthy
 * connection.
 */
static bool frm_heartbeat_due(const struct frm_conn *conn, int64_t now_us)
{
	return now_us - MIN(conn->received_us, conn->sent_us) >= frm_interval(conn);
}

/*
 * A connection can stop passing data while new ones work, if a device between the two ends has lost
 * its state. TCP alone would not report this for many minutes. The side that connected therefore
 * sends heartbeats, and either side closes a connection on which it receives nothing.
 */
static void frm_on_heartbeat(void *ctx, int64_t now_us)
{
	struct frm_conn *conn = ctx;

	if (conn->err < 0) {
		frm_close_error(conn, conn->err);
		return;
	}
	if (frm_was_paused(conn, now_us))
		conn->received_us = now_us;
	if (frm_is_silent(conn, now_us) || frm_unsent(conn) > FRM_UNSENT_MAX) {
		frm_count(FRM_SILENT, 1);
		frm_close_error(conn, BASE_ESILENT);
		return;
	}
	if (!conn->server && !conn->connecting && frm_heartbeat_due(conn, now_us)) {
		frm_append(conn, FRM_KIND_HEARTBEAT, NULL, 0);
		frm_flush(conn);
	}
	frm_set_timer(conn);
}

/* Only the accepting side answers; otherwise the two sides would answer each other endlessly. */
static void frm_answer_heartbeat(struct frm_conn *conn)
{
	if (!conn->server)
		return;
	frm_append(conn, FRM_KIND_HEARTBEAT, NULL, 0);
	frm_flush(conn);
}

/* Handles one received frame. Returns its length, 0 if there is no whole frame, or an error. */
static int frm_handle_frame(struct frm_conn *conn)
{
	uint16_t kind;
	const uint8_t *body;
	size_t len;
	int used = frm_parse(conn->in->data, conn->in->len, &kind, &body, &len);
	int err = 0;

	if (used <= 0)
		return used;
	frm_count(FRM_RECEIVED, 1);
	frm_count(FRM_BYTES_RECEIVED, (uint64_t)used);
	if (kind == FRM_KIND_HEARTBEAT)
		frm_answer_heartbeat(conn);
	else
		err = conn->ops->on_msg(conn->ctx, conn, kind, body, len);
	if (err < 0)
		return BASE_EFRAME;
	return used;
}

static void frm_read(struct frm_conn *conn)
{
	uint8_t buf[FRM_READ_LEN];
	ssize_t n = recv(conn->lfd.fd, buf, sizeof(buf), 0);
	int used = 1;

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		frm_close_error(conn, n == 0 ? BASE_ECLOSED : BASE_EREFUSED);
		return;
	}
	conn->received_us = tmr_now();
	frm_count(FRM_SEGMENTS_RECEIVED, 1);
	g_byte_array_append(conn->in, buf, (guint)n);
	while (!conn->closed && used > 0) {
		used = frm_handle_frame(conn);
		if (used > 0 && !conn->closed)
			g_byte_array_remove_range(conn->in, 0, (guint)used);
	}
	if (used < 0 && !conn->closed) {
		frm_count(FRM_REFUSED, 1);
		log_msg(LOG_WARNING, "frame_refused fd=%d", conn->lfd.fd);
		frm_close_error(conn, BASE_EFRAME);
	}
}

static void frm_on_event(void *ctx, uint32_t events)
{
	struct frm_conn *conn = ctx;

	if (conn->connecting && events & EPOLLOUT) {
		conn->connecting = false;
		conn->received_us = tmr_now();
		frm_set_timer(conn);
	}
	if (events & (EPOLLERR | EPOLLHUP) && !(events & EPOLLIN))
		frm_close_error(conn, BASE_EREFUSED);
	if (!conn->closed && events & EPOLLIN)
		frm_read(conn);
	if (!conn->closed && events & EPOLLOUT)
		frm_flush(conn);
}

void frm_set_user_data(struct frm_conn *conn, void *data)
{
	conn->data = data;
}

void *frm_user_data(const struct frm_conn *conn)
{
	return conn->data;
}
