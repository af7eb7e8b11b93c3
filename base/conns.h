#ifndef BASE_CONNS_H
#define BASE_CONNS_H

#include "base/loop.h"
#include "base/recent.h"

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The connections of an HTTP server outside of requests that were received. The library's own
 * timeout can be set only while a request is open, so a connection would keep the limit of its last
 * request, though its client goes by a longer one that came into force since; and a connection
 * whose first head never ends would have none at all. Each state has its time here instead.
 */

enum {
	/* time in us within which clients and servers act by a new limit */
	CONNS_LIMIT_DELAY_US = 5000000,
	/* time in us for a client to read that its request was refused */
	CONNS_REFUSED_US = 5000000
};

/* Those from CONN_REFUSED on have been given up here, and the library may not know it yet. */
enum conn_state {
	CONN_IDLE,    /* no request has begun; it is closed when the idle timeout is over */
	CONN_HEAD,    /* a head has begun; it is refused when the time for heads is over */
	CONN_BUSY,    /* a head was received; the request has times of its own */
	CONN_REFUSED, /* nothing more is read; it is closed after CONNS_REFUSED_US */
	CONN_CLOSED,  /* the library finds the end of the stream */
	CONN_REPLACED /* another struct conn has the connection's request, see conn.replaced */
};

struct hd_call;
struct intake;
struct MHD_Connection;

struct conns {
	pthread_mutex_t lock;	   /* guards the fields below and those of each struct conn */
	struct recent limits;	   /* idle timeouts in us; 0: none */
	struct recent head_limits; /* times in us that heads may take; 0: any */
	GQueue idle;		   /* struct conn in CONN_IDLE, longest idle first */
	GQueue heads;		   /* struct conn in CONN_HEAD and CONN_REFUSED */
	GQueue all;		   /* all struct conn */
	GHashTable *offered;	   /* by descriptor: struct conn that the library is to take */
	int not_sent_max; /* bytes that the kernel takes before it has sent them; 0: its own bound
			   */
};

/* A connection. */
struct conn {
	struct conns *conns;
	GList link;	/* in conns->idle or conns->heads */
	GList all_link; /* in conns->all */
	int fd;
	enum conn_state state;
	int64_t since_us; /* when it entered the state */
	/* when part of a request line was first seen on an idle connection; 0: none was seen */
	int64_t part_us;

	/* Bytes of the requests that were answered; used by the library's thread only. */
	uint64_t requests_bytes;

	/* Set by base/hd_any.c and base/intake.c. */
	struct intake *intake;		/* NULL: none holds it */
	struct loop_fd lfd;		/* of the loop of intake */
	bool watched;			/* lfd is in the loop */
	bool awaiting;			/* the intake waits for the next head */
	int64_t part_since_us;		/* when the intake first saw a part of a head; 0: none */
	GList part_link;		/* in intake->parts if part_since_us is set */
	struct MHD_Connection *library; /* the library's connection; NULL: it has none yet */
	struct hd_call *direct;		/* request whose response the library doesn't send */
	bool large;			/* its block has HD_LARGE_MEMORY */
	struct conn *replaced;		/* connection that waits for the end of this one */
};

/* Returns the time until which a connection may be in a state since then; 0: for ever. */
int64_t conns_until_us(const struct recent *limits, int64_t since_us);

void conns_init(struct conns *conns);
void conns_finish(struct conns *conns);

/* Puts an idle timeout in force. */
void conns_set_limit(struct conns *conns, uint64_t idle_us, int64_t now_us);

/* Puts a time in force that the head of a request may take. */
void conns_set_head_limit(struct conns *conns, uint64_t head_us, int64_t now_us);

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

/* Answers a connection whose head has taken too long, and ends the stream to its client. */
typedef void (*conn_slow_fn)(void *ctx, const struct conn *conn);

/*
 * Has fn called for connections whose heads have taken too long, and closes those for which it was
 * called a while ago. Bytes that the library has not read yet are not the client's delay. Any
 * thread may call this.
 */
void conns_close_slow_heads(struct conns *conns, int64_t now_us, conn_slow_fn fn, void *ctx);

/* Closes all connections without an open request. Any thread may call this. */
void conns_close_all_idle(struct conns *conns);

/* A connection was made, or is about to be closed by the library. */
struct conn *conn_new(struct conns *conns, int fd);
void conn_free(struct conn *conn);

/* Frees a connection of which the library was never told, and closes it. */
void conn_drop(struct conn *conn);

/*
 * Keeps the connection for conns_claim(), as the library knows only its descriptor. Returns false
 * if it was given up: a request on it could not be answered.
 */
bool conn_offer(struct conn *conn) G_GNUC_WARN_UNUSED_RESULT;

/* Frees a connection that was offered; the library has closed it. */
void conn_forget(struct conn *conn);

/* Returns the connection that was offered, or NULL. */
struct conn *conns_claim(struct conns *conns, int fd);

/* Gives the connection up and closes it. */
void conn_give_up(struct conn *conn);

/* Gives the connection up, and leaves its client CONNS_REFUSED_US to read what was sent. */
void conn_refuse(struct conn *conn);

/*
 * Leaves the request of the connection to another struct conn, which refers to it. Returns false as
 * conn_offer() does.
 */
bool conn_replace(struct conn *conn, struct conn *by) G_GNUC_WARN_UNUSED_RESULT;

/*
 * A request begins. Returns false if it must not be read: the connection was closed meanwhile, so
 * it could not be answered.
 */
bool conn_on_request(struct conn *conn);

/* The head of the request was received. Returns false as conn_on_request() does. */
bool conn_on_head(struct conn *conn);

/* Whether the connection was given up. */
bool conn_is_given_up(struct conn *conn);

/* A request was answered and the connection is kept. */
void conn_on_answered(struct conn *conn, int64_t now_us);

G_END_DECLS

#endif
