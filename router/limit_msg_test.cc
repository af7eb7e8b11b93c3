#include "base/tmr.h"
#include "router/limits.h"

#include <cmath>
#include <gtest/gtest.h>

namespace
{

const int64_t SECOND = 1000000;

limit_note Read(const Feed__Limit &from, int64_t now_us)
{
	limit_note note{};
	limit_note_read(&note, &from, now_us);
	return note;
}

TEST(LimitMsgTest, WhatIsSentIsRead)
{
	GArray *notes = limit_notes_new();
	limit_note sent{};
	sent.endpoint = g_strdup("i-1@7");
	sent.news = {true, 2.9, tmr_boot_now() - 2 * SECOND};
	sent.wanted = 3;
	sent.returned = 1;
	g_array_append_val(notes, sent);
	limit_items items;
	limit_items_init(&items, notes);
	ASSERT_EQ(items.n, 1u);
	limit_note read = Read(items.values[0], 100 * SECOND);
	EXPECT_STREQ(read.endpoint, "i-1@7");
	EXPECT_TRUE(read.news.named);
	EXPECT_DOUBLE_EQ(read.news.rate, 2.9);
	EXPECT_NEAR((double)read.news.said_us, 98.0 * SECOND, SECOND);
	EXPECT_EQ(read.wanted, 3);
	EXPECT_EQ(read.returned, 1);
	limit_items_finish(&items);
	g_array_unref(notes);
}

TEST(LimitMsgTest, WhatNobodyCanMeanIsCut)
{
	Feed__Limit item = FEED__LIMIT__INIT;
	item.endpoint = (char *)"i-1";
	item.named = true;
	for (double rate : {(double)NAN, (double)INFINITY, -1.0}) {
		item.rate = rate;
		EXPECT_EQ(Read(item, SECOND).news.rate, 0) << rate;
	}
	item.wanted = -5;
	item.permits = 1 << 30;
	EXPECT_EQ(Read(item, SECOND).wanted, 0);
	EXPECT_LE(Read(item, SECOND).permits, 100000);
}

/* A host that was booted a moment ago took no notice of limits that were named before that. */
TEST(LimitMsgTest, ALimitThatIsOlderThanTheHostHolds)
{
	Feed__Limit item = FEED__LIMIT__INIT;
	item.endpoint = (char *)"i-1";
	item.named = true;
	item.rate = 2.9;
	item.age_ms = 60000;
	const limit_note note = Read(item, 5 * SECOND);
	lim_part part{};
	EXPECT_TRUE(lim_part_hear(&part, &note.news));
	EXPECT_FALSE(lim_part_is_open(&part, 5 * SECOND));
}

} // namespace
