#include "share/share.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <string>

namespace
{

const int64_t MS = 1000;

class ShareTest : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		sh_init(&sh_);
	}
	void TearDown() override
	{
		sh_finish(&sh_);
	}
	int Charge(const std::string &account, int64_t now, int64_t priority = 1)
	{
		return sh_charge(&sh_, account.c_str(), 800, priority, now);
	}
	sh sh_;
};

TEST_F(ShareTest, EqualAccountsAreEquallyUrgent)
{
	for (int i = 0; i < 500; i++)
		EXPECT_EQ(Charge("a" + std::to_string(i % 10), i * 20 * MS), 4) << i;
}

/*
 * Ten accounts send two requests a second each; another one sends thirty times that rate for 20 s.
 * Only the flooding account must get a lower urgency, and it must recover after the flood.
 */
TEST_F(ShareTest, AFloodLowersOnlyTheUrgencyOfItsAccount)
{
	int flood = 0, others = 0;
	int64_t now = 0;
	for (int i = 0; i < 400; i++, now += 50 * MS) {
		others = std::max(others, Charge("a" + std::to_string(i % 10), now));
		for (int k = 0; k < 3; k++)
			flood = Charge("flood", now);
	}
	EXPECT_EQ(others, 4);
	EXPECT_EQ(flood, 8);
	for (int i = 0; i < 1200; i++, now += 50 * MS)
		Charge("a" + std::to_string(i % 10), now);
	EXPECT_EQ(Charge("flood", now), 4);
}

TEST_F(ShareTest, UrgencyFollowsThePriority)
{
	EXPECT_EQ(Charge("a", 0, 0), 3);
	EXPECT_EQ(Charge("b", 0, 1), 4);
	EXPECT_EQ(Charge("c", 0, 7), 5);
}

TEST_F(ShareTest, ASingleAccountKeepsItsUrgency)
{
	for (int i = 0; i < 300; i++)
		EXPECT_EQ(Charge("a", i * 20 * MS), 4);
}

} // namespace
