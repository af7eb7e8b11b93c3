#include "base/lsn.h"
#include "base/addr.h"
#include "base/err.h"

#include <errno.h>
#include <linux/filter.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

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

static void lsn_on_accept(void *ctx, uint32_t events)
{
	struct lsn *lsn = ctx;
	int fd = accept(lsn->lfd.fd, NULL, NULL);

	(void)events;
	if (fd >= 0)
		lsn->on_connection(lsn->ctx, fd);
}

int lsn_open(struct lsn *lsn, struct loop *loop, const char *addr, lsn_fn on_connection, void *ctx)
{
	if (lsn->open)
		return 0;
	lsn->loop = loop;
	lsn->on_connection = on_connection;
	lsn->ctx = ctx;
	lsn->lfd.fn = lsn_on_accept;
	lsn->lfd.ctx = lsn;
	lsn->lfd.fd = addr_listen(addr);
	if (lsn->lfd.fd < 0)
		return lsn->lfd.fd;
	if (loop_fd_add(loop, &lsn->lfd, EPOLLIN) < 0) {
		close(lsn->lfd.fd);
		return BASE_ESYS;
	}
	lsn->open = true;
	return 0;
}

void lsn_close(struct lsn *lsn)
{
	if (!lsn->open)
		return;
	loop_fd_del(lsn->loop, &lsn->lfd);
	close(lsn->lfd.fd);
	lsn->open = false;
}
