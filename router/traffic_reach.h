#ifndef ROUTER_TRAFFIC_REACH_H
#define ROUTER_TRAFFIC_REACH_H

/*
 * Which endpoints this host reaches, in the traffic thread: what follows for requests under way
 * when that changes, and the log lines and gauges.
 */
struct traf;

/* Creates the thread's ways to endpoints. */
void traf_reach_start(struct traf *traf);

/* A new view has been taken over. */
void traf_reach_on_view(struct traf *traf);

/* Looks after calls and updates the gauges. */
void traf_reach_on_sweep(struct traf *traf);

#endif
