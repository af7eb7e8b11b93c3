#ifndef BASE_TCP_READ_H
#define BASE_TCP_READ_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Sets how many bytes this process has read from a TCP connection since it was made. Returns false
 * if the kernel doesn't tell.
 */
bool tcp_read_bytes(int fd, uint64_t *bytes) G_GNUC_WARN_UNUSED_RESULT;

/*
 * Does the same, exactly: the result of tcp_read_bytes() lacks what arrives while it asks. Returns
 * false also if something arrives each time.
 */
bool tcp_read_bytes_exactly(int fd, uint64_t *bytes) G_GNUC_WARN_UNUSED_RESULT;

G_END_DECLS

#endif
