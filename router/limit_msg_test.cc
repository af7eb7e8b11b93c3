#include "base/tmr.h"
#include "router/limits.h"

#include <cmath>
#include <gtest/gtest.h>

namespace
{

const int64_t SECOND = 1000000;

limit_update Unpack(const Feed__Limit &from, int64_t now_us)
{
	limit_update update{};
	limit_update_unpack(&update, &from, now_us);
	return update;
}

TEST(LimitMsgTest, RoundTrip)
{
	GArray *updates = limit_updates_new();
	limit_update packed{};
	packed.endpoint = g_strdup("i-1@7");
	packed.limit = {true, 2.9, tmr_boot_now() - 2 * SECOND};
	packed.wanted = 3;
	packed.returned = 1;
	g_array_append_val(updates, packed);
	limit_items items;
	limit_items_init(&items, updates);
	ASSERT_EQ(items.n, 1u);
	limit_update unpacked = Unpack(items.values[0], 100 * SECOND);
	EXPECT_STREQ(unpacked.endpoint, "i-1@7");
	EXPECT_TRUE(unpacked.limit.named);
	EXPECT_DOUBLE_EQ(unpacked.limit.rate, 2.9);
	EXPECT_NEAR((double)unpacked.limit.stated_us, 98.0 * SECOND, SECOND);
	EXPECT_EQ(unpacked.wanted, 3);
	EXPECT_EQ(unpacked.returned, 1);
	limit_items_finish(&items);
	g_array_unref(updates);
}

TEST(LimitMsgTest, ClampsValuesOutOfRange)
{
	Feed__Limit item = FEED__LIMIT__INIT;
	item.endpoint = (char *)"i-1";
	item.named = true;
	for (double rate : {(double)NAN, (double)INFINITY, -1.0}) {
		item.rate = rate;
		EXPECT_EQ(Unpack(item, SECOND).limit.rate, 0) << rate;
	}
	item.wanted = -5;
	item.permits = 1 << 30;
	EXPECT_EQ(Unpack(item, SECOND).wanted, 0);
	EXPECT_LE(Unpack(item, SECOND).permits, 100000);
}

/* Limits announced before the host booted got a negative time and were ignored by that host. */
TEST(LimitMsgTest, AcceptsLimitOlderThanBoot)
{
	Feed__Limit item = FEED__LIMIT__INIT;
	item.endpoint = (char *)"i-1";
	item.named = true;
	item.rate = 2.9;
	item.age_ms = 60000;
	const limit_update update = Unpack(item, 5 * SECOND);
	lim_permits part{};
	EXPECT_TRUE(lim_permits_update_limit(&part, &update.limit));
	EXPECT_FALSE(lim_permits_may_send(&part, 5 * SECOND));
}

} // namespace
