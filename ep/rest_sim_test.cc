#include "base/rnd.h"
#include "ep/rest.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <gtest/gtest.h>
#include <queue>
#include <vector>

/*
 * Simulates a surge in which some of the endpoints ask for rest at the same time and reject every
 * request for 6 s, with few and with many hosts. The resting endpoints are a tenth of many, or most
 * of a few that all hosts share. Three policies run on the same kind of arrivals; the implemented
 * one has to meet the bounds on refused callers and on requests to resting endpoints.
 */
namespace
{

const int64_t MS = 1000;
const int64_t SEC = 1000 * MS;
const int64_t SURGE_US = SEC;	     /* time at which the rests begin */
const int64_t RECOVERY_US = 7 * SEC; /* time at which the endpoints accept requests again */
const int64_t END_US = 10 * SEC;     /* time from which no more requests arrive */
const int64_t REST_US = 3 * SEC;     /* length of the rest that an endpoint asks for */
const int64_t ANSWER_US =
	SEC / 2; /* time after a rejection from which its host must obey the rest */
const int64_t HINT_DELAY_US = 200 * MS; /* time until other hosts apply the news of a rest */
const int64_t HINT_STEP_US = SEC / 2;	/* smallest extension of a rest that hosts send on */
const int64_t SERVICE_US = 150 * MS;	/* duration of a request */
const int RESTS = 2;			/* consecutive rests of each resting endpoint */
const int SENDS_MAX = 5;		/* largest number of attempts for one request */
const int CANDIDATES_MAX = 100;		/* largest number of endpoints that a choice compares */
const int CANDIDATES_STEP = 7;		/* stride; has no factor in common with endpoint counts */
const double RETRY_RATIO = 0.2;		/* retries that are allowed per request */
const double RETRY_FIXED = 200;		/* further retries that are allowed, over all hosts */

enum Policy {
	IGNORE, /* hosts ignore requests for rest */
	OWN,	/* each host obeys the requests for rest that it received itself */
	SHARED /* as OWN, and other hosts are notified and use the endpoint only as a last resort */
};

struct Outcome {
	int requests, served, refused, rejected;
	int most_in_rest; /* largest number of requests of one host to one endpoint in a rest */
	int64_t messages; /* messages between hosts */
	double recovered; /* requests in the last second to rested endpoints; 1: a fair share */
};

struct Event {
	int64_t at; /* time in microseconds */
	int host;
	int endpoint; /* endpoint at which a request ends; -1 if a request arrives at the host */
	bool operator>(const Event &other) const
	{
		return at > other.at;
	}
};

class Sim
{
      public:
	Sim(int hosts, int endpoints, int resting, Policy policy)
		: hosts_(hosts), endpoints_(endpoints), resting_(resting), policy_(policy)
	{
		rests_.resize((size_t)hosts_ * endpoints_);
		hints_.resize(rests_.size());
		in_flight_.resize(rests_.size());
		sent_in_rest_.resize(rests_.size());
		rest_asked_us_.resize(rests_.size());
		retries_left_.assign(hosts_, 1 + RETRY_FIXED / hosts_);
	}

	Outcome Run()
	{
		for (int h = 0; h < hosts_; h++)
			Push(NextGap(), h, -1);
		while (!events_.empty()) {
			Event e = events_.top();
			events_.pop();
			now_ = e.at;
			if (e.endpoint >= 0) {
				in_flight_[Index(e.host, e.endpoint)]--;
			} else if (now_ < END_US) {
				Arrive(e.host);
				Push(now_ + NextGap(), e.host, -1);
			}
		}
		out_.recovered /= 1.0 * out_.requests / (END_US / SEC) / endpoints_ * resting_;
		return out_;
	}

      private:
	size_t Index(int host, int endpoint) const
	{
		return (size_t)host * endpoints_ + endpoint;
	}
	int64_t NextGap()
	{
		/* On average 6 requests arrive per second at each host. */
		return (int64_t)(2.0 * SEC / 6 * rnd_uniform(&seed_));
	}
	void Push(int64_t at, int host, int endpoint)
	{
		events_.push(Event{at, host, endpoint});
	}
	bool Rejects(int endpoint) const
	{
		return endpoint < resting_ && now_ >= SURGE_US && now_ < RECOVERY_US;
	}

	/* Chooses the endpoint with the fewest requests of this host in flight; ties are random. */
	int Choose(int host, const std::vector<int> &avoid)
	{
		double best = 1e12;
		int chosen = -1;
		int first =
			endpoints_ > CANDIDATES_MAX ? (int)(rnd_uniform(&seed_) * endpoints_) : 0;
		for (int i = 0; i < std::min(endpoints_, CANDIDATES_MAX); i++) {
			int e = (first + i * CANDIDATES_STEP) % endpoints_;
			if (policy_ != IGNORE &&
			    !rest_allows_request(&rests_[Index(host, e)], now_))
				continue;
			double cost =
				(in_flight_[Index(host, e)] + 1) * (1 + 0.2 * rnd_uniform(&seed_));
			if (now_ >= hints_[Index(host, e)].from && now_ < hints_[Index(host, e)].to)
				cost += 1e6;
			if (cost < best &&
			    std::find(avoid.begin(), avoid.end(), e) == avoid.end()) {
				best = cost;
				chosen = e;
			}
		}
		return chosen;
	}
	void Count(int host, int e)
	{
		size_t at = Index(host, e);
		if (rest_asked_us_[at] > 0 && now_ >= rest_asked_us_[at] + ANSWER_US &&
		    now_ < rest_asked_us_[at] + REST_US)
			out_.most_in_rest = std::max(out_.most_in_rest, ++sent_in_rest_[at]);
		if (e < resting_ && now_ >= END_US - SEC)
			out_.recovered++;
	}
	void Reject(int host, int e)
	{
		size_t at = Index(host, e);
		out_.rejected++;
		rest_asked_us_[at] = now_;
		sent_in_rest_[at] = 0;
		rest_on_asked(&rests_[at], REST_US, now_, rnd_uniform(&seed_));
		for (int h = 0; policy_ == SHARED && h < hosts_; h++) {
			if (h == host)
				continue;
			Hint &hint = hints_[Index(h, e)];
			if (hint.to < now_ + HINT_STEP_US)
				out_.messages++;
			if (hint.to < now_)
				hint.from = now_ + HINT_DELAY_US;
			hint.to = now_ + REST_US;
		}
	}
	void Arrive(int host)
	{
		std::vector<int> avoid;
		out_.requests++;
		retries_left_[host] += RETRY_RATIO;
		for (int sends = 0; sends < SENDS_MAX; sends++) {
			int e = Choose(host, avoid);
			if (e < 0 || (sends > 0 && retries_left_[host] < 1))
				break;
			retries_left_[host] -= sends > 0;
			Count(host, e);
			rest_on_sent(&rests_[Index(host, e)], now_);
			if (!Rejects(e)) {
				rest_on_accepted(&rests_[Index(host, e)], now_);
				in_flight_[Index(host, e)]++;
				Push(now_ + SERVICE_US, host, e);
				out_.served++;
				return;
			}
			Reject(host, e);
			avoid.push_back(e);
		}
		out_.refused++;
	}

	int hosts_, endpoints_, resting_;
	Policy policy_;
	int64_t now_ = 0;
	uint32_t seed_ = 7;
	std::vector<rest_period> rests_;
	struct Hint {
		int64_t from, to;
	};
	std::vector<Hint> hints_;
	std::vector<int> in_flight_, sent_in_rest_;
	std::vector<int64_t> rest_asked_us_;
	std::vector<double> retries_left_;
	std::priority_queue<Event, std::vector<Event>, std::greater<Event>> events_;
	Outcome out_{};
};

/* Guards against requests to resting endpoints, and against callers refused because of rests. */
TEST(RestSimTest, RestingEndpointsInASurgeGetFewRequestsAndFewCallersAreRefused)
{
	static const char *const names[] = {"ignore", "own", "shared"};
	static const struct {
		int hosts, endpoints, resting;
	} scenes[] = {
		{7, 5, 3},	{7, 40, 4},	  {30, 90, 9},	     {76, 12, 6},
		{76, 228, 22},	{300, 901, 90},	  {370, 40, 20},     {370, 1111, 111},
		{984, 100, 50}, {984, 3001, 300}, {1968, 6002, 600},
	};
	for (const auto &scene : scenes) {
		Outcome by_policy[3]{};
		for (Policy policy : {IGNORE, OWN, SHARED}) {
			if (scene.hosts > 370 && policy != SHARED && !getenv("BG_SIM_ALL"))
				continue;
			Outcome out =
				Sim(scene.hosts, scene.endpoints, scene.resting, policy).Run();
			by_policy[policy] = out;
			printf("%4d hosts %4d endpoints %3d rest, %-8s requests %6d refused %5d "
			       "rejected %6d most in a rest %3d messages %8lld recovered %.2f\n",
			       scene.hosts, scene.endpoints, scene.resting, names[policy],
			       out.requests, out.refused, out.rejected, out.most_in_rest,
			       (long long)out.messages, out.recovered);
		}
		const Outcome &implemented = by_policy[SHARED];
		/* Part of the requests that arrive while hosts don't know of a rest yet. */
		const double uninformed =
			RESTS * HINT_DELAY_US / (1.0 * END_US) * scene.resting / scene.endpoints;
		EXPECT_LE(implemented.most_in_rest, 2) << scene.hosts;
		EXPECT_LE(implemented.refused, uninformed * implemented.requests)
			<< scene.hosts << " hosts, " << scene.endpoints << " endpoints";
		/* With fewer requests to these endpoints the result would be random. */
		if (1.0 * implemented.requests / (END_US / SEC) / scene.endpoints * scene.resting >
		    50) {
			EXPECT_GT(implemented.recovered, 0.75)
				<< scene.hosts << ": used like the others";
		}
	}
}

} // namespace
