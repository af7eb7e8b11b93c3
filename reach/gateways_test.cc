#include "reach/gateways.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t T = 100000 * MS; /* any time */

std::string host_name(int i)
{
	return "h" + std::to_string(i);
}

/* All hosts of a deployment, in zones by turns. */
GPtrArray *make_hosts(int hosts, int zones)
{
	GPtrArray *all = g_ptr_array_new_with_free_func(gws_host_free);

	for (int i = 0; i < hosts; i++) {
		std::string zone = "z" + std::to_string(i % zones);

		g_ptr_array_add(all,
				gws_host_new(host_name(i).c_str(), "10.0.0.1:1", zone.c_str()));
	}
	return all;
}

void init(gws *gws, const GPtrArray *all, int self, int zones)
{
	std::string zone = "z" + std::to_string(self % zones);
	GPtrArray *selected = gws_select(all, host_name(self).c_str(), zone.c_str());

	gws_init(gws, zone.c_str());
	gws_set_hosts(gws, selected);
	g_ptr_array_unref(selected);
}

/* Guards against state and connections that grow with the number of hosts. */
TEST(GatewaysTest, AHostKnowsABoundedNumberOfGateways)
{
	for (int n : {1, 7, 76, 370, 984, 1968}) {
		GPtrArray *all = make_hosts(n, 3);
		GPtrArray *some = gws_select(all, "h0", "z0");

		SCOPED_TRACE(n);
		EXPECT_EQ((int)some->len, std::min(n - 1, n < 48 ? n - 1 : 32));
		for (guint i = 0; i < some->len; i++)
			EXPECT_STRNE(((gws_host *)some->pdata[i])->name, "h0");
		g_ptr_array_unref(some);
		g_ptr_array_unref(all);
	}
}

/* Guards against a host that finds no gateway since it knows no other host. */
TEST(GatewaysTest, WithoutOtherHostsThereIsNone)
{
	gws gws;
	uint32_t seed = 1;

	gws_init(&gws, "z0");
	EXPECT_EQ(gws_choose(&gws, nullptr, &seed, T), nullptr);
	gws_finish(&gws);
}

struct result_case {
	gws_result result;
	int times;
	int64_t avoided_ms; /* time for which the gateway is not chosen afterwards */
};

/* Guards against gateways that are asked again and again though they can't help. */
TEST(GatewaysTest, AGatewayThatCannotHelpIsAvoidedForAWhile)
{
	const result_case cases[] = {
		{GWS_OPENED, 1, 0},	    {GWS_NOT_LISTED, 1, 0},	  {GWS_NOT_REACHED, 1, 0},
		{GWS_NOT_REACHED, 2, 1000}, {GWS_CUT_OFF, 1, 1000},	  {GWS_BUSY, 1, 1000},
		{GWS_NO_ANSWER, 1, 2000},   {GWS_NO_SUCH_FRAME, 1, 5000},
	};

	for (const result_case &c : cases) {
		GPtrArray *all = make_hosts(2, 1);
		uint32_t seed = 1;
		gws gws;

		SCOPED_TRACE(c.result);
		init(&gws, all, 0, 1);
		for (int i = 0; i < c.times; i++)
			gws_on_result(gws_find(&gws, "h1"), c.result, 0, T);
		EXPECT_EQ(gws_choose(&gws, nullptr, &seed, T + c.avoided_ms * MS - 1) == nullptr,
			  c.avoided_ms > 0);
		EXPECT_NE(gws_choose(&gws, nullptr, &seed, T + c.avoided_ms * MS), nullptr);
		gws_finish(&gws);
		g_ptr_array_unref(all);
	}
}

/* Guards against a second opinion from a host that is cut off together with the first one. */
TEST(GatewaysTest, ASecondGatewayIsOfAnotherZone)
{
	GPtrArray *all = make_hosts(7, 3);
	uint32_t seed = 1;
	gws gws;

	init(&gws, all, 0, 3);
	for (int i = 0; i < 100; i++) {
		const gws_host *first = gws_choose(&gws, nullptr, &seed, T);
		const gws_host *second = gws_choose(&gws, first, &seed, T);

		EXPECT_STREQ(first->zone, "z0");
		EXPECT_STRNE(second->zone, first->zone);
	}
	gws_finish(&gws);
	g_ptr_array_unref(all);
}

/* Guards against a host that never learns that nobody reaches an endpoint. */
TEST(GatewaysTest, OnceAllAreCutOffNoneReaches)
{
	GPtrArray *all = make_hosts(3, 1);
	gws gws;

	init(&gws, all, 0, 1);
	EXPECT_FALSE(gws_none_reaches(&gws, T));
	gws_on_result(gws_find(&gws, "h1"), GWS_CUT_OFF, 0, T);
	EXPECT_FALSE(gws_none_reaches(&gws, T));
	gws_on_result(gws_find(&gws, "h2"), GWS_NO_ANSWER, 0, T);
	EXPECT_TRUE(gws_none_reaches(&gws, T));
	gws_on_result(gws_find(&gws, "h1"), GWS_NO_ANSWER, 0, T);
	EXPECT_FALSE(gws_none_reaches(&gws, T));
	gws_finish(&gws);
	g_ptr_array_unref(all);
}

/* Guards against the loss of what is known of gateways whenever a host joins. */
TEST(GatewaysTest, ANewListKeepsWhatIsKnown)
{
	GPtrArray *all = make_hosts(3, 1);
	gws gws;

	init(&gws, all, 0, 1);
	gws_on_result(gws_find(&gws, "h1"), GWS_NO_ANSWER, 0, T);
	gws_find(&gws, "h2")->open = 5;
	gws_set_hosts(&gws, all);
	EXPECT_GT(gws_find(&gws, "h1")->avoid_until_us, T);
	EXPECT_EQ(gws_find(&gws, "h2")->open, 5);
	gws_finish(&gws);
	g_ptr_array_unref(all);
}

/* A deployment in which some hosts are cut off, each with a number of tunnels that stay open. */
class Cut
{
      public:
	Cut(int hosts, int zones) : all_(make_hosts(hosts, zones)), hosts_(hosts), gws_(hosts)
	{
		for (int i = 0; i < hosts; i++)
			init(&gws_[(size_t)i], all_, i, zones);
	}
	~Cut()
	{
		for (gws &g : gws_)
			gws_finish(&g);
		g_ptr_array_unref(all_);
	}

	/* Opens a tunnel for the host; returns the number of gateways asked, or -1 if none was
	 * found. */
	int open(int host, const std::vector<bool> &cut, int64_t now_us)
	{
		gws *g = &gws_[(size_t)host];
		const gws_host *tried = nullptr;

		for (int asked = 1; asked <= 4; asked++) {
			gws_host *to = gws_choose(g, tried, &seed_, now_us);

			if (!to)
				return -1;
			int i = std::stoi(std::string(to->name).substr(1));

			if (!cut[(size_t)i]) {
				gws_on_result(to, GWS_OPENED, ++carried_[i], now_us);
				to->open++;
				return asked;
			}
			gws_on_result(to, GWS_CUT_OFF, 0, now_us);
			tried = to;
		}
		return -1;
	}

	const std::map<int, int> &carried() const
	{
		return carried_;
	}

      private:
	GPtrArray *all_;
	int hosts_;
	std::vector<gws> gws_;
	std::map<int, int> carried_; /* host -> tunnels that it carries */
	uint32_t seed_ = 7;
};

struct cut_case {
	const char *name;
	int hosts;
	int zones;
	int cut_zones;	 /* zones of which all hosts are cut off */
	int cut_besides; /* hosts of other zones that are cut off */
	double most;	 /* most tunnels of a gateway, as a multiple of the mean of those not cut */
};

/*
 * Guards against a few gateways that carry everything: hosts of an availability zone lose the
 * endpoints, and each opens 40 tunnels within a second.
 */
TEST(GatewaysTest, TheTunnelsOfAZoneSpreadOverTheOtherHosts)
{
	const cut_case cases[] = {
		{"4 of 7", 7, 3, 1, 1, 1.6},	      {"26 of 76", 76, 3, 1, 0, 2.0},
		{"74 of 370", 370, 5, 1, 0, 3.0},     {"197 of 984", 984, 5, 1, 0, 3.0},
		{"394 of 1,968", 1968, 5, 1, 0, 3.0}, {"591 of 984", 984, 5, 3, 0, 3.0},
	};

	for (const cut_case &c : cases) {
		Cut play(c.hosts, c.zones);
		std::vector<bool> cut((size_t)c.hosts, false);
		int besides = c.cut_besides;
		int n_cut = 0, asked = 0, opened = 0;

		SCOPED_TRACE(c.name);
		for (int i = 0; i < c.hosts; i++) {
			bool is_cut = i % c.zones < c.cut_zones || besides-- > 0;

			cut[(size_t)i] = is_cut;
			n_cut += is_cut;
		}
		for (int round = 0; round < 40; round++) {
			for (int i = 0; i < c.hosts; i++) {
				if (!cut[(size_t)i])
					continue;
				int n = play.open(i, cut, T + round * 25 * MS);

				opened += n > 0;
				asked += n > 0 ? n : 4;
			}
		}
		int most = 0;
		for (const auto &entry : play.carried())
			most = std::max(most, entry.second);
		double mean = 40.0 * n_cut / (c.hosts - n_cut);

		printf("%s cut: %d of %d tunnels opened, %.2f gateways asked for each, busiest %.2f "
		       "of the mean\n",
		       c.name, opened, 40 * n_cut, (double)asked / (40 * n_cut), most / mean);
		EXPECT_GE(opened, 40 * n_cut * 95 / 100);
		EXPECT_LE((double)asked / (40 * n_cut), 1.5);
		EXPECT_LE(most / mean, c.most);
	}
}

} // namespace
