#ifndef REACH_GATEWAYS_H
#define REACH_GATEWAYS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Which host is asked for a tunnel to an endpoint; such a host is called a gateway. A host knows
 * only a bounded number of possible gateways, chosen by rendezvous hashing, so that those of
 * different hosts differ and the load of many cut hosts spreads. The module does no I/O. Times are
 * in us.
 */
enum {
	GWS_OWN_ZONE_MAX = 16,	 /* most gateways of the host's own availability zone */
	GWS_OTHER_ZONES_MAX = 16 /* most gateways of all others */
};

/* What came of asking a gateway. */
enum gws_result {
	GWS_OPENED,	 /* it opened a tunnel */
	GWS_NOT_REACHED, /* it does not reach the endpoint */
	GWS_NOT_LISTED,	 /* it does not know the endpoint */
	GWS_CUT_OFF,   /* it is cut off itself, so it can't tell whether the endpoint is at fault */
	GWS_BUSY,      /* it opens no more tunnels now, or is stopping */
	GWS_NO_ANSWER, /* it did not answer, or ended a tunnel */
	GWS_NO_SUCH_FRAME /* it runs a version without tunnels */
};

/* A possible gateway. */
struct gws_host {
	char *name;	 /* name of the host */
	char *addr;	 /* address of its control thread */
	char *zone;	 /* its availability zone */
	int open;	 /* tunnels through it that this host has now */
	int stated;	 /* tunnels of all hosts that it had when it last answered */
	int not_reached; /* endpoints in a row that it did not reach */
	bool cut_off;	 /* the last answer showed that it is cut off itself, or seems to be */
	int64_t avoid_until_us; /* not chosen until then */
};

/* Possible gateways of one host. */
struct gws {
	char *zone;	  /* the host's own availability zone */
	GPtrArray *hosts; /* struct gws_host */
};

/* Frees a struct gws_host. */
void gws_host_free(gpointer host);

/* Makes a host without state; the texts are copied. */
struct gws_host *gws_host_new(const char *name, const char *addr, const char *zone);

/*
 * Chooses the possible gateways of the host self in the zone own_zone from all hosts (struct
 * gws_host). Returns them with references of their own, in no order.
 */
GPtrArray *gws_select(const GPtrArray *all, const char *self, const char *own_zone);

void gws_init(struct gws *gws, const char *own_zone);
void gws_finish(struct gws *gws);

/* Takes over a new list of possible gateways (struct gws_host); what is known of a host is kept. */
void gws_set_hosts(struct gws *gws, const GPtrArray *hosts);

/*
 * Chooses the gateway for a tunnel; NULL if there is none. tried: the one that was asked before for
 * the same tunnel, or NULL; another one then, if possible of another availability zone. Prefers the
 * host's own zone, since bytes between zones are priced, until a gateway there carries many more
 * tunnels than one elsewhere.
 */
struct gws_host *gws_choose(const struct gws *gws, const struct gws_host *tried, uint32_t *seed,
			    int64_t now_us);

/*
 * Returns whether no gateway can be chosen, and not only because none answers: some are cut off
 * themselves.
 */
bool gws_none_reaches(const struct gws *gws, int64_t now_us);

/* Returns the host of that name, or NULL. */
struct gws_host *gws_find(const struct gws *gws, const char *name);

/* Records what came of asking the host; stated: number of tunnels it stated, with GWS_OPENED. */
void gws_on_result(struct gws_host *host, enum gws_result result, int stated, int64_t now_us);

G_END_DECLS

#endif
