#include "base/err.h"
#include "base/jl.h"
#include "msg/feed.pb-c.h"
#include "router/feed_pack.h"
#include "router/ctrl.h"

#include <string.h>

enum {
	/*
	 * Shortest time between two writes of the list, in milliseconds. While new endpoints are
	 * rolled out, the list changes several times a second.
	 */
	RECALL_PAUSE_MS = 1000,
	/* Time limit of a call to the store, in milliseconds. */
	RECALL_CALL_MS = 1000,
	HTTP_OK = 200
};

/* Key of the saved list in the store. */
static const char recall_key[] = "endpoints";

struct recall {
	struct ctrl *ctrl;
	struct fpack fpack;	  /* packs the list in the format of a feed */
	guint saved_version;	  /* version of the list that was last saved; 0: none */
	int64_t next_write_us;	  /* earliest time of the next write, in microseconds */
	bool first_list_done;	  /* the first list was read; no read is started after that */
	struct store_call *write; /* the write under way, or NULL */
	struct store_call *read;  /* the read under way, or NULL */
};

static void recall_on_written(void *ctx, const struct store_answer *answer);
static void recall_on_read(void *ctx, const struct store_answer *answer);

struct recall *recall_new(struct ctrl *ctrl)
{
	struct recall *recall = g_new0(struct recall, 1);

	recall->ctrl = ctrl;
	fpack_init(&recall->fpack);
	return recall;
}

void recall_free(struct recall *recall)
{
	if (recall->write)
		store_call_cancel(recall->write);
	if (recall->read)
		store_call_cancel(recall->read);
	fpack_finish(&recall->fpack);
	g_free(recall);
}

bool recall_is_saved(const struct recall *recall)
{
	return !recall->write && recall->saved_version == recall->ctrl->endpoints.version;
}

static bool recall_is_due(const struct recall *recall, int64_t now_us)
{
	const struct ctrl *ctrl = recall->ctrl;

	if (!ctrl->rank.first || ctrl->stopping || !reader_is_current(ctrl) || !ctrl->listed)
		return false;
	if (recall->write || now_us < recall->next_write_us ||
	    now_us < ep_complete_us(&ctrl->endpoints))
		return false;
	return !recall_is_saved(recall);
}

/* Returns the record to save: the list, packed in the format of a feed. */
static GString *recall_make_record(struct recall *recall)
{
	Feed__Note note = FEED__NOTE__INIT;
	GString *record;
	uint8_t *data;
	size_t len;

	fpack_on_list_replaced(&recall->fpack, &recall->ctrl->endpoints);
	fpack_serialize(&recall->fpack, &recall->ctrl->endpoints, true, 0);
	note.endpoints.data = recall->fpack.packed->data;
	note.endpoints.len = recall->fpack.packed->len;
	note.endpoints_len = (int64_t)recall->fpack.whole_len;
	len = feed__note__get_packed_size(&note);
	data = g_malloc(len + 1);
	feed__note__pack(&note, data);
	record = recall->ctrl->router->seam->store.make_record(recall_key,
							       str_make((const char *)data, len));
	g_free(data);
	return record;
}

static void recall_log(const char *event, int status, int err, int64_t endpoints)
{
	jl_begin(JL_UNLIMITED, event);
	jl_int("status", status);
	jl_str("error", err < 0 ? store_strerror(err) : NULL);
	jl_int("endpoints", endpoints);
	jl_end();
}

static void recall_send(struct recall *recall, const GString *record)
{
	struct ctrl *ctrl = recall->ctrl;
	struct store_request request = {
		.path = ctrl->router->seam->store.append_path(SEAM_TOPIC_KNOWN_ENDPOINTS),
		.body = record,
		.total_ms = RECALL_CALL_MS,
	};

	recall->write = store_call(ctrl, &request, recall_on_written, recall);
}

static void recall_write(struct recall *recall)
{
	struct ctrl *ctrl = recall->ctrl;
	GString *record = recall_make_record(recall);

	recall->saved_version = ctrl->endpoints.version;
	if (record->len > SEAM_RECORD_MAX)
		recall_log("note_too_long", 0, 0, g_hash_table_size(ctrl->endpoints.entries));
	else
		recall_send(recall, record);
	g_string_free(record, TRUE);
}

static void recall_on_written(void *ctx, const struct store_answer *answer)
{
	struct recall *recall = ctx;
	bool good = answer->status == HTTP_OK;

	recall->write = NULL;
	recall_log(good ? "endpoints_noted" : "note_failed", answer->status, answer->err,
		   g_hash_table_size(recall->ctrl->endpoints.entries));
	if (!good)
		recall->saved_version = 0;
}

void recall_on_store_restored(struct recall *recall)
{
	recall->saved_version = 0;
}

/* Reads the saved list. Done once, after the first list, if the store was unreachable before. */
static void recall_read(struct recall *recall)
{
	struct ctrl *ctrl = recall->ctrl;
	struct store_request request = {
		.path = ctrl->router->seam->store.newest_path(SEAM_TOPIC_KNOWN_ENDPOINTS, NULL),
		.total_ms = RECALL_CALL_MS,
	};

	recall->read = store_call(ctrl, &request, recall_on_read, recall);
}

void recall_on_tick(struct recall *recall, int64_t now_us)
{
	if (!recall_is_due(recall, now_us))
		return;
	recall->next_write_us = now_us + tmr_from_ms(RECALL_PAUSE_MS);
	recall_write(recall);
}

bool recall_on_list_read(struct recall *recall)
{
	if (!recall->first_list_done && ep_may_lack_entries(&recall->ctrl->endpoints, tmr_now()))
		recall_read(recall);
	recall->first_list_done = true;
	return recall->read != NULL;
}

/* Publishes the list of endpoints once the saved list has been merged or could not be read. */
static void recall_complete_list(struct recall *recall)
{
	struct ctrl *ctrl = recall->ctrl;

	ctrl->listed = true;
	feed_on_list_replaced(ctrl->feed);
	ctrl_schedule_view(ctrl);
	ctrl_post_first_view(ctrl);
	feed_flush(ctrl->feed);
}

/* Logs that the saved list can't be read: it is damaged or from another version of the program. */
static void recall_log_unreadable(const char *id, const char *error)
{
	jl_begin(JL_UNLIMITED, "note_unreadable");
	jl_str("endpoint", id);
	jl_str("error", error);
	jl_end();
}

static void recall_add_entries(struct recall *recall, const Feed__Endpoints *items)
{
	struct ctrl *ctrl = recall->ctrl;
	int64_t added = 0;

	for (size_t i = 0; i < items->n_items; i++) {
		const Feed__Endpoint *e = items->items[i];
		struct str text = str_make((const char *)e->text.data, e->text.len);
		char *error = NULL;
		struct ep_rec *rec = ctrl->router->seam->decl.read_endpoint(e->id, text, &error);

		if (!rec) {
			recall_log_unreadable(e->id, error);
			g_free(error);
			continue;
		}
		rec->text = str_dup(text);
		added += ep_add_recalled(&ctrl->endpoints, e->offset, rec, tmr_now());
	}
	recall_log("endpoints_recalled", HTTP_OK, 0, added);
}

static void recall_on_record(void *ctx, int64_t offset, struct str key, struct str value)
{
	struct recall *recall = ctx;
	Feed__Note *note;
	Feed__Endpoints *items;

	(void)offset;
	(void)key;
	note = feed__note__unpack(NULL, value.len, (const uint8_t *)value.data);
	items = note ? fpack_parse(note->endpoints.data, note->endpoints.len, note->endpoints_len)
		     : NULL;
	if (items)
		recall_add_entries(recall, items);
	else
		recall_log("note_unreadable", HTTP_OK, BASE_EFRAME, 0);
	if (items)
		feed__endpoints__free_unpacked(items, NULL);
	if (note)
		feed__note__free_unpacked(note, NULL);
}

static void recall_on_read(void *ctx, const struct store_answer *answer)
{
	struct recall *recall = ctx;
	struct seam_read read;

	recall->read = NULL;
	memset(&read, 0, sizeof(read));
	if (answer->status != HTTP_OK || recall->ctrl->router->seam->store.parse_newest(
						 answer->body, recall_on_record, recall, &read) < 0)
		recall_log("note_not_read", answer->status, answer->err, 0);
	g_free(read.last);
	recall_complete_list(recall);
}
