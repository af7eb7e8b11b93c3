#ifndef BACK_BACK_H
#define BACK_BACK_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * When a caller that is refused for want of room should come back (Retry-After). Pure.
 *
 * A caller comes back once. Where most requests are served, a refusal is bad luck, and coming back
 * soon may still be in time. Where most are refused, the endpoints have no room, and whoever comes
 * back soon is refused for good; those callers are spread over the next seconds.
 */
struct bk {
	double served;	/* recent ones, fading */
	double refused; /* the same */
	int64_t at_us;	/* when these were last brought up to date */
};

void bk_on_served(struct bk *bk, int64_t now_us);
void bk_on_refused(struct bk *bk, int64_t now_us);

/* The longest wait that a caller heeds which has so much time left. */
int64_t bk_heeded_us(int64_t left_us);

/* How long to wait, of the time that the caller has left. seed: for spreading. */
int64_t bk_delay_us(struct bk *bk, int64_t left_us, int64_t now_us, uint32_t *seed);

/*
 * How long a request may wait at a host that has no configuration yet, for a caller that waits
 * deadline_ms in all (-1: not stated). A host that starts has it within some 50 ms, or soon after
 * the store is back. Many callers have used up their one retry when all hosts have just gone down,
 * and would come back to another host that starts, too.
 */
int64_t bk_park_us(int64_t deadline_ms);

G_END_DECLS

#endif
