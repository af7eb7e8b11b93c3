#include "base/addr.h"
#include "base/err.h"
#include "base/str.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	ADDR_BACKLOG = 1024,  /* connections that may wait to be accepted */
	ADDR_PORT_MAX = 65535 /* highest TCP port number */
};

int addr_parse(const char *text, struct sockaddr_in *sin)
{
	const char *colon = strrchr(text, ':');
	char ip[INET_ADDRSTRLEN];
	uint64_t port;

	if (!colon || colon - text >= (ptrdiff_t)sizeof(ip))
		return BASE_EADDR;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	memset(sin, 0, sizeof(*sin));
	sin->sin_family = AF_INET;
	if (inet_pton(AF_INET, ip, &sin->sin_addr) != 1)
		return BASE_EADDR;
	if (!str_to_u64(str_from_cstr(colon + 1), &port) || port > ADDR_PORT_MAX)
		return BASE_EADDR;
	sin->sin_port = htons((uint16_t)port);
	return 0;
}

int addr_listen(const char *text)
{
	struct sockaddr_in sin;
	int one = 1;
	int fd;

	if (addr_parse(text, &sin) < 0)
		return BASE_EADDR;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return BASE_ESYS;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) < 0 || listen(fd, ADDR_BACKLOG) < 0) {
		close(fd);
		return BASE_ESYS;
	}
	return fd;
}
