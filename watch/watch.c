#include "watch/watch.h"

enum {
	/* Longest interval, in us for each host. */
	WT_INTERVAL_PER_HOST_US = 20000,
	/* Upper bound of the longest interval, in us. */
	WT_INTERVAL_MAX_US = 2000000,
	/* Time in us without a call after which the interval is short again. */
	WT_CALM_US = 3000000,
	/* Longest time in us from data of a stream to a refusal for that to count. */
	WT_EVIDENCE_US = 100000,
	/* Most doublings of the interval; it keeps the shift within range. */
	WT_DOUBLINGS_MAX = 8
};

void wt_init(struct wt *wt, double phase)
{
	*wt = (struct wt){.hosts = 1, .allowed = WT_BURST + phase, .phase = phase};
}

bool wt_is_active(const struct wt *wt)
{
	return wt->hosts >= WT_HOSTS_MIN;
}

void wt_set_hosts(struct wt *wt, int hosts)
{
	wt->hosts = MAX(hosts, 1);
}

void wt_on_fault(struct wt *wt)
{
	wt->faults++;
}

int64_t wt_interval_us(const struct wt *wt, const struct wt_calls *calls, int64_t min_us)
{
	int64_t max_us = MIN((int64_t)wt->hosts * WT_INTERVAL_PER_HOST_US, WT_INTERVAL_MAX_US);
	int doublings = CLAMP(calls->answers - WT_FREE_ANSWERS, 0, WT_DOUBLINGS_MAX);

	if (!wt_is_active(wt) || calls->fault != wt->faults)
		return min_us;
	return CLAMP(min_us << doublings, min_us, MAX(max_us, min_us));
}

bool wt_is_due(const struct wt *wt, const struct wt_calls *calls, int64_t min_us, int64_t now_us)
{
	return now_us - calls->called_us >= wt_interval_us(wt, calls, min_us);
}

bool wt_take_call(struct wt *wt, int64_t now_us)
{
	double age_s = (double)(now_us - wt->refill_us) / G_USEC_PER_SEC;

	if (!wt_is_active(wt))
		return true;
	wt->allowed = MIN(wt->allowed + age_s * WT_CALLS_PER_S / wt->hosts, WT_BURST + wt->phase);
	wt->refill_us = now_us;
	if (wt->allowed < 1)
		return false;
	wt->allowed--;
	return true;
}

void wt_on_call(const struct wt *wt, struct wt_calls *calls, int64_t now_us)
{
	if (calls->fault != wt->faults || now_us - calls->called_us > WT_CALM_US)
		calls->answers = 0;
	calls->fault = wt->faults;
	calls->called_us = now_us;
}

void wt_on_answer(struct wt_calls *calls, bool faulty)
{
	calls->answers = faulty ? 0 : MIN(calls->answers + 1, WT_FREE_ANSWERS + WT_DOUBLINGS_MAX);
}

void wt_on_lost(struct wt_calls *calls)
{
	calls->answers = 0;
}

bool wt_failure_counts(const struct wt *wt, const struct wt_failure *failure)
{
	int64_t since_us = failure->began_us - (failure->refused ? WT_EVIDENCE_US : 0);

	if (failure->answered_us > failure->began_us)
		return true;
	return wt_is_active(wt) && failure->data_us > since_us;
}

bool wt_must_tell(struct wt_told *told, enum wt_news news, int hosts, int64_t now_us)
{
	bool apart = news == WT_HINT && hosts >= WT_HOSTS_MIN;
	int64_t *last_us = apart ? &told->hint_us : &told->fault_us;

	if (*last_us > 0 && now_us - *last_us < WT_TELL_INTERVAL_US)
		return false;
	*last_us = now_us;
	return true;
}
