#include "adm/adm.h"
#include "base/rnd.h"

#include <cstdio>
#include <deque>
#include <gtest/gtest.h>
#include <vector>

namespace
{

const int64_t MS = 1000;
const adm_limits LIMITS = {500 * MS, 2000 * MS};

/*
 * Simulates engines that begin RATE requests per second, one after the other. Callers expect the
 * first token within 0.5 s, disconnect after 2 s without it, and retry once after a refusal.
 */
struct Simulation {
	explicit Simulation(bool controlled) : controlled_(controlled)
	{
		adm_init(&adm_, now_);
	}

	/* Simulates the given time; load is the request rate as a multiple of the engines' rate. */
	void Run(double seconds, double load)
	{
		int64_t end = now_ + (int64_t)(seconds * 1e6);
		for (; now_ < end; now_ += MS) {
			Arrive(load);
			Serve();
		}
	}
	void Arrive(double load)
	{
		arrivals_due_ += load * RATE / 1000;
		for (; arrivals_due_ >= 1; arrivals_due_--)
			Request(now_, true);
		for (size_t i = 0; i < retries_.size();) {
			if (retries_[i].at > now_) {
				i++;
				continue;
			}
			Request(retries_[i].arrived, false);
			retries_.erase(retries_.begin() + (long)i);
		}
	}
	void Request(int64_t arrived, bool may_retry)
	{
		requested_++;
		adm_queue queue = {(int)queue_.size(),
				   queue_.empty() ? 0 : now_ - queue_.front().at};
		if (controlled_ && !adm_admits(&adm_, &queue, &LIMITS, 0, now_)) {
			refused_++;
			if (may_retry)
				retries_.push_back(
					{now_ + adm_retry_delay_us(rnd_uniform(&seed_)), arrived});
			return;
		}
		queue_.push_back({now_, arrived});
	}
	void Serve()
	{
		if (now_ < stalled_until_)
			return;
		for (capacity_ += RATE / 1000; capacity_ >= 1 && !queue_.empty(); capacity_--) {
			auto r = queue_.front();
			queue_.pop_front();
			/* Engines notice a disconnection late, so the request uses capacity. */
			adm_on_first_token(&adm_, &LIMITS, now_ - r.at, now_);
			if (now_ - r.at > 2000 * MS)
				continue;
			served_++;
			in_time_ += now_ - r.at <= 500 * MS;
		}
		if (queue_.empty())
			capacity_ = std::min(capacity_, 1.0);
	}
	void ResetCounts()
	{
		requested_ = served_ = in_time_ = refused_ = 0;
	}

	struct Waiting {
		int64_t at, arrived;
	};
	static constexpr double RATE = 60; /* Requests that the engines begin per second. */
	bool controlled_;
	adm adm_{};
	std::deque<Waiting> queue_;
	std::vector<Waiting> retries_;
	int64_t now_ = 1000 * MS, stalled_until_ = 0;
	double arrivals_due_ = 0, capacity_ = 0;
	uint32_t seed_ = 7;
	int requested_ = 0, served_ = 0, in_time_ = 0, refused_ = 0;
};

TEST(AdmTest, NoRequestIsRefusedWhileEnginesHaveCapacity)
{
	Simulation managed(true);
	managed.Run(30, 0.95);
	EXPECT_EQ(managed.refused_, 0);
	EXPECT_EQ(managed.in_time_, managed.served_);
}

/*
 * Guards against a queue that persists after the loss of an endpoint: for 25 s, first tokens came 1
 * to 1.5 s late and half of the callers disconnected, although the remaining endpoints could serve
 * all requests. The loss stalls all requests for 1.2 s, and the load is 0.97 of the remaining
 * capacity, so the queue of that moment must be drained by refusals.
 */
TEST(AdmTest, TheQueueAfterALossOfAnEndpointIsDrained)
{
	int in_time[2];
	for (int controlled = 0; controlled < 2; controlled++) {
		Simulation managed(controlled);
		managed.Run(5, 0.97);
		managed.stalled_until_ = managed.now_ + 1200 * MS;
		managed.Run(6, 0.97);
		managed.ResetCounts();
		managed.Run(10, 0.97);
		in_time[controlled] = managed.in_time_ * 100 / managed.requested_;
		printf("%s: %d of 100 requests begun in time, from 6 s after the loss\n",
		       controlled ? "with refusals" : "no refusals", in_time[controlled]);
	}
	EXPECT_LT(in_time[0], 10);
	EXPECT_GT(in_time[1], 85);
}

/* The number of timely first tokens must not fall as load rises, and must recover after a loss. */
TEST(AdmTest, TimelyFirstTokensDoNotDecreaseWithLoad)
{
	int before = 0;
	for (double load : {0.7, 1.0, 1.5, 3.0}) {
		Simulation managed(true), plain(false);
		for (Simulation *sim : {&managed, &plain}) {
			sim->Run(10, load);
			sim->stalled_until_ = sim->now_ + 1000 * MS;
			sim->Run(4, load);
			sim->ResetCounts();
			sim->Run(10, load);
		}
		printf("load %.1f: begun in time %d, served %d, refused %d of %d; without: %d, %d\n",
		       load, managed.in_time_, managed.served_, managed.refused_,
		       managed.requested_, plain.in_time_, plain.served_);
		EXPECT_GE(managed.in_time_ * 100, before * 95) << load;
		EXPECT_GE(managed.in_time_, plain.in_time_) << load;
		before = std::max(before, managed.in_time_);
	}
}

TEST(AdmTest, AdmissionDependsOnWaitLatenessAndUrgency)
{
	const struct {
		const char *name;
		double begun;	 /* Recent requests that began; 14 are about 20 a second. */
		int64_t late_us; /* Time since a request last began in time. */
		adm_queue queue;
		double less_urgent;
		bool admitted;
	} cases[] = {
		{"no request waits", 14, 0, {0, 0}, 0, true},
		{"a host that has just started", 0, 5000 * MS, {2, 900 * MS}, 0, true},
		{"a burst of requests", 1, 0, {40, 50 * MS}, 0, true},
		{"late first tokens for one second", 14, 1000 * MS, {20, 900 * MS}, 0, true},
		{"late first tokens for one second, least urgent request",
		 14,
		 1000 * MS,
		 {20, 900 * MS},
		 1,
		 false},
		{"expected wait longer than callers wait", 14, 1000 * MS, {40, 900 * MS}, 0, false},
		{"late first tokens for three seconds", 14, 3000 * MS, {20, 900 * MS}, 0, false},
		{"a queue that is nearly drained", 14, 3000 * MS, {5, 400 * MS}, 0, true},
		{"engines that begin no requests", 0, 700 * MS, {6, 700 * MS}, 0, false},
	};
	for (const auto &c : cases) {
		int64_t now = 10000 * MS;
		adm a{c.begun, now, now - c.late_us, false, 0};
		EXPECT_EQ(adm_admits(&a, &c.queue, &LIMITS, c.less_urgent, now), c.admitted)
			<< c.name;
	}
}

/*
 * Guards against refusals right after a start. All hosts are killed and restart, and the first
 * requests arrive all at once; a host without timely requests since its start must not treat them
 * as a persistent queue.
 */
TEST(AdmTest, AStartingHostDoesNotEnterStrictMode)
{
	adm a;
	adm_init(&a, 100000 * MS);
	const adm_queue queue = {8, 700 * MS};
	for (int i = 0; i < 20; i++)
		adm_on_first_token(&a, &LIMITS, 800 * MS, 100900 * MS);
	EXPECT_TRUE(adm_admits(&a, &queue, &LIMITS, 0, 100950 * MS));
	EXPECT_FALSE(a.strict);
}

TEST(AdmTest, RetryDelaysOfRefusedCallersAreSpread)
{
	EXPECT_GE(adm_retry_delay_us(0), 1000 * MS);
	EXPECT_GE(adm_retry_delay_us(1) - adm_retry_delay_us(0), 2000 * MS);
}

} // namespace
