#include "ep/ep.h"

#include <gtest/gtest.h>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace
{

const int64_t SEC = 1000000;

/* What an endpoint says, as a record of the log; without heartbeat it is the removal. */
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

class View
{
      public:
	View()
	{
		ep_list_init(&list);
		ep_on_era(&list, 1, false, 0);
	}
	~View()
	{
		ep_list_finish(&list);
	}
	bool Take(int64_t place, const Entry &e, int64_t now)
	{
		return ep_on_record(&list, place, e.id.c_str(),
				    e.heartbeat > 0 ? MakeRec(e) : nullptr, now);
	}
	/* "id:heartbeat/layers", those that are leaving in brackets. */
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
 * Symptom: right after the store came back from a copy, hosts sent to endpoints that had gone, used
 * layers that had been given up, or did not use an endpoint that had just registered.
 * Sequence: a host has read up to offset 20; the store lists a copy in era 2, and new records
 * follow at offsets that the host had read in era 1. Cause: offsets alone ordered the records.
 */
TEST(EpEraTest, WhatTheCopySaysIsComparedWithWhatIsKnown)
{
	const struct {
		const char *what;
		Entry before; /* read at place (1, 20) */
		bool removed; /* and at (1, 21) */
		Entry copy;   /* listed at (2, 5); no heartbeat: missing */
		Entry then;   /* read at (2, 9); no heartbeat: none */
		const char *at_once, *after;
	} cases[] = {
		{"the copy is older",
		 {"e1", 7, 9, 4},
		 false,
		 {"e1", 7, 3, 8},
		 {},
		 "e1:9/4",
		 "e1:9/4"},
		{"the next heartbeat is news",
		 {"e1", 7, 9, 4},
		 false,
		 {"e1", 7, 3, 8},
		 {"e1", 7, 10, 2},
		 "e1:9/4",
		 "e1:10/2"},
		{"an old one is written again",
		 {"e1", 7, 9, 4},
		 false,
		 {},
		 {"e1", 7, 8, 8},
		 "e1:9/4",
		 "e1:9/4"},
		{"missing, and never back", {"e1", 7, 9, 4}, false, {}, {}, "e1:9/4", ""},
		{"missing, and back",
		 {"e1", 7, 9, 4},
		 false,
		 {},
		 {"e1", 7, 10, 4},
		 "e1:9/4",
		 "e1:10/4"},
		{"removed, in the copy", {"e1", 7, 9, 4}, true, {"e1", 7, 9, 4}, {}, "", ""},
		{"removed, written again", {"e1", 7, 9, 4}, true, {}, {"e1", 7, 8, 4}, "", ""},
		{"removed, registers anew",
		 {"e1", 7, 9, 4},
		 true,
		 {"e1", 7, 9, 4},
		 {"e1", 7, 10, 4},
		 "",
		 "e1:10/4"},
		{"removed, starts again", {"e1", 7, 9, 4}, true, {}, {"e1", 8, 1, 0}, "", "e1:1/0"},
		{"leaving, in the copy not yet",
		 {"e1", 7, 9, 4, true},
		 false,
		 {"e1", 7, 8, 4},
		 {},
		 "(e1:9/4)",
		 "(e1:9/4)"},
		{"new, at an offset that was read",
		 {"e1", 7, 9, 4},
		 false,
		 {"e1", 7, 9, 4},
		 {"e2", 8, 1, 0},
		 "e1:9/4",
		 "e1:9/4e2:1/0"},
	};
	for (const auto &c : cases) {
		View v;
		v.Take(era_place(1, 20), c.before, 0);
		if (c.removed)
			v.Take(era_place(1, 21), Entry{c.before.id}, 0);
		ep_on_era(&v.list, 2, true, 10 * SEC);
		ep_on_listing(&v.list);
		if (c.copy.heartbeat > 0)
			v.Take(era_place(2, 5), c.copy, 10 * SEC);
		ep_on_listed(&v.list, era_place(2, 6), 10 * SEC);
		EXPECT_EQ(v.Shown(), c.at_once) << c.what;
		if (c.then.heartbeat > 0)
			v.Take(era_place(2, 9), c.then, 11 * SEC);
		ep_on_time(&v.list, 13 * SEC);
		EXPECT_EQ(v.Shown(), c.after) << c.what;
	}
}

/* A host that has not heard of the return feeds one that has. */
TEST(EpEraTest, AnOlderErasRecordIsNotTaken)
{
	View v;
	ep_on_era(&v.list, 2, true, 10 * SEC);
	EXPECT_FALSE(v.Take(era_place(1, 900), {"e1", 7, 9, 4}, 10 * SEC));
	EXPECT_EQ(v.Shown(), "");
	EXPECT_TRUE(v.Take(era_place(2, 3), {"e1", 7, 10, 4}, 10 * SEC));
	EXPECT_FALSE(v.Take(era_place(1, 901), Entry{"e1"}, 11 * SEC));
	EXPECT_EQ(v.Shown(), "e1:10/4");
}

/* An endpoint that moved to the address of another one: the copy has the other one there. */
TEST(EpEraTest, AnAddressStaysWithItsLastHolder)
{
	View v;
	Entry old_one{"e1", 7, 9, 4};
	Entry new_one{"f1", 8, 2, 4};
	v.Take(era_place(1, 20), old_one, 0);
	v.Take(era_place(1, 21), new_one, 0);
	EXPECT_EQ(v.Shown(), "f1:2/4");
	ep_on_era(&v.list, 2, true, 10 * SEC);
	ep_on_listing(&v.list);
	v.Take(era_place(2, 5), old_one, 10 * SEC);
	ep_on_listed(&v.list, era_place(2, 6), 10 * SEC);
	EXPECT_EQ(v.Shown(), "f1:2/4");
}

/*
 * A store that tells no era never comes back from a copy; an endpoint whose counts start anew there
 * is one that has started again, or another writer's count was wrong.
 */
TEST(EpEraTest, WithoutErasOnlyPlacesCount)
{
	ep_list list;
	ep_list_init(&list);
	EXPECT_TRUE(ep_on_record(&list, 20, "e1", MakeRec({"e1", 0, 9, 4}), 0));
	EXPECT_TRUE(ep_on_record(&list, 21, "e1", MakeRec({"e1", 0, 1, 0}), 0));
	EXPECT_TRUE(ep_on_record(&list, 22, "e1", nullptr, 0));
	EXPECT_TRUE(ep_on_record(&list, 23, "e1", MakeRec({"e1", 0, 1, 0}), 0));
	ep_list_finish(&list);
}

/*
 * A model of the store and of a host's view of it: endpoints send heartbeats, change their layers,
 * leave, end and start again; the store goes back and its writers write again; the host reads on,
 * lists, or hears a record late by way of another host, all in an order that the seed gives.
 */
struct Record {
	int64_t place;
	Entry entry;
};

class Model
{
      public:
	explicit Model(unsigned seed) : rng_(seed)
	{
	}

	int Pick(int n)
	{
		return (int)(rng_() % (unsigned)n);
	}

	void Write(const Entry &e)
	{
		log_.push_back({era_place(era_, (int64_t)log_.size()), e});
		all_.push_back(log_.back());
	}

	void Beat(Entry &e)
	{
		if (e.heartbeat == 0)
			return;
		e.heartbeat++;
		if (Pick(4) == 0)
			e.layers = Pick(80);
		Write(e);
	}

	/* It ends; its entry goes, and it may start again at once or later. */
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

	/* The store comes back from a copy; what was lost is written again, some of it now. */
	void Return()
	{
		size_t kept =
			log_.size() - (size_t)Pick((int)std::min<size_t>(log_.size(), 40) + 1);
		std::vector<Record> lost(log_.begin() + (long)kept, log_.end());
		log_.resize(kept);
		era_++;
		std::shuffle(lost.begin(), lost.end(), rng_);
		for (const Record &r : lost) {
			if (Pick(2) == 0)
				Write(r.entry);
		}
		/* The last word of each writer is its newest. */
		for (Entry &e : ends_) {
			if (e.heartbeat > 0)
				Beat(e);
			else
				Write(Entry{e.id});
		}
		ep_on_era(&view_.list, era_, true, now_);
		listed_ = false;
	}

	std::map<std::string, Record> Newest() const
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
		for (const auto &n : Newest())
			items.push_back(n.second);
		std::shuffle(items.begin(), items.end(), rng_);
		ep_on_listing(&view_.list);
		for (const Record &r : items)
			Give(r);
		ep_on_listed(&view_.list, era_place(era_, (int64_t)log_.size()), now_);
		listed_ = true;
	}

	void Read(int n)
	{
		if (!listed_)
			return List();
		size_t from = (size_t)era_offset(view_.list.next);
		for (size_t i = from; i < log_.size() && n-- > 0; i++)
			Give(log_[i]);
	}

	void Give(const Record &r)
	{
		view_.Take(r.place, r.entry, now_);
	}

	/* What the host shows never goes back, whatever it was told. */
	void Check(unsigned seed, int step)
	{
		GPtrArray *recs = ep_snapshot(&view_.list);
		for (guint i = 0; i < recs->len; i++) {
			const ep_rec *r = (const ep_rec *)recs->pdata[i];
			std::pair<int64_t, int64_t> is{r->born_ms, r->heartbeat};
			auto &was = shown_[r->id];
			EXPECT_GE(is, was) << r->id << " seed " << seed << " step " << step;
			was = std::max(is, was);
			auto &left = left_[r->id];
			if (r->state == EP_DRAINING)
				left = std::max(left, r->born_ms + 1);
			EXPECT_FALSE(r->state == EP_READY && r->born_ms < left)
				<< r->id << " is ready after it has left, seed " << seed;
		}
		g_ptr_array_unref(recs);
	}

	void Step()
	{
		Entry &e = ends_[(size_t)Pick((int)ends_.size())];
		now_ += Pick(200) * 1000;
		switch (Pick(12)) {
		case 0:
			return End(e);
		case 1:
			return Start(e);
		case 2:
			e.leaving = e.heartbeat > 0;
			return Beat(e);
		case 3:
			if (Pick(6) == 0)
				Return();
			return;
		case 4:
			return List();
		case 5: /* late, from a host that is behind; not from before the newest listing */
			if (!all_.empty() && era_of_place(all_.back().place) == era_)
				Give(all_[(size_t)Pick((int)all_.size())]);
			return;
		case 6:
		case 7:
			return Read(Pick(30));
		default:
			return Beat(e);
		}
	}

	/* All has been written and read, and the time for coming back is over. */
	void Settle()
	{
		for (Entry &e : ends_)
			Beat(e);
		now_ += 10 * SEC;
		Read((int)log_.size());
		now_ += 10 * SEC;
		List();
		ep_on_time(&view_.list, now_);
	}

	std::string Wanted() const
	{
		std::string wanted;
		for (const auto &n : Newest()) {
			const Entry &e = n.second.entry;
			std::string one = e.id + ":" + std::to_string(e.heartbeat) + "/" +
					  std::to_string(e.layers);
			wanted += e.leaving ? "(" + one + ")" : one;
		}
		return wanted;
	}

	View view_;

      private:
	std::mt19937 rng_;
	int64_t era_ = 1;
	int64_t now_ = SEC;
	bool listed_ = false;
	std::vector<Record> log_;
	std::vector<Record> all_; /* with those that were lost */
	std::vector<Entry> ends_{{"e1", 1}, {"e2", 1}, {"e3", 1}, {"e4", 1}};
	std::map<std::string, std::pair<int64_t, int64_t>> shown_;
	std::map<std::string, int64_t> left_;
};

TEST(EpEraModelTest, NothingGoesBackAndAllIsWholeInTheEnd)
{
	for (unsigned seed = 1; seed <= 2000; seed++) {
		Model m(seed);
		for (int step = 0; step < 200; step++) {
			m.Step();
			m.Check(seed, step);
		}
		m.Settle();
		ASSERT_EQ(m.view_.Shown(), m.Wanted()) << "seed " << seed;
		ASSERT_FALSE(::testing::Test::HasFailure()) << "seed " << seed;
	}
}

} // namespace
