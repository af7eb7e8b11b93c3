#include "base/hd_int.h"
#include "base/tcp_end.h"
#include "base/testing.h"

#include <atomic>
#include <cstring>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

namespace
{

enum {
	PATIENCE_S = 20,
	HEAD_MAX = 16384, /* bytes of headers, and of a request line, that are allowed */
	BODY_BYTES = 5000
};

std::string Repeat(const char *format, int n)
{
	std::string all;
	char text[64];
	for (int i = 0; i < n; i++) {
		snprintf(text, sizeof(text), format, i);
		all += text;
	}
	return all;
}

/* What a head is made of: its query and its lines, for a number of parts. */
struct Shape {
	const char *name, *query, *line, *cookie; /* formats of a part; NULL: none */
};

const Shape shapes[] = {
	{"Parameters", "p%d=v&", nullptr, nullptr},
	{"Lines", nullptr, "X-%d: v\r\n", nullptr},
	{"LinesWithoutValue", nullptr, "A%d:\r\n", nullptr},
	{"CookieLines", nullptr, "Cookie: c%d=v\r\n", nullptr},
	{"Cookies", nullptr, nullptr, "c%d=v;"},
	{"CookiesByComma", nullptr, nullptr, "c%d,"},
	{"All", "p%d=v&", "X-%d: v\r\n", "c%d=v;"},
};

enum class Body {
	NONE,
	LENGTH,
	CHUNKED
};

/* Shape, number of parts, body, bytes of the answer's head, bytes sent behind the request. */
using Case = std::tuple<size_t, int, Body, int, int>;

/* A server that serves any head, and its client's connection. */
class HdAnyTest : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		hd_config config{};
		config.threads = 1;
		config.any_head = true;
		config.body_max = 1 << 20;
		config.too_large = "{}";
		config.handler = OnRequest;
		config.on_end = OnEnd;
		config.ctx = this;
		hd_ = hd_start(&config);
		ASSERT_NE(hd_, nullptr);
		hd_set_head_max(hd_, HEAD_MAX);
		Connect();
	}
	void TearDown() override
	{
		if (client_ >= 0)
			close(client_);
		hd_stop(hd_);
	}
	void Connect()
	{
		const timeval patience = {PATIENCE_S, 0};
		LoopbackConnection conn = connect_on_loopback();
		if (client_ >= 0)
			close(client_);
		received_.clear();
		client_ = conn.client;
		setsockopt(client_, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
		hd_adopt(hd_, conn.accepted);
	}
	static void OnRequest(void *ctx, hd_call *call)
	{
		auto *test = (HdAnyTest *)ctx;
		size_t len;
		test->runs_++;
		if (test->holds_) {
			test->held_ = call;
			return;
		}
		hd_body(call, &len);
		test->body_bytes_ = len;
		if (strncmp(hd_path(call), "/x", 2) == 0 && test->filler_ > 0)
			for (int n = test->filler_; n > 0; n -= 1000)
				hd_set_header(call, "X-Filler", std::string(990, 'y').c_str());
		if (test->stream_parts_ > 0)
			test->Stream(call);
		else
			hd_reply(call, 200, "text/plain", "answer", 6);
		hd_unref(call);
	}
	static std::string PartOf(int i)
	{
		return std::string(1000, (char)('a' + i % 26));
	}
	void Stream(hd_call *call) const
	{
		hd_reply_begin(call, 200, "text/plain");
		for (int i = 0; i < stream_parts_; i++) {
			const std::string part = PartOf(i);
			EXPECT_EQ(hd_reply_write(call, part.data(), part.size()), 0);
		}
		if (aborts_)
			hd_abort(call);
		else
			EXPECT_EQ(hd_reply_end(call), 0);
	}
	static void OnEnd(void *ctx, const char *, const hd_outcome *outcome)
	{
		auto *test = (HdAnyTest *)ctx;
		test->last_end_ = outcome->end;
		test->ends_++;
	}
	void Send(const std::string &text) const
	{
		send(client_, text.data(), text.size(), MSG_NOSIGNAL);
	}
	bool Receive()
	{
		char buf[65536];
		ssize_t n = recv(client_, buf, sizeof(buf), 0);
		received_.append(buf, (size_t)MAX(n, 0));
		return n > 0;
	}
	std::string Take(size_t n)
	{
		const std::string taken = received_.substr(0, n);
		received_.erase(0, n);
		return taken;
	}
	/* Returns the next answer with its body, or what came of it before the end. */
	std::string ReadAnswer()
	{
		size_t end;
		while ((end = received_.find("\r\n\r\n")) == std::string::npos)
			if (!Receive())
				return Take(received_.size());
		const std::string head = received_.substr(0, end + 4);
		size_t at = head.find("Content-Length: ");
		size_t length = at == std::string::npos ? 0 : std::stoul(head.substr(at + 16));
		while (received_.size() < head.size() + length && Receive())
			;
		return Take(head.size() + length);
	}
	std::string ReadToTheEnd()
	{
		while (Receive())
			;
		return Take(received_.size());
	}
	hd *hd_ = nullptr;
	int client_ = -1, filler_ = 0, stream_parts_ = 0;
	bool aborts_ = false;
	std::string received_;
	std::atomic<bool> holds_{false};
	std::atomic<hd_call *> held_{nullptr};
	std::atomic<int> runs_{0}, ends_{0};
	std::atomic<size_t> body_bytes_{0};
	std::atomic<int> last_end_{HD_END_COUNT};
};

class HdAnyShapeTest : public HdAnyTest, public ::testing::WithParamInterface<Case>
{
};

std::string RequestOf(const Shape &shape, int parts, Body body)
{
	std::string target = "/x";
	std::string lines = "Host: h\r\n";
	if (shape.query)
		target += "?" + Repeat(shape.query, parts);
	if (shape.line)
		lines += Repeat(shape.line, parts);
	if (shape.cookie)
		lines += "Cookie: " + Repeat(shape.cookie, parts) + "\r\n";
	if (body == Body::LENGTH)
		lines += "Content-Length: " + std::to_string(BODY_BYTES) + "\r\n";
	if (body == Body::CHUNKED)
		lines += "Transfer-Encoding: chunked\r\n";
	std::string request = "POST " + target + " HTTP/1.1\r\n" + lines;
	if (body == Body::NONE)
		request.replace(0, 4, "GET");
	request += "\r\n";
	if (body == Body::LENGTH)
		request += std::string(BODY_BYTES, 'b');
	for (int left = BODY_BYTES; body == Body::CHUNKED && left > 0; left -= 1000)
		request += "3e8\r\n" + std::string(1000, 'b') + "\r\n";
	return body == Body::CHUNKED ? request + "0\r\n\r\n" : request;
}

/* Guards against heads that are refused, though the limits allow them, or whose answers are thrown
 * away after they have run, since the library has one size of memory for all. */
TEST_P(HdAnyShapeTest, AnyHeadWithinTheLimitsIsServed)
{
	const auto &[shape, parts, body, filler, behind] = GetParam();
	const std::string request = RequestOf(shapes[shape], parts, body);
	const std::string rest = behind > 0 ? "GET /y HTTP/1.1\r\nHost: h\r\nContent-Length: " +
						      std::to_string(behind) + "\r\n\r\n" +
						      std::string((size_t)behind, 'z')
					    : "";
	/* A short request, one with a chunked body, then the one that counts, on one connection. */
	Send(RequestOf({}, 0, Body::NONE));
	ASSERT_NE(ReadAnswer(), "");
	Send(RequestOf({}, 0, Body::CHUNKED));
	ASSERT_NE(ReadAnswer().find(" 200 "), std::string::npos);
	filler_ = filler;
	runs_ = 0;
	Send(request + rest);
	const std::string answer = ReadAnswer();
	EXPECT_NE(answer.find("HTTP/1.1 200 "), std::string::npos) << answer.substr(0, 200);
	EXPECT_NE(answer.find("answer"), std::string::npos) << answer.size();
	EXPECT_GE((int)answer.size(), filler);
	EXPECT_GE(runs_, 1);
	if (!rest.empty())
		return;
	EXPECT_EQ(runs_, 1);
	EXPECT_EQ(body_bytes_, body == Body::NONE ? 0u : (size_t)BODY_BYTES);
}

INSTANTIATE_TEST_SUITE_P(Heads, HdAnyShapeTest,
			 ::testing::Combine(::testing::Range((size_t)0, G_N_ELEMENTS(shapes)),
					    ::testing::Values(10, 300, 700),
					    ::testing::Values(Body::NONE, Body::LENGTH,
							      Body::CHUNKED),
					    ::testing::Values(0, 12000, 24000, 60000),
					    ::testing::Values(0, 3000, 60000)));

/* An answer with a head for which the library has no room. */
class HdLongAnswerTest : public HdAnyTest
{
      protected:
	void SetUp() override
	{
		HdAnyTest::SetUp();
		filler_ = 60000;
	}
	void WaitForEnd() const
	{
		while (ends_ == 0)
			std::this_thread::yield();
	}
};

/* Returns what the chunks hold, as far as they are there. */
std::string Unchunk(const std::string &chunks)
{
	std::string all;
	for (size_t at = 0; at < chunks.size();) {
		size_t line = chunks.find("\r\n", at);
		size_t n = std::stoul(chunks.substr(at, line - at), nullptr, 16);
		all += chunks.substr(line + 2, n);
		at = line + 2 + n + 2;
	}
	return all;
}

struct LongAnswerCase {
	const char *name, *method, *version;
	int parts; /* of 1,000 bytes; 0: a whole answer */
	bool aborts;
	const char *body_begin, *all_end; /* what follows the head; how all ends */
	int end;
};

const LongAnswerCase long_answers[] = {
	{"Whole", "GET", "1.1", 0, false, "answer", "answer", HD_END_WHOLE},
	{"WholeToAnOldClient", "GET", "1.0", 0, false, "answer", "answer", HD_END_WHOLE},
	{"HeadOnly", "HEAD", "1.1", 0, false, "", "\r\n\r\n", HD_END_WHOLE},
	{"Stream", "GET", "1.1", 500, false, "4000\r\naaaa", "\r\n0\r\n\r\n", HD_END_WHOLE},
	{"StreamOfHeadOnly", "HEAD", "1.1", 50, false, "", "\r\n\r\n", HD_END_WHOLE},
	{"AbortedStream", "GET", "1.1", 50, true, "", "xxx\r\n", HD_END_ABORTED},
	{"StreamToAnOldClient", "GET", "1.0", 500, false, "aaaa", "ffff", HD_END_WHOLE},
};

/* Guards against answers that are replaced by 502, though their requests have run, since their
 * heads are longer than what the library has left; and against broken ones that look whole. */
TEST_F(HdLongAnswerTest, AnswerIsSentBesideTheLibrary)
{
	for (const LongAnswerCase &c : long_answers) {
		SCOPED_TRACE(c.name);
		Connect();
		ends_ = 0;
		stream_parts_ = c.parts;
		aborts_ = c.aborts;
		Send(std::string(c.method) + " /x HTTP/" + c.version + "\r\nHost: h\r\n\r\n");
		const std::string all = ReadToTheEnd();
		WaitForEnd();
		EXPECT_EQ(all.compare(0, 13, "HTTP/1.1 200 "), 0) << all.substr(0, 100);
		size_t body = all.find("\r\n\r\n") + 4;
		EXPECT_GT((int)body, filler_);
		EXPECT_EQ(all.compare(body, strlen(c.body_begin), c.body_begin), 0);
		EXPECT_EQ(all.substr(all.size() - strlen(c.all_end)), c.all_end);
		EXPECT_EQ(last_end_, c.end);
		if (c.parts > 0 && strcmp(c.method, "GET") == 0) {
			const bool chunked = strcmp(c.version, "1.1") == 0;
			const std::string sent = all.substr(body);
			std::string expected;
			for (int i = 0; i < c.parts; i++)
				expected += PartOf(i);
			EXPECT_TRUE((chunked ? Unchunk(sent) : sent) == expected);
		}
		EXPECT_EQ(hd_unsent_total(hd_), 0u);
	}
}

/* Guards against an answer that stays open for ever since its client reads nothing. */
TEST_F(HdLongAnswerTest, ClientThatReadsNothingIsTimedOut)
{
	hd_set_limits(hd_, 1 << 20, 1);
	stream_parts_ = 20000;
	Send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
	WaitForEnd();
	EXPECT_EQ(last_end_, HD_END_TIMEOUT);
}

/* Guards against an answer that stays open since its client has left. */
TEST_F(HdLongAnswerTest, ClientThatLeavesEndsTheAnswer)
{
	stream_parts_ = 20000;
	Send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
	ASSERT_TRUE(Receive());
	EXPECT_EQ(tcp_reset_on_close(client_), 0);
	close(client_);
	client_ = -1;
	WaitForEnd();
	EXPECT_EQ(last_end_, HD_END_CLIENT);
}

/* Guards against requests that run and end without an answer, since the lines behind their chunked
 * bodies have taken the library's memory. */
TEST_F(HdAnyTest, TrailersOfARequestTakeNoAnswer)
{
	for (int lines : {1, 20, 60, 100, 140, 180, 220, 300, 1000}) {
		for (int filler : {0, 6000, 12000, 20000, 25000, 60000}) {
			Connect();
			runs_ = 0;
			filler_ = filler;
			std::string request = RequestOf({}, 0, Body::CHUNKED);
			request.resize(request.size() - 2);
			Send(request + Repeat("T%d: v\r\n", lines) + "\r\n");
			const std::string answer = ReadAnswer();
			const bool served = answer.find(" 200 ") != std::string::npos;
			EXPECT_TRUE(served || answer.find(" 431 ") != std::string::npos)
				<< lines << " " << filler << " " << answer.substr(0, 99);
			EXPECT_EQ(runs_, served ? 1 : 0) << lines << " " << filler;
		}
	}
}

/* Guards against requests that run and end without an answer, since the library keeps a copy of a
 * header that is folded over lines, which is not counted. */
TEST_F(HdAnyTest, FoldedHeaderTakesNoAnswer)
{
	for (int bytes : {10, 500, 1000, 2000, 4000}) {
		for (int filler : {0, 20000, 24000, 26000, 28000, 29000, 30000}) {
			Connect();
			runs_ = 0;
			filler_ = filler;
			Send("GET /x HTTP/1.1\r\nHost: h\r\nX-A: " +
			     std::string((size_t)bytes, 'v') + "\r\n w\r\n\r\n");
			const std::string answer = ReadAnswer();
			const bool served = answer.find(" 200 ") != std::string::npos;
			EXPECT_TRUE(served || answer.find("HTTP/1.1 4") == 0)
				<< bytes << " " << filler << " " << answer.substr(0, 99);
			EXPECT_EQ(runs_, served ? 1 : 0) << bytes << " " << filler;
		}
	}
}

/* Guards against heads that are not served since they come in pieces. */
TEST_F(HdAnyTest, HeadInPiecesIsServed)
{
	for (int parts : {3, 300}) {
		for (char byte : RequestOf(shapes[1], parts, Body::NONE))
			Send(std::string(1, byte));
		EXPECT_NE(ReadAnswer().find(" 200 "), std::string::npos) << parts;
	}
}

/* Guards against requests that wait for ever, as they had been read with the one before them when
 * the connection was held. */
TEST_F(HdAnyTest, PipelinedRequestsAreServed)
{
	const std::string get = RequestOf({}, 0, Body::NONE);
	const std::string chunked = RequestOf({}, 0, Body::CHUNKED);
	for (const std::string &all : {get + get + get, chunked + get, chunked + chunked + get}) {
		Connect();
		Send(all);
		for (size_t at = 0; (at = all.find("HTTP/1.1", at)) != std::string::npos; at++)
			ASSERT_NE(ReadAnswer().find(" 200 "), std::string::npos) << all.size();
	}
}

/* Guards against callers who have left and are not noticed, since more than their request lies
 * unread: their endpoints work on, and their requests count as unanswered. */
TEST_F(HdAnyTest, ClientThatLeavesWithBytesUnreadIsNoticed)
{
	for (bool by_reset : {false, true}) {
		Connect();
		ends_ = 0;
		holds_ = true;
		Send(RequestOf({}, 0, Body::NONE) + std::string(100000, 'z'));
		while (!held_)
			std::this_thread::yield();
		if (by_reset) {
			EXPECT_EQ(tcp_reset_on_close(client_), 0);
		}
		close(client_);
		client_ = -1;
		while (!hd_client_closed(held_))
			std::this_thread::yield();
		hd_reply(held_, 200, "text/plain", "answer", 6);
		hd_unref(held_);
		held_ = nullptr;
		while (ends_ == 0)
			std::this_thread::yield();
		EXPECT_EQ(last_end_, HD_END_CLIENT) << by_reset;
	}
}

/* Guards against a head that never ends and is held for ever. */
TEST_F(HdAnyTest, HeadThatNeverEndsGets408)
{
	hd_set_head_limit(hd_, 1);
	Send("GET /x HTTP/1.1\r\nHost: h\r\n");
	while (hd_open_requests(hd_) == 0)
		std::this_thread::yield();
	hd_close_idle(hd_, tmr_now() + 60 * TMR_US_PER_S);
	EXPECT_NE(ReadToTheEnd().find(" 408 "), std::string::npos);
	EXPECT_EQ(runs_, 0);
}

/* Guards against heads above the limit that are served, or whose clients get no status, on new and
 * on kept connections. */
TEST_F(HdAnyTest, HeadAboveTheLimitGets431)
{
	const std::string heads[] = {
		"GET /" + std::string(HEAD_MAX, 'x') + " HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /x HTTP/1.1\r\nX-A: " + std::string(HEAD_MAX, 'x') + "\r\n\r\n",
		"GET /x HTTP/1.1\r\n" + Repeat("A%d:\r\n", 4000) + "\r\n",
		"GET /x HTTP/1.1\r\nX-A: " + std::string(300000, 'x') + "\r\n\r\n",
	};
	for (const std::string &head : heads) {
		for (bool kept : {false, true}) {
			Connect();
			if (kept) {
				Send(RequestOf({}, 0, Body::NONE));
				ASSERT_NE(ReadAnswer().find(" 200 "), std::string::npos);
			}
			runs_ = 0;
			Send(head);
			EXPECT_NE(ReadToTheEnd().find("HTTP/1.1 431 "), std::string::npos)
				<< head.size() << kept;
			EXPECT_EQ(runs_, 0);
		}
	}
}

/* Guards against a connection that keeps the large block of a request that has ended. */
TEST_F(HdAnyTest, ConnectionIsClosedAfterALargeHead)
{
	for (int i = 0; i < 200; i++) {
		Connect();
		Send(RequestOf({}, 0, Body::NONE));
		ASSERT_NE(ReadAnswer().find(" 200 "), std::string::npos);
		Send(RequestOf(shapes[1], 1000, Body::NONE));
		const std::string answer = ReadToTheEnd();
		ASSERT_NE(answer.find(" 200 "), std::string::npos) << i;
		ASSERT_NE(answer.find("Connection: close"), std::string::npos);
	}
}

/* Guards against memory without a bound for requests with large heads: those above it are refused
 * unread, with a time to come back, and usual ones are served meanwhile. */
TEST_F(HdAnyTest, LargeHeadsAboveTheBoundAreRefused)
{
	std::vector<LoopbackConnection> conns;
	std::string head = RequestOf(shapes[1], 1000, Body::LENGTH);
	head.resize(head.size() - BODY_BYTES);
	for (int i = 0; i < HD_LARGE_MAX; i++) {
		conns.push_back(connect_on_loopback());
		hd_adopt(hd_, conns.back().accepted);
		send(conns.back().client, head.data(), head.size(), MSG_NOSIGNAL);
	}
	while (hd_open_requests(hd_) < (unsigned int)HD_LARGE_MAX)
		std::this_thread::yield();
	for (bool kept : {false, true}) {
		Connect();
		if (kept) {
			Send(RequestOf({}, 0, Body::NONE));
			ASSERT_NE(ReadAnswer().find(" 200 "), std::string::npos);
		}
		Send(head);
		const std::string answer = ReadToTheEnd();
		EXPECT_NE(answer.find("HTTP/1.1 503 "), std::string::npos) << answer;
		EXPECT_NE(answer.find("Retry-After: "), std::string::npos);
	}
	for (const LoopbackConnection &conn : conns)
		close(conn.client);
}

/* Guards against places for large heads that are lost with clients who leave at once. */
TEST_F(HdAnyTest, ClientsThatLeaveAtOnceTakeNoPlace)
{
	const std::string head = RequestOf(shapes[1], 1000, Body::NONE);
	for (int i = 0; i < 8 * HD_LARGE_MAX; i++) {
		Connect();
		if (i % 2 > 0) {
			Send(RequestOf({}, 0, Body::NONE));
			ASSERT_NE(ReadAnswer().find(" 200 "), std::string::npos);
		}
		EXPECT_EQ(tcp_reset_on_close(client_), 0);
		Send(head);
	}
	Connect();
	while (hd_->large_open > 0)
		std::this_thread::yield();
	Send(head);
	EXPECT_NE(ReadAnswer().find(" 200 "), std::string::npos);
}

/* Guards against held connections that are not closed when they are to be. */
TEST_F(HdAnyTest, IdleConnectionsAreClosed)
{
	hd_set_limits(hd_, 1 << 20, 1);
	for (bool kept : {false, true}) {
		for (bool all : {false, true}) {
			Connect();
			if (kept) {
				Send(RequestOf({}, 0, Body::NONE));
				ASSERT_NE(ReadAnswer().find(" 200 "), std::string::npos);
				while (hd_open_requests(hd_) > 0)
					std::this_thread::yield();
			}
			if (all)
				hd_close_all_idle(hd_);
			else
				hd_close_idle(hd_, tmr_now() + 60 * TMR_US_PER_S);
			EXPECT_EQ(ReadToTheEnd(), "");
		}
	}
}

struct MeasureCase {
	const char *head;
	bool whole;
	size_t line_bytes, bytes, fields, copied;
};

/* Guards against sums that are below what the library makes of a head. */
TEST(HdHeadMeasureTest, Table)
{
	const MeasureCase cases[] = {
		{"", false, 0, 0, 0, 0},
		{"GET", false, 0, 3, 0, 0},
		{"GET / HTTP/1.1\r\n", false, 16, 16, 0, 0},
		{"GET / HTTP/1.1\r\n\r\n", true, 16, 18, 0, 0},
		{"GET / HTTP/1.1\n\n", true, 15, 16, 0, 0},
		{"\r\n\r\nGET / HTTP/1.1\r\n\r\nrest", true, 16, 22, 0, 0},
		{"GET /?a;b;c HTTP/1.1\r\nA: b;c\r\nB: d\r\n\r\n", true, 22, 38, 2, 0},
		{"GET / HTTP/1.1\r\ncookie: a;b,c\r\n\r\n", true, 16, 33, 4, 15},
		{"GET / HTTP/1.1\r\nCookie: a;\r\n b;c;\r\n\r\n", true, 16, 37, 7, 19},
		{"GET / HTTP/1.1\r\nA: b", false, 16, 20, 0, 0},
	};
	for (const MeasureCase &c : cases) {
		hd_size size;
		hd_head_measure(c.head, strlen(c.head), &size);
		EXPECT_EQ(size.whole, c.whole) << c.head;
		EXPECT_EQ(size.line_bytes, c.line_bytes) << c.head;
		EXPECT_EQ(size.bytes, c.bytes) << c.head;
		EXPECT_EQ(size.fields, c.fields) << c.head;
		EXPECT_EQ(size.copied, c.copied) << c.head;
	}
}

} // namespace
