#include "base/hc_bound.h"
#include "base/err.h"
#include "base/hc.h"
#include "base/testing.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace
{

TEST(HcBoundTest, EachFormHasABound)
{
	hcb bound{};
	for (int i = 0; i < HCB_HEAD_LINES_MAX; i++)
		ASSERT_TRUE(hcb_on_head_line(&bound, 10)) << i;
	EXPECT_FALSE(hcb_on_head_line(&bound, 10));
	EXPECT_EQ(bound.form, HCB_HEAD);
	bound = {};
	EXPECT_TRUE(hcb_on_head_line(&bound, HCB_HEAD_BYTES_MAX));
	EXPECT_FALSE(hcb_on_head_line(&bound, 1));
	bound = {};
	for (int i = 0; i < HCB_TRAILER_LINES_MAX; i++)
		ASSERT_TRUE(hcb_on_trailer(&bound, 10)) << i;
	EXPECT_FALSE(hcb_on_trailer(&bound, 10));
	EXPECT_EQ(bound.form, HCB_TRAILER);
	bound = {};
	EXPECT_TRUE(hcb_on_trailer(&bound, HCB_TRAILER_BYTES_MAX));
	EXPECT_FALSE(hcb_on_trailer(&bound, 1));
	bound = {};
	EXPECT_TRUE(hcb_on_collected(&bound, 5, 5));
	EXPECT_FALSE(hcb_on_collected(&bound, 6, 5));
	EXPECT_EQ(bound.form, HCB_BODY);
}

/* Guards against a body of small chunks, or a line in pieces, that counts as framing without end.
 */
TEST(HcBoundTest, FramingIsBoundedByWhatItBrings)
{
	hcb bound{};
	uint64_t read = 0;
	bound.is_fresh = true;
	for (int i = 0; i < 100000; i++) {
		hcb_on_body(&bound, 1);
		read += 1 + HCB_FRAMING_BYTES_PER_BYTE;
		ASSERT_TRUE(hcb_on_read(&bound, &read)) << i;
	}
	read += HCB_FRAMING_BYTES_MAX;
	EXPECT_TRUE(hcb_on_read(&bound, &read));
	read++;
	EXPECT_FALSE(hcb_on_read(&bound, &read));
	EXPECT_EQ(bound.form, HCB_FRAMING);
	EXPECT_FALSE(hcb_on_trailer(&bound, HCB_TRAILER_BYTES_MAX + 1));
	EXPECT_EQ(bound.form, HCB_FRAMING) << "the first form is kept";
}

/* Guards against a kept connection whose earlier responses count as framing of the newest one. */
TEST(HcBoundTest, EarlierResponsesDoNotCount)
{
	hcb bound{};
	uint64_t read = 1 << 30;
	EXPECT_TRUE(hcb_on_read(&bound, &read));
	read += HCB_FRAMING_BYTES_MAX;
	EXPECT_TRUE(hcb_on_read(&bound, &read));
	read++;
	EXPECT_FALSE(hcb_on_read(&bound, &read));
}

TEST(HcBoundTest, EmptyReadsOfUnknownSizeAreCounted)
{
	hcb bound{};
	for (int i = 0; i < HCB_EMPTY_READS_MAX; i++)
		ASSERT_TRUE(hcb_on_read(&bound, nullptr)) << i;
	EXPECT_FALSE(hcb_on_read(&bound, nullptr));
}

/* A server on loopback that answers one request, and repeats the end of its answer until it can't.
 */
class EndlessServer
{
      public:
	EndlessServer(const std::string &begin, const std::string &repeated)
		: listener_(socket(AF_INET, SOCK_STREAM, 0))
	{
		addr = listen_on_loopback(listener_, 1);
		thread_ = std::thread([this, begin, repeated] { Serve(begin, repeated); });
	}
	~EndlessServer()
	{
		thread_.join();
		close(listener_);
	}
	std::string addr;

      private:
	void Serve(const std::string &begin, const std::string &repeated)
	{
		int fd = accept(listener_, nullptr, nullptr);
		char buf[4096];
		std::string many;

		EXPECT_GT(recv(fd, buf, sizeof(buf), 0), 0);
		send(fd, begin.data(), begin.size(), MSG_NOSIGNAL);
		while (!repeated.empty() && many.size() < 10000)
			many += repeated;
		while (many.empty() && recv(fd, buf, sizeof(buf), 0) > 0)
			;
		while (!many.empty() && send(fd, many.data(), many.size(), MSG_NOSIGNAL) > 0)
			;
		close(fd);
	}

	int listener_;
	std::thread thread_;
};

struct Result {
	loop loop_;
	int status = -1, err = 0, excess = 0;
	size_t body = 0;
};

/* Guards against a process that runs out of memory and time since a response goes on without end.
 */
TEST(HcBoundTest, ResponsesWithoutEndAreBrokenOff)
{
	const std::string ok = "HTTP/1.1 200 OK\r\n";
	const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
	const struct {
		const char *name;
		std::string begin, repeated;
		int status, err;
		size_t body;
	} cases[] = {
		{"lines of a head", ok, "X-More: 1\r\n", 0, BASE_EENDLESS, 0},
		{"one line", ok + "X-More: ", "1", 0, BASE_EENDLESS, 0},
		{"a status line", "HTTP/1.1 200 ", "O", 0, BASE_EENDLESS, 0},
		{"interim responses", "", "HTTP/1.1 103 Early\r\nX: 1\r\n\r\n", 0, BASE_EENDLESS,
		 0},
		{"an extension of a chunk", chunked + "4;", "a", 0, BASE_EENDLESS, 0},
		{"extensions of chunks", chunked, "1;" + std::string(20000, 'a') + "\r\nb\r\n", 0,
		 BASE_EENDLESS, 0},
		{"trailers", chunked + "4\r\nbody\r\n0\r\n", "X-More: 1\r\n", 200, 0, 4},
		{"trailers that stop", chunked + "4\r\nbody\r\n0\r\nX-More: 1\r\n", "", 200, 0, 4},
		{"a body", ok + "\r\n", "body", 0, BASE_EENDLESS, 0},
		{"a body of small chunks", chunked, "1\r\nb\r\n", 0, BASE_EENDLESS, 0},
		{"bytes behind the end", ok + "Content-Length: 4\r\n\r\nbody", "more", 200, 0, 4},
	};
	for (const auto &c : cases) {
		EndlessServer server(c.begin, c.repeated);
		Result result;
		hc_request request{};
		hc_ops ops{};
		const std::string url = "http://" + server.addr + "/";

		ASSERT_EQ(loop_init(&result.loop_), 0);
		hc *client = hc_new(&result.loop_);
		ops.on_excess = [](void *ctx) { ((Result *)ctx)->excess++; };
		ops.on_done = [](void *ctx, int status, int err, bool, const char *, size_t len) {
			Result *r = (Result *)ctx;
			r->status = status;
			r->err = err;
			r->body = len;
			loop_stop(&r->loop_);
		};
		request.method = "GET";
		request.url = url.c_str();
		request.connect_ms = 5000;
		request.fresh = true;
		request.close = true;
		request.body_max = 100000;
		hc_start(client, &request, &ops, &result);
		loop_run(&result.loop_);
		EXPECT_EQ(result.status, c.status) << c.name;
		EXPECT_EQ(result.err, c.err) << c.name;
		EXPECT_EQ(result.excess, (std::string(c.name).rfind("trailers", 0) == 0 ? 1 : 0))
			<< c.name;
		if (c.err == 0) {
			EXPECT_EQ(result.body, c.body) << c.name;
		}
		hc_free(client);
		loop_finish(&result.loop_);
	}
}

} // namespace
