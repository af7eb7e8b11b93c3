#ifndef ROUTER_TRAFFIC_BODY_H
#define ROUTER_TRAFFIC_BODY_H

#include "router/traffic.h"

G_BEGIN_DECLS

/*
 * The bound on request bodies in the HTTP server for callers: router/bodies.h decides, this
 * refuses, logs and counts.
 */

struct traf_body;

/* Allocates the state. total_max: the bound by the settings; body_max: the largest body; bytes. */
struct traf_body *traf_body_new(uint64_t total_max, uint64_t body_max, uint32_t seed);

/* Puts a limit of one body in force; the bound is raised if it leaves no room for such a body. */
void traf_body_set_max(struct traf_body *body, uint64_t body_max);

/* Returns the bound in force, in bytes. */
uint64_t traf_body_total_max(struct traf_body *body);

/* Records that a request with a body has been received whole. */
void traf_body_on_received(struct traf_body *body, int64_t now_us);

/* Sets the gauge of the bytes that are held and logs refusals. */
void traf_body_on_sweep(const struct traf *traf, int64_t now_us);

G_END_DECLS

#endif
