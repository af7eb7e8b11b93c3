#include "ep/rest.h"

#include <gtest/gtest.h>

namespace
{

const int64_t MS = 1000;
const int64_t SEC = 1000 * MS;

/* Guards against requests to a resting endpoint, and against one that stays unused afterwards. */
TEST(RestTest, NoRequestIsSentDuringTheRestAndOneTrialAfterIt)
{
	const struct {
		int64_t for_us;
		double spread;
		int64_t open_us; /* earliest time of a request, counted from the answer */
	} cases[] = {
		{3 * SEC, 0, 3 * SEC},
		{3 * SEC, 0.5, 3 * SEC + REST_SPREAD_US / 2},
		{250 * MS, 0, 250 * MS},
		{86400 * SEC, 0, 86400 * SEC},
		{0, 0.9, 0},
	};
	for (const auto &c : cases) {
		rest_period rest{};
		int64_t now = 10 * SEC;
		EXPECT_EQ(rest_on_asked(&rest, c.for_us, now, c.spread), c.for_us > 0);
		EXPECT_EQ(rest_next_request_us(&rest, now), now + c.open_us) << c.for_us;
		EXPECT_EQ(rest_allows_request(&rest, now + c.open_us - 1), c.for_us == 0)
			<< c.for_us;
		EXPECT_TRUE(rest_allows_request(&rest, now + c.open_us)) << c.for_us;
		rest_on_sent(&rest, now + c.open_us);
		EXPECT_EQ(rest_allows_request(&rest, now + c.open_us), c.for_us == 0) << c.for_us;
	}
}

/* Guards against a trial request without an answer that blocks other requests for long. */
TEST(RestTest, AnUnansweredTrialDelaysOtherRequestsForALimitedTime)
{
	rest_period rest{};
	rest_on_asked(&rest, SEC, 0, 0);
	rest_on_sent(&rest, SEC);
	EXPECT_FALSE(rest_allows_request(&rest, SEC + REST_TRIAL_US - 1));
	EXPECT_TRUE(rest_allows_request(&rest, SEC + REST_TRIAL_US));
	rest_on_sent(&rest, SEC + REST_TRIAL_US);
	EXPECT_TRUE(rest_allows_request(&rest, SEC + REST_TRIAL_US));
	EXPECT_LE(REST_SPREAD_US + REST_TRIAL_US, SEC);
}

/* Once the endpoint has accepted the trial request, it is used like the others. */
TEST(RestTest, AnAcceptedTrialEndsTheRest)
{
	rest_period rest{};
	rest_on_asked(&rest, SEC, 0, 0);
	EXPECT_FALSE(rest_on_accepted(&rest, 500 * MS)) << "the answer to an older request";
	rest_on_sent(&rest, SEC);
	EXPECT_TRUE(rest_on_accepted(&rest, SEC + 5 * MS));
	for (int i = 0; i < 3; i++) {
		EXPECT_TRUE(rest_allows_request(&rest, SEC + 5 * MS));
		rest_on_sent(&rest, SEC + 5 * MS);
	}
}

/* Guards against a shorter rest that ends a longer one: each answer is binding by itself. */
TEST(RestTest, TheLatestEndApplies)
{
	const struct {
		int64_t first_us;  /* rest that the first answer asks for */
		int64_t second_us; /* rest that the second answer asks for */
		int64_t at_us;	   /* time of the second answer */
		int64_t until_us;  /* expected end of the rest */
	} cases[] = {
		{3 * SEC, SEC, SEC, 3 * SEC},	  {3 * SEC, 2 * SEC, SEC, 3 * SEC},
		{3 * SEC, 3 * SEC, SEC, 4 * SEC}, {3 * SEC, 10 * SEC, SEC, 11 * SEC},
		{3 * SEC, 0, SEC, 3 * SEC},
	};
	for (const auto &c : cases) {
		rest_period rest{};
		EXPECT_TRUE(rest_on_asked(&rest, c.first_us, 0, 0));
		EXPECT_FALSE(rest_on_asked(&rest, c.second_us, c.at_us, 0))
			<< "the same rest continues";
		EXPECT_EQ(rest.until_us, c.until_us);
	}
}

/* An endpoint may reject the trial request and ask for another rest, which is obeyed as well. */
TEST(RestTest, ARejectedTrialBeginsAnotherRest)
{
	rest_period rest{};
	rest_on_asked(&rest, 3 * SEC, 0, 0);
	rest_on_sent(&rest, 3 * SEC);
	EXPECT_TRUE(rest_on_asked(&rest, 3 * SEC, 3 * SEC + MS, 0));
	EXPECT_FALSE(rest_allows_request(&rest, 6 * SEC));
	EXPECT_TRUE(rest_allows_request(&rest, 6 * SEC + MS));
}

/* Guards against more than one call for a report or a health check during a rest. */
TEST(RestTest, OneReportCallIsAllowedDuringARest)
{
	rest_period rest{};
	EXPECT_TRUE(rest_allows_report_call(&rest, 0));
	EXPECT_TRUE(rest_allows_report_call(&rest, 0));
	rest_on_asked(&rest, 3 * SEC, 0, 0);
	EXPECT_TRUE(rest_allows_report_call(&rest, SEC));
	EXPECT_FALSE(rest_allows_report_call(&rest, SEC));
	rest_on_asked(&rest, 3 * SEC, 2 * SEC, 0);
	EXPECT_FALSE(rest_allows_report_call(&rest, 4 * SEC)) << "the same rest continues";
	EXPECT_TRUE(rest_allows_report_call(&rest, 5 * SEC));
	rest_on_asked(&rest, SEC, 6 * SEC, 0);
	EXPECT_TRUE(rest_allows_report_call(&rest, 6 * SEC));
}

} // namespace
