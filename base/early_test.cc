#include "base/early.h"
#include "base/err.h"
#include "base/testing.h"

#include <unistd.h>

namespace
{

class EarlyTest : public testing::Test
{
      protected:
	void SetUp() override
	{
		early_init(&early_);
		Connect();
		response_.status = 503;
		response_.body = "{}";
		response_.len = 2;
	}
	void TearDown() override
	{
		early_finish(&early_);
		for (int fd : fds_)
			if (fd >= 0)
				close(fd);
	}
	/* fds_[0]: the server's end of a connection; fds_[1]: the client's. */
	void Connect()
	{
		int listener = socket(AF_INET, SOCK_STREAM, 0);
		sockaddr_in sin{};
		socklen_t len = sizeof(sin);

		listen_on_loopback(listener, 1);
		getsockname(listener, (sockaddr *)&sin, &len);
		fds_[1] = socket(AF_INET, SOCK_STREAM, 0);
		ASSERT_EQ(connect(fds_[1], (sockaddr *)&sin, sizeof(sin)), 0);
		fds_[0] = accept(listener, nullptr, nullptr);
		ASSERT_GE(fds_[0], 0);
		close(listener);
	}
	early early_{};
	early_response response_{};
	int fds_[2] = {-1, -1};
};

/* Guards against a refusal that its client loses, since the connection is closed with unread data.
 */
TEST_F(EarlyTest, ResponseArrivesWhileTheClientStillSends)
{
	char text[256];

	ASSERT_EQ(send(fds_[1], "body", 4, MSG_NOSIGNAL), 4);
	ASSERT_EQ(early_reply(&early_, fds_[0], &response_, 0), 0);
	close(fds_[0]);
	fds_[0] = -1;
	early_on_sweep(&early_, 1);
	EXPECT_EQ(send(fds_[1], "more", 4, MSG_NOSIGNAL), 4);
	ssize_t n = recv(fds_[1], text, sizeof(text), MSG_WAITALL);
	ASSERT_GT(n, 0);
	EXPECT_EQ(std::string(text, (size_t)n),
		  "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
		  "Content-Length: 2\r\n\r\n{}");
}

/* Guards against a refusal that can't be sent and counts as sent. */
TEST_F(EarlyTest, ResponseThatIsNotTakenIsAnError)
{
	shutdown(fds_[0], SHUT_WR);
	EXPECT_EQ(early_reply(&early_, fds_[0], &response_, 0), BASE_ESYS);
}

} // namespace
