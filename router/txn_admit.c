#include "router/txn_int.h"
#include "base/jl.h"
#include "base/met.h"
#include "base/rnd.h"

#include <stdio.h>
#include <string.h>

enum {
	/* deadline of a request that states none, in milliseconds */
	TXN_DEADLINE_DEFAULT_MS = 60000,
	/*
	 * Silence after which callers close a stream: the longest of TXN_PATIENCE_MS (2 s),
	 * TXN_PATIENCE_TARGETS (4) times the target for the first event and TXN_PATIENCE_GAPS (8)
	 * times the gap that the route allows between events.
	 */
	TXN_PATIENCE_MS = 2000,
	TXN_PATIENCE_TARGETS = 4,
	TXN_PATIENCE_GAPS = 8,
	/*
	 * Longest wait for room under endpoints' rate limits, in microseconds; permits arrive
	 * within some ms.
	 */
	TXN_LIMIT_WAIT_US = 1000000,
	TXN_RETRY_US = 400000,		 /* Retry-After in us if no endpoint is usable at present */
	TXN_RETRY_ISOLATED_US = 1000000, /* mean Retry-After in us if no host reaches endpoints */
	/*
	 * Retry-After in us of a host that received no configuration while the request waited:
	 * outages of the store last seconds, and a caller retries only once.
	 */
	TXN_RETRY_UNCONFIGURED_US = 2000000,
	/*
	 * Time in us for which a host that is stopping accepts requests; a stream that began later
	 * would not end within the grace time. Callers with open connections go on sending
	 * requests, so the Retry-After of TXN_STOP_RETRY_US sends them to another host almost at
	 * once.
	 */
	TXN_STOP_ACCEPT_US = 3000000,
	TXN_STOP_RETRY_US = 50000,
	STATUS_UNAUTHORIZED = 401,
	STATUS_NOT_FOUND = 404,
	STATUS_UNAVAILABLE = 503
};

void txn_fill_rules(struct txn *txn, struct fwd_rules *rules)
{
	const struct rt_route *route = txn->route;
	int64_t deadline_ms = txn->request.deadline_ms;

	if (deadline_ms < 0)
		deadline_ms = TXN_DEADLINE_DEFAULT_MS;
	if (route->timeout_ms > 0)
		deadline_ms = MIN(deadline_ms, route->timeout_ms);
	memset(rules, 0, sizeof(*rules));
	rules->may_repeat = rt_may_repeat(route);
	rules->streaming = route->type == RT_STREAMING;
	rules->resumes = txn->request.resume_after != NULL;
	rules->runs_max = (int)route->attempts;
	rules->deadline_us = txn->began_us + tmr_from_ms(deadline_ms);
	rules->first_us = MAX(TXN_FIRST_MIN_MS, route->target_latency_ms / 2) * TMR_US_PER_MS;
	rules->gap_us = MAX(TXN_GAP_MIN_MS, route->target_gap_ms * 6 / 10) * TMR_US_PER_MS;
	rules->limit_wait_until_us =
		txn->began_us + MIN(bk_wait_max_us(deadline_ms), (int64_t)TXN_LIMIT_WAIT_US);
	rules->list_wait_until_us =
		MIN(txn->traf->view->list_complete_us, txn->began_us + bk_wait_max_us(deadline_ms));
}

static bool txn_is_past_stop_window(const struct txn *txn)
{
	const struct router *router = txn->traf->router;

	return g_atomic_int_get(&router->stopping) &&
	       txn->began_us - router->stop_us > TXN_STOP_ACCEPT_US;
}

bool txn_admit(struct txn *txn)
{
	const struct router_view *view = txn->traf->view;

	if (txn_is_past_stop_window(txn)) {
		txn_deny(txn, STATUS_UNAVAILABLE, "stopping", TXN_STOP_RETRY_US);
		return false;
	}
	if (!traf_has_view(txn->traf)) {
		txn_deny(txn, STATUS_UNAVAILABLE, "no_configuration", TXN_RETRY_UNCONFIGURED_US);
		return false;
	}
	txn->conf = rt_conf_ref(view->conf);
	txn->route = rt_match_route(txn->conf, txn->request.host, hd_target(txn->call));
	if (!txn->route) {
		txn_deny(txn, STATUS_NOT_FOUND, "no_route", 0);
		return false;
	}
	txn->account = rt_find_account(txn->conf, txn->request.key);
	if (!txn->account && !txn->route->public_access && txn->conf->accounts->len > 0) {
		txn_deny(txn, STATUS_UNAUTHORIZED, "unknown_key", 0);
		return false;
	}
	txn->service =
		rt_select_service(txn->conf, txn->route, txn->request.id ? txn->request.id : "");
	if (!txn->service) {
		txn_deny(txn, STATUS_UNAVAILABLE, "no_service", TXN_RETRY_US);
		return false;
	}
	return true;
}

int64_t txn_first_token_wait_us(const struct txn *txn, const char *service, int64_t now_us)
{
	if (!txn->attempt || txn->fwd.begun || strcmp(txn->service->name, service) != 0)
		return -1;
	return now_us - txn->sent_us;
}

void txn_count_waiting(const struct traf *traf, const char *service, int first_rank, int last_rank,
		       struct adm_queue *queue)
{
	int64_t now_us = tmr_now();

	memset(queue, 0, sizeof(*queue));
	for (guint i = 0; i < traf->reqs->len; i++) {
		const struct txn *other = traf->reqs->pdata[i];
		int64_t waits_us = txn_first_token_wait_us(other, service, now_us);

		if (waits_us < 0 || other->class_rank < first_rank || other->class_rank > last_rank)
			continue;
		queue->waiting++;
		queue->oldest_us = MAX(queue->oldest_us, waits_us);
	}
}

void txn_fill_limits(const struct txn *txn, struct adm_limits *limits)
{
	const struct rt_route *route = txn->route;

	limits->target_us = tmr_from_ms(route->target_latency_ms);
	limits->patience_us = tmr_from_ms(
		MAX(TXN_PATIENCE_MS, MAX(TXN_PATIENCE_TARGETS * route->target_latency_ms,
					 TXN_PATIENCE_GAPS * route->target_gap_ms)));
}

static void txn_log_overload(const struct txn *txn, const struct adm_queue *queue)
{
	const struct adm *adm =
		adm_of_class(traf_admission(txn->traf, txn->service->name), txn->class_rank);

	jl_begin(JL_UNLIMITED, "overload");
	jl_str("id", txn->request.id);
	jl_str("service", txn->service->name);
	jl_int("waiting", queue->waiting);
	jl_int("oldest_ms", queue->oldest_us / TMR_US_PER_MS);
	jl_real("begun", adm->begun);
	jl_int("strict", adm->strict);
	jl_int("urgency", txn->urgency);
	jl_int("class", txn->class_rank);
	jl_end();
}

/* Counts a refusal by class; the number of classes, and so of counters, is bounded. */
static void txn_count_overload(const struct txn *txn)
{
	char labels[32];

	snprintf(labels, sizeof(labels), "class=\"%d\"", MIN(txn->class_rank, ADM_CLASSES_MAX - 1));
	met_add(met_counter("bg_overload_refused_total", labels), 1);
}

/*
 * The callers of all hosts that were cut off together must not come back together, so the times
 * that they are told spread.
 */
bool txn_admit_by_reach(struct txn *txn)
{
	struct traf *traf = txn->traf;

	if (!reach_is_isolated(way_reach(traf->way)))
		return true;
	met_add(met_counter("bg_isolated_refused_total", ""), 1);
	txn_deny(txn, STATUS_UNAVAILABLE, "not_reached",
		 (int64_t)((0.5 + rnd_uniform(&traf->seed)) * TXN_RETRY_ISOLATED_US));
	return false;
}

bool txn_admit_by_room(struct txn *txn)
{
	struct traf *traf = txn->traf;

	if (flow_has_room(&traf->flow, txn_unsent_total(txn)))
		return true;
	met_add(met_counter("bg_room_refused_total", ""), 1);
	txn_deny(txn, STATUS_UNAVAILABLE, "answers_unread",
		 adm_retry_delay_us(rnd_uniform(&traf->seed)));
	return false;
}

bool txn_admit_by_load(struct txn *txn)
{
	struct adm *adm =
		adm_of_class(traf_admission(txn->traf, txn->service->name), txn->class_rank);
	double less_urgent = (double)(txn->urgency - SH_URGENCY_DEFAULT) /
			     (SH_URGENCY_LOWEST - SH_URGENCY_DEFAULT);
	struct adm_limits limits;
	struct adm_queue queue;

	if (!rt_is_layered(txn->service) || txn->route->target_latency_ms <= 0)
		return true;
	txn_fill_limits(txn, &limits);
	txn_count_waiting(txn->traf, txn->service->name, 0, txn->class_rank, &queue);
	if (adm_admits(adm, &queue, &limits, CLAMP(less_urgent, 0, 1), tmr_now()))
		return true;
	txn_log_overload(txn, &queue);
	txn_count_overload(txn);
	txn_deny(txn, STATUS_UNAVAILABLE, "overload",
		 adm_retry_delay_us(rnd_uniform(&txn->traf->seed)));
	return false;
}

/* Fills in the priority of the request; the account's goes before the route's. */
static void txn_fill_priority(const struct txn *txn, struct sh_priority *priority)
{
	const struct rt_service *service = txn->service;

	priority->priority = txn->route->priority;
	if (txn->account && txn->account->priority != RT_NO_PRIORITY)
		priority->priority = txn->account->priority;
	priority->class_rank = rt_priority_rank(service, txn->route->priority);
	priority->class_count = (int)service->stream_priorities->len;
}

void txn_charge_share(struct txn *txn)
{
	struct sh_priority priority;

	txn->urgency = -1;
	if (!rt_is_layered(txn->service))
		return;
	txn_fill_priority(txn, &priority);
	txn->class_rank = priority.class_count > 1 ? priority.class_rank : 0;
	if (!txn->account && priority.class_count <= 1)
		return;
	txn->urgency =
		sh_charge(&txn->traf->share, txn_account_name(txn),
			  txn->request.prompt + txn->request.answer, &priority, txn->began_us);
}
