#ifndef ROUTER_ENDS_H
#define ROUTER_ENDS_H

#include "base/hd.h"

G_BEGIN_DECLS

/*
 * How callers' requests end, as the HTTP server sees it. A request that was read whole must end
 * with a whole answer, a refusal, an answer that is visibly broken off, or the caller leaving.
 */

/* What a caller got for a request. */
enum ends_kind {
	ENDS_WHOLE,	 /* a whole answer, a refusal or an error included */
	ENDS_BROKEN,	 /* an answer that this host broke off, visibly; also one of which the
			  * caller read nothing for the idle timeout */
	ENDS_CALLER,	 /* nothing more: the caller closed the connection */
	ENDS_UNANSWERED, /* a connection that ended without an answer, or with half of one, by no
			  * decision of this host; must not happen */
	ENDS_UNREAD,	 /* a refusal or nothing, before the whole request had been read */
	ENDS_COUNT
};

/* Returns the kind for a request; only those that were read whole are owed an answer. */
enum ends_kind ends_kind_of(const struct hd_outcome *outcome);

/*
 * Returns whether the caller took an answer for whole that has not the length which was passed to
 * the HTTP server; must not happen.
 */
bool ends_is_short(const struct hd_outcome *outcome);

/* Logs the end of a request if its caller got no whole answer, and counts it; see hd_end_fn. */
void ends_on_request(void *ctx, const char *label, const struct hd_outcome *outcome);

G_END_DECLS

#endif
