#include "base/hd.h"
#include "base/testing.h"

#include <atomic>
#include <thread>
#include <unistd.h>
#include <vector>

namespace
{

const int clients_n = 8;
const int rounds_n = 40;
const int answered_before = 100; /* answers after which the server refuses */

/* Clients that send requests on new connections to a server that comes to refuse them. */
class Crowd
{
      public:
	explicit Crowd(unsigned int threads)
	{
		hd_config config{};
		int taken = socket(AF_INET, SOCK_STREAM, 0);
		const std::string addr = listen_on_loopback(taken, 1);
		socklen_t len = sizeof(addr_);

		getsockname(taken, (sockaddr *)&addr_, &len);
		close(taken);
		config.addr = addr.c_str();
		config.threads = threads;
		config.handler = [](void *, hd_call *call) {
			hd_reply(call, 200, nullptr, "{}", 2);
			hd_unref(call);
		};
		hd_ = hd_start(&config);
	}
	~Crowd()
	{
		hd_stop(hd_);
	}
	/* Returns the number of requests that were sent whole and got no answer. */
	int Play()
	{
		std::vector<std::thread> clients;

		for (int i = 0; i < clients_n; i++)
			clients.emplace_back([this]() {
				while (!stop_)
					Ask();
			});
		while (answered_ < answered_before)
			std::this_thread::yield();
		hd_refuse(hd_);
		stop_ = true;
		for (std::thread &client : clients)
			client.join();
		return lost_;
	}

      private:
	void Ask()
	{
		static const std::string request =
			"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
		const timeval connect_timeout{0, 200000};
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		char byte;

		setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &connect_timeout, sizeof(connect_timeout));
		if (connect(fd, (sockaddr *)&addr_, sizeof(addr_)) == 0 &&
		    send(fd, request.data(), request.size(), MSG_NOSIGNAL) ==
			    (ssize_t)request.size())
			(recv(fd, &byte, 1, 0) == 1 ? answered_ : lost_)++;
		close(fd);
	}
	hd *hd_;
	sockaddr_in addr_{};
	std::atomic<bool> stop_{false};
	std::atomic<int> answered_{0}, lost_{0};
};

/* Guards against a server that ends, or leaves a request unanswered, as it comes to refuse clients
 * while others connect. */
TEST(HdRefuseTest, RequestsOfThoseWhoConnectAreAnswered)
{
	for (unsigned int threads : {1U, 4U})
		for (int round = 0; round < rounds_n; round++)
			EXPECT_EQ(Crowd(threads).Play(), 0) << threads << " threads";
}

} // namespace
