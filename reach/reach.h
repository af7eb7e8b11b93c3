#ifndef REACH_REACH_H
#define REACH_REACH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Which endpoints this host reaches. A call that fails may be the endpoint's fault, or this host
 * may have lost its connections to the endpoint, to some or to all of them. A single host can't
 * tell; another host that calls the same endpoint at the same moment can. So after a failed call to
 * an endpoint, this host opens a connection to it through another host, a tunnel, and what comes of
 * both is the verdict. The module does no I/O: results of calls and the time go in.
 *
 * An endpoint is named by its address, since it is an address that is reached. A direct call is one
 * over a connection of this host. Times are in us.
 *
 * Without other hosts that open tunnels (no host known, hosts of an older version), no endpoint is
 * ever found unreached here, and failed calls count against endpoints. If all hosts are cut off,
 * all endpoints are silent to all, see reach_is_isolated().
 */

/* What is known of an endpoint. */
enum reach_verdict {
	REACH_ANSWERS,	/* no direct call has failed since the last answer */
	REACH_UNCLEAR,	/* direct calls fail; no other host has tried */
	REACH_NOT_HERE, /* direct calls fail, calls through another host are answered */
	REACH_SILENT	/* direct calls fail, and other hosts don't reach it either */
};

/* How an endpoint is called. */
enum reach_way {
	REACH_DIRECT,
	REACH_TUNNEL
};

/* The state of an endpoint whose direct calls fail; others have none. */
struct reach_point {
	enum reach_verdict verdict;
	int64_t first_us;  /* time at which the first failed direct call since an answer began */
	int64_t began_us;  /* time at which the latest one began */
	int64_t failed_us; /* time at which that call had failed */
	int64_t silent_us; /* time at which calls through other hosts last failed; 0: never */
	int64_t probe_us;  /* time of the last probe; 0: none */
};

/* What one thread of a host knows. */
struct reach {
	GHashTable *points;  /* address -> struct reach_point */
	int known;	     /* number of endpoints that the host may call */
	int64_t answered_us; /* time at which the latest answered direct call began */
	int64_t heard_us;    /* the same of calls by either way */
	char *witness;	     /* address of the endpoint that answered that call; NULL: none */
	int64_t regained_us; /* time at which an endpoint last answered directly again */
	int64_t probe_us;    /* time of the last probe of any endpoint */
};

void reach_init(struct reach *reach);
void reach_finish(struct reach *reach);

/*
 * A call to the endpoint that began at began_us was answered. Returns whether the endpoint answers
 * directly again that was found not reached here.
 */
bool reach_on_answer(struct reach *reach, const char *addr, enum reach_way way, int64_t began_us,
		     int64_t now_us);

/* A direct call to the endpoint that began at began_us had no answer. */
void reach_on_failure(struct reach *reach, const char *addr, int64_t began_us, int64_t now_us);

/* Other hosts, asked for tunnels, did not reach the endpoint either. */
void reach_on_tunnel_failure(struct reach *reach, const char *addr, int64_t now_us);

enum reach_verdict reach_judge(const struct reach *reach, const char *addr);

/*
 * Returns how to call the endpoint. Once several endpoints in a row are not reached here, and no
 * direct call since was answered, the others are taken to be out of reach, too.
 */
enum reach_way reach_choose(const struct reach *reach, const char *addr);

/*
 * Returns whether another host should be asked for a tunnel after a failed direct call. Not if
 * others have just failed to reach the endpoint.
 */
bool reach_wants_tunnel(const struct reach *reach, const char *addr, int64_t now_us);

/* Returns whether no endpoint is taken to be reached directly. */
bool reach_is_cut(const struct reach *reach);

/*
 * Returns whether several endpoints in a row did not answer direct calls, and no direct call that
 * began since was answered: this host's own connections may be at fault.
 */
bool reach_is_doubtful(const struct reach *reach);

/*
 * Returns whether several endpoints in a row did not answer, and no call that began since was
 * answered by any way: more likely the connections are at fault than all these endpoints. Those
 * that had failed before the last answer, too, count only if the endpoint that gave it, the
 * witness, does not answer any more: they may have ended long ago.
 */
bool reach_is_alone(const struct reach *reach);

/*
 * Returns the address of the witness if it should be called to see whether this host is alone, or
 * NULL. Otherwise a host would never notice that all are cut off if it last heard an endpoint
 * through another host that was cut off a moment later, as all others had failed before that.
 */
const char *reach_witness_to_ask(const struct reach *reach);

/* Forgets the witness, which is no longer listed. */
void reach_drop_witness(struct reach *reach);

/*
 * Returns whether requests can't be served at present: as reach_is_alone(), with more endpoints,
 * and other hosts reached none of them either.
 */
bool reach_is_isolated(const struct reach *reach);

/* Returns the number of endpoints that are found not reached here. */
int reach_count_not_here(const struct reach *reach);

/*
 * Returns the endpoint that should be called directly now to see whether it answers again, or NULL.
 * There is one while endpoints are not reached here or the host is isolated. Probes follow each
 * other faster once an endpoint has answered again.
 */
const char *reach_next_probe(struct reach *reach, int64_t now_us);

/* Forgets failures that are some seconds old, except of endpoints that are not reached here. */
void reach_expire(struct reach *reach, int64_t now_us);

/* Forgets endpoints that are not among the listed ones (a set of addresses). */
void reach_keep_listed(struct reach *reach, GHashTable *listed);

G_END_DECLS

#endif
