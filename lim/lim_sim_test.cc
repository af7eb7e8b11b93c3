#include "base/rnd.h"
#include "lim/home.h"
#include "lim/members.h"
#include "lim/permits.h"

#include <algorithm>
#include <cstdio>
#include <gtest/gtest.h>
#include <map>
#include <string>
#include <vector>

/*
 * Simulates a limit that many hosts enforce together. Messages between hosts take 50 to 500 ms,
 * callers are distributed unevenly, and hosts stop and restart. Three methods of dividing the limit
 * run on the same arrivals; only the implemented one, permits, is checked against the bounds.
 */
namespace
{

const int64_t MS = 1000;
const int64_t SECOND = 1000 * MS;
const int64_t STEP = 10 * MS;
const int64_t SETTLE = 8 * SECOND;
const int64_t END = 60 * SECOND;
const int64_t WINDOW = 4 * SECOND;
const int64_t REQUEST_INTERVAL_MIN = 50 * MS;
const int64_t PERMIT_WAIT_MAX = SECOND; /* Time that a request waits for a permit. */

enum Method {
	/* One host, the home, grants a permit for each request. */
	PERMITS,
	/* Each host has an equal part of the limit and saves at most one request. */
	EQUAL_PARTS,
	/* Each host has a part in proportion to its demand, which it reports twice a second. */
	DEMAND_PARTS
};

enum CallerDistribution {
	EVEN,
	ONE_HOST,
	FEW_HOSTS, /* A fifth of the hosts receives four fifths of the requests. */
};

struct Scenario {
	int hosts;
	double limit;
	CallerDistribution callers;
	bool churn;  /* Whether one host is killed each second and restarts 2 s later. */
	double load; /* Request rate as a multiple of the limit. */
};

struct Message {
	int64_t at;
	int host;
	bool to_home;
	int wanted, returned; /* Demand and returned permits, in a message to the home. */
	int permits;	      /* Granted permits, in a message from the home. */
	/* Time of the home's clock: of sending, or the newest time that the host has received. */
	int64_t stamp;
	double share; /* Requests per second that the host may send, for DEMAND_PARTS. */
};

struct Host {
	lim_permits held;
	int64_t last_request = 0; /* Time of the last request for permits. */
	/* Arrival times of the last messages, since a connection keeps their order. */
	int64_t last_sent = 0;
	int64_t last_received = 0;
	/* Newest time of the home's clock that the host has received. */
	int64_t known_home_time = 0;
	int64_t down_until = 0;
	std::vector<int64_t> waiting;
	double share = 0, saved = 0; /* Rate and saved requests, without permits. */
	int64_t share_until = 0;
	double demand = 0;
};

struct Result {
	double used; /* Number of requests as a part of those that the limit allows. */
	int most;    /* Highest number of requests in any 4 s. */
};

class Simulation
{
      public:
	Simulation(Method method, const Scenario &scenario, uint32_t seed)
		: method_(method), scenario_(scenario), seed_(seed)
	{
		const lim_notice notice = {true, scenario.limit, 1};

		lim_home_init(&home_, 0);
		lim_home_set_limit(&home_, &notice, 0);
		lim_members_init(&members_);
		hosts_.resize((size_t)scenario.hosts);
		GPtrArray *names = g_ptr_array_new();
		for (int i = 0; i < scenario.hosts; i++) {
			names_.push_back("host-" + std::to_string(i));
			number_[names_.back()] = i;
			memset(&hosts_[(size_t)i].held, 0, sizeof(lim_permits));
			lim_permits_update_limit(&hosts_[(size_t)i].held, &notice);
			/* Hosts must not save their first request all at the same time. */
			hosts_[(size_t)i].saved = rnd_uniform(&seed_);
		}
		for (auto &name : names_)
			g_ptr_array_add(names, (gpointer)name.c_str());
		lim_members_set_hosts(&members_, names, 0);
		g_ptr_array_unref(names);
	}
	~Simulation()
	{
		lim_home_finish(&home_);
		lim_members_finish(&members_);
	}

	Result Run()
	{
		for (now_ = STEP; now_ < END; now_ += STEP) {
			Churn();
			Deliver();
			if (method_ == PERMITS)
				GrantPermits();
			for (int i = 0; i < scenario_.hosts; i++)
				RunHost(i);
		}
		return Measure();
	}

      private:
	Host &At(int i)
	{
		return hosts_[(size_t)i];
	}
	double Rate(int i) const
	{
		double all = scenario_.limit * scenario_.load;
		int few = std::max(scenario_.hosts / 5, 1);

		if (scenario_.callers == ONE_HOST)
			return i == scenario_.hosts - 1 ? all : 0;
		if (scenario_.callers == FEW_HOSTS)
			return i < few ? all * 0.8 / few : all * 0.2 / (scenario_.hosts - few);
		return all / scenario_.hosts;
	}
	void Send(Message message, int64_t &last)
	{
		int64_t delay = 50 * MS + (int64_t)(rnd_uniform(&seed_) * 450) * MS;

		message.at = last = std::max(now_ + delay, last);
		messages_.insert({message.at, message});
	}
	void Churn()
	{
		if (!scenario_.churn || now_ % SECOND != 0)
			return;
		/* Host 0 is the home; its loss is covered by another test. */
		int i = 1 + (int)(rnd_uniform(&seed_) * (scenario_.hosts - 1));
		At(i).down_until = now_ + 2 * SECOND;
		At(i).held.permits = At(i).held.returned = At(i).held.wanted = 0;
		At(i).waiting.clear();
		At(i).known_home_time = 0;
		lim_home_remove_host(&home_, names_[(size_t)i].c_str());
		lim_members_end_lease(&members_, names_[(size_t)i].c_str());
	}
	void Deliver()
	{
		while (!messages_.empty() && messages_.begin()->first <= now_) {
			Message m = messages_.begin()->second;

			messages_.erase(messages_.begin());
			if (At(m.host).down_until > now_)
				continue;
			if (m.to_home)
				OnPermitRequest(m);
			else
				OnPermitAnswer(m);
		}
	}
	void OnPermitRequest(const Message &m)
	{
		const char *name = names_[(size_t)m.host].c_str();

		if (method_ == DEMAND_PARTS) {
			demands_[m.host] = {now_, (double)m.wanted};
			double sum = 0;
			for (auto &entry : demands_) {
				if (now_ - entry.second.first < 2 * SECOND)
					sum += entry.second.second;
			}
			double share = sum > 0 ? scenario_.limit * m.wanted / sum : 0;
			Send({0, m.host, false, 0, 0, 0, 0, share}, At(m.host).last_received);
			return;
		}
		if (m.stamp > 0)
			lim_members_renew_lease(&members_, name, m.stamp);
		lim_home_report_demand(&home_, name, m.wanted, m.returned, now_);
		last_requests_[m.host] = m.at;
		Send({0, m.host, false, 0, 0, 0, now_, 0}, At(m.host).last_received);
	}
	void GrantPermits()
	{
		const char *name;

		while ((name = lim_home_grant_next(&home_, lim_members_limit_ratio(&members_, now_),
						   now_)))
			Send({0, number_[name], false, 0, 0, 1, now_, 0},
			     At(number_[name]).last_received);
	}
	void OnPermitAnswer(const Message &m)
	{
		Host &host = At(m.host);

		if (method_ == DEMAND_PARTS) {
			host.share = m.share;
			host.share_until = now_ + 2 * SECOND;
			return;
		}
		host.known_home_time = std::max(host.known_home_time, m.stamp);
		if (m.permits > 0)
			lim_permits_add(&host.held, m.permits, host.last_request, now_);
	}
	bool UsePermit(Host &host)
	{
		if (method_ == PERMITS) {
			if (!lim_permits_may_send(&host.held, now_))
				return false;
			lim_permits_use(&host.held, now_);
		} else {
			if (host.saved < 1)
				return false;
			host.saved--;
		}
		arrivals_.push_back(now_);
		return true;
	}
	void RunHost(int i)
	{
		Host &host = At(i);

		if (host.down_until > now_)
			return;
		if (method_ == EQUAL_PARTS)
			host.share = scenario_.limit / scenario_.hosts;
		if (method_ == EQUAL_PARTS || host.share_until > now_)
			host.saved = std::min(1.0, host.saved + host.share * STEP / 1e6);
		while (!host.waiting.empty() && UsePermit(host))
			host.waiting.erase(host.waiting.begin());
		while (!host.waiting.empty() && now_ - host.waiting[0] > PERMIT_WAIT_MAX)
			host.waiting.erase(host.waiting.begin());
		if (rnd_uniform(&seed_) < Rate(i) * STEP / 1e6) {
			host.held.wanted++;
			host.demand++;
			if (!UsePermit(host) && host.waiting.size() < 2)
				host.waiting.push_back(now_);
		}
		RequestPermits(i);
	}
	void RequestPermits(int i)
	{
		Host &host = At(i);

		if (method_ == EQUAL_PARTS)
			return;
		if (method_ == DEMAND_PARTS) {
			host.demand *= 0.9931; /* Half-life of one second. */
			if (now_ - host.last_request < 500 * MS)
				return;
			host.last_request = now_;
			Send({0, i, true, (int)(host.demand * 100), 0, 0, 0, 0}, host.last_sent);
			return;
		}
		lim_permits_may_send(&host.held, now_);
		bool due = host.held.wanted > 0 || host.held.returned > 0;
		if (now_ - host.last_request < (due ? REQUEST_INTERVAL_MIN : SECOND))
			return;
		host.last_request = now_;
		Send({0, i, true, host.held.wanted, host.held.returned, 0, host.known_home_time, 0},
		     host.last_sent);
		host.held.wanted = host.held.returned = 0;
	}
	Result Measure() const
	{
		Result result = {0, 0};
		size_t first = 0;

		for (size_t last = 0; last < arrivals_.size(); last++) {
			while (arrivals_[last] - arrivals_[first] >= WINDOW)
				first++;
			result.most = std::max(result.most, (int)(last - first) + 1);
			result.used += arrivals_[last] > SETTLE;
		}
		result.used /= scenario_.limit * (END - SETTLE) / 1e6;
		return result;
	}

	Method method_;
	Scenario scenario_;
	uint32_t seed_;
	int64_t now_ = 0;
	lim_home home_;
	lim_members members_;
	std::vector<Host> hosts_;
	std::vector<std::string> names_;
	std::map<std::string, int> number_;
	std::map<int, int64_t> last_requests_;
	std::map<int, std::pair<int64_t, double>> demands_;
	std::multimap<int64_t, Message> messages_;
	std::vector<int64_t> arrivals_;
};

/*
 * Returns the highest number of requests allowed in 4 s: those of the limit in this time and in the
 * time for which a permit is on its way and kept, plus the saved ones.
 */
int Bound(const Scenario &scenario)
{
	const double on_its_way_s = 0.5, kept_s = 1.0, saved_s = 0.5;

	return (int)(scenario.limit * (4 + on_its_way_s + kept_s) +
		     std::max(scenario.limit * saved_s, 1.0) + 1);
}

class LimitOverHosts : public testing::TestWithParam<Scenario>
{
};

TEST_P(LimitOverHosts, RequestsStayWithinTheLimitAndUseIt)
{
	const Scenario scenario = GetParam();
	const char *methods[] = {"permits", "equal parts", "by demand"};
	Result results[3];

	for (int method = PERMITS; method <= DEMAND_PARTS; method++) {
		results[method] = Simulation((Method)method, scenario, 7).Run();
		printf("%3d hosts, %5.1f/s, callers %d, churn %d: %-13s used %.2f, most in 4 s %d "
		       "(limit %.1f, tolerated %.0f)\n",
		       scenario.hosts, scenario.limit, scenario.callers, scenario.churn,
		       methods[method], results[method].used, results[method].most,
		       scenario.limit * 4, scenario.limit * 6 + 5);
	}
	EXPECT_LE(results[PERMITS].most, Bound(scenario));
	EXPECT_LE(results[PERMITS].most, (int)(scenario.limit * 6 + 5));
	EXPECT_LE(results[PERMITS].used, 1.02);
	EXPECT_GE(results[PERMITS].used, scenario.churn ? 0.85 : 0.9);
}

INSTANTIATE_TEST_SUITE_P(
	LimTest, LimitOverHosts,
	testing::Values(Scenario{7, 2.9, EVEN, false, 4}, Scenario{7, 2.9, ONE_HOST, false, 4},
			Scenario{7, 2.9, FEW_HOSTS, true, 4}, Scenario{7, 0.3, FEW_HOSTS, false, 8},
			Scenario{71, 2.9, EVEN, false, 4}, Scenario{71, 2.9, ONE_HOST, false, 4},
			Scenario{71, 30, FEW_HOSTS, true, 4}, Scenario{370, 2.9, EVEN, false, 4},
			Scenario{370, 2.9, ONE_HOST, false, 4},
			Scenario{370, 2.9, FEW_HOSTS, true, 4}, Scenario{370, 30, EVEN, true, 4}));

} // namespace
