#include "base/drain.h"

#include <gtest/gtest.h>
#include <string>

namespace
{

struct DrainCase {
	const char *name;
	const char
		*checks; /* a letter a check: o requests are open, i none, R none and must refuse */
	const char *steps; /* w wait, r refuse, e end */
};

const DrainCase cases[] = {
	{"an idle server", "iiiiiiii", "wwwrwwwe"},
	{"a request before the first round", "iiioiiiiiiii", "wwwwwwwrwwwe"},
	{"a request that was in the queue", "iiiiioiiii", "wwwrwwwwwe"},
	{"no time left", "oRooiiii", "wrwwwwwe"},
	{"no time left, and idle before", "iiiRiiii", "wwwrwwwe"},
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
			steps += "wre"[drain_check(&drain, *check == 'o', *check == 'R')];
		EXPECT_EQ(steps, c.steps) << c.name;
	}
}

} // namespace
