#ifndef EP_REST_H
#define EP_REST_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The time in which one endpoint wants nothing of one host. The endpoint asks for it when it
 * rejects a request, and each answer is a promise of its own, so the latest end holds. Afterwards
 * one request goes there first: many hosts were asked in the same moment, and all that waits would
 * find an idle endpoint that may be no better than before. Pure.
 */
struct rst {
	int64_t until_us; /* the endpoint wants nothing until then; 0: it has not asked */
	int64_t open_us;  /* from when on this host sends there again */
	int64_t trial_us; /* when the first request after that was sent; 0: none was */
	int calls;	  /* reports and checks that were sent there meanwhile */
};

enum {
	RST_SPREAD_US = 300000, /* over which hosts come back */
	RST_TRIAL_US = 400000	/* for which the others wait for the answer to the first request */
};

/* What was asked for. Returns whether this is a rest of its own, not one more within another. */
bool rst_on_asked(struct rst *rst, int64_t for_us, int64_t now_us, double spread);

/* Whether a request may be sent to the endpoint; after the end, whether there is no trial. */
bool rst_is_open(const struct rst *rst, int64_t now_us);

/* A request is sent there. */
void rst_on_sent(struct rst *rst, int64_t now_us);

/* It took a request that was sent after the end. Returns whether the rest is over by that. */
bool rst_on_taken(struct rst *rst, int64_t now_us);

/* Whether the endpoint wants nothing now. */
bool rst_is_asked(const struct rst *rst, int64_t now_us);

/*
 * Whether this host may ask the endpoint for its report, which is no request of a caller's: once in
 * a rest, since a running stream may depend on it. Counts it.
 */
bool rst_may_call(struct rst *rst, int64_t now_us);

/* When a request may be sent there: at once, at the end of the rest or of the trial. */
int64_t rst_open_us(const struct rst *rst, int64_t now_us);

G_END_DECLS

#endif
