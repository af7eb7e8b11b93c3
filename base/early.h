#ifndef BASE_EARLY_H
#define BASE_EARLY_H

#include <glib.h>
#include <pthread.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Responses to requests whose bodies are not read to their ends. The HTTP library takes no response
 * while it receives a body, so these are written to the socket, which gets no further response.
 *
 * What the client still sends is read and dropped for some time. Without that the kernel would
 * reset the connection, and the client might see an error in place of the response.
 */
struct early {
	pthread_mutex_t lock; /* guards open */
	GQueue open;	      /* struct early_conn, longest open first */
};

/* A response. */
struct early_response {
	int status;
	const char *type;	  /* Content-Type; may be NULL */
	const GPtrArray *headers; /* name, value, name, value, ... */
	const char *body;
	size_t len; /* length of body in bytes */
};

void early_init(struct early *early);

/* Closes all connections. */
void early_finish(struct early *early);

/*
 * Sends the response and the end of the stream. The caller closes fd afterwards; the connection
 * stays open until the client closes it or its time is over. Any thread may call this. Returns 0 or
 * BASE_ESYS: the client may not get the response.
 */
int early_reply(struct early *early, int fd, const struct early_response *response,
		int64_t now_us) G_GNUC_WARN_UNUSED_RESULT;

/*
 * Drops what clients have sent and closes the connections that have ended or whose time is over; to
 * be called several times a second, from any thread.
 */
void early_on_sweep(struct early *early, int64_t now_us);

G_END_DECLS

#endif
