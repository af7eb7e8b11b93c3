#include "base/tmr.h"

#include <time.h>

static void tmr_heap_put(struct tmr_svc *svc, size_t i, struct tmr *t);
static void tmr_sift_up(struct tmr_svc *svc, size_t i);
static void tmr_sift_down(struct tmr_svc *svc, size_t i);

void tmr_svc_init(struct tmr_svc *svc)
{
	svc->heap = g_ptr_array_new();
}

void tmr_svc_finish(struct tmr_svc *svc)
{
	g_ptr_array_free(svc->heap, TRUE);
	svc->heap = NULL;
}

static void tmr_heap_put(struct tmr_svc *svc, size_t i, struct tmr *t)
{
	svc->heap->pdata[i] = t;
	t->slot = i + 1;
}

static void tmr_sift_up(struct tmr_svc *svc, size_t i)
{
	struct tmr *t = svc->heap->pdata[i];

	while (i > 0) {
		size_t parent = (i - 1) / 2;
		struct tmr *p = svc->heap->pdata[parent];

		if (p->due_us <= t->due_us)
			break;
		tmr_heap_put(svc, i, p);
		i = parent;
	}
	tmr_heap_put(svc, i, t);
}

static void tmr_sift_down(struct tmr_svc *svc, size_t i)
{
	struct tmr *t = svc->heap->pdata[i];
	size_t n = svc->heap->len;

	for (;;) {
		size_t child = 2 * i + 1;
		struct tmr *c;

		if (child >= n)
			break;
		c = svc->heap->pdata[child];
		if (child + 1 < n) {
			struct tmr *right = svc->heap->pdata[child + 1];

			if (right->due_us < c->due_us) {
				child++;
				c = right;
			}
		}
		if (t->due_us <= c->due_us)
			break;
		tmr_heap_put(svc, i, c);
		i = child;
	}
	tmr_heap_put(svc, i, t);
}

void tmr_set(struct tmr_svc *svc, struct tmr *t, int64_t due_us, tmr_fn fn, void *ctx)
{
	tmr_cancel(svc, t);
	t->due_us = due_us;
	t->fn = fn;
	t->ctx = ctx;
	g_ptr_array_add(svc->heap, t);
	tmr_sift_up(svc, svc->heap->len - 1);
}

void tmr_cancel(struct tmr_svc *svc, struct tmr *t)
{
	size_t i;
	struct tmr *last;

	if (t->slot == 0)
		return;
	i = t->slot - 1;
	t->slot = 0;
	last = svc->heap->pdata[svc->heap->len - 1];
	g_ptr_array_set_size(svc->heap, (gint)svc->heap->len - 1);
	if (last == t)
		return;
	tmr_heap_put(svc, i, last);
	tmr_sift_up(svc, i);
	tmr_sift_down(svc, last->slot - 1);
}

void tmr_run(struct tmr_svc *svc, int64_t now_us)
{
	while (svc->heap->len > 0) {
		struct tmr *t = svc->heap->pdata[0];

		if (t->due_us > now_us)
			return;
		tmr_cancel(svc, t);
		t->fn(t->ctx, now_us);
	}
}

int64_t tmr_next(const struct tmr_svc *svc)
{
	const struct tmr *t;

	if (svc->heap->len == 0)
		return TMR_NEVER;
	t = svc->heap->pdata[0];
	return t->due_us;
}

int64_t tmr_now(void)
{
	return g_get_monotonic_time();
}

int64_t tmr_boot_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * TMR_US_PER_S + ts.tv_nsec / 1000;
}
