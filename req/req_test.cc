#include "req/req.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace
{

constexpr int64_t kMs = 1000;

/* Records the actions that the request performs, in order. */
class ReqTest : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		req_budget_init(&budget_, 100, 0.1);
	}
	void TearDown() override
	{
		if (started_)
			req_finish(&req_);
	}
	void Start(bool idempotent, bool service = false)
	{
		static const req_ops ops = {
			[](void *c, unsigned a, char *const *) { RecordAction(c, "ask", a); },
			[](void *c, unsigned a) { RecordAction(c, "withdraw", a); },
			[](void *c, unsigned a, bool s) {
				RecordAction(c, s ? "claim-over" : "claim", a);
			},
			[](void *c, unsigned a) { RecordAction(c, "release", a); },
			[](void *c, unsigned a, uint64_t from) {
				RecordAction(c, "dispatch", a, (int)from);
			},
			[](void *c, unsigned a, uint64_t from) {
				RecordAction(c, "resume", a, (int)from);
			},
			[](void *c, unsigned a, bool stop) {
				RecordAction(c, stop ? "stop" : "close", a);
			},
			[](void *c, unsigned a, req_grant_end end, const char *) {
				RecordAction(c, "ungrant", a, (int)end);
			},
			[](void *c) { RecordAction(c, "join", 0); },
			[](void *c, uint64_t index, const char *, size_t) {
				((ReqTest *)c)->delivered_.push_back((int)index);
			},
			[](void *c, req_code code, int64_t) {
				((ReqTest *)c)->end_ = req_code_info(code)->name;
			},
			[](void *c, int64_t due) { ((ReqTest *)c)->timer_ = due; },
		};
		req_params params = {&settings_, &budget_, &first_,	&gap_,
				     idempotent, service,  10000 * kMs, 1};
		req_init(&req_, &params, &ops, this);
		started_ = true;
		req_start(&req_, 0);
	}
	static void RecordAction(void *ctx, const std::string &what, unsigned attempt,
				 int argument = -1)
	{
		std::string text = what + " " + std::to_string(attempt);
		if (argument >= 0)
			text += " " + std::to_string(argument);
		((ReqTest *)ctx)->actions_.push_back(text);
	}
	void Granted(unsigned attempt, int64_t now = 0)
	{
		char first[] = "e1", second[] = "e2";
		char *route[] = {first, second, nullptr};
		req_on_granted(&req_, attempt, route, now);
	}
	void Token(unsigned attempt, uint64_t index, int64_t now = 0)
	{
		req_on_token(&req_, attempt, index, "t", 1, now);
	}
	std::vector<std::string> TakeActions()
	{
		std::vector<std::string> actions;
		actions.swap(actions_);
		return actions;
	}
	req_settings settings_ = {700 * kMs,  5000 * kMs, 500 * kMs,   3000 * kMs, 4000 * kMs,
				  4000 * kMs, 100 * kMs,  10000 * kMs, 1000 * kMs, 3};
	req_budget budget_;
	req_est first_{}, gap_{};
	req req_;
	bool started_ = false;
	std::vector<std::string> actions_;
	std::vector<int> delivered_;
	std::string end_;
	int64_t timer_ = 0;
};

using List = std::vector<std::string>;

TEST_F(ReqTest, CompleteAnswerIsDelivered)
{
	Start(true);
	Granted(1);
	Token(1, 0);
	Token(1, 1);
	req_on_end(&req_, 1, 2, 0);
	EXPECT_EQ(TakeActions(), (List{"ask 1", "dispatch 1 0", "ungrant 1 0"}));
	EXPECT_EQ(delivered_, (std::vector<int>{0, 1}));
	EXPECT_EQ(end_, "ok");
}

struct OrderCase {
	const char *name;
	std::vector<int> arrive;
	std::vector<int> want;
};

TEST_F(ReqTest, TokensAreDeliveredOnceInOrder)
{
	/*
	 * Guards against duplicated, swapped or missing words in an answer. A resumed stream
	 * repeats tokens, or tokens arrive ahead of a missing one; they must not be passed on in
	 * the order of their arrival.
	 */
	const OrderCase cases[] = {
		{"in order", {0, 1, 2}, {0, 1, 2}},
		{"swapped", {1, 0, 2}, {0, 1, 2}},
		{"doubled", {0, 0, 1, 1, 0}, {0, 1}},
		{"one is missing", {0, 2, 3}, {0}},
		{"all at once, backwards", {3, 2, 1, 0}, {0, 1, 2, 3}},
	};
	for (const auto &c : cases) {
		if (started_)
			req_finish(&req_);
		delivered_.clear();
		Start(true);
		Granted(1);
		for (int index : c.arrive)
			Token(1, (uint64_t)index);
		EXPECT_EQ(delivered_, c.want) << c.name;
	}
}

TEST_F(ReqTest, EndBeforeAllTokensStartsAnotherAttempt)
{
	Start(true);
	Granted(1);
	Token(1, 0);
	req_on_end(&req_, 1, 3, 0);
	EXPECT_EQ(end_, "");
	EXPECT_EQ(TakeActions().back(), "ask 2") << "another attempt must generate the rest";
}

TEST_F(ReqTest, LateTokensOfAnEarlierAttemptAreDropped)
{
	/*
	 * Guards against an answer with tokens of two runs. Attempt 1 fails, attempt 2 is running,
	 * then further tokens of attempt 1 arrive.
	 */
	Start(true);
	Granted(1);
	Token(1, 0);
	req_on_attempt_failed(&req_, 1, REQ_FAILURE_STREAM_LOST, "e1", 0);
	Granted(2);
	Token(1, 1);
	req_on_end(&req_, 1, 1, 0);
	EXPECT_EQ(delivered_, std::vector<int>{0});
	Token(2, 1);
	req_on_end(&req_, 2, 2, 0);
	EXPECT_EQ(delivered_, (std::vector<int>{0, 1}));
	EXPECT_EQ(end_, "ok");
	EXPECT_EQ(TakeActions(), (List{"ask 1", "dispatch 1 0", "ungrant 1 1", "ask 2",
				       "dispatch 2 1", "ungrant 2 0"}));
}

TEST_F(ReqTest, SilenceEndsTheAttempt)
{
	Start(true);
	Granted(1);
	Token(1, 0, 10 * kMs);
	int64_t due = timer_;
	EXPECT_EQ(due, 10 * kMs + settings_.gap_ceiling_us);
	req_on_timer(&req_, due);
	EXPECT_EQ(TakeActions().back(), "ask 2");
}

TEST_F(ReqTest, TimeLimitFollowsObservedTimes)
{
	for (int i = 0; i < 100; i++)
		req_est_add(&gap_, 20 * kMs);
	EXPECT_EQ(req_est_limit(&gap_, 500 * kMs, 3000 * kMs), 500 * kMs);
	for (int i = 0; i < 200; i++)
		req_est_add(&gap_, i % 2 ? 900 * kMs : 700 * kMs);
	EXPECT_GT(req_est_limit(&gap_, 500 * kMs, 3000 * kMs), 1000 * kMs)
		<< "a slow machine must raise the limit";
}

TEST_F(ReqTest, NonIdempotentIsNeverDispatchedTwice)
{
	Start(false);
	Granted(1);
	req_on_claim(&req_, 1, REQ_CLAIM_WON, 0);
	req_on_attempt_failed(&req_, 1, REQ_FAILURE_STREAM_LOST, "e1", 0);
	req_on_timer(&req_, timer_);
	req_on_attempt_failed(&req_, 1, REQ_FAILURE_RUN_UNKNOWN, nullptr, 0);
	EXPECT_EQ(TakeActions(), (List{"ask 1", "claim 1", "dispatch 1 0", "close 1", "resume 1 0",
				       "stop 1", "ungrant 1 0"}));
	EXPECT_EQ(end_, "unknown");
}

TEST_F(ReqTest, NonIdempotentThatWasNotRunClaimsAgain)
{
	Start(false);
	Granted(1);
	req_on_claim(&req_, 1, REQ_CLAIM_WON, 0);
	req_on_attempt_failed(&req_, 1, REQ_FAILURE_NOT_RUN, nullptr, 0);
	Granted(2);
	EXPECT_EQ(TakeActions(), (List{"ask 1", "claim 1", "dispatch 1 0", "ungrant 1 3", "ask 2",
				       "claim-over 2"}));
	req_on_claim(&req_, 2, REQ_CLAIM_WON, 0);
	EXPECT_EQ(TakeActions(), List{"dispatch 2 0"});
}

TEST_F(ReqTest, ClaimWonTooLateIsNotUsed)
{
	/*
	 * Guards against a request that runs minutes after it was sent, although another host has
	 * served the caller in the meantime. The entry host is suspended between sending its claim
	 * and receiving the verdict; a late verdict must not be acted on.
	 */
	Start(false);
	Granted(1);
	req_on_claim(&req_, 1, REQ_CLAIM_WON, settings_.claim_max_age_us + 1);
	EXPECT_EQ(TakeActions(), (List{"ask 1", "claim 1", "release 1", "ungrant 1 0"}));
	EXPECT_EQ(end_, "claim_failed");
}

TEST_F(ReqTest, RetriesAreLimitedByTheBudget)
{
	req_budget_init(&budget_, 1, 0);
	Start(true);
	Granted(1);
	req_on_attempt_failed(&req_, 1, REQ_FAILURE_NOT_RUN, nullptr, 0);
	Granted(2);
	req_on_attempt_failed(&req_, 2, REQ_FAILURE_NOT_RUN, nullptr, 0);
	EXPECT_EQ(end_, "retry_budget") << "no attempt has run";
}

TEST_F(ReqTest, BrokenAttemptsEndAsUnknown)
{
	Start(true);
	Granted(1);
	req_on_attempt_failed(&req_, 1, REQ_FAILURE_STREAM_LOST, "e1", 0);
	Granted(2);
	req_on_attempt_failed(&req_, 2, REQ_FAILURE_NOT_RUN, nullptr, 0);
	req_on_timer(&req_, timer_);
	Granted(3);
	req_on_attempt_failed(&req_, 3, REQ_FAILURE_NOT_RUN, nullptr, 0);
	EXPECT_EQ(end_, "broken") << "the first attempt may have run";
}

struct DeadlineCase {
	const char *name;
	bool granted;
	const char *end;
};

TEST_F(ReqTest, DeadlineCodeDependsOnDispatch)
{
	const DeadlineCase cases[] = {{"waiting", false, "deadline_before_start"},
				      {"dispatched", true, "deadline"}};
	for (const auto &c : cases) {
		if (started_)
			req_finish(&req_);
		Start(true);
		if (c.granted)
			Granted(1);
		req_on_timer(&req_, 10000 * kMs);
		EXPECT_EQ(end_, c.end) << c.name;
	}
}

TEST_F(ReqTest, DisconnectedCallerFreesTheEndpoint)
{
	Start(true);
	Granted(1);
	req_on_caller_disconnected(&req_, 0);
	EXPECT_EQ(TakeActions(), (List{"ask 1", "dispatch 1 0", "stop 1", "ungrant 1 0"}));
}

TEST_F(ReqTest, ClaimedRunContinuesWithoutItsCaller)
{
	Start(false);
	Granted(1);
	req_on_claim(&req_, 1, REQ_CLAIM_WON, 0);
	req_on_caller_disconnected(&req_, 0);
	EXPECT_EQ(end_, "");
	Token(1, 0);
	req_on_end(&req_, 1, 1, 0);
	EXPECT_EQ(end_, "ok") << "a repeated request with the key must get the answer";
}

TEST(ReqCode, CodesThatReportNotRun)
{
	/*
	 * Lists the codes with "ran": "no". Each of them needs a case in Matrix or in ReqTest; see
	 * docs/PROOF.md.
	 */
	const std::vector<std::string> no = {
		"bad_body",	    "bad_argument", "unauthorized",
		"forbidden",	    "not_found",    "bad_method",
		"too_large",	    "key_reused",   "queue_full",
		"too_long_to_wait", "no_pipeline",  "not_ready",
		"claim_failed",	    "retry_budget", "deadline_before_start"};
	std::vector<std::string> got;
	for (int code = 0; code < REQ_CODE_COUNT; code++) {
		const struct req_code_info *info = req_code_info((enum req_code)code);
		ASSERT_NE(info->name, nullptr) << code;
		if (info->ran == REQ_RAN_NO)
			got.push_back(info->name);
	}
	EXPECT_EQ(got, no);
}

} // namespace
