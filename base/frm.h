#ifndef BASE_FRM_H
#define BASE_FRM_H

#include "base/loop.h"

#include <glib.h>
#include <protobuf-c/protobuf-c.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Framed connections between the processes of this project. A frame is the length of the message
 * (32 bits), its kind (16 bits), both in network order, and a protobuf message. All functions must
 * be called in the loop's thread.
 */
enum {
	FRM_HEADER_LEN = 6,	  /* bytes of a frame before the message */
	FRM_BODY_MAX = 8 << 20,	  /* largest message, in bytes */
	FRM_KIND_HEARTBEAT = 0,	  /* kind of a frame without a message that checks the connection */
	FRM_UNSENT_MAX = 64 << 20 /* unsent bytes above which a connection is closed */
};

/* A framed connection. */
struct frm_conn;

/* Callbacks of a connection. */
struct frm_ops {
	/*
	 * A message of len bytes was received. Returns 0, or a negative error if the message is
	 * malformed or of an unknown kind. The connection is then closed with BASE_EFRAME and
	 * counted in bg_frames_refused_total.
	 */
	int (*on_msg)(void *ctx, struct frm_conn *conn, uint16_t kind, const uint8_t *body,
		      size_t len);

	/* The connection has ended with the error err; conn must not be used afterwards. */
	void (*on_close)(void *ctx, struct frm_conn *conn, int err);
};

/*
 * The side that connected sends heartbeats, which the other side answers. While it waits for the
 * peer (frm_set_active()), it sends them often and closes the connection soon if the peer is
 * silent. On an idle connection it sends them seldom, so that idle connections cost little.
 */
struct frm_limits {
	int64_t heartbeat_us; /* interval of heartbeats on an active connection, in microseconds */
	int64_t silent_us;    /* time in microseconds without received data after which an active
				 connection is closed */
	int64_t idle_us;      /* interval of heartbeats on an idle connection, in microseconds */
};

/* A listening socket and the connections accepted from it. */
struct frm_server {
	struct loop *loop;
	struct loop_fd lfd;	   /* the listening socket */
	const struct frm_ops *ops; /* callbacks of accepted connections */
	struct frm_limits limits;  /* heartbeat limits of accepted connections */
	void *ctx;		   /* first argument of the callbacks */
	GPtrArray *conns;	   /* open accepted connections (struct frm_conn) */
	struct tmr accept_pause;   /* end of the pause after an accept that failed */
};

/*
 * Parses the frame at the start of data. Returns its length in bytes, 0 if the frame is incomplete,
 * or BASE_EFRAME if it is too long. body points into data.
 */
int frm_parse(const uint8_t *data, size_t len, uint16_t *kind, const uint8_t **body,
	      size_t *body_len) G_GNUC_WARN_UNUSED_RESULT;

/* Accepts connections on the address "IP:PORT". Returns 0 or a negative base error. */
int frm_listen(struct frm_server *server, struct loop *loop, const char *addr,
	       const struct frm_ops *ops, const struct frm_limits *limits,
	       void *ctx) G_GNUC_WARN_UNUSED_RESULT;

/* Stops listening and closes all accepted connections without on_close(). */
void frm_server_finish(struct frm_server *server);

/*
 * Starts to connect to the address "IP:PORT". A failure to connect is reported by on_close().
 * Returns NULL if the address is invalid or no socket can be created.
 */
struct frm_conn *frm_connect(struct loop *loop, const char *addr, const struct frm_ops *ops,
			     const struct frm_limits *limits, void *ctx) G_GNUC_WARN_UNUSED_RESULT;

/*
 * Queues a message for sending. Errors are reported later by on_close(); a message that can't be
 * queued, as the connection has ended or the message is longer than FRM_BODY_MAX, is logged and
 * counted in bg_frames_dropped_total. The second ends the connection with BASE_EFRAME, since the
 * peer would miss it.
 */
void frm_send(struct frm_conn *conn, uint16_t kind, const ProtobufCMessage *msg);

/*
 * Sets whether the connection is active, that is, whether the caller waits for the peer. Only for
 * connections made by frm_connect().
 */
void frm_set_active(struct frm_conn *conn, bool active);

/*
 * Ends the framing within on_msg() and returns the connection's socket, which the caller then owns;
 * conn must not be used afterwards and on_close() isn't called. The bytes that were received after
 * the frame are appended to rest. Returns BASE_EFRAME, and closes the connection, if frames are
 * queued for sending.
 */
int frm_detach(struct frm_conn *conn, GByteArray *rest) G_GNUC_WARN_UNUSED_RESULT;

/* Returns the bytes of a frame that holds the message; free with g_byte_array_unref(). */
GByteArray *frm_pack(uint16_t kind, const ProtobufCMessage *msg);

/* Closes the connection without on_close(). */
void frm_close(struct frm_conn *conn);

/* Stores a pointer of the caller with the connection. */
void frm_set_user_data(struct frm_conn *conn, void *data);

/* Returns the pointer stored by frm_set_user_data(); NULL if none was stored. */
void *frm_user_data(const struct frm_conn *conn);

G_END_DECLS

#endif
