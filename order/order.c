#include "order/order.h"

#include <jansson.h>
#include <string.h>

enum {
	ORDER_RENEW_DIVISOR = 3,   /* a lease is renewed after its duration divided by this */
	ORDER_MARGIN_DIVISOR = 10, /* the margin is the duration of a lease divided by this */
	ORDER_NO_FENCE = -1	   /* fencing number that stands for no lease */
};

static void order_lease_free(gpointer data)
{
	struct order_lease *lease = data;

	g_free(lease->holder);
	g_free(lease);
}

void order_init(struct order *order, const char *host, int64_t duration_us)
{
	memset(order, 0, sizeof(*order));
	order->host = g_strdup(host);
	order->duration_us = duration_us;
	order->margin_us = duration_us / ORDER_MARGIN_DIVISOR;
	order->leases = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, order_lease_free);
	order->own = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void order_finish(struct order *order)
{
	g_hash_table_destroy(order->leases);
	g_hash_table_destroy(order->own);
	g_free(order->host);
}

/* Returns this host's state for the model, which is created if there is none. */
static struct order_own_state *order_get_own_state(struct order *order, const char *model)
{
	struct order_own_state *own = g_hash_table_lookup(order->own, model);

	if (!own) {
		own = g_new0(struct order_own_state, 1);
		g_hash_table_insert(order->own, g_strdup(model), own);
	}
	return own;
}

static bool order_is_own(const struct order *order, const struct order_lease *lease)
{
	return lease && strcmp(lease->holder, order->host) == 0;
}

/* Makes the record at the offset the current lease of the model. */
static void order_set_lease(struct order *order, const char *model, const char *holder,
			    int64_t offset, int64_t duration_us, int64_t now_us)
{
	struct order_lease *lease = g_new0(struct order_lease, 1);

	lease->holder = g_strdup(holder);
	lease->fence = offset;
	lease->duration_us = duration_us;
	lease->read_us = now_us;
	g_hash_table_replace(order->leases, g_strdup(model), lease);
}

/*
 * Handles a lease record of this host. asked_us is taken from the record and not from the latest
 * append, because the record may come from an earlier append that was taken for lost.
 */
static void order_on_own_record(struct order *order, const char *model, int64_t asked_us,
				bool counts)
{
	struct order_own_state *own = order_get_own_state(order, model);

	if (asked_us == own->asked_us)
		own->asking = false;
	if (counts)
		own->granted_us = asked_us;
}

int order_on_record(struct order *order, int64_t offset, struct str data, int64_t now_us)
{
	const char *model;
	const char *holder;
	json_int_t follows;
	json_int_t duration;
	json_int_t asked;
	bool counts;
	const struct order_lease *current;
	json_t *json;

	if (offset < order->next)
		return 0;
	order->next = offset + 1;
	json = json_loadb(data.data, data.len, 0, NULL);
	if (json_unpack(json, "{s:s, s:s, s:I, s:I, s:I}", "model", &model, "holder", &holder,
			"follows", &follows, "duration_us", &duration, "asked_us", &asked) < 0) {
		json_decref(json);
		return ORDER_ERECORD;
	}
	current = g_hash_table_lookup(order->leases, model);
	counts = !current || current->fence == follows;
	if (strcmp(holder, order->host) == 0)
		order_on_own_record(order, model, asked, counts);
	if (counts)
		order_set_lease(order, model, holder, offset, duration, now_us);
	json_decref(json);
	return 0;
}

/*
 * Returns whether this host has to append a lease record. It waits for the end of another host's
 * lease by its own clock, from when it read the record and with a margin. The holder counts from
 * before its append, so it has stopped sending orders by then.
 */
static bool order_is_request_due(const struct order *order, const struct order_lease *lease,
				 const struct order_own_state *own, int64_t now_us)
{
	if (!lease)
		return true;
	if (order_is_own(order, lease))
		return now_us - own->asked_us >= lease->duration_us / ORDER_RENEW_DIVISOR;
	return now_us - lease->read_us >= lease->duration_us + order->margin_us;
}

char *order_request_lease(struct order *order, const char *model, int64_t now_us)
{
	const struct order_lease *lease = g_hash_table_lookup(order->leases, model);
	struct order_own_state *own = order_get_own_state(order, model);
	json_t *json;
	char *text;

	if (own->asking || !order_is_request_due(order, lease, own, now_us))
		return NULL;
	own->asking = true;
	own->asked_us = now_us;
	json = json_pack("{s:s, s:s, s:I, s:I, s:I}", "model", model, "holder", order->host,
			 "follows", (json_int_t)(lease ? lease->fence : ORDER_NO_FENCE),
			 "duration_us", (json_int_t)order->duration_us, "asked_us",
			 (json_int_t)now_us);
	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	return text;
}

void order_on_append_lost(struct order *order, const char *model)
{
	order_get_own_state(order, model)->asking = false;
}

/*
 * A holder that was paused may resume long after its lease has expired, without having read the
 * lease of its successor. The age of the lease is therefore counted from before the append, on the
 * monotonic clock, and checked for every order.
 */
int64_t order_fencing_number(const struct order *order, const char *model, int64_t now_us)
{
	const struct order_lease *lease = g_hash_table_lookup(order->leases, model);
	const struct order_own_state *own = g_hash_table_lookup(order->own, model);

	if (!order_is_own(order, lease) || !own)
		return ORDER_NO_FENCE;
	if (now_us - own->granted_us >= lease->duration_us - order->margin_us)
		return ORDER_NO_FENCE;
	return lease->fence;
}
