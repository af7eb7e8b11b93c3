#include "reach/gateways.h"
#include "base/rnd.h"
#include "base/str.h"

#include <string.h>

enum {
	/* A gateway of another zone counts as if it had this many tunnels more. */
	GWS_ZONE_TUNNELS = 16,
	GWS_AVOIDED_MAX = 4, /* avoided gateways of a zone that are counted */
	/* Candidates among which the one with the fewest tunnels is taken. */
	GWS_CANDIDATES = 4,
	/* Endpoints in a row that a gateway does not reach before it counts as cut off itself. */
	GWS_NOT_REACHED_MAX = 2,
	/* Time for which a gateway is not chosen, in us: */
	GWS_AVOID_CUT_US = 1000000,    /* it seems to be cut off itself */
	GWS_AVOID_BUSY_US = 1000000,   /* it has no room or is stopping */
	GWS_AVOID_SILENT_US = 2000000, /* it does not answer */
	GWS_AVOID_OLD_US = 5000000     /* it knows no tunnels */
};

struct gws_host *gws_host_new(const char *name, const char *addr, const char *zone)
{
	struct gws_host *host = g_new0(struct gws_host, 1);

	host->name = g_strdup(name);
	host->addr = g_strdup(addr);
	host->zone = g_strdup(zone);
	return host;
}

void gws_host_free(gpointer data)
{
	struct gws_host *host = data;

	g_free(host->name);
	g_free(host->addr);
	g_free(host->zone);
	g_free(host);
}

/* A host and its place in the order of rendezvous hashing. */
struct gws_rank {
	const struct gws_host *host;
	uint64_t hash;
};

static gint gws_compare(gconstpointer a, gconstpointer b)
{
	const struct gws_rank *ra = a;
	const struct gws_rank *rb = b;

	return ra->hash < rb->hash ? -1 : ra->hash > rb->hash;
}

GPtrArray *gws_select(const GPtrArray *all, const char *self, const char *own_zone)
{
	GPtrArray *chosen = g_ptr_array_new_with_free_func(gws_host_free);
	GArray *ranks = g_array_new(FALSE, FALSE, sizeof(struct gws_rank));
	uint64_t seed = str_hash(self, strlen(self), 0);
	int own = 0;
	int other = 0;

	for (guint i = 0; i < all->len; i++) {
		const struct gws_host *host = all->pdata[i];
		struct gws_rank rank = {host, str_hash(host->name, strlen(host->name), seed)};

		if (strcmp(host->name, self) != 0)
			g_array_append_val(ranks, rank);
	}
	g_array_sort(ranks, gws_compare);
	for (guint i = 0; i < ranks->len; i++) {
		const struct gws_host *host = g_array_index(ranks, struct gws_rank, i).host;
		bool near = strcmp(host->zone, own_zone) == 0;

		if (near ? own++ < GWS_OWN_ZONE_MAX : other++ < GWS_OTHER_ZONES_MAX)
			g_ptr_array_add(chosen, gws_host_new(host->name, host->addr, host->zone));
	}
	g_array_unref(ranks);
	return chosen;
}

void gws_init(struct gws *gws, const char *own_zone)
{
	gws->zone = g_strdup(own_zone);
	gws->hosts = g_ptr_array_new_with_free_func(gws_host_free);
}

void gws_finish(struct gws *gws)
{
	g_ptr_array_unref(gws->hosts);
	g_free(gws->zone);
}

struct gws_host *gws_find(const struct gws *gws, const char *name)
{
	for (guint i = 0; i < gws->hosts->len; i++) {
		struct gws_host *host = gws->hosts->pdata[i];

		if (strcmp(host->name, name) == 0)
			return host;
	}
	return NULL;
}

void gws_set_hosts(struct gws *gws, const GPtrArray *hosts)
{
	GPtrArray *fresh = g_ptr_array_new_with_free_func(gws_host_free);

	for (guint i = 0; i < hosts->len; i++) {
		const struct gws_host *from = hosts->pdata[i];
		const struct gws_host *known = gws_find(gws, from->name);
		struct gws_host *host = gws_host_new(from->name, from->addr, from->zone);

		if (known && strcmp(known->addr, from->addr) == 0) {
			host->open = known->open;
			host->stated = known->stated;
			host->not_reached = known->not_reached;
			host->cut_off = known->cut_off;
			host->avoid_until_us = known->avoid_until_us;
		}
		g_ptr_array_add(fresh, host);
	}
	g_ptr_array_unref(gws->hosts);
	gws->hosts = fresh;
}

static bool gws_is_usable(const struct gws_host *host, const struct gws_host *tried, int64_t now_us)
{
	return host != tried && host->avoid_until_us <= now_us;
}

/* Counts the gateways of the zone that are not chosen now; more than GWS_AVOIDED_MAX count as that.
 */
static int gws_count_avoided(const struct gws *gws, const char *zone, int64_t now_us)
{
	int n = 0;

	for (guint i = 0; i < gws->hosts->len && n < GWS_AVOIDED_MAX; i++) {
		const struct gws_host *host = gws->hosts->pdata[i];

		n += host->avoid_until_us > now_us && strcmp(host->zone, zone) == 0;
	}
	return n;
}

/*
 * Returns the load by which gateways are compared, in tunnels. Where some gateways of a zone can't
 * help, the others probably can't either: a whole zone may be cut off.
 */
static int gws_load(const struct gws *gws, const struct gws_host *host,
		    const struct gws_host *tried, int64_t now_us)
{
	bool near = strcmp(host->zone, gws->zone) == 0;
	bool same_as_tried = tried && strcmp(host->zone, tried->zone) == 0;
	int avoided = gws_count_avoided(gws, host->zone, now_us) + 2 * same_as_tried;

	return MAX(host->open, host->stated) + ((near ? 0 : 1) + avoided) * GWS_ZONE_TUNNELS;
}

struct gws_host *gws_choose(const struct gws *gws, const struct gws_host *tried, uint32_t *seed,
			    int64_t now_us)
{
	struct gws_host *best = NULL;
	guint n = gws->hosts->len;
	guint first = n > 0 ? rnd_next(seed) % n : 0;
	int near = 0;
	int far = 0;

	for (guint i = 0; i < n; i++) {
		struct gws_host *host = gws->hosts->pdata[(first + i) % n];
		int *count = strcmp(host->zone, gws->zone) == 0 ? &near : &far;

		if (!gws_is_usable(host, tried, now_us) || (*count)++ >= GWS_CANDIDATES)
			continue;
		if (!best ||
		    gws_load(gws, host, tried, now_us) < gws_load(gws, best, tried, now_us))
			best = host;
	}
	return best;
}

bool gws_none_reaches(const struct gws *gws, int64_t now_us)
{
	bool cut_off = false;

	for (guint i = 0; i < gws->hosts->len; i++) {
		const struct gws_host *host = gws->hosts->pdata[i];

		if (host->avoid_until_us <= now_us)
			return false;
		cut_off = cut_off || host->cut_off;
	}
	return cut_off;
}

static int64_t gws_avoid_us(const struct gws_host *host, enum gws_result result)
{
	switch (result) {
	case GWS_NOT_REACHED:
		return host->not_reached >= GWS_NOT_REACHED_MAX ? GWS_AVOID_CUT_US : 0;
	case GWS_CUT_OFF:
		return GWS_AVOID_CUT_US;
	case GWS_BUSY:
		return GWS_AVOID_BUSY_US;
	case GWS_NO_ANSWER:
		return GWS_AVOID_SILENT_US;
	case GWS_NO_SUCH_FRAME:
		return GWS_AVOID_OLD_US;
	default:
		return 0;
	}
}

void gws_on_result(struct gws_host *host, enum gws_result result, int stated, int64_t now_us)
{
	int64_t avoid_us;

	if (result == GWS_OPENED) {
		host->stated = stated;
		host->not_reached = 0;
		host->cut_off = false;
		return;
	}
	if (result == GWS_NOT_REACHED)
		host->not_reached++;
	avoid_us = gws_avoid_us(host, result);
	if (avoid_us > 0)
		host->cut_off = result == GWS_CUT_OFF || result == GWS_NOT_REACHED;
	if (avoid_us > 0)
		host->avoid_until_us = MAX(host->avoid_until_us, now_us + avoid_us);
}
