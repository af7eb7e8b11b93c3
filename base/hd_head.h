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
	 * Bytes of the block of a connection whose request has a large head. Only the pages that it
	 * needs are used, and only until it is answered.
	 */
	HD_LARGE_MEMORY = 1 << 20,
	/*
	 * Bytes that each request leaves for the head of its response. One that would leave less is
	 * refused before it runs.
	 */
	HD_RESPONSE_ROOM_MIN = 6144
};

/* The size of a head that the library has not read yet. */
struct hd_size {
	bool whole;	   /* its end is there */
	size_t line_bytes; /* of its request line */
	size_t bytes;	   /* of the head, as far as it is there */
	size_t fields;	   /* headers and cookies; the library finds no more */
	size_t copied;	   /* bytes of which the library makes a copy */
	bool folded;	   /* a header goes on in a further line */
};

/* What a request has taken of its connection's memory. Used by the library's thread only. */
struct hd_head {
	size_t block;	     /* bytes of the block */
	size_t bytes;	     /* request line and headers, as received */
	unsigned int fields; /* headers and cookies */
	size_t memory;	     /* bytes that the library keeps beside them */
	uint64_t body_bytes; /* bytes of the body that were read, also of one that is not kept */
};

/* Measures a head at the begin of what a client has sent; it is not parsed. */
void hd_head_measure(const char *data, size_t len, struct hd_size *size);

/* Returns whether such a head leaves what it must in a block of HD_CONNECTION_MEMORY. */
bool hd_head_is_usual(const struct hd_size *size);

/*
 * Keeps the library from parsing the query of a request target that it is about to parse: each of
 * its parameters would take memory, and nobody asks for those of clients.
 */
void hd_hide_query(const char *target);

/* Returns the value of a parameter in the target's query, or NULL; the caller frees it. */
char *hd_query_value(const char *target, const char *name);

/* Fills in all but block and body_bytes when the library has parsed the head. */
void hd_head_read(struct hd_head *head, struct MHD_Connection *conn);

/* Adds what the library has made of the lines behind a chunked body, once that was received. */
void hd_head_read_trailers(struct hd_head *head, struct MHD_Connection *conn);

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
