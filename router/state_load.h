#ifndef ROUTER_STATE_LOAD_H
#define ROUTER_STATE_LOAD_H

#include "router/traffic.h"

#include <jansson.h>

/*
 * Parts of a host's state that show operators where its load goes: how full the endpoints of each
 * range of layers are, and which classes of requests wait or are refused. Called in the traffic
 * thread; the caller owns the returned arrays.
 */

/* Lists the ranges of layers that endpoints hold, one element for each range of a service. */
json_t *state_ranges(const struct traf *traf, int64_t now_us);

/* Lists the classes of each service, with this host's requests that wait for their first token. */
json_t *state_classes(const struct traf *traf, int64_t now_us);

#endif
