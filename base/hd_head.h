#ifndef BASE_HD_HEAD_H
#define BASE_HD_HEAD_H

#include "base/hd.h"

#include <microhttpd.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The HTTP library keeps the head of a request, what it makes of it, bytes that the client has sent
 * behind the request, and the head of the response in one block of memory for each connection. It
 * closes a connection without a byte if the head of the response doesn't fit into what is left, and
 * reads no further if nothing is left for a body. So what is left is known here, before a request
 * is passed on.
 */

enum {
	HD_CONNECTION_MEMORY = 32768, /* bytes of the block */
	/*
	 * Bytes that each request leaves for the head of its response. One that would leave less is
	 * refused before it runs.
	 */
	HD_RESPONSE_ROOM_MIN = 6144
};

/* What a request has taken of its connection's memory. Used by the library's thread only. */
struct hd_head {
	size_t bytes;	     /* request line and headers, as received */
	unsigned int fields; /* headers and cookies */
	size_t memory;	     /* bytes that the library keeps beside them */
	uint64_t body_bytes; /* bytes of the body that were read, also of one that is not kept */
};

/*
 * Keeps the library from parsing the query of a request target that it is about to parse: each of
 * its parameters would take memory, and nobody asks for those of clients.
 */
void hd_hide_query(const char *target);

/* Returns the value of a parameter in the target's query, or NULL; the caller frees it. */
char *hd_query_value(const char *target, const char *name);

/* Fills in all but body_bytes when the library has parsed the head. */
void hd_head_read(struct hd_head *head, struct MHD_Connection *conn);

/*
 * Returns the bytes that are left for the head of the response. earlier: bytes of the requests that
 * the connection had before. As the framing of chunked bodies is not counted, it may return less
 * than what is left, never more.
 */
size_t hd_head_room(const struct hd_head *head, int fd, uint64_t earlier);

/* Whether hd_head_room() is at least need; spares the kernel the question if that is certain. */
bool hd_head_leaves(const struct hd_head *head, size_t need, int fd, uint64_t earlier);

G_END_DECLS

#endif
