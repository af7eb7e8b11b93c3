#ifndef BASE_FRM_H
#define BASE_FRM_H

#include "base/loop.h"

#include <glib.h>
#include <protobuf-c/protobuf-c.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Framed connections between our own processes. A frame is a length (32 bits), a kind (16 bits),
 * both in network order, and a protobuf message. All calls belong to the loop's thread.
 */
enum {
	FRM_HEAD_LEN = 6,
	FRM_BODY_MAX = 8 << 20,
	FRM_KIND_HEARTBEAT = 0,
	FRM_OUT_MAX = 64 << 20 /* unsent bytes at which a connection is given up */
};

struct frm_conn;

struct frm_ops {
	/*
	 * A message came in. Return 0, or BASE_EFRAME when it is malformed or of an unknown kind:
	 * the connection is then closed and counted.
	 */
	int (*on_msg)(void *ctx, struct frm_conn *conn, uint16_t kind, const uint8_t *body,
		      size_t len);

	/* The connection has ended for the reason err; conn is gone after the call. */
	void (*on_close)(void *ctx, struct frm_conn *conn, int err);
};

/*
 * The side that connected asks for signs of life with heartbeats, which the other side answers.
 * While it waits for something (frm_set_active()), it does so often, and gives a silent peer up
 * soon; while it only keeps the connection, seldom, so that connections cost little.
 */
struct frm_limits {
	int64_t heartbeat_us; /* between heartbeats while active */
	int64_t silent_us;    /* an active connection that heard nothing for so long is given up */
	int64_t idle_us;      /* between heartbeats while not active */
};

struct frm_server {
	struct loop *loop;
	struct loop_fd lfd;
	const struct frm_ops *ops;
	struct frm_limits limits;
	void *ctx;
	GPtrArray *conns; /* those accepted here and still open */
};

/* Takes the whole frame at the start of data. Returns bytes used, 0 if incomplete, BASE_EFRAME. */
int frm_parse(const uint8_t *data, size_t len, uint16_t *kind, const uint8_t **body,
	      size_t *body_len);

int frm_listen(struct frm_server *server, struct loop *loop, const char *addr,
	       const struct frm_ops *ops, const struct frm_limits *limits, void *ctx);
void frm_server_finish(struct frm_server *server);

/* Starts to connect; failure is told by on_close(). Returns NULL for a bad address. */
struct frm_conn *frm_connect(struct loop *loop, const char *addr, const struct frm_ops *ops,
			     const struct frm_limits *limits, void *ctx);

/* Queues one message. Errors show later as on_close(). */
void frm_send(struct frm_conn *conn, uint16_t kind, const ProtobufCMessage *msg);

/* Whether the owner waits for the peer; for connections made by frm_connect(). */
void frm_set_active(struct frm_conn *conn, bool active);

/* Closes without on_close(). */
void frm_close(struct frm_conn *conn);

/* A pointer that the owner hangs on a connection; NULL at first. */
void frm_set_data(struct frm_conn *conn, void *data);
void *frm_data(const struct frm_conn *conn);

G_END_DECLS

#endif
