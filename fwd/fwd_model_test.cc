#include "fwd/fwd.h"

#include <gtest/gtest.h>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

/*
 * Seeded model check of the state machine. Endpoints answer, reject, break off, answer errors and
 * fall silent; limits, quarantine, a stop and the caller's leaving come at any time. After each
 * callback the model compares what the caller has received with what was sent.
 */
namespace
{

const int64_t MS = 1000;
const int64_t START_US = 1000 * MS;
/* Larger than what is buffered, so that the answer is passed on as it arrives. */
const size_t LARGE_BYTES = 300 << 10;
/* Time before the deadline in which a stream may end, as no further attempt would finish. */
const int64_t LAST_MOMENT_US = 250 * MS;
const int SEEDS = 20000;

enum EventKind {
	HEAD,
	DATA,
	DONE,
	TIMER,
	LEAVE,
	STOP,
	QUARANTINE,
	ABANDON,
	PROGRESS
};

struct Event {
	EventKind kind;
	int attempt;
	std::string data;
	fwd_head head;
	bool whole, sent;
};

class Model
{
      public:
	explicit Model(unsigned int seed) : random_(seed)
	{
		fwd_rules rules{};
		streaming_ = Chance(60);
		rules.streaming = streaming_;
		rules.may_repeat = Chance(65);
		rules.runs_max = (int)Draw(1, 4);
		rules.deadline_us = START_US + Draw(300, 6000) * MS;
		rules.first_us = Draw(100, 400) * MS;
		rules.gap_us = Draw(70, 200) * MS;
		rules.list_wait_until_us = START_US + Draw(0, 300) * MS;
		rules.limit_wait_until_us = START_US + Draw(0, 300) * MS;
		rules.rest_end_us = START_US + Draw(0, 300) * MS;
		rules_ = rules;
		parts_ = (int)Draw(1, 12);
		large_ = !streaming_ && Chance(30);
		keeps_ = Chance(50);
		limits_ = Chance(30);
		sets_aside_ = Chance(70);
		fwd_init(&fwd_, &rules, &ops_, this);
		/* A newer version of the configuration must not change an admitted request. */
		rules.deadline_us = START_US;
		rules.runs_max = 0;
		ScheduleOther();
	}
	~Model()
	{
		fwd_finish(&fwd_);
	}
	void Run()
	{
		fwd_start(&fwd_, now_);
		while (!events_.empty() && faults_.empty()) {
			Event event = events_.begin()->second;

			now_ = events_.begin()->first;
			events_.erase(events_.begin());
			if (event.kind != TIMER || now_ == timer_us_)
				Play(event);
			if (ends_ == 0 && timer_us_ > rules_.deadline_us)
				Fault("the timer is set after the deadline");
		}
		Check(ends_ == 1, "the request ended " + std::to_string(ends_) + " times");
	}
	std::string Faults() const
	{
		return faults_;
	}
	std::string Trace() const
	{
		return trace_;
	}

      private:
	int64_t Draw(int64_t from, int64_t to)
	{
		return from + (int64_t)(random_() % (uint64_t)(to - from));
	}
	bool Chance(int percent)
	{
		return Draw(0, 100) < percent;
	}
	void Schedule(int64_t at_us, const Event &event)
	{
		events_.emplace(at_us, event);
	}
	void Note(const std::string &what)
	{
		trace_ += std::to_string((now_ - START_US) / MS) + ":" + what + " ";
	}
	void Fault(const std::string &what)
	{
		faults_ += what + "; ";
	}
	void Check(bool holds, const std::string &what)
	{
		if (!holds)
			Fault(what);
	}
	/* Something that is not the endpoint's doing; a request that is spared gets a sign of
	 * progress. */
	void ScheduleOther()
	{
		static const EventKind kinds[] = {LEAVE,   STOP,     QUARANTINE, ABANDON,
						  ABANDON, PROGRESS, PROGRESS,	 PROGRESS};

		Schedule(START_US + Draw(0, 5000) * MS,
			 {kinds[Draw(0, 8)], 0, "", {}, false, false});
	}
	static std::string Part(int n)
	{
		return "id: " + std::to_string(n) + "\ndata: x\n\n";
	}
	std::string Whole() const
	{
		std::string all;

		if (!streaming_)
			return large_ ? std::string(LARGE_BYTES, 'b') : "whole body";
		for (int i = 1; i <= parts_; i++)
			all += Part(i);
		return all;
	}
	int64_t Silence()
	{
		return Chance(12) ? Draw(200, 3000) * MS : Draw(1, 40) * MS;
	}
	void ScheduleEnd(int64_t at_us, bool whole, bool sent)
	{
		Schedule(at_us, {DONE, attempt_, "", {}, whole, sent});
	}
	void ScheduleHead(int64_t at_us, const fwd_head &head)
	{
		Schedule(at_us, {HEAD, attempt_, "", head, false, false});
	}
	void ScheduleData(int64_t at_us, const std::string &data)
	{
		Schedule(at_us, {DATA, attempt_, data, {}, false, false});
	}
	/* The endpoint runs the request: all of the answer, or a part of it, with silences. */
	void ScheduleRun(int after)
	{
		int64_t at_us = now_ + Silence();
		int breaks_after = Chance(25) ? (int)Draw(after, parts_ + 1) : parts_;
		std::string rest;

		ScheduleHead(at_us, {200, false, !Chance(3), !Chance(3), Chance(3), false});
		if (!streaming_) {
			rest = Whole().substr(0, breaks_after < parts_ ? Whole().size() / 2
								       : std::string::npos);
			for (size_t i = 0; i < rest.size(); i += 100 << 10)
				ScheduleData(at_us += Silence(), rest.substr(i, 100 << 10));
		}
		for (int i = after + 1; streaming_ && i <= breaks_after; i++) {
			std::string part = Part(i);
			size_t cut = (size_t)Draw(0, (int64_t)part.size());

			ScheduleData(at_us += Silence(), part.substr(0, cut));
			ScheduleData(at_us += 1, part.substr(cut));
		}
		at_us += Silence();
		if (breaks_after < parts_ && Chance(50))
			ScheduleData(at_us, "id: half");
		/* Nothing tells that an endpoint is gone if its machine is. */
		if (breaks_after == parts_ || Chance(80))
			ScheduleEnd(at_us + 1, breaks_after == parts_, true);
	}
	void ScheduleFailureAnswer()
	{
		int64_t at_us = now_ + Silence();

		failure_body_ = Chance(10) ? std::string(LARGE_BYTES, 'f') : "failure";
		ScheduleHead(at_us, {Chance(50) ? 500 : 404, false, true, true, false, false});
		ScheduleData(at_us += Silence(), failure_body_);
		ScheduleEnd(at_us + Silence(), true, true);
	}
	void ScheduleRejection()
	{
		ScheduleHead(now_ + 2 * MS,
			     {Chance(50) ? 421 : 503, true, false, true, false, false});
		ScheduleData(now_ + 3 * MS, "{}");
		ScheduleEnd(now_ + 4 * MS, true, true);
	}

	int Send(const char *resume_after)
	{
		static const int errors[] = {FWD_ENOENDPOINT, FWD_ENOPERMIT, FWD_EPERMITQUEUE,
					     FWD_ERESTING};
		int after = resume_after ? atoi(resume_after) : 0;

		Check(!in_progress_, "sent while an attempt is in progress");
		if (Chance(15))
			return errors[Draw(0, 4)];
		attempt_ = ++attempts_;
		in_progress_ = true;
		ran_ = false;
		Note("send@" + std::to_string(after));
		if (Chance(limits_ ? 60 : 15)) {
			ScheduleRejection();
		} else if (Chance(10)) {
			ScheduleEnd(now_ + 2 * MS, false, false);
		} else {
			ran_ = true;
			runs_++;
			if (Chance(15))
				ScheduleFailureAnswer();
			else
				ScheduleRun(after);
		}
		Check(runs_ <= MAX(rules_.runs_max, 1), "too many runs");
		Check(rules_.may_repeat || runs_ <= 1,
		      "a second run of a request that may run once");
		return 0;
	}
	int Charge()
	{
		return Chance(limits_ ? 40 : 10) ? Chance(50) ? FWD_EBUDGET : FWD_ENOENDPOINT : 0;
	}
	void Cancel()
	{
		in_progress_ = false;
		Note("cancel");
	}
	bool SetAside()
	{
		Check(in_progress_ && aside_ == 0, "two attempts are set aside");
		if (!sets_aside_)
			return false;
		Note("aside");
		aside_ = attempt_;
		in_progress_ = false;
		return true;
	}
	void TakeBack()
	{
		Check(!in_progress_ && aside_ > 0, "taken back beside another attempt");
		Note("back");
		attempt_ = aside_;
		aside_ = 0;
		in_progress_ = true;
	}
	void CancelAside()
	{
		Note("cancel_aside");
		aside_ = 0;
	}
	bool OnSilent()
	{
		Note("silent");
		return keeps_;
	}
	void Received(const std::string &data)
	{
		received_ += data;
		Check(Whole().compare(0, received_.size(), received_) == 0 ||
			      (fwd_.passthrough && fwd_.head.status != 200),
		      "the caller has got bytes that are not the answer's");
	}
	void OnWhole(const std::string &body)
	{
		answers_++;
		Note("whole");
		Check(body == (fwd_.head.status == 200 ? Whole() : failure_body_),
		      "the answer is not the endpoint's");
		left_aside_ = aside_ > 0 && fwd_.head.status >= 500;
		Check(received_.empty(), "two answers");
	}
	void OnEnd()
	{
		answers_++;
		Note("end");
		Check(received_ == (fwd_.head.status == 200 ? Whole() : failure_body_),
		      "a regular end after " + std::to_string(received_.size()) + " bytes");
	}
	/* Whether an answer that has begun could still be continued. */
	bool CouldContinue() const
	{
		bool may_run = rules_.may_repeat && runs_ < rules_.runs_max && fwd_.parts > 0;

		return now_ + LAST_MOMENT_US < rules_.deadline_us && (in_progress_ || may_run);
	}
	void OnAbort()
	{
		answers_++;
		Note("abort");
		could_continue_ = CouldContinue();
	}
	void OnRefuse(int status, bool not_run)
	{
		answers_++;
		Note("refuse" + std::to_string(status));
		Check(not_run == (runs_ == 0) || !not_run, "stated as not run, but it ran");
		Check(received_.empty(), "refused after a part of the answer");
		left_aside_ = aside_ > 0;
	}
	void OnEnded(fwd_cause cause)
	{
		bool by_others = cause == FWD_CALLER_DISCONNECTED || cause == FWD_CRASHES ||
				 cause == FWD_STOPPED;

		ends_++;
		Note(fwd_cause_name(cause));
		Check(answers_ == 1, "ended with " + std::to_string(answers_) + " answers");
		Check(aside_ == 0, "an attempt is left");
		Check(!left_aside_ || by_others || cause == FWD_DEADLINE,
		      "ended by a failure while a silent attempt may go on");
		Check(!could_continue_ || by_others, "a stream that could go on is aborted");
		Check(now_ <= rules_.deadline_us, "ended after the deadline");
		in_progress_ = false;
	}
	/* Returns whether the attempt has become the current one, so that the event is played. */
	bool PlayAside(const Event &event)
	{
		bool is_useless = event.kind == HEAD && fwd_is_useless_head(&event.head);

		if (!is_useless && (event.kind != DONE || event.whole)) {
			fwd_on_aside_progress(&fwd_);
			return true;
		}
		Note("aside_done");
		aside_ = 0;
		fwd_on_aside_done(&fwd_, event.sent || is_useless);
		return false;
	}
	void Play(const Event &event)
	{
		if (event.kind <= DONE && aside_ > 0 && event.attempt == aside_ &&
		    !PlayAside(event))
			return;
		if (event.kind <= DONE && (event.attempt != attempt_ || !in_progress_))
			return;
		switch (event.kind) {
		case HEAD:
			Note("head" + std::to_string(event.head.status));
			in_progress_ = !fwd_is_useless_head(&event.head);
			fwd_on_head(&fwd_, &event.head, now_);
			break;
		case DATA:
			fwd_on_data(&fwd_, event.data.data(), event.data.size(), now_);
			break;
		case DONE:
			Note(event.whole ? "done" : "broken");
			in_progress_ = false;
			fwd_on_done(&fwd_, event.whole, event.sent, now_);
			break;
		case TIMER:
			fwd_on_timer(&fwd_, now_);
			break;
		case LEAVE:
			fwd_on_caller_disconnected(&fwd_);
			break;
		case STOP:
			fwd_on_stop(&fwd_);
			break;
		case QUARANTINE:
			fwd_on_quarantine(&fwd_);
			break;
		case ABANDON:
			fwd_abandon_attempt(&fwd_, now_);
			break;
		case PROGRESS:
			fwd_restart_silence(&fwd_, now_);
			break;
		}
	}

	static Model *Self(void *ctx)
	{
		return (Model *)ctx;
	}
	const fwd_ops ops_ = {
		[](void *ctx, int, const char *after) { return Self(ctx)->Send(after); },
		[](void *ctx) { return Self(ctx)->Charge(); },
		[](void *ctx) { Self(ctx)->Cancel(); },
		[](void *ctx) { return Self(ctx)->SetAside(); },
		[](void *ctx) { Self(ctx)->TakeBack(); },
		[](void *ctx) { Self(ctx)->CancelAside(); },
		[](void *ctx) { Self(ctx)->Note("wait"); },
		[](void *ctx) { return Self(ctx)->OnSilent(); },
		[](void *ctx, const char *body, size_t len) {
			Self(ctx)->OnWhole(std::string(body, len));
		},
		[](void *ctx) { Self(ctx)->Note("begin"); },
		[](void *ctx, const char *data, size_t len) {
			Self(ctx)->Received(std::string(data, len));
		},
		[](void *ctx) { Self(ctx)->OnEnd(); },
		[](void *ctx) { Self(ctx)->OnAbort(); },
		[](void *ctx, int status, bool not_run) { Self(ctx)->OnRefuse(status, not_run); },
		[](void *ctx, int64_t due_us) {
			Self(ctx)->timer_us_ = MAX(due_us, Self(ctx)->now_);
			Self(ctx)->Schedule(Self(ctx)->timer_us_, {TIMER, 0, "", {}, false, false});
		},
		[](void *ctx, fwd_cause cause) { Self(ctx)->OnEnded(cause); },
		[](void *ctx) { Self(ctx)->Cancel(); },
	};
	std::mt19937 random_;
	fwd fwd_;
	fwd_rules rules_;
	std::multimap<int64_t, Event> events_;
	int64_t now_ = START_US;
	int64_t timer_us_ = 0;
	bool streaming_, large_, keeps_, limits_, sets_aside_;
	int parts_;
	std::string failure_body_;
	/* Number of attempts, of the current one, and of the one that was set aside; 0: none. */
	int attempts_ = 0;
	int attempt_ = 0;
	int aside_ = 0;
	/* Whether an attempt was sent and has neither ended nor been cancelled. */
	bool in_progress_ = false;
	bool ran_ = false;
	int runs_ = 0;
	std::string received_;
	int answers_ = 0;
	int ends_ = 0;
	bool could_continue_ = false;
	bool left_aside_ = false;
	std::string faults_;
	std::string trace_;
};

/*
 * Guards against requests that end twice or never, run too often, or whose answer is short, double
 * or broken off while it could go on.
 */
TEST(FwdModelTest, EveryRequestEndsAsItMust)
{
	int failed = 0;

	for (unsigned int seed = 1; seed <= SEEDS && failed < 3; seed++) {
		Model model(seed);

		model.Run();
		if (model.Faults().empty())
			continue;
		failed++;
		ADD_FAILURE() << "seed " << seed << ": " << model.Faults() << "\n" << model.Trace();
	}
}

} // namespace
