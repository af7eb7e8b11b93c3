#ifndef BASE_DRAIN_H
#define BASE_DRAIN_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * When a server that stops may end its process. A request that arrives between the last look at the
 * open requests and the exit would end with the process, and one whose connection waits in the
 * queue of the listening socket, or is being made, is not even seen. So there are two rounds: once
 * the server has been idle for some checks it lets no further client connect; once it has been idle
 * for as many checks again, within which handshakes end and the queue is emptied, the process may
 * end. This does no I/O.
 */

enum {
	DRAIN_IDLE_CHECKS = 4 /* consecutive checks without open requests that count as idle */
};

struct drain {
	int idle_checks; /* consecutive checks without open requests */
	bool refusing;	 /* no further client can connect */
};

/* What the server is to do now. */
enum drain_step {
	DRAIN_WAIT,   /* serve on and check again */
	DRAIN_REFUSE, /* let no further client connect, see hd_refuse(); returned once */
	DRAIN_END     /* end the process */
};

/* Checks whether requests are open. must_refuse: let no further client connect, idle or not. */
enum drain_step drain_check(struct drain *drain, bool open, bool must_refuse);

G_END_DECLS

#endif
