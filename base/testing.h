#ifndef BASE_TESTING_H
#define BASE_TESTING_H

#include "base/loop.h"

#include <arpa/inet.h>
#include <functional>
#include <gtest/gtest.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

/* What C++ tests of sockets and event loops share. */

/* Makes the socket listen on a free port of loopback; returns its address, "127.0.0.1:PORT". */
inline std::string listen_on_loopback(int fd, int backlog)
{
	sockaddr_in sin{};
	socklen_t len = sizeof(sin);

	sin.sin_family = AF_INET;
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	EXPECT_EQ(bind(fd, (sockaddr *)&sin, sizeof(sin)), 0);
	EXPECT_EQ(listen(fd, backlog), 0);
	getsockname(fd, (sockaddr *)&sin, &len);
	return "127.0.0.1:" + std::to_string(ntohs(sin.sin_port));
}

/* A TCP connection to this process on loopback; the user closes both ends. */
struct LoopbackConnection {
	int client = -1, accepted = -1;
};

inline LoopbackConnection connect_on_loopback()
{
	LoopbackConnection conn;
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	sockaddr_in sin{};
	socklen_t len = sizeof(sin);

	listen_on_loopback(listener, 1);
	getsockname(listener, (sockaddr *)&sin, &len);
	conn.client = socket(AF_INET, SOCK_STREAM, 0);
	EXPECT_EQ(connect(conn.client, (sockaddr *)&sin, sizeof(sin)), 0);
	conn.accepted = accept(listener, nullptr, nullptr);
	close(listener);
	return conn;
}

/* Runs an event loop until a condition holds, which is checked each millisecond. */
class LoopRunner
{
      public:
	explicit LoopRunner(loop *loop) : loop_(loop)
	{
	}
	void RunUntil(std::function<bool()> done)
	{
		done_ = std::move(done);
		loop_->stopping = false;
		OnPoll(this, 0);
		loop_run(loop_);
	}

      private:
	static void OnPoll(void *ctx, int64_t)
	{
		LoopRunner *runner = (LoopRunner *)ctx;

		if (runner->done_())
			loop_stop(runner->loop_);
		else
			loop_start_timer(runner->loop_, &runner->poll_, 1000, OnPoll, runner);
	}
	loop *loop_;
	tmr poll_{};
	std::function<bool()> done_;
};

#endif
