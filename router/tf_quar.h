#ifndef ROUTER_TF_QUAR_H
#define ROUTER_TF_QUAR_H

#include "quar/quar.h"
#include "router/crash.h"

/* The quarantine in the traffic thread: who is refused here, and what this host finds out. */
struct tf;
struct tf_ep;

/* The endpoint ended with these attempts (struct crash_cut) under way. */
void tf_quar_crashed(struct tf *tf, const struct tf_ep *ep, const GArray *cuts);

/* The endpoint lives after all: what was counted at it is taken back, on all hosts. */
void tf_quar_lives(struct tf *tf, const struct tf_ep *ep);

/* An attempt of the request has brought a part, after so long. */
void tf_quar_on_part(struct tf *tf, const struct quar_id *id, int64_t lasted_us);

/* The request was served whole, so it is no cause of crashes. */
void tf_quar_served(struct tf *tf, const struct quar_id *id);

/* Drops what is outdated, now and then. */
void tf_quar_on_sweep(struct tf *tf, int64_t now_us);

/* Points against a request for an attempt that was cut so. */
int tf_quar_weight(enum crash_progress progress);

#endif
