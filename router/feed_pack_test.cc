#include "base/zip.h"
#include "msg/feed.pb-c.h"
#include "router/feed_pack.h"

#include <gtest/gtest.h>
#include <set>
#include <string>

namespace
{

class FeedPackTest : public ::testing::Test
{
      protected:
	FeedPackTest()
	{
		ep_list_init(&list_);
		fp_init(&fp_);
	}

	~FeedPackTest() override
	{
		fp_finish(&fp_);
		ep_list_finish(&list_);
	}

	void Put(int64_t offset, const std::string &id)
	{
		std::string text = "{\"service\":\"models\",\"address\":\"10.0.0." + id +
				   ":80\",\"state\":\"ready\"}";
		ep_rec *rec = ep_rec_new(id.c_str(), 0);
		rec->service = g_strdup("models");
		rec->addr = g_strdup(("10.0.0." + id).c_str());
		rec->zone = g_strdup("a");
		rec->text = g_strdup(text.c_str());
		fp_on_record(&fp_, offset, id.c_str(), str_of(text.c_str()));
		ep_on_record(&list_, offset, id.c_str(), rec, 0);
	}

	/* Ids of what a follower would get; "-" before one that was removed. */
	std::set<std::string> Packed(bool whole, int64_t from)
	{
		fp_pack(&fp_, &list_, whole, from);
		uint8_t *text = fp_.whole_len > 0 ? zip_unpack(fp_.packed->data, fp_.packed->len,
							       fp_.whole_len)
						  : nullptr;
		size_t len = text ? fp_.whole_len : fp_.packed->len;
		Feed__Endpoints *msg =
			feed__endpoints__unpack(nullptr, len, text ? text : fp_.packed->data);
		std::set<std::string> ids;
		for (size_t i = 0; msg && i < msg->n_items; i++)
			ids.insert((msg->items[i]->text.len > 0 ? "" : "-") +
				   std::string(msg->items[i]->id));
		if (msg)
			feed__endpoints__free_unpacked(msg, nullptr);
		g_free(text);
		return ids;
	}

	ep_list list_;
	fp fp_;
};

using Ids = std::set<std::string>;

TEST_F(FeedPackTest, WhoHasWhatCameBeforeGetsRecordsOnly)
{
	for (int i = 0; i < 100; i++)
		Put(i, std::to_string(i));
	EXPECT_FALSE(fp_needs_whole(&fp_, fp_.listing, 98));
	EXPECT_EQ(Packed(false, 98), (Ids{"98", "99"}));
	fp_on_record(&fp_, 100, "7", str_make(nullptr, 0));
	ep_on_record(&list_, 100, "7", nullptr, 0);
	EXPECT_EQ(Packed(false, 99), (Ids{"99", "-7"}));
	EXPECT_EQ(Packed(true, 0).size(), 99u);
}

TEST_F(FeedPackTest, RecordsThatAreNoLongerKeptMeanTheWholeList)
{
	for (int i = 0; i < 600; i++)
		Put(i, std::to_string(i % 50));
	EXPECT_TRUE(fp_needs_whole(&fp_, fp_.listing, 10));
	EXPECT_FALSE(fp_needs_whole(&fp_, fp_.listing, 590));
	fp_on_listing(&fp_, &list_);
	EXPECT_TRUE(fp_needs_whole(&fp_, fp_.listing - 1, 600)) << "it has an older listing";
	EXPECT_FALSE(fp_needs_whole(&fp_, fp_.listing, 600));
}

/*
 * Symptom: a follower never heard of a change. Sequence: two followers ask for the same, and
 * between them an endpoint changes. Cause: the second one gets what was packed for the first.
 */
TEST_F(FeedPackTest, WhatWasPackedIsNotUsedAfterAChange)
{
	Put(1, "1");
	Put(2, "2");
	EXPECT_EQ(Packed(true, 0), (Ids{"1", "2"}));
	Put(3, "3");
	EXPECT_EQ(Packed(true, 0), (Ids{"1", "2", "3"}));
	EXPECT_EQ(Packed(false, 2), (Ids{"2", "3"}));
	EXPECT_EQ(Packed(false, 3), (Ids{"3"}));
	/* An entry that lapses is dropped without a record. */
	g_hash_table_remove(list_.entries, "1");
	fp_on_listing(&fp_, &list_);
	EXPECT_EQ(Packed(true, 0), (Ids{"2", "3"}));
}

/*
 * The load: a hundred followers ask for 3,000 engines at a start. What they want is packed once,
 * and is below a fifth of its length.
 */
TEST_F(FeedPackTest, AStartOfManyHosts)
{
	for (int i = 0; i < 3000; i++)
		Put(i, std::to_string(i));
	EXPECT_EQ(Packed(true, 0).size(), 3000u);
	EXPECT_LT(fp_.packed->len * 5, fp_.whole_len);
	uint8_t *first = fp_.packed->data;
	first[0] ^= 0xff; /* would be written anew if it were packed again */
	uint8_t changed = first[0];
	fp_pack(&fp_, &list_, true, 0);
	EXPECT_EQ(fp_.packed->data[0], changed);
}

/* Guards against whole lists for all followers where many endpoints change between two updates. */
TEST_F(FeedPackTest, AsManyRecordsAsEndpointsAreKeptForFollowers)
{
	for (int hosts : {30, 300, 984, 1968}) {
		int endpoints = 3 * hosts, place = 0;
		fp pack;

		fp_init(&pack);
		fp_set_length(&pack, endpoints);
		for (int i = 0; i < 5 * endpoints; i++)
			fp_on_record(&pack, place++, std::to_string(i % endpoints).c_str(),
				     str_of("x"));
		/* A follower that has all but what has changed since, once each. */
		EXPECT_FALSE(fp_needs_whole(&pack, pack.listing, place - endpoints)) << hosts;
		EXPECT_LE(pack.records->length, (guint)std::max(endpoints, 512)) << hosts;
		fp_finish(&pack);
	}
}

/*
 * The load: heartbeats of all endpoints between two changes. Followers get the change, and who asks
 * for the whole list gets what was packed before them.
 */
TEST_F(FeedPackTest, HeartbeatsAreNotHandedOn)
{
	for (int endpoints : {93, 915, 3001, 6002}) {
		ep_list list;
		fp pack;
		size_t told = 0;
		int64_t place = 0;

		ep_list_init(&list);
		fp_init(&pack);
		for (int beat = 0; beat < 10; beat++) {
			for (int i = 0; i < endpoints; i++) {
				std::string id = std::to_string(i);
				ep_rec *rec = ep_rec_new(id.c_str(), 0);

				rec->service = g_strdup("s");
				rec->addr = g_strdup(("a" + id).c_str());
				rec->zone = g_strdup("z");
				rec->text = g_strdup(id.c_str());
				rec->heartbeat = beat + 1;
				rec->layer_to = beat >= 5 && i == 7 ? 8 : 0;
				if (ep_on_record(&list, place, id.c_str(), rec, 0) == EP_NEWS) {
					fp_on_record(&pack, place, id.c_str(), str_of(id.c_str()));
					told++;
				}
				place++;
			}
		}
		EXPECT_EQ(told, (size_t)endpoints + 1) << endpoints;
		EXPECT_FALSE(fp_has_news(&pack, list.next));
		EXPECT_TRUE(fp_has_news(&pack, 5 * endpoints));
		fp_finish(&pack);
		ep_list_finish(&list);
	}
}

} // namespace
