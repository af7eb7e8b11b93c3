#ifndef EP_FAILING_H
#define EP_FAILING_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * How much one host holds recent failures against an endpoint. Of endpoints that are alike the one
 * that costs least gets everything, so whatever is left of a failure would decide for as long as it
 * lasts: it fades to nothing, with time and with each request that is served. One that is passed
 * over gets a request now and then, or nothing would show that it is well again. Pure.
 */
struct flg {
	double recent; /* failures, fading */
	int64_t at_us; /* when that was last brought up to date */
	int passed;    /* choices in which it was passed over since it was last chosen */
};

enum {
	FLG_TRIAL_EVERY = 10 /* choices that pass it over until it is tried */
};

void flg_on_failed(struct flg *flg, int64_t now_us);
void flg_on_served(struct flg *flg, int64_t now_us);

/* How many failures count now; 0: none. */
double flg_recent(const struct flg *flg, int64_t now_us);

/* Another one was chosen. Returns whether it is this one's turn to be tried. */
bool flg_on_passed(struct flg *flg, int64_t now_us);

/* It was chosen. */
void flg_on_chosen(struct flg *flg);

G_END_DECLS

#endif
