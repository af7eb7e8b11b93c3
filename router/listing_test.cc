#include "router/listing.h"

#include <gtest/gtest.h>
#include <string>

namespace
{

const int64_t MS = 1000;

TEST(ListingTest, AFewDoNotWait)
{
	EXPECT_EQ(ls_wait_us("host-1", 0, LS_LOOK_MS * MS), 0);
	EXPECT_EQ(ls_wait_us("host-1", LS_FEW_HOSTS - 1, LS_LOOK_MS * MS), 0);
	EXPECT_EQ(ls_wait_us("host-1", 100, LS_SPREAD_MS * MS), 0);
	EXPECT_LT(ls_wait_us("host-1", 100, 0), LS_SPREAD_MS * MS);
	EXPECT_EQ(ls_wait_us("host-1", 100, 0), ls_wait_us("host-1", 0, 0));
}

/*
 * The load: all hosts start together, look at the list after 0.7 s, and those that have found ten
 * others are told of a second later. The store takes an entry in 2 ms.
 */
TEST(ListingTest, AStartOfManyHostsDoesNotQueueAtTheStore)
{
	for (int hosts : {7, 30, 300, 984, 1968}) {
		int written = 0, at_the_look = 0, before_told = 0;

		for (int i = 0; i < hosts; i++) {
			int64_t at = ls_wait_us(("host-" + std::to_string(i)).c_str(), 0, 0);

			at_the_look += at < 700 * MS;
			before_told += at < 1700 * MS;
		}
		written = at_the_look < LS_FEW_HOSTS ? hosts : before_told;
		/* Entries that wait at the look, and in all. */
		EXPECT_LT(at_the_look * 2, 700) << hosts;
		EXPECT_LE(written, hosts < 100 ? hosts : hosts * 2 / 5) << hosts;
	}
}

} // namespace
