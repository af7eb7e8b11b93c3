#include "conf/clog.h"
#include "conf/conf.h"

#include <gtest/gtest.h>
#include <string>
#include <vector>

namespace
{
/* Statements of the configuration that most tests begin with. */
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
	const char *text; /* statements of a change that is applied to kBase */
	int err;	  /* expected error; 0 if the change is valid */
	int line;	  /* expected line of the error, counted from 1; 0 if none is given */
	int column;	  /* expected column of the error, counted from 1; 0 if none is given */
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

TEST(Conf, ReportsErrorsAndTheirLocation)
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

TEST(Conf, RejectedChangeLeavesStateUnchanged)
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

TEST(Conf, NameWithNulIsRejected)
{
	/*
	 * A name that contains a NUL was accepted, because strchr() also matches the NUL that
	 * terminates its list of characters. The exported configuration could then not be parsed
	 * again, so snapshots of it were unusable. Found by fuzzing statements.
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

TEST(Conf, HashMatchesOnlyItsSecret)
{
	char *hash = conf_secret_hash("salt", "secret");
	EXPECT_TRUE(conf_secret_matches(hash, "secret"));
	EXPECT_FALSE(conf_secret_matches(hash, "Secret"));
	EXPECT_FALSE(conf_secret_matches(hash, ""));
	EXPECT_FALSE(conf_secret_matches("nonsense", "secret"));
	g_free(hash);
}

/* A log in memory that nodes read. Read() applies records and returns the last verdict. */
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
		Append(clog_change_record(id, expect, "op", str_from_cstr(statements)));
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
	std::vector<std::string> log_; /* record at each offset */
};

TEST_F(ClogTest, ConcurrentChangeIsRejected)
{
	/*
	 * Two operators read revision 1, and both send a change that expects it.
	 * The second one must be rejected: without the check of the expected revision, it would
	 * silently override the first one.
	 */
	clog_on_log_end(&node_);
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

TEST_F(ClogTest, RepeatedCommandIsAppliedOnce)
{
	/*
	 * The response to an append is lost, and the daemon appends the command again although the
	 * first append took effect. If the second record were applied, the command would raise the
	 * revision twice, or drain an endpoint again that was admitted in between.
	 */
	clog_on_log_end(&node_);
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
	 * Records have expired when a host starts, so the records left are not the whole history.
	 * The host must load the snapshot that covers the expired records; without one it must not
	 * become ready, or it would start with an old or empty configuration.
	 */
	clog_on_log_end(&node_);
	Change("c0", -1, kBase);
	Change("c1", -1, "account a share 5");
	Read(&node_, 0, 2);
	Append(clog_snapshot_record(&node_));
	Change("c2", -1, "account a share 7");
	Read(&node_, 2, 4);

	clog fresh;
	clog_init(&fresh);
	EXPECT_EQ(clog_on_oldest_offset(&fresh, 2), CONF_EGAP);
	Read(&fresh, 2, 4);
	EXPECT_EQ(clog_on_log_end(&fresh), 0);
	EXPECT_EQ(fresh.revision, node_.revision);
	EXPECT_EQ(Export(fresh.state), Export(node_.state));
	clog_finish(&fresh);

	clog incomplete;
	clog_init(&incomplete);
	clog_on_oldest_offset(&incomplete, 3);
	Read(&incomplete, 3, 4);
	EXPECT_EQ(clog_on_log_end(&incomplete), CONF_EGAP);
	EXPECT_FALSE(incomplete.ready);
	clog_finish(&incomplete);
}

TEST_F(ClogTest, SnapshotThatMissesExpiredRecordsIsNotUsed)
{
	/*
	 * A snapshot covers the log up to record 0, but is appended as record 2, after the change
	 * in record 1. Record 1 expires, and a new host reads from record 2.
	 * If the host loaded the snapshot, it would lack the change in record 1, which all other
	 * hosts have.
	 */
	clog_on_log_end(&node_);
	Change("c0", -1, kBase);
	Read(&node_, 0, 1);
	char *snapshot = clog_snapshot_record(&node_);
	Change("c1", -1, "account a share 5");
	Append(snapshot);

	clog fresh;
	clog_init(&fresh);
	clog_on_oldest_offset(&fresh, 2);
	Read(&fresh, 2, 3);
	EXPECT_EQ(clog_on_log_end(&fresh), CONF_EGAP);
	EXPECT_FALSE(fresh.ready);
	clog_finish(&fresh);
}

TEST_F(ClogTest, SnapshotOfALowerRevisionIsNotUsed)
{
	/*
	 * Records expire before a host has read them, and the log still holds a snapshot written by
	 * a host with an older state.
	 * If the host loaded any snapshot after a gap, a change that is in force on it would be
	 * reverted.
	 */
	clog_on_log_end(&node_);
	Change("c0", -1, kBase);
	Read(&node_, 0, 1);
	std::string stale = clog_snapshot_record(&node_);
	Change("c1", -1, "account a share 5");
	Read(&node_, 1, 2);
	stale.replace(stale.find("\"covers\":0"), 10, "\"covers\":9");
	clog_on_oldest_offset(&node_, 5);
	clog_verdict verdict;
	clog_on_record(&node_, 5, str_make(stale.data(), stale.size()), &verdict);
	EXPECT_EQ(clog_on_log_end(&node_), CONF_EGAP);
	EXPECT_EQ(node_.revision, 2);
}

TEST_F(ClogTest, StalePeerStateIsNotLoaded)
{
	/*
	 * While the log is unavailable, a host that was suspended resumes, and sends its old state
	 * to a peer.
	 * If the peer did not compare revisions, an accepted change would be lost there.
	 */
	clog_on_log_end(&node_);
	Change("c0", -1, kBase);
	Read(&node_, 0, 1);
	char *stale = clog_snapshot_record(&node_);
	Change("c1", -1, "account a share 5");
	Read(&node_, 1, 2);
	EXPECT_EQ(clog_on_peer_state(&node_, str_from_cstr(stale)), 0);
	EXPECT_EQ(node_.revision, 2);
	char *newer = clog_snapshot_record(&node_);
	clog fresh;
	clog_init(&fresh);
	EXPECT_EQ(clog_on_peer_state(&fresh, str_from_cstr(newer)), 1);
	EXPECT_EQ(Export(fresh.state), Export(node_.state));
	EXPECT_EQ(clog_on_peer_state(&fresh, str_from_cstr(stale)), 0);
	EXPECT_EQ(clog_on_peer_state(&fresh, str_from_cstr("{}")), CONF_ERECORD);
	EXPECT_EQ(fresh.revision, 2);
	clog_finish(&fresh);
	g_free(stale);
	g_free(newer);
}

} // namespace
