#ifndef SHARE_SHARE_H
#define SHARE_SHARE_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Fair sharing of engines between client accounts. It tracks the recent token usage of each account
 * and derives the urgency of its next request; engines that are full admit requests by urgency. An
 * account that uses at most an equal share of the total usage keeps its urgency; an account that
 * uses several times an equal share gets a lower one, so that a flood of requests delays only the
 * account that sends it. No request is refused, and urgency has no effect while engines have free
 * capacity. This module does no I/O.
 */

/* Urgency of a request; a lower number is more urgent. */
enum {
	SH_URGENCY_HIGHEST = 0,
	/* Urgency of a request that states none. */
	SH_URGENCY_DEFAULT = 5,
	SH_URGENCY_LOWEST = 9
};

struct sh_account {
	/* Tokens used up to used_us, with exponential decay. */
	double used;
	/* Time to which the decay is applied, in microseconds. */
	int64_t used_us;
};

struct sh {
	/* Maps the name of an account to its struct sh_account. */
	GHashTable *accounts;
};

/*
 * Priority of a request. The streaming routes of a service form classes if their priorities differ:
 * then the class goes before the priority of the account, since the operator orders the kinds of
 * work by it, and an account sends several kinds. Otherwise an account's priority takes the place
 * of its route's.
 */
struct sh_priority {
	/* Priority of the account, or of the route if the account has none; 0 is the highest. */
	int64_t priority;
	/* Rank of the request's class among those of its service; 0 is the most urgent. */
	int class_rank;
	/* Number of classes; 1 or less: there are none. */
	int class_count;
};

void sh_init(struct sh *sh);
void sh_finish(struct sh *sh);

/*
 * Charges the tokens of a request to the account. Returns the urgency of the request. A lower class
 * is never more urgent than a higher one; within a class, priority and usage of the account decide.
 */
int sh_charge(struct sh *sh, const char *account, double tokens, const struct sh_priority *priority,
	      int64_t now_us);

/* Returns the token usage of the account with the decay applied up to now_us. */
double sh_tokens_used(const struct sh_account *account, int64_t now_us);

G_END_DECLS

#endif
