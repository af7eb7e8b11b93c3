#include "router/rq_int.h"
#include "base/jl.h"
#include "base/rnd.h"

#include <string.h>

enum {
	RQ_DEADLINE_DEFAULT_MS = 60000, /* deadline of a request that states none */
	/*
	 * Silence after which callers close a stream: the longest of 2 s, 4 times the target for
	 * the first event and 8 times the gap that the route allows between events.
	 */
	RQ_PATIENCE_MS = 2000,
	RQ_PATIENCE_TARGETS = 4,
	RQ_PATIENCE_GAPS = 8,
	/* Longest wait for room under endpoints' rate limits; permits arrive within some ms. */
	RQ_LIMIT_WAIT_US = 1000000,
	RQ_RETRY_US = 400000, /* Retry-After where no endpoint is usable at present */
	/*
	 * Retry-After of a host that received no configuration while the request waited: outages
	 * of the store last seconds, and a caller retries only once.
	 */
	RQ_RETRY_UNCONFIGURED_US = 2000000,
	/*
	 * A host that is stopping accepts requests for this long; a stream that began later would
	 * not end within the grace time. Callers with open connections go on sending requests,
	 * so their Retry-After sends them to another host almost at once.
	 */
	RQ_STOP_ACCEPT_US = 3000000,
	RQ_STOP_RETRY_US = 50000,
	STATUS_UNAUTHORIZED = 401,
	STATUS_NOT_FOUND = 404,
	STATUS_UNAVAILABLE = 503
};

void rq_fill_rules(struct rq *rq, struct fwd_rules *rules)
{
	const struct rt_route *route = rq->route;
	int64_t deadline_ms = rq->request.deadline_ms;

	if (deadline_ms < 0)
		deadline_ms = RQ_DEADLINE_DEFAULT_MS;
	if (route->timeout_ms > 0)
		deadline_ms = MIN(deadline_ms, route->timeout_ms);
	memset(rules, 0, sizeof(*rules));
	rules->may_repeat = rt_may_repeat(route);
	rules->streaming = route->type == RT_STREAMING;
	rules->runs_max = (int)route->attempts;
	rules->deadline_us = rq->began_us + tmr_ms(deadline_ms);
	rules->first_us = MAX(RQ_FIRST_MIN_MS, route->target_latency_ms / 2) * TMR_US_PER_MS;
	rules->gap_us = MAX(RQ_GAP_MIN_MS, route->target_gap_ms * 6 / 10) * TMR_US_PER_MS;
	rules->limit_us =
		rq->began_us + MIN(bk_wait_max_us(deadline_ms), (int64_t)RQ_LIMIT_WAIT_US);
	rules->list_wait_until_us =
		MIN(rq->tf->view->whole_us, rq->began_us + bk_wait_max_us(deadline_ms));
}

static bool rq_is_past_stop_window(const struct rq *rq)
{
	const struct router *router = rq->tf->router;

	return g_atomic_int_get(&router->stopping) &&
	       rq->began_us - router->stop_us > RQ_STOP_ACCEPT_US;
}

bool rq_admit(struct rq *rq)
{
	const struct router_view *view = rq->tf->view;

	if (rq_is_past_stop_window(rq)) {
		rq_deny(rq, STATUS_UNAVAILABLE, "stopping", RQ_STOP_RETRY_US);
		return false;
	}
	if (!tf_has_view(rq->tf)) {
		rq_deny(rq, STATUS_UNAVAILABLE, "no_configuration", RQ_RETRY_UNCONFIGURED_US);
		return false;
	}
	rq->conf = rt_conf_ref(view->conf);
	rq->route = rt_match_route(rq->conf, rq->request.host, hd_target(rq->call));
	if (!rq->route) {
		rq_deny(rq, STATUS_NOT_FOUND, "no_route", 0);
		return false;
	}
	rq->account = rt_find_account(rq->conf, rq->request.key);
	if (!rq->account && !rq->route->public_access && rq->conf->accounts->len > 0) {
		rq_deny(rq, STATUS_UNAUTHORIZED, "unknown_key", 0);
		return false;
	}
	rq->service = rt_select_service(rq->conf, rq->route, rq->request.id ? rq->request.id : "");
	if (!rq->service) {
		rq_deny(rq, STATUS_UNAVAILABLE, "no_service", RQ_RETRY_US);
		return false;
	}
	return true;
}

int64_t rq_first_token_wait_us(const struct rq *rq, const char *service, int64_t now_us)
{
	if (!rq->attempt || rq->fwd.begun || strcmp(rq->service->name, service) != 0)
		return -1;
	return now_us - rq->sent_us;
}

/* Counts this host's requests to the service that wait for their first token. */
static void rq_count_waiting(const struct tf *tf, const char *service, struct adm_queue *queue)
{
	int64_t now_us = tmr_now();

	memset(queue, 0, sizeof(*queue));
	for (guint i = 0; i < tf->reqs->len; i++) {
		int64_t waits_us = rq_first_token_wait_us(tf->reqs->pdata[i], service, now_us);

		if (waits_us < 0)
			continue;
		queue->waiting++;
		queue->oldest_us = MAX(queue->oldest_us, waits_us);
	}
}

void rq_fill_limits(const struct rq *rq, struct adm_limits *limits)
{
	const struct rt_route *route = rq->route;

	limits->target_us = tmr_ms(route->target_latency_ms);
	limits->patience_us =
		tmr_ms(MAX(RQ_PATIENCE_MS, MAX(RQ_PATIENCE_TARGETS * route->target_latency_ms,
					       RQ_PATIENCE_GAPS * route->target_gap_ms)));
}

static void rq_log_overload(const struct rq *rq, const struct adm_queue *queue)
{
	const struct adm *adm = tf_admission(rq->tf, rq->service->name);

	jl_begin(JL_KEEP, "overload");
	jl_str("id", rq->request.id);
	jl_str("service", rq->service->name);
	jl_int("waiting", queue->waiting);
	jl_int("oldest_ms", queue->oldest_us / TMR_US_PER_MS);
	jl_real("begun", adm->begun);
	jl_int("strict", adm->strict);
	jl_int("urgency", rq->urgency);
	jl_end();
}

bool rq_admit_by_load(struct rq *rq)
{
	struct adm *adm = tf_admission(rq->tf, rq->service->name);
	double less_urgent = (double)(rq->urgency - SH_URGENCY_DEFAULT) /
			     (SH_URGENCY_LOWEST - SH_URGENCY_DEFAULT);
	struct adm_limits limits;
	struct adm_queue queue;

	if (!rt_is_layered(rq->service) || rq->route->target_latency_ms <= 0)
		return true;
	rq_fill_limits(rq, &limits);
	rq_count_waiting(rq->tf, rq->service->name, &queue);
	if (adm_admits(adm, &queue, &limits, CLAMP(less_urgent, 0, 1), tmr_now()))
		return true;
	rq_log_overload(rq, &queue);
	rq_deny(rq, STATUS_UNAVAILABLE, "overload", adm_retry_delay_us(rnd_unit(&rq->tf->seed)));
	return false;
}

void rq_charge_share(struct rq *rq)
{
	int64_t priority = rq->route->priority;

	rq->urgency = -1;
	if (!rt_is_layered(rq->service) || !rq->account)
		return;
	if (rq->account->priority != RT_NO_PRIORITY)
		priority = rq->account->priority;
	rq->urgency = sh_charge(&rq->tf->share, rq->account->name,
				rq->request.prompt + rq->request.answer, priority, rq->began_us);
}
