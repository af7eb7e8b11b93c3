#include "base/tcp_read.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <stddef.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

enum {
	TCP_READ_TRIES = 16
};

static bool tcp_received(int fd, uint64_t *bytes)
{
	const size_t needed = offsetof(struct tcp_info, tcpi_bytes_received) + sizeof(uint64_t);
	struct tcp_info info;
	socklen_t len = sizeof(info);

	memset(&info, 0, sizeof(info));
	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) < 0 || len < needed)
		return false;
	*bytes = info.tcpi_bytes_received;
	return true;
}

static bool tcp_unread(int fd, uint64_t received, uint64_t *bytes)
{
	int unread = 0;

	if (ioctl(fd, FIONREAD, &unread) < 0 || (uint64_t)unread > received)
		return false;
	*bytes = (uint64_t)unread;
	return true;
}

bool tcp_read_bytes(int fd, uint64_t *bytes)
{
	uint64_t received;
	uint64_t unread;

	if (!tcp_received(fd, &received))
		return false;
	/* What arrives between the two calls makes the result too small, never too large. */
	if (!tcp_unread(fd, received, &unread))
		return false;
	*bytes = received - unread;
	return true;
}

bool tcp_read_bytes_exactly(int fd, uint64_t *bytes)
{
	uint64_t before;
	uint64_t after;
	uint64_t unread = 0;

	if (!tcp_received(fd, &before))
		return false;
	for (int i = 0; i < TCP_READ_TRIES; i++) {
		bool known = tcp_unread(fd, before, &unread);

		if (!tcp_received(fd, &after))
			return false;
		if (after == before) {
			*bytes = before - unread;
			return known;
		}
		before = after;
	}
	return false;
}
