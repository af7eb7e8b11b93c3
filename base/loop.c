#define _GNU_SOURCE
#include "base/loop.h"
#include "base/err.h"

#include <ck_ring.h>
#include <sched.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

enum {
	LOOP_MAIL_MAX = 1 << 16, /* messages that the mailbox holds */
	LOOP_MAIL_BATCH = 1024,	 /* messages handled before other events are handled again */
	NSEC_PER_USEC = 1000,	 /* nanoseconds in a microsecond */
	USEC_PER_SEC = 1000000	 /* microseconds in a second */
};

/*
 * ThreadSanitizer does not see the memory fences of Concurrency Kit, which are written in
 * assembler, and would report a data race for every message. These two annotations declare the
 * ordering that the ring guarantees.
 */
#ifdef __SANITIZE_THREAD__
void __tsan_acquire(void *addr);
void __tsan_release(void *addr);
#define LOOP_TSAN_ACQUIRE(addr) __tsan_acquire(addr)
#define LOOP_TSAN_RELEASE(addr) __tsan_release(addr)
#else
#define LOOP_TSAN_ACQUIRE(addr) ((void)(addr))
#define LOOP_TSAN_RELEASE(addr) ((void)(addr))
#endif

/* A posted function and its argument. */
struct loop_mail {
	loop_post_fn fn;
	void *ctx;
};

struct loop_mailbox {
	ck_ring_t ring;			       /* queue with many producers and one consumer */
	ck_ring_buffer_t slots[LOOP_MAIL_MAX]; /* storage of the ring */
	struct loop_fd wake;		       /* watches the loop's eventfd */
};

static void loop_on_wake(void *ctx, uint32_t events);
static int loop_wait(struct loop *loop, struct epoll_event *events);

int loop_init(struct loop *loop)
{
	memset(loop, 0, sizeof(*loop));
	loop->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	if (loop->epoll_fd < 0)
		return BASE_ESYS;
	loop->event_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (loop->event_fd < 0) {
		close(loop->epoll_fd);
		return BASE_ESYS;
	}
	tmr_svc_init(&loop->tmr);
	loop->now_us = tmr_now();
	loop->mailbox = g_new0(struct loop_mailbox, 1);
	ck_ring_init(&loop->mailbox->ring, LOOP_MAIL_MAX);
	loop->mailbox->wake.fd = loop->event_fd;
	loop->mailbox->wake.fn = loop_on_wake;
	loop->mailbox->wake.ctx = loop;
	return loop_fd_add(loop, &loop->mailbox->wake, EPOLLIN);
}

void loop_finish(struct loop *loop)
{
	close(loop->event_fd);
	close(loop->epoll_fd);
	tmr_svc_finish(&loop->tmr);
	g_free(loop->mailbox);
}

/*
 * A full mailbox means that the loop's thread is far behind. The calling thread then waits, because
 * dropping the message would leave a request without its next event, and it would never end.
 */
void loop_post(struct loop *loop, loop_post_fn fn, void *ctx)
{
	struct loop_mail *mail = g_new(struct loop_mail, 1);
	uint64_t one = 1;

	mail->fn = fn;
	mail->ctx = ctx;
	LOOP_TSAN_RELEASE(mail);
	while (!ck_ring_enqueue_mpsc(&loop->mailbox->ring, loop->mailbox->slots, mail))
		sched_yield();
	if (write(loop->event_fd, &one, sizeof(one)) < 0)
		return;
}

static void loop_on_wake(void *ctx, uint32_t events)
{
	struct loop *loop = ctx;
	struct loop_mail *mail;
	uint64_t count;

	(void)events;
	if (read(loop->event_fd, &count, sizeof(count)) < 0)
		return;
	for (int i = 0; i < LOOP_MAIL_BATCH; i++) {
		if (!ck_ring_dequeue_mpsc(&loop->mailbox->ring, loop->mailbox->slots, &mail))
			return;
		LOOP_TSAN_ACQUIRE(mail);
		mail->fn(mail->ctx);
		g_free(mail);
	}
	count = 1;
	if (write(loop->event_fd, &count, sizeof(count)) < 0)
		return;
}

int loop_fd_add(struct loop *loop, struct loop_fd *lfd, uint32_t events)
{
	struct epoll_event ev = {.events = events, .data.ptr = lfd};

	return epoll_ctl(loop->epoll_fd, EPOLL_CTL_ADD, lfd->fd, &ev) < 0 ? BASE_ESYS : 0;
}

int loop_fd_mod(struct loop *loop, struct loop_fd *lfd, uint32_t events)
{
	struct epoll_event ev = {.events = events, .data.ptr = lfd};

	return epoll_ctl(loop->epoll_fd, EPOLL_CTL_MOD, lfd->fd, &ev) < 0 ? BASE_ESYS : 0;
}

/*
 * The current iteration may already have read an event for lfd. Calling its callback after the
 * owner has freed lfd would be a use after free, so the event is removed from the batch.
 */
void loop_fd_del(struct loop *loop, struct loop_fd *lfd)
{
	epoll_ctl(loop->epoll_fd, EPOLL_CTL_DEL, lfd->fd, NULL);
	for (int i = 0; i < loop->batch_len; i++) {
		if (loop->batch[i] == lfd)
			loop->batch[i] = NULL;
	}
}

void loop_start_timer(struct loop *loop, struct tmr *t, int64_t delay_us, tmr_fn fn, void *ctx)
{
	tmr_set(&loop->tmr, t, tmr_now() + delay_us, fn, ctx);
}

static int loop_wait(struct loop *loop, struct epoll_event *events)
{
	int64_t next = tmr_next(&loop->tmr);
	struct timespec ts;
	int64_t left;

	if (next == TMR_NEVER)
		return epoll_wait(loop->epoll_fd, events, LOOP_EVENTS_MAX, -1);
	left = MAX(next - tmr_now(), 0);
	ts.tv_sec = left / USEC_PER_SEC;
	ts.tv_nsec = (left % USEC_PER_SEC) * NSEC_PER_USEC;
	return epoll_pwait2(loop->epoll_fd, events, LOOP_EVENTS_MAX, &ts, NULL);
}

void loop_run(struct loop *loop)
{
	struct epoll_event events[LOOP_EVENTS_MAX];

	while (!loop->stopping) {
		int n = loop_wait(loop, events);

		loop->now_us = tmr_now();
		loop->batch_len = MAX(n, 0);
		for (int i = 0; i < loop->batch_len; i++)
			loop->batch[i] = events[i].data.ptr;
		for (int i = 0; i < loop->batch_len; i++) {
			struct loop_fd *lfd = loop->batch[i];

			if (lfd)
				lfd->fn(lfd->ctx, events[i].events);
		}
		loop->batch_len = 0;
		loop->now_us = tmr_now();
		tmr_run(&loop->tmr, loop->now_us);
	}
}

void loop_stop(struct loop *loop)
{
	loop->stopping = true;
}

int64_t loop_thread_cpu_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return (int64_t)ts.tv_sec * USEC_PER_SEC + ts.tv_nsec / NSEC_PER_USEC;
}
