#include "router/bodies.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <vector>

namespace
{

const uint64_t KB = 1024;
const uint64_t MB = 1024 * KB;
const bodies_limits limits = {64 * MB, 48 * MB};

const struct {
	const char *name;
	hd_body_use use; /* total, own, more */
	bool may_hold;
} cases[] = {
	{"the first body", {0, 4 * MB, 4 * MB}, true},
	{"large, up to its limit", {44 * MB, 4 * MB, 4 * MB}, true},
	{"large, above its limit", {44 * MB + 1, 4 * MB, 4 * MB}, false},
	{"the last part of a large one, above its limit", {48 * MB, 4 * MB, 1}, false},
	{"short, while large ones fill their part", {48 * MB, 16 * KB, 16 * KB}, true},
	{"hardly large, while large ones fill their part", {48 * MB, 16 * KB + 1, 1}, false},
	{"short, up to the total", {64 * MB - 16 * KB, 16 * KB, 16 * KB}, true},
	{"short, above the total", {64 * MB, 1, 1}, false},
	{"above the total since the limits were lowered", {80 * MB, 1, 1}, false},
};

/* Guards against bodies above the bound, and against short ones that are refused for large ones. */
TEST(BodiesTest, BodiesAreHeldUpToTheBound)
{
	for (const auto &c : cases)
		EXPECT_EQ(bodies_may_hold(&limits, &c.use), c.may_hold) << c.name;
}

/* Guards against a bound below which a body within the limit of one is refused for ever. */
TEST(BodiesTest, OneBodyOfTheLargestSizeAlwaysFits)
{
	for (uint64_t body_max : {(uint64_t)0, (uint64_t)1, 16 * KB, 100000 * KB, 4 * MB, 64 * MB})
		for (uint64_t total_max : {(uint64_t)0, MB, 64 * MB}) {
			const hd_body_use use = {0, body_max, body_max};
			bodies_limits made;

			bodies_limits_init(&made, total_max, body_max);
			EXPECT_TRUE(bodies_may_hold(&made, &use)) << body_max << " " << total_max;
			EXPECT_GE(made.total_max, total_max);
		}
}

TEST(BodiesTest, LeastTotalHoldsOneBodyAndOneByteLessDoesNot)
{
	for (uint64_t body_max : {(uint64_t)1, 100000 * KB, 4 * MB, 4 * MB + 1, 4 * MB + 2}) {
		uint64_t least = bodies_least_total(body_max);

		EXPECT_TRUE(bodies_fits_one(least, body_max)) << body_max;
		EXPECT_FALSE(bodies_fits_one(least - 1, body_max)) << body_max;
	}
}

/* Guards against a bound that many bodies exceed which grow at the same time, or at which none is
 * completed. */
TEST(BodiesTest, ThousandBodiesThatGrowTogetherStayWithinTheBound)
{
	const uint64_t size = MB, part = 4 * KB;
	std::vector<uint64_t> bodies(1000, 0);
	uint64_t total = 0;
	size_t refused = 0;

	for (uint64_t at = 0; at < size; at += part)
		for (auto body = bodies.begin(); body != bodies.end();) {
			const hd_body_use use = {total, *body + part, part};

			if (bodies_may_hold(&limits, &use)) {
				*body += part;
				total += part;
				++body;
			} else {
				total -= *body;
				body = bodies.erase(body);
				refused++;
			}
			ASSERT_LE(total, limits.total_max);
		}
	EXPECT_EQ(bodies.size(), 48U) << "bodies of 1 MiB in 48 MiB";
	EXPECT_EQ(refused, 952U);
	EXPECT_EQ(std::count(bodies.begin(), bodies.end(), size), 48);
}

} // namespace
