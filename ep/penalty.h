#ifndef EP_PENALTY_H
#define EP_PENALTY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The penalty of an endpoint for its recent failures, as one host has seen them. Among equal
 * endpoints the one of the lowest cost gets all requests, so even a small penalty would keep an
 * endpoint unused for as long as it lasts. The penalty therefore decays to zero, with time and with
 * each served request. An endpoint that is passed over for its penalty gets a trial request from
 * time to time, as nothing else would show that it works again. The module does no I/O.
 */
struct penalty {
	double failures;    /* number of failures, decayed up to updated_us */
	int64_t updated_us; /* time at which failures was last computed, in microseconds */
	int passed_over; /* number of choices of other endpoints since this one was last chosen */
};

enum {
	PENALTY_TRIAL_EVERY = 10 /* choices of other endpoints until a trial request is sent */
};

/* A request to the endpoint failed. */
void penalty_on_failed(struct penalty *penalty, int64_t now_us);

/* The endpoint served a request. */
void penalty_on_served(struct penalty *penalty, int64_t now_us);

/* The penalty, as a decayed number of failures; 0 if there is none. */
double penalty_value(const struct penalty *penalty, int64_t now_us);

/* Another endpoint was chosen. Returns whether this one is to get a trial request instead. */
bool penalty_on_passed_over(struct penalty *penalty, int64_t now_us);

/* This endpoint was chosen. */
void penalty_on_chosen(struct penalty *penalty);

G_END_DECLS

#endif
