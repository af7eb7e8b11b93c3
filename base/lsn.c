#include "base/lsn.h"
#include "base/addr.h"
#include "base/err.h"

#include <linux/filter.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	LSN_TCP_FLAGS = 13, /* offset in bytes of the flags in a TCP header */
	LSN_PASS_ALL = 0xffff
};

/*
 * Of the packets to the socket only those that ask for a new connection are dropped. If all were,
 * so would be the end of a handshake, and its client, which is connected, would be reset.
 */
int lsn_refuse(int fd)
{
	struct sock_filter drop_syn[] = {
		BPF_STMT(BPF_LD | BPF_B | BPF_ABS, LSN_TCP_FLAGS),
		BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, TH_SYN, 0, 1),
		BPF_STMT(BPF_RET | BPF_K, 0),
		BPF_STMT(BPF_RET | BPF_K, LSN_PASS_ALL),
	};
	struct sock_fprog filter = {G_N_ELEMENTS(drop_syn), drop_syn};

	if (setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter)) < 0)
		return BASE_ESYS;
	return 0;
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
