#ifndef ROUTER_PICK_INT_H
#define ROUTER_PICK_INT_H

#include "router/traffic.h"

/*
 * Choice of endpoints for one attempt, in the traffic thread: pipelines and replacements of their
 * stages (pick.c), endpoints of plain services (pick_plain.c), and the time at which rest periods
 * leave enough endpoints for a request.
 */

/* State of a search for the stages of a pipeline. */
struct pick {
	struct pa_node *nodes; /* candidates, in the form that the path search requires */
	struct traf_ep **eps;  /* endpoint of each node, by the same index */
	int n;		       /* number of nodes */
	int resting;	       /* number of endpoints left out because of rest periods */
	struct pa_request ask; /* what the pipeline has to do */
	struct pa_path path;   /* the pipeline found */
};

/*
 * Starts a search among the endpoints of the service that are available at time at_us and not in
 * avoid. An endpoint in a rest period is left out at any stage of the pipeline, since a pipeline
 * through it would send it requests of this host.
 */
void pick_init(struct pick *pick, struct traf *traf, const struct rt_service *service,
	       const struct seam_request *request, const struct traf_target *avoid, int64_t at_us);
void pick_finish(struct pick *pick);

/* Finds the pipeline of least cost among the nodes. Returns 0 or FWD_ENOENDPOINT. */
int pick_search(struct pick *pick, struct traf *traf, const struct rt_service *service);

/* Returns whether the endpoint is listed as ready, belongs to the service and is not leaving. */
bool pick_is_usable(const struct traf_ep *ep, const struct rt_service *service);

/* Returns how far the endpoint is trusted: faulty if suspected, doubted or good. */
enum pa_trust pick_trust_level(const struct traf_ep *ep, int64_t now_us);

/* Returns whether the endpoint is in avoid, which may be NULL. */
bool pick_is_avoided(const struct traf_target *avoid, const struct traf_ep *ep);

/* Appends a stage for layers from..to-1 to the target. */
void pick_add_stage(struct traf_target *target, struct traf_ep *ep, int from, int to);

/* Chooses one endpoint of a plain service. Returns 0 or a negative FWD_E. */
int pick_plain(struct traf *traf, const struct traf_pick_args *args, struct traf_target *target);

#endif
