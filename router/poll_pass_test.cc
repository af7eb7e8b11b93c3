#include "router/poll_pass.h"

#include <gtest/gtest.h>
#include <set>
#include <string>

namespace
{

const int64_t SEC = 1000000;

class PollPassTest : public ::testing::Test
{
      protected:
	PollPassTest()
	{
		pass_init(&pass_);
	}
	~PollPassTest() override
	{
		pass_finish(&pass_);
	}
	void Begin(int engines)
	{
		GPtrArray *list = g_ptr_array_new_with_free_func(g_free);

		for (int i = 0; i < engines; i++)
			g_ptr_array_add(list, g_strdup_printf("e%d@0", i));
		pass_begin(&pass_, list);
		g_ptr_array_unref(list);
	}
	std::set<std::string> NextRound()
	{
		GPtrArray *round = pass_next_round(&pass_);
		std::set<std::string> polled_loads;

		for (guint i = 0; i < round->len; i++)
			polled_loads.insert((const char *)round->pdata[i]);
		g_ptr_array_unref(round);
		return polled_loads;
	}
	pass pass_;
};

/* The engines of 30 to 1,968 hosts; no round has more engines than may be polled in a second. */
TEST_F(PollPassTest, EachEngineIsPolledOncePerPass)
{
	for (int engines : {0, 1, 33, 93, 150, 151, 900, 2910, 5820}) {
		std::set<std::string> all;
		int64_t took = 0;
		size_t asked = 0;

		Begin(engines);
		do {
			std::set<std::string> round = NextRound();

			EXPECT_LE(round.size(), (size_t)PASS_REPORTS_PER_S);
			EXPECT_LE(pass_.round_us, SEC) << "the other readers receive each round";
			asked += round.size();
			all.insert(round.begin(), round.end());
			took += pass_.round_us;
		} while (!pass_is_over(&pass_));
		EXPECT_EQ(all.size(), (size_t)engines);
		EXPECT_EQ(asked, (size_t)engines);
		EXPECT_NEAR((double)took, (double)pass_duration_us((guint)engines), 1000);
	}
}

TEST_F(PollPassTest, AnEngineThatDidNotAnswerIsPolledFirst)
{
	Begin(300);
	EXPECT_EQ(NextRound().count("e7@0"), 1U);
	pass_retry(&pass_, "e7@0");
	EXPECT_EQ(NextRound().count("e7@0"), 1U);
	while (!pass_is_over(&pass_))
		NextRound();
	pass_retry(&pass_, "e7@0");
	EXPECT_TRUE(pass_is_over(&pass_)) << "it is asked at the beginning of the next pass, too";
}

} // namespace
