#include "base/jl.h"
#include "base/met.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <jansson.h>
#include <string>
#include <unistd.h>

namespace
{

/* Replaces standard output by a pipe while a test runs. */
class JlTest : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		fflush(stdout);
		saved_ = dup(STDOUT_FILENO);
		ASSERT_EQ(pipe(pipe_), 0);
		dup2(pipe_[1], STDOUT_FILENO);
		jl_open("h1");
		jl_set_rate(1000000);
	}
	void TearDown() override
	{
		if (saved_ >= 0)
			Restore();
		close(pipe_[0]);
		close(pipe_[1]);
	}
	void Restore()
	{
		dup2(saved_, STDOUT_FILENO);
		close(saved_);
		saved_ = -1;
	}
	std::string Read()
	{
		char buf[1 << 17];
		fcntl(pipe_[0], F_SETFL, O_NONBLOCK);
		ssize_t n = read(pipe_[0], buf, sizeof(buf));
		return n > 0 ? std::string(buf, (size_t)n) : "";
	}
	int saved_ = -1;
	int pipe_[2];
};

void WriteLine(const char *text = "x", jl_level level = JL_INFO)
{
	jl_begin(level, "event");
	jl_str("text", text);
	jl_int("n", 5);
	jl_end();
}

TEST_F(JlTest, EachLineIsOneJsonObjectForAnyValue)
{
	const std::string huge(10000, 'y');
	for (const char *text :
	     {"plain", "quote\" back\\ line\nend\r", "\x01\x7f\xff", huge.c_str()}) {
		WriteLine(text);
		std::string line = Read();
		ASSERT_FALSE(line.empty());
		EXPECT_EQ(line.find('\n'), line.size() - 1);
		json_t *json = json_loads(line.c_str(), 0, nullptr);
		EXPECT_NE(json, nullptr) << line;
		EXPECT_STREQ(json_string_value(json_object_get(json, "event")), "event");
		EXPECT_EQ(json_integer_value(json_object_get(json, "n")), 5);
		json_decref(json);
	}
}

/* Guards against lines that are no JSON, and lack the cause, since the id of a request is long. */
TEST_F(JlTest, FieldsAfterLongValuesAreKept)
{
	const std::string plain(12000, 'y'), escaped(12000, '\x80');
	for (const auto &id : {plain, escaped}) {
		jl_begin(JL_UNLIMITED, "ended");
		jl_str("id", id.c_str());
		jl_str("account", id.c_str());
		jl_str("cause", "broken");
		jl_int("status", 502);
		jl_end();
		std::string line = Read();
		json_t *json = json_loads(line.c_str(), 0, nullptr);
		EXPECT_NE(json, nullptr) << line;
		EXPECT_STREQ(json_string_value(json_object_get(json, "cause")), "broken");
		EXPECT_EQ(json_integer_value(json_object_get(json, "status")), 502);
		json_decref(json);
	}
}

/* Guards against lines that are no JSON since they have more fields than fit. */
TEST_F(JlTest, FieldThatDoesNotFitIsLeftOutWhole)
{
	const std::string text(400, 'z');
	for (int extra = 0; extra < 40; extra++) {
		jl_begin(JL_UNLIMITED, "event");
		jl_str("pad", std::string((size_t)extra, 'p').c_str());
		for (int i = 0; i < 10; i++)
			jl_str("text", text.c_str());
		jl_int("number", 123456789);
		jl_hex("digest", 1);
		jl_real("real", 1.5);
		jl_end();
		std::string line = Read();
		json_t *json = json_loads(line.c_str(), 0, nullptr);
		EXPECT_NE(json, nullptr) << line;
		EXPECT_EQ(line.find('\n'), line.size() - 1);
		json_decref(json);
	}
}

/*
 * Failure: a host stopped serving because no process read its log.
 * Cause: standard output was a pipe that was full, and write() blocked until a process read from
 * it.
 */
TEST_F(JlTest, FullPipeDropsLinesWithoutBlocking)
{
	uint64_t before = met_get(met_counter("bg_log_left_out_total", ""));
	for (int i = 0; i < 5000; i++)
		WriteLine("some text of a line", JL_UNLIMITED);
	EXPECT_GT(met_get(met_counter("bg_log_left_out_total", "")), before);
	while (!Read().empty())
		;
	WriteLine("after", JL_UNLIMITED);
	EXPECT_NE(Read().find("left_out"), std::string::npos);
}

TEST_F(JlTest, LinesAboveRateLimitAreDroppedUnlessExempt)
{
	jl_set_rate(0);
	WriteLine("ordinary");
	EXPECT_EQ(Read(), "");
	WriteLine("bad ending", JL_UNLIMITED);
	EXPECT_NE(Read().find("bad ending"), std::string::npos);
}

} // namespace
