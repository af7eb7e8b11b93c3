#include "base/frm.h"
#include "msg/kind.h"
#include "router/gateway.h"
#include "base/tcp_end.h"
#include "base/testing.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstdio>
#include <functional>
#include <gtest/gtest.h>
#include <string>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace
{

/* A gateway, an endpoint that accepts connections, and hosts that ask for tunnels to it. */
class GatewayTest : public ::testing::Test
{
      protected:
	GatewayTest() : endpoint_(socket(AF_INET, SOCK_STREAM, 0))
	{
		addr_ = listen_on_loopback(endpoint_, 4);
		EXPECT_EQ(loop_init(&loop_), 0);
		reach_init(&reach_);
		gateway_ = gateway_new(&loop_, &reach_, "");
	}
	~GatewayTest() override
	{
		reach_finish(&reach_);
		loop_finish(&loop_);
		close(endpoint_);
	}
	void RunUntil(std::function<bool()> done)
	{
		runner_.RunUntil(std::move(done));
	}
	/* Asks for a tunnel on one end of the pair of sockets. */
	void Ask(const int *pair)
	{
		Tunnel__Open *open = (Tunnel__Open *)g_malloc(sizeof(Tunnel__Open));

		tunnel__open__init(open);
		open->addr = strdup(addr_.c_str());
		open->request = strdup("r-1");
		open->host = strdup("h1");
		open->connect_ms = 1000;
		gateway_post_open(gateway_, pair[0], open, TUNNEL__RESULT__UNSPECIFIED);
	}
	/* Waits for the gateway's answer. */
	Tunnel__Result ReadAnswer(int fd, uint64_t *token)
	{
		uint8_t buf[256];
		ssize_t n = 0;
		uint16_t kind = 0;
		const uint8_t *body = nullptr;
		size_t len = 0;

		RunUntil([&] { return (n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT)) >= 0; });
		EXPECT_GT(frm_parse(buf, (size_t)n, &kind, &body, &len), 0);
		Tunnel__Opened *opened = tunnel__opened__unpack(nullptr, len, body);
		Tunnel__Result result = opened->result;
		*token = opened->token;
		tunnel__opened__free_unpacked(opened, nullptr);
		return result;
	}
	loop loop_;
	LoopRunner runner_{&loop_};
	reach reach_{};
	gateway *gateway_;
	int endpoint_;
	std::string addr_;
};

/* A tunnel whose socket can't be watched passed nothing until the caller's deadline. */
TEST_F(GatewayTest, TunnelThatCannotBeWatchedEnds)
{
	int pair[2];
	uint64_t token = 0;
	FILE *file = tmpfile(); /* the loop can't watch a regular file */

	ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, pair), 0);
	Ask(pair);
	ASSERT_EQ(ReadAnswer(pair[1], &token), TUNNEL__RESULT__OPENED);
	gateway_post_attach(gateway_, dup(fileno(file)), token, g_byte_array_new());
	bool attached = false;
	loop_post(
		&loop_, [](void *ctx) { *(bool *)ctx = true; }, &attached);
	RunUntil([&] { return attached; });
	EXPECT_EQ(gateway_open_tunnels(gateway_), 0u);
	fclose(file);
	close(pair[1]);
}

struct TunnelEndRow {
	const char *name;
	bool reset; /* the asking host resets its connection; it ends it otherwise */
	int last;   /* result of the endpoint's last read */
};

class GatewayEndTest : public GatewayTest, public ::testing::WithParamInterface<TunnelEndRow>
{
};

/* Guards against an endpoint that runs a request which the asking host has given up. */
TEST_P(GatewayEndTest, EndOfTheAskingHostReachesTheEndpoint)
{
	LoopbackConnection host = connect_on_loopback();
	int pair[2];
	uint64_t token = 0;
	char block[256];
	ssize_t n = 0;

	ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, pair), 0);
	Ask(pair);
	ASSERT_EQ(ReadAnswer(pair[1], &token), TUNNEL__RESULT__OPENED);
	int endpoint = accept4(endpoint_, nullptr, nullptr, SOCK_NONBLOCK);
	gateway_post_attach(gateway_, host.accepted, token, g_byte_array_new());
	ASSERT_EQ(send(host.client, "begun", 5, 0), 5);
	RunUntil([&] { return recv(endpoint, block, sizeof(block), 0) == 5; });
	if (GetParam().reset) {
		ASSERT_EQ(tcp_reset_on_close(host.client), 0);
	}
	close(host.client);
	RunUntil([&] {
		n = recv(endpoint, block, sizeof(block), 0);
		return n >= 0 || errno != EAGAIN;
	});
	EXPECT_EQ(n, GetParam().last);
	EXPECT_EQ(gateway_open_tunnels(gateway_), 0u);
	close(endpoint);
	close(pair[1]);
}

static const TunnelEndRow tunnel_end_rows[] = {
	{"Close", false, 0},
	{"Reset", true, -1},
};

INSTANTIATE_TEST_SUITE_P(Ends, GatewayEndTest, ::testing::ValuesIn(tunnel_end_rows),
			 [](const auto &row) { return row.param.name; });

/* A gateway without free descriptors told other hosts that the endpoint refuses connections. */
TEST_F(GatewayTest, LackOfDescriptorsIsNotARefusalOfTheEndpoint)
{
	int pair[2];
	uint64_t token;
	rlimit old, low;

	ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, pair), 0);
	ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &old), 0);
	int next = dup(0);
	close(next);
	low = old;
	low.rlim_cur = (rlim_t)next;
	ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &low), 0);
	Ask(pair);
	Tunnel__Result result = ReadAnswer(pair[1], &token);
	ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &old), 0);
	EXPECT_EQ(result, TUNNEL__RESULT__BUSY);
	EXPECT_EQ(gateway_open_tunnels(gateway_), 0u);
	close(pair[1]);
}

} // namespace
