#include "base/rnd.h"
#include "ep/rest.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <gtest/gtest.h>
#include <queue>
#include <vector>

/*
 * A surge in which some of the endpoints want rest at once, and reject all that comes for 6 s,
 * before few and many hosts: a tenth of many endpoints, or most of a few that all hosts share.
 * Three ways are played on the same arrivals; the one that is built is held to what the users
 * count.
 */
namespace
{

const int64_t MS = 1000;
const int64_t SEC = 1000 * MS;
const int64_t SURGE = SEC;    /* when the rests begin */
const int64_t WELL = 7 * SEC; /* when those endpoints take requests again */
const int64_t END = 10 * SEC;
const int64_t REST = 3 * SEC;
const int64_t HEARD = SEC / 2;	     /* after which an answer binds its host */
const int64_t TOLD_LATER = 200 * MS; /* news of another host */
const int64_t HINT_STEP = SEC / 2;   /* in which the same news is handed on once */
const int64_t WORK = 150 * MS;	     /* that a request takes */
const int RESTS = 2;		     /* one after the other, at each of those endpoints */
const int SENDS_MAX = 5;
const int LOOKS_MAX = 100;	  /* endpoints that a choice compares */
const int LOOKS_STEP = 7;	  /* shares no factor with the numbers of endpoints */
const double REPEATS = 0.2;	  /* of the requests, that may be sent again */
const double REPEATS_FIXED = 200; /* and so many in a window, over all hosts */

enum Way {
	UNHEARD, /* nobody reads it */
	OWN,	 /* each host keeps the rests that it was asked for */
	TOLD	 /* and tells the others, which use the endpoint only where there is no other */
};

struct Outcome {
	int requests, served, refused, rejected;
	int most;     /* requests of one host at one endpoint within a rest */
	int64_t news; /* messages between hosts */
	double back;  /* part of a fair portion that the rested ones get in the last second */
};

struct Event {
	int64_t at;
	int host;
	int endpoint; /* whose request ends; -1: one arrives */
	bool operator>(const Event &other) const
	{
		return at > other.at;
	}
};

class Sim
{
      public:
	Sim(int hosts, int endpoints, int resting, Way way)
		: hosts_(hosts), endpoints_(endpoints), resting_(resting), way_(way)
	{
		rests_.resize((size_t)hosts_ * endpoints_);
		hints_.resize(rests_.size());
		in_flight_.resize(rests_.size());
		within_.resize(rests_.size());
		asked_.resize(rests_.size());
		left_.assign(hosts_, 1 + REPEATS_FIXED / hosts_);
	}

	Outcome Play()
	{
		for (int h = 0; h < hosts_; h++)
			Push(Gap(), h, -1);
		while (!events_.empty()) {
			Event e = events_.top();
			events_.pop();
			now_ = e.at;
			if (e.endpoint >= 0) {
				in_flight_[At(e.host, e.endpoint)]--;
			} else if (now_ < END) {
				Arrive(e.host);
				Push(now_ + Gap(), e.host, -1);
			}
		}
		out_.back /= 1.0 * out_.requests / (END / SEC) / endpoints_ * resting_;
		return out_;
	}

      private:
	size_t At(int host, int endpoint) const
	{
		return (size_t)host * endpoints_ + endpoint;
	}
	int64_t Gap()
	{
		return (int64_t)(2.0 * SEC / 6 * rnd_unit(&seed_)); /* 6 requests a second a host */
	}
	void Push(int64_t at, int host, int endpoint)
	{
		events_.push(Event{at, host, endpoint});
	}
	bool Rejects(int endpoint) const
	{
		return endpoint < resting_ && now_ >= SURGE && now_ < WELL;
	}

	/* Fewest requests in flight, as this host knows; chance among those that are alike. */
	int Pick(int host, const std::vector<int> &avoid)
	{
		double best = 1e12;
		int chosen = -1;
		int first = endpoints_ > LOOKS_MAX ? (int)(rnd_unit(&seed_) * endpoints_) : 0;
		for (int i = 0; i < std::min(endpoints_, LOOKS_MAX); i++) {
			int e = (first + i * LOOKS_STEP) % endpoints_;
			if (way_ != UNHEARD && !rst_is_open(&rests_[At(host, e)], now_))
				continue;
			double cost = (in_flight_[At(host, e)] + 1) * (1 + 0.2 * rnd_unit(&seed_));
			if (now_ >= hints_[At(host, e)].from && now_ < hints_[At(host, e)].to)
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
		size_t at = At(host, e);
		if (asked_[at] > 0 && now_ >= asked_[at] + HEARD && now_ < asked_[at] + REST)
			out_.most = std::max(out_.most, ++within_[at]);
		if (e < resting_ && now_ >= END - SEC)
			out_.back++;
	}
	void Reject(int host, int e)
	{
		size_t at = At(host, e);
		out_.rejected++;
		asked_[at] = now_;
		within_[at] = 0;
		rst_on_asked(&rests_[at], REST, now_, rnd_unit(&seed_));
		for (int h = 0; way_ == TOLD && h < hosts_; h++) {
			if (h == host)
				continue;
			Hint &hint = hints_[At(h, e)];
			if (hint.to < now_ + HINT_STEP)
				out_.news++;
			if (hint.to < now_)
				hint.from = now_ + TOLD_LATER;
			hint.to = now_ + REST;
		}
	}
	void Arrive(int host)
	{
		std::vector<int> avoid;
		out_.requests++;
		left_[host] += REPEATS;
		for (int sends = 0; sends < SENDS_MAX; sends++) {
			int e = Pick(host, avoid);
			if (e < 0 || (sends > 0 && left_[host] < 1))
				break;
			left_[host] -= sends > 0;
			Count(host, e);
			rst_on_sent(&rests_[At(host, e)], now_);
			if (!Rejects(e)) {
				rst_on_taken(&rests_[At(host, e)], now_);
				in_flight_[At(host, e)]++;
				Push(now_ + WORK, host, e);
				out_.served++;
				return;
			}
			Reject(host, e);
			avoid.push_back(e);
		}
		out_.refused++;
	}

	int hosts_, endpoints_, resting_;
	Way way_;
	int64_t now_ = 0;
	uint32_t seed_ = 7;
	std::vector<rst> rests_;
	struct Hint {
		int64_t from, to;
	};
	std::vector<Hint> hints_;
	std::vector<int> in_flight_, within_;
	std::vector<int64_t> asked_;
	std::vector<double> left_;
	std::priority_queue<Event, std::vector<Event>, std::greater<Event>> events_;
	Outcome out_{};
};

/* Guards against hosts that send to endpoints which want rest, and refuse callers for that. */
TEST(RestSimTest, EndpointsThatWantRestInASurge)
{
	static const char *const names[] = {"unheard", "own", "told"};
	static const struct {
		int hosts, endpoints, resting;
	} scenes[] = {
		{7, 5, 3},	{7, 40, 4},	  {30, 90, 9},	     {76, 12, 6},
		{76, 228, 22},	{300, 901, 90},	  {370, 40, 20},     {370, 1111, 111},
		{984, 100, 50}, {984, 3001, 300}, {1968, 6002, 600},
	};
	for (const auto &scene : scenes) {
		Outcome by_way[3]{};
		for (Way way : {UNHEARD, OWN, TOLD}) {
			if (scene.hosts > 370 && way != TOLD && !getenv("BG_SIM_ALL"))
				continue;
			Outcome out = Sim(scene.hosts, scene.endpoints, scene.resting, way).Play();
			by_way[way] = out;
			printf("%4d hosts %4d endpoints %3d rest, %-8s requests %6d refused %5d "
			       "rejected %6d most %3d news %8lld back %.2f\n",
			       scene.hosts, scene.endpoints, scene.resting, names[way],
			       out.requests, out.refused, out.rejected, out.most,
			       (long long)out.news, out.back);
		}
		const Outcome &built = by_way[TOLD];
		/* Those that come to endpoints which rest while the news are on their way. */
		const double unheard =
			RESTS * TOLD_LATER / (1.0 * END) * scene.resting / scene.endpoints;
		EXPECT_LE(built.most, 2) << scene.hosts;
		EXPECT_LE(built.refused, unheard * built.requests)
			<< scene.hosts << " hosts, " << scene.endpoints << " endpoints";
		/* Of fewer requests than that chance decides. */
		if (1.0 * built.requests / (END / SEC) / scene.endpoints * scene.resting > 50) {
			EXPECT_GT(built.back, 0.75) << scene.hosts << ": used like the others";
		}
	}
}

} // namespace
