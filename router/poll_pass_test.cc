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
		pp_init(&pass_);
	}
	~PollPassTest() override
	{
		pp_finish(&pass_);
	}
	void Begin(int engines)
	{
		GPtrArray *list = g_ptr_array_new_with_free_func(g_free);

		for (int i = 0; i < engines; i++)
			g_ptr_array_add(list, g_strdup_printf("e%d@0", i));
		pp_begin(&pass_, list);
		g_ptr_array_unref(list);
	}
	std::set<std::string> Take()
	{
		GPtrArray *round = pp_take(&pass_);
		std::set<std::string> taken;

		for (guint i = 0; i < round->len; i++)
			taken.insert((const char *)round->pdata[i]);
		g_ptr_array_unref(round);
		return taken;
	}
	pp pass_;
};

/* The load: each engine of 30 to 1,968 hosts, never more at once than in a second. */
TEST_F(PollPassTest, EachIsAskedOnceAPass)
{
	for (int engines : {0, 1, 33, 93, 150, 151, 900, 2910, 5820}) {
		std::set<std::string> all;
		int64_t took = 0;
		size_t asked = 0;

		Begin(engines);
		do {
			std::set<std::string> round = Take();

			EXPECT_LE(round.size(), (size_t)PP_PER_S);
			EXPECT_LE(pass_.round_us, SEC) << "the other readers hear of each round";
			asked += round.size();
			all.insert(round.begin(), round.end());
			took += pass_.round_us;
		} while (!pp_is_over(&pass_));
		EXPECT_EQ(all.size(), (size_t)engines);
		EXPECT_EQ(asked, (size_t)engines);
		EXPECT_NEAR((double)took, (double)pp_pass_us((guint)engines), 1000);
	}
}

TEST_F(PollPassTest, OneThatDidNotAnswerComesFirst)
{
	Begin(300);
	EXPECT_EQ(Take().count("e7@0"), 1U);
	pp_ask_again(&pass_, "e7@0");
	EXPECT_EQ(Take().count("e7@0"), 1U);
	while (!pp_is_over(&pass_))
		Take();
	pp_ask_again(&pass_, "e7@0");
	EXPECT_TRUE(pp_is_over(&pass_)) << "it is asked at the beginning of the next pass, too";
}

} // namespace
