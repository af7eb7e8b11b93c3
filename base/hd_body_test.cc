#include "base/hd.h"
#include "base/testing.h"
#include "base/tmr.h"

#include <cstring>
#include <mutex>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

namespace
{

const size_t TOTAL_MAX = 100; /* bytes of all bodies */
const size_t BODY_MAX = 1000; /* bytes of one body, hence also of one that never fits */

/* A server that bounds the bodies of all its requests and answers each request that it receives. */
class HdBodyTest : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		hd_config config{};
		config.threads = 1;
		config.body_max = BODY_MAX;
		config.handler = [](void *ctx, hd_call *call) {
			((HdBodyTest *)ctx)->OnRequest(call);
		};
		config.may_hold = [](void *, const hd_body_use *use) {
			return use->total + use->more <= TOTAL_MAX;
		};
		config.refuse = [](void *, hd_call *call, hd_refusal why) {
			hd_set_header(call, "Retry-After", "0.3");
			hd_reply(call, why == HD_REFUSED_FULL ? 503 : 408, "text/plain", "later",
				 5);
		};
		config.on_end = [](void *ctx, const char *, const hd_outcome *outcome) {
			std::lock_guard<std::mutex> lock(((HdBodyTest *)ctx)->mutex_);
			((HdBodyTest *)ctx)->ends_.push_back(*outcome);
		};
		config.ctx = this;
		hd_ = hd_start(&config);
		ASSERT_NE(hd_, nullptr);
	}
	void TearDown() override
	{
		ReleaseAll();
		for (int fd : clients_)
			close(fd);
		hd_stop(hd_);
	}
	void OnRequest(hd_call *call)
	{
		std::lock_guard<std::mutex> lock(mutex_);
		hd_reply(call, 200, "text/plain", hd_target(call), strlen(hd_target(call)));
		received_++;
		kept_.push_back(call);
	}
	void ReleaseAll()
	{
		std::lock_guard<std::mutex> lock(mutex_);
		for (hd_call *call : kept_)
			hd_unref(call);
		kept_.clear();
	}
	int Connect()
	{
		LoopbackConnection conn = connect_on_loopback();

		hd_adopt(hd_, conn.accepted);
		clients_.push_back(conn.client);
		return conn.client;
	}
	static std::string Head(const std::string &framing, const char *method = "POST")
	{
		return std::string(method) + " /x HTTP/1.1\r\nHost: h\r\n" + framing + "\r\n\r\n";
	}
	static void Send(int fd, const std::string &data)
	{
		EXPECT_EQ(send(fd, data.data(), data.size(), MSG_NOSIGNAL), (ssize_t)data.size());
	}
	/* Reads until the server has closed its end, or an answer of that body has come. */
	static std::string Read(int fd, const std::string &until = "")
	{
		std::string all;
		char buf[4096];
		ssize_t n;

		while ((until.empty() || all.find(until) == std::string::npos) &&
		       (n = recv(fd, buf, sizeof(buf), 0)) > 0)
			all.append(buf, (size_t)n);
		return all;
	}
	/* Has the server hold n bytes of a body that is not complete, beside others. */
	void Hold(size_t n, size_t others = 0)
	{
		char chunk[32];

		snprintf(chunk, sizeof(chunk), "%zx\r\n", n);
		Send(Connect(), Head("Transfer-Encoding: chunked") + chunk + std::string(n, 'x'));
		WaitForTotal(others + n);
	}
	void WaitForTotal(uint64_t total)
	{
		while (hd_bodies_total(hd_) != total)
			usleep(1000);
	}
	hd_outcome WaitForEnd()
	{
		for (;; usleep(1000)) {
			std::lock_guard<std::mutex> lock(mutex_);
			if (!ends_.empty())
				return ends_.front();
		}
	}
	hd *hd_ = nullptr;
	std::vector<int> clients_;
	std::mutex mutex_;
	std::vector<hd_call *> kept_;
	std::vector<hd_outcome> ends_;
	int received_ = 0;
};

/* Guards against a refusal that waits for the body, and against a body, or what follows it, that is
 * taken for a request. */
TEST_F(HdBodyTest, BodyAboveTheBoundIsRefusedBeforeItComes)
{
	for (const char *method : {"POST", "PUT", "PATCH", "DELETE"})
		for (const char *framing : {"Content-Length: 80", "Transfer-Encoding: chunked"}) {
			Hold(TOTAL_MAX);
			int fd = Connect();
			Send(fd, Head(framing, method));
			std::string answer = Read(fd);
			EXPECT_EQ(answer.find("HTTP/1.1 503 Service Unavailable\r\n"), 0u);
			EXPECT_NE(answer.find("Retry-After: 0.3\r\n"), std::string::npos);
			EXPECT_NE(answer.find("Connection: close\r\n"), std::string::npos);
			EXPECT_NE(answer.find("Content-Length: 5\r\n\r\nlater"), std::string::npos);
			Send(fd, Head("Content-Length: 0") + Head("Content-Length: 0"));
			EXPECT_EQ(Read(fd), "");
			close(clients_[0]);
			close(fd);
			clients_.clear();
			WaitForTotal(0);
		}
	EXPECT_EQ(received_, 0);
}

/* Guards against a client that sends its whole body first and finds its connection reset. */
TEST_F(HdBodyTest, RefusalArrivesThoughTheClientSendsItsBodyFirst)
{
	const std::string part(1 << 20, 'x');

	hd_set_limits(hd_, 64 << 20, 30);
	Hold(TOTAL_MAX);
	int fd = Connect();
	Send(fd, Head("Content-Length: 33554432"));
	std::thread sweeps([this] {
		for (int i = 0; i < 200; i++, usleep(5000))
			hd_close_idle(hd_, tmr_now());
	});
	for (int i = 0; i < 32; i++)
		Send(fd, part);
	EXPECT_EQ(Read(fd).find("HTTP/1.1 503 "), 0u);
	sweeps.join();
}

/* Guards against a body that grows beyond the bound after its request was let in. */
TEST_F(HdBodyTest, BodyThatOutgrowsTheBoundIsRefused)
{
	int fd = Connect();
	Send(fd, Head("Content-Length: 90") + std::string(20, 'x'));
	WaitForTotal(20);
	Hold(60, 20);
	Send(fd, std::string(30, 'x'));
	EXPECT_EQ(Read(fd).find("HTTP/1.1 503 "), 0u);
	WaitForTotal(60);
	EXPECT_EQ(WaitForEnd().end, HD_END_WHOLE);
	EXPECT_FALSE(WaitForEnd().received);
	EXPECT_EQ(WaitForEnd().status, 503);
	EXPECT_EQ(received_, 0);
}

TEST_F(HdBodyTest, RequestWithoutABodyIsServedAtTheBound)
{
	Hold(TOTAL_MAX);
	int fd = Connect();
	Send(fd, Head("Content-Length: 0"));
	EXPECT_EQ(Read(fd, "/x").find("HTTP/1.1 200 "), 0u);
}

/* Guards against a client that is told to return with a body that will never be taken. */
TEST_F(HdBodyTest, TooLargeABodyGets413AtTheBound)
{
	Hold(TOTAL_MAX);
	int fd = Connect();
	Send(fd, Head("Content-Length: 1001") + std::string(500, 'x'));
	usleep(50000);
	Send(fd, std::string(501, 'x'));
	EXPECT_EQ(Read(fd, "{}").find("HTTP/1.1 413 "), 0u);
	WaitForTotal(TOTAL_MAX);
}

/* Guards against bodies that are counted for ever, or no longer while a repeat may need them. */
TEST_F(HdBodyTest, BodiesAreCountedUntilTheirRequestsAreReleased)
{
	int whole = Connect();
	Send(whole, Head("Content-Length: 30") + std::string(30, 'x'));
	EXPECT_EQ(Read(whole, "/x").find("HTTP/1.1 200 "), 0u);
	EXPECT_EQ(hd_bodies_total(hd_), 30u);
	Hold(60, 30);
	close(clients_.back());
	clients_.pop_back();
	WaitForTotal(30);
	ReleaseAll();
	EXPECT_EQ(hd_bodies_total(hd_), 0u);
}

/* Guards against a client that sends a byte now and then for ever. */
TEST_F(HdBodyTest, BodyThatComesTooSlowlyIsEnded)
{
	hd_set_limits(hd_, BODY_MAX, 1);
	int fd = Connect();
	Send(fd, Head("Content-Length: 90"));
	for (int i = 0; i < 5; i++) {
		send(fd, "x", 1, MSG_NOSIGNAL);
		usleep(300000);
	}
	EXPECT_EQ(Read(fd).find("HTTP/1.1 408 "), 0u);
	EXPECT_EQ(WaitForEnd().end, HD_END_TIMEOUT);
	WaitForTotal(0);
	EXPECT_EQ(received_, 0);
}

} // namespace
