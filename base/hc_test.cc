#include "base/hc.h"

#include <arpa/inet.h>
#include <cstring>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace
{

/* A server on loopback that sends the head and a part of the body to each of its connections. */
class Server
{
      public:
	explicit Server(int connections) : listener_(socket(AF_INET, SOCK_STREAM, 0))
	{
		sockaddr_in sin{};
		socklen_t len = sizeof(sin);

		sin.sin_family = AF_INET;
		sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(bind(listener_, (sockaddr *)&sin, sizeof(sin)), 0);
		EXPECT_EQ(listen(listener_, 8), 0);
		getsockname(listener_, (sockaddr *)&sin, &len);
		addr = "127.0.0.1:" + std::to_string(ntohs(sin.sin_port));
		thread_ = std::thread([this, connections] { serve(connections); });
	}
	~Server()
	{
		thread_.join();
		for (int fd : open_)
			close(fd);
		close(listener_);
	}

	std::string addr;
	std::vector<std::string> received; /* what came on each connection; read after the end */

      private:
	/* All heads are sent only once all requests are there, so that all calls are under way. */
	void serve(int connections)
	{
		for (int i = 0; i < connections; i++) {
			int fd = accept(listener_, nullptr, nullptr);
			std::string text;
			char buf[4096];

			while (text.find("\r\n\r\n") == std::string::npos) {
				ssize_t n = recv(fd, buf, sizeof(buf), 0);

				if (n <= 0)
					break;
				text.append(buf, (size_t)n);
			}
			received.push_back(text);
			open_.push_back(fd);
		}
		for (int fd : open_) {
			const char *answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";

			send(fd, answer, strlen(answer), MSG_NOSIGNAL);
		}
	}

	int listener_;
	std::vector<int> open_;
	std::thread thread_;
};

class HcTest : public ::testing::Test
{
      protected:
	struct Call {
		HcTest *test;
		hc_call *call;
		int done = 0;
		int status = -1;
	};

	void SetUp() override
	{
		loop_init(&loop_);
		hc_ = hc_new(&loop_);
		ops_.on_head = [](void *ctx, int, const GPtrArray *) {
			Call *call = (Call *)ctx;
			return call->test->OnHead(call);
		};
		ops_.on_done = [](void *ctx, int status, int, bool, const char *, size_t) {
			Call *call = (Call *)ctx;
			call->done++;
			call->status = status;
			call->call = nullptr;
			loop_stop(&call->test->loop_);
		};
	}
	void TearDown() override
	{
		hc_free(hc_);
		loop_finish(&loop_);
	}
	bool OnHead(Call *call)
	{
		for (Call *other : cancel_) {
			if (other != call && other->call) {
				hc_cancel(other->call);
				other->call = nullptr;
			}
		}
		cancel_.clear();
		return true;
	}
	void start(Call *call, const std::string &url, const char *via, const GByteArray *preamble)
	{
		hc_request request{};

		request.method = "GET";
		request.url = url.c_str();
		request.connect_ms = 5000;
		request.total_ms = 5000;
		request.fresh = true;
		request.close = true;
		request.via = via;
		request.preamble = preamble;
		call->test = this;
		call->call = hc_start(hc_, &request, &ops_, call);
	}

	loop loop_{};
	hc *hc_ = nullptr;
	hc_ops ops_{};
	std::vector<Call *> cancel_; /* calls that the first head cancels */
};

/* Guards against a request that is freed while the library still uses it. */
TEST_F(HcTest, ARequestMayBeCanceledInACallbackOfAnother)
{
	for (int round = 0; round < 20; round++) {
		Server server(3);
		Call calls[3]{};

		loop_.stopping = false;
		for (Call &call : calls) {
			start(&call, "http://" + server.addr + "/", nullptr, nullptr);
			cancel_.push_back(&call);
		}
		loop_run(&loop_);
		EXPECT_EQ(calls[0].done + calls[1].done + calls[2].done, 1);
	}
}

/* Guards against a request that reaches the host in its URL, or arrives before the preamble. */
TEST_F(HcTest, APreambleGoesBeforeTheRequestToAnotherAddress)
{
	const char *preamble = "preamble!";
	GByteArray *bytes = g_byte_array_new();
	Call call{};
	std::string received;

	g_byte_array_append(bytes, (const guint8 *)preamble, (guint)strlen(preamble));
	{
		Server server(1);

		start(&call, "http://127.0.0.2:9/path", server.addr.c_str(), bytes);
		loop_run(&loop_);
		received = server.received.at(0);
	}
	g_byte_array_unref(bytes);
	EXPECT_EQ(call.status, 200);
	EXPECT_EQ(received.substr(0, strlen(preamble)), preamble);
	EXPECT_EQ(received.substr(strlen(preamble), strlen("GET /path ")), "GET /path ");
	EXPECT_NE(received.find("Host: 127.0.0.2:9\r\n"), std::string::npos);
}

} // namespace
