#include "base/drain.h"

#include <gtest/gtest.h>
#include <string>

namespace
{

struct DrainCase {
	const char *name;
	const char *
		checks; /* a letter a check: o requests are open, i none, Q none and must quiesce */
	const char *steps; /* w wait, q quiesce, e end */
};

const DrainCase cases[] = {
	{"an idle server", "iiiiiiii", "wwwqwwwe"},
	{"a request before the first round", "iiioiiiiiiii", "wwwwwwwqwwwe"},
	{"a request that was in the queue", "iiiiioiiii", "wwwqwwwwwe"},
	{"no time left", "oQooiiii", "wqwwwwwe"},
	{"no time left, and idle before", "iiiQiiii", "wwwqwwwe"},
};

/* Guards against a process that ends while it accepts connections, or as soon as it accepts none.
 */
TEST(DrainTest, EndsOnlyWhenIdleWithoutNewConnections)
{
	for (const DrainCase &c : cases) {
		struct drain drain {
		};
		std::string steps;

		for (const char *check = c.checks; *check; check++)
			steps += "wqe"[drain_check(&drain, *check == 'o', *check == 'Q')];
		EXPECT_EQ(steps, c.steps) << c.name;
	}
}

} // namespace
