#ifndef BASE_CONNS_H
#define BASE_CONNS_H

#include "base/recent.h"

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The connections of an HTTP server between two requests. The library's own timeout can be set only
 * while a request is open, so a connection would keep the limit of its last request, though its
 * client goes by a longer one that came into force since. This closes idle connections instead.
 */

enum {
	/* time in us within which clients and servers act by a new limit */
	CONNS_LIMIT_DELAY_US = 5000000
};

#define CONNS_NO_REQUEST INT64_MAX

struct conns {
	pthread_mutex_t lock; /* guards the fields below and those of each struct conn */
	struct recent limits; /* idle timeouts in us; 0: none */
	GQueue idle;	      /* struct conn without an open request, longest idle first */
	GQueue all;	      /* all struct conn */
	int not_sent_max; /* bytes that the kernel takes before it has sent them; 0: its own bound
			   */
};

/* A connection. */
struct conn {
	struct conns *conns;
	GList link;	/* in conns->idle */
	GList all_link; /* in conns->all */
	int fd;
	int64_t idle_since_us; /* end of the last request; CONNS_NO_REQUEST: there was none */
	bool idle;	       /* no request is open */
	bool closed;	       /* it has been closed here, and the library does not know it yet */

	/* Bytes of the requests that were answered; used by the library's thread only. */
	uint64_t requests_bytes;
};

/* Returns the time until which a connection that is idle since then stays open; 0: for ever. */
int64_t conns_idle_until_us(const struct recent *limits, int64_t idle_since_us);

void conns_init(struct conns *conns);
void conns_finish(struct conns *conns);

/* Puts an idle timeout in force. */
void conns_set_limit(struct conns *conns, uint64_t idle_us, int64_t now_us);

/*
 * Sets how many bytes the kernel takes of what is sent on a connection, now and later, before it
 * has sent them; 0: as many as it likes. What it has taken is delivered even if the process ends.
 * Any thread may call this.
 */
void conns_set_not_sent_max(struct conns *conns, int bytes);

/* Returns the largest idle timeout in us that clients may go by at present; 0: none. */
uint64_t conns_limit_us(struct conns *conns, int64_t now_us);

/* Closes the connections that have been idle for too long. Any thread may call this. */
void conns_close_idle(struct conns *conns, int64_t now_us);

/* Closes all connections without an open request. Any thread may call this. */
void conns_close_all_idle(struct conns *conns);

/* A connection was made, or is about to be closed by the library. */
struct conn *conn_new(struct conns *conns, int fd);
void conn_free(struct conn *conn);

/*
 * A request begins. Returns false if it must not be read: the connection was closed meanwhile, so
 * it could not be answered.
 */
bool conn_on_request(struct conn *conn);

/* A request was answered and the connection is kept. */
void conn_on_answered(struct conn *conn, int64_t now_us);

G_END_DECLS

#endif
