#include "ep/ep.h"

#include <gtest/gtest.h>
#include <string>

namespace
{

const int64_t SEC = 1000000;

class EpTest : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		ep_list_init(&list_);
	}
	void TearDown() override
	{
		ep_list_finish(&list_);
	}

	ep_rec *Rec(const char *id, ep_state state = EP_READY)
	{
		ep_rec *rec = ep_rec_new(id, born_);
		rec->service = g_strdup("s");
		rec->addr = g_strdup_printf("10.0.0.1:%d", same_addr_ ? 1 : id[0]);
		rec->zone = g_strdup("z");
		rec->state = state;
		return rec;
	}
	void Put(const char *id, int64_t now, ep_state state = EP_READY)
	{
		ep_on_record(&list_, offset_++, id, Rec(id, state), now);
	}
	void Remove(const char *id, int64_t now)
	{
		ep_on_record(&list_, offset_++, id, nullptr, now);
	}

	/* Ids in the list, those that are leaving in brackets. */
	std::string Ids()
	{
		GPtrArray *recs = ep_snapshot(&list_);
		std::string ids;
		for (guint i = 0; i < recs->len; i++) {
			const ep_rec *rec = (const ep_rec *)recs->pdata[i];
			ids += rec->state == EP_READY ? rec->id : std::string("(") + rec->id + ")";
		}
		g_ptr_array_unref(recs);
		return ids;
	}

	ep_list list_;
	int64_t offset_ = 0;
	bool same_addr_ = false;
	int64_t born_ = 0;
};

/*
 * Symptom: after a kill of all hosts in an outage of the store, 1,468 requests were refused though
 * the endpoints lived. Sequence: the entries lapse while the store is away; it comes back; hosts
 * that have just started read an empty list. Cause: what they knew died with them; it is recalled
 * from the store, for the time in which living endpoints register again.
 */
TEST_F(EpTest, WhatWasKnownBeforeAnOutageIsRecalledForAWhile)
{
	const struct {
		const char *what;
		bool away;
		int64_t at, until;
		const char *ids, *later;
	} cases[] = {
		{"in time", true, 10, 13, "abc", "b"},
		{"too late", true, 13, 14, "b", "b"},
		{"the store was not away", false, 10, 13, "b", "b"},
	};
	for (const auto &c : cases) {
		TearDown();
		SetUp();
		offset_ = 100;
		if (c.away)
			ep_on_away(&list_);
		ep_on_reached(&list_, 10 * SEC);
		ep_on_listing(&list_);
		Put("b", 10 * SEC);
		ep_on_listed(&list_, 101, 10 * SEC);
		for (const char *id : {"a", "b", "c"})
			ep_on_recalled(&list_, 50, Rec(id), c.at * SEC);
		EXPECT_EQ(Ids(), c.ids) << c.what;
		ep_on_time(&list_, c.until * SEC);
		EXPECT_EQ(Ids(), c.later) << c.what;
	}
}

TEST_F(EpTest, WhatIsRecalledGivesWayToNews)
{
	offset_ = 100;
	ep_on_away(&list_);
	ep_on_reached(&list_, 10 * SEC);
	Put("l", 10 * SEC, EP_DRAINING);
	Remove("r", 10 * SEC);
	same_addr_ = true;
	Put("n", 10 * SEC);
	EXPECT_FALSE(ep_on_recalled(&list_, 50, Rec("o"), 10 * SEC)) << "its address has another";
	same_addr_ = false;
	EXPECT_FALSE(ep_on_recalled(&list_, 50, Rec("l"), 10 * SEC)) << "it is leaving";
	EXPECT_FALSE(ep_on_recalled(&list_, 50, Rec("r"), 10 * SEC)) << "it was removed since";
	EXPECT_FALSE(ep_on_recalled(&list_, 50, Rec("d", EP_DRAINING), 10 * SEC));
	EXPECT_TRUE(ep_on_recalled(&list_, 50, Rec("a"), 10 * SEC));
	Put("a", 11 * SEC);
	ep_on_time(&list_, 13 * SEC);
	EXPECT_EQ(Ids(), "a(l)n") << "it has registered again";
}

/* A first listing, and one after an outage, may lack endpoints for two seconds. */
TEST_F(EpTest, WhenAListIsWhole)
{
	EXPECT_LT(ep_whole_us(&list_), 2 * SEC) << "nothing was read";
	ep_on_listing(&list_);
	ep_on_listed(&list_, 0, 10 * SEC);
	EXPECT_EQ(ep_whole_us(&list_), 12 * SEC);
	ep_on_listing(&list_);
	ep_on_listed(&list_, 0, 20 * SEC);
	EXPECT_EQ(ep_whole_us(&list_), 12 * SEC) << "the store was well all the while";
	ep_on_away(&list_);
	ep_on_reached(&list_, 30 * SEC);
	EXPECT_EQ(ep_whole_us(&list_), 32 * SEC);
}

TEST_F(EpTest, FollowsRecords)
{
	Put("a", SEC);
	Put("b", SEC);
	EXPECT_EQ(Ids(), "ab");
	Put("a", SEC, EP_DRAINING);
	EXPECT_EQ(Ids(), "(a)b");
	Remove("a", SEC);
	EXPECT_EQ(Ids(), "b");
	EXPECT_EQ(list_.next, offset_);
}

TEST_F(EpTest, OlderRecordChangesNothing)
{
	ep_on_record(&list_, 7, "a", Rec("a", EP_READY), SEC);
	ep_on_record(&list_, 3, "a", nullptr, SEC);
	EXPECT_EQ(Ids(), "a");
}

/*
 * Symptom: a request reached an endpoint after it had left.
 * Sequence: the endpoint says it is leaving; the store forgets its history, and its listing, read
 * from a copy that is behind, shows the endpoint as ready.
 * Cause: leaving was taken back.
 */
TEST_F(EpTest, LeavingIsNeverTakenBack)
{
	Put("a", SEC, EP_DRAINING);
	Put("a", 2 * SEC, EP_READY);
	EXPECT_EQ(Ids(), "(a)");
}

/* Guards against an entry, whenever it was written, that undoes what an endpoint has said itself.
 */
TEST_F(EpTest, WhatAnEndpointSaysOfItsLeavingHolds)
{
	const char *const a = "a@7";
	born_ = 7;
	Put("a", SEC);
	Put("b", SEC);
	guint before = list_.version;
	EXPECT_TRUE(ep_on_leaving(&list_, a, SEC));
	EXPECT_EQ(Ids(), "(a)b");
	EXPECT_GT(list_.version, before);
	EXPECT_TRUE(list_.changed);
	EXPECT_FALSE(ep_on_leaving(&list_, a, SEC)) << "it is known";
	Put("a", 2 * SEC);
	EXPECT_EQ(Ids(), "(a)b") << "a heartbeat";
	ep_on_listing(&list_);
	Put("a", 3 * SEC);
	Put("b", 3 * SEC);
	ep_on_listed(&list_, offset_, 3 * SEC);
	EXPECT_EQ(Ids(), "(a)b") << "the list was read anew";
	Remove("a", 4 * SEC);
	Put("a", 4 * SEC);
	EXPECT_EQ(Ids(), "(a)b") << "an entry written anew";
	born_ = 8;
	Put("a", 5 * SEC);
	EXPECT_EQ(Ids(), "ab") << "its next start";
	EXPECT_FALSE(ep_on_leaving(&list_, "a@6", SEC)) << "of a start before";
	EXPECT_EQ(Ids(), "ab");
}

/* Guards against an endpoint that another host knows to leave, and that is used once it is listed.
 */
TEST_F(EpTest, LeavingMayBeHeardBeforeTheEntry)
{
	born_ = 7;
	EXPECT_TRUE(ep_on_leaving(&list_, "a@7", SEC));
	EXPECT_EQ(Ids(), "");
	Put("a", SEC);
	EXPECT_EQ(Ids(), "(a)");
	EXPECT_TRUE(ep_on_leaving(&list_, "no-start", SEC));
	EXPECT_EQ(Ids(), "(a)");
}

/*
 * Symptom: one host sent requests to an endpoint that was gone, for good.
 * Sequence: a host hears of records from the store and from another host; the removal of an entry
 * comes by one way, and after it an older record of the entry by the other. Cause: the older record
 * put the entry back.
 */
TEST_F(EpTest, AnOlderRecordDoesNotUndoARemoval)
{
	ep_on_record(&list_, 5, "a", Rec("a"), SEC);
	ep_on_record(&list_, 7, "a", nullptr, SEC);
	ep_on_record(&list_, 5, "a", Rec("a"), SEC);
	ep_on_record(&list_, 6, "a", Rec("a"), SEC);
	EXPECT_EQ(Ids(), "");
	ep_on_record(&list_, 8, "a", Rec("a"), SEC);
	EXPECT_EQ(Ids(), "a") << "it has registered again";
}

/*
 * Symptom: the same, with an entry whose removal never came.
 * Sequence: an endpoint crashes and starts anew at its address, under a new id.
 * Cause: both entries stood for the address.
 */
TEST_F(EpTest, ANewEndpointAtAnAddressReplacesTheOldOne)
{
	ep_rec *other = Rec("c");
	same_addr_ = true;
	ep_on_record(&list_, 4, "a", Rec("a"), SEC);
	ep_on_record(&list_, 5, "c", other, SEC);
	ep_on_record(&list_, 6, "b", Rec("b"), SEC);
	EXPECT_EQ(Ids(), "bc");
	ep_on_record(&list_, 4, "a", Rec("a"), SEC);
	EXPECT_EQ(Ids(), "bc") << "the older entry does not come back";
}

TEST_F(EpTest, ListingRemovesWhatItDoesNotName)
{
	Put("a", SEC);
	Put("b", SEC);
	ep_on_listing(&list_);
	ep_on_record(&list_, 1, "b", Rec("b"), SEC);
	ep_on_listed(&list_, 9, SEC);
	EXPECT_EQ(Ids(), "b");
	EXPECT_EQ(list_.next, 9);
}

/*
 * Symptom: all endpoints were gone for a second or two after an outage of the store.
 * Sequence: heartbeats are not taken during the outage, the entries expire, the store returns.
 * Cause: expiry during an outage was taken for the endpoints' end.
 */
TEST_F(EpTest, EntriesThatLapsedInAnOutageAreKeptUntilTheyCouldComeBack)
{
	Put("a", SEC);
	Put("b", SEC);
	ep_on_away(&list_);
	ep_on_reached(&list_, 10 * SEC);
	Remove("a", 10 * SEC);
	Remove("b", 10 * SEC);
	EXPECT_EQ(Ids(), "ab");
	Put("a", 11 * SEC);
	ep_on_time(&list_, 12 * SEC - 1);
	EXPECT_EQ(Ids(), "ab");
	ep_on_time(&list_, 12 * SEC);
	EXPECT_EQ(Ids(), "a");
}

/*
 * Symptom: a request reached an endpoint 2.4 s after it had left.
 * Sequence: the store turns this host away, then serves it again; 3 s later an endpoint leaves
 * without a word, so its entry is removed.
 * Cause: for 6 s after any failure, removed entries were kept for 2 s more each.
 */
TEST_F(EpTest, RemovalLongAfterTheReturnCountsAtOnce)
{
	Put("a", SEC);
	ep_on_away(&list_);
	ep_on_reached(&list_, 10 * SEC);
	Remove("a", 13 * SEC);
	EXPECT_EQ(Ids(), "");
}

TEST_F(EpTest, LeavingEndpointIsGoneAtOnceAlsoAfterAnOutage)
{
	Put("a", SEC, EP_DRAINING);
	ep_on_away(&list_);
	ep_on_reached(&list_, 10 * SEC);
	Remove("a", 10 * SEC);
	EXPECT_EQ(Ids(), "");
}

/*
 * Symptom: requests went through layers that nobody held, or an endpoint was passed over for good.
 * Sequence: an endpoint crashes, or leaves, and starts again under the id that it had.
 * Cause: what the list knew of the id was taken to hold for its new incarnation, too.
 */
TEST_F(EpTest, AnEndpointThatStartsAgainIsAnotherOne)
{
	born_ = 100;
	Put("a", 0);
	Put("b", 0, EP_DRAINING);
	EXPECT_EQ(Ids(), "a(b)");
	born_ = 200;
	Put("a", SEC);
	Put("b", SEC);
	EXPECT_EQ(Ids(), "ab") << "the new incarnation is not leaving";
	GPtrArray *recs = ep_snapshot(&list_);
	EXPECT_STREQ(((const ep_rec *)recs->pdata[0])->incarnation, "a@200");
	g_ptr_array_unref(recs);
	born_ = 100;
	Put("a", 2 * SEC, EP_DRAINING);
	EXPECT_EQ(Ids(), "ab") << "a heartbeat of before the restart, written late";
	Remove("a", 3 * SEC);
	Put("a", 4 * SEC);
	EXPECT_EQ(Ids(), "b") << "the same, after the new one has gone, too";
	born_ = 200;
	Put("a", 5 * SEC);
	EXPECT_EQ(Ids(), "ab") << "an entry that lapsed is back";
	born_ = 300;
	Put("b", 6 * SEC, EP_DRAINING);
	Put("b", 7 * SEC);
	EXPECT_EQ(Ids(), "a(b)") << "leaving is not taken back within an incarnation";
}

/* An outage of the store keeps a lapsed entry, but not against its own new incarnation. */
TEST_F(EpTest, ARestartInAnOutageReplacesTheLapsedEntry)
{
	born_ = 100;
	Put("a", 0);
	ep_on_away(&list_);
	Remove("a", SEC);
	EXPECT_EQ(Ids(), "a");
	ep_on_reached(&list_, 2 * SEC);
	born_ = 200;
	Put("a", 3 * SEC);
	ep_on_time(&list_, 10 * SEC);
	GPtrArray *recs = ep_snapshot(&list_);
	ASSERT_EQ(recs->len, 1u);
	EXPECT_EQ(((const ep_rec *)recs->pdata[0])->born_ms, 200);
	g_ptr_array_unref(recs);
}

/*
 * Symptom: the memory of a host grew for as long as it ran.
 * Sequence: endpoints are replaced, hundreds a day. Cause: what is remembered of those that are
 * gone was never dropped.
 */
TEST_F(EpTest, WhatIsRememberedOfTheGoneIsBounded)
{
	int64_t now = SEC;
	for (int i = 0; i < 20000; i++) {
		std::string id = "i-" + std::to_string(i);
		ep_rec *rec = ep_rec_new(id.c_str(), 0);
		rec->service = g_strdup("s");
		rec->zone = g_strdup("z");
		rec->addr = g_strdup((id + ":80").c_str());
		rec->state = i % 2 ? EP_DRAINING : EP_READY;
		ep_on_record(&list_, 2 * i, id.c_str(), rec, now);
		if (i != 7) /* it stays, and stays known as leaving */
			ep_on_record(&list_, 2 * i + 1, id.c_str(), nullptr, now);
		now += SEC;
		ep_on_time(&list_, now);
	}
	EXPECT_LE(g_hash_table_size(list_.removals), 1100u);
	EXPECT_LE(g_hash_table_size(list_.departures), 1100u);
	EXPECT_LE(g_hash_table_size(list_.addr_owners), 1100u);
	EXPECT_TRUE(g_hash_table_contains(list_.departures, "i-7"));
}

} // namespace
