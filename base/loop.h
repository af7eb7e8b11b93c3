#ifndef BASE_LOOP_H
#define BASE_LOOP_H

#include "base/tmr.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Event loop of one thread: file descriptors, timers and a mailbox that other threads may use. */
typedef void (*loop_fd_fn)(void *ctx, uint32_t events);
typedef void (*loop_post_fn)(void *ctx);

struct loop_fd {
	int fd;
	loop_fd_fn fn;
	void *ctx;
};

struct loop_mailbox;

enum {
	LOOP_EVENTS_MAX = 64
};

struct loop {
	int epoll_fd;
	int event_fd;
	struct tmr_svc tmr;
	struct loop_mailbox *mailbox;
	struct loop_fd *batch[LOOP_EVENTS_MAX]; /* events taken but not yet handed out */
	int batch_len;
	int64_t now_us;
	bool stopping;
};

/* Returns 0 or BASE_ESYS. */
int loop_init(struct loop *loop);
void loop_finish(struct loop *loop);

/* Runs until loop_stop(). */
void loop_run(struct loop *loop);

/* Ends loop_run() after the current round; only from the loop's own thread. */
void loop_stop(struct loop *loop);

/* Calls fn(ctx) in the loop's thread, in the order of posting. Any thread may call this. */
void loop_post(struct loop *loop, loop_post_fn fn, void *ctx);

/* Watches lfd->fd for events (EPOLLIN, EPOLLOUT); lfd belongs to the caller. */
int loop_fd_add(struct loop *loop, struct loop_fd *lfd, uint32_t events);
int loop_fd_mod(struct loop *loop, struct loop_fd *lfd, uint32_t events);
void loop_fd_del(struct loop *loop, struct loop_fd *lfd);

/* Subscribes t after delay_us from now. */
void loop_after(struct loop *loop, struct tmr *t, int64_t delay_us, tmr_fn fn, void *ctx);

/* CPU time that the calling thread has used, in microseconds. */
int64_t loop_cpu_us(void);

G_END_DECLS

#endif
