#ifndef ROUTER_PICK_INT_H
#define ROUTER_PICK_INT_H

#include "router/tf.h"

/*
 * Choice of endpoints for one attempt: pick.c has pipelines and their repairs, pick_plain.c plain
 * services, pick_opens.c when rests leave somebody. Part of the traffic thread.
 */

/* What a search for stages works on. */
struct pick {
	struct pa_node *nodes;
	struct tf_ep **eps;
	int n;
	int resting; /* endpoints that are left out, since they want nothing now */
	struct pa_ask ask;
	struct pa_path path;
};

/*
 * Endpoints of the service that may be used at that time, without those to be avoided. One that
 * wants nothing of this host is no stage either: a pipeline would bring it this host's requests.
 */
void pick_init(struct pick *pick, struct tf *tf, const struct rt_service *service,
	       const struct seam_request *request, const struct tf_target *avoid, int64_t at_us);
void pick_finish(struct pick *pick);

/* The best pipeline of them; 0 or FWD_ENOENDPOINT. */
int pick_search(struct pick *pick, struct tf *tf, const struct rt_service *service);

/* Whether the endpoint is listed, of the service and not leaving. */
bool pick_usable(const struct tf_ep *ep, const struct rt_service *service);
enum pa_trust pick_trust(const struct tf_ep *ep, int64_t now_us);
bool pick_avoided(const struct tf_target *avoid, const struct tf_ep *ep);
void pick_add_stage(struct tf_target *target, struct tf_ep *ep, int from, int to);

/* pick_plain.c: 0 or a negative FWD_E. */
int pick_plain(struct tf *tf, const struct tf_ask *ask, struct tf_target *target);

#endif
