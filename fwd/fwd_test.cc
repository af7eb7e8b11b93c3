#include "fwd/fwd.h"

#include <gtest/gtest.h>
#include <string.h>
#include <string>
#include <vector>

namespace
{

const int64_t MS = 1000;

/* Plays a request against scripted endpoints and writes down what it does, a word an action. */
class FwdTest : public ::testing::Test
{
      protected:
	void Start(bool may_repeat, bool streaming, int runs_max = 2)
	{
		fwd_rules rules{};
		rules.may_repeat = may_repeat;
		rules.streaming = streaming;
		rules.runs_max = runs_max;
		rules.deadline_us = 10000 * MS;
		rules.first_us = 300 * MS;
		rules.gap_us = 100 * MS;
		rules.listing_us = listing_us_;
		rules.limit_us = limit_us_;
		rules.rest_us = rest_us_;
		fwd_init(&fwd_, &rules, &ops_, this);
		live_ = true;
		fwd_start(&fwd_, now_);
	}
	void TearDown() override
	{
		if (live_)
			fwd_finish(&fwd_);
	}
	void Head(int status, bool sealed = true, bool ours = true, bool not_run = false,
		  bool encoded = false)
	{
		fwd_head head{status, not_run, sealed, ours, encoded};
		fwd_on_head(&fwd_, &head, now_);
	}
	void Data(const std::string &data)
	{
		fwd_on_data(&fwd_, data.data(), data.size(), now_);
	}
	void Done(bool whole, bool sent = true)
	{
		fwd_on_done(&fwd_, whole, sent, now_);
	}
	void Wait(int64_t us)
	{
		now_ += us;
		fwd_on_time(&fwd_, now_);
	}
	std::string Did()
	{
		std::string all;
		for (const auto &d : did_)
			all += (all.empty() ? "" : " ") + d;
		did_.clear();
		return all;
	}
	static FwdTest *Of(void *ctx)
	{
		return (FwdTest *)ctx;
	}
	static void Say(void *ctx, const std::string &what)
	{
		Of(ctx)->did_.push_back(what);
	}

	const fwd_ops ops_ = {
		[](void *ctx, int, const char *resume_after) {
			if (Of(ctx)->send_error_ == 0)
				Say(ctx,
				    resume_after ? std::string("send@") + resume_after : "send");
			return Of(ctx)->send_error_;
		},
		[](void *ctx) { return Of(ctx)->repeat_error_; },
		[](void *ctx) { Say(ctx, "cancel"); },
		[](void *ctx) { Say(ctx, "wait"); },
		[](void *ctx) {
			Say(ctx, "silent");
			if (Of(ctx)->end_silent_)
				fwd_on_quarantine(&Of(ctx)->fwd_);
			return Of(ctx)->keep_silent_;
		},
		[](void *ctx, const char *body, size_t len) {
			Say(ctx, "whole:" + std::string(body, len));
		},
		[](void *ctx) { Say(ctx, "begin"); },
		[](void *ctx, const char *data, size_t len) {
			Say(ctx, "data" + std::to_string(len));
			Of(ctx)->got_ += std::string(data, len);
		},
		[](void *ctx) { Say(ctx, "end"); },
		[](void *ctx) { Say(ctx, "abort"); },
		[](void *ctx, int status, bool not_run) {
			Say(ctx, "refuse" + std::to_string(status) + (not_run ? "!" : "?"));
		},
		[](void *ctx, int64_t) { Of(ctx)->timers_++; },
		[](void *ctx, fwd_cause cause) { Say(ctx, fwd_cause_name(cause)); },
	};
	fwd fwd_;
	bool live_ = false;
	int64_t now_ = 1000 * MS;
	int send_error_ = 0;
	int repeat_error_ = 0;
	int64_t listing_us_ = 0;
	int64_t limit_us_ = 0;
	int64_t rest_us_ = 0;
	bool keep_silent_ = false;
	bool end_silent_ = false; /* the request ends while it is asked what to do about silence */
	int timers_ = 0;
	std::vector<std::string> did_;
	std::string got_;
};

TEST_F(FwdTest, AnswerIsHandedOnWhole)
{
	Start(false, false);
	Head(200);
	Data("ab");
	Data("c");
	Done(true);
	EXPECT_EQ(Did(), "send whole:abc ok");
}

TEST_F(FwdTest, EventsAreHandedOnAsTheyCome)
{
	Start(true, true);
	Head(200);
	Data("id: 1\nda");
	Data("ta: x\n\nid: 2\n\n");
	Done(true);
	EXPECT_EQ(Did(), "send begin data15 data7 end ok");
}

/*
 * Symptom: a request that may run once ran twice.
 * Sequence: it is sent, the connection breaks before the answer.
 * Cause: no answer was taken for "not run".
 */
TEST_F(FwdTest, WhatMayHaveRunIsNotSentAgain)
{
	Start(false, false);
	Done(false);
	EXPECT_EQ(Did(), "send refuse502? broken");
}

/* A caller that is told 503 may send again elsewhere; that is right only if nothing ran. */
TEST_F(FwdTest, NotRunIsSaidOnlyWhereItIsCertain)
{
	const struct {
		bool sent, headed, not_run;
		const char *did;
	} cases[] = {
		{false, false, false, "send refuse503! unreached"},
		{true, false, false, "send refuse502? broken"},
		{true, true, true, "send refuse503! rejected"},
		{true, true, false, "send refuse502? broken"},
	};
	repeat_error_ = FWD_EBUDGET;
	for (const auto &c : cases) {
		Start(false, false, 1);
		if (c.headed)
			Head(503, false, true, c.not_run);
		Done(false, c.sent);
		std::string did = Did();
		if (c.not_run || !c.sent)
			EXPECT_TRUE(did == c.did || did == "send refuse503! budget") << did;
		else
			EXPECT_EQ(did, c.did);
		fwd_finish(&fwd_);
		live_ = false;
	}
}

TEST_F(FwdTest, ARejectionIsTriedElsewhereAlsoWhereOneRunIsAllowed)
{
	Start(false, false, 1);
	Head(503, false, true, true);
	Done(true);
	Head(200);
	Data("x");
	Done(true);
	EXPECT_EQ(Did(), "send send whole:x ok");
}

TEST_F(FwdTest, AnIdempotentRequestRunsAgainAfterAFailure)
{
	Start(true, false);
	Head(500);
	Data("oops");
	Done(true);
	Head(200);
	Data("x");
	Done(true);
	EXPECT_EQ(Did(), "send send whole:x ok");
}

TEST_F(FwdTest, TheLastFailureIsHandedOnUnchanged)
{
	Start(true, false);
	Head(500);
	Done(true);
	Head(500);
	Data("oops");
	Done(true);
	EXPECT_EQ(Did(), "send send whole:oops endpoint_failed");
}

TEST_F(FwdTest, ANonIdempotentFailureIsHandedOnAtOnce)
{
	Start(false, false);
	Head(500);
	Data("oops");
	Done(true);
	EXPECT_EQ(Did(), "send whole:oops endpoint_failed");
}

/*
 * Symptom: a caller got the answer of another request.
 * Sequence: an endpoint sends a second answer late; the next request's answer is read from it.
 * Cause: the id in the answer was not looked at.
 */
TEST_F(FwdTest, AnAnswerToAnotherRequestIsNeverHandedOn)
{
	Start(false, false);
	Head(200, true, false);
	EXPECT_EQ(Did(), "send refuse502? broken");
}

TEST_F(FwdTest, AnAnswerWithoutProofOrWithAnEncodingIsNotHandedOn)
{
	Start(false, false);
	Head(200, false);
	Data("x");
	Done(true);
	EXPECT_EQ(Did(), "send refuse502? broken");
	fwd_finish(&fwd_);
	Start(false, false);
	Head(200, true, true, false, true);
	Data("x");
	Done(true);
	EXPECT_EQ(Did(), "send refuse502? broken");
}

/*
 * Symptom: a stream had a piece twice, or half of one.
 * Sequence: the endpoint breaks off in the middle of event 2.
 * Cause: the half event had been handed on.
 */
TEST_F(FwdTest, AStreamGoesOnElsewhereFromTheLastWholeEvent)
{
	Start(true, true);
	Head(200);
	Data("id: 1\ndata: a\n\nid: 2\nda");
	Done(false);
	Head(200);
	Data("id: 2\ndata: b\n\n");
	Done(true);
	EXPECT_EQ(Did(), "send begin data15 send@1 data15 end ok");
	EXPECT_EQ(got_, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

/*
 * Symptom: "{}" stood between two events of a stream.
 * Sequence: a stream goes on elsewhere; the next endpoint says that it did not run it, with a body;
 * a third one goes on.
 * Cause: whatever came after the first event was handed on, of whatever answer.
 */
TEST_F(FwdTest, TheBodyOfARejectionDoesNotGetIntoAStream)
{
	Start(true, true, 3);
	Head(200);
	Data("id: 1\n\n");
	Done(false);
	Head(421, false, true, true);
	Data("{}");
	Done(true);
	Head(200);
	Data("id: 2\n\n");
	Done(true);
	EXPECT_EQ(got_, "id: 1\n\nid: 2\n\n");
	EXPECT_EQ(Did(), "send begin data7 send@1 send@1 data7 end ok");
}

TEST_F(FwdTest, ALargeAnswerIsHandedOnBeforeItIsWhole)
{
	const std::string part(200 << 10, 'x');
	Start(false, false);
	Head(200);
	Data(part);
	Data(part);
	Data("end");
	Done(true);
	EXPECT_EQ(Did(), "send begin data409600 data3 end ok");
	fwd_finish(&fwd_);
	Start(false, false);
	Head(200);
	Data(part);
	Data(part);
	Done(false);
	EXPECT_EQ(Did(), "send begin data409600 abort broken");
}

TEST_F(FwdTest, AStreamThatMayNotBeResumedIsCut)
{
	Start(false, true);
	Head(200);
	Data("id: 1\n\n");
	Done(false);
	EXPECT_EQ(Did(), "send begin data7 abort broken");
}

TEST_F(FwdTest, AStreamThatEndsInsideAnEventIsNotComplete)
{
	Start(false, true);
	Head(200);
	Data("id: 1\n\nid: 2\n");
	Done(true);
	EXPECT_EQ(Did(), "send begin data7 abort broken");
}

TEST_F(FwdTest, RunsAreCounted)
{
	Start(true, true, 2);
	Head(200);
	Data("id: 1\n\n");
	Done(false);
	Head(200);
	Data("id: 2\n\n");
	Done(false);
	EXPECT_EQ(Did(), "send begin data7 send@1 data7 abort broken");
}

/*
 * Symptom: the budget of repeats was spent while requests that could be served were refused.
 * Sequence: engines reject requests; nobody is left to send them to but engines that are dead.
 * Cause: they were sent there, rejected again, and each time counted as a repeat.
 */
TEST_F(FwdTest, ARejectedRequestEndsWhereNobodyIsLeft)
{
	Start(true, false);
	repeat_error_ = FWD_ENOENDPOINT;
	Head(503, false, true, true);
	Done(true);
	EXPECT_EQ(Did(), "send refuse503! rejected");
}

TEST_F(FwdTest, TheBudgetIsAskedBeforeASecondSending)
{
	Start(true, false);
	repeat_error_ = FWD_EBUDGET;
	Done(false);
	EXPECT_EQ(Did(), "send refuse502? budget");
}

/*
 * Symptom: beside a change of the configuration, streams were cut that were merely slow.
 * Sequence: a pipeline is silent for a moment, the budget of repeats is spent.
 * Cause: the attempt was cancelled first, and the budget asked afterwards.
 */
TEST_F(FwdTest, ASilentAttemptIsKeptUnlessAnotherCanBeMade)
{
	Start(true, true);
	Head(200);
	Data("id: 1\n\n");
	repeat_error_ = FWD_EBUDGET;
	Wait(150 * MS);
	Data("id: 2\n\n");
	Done(true);
	EXPECT_EQ(Did(), "send begin data7 silent data7 end ok");
}

TEST_F(FwdTest, ASilentAttemptIsGivenUpForAnother)
{
	Start(true, true);
	Head(200);
	Data("id: 1\n\n");
	Wait(150 * MS);
	EXPECT_EQ(Did(), "send begin data7 silent cancel send@1");
}

TEST_F(FwdTest, ASilentAttemptThatIsBeingRepairedIsKept)
{
	keep_silent_ = true;
	Start(true, true);
	Wait(350 * MS);
	Wait(350 * MS);
	EXPECT_EQ(Did(), "send silent silent");
}

TEST_F(FwdTest, ANonIdempotentRequestIsNeverGivenUpForSilence)
{
	Start(false, false);
	Wait(350 * MS);
	Head(200);
	Data("x");
	Done(true);
	EXPECT_EQ(Did(), "send silent whole:x ok");
}

/* After the deadline the caller is told at once; what was sent may have run. */
TEST_F(FwdTest, Deadline)
{
	Start(true, false, 1);
	Wait(20000 * MS);
	EXPECT_EQ(Did(), "send cancel refuse504? deadline");
}

TEST_F(FwdTest, NobodyToSendTo)
{
	send_error_ = FWD_ENOENDPOINT;
	Start(true, false);
	EXPECT_EQ(Did(), "refuse503! no_endpoint");
}

TEST_F(FwdTest, ACallerThatLeavesEndsTheAttempt)
{
	Start(true, true);
	Head(200);
	fwd_on_caller_gone(&fwd_);
	EXPECT_EQ(Did(), "send cancel abort caller_gone");
	Done(false);
	Wait(20000 * MS);
	EXPECT_EQ(Did(), "");
}

/* Any order of events ends a request exactly once, and nothing is done after that. */
TEST_F(FwdTest, EveryRequestEndsOnce)
{
	unsigned int seed = 1;
	auto draw = [&seed](unsigned int n) {
		seed = seed * 1664525U + 1013904223U;
		return (seed >> 16) % n;
	};
	for (int round = 0; round < 3000; round++) {
		int ends = 0;
		repeat_error_ = draw(2) ? 0 : FWD_EBUDGET;
		keep_silent_ = draw(2);
		Start(draw(2), draw(2), 1 + (int)draw(3));
		for (int i = 0; i < 40; i++) {
			bool waiting = fwd_.state == FWD_SENT;
			switch (draw(6)) {
			case 0:
				if (waiting)
					Head(draw(3) ? 200 : 503, draw(4), draw(8), draw(4) == 0);
				break;
			case 1:
			case 2:
				if (fwd_.state == FWD_ANSWERING)
					Data(draw(2) ? "id: 1\n\n" : "id");
				break;
			case 3:
				Done(draw(2), draw(4));
				break;
			case 4:
				Wait(draw(400) * MS);
				break;
			default:
				if (draw(10) == 0)
					fwd_on_caller_gone(&fwd_);
			}
		}
		Wait(30000 * MS);
		for (const auto &d : did_) {
			for (int c = 0; c < FWD_CAUSES; c++)
				ends += d == fwd_cause_name((fwd_cause)c);
		}
		EXPECT_EQ(ends, 1) << Did();
		EXPECT_EQ(fwd_.state, FWD_ENDED);
		did_.clear();
		fwd_finish(&fwd_);
		live_ = false;
	}
}

/*
 * Symptom: streams were cut with most of their time left, ten beside one change of configuration.
 * Sequence: engines' memory is full; a stream that its caller has a part of loses its engine and is
 * rejected by all others within some ms. Cause: nobody left to send to ended the request at once.
 */
TEST_F(FwdTest, AStreamThatNobodyTakesWaitsAndGoesOn)
{
	const struct {
		const char *name;
		int send_error, repeat_error;
	} cases[] = {
		{"all reject it", 0, 0},
		{"nobody is left to ask", 0, FWD_ENOENDPOINT},
		{"nobody can be chosen", FWD_ENOENDPOINT, 0},
		{"the budget of repeats is spent", 0, FWD_EBUDGET},
	};
	for (const auto &c : cases) {
		now_ = 1000 * MS;
		Start(true, true);
		Head(200);
		Data("id: 1\n\n");
		send_error_ = c.send_error;
		repeat_error_ = c.repeat_error;
		Done(false);
		while (fwd_.state == FWD_SENT) {
			Head(503, false, true, true);
			Done(true);
		}
		EXPECT_EQ(fwd_.state, FWD_WAITING) << c.name;
		EXPECT_EQ(Did().find("abort"), std::string::npos) << c.name;
		send_error_ = repeat_error_ = 0;
		Wait(fwd_.again_us - now_ - 1);
		EXPECT_EQ(Did(), "") << c.name << ": too soon";
		Wait(1);
		EXPECT_EQ(Did(), "send@1") << c.name;
		Head(200);
		Data("id: 2\n\n");
		Done(true);
		EXPECT_EQ(Did(), "data7 end ok") << c.name;
		fwd_finish(&fwd_);
	}
	live_ = false;
}

/* What may not run again, or has no time left, ends at once, and so does what has brought nothing.
 */
TEST_F(FwdTest, OnlyAStreamThatMayGoOnWaits)
{
	const struct {
		const char *name;
		int runs_max;
		const char *data;
		int64_t left_us;
		const char *did;
	} cases[] = {
		{"it has run as often as it may", 1, "id: 1\n\n", 9000 * MS, "abort broken"},
		{"its events bear no ids", 2, "data: x\n\n", 9000 * MS, "abort broken"},
		{"its time is over before the next try", 2, "id: 1\n\n", 150 * MS, "abort broken"},
		{"its caller has nothing of it", 2, "", 9000 * MS, "refuse502? broken"},
	};
	for (const auto &c : cases) {
		now_ = 1000 * MS;
		Start(true, true, c.runs_max);
		Head(200);
		Data(c.data);
		now_ = 10000 * MS - c.left_us;
		Did();
		repeat_error_ = FWD_ENOENDPOINT;
		Done(false);
		EXPECT_EQ(Did(), c.did) << c.name;
		repeat_error_ = 0;
		fwd_finish(&fwd_);
	}
	live_ = false;
}

/*
 * Symptom: 2,208 requests of a day refused for want of an endpoint, most of them after their one
 * retry. Sequence: the store is away and the endpoints' entries lapse; all hosts are killed and
 * start; the store comes back; the hosts read a list that is empty for up to two seconds. Cause: a
 * list that is not whole yet was taken for one that is.
 */
TEST_F(FwdTest, WhileTheListIsNotWholeARequestWaitsForAnEndpoint)
{
	const struct {
		const char *name;
		int64_t comes_us, whole_us;
		const char *did;
	} cases[] = {
		{"one comes", 300 * MS, 1500 * MS, "send"},
		{"none comes until it is whole", 9000 * MS, 1500 * MS, "refuse503! no_endpoint"},
		{"the list is whole", 300 * MS, 0, "refuse503! no_endpoint"},
	};
	for (const auto &c : cases) {
		int looks = 0;
		now_ = 1000 * MS;
		listing_us_ = now_ + c.whole_us;
		send_error_ = FWD_ENOENDPOINT;
		repeat_error_ = FWD_EBUDGET; /* none is taken */
		Start(false, false);
		while (fwd_.state == FWD_WAITING && looks++ < 100) {
			if (now_ >= 1000 * MS + c.comes_us)
				send_error_ = 0;
			Wait(fwd_.again_us - now_);
		}
		EXPECT_EQ(Did(), c.did) << c.name;
		EXPECT_LE(now_, listing_us_) << c.name;
		EXPECT_LE(looks, 40) << c.name;
		fwd_finish(&fwd_);
	}
	live_ = false;
}

/* Where limits leave no room a request waits for a moment, unless too many wait already. */
TEST_F(FwdTest, ARequestWithoutRoomForItWaitsOrIsRefusedAtOnce)
{
	const struct {
		const char *name;
		int err;
		int64_t comes_us, limit_us;
		const char *did;
	} cases[] = {
		{"one comes", FWD_ELIMIT, 100 * MS, 300 * MS, "send"},
		{"none comes", FWD_ELIMIT, 9000 * MS, 300 * MS, "refuse503! limited"},
		{"others wait", FWD_ELIMITED, 100 * MS, 300 * MS, "refuse503! limited"},
		{"no time", FWD_ELIMIT, 100 * MS, 0, "refuse503! limited"},
	};
	for (const auto &c : cases) {
		now_ = 1000 * MS;
		listing_us_ = 0;
		limit_us_ = now_ + c.limit_us;
		send_error_ = c.err;
		repeat_error_ = FWD_EBUDGET; /* none is taken */
		Start(false, false);
		EXPECT_EQ(fwd_.state == FWD_WAITING, c.err == FWD_ELIMIT && c.limit_us > 0)
			<< c.name;
		for (int looks = 0; fwd_.state == FWD_WAITING && looks < 100; looks++) {
			if (now_ >= 1000 * MS + c.comes_us)
				send_error_ = 0;
			Wait(fwd_.again_us - now_);
		}
		EXPECT_EQ(Did(), c.did) << c.name;
		EXPECT_LE(now_, limit_us_) << c.name;
		fwd_finish(&fwd_);
	}
	live_ = false;
}

/* Guards against a request that waits for a rest whose end is known to come too late for it. */
TEST_F(FwdTest, ARequestWaitsForARestThatEndsInTimeOrIsRefusedAtOnce)
{
	const struct {
		const char *name;
		int64_t ends_us, limit_us;
		const char *did;
		int64_t at_us; /* when it ends, or is sent */
	} cases[] = {
		{"it ends in time", 120 * MS, 300 * MS, "send", 120 * MS},
		{"it ends at once", 5 * MS, 300 * MS, "send", 50 * MS},
		{"it ends too late", 301 * MS, 300 * MS, "refuse503! resting", 0},
		{"a day", 86400000 * MS, 300 * MS, "refuse503! resting", 0},
		{"no time", 10 * MS, 0, "refuse503! resting", 0},
		{"another rest follows", 120 * MS, 300 * MS, "refuse503! resting", 300 * MS},
	};
	for (const auto &c : cases) {
		bool follows = strcmp(c.name, "another rest follows") == 0;

		now_ = 1000 * MS;
		limit_us_ = now_ + c.limit_us;
		rest_us_ = now_ + c.ends_us;
		send_error_ = FWD_ERESTS;
		Start(false, false);
		for (int looks = 0; fwd_.state == FWD_WAITING && looks < 100; looks++) {
			if (!follows)
				send_error_ = 0;
			Wait(fwd_.again_us - now_);
		}
		EXPECT_EQ(Did(), c.did) << c.name;
		EXPECT_EQ(now_, 1000 * MS + c.at_us) << c.name;
		fwd_finish(&fwd_);
	}
	live_ = false;
}

/* Each try costs an engine a call, so the pauses grow until something is handed on again. */
TEST_F(FwdTest, PausesGrowAndTheDeadlineEndsThem)
{
	std::vector<int64_t> pauses;
	Start(true, true, 9);
	Head(200);
	Data("id: 1\n\n");
	repeat_error_ = FWD_ENOENDPOINT;
	Done(false);
	while (fwd_.state == FWD_WAITING && pauses.size() < 100) {
		pauses.push_back(fwd_.again_us - now_);
		Wait(fwd_.again_us - now_);
	}
	ASSERT_GE(pauses.size(), 5u);
	EXPECT_EQ(pauses[1], 2 * pauses[0]);
	EXPECT_EQ(pauses[4], pauses[3]) << "bounded";
	EXPECT_LT(pauses.size(), 20u);
	EXPECT_NE(Did().find("abort"), std::string::npos);
}

/*
 * Symptom: a request that had ended three endpoints ended a fourth, where it was already waiting.
 * Sequence: it waits at an engine, or to be sent again, when another host tells of the third.
 * Cause: only requests that came later were refused.
 */
TEST_F(FwdTest, QuarantineEndsWhatIsUnderWay)
{
	const struct {
		const char *what;
		bool headed, parts;
		const char *did;
	} cases[] = {
		{"it was sent", false, false, "cancel refuse502? crashes_endpoints"},
		{"it had begun", true, false, "cancel refuse502? crashes_endpoints"},
		{"its caller has a part", true, true, "cancel abort crashes_endpoints"},
	};

	for (const auto &c : cases) {
		Start(true, true);
		if (c.headed)
			Head(200);
		if (c.parts)
			Data("id: 1\n\n");
		Did();
		fwd_on_quarantine(&fwd_);
		EXPECT_EQ(Did(), c.did) << c.what;
		fwd_on_quarantine(&fwd_);
		EXPECT_EQ(Did(), "") << c.what;
		fwd_finish(&fwd_);
	}
	live_ = false;
}

/* What has reached nobody has not run, and is said so. */
TEST_F(FwdTest, QuarantineOfWhatWaitsForAnEndpoint)
{
	send_error_ = FWD_ENOENDPOINT;
	listing_us_ = now_ + 1000 * MS;
	Start(true, true);
	EXPECT_EQ(Did(), "");
	fwd_on_quarantine(&fwd_);
	EXPECT_EQ(Did(), "cancel refuse503! crashes_endpoints");
}

/*
 * A stream that nobody takes now waits and is sent again; one that has ended endpoints does not,
 * and its caller hears so at once.
 */
TEST_F(FwdTest, WhatCrashesEndpointsIsNotSentAgain)
{
	for (bool parts : {false, true}) {
		Start(true, true, 5);
		Head(200);
		if (parts)
			Data("id: 1\n\n");
		Did();
		repeat_error_ = FWD_ECRASHES;
		Done(false);
		EXPECT_EQ(Did(),
			  parts ? "abort crashes_endpoints" : "refuse502? crashes_endpoints");
		fwd_finish(&fwd_);
		repeat_error_ = 0;
	}
	live_ = false;
}

/* Refused between two looks for an endpoint: it was sent to nobody. */
TEST_F(FwdTest, WhatIsRefusedBeforeItIsSentHasNotRun)
{
	send_error_ = FWD_ECRASHES;
	Start(true, true);
	EXPECT_EQ(Did(), "refuse503! crashes_endpoints");
}

/*
 * Symptom: a host that was to stop waited for a request that had ended, to the end of its grace
 * time. Sequence: a request is silent; what is done about that ends it; its timer is set once more.
 * Cause: the timer by which an ended request is freed is the same one.
 */
TEST_F(FwdTest, NoTimerIsSetAfterTheEnd)
{
	Start(true, true);
	keep_silent_ = true;
	end_silent_ = true;
	timers_ = 0;
	Wait(301 * MS);
	EXPECT_EQ(Did(), "send silent cancel refuse502? crashes_endpoints");
	EXPECT_EQ(timers_, 0);
}

} // namespace
