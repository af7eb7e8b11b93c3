#ifndef ROUTER_WAY_H
#define ROUTER_WAY_H

#include "base/hc.h"
#include "reach/gateways.h"
#include "reach/reach.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * Calls to endpoints, by whatever way leads there: over a connection of this host, or through a
 * tunnel of another host where this one does not reach the endpoint. Every call of a thread to an
 * endpoint goes through here, so its results are what reach/ judges by, and a failure that is
 * passed to the caller of this module was seen by two hosts wherever there are two. A call that
 * needs no tunnel costs nothing but the note of its result.
 *
 * Each thread that calls endpoints has an instance, and all functions must be called in that
 * thread.
 */
struct way;
struct way_call;

/* Is given the address of an endpoint; returns false to get no more. */
typedef bool (*way_addr_fn)(void *ctx, const char *addr);

/* What the owner is told, and asked. on_lost and on_gateway_lost may be NULL. */
struct way_ops {
	/*
	 * The endpoint at that address is not reached here any more, though others reach it. hangs:
	 * connections are not refused but nothing arrives, so open ones are lost, too.
	 */
	void (*on_lost)(void *ctx, const char *addr, bool hangs);

	/* Tunnels through the host of that name don't work any more. */
	void (*on_gateway_lost)(void *ctx, const char *gateway);

	/*
	 * Returns the path of a request that shows whether the endpoint at that address answers and
	 * that runs nothing there; NULL: the endpoint must not be called now. Free with g_free().
	 */
	char *(*probe_path)(void *ctx, const char *addr);

	/* Calls fn(fn_ctx, addr) for the address of each listed endpoint until it returns false. */
	void (*each_endpoint)(void *ctx, way_addr_fn fn, void *fn_ctx);
};

/* A call. The texts and the body may be freed once it has been started. */
struct way_request {
	struct hc_request http; /* url must name addr */
	const char *addr;	/* address of the endpoint */
	const char *id; /* id of the caller's request, for the log of a gateway; may be NULL */
	const char
		*gateway; /* name of the host through which to call, if that is possible; or NULL */
	bool harmless;	  /* may arrive twice: a report; nothing is run by it */
	bool one_way;	  /* must fail soon rather than be tried by a second way */
	bool quick; /* usually answered within 0.1 s; without an answer the endpoint is probed */
};

/* Creates an instance. self is the name, zone the availability zone of this host. */
struct way *way_new(struct loop *loop, struct hc *hc, const char *self, const char *zone,
		    const struct way_ops *ops, void *ctx);
void way_free(struct way *way);

/* Takes over the hosts that may open tunnels (struct gws_host). */
void way_set_gateways(struct way *way, const GPtrArray *gateways);

/* The list of endpoints has changed; n: number of listed endpoints. */
void way_on_list(struct way *way, int n);

/* Starts a call, as hc_start() does. */
struct way_call *way_start(struct way *way, const struct way_request *request,
			   const struct hc_ops *ops, void *ctx);

/* Pauses a call or lets it go on, as hc_pause() does; by whatever way it goes or will go. */
void way_pause(struct way_call *call, bool on);

/* Cancels a call, as hc_cancel() does. */
void way_cancel(struct way_call *call);

/* Returns whether the call has been sent, or is being sent, over a connection of this host. */
bool way_is_direct(const struct way_call *call);

/* Looks after calls and probes; to be called each 0.1 s or so. */
void way_sweep(struct way *way, int64_t now_us);

/*
 * Calls an endpoint, but not the one at that address, to see whether any answers this host. A call
 * that is answered shows in reach->heard_us.
 */
void way_ask_witness(struct way *way, const char *except);

/* Returns the name of the host through which the call goes, or NULL if it is direct. */
const char *way_gateway(const struct way_call *call);

/* What is known of the ways of this host; see reach/reach.h. */
const struct reach *way_reach(const struct way *way);

/* Returns the number of tunnels that this host uses now. */
int way_open_tunnels(const struct way *way);

#endif
