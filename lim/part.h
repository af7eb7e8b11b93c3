#ifndef LIM_PART_H
#define LIM_PART_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The limit of one endpoint as one host knows it, and the permits that the host has for it. The
 * limit is one number over all hosts, so no host sends there without a permit; home.h says who
 * gives them. Pure. Times go on while the host is suspended.
 */
struct lim_news {
	bool named;
	double rate;	 /* requests a second; of a limit that is lifted the last one */
	int64_t said_us; /* when the endpoint said so */
};

struct lim_part {
	struct lim_news news;
	int permits;
	int64_t oldest_us; /* when the oldest of them came */
	int64_t until_us;  /* after which they are void */
	int wanted;	   /* requests that would go there, not yet told */
	int returned;	   /* permits that became void unused, not yet told */
};

/* Takes what the endpoint said. Returns whether it is newer and another thing than was known. */
bool lim_part_hear(struct lim_part *part, const struct lim_news *news);

/*
 * Whether a request needs a permit. Also for a while after the limit was lifted: all hosts would
 * find the endpoint idle, and send to it at once.
 */
bool lim_part_binds(const struct lim_part *part, int64_t now_us);

/* Whether a request may be sent to the endpoint now. */
bool lim_part_is_open(struct lim_part *part, int64_t now_us);

/* A request is sent there. */
void lim_part_take(struct lim_part *part, int64_t now_us);

/* So many permits came, in answer to an ask that was sent at asked_us. */
void lim_part_grant(struct lim_part *part, int permits, int64_t asked_us, int64_t now_us);

/* The requests a second that the news allow now; 0 or less is never returned. */
double lim_rate(const struct lim_news *news, int64_t now_us);

/* Whether the news bind anybody. */
bool lim_binds(const struct lim_news *news, int64_t now_us);

G_END_DECLS

#endif
