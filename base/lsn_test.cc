#include "base/lsn.h"
#include "base/testing.h"

#include <cerrno>
#include <netinet/tcp.h>
#include <poll.h>
#include <unistd.h>

namespace
{

const int poll_ms = 10000; /* longest wait for an event that must come */
const int handshake_s = 5; /* time for which a handshake may stay incomplete */

/* A socket that listens on loopback and clients of it. */
class LsnTest : public testing::Test
{
      protected:
	void SetUp() override
	{
		fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		listen_on_loopback(fd_, 16);
		socklen_t len = sizeof(addr_);
		getsockname(fd_, (sockaddr *)&addr_, &len);
	}
	void TearDown() override
	{
		close(fd_);
		for (int fd : clients_)
			close(fd);
	}
	/* Begins to connect; returns what connect() does. */
	int Connect()
	{
		clients_.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
		int rc = connect(clients_.back(), (sockaddr *)&addr_, sizeof(addr_));
		return rc < 0 ? -errno : rc;
	}
	/* Accepts a connection; returns its descriptor or a negative errno. */
	int Accept()
	{
		int fd = accept(fd_, nullptr, nullptr);
		return fd < 0 ? -errno : fd;
	}
	bool IsReady(int fd, short events, int timeout_ms)
	{
		pollfd ready{fd, events, 0};
		return poll(&ready, 1, timeout_ms) == 1 && (ready.revents & events);
	}
	bool IsConnected(int client)
	{
		int error = -1;
		socklen_t len = sizeof(error);

		if (!IsReady(clients_[client], POLLOUT, poll_ms))
			return false;
		getsockopt(clients_[client], SOL_SOCKET, SO_ERROR, &error, &len);
		return error == 0;
	}
	/* Makes the kernel keep a handshake incomplete until the client sends data. */
	void DelayHandshakes()
	{
		ASSERT_EQ(setsockopt(fd_, IPPROTO_TCP, TCP_DEFER_ACCEPT, &handshake_s,
				     sizeof(handshake_s)),
			  0);
	}
	int fd_ = -1;
	sockaddr_in addr_{};
	std::vector<int> clients_;
};

/* Guards against a client that is connected, sends a request and is reset, since the kernel of a
 * server that stops drops the end of its handshake. */
TEST_F(LsnTest, HandshakeThatIsNotCompleteAtARefusalIsCompleted)
{
	DelayHandshakes();
	Connect();
	ASSERT_TRUE(IsConnected(0));
	ASSERT_EQ(lsn_refuse(fd_), 0);
	EXPECT_EQ(Accept(), -EAGAIN);
	ASSERT_EQ(send(clients_[0], "x", 1, MSG_NOSIGNAL), 1);
	ASSERT_TRUE(IsReady(fd_, POLLIN, poll_ms));
	int accepted = Accept();
	ASSERT_GE(accepted, 0);
	char byte = 0;
	ASSERT_TRUE(IsReady(accepted, POLLIN, poll_ms));
	EXPECT_EQ(read(accepted, &byte, 1), 1);
	EXPECT_EQ(byte, 'x');
	close(accepted);
}

/* Guards against clients that connect after the queue was emptied. */
TEST_F(LsnTest, NobodyConnectsAfterARefusal)
{
	Connect();
	ASSERT_TRUE(IsConnected(0));
	ASSERT_EQ(lsn_refuse(fd_), 0);
	EXPECT_EQ(Connect(), -EINPROGRESS);
	int accepted = Accept();
	EXPECT_GE(accepted, 0);
	close(accepted);
	EXPECT_EQ(Accept(), -EAGAIN);
	close(fd_);
	fd_ = -1;
	EXPECT_FALSE(IsConnected(1));
}

} // namespace
