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
	{"a whole answer", {HD_END_WHOLE, true, true, 200, 10, 0}, ENDS_WHOLE},
	{"a refusal", {HD_END_WHOLE, true, true, 503, 0, 0}, ENDS_WHOLE},
	{"an end without an answer", {HD_END_WHOLE, true, false, 0, 0, 0}, ENDS_UNANSWERED},
	{"an answer of which a part was not sent",
	 {HD_END_WHOLE, true, true, 200, 10, 5},
	 ENDS_UNANSWERED},
	{"an answer that was broken off", {HD_END_ABORTED, true, true, 200, 10, 5}, ENDS_BROKEN},
	{"a close in place of an answer", {HD_END_ABORTED, true, false, 0, 0, 0}, ENDS_UNANSWERED},
	{"a caller that left", {HD_END_CLIENT, true, true, 200, 10, 5}, ENDS_CALLER},
	{"the idle timeout within an answer",
	 {HD_END_TIMEOUT, true, true, 200, 10, 5},
	 ENDS_UNANSWERED},
	{"an error of the library", {HD_END_ERROR, true, true, 200, 10, 5}, ENDS_UNANSWERED},
	{"a body above the limit", {HD_END_WHOLE, false, true, 413, 0, 0}, ENDS_UNREAD},
	{"a caller that left within its request",
	 {HD_END_CLIENT, false, false, 0, 0, 0},
	 ENDS_UNREAD},
	{"a stop of the server", {HD_END_SHUTDOWN, true, false, 0, 0, 0}, ENDS_UNANSWERED},
};

/* Guards against ends of requests without an answer that no counter shows. */
TEST(EndsTest, EachEndIsOneKind)
{
	for (const EndsCase &c : cases)
		EXPECT_EQ(ends_kind_of(&c.outcome), c.kind) << c.name;
}

} // namespace
