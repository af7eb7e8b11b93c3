#ifndef BASE_TMR_H
#define BASE_TMR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

enum {
	TMR_US_PER_MS = 1000,  /* microseconds in a millisecond */
	TMR_US_PER_S = 1000000 /* microseconds in a second */
};

/* Converts milliseconds to microseconds, the unit of timers. */
static inline int64_t tmr_from_ms(int64_t ms)
{
	return ms * TMR_US_PER_MS;
}

/* Converts seconds to microseconds, the unit of timers. */
static inline int64_t tmr_from_s(int64_t s)
{
	return s * TMR_US_PER_S;
}

/*
 * Timer service: a heap of timers ordered by due time. A caller owns the memory of its timers; the
 * owner of the service calls tmr_run() with the current time. Times are in microseconds of the
 * monotonic clock, or of a simulated clock in tests. A timer fires once for each tmr_set().
 */
typedef void (*tmr_fn)(void *ctx, int64_t now_us);

enum {
	TMR_NEVER = -1 /* returned by tmr_next() if no timer is set */
};

struct tmr {
	int64_t due_us; /* time at which the timer fires, in microseconds */
	tmr_fn fn;	/* callback of the timer */
	void *ctx;	/* first argument of fn */
	size_t slot;	/* index in the heap plus 1; 0 if the timer is not set */
};

struct tmr_svc {
	GPtrArray *heap; /* binary heap of struct tmr, earliest due time first */
};

void tmr_svc_init(struct tmr_svc *svc);
void tmr_svc_finish(struct tmr_svc *svc);

/* Sets t to call fn(ctx, now) at due_us; a timer that is already set is moved. */
void tmr_set(struct tmr_svc *svc, struct tmr *t, int64_t due_us, tmr_fn fn, void *ctx);

/* Cancels t; does nothing if t is not set. */
void tmr_cancel(struct tmr_svc *svc, struct tmr *t);

/* Returns whether t is set and has not fired yet. */
static inline bool tmr_is_set(const struct tmr *t)
{
	return t->slot > 0;
}

/* Calls the callback of every timer that is due at now_us, earliest first. */
void tmr_run(struct tmr_svc *svc, int64_t now_us);

/* Returns the due time of the earliest timer in microseconds, or TMR_NEVER. */
int64_t tmr_next(const struct tmr_svc *svc);

/* Returns the monotonic clock in microseconds; it stops while the host is suspended. */
int64_t tmr_now(void);

/*
 * Returns the clock CLOCK_BOOTTIME in microseconds. It advances while the host is suspended, for
 * intervals that other hosts measure, too.
 */
int64_t tmr_boot_now(void);

G_END_DECLS

#endif
