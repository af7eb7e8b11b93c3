#include "quar/quar.h"

#include <gtest/gtest.h>
#include <algorithm>
#include <cstdio>
#include <queue>
#include <random>
#include <vector>

/*
 * Simulation of a deployment in which some requests crash endpoints, at its present size and at the
 * size expected in two years. Requests arrive at random hosts and run in batches at endpoints. An
 * endpoint that crashes interrupts its whole batch and is down for some seconds. Hosts send the
 * interrupted requests again, callers repeat a failed request once, and messages between hosts are
 * delayed. The tests count both errors of the quarantine: crashes by a request after its third
 * crash, and harmless requests that are refused.
 *
 * The figures come from a recorded day of 7 hosts and 33 engines: 2.4 requests a second at each
 * first stage, 4 s each, without output for the first 150 ms; a crashing request crashes its
 * endpoint 100 ms after its start; an endpoint is up again after 3 s; a request has three attempts.
 */
namespace
{

const int64_t MS = 1000;
const int64_t SEC = 1000 * MS;

struct Scenario {
	int hosts;
	int endpoints;
	int crashing;		  /* number of different requests that crash endpoints */
	double crashing_per_s;	  /* arrivals a second of all crashing requests together */
	int limit;		  /* points from which on a request is refused; NO_LIMIT: never */
	int64_t message_delay_us; /* time of a message between two hosts, in microseconds */
	double popular_share;	  /* fraction of the harmless requests that have the same content */
	bool mass_outage;	  /* a third of all endpoints crash at 5 s and again at 9 s */
};

struct Result {
	int crashes = 0;	    /* number of endpoint crashes caused by crashing requests */
	int starts_after_third = 0; /* attempts of crashing requests started later than 3 s after
					the request's third crash */
	int harmless = 0;	    /* number of harmless requests */
	int refused = 0;	    /* number of harmless requests refused by the quarantine */
	int lost = 0;		    /* number of harmless requests not served, for any reason */
	double mean_down = 0;	    /* mean number of endpoints that are down */
};

enum Kind {
	ARRIVAL,
	CRASH,
	PROGRESS,
	END,
	ENDPOINT_UP,
	MESSAGE,
	MASS_OUTAGE
};

struct Event {
	int64_t at;
	Kind kind;
	int index;	/* index of the request, endpoint or message */
	int generation; /* attempt or endpoint incarnation to which the event belongs */
	bool operator>(const Event &other) const
	{
		return at > other.at;
	}
};

struct Request {
	quar_key key;
	int crashing = -1; /* index of the crashing request; -1 if harmless */
	int host = 0;
	int endpoint = -1;
	int attempt = 0;
	int caller_repeats = 0;
	bool has_output = false;
	int64_t started_at = 0; /* time at which the current attempt started, in microseconds */
	bool done = false;
};

struct Endpoint {
	bool up = true;
	int incarnation = 0;
	std::vector<int> batch;
};

struct Message {
	int host;
	quar_entry *entry;
};

class Model
{
      public:
	Model(const Scenario &scenario, unsigned int seed)
		: seconds_(scenario.hosts > 100 ? 12 : 40), scenario_(scenario), random_(seed)
	{
		hosts_.resize((size_t)scenario.hosts);
		for (auto &host : hosts_)
			quar_init(&host, scenario.limit);
		endpoints_.resize((size_t)scenario.endpoints);
		third_crash_at_.resize((size_t)scenario.crashing, -1);
		crashes_of_.resize((size_t)scenario.crashing, 0);
	}
	~Model()
	{
		for (auto &host : hosts_)
			quar_finish(&host);
		for (auto &message : messages_)
			quar_entry_free(message.entry);
	}
	Result Run()
	{
		for (double t = 0; t < seconds_; t += 1 / (2.4 * scenario_.endpoints))
			Arrive((int64_t)(t * SEC), -1);
		for (double t = 1; scenario_.crashing > 0 && t < seconds_;
		     t += 1 / scenario_.crashing_per_s)
			Arrive((int64_t)(t * SEC), Pick(scenario_.crashing));
		if (scenario_.mass_outage) {
			Push(5 * SEC, MASS_OUTAGE, 0, 0);
			Push(9 * SEC, MASS_OUTAGE, 0, 0);
		}
		while (!events_.empty()) {
			const Event event = events_.top();
			events_.pop();
			now_ = event.at;
			Handle(event);
		}
		result_.mean_down /= seconds_ * SEC;
		return result_;
	}

      private:
	int Pick(int n)
	{
		return (int)(random_() % (unsigned int)n);
	}
	void Push(int64_t at, Kind kind, int index, int generation)
	{
		events_.push({at, kind, index, generation});
	}
	void Arrive(int64_t at, int crashing)
	{
		Request request;

		request.crashing = crashing;
		if (crashing >= 0)
			request.key = quar_key{2, (uint64_t)crashing};
		else if ((double)random_() < scenario_.popular_share * (double)random_.max())
			request.key = quar_key{3, 0};
		else
			request.key = quar_key{1, (uint64_t)requests_.size()};
		result_.harmless += crashing < 0;
		requests_.push_back(request);
		Push(at, ARRIVAL, (int)requests_.size() - 1, 0);
	}
	void Handle(const Event &event)
	{
		switch (event.kind) {
		case ARRIVAL:
			requests_[(size_t)event.index].host = Pick(scenario_.hosts);
			Send(event.index);
			break;
		case PROGRESS:
		case CRASH:
		case END:
			if (requests_[(size_t)event.index].attempt == event.generation &&
			    !requests_[(size_t)event.index].done)
				HandleAttempt(event);
			break;
		case ENDPOINT_UP:
			if (endpoints_[(size_t)event.index].incarnation == event.generation)
				endpoints_[(size_t)event.index].up = true;
			break;
		case MESSAGE:
			Merge(messages_[(size_t)event.index]);
			break;
		case MASS_OUTAGE:
			CrashMany();
			break;
		}
	}
	void HandleAttempt(const Event &event)
	{
		Request &request = requests_[(size_t)event.index];

		if (event.kind == CRASH) {
			CrashEndpoint(request.endpoint, request.crashing);
		} else if (event.kind == PROGRESS) {
			const quar_id id = {request.key, "a"};

			request.has_output = true;
			Broadcast(request.host, quar_on_progress(&hosts_[(size_t)request.host], &id,
								 RunningTime(request), now_));
		} else {
			const quar_id id = {request.key, "a"};

			Remove(request.endpoint, event.index);
			request.done = true;
			Broadcast(request.host,
				  quar_clear(&hosts_[(size_t)request.host], &id, now_));
		}
	}
	int64_t RunningTime(const Request &request) const
	{
		return request.has_output ? now_ - request.started_at : 0;
	}
	/* Returns the longest running time of the attempts with this content at the same host. */
	int64_t LongestRunningTime(const Request &request) const
	{
		int64_t longest = RunningTime(request);

		if (request.key.high != 3)
			return longest;
		for (const auto &endpoint : endpoints_) {
			for (int i : endpoint.batch) {
				const Request &other = requests_[(size_t)i];

				if (other.host == request.host && other.key.high == 3)
					longest = std::max(longest, RunningTime(other));
			}
		}
		return longest;
	}
	void Remove(int endpoint, int index)
	{
		auto &batch = endpoints_[(size_t)endpoint].batch;

		for (auto &at : batch) {
			if (at == index) {
				at = batch.back();
				batch.pop_back();
				return;
			}
		}
	}
	void Send(int index)
	{
		Request &request = requests_[(size_t)index];
		const quar_id id = {request.key, "a"};
		int at = -1;

		if (quar_remaining_us(&hosts_[(size_t)request.host], &id, now_) > 0) {
			result_.refused += request.crashing < 0;
			Fail(index);
			return;
		}
		for (int i = 0; i < 20 && at < 0; i++) {
			int endpoint = Pick(scenario_.endpoints);

			if (endpoints_[(size_t)endpoint].up)
				at = endpoint;
		}
		if (at < 0 || request.attempt % 10 == attempts_) {
			RepeatByCaller(index);
			return;
		}
		request.attempt++;
		request.endpoint = at;
		request.has_output = false;
		request.started_at = now_;
		endpoints_[(size_t)at].batch.push_back(index);
		if (request.crashing >= 0) {
			int64_t third_crash_at = third_crash_at_[(size_t)request.crashing];

			result_.starts_after_third +=
				third_crash_at >= 0 && now_ > third_crash_at + 3 * SEC;
			Push(now_ + 100 * MS, CRASH, index, request.attempt);
		} else {
			Push(now_ + 150 * MS, PROGRESS, index, request.attempt);
			Push(now_ + 1200 * MS, PROGRESS, index, request.attempt);
			Push(now_ + 4 * SEC, END, index, request.attempt);
		}
	}
	/* The caller repeats a failed request once, at a random host. */
	void RepeatByCaller(int index)
	{
		Request &request = requests_[(size_t)index];

		if (request.caller_repeats++ > 0) {
			Fail(index);
			return;
		}
		request.attempt = 10;
		request.host = Pick(scenario_.hosts);
		Push(now_ + 50 * MS, ARRIVAL, index, 0);
	}
	void Fail(int index)
	{
		Request &request = requests_[(size_t)index];

		request.done = true;
		result_.lost += request.crashing < 0;
	}
	/* Takes all affected endpoints down before any interrupted request is sent again. */
	void CrashMany()
	{
		std::vector<int> up;

		for (int i = 0; i < scenario_.endpoints; i += 3) {
			if (endpoints_[(size_t)i].up)
				up.push_back(i);
			endpoints_[(size_t)i].up = false;
		}
		for (int i : up) {
			endpoints_[(size_t)i].up = true;
			CrashEndpoint(i, -1);
		}
	}
	void CrashEndpoint(int index, int crashing)
	{
		Endpoint &endpoint = endpoints_[(size_t)index];
		const uint64_t incarnation =
			((uint64_t)index << 32) + (uint64_t)endpoint.incarnation;
		std::vector<int> batch;

		if (!endpoint.up)
			return;
		batch.swap(endpoint.batch);
		endpoint.up = false;
		endpoint.incarnation++;
		result_.mean_down += 3 * SEC;
		Push(now_ + 3 * SEC, ENDPOINT_UP, index, endpoint.incarnation);
		if (crashing >= 0) {
			result_.crashes++;
			if (++crashes_of_[(size_t)crashing] == 3)
				third_crash_at_[(size_t)crashing] = now_;
		}
		for (int interrupted : batch) {
			Request &request = requests_[(size_t)interrupted];
			const quar_id id = {request.key, "a"};
			quar *table = &hosts_[(size_t)request.host];
			const int64_t running_time = RunningTime(request);
			const int weight = running_time < QUAR_JUST_STARTED_US ? QUAR_WEIGHT_STRONG
									       : QUAR_WEIGHT_WEAK;

			Broadcast(request.host,
				  quar_on_progress(table, &id, LongestRunningTime(request), now_));
			Broadcast(request.host, quar_on_crash(table, &id, incarnation, weight,
							      running_time, now_));
			Broadcast(request.host,
				  quar_on_progress(table, &id, LongestRunningTime(request), now_));
		}
		for (int interrupted : batch)
			Resend(interrupted);
	}
	void Resend(int index)
	{
		Request &request = requests_[(size_t)index];

		if (request.attempt % 10 == attempts_)
			RepeatByCaller(index);
		else
			Send(index);
	}
	void Broadcast(int from, const quar_entry *entry)
	{
		if (!entry || !quar_is_propagated(entry))
			return;
		for (int i = 0; i < scenario_.hosts; i++) {
			if (i == from)
				continue;
			messages_.push_back({i, quar_entry_dup(entry)});
			Push(now_ + scenario_.message_delay_us, MESSAGE, (int)messages_.size() - 1,
			     0);
		}
	}
	void Merge(Message &message)
	{
		quar_merge_remote(&hosts_[(size_t)message.host], message.entry, now_);
	}

	const int attempts_ = 3;
	const double seconds_;
	Scenario scenario_;
	std::mt19937 random_;
	int64_t now_ = 0;
	std::vector<quar> hosts_;
	std::vector<Endpoint> endpoints_;
	std::vector<Request> requests_;
	std::vector<Message> messages_;
	std::vector<int64_t> third_crash_at_;
	std::vector<int> crashes_of_;
	std::priority_queue<Event, std::vector<Event>, std::greater<Event>> events_;
	Result result_;
};

const int NO_LIMIT = 1 << 20;

Result Simulate(Scenario scenario, unsigned int seeds = 3)
{
	Result sum;

	for (unsigned int seed = 1; seed <= seeds; seed++) {
		const Result r = Model(scenario, seed).Run();

		sum.crashes += r.crashes;
		sum.starts_after_third += r.starts_after_third;
		sum.harmless += r.harmless;
		sum.refused += r.refused;
		sum.lost += r.lost;
		sum.mean_down += r.mean_down / seeds;
	}
	return sum;
}

void Print(const char *what, const Scenario &scenario, const Result &r)
{
	printf("%-10s hosts %3d endpoints %3d crashing %3d at %5.1f/s: crashes %5d, after the third %5d; "
	       "harmless %6d, refused %4d, lost %5d; down %5.1f\n",
	       what, scenario.hosts, scenario.endpoints, scenario.crashing, scenario.crashing_per_s,
	       r.crashes, r.starts_after_third, r.harmless, r.refused, r.lost, r.mean_down);
}

/*
 * Guards against both errors of the quarantine: requests that crash more endpoints after their
 * third crash, and harmless requests that are refused.
 */
TEST(QuarModelTest, RefusesOnlyCrashingRequests)
{
	const struct {
		int hosts, endpoints, crashing;
		double per_s;
	} cases[] = {
		{7, 10, 1, 1}, {7, 33, 1, 1}, {7, 33, 5, 10}, {200, 190, 5, 10}, {200, 600, 20, 10},
	};

	for (const auto &c : cases) {
		const Scenario with = {
			c.hosts, c.endpoints, c.crashing, c.per_s, QUAR_REFUSAL_POINTS,
			20 * MS, 0,	      false};
		Scenario without = with;
		unsigned int seeds = c.hosts > 100 ? 1 : 3;

		without.limit = NO_LIMIT;
		const Result r = Simulate(with, seeds);
		const Result before = Simulate(without, seeds);
		Print("without", without, before);
		Print("with", with, r);
		EXPECT_EQ(r.starts_after_third, 0);
		EXPECT_LE(r.crashes, (int)(6 * c.crashing * (int)seeds));
		EXPECT_LT(r.refused, r.harmless / 1000 + 1);
		EXPECT_LE(r.lost, before.lost);
	}
}

/* A limit of two crashes refuses sooner, but also refuses more harmless requests. */
TEST(QuarModelTest, LimitOfTwoCrashesRefusesMoreHarmlessRequests)
{
	Scenario scenario = {7, 33, 20, 10, QUAR_REFUSAL_POINTS, 20 * MS, 0, false};
	const Result three = Simulate(scenario, 5);

	scenario.limit = 2 * QUAR_WEIGHT_STRONG;
	const Result two = Simulate(scenario, 5);
	Print("three", scenario, three);
	Print("two", scenario, two);
	EXPECT_LT(three.refused, two.refused);
}

/*
 * Guards against refusing the one request that all callers of an account send while other requests
 * crash endpoints. It is running at each endpoint that crashes and has sometimes just started.
 */
TEST(QuarModelTest, PopularRequestIsRarelyRefused)
{
	for (int endpoints : {10, 33}) {
		const Scenario scenario = {7,	    endpoints, 5,    10, QUAR_REFUSAL_POINTS,
					   20 * MS, 0.5,       false};
		const Result r = Simulate(scenario);

		Print("popular", scenario, r);
		EXPECT_EQ(r.starts_after_third, 0);
		EXPECT_LT(r.refused, r.harmless / 20);
	}
}

/*
 * Guards against refusing requests after a zone, a rack or a software release has failed and taken
 * many endpoints down at once; no request has caused that.
 */
TEST(QuarModelTest, MassOutageRefusesNoRequest)
{
	for (int hosts : {7, 200}) {
		const Scenario scenario = {
			hosts, hosts == 7 ? 33 : 190, 0, 1, QUAR_REFUSAL_POINTS, 20 * MS, 0, true};
		const Result r = Simulate(scenario, hosts == 7 ? 3 : 1);

		Print("many lost", scenario, r);
		EXPECT_EQ(r.refused, 0);
	}
}

} // namespace
