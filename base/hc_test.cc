#include "base/hc.h"
#include "base/err.h"
#include "base/testing.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <string>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace
{

/* A server on loopback that sends an answer to each of its connections and keeps them open. */
class Server
{
      public:
	explicit Server(
		int connections,
		const std::string &answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		bool closes = false)
		: answer_(answer), closes_(closes), listener_(socket(AF_INET, SOCK_STREAM, 0))
	{
		addr = listen_on_loopback(listener_, 8);
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
			send(fd, answer_.data(), answer_.size(), MSG_NOSIGNAL);
			if (closes_)
				shutdown(fd, SHUT_WR);
		}
	}

	std::string answer_;
	bool closes_; /* whether the server closes its side of a connection after the answer */
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
		int err = 0;
		bool sent = true;
	};

	void SetUp() override
	{
		EXPECT_EQ(loop_init(&loop_), 0);
		hc_ = hc_new(&loop_);
		ops_.on_head = [](void *ctx, int, const GPtrArray *) {
			Call *call = (Call *)ctx;
			return call->test->OnHead(call);
		};
		ops_.on_done = [](void *ctx, int status, int err, bool sent, const char *, size_t) {
			Call *call = (Call *)ctx;
			call->done++;
			call->status = status;
			call->err = err;
			call->sent = sent;
			call->call = nullptr;
			loop_stop(&call->test->loop_);
		};
	}
	void TearDown() override
	{
		hc_free(hc_);
		loop_finish(&loop_);
	}
	/* Sends a request and waits for its end. */
	Call Ask(const std::string &url)
	{
		Call call{};

		loop_.stopping = false;
		start(&call, url, nullptr, nullptr);
		loop_run(&loop_);
		return call;
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

		request.method = body_ ? "POST" : "GET";
		request.shared_body = body_;
		request.url = url.c_str();
		request.connect_ms = 5000;
		request.total_ms = total_ms_;
		request.fresh = true;
		request.close = true;
		request.target = target_.empty() ? nullptr : target_.c_str();
		request.headers = headers_.empty() ? nullptr : headers_.data();
		request.via = via;
		request.preamble = preamble;
		call->test = this;
		call->call = hc_start(hc_, &request, &ops_, call);
	}

	std::vector<const char *> headers_; /* ends with nullptr; empty: none */
	loop loop_{};
	hc *hc_ = nullptr;
	hc_ops ops_{};
	int64_t total_ms_ = 5000;
	GBytes *body_ = nullptr; /* request body; nullptr: none */
	std::string target_;
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

/* Guards against headers of callers that their endpoint does not get, as they have no value. */
TEST_F(HcTest, HeadersWithoutAValueAreSent)
{
	std::string received;
	{
		Server server(1);
		Call call{};

		headers_ = {"X-Empty: ", "X-Colon: :", "X: ", "X-Good: 1", "Accept:", nullptr};
		start(&call, "http://" + server.addr + "/", nullptr, nullptr);
		loop_run(&loop_);
		EXPECT_EQ(call.status, 200);
		received = server.received.at(0);
	}
	for (const char *line :
	     {"\r\nX-Empty:\r\n", "\r\nX-Colon: :\r\n", "\r\nX:\r\n", "\r\nX-Good: 1\r\n"})
		EXPECT_NE(received.find(line), std::string::npos) << line;
	EXPECT_EQ(received.find("Accept"), std::string::npos);
}

/* Guards against an answer that is short but looks whole, since its length is not a number. */
TEST_F(HcTest, AnswerWithAnUnusableLengthIsNotWhole)
{
	const char *const lengths[] = {"99999999999999999999",
				       "9223372036854775808",
				       "18446744073709551616",
				       "4x",
				       "-4",
				       "4, 5"};

	for (const char *length : lengths) {
		std::string answer = std::string("HTTP/1.1 200 OK\r\nContent-Length: ") + length +
				     "\r\n\r\nbody";
		Server server(1, answer.c_str(), true);
		Call call = Ask("http://" + server.addr + "/");

		EXPECT_EQ(call.done, 1) << length;
		EXPECT_EQ(call.status, 0) << length;
	}
}

/*
 * Guards against an answer that is judged by a line that others read otherwise: chunks that pass
 * for a body, and values that are cut.
 */
TEST_F(HcTest, AnswerWithALineThatIsNoHeaderIsNotWhole)
{
	const std::string lines[] = {"Transfer-Encoding : chunked",
				     "X-Folded: a\r\n b",
				     "X-Folded: a\r\n\tb",
				     "X Name: a",
				     ": a",
				     std::string("X-Nul: a\0b", 10)};

	for (const std::string &line : lines) {
		std::string answer =
			"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + line + "\r\n\r\nbody";
		Server server(1, answer);
		Call call = Ask("http://" + server.addr + "/");

		EXPECT_EQ(call.done, 1) << line;
		EXPECT_EQ(call.status, 0) << line;
	}
}

/* Guards against a request that waits until its time limit for an answer that can't be decoded. */
TEST_F(HcTest, AnswerInAnUnknownTransferCodingEndsAtItsHead)
{
	const struct {
		const char *coding;
		const char *body;
		int status;
	} cases[] = {{"gzip", "", 0},
		     {"identity", "body", 0},
		     {"gzip, chunked", "4\r\nbody\r\n0\r\n\r\n", 0},
		     {"chunked, gzip", "", 0},
		     {"chunked", "4\r\nbody\r\n0\r\n\r\n", 200},
		     {" Chunked ", "4\r\nbody\r\n0\r\n\r\n", 200}};

	for (const auto &c : cases) {
		std::string answer = std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: ") +
				     c.coding + "\r\nContent-Length: 4\r\n\r\n" + c.body;
		Server server(1, answer.c_str());
		gint64 began = g_get_monotonic_time();
		Call call = Ask("http://" + server.addr + "/");

		EXPECT_EQ(call.status, c.status) << c.coding;
		EXPECT_LT(g_get_monotonic_time() - began, 2 * G_USEC_PER_SEC) << c.coding;
	}
}

/* Guards against a request that waits until its time limit since its answer has no end. */
TEST_F(HcTest, SwitchOfProtocolsEndsTheRequest)
{
	Server server(1, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n");
	Call call{};

	total_ms_ = 1000;
	start(&call, "http://" + server.addr + "/", nullptr, nullptr);
	loop_run(&loop_);
	EXPECT_EQ(call.status, 0);
	EXPECT_EQ(call.err, BASE_EHTTP);
	EXPECT_TRUE(call.sent);
}

/* Guards against a request that reaches its server directly since the way there is unknown. */
TEST_F(HcTest, RequestByABadAddressIsNotSent)
{
	GByteArray *bytes = g_byte_array_new();
	int listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	std::string addr = listen_on_loopback(listener, 8);
	Call call{};

	total_ms_ = 1000;
	start(&call, "http://" + addr + "/", "nowhere", bytes);
	EXPECT_EQ(call.done, 0);
	loop_run(&loop_);
	EXPECT_EQ(call.done, 1);
	EXPECT_EQ(call.err, BASE_EHTTP);
	EXPECT_FALSE(call.sent);
	EXPECT_LT(accept(listener, nullptr, nullptr), 0);
	close(listener);
	g_byte_array_unref(bytes);
}

/* Guards against a request that is sent without a part that the library does not take. */
TEST_F(HcTest, RequestThatLacksAPartIsNotSent)
{
	int listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	std::string addr = listen_on_loopback(listener, 8);
	Call call{};

	total_ms_ = 1000;
	target_ = "/" + std::string(9 << 20, 'x');
	start(&call, "http://" + addr + "/", nullptr, nullptr);
	EXPECT_EQ(call.done, 0);
	loop_run(&loop_);
	EXPECT_EQ(call.done, 1);
	EXPECT_EQ(call.err, BASE_EHTTP);
	EXPECT_FALSE(call.sent);
	EXPECT_LT(accept(listener, nullptr, nullptr), 0);
	close(listener);
}

/* Guards against an endpoint that receives the rest of a request that was given up, and runs it. */
TEST_F(HcTest, CanceledRequestResetsItsConnection)
{
	int listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	std::string url = "http://" + listen_on_loopback(listener, 8) + "/";
	std::string body(4 << 20, 'x');
	LoopRunner runner(&loop_);
	char block[65536];
	int unread = 0;
	int fd = -1;
	ssize_t n;
	Call call{};

	total_ms_ = 0;
	body_ = g_bytes_new_static(body.data(), body.size());
	start(&call, url, nullptr, nullptr);
	runner.RunUntil([&] {
		if (fd < 0)
			fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
		return fd >= 0 && ioctl(fd, FIONREAD, &unread) == 0 && unread > 0;
	});
	hc_cancel(call.call);
	runner.RunUntil([&] {
		n = recv(fd, block, sizeof(block), 0);
		return n == 0 || (n < 0 && errno != EAGAIN);
	});
	EXPECT_EQ(n, -1);
	EXPECT_EQ(errno, ECONNRESET);
	g_bytes_unref(body_);
	close(fd);
	close(listener);
}

/* A call that notes what it receives and acts in its callback. */
struct BodyCall {
	struct loop *loop;
	hc_call *call = nullptr;
	std::string body;
	int done = 0;
	int err = 0;
	size_t pause_at = SIZE_MAX;  /* bytes after which the call pauses itself */
	size_t taken_max = SIZE_MAX; /* bytes above which no part is taken */
	size_t cancel_at = SIZE_MAX; /* bytes after which the call cancels itself */
	int pauses = 0;
};

/* Sends a body to each connection, as fast as it is read, and closes it. */
class BodyServer
{
      public:
	BodyServer(int connections, const std::string &head, const std::string &body)
		: listener_(socket(AF_INET, SOCK_STREAM, 0))
	{
		url = "http://" + listen_on_loopback(listener_, 8) + "/";
		for (int i = 0; i < connections; i++)
			threads_.emplace_back([this, head, body] { Serve(head + body); });
	}
	~BodyServer()
	{
		for (std::thread &thread : threads_)
			thread.join();
		close(listener_);
	}
	std::string url;

      private:
	void Serve(const std::string &text)
	{
		int fd = accept(listener_, nullptr, nullptr);
		char buf[4096];
		std::string request;

		while (request.find("\r\n\r\n") == std::string::npos) {
			ssize_t n = recv(fd, buf, sizeof(buf), 0);

			if (n <= 0)
				break;
			request.append(buf, (size_t)n);
		}
		for (size_t at = 0; at < text.size();) {
			ssize_t n = send(fd, text.data() + at, text.size() - at, MSG_NOSIGNAL);

			if (n <= 0)
				break;
			at += (size_t)n;
		}
		close(fd);
	}

	int listener_;
	std::vector<std::thread> threads_;
};

class HcPauseTest : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		EXPECT_EQ(loop_init(&loop_), 0);
		hc_ = hc_new(&loop_);
		ops_.on_data = [](void *ctx, const char *data, size_t len) {
			BodyCall *call = (BodyCall *)ctx;
			call->body.append(data, len);
			if (call->body.size() >= call->cancel_at) {
				hc_cancel(call->call);
				call->done++;
				loop_stop(call->loop);
			} else if (call->body.size() >= call->pause_at) {
				call->pauses++;
				call->pause_at += PAUSE_STEP;
				hc_pause(call->call, true);
				loop_stop(call->loop);
			}
		};
		ops_.before_data = [](void *ctx, size_t len) {
			BodyCall *call = (BodyCall *)ctx;

			if (call->body.size() + len <= call->taken_max)
				return;
			call->pauses++;
			hc_pause(call->call, true);
			loop_stop(call->loop);
		};
		ops_.all_data = true;
		ops_.on_done = [](void *ctx, int, int err, bool, const char *, size_t) {
			BodyCall *call = (BodyCall *)ctx;
			call->done++;
			call->err = err;
			loop_stop(call->loop);
		};
	}
	void TearDown() override
	{
		hc_free(hc_);
		loop_finish(&loop_);
	}
	void Start(BodyCall *call, const std::string &url)
	{
		hc_request request{};

		request.method = "GET";
		request.url = url.c_str();
		request.connect_ms = 5000;
		request.fresh = true;
		request.close = true;
		call->loop = &loop_;
		call->call = hc_start(hc_, &request, &ops_, call);
	}
	void Run()
	{
		loop_.stopping = false;
		loop_run(&loop_);
	}
	static std::string Text(size_t len)
	{
		std::string text(len, 'x');

		for (size_t i = 0; i < len; i++)
			text[i] = (char)('a' + i * 7 / 5 % 26);
		return text;
	}
	static std::string Chunked(const std::string &body, size_t step)
	{
		std::string text;
		char line[32];

		for (size_t at = 0; at < body.size(); at += step) {
			size_t n = std::min(step, body.size() - at);

			snprintf(line, sizeof(line), "%zx\r\n", n);
			text += line + body.substr(at, n) + "\r\n";
		}
		return text + "0\r\n\r\n";
	}

	static const size_t PAUSE_STEP = 3000;
	loop loop_{};
	hc *hc_ = nullptr;
	hc_ops ops_{};
};

const char *const length_head = "HTTP/1.1 200 OK\r\nContent-Length: ";
const char *const chunked_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/* Guards against bytes that are lost, doubled or out of order when a request pauses and goes on. */
TEST_F(HcPauseTest, BodyOfARequestThatPausesOftenIsWhole)
{
	const std::string body = Text(1 << 20);
	const struct {
		const char *name;
		std::string head, sent;
	} cases[] = {
		{"length", length_head + std::to_string(body.size()) + "\r\n\r\n", body},
		{"until the close", "HTTP/1.1 200 OK\r\n\r\n", body},
		{"large chunks", chunked_head, Chunked(body, 100000)},
		{"small chunks", chunked_head, Chunked(body, 37)},
	};

	for (const auto &c : cases) {
		BodyServer server(1, c.head, c.sent);
		BodyCall call;

		call.pause_at = 1;
		Start(&call, server.url);
		for (Run(); call.done == 0; Run())
			hc_pause(call.call, false);
		EXPECT_TRUE(call.body == body) << c.name;
		EXPECT_EQ(call.err, 0) << c.name;
		EXPECT_GT(call.pauses, 100) << c.name;
	}
}

/* Guards against a part that is taken although the request paused before it, or lost with it. */
TEST_F(HcPauseTest, PartBeforeWhichTheRequestPausesWaits)
{
	const std::string body = Text(1 << 20);
	const size_t more = 20000;
	const std::string sent[] = {
		length_head + std::to_string(body.size()) + "\r\n\r\n" + body,
		chunked_head + Chunked(body, 37),
		chunked_head + Chunked(body, 100000),
	};

	for (const std::string &text : sent) {
		BodyServer server(1, "", text);
		BodyCall call;

		call.taken_max = 0;
		Start(&call, server.url);
		for (Run(); call.done == 0; Run()) {
			EXPECT_LE(call.body.size(), call.taken_max);
			call.taken_max += more;
			hc_pause(call.call, false);
		}
		EXPECT_TRUE(call.body == body);
		EXPECT_GT(call.pauses, 10);
	}
}

/* Guards against an end that is missed, or a last part that is lost, if it comes while paused. */
TEST_F(HcPauseTest, EndWhilePausedIsSeenAfterwards)
{
	for (const char *head : {"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n",
				 "HTTP/1.1 200 OK\r\n\r\n", chunked_head}) {
		const std::string body = Text(100);
		const std::string sent = head == chunked_head ? Chunked(body, 10) : body;
		BodyCall call;

		{
			BodyServer server(1, head, sent);

			call.pause_at = 1;
			Start(&call, server.url);
			Run();
		}
		for (; call.done == 0; Run())
			hc_pause(call.call, false);
		EXPECT_EQ(call.body, body);
		EXPECT_EQ(call.err, 0);
	}
}

/* Guards against a break that is taken for the regular end if it comes while paused. */
TEST_F(HcPauseTest, BreakWhilePausedIsAnError)
{
	BodyCall call;
	{
		BodyServer server(1, "HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n", Text(100));

		call.pause_at = 1;
		Start(&call, server.url);
		Run();
	}
	for (; call.done == 0; Run())
		hc_pause(call.call, false);
	EXPECT_LT(call.err, 0);
}

/* Guards against requests that are used after they were freed, or never freed. */
TEST_F(HcPauseTest, PausedRequestMayBeCanceled)
{
	const std::string body = Text(1 << 20);
	const std::string head = length_head + std::to_string(body.size()) + "\r\n\r\n";
	/* Bytes after which the request is canceled in its callback; 0: while it is paused. */
	for (size_t cancel_at : {(size_t)0, (size_t)1 + PAUSE_STEP, (size_t)100000}) {
		BodyServer server(1, head, body);
		BodyCall call;

		call.pause_at = 1;
		if (cancel_at > 0)
			call.cancel_at = cancel_at;
		Start(&call, server.url);
		Run();
		if (cancel_at == 0) {
			hc_pause(call.call, false);
			hc_pause(call.call, true);
			hc_pause(call.call, false);
			hc_cancel(call.call);
			continue;
		}
		for (; call.done == 0; Run())
			hc_pause(call.call, false);
		EXPECT_GE(call.body.size(), cancel_at);
		EXPECT_EQ(call.done, 1);
	}
}

/* Guards against a slow caller that holds up the others. */
TEST_F(HcPauseTest, OtherRequestsGoOnWhileOneIsPaused)
{
	const std::string body = Text(1 << 20);
	const std::string head = length_head + std::to_string(body.size()) + "\r\n\r\n";
	BodyServer server(2, head, body);
	BodyCall paused, other;

	Start(&paused, server.url);
	hc_pause(paused.call, true);
	Start(&other, server.url);
	Run();
	EXPECT_EQ(other.done, 1);
	EXPECT_EQ(other.body.size(), body.size());
	EXPECT_EQ(paused.body.size(), 0U);
	EXPECT_EQ(paused.done, 0);
	for (; paused.done == 0; Run())
		hc_pause(paused.call, false);
	EXPECT_TRUE(paused.body == body);
}

/* Guards against a part of an answer that looks whole, since its length is not to be trusted. */
TEST_F(HcTest, AnswerWithAWrongLengthFails)
{
	const struct {
		const char *name, *lines;
		int err;
	} cases[] = {
		{"right", "Content-Length: 4", 0},
		{"right, spaces", "content-length:  4 ", 0},
		{"twice the same", "Content-Length: 4\r\nContent-Length: 4", 0},
		{"too large", "Content-Length: 99999999999999999999", BASE_EHTTP},
		{"just too large", "Content-Length: 9223372036854775808", BASE_EHTTP},
		{"a list", "Content-Length: 4, 8", BASE_EHTTP},
		{"two", "Content-Length: 8\r\nContent-Length: 4", BASE_EHTTP},
	};

	for (const auto &c : cases) {
		BodyServer server(1, std::string("HTTP/1.1 200 OK\r\n") + c.lines + "\r\n\r\n",
				  "half");
		Call call = Ask(server.url);

		EXPECT_EQ(call.err, c.err) << c.name;
	}
}

} // namespace
