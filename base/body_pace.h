#ifndef BASE_BODY_PACE_H
#define BASE_BODY_PACE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The pace at which a client sends the body of a request. An idle timeout alone never ends a client
 * that sends a byte now and then: at least 1 KiB must come within each idle timeout. Times are in
 * microseconds. This module does no I/O.
 */
struct body_pace {
	int64_t since_us; /* time from which on the bytes are counted */
	size_t bytes;	  /* bytes that have come since */
};

void body_pace_init(struct body_pace *pace, int64_t now_us);

/*
 * Records that n bytes have come. Returns false if too few have come within the idle timeout;
 * idle_us 0: there is none.
 */
bool body_pace_on_data(struct body_pace *pace, size_t n, int64_t idle_us, int64_t now_us);

G_END_DECLS

#endif
