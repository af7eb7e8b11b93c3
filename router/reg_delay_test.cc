#include "router/reg_delay.h"

#include <gtest/gtest.h>
#include <string>

namespace
{

const int64_t MS = 1000;

TEST(RegistrationDelayTest, HostsThatKnowFewOthersRegisterAtOnce)
{
	EXPECT_EQ(reg_delay_us("host-1", 0, REG_FIRST_READ_MS * MS), 0);
	EXPECT_EQ(reg_delay_us("host-1", REG_ENOUGH_HOSTS - 1, REG_FIRST_READ_MS * MS), 0);
	EXPECT_EQ(reg_delay_us("host-1", 100, REG_SPREAD_MS * MS), 0);
	EXPECT_LT(reg_delay_us("host-1", 100, 0), REG_SPREAD_MS * MS);
	EXPECT_EQ(reg_delay_us("host-1", 100, 0), reg_delay_us("host-1", 0, 0));
}

/*
 * All hosts start together and read the list after 0.7 s. If it then holds ten hosts, the first
 * reader registers the others one second later. The store takes 2 ms per entry.
 */
TEST(RegistrationDelayTest, AStartOfManyHostsDoesNotQueueAtTheStore)
{
	for (int hosts : {7, 30, 300, 984, 1968}) {
		int written = 0, before_read = 0, before_reader_writes = 0;

		for (int i = 0; i < hosts; i++) {
			int64_t at = reg_delay_us(("host-" + std::to_string(i)).c_str(), 0, 0);

			before_read += at < 700 * MS;
			before_reader_writes += at < 1700 * MS;
		}
		written = before_read < REG_ENOUGH_HOSTS ? hosts : before_reader_writes;
		/* First the queue when hosts read the list, in ms; then all entries written. */
		EXPECT_LT(before_read * 2, 700) << hosts;
		EXPECT_LE(written, hosts < 100 ? hosts : hosts * 2 / 5) << hosts;
	}
}

} // namespace
