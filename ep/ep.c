#include "ep/ep.h"

#include <string.h>

enum {
	/*
	 * After the store's return, living endpoints are listed again within two seconds; what is
	 * missing then is gone.
	 */
	EP_RETURN_US = 2000000,
	/*
	 * Notes on endpoints that are gone. They are for records that come late by another way,
	 * which takes seconds; at 310 restarts a day they would else grow for as long as the
	 * process runs.
	 */
	EP_NOTES_MAX = 1024, /* from which on old ones are dropped */
	EP_NOTE_US = 600000000
};

static void ep_entry_free(gpointer data);
static void ep_holder_free(gpointer data);
static gint ep_by_id(gconstpointer a, gconstpointer b);

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

static void ep_holder_free(gpointer data)
{
	struct ep_holder *holder = data;

	g_free(holder->id);
	g_free(holder);
}

void ep_list_init(struct ep_list *list)
{
	memset(list, 0, sizeof(*list));
	list->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, ep_entry_free);
	list->left = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	list->removed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	list->addrs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, ep_holder_free);
	list->returned_us = -1;
	list->listed_us = -1;
}

void ep_list_finish(struct ep_list *list)
{
	g_hash_table_destroy(list->entries);
	g_hash_table_destroy(list->left);
	g_hash_table_destroy(list->removed);
	g_hash_table_destroy(list->addrs);
}

bool ep_is_returning(const struct ep_list *list, int64_t now_us)
{
	if (list->away)
		return true;
	return list->returned_us >= 0 && now_us - list->returned_us < EP_RETURN_US;
}

static void ep_note(GHashTable *notes, const char *id, struct ep_note note)
{
	g_hash_table_replace(notes, g_strdup(id), g_memdup2(&note, sizeof(note)));
}

/*
 * An endpoint that has said it is leaving comes back only as a new incarnation. A list that is read
 * late or anew may show the old one as ready once more; sending to it then would reach it after it
 * has gone.
 */
static void ep_mark_left(struct ep_list *list, const struct ep_rec *rec, int64_t now_us)
{
	ep_note(list->left, rec->id,
		(struct ep_note){
			.born_ms = rec->born_ms, .heartbeat = rec->heartbeat, .at_us = now_us});
}

static bool ep_start_has_left(const struct ep_list *list, const char *id, int64_t born_ms)
{
	const struct ep_note *note = g_hash_table_lookup(list->left, id);

	return note && born_ms <= note->born_ms;
}

static bool ep_has_left(const struct ep_list *list, const struct ep_rec *rec)
{
	return ep_start_has_left(list, rec->id, rec->born_ms);
}

/* The record once more, as of an endpoint that is leaving: other threads may have the old one. */
static struct ep_rec *ep_rec_leaving(const struct ep_rec *rec)
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
	bool news = !ep_start_has_left(list, id, born_ms);
	struct ep_rec *rec;

	if (news)
		ep_note(list->left, id, (struct ep_note){.born_ms = born_ms, .at_us = now_us});
	if (news && entry && entry->rec->born_ms == born_ms) {
		/* The table's key is the record's own text. */
		g_hash_table_steal(list->entries, id);
		rec = ep_rec_leaving(entry->rec);
		ep_rec_unref(entry->rec);
		entry->rec = rec;
		g_hash_table_insert(list->entries, rec->id, entry);
		list->changed = true;
		list->version++;
	}
	g_free(id);
	return news;
}

/* Whether both say the same of the endpoint: one is a heartbeat after the other. */
static bool ep_is_same(const struct ep_rec *a, const struct ep_rec *b)
{
	return a->born_ms == b->born_ms && a->state == b->state && a->slots == b->slots &&
	       a->layer_from == b->layer_from && a->layer_to == b->layer_to &&
	       strcmp(a->service, b->service) == 0 && strcmp(a->addr, b->addr) == 0 &&
	       strcmp(a->zone, b->zone) == 0 && g_strcmp0(a->kind, b->kind) == 0;
}

static void ep_note_removal(struct ep_list *list, const char *id, int64_t place,
			    const struct ep_entry *entry, int64_t now_us)
{
	const struct ep_note *before = g_hash_table_lookup(list->removed, id);
	struct ep_note note = {.place = place, .at_us = now_us};

	if (before) {
		note.born_ms = before->born_ms;
		note.heartbeat = before->heartbeat;
	}
	if (entry && entry->rec->born_ms >= note.born_ms) {
		note.born_ms = entry->rec->born_ms;
		note.heartbeat = entry->rec->heartbeat;
	}
	if (!before || place > before->place)
		ep_note(list->removed, id, note);
}

/*
 * The entry is gone from the store. A note stays: what was written of the endpoint before may come
 * once more, by another way or written again after the store's return.
 */
static void ep_remove(struct ep_list *list, struct ep_entry *entry, int64_t now_us)
{
	if (entry->rec->state == EP_READY && ep_is_returning(list, now_us)) {
		entry->lapsed = true;
		return;
	}
	ep_note_removal(list, entry->rec->id, list->next - 1, entry, now_us);
	g_hash_table_remove(list->entries, entry->rec->id);
	list->changed = true;
	list->version++;
}

/*
 * Whether a record that comes after the removal is what a copy of the store still has, or what was
 * written again. An endpoint that doesn't count its heartbeats is believed when it registers, not
 * when a copy lists it.
 */
static bool ep_is_of_removed(const struct ep_list *list, const struct ep_note *removed,
			     int64_t place, const struct ep_rec *rec)
{
	if (!list->may_return || rec->born_ms != removed->born_ms)
		return false;
	if (rec->heartbeat > 0)
		return rec->heartbeat <= removed->heartbeat;
	return list->listing && era_of_place(place) > era_of_place(removed->place);
}

/*
 * Records reach a host by two ways, from the store and from another host, so an older one may come
 * after a newer one. One that is older than the removal of its id, or than a record of another id
 * at the same address, is of an endpoint that is gone.
 */
static bool ep_is_outdated(const struct ep_list *list, int64_t place, const struct ep_rec *rec)
{
	const struct ep_holder *holder = g_hash_table_lookup(list->addrs, rec->addr);
	const struct ep_note *removed = g_hash_table_lookup(list->removed, rec->id);

	if (removed && (place < removed->place || rec->born_ms < removed->born_ms))
		return true;
	if (removed && ep_is_of_removed(list, removed, place, rec))
		return true;
	return holder && place < holder->place;
}

/*
 * What a copy of the store says of an endpoint, or what was written again after its return, may be
 * older than what is known, though its place is later. The endpoint's own counts tell.
 */
static bool ep_is_of_copy(const struct ep_list *list, const struct ep_entry *entry,
			  const struct ep_rec *rec)
{
	if (!list->may_return || !rec || rec->heartbeat == 0)
		return false;
	return rec->born_ms == entry->rec->born_ms && rec->heartbeat < entry->rec->heartbeat;
}

/*
 * A heartbeat that an endpoint sent before its restart may be written after the first one of its
 * new incarnation. Taken for news it would list layers that nobody holds: requests to them are
 * rejected until the next heartbeat.
 */
static bool ep_is_of_earlier(const struct ep_entry *entry, const struct ep_rec *rec)
{
	return entry && rec && rec->born_ms < entry->rec->born_ms;
}

/* An address belongs to one endpoint; the older entry there is of one that has ended. */
static void ep_take_addr(struct ep_list *list, int64_t place, const struct ep_rec *rec,
			 int64_t now_us)
{
	struct ep_holder *holder = g_hash_table_lookup(list->addrs, rec->addr);
	const struct ep_entry *before = NULL;

	if (!holder) {
		holder = g_new0(struct ep_holder, 1);
		g_hash_table_insert(list->addrs, g_strdup(rec->addr), holder);
	} else if (strcmp(holder->id, rec->id) != 0) {
		before = g_hash_table_lookup(list->entries, holder->id);
	}
	if (before && strcmp(before->rec->addr, rec->addr) == 0) {
		ep_note_removal(list, holder->id, place, before, now_us);
		g_hash_table_remove(list->entries, holder->id);
		list->version++;
	}
	g_free(holder->id);
	holder->id = g_strdup(rec->id);
	holder->place = place;
	holder->at_us = now_us;
}

/* The endpoint is listed, but what the record says of it is not news. */
static enum ep_news ep_keep(const struct ep_list *list, struct ep_entry *entry, int64_t place,
			    struct ep_rec *rec)
{
	entry->seen = true;
	if (place > entry->place && ep_is_of_copy(list, entry, rec)) {
		entry->place = place;
		entry->lapsed = false;
	}
	if (rec)
		ep_rec_unref(rec);
	return EP_NOTHING;
}

/* Whether the entry says what the record says, and stands in the store. */
static bool ep_is_heartbeat(const struct ep_entry *entry, const struct ep_rec *rec)
{
	return entry && !entry->lapsed && ep_is_same(entry->rec, rec);
}

enum ep_news ep_on_record(struct ep_list *list, int64_t place, const char *id, struct ep_rec *rec,
			  int64_t now_us)
{
	struct ep_entry *entry = g_hash_table_lookup(list->entries, id);
	bool heartbeat;

	if (place >= list->next)
		list->next = place + 1;
	if (entry && (place < entry->place || ep_is_of_earlier(entry, rec) ||
		      ep_is_of_copy(list, entry, rec)))
		return ep_keep(list, entry, place, rec);
	if (!rec) {
		ep_note_removal(list, id, place, entry, now_us);
		if (entry)
			ep_remove(list, entry, now_us);
		return EP_NEWS;
	}
	if (era_of_place(place) < list->era || ep_is_outdated(list, place, rec)) {
		ep_rec_unref(rec);
		return EP_NOTHING;
	}
	ep_take_addr(list, place, rec, now_us);
	if (rec->state == EP_DRAINING)
		ep_mark_left(list, rec, now_us);
	else if (ep_has_left(list, rec))
		rec->state = EP_DRAINING;
	if (!entry || !ep_is_same(entry->rec, rec))
		list->version++;
	heartbeat = ep_is_heartbeat(entry, rec);
	entry = g_new0(struct ep_entry, 1);
	entry->rec = rec;
	entry->place = place;
	entry->seen = true;
	g_hash_table_replace(list->entries, rec->id, entry);
	list->changed = list->changed || !heartbeat;
	return heartbeat ? EP_HEARTBEAT : EP_NEWS;
}

bool ep_on_recalled(struct ep_list *list, int64_t place, struct ep_rec *rec, int64_t now_us)
{
	struct ep_entry *entry;

	if (!ep_is_returning(list, now_us) || rec->state != EP_READY || ep_has_left(list, rec) ||
	    g_hash_table_contains(list->entries, rec->id) || ep_is_outdated(list, place, rec)) {
		ep_rec_unref(rec);
		return false;
	}
	ep_take_addr(list, place, rec, now_us);
	entry = g_new0(struct ep_entry, 1);
	entry->rec = rec;
	entry->place = place;
	entry->lapsed = true;
	g_hash_table_replace(list->entries, rec->id, entry);
	list->changed = true;
	list->version++;
	return true;
}

void ep_on_listing(struct ep_list *list)
{
	GHashTableIter iter;
	gpointer value;

	list->listing = true;
	g_hash_table_iter_init(&iter, list->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct ep_entry *)value)->seen = false;
}

void ep_on_listed(struct ep_list *list, int64_t end, int64_t now_us)
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
		ep_remove(list, missing->pdata[i], now_us);
	g_ptr_array_unref(missing);
	list->listing = false;
	list->next = end;
	if (list->listed_us < 0)
		list->listed_us = now_us;
}

int64_t ep_whole_us(const struct ep_list *list)
{
	return MAX(list->listed_us, list->returned_us) + EP_RETURN_US;
}

void ep_on_era(struct ep_list *list, int64_t era, bool returned, int64_t now_us)
{
	list->era = era;
	list->may_return = true;
	if (!returned)
		return;
	list->away = false;
	list->returned_us = now_us;
}

void ep_on_away(struct ep_list *list)
{
	list->away = true;
}

void ep_on_reached(struct ep_list *list, int64_t now_us)
{
	if (list->away)
		list->returned_us = now_us;
	list->away = false;
}

static void ep_forget_notes(const struct ep_list *list, GHashTable *notes, int64_t now_us)
{
	GHashTableIter iter;
	gpointer id;
	gpointer value;

	if (g_hash_table_size(notes) <= EP_NOTES_MAX)
		return;
	g_hash_table_iter_init(&iter, notes);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		const struct ep_note *note = value;

		if (now_us - note->at_us > EP_NOTE_US && !g_hash_table_contains(list->entries, id))
			g_hash_table_iter_remove(&iter);
	}
}

static void ep_forget_holders(struct ep_list *list, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	if (g_hash_table_size(list->addrs) <= g_hash_table_size(list->entries) + EP_NOTES_MAX)
		return;
	g_hash_table_iter_init(&iter, list->addrs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct ep_holder *holder = value;

		if (now_us - holder->at_us > EP_NOTE_US &&
		    !g_hash_table_contains(list->entries, holder->id))
			g_hash_table_iter_remove(&iter);
	}
}

int ep_lapsed(const struct ep_list *list)
{
	GHashTableIter iter;
	gpointer value;
	int n = 0;

	g_hash_table_iter_init(&iter, list->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += ((const struct ep_entry *)value)->lapsed;
	return n;
}

bool ep_on_time(struct ep_list *list, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;
	bool dropped = false;

	ep_forget_notes(list, list->left, now_us);
	ep_forget_notes(list, list->removed, now_us);
	ep_forget_holders(list, now_us);
	if (ep_is_returning(list, now_us))
		return false;
	g_hash_table_iter_init(&iter, list->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!((const struct ep_entry *)value)->lapsed)
			continue;
		ep_note_removal(list, ((struct ep_entry *)value)->rec->id, list->next - 1, value,
				now_us);
		g_hash_table_iter_remove(&iter);
		dropped = true;
	}
	list->changed = list->changed || dropped;
	list->version += dropped;
	return dropped;
}

static gint ep_by_id(gconstpointer a, gconstpointer b)
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
	g_ptr_array_sort(snapshot, ep_by_id);
	return snapshot;
}

GHashTable *ep_incarnations(const struct ep_list *list)
{
	GHashTable *set = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, list->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_hash_table_add(set, ((const struct ep_entry *)value)->rec->incarnation);
	return set;
}
