#ifndef ROUTER_NOTICE_H
#define ROUTER_NOTICE_H

#include "base/frm.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Notices that endpoints give in the headers of their responses, as the control thread handles
 * them. A notice either requests a back-off, which is a time in which the host must send nothing to
 * the endpoint, or announces that the endpoint is leaving. The traffic thread applies notices to
 * requests; there, a back-off is called a rest period (ep/rest.h). The control thread sends no
 * calls of its own to an endpoint in back-off, marks a leaving endpoint as draining, and forwards
 * notices to the other hosts.
 *
 * A back-off binds only the host that received it. Other hosts get a short hint, because otherwise
 * each of them would detect the overload only by a rejected request of its own.
 */
struct ctrl;

/* Reads the response headers of a report or an order that the control thread requested. */
void notice_read_headers(struct ctrl *ctrl, const char *endpoint, int status,
			 const GPtrArray *headers);

/*
 * Reports a back-off of an endpoint from the traffic thread. No calls may be sent before until_us.
 * is_new is false if this only extends a back-off that is still in force.
 */
void notice_post_backoff(struct ctrl *ctrl, const char *endpoint, int64_t until_us, bool is_new);

/* Reports from the traffic thread that an endpoint has announced that it is leaving. */
void notice_post_leaving(struct ctrl *ctrl, const char *endpoint);

/*
 * Returns whether the rate limit for hints allows one more to be forwarded, and counts that one.
 */
bool notice_allow_hint(struct ctrl *ctrl, int64_t now_us);

/* Returns whether the endpoint is in a back-off that it requested from this host. */
bool notice_in_backoff(const struct ctrl *ctrl, const char *endpoint, int64_t now_us);

/*
 * Marks an endpoint as leaving and forwards that. hops is the number of hosts that have forwarded
 * the notice so far; source is the connection that it came from, or NULL for this host's own.
 */
void notice_apply_leaving(struct ctrl *ctrl, const char *endpoint, int hops, const void *source);

/* Sends all endpoints known to be leaving to a host that has just connected. */
void notice_send_leaving(const struct ctrl *ctrl, struct frm_conn *conn);

G_END_DECLS

#endif
