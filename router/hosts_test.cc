#include "base/testing.h"

#include <arpa/inet.h>
#include <condition_variable>
#include <functional>
#include <glib.h>
#include <gtest/gtest.h>
#include <mutex>
#include <protobuf-c/protobuf-c.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

extern "C" {
#include "platform/pf_int.h"
#include "router/ctrl.h"
}

namespace
{

/* A store that answers each write with the next status that the test passes to Answer(). */
class Store
{
      public:
	Store() : listener_(socket(AF_INET, SOCK_STREAM, 0))
	{
		addr = listen_on_loopback(listener_, 4);
		thread_ = std::thread([this] { Serve(); });
	}
	~Store()
	{
		shutdown(listener_, SHUT_RDWR);
		thread_.join();
		close(listener_);
	}
	void Answer(int status)
	{
		std::lock_guard<std::mutex> lock(mutex_);
		status_ = status;
		changed_.notify_all();
	}
	/* Returns the number of writes that were received. */
	int Writes()
	{
		std::lock_guard<std::mutex> lock(mutex_);
		return writes_;
	}
	/* Returns whether the latest write has a record of the host. */
	bool LatestHas(const std::string &host)
	{
		std::lock_guard<std::mutex> lock(mutex_);
		return latest_.find(host) != std::string::npos;
	}
	std::string addr;

      private:
	void Serve()
	{
		int fd;

		while ((fd = accept(listener_, nullptr, nullptr)) >= 0) {
			while (ServeOne(fd)) {
			}
			close(fd);
		}
	}
	bool ServeOne(int fd)
	{
		std::string text;
		char buf[4096];
		size_t need = std::string::npos;

		while (text.size() < need) {
			ssize_t n = recv(fd, buf, sizeof(buf), 0);
			size_t end;

			if (n <= 0)
				return false;
			text.append(buf, (size_t)n);
			end = text.find("\r\n\r\n");
			if (end != std::string::npos)
				need = end + 4 +
				       std::stoul(text.substr(text.find("Content-Length: ") + 16));
		}
		std::unique_lock<std::mutex> lock(mutex_);
		latest_ = text;
		writes_++;
		changed_.wait(lock, [this] { return status_ > 0; });
		std::string answer =
			"HTTP/1.1 " + std::to_string(status_) + " X\r\nContent-Length: 0\r\n\r\n";
		status_ = 0;
		return send(fd, answer.data(), answer.size(), MSG_NOSIGNAL) > 0;
	}
	int listener_;
	std::thread thread_;
	std::mutex mutex_;
	std::condition_variable changed_;
	std::string latest_;
	int writes_ = 0;
	int status_ = 0;
};

/* The first reader of a system whose store lacks the hosts that are announced to it. */
class HostsTest : public ::testing::Test
{
      protected:
	HostsTest()
	{
		char empty[] = "";
		char name[] = "h0";
		char control[] = "127.0.0.1:0";

		router_.settings.name = g_strdup(name);
		router_.settings.zone = g_strdup(empty);
		router_.settings.control = g_strdup(control);
		router_.settings.control_known_as = g_strdup(empty);
		router_.settings.seeds = g_strdup(empty);
		router_.settings.source = g_strdup(empty);
		router_.settings.store = g_strdup(store_.addr.c_str());
		router_.seam = &pf_seam;
		EXPECT_EQ(loop_init(&loop_), 0);
		ctrl_ = ctrl_new(&router_, &loop_);
		ctrl_->direct = true;
		ctrl_->rank.first = true;
		for (reader_topic &topic : ctrl_->topics)
			topic.read_us = 1;
	}
	~HostsTest() override
	{
		ctrl_finish(ctrl_);
		loop_finish(&loop_);
		for (char *text :
		     {router_.settings.name, router_.settings.zone, router_.settings.control,
		      router_.settings.control_known_as, router_.settings.seeds,
		      router_.settings.source, router_.settings.store})
			g_free(text);
	}
	void Announce(const char *name)
	{
		char addr[] = "127.0.0.1:1";
		char zone[] = "z";
		const ctrl_host host = {addr, 1, zone};

		hosts_on_announced(ctrl_->host_list, name, &host);
	}
	void RunUntil(std::function<bool()> done)
	{
		runner_.RunUntil(std::move(done));
	}
	bool IsWriting() const
	{
		return g_hash_table_size(ctrl_->store_calls) > 0;
	}
	/* Runs the next write up to its arrival at the store; returns false if none is due. */
	bool Write()
	{
		int before = store_.Writes();

		hosts_on_tick(ctrl_->host_list, tmr_now() + tmr_from_ms(10000));
		if (!IsWriting())
			return false;
		RunUntil([this, before] { return store_.Writes() > before; });
		return true;
	}
	void Answer(int status)
	{
		store_.Answer(status);
		RunUntil([this] { return !IsWriting(); });
	}
	Store store_;
	loop loop_;
	LoopRunner runner_{&loop_};
	router router_{};
	ctrl *ctrl_;
};

/* A host announced during a write never came into the store: the write's end discarded it. */
TEST_F(HostsTest, HostAnnouncedDuringAWriteIsWrittenNext)
{
	Announce("h1");
	ASSERT_TRUE(Write());
	EXPECT_TRUE(store_.LatestHas("h1"));
	Announce("h2");
	Answer(200);
	ASSERT_TRUE(Write());
	EXPECT_TRUE(store_.LatestHas("h2"));
	EXPECT_FALSE(store_.LatestHas("h1"));
	Answer(200);
	EXPECT_FALSE(Write());
}

/* A write that the store refuses must not count as done. */
TEST_F(HostsTest, RefusedWriteIsRepeatedWithWhatCameMeanwhile)
{
	Announce("h1");
	ASSERT_TRUE(Write());
	Announce("h2");
	Answer(503);
	ASSERT_TRUE(Write());
	EXPECT_TRUE(store_.LatestHas("h1"));
	EXPECT_TRUE(store_.LatestHas("h2"));
	Answer(200);
	EXPECT_FALSE(Write());
}

} // namespace
