#include "ep/ep.h"

#include <cstring>
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

	/* Ids in the list in order; those of draining endpoints are in brackets. */
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
 * Symptom: after all hosts were killed during an outage of the store, 1,468 requests were refused
 * although the endpoints were running. Sequence: the entries expire during the outage; the store
 * comes back; restarted hosts read an empty list. Cause: the killed hosts' lists were lost. They
 * are now recalled from the store for the time in which running endpoints register again.
 */
TEST_F(EpTest, EntriesFromBeforeAnOutageAreRecalledForTwoSeconds)
{
	const struct {
		const char *what;
		bool away;
		int64_t at, until;
		const char *ids, *later;
	} cases[] = {
		{"in time", true, 10, 13, "abc", "b"},
		{"too late", true, 13, 14, "b", "b"},
		{"the store had no outage", false, 10, 13, "b", "b"},
	};
	for (const auto &c : cases) {
		TearDown();
		SetUp();
		offset_ = 100;
		if (c.away)
			ep_on_store_failure(&list_, SEC);
		ep_on_store_success(&list_, 10 * SEC);
		ep_begin_listing(&list_);
		Put("b", 10 * SEC);
		ep_end_listing(&list_, 101, 10 * SEC);
		for (const char *id : {"a", "b", "c"})
			ep_add_recalled(&list_, 50, Rec(id), c.at * SEC);
		EXPECT_EQ(Ids(), c.ids) << c.what;
		ep_drop_expired(&list_, c.until * SEC);
		EXPECT_EQ(Ids(), c.later) << c.what;
	}
}

TEST_F(EpTest, ARecalledEntryDoesNotReplaceANewerRecord)
{
	offset_ = 100;
	ep_on_store_failure(&list_, SEC);
	ep_on_store_success(&list_, 10 * SEC);
	Put("l", 10 * SEC, EP_DRAINING);
	Remove("r", 10 * SEC);
	same_addr_ = true;
	Put("n", 10 * SEC);
	EXPECT_FALSE(ep_add_recalled(&list_, 50, Rec("o"), 10 * SEC))
		<< "another endpoint is at its address";
	same_addr_ = false;
	EXPECT_FALSE(ep_add_recalled(&list_, 50, Rec("l"), 10 * SEC)) << "it is leaving";
	EXPECT_FALSE(ep_add_recalled(&list_, 50, Rec("r"), 10 * SEC)) << "it was removed since";
	EXPECT_FALSE(ep_add_recalled(&list_, 50, Rec("d", EP_DRAINING), 10 * SEC));
	EXPECT_TRUE(ep_add_recalled(&list_, 50, Rec("a"), 10 * SEC));
	Put("a", 11 * SEC);
	ep_drop_expired(&list_, 13 * SEC);
	EXPECT_EQ(Ids(), "a(l)n") << "it has registered again";
}

/* Running endpoints may be missing for two seconds after the first listing and after an outage. */
TEST_F(EpTest, AListIsCompleteTwoSecondsAfterTheFirstListingOrAnOutage)
{
	EXPECT_LT(ep_complete_us(&list_), 2 * SEC) << "there was no listing";
	ep_begin_listing(&list_);
	ep_end_listing(&list_, 0, 10 * SEC);
	EXPECT_EQ(ep_complete_us(&list_), 12 * SEC);
	ep_begin_listing(&list_);
	ep_end_listing(&list_, 0, 20 * SEC);
	EXPECT_EQ(ep_complete_us(&list_), 12 * SEC) << "the store had no outage";
	ep_on_store_failure(&list_, SEC);
	ep_on_store_success(&list_, 30 * SEC);
	EXPECT_EQ(ep_complete_us(&list_), 32 * SEC);
}

TEST_F(EpTest, RecordsAddChangeAndRemoveEntries)
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

TEST_F(EpTest, AnOlderRecordIsIgnored)
{
	ep_on_record(&list_, 7, "a", Rec("a", EP_READY), SEC);
	ep_on_record(&list_, 3, "a", nullptr, SEC);
	EXPECT_EQ(Ids(), "a");
}

/*
 * Symptom: a request reached an endpoint after it had left.
 * Sequence: the endpoint registers as draining; the store loses its history, and its listing, read
 * from an outdated copy, shows the endpoint as ready.
 * Cause: the state changed back from draining to ready.
 */
TEST_F(EpTest, ADrainingEndpointDoesNotBecomeReadyAgain)
{
	Put("a", SEC, EP_DRAINING);
	Put("a", 2 * SEC, EP_READY);
	EXPECT_EQ(Ids(), "(a)");
}

/* Guards against an entry that makes an endpoint ready after it announced that it leaves. */
TEST_F(EpTest, AnAnnouncedDepartureOverridesEntries)
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
	EXPECT_FALSE(ep_on_leaving(&list_, a, SEC)) << "it is known already";
	Put("a", 2 * SEC);
	EXPECT_EQ(Ids(), "(a)b") << "a heartbeat";
	ep_begin_listing(&list_);
	Put("a", 3 * SEC);
	Put("b", 3 * SEC);
	ep_end_listing(&list_, offset_, 3 * SEC);
	EXPECT_EQ(Ids(), "(a)b") << "the list was read again";
	Remove("a", 4 * SEC);
	Put("a", 4 * SEC);
	EXPECT_EQ(Ids(), "(a)b") << "the entry was written again";
	born_ = 8;
	Put("a", 5 * SEC);
	EXPECT_EQ(Ids(), "ab") << "the next incarnation";
	EXPECT_FALSE(ep_on_leaving(&list_, "a@6", SEC)) << "an earlier incarnation";
	EXPECT_EQ(Ids(), "ab");
}

/* Guards against use of an endpoint whose departure was announced before its entry was read. */
TEST_F(EpTest, ADepartureMayBeAnnouncedBeforeTheEntryIsRead)
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
 * Symptom: one host kept sending requests to an endpoint that had ended.
 * Sequence: a host receives records from the store and from another host; the removal of an entry
 * arrives from one of them, and then an older record of the entry from the other. Cause: the older
 * record restored the entry.
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
 * Symptom: one host kept sending requests to an endpoint that had ended and was never removed.
 * Sequence: an endpoint crashes and starts again at the same address with a new id.
 * Cause: the list kept both entries for the address.
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

/* Guards against an endpoint that is lost since somebody wrote an entry with its address and a
 * service that does not exist. */
TEST_F(EpTest, AnEntryOfAnUnknownServiceTakesNoAddress)
{
	bool is_known = false;
	ep_set_services(
		&list_,
		[](void *ctx, const char *service) {
			return *(bool *)ctx || strcmp(service, "s") == 0;
		},
		&is_known);
	same_addr_ = true;
	Put("a", SEC);
	ep_rec *odd = Rec("b");
	g_free(odd->service);
	odd->service = g_strdup("odd");
	ep_on_record(&list_, offset_++, "b", ep_rec_ref(odd), SEC);
	EXPECT_EQ(Ids(), "ab");
	Put("a", 2 * SEC);
	EXPECT_EQ(Ids(), "ab") << "it goes on registering";
	is_known = true;
	ep_on_record(&list_, offset_++, "b", odd, 3 * SEC);
	EXPECT_EQ(Ids(), "b") << "a service that is known by then";
}

TEST_F(EpTest, AListingRemovesEntriesThatItLacks)
{
	Put("a", SEC);
	Put("b", SEC);
	ep_begin_listing(&list_);
	ep_on_record(&list_, 1, "b", Rec("b"), SEC);
	ep_end_listing(&list_, 9, SEC);
	EXPECT_EQ(Ids(), "b");
	EXPECT_EQ(list_.next, 9);
}

/*
 * Symptom: the list was empty for one to two seconds after an outage of the store.
 * Sequence: the store accepts no heartbeats during the outage, so entries expire; it comes back.
 * Cause: an expiry during an outage was handled like the end of the endpoint.
 */
TEST_F(EpTest, EntriesThatExpiredInAnOutageAreKeptForTwoSeconds)
{
	Put("a", SEC);
	Put("b", SEC);
	ep_on_store_failure(&list_, SEC);
	ep_on_store_success(&list_, 10 * SEC);
	Remove("a", 10 * SEC);
	Remove("b", 10 * SEC);
	EXPECT_EQ(Ids(), "ab");
	Put("a", 11 * SEC);
	ep_drop_expired(&list_, 12 * SEC - 1);
	EXPECT_EQ(Ids(), "ab");
	ep_drop_expired(&list_, 12 * SEC);
	EXPECT_EQ(Ids(), "a");
}

/*
 * Guards against requests to endpoints that left while only this host was cut off from the store:
 * it kept them for two seconds more than all other hosts.
 */
TEST_F(EpTest, RemovalsApplyOnceAnotherHostSaysThatTheStoreWasNotAway)
{
	const struct {
		const char *what;
		double since; /* s; the outage of this host began at 2 s and ended at 10 s */
		int64_t told; /* s; when this host was told */
		const char *ids;
	} cases[] = {
		{"it has reached the store since before", 1, 10, "b"},
		{"it had an outage, too", 9, 10, "ab"},
		{"its outage is over for less than two seconds", 8.1, 10, "ab"},
		{"its outage is over for two seconds", 8, 10, "b"},
		{"its outage began with this one and is long over", 3, 10, "b"},
		{"this host is told before it has reached the store", 1, 9, "ab"},
	};
	for (const auto &c : cases) {
		TearDown();
		SetUp();
		Put("a", SEC);
		Put("b", SEC);
		ep_on_store_failure(&list_, 2 * SEC);
		ep_on_store_failure(&list_, 5 * SEC);
		if (c.told < 10)
			ep_on_no_outage(&list_, (int64_t)(c.since * SEC), c.told * SEC);
		ep_on_store_success(&list_, 10 * SEC);
		Remove("a", 10 * SEC);
		EXPECT_EQ(Ids(), "ab") << c.what;
		if (c.told >= 10)
			ep_on_no_outage(&list_, (int64_t)(c.since * SEC), c.told * SEC);
		EXPECT_EQ(Ids(), c.ids) << c.what;
		ep_drop_expired(&list_, 12 * SEC);
		EXPECT_EQ(Ids(), "b") << c.what;
	}
}

/*
 * Symptom: a request reached an endpoint 2.4 s after it had left.
 * Sequence: the store refuses a call of this host, then serves it again; 3 s later an endpoint
 * leaves without announcing it, so its entry is removed. Cause: for 6 s after any failure, each
 * removed entry was kept for another 2 s.
 */
TEST_F(EpTest, ARemovalLongAfterAnOutageAppliesAtOnce)
{
	Put("a", SEC);
	ep_on_store_failure(&list_, SEC);
	ep_on_store_success(&list_, 10 * SEC);
	Remove("a", 13 * SEC);
	EXPECT_EQ(Ids(), "");
}

TEST_F(EpTest, ADrainingEndpointIsRemovedAtOnceAlsoAfterAnOutage)
{
	Put("a", SEC, EP_DRAINING);
	ep_on_store_failure(&list_, SEC);
	ep_on_store_success(&list_, 10 * SEC);
	Remove("a", 10 * SEC);
	EXPECT_EQ(Ids(), "");
}

/*
 * Symptom: requests were sent for layers that no endpoint held, or an endpoint was never used
 * again. Sequence: an endpoint crashes or leaves, and starts again with the same id. Cause: the
 * list applied what it knew of the id to the new incarnation.
 */
TEST_F(EpTest, ARestartedEndpointIsANewIncarnation)
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
	EXPECT_EQ(Ids(), "ab") << "a late heartbeat from before the restart";
	Remove("a", 3 * SEC);
	Put("a", 4 * SEC);
	EXPECT_EQ(Ids(), "b") << "such a heartbeat after the new incarnation was removed";
	born_ = 200;
	Put("a", 5 * SEC);
	EXPECT_EQ(Ids(), "ab") << "an expired entry is written again";
	born_ = 300;
	Put("b", 6 * SEC, EP_DRAINING);
	Put("b", 7 * SEC);
	EXPECT_EQ(Ids(), "a(b)") << "draining is final within an incarnation";
}

/* An entry that is kept as lapsed in an outage is replaced by the endpoint's new incarnation. */
TEST_F(EpTest, ARestartInAnOutageReplacesTheLapsedEntry)
{
	born_ = 100;
	Put("a", 0);
	ep_on_store_failure(&list_, SEC);
	Remove("a", SEC);
	EXPECT_EQ(Ids(), "a");
	ep_on_store_success(&list_, 2 * SEC);
	born_ = 200;
	Put("a", 3 * SEC);
	ep_drop_expired(&list_, 10 * SEC);
	GPtrArray *recs = ep_snapshot(&list_);
	ASSERT_EQ(recs->len, 1u);
	EXPECT_EQ(((const ep_rec *)recs->pdata[0])->born_ms, 200);
	g_ptr_array_unref(recs);
}

/*
 * Symptom: the memory use of a host grew for as long as it ran.
 * Sequence: hundreds of endpoints a day are replaced. Cause: tombstones and address owners of ended
 * endpoints were never dropped.
 */
TEST_F(EpTest, TheNumberOfTombstonesIsBounded)
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
		if (i != 7) /* it stays listed, so its departure is kept */
			ep_on_record(&list_, 2 * i + 1, id.c_str(), nullptr, now);
		now += SEC;
		ep_drop_expired(&list_, now);
	}
	EXPECT_LE(g_hash_table_size(list_.removals), 1100u);
	EXPECT_LE(g_hash_table_size(list_.departures), 1100u);
	EXPECT_LE(g_hash_table_size(list_.addr_owners), 1100u);
	EXPECT_TRUE(g_hash_table_contains(list_.departures, "i-7"));
}

/* Guards against dropping running endpoints that the feeder holds as present. */
TEST_F(EpTest, TheFirstHeartbeatAfterAnOutageConfirmsAnEndpoint)
{
	auto put = [&](const char *id, int64_t place, int64_t now) {
		return ep_on_record(&list_, place, id, Rec(id), now);
	};
	EXPECT_EQ(put("a", 10, 0), EP_CHANGED);
	EXPECT_EQ(put("a", 11, SEC), EP_HEARTBEAT);
	ep_on_store_failure(&list_, SEC);
	ep_on_store_success(&list_, 10 * SEC);
	/* The same record again, from a host that may hold it as lapsed. */
	EXPECT_EQ(put("a", 11, 10 * SEC), EP_HEARTBEAT);
	EXPECT_EQ(put("a", 12, 10 * SEC), EP_CONFIRMED);
	EXPECT_EQ(put("a", 13, 11 * SEC), EP_HEARTBEAT);
	EXPECT_EQ(put("b", 14, 11 * SEC), EP_CHANGED);
	EXPECT_EQ(put("b", 15, 11 * SEC), EP_CONFIRMED);
	EXPECT_EQ(put("b", 16, 11 * SEC), EP_HEARTBEAT);
	EXPECT_EQ(put("c", 17, 13 * SEC), EP_CHANGED);
	EXPECT_EQ(put("c", 18, 13 * SEC), EP_HEARTBEAT);
	/* A recalled entry that another host's listing repeats, as at a relay. */
	ep_on_store_failure(&list_, SEC);
	ep_on_store_success(&list_, 20 * SEC);
	EXPECT_TRUE(ep_add_recalled(&list_, 19, Rec("d"), 20 * SEC));
	EXPECT_EQ(put("d", 19, 20 * SEC), EP_CHANGED);
	EXPECT_EQ(put("d", 30, 21 * SEC), EP_CONFIRMED);
	EXPECT_EQ(put("d", 31, 21 * SEC), EP_HEARTBEAT);
}

} // namespace
