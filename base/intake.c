#include "base/intake.h"
#include "base/err.h"
#include "base/log.h"
#include "base/met.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>

enum {
	INTAKE_ACCEPTS_MAX = 64,  /* connections that are accepted at a time */
	INTAKE_PAUSE_US = 100000, /* after a failed accept, such as for want of descriptors */
	/* A head that is not whole for so long goes to the library, whose times for it hold. */
	INTAKE_PART_US = 500000,
	INTAKE_PART_MAX = 8192 /* bytes from which on the rest of a head is not waited for */
};

static void intake_on_event(void *ctx, uint32_t events);
static void intake_on_parts_timer(void *ctx, int64_t now_us);

/* From the call to the kernel on, the intake's thread may have the connection. */
static void intake_watch(struct intake *intake, struct conn *conn, uint32_t events)
{
	bool was_watched = conn->watched;
	int err;

	conn->intake = intake;
	conn->lfd.fd = conn->fd;
	conn->lfd.fn = intake_on_event;
	conn->lfd.ctx = conn;
	conn->watched = true;
	if (was_watched)
		err = loop_fd_mod(&intake->loop, &conn->lfd, events);
	else
		err = loop_fd_add(&intake->loop, &conn->lfd, events);
	if (err == 0)
		return;
	/* Nobody would notice its next request; its client sees the end instead. */
	log_msg(LOG_WARNING, "connection_not_watched reason=\"%s\"", strerror(errno));
	met_add(met_counter("bg_connections_not_watched_total", ""), 1);
	conn_give_up(conn);
}

void intake_await(struct intake *intake, struct conn *conn)
{
	intake_watch(intake, conn, EPOLLIN | EPOLLRDHUP | EPOLLONESHOT);
}

void intake_await_writable(struct intake *intake, struct conn *conn)
{
	intake_watch(intake, conn, EPOLLOUT | EPOLLONESHOT);
}

/* Stops waiting for the rest of a head. */
static void intake_end_part(struct intake *intake, struct conn *conn)
{
	if (conn->part_since_us == 0)
		return;
	g_queue_unlink(&intake->parts, &conn->part_link);
	conn->part_since_us = 0;
	loop_fd_del(&intake->loop, &conn->lfd);
	conn->watched = false;
}

/*
 * Waits for more of a head. Each further piece is one event, as what is there already stays unread
 * and would be reported again and again otherwise.
 */
static void intake_await_rest(struct intake *intake, struct conn *conn)
{
	if (conn->part_since_us != 0)
		return;
	conn->part_since_us = tmr_now();
	g_queue_push_tail_link(&intake->parts, &conn->part_link);
	if (g_queue_get_length(&intake->parts) == 1)
		loop_start_timer(&intake->loop, &intake->parts_timer, INTAKE_PART_US,
				 intake_on_parts_timer, intake);
	intake_watch(intake, conn, EPOLLIN | EPOLLRDHUP | EPOLLET);
}

static void intake_deliver(struct intake *intake, struct conn *conn, const struct hd_size *size)
{
	intake_end_part(intake, conn);
	intake->config.on_head(intake->config.ctx, conn, size);
}

/* Looks at what has come on a connection. overdue: the rest of a head is not waited for. */
static void intake_look(struct intake *intake, struct conn *conn, bool overdue)
{
	ssize_t n = recv(conn->fd, intake->buf, INTAKE_HEAD_MAX, MSG_PEEK | MSG_DONTWAIT);
	struct hd_size size;

	if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
		intake_end_part(intake, conn);
		intake_await(intake, conn);
		return;
	}
	if (n <= 0) {
		intake_end_part(intake, conn);
		intake->config.on_end(intake->config.ctx, conn);
		return;
	}
	hd_head_measure(intake->buf, (size_t)n, &size);
	if (size.whole || overdue || n >= INTAKE_PART_MAX)
		intake_deliver(intake, conn, &size);
	else
		intake_await_rest(intake, conn);
}

static void intake_on_event(void *ctx, uint32_t events)
{
	struct conn *conn = ctx;
	struct intake *intake = conn->intake;

	if (conn->direct)
		intake->config.on_writable(intake->config.ctx, conn);
	else
		intake_look(intake, conn, (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0);
}

static void intake_on_parts_timer(void *ctx, int64_t now_us)
{
	struct intake *intake = ctx;
	const struct conn *first;

	while ((first = g_queue_peek_head(&intake->parts)) &&
	       first->part_since_us + INTAKE_PART_US <= now_us)
		intake_look(intake, g_queue_peek_head(&intake->parts), true);
	if (first)
		loop_start_timer(&intake->loop, &intake->parts_timer,
				 first->part_since_us + INTAKE_PART_US - now_us,
				 intake_on_parts_timer, intake);
}

static void intake_on_accept_timer(void *ctx, int64_t now_us)
{
	struct intake *intake = ctx;

	(void)now_us;
	if (loop_fd_mod(&intake->loop, &intake->listener, EPOLLIN) < 0)
		log_msg(LOG_ERR, "accept_not_resumed reason=\"%s\"", strerror(errno));
}

/* Leaves clients in the kernel's queue for a while. */
static void intake_pause_accept(struct intake *intake)
{
	log_msg(LOG_WARNING, "accept_failed reason=\"%s\"", strerror(errno));
	met_add(met_counter("bg_accepts_failed_total", ""), 1);
	if (loop_fd_mod(&intake->loop, &intake->listener, 0) == 0)
		loop_start_timer(&intake->loop, &intake->accept_timer, INTAKE_PAUSE_US,
				 intake_on_accept_timer, intake);
}

static bool intake_may_accept(const struct intake *intake)
{
	const struct intake_config *config = &intake->config;

	return !config->may_accept || config->may_accept(config->may_accept_ctx);
}

static void intake_on_accept(void *ctx, uint32_t events)
{
	struct intake *intake = ctx;

	(void)events;
	for (int i = 0; i < INTAKE_ACCEPTS_MAX; i++) {
		int fd = accept(intake->listener.fd, NULL, NULL);

		if (fd < 0 && (errno == EAGAIN || errno == EINTR || errno == ECONNABORTED))
			return;
		if (fd < 0) {
			intake_pause_accept(intake);
			return;
		}
		if (intake_may_accept(intake))
			intake_await(intake, conn_new(intake->conns, fd));
		else
			close(fd);
	}
}

static void *intake_run(void *ctx)
{
	struct intake *intake = ctx;

	loop_run(&intake->loop);
	return NULL;
}

static int intake_listen(struct intake *intake)
{
	intake->listener.fd = intake->config.listen_fd;
	intake->listener.fn = intake_on_accept;
	intake->listener.ctx = intake;
	if (intake->config.listen_fd < 0)
		return 0;
	return loop_fd_add(&intake->loop, &intake->listener, EPOLLIN);
}

int intake_start(struct intake *intake, struct conns *conns, const struct intake_config *config)
{
	memset(intake, 0, sizeof(*intake));
	intake->config = *config;
	intake->conns = conns;
	if (loop_init(&intake->loop) < 0)
		return BASE_ESYS;
	g_queue_init(&intake->parts);
	intake->buf = g_malloc(INTAKE_HEAD_MAX);
	if (intake_listen(intake) < 0 ||
	    pthread_create(&intake->thread, NULL, intake_run, intake) != 0) {
		loop_finish(&intake->loop);
		g_free(intake->buf);
		return BASE_ESYS;
	}
	return 0;
}

static void intake_on_stop(void *ctx)
{
	struct intake *intake = ctx;

	loop_stop(&intake->loop);
}

void intake_stop(struct intake *intake)
{
	loop_post(&intake->loop, intake_on_stop, intake);
	pthread_join(intake->thread, NULL);
	loop_finish(&intake->loop);
	g_free(intake->buf);
}
