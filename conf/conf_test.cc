#include "conf/clog.h"
#include "conf/conf.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace
{

const char *const kBase = "model m layers 4 version v1\n"
			  "account a models m token s:h\n"
			  "endpoint e1 address 127.0.0.1:1 pool p zone z model m version v1 "
			  "layers 0-1\n"
			  "endpoint e2 address 127.0.0.1:2 pool p zone z model m version v1 "
			  "layers 2-3\n";

conf_state *Apply(const conf_state *from, const std::string &text, conf_problem *problem, int *err)
{
	return conf_apply(from, str_make(text.data(), text.size()), problem, err);
}

std::string Export(const conf_state *state)
{
	GString *out = g_string_new(nullptr);
	conf_export(state, out);
	std::string text(out->str, out->len);
	g_string_free(out, TRUE);
	return text;
}

struct ParseCase {
	const char *name;
	const char *text;
	int err;
	int line;
	int column;
};

const ParseCase kParseCases[] = {
	{"empty", "", 0, 0, 0},
	{"comment", "# nothing\n", 0, 0, 0},
	{"unknown statement", "modle m", CONF_ESYNTAX, 1, 1},
	{"missing name", "account", CONF_ESYNTAX, 1, 8},
	{"missing value", "account b models", CONF_ESYNTAX, 1, 17},
	{"unknown attribute", "account b\nmodel m colour 3", CONF_ESYNTAX, 1, 10},
	{"missing attribute", "model n layers 3", CONF_ESYNTAX, 1, 17},
	{"wrong number", "model n layers x version v", CONF_ESYNTAX, 1, 16},
	{"number out of range", "model n layers 0 version v", CONF_ESYNTAX, 1, 16},
	{"wrong layers", "endpoint e1 layers 3-1", CONF_ESYNTAX, 1, 20},
	{"wrong address", "endpoint e1 address 1.2.3.4", CONF_ESYNTAX, 1, 21},
	{"second line", "model n layers 1 version v\n  drain endpoint x", CONF_ESYNTAX, 2, 18},
	{"unknown model", "account a models nope", CONF_EREFERENCE, 0, 0},
	{"layers beyond the model", "endpoint e1 layers 0-4", CONF_EREFERENCE, 0, 0},
	{"delete what is in use", "delete model m", CONF_EREFERENCE, 0, 0},
	{"drain an endpoint", "drain endpoint e1", 0, 0, 0},
	{"drain a host not declared", "drain host h1", 0, 0, 0},
};

TEST(Conf, StatementsAndTheirErrors)
{
	conf_problem problem;
	int err;
	conf_state *empty = conf_state_new();
	conf_state *base = Apply(empty, kBase, &problem, &err);
	ASSERT_NE(base, nullptr) << problem.text;
	for (const auto &c : kParseCases) {
		conf_state *next = Apply(base, c.text, &problem, &err);
		EXPECT_EQ(err, c.err) << c.name << ": " << problem.text;
		EXPECT_EQ(next != nullptr, c.err == 0) << c.name;
		EXPECT_EQ(problem.line, c.line) << c.name;
		EXPECT_EQ(problem.column, c.column) << c.name;
		conf_state_unref(next);
	}
	conf_state_unref(base);
	conf_state_unref(empty);
}

TEST(Conf, RejectedChangeLeavesNothingBehind)
{
	conf_problem problem;
	int err;
	conf_state *empty = conf_state_new();
	conf_state *base = Apply(empty, kBase, &problem, &err);
	std::string before = Export(base);
	EXPECT_EQ(Apply(base, "drain endpoint e1\nnonsense", &problem, &err), nullptr);
	EXPECT_EQ(Export(base), before);
	conf_state_unref(base);
	conf_state_unref(empty);
}

TEST(Conf, NamesHoldNoNul)
{
	/*
	 * Symptom: the exported configuration cannot be read back, so no snapshot can be taken from
	 * it. Sequence: a statement whose name holds a NUL is accepted. Found by the fuzzer of
	 * statements. Cause: strchr() finds the NUL that ends its own list of characters.
	 */
	const char text[] = "host \0\0";
	conf_problem problem;
	int err;
	conf_state *empty = conf_state_new();
	EXPECT_EQ(conf_apply(empty, str_make(text, sizeof(text) - 1), &problem, &err), nullptr);
	EXPECT_EQ(err, CONF_ESYNTAX);
	conf_state_unref(empty);
}

TEST(Conf, ExportAndDiffRoundTrip)
{
	conf_problem problem;
	int err;
	conf_state *empty = conf_state_new();
	conf_state *base = Apply(empty, kBase, &problem, &err);
	conf_state *again = Apply(empty, Export(base), &problem, &err);
	ASSERT_NE(again, nullptr) << problem.text;
	EXPECT_EQ(Export(base), Export(again));

	conf_state *other =
		Apply(base, "delete endpoint e2\naccount a share 9\ndrain host h", &problem, &err);
	ASSERT_NE(other, nullptr) << problem.text;
	GString *diff = g_string_new(nullptr);
	conf_diff(base, other, diff);
	conf_state *patched = Apply(base, diff->str, &problem, &err);
	ASSERT_NE(patched, nullptr) << problem.text << diff->str;
	EXPECT_EQ(Export(patched), Export(other));
	g_string_free(diff, TRUE);
	for (conf_state *s : {patched, other, again, base, empty})
		conf_state_unref(s);
}

TEST(Conf, SecretsMatchOnlyThemselves)
{
	char *hash = conf_secret_hash("salt", "secret");
	EXPECT_TRUE(conf_secret_matches(hash, "secret"));
	EXPECT_FALSE(conf_secret_matches(hash, "Secret"));
	EXPECT_FALSE(conf_secret_matches(hash, ""));
	EXPECT_FALSE(conf_secret_matches("nonsense", "secret"));
	g_free(hash);
}

/* A log of records that several nodes read, as the platform would serve it. */
class ClogTest : public ::testing::Test
{
      protected:
	void SetUp() override
	{
		clog_init(&node_);
	}
	void TearDown() override
	{
		clog_finish(&node_);
	}
	void Append(char *record)
	{
		log_.push_back(record);
		g_free(record);
	}
	void Change(const char *id, int64_t expect, const char *statements)
	{
		Append(clog_change_record(id, expect, "op", str_of(statements)));
	}
	clog_verdict Read(clog *node, size_t from, size_t to)
	{
		clog_verdict verdict{};
		for (size_t i = from; i < to; i++)
			clog_on_record(node, (int64_t)i, str_make(log_[i].data(), log_[i].size()),
				       &verdict);
		return verdict;
	}
	clog node_;
	std::vector<std::string> log_;
};

TEST_F(ClogTest, RacingOperatorsOneWins)
{
	/*
	 * Symptom: an operator's change silently undoes another's.
	 * Sequence: both read revision 1 and send a change at the same moment.
	 * Cause: without an expected revision the later record would win.
	 */
	clog_on_end(&node_);
	Change("c0", 0, kBase);
	Change("c1", 1, "account a share 2");
	Change("c2", 1, "account a share 3");
	Read(&node_, 0, 2);
	clog_verdict verdict = Read(&node_, 2, 3);
	EXPECT_EQ(verdict.outcome, CLOG_REJECTED);
	EXPECT_EQ(verdict.err, CONF_ECONFLICT);
	EXPECT_EQ(node_.revision, 2);
	EXPECT_EQ(conf_get(node_.state, CONF_ACCOUNT, "a")->value[ACCOUNT_SHARE], 2);
}

TEST_F(ClogTest, RepeatedAppendCountsOnce)
{
	/*
	 * Symptom: one command raises the revision twice, or drains a host again after it was
	 * admitted. Sequence: the append's answer is lost, the daemon appends the command again.
	 * Cause: the effect had already taken place.
	 */
	clog_on_end(&node_);
	Change("c0", -1, kBase);
	Change("c1", -1, "drain endpoint e1");
	Change("c2", -1, "admit endpoint e1");
	Change("c1", -1, "drain endpoint e1");
	Read(&node_, 0, 4);
	EXPECT_EQ(node_.revision, 3);
	EXPECT_EQ(conf_get(node_.state, CONF_ENDPOINT, "e1")->value[ENDPOINT_STATE], 0);
}

TEST_F(ClogTest, SnapshotReplacesExpiredRecords)
{
	/*
	 * Symptom: a restarted host comes up with an old or empty configuration.
	 * Sequence: records expire; the host starts and reads what is left.
	 * Cause: what is left is not the whole history.
	 */
	clog_on_end(&node_);
	Change("c0", -1, kBase);
	Change("c1", -1, "account a share 5");
	Read(&node_, 0, 2);
	Append(clog_snapshot_record(&node_));
	Change("c2", -1, "account a share 7");
	Read(&node_, 2, 4);

	clog fresh;
	clog_init(&fresh);
	EXPECT_EQ(clog_on_first(&fresh, 2), CONF_EGAP);
	Read(&fresh, 2, 4);
	EXPECT_EQ(clog_on_end(&fresh), 0);
	EXPECT_EQ(fresh.revision, node_.revision);
	EXPECT_EQ(Export(fresh.state), Export(node_.state));
	clog_finish(&fresh);

	clog late;
	clog_init(&late);
	clog_on_first(&late, 3);
	Read(&late, 3, 4);
	EXPECT_EQ(clog_on_end(&late), CONF_EGAP);
	EXPECT_FALSE(late.ready);
	clog_finish(&late);
}

TEST_F(ClogTest, SnapshotThatMissesExpiredRecordsIsNotUsed)
{
	/*
	 * Symptom: one host misses a single change that all others have.
	 * Sequence: a snapshot covers up to record 0, record 1 is appended before the snapshot
	 * itself lands as record 2, and record 1 expires. A new host reads from record 2.
	 * Cause: the snapshot does not cover the record that expired.
	 */
	clog_on_end(&node_);
	Change("c0", -1, kBase);
	Read(&node_, 0, 1);
	char *snapshot = clog_snapshot_record(&node_);
	Change("c1", -1, "account a share 5");
	Append(snapshot);

	clog fresh;
	clog_init(&fresh);
	clog_on_first(&fresh, 2);
	Read(&fresh, 2, 3);
	EXPECT_EQ(clog_on_end(&fresh), CONF_EGAP);
	EXPECT_FALSE(fresh.ready);
	clog_finish(&fresh);
}

TEST_F(ClogTest, SnapshotOfALowerRevisionIsNotUsed)
{
	/*
	 * Symptom: a change that was in force on a host comes undone there.
	 * Sequence: the host misses records that expire; what is left of the log holds the snapshot
	 * of a host with an older state.
	 * Cause: taking any snapshot after a gap.
	 */
	clog_on_end(&node_);
	Change("c0", -1, kBase);
	Read(&node_, 0, 1);
	std::string stale = clog_snapshot_record(&node_);
	Change("c1", -1, "account a share 5");
	Read(&node_, 1, 2);
	stale.replace(stale.find("\"covers\":0"), 10, "\"covers\":9");
	clog_on_first(&node_, 5);
	clog_verdict verdict;
	clog_on_record(&node_, 5, str_make(stale.data(), stale.size()), &verdict);
	EXPECT_EQ(clog_on_end(&node_), CONF_EGAP);
	EXPECT_EQ(node_.revision, 2);
}

TEST_F(ClogTest, StalePeerNeverRevertsAState)
{
	/*
	 * Symptom: an accepted change disappears on some hosts.
	 * Sequence: the log is out; a host that was frozen wakes and offers its old state.
	 * Cause: taking a peer's state without comparing revisions.
	 */
	clog_on_end(&node_);
	Change("c0", -1, kBase);
	Read(&node_, 0, 1);
	char *stale = clog_snapshot_record(&node_);
	Change("c1", -1, "account a share 5");
	Read(&node_, 1, 2);
	EXPECT_EQ(clog_on_peer_state(&node_, str_of(stale)), 0);
	EXPECT_EQ(node_.revision, 2);
	char *newer = clog_snapshot_record(&node_);
	clog fresh;
	clog_init(&fresh);
	EXPECT_EQ(clog_on_peer_state(&fresh, str_of(newer)), 1);
	EXPECT_EQ(Export(fresh.state), Export(node_.state));
	EXPECT_EQ(clog_on_peer_state(&fresh, str_of(stale)), 0);
	EXPECT_EQ(clog_on_peer_state(&fresh, str_of("{}")), CONF_ERECORD);
	EXPECT_EQ(fresh.revision, 2);
	clog_finish(&fresh);
	g_free(stale);
	g_free(newer);
}

} // namespace
