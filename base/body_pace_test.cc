#include "base/body_pace.h"

#include <gtest/gtest.h>

namespace
{

const int64_t S = 1000000;

const struct {
	const char *name;
	int64_t idle_us;
	int64_t every_us; /* time between two parts */
	size_t bytes;	  /* of each part */
	int64_t ended_us; /* time of the part at which it is ended; 0: never */
} cases[] = {
	{"a byte a second", 15 * S, S, 1, 16 * S},
	{"a byte a second, without a timeout", 0, S, 1, 0},
	{"a byte just within each timeout", 15 * S, 15 * S, 1, 30 * S},
	{"1 KiB just within each timeout", 15 * S, 15 * S, 1024, 0},
	{"1 KiB within each timeout, in parts", 15 * S, S, 69, 0},
	{"less than 1 KiB within each timeout, in parts", 15 * S, S, 63, 16 * S},
	{"4 KB each eighth of a second", 2 * S, S / 8, 4000, 0},
};

/* Guards against clients that send a byte now and then for ever, and against the end of those that
 * send slowly but steadily. */
TEST(BodyPaceTest, OnlyTooSlowBodiesAreEnded)
{
	for (const auto &c : cases) {
		int64_t ended_us = 0;
		body_pace pace;

		body_pace_init(&pace, 0);
		for (int64_t i = 1; i <= 1000 && ended_us == 0; i++)
			if (!body_pace_on_data(&pace, c.bytes, c.idle_us, i * c.every_us))
				ended_us = i * c.every_us;
		EXPECT_EQ(ended_us, c.ended_us) << c.name;
	}
}

} // namespace
