#ifndef BASE_TMR_H
#define BASE_TMR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

enum {
	TMR_US_PER_MS = 1000,
	TMR_US_PER_S = 1000000
};

/* Times of constants and settings in the unit of timers. */
static inline int64_t tmr_ms(int64_t ms)
{
	return ms * TMR_US_PER_MS;
}

static inline int64_t tmr_s(int64_t s)
{
	return s * TMR_US_PER_S;
}

/*
 * Timer service. Parts subscribe an entry that they own; the owner of the service calls tmr_run()
 * with the time. Times are microseconds of the monotonic clock (or of a test's own clock).
 */
typedef void (*tmr_fn)(void *ctx, int64_t now_us);

enum {
	TMR_NEVER = -1
};

struct tmr {
	int64_t due_us;
	tmr_fn fn;
	void *ctx;
	size_t slot; /* 1 + place in the heap; 0 when not subscribed */
};

struct tmr_svc {
	GPtrArray *heap;
};

void tmr_svc_init(struct tmr_svc *svc);
void tmr_svc_finish(struct tmr_svc *svc);

/* Subscribes t, or moves it if it is subscribed already. */
void tmr_set(struct tmr_svc *svc, struct tmr *t, int64_t due_us, tmr_fn fn, void *ctx);

/* Unsubscribes t; harmless when it is not subscribed. */
void tmr_cancel(struct tmr_svc *svc, struct tmr *t);

static inline bool tmr_is_set(const struct tmr *t)
{
	return t->slot > 0;
}

/* Calls every entry that is due at now_us, earliest first. */
void tmr_run(struct tmr_svc *svc, int64_t now_us);

/* Time of the earliest entry, or TMR_NEVER. */
int64_t tmr_next(const struct tmr_svc *svc);

/* The monotonic clock in microseconds. */
int64_t tmr_now(void);

/* The same, but it goes on while the host is suspended: for what others have counted meanwhile. */
int64_t tmr_boot_now(void);

G_END_DECLS

#endif
