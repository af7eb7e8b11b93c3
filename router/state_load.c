#include "router/state_load.h"
#include "router/txn_int.h"

#include <math.h>
#include <string.h>

/* Sums over the endpoints that hold the same range of layers of one service. */
struct state_range {
	const char *service; /* name of the service */
	int from;	     /* first layer of the range */
	int to;		     /* layer after the last one */
	int holders;	     /* number of endpoints that hold the range */
	int healthy;	     /* number of those that are ready and not suspected */
	int in_flight;	     /* attempts of this host that pass through them */
	double full;	     /* sum of the parts of their memory in use, as they reported */
	double fullest;	     /* greatest of these parts */
};

static gint state_compare_ranges(gconstpointer a, gconstpointer b)
{
	const struct state_range *ra = a;
	const struct state_range *rb = b;
	int order = strcmp(ra->service, rb->service);

	if (order == 0)
		order = ra->from != rb->from ? ra->from - rb->from : ra->to - rb->to;
	return order;
}

/* Returns the sums of the range that the endpoint holds; they are added if it is the first one. */
static struct state_range *state_find_range(GArray *ranges, const struct ep_rec *rec)
{
	struct state_range range = {
		.service = rec->service, .from = rec->layer_from, .to = rec->layer_to};

	for (guint i = 0; i < ranges->len; i++) {
		struct state_range *known = &g_array_index(ranges, struct state_range, i);

		if (state_compare_ranges(known, &range) == 0)
			return known;
	}
	g_array_append_val(ranges, range);
	return &g_array_index(ranges, struct state_range, ranges->len - 1);
}

static void state_count_holder(GArray *ranges, const struct traf_ep *ep, int64_t now_us)
{
	struct state_range *range;

	if (!ep->listed || ep->rec->layer_to <= ep->rec->layer_from)
		return;
	range = state_find_range(ranges, ep->rec);
	range->holders++;
	range->healthy += traf_ep_is_healthy(ep, now_us);
	range->in_flight += ep->in_flight;
	range->full += ep->full;
	range->fullest = MAX(range->fullest, ep->full);
}

json_t *state_ranges(const struct traf *traf, int64_t now_us)
{
	GArray *ranges = g_array_new(FALSE, TRUE, sizeof(struct state_range));
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, traf->eps);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		state_count_holder(ranges, value, now_us);
	g_array_sort(ranges, state_compare_ranges);
	for (guint i = 0; i < ranges->len; i++) {
		const struct state_range *range = &g_array_index(ranges, struct state_range, i);

		json_array_append_new(
			list, json_pack("{s:s, s:i, s:i, s:i, s:i, s:i, s:f, s:f}", "service",
					range->service, "from", range->from, "to", range->to,
					"holders", range->holders, "healthy", range->healthy,
					"in_flight", range->in_flight, "full",
					range->full / range->holders, "fullest", range->fullest));
	}
	g_array_unref(ranges);
	return list;
}

static json_t *state_class(const struct traf *traf, const char *service,
			   struct adm_service *admission, int rank, int64_t now_us)
{
	const struct adm *adm = adm_of_class(admission, rank);
	struct adm_queue queue;

	txn_count_waiting(traf, service, rank, rank, &queue);
	return json_pack("{s:s, s:i, s:i, s:I, s:f, s:b, s:I}", "service", service, "class", rank,
			 "waiting", queue.waiting, "oldest_ms",
			 (json_int_t)(queue.oldest_us / TMR_US_PER_MS), "begun_per_s",
			 adm_begin_rate(adm, now_us), "strict", adm->strict, "refused_ms",
			 (json_int_t)(adm->last_refused_us > 0
					      ? (now_us - adm->last_refused_us) / TMR_US_PER_MS
					      : -1));
}

/* Returns how many classes of the service are told apart; one if its streams are all alike. */
static int state_class_count(const struct traf *traf, const char *name)
{
	const struct rt_service *service =
		traf->view ? g_hash_table_lookup(traf->view->conf->services, name) : NULL;

	return service ? CLAMP((int)service->stream_priorities->len, 1, ADM_CLASSES_MAX) : 1;
}

json_t *state_classes(const struct traf *traf, int64_t now_us)
{
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer name;
	gpointer admission;

	g_hash_table_iter_init(&iter, traf->admissions);
	while (g_hash_table_iter_next(&iter, &name, &admission)) {
		for (int rank = 0; rank < state_class_count(traf, name); rank++)
			json_array_append_new(list,
					      state_class(traf, name, admission, rank, now_us));
	}
	return list;
}
