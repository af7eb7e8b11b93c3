#include "router/ends.h"

#include <gtest/gtest.h>

namespace
{

struct EndsCase {
	const char *name;
	hd_outcome outcome;
	ends_kind kind;
};

const EndsCase cases[] = {
	{"a whole answer", {HD_END_WHOLE, true, true, 200, 10, 0, HD_LENGTH_UNKNOWN}, ENDS_WHOLE},
	{"a refusal", {HD_END_WHOLE, true, true, 503, 0, 0, HD_LENGTH_UNKNOWN}, ENDS_WHOLE},
	{"an end without an answer",
	 {HD_END_WHOLE, true, false, 0, 0, 0, HD_LENGTH_UNKNOWN},
	 ENDS_UNANSWERED},
	{"an answer of which a part was not sent",
	 {HD_END_WHOLE, true, true, 200, 10, 5, HD_LENGTH_UNKNOWN},
	 ENDS_UNANSWERED},
	{"an answer that was broken off",
	 {HD_END_ABORTED, true, true, 200, 10, 5, HD_LENGTH_UNKNOWN},
	 ENDS_BROKEN},
	{"a close in place of an answer",
	 {HD_END_ABORTED, true, false, 0, 0, 0, HD_LENGTH_UNKNOWN},
	 ENDS_UNANSWERED},
	{"a caller that left",
	 {HD_END_CLIENT, true, true, 200, 10, 5, HD_LENGTH_UNKNOWN},
	 ENDS_CALLER},
	{"the idle timeout within an answer",
	 {HD_END_TIMEOUT, true, true, 200, 10, 5, HD_LENGTH_UNKNOWN},
	 ENDS_BROKEN},
	{"the idle timeout before an answer",
	 {HD_END_TIMEOUT, true, false, 0, 0, 0, HD_LENGTH_UNKNOWN},
	 ENDS_UNANSWERED},
	{"an error of the library",
	 {HD_END_ERROR, true, true, 200, 10, 5, HD_LENGTH_UNKNOWN},
	 ENDS_UNANSWERED},
	{"a stop of the server",
	 {HD_END_SHUTDOWN, true, false, 0, 0, 0, HD_LENGTH_UNKNOWN},
	 ENDS_UNANSWERED},
	{"a body above the limit",
	 {HD_END_WHOLE, false, true, 413, 0, 0, HD_LENGTH_UNKNOWN},
	 ENDS_UNREAD},
	{"a caller that left within its request",
	 {HD_END_CLIENT, false, false, 0, 0, 0, HD_LENGTH_UNKNOWN},
	 ENDS_UNREAD},
};

/* Guards against ends of requests without an answer that no counter shows. */
TEST(EndsTest, EachEndIsOneKind)
{
	for (const EndsCase &c : cases)
		EXPECT_EQ(ends_kind_of(&c.outcome), c.kind) << c.name;
}

/* Guards against answers that their callers take for whole and that lack bytes. */
TEST(EndsTest, ShortAnswersThatLookWholeAreNoticed)
{
	const struct {
		const char *name;
		hd_outcome outcome;
		bool is_short;
	} short_cases[] = {
		{"all bytes", {HD_END_WHOLE, true, true, 200, 10, 0, 10}, false},
		{"some bytes", {HD_END_WHOLE, true, true, 200, 10, 0, 12}, true},
		{"more bytes", {HD_END_WHOLE, true, true, 200, 10, 0, 8}, true},
		{"a length nobody stated",
		 {HD_END_WHOLE, true, true, 200, 10, 0, HD_LENGTH_UNKNOWN},
		 false},
		{"a visible end", {HD_END_ABORTED, true, true, 200, 10, 0, 12}, false},
	};

	for (const auto &c : short_cases)
		EXPECT_EQ(ends_is_short(&c.outcome), c.is_short) << c.name;
}

} // namespace
