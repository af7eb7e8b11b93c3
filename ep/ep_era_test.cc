#include "ep/ep.h"

#include <gtest/gtest.h>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace
{

const int64_t SEC = 1000000;

/* A record of the log as an endpoint writes it; heartbeat 0 makes it the entry's removal. */
struct Entry {
	std::string id;
	int64_t born = 0;
	int64_t heartbeat = 0;
	int layers = 0;
	bool leaving = false;
};

ep_rec *MakeRec(const Entry &e)
{
	ep_rec *rec = ep_rec_new(e.id.c_str(), e.born);
	rec->service = g_strdup("s");
	rec->addr = g_strdup_printf("10.0.0.1:%s", e.id.c_str() + 1);
	rec->zone = g_strdup("z");
	rec->state = e.leaving ? EP_DRAINING : EP_READY;
	rec->heartbeat = e.heartbeat;
	rec->layer_to = e.layers;
	return rec;
}

class HostView
{
      public:
	HostView()
	{
		ep_list_init(&list);
		ep_on_store_era(&list, 1, false, 0);
	}
	~HostView()
	{
		ep_list_finish(&list);
	}
	bool Process(int64_t place, const Entry &e, int64_t now)
	{
		return ep_on_record(&list, place, e.id.c_str(),
				    e.heartbeat > 0 ? MakeRec(e) : nullptr, now);
	}
	/* The list as "id:heartbeat/layers" for each entry; draining endpoints are in brackets. */
	std::string Shown() const
	{
		std::string shown;
		GPtrArray *recs = ep_snapshot(&list);
		for (guint i = 0; i < recs->len; i++) {
			const ep_rec *r = (const ep_rec *)recs->pdata[i];
			std::string one = std::string(r->id) + ":" + std::to_string(r->heartbeat) +
					  "/" + std::to_string(r->layer_to);
			shown += r->state == EP_READY ? one : "(" + one + ")";
		}
		g_ptr_array_unref(recs);
		return shown;
	}
	ep_list list;
};

/*
 * Symptom: right after the store was restored from a copy, hosts sent requests to endpoints that
 * had ended, used layers that were no longer held, or didn't use an endpoint that had just
 * registered. Sequence: a host has read up to offset 20; the store lists its copy in era 2, and new
 * records follow at offsets that the host had read in era 1. Cause: records were ordered by their
 * offsets alone.
 */
TEST(EpEraTest, ARestoredListingDoesNotReplaceNewerRecords)
{
	const struct {
		const char *what;
		Entry before;	     /* record at era 1, offset 20 */
		bool removed;	     /* whether a removal follows at era 1, offset 21 */
		Entry copy;	     /* listed at era 2, offset 5; heartbeat 0: not listed */
		Entry then;	     /* record at era 2, offset 9; heartbeat 0: no record */
		const char *at_once; /* expected list right after the listing */
		const char *after;   /* expected list at the end */
	} cases[] = {
		{"the copy is older",
		 {"e1", 7, 9, 4},
		 false,
		 {"e1", 7, 3, 8},
		 {},
		 "e1:9/4",
		 "e1:9/4"},
		{"the next heartbeat is accepted",
		 {"e1", 7, 9, 4},
		 false,
		 {"e1", 7, 3, 8},
		 {"e1", 7, 10, 2},
		 "e1:9/4",
		 "e1:10/2"},
		{"an old heartbeat is written again",
		 {"e1", 7, 9, 4},
		 false,
		 {},
		 {"e1", 7, 8, 8},
		 "e1:9/4",
		 "e1:9/4"},
		{"missing, and not registered again", {"e1", 7, 9, 4}, false, {}, {}, "e1:9/4", ""},
		{"missing, and registered again",
		 {"e1", 7, 9, 4},
		 false,
		 {},
		 {"e1", 7, 10, 4},
		 "e1:9/4",
		 "e1:10/4"},
		{"removed, but listed in the copy",
		 {"e1", 7, 9, 4},
		 true,
		 {"e1", 7, 9, 4},
		 {},
		 "",
		 ""},
		{"removed, but an old record is written again",
		 {"e1", 7, 9, 4},
		 true,
		 {},
		 {"e1", 7, 8, 4},
		 "",
		 ""},
		{"removed, and registered again",
		 {"e1", 7, 9, 4},
		 true,
		 {"e1", 7, 9, 4},
		 {"e1", 7, 10, 4},
		 "",
		 "e1:10/4"},
		{"removed, and started again",
		 {"e1", 7, 9, 4},
		 true,
		 {},
		 {"e1", 8, 1, 0},
		 "",
		 "e1:1/0"},
		{"draining, but ready in the copy",
		 {"e1", 7, 9, 4, true},
		 false,
		 {"e1", 7, 8, 4},
		 {},
		 "(e1:9/4)",
		 "(e1:9/4)"},
		{"a new endpoint at an offset that was read in era 1",
		 {"e1", 7, 9, 4},
		 false,
		 {"e1", 7, 9, 4},
		 {"e2", 8, 1, 0},
		 "e1:9/4",
		 "e1:9/4e2:1/0"},
	};
	for (const auto &c : cases) {
		HostView v;
		v.Process(era_make_place(1, 20), c.before, 0);
		if (c.removed)
			v.Process(era_make_place(1, 21), Entry{c.before.id}, 0);
		ep_on_store_era(&v.list, 2, true, 10 * SEC);
		ep_begin_listing(&v.list);
		if (c.copy.heartbeat > 0)
			v.Process(era_make_place(2, 5), c.copy, 10 * SEC);
		ep_end_listing(&v.list, era_make_place(2, 6), 10 * SEC);
		EXPECT_EQ(v.Shown(), c.at_once) << c.what;
		if (c.then.heartbeat > 0)
			v.Process(era_make_place(2, 9), c.then, 11 * SEC);
		ep_drop_expired(&v.list, 13 * SEC);
		EXPECT_EQ(v.Shown(), c.after) << c.what;
	}
}

/* A host that doesn't know of a restore yet may send records to one that does. */
TEST(EpEraTest, ARecordOfAnEarlierEraIsIgnored)
{
	HostView v;
	ep_on_store_era(&v.list, 2, true, 10 * SEC);
	EXPECT_FALSE(v.Process(era_make_place(1, 900), {"e1", 7, 9, 4}, 10 * SEC));
	EXPECT_EQ(v.Shown(), "");
	EXPECT_TRUE(v.Process(era_make_place(2, 3), {"e1", 7, 10, 4}, 10 * SEC));
	EXPECT_FALSE(v.Process(era_make_place(1, 901), Entry{"e1"}, 11 * SEC));
	EXPECT_EQ(v.Shown(), "e1:10/4");
}

/* The copy may list an endpoint at an address that another one has since taken over. */
TEST(EpEraTest, AnAddressStaysWithItsLatestOwner)
{
	HostView v;
	Entry old_one{"e1", 7, 9, 4};
	Entry new_one{"f1", 8, 2, 4};
	v.Process(era_make_place(1, 20), old_one, 0);
	v.Process(era_make_place(1, 21), new_one, 0);
	EXPECT_EQ(v.Shown(), "f1:2/4");
	ep_on_store_era(&v.list, 2, true, 10 * SEC);
	ep_begin_listing(&v.list);
	v.Process(era_make_place(2, 5), old_one, 10 * SEC);
	ep_end_listing(&v.list, era_make_place(2, 6), 10 * SEC);
	EXPECT_EQ(v.Shown(), "f1:2/4");
}

/*
 * A store without eras is never restored from a copy. If an endpoint's heartbeat counter falls
 * there, the endpoint has restarted, or the counter of another writer was wrong; the record is
 * accepted.
 */
TEST(EpEraTest, WithoutErasOnlyPlacesOrderRecords)
{
	ep_list list;
	ep_list_init(&list);
	EXPECT_TRUE(ep_on_record(&list, 20, "e1", MakeRec({"e1", 0, 9, 4}), 0));
	EXPECT_TRUE(ep_on_record(&list, 21, "e1", MakeRec({"e1", 0, 1, 0}), 0));
	EXPECT_TRUE(ep_on_record(&list, 22, "e1", nullptr, 0));
	EXPECT_TRUE(ep_on_record(&list, 23, "e1", MakeRec({"e1", 0, 1, 0}), 0));
	ep_list_finish(&list);
}

/* A record of the modelled store's log. */
struct Record {
	int64_t place;
	Entry entry;
};

/*
 * A model of the store and of one host's list. Endpoints send heartbeats, change their layers,
 * leave, end and start again; the store is restored from a copy and lost records are written again;
 * the host reads records, reads a listing, or receives a late record from another host. The seed
 * determines the order of these events.
 */

class Model
{
      public:
	explicit Model(unsigned seed) : rng_(seed)
	{
	}

	int Random(int n)
	{
		return (int)(rng_() % (unsigned)n);
	}

	void Write(const Entry &e)
	{
		log_.push_back({era_make_place(era_, (int64_t)log_.size()), e});
		all_records_.push_back(log_.back());
	}

	void SendHeartbeat(Entry &e)
	{
		if (e.heartbeat == 0)
			return;
		e.heartbeat++;
		if (Random(4) == 0)
			e.layers = Random(80);
		Write(e);
	}

	/* Ends the endpoint and removes its entry; the endpoint may start again later. */
	void End(Entry &e)
	{
		if (e.heartbeat == 0)
			return;
		Write(Entry{e.id});
		e = Entry{e.id, e.born + 1};
	}

	void Start(Entry &e)
	{
		if (e.heartbeat > 0)
			return;
		e.heartbeat = 1;
		Write(e);
	}

	/* Restores the store from a copy that lacks up to 40 records; half are written again. */
	void Restore()
	{
		size_t kept =
			log_.size() - (size_t)Random((int)std::min<size_t>(log_.size(), 40) + 1);
		std::vector<Record> lost(log_.begin() + (long)kept, log_.end());
		log_.resize(kept);
		era_++;
		std::shuffle(lost.begin(), lost.end(), rng_);
		for (const Record &r : lost) {
			if (Random(2) == 0)
				Write(r.entry);
		}
		/* Each writer's last record is its newest one. */
		for (Entry &e : endpoints_) {
			if (e.heartbeat > 0)
				SendHeartbeat(e);
			else
				Write(Entry{e.id});
		}
		ep_on_store_era(&view_.list, era_, true, now_);
		listed_ = false;
	}

	std::map<std::string, Record> NewestRecords() const
	{
		std::map<std::string, Record> newest;
		for (const Record &r : log_) {
			if (r.entry.heartbeat > 0)
				newest[r.entry.id] = r;
			else
				newest.erase(r.entry.id);
		}
		return newest;
	}

	void List()
	{
		std::vector<Record> items;
		for (const auto &n : NewestRecords())
			items.push_back(n.second);
		std::shuffle(items.begin(), items.end(), rng_);
		ep_begin_listing(&view_.list);
		for (const Record &r : items)
			Deliver(r);
		ep_end_listing(&view_.list, era_make_place(era_, (int64_t)log_.size()), now_);
		listed_ = true;
	}

	void Read(int n)
	{
		if (!listed_)
			return List();
		size_t from = (size_t)era_offset_of_place(view_.list.next);
		for (size_t i = from; i < log_.size() && n-- > 0; i++)
			Deliver(log_[i]);
	}

	void Deliver(const Record &r)
	{
		view_.Process(r.place, r.entry, now_);
	}

	/* Checks that no endpoint in the host's list goes back to an older record or to ready. */
	void Check(unsigned seed, int step)
	{
		GPtrArray *recs = ep_snapshot(&view_.list);
		for (guint i = 0; i < recs->len; i++) {
			const ep_rec *r = (const ep_rec *)recs->pdata[i];
			std::pair<int64_t, int64_t> is{r->born_ms, r->heartbeat};
			auto &was = last_shown_[r->id];
			EXPECT_GE(is, was) << r->id << " seed " << seed << " step " << step;
			was = std::max(is, was);
			auto &drained_before = drained_before_[r->id];
			if (r->state == EP_DRAINING)
				drained_before = std::max(drained_before, r->born_ms + 1);
			EXPECT_FALSE(r->state == EP_READY && r->born_ms < drained_before)
				<< r->id << " is ready after it was draining, seed " << seed;
		}
		g_ptr_array_unref(recs);
	}

	void Step()
	{
		Entry &e = endpoints_[(size_t)Random((int)endpoints_.size())];
		now_ += Random(200) * 1000;
		switch (Random(12)) {
		case 0:
			return End(e);
		case 1:
			return Start(e);
		case 2:
			e.leaving = e.heartbeat > 0;
			return SendHeartbeat(e);
		case 3:
			if (Random(6) == 0)
				Restore();
			return;
		case 4:
			return List();
		case 5: /* a late record from another host, once this era has records */
			if (!all_records_.empty() &&
			    era_of_place(all_records_.back().place) == era_)
				Deliver(all_records_[(size_t)Random((int)all_records_.size())]);
			return;
		case 6:
		case 7:
			return Read(Random(30));
		default:
			return SendHeartbeat(e);
		}
	}

	/* Writes and reads everything outstanding, and waits until lapsed entries are dropped. */
	void Finish()
	{
		for (Entry &e : endpoints_)
			SendHeartbeat(e);
		now_ += 10 * SEC;
		Read((int)log_.size());
		now_ += 10 * SEC;
		List();
		ep_drop_expired(&view_.list, now_);
	}

	std::string Expected() const
	{
		std::string expected;
		for (const auto &n : NewestRecords()) {
			const Entry &e = n.second.entry;
			std::string one = e.id + ":" + std::to_string(e.heartbeat) + "/" +
					  std::to_string(e.layers);
			expected += e.leaving ? "(" + one + ")" : one;
		}
		return expected;
	}

	HostView view_;

      private:
	std::mt19937 rng_;
	int64_t era_ = 1;
	int64_t now_ = SEC;
	bool listed_ = false;
	std::vector<Record> log_;
	std::vector<Record> all_records_; /* all records ever written, including lost ones */
	std::vector<Entry> endpoints_{{"e1", 1}, {"e2", 1}, {"e3", 1}, {"e4", 1}};
	std::map<std::string, std::pair<int64_t, int64_t>> last_shown_;
	std::map<std::string, int64_t> drained_before_;
};

TEST(EpEraModelTest, EntriesNeverGoBackAndTheListIsCompleteInTheEnd)
{
	for (unsigned seed = 1; seed <= 2000; seed++) {
		Model m(seed);
		for (int step = 0; step < 200; step++) {
			m.Step();
			m.Check(seed, step);
		}
		m.Finish();
		ASSERT_EQ(m.view_.Shown(), m.Expected()) << "seed " << seed;
		ASSERT_FALSE(::testing::Test::HasFailure()) << "seed " << seed;
	}
}

} // namespace
