#ifndef ROUTER_TF_LIMIT_H
#define ROUTER_TF_LIMIT_H

#include "router/tf.h"

G_BEGIN_DECLS

/* Limits that endpoints name, in the traffic thread: what holds for the next request. */

/* The head of an answer to a request that was sent at sent_us, by tmr_boot_now(). */
void tf_limit_on_answer(struct tf *tf, struct tf_ep *ep, const struct seam_answer *answer,
			int64_t sent_us, const char *request);

/* Whether a request of the account may be sent to the endpoint now. */
bool tf_limit_is_open(struct tf *tf, struct tf_ep *ep, const char *account);

/* A request would have gone to the endpoint, had the limit left room. */
void tf_limit_lacked(struct tf *tf, struct tf_ep *ep);

/* A request is sent to the endpoint. */
void tf_limit_took(struct tf *tf, struct tf_ep *ep, const char *account);

/*
 * A request of the account found only endpoints that take no more. Returns whether it may wait for
 * a permit: no more wait than the limits will let through meanwhile.
 */
bool tf_limit_waits(struct tf *tf, const char *service, const char *account);

/* When the caller of a request that is refused for limits should come back, at most so much later.
 */
int64_t tf_limit_back_us(struct tf *tf, const char *service, const char *request, int64_t most_us);

/* Tells the control thread what it does not know yet. */
void tf_limit_on_sweep(struct tf *tf);

G_END_DECLS

#endif
