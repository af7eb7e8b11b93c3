#include "base/lsn.h"

#include <errno.h>
#include <linux/filter.h>
#include <sys/socket.h>

void lsn_refuse(int fd)
{
	struct sock_filter drop_all = BPF_STMT(BPF_RET | BPF_K, 0);
	struct sock_fprog filter = {.len = 1, .filter = &drop_all};

	setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter));
}

int lsn_accept(int fd)
{
	int accepted = accept(fd, NULL, NULL);

	return accepted < 0 ? -errno : accepted;
}
