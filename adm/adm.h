#ifndef ADM_ADM_H
#define ADM_ADM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Admission of requests to engines that fall behind. Pure.
 *
 * After a loss, the requests of that moment wait at the engines that are left. Where these can just
 * keep up with what comes, that queue stays for good: each request gets its first token more than a
 * second late, callers leave, and the work for them is lost. So a request is refused at once if its
 * caller would leave before it begins. Once requests have begun late for seconds, one that would
 * begin late is refused, too: that makes the queue go away. How long it would wait is told by this
 * host's own requests: those that wait for their first token, over those that get it in a second.
 */
struct adm {
	double begun;	    /* requests that got their first token lately, fading */
	int64_t at_us;	    /* when that was last brought up to date */
	int64_t good_us;    /* when one last began in time */
	bool strict;	    /* a queue has stayed; those that would begin late are refused */
	int64_t refused_us; /* when one last was */
};

/* How long a request may wait for its first token. */
struct adm_limits {
	int64_t target_us;   /* to be in time */
	int64_t patience_us; /* then its caller leaves */
};

/* This host's requests that wait for their first token. */
struct adm_queue {
	int waiting;
	int64_t oldest_us; /* for how long the first of them has waited */
};

void adm_init(struct adm *adm, int64_t now_us);

/* A request got its first token after that time. */
void adm_on_begun(struct adm *adm, const struct adm_limits *limits, int64_t waited_us,
		  int64_t now_us);

/*
 * Whether the request may go on to an engine. Requests of accounts that use more than their part
 * stand back first: less_urgent is 0 for a usual one, up to 1.
 */
bool adm_admits(struct adm *adm, const struct adm_queue *queue, const struct adm_limits *limits,
		double less_urgent, int64_t now_us);

/* When the caller of a refused one should come back; chance, 0 to 1, spreads them. */
int64_t adm_back_us(double chance);

G_END_DECLS

#endif
