#ifndef ROUTER_POLL_MISS_H
#define ROUTER_POLL_MISS_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * Counts the rounds in which engines did not answer the host that polls them. No I/O.
 *
 * A round in which most engines are silent says nothing about them: this host itself is slow or cut
 * off. Without that, engines were told to all hosts as dead at the end of a cut of this host, when
 * the round that spanned the end was answered by half of them and the others had missed the rounds
 * of the cut, too.
 */
enum {
	/*
	 * Number of successive polls without an answer after which all hosts consider an engine
	 * dead. Dead engines stay listed while the store is unreachable: in an outage of 11 s, two
	 * of them rejected 800 requests. A single answer may be missing because of a full queue.
	 */
	MISS_DEAD = 2
};

struct miss {
	GHashTable *misses; /* incarnation -> number of successive polls without an answer */
	GPtrArray *silent;  /* incarnations that did not answer in the present round */
	guint answered;	    /* number of engines that answered in the present round */
};

void miss_init(struct miss *miss);
void miss_finish(struct miss *miss);

/* Begins a round. */
void miss_begin(struct miss *miss);

/* Records that an engine answered, or didn't, in the present round. */
void miss_on_answer(struct miss *miss, const char *engine);
void miss_on_silence(struct miss *miss, const char *engine);

/* Callback of miss_end() for an engine that was silent in the round. */
typedef void (*miss_fn)(void *ctx, const char *engine, bool is_dead);

/*
 * Ends a round. Calls fn for each silent engine, unless most were silent; then all counts begin
 * anew.
 */
void miss_end(struct miss *miss, miss_fn fn, void *ctx);

/* Forgets engines that are not in the set of listed incarnations. */
void miss_forget_unlisted(struct miss *miss, GHashTable *listed);

/* Returns the number of engines whose last poll was not answered. */
guint miss_count_silent(const struct miss *miss);

G_END_DECLS

#endif
