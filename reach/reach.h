#ifndef REACH_REACH_H
#define REACH_REACH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Which endpoints answer this host. A call that fails may be the endpoint's fault, or this host may
 * have lost its connections to the endpoint, to some or to all of them. One failure can't tell;
 * together with the calls that were answered meanwhile they can. The module does no I/O. Endpoints
 * are named by their addresses, since it is an address that is reached.
 */

/* The state of an endpoint that did not answer a call. */
struct reach_point {
	int64_t began_us;  /* time at which the latest failed call began, in us */
	int64_t failed_us; /* time at which that call had failed, in us */
};

/* What one thread of a host knows. */
struct reach {
	GHashTable *points;  /* address -> struct reach_point; endpoints that answer have none */
	int64_t answered_us; /* time at which the latest answered call began, in us */
	int64_t first_failed_us; /* time at which the first failed call since then began, in us */
};

void reach_init(struct reach *reach);
void reach_finish(struct reach *reach);

/* A call to the endpoint that began at began_us was answered. */
void reach_on_answer(struct reach *reach, const char *addr, int64_t began_us);

/* A call to the endpoint that began at began_us had no answer. */
void reach_on_failure(struct reach *reach, const char *addr, int64_t began_us, int64_t now_us);

/* Forgets the endpoints whose last failed call ended some seconds ago. */
void reach_expire(struct reach *reach, int64_t now_us);

/*
 * Returns whether several endpoints in a row did not answer, and no call that began since the first
 * of these calls was answered: the connections of this host are more likely to be at fault than all
 * these endpoints.
 */
bool reach_is_alone(const struct reach *reach);

G_END_DECLS

#endif
