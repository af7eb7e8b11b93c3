#ifndef ROUTER_TF_REST_H
#define ROUTER_TF_REST_H

#include "router/tf.h"

G_BEGIN_DECLS

/* Endpoints that want nothing of this host for a while, in the traffic thread; see ep/rest.h. */

/* The endpoint asked for rest. */
void tf_rest_asked(struct tf *tf, struct tf_ep *ep, int64_t for_us, const char *request);

/* It asked another host: this one had better go elsewhere, but need not. */
void tf_rest_hint(struct tf *tf, struct tf_ep *ep, int64_t for_us);

/* It took a request. */
void tf_rest_taken(struct tf_ep *ep);

/* Whether a report or a check may be asked of it now; counts it. */
bool tf_rest_may_call(struct tf_ep *ep);

/* A request is refused since all that could serve it want rest so long. When to come back. */
int64_t tf_rest_back_us(struct tf *tf, const char *service, const char *request, int64_t left_us);

/* Lines for rests that are over, and gauges. */
void tf_rest_on_sweep(struct tf *tf);

G_END_DECLS

#endif
