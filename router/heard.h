#ifndef ROUTER_HEARD_H
#define ROUTER_HEARD_H

#include "base/frm.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * What endpoints say of themselves in the heads of their answers, in the control thread. The
 * traffic thread acts on it (tf_heard.h); this one keeps away from endpoints that want rest, counts
 * those that say they leave as leaving, and tells the other hosts. These are not bound by a rest
 * that one host was asked for; they take it as a hint, without which each would find out by a
 * rejection of its own.
 */
struct rc;

/* The head of an answer to a call of the control thread's own, for a report or an order. */
void heard_head(struct rc *rc, const char *endpoint, int status, const GPtrArray *headers);

/*
 * From the traffic thread: the endpoint wants nothing until then, which is a rest of its own or
 * only a longer one; it says that it leaves.
 */
void heard_post_rest(struct rc *rc, const char *endpoint, int64_t until_us, bool is_new);
void heard_post_leaving(struct rc *rc, const char *endpoint);

/* Whether one more hint may be handed on: hosts must not be busy with hints. Counts it. */
bool heard_may_hint(struct rc *rc, int64_t now_us);

/* Whether the endpoint wants nothing of this host now. */
bool heard_rests(const struct rc *rc, const char *endpoint, int64_t now_us);

/* Some host has heard that the endpoint leaves; hops: hosts that passed it on. */
void heard_take_leaving(struct rc *rc, const char *endpoint, int hops, const void *source);

/* Tells a host that has just connected who is leaving. */
void heard_send_all(const struct rc *rc, struct frm_conn *conn);

G_END_DECLS

#endif
