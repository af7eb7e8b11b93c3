#ifndef BASE_HC_BOUND_H
#define BASE_HC_BOUND_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Bounds on what a response has beside its body. A broken server may send such bytes without end,
 * as fast as they are taken; the HTTP client library keeps each line of a head and of trailers, and
 * looks through all of them for each new one, so that the process runs out of memory and of time.
 */
enum {
	HCB_HEAD_BYTES_MAX = 64 << 10, /* of the head and all interim responses before it */
	HCB_HEAD_LINES_MAX = 512,
	HCB_TRAILER_BYTES_MAX = 16 << 10, /* of the lines behind the last chunk */
	HCB_TRAILER_LINES_MAX = 64,
	/*
	 * Bytes that are neither a line nor a part of the body: the begin of a line, framing of
	 * chunks, extensions of chunks. For each byte that is, some more may come: chunks may be
	 * small.
	 */
	HCB_FRAMING_BYTES_MAX = 64 << 10,
	HCB_FRAMING_BYTES_PER_BYTE = 8,
	/*
	 * Reads that bring nothing, where the kernel doesn't tell their bytes. The HTTP client
	 * library may take 0.8 MB in one.
	 */
	HCB_EMPTY_READS_MAX = 32
};

/* What a response has too much of. */
enum hcb_form {
	HCB_NONE,
	HCB_HEAD,    /* bytes or lines of heads */
	HCB_TRAILER, /* bytes or lines behind the body, which is whole */
	HCB_FRAMING, /* bytes that are no line and no part of the body */
	HCB_BODY,    /* bytes of a body that is collected, see hc_request.body_max */
	HCB_FORM_COUNT
};

/* Returns the name of the form for the log. */
const char *hcb_form_name(enum hcb_form form);

/* Lines of a head, or behind a body. */
struct hcb_lines {
	size_t bytes;
	unsigned int n;
};

/* What a response has had so far. */
struct hcb {
	enum hcb_form form; /* what it has too much of; HCB_NONE: nothing */
	struct hcb_lines head;
	struct hcb_lines trailer;
	uint64_t brought;	  /* bytes of lines and of the body */
	bool is_fresh;		  /* the connection has had no response before */
	bool has_base;		  /* framing_base is known */
	uint64_t framing_base;	  /* bytes of earlier responses on the connection */
	uint64_t framing;	  /* bytes that were neither */
	unsigned int empty_reads; /* reads of which the bytes are not known */
};

/* Each returns false if the response has too much now. */
bool hcb_on_head_line(struct hcb *bound, size_t len) G_GNUC_WARN_UNUSED_RESULT;
bool hcb_on_trailer(struct hcb *bound, size_t len) G_GNUC_WARN_UNUSED_RESULT;

/*
 * Looks at the bytes that were read from the connection since it was made; NULL: they are not
 * known, and the last read has brought neither a line nor a part of the body.
 */
bool hcb_on_read(struct hcb *bound, const uint64_t *read) G_GNUC_WARN_UNUSED_RESULT;

/* Counts a part of the body. */
void hcb_on_body(struct hcb *bound, size_t len);

/* len: bytes of the collected body, of at most max. */
bool hcb_on_collected(struct hcb *bound, size_t len, size_t max) G_GNUC_WARN_UNUSED_RESULT;

G_END_DECLS

#endif
