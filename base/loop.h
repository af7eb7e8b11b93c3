#ifndef BASE_LOOP_H
#define BASE_LOOP_H

#include "base/tmr.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Event loop of one thread. It waits for file descriptors and timers, and has a mailbox by which
 * other threads have functions called in the loop's thread.
 */

/* Callback of a file descriptor; events is a set of EPOLLIN, EPOLLOUT, EPOLLERR and EPOLLHUP. */
typedef void (*loop_fd_fn)(void *ctx, uint32_t events);

/* Function that loop_post() has called in the loop's thread. */
typedef void (*loop_post_fn)(void *ctx);

/* A watched file descriptor, its callback and the callback's first argument. */
struct loop_fd {
	int fd;
	loop_fd_fn fn;
	void *ctx;
};

struct loop_mailbox;

enum {
	LOOP_EVENTS_MAX = 64 /* descriptor events that one iteration of the loop handles */
};

struct loop {
	int epoll_fd;		      /* epoll instance of all watched descriptors */
	int event_fd;		      /* eventfd that wakes the loop when a message is posted */
	struct tmr_svc tmr;	      /* timers that fire in the loop's thread */
	struct loop_mailbox *mailbox; /* functions posted by loop_post() */
	struct loop_fd *batch[LOOP_EVENTS_MAX]; /* descriptors with events in this iteration; NULL
						   if removed by loop_fd_del() */
	int batch_len;				/* entries in batch */
	int64_t now_us; /* monotonic time read last by the loop, in microseconds */
	bool stopping;	/* loop_stop() was called */
};

/* Initializes the loop. Returns 0 or BASE_ESYS. */
int loop_init(struct loop *loop) G_GNUC_WARN_UNUSED_RESULT;

/* Closes the loop's descriptors and frees its memory. */
void loop_finish(struct loop *loop);

/* Handles events until loop_stop() is called. */
void loop_run(struct loop *loop);

/* Makes loop_run() return after the current iteration; only for the loop's own thread. */
void loop_stop(struct loop *loop);

/* Calls fn(ctx) in the loop's thread, in the order of posting. Any thread may call this. */
void loop_post(struct loop *loop, loop_post_fn fn, void *ctx);

/*
 * Watches lfd->fd for events (EPOLLIN, EPOLLOUT). The caller owns lfd and keeps it until
 * loop_fd_del(). Returns 0 or BASE_ESYS.
 */
int loop_fd_add(struct loop *loop, struct loop_fd *lfd, uint32_t events) G_GNUC_WARN_UNUSED_RESULT;

/* Changes the events for which lfd->fd is watched. Returns 0 or BASE_ESYS. */
int loop_fd_mod(struct loop *loop, struct loop_fd *lfd, uint32_t events) G_GNUC_WARN_UNUSED_RESULT;

/* Stops watching lfd->fd; its callback isn't called any more. */
void loop_fd_del(struct loop *loop, struct loop_fd *lfd);

/* Sets the timer t to call fn(ctx, now) after delay_us microseconds from now. */
void loop_start_timer(struct loop *loop, struct tmr *t, int64_t delay_us, tmr_fn fn, void *ctx);

/* Returns the CPU time that the calling thread has used, in microseconds. */
int64_t loop_thread_cpu_us(void);

G_END_DECLS

#endif
