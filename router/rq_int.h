#ifndef ROUTER_RQ_INT_H
#define ROUTER_RQ_INT_H

#include "router/tf.h"

/*
 * One request on this host: rq.c is its way from the caller to endpoints and back, rq_repair.c what
 * is done when a stage of its pipeline fails, slows down or leaves. What may be sent again is
 * decided in fwd/fwd.c.
 */
enum {
	RQ_LOGGED_MAX = 200 /* bytes of an endpoint's refusal that go into the log */
};

struct rq {
	struct tf *tf;
	struct hd_call *call;
	struct seam_request request;
	const struct rt_route *route;	  /* of conf */
	const struct rt_service *service; /* of conf */
	const struct rt_account *account; /* of conf */
	struct rt_conf *conf;
	struct fwd fwd;
	struct tmr timer;
	struct hc_call *attempt;
	struct hc_call *order;	   /* that replaces a stage of the running pipeline */
	struct tf_target target;   /* of the attempt under way */
	struct tf_target repair;   /* that the order asks for */
	int repairs;		   /* orders given for this request */
	int64_t order_us;	   /* when it was given */
	int64_t part_us;	   /* when the attempt was sent, or last brought something */
	int64_t gap_us;		   /* mean time between parts */
	struct tf_target avoid;	   /* those that failed this request; no references to requests */
	struct seam_answer answer; /* head of the attempt's answer */
	int urgency;		   /* for engines; -1: not stated */
	int64_t began_us;
	int64_t first_us; /* when the first part went to the caller */
	char *body;
	size_t body_len;
	int status;
};

/* The request is not sent to that endpoint again, nor through it. */
void rq_avoid(struct rq *rq, struct tf_ep *ep);

/* rq_repair.c: the attempt is silent; as fwd_ops.on_silent. */
bool rq_on_silent(void *ctx);

/* Ends an order that is under way. */
void rq_drop_order(struct rq *rq);

/* Takes the request off stages that leave. */
void rq_leave_stages(struct rq *rq, int64_t now_us);

#endif
