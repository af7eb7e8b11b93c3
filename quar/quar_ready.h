#ifndef QUAR_QUAR_READY_H
#define QUAR_QUAR_READY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Whether a host that has started may serve requests, in regard of the quarantine. Without the
 * entries in the store it lets requests in that are refused everywhere else, and each crashes
 * another endpoint. So it waits until it has read them, or another host that knows them has sent
 * them. The wait is bounded: hosts of the version before don't say that they know them, and a store
 * that is away answers nobody. No I/O, no clock.
 */
enum {
	/* Longest wait in us; a host that starts has all else within a second or two. */
	QUAR_READY_WAIT_US = 1500000
};

struct quar_ready {
	bool known;	  /* the entries in the store are known */
	int64_t until_us; /* time from which on requests are served without them, in us; 0: not set
			   */
	bool is_told;	  /* the log says that they are */
};

/* To be asked once the host has all else that it needs. */
bool quar_ready_may_serve(struct quar_ready *ready, int64_t now_us);

G_END_DECLS

#endif
