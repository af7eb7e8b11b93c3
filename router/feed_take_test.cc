#include "router/feed_take.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <set>
#include <string>
#include <vector>

namespace
{

const int64_t SEC = 1000000;

/* A host that is fed and feeds others. */
class Relay
{
      public:
	Relay()
	{
		ep_list_init(&list);
		fp_init(&out);
	}
	~Relay()
	{
		fp_finish(&out);
		ep_list_finish(&list);
	}
	static void Take(void *ctx, int64_t place, const char *id, str text)
	{
		Relay *relay = (Relay *)ctx;
		ep_rec *rec = nullptr;
		if (text.data) {
			rec = ep_rec_new(id, 0);
			rec->service = g_strdup("s");
			rec->addr = g_strdup(id);
			rec->zone = g_strdup("z");
			rec->text = g_strndup(text.data, text.len);
			rec->layer_to = (int)text.len; /* what changes */
		}
		if (ep_on_record(&relay->list, place, id, rec, SEC) == EP_NEWS) {
			fp_on_record(&relay->out, place, id, text);
			relay->news.push_back((text.data ? "" : "-") + std::string(id));
		}
	}
	/* Entries as "id" -> text, with their places. */
	bool Give(const std::vector<std::pair<std::string, std::string>> &entries, int64_t first,
		  bool listing, int64_t next)
	{
		std::vector<Feed__Endpoint> items(entries.size(), FEED__ENDPOINT__INIT);
		std::vector<Feed__Endpoint *> refs;
		Feed__Endpoints msg = FEED__ENDPOINTS__INIT;
		const fmerge take = {&list, &out, Take, this};
		for (size_t i = 0; i < entries.size(); i++) {
			/* As a hash table has them: in no order. */
			size_t at = (i * 19) % entries.size();
			items[i].offset = first + (int64_t)at;
			items[i].id = (char *)entries[at].first.c_str();
			items[i].text.data = (uint8_t *)entries[at].second.c_str();
			items[i].text.len = entries[at].second.size();
			refs.push_back(&items[i]);
		}
		msg.items = refs.data();
		msg.n_items = refs.size();
		news.clear();
		return fmerge_apply(&take, &msg, listing, next, SEC);
	}
	/* How many items followers get that have all before that place; -1: the whole list. */
	int Told(guint listing, int64_t from)
	{
		if (fp_needs_whole(&out, listing, from))
			return -1;
		int n = 0;
		for (GList *l = out.records->head; l; l = l->next)
			n++;
		return n;
	}

	ep_list list;
	fp out;
	std::vector<std::string> news;
};

/* Guards against one whole list that becomes a whole list for every follower of every relay. */
TEST(FeedTakeTest, AWholeListThatComesAgainIsHandedOnAsWhatChanged)
{
	for (int hosts : {30, 300, 984, 1968}) {
		int n = 3 * hosts + 1;
		std::vector<std::pair<std::string, std::string>> entries;
		for (int i = 0; i < n; i++)
			entries.push_back({"e" + std::to_string(i), "x"});
		Relay relay;
		fp_set_length(&relay.out, n);
		EXPECT_TRUE(relay.Give(entries, 0, true, n)) << "the first one";
		fp_on_listing(&relay.out, &relay.list);
		guint listing = relay.out.listing;
		/* One changes, one goes, all were written anew since. */
		entries[5].second = "xy";
		entries.erase(entries.begin() + 9);
		EXPECT_FALSE(relay.Give(entries, n, true, 2 * n)) << hosts;
		EXPECT_EQ(relay.news, (std::vector<std::string>{"e5"})) << hosts;
		EXPECT_EQ(relay.Told(listing, n), 2) << "e5, and e9 has gone; " << hosts;
		EXPECT_EQ(g_hash_table_size(relay.list.entries), (guint)n - 1) << hosts;
		EXPECT_EQ(relay.list.next, 2 * n);
	}
}

/* Guards against followers that never hear of what a list brought that is older than what they
 * have. */
TEST(FeedTakeTest, WhatRecordsCannotTellMeansTheWholeList)
{
	const struct {
		const char *name;
		int64_t place, next;
		bool goes, whole;
	} cases[] = {
		{"a later record", 100, 101, false, false},
		{"an older record", 50, 101, false, true},
		{"one goes, more was read", 100, 101, true, false},
		{"one goes, nothing was read", 99, 100, true, true},
		{"after a return of the store", era_place(1, 3), era_place(1, 4), false, true},
	};
	for (const auto &c : cases) {
		Relay relay;
		relay.Give({{"a", "x"}, {"b", "x"}}, 10, true, 100);
		fp_on_listing(&relay.out, &relay.list);
		std::vector<std::pair<std::string, std::string>> next = {{"a", "xy"}};
		if (!c.goes)
			next.push_back({"b", "x"});
		EXPECT_EQ(relay.Give(next, c.place, true, c.next), c.whole) << c.name;
	}
}

/* Records are taken as they come. */
TEST(FeedTakeTest, RecordsAreTaken)
{
	Relay relay;
	relay.Give({{"a", "x"}}, 10, true, 100);
	EXPECT_FALSE(relay.Give({{"b", "x"}}, 100, false, 101));
	EXPECT_EQ(relay.news, (std::vector<std::string>{"b"}));
	EXPECT_EQ(relay.list.next, 101);
}

} // namespace
