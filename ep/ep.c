#include "ep/ep.h"

#include <string.h>

enum {
	/*
	 * Time in which running endpoints register again after an outage of the store. Entries that
	 * are still missing afterwards are dropped.
	 */
	EP_REREGISTER_US = 2000000,
	/*
	 * Tombstones reject late records of ended endpoints that arrive from another host, which
	 * takes seconds. At 310 restarts a day the tables would grow for as long as the process
	 * runs, so tombstones older than EP_TOMBSTONE_US are dropped once a table holds more than
	 * EP_TOMBSTONES_MAX of them.
	 */
	EP_TOMBSTONES_MAX = 1024,
	EP_TOMBSTONE_US = 600000000
};

static void ep_entry_free(gpointer data);
static void ep_addr_owner_free(gpointer data);
static gint ep_compare_ids(gconstpointer a, gconstpointer b);

struct ep_rec *ep_rec_new(const char *id, int64_t born_ms)
{
	struct ep_rec *rec = g_new0(struct ep_rec, 1);

	rec->id = g_strdup(id);
	rec->born_ms = born_ms;
	rec->incarnation = g_strdup_printf("%s@%" G_GINT64_FORMAT, id, born_ms);
	rec->refs = 1;
	return rec;
}

struct ep_rec *ep_rec_ref(struct ep_rec *rec)
{
	g_atomic_int_inc(&rec->refs);
	return rec;
}

void ep_rec_unref(struct ep_rec *rec)
{
	if (!g_atomic_int_dec_and_test(&rec->refs))
		return;
	g_free(rec->id);
	g_free(rec->incarnation);
	g_free(rec->service);
	g_free(rec->addr);
	g_free(rec->zone);
	g_free(rec->kind);
	g_free(rec->text);
	g_free(rec);
}

static void ep_entry_free(gpointer data)
{
	struct ep_entry *entry = data;

	ep_rec_unref(entry->rec);
	g_free(entry);
}

static void ep_addr_owner_free(gpointer data)
{
	struct ep_addr_owner *owner = data;

	g_free(owner->id);
	g_free(owner);
}

void ep_list_init(struct ep_list *list)
{
	memset(list, 0, sizeof(*list));
	list->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, ep_entry_free);
	list->departures = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	list->removals = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	list->addr_owners =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, ep_addr_owner_free);
	list->store_back_us = -1;
	list->listed_us = -1;
}

void ep_set_services(struct ep_list *list, ep_service_fn is_service, void *ctx)
{
	list->is_service = is_service;
	list->ctx = ctx;
}

void ep_list_finish(struct ep_list *list)
{
	g_hash_table_destroy(list->entries);
	g_hash_table_destroy(list->departures);
	g_hash_table_destroy(list->removals);
	g_hash_table_destroy(list->addr_owners);
}

bool ep_may_lack_entries(const struct ep_list *list, int64_t now_us)
{
	if (list->store_failing)
		return true;
	return list->store_back_us >= 0 && now_us - list->store_back_us < EP_REREGISTER_US;
}

static void ep_put_tombstone(GHashTable *tombstones, const char *id, struct ep_tombstone tombstone)
{
	g_hash_table_replace(tombstones, g_strdup(id), g_memdup2(&tombstone, sizeof(tombstone)));
}

/*
 * Remembers that an incarnation has announced that it leaves. A late or repeated listing may show
 * it as ready again, and a request sent then would reach an endpoint that has ended, so only a new
 * incarnation can become ready.
 */
static void ep_record_departure(struct ep_list *list, const struct ep_rec *rec, int64_t now_us)
{
	ep_put_tombstone(list->departures, rec->id,
			 (struct ep_tombstone){.born_ms = rec->born_ms,
					       .heartbeat = rec->heartbeat,
					       .at_us = now_us});
}

static bool ep_incarnation_has_left(const struct ep_list *list, const char *id, int64_t born_ms)
{
	const struct ep_tombstone *tombstone = g_hash_table_lookup(list->departures, id);

	return tombstone && born_ms <= tombstone->born_ms;
}

static bool ep_has_left(const struct ep_list *list, const struct ep_rec *rec)
{
	return ep_incarnation_has_left(list, rec->id, rec->born_ms);
}

/* Copies a record with the state set to draining; other threads may still use the original. */
static struct ep_rec *ep_rec_copy_draining(const struct ep_rec *rec)
{
	struct ep_rec *copy = ep_rec_new(rec->id, rec->born_ms);

	copy->service = g_strdup(rec->service);
	copy->addr = g_strdup(rec->addr);
	copy->zone = g_strdup(rec->zone);
	copy->kind = g_strdup(rec->kind);
	copy->state = EP_DRAINING;
	copy->slots = rec->slots;
	copy->layer_from = rec->layer_from;
	copy->layer_to = rec->layer_to;
	copy->heartbeat = rec->heartbeat;
	copy->cold_ms = rec->cold_ms;
	copy->text = g_strdup(rec->text);
	return copy;
}

bool ep_on_leaving(struct ep_list *list, const char *incarnation, int64_t now_us)
{
	const char *at = strrchr(incarnation, '@');
	char *id = g_strndup(incarnation, at ? (gsize)(at - incarnation) : strlen(incarnation));
	int64_t born_ms = at ? g_ascii_strtoll(at + 1, NULL, 10) : 0;
	struct ep_entry *entry = g_hash_table_lookup(list->entries, id);
	bool is_new = !ep_incarnation_has_left(list, id, born_ms);
	struct ep_rec *rec;

	if (is_new)
		ep_put_tombstone(list->departures, id,
				 (struct ep_tombstone){.born_ms = born_ms, .at_us = now_us});
	if (is_new && entry && entry->rec->born_ms == born_ms) {
		/* The key in the table is the id string of the record that is replaced. */
		g_hash_table_steal(list->entries, id);
		rec = ep_rec_copy_draining(entry->rec);
		ep_rec_unref(entry->rec);
		entry->rec = rec;
		g_hash_table_insert(list->entries, rec->id, entry);
		list->changed = true;
		list->version++;
	}
	g_free(id);
	return is_new;
}

/* Whether two records differ at most in the fields that change with every heartbeat. */
static bool ep_same_content(const struct ep_rec *a, const struct ep_rec *b)
{
	return a->born_ms == b->born_ms && a->state == b->state && a->slots == b->slots &&
	       a->layer_from == b->layer_from && a->layer_to == b->layer_to &&
	       strcmp(a->service, b->service) == 0 && strcmp(a->addr, b->addr) == 0 &&
	       strcmp(a->zone, b->zone) == 0 && g_strcmp0(a->kind, b->kind) == 0;
}

static void ep_record_removal(struct ep_list *list, const char *id, int64_t place,
			      const struct ep_entry *entry, int64_t now_us)
{
	const struct ep_tombstone *previous = g_hash_table_lookup(list->removals, id);
	struct ep_tombstone tombstone = {.place = place, .at_us = now_us};

	if (previous) {
		tombstone.born_ms = previous->born_ms;
		tombstone.heartbeat = previous->heartbeat;
	}
	if (entry && entry->rec->born_ms >= tombstone.born_ms) {
		tombstone.born_ms = entry->rec->born_ms;
		tombstone.heartbeat = entry->rec->heartbeat;
	}
	if (!previous || place > previous->place)
		ep_put_tombstone(list->removals, id, tombstone);
}

/*
 * Processes an entry that is missing in the store. If running endpoints may be missing, a ready one
 * is kept as lapsed. Otherwise it is removed and a tombstone is kept, since older records of the
 * endpoint may still arrive from another host, or be written again after the store was restored.
 */
static void ep_lapse_or_remove(struct ep_list *list, struct ep_entry *entry, int64_t now_us)
{
	if (entry->rec->state == EP_READY && ep_may_lack_entries(list, now_us)) {
		entry->lapsed = true;
		return;
	}
	ep_record_removal(list, entry->rec->id, list->next - 1, entry, now_us);
	g_hash_table_remove(list->entries, entry->rec->id);
	list->changed = true;
	list->version++;
}

/*
 * Whether a record that follows the removal in the log still describes the time before it, because
 * the store was restored from a copy that contains it, or because it was written again. The record
 * of an endpoint without a heartbeat counter is accepted when the endpoint registers, but not when
 * it stands in the listing of a restored copy.
 */
static bool ep_predates_removal(const struct ep_list *list, const struct ep_tombstone *removed,
				int64_t place, const struct ep_rec *rec)
{
	if (!list->store_has_eras || rec->born_ms != removed->born_ms)
		return false;
	if (rec->heartbeat > 0)
		return rec->heartbeat <= removed->heartbeat;
	return list->listing && era_of_place(place) > era_of_place(removed->place);
}

/*
 * Whether a record describes an endpoint that has ended. Records reach a host from the store and
 * from another host, so an older one may arrive after a newer one. A record that is older than the
 * removal of its id, or than a record of another id at the same address, is outdated.
 */
static bool ep_is_outdated(const struct ep_list *list, int64_t place, const struct ep_rec *rec)
{
	const struct ep_addr_owner *owner = g_hash_table_lookup(list->addr_owners, rec->addr);
	const struct ep_tombstone *removed = g_hash_table_lookup(list->removals, rec->id);

	if (removed && (place < removed->place || rec->born_ms < removed->born_ms))
		return true;
	if (removed && ep_predates_removal(list, removed, place, rec))
		return true;
	return owner && place < owner->place;
}

/*
 * Whether a record is of the same incarnation as the entry and has a lower heartbeat number. After
 * the store was restored from a copy, a record in that copy, or one that was written again, can
 * have a later place than the known record and still be older.
 */
static bool ep_is_older_heartbeat(const struct ep_list *list, const struct ep_entry *entry,
				  const struct ep_rec *rec)
{
	if (!list->store_has_eras || !rec || rec->heartbeat == 0)
		return false;
	return rec->born_ms == entry->rec->born_ms && rec->heartbeat < entry->rec->heartbeat;
}

/*
 * Whether a record is of an earlier incarnation than the entry. A heartbeat from before a restart
 * may be written after the first one of the new incarnation. If it were accepted, the list would
 * show layers that the endpoint no longer holds, and requests to them would be rejected until the
 * next heartbeat.
 */
static bool ep_is_earlier_incarnation(const struct ep_entry *entry, const struct ep_rec *rec)
{
	return entry && rec && rec->born_ms < entry->rec->born_ms;
}

/*
 * Assigns the address to the record's endpoint and removes an older endpoint there as ended. Does
 * nothing if the record's service is not known.
 */
static void ep_assign_addr(struct ep_list *list, int64_t place, const struct ep_rec *rec,
			   int64_t now_us)
{
	struct ep_addr_owner *owner = g_hash_table_lookup(list->addr_owners, rec->addr);
	const struct ep_entry *previous = NULL;

	if (list->is_service && !list->is_service(list->ctx, rec->service))
		return;
	if (!owner) {
		owner = g_new0(struct ep_addr_owner, 1);
		g_hash_table_insert(list->addr_owners, g_strdup(rec->addr), owner);
	} else if (strcmp(owner->id, rec->id) != 0) {
		previous = g_hash_table_lookup(list->entries, owner->id);
	}
	if (previous && strcmp(previous->rec->addr, rec->addr) == 0) {
		ep_record_removal(list, owner->id, place, previous, now_us);
		g_hash_table_remove(list->entries, owner->id);
		list->version++;
	}
	g_free(owner->id);
	owner->id = g_strdup(rec->id);
	owner->place = place;
	owner->at_us = now_us;
}

/* Handles an outdated record: marks the entry as seen in the listing and frees the record. */
static enum ep_record_effect ep_keep_entry(const struct ep_list *list, struct ep_entry *entry,
					   int64_t place, struct ep_rec *rec)
{
	entry->seen = true;
	if (place > entry->place && ep_is_older_heartbeat(list, entry, rec)) {
		entry->place = place;
		entry->lapsed = false;
	}
	if (rec)
		ep_rec_unref(rec);
	return EP_OUTDATED;
}

/*
 * Whether a record with that place confirms that the endpoint still runs. A record with the place
 * of the known one may be that record itself, from a host that keeps it as lapsed.
 */
static bool ep_confirms(const struct ep_list *list, const struct ep_entry *entry, int64_t place,
			int64_t now_us)
{
	if (!entry)
		return !ep_may_lack_entries(list, now_us);
	return entry->confirmed || place > entry->place;
}

/* Whether the entry stands in the store and the record has the same content. */
static bool ep_is_heartbeat(const struct ep_entry *entry, const struct ep_rec *rec)
{
	return entry && !entry->lapsed && ep_same_content(entry->rec, rec);
}

enum ep_record_effect ep_on_record(struct ep_list *list, int64_t place, const char *id,
				   struct ep_rec *rec, int64_t now_us)
{
	struct ep_entry *entry = g_hash_table_lookup(list->entries, id);
	bool heartbeat;
	bool confirms;
	bool first;

	if (place >= list->next)
		list->next = place + 1;
	if (entry && (place < entry->place || ep_is_earlier_incarnation(entry, rec) ||
		      ep_is_older_heartbeat(list, entry, rec)))
		return ep_keep_entry(list, entry, place, rec);
	if (!rec) {
		ep_record_removal(list, id, place, entry, now_us);
		if (entry)
			ep_lapse_or_remove(list, entry, now_us);
		return EP_CHANGED;
	}
	if (era_of_place(place) < list->era || ep_is_outdated(list, place, rec)) {
		ep_rec_unref(rec);
		return EP_OUTDATED;
	}
	ep_assign_addr(list, place, rec, now_us);
	if (rec->state == EP_DRAINING)
		ep_record_departure(list, rec, now_us);
	else if (ep_has_left(list, rec))
		rec->state = EP_DRAINING;
	if (!entry || !ep_same_content(entry->rec, rec))
		list->version++;
	heartbeat = ep_is_heartbeat(entry, rec);
	confirms = ep_confirms(list, entry, place, now_us);
	first = confirms && entry && !entry->confirmed;
	entry = g_new0(struct ep_entry, 1);
	entry->rec = rec;
	entry->place = place;
	entry->seen = true;
	entry->confirmed = confirms;
	g_hash_table_replace(list->entries, rec->id, entry);
	list->changed = list->changed || !heartbeat;
	if (!heartbeat)
		return EP_CHANGED;
	return first ? EP_CONFIRMED : EP_HEARTBEAT;
}

bool ep_add_recalled(struct ep_list *list, int64_t place, struct ep_rec *rec, int64_t now_us)
{
	struct ep_entry *entry;

	if (!ep_may_lack_entries(list, now_us) || rec->state != EP_READY ||
	    ep_has_left(list, rec) || g_hash_table_contains(list->entries, rec->id) ||
	    ep_is_outdated(list, place, rec)) {
		ep_rec_unref(rec);
		return false;
	}
	ep_assign_addr(list, place, rec, now_us);
	entry = g_new0(struct ep_entry, 1);
	entry->rec = rec;
	entry->place = place;
	entry->lapsed = true;
	g_hash_table_replace(list->entries, rec->id, entry);
	list->changed = true;
	list->version++;
	return true;
}

void ep_begin_listing(struct ep_list *list)
{
	GHashTableIter iter;
	gpointer value;

	list->listing = true;
	g_hash_table_iter_init(&iter, list->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct ep_entry *)value)->seen = false;
}

void ep_end_listing(struct ep_list *list, int64_t end, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;
	GPtrArray *missing = g_ptr_array_new();

	g_hash_table_iter_init(&iter, list->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!((struct ep_entry *)value)->seen)
			g_ptr_array_add(missing, value);
	}
	for (guint i = 0; i < missing->len; i++)
		ep_lapse_or_remove(list, missing->pdata[i], now_us);
	g_ptr_array_unref(missing);
	list->listing = false;
	list->next = end;
	if (list->listed_us < 0)
		list->listed_us = now_us;
}

int64_t ep_complete_us(const struct ep_list *list)
{
	return MAX(list->listed_us, list->store_back_us) + EP_REREGISTER_US;
}

void ep_on_store_era(struct ep_list *list, int64_t era, bool restored, int64_t now_us)
{
	list->era = era;
	list->store_has_eras = true;
	if (!restored)
		return;
	list->store_failing = false;
	list->store_back_us = now_us;
}

void ep_on_store_failure(struct ep_list *list, int64_t now_us)
{
	if (!list->store_failing)
		list->failed_us = now_us;
	list->store_failing = true;
}

static void ep_on_store_back(struct ep_list *list, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	list->store_back_us = now_us;
	g_hash_table_iter_init(&iter, list->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct ep_entry *)value)->confirmed = false;
}

void ep_on_store_success(struct ep_list *list, int64_t now_us)
{
	if (list->store_failing)
		ep_on_store_back(list, now_us);
	list->store_failing = false;
}

bool ep_on_no_outage(struct ep_list *list, int64_t since_us, int64_t now_us)
{
	bool is_alone = since_us <= list->failed_us;
	bool is_complete = now_us - since_us >= EP_REREGISTER_US;

	if (list->store_failing || !ep_may_lack_entries(list, now_us) ||
	    (!is_alone && !is_complete))
		return false;
	list->store_back_us = now_us - EP_REREGISTER_US;
	ep_drop_expired(list, now_us);
	return true;
}

int64_t ep_no_outage_since_us(const struct ep_list *list)
{
	if (list->store_failing || list->listed_us < 0)
		return -1;
	return MAX(list->listed_us, list->store_back_us);
}

static void ep_drop_old_tombstones(const struct ep_list *list, GHashTable *tombstones,
				   int64_t now_us)
{
	GHashTableIter iter;
	gpointer id;
	gpointer value;

	if (g_hash_table_size(tombstones) <= EP_TOMBSTONES_MAX)
		return;
	g_hash_table_iter_init(&iter, tombstones);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		const struct ep_tombstone *tombstone = value;

		if (now_us - tombstone->at_us > EP_TOMBSTONE_US &&
		    !g_hash_table_contains(list->entries, id))
			g_hash_table_iter_remove(&iter);
	}
}

static void ep_drop_old_addr_owners(struct ep_list *list, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	if (g_hash_table_size(list->addr_owners) <=
	    g_hash_table_size(list->entries) + EP_TOMBSTONES_MAX)
		return;
	g_hash_table_iter_init(&iter, list->addr_owners);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct ep_addr_owner *owner = value;

		if (now_us - owner->at_us > EP_TOMBSTONE_US &&
		    !g_hash_table_contains(list->entries, owner->id))
			g_hash_table_iter_remove(&iter);
	}
}

int ep_count_lapsed(const struct ep_list *list)
{
	GHashTableIter iter;
	gpointer value;
	int n = 0;

	g_hash_table_iter_init(&iter, list->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += ((const struct ep_entry *)value)->lapsed;
	return n;
}

bool ep_drop_expired(struct ep_list *list, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;
	bool dropped = false;

	ep_drop_old_tombstones(list, list->departures, now_us);
	ep_drop_old_tombstones(list, list->removals, now_us);
	ep_drop_old_addr_owners(list, now_us);
	if (ep_may_lack_entries(list, now_us))
		return false;
	g_hash_table_iter_init(&iter, list->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!((const struct ep_entry *)value)->lapsed)
			continue;
		ep_record_removal(list, ((struct ep_entry *)value)->rec->id, list->next - 1, value,
				  now_us);
		g_hash_table_iter_remove(&iter);
		dropped = true;
	}
	list->changed = list->changed || dropped;
	list->version += dropped;
	return dropped;
}

static gint ep_compare_ids(gconstpointer a, gconstpointer b)
{
	const struct ep_rec *ra = *(struct ep_rec *const *)a;
	const struct ep_rec *rb = *(struct ep_rec *const *)b;

	return strcmp(ra->id, rb->id);
}

GPtrArray *ep_snapshot(const struct ep_list *list)
{
	GPtrArray *snapshot = g_ptr_array_new_with_free_func((GDestroyNotify)ep_rec_unref);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, list->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(snapshot, ep_rec_ref(((struct ep_entry *)value)->rec));
	g_ptr_array_sort(snapshot, ep_compare_ids);
	return snapshot;
}

GHashTable *ep_incarnation_set(const struct ep_list *list)
{
	GHashTable *set = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, list->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_hash_table_add(set, ((const struct ep_entry *)value)->rec->incarnation);
	return set;
}
