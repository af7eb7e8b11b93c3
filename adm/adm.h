#ifndef ADM_ADM_H
#define ADM_ADM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Admission control for requests to engines that are overloaded. This module does no I/O.
 *
 * After the loss of an engine, requests queue up at the remaining ones. If these have just enough
 * capacity for the arriving requests, the queue never shrinks: each first token is more than a
 * second late, callers disconnect, and the work for them is wasted. So a request is refused
 * immediately if its caller would disconnect before it begins. Once requests have begun late for
 * some seconds, requests that would begin late are refused as well, which drains the queue. The
 * expected wait is estimated from this host's own requests: the number that wait for their first
 * token, divided by the number that receive it per second.
 */
struct adm {
	/* Number of recent requests that received their first token, with exponential decay. */
	double begun;
	/* Time to which the decay is applied, in microseconds. */
	int64_t decayed_us;
	/* Time of the last first token that was timely (see target_us), in microseconds. */
	int64_t last_timely_us;
	/* Whether requests that would begin late are refused, because a queue has persisted. */
	bool strict;
	/* Time of the last refusal, or of the start of strict mode, in microseconds. */
	int64_t last_refused_us;
};

enum {
	/* Number of classes that are told apart; less urgent ones count as the last of them. */
	ADM_CLASSES_MAX = 10
};

/*
 * Admission to one service, class by class. Engines begin more urgent classes first, so requests of
 * a class wait for those of its own and of more urgent ones only. Each class therefore decides by
 * the requests at least as urgent as its own: when engines are overloaded, the least urgent class
 * is refused first, and a more urgent one only if the engines can't serve that alone. A service
 * without classes uses the first one for all its requests.
 */
struct adm_service {
	/* Admission of each class; index: rank of the class, the most urgent first. */
	struct adm classes[ADM_CLASSES_MAX];
};

/* Limits for the time until a request receives its first token, in microseconds. */
struct adm_limits {
	/* Time up to which the first token counts as timely. */
	int64_t target_us;
	/* Time after which the caller disconnects. */
	int64_t patience_us;
};

/* Requests of this host, at least as urgent as the new one, that wait for their first token. */
struct adm_queue {
	/* Number of these requests. */
	int waiting;
	/* Time for which the oldest of them has waited, in microseconds. */
	int64_t oldest_us;
};

void adm_init(struct adm *adm, int64_t now_us);

void adm_service_init(struct adm_service *service, int64_t now_us);

/* Returns the admission of the class with that rank. */
struct adm *adm_of_class(struct adm_service *service, int rank);

/* As adm_on_first_token(), for a request of the class with that rank. */
void adm_service_on_first_token(struct adm_service *service, int rank,
				const struct adm_limits *limits, int64_t waited_us, int64_t now_us);

/* A request received its first token after it had waited for waited_us. */
void adm_on_first_token(struct adm *adm, const struct adm_limits *limits, int64_t waited_us,
			int64_t now_us);

/*
 * Returns whether the request may be sent to an engine. less_urgent ranges from 0 for a request of
 * normal urgency to 1 for the least urgent one; requests of accounts that exceed their fair share
 * are less urgent and are refused first.
 */
bool adm_admits(struct adm *adm, const struct adm_queue *queue, const struct adm_limits *limits,
		double less_urgent, int64_t now_us);

/* Returns the number of requests that lately began per second. */
double adm_begin_rate(const struct adm *adm, int64_t now_us);

/*
 * Returns the delay in microseconds after which the caller of a refused request should retry.
 * chance is a random number from 0 to 1 that spreads the retries.
 */
int64_t adm_retry_delay_us(double chance);

G_END_DECLS

#endif
