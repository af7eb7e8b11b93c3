#include "reach/reach.h"

#include <gtest/gtest.h>

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t T = 100000 * MS; /* any time */

class ReachTest : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		reach_init(&reach_);
	}
	void TearDown() override
	{
		reach_finish(&reach_);
	}

	reach reach_{};
};

/* Guards against a host that takes the loss of its own connections for faults of endpoints. */
TEST_F(ReachTest, SeveralFailuresWithoutAnAnswerPutTheHostInDoubt)
{
	reach_on_answer(&reach_, "a:1", T);
	reach_on_failure(&reach_, "a:1", T + 1 * MS, T + 2 * MS);
	EXPECT_FALSE(reach_is_alone(&reach_));
	reach_on_failure(&reach_, "b:1", T + 2 * MS, T + 3 * MS);
	EXPECT_TRUE(reach_is_alone(&reach_));
}

/* Guards against a host that doubts itself while other endpoints answer it. */
TEST_F(ReachTest, AnAnswerMeanwhileShowsThatTheEndpointsAreAtFault)
{
	reach_on_failure(&reach_, "a:1", T, T + 1 * MS);
	reach_on_answer(&reach_, "c:1", T + 1 * MS);
	reach_on_failure(&reach_, "b:1", T + 2 * MS, T + 3 * MS);
	EXPECT_FALSE(reach_is_alone(&reach_));
}

/* Guards against old connections that still work being taken for proof that new ones do. */
TEST_F(ReachTest, AnAnswerToACallThatBeganBeforeProvesNothing)
{
	reach_on_failure(&reach_, "a:1", T, T + 1 * MS);
	reach_on_failure(&reach_, "b:1", T, T + 1 * MS);
	reach_on_answer(&reach_, "c:1", T - 50 * MS);
	reach_on_answer(&reach_, "a:1", T - 50 * MS);
	EXPECT_TRUE(reach_is_alone(&reach_));
}

/* Guards against a doubt that outlasts its cause while nothing is called. */
TEST_F(ReachTest, FailuresAreForgottenAfterSomeSeconds)
{
	reach_on_failure(&reach_, "a:1", T, T + 1 * MS);
	reach_on_failure(&reach_, "b:1", T, T + 1 * MS);
	reach_expire(&reach_, T + 2000 * MS);
	EXPECT_TRUE(reach_is_alone(&reach_));
	reach_expire(&reach_, T + 3100 * MS);
	EXPECT_FALSE(reach_is_alone(&reach_));
}

} // namespace
