#include "once/once.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace
{

/* A partition of the platform's log that can be out, and lose the answer of an append. */
struct Partition {
	std::vector<std::string> records;
	bool out = false;
	bool lose_answer = false;
};

/* A home of the partition: does at once what the decision asks for, unless it is held. */
struct Home {
	explicit Home(Partition *p) : log(p)
	{
		static const once_ops ops = {
			[](void *ctx, const char *record) { ((Home *)ctx)->Append(record); },
			[](void *ctx, int64_t from) { ((Home *)ctx)->pending_read = from; },
			[](void *ctx, once_asker asker, once_verdict verdict,
			   const once_claim *winner) {
				((Home *)ctx)
					->answers.push_back(std::to_string(asker.ask_id) + " " +
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
	/* Lets the append and the reads under way happen, until nothing is left to do. */
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
		bool ok = !log->out && !log->lose_answer;
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
				once_on_record(&once, (int64_t)i, str_of(log->records[i].c_str()),
					       now);
		}
		once_on_read(&once, !log->out, (int64_t)log->records.size(), now);
	}
	void Ask(uint64_t ask, const char *key, const char *id, const char *supersedes = "")
	{
		once_claim claim = {(char *)key,     (char *)id,     (char *)"r",	(char *)"h",
				    (char *)"e1,e2", (char *)"body", (char *)supersedes};
		once_on_ask(&once, {1, ask}, &claim, now);
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
	EXPECT_EQ(log.records.size(), 1u) << "claims that wait together share a record";
	home.Ask(4, "k", "c4");
	EXPECT_EQ(home.answers.back(), "4 lost c1");
	EXPECT_EQ(home.pending_append, "") << "a known key costs no append";
}

TEST(Once, TwoHomesAtOnceAgree)
{
	/*
	 * Symptom: two trucks are sent.
	 * Sequence: two hosts both think they are home of the key; both append a claim.
	 * Cause: hosts' lists differ. The order of the log decides.
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

TEST(Once, HomeThatPausedAndWokeDoesNotWinLate)
{
	/*
	 * Symptom: a request runs again minutes later.
	 * Sequence: a home is frozen with a claim that it has not yet appended; the caller asks
	 * again elsewhere and is served; the home wakes and appends.
	 * Cause: a holder that believes what was true before the pause.
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

TEST(Once, NewHomeReadsWhatTheOldOneWrote)
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
	 * Symptom: a claim that stands in the log is reported as failed, or written twice.
	 * Sequence: the append takes effect, its answer is lost.
	 * Cause: trusting the answer instead of the log.
	 */
	Partition log;
	Home home(&log);
	log.lose_answer = true;
	home.Ask(1, "k", "c1");
	home.Run();
	EXPECT_EQ(home.answers, Answers{"1 won c1"});
}

TEST(Once, LogOutRefusesAtOnceAndRecovers)
{
	Partition log;
	Home home(&log);
	log.out = true;
	home.Ask(1, "k", "c1");
	home.Run();
	home.Ask(2, "k", "c2");
	EXPECT_EQ(home.answers, (Answers{"1 out -", "2 out -"}));
	EXPECT_EQ(home.pending_read, -1) << "the second is refused without asking the log";
	log.out = false;
	home.now = 2000;
	home.Ask(3, "k", "c3");
	home.Run();
	EXPECT_EQ(home.answers.back(), "3 won c3");
}

TEST(Once, ClaimThatArrivesAfterItWasGivenUpDoesNotRun)
{
	/*
	 * Symptom: an asker was told "out", and its claim shows up in the log later.
	 * Sequence: the append times out, the read does not show it, then it takes effect.
	 * Cause: the log applies appends late. The asker has not dispatched and never will; who
	 * asks next learns that from the claim's entry and supersedes it.
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
	EXPECT_EQ(home.answers.back(), "4 lost c3") << "only one may supersede a claim";
}

TEST(Once, TwoThatSupersedeOneClaimAgree)
{
	/*
	 * Symptom: two trucks are sent.
	 * Sequence: a claim was never used; two askers learn so and both supersede it at once.
	 * Cause: letting a claim replace whichever claim counts, not only the one that it names.
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
	 * Symptom: a claim is answered "won" although an earlier one stands in the log.
	 * Sequence: the append succeeds at offset 1; the read that follows ends before it.
	 * Cause: a read served from a copy that lags.
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

TEST(Once, ReleasedKeyMayBeClaimedAnew)
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
	EXPECT_EQ(other.answers.back(), "3 lost c2") << "every reader comes to the same result";
}

TEST(Once, ClaimsAreForgottenAfterTheirLife)
{
	Partition log;
	Home home(&log);
	home.Ask(1, "k", "c1");
	home.Run();
	once_on_tick(&home.once, 1000000);
	EXPECT_EQ(g_hash_table_size(home.once.claims), 0u);
}

TEST(Once, RecordsThatAreNotOursAreSkipped)
{
	Partition log;
	log.records = {"nonsense", "{}", "[{}]", "[1]"};
	Home home(&log);
	home.Ask(1, "k", "c1");
	home.Run();
	EXPECT_EQ(home.answers, Answers{"1 won c1"});
}

} // namespace
