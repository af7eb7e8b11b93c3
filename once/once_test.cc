#include "once/once.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace
{

/* A partition of the platform's log that can be unavailable or lose the answer of an append. */
struct Partition {
	std::vector<std::string> records;
	bool out = false;
	bool lose_append_answer = false;
};

/* A home of the partition; Run() performs its appends and reads. */
struct Home {
	explicit Home(Partition *p) : log(p)
	{
		static const once_ops ops = {
			[](void *ctx, const char *record) { ((Home *)ctx)->Append(record); },
			[](void *ctx, int64_t from) { ((Home *)ctx)->pending_read = from; },
			[](void *ctx, once_requester requester, once_verdict verdict,
			   const once_claim *winner) {
				((Home *)ctx)
					->answers.push_back(std::to_string(requester.ask_id) + " " +
							    once_verdict_name(verdict) + " " +
							    (winner ? winner->id : "-"));
			},
		};
		once_settings settings = {1000, 1000000};
		once_init(&once, &settings, &ops, this);
	}
	~Home()
	{
		once_finish(&once);
	}
	void Append(const char *record)
	{
		pending_append = record;
	}
	/* Performs appends and reads until none is pending. */
	void Run()
	{
		while (!paused && (!pending_append.empty() || pending_read >= 0)) {
			if (!pending_append.empty())
				FinishAppend();
			else
				FinishRead();
		}
	}
	void FinishAppend()
	{
		std::string record;
		record.swap(pending_append);
		bool ok = !log->out && !log->lose_append_answer;
		if (!log->out)
			log->records.push_back(record);
		once_on_appended(&once, ok);
	}
	void FinishRead()
	{
		int64_t from = pending_read;
		pending_read = -1;
		if (!log->out) {
			for (size_t i = (size_t)from; i < log->records.size(); i++)
				once_on_record(&once, (int64_t)i,
					       str_from_cstr(log->records[i].c_str()), now);
		}
		once_on_read(&once, !log->out, (int64_t)log->records.size(), now);
	}
	void Ask(uint64_t ask, const char *key, const char *id, const char *supersedes = "")
	{
		once_claim claim = {(char *)key,     (char *)id,     (char *)"r",	(char *)"h",
				    (char *)"e1,e2", (char *)"body", (char *)supersedes};
		once_on_claim(&once, {1, ask}, &claim, now);
	}
	Partition *log;
	struct once once;
	std::vector<std::string> answers;
	std::string pending_append;
	int64_t pending_read = -1;
	bool paused = false;
	int64_t now = 0;
};

using Answers = std::vector<std::string>;

TEST(Once, FirstClaimInTheLogWinsAtOneHome)
{
	Partition log;
	Home home(&log);
	home.Ask(1, "k", "c1");
	home.Ask(2, "k", "c2");
	home.Ask(3, "other", "c3");
	home.Run();
	EXPECT_EQ(home.answers, (Answers{"1 won c1", "2 lost c1", "3 won c3"}));
	EXPECT_EQ(log.records.size(), 1u)
		<< "claims that wait at the same time must share a record";
	home.Ask(4, "k", "c4");
	EXPECT_EQ(home.answers.back(), "4 lost c1");
	EXPECT_EQ(home.pending_append, "") << "a key known to be claimed must cause no append";
}

TEST(Once, ConcurrentHomesAgree)
{
	/*
	 * Guards against running a request twice. Two hosts act as home of the key, because their
	 * lists of hosts differ, and both append a claim; the order of the log must decide.
	 */
	Partition log;
	Home a(&log);
	Home b(&log);
	a.Ask(1, "k", "ca");
	b.Ask(2, "k", "cb");
	a.FinishRead();
	b.FinishRead();
	b.FinishAppend();
	a.FinishAppend();
	a.Run();
	b.Run();
	EXPECT_EQ(a.answers, Answers{"1 lost cb"});
	EXPECT_EQ(b.answers, Answers{"2 won cb"});
}

TEST(Once, SuspendedHomeDoesNotWinAfterResuming)
{
	/*
	 * Guards against a request that runs again minutes later. A home is suspended with a claim
	 * that it has not yet appended, and the caller is served through another home; then the
	 * first home resumes with stale state and appends.
	 */
	Partition log;
	Home frozen(&log);
	Home next(&log);
	frozen.Ask(1, "k", "old");
	frozen.FinishRead();
	next.Ask(2, "k", "new");
	next.Run();
	frozen.Run();
	EXPECT_EQ(next.answers, Answers{"2 won new"});
	EXPECT_EQ(frozen.answers, Answers{"1 lost new"});
}

TEST(Once, NewHomeReadsClaimsOfTheOldHome)
{
	Partition log;
	{
		Home dead(&log);
		dead.Ask(1, "k", "c1");
		dead.Run();
	}
	Home next(&log);
	next.Ask(2, "k", "c2");
	next.Run();
	EXPECT_EQ(next.answers, Answers{"2 lost c1"});
	EXPECT_EQ(log.records.size(), 1u);
}

TEST(Once, LostAppendAnswerIsReadBack)
{
	/*
	 * Guards against reporting a claim that is in the log as failed, or writing it twice. The
	 * append takes effect but its answer is lost; the log must decide, not the answer.
	 */
	Partition log;
	Home home(&log);
	log.lose_append_answer = true;
	home.Ask(1, "k", "c1");
	home.Run();
	EXPECT_EQ(home.answers, Answers{"1 won c1"});
}

TEST(Once, UnavailableLogRefusesAtOnceAndRecovers)
{
	Partition log;
	Home home(&log);
	log.out = true;
	home.Ask(1, "k", "c1");
	home.Run();
	home.Ask(2, "k", "c2");
	EXPECT_EQ(home.answers, (Answers{"1 out -", "2 out -"}));
	EXPECT_EQ(home.pending_read, -1) << "the second claim must be refused without a read";
	log.out = false;
	home.now = 2000;
	home.Ask(3, "k", "c3");
	home.Run();
	EXPECT_EQ(home.answers.back(), "3 won c3");
}

TEST(Once, ClaimThatAppearsAfterAnUnavailableVerdictDoesNotRun)
{
	/*
	 * Guards against running a claim that got ONCE_UNAVAILABLE and appears in the log later.
	 * The append times out, the read does not show it, then the log applies it late. The entry
	 * has not dispatched and never will; the next request for the key learns that from the
	 * claim's entry and supersedes the claim.
	 */
	Partition log;
	Home home(&log);
	home.Ask(1, "k", "c1");
	home.FinishRead();
	std::string late = home.pending_append;
	home.pending_append = "";
	once_on_appended(&home.once, false);
	home.Run();
	EXPECT_EQ(home.answers, Answers{"1 out -"});
	log.records.push_back(late);
	home.now = 2000;
	home.Ask(2, "k", "c2");
	home.Run();
	EXPECT_EQ(home.answers.back(), "2 lost c1");
	home.Ask(3, "k", "c3", "c1");
	home.Run();
	EXPECT_EQ(home.answers.back(), "3 won c3");
	home.Ask(4, "k", "c4", "c1");
	home.Run();
	EXPECT_EQ(home.answers.back(), "4 lost c3") << "a claim may be superseded only once";
}

TEST(Once, TwoThatSupersedeOneClaimAgree)
{
	/*
	 * Guards against running a request twice. A claim was never used, and two requests
	 * supersede it at the same time. A claim may replace only the claim that it names, not
	 * whichever one is in force.
	 */
	Partition log;
	Home a(&log);
	Home b(&log);
	a.Ask(1, "k", "c1");
	a.Run();
	b.Ask(2, "k", "c2");
	b.Run();
	a.Ask(3, "k", "c3", "c1");
	b.Ask(4, "k", "c4", "c1");
	a.FinishAppend();
	b.FinishAppend();
	a.Run();
	b.Run();
	EXPECT_EQ(a.answers.back(), "3 won c3");
	EXPECT_EQ(b.answers.back(), "4 lost c3");
}

TEST(Once, StaleReadDoesNotDecide)
{
	/*
	 * Guards against the verdict "won" for a claim although the log holds an earlier one. The
	 * append succeeds at offset 1, but the following read comes from a lagging replica and ends
	 * before it.
	 */
	Partition log;
	Home home(&log);
	home.Ask(1, "k", "c1");
	home.FinishRead();
	home.pending_append = "";
	once_on_appended(&home.once, true);
	once_on_read(&home.once, true, 1, 0);
	EXPECT_EQ(home.answers, Answers{"1 out -"});
}

TEST(Once, ReleasedKeyMayBeClaimedAgain)
{
	Partition log;
	Home home(&log);
	home.Ask(1, "k", "c1");
	home.Run();
	once_on_release(&home.once, "k", "c1", 0);
	home.Run();
	home.Ask(2, "k", "c2");
	home.Run();
	EXPECT_EQ(home.answers.back(), "2 won c2");
	Home other(&log);
	other.Ask(3, "k", "c3");
	other.Run();
	EXPECT_EQ(other.answers.back(), "3 lost c2") << "every reader must obtain the same result";
}

TEST(Once, ClaimsAreForgottenAfterTheirLifetime)
{
	Partition log;
	Home home(&log);
	home.Ask(1, "k", "c1");
	home.Run();
	once_on_tick(&home.once, 1000000);
	EXPECT_EQ(g_hash_table_size(home.once.claims), 0u);
}

TEST(Once, RecordsWithoutClaimsAreSkipped)
{
	Partition log;
	log.records = {"nonsense", "{}", "[{}]", "[1]"};
	Home home(&log);
	home.Ask(1, "k", "c1");
	home.Run();
	EXPECT_EQ(home.answers, Answers{"1 won c1"});
}

} // namespace
