#include "base/tcp_end.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

static bool tcp_has_ended(int fd)
{
	struct tcp_info info;
	socklen_t len = sizeof(info);

	memset(&info, 0, sizeof(info));
	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) < 0)
		return false;
	switch (info.tcpi_state) {
	case TCP_CLOSE:
	case TCP_CLOSE_WAIT:
	case TCP_LAST_ACK:
	case TCP_CLOSING:
	case TCP_TIME_WAIT:
		return true;
	default:
		return false;
	}
}

bool tcp_peer_has_closed(int fd)
{
	char byte;
	ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	if (n > 0)
		return tcp_has_ended(fd);
	return n == 0 || (errno != EAGAIN && errno != EINTR);
}

int tcp_reset_on_close(int fd)
{
	const struct linger linger = {.l_onoff = 1, .l_linger = 0};

	return setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}
