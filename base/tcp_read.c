#include "base/tcp_read.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <stddef.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

bool tcp_read_bytes(int fd, uint64_t *bytes)
{
	const size_t needed = offsetof(struct tcp_info, tcpi_bytes_received) + sizeof(uint64_t);
	struct tcp_info info;
	socklen_t len = sizeof(info);
	int unread = 0;

	memset(&info, 0, sizeof(info));
	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) < 0 || len < needed)
		return false;
	/* What arrives between the two calls makes the result too small, never too large. */
	if (ioctl(fd, FIONREAD, &unread) < 0 || (uint64_t)unread > info.tcpi_bytes_received)
		return false;
	*bytes = info.tcpi_bytes_received - (uint64_t)unread;
	return true;
}
