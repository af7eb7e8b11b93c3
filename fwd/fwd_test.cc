#include "fwd/fwd.h"

#include <gtest/gtest.h>
#include <string.h>
#include <string>
#include <vector>

namespace
{

const int64_t MS = 1000;

/*
 * Runs a request against scripted endpoints. Each callback appends one word to actions_;
 * Actions() returns these words and clears them.
 */
class FwdTest : public ::testing::Test
{
      protected:
	void Start(bool may_repeat, bool streaming, int runs_max = 2)
	{
		fwd_rules rules{};
		rules.may_repeat = may_repeat;
		rules.streaming = streaming;
		rules.resumes = resumes_;
		rules.runs_max = runs_max;
		rules.deadline_us = 10000 * MS;
		rules.first_us = 300 * MS;
		rules.gap_us = 100 * MS;
		rules.list_wait_until_us = listing_us_;
		rules.limit_wait_until_us = limit_us_;
		rules.rest_end_us = rest_us_;
		fwd_init(&fwd_, &rules, &ops_, this);
		started_ = true;
		fwd_start(&fwd_, now_);
	}
	void TearDown() override
	{
		if (started_)
			fwd_finish(&fwd_);
	}
	void Head(int status, bool sealed = true, bool id_matches = true, bool not_run = false,
		  bool encoded = false, bool unusable = false)
	{
		fwd_head head{status, not_run, sealed, id_matches, encoded, unusable};
		goes_on_ = fwd_on_head(&fwd_, &head, now_);
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
		fwd_on_timer(&fwd_, now_);
	}
	std::string Actions()
	{
		std::string all;
		for (const auto &action : actions_)
			all += (all.empty() ? "" : " ") + action;
		actions_.clear();
		return all;
	}
	static FwdTest *Self(void *ctx)
	{
		return (FwdTest *)ctx;
	}
	static void Record(void *ctx, const std::string &what)
	{
		Self(ctx)->actions_.push_back(what);
	}

	const fwd_ops ops_ = {
		[](void *ctx, int, const char *resume_after) {
			if (Self(ctx)->send_error_ == 0)
				Record(ctx,
				       resume_after ? std::string("send@") + resume_after : "send");
			return Self(ctx)->send_error_;
		},
		[](void *ctx) { return Self(ctx)->repeat_error_; },
		[](void *ctx) { Record(ctx, "cancel"); },
		[](void *ctx) {
			if (Self(ctx)->can_set_aside_)
				Record(ctx, "aside");
			return Self(ctx)->can_set_aside_;
		},
		[](void *ctx) { Record(ctx, "back"); },
		[](void *ctx) { Record(ctx, "cancel_aside"); },
		[](void *ctx) { Record(ctx, "wait"); },
		[](void *ctx) {
			Record(ctx, "silent");
			if (Self(ctx)->quarantine_on_silence_)
				fwd_on_quarantine(&Self(ctx)->fwd_);
			return Self(ctx)->keep_attempt_;
		},
		[](void *ctx, const char *body, size_t len) {
			Record(ctx, "whole:" + std::string(body, len));
		},
		[](void *ctx) { Record(ctx, "begin"); },
		[](void *ctx, const char *data, size_t len) {
			Record(ctx, "data" + std::to_string(len));
			Self(ctx)->received_ += std::string(data, len);
		},
		[](void *ctx) { Record(ctx, "end"); },
		[](void *ctx) { Record(ctx, "abort"); },
		[](void *ctx, int status, bool not_run) {
			Record(ctx, "refuse" + std::to_string(status) + (not_run ? "!" : "?"));
		},
		[](void *ctx, int64_t) { Self(ctx)->timers_++; },
		[](void *ctx, fwd_cause cause) { Record(ctx, fwd_cause_name(cause)); },
		[](void *ctx) { Self(ctx)->drops_++; },
	};
	fwd fwd_;
	bool started_ = false;
	int64_t now_ = 1000 * MS;
	int send_error_ = 0;
	int repeat_error_ = 0;
	int64_t listing_us_ = 0;
	int64_t limit_us_ = 0;
	int64_t rest_us_ = 0;
	bool keep_attempt_ = false;
	bool can_set_aside_ = false;
	bool resumes_ = false;
	/* Whether on_silent() puts the request in quarantine, which ends it. */
	bool quarantine_on_silence_ = false;
	int timers_ = 0;
	int drops_ = 0;
	bool goes_on_ = false; /* what fwd_on_head() returned */
	std::vector<std::string> actions_;
	std::string received_;
};

TEST_F(FwdTest, CompleteAnswerIsPassedOn)
{
	Start(false, false);
	Head(200);
	Data("ab");
	Data("c");
	Done(true);
	EXPECT_EQ(Actions(), "send whole:abc ok");
}

TEST_F(FwdTest, EventsArePassedOnAsTheyArrive)
{
	Start(true, true);
	Head(200);
	Data("id: 1\nda");
	Data("ta: x\n\nid: 2\n\n");
	Done(true);
	EXPECT_EQ(Actions(), "send begin data15 data7 end ok");
}

/*
 * Guards against a second run of a request that may run only once. The connection breaks after the
 * request was sent and before the answer; a missing answer must not count as "not run".
 */
TEST_F(FwdTest, RequestThatMayHaveRunIsNotSentAgain)
{
	Start(false, false);
	Done(false);
	EXPECT_EQ(Actions(), "send refuse502? broken");
}

/* A caller may send a request again after 503, so 503 is correct only if the request never ran. */
TEST_F(FwdTest, NotRunIsStatedOnlyIfCertain)
{
	const struct {
		bool sent, headed, not_run;
		const char *actions;
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
		std::string actions = Actions();
		if (c.not_run || !c.sent)
			EXPECT_TRUE(actions == c.actions || actions == "send refuse503! budget")
				<< actions;
		else
			EXPECT_EQ(actions, c.actions);
		fwd_finish(&fwd_);
		started_ = false;
	}
}

TEST_F(FwdTest, RejectedRequestIsSentToAnotherEndpointEvenIfOnlyOneRunIsAllowed)
{
	Start(false, false, 1);
	Head(503, false, true, true);
	Done(true);
	Head(200);
	Data("x");
	Done(true);
	EXPECT_EQ(Actions(), "send send whole:x ok");
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
	EXPECT_EQ(Actions(), "send send whole:x ok");
}

TEST_F(FwdTest, LastFailureIsPassedOnUnchanged)
{
	Start(true, false);
	Head(500);
	Done(true);
	Head(500);
	Data("oops");
	Done(true);
	EXPECT_EQ(Actions(), "send send whole:oops endpoint_failed");
}

TEST_F(FwdTest, FailureOfNonIdempotentRequestIsPassedOnImmediately)
{
	Start(false, false);
	Head(500);
	Data("oops");
	Done(true);
	EXPECT_EQ(Actions(), "send whole:oops endpoint_failed");
}

/*
 * Guards against passing the answer of another request to the caller. An endpoint sends a second
 * answer late, which is read as the answer to the next request; the request id must be compared.
 */
TEST_F(FwdTest, AnswerToAnotherRequestIsNeverPassedOn)
{
	Start(false, false);
	Head(200, true, false);
	EXPECT_EQ(Actions(), "send refuse502? broken");
}

TEST_F(FwdTest, AnswerWithoutSealOrWithEncodingIsNotPassedOn)
{
	Start(false, false);
	Head(200, false);
	Data("x");
	Done(true);
	EXPECT_EQ(Actions(), "send refuse502? broken");
	fwd_finish(&fwd_);
	Start(false, false);
	Head(200, true, true, false, true);
	Data("x");
	Done(true);
	EXPECT_EQ(Actions(), "send refuse502? broken");
}

/* Guards against a success that its caller gets without a header that counts. */
TEST_F(FwdTest, AnswerWithAHeadThatCantBePassedOnIsNotPassedOn)
{
	for (int status : {200, 404}) {
		Start(false, false);
		Head(status, true, true, false, false, true);
		Data("x");
		Done(true);
		EXPECT_EQ(Actions(), status == 200 ? "send refuse502? broken"
						   : "send refuse502? endpoint_failed");
		fwd_finish(&fwd_);
	}
	Start(true, true);
	Head(200, true, true, false, false, true);
	EXPECT_EQ(Actions(), "send send");
}

/* Guards against a request that waits until its deadline for the end of a body that has none. */
TEST_F(FwdTest, SuccessThatIsNotPassedOnEndsAtItsHead)
{
	for (bool sealed : {false, true}) {
		drops_ = 0;
		Start(true, false);
		Head(200, sealed, !sealed);
		EXPECT_FALSE(goes_on_);
		EXPECT_EQ(Actions(), "send send");
		EXPECT_EQ(drops_, 1);
		Head(200);
		EXPECT_TRUE(goes_on_);
		Data("x");
		Done(true);
		EXPECT_EQ(Actions(), "whole:x ok");
		fwd_finish(&fwd_);
		Start(false, false);
		Head(200, sealed, !sealed);
		EXPECT_EQ(Actions(), "send refuse502? broken");
		fwd_finish(&fwd_);
	}
	started_ = false;
}

/* Guards against the same for rejections and failures, of which the head says enough. */
TEST_F(FwdTest, BodyThatIsNotPassedOnIsBrokenOff)
{
	const std::string part(1000, 'x');
	const struct {
		int status;
		bool not_run;
		const char *actions;
	} cases[] = {{503, true, "send send"},
		     {500, false, "send send"},
		     {404, false, "send refuse502? endpoint_failed"}};
	for (const auto &c : cases) {
		drops_ = 0;
		Start(true, false);
		Head(c.status, false, true, c.not_run);
		EXPECT_TRUE(goes_on_);
		for (int i = 0; i < 65; i++)
			Data(part);
		EXPECT_EQ(Actions(), "send") << c.status;
		Data(part);
		EXPECT_EQ(Actions(), std::string(c.actions).substr(5)) << c.status;
		EXPECT_EQ(drops_, 1) << c.status;
		fwd_finish(&fwd_);

		Start(true, false);
		Head(c.status, false, true, c.not_run);
		Wait(90 * MS);
		Data("a line");
		EXPECT_EQ(Actions(), "send") << c.status;
		Wait(10 * MS);
		EXPECT_EQ(Actions(), std::string(c.actions).substr(5)) << c.status;
		EXPECT_EQ(drops_, 2) << c.status;
		fwd_finish(&fwd_);
	}
	started_ = false;
}

/*
 * Guards against a duplicate or partial event in a stream. The first endpoint's answer ends in the
 * middle of event 2; a partial event must not be passed to the caller.
 */
TEST_F(FwdTest, StreamResumesAtAnotherEndpointAfterLastCompleteEvent)
{
	Start(true, true);
	Head(200);
	Data("id: 1\ndata: a\n\nid: 2\nda");
	Done(false);
	Head(200);
	Data("id: 2\ndata: b\n\n");
	Done(true);
	EXPECT_EQ(Actions(), "send begin data15 send@1 data15 end ok");
	EXPECT_EQ(received_, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

/*
 * Guards against the body "{}" of a rejection between two events of a stream. A stream is resumed:
 * the second endpoint rejects it with a body, the third one continues it. Data after the first
 * event must be passed on only from a successful answer.
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
	EXPECT_EQ(received_, "id: 1\n\nid: 2\n\n");
	EXPECT_EQ(Actions(), "send begin data7 send@1 send@1 data7 end ok");
}

TEST_F(FwdTest, LargeAnswerIsPassedOnBeforeItIsComplete)
{
	const std::string part(200 << 10, 'x');
	Start(false, false);
	Head(200);
	Data(part);
	Data(part);
	Data("end");
	Done(true);
	EXPECT_EQ(Actions(), "send begin data409600 data3 end ok");
	fwd_finish(&fwd_);
	Start(false, false);
	Head(200);
	Data(part);
	Data(part);
	Done(false);
	EXPECT_EQ(Actions(), "send begin data409600 abort broken");
}

TEST_F(FwdTest, StreamThatMayNotBeResumedIsAborted)
{
	Start(false, true);
	Head(200);
	Data("id: 1\n\n");
	Done(false);
	EXPECT_EQ(Actions(), "send begin data7 abort broken");
}

TEST_F(FwdTest, AStreamThatEndsInsideAnEventIsNotComplete)
{
	Start(false, true);
	Head(200);
	Data("id: 1\n\nid: 2\n");
	Done(true);
	EXPECT_EQ(Actions(), "send begin data7 abort broken");
}

/* Guards against a resume that is answered 502 though its caller has had the last event. */
TEST_F(FwdTest, EmptyAnswerToAResumeIsWhole)
{
	resumes_ = true;
	Start(false, true);
	Head(200);
	Done(true);
	EXPECT_EQ(Actions(), "send whole: ok");
}

/* Guards against a stream that ends as whole without any event. */
TEST_F(FwdTest, EmptyStreamIsNotWholeUnlessItIsResumed)
{
	Start(false, true);
	Head(200);
	Done(true);
	EXPECT_EQ(Actions(), "send refuse502? broken");
}

/* Guards against a stream that is broken off since one of its events is large. */
TEST_F(FwdTest, LargeEventIsPassedOn)
{
	const std::string event = "id: 2\ndata: " + std::string(SSE_EVENT_MAX * 2, 'x') + "\n\n";

	Start(true, true);
	Head(200);
	Data("id: 1\ndata: a\n\n");
	for (size_t at = 0; at < event.size(); at += 4096) {
		Data(event.substr(at, 4096));
		ASSERT_LE(fwd_buffered(&fwd_), (size_t)SSE_EVENT_MAX);
	}
	EXPECT_EQ(received_, "id: 1\ndata: a\n\n" + event);
	Actions();
	Done(false);
	EXPECT_EQ(Actions(), "send@2");
	Head(200);
	Done(true);
	EXPECT_EQ(Actions(), "end ok");
}

/* Guards against an event that comes twice, as it is not in what the next endpoint goes on after.
 */
TEST_F(FwdTest, StreamIsNotResumedAfterAnEventWithoutAnId)
{
	const struct {
		const char *event;
		const char *actions;
	} cases[] = {{"data: b\n\n", "abort broken"},
		     {"event: x\ndata\n\n", "abort broken"},
		     {": comment\n\n", "send@1"},
		     {"data: b\nid: 2\n\n", "send@2"}};

	for (const auto &c : cases) {
		Start(true, true);
		Head(200);
		Data("id: 1\ndata: a\n\n");
		Data(c.event);
		Actions();
		Done(false);
		EXPECT_EQ(Actions(), c.actions) << c.event;
		fwd_finish(&fwd_);
		started_ = false;
	}
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
	EXPECT_EQ(Actions(), "send begin data7 send@1 data7 abort broken");
}

/*
 * Guards against exhausting the retry budget on dead engines, which causes refusals of requests
 * that could be served. Engines reject a request and only dead engines remain; it must not be sent
 * to them, because each rejection would count as a retry.
 */
TEST_F(FwdTest, RejectedRequestEndsIfNoEndpointIsLeft)
{
	Start(true, false);
	repeat_error_ = FWD_ENOENDPOINT;
	Head(503, false, true, true);
	Done(true);
	EXPECT_EQ(Actions(), "send refuse503! rejected");
}

TEST_F(FwdTest, RetryBudgetIsChargedBeforeSecondAttempt)
{
	Start(true, false);
	repeat_error_ = FWD_EBUDGET;
	Done(false);
	EXPECT_EQ(Actions(), "send refuse502? budget");
}

/*
 * Guards against aborting slow streams during a configuration change. A pipeline is silent for a
 * moment while the retry budget is exhausted; the budget must be checked before the attempt is
 * cancelled.
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
	EXPECT_EQ(Actions(), "send begin data7 silent data7 end ok");
}

TEST_F(FwdTest, SilentAttemptIsAbandonedForAnother)
{
	Start(true, true);
	Head(200);
	Data("id: 1\n\n");
	Wait(150 * MS);
	EXPECT_EQ(Actions(), "send begin data7 silent cancel send@1");
}

/* Guards against requests that are lost with the endpoint that replaces a silent one. */
TEST_F(FwdTest, SilentAttemptIsKeptUntilAnotherBringsAnAnswer)
{
	enum What {
		HEAD,
		REJECTED,
		BROKEN,
		UNREACHED,
		FAILED,
		FOREIGN,
		ASIDE_HEAD,
		ASIDE_GONE,
		LEAVES
	};
	const struct {
		const char *name;
		What what;
		const char *actions;
	} cases[] = {
		{"the other answers", HEAD, "cancel_aside whole:x ok"},
		{"the other rejects it", REJECTED, "back whole:x ok"},
		{"the other breaks off", BROKEN, "back whole:x ok"},
		{"the other is not reached", UNREACHED, "back whole:x ok"},
		{"the other fails", FAILED, "back whole:x ok"},
		{"the other answers another request", FOREIGN, "back whole:x ok"},
		{"the silent one goes on", ASIDE_HEAD, "cancel back whole:x ok"},
		{"the silent one is gone", ASIDE_GONE, "whole:x ok"},
		{"the caller leaves", LEAVES, "cancel refuse502? cancel_aside caller_gone"},
	};
	can_set_aside_ = true;
	for (const auto &c : cases) {
		Start(true, false);
		Wait(350 * MS);
		EXPECT_EQ(Actions(), "send silent aside send") << c.name;
		if (c.what == REJECTED || c.what == FAILED)
			Head(c.what == REJECTED ? 503 : 500, true, true, c.what == REJECTED);
		if (c.what == FOREIGN)
			Head(200, true, false);
		else if (c.what == ASIDE_HEAD)
			fwd_on_aside_progress(&fwd_);
		else if (c.what == ASIDE_GONE)
			fwd_on_aside_done(&fwd_, true);
		else if (c.what == LEAVES)
			fwd_on_caller_disconnected(&fwd_);
		else if (c.what != HEAD)
			Done(c.what == REJECTED || c.what == FAILED, c.what != UNREACHED);
		if (c.what != LEAVES) {
			Head(200);
			Data("x");
			Done(true);
		}
		EXPECT_EQ(Actions(), c.actions) << c.name;
		fwd_finish(&fwd_);
	}
	started_ = false;
}

/* Guards against answers that lose what had arrived of them before their endpoint fell silent. */
TEST_F(FwdTest, SilentAttemptKeepsWhatHasArrivedOfItsAnswer)
{
	enum What {
		BROKEN,
		FAILING,
		ANSWERED
	};
	const struct {
		const char *name;
		What what;
		const char *actions;
	} cases[] = {
		{"the other breaks off", BROKEN, "back whole:ab ok"},
		{"the other is about to fail", FAILING, "cancel back whole:ab ok"},
		{"the other answers", ANSWERED, "cancel_aside whole:b ok"},
	};
	can_set_aside_ = true;
	for (const auto &c : cases) {
		Start(true, false);
		Head(200);
		Data("a");
		Wait(350 * MS);
		EXPECT_EQ(Actions(), "send silent aside send") << c.name;
		if (c.what == BROKEN) {
			Done(false);
		} else if (c.what == FAILING) {
			Head(500);
			Data("oops");
			fwd_on_aside_progress(&fwd_);
		} else {
			Head(200);
		}
		Data("b");
		Done(true);
		EXPECT_EQ(Actions(), c.actions) << c.name;
		fwd_finish(&fwd_);
	}
	started_ = false;
}

/* Guards against more runs than the route allows, and against a second run of what may run once. */
TEST_F(FwdTest, AttemptsThatAreKeptCountAsRuns)
{
	can_set_aside_ = true;
	Start(false, false, 3);
	Wait(350 * MS);
	EXPECT_EQ(Actions(), "send silent");
	fwd_finish(&fwd_);
	Start(true, false, 3);
	Wait(350 * MS);
	Wait(350 * MS);
	Wait(350 * MS);
	EXPECT_EQ(Actions(), "send silent aside send silent cancel_aside aside send silent");
	Done(false);
	EXPECT_EQ(Actions(), "back");
	Done(false);
	EXPECT_EQ(Actions(), "refuse502? broken");
	fwd_finish(&fwd_);
	started_ = false;
}

/* A stream whose caller has a part is resumed, so only one attempt may go on. */
TEST_F(FwdTest, AttemptIsNotKeptOnceTheAnswerHasBegun)
{
	can_set_aside_ = true;
	Start(true, true);
	Head(200);
	Data("id: 1\n\n");
	Wait(150 * MS);
	EXPECT_EQ(Actions(), "send begin data7 silent cancel send@1");
}

TEST_F(FwdTest, ASilentAttemptThatIsBeingRepairedIsKept)
{
	keep_attempt_ = true;
	Start(true, true);
	Wait(350 * MS);
	Wait(350 * MS);
	EXPECT_EQ(Actions(), "send silent silent");
}

TEST_F(FwdTest, NonIdempotentRequestIsNeverAbandonedForSilence)
{
	Start(false, false);
	Wait(350 * MS);
	Head(200);
	Data("x");
	Done(true);
	EXPECT_EQ(Actions(), "send silent whole:x ok");
}

/* At the deadline the caller receives an error; a request that was sent may have run. */
TEST_F(FwdTest, Deadline)
{
	Start(true, false, 1);
	Wait(20000 * MS);
	EXPECT_EQ(Actions(), "send cancel refuse504? deadline");
}

TEST_F(FwdTest, NoEndpointToSendTo)
{
	send_error_ = FWD_ENOENDPOINT;
	Start(true, false);
	EXPECT_EQ(Actions(), "refuse503! no_endpoint");
}

TEST_F(FwdTest, CallerDisconnectEndsTheAttempt)
{
	Start(true, true);
	Head(200);
	fwd_on_caller_disconnected(&fwd_);
	EXPECT_EQ(Actions(), "send cancel refuse502? caller_gone");
	Done(false);
	Wait(20000 * MS);
	EXPECT_EQ(Actions(), "");
}

TEST_F(FwdTest, CallerDisconnectBreaksOffAnAnswerThatHasBegun)
{
	Start(true, true);
	Head(200);
	Data("id: 1\n\n");
	Actions();
	fwd_on_caller_disconnected(&fwd_);
	EXPECT_EQ(Actions(), "cancel abort caller_gone");
	Done(false);
	Wait(20000 * MS);
	EXPECT_EQ(Actions(), "");
}

/*
 * Guards against callers that end their sending direction, which HTTP allows, and get neither an
 * answer nor a refusal.
 */
TEST_F(FwdTest, CallerThatSendsNoMoreGetsARefusal)
{
	Start(true, true);
	fwd_on_caller_disconnected(&fwd_);
	EXPECT_EQ(Actions(), "send cancel refuse502? caller_gone");
}

/* For any order of events, a request ends exactly once and no callback is called after its end. */
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
		keep_attempt_ = draw(2);
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
					fwd_on_caller_disconnected(&fwd_);
			}
		}
		Wait(30000 * MS);
		for (const auto &action : actions_) {
			for (int c = 0; c < FWD_CAUSE_COUNT; c++)
				ends += action == fwd_cause_name((fwd_cause)c);
		}
		EXPECT_EQ(ends, 1) << Actions();
		EXPECT_EQ(fwd_.state, FWD_ENDED);
		actions_.clear();
		fwd_finish(&fwd_);
		started_ = false;
	}
}

/*
 * Guards against aborting streams with most of their time left, as seen ten times during one
 * configuration change. Engine memory is full; a stream that has begun loses its engine and all
 * others reject it within a few ms. Without an endpoint, such a stream must wait instead of ending.
 */
TEST_F(FwdTest, StreamThatNoEndpointAcceptsWaitsAndResumes)
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
		EXPECT_EQ(Actions().find("abort"), std::string::npos) << c.name;
		send_error_ = repeat_error_ = 0;
		Wait(fwd_.resend_us - now_ - 1);
		EXPECT_EQ(Actions(), "") << c.name << ": too soon";
		Wait(1);
		EXPECT_EQ(Actions(), "send@1") << c.name;
		Head(200);
		Data("id: 2\n\n");
		Done(true);
		EXPECT_EQ(Actions(), "data7 end ok") << c.name;
		fwd_finish(&fwd_);
	}
	started_ = false;
}

/* Guards against streams that are aborted since a resume is answered by an error. */
TEST_F(FwdTest, StreamIsResumedElsewhereAfterAnErrorAnswer)
{
	const struct {
		const char *name;
		int status, repeat_error, runs_max;
		const char *actions;
	} cases[] = {
		{"not found", 404, 0, 3, "send@1"},
		{"failed", 500, 0, 3, "send@1"},
		{"the budget of repeats is spent", 500, FWD_EBUDGET, 3, "wait"},
		{"nobody is left to ask", 404, FWD_ENOENDPOINT, 3, "wait"},
		{"it has run as often as it may", 500, 0, 2, "abort endpoint_failed"},
	};
	for (const auto &c : cases) {
		Start(true, true, c.runs_max);
		Head(200);
		Data("id: 1\n\n");
		Done(false);
		Head(c.status);
		Data("error");
		Actions();
		repeat_error_ = c.repeat_error;
		Done(true);
		EXPECT_EQ(Actions(), c.actions) << c.name;
		repeat_error_ = 0;
		fwd_finish(&fwd_);
	}
	started_ = false;
}

/* Guards against streams that are aborted since the next wait would end after the deadline. */
TEST_F(FwdTest, WaitsAreShortenedBeforeTheDeadline)
{
	for (int64_t left_us = 300 * MS; left_us <= 2000 * MS; left_us += 100 * MS) {
		now_ = 1000 * MS;
		Start(true, true, 9);
		Head(200);
		Data("id: 1\n\n");
		now_ = 10000 * MS - left_us;
		repeat_error_ = FWD_ENOENDPOINT;
		Done(false);
		while (fwd_.state == FWD_WAITING)
			Wait(fwd_.resend_us - now_);
		EXPECT_GE(now_, (10000 - 220) * MS) << left_us;
		EXPECT_LE(now_, 10000 * MS) << left_us;
		repeat_error_ = 0;
		fwd_finish(&fwd_);
	}
	started_ = false;
}

/*
 * A request ends immediately if it may not run again, has no time left or has sent nothing to its
 * caller.
 */
TEST_F(FwdTest, OnlyAStreamThatCanBeResumedWaits)
{
	const struct {
		const char *name;
		int runs_max;
		const char *data;
		int64_t left_us;
		const char *actions;
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
		Actions();
		repeat_error_ = FWD_ENOENDPOINT;
		Done(false);
		EXPECT_EQ(Actions(), c.actions) << c.name;
		repeat_error_ = 0;
		fwd_finish(&fwd_);
	}
	started_ = false;
}

/*
 * Guards against refusals because of an incomplete list of endpoints: 2,208 requests in one day,
 * most of them after their only retry. The store is unavailable and the entries of endpoints
 * expire; all hosts are killed and restart; the store returns, and its list is empty for up to two
 * seconds. An incomplete list must not be treated as complete.
 */
TEST_F(FwdTest, RequestWaitsForAnEndpointWhileTheListIsIncomplete)
{
	const struct {
		const char *name;
		int64_t available_us, complete_us;
		const char *actions;
	} cases[] = {
		{"one comes", 300 * MS, 1500 * MS, "send"},
		{"none comes until it is whole", 9000 * MS, 1500 * MS, "refuse503! no_endpoint"},
		{"the list is whole", 300 * MS, 0, "refuse503! no_endpoint"},
	};
	for (const auto &c : cases) {
		int lookups = 0;
		now_ = 1000 * MS;
		listing_us_ = now_ + c.complete_us;
		send_error_ = FWD_ENOENDPOINT;
		repeat_error_ = FWD_EBUDGET; /* A wait must not charge the budget. */
		Start(false, false);
		while (fwd_.state == FWD_WAITING && lookups++ < 100) {
			if (now_ >= 1000 * MS + c.available_us)
				send_error_ = 0;
			Wait(fwd_.resend_us - now_);
		}
		EXPECT_EQ(Actions(), c.actions) << c.name;
		EXPECT_LE(now_, listing_us_) << c.name;
		EXPECT_LE(lookups, 40) << c.name;
		fwd_finish(&fwd_);
	}
	started_ = false;
}

/* A request waits briefly for a permit, unless too many requests wait already. */
TEST_F(FwdTest, RequestWithoutAPermitWaitsOrIsRefusedImmediately)
{
	const struct {
		const char *name;
		int err;
		int64_t available_us, limit_us;
		const char *actions;
	} cases[] = {
		{"one comes", FWD_ENOPERMIT, 100 * MS, 300 * MS, "send"},
		{"none comes", FWD_ENOPERMIT, 9000 * MS, 300 * MS, "refuse503! limited"},
		{"others wait", FWD_EPERMITQUEUE, 100 * MS, 300 * MS, "refuse503! limited"},
		{"no time", FWD_ENOPERMIT, 100 * MS, 0, "refuse503! limited"},
	};
	for (const auto &c : cases) {
		now_ = 1000 * MS;
		listing_us_ = 0;
		limit_us_ = now_ + c.limit_us;
		send_error_ = c.err;
		repeat_error_ = FWD_EBUDGET; /* A wait must not charge the budget. */
		Start(false, false);
		EXPECT_EQ(fwd_.state == FWD_WAITING, c.err == FWD_ENOPERMIT && c.limit_us > 0)
			<< c.name;
		for (int lookups = 0; fwd_.state == FWD_WAITING && lookups < 100; lookups++) {
			if (now_ >= 1000 * MS + c.available_us)
				send_error_ = 0;
			Wait(fwd_.resend_us - now_);
		}
		EXPECT_EQ(Actions(), c.actions) << c.name;
		EXPECT_LE(now_, limit_us_) << c.name;
		fwd_finish(&fwd_);
	}
	started_ = false;
}

/* Guards against a request that waits although the rest is known to end too late for it. */
TEST_F(FwdTest, RequestWaitsForARestThatEndsInTimeOrIsRefusedImmediately)
{
	const struct {
		const char *name;
		int64_t ends_us, limit_us;
		const char *actions;
		int64_t at_us; /* Time after the start at which the request ends or is sent. */
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
		send_error_ = FWD_ERESTING;
		Start(false, false);
		for (int lookups = 0; fwd_.state == FWD_WAITING && lookups < 100; lookups++) {
			if (!follows)
				send_error_ = 0;
			Wait(fwd_.resend_us - now_);
		}
		EXPECT_EQ(Actions(), c.actions) << c.name;
		EXPECT_EQ(now_, 1000 * MS + c.at_us) << c.name;
		fwd_finish(&fwd_);
	}
	started_ = false;
}

/* Each attempt costs an engine a call, so the pauses grow until an event is passed on again. */
TEST_F(FwdTest, WaitsGrowUntilTheDeadline)
{
	std::vector<int64_t> pauses;
	Start(true, true, 9);
	Head(200);
	Data("id: 1\n\n");
	repeat_error_ = FWD_ENOENDPOINT;
	Done(false);
	while (fwd_.state == FWD_WAITING && pauses.size() < 100) {
		pauses.push_back(fwd_.resend_us - now_);
		Wait(fwd_.resend_us - now_);
	}
	ASSERT_GE(pauses.size(), 5u);
	EXPECT_EQ(pauses[1], 2 * pauses[0]);
	EXPECT_EQ(pauses[4], pauses[3]) << "bounded";
	EXPECT_LT(pauses.size(), 20u);
	EXPECT_NE(Actions().find("abort"), std::string::npos);
}

/*
 * Guards against a request that crashed three endpoints and then crashes a fourth one, where it is
 * already queued. Another host reports the third crash while the request is queued at an engine or
 * waits to be sent again; quarantine must apply to current requests, not only to later ones.
 */
TEST_F(FwdTest, QuarantineEndsARequestInProgress)
{
	const struct {
		const char *what;
		bool headed, parts;
		const char *actions;
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
		Actions();
		fwd_on_quarantine(&fwd_);
		EXPECT_EQ(Actions(), c.actions) << c.what;
		fwd_on_quarantine(&fwd_);
		EXPECT_EQ(Actions(), "") << c.what;
		fwd_finish(&fwd_);
	}
	started_ = false;
}

/* Guards against requests whose connections end with the process, without a word on whether they
 * ran. */
TEST_F(FwdTest, StopEndsARequestInProgress)
{
	const struct {
		const char *what;
		bool headed, parts;
		const char *actions;
	} cases[] = {
		{"it was sent", false, false, "cancel refuse502? stopped"},
		{"it had begun", true, false, "cancel refuse502? stopped"},
		{"its caller has a part", true, true, "cancel abort stopped"},
	};

	for (const auto &c : cases) {
		Start(true, true);
		if (c.headed)
			Head(200);
		if (c.parts)
			Data("id: 1\n\n");
		Actions();
		fwd_on_stop(&fwd_);
		EXPECT_EQ(Actions(), c.actions) << c.what;
		fwd_on_stop(&fwd_);
		EXPECT_EQ(Actions(), "") << c.what;
		fwd_finish(&fwd_);
	}
	started_ = false;
}

/* A request that reached no endpoint has not run, and the error answer states that. */
TEST_F(FwdTest, QuarantineEndsARequestThatWaitsForAnEndpoint)
{
	send_error_ = FWD_ENOENDPOINT;
	listing_us_ = now_ + 1000 * MS;
	Start(true, true);
	EXPECT_EQ(Actions(), "");
	fwd_on_quarantine(&fwd_);
	EXPECT_EQ(Actions(), "cancel refuse503! crashes_endpoints");
}

/*
 * A stream that no endpoint accepts waits and is sent again; one that crashed endpoints is ended
 * immediately instead.
 */
TEST_F(FwdTest, RequestThatCrashesEndpointsIsNotSentAgain)
{
	for (bool parts : {false, true}) {
		Start(true, true, 5);
		Head(200);
		if (parts)
			Data("id: 1\n\n");
		Actions();
		repeat_error_ = FWD_EQUARANTINED;
		Done(false);
		EXPECT_EQ(Actions(),
			  parts ? "abort crashes_endpoints" : "refuse502? crashes_endpoints");
		fwd_finish(&fwd_);
		repeat_error_ = 0;
	}
	started_ = false;
}

/* The request is refused while it looks for an endpoint, so it was not sent to any. */
TEST_F(FwdTest, RequestRefusedBeforeItIsSentHasNotRun)
{
	send_error_ = FWD_EQUARANTINED;
	Start(true, true);
	EXPECT_EQ(Actions(), "refuse503! crashes_endpoints");
}

/*
 * Guards against a host that waits for an ended request until the end of the grace time when it
 * stops. on_silent() ends the request, and then its timer is set once more. The same timer is used
 * to free an ended request, so it must not be set after the end.
 */
TEST_F(FwdTest, NoTimerIsSetAfterTheEnd)
{
	Start(true, true);
	keep_attempt_ = true;
	quarantine_on_silence_ = true;
	timers_ = 0;
	Wait(301 * MS);
	EXPECT_EQ(Actions(), "send silent cancel refuse502? crashes_endpoints");
	EXPECT_EQ(timers_, 0);
}

enum HoldStep {
	HOLD,
	GO_ON,
	WAIT_300,
	DATA,
	ABANDON,
	HEAD,
	END,
	STOP
};

struct HoldCase {
	const char *name;
	std::vector<HoldStep> steps;
	const char *actions;
};

const HoldCase hold_cases[] = {
	{"a held attempt is not silent", {HOLD, WAIT_300, WAIT_300, WAIT_300}, ""},
	{"an attempt that is not held is", {WAIT_300}, "silent cancel send@1"},
	{"silence counts from the end of the hold", {HOLD, WAIT_300, GO_ON, DATA}, "data13"},
	{"silence after the hold counts",
	 {HOLD, WAIT_300, GO_ON, WAIT_300},
	 "silent cancel send@1"},
	{"a held attempt is not abandoned", {HOLD, ABANDON, GO_ON, DATA}, "data13"},
	{"one that goes on may be", {HOLD, GO_ON, ABANDON}, "cancel send@1"},
	{"the end may come while held", {HOLD, END}, "end ok"},
	{"a stop ends a held attempt", {HOLD, STOP}, "cancel abort stopped"},
	{"a new attempt may be held",
	 {ABANDON, HOLD, WAIT_300, GO_ON, HEAD, DATA},
	 "cancel send@1 data13"},
};

/* Guards against endpoints that are taken for silent because a caller reads slowly. */
TEST_F(FwdTest, EndpointThatACallerHoldsBackIsNotSilent)
{
	for (const HoldCase &c : hold_cases) {
		Start(true, true);
		Head(200);
		Data("id: 1\ndata: a\n\n");
		Actions();
		for (HoldStep step : c.steps) {
			switch (step) {
			case HOLD:
			case GO_ON:
				fwd_hold(&fwd_, step == HOLD, now_);
				break;
			case WAIT_300:
				Wait(300 * MS);
				break;
			case DATA:
				Data("id: 2\ndata:\n\n");
				break;
			case ABANDON:
				fwd_abandon_attempt(&fwd_, now_);
				break;
			case HEAD:
				Head(200);
				break;
			case END:
				Done(true);
				break;
			case STOP:
				fwd_on_stop(&fwd_);
				break;
			}
		}
		EXPECT_EQ(Actions(), c.actions) << c.name;
		fwd_finish(&fwd_);
		started_ = false;
	}
}

/* Guards against a caller that reads nothing and keeps its endpoint for ever. */
TEST_F(FwdTest, DeadlineHoldsWhileAnAttemptIsHeldBack)
{
	Start(true, true);
	Head(200);
	Data("id: 1\ndata: a\n\n");
	fwd_hold(&fwd_, true, now_);
	Actions();
	Wait(10000 * MS);
	EXPECT_EQ(Actions(), "cancel abort deadline");
}

/* Guards against records that call a caller gone which was there and read nothing. */
TEST_F(FwdTest, CallerThatReadsNothingIsNamed)
{
	Start(true, true);
	Head(200);
	Data("id: 1\n\n");
	Actions();
	fwd_on_caller_stalled(&fwd_);
	EXPECT_EQ(Actions(), "cancel abort caller_stalled");
	fwd_on_caller_stalled(&fwd_);
	EXPECT_EQ(Actions(), "");
}

} // namespace
