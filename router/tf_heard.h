#ifndef ROUTER_TF_HEARD_H
#define ROUTER_TF_HEARD_H

#include "router/tf.h"

G_BEGIN_DECLS

/*
 * What the heads of endpoints' answers say of the endpoints themselves, in the traffic thread. All
 * that is known of it is read in one place, by the wire of the deployment, and handed out in one
 * place, here. What nobody knows gets a line in the log, once a header, so that an endpoint that
 * begins to say something new does not go unnoticed.
 */

/* The head of an answer to a request that was sent at sent_us, by tmr_boot_now(). */
void tf_heard(struct tf *tf, struct tf_ep *ep, const struct seam_answer *answer, int64_t sent_us,
	      const char *request);

/* The head of an answer to a report or an order of the traffic thread's. */
void tf_heard_call(struct tf *tf, struct tf_ep *ep, int status, const GPtrArray *headers);

/* The same of the control thread's. Any thread. */
void tf_heard_post(struct tf *tf, const char *endpoint, const struct seam_answer *answer);

G_END_DECLS

#endif
