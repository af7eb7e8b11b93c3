#include "router/feed_merge.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <set>
#include <string>
#include <vector>

namespace
{

const int64_t SEC = 1000000;

/* A host that has a feeder and followers. */
class Relay
{
      public:
	Relay()
	{
		ep_list_init(&list);
		fpack_init(&out);
	}
	~Relay()
	{
		fpack_finish(&out);
		ep_list_finish(&list);
	}
	static void Apply(void *ctx, int64_t place, const char *id, str text)
	{
		Relay *relay = (Relay *)ctx;
		ep_rec *rec = nullptr;
		if (text.data) {
			rec = ep_rec_new(id, 0);
			rec->service = g_strdup("s");
			rec->addr = g_strdup(id);
			rec->zone = g_strdup("z");
			rec->text = g_strndup(text.data, text.len);
			rec->layer_to = (int)text.len; /* Differs with the length of the text */
		}
		if (ep_on_record(&relay->list, place, id, rec, SEC) == EP_CHANGED) {
			fpack_add_record(&relay->out, place, id, text);
			relay->changes.push_back((text.data ? "" : "-") + std::string(id));
		}
	}
	/* Merges entries (id, text) at places from first on. Returns fmerge_apply()'s result. */
	bool Merge(const std::vector<std::pair<std::string, std::string>> &entries, int64_t first,
		   bool listing, int64_t next)
	{
		std::vector<Feed__Endpoint> items(entries.size(), FEED__ENDPOINT__INIT);
		std::vector<Feed__Endpoint *> refs;
		Feed__Endpoints msg = FEED__ENDPOINTS__INIT;
		const fmerge merge = {&list, &out, Apply, this};
		for (size_t i = 0; i < entries.size(); i++) {
			/* The entries are out of order, as in a hash table. */
			size_t at = (i * 19) % entries.size();
			items[i].offset = first + (int64_t)at;
			items[i].id = (char *)entries[at].first.c_str();
			items[i].text.data = (uint8_t *)entries[at].second.c_str();
			items[i].text.len = entries[at].second.size();
			refs.push_back(&items[i]);
		}
		msg.items = refs.data();
		msg.n_items = refs.size();
		changes.clear();
		return fmerge_apply(&merge, &msg, listing, next, SEC);
	}
	/* Returns the number of records for a follower at the place; -1 for the full list. */
	int Queued(guint listing, int64_t from)
	{
		if (fpack_needs_full_list(&out, listing, from))
			return -1;
		int n = 0;
		for (GList *l = out.records->head; l; l = l->next)
			n++;
		return n;
	}

	ep_list list;
	fpack out;
	std::vector<std::string> changes;
};

/* Guards against relays that forward a repeated full list to all followers as a full list. */
TEST(FeedMergeTest, RepeatedFullListIsForwardedAsChangesOnly)
{
	for (int hosts : {30, 300, 984, 1968}) {
		int n = 3 * hosts + 1;
		std::vector<std::pair<std::string, std::string>> entries;
		for (int i = 0; i < n; i++)
			entries.push_back({"e" + std::to_string(i), "x"});
		Relay relay;
		fpack_set_max_records(&relay.out, n);
		EXPECT_TRUE(relay.Merge(entries, 0, true, n)) << "first listing";
		fpack_on_list_replaced(&relay.out, &relay.list);
		guint listing = relay.out.listing;
		/* All entries were written again: one has changed and one was removed. */
		entries[5].second = "xy";
		entries.erase(entries.begin() + 9);
		EXPECT_FALSE(relay.Merge(entries, n, true, 2 * n)) << hosts;
		EXPECT_EQ(relay.changes, (std::vector<std::string>{"e5"})) << hosts;
		EXPECT_EQ(relay.Queued(listing, n), 2) << "e5 and e9 (removed): " << hosts;
		EXPECT_EQ(g_hash_table_size(relay.list.entries), (guint)n - 1) << hosts;
		EXPECT_EQ(relay.list.next, 2 * n);
	}
}

/* Guards against followers that miss a change because its place in the log is before the place up
 * to which they have records. */
TEST(FeedMergeTest, FollowersNeedFullListForChangesAtOlderPlaces)
{
	const struct {
		const char *name;
		int64_t place, next;
		bool removed, full;
	} cases[] = {
		{"a later record", 100, 101, false, false},
		{"an older record", 50, 101, false, true},
		{"an entry is removed, the log was read further", 100, 101, true, false},
		{"an entry is removed, the log was not read further", 99, 100, true, true},
		{"after a restore of the store", era_make_place(1, 3), era_make_place(1, 4), false,
		 true},
	};
	for (const auto &c : cases) {
		Relay relay;
		relay.Merge({{"a", "x"}, {"b", "x"}}, 10, true, 100);
		fpack_on_list_replaced(&relay.out, &relay.list);
		std::vector<std::pair<std::string, std::string>> next = {{"a", "xy"}};
		if (!c.removed)
			next.push_back({"b", "x"});
		EXPECT_EQ(relay.Merge(next, c.place, true, c.next), c.full) << c.name;
	}
}

/* Records that are no full list are added to the list and to the queue for followers. */
TEST(FeedMergeTest, RecordsAreMerged)
{
	Relay relay;
	relay.Merge({{"a", "x"}}, 10, true, 100);
	EXPECT_FALSE(relay.Merge({{"b", "x"}}, 100, false, 101));
	EXPECT_EQ(relay.changes, (std::vector<std::string>{"b"}));
	EXPECT_EQ(relay.list.next, 101);
}

} // namespace
