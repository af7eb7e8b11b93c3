#include "base/hd_head.h"
#include "base/testing.h"

#include <cstring>
#include <string>
#include <sys/socket.h>
#include <tuple>
#include <unistd.h>

namespace
{

enum {
	PATIENCE_S = 20,
	BODY_BYTES = 5000,
	BEHIND_BYTES = 40000
};

std::string Repeat(const std::string &text, int n)
{
	std::string all;
	for (int i = 0; i < n; i++)
		all += text;
	return all;
}

/* A head, by what it has many of, and whether there is room for it in any case. */
struct Shape {
	const char *name;
	bool fits;
	std::string query, lines;
};

const Shape shapes[] = {
	{"Short", true, "", ""},
	{"Parameters400", true, "?" + Repeat("p=v&", 400), ""},
	{"Parameters8000", true, "?" + Repeat("p&", 8000), ""},
	{"OneLongParameter", true, "?p=" + std::string(15900, 'v'), ""},
	{"Cookies200", false, "", "Cookie: " + Repeat("c=vvvvvvvvvvvv;", 200) + "\r\n"},
	{"Cookies300", false, "", "Cookie: " + Repeat("c=vvvvvvvvvvvv;", 300) + "\r\n"},
	{"Cookies380", false, "", "Cookie: " + Repeat("c=v;", 380) + "\r\n"},
	{"Cookies4000", false, "", "Cookie: " + Repeat("c=v;", 4000) + "\r\n"},
	{"TwoCookieLines", false, "", Repeat("Cookie: " + Repeat("c=v;", 1500) + "\r\n", 2)},
	{"Lines100", true, "", Repeat("X-A: " + std::string(100, 'v') + "\r\n", 100)},
	{"Lines200", false, "", Repeat("X-A: v\r\n", 200)},
	{"Lines286", false, "", Repeat("X-A: " + std::string(40, 'v') + "\r\n", 286)},
	{"Lines330", false, "", Repeat("X-A: v\r\n", 330)},
	{"Lines3000", false, "", Repeat("A:\r\n", 3000)},
	{"OneLongLine", true, "", "X-A: " + std::string(16000, 'v') + "\r\n"},
	{"ParametersLinesAndCookies", false, "?" + Repeat("p=v&", 1000),
	 Repeat("X-A: v\r\n", 100) + "Cookie: " + Repeat("c=v;", 100) + "\r\n"},
};

/* Index of the shape, whether a body belongs to the request, whether more is sent behind it, and
 * the bytes of the answer's longest header. */
using Case = std::tuple<size_t, bool, bool, int>;

class HdHeadTest : public ::testing::TestWithParam<Case>
{
      protected:
	void SetUp() override
	{
		hd_config config{};
		config.threads = 1;
		config.body_max = 1 << 20;
		config.too_large = "{}";
		config.handler = OnRequest;
		config.ctx = this;
		hd_ = hd_start(&config);
		ASSERT_NE(hd_, nullptr);
		Connect();
	}
	void TearDown() override
	{
		close(client_);
		hd_stop(hd_);
	}
	void Connect()
	{
		const timeval patience = {PATIENCE_S, 0};
		LoopbackConnection conn = connect_on_loopback();
		client_ = conn.client;
		setsockopt(client_, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
		hd_adopt(hd_, conn.accepted);
	}
	static void OnRequest(void *ctx, hd_call *call)
	{
		auto *test = (HdHeadTest *)ctx;
		size_t len;
		if (strcmp(hd_path(call), "/first") != 0) {
			test->target_ = hd_target(call);
			hd_body(call, &len);
			test->body_bytes_ = len;
			hd_set_header(call, "X-Filler", std::string(test->filler_, 'y').c_str());
		}
		hd_reply(call, 200, nullptr, "", 0);
		hd_unref(call);
	}
	/* The library crashes if it is stopped while it refuses bytes that are no request. */
	void ReadToTheEnd() const
	{
		char buf[4096];
		while (recv(client_, buf, sizeof(buf), 0) > 0)
			;
	}
	void Send(const std::string &text) const
	{
		send(client_, text.data(), text.size(), MSG_NOSIGNAL);
	}
	/* Returns the head of the next answer, or "" if the connection ends or stays silent. */
	std::string ReadHead() const
	{
		std::string head;
		char byte;
		while (head.find("\r\n\r\n") == std::string::npos) {
			if (recv(client_, &byte, 1, 0) != 1)
				return "";
			head += byte;
		}
		return head;
	}
	hd *hd_ = nullptr;
	int client_ = -1;
	size_t filler_ = 0, body_bytes_ = 0;
	std::string target_;
};

/* Guards against connections that end without a byte, or stay open without an answer, since heads
 * take the library's memory; and against requests that run for an answer that can't be sent. */
TEST_P(HdHeadTest, AnyHeadIsServedOrRefusedWithAStatus)
{
	const Shape &shape = shapes[std::get<0>(GetParam())];
	const std::string body = std::get<1>(GetParam()) ? std::string(BODY_BYTES, 'b') : "";
	const std::string behind = std::get<2>(GetParam()) ? std::string(BEHIND_BYTES, 'z') : "";
	const std::string target = "/x" + shape.query;
	filler_ = (size_t)std::get<3>(GetParam());
	Send("GET /first HTTP/1.1\r\nHost: h\r\n\r\n");
	ASSERT_NE(ReadHead().find(" 200 "), std::string::npos);
	Send("POST " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: " +
	     std::to_string(body.size()) + "\r\n" + shape.lines + "\r\n" + body + behind);
	std::string head = ReadHead();
	if (!behind.empty())
		ReadToTheEnd();
	ASSERT_NE(head, "") << "no answer";
	if (target_.empty()) {
		EXPECT_NE(head.find(" 431 "), std::string::npos) << head;
		EXPECT_FALSE(shape.fits) << shape.name;
		return;
	}
	EXPECT_EQ(target_, target);
	EXPECT_EQ(body_bytes_, body.size());
	bool promised = filler_ + 600 < HD_RESPONSE_ROOM_MIN;
	EXPECT_TRUE(!promised || head.find(" 200 ") != std::string::npos) << head;
}

INSTANTIATE_TEST_SUITE_P(Heads, HdHeadTest,
			 ::testing::Combine(::testing::Range((size_t)0, G_N_ELEMENTS(shapes)),
					    ::testing::Bool(), ::testing::Bool(),
					    ::testing::Values(1, 5000, 12000)));

struct QueryCase {
	const char *target, *name, *value;
};

/* Guards against parameters that are not found, or found in another one. */
TEST(HdQueryTest, ValueOfAParameter)
{
	const QueryCase cases[] = {
		{"/x?a=b", "a", "b"},	    {"/x?a=b&c=d", "c", "d"},  {"/x?a=1&a=2", "a", "1"},
		{"/x?a=%26+b", "a", "& b"}, {"/x?aa=b", "a", nullptr}, {"/x", "a", nullptr},
		{"/x?", "a", nullptr},	    {"/x?a=", "a", ""},	       {"/a=b?c=d", "/a", nullptr},
	};
	for (const QueryCase &c : cases) {
		char *value = hd_query_value(c.target, c.name);
		EXPECT_STREQ(value, c.value) << c.target;
		g_free(value);
	}
}

} // namespace
