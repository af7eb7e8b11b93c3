#include "base/jl.h"
#include "router/ctrl.h"

#include <string.h>

enum {
	/* Time limit of a write to the store, in milliseconds. */
	HOSTS_CALL_MS = 1000,
	/* Pause between the end of a write and the next write, in milliseconds. */
	HOSTS_RETRY_MS = 500,
	HTTP_OK = 200
};

/* Change that is still to be written to the list of hosts in the store. */
enum hosts_write_op {
	HOSTS_ADD = 1, /* the store has no entry of this host */
	HOSTS_REMOVE   /* the store has an entry of a host that has left */
};

struct hosts {
	struct ctrl *ctrl;
	GHashTable *removed;  /* names of hosts that have left */
	GHashTable *listed;   /* names in the listing that is being read */
	GHashTable *pending;  /* host name -> enum hosts_write_op, changes still to be written */
	GHashTable *writing;  /* host name -> enum hosts_write_op, changes in the current write */
	GHashTable *in_store; /* names that are in the store's list, as far as this host has read */
	bool compare_next;    /* the next listing is to be compared with the known hosts */
	bool comparing;	      /* the listing that is being read is compared with the known hosts */
	struct store_call *write; /* the write under way, or NULL */
	int64_t next_write_us;	  /* earliest time of the next write, in microseconds */
};

static void hosts_on_written(void *ctx, const struct store_answer *answer);

static GHashTable *hosts_name_table(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

struct hosts *hosts_new(struct ctrl *ctrl)
{
	struct hosts *hosts = g_new0(struct hosts, 1);

	hosts->ctrl = ctrl;
	hosts->removed = hosts_name_table();
	hosts->listed = hosts_name_table();
	hosts->pending = hosts_name_table();
	hosts->writing = hosts_name_table();
	hosts->in_store = hosts_name_table();
	return hosts;
}

void hosts_free(struct hosts *hosts)
{
	if (hosts->write)
		store_call_cancel(hosts->write);
	g_hash_table_destroy(hosts->removed);
	g_hash_table_destroy(hosts->listed);
	g_hash_table_destroy(hosts->pending);
	g_hash_table_destroy(hosts->writing);
	g_hash_table_destroy(hosts->in_store);
	g_free(hosts);
}

static void hosts_set_removed(struct hosts *hosts, const char *name, bool removed)
{
	if (!removed) {
		g_hash_table_remove(hosts->removed, name);
		return;
	}
	if (g_hash_table_size(hosts->removed) >= HDELTA_REMOVED_MAX)
		g_hash_table_remove_all(hosts->removed);
	g_hash_table_add(hosts->removed, g_strdup(name));
}

static void hosts_schedule_write(struct hosts *hosts, const char *name, enum hosts_write_op op)
{
	g_hash_table_replace(hosts->pending, g_strdup(name), GINT_TO_POINTER(op));
}

void hosts_on_store_restored(struct hosts *hosts)
{
	hosts->compare_next = true;
	hosts->comparing = false;
}

void hosts_on_listing_begin(struct hosts *hosts)
{
	hosts->comparing = hosts->compare_next;
	g_hash_table_remove_all(hosts->listed);
}

void hosts_on_record(struct hosts *hosts, const char *name, struct str text)
{
	if (hosts->comparing && text.data && g_hash_table_contains(hosts->removed, name)) {
		hosts_schedule_write(hosts, name, HOSTS_REMOVE);
		return;
	}
	if (text.data) {
		g_hash_table_add(hosts->listed, g_strdup(name));
		g_hash_table_add(hosts->in_store, g_strdup(name));
	} else {
		g_hash_table_remove(hosts->in_store, name);
	}
	g_hash_table_remove(hosts->pending, name);
	g_hash_table_remove(hosts->writing, name);
	hosts_set_removed(hosts, name, !text.data);
	ctrl_apply_host(hosts->ctrl, name, text);
}

void hosts_on_listing_end(struct hosts *hosts)
{
	GHashTableIter iter;
	gpointer name;

	if (!hosts->comparing)
		return;
	hosts->comparing = false;
	hosts->compare_next = false;
	g_hash_table_iter_init(&iter, hosts->ctrl->hosts);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		if (!g_hash_table_contains(hosts->listed, name))
			hosts_schedule_write(hosts, name, HOSTS_ADD);
	}
	/* Each follower gets the whole list and checks whether the list contains the follower. */
	hdelta_on_compared(&hosts->ctrl->host_changes);
}

/*
 * Schedules a write of the announced host unless the store is known to have its entry. Only the
 * first reader writes, see hosts_on_tick(); an entry that is read from the store meanwhile cancels
 * the write.
 */
void hosts_on_announced(struct hosts *hosts, const char *name, const struct ctrl_host *host)
{
	char *text = ctrl_host_format(host);

	if (!g_hash_table_contains(hosts->in_store, name))
		hosts_schedule_write(hosts, name, HOSTS_ADD);
	hosts_set_removed(hosts, name, false);
	if (ctrl_apply_host(hosts->ctrl, name, str_from_cstr(text)))
		follow_announce_host(hosts->ctrl->follow, name, host);
	g_free(text);
}

static void hosts_announce_changes(const struct hosts *hosts, GHashTable *changes)
{
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, changes);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		const struct ctrl_host *host = g_hash_table_lookup(hosts->ctrl->hosts, name);

		if (host)
			follow_announce_host(hosts->ctrl->follow, name, host);
	}
}

void hosts_announce_to_feeder(const struct hosts *hosts)
{
	hosts_announce_changes(hosts, hosts->writing);
	hosts_announce_changes(hosts, hosts->pending);
}

static void hosts_append_record(const struct hosts *hosts, const char *name, enum hosts_write_op op,
				GString *body)
{
	const struct ctrl_host *host = g_hash_table_lookup(hosts->ctrl->hosts, name);
	char *text = op == HOSTS_ADD && host ? ctrl_host_format(host) : NULL;
	GString *record = hosts->ctrl->router->seam->store.make_record(
		name, text ? str_from_cstr(text) : str_make(NULL, 0));

	g_string_append_len(body, record->str, (gssize)record->len);
	g_string_free(record, TRUE);
	g_free(text);
}

/*
 * Writes all pending changes in one call: single writes of some hundred hosts would exceed what the
 * store processes at once. Another reader, or the host itself, may write the same change; the
 * resulting list is the same.
 */
static void hosts_write(struct hosts *hosts)
{
	GString *body = g_string_new(NULL);
	struct store_request request = {
		.path = hosts->ctrl->router->seam->store.append_path(SEAM_TOPIC_HOSTS),
		.body = body,
		.total_ms = HOSTS_CALL_MS,
	};
	GHashTableIter iter;
	gpointer name;
	gpointer op;

	g_hash_table_remove_all(hosts->writing);
	g_hash_table_iter_init(&iter, hosts->pending);
	while (g_hash_table_iter_next(&iter, &name, &op)) {
		g_hash_table_insert(hosts->writing, g_strdup(name), op);
		hosts_append_record(hosts, name, GPOINTER_TO_INT(op), body);
	}
	g_hash_table_remove_all(hosts->pending);
	hosts->write = store_call(hosts->ctrl, &request, hosts_on_written, hosts);
	g_string_free(body, TRUE);
}

/* Schedules the changes of a failed write again, except those that have been scheduled since. */
static void hosts_reschedule(struct hosts *hosts)
{
	GHashTableIter iter;
	gpointer name;
	gpointer op;

	g_hash_table_iter_init(&iter, hosts->writing);
	while (g_hash_table_iter_next(&iter, &name, &op)) {
		if (!g_hash_table_contains(hosts->pending, name))
			hosts_schedule_write(hosts, name, GPOINTER_TO_INT(op));
	}
}

static void hosts_on_written(void *ctx, const struct store_answer *answer)
{
	struct hosts *hosts = ctx;
	bool good = answer->status == HTTP_OK;

	hosts->write = NULL;
	hosts->next_write_us = tmr_now() + tmr_from_ms(HOSTS_RETRY_MS);
	jl_begin(JL_UNLIMITED, good ? "hosts_written_again" : "hosts_not_written");
	jl_int("status", answer->status);
	jl_str("error", answer->err < 0 ? store_strerror(answer->err) : NULL);
	jl_int("hosts", g_hash_table_size(hosts->writing));
	jl_end();
	if (!good)
		hosts_reschedule(hosts);
	g_hash_table_remove_all(hosts->writing);
}

void hosts_on_tick(struct hosts *hosts, int64_t now_us)
{
	const struct ctrl *ctrl = hosts->ctrl;

	if (!ctrl->rank.first || ctrl->stopping || !reader_is_current(ctrl) || hosts->write)
		return;
	if (now_us >= hosts->next_write_us && g_hash_table_size(hosts->pending) > 0)
		hosts_write(hosts);
}
