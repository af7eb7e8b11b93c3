#ifndef ROUTER_TUNNEL_H
#define ROUTER_TUNNEL_H

#include "base/loop.h"
#include "reach/gateways.h"

#include <stdbool.h>
#include <stdint.h>

/* Asks a gateway for a tunnel to an endpoint; the asking side of router/gateway.h. */
struct tunnel_dial;

/* What to ask for. The texts may be freed after the call. */
struct tunnel_ask {
	const char *gateway; /* address of the gateway's control thread */
	const char *addr;    /* address of the endpoint */
	const char *request; /* id of the caller's request; may be NULL */
	const char *host;    /* name of this host */
	int64_t connect_ms;  /* time limit for the gateway's connection to the endpoint, in ms */
	int64_t answer_ms;   /* time limit for the gateway's answer, in ms */
};

/* What came of it. */
struct tunnel_answer {
	enum gws_result result;
	uint64_t token; /* names the tunnel, see tunnel_preamble(); GWS_OPENED only */
	int open;	/* number of tunnels that the gateway has */
	bool refused;	/* with GWS_NOT_REACHED: the endpoint refused the connection, at once */
};

/* Called once; the dial is freed afterwards. */
typedef void (*tunnel_fn)(void *ctx, const struct tunnel_answer *answer);

/* Starts to ask. fn isn't called before this returns. Returns NULL if the address is invalid. */
struct tunnel_dial *tunnel_dial(struct loop *loop, const struct tunnel_ask *ask, tunnel_fn fn,
				void *ctx);

/*
 * Returns what has to be sent first on a connection to the gateway so that it leads through the
 * tunnel; free with g_byte_array_unref().
 */
GByteArray *tunnel_preamble(uint64_t token);

/* Gives up; fn isn't called. */
void tunnel_cancel(struct tunnel_dial *dial);

#endif
