#ifndef BASE_DRAIN_H
#define BASE_DRAIN_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * When a server that stops may end its process. A request that arrives between the last look at the
 * open requests and the exit would end with the process, and one whose connection waits in the
 * queue of the listening socket is not even seen. So there are two rounds: once the server has been
 * idle for some checks it stops accepting connections and takes those in the queue; once it has
 * been idle for as many checks again, the process may end. This does no I/O.
 */

enum {
	DRAIN_IDLE_CHECKS = 4 /* consecutive checks without open requests that count as idle */
};

struct drain {
	int idle_checks; /* consecutive checks without open requests */
	bool quiesced;	 /* no connections are accepted any more */
};

/* What the server is to do now. */
enum drain_step {
	DRAIN_WAIT,    /* serve on and check again */
	DRAIN_QUIESCE, /* stop accepting connections, see hd_quiesce(); returned once */
	DRAIN_END      /* end the process */
};

/* Checks whether requests are open. must_quiesce: stop accepting connections, idle or not. */
enum drain_step drain_check(struct drain *drain, bool open, bool must_quiesce);

G_END_DECLS

#endif
