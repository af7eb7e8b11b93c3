#include "base/err.h"
#include "base/frm.h"
#include "base/met.h"
#include "msg/tunnel.pb-c.h"
#include "base/testing.h"

#include <arpa/inet.h>
#include <functional>
#include <gtest/gtest.h>
#include <string>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace
{

const uint16_t KIND = 7;

/* A server, a client connected to it, and what they have received. */
class FrmTest : public ::testing::Test
{
      protected:
	FrmTest()
	{
		EXPECT_EQ(loop_init(&loop_), 0);
		EXPECT_EQ(frm_listen(&server_, &loop_, "127.0.0.1:0", &ops_, &limits_, this), 0);
		sockaddr_in sin{};
		socklen_t len = sizeof(sin);
		getsockname(server_.lfd.fd, (sockaddr *)&sin, &len);
		addr_ = "127.0.0.1:" + std::to_string(ntohs(sin.sin_port));
	}
	~FrmTest() override
	{
		if (client_)
			frm_close(client_);
		frm_server_finish(&server_);
		RunUntil([] { return true; });
		loop_finish(&loop_);
	}
	void Connect()
	{
		client_ = frm_connect(&loop_, addr_.c_str(), &ops_, &limits_, this);
		ASSERT_NE(client_, nullptr);
	}
	void RunUntil(std::function<bool()> done)
	{
		runner_.RunUntil(std::move(done));
	}
	static int OnMsg(void *ctx, frm_conn *, uint16_t, const uint8_t *, size_t len)
	{
		((FrmTest *)ctx)->received_++;
		((FrmTest *)ctx)->received_len_ = len;
		return 0;
	}
	static void OnClose(void *ctx, frm_conn *conn, int err)
	{
		FrmTest *test = (FrmTest *)ctx;

		if (conn != test->client_)
			return;
		test->client_ = nullptr;
		test->closed_ = err;
	}
	const frm_ops ops_ = {OnMsg, OnClose};
	const frm_limits limits_ = {tmr_from_s(60), tmr_from_s(60), tmr_from_s(60)};
	loop loop_;
	LoopRunner runner_{&loop_};
	frm_server server_{};
	std::string addr_;
	frm_conn *client_ = nullptr;
	int received_ = 0;
	size_t received_len_ = 0;
	int closed_ = 0; /* error with which the client's connection ended */
};

/* A process without free descriptors used a whole core to accept, and said nothing. */
TEST_F(FrmTest, LackOfDescriptorsIsCountedAndOutlived)
{
	const met_ctr *failed = met_counter("bg_accepts_failed_total", "");
	const Tunnel__Attach msg = TUNNEL__ATTACH__INIT;
	const uint64_t before = met_get(failed);
	rlimit old, low;
	tmr stop{};

	Connect();
	ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &old), 0);
	int next = dup(0);
	close(next);
	low = old;
	low.rlim_cur = (rlim_t)next;
	ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &low), 0);
	/* The stop timer is due before the listener is tried again, so one accept can fail. */
	loop_start_timer(
		&loop_, &stop, tmr_from_ms(20), [](void *ctx, int64_t) { loop_stop((loop *)ctx); },
		&loop_);
	loop_run(&loop_);
	ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &old), 0);
	EXPECT_EQ(met_get(failed) - before, 1u);
	frm_send(client_, KIND, &msg.base);
	RunUntil([this] { return received_ > 0; });
}

/* A message that no peer accepts was sent for ever: each peer closed the connection, and it was
 * sent on the next. */
TEST_F(FrmTest, MessageThatIsTooLongEndsItsConnectionHere)
{
	const met_ctr *dropped = met_counter("bg_frames_dropped_total", "");
	const met_ctr *refused = met_counter("bg_frames_refused_total", "");
	const uint64_t before = met_get(dropped);
	const uint64_t refused_before = met_get(refused);
	std::string text(FRM_BODY_MAX + 1, 'x');
	Tunnel__Open msg = TUNNEL__OPEN__INIT;

	msg.addr = &text[0];
	Connect();
	frm_send(client_, KIND, &msg.base);
	RunUntil([this] { return client_ == nullptr; });
	EXPECT_EQ(closed_, BASE_EFRAME);
	EXPECT_EQ(met_get(dropped) - before, 1u);
	EXPECT_EQ(met_get(refused), refused_before);
	EXPECT_EQ(received_, 0);
}

/* A message for a connection that has just ended vanished without a trace. */
TEST_F(FrmTest, MessageAfterTheEndOfAConnectionIsCounted)
{
	const met_ctr *dropped = met_counter("bg_frames_dropped_total", "");
	const uint64_t before = met_get(dropped);
	const Tunnel__Attach msg = TUNNEL__ATTACH__INIT;

	Connect();
	frm_close(client_);
	frm_send(client_, KIND, &msg.base);
	client_ = nullptr;
	EXPECT_EQ(met_get(dropped) - before, 1u);
}

} // namespace
