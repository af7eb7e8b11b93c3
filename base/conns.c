#include "base/conns.h"
#include "base/met.h"
#include "base/tmr.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	CONNS_DISCARD_BLOCK = 16384, /* bytes that are discarded at a time */
	CONNS_DISCARD_MAX = 4194304  /* bytes that are discarded of one connection */
};

int64_t conns_until_us(const struct recent *limits, int64_t since_us)
{
	uint64_t limit_us = recent_largest(limits, since_us - CONNS_LIMIT_DELAY_US);

	if (limit_us == 0)
		return 0;
	return since_us + (int64_t)limit_us + CONNS_LIMIT_DELAY_US;
}

void conns_init(struct conns *conns)
{
	pthread_mutex_init(&conns->lock, NULL);
	recent_init(&conns->limits, 0);
	recent_init(&conns->head_limits, 0);
	g_queue_init(&conns->idle);
	g_queue_init(&conns->heads);
	g_queue_init(&conns->all);
	conns->offered = g_hash_table_new(NULL, NULL);
	conns->not_sent_max = 0;
}

void conns_finish(struct conns *conns)
{
	g_hash_table_destroy(conns->offered);
	pthread_mutex_destroy(&conns->lock);
}

void conns_set_limit(struct conns *conns, uint64_t idle_us, int64_t now_us)
{
	pthread_mutex_lock(&conns->lock);
	recent_set(&conns->limits, idle_us, now_us);
	pthread_mutex_unlock(&conns->lock);
}

void conns_set_head_limit(struct conns *conns, uint64_t head_us, int64_t now_us)
{
	pthread_mutex_lock(&conns->lock);
	recent_set(&conns->head_limits, head_us, now_us);
	pthread_mutex_unlock(&conns->lock);
}

static void conn_limit_not_sent(const struct conn *conn)
{
	const int max = conn->conns->not_sent_max;

	if (setsockopt(conn->fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &max, sizeof(max)) < 0)
		met_add(met_counter("bg_not_sent_limits_failed_total", ""), 1);
}

void conns_set_not_sent_max(struct conns *conns, int bytes)
{
	pthread_mutex_lock(&conns->lock);
	conns->not_sent_max = bytes;
	for (GList *link = conns->all.head; link; link = link->next)
		conn_limit_not_sent(link->data);
	pthread_mutex_unlock(&conns->lock);
}

uint64_t conns_limit_us(struct conns *conns, int64_t now_us)
{
	uint64_t limit_us;

	pthread_mutex_lock(&conns->lock);
	limit_us = recent_largest(&conns->limits, now_us - CONNS_LIMIT_DELAY_US);
	pthread_mutex_unlock(&conns->lock);
	return limit_us;
}

/* Returns when data last came, which may be a part of a request that the library awaits. */
static int64_t conn_data_us(const struct conn *conn)
{
	struct tcp_info info = {0};
	socklen_t len = sizeof(info);

	if (getsockopt(conn->fd, IPPROTO_TCP, TCP_INFO, &info, &len) < 0)
		return 0;
	return tmr_now() - tmr_from_ms(info.tcpi_last_data_recv);
}

/* Returns the queue of connections in that state, or NULL. */
static GQueue *conn_queue(const struct conn *conn)
{
	switch (conn->state) {
	case CONN_IDLE:
		return &conn->conns->idle;
	case CONN_HEAD:
	case CONN_REFUSED:
		return &conn->conns->heads;
	case CONN_BUSY:
	case CONN_CLOSED:
	case CONN_REPLACED:
		break;
	}
	return NULL;
}

static void conn_leave_queue(struct conn *conn)
{
	GQueue *queue = conn_queue(conn);

	if (queue)
		g_queue_unlink(queue, &conn->link);
}

static void conn_enter(struct conn *conn, enum conn_state state, int64_t now_us)
{
	GQueue *queue;

	conn_leave_queue(conn);
	conn->state = state;
	conn->since_us = now_us;
	conn->part_us = 0;
	queue = conn_queue(conn);
	if (queue)
		g_queue_push_tail_link(queue, &conn->link);
}

static void conn_close(struct conn *conn)
{
	conn_leave_queue(conn);
	conn->state = CONN_CLOSED;
	shutdown(conn->fd, SHUT_RDWR);
}

static bool conn_is_over(const struct recent *limits, int64_t since_us, int64_t now_us)
{
	int64_t until_us = conns_until_us(limits, since_us);

	return until_us != 0 && until_us <= now_us;
}

/* A client that sends a request line byte by byte is never idle for long; its head takes long. */
static bool conn_is_idle_too_long(struct conn *conn, int64_t now_us)
{
	const struct conns *conns = conn->conns;

	if (!conn_is_over(&conns->limits, conn->since_us, now_us))
		return false;
	if (conn_is_over(&conns->limits, MAX(conn->since_us, conn_data_us(conn)), now_us))
		return true;
	if (conn->part_us == 0)
		conn->part_us = now_us;
	return conn_is_over(&conns->head_limits, conn->part_us, now_us);
}

void conns_close_idle(struct conns *conns, int64_t now_us)
{
	GList *link;
	GList *next;

	pthread_mutex_lock(&conns->lock);
	for (link = conns->idle.head; link; link = next) {
		next = link->next;
		if (conn_is_idle_too_long(link->data, now_us))
			conn_close(link->data);
	}
	pthread_mutex_unlock(&conns->lock);
}

static bool conn_has_unread(const struct conn *conn)
{
	int n = 0;

	return ioctl(conn->fd, FIONREAD, &n) == 0 && n > 0;
}

static bool conn_is_head_too_slow(const struct conn *conn, int64_t now_us)
{
	return conn->state == CONN_HEAD &&
	       conn_is_over(&conn->conns->head_limits, conn->since_us, now_us) &&
	       !conn_has_unread(conn);
}

void conns_close_slow_heads(struct conns *conns, int64_t now_us, conn_slow_fn fn, void *ctx)
{
	GList *link;
	GList *next;

	pthread_mutex_lock(&conns->lock);
	for (link = conns->heads.head; link; link = next) {
		struct conn *conn = link->data;

		next = link->next;
		if (conn->state == CONN_REFUSED && conn->since_us + CONNS_REFUSED_US <= now_us) {
			conn_close(conn);
		} else if (conn_is_head_too_slow(conn, now_us)) {
			fn(ctx, conn);
			conn_enter(conn, CONN_REFUSED, now_us);
		}
	}
	pthread_mutex_unlock(&conns->lock);
}

void conns_close_all_idle(struct conns *conns)
{
	pthread_mutex_lock(&conns->lock);
	while (conns->idle.head)
		conn_close(conns->idle.head->data);
	pthread_mutex_unlock(&conns->lock);
}

struct conn *conn_new(struct conns *conns, int fd)
{
	struct conn *conn = g_new0(struct conn, 1);

	conn->conns = conns;
	conn->link.data = conn;
	conn->all_link.data = conn;
	conn->part_link.data = conn;
	conn->fd = fd;
	pthread_mutex_lock(&conns->lock);
	g_queue_push_tail_link(&conns->all, &conn->all_link);
	if (conns->not_sent_max > 0)
		conn_limit_not_sent(conn);
	conn->since_us = tmr_now();
	g_queue_push_tail_link(&conns->idle, &conn->link);
	pthread_mutex_unlock(&conns->lock);
	return conn;
}

/*
 * Discards what the client has sent and nobody will read, such as requests behind one that was
 * answered with "Connection: close". Closing the socket with unread bytes would reset the
 * connection, and the client could lose the end of its last answer.
 */
static void conn_discard_unread(const struct conn *conn)
{
	char block[CONNS_DISCARD_BLOCK];
	ssize_t total = 0;
	ssize_t n;

	do {
		n = recv(conn->fd, block, sizeof(block), MSG_DONTWAIT);
		total += MAX(n, 0);
	} while (n > 0 && total < CONNS_DISCARD_MAX);
}

void conn_free(struct conn *conn)
{
	pthread_mutex_lock(&conn->conns->lock);
	conn_leave_queue(conn);
	g_queue_unlink(&conn->conns->all, &conn->all_link);
	pthread_mutex_unlock(&conn->conns->lock);
	conn_discard_unread(conn);
	g_free(conn);
}

void conn_drop(struct conn *conn)
{
	int fd = conn->fd;

	conn_free(conn);
	close(fd);
}

struct conn *conns_claim(struct conns *conns, int fd)
{
	struct conn *conn;

	pthread_mutex_lock(&conns->lock);
	conn = g_hash_table_lookup(conns->offered, GINT_TO_POINTER(fd));
	g_hash_table_remove(conns->offered, GINT_TO_POINTER(fd));
	if (conn)
		conn_enter(conn, CONN_IDLE, tmr_now());
	pthread_mutex_unlock(&conns->lock);
	return conn;
}

void conn_give_up(struct conn *conn)
{
	pthread_mutex_lock(&conn->conns->lock);
	conn_close(conn);
	pthread_mutex_unlock(&conn->conns->lock);
}

void conn_refuse(struct conn *conn)
{
	pthread_mutex_lock(&conn->conns->lock);
	conn_enter(conn, CONN_REFUSED, tmr_now());
	pthread_mutex_unlock(&conn->conns->lock);
}

/* Enters the state unless the connection was given up; returns whether it did. */
static bool conn_proceed(struct conn *conn, enum conn_state state)
{
	bool given_up;

	pthread_mutex_lock(&conn->conns->lock);
	given_up = conn->state >= CONN_REFUSED;
	if (!given_up)
		conn_enter(conn, state, tmr_now());
	pthread_mutex_unlock(&conn->conns->lock);
	return !given_up;
}

bool conn_offer(struct conn *conn)
{
	struct conns *conns = conn->conns;

	if (!conn_proceed(conn, CONN_BUSY))
		return false;
	pthread_mutex_lock(&conns->lock);
	g_hash_table_insert(conns->offered, GINT_TO_POINTER(conn->fd), conn);
	pthread_mutex_unlock(&conns->lock);
	return true;
}

void conn_forget(struct conn *conn)
{
	struct conns *conns = conn->conns;

	pthread_mutex_lock(&conns->lock);
	g_hash_table_remove(conns->offered, GINT_TO_POINTER(conn->fd));
	conn_leave_queue(conn);
	g_queue_unlink(&conns->all, &conn->all_link);
	pthread_mutex_unlock(&conns->lock);
	g_free(conn);
}

bool conn_replace(struct conn *conn, struct conn *by)
{
	if (!conn_proceed(conn, CONN_REPLACED))
		return false;
	by->replaced = conn;
	return true;
}

bool conn_is_given_up(struct conn *conn)
{
	bool given_up;

	pthread_mutex_lock(&conn->conns->lock);
	given_up = conn->state >= CONN_REFUSED;
	pthread_mutex_unlock(&conn->conns->lock);
	return given_up;
}

bool conn_on_request(struct conn *conn)
{
	return conn_proceed(conn, CONN_HEAD);
}

bool conn_on_head(struct conn *conn)
{
	return conn_proceed(conn, CONN_BUSY);
}

void conn_on_answered(struct conn *conn, int64_t now_us)
{
	pthread_mutex_lock(&conn->conns->lock);
	conn_enter(conn, CONN_IDLE, now_us);
	pthread_mutex_unlock(&conn->conns->lock);
}
