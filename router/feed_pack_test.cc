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
		fpack_init(&pack_);
	}

	~FeedPackTest() override
	{
		fpack_finish(&pack_);
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
		fpack_add_record(&pack_, offset, id.c_str(), str_from_cstr(text.c_str()));
		ep_on_record(&list_, offset, id.c_str(), rec, 0);
	}

	/* Returns the ids of the items that a follower would get, with "-" before a removed one. */
	std::set<std::string> Packed(bool whole, int64_t from)
	{
		fpack_serialize(&pack_, &list_, whole, from);
		uint8_t *text = pack_.whole_len > 0 ? zip_unpack(pack_.packed->data,
								 pack_.packed->len, pack_.whole_len)
						    : nullptr;
		size_t len = text ? pack_.whole_len : pack_.packed->len;
		Feed__Endpoints *msg =
			feed__endpoints__unpack(nullptr, len, text ? text : pack_.packed->data);
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
	fpack pack_;
};

using Ids = std::set<std::string>;

TEST_F(FeedPackTest, FollowerWithPreviousRecordsGetsOnlyNewRecords)
{
	for (int i = 0; i < 100; i++)
		Put(i, std::to_string(i));
	EXPECT_FALSE(fpack_needs_full_list(&pack_, pack_.listing, 98));
	EXPECT_EQ(Packed(false, 98), (Ids{"98", "99"}));
	fpack_add_record(&pack_, 100, "7", str_make(nullptr, 0));
	ep_on_record(&list_, 100, "7", nullptr, 0);
	EXPECT_EQ(Packed(false, 99), (Ids{"99", "-7"}));
	EXPECT_EQ(Packed(true, 0).size(), 99u);
}

TEST_F(FeedPackTest, FollowerThatLacksDiscardedRecordsNeedsFullList)
{
	for (int i = 0; i < 600; i++)
		Put(i, std::to_string(i % 50));
	EXPECT_TRUE(fpack_needs_full_list(&pack_, pack_.listing, 10));
	EXPECT_FALSE(fpack_needs_full_list(&pack_, pack_.listing, 590));
	fpack_on_list_replaced(&pack_, &list_);
	EXPECT_TRUE(fpack_needs_full_list(&pack_, pack_.listing - 1, 600))
		<< "it has an older listing";
	EXPECT_FALSE(fpack_needs_full_list(&pack_, pack_.listing, 600));
}

/*
 * Guards against a follower that misses a change of an endpoint. Two followers request the same
 * data, and the endpoint changes in between; the second one got the message cached for the first.
 */
TEST_F(FeedPackTest, CachedMessageIsNotUsedAfterAChange)
{
	Put(1, "1");
	Put(2, "2");
	EXPECT_EQ(Packed(true, 0), (Ids{"1", "2"}));
	Put(3, "3");
	EXPECT_EQ(Packed(true, 0), (Ids{"1", "2", "3"}));
	EXPECT_EQ(Packed(false, 2), (Ids{"2", "3"}));
	EXPECT_EQ(Packed(false, 3), (Ids{"3"}));
	/* An expired entry is removed without a record. */
	g_hash_table_remove(list_.entries, "1");
	fpack_on_list_replaced(&pack_, &list_);
	EXPECT_EQ(Packed(true, 0), (Ids{"2", "3"}));
}

/*
 * A hundred followers request the list of 3,000 engines at a start. The list must be serialized
 * only once, and be deflated to less than a fifth of its length.
 */
TEST_F(FeedPackTest, FullListIsSerializedOnceForManyFollowers)
{
	for (int i = 0; i < 3000; i++)
		Put(i, std::to_string(i));
	EXPECT_EQ(Packed(true, 0).size(), 3000u);
	EXPECT_LT(pack_.packed->len * 5, pack_.whole_len);
	uint8_t *first = pack_.packed->data;
	first[0] ^= 0xff; /* Would be overwritten if the list were serialized again */
	uint8_t changed = first[0];
	fpack_serialize(&pack_, &list_, true, 0);
	EXPECT_EQ(pack_.packed->data[0], changed);
}

/* Guards against full lists for all followers when many endpoints change between two updates. */
TEST_F(FeedPackTest, AsManyRecordsAsEndpointsAreKept)
{
	for (int hosts : {30, 300, 984, 1968}) {
		int endpoints = 3 * hosts, place = 0;
		fpack pack;

		fpack_init(&pack);
		fpack_set_max_records(&pack, endpoints);
		for (int i = 0; i < 5 * endpoints; i++)
			fpack_add_record(&pack, place++, std::to_string(i % endpoints).c_str(),
					 str_from_cstr("x"));
		/* The follower lacks one record of each endpoint. */
		EXPECT_FALSE(fpack_needs_full_list(&pack, pack.listing, place - endpoints))
			<< hosts;
		EXPECT_LE(pack.records->length, (guint)std::max(endpoints, 512)) << hosts;
		fpack_finish(&pack);
	}
}

/*
 * All endpoints send ten heartbeats, and the entry of one endpoint changes once. Only the first
 * record of each endpoint and that change must be queued for followers.
 */
TEST_F(FeedPackTest, HeartbeatsAreNotQueuedForFollowers)
{
	for (int endpoints : {93, 915, 3001, 6002}) {
		ep_list list;
		fpack pack;
		size_t queued = 0;
		int64_t place = 0;

		ep_list_init(&list);
		fpack_init(&pack);
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
				if (ep_on_record(&list, place, id.c_str(), rec, 0) == EP_CHANGED) {
					fpack_add_record(&pack, place, id.c_str(),
							 str_from_cstr(id.c_str()));
					queued++;
				}
				place++;
			}
		}
		EXPECT_EQ(queued, (size_t)endpoints + 1) << endpoints;
		EXPECT_FALSE(fpack_has_records(&pack, list.next));
		EXPECT_TRUE(fpack_has_records(&pack, 5 * endpoints));
		fpack_finish(&pack);
		ep_list_finish(&list);
	}
}

} // namespace
